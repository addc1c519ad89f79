//! Machines as their workers and the cloud's list tell of them.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::job::split_task;
use crate::plan::{HeldView, MachineView, Room};
use crate::wire::{Flavor, Report};

/// How a task stands on its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    Fetching,
    Waiting,
    Running,
    Saving,
    Ended(Cause),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    Done,
    Stopped { kept: bool },
    MatesGone,
    Alone,
    Error,
    NoRoom,
    InUse,
    Unknown,
}

/// A task in a report.
#[derive(Debug, Clone, PartialEq)]
pub struct OnMachine {
    pub job: String,
    pub task: u32,
    pub attempt: u64,
    pub phase: Phase,
}

/// A task that the records put on a machine.
#[derive(Debug, Clone)]
pub struct OnRecord {
    pub job: Arc<str>,
    pub task: u32,
    pub attempt: u64,
    pub room: Room,
    /// Its job may use spot machines.
    pub spot: bool,
}

impl OnRecord {
    fn is(&self, t: &OnMachine) -> bool {
        self.task == t.task && self.attempt == t.attempt && *self.job == *t.job
    }
}

/// What a machine's next check-in should show if the last answer reached it.
#[derive(Debug, Clone, PartialEq)]
pub enum Expect {
    Token(u64),
    /// A task that it was told to start.
    There(Arc<str>, u32, u64),
    /// An ended task that it was told to forget.
    Cleared(String, u32, u64),
}

/// The last answer that should show an effect.
#[derive(Debug, Clone)]
pub struct Told {
    pub tenure: u64,
    pub serial: u64,
    pub expects: Vec<Expect>,
}

/// Where a machine stands with the cloud.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Listed {
    Never,
    Starting,
    Running,
    Failed,
    /// Was listed and is not any more.
    Gone,
}

#[derive(Debug, Clone)]
pub struct Machine {
    pub name: Arc<str>,
    pub addr: Option<SocketAddr>,
    pub flavor: Arc<str>,
    pub zone: Arc<str>,
    pub spot: bool,
    pub tenure: u64,
    pub serial: u64,
    pub epoch: u64,
    /// When any report came.
    pub heard: Option<u64>,
    pub tasks: Vec<OnMachine>,
    /// What the records put here, kept up to date with the jobs' places.
    pub on: Vec<OnRecord>,
    /// A look found no strays, and neither of the two has changed since in a
    /// way that could make one.
    clean: bool,
    /// Room kept for gangs whose victims are still leaving.
    pub held: Vec<HeldView>,
    /// When the cloud takes it, on the steady clock.
    pub reclaim_at: Option<u64>,
    pub listed: Listed,
    pub known_since: u64,
    pub up_since: Option<u64>,
    pub idle_since: Option<u64>,
    /// When a gang that still lacks other machines would last have used it.
    pub wanted: u64,
    /// Images fetched, the latest last, with their size.
    pub images: Vec<(Arc<str>, f64)>,
    /// No new tasks; given back once it is empty or silent.
    pub leaving: Option<&'static str>,
    pub delete_sent: Option<u64>,
    pub probed: u64,
    /// When a start last went straight to it of which nothing is known yet.
    pub direct_at: Option<u64>,
    /// It can't be connected to: until then nothing goes straight to it.
    pub shut_until: u64,
    pub told: Option<Told>,
    /// When a check-in was last answered.
    pub answered: Option<u64>,
    /// Check-ins in a row that showed no effect of the answer before.
    pub unheeded: u32,
    /// It began a new session although its check-ins were answered. Either it
    /// came back from an end, or the answers don't reach it: until it has
    /// answered a call, it gets no work.
    pub unproven: bool,
    /// Since when one of these two doubts lasts, and in which session.
    doubt: Option<(u64, u64)>,
    /// When it last came by itself: what answers calls but reaches nobody loses
    /// its lease with all that is on it.
    pub checked_in: Option<u64>,
    /// Jobs of which a task failed here, since one was last done.
    pub failed: BTreeSet<Arc<str>>,
    /// What the planner sees of it, as long as nothing has changed.
    pub view: Option<Arc<MachineView>>,
}

impl Machine {
    pub fn new(name: &str, flavor: &str, zone: &str, spot: bool, now: u64) -> Machine {
        Machine {
            name: name.into(),
            addr: None,
            flavor: flavor.into(),
            zone: zone.into(),
            spot,
            tenure: 0,
            serial: 0,
            epoch: 0,
            heard: None,
            tasks: vec![],
            on: vec![],
            clean: true,
            held: vec![],
            reclaim_at: None,
            listed: Listed::Never,
            known_since: now,
            up_since: None,
            idle_since: None,
            wanted: 0,
            images: vec![],
            leaving: None,
            delete_sent: None,
            probed: 0,
            direct_at: None,
            shut_until: 0,
            told: None,
            answered: None,
            unheeded: 0,
            unproven: false,
            doubt: None,
            checked_in: None,
            failed: BTreeSet::new(),
            view: None,
        }
    }

    /// Takes in a report if it is newer than what is known.
    pub fn take(&mut self, r: &Report, now: u64) -> bool {
        if (r.tenure, r.serial) <= (self.tenure, self.serial) {
            return false;
        }
        self.tenure = r.tenure;
        self.serial = r.serial;
        self.epoch = r.epoch;
        self.heard = Some(now);
        if self.up_since.is_none() {
            self.up_since = Some(now);
        }
        if self.addr.is_none() || self.view.is_none() {
            self.addr = r.endpoint.parse().ok().or(self.addr);
        }
        if *self.flavor != *r.flavor || *self.zone != *r.hall || self.spot != r.loaner {
            self.flavor = r.flavor.as_str().into();
            self.zone = r.hall.as_str().into();
            self.spot = r.loaner;
            self.view = None;
        }
        self.reclaim_at = r.notice_s.map(|s| now + (s.max(0.0) * 1000.0) as u64);
        let mut tasks = Vec::with_capacity(r.pieces.len());
        for p in &r.pieces {
            let Some((job, task)) = split_task(&p.piece) else {
                continue;
            };
            tasks.push(OnMachine {
                job: job.to_string(),
                task,
                attempt: p.attempt,
                phase: crate::wire::phase(&p.status, p.cause.as_deref(), p.kept),
            });
        }
        if tasks != self.tasks {
            self.tasks = tasks;
            self.clean = false;
            self.view = None;
        }
        true
    }

    pub fn live(&self) -> impl Iterator<Item = &OnMachine> {
        self.tasks
            .iter()
            .filter(|t| !matches!(t.phase, Phase::Ended(_)))
    }

    /// Tasks that the worker has and no record puts here.
    pub fn strays(&self) -> impl Iterator<Item = &OnMachine> {
        let look = (!self.clean).then(|| self.live());
        look.into_iter()
            .flatten()
            .filter(|t| !self.on.iter().any(|o| o.is(t)))
    }

    /// Remembers whether there are strays: each plan asks for all machines.
    pub fn look_for_strays(&mut self) {
        if !self.clean {
            let none = self.strays().next().is_none();
            self.clean = none;
        }
    }

    /// A record does not put this task here any more.
    pub fn strike(&mut self, job: &str, task: Option<u32>) {
        self.on
            .retain(|o| *o.job != *job || task.is_some_and(|t| t != o.task));
        self.clean = false;
        self.view = None;
    }

    /// Neither given back nor about to be taken back.
    pub fn stays(&self) -> bool {
        self.leaving.is_none() && self.reclaim_at.is_none()
    }

    /// Whether anything may be on it, or is to come.
    pub fn busy(&self) -> bool {
        !self.on.is_empty() || !self.held.is_empty() || self.live().next().is_some()
    }

    /// Idle is what could have work and has none. A machine that does not show
    /// the leader's token yet can't have any: it is still on its way.
    pub fn settle_idle(&mut self, epoch: u64, now: u64) {
        if self.busy() || self.epoch < epoch {
            self.idle_since = None;
        } else if self.idle_since.is_none() {
            self.idle_since = Some(now);
        }
    }

    /// Whether a check-in shows anything of what the last answer told;
    /// counts those that don't.
    pub fn heed(&mut self, r: &Report) {
        let Some(t) = &self.told else { return };
        if (r.tenure, r.serial) <= (t.tenure, t.serial) {
            return;
        }
        let has = |job: &str, task: u32, attempt: u64| {
            self.tasks
                .iter()
                .any(|x| x.task == task && x.attempt == attempt && x.job == job)
        };
        let shown = t.expects.iter().any(|e| match e {
            Expect::Token(n) => r.epoch >= *n,
            Expect::There(job, task, attempt) => has(job, *task, *attempt),
            Expect::Cleared(job, task, attempt) => !has(job, *task, *attempt),
        });
        if shown {
            self.unheeded = 0;
        } else {
            self.unheeded += 1;
        }
        self.told = None;
    }

    /// Ends a doubt that the same session has outlasted for `hears_ms`: answers
    /// do reach it. Without this a machine with long tasks, which is told nothing
    /// for minutes, would get no work for as long.
    pub fn settle_doubt(&mut self, hears_ms: u64, now: u64) {
        if self.unheeded == 0 && !self.unproven {
            self.doubt = None;
            return;
        }
        let (since, tenure) = *self.doubt.get_or_insert((now, self.tenure));
        if tenure != self.tenure {
            self.doubt = Some((now, self.tenure));
        } else if now > since + hears_ms {
            self.doubt = None;
            self.unheeded = 0;
            self.unproven = false;
        }
    }

    /// Remembers that an image is there; the oldest fall out of the cache.
    pub fn cached(&mut self, image: &str, gb: f64, flavor: Option<&Flavor>) {
        if self.images.last().is_some_and(|i| *i.0 == *image) {
            return;
        }
        self.images.retain(|i| *i.0 != *image);
        self.images.push((image.into(), gb));
        let room = flavor.map_or(f64::INFINITY, |f| f.cache_gb);
        while self.images.len() > 1 && self.images.iter().map(|i| i.1).sum::<f64>() > room {
            self.images.remove(0);
        }
        self.view = None;
    }
}
