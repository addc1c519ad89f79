//! Machines as their workers and the cloud's list tell of them.

use std::net::SocketAddr;

use crate::job::split_task;
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
    pub name: String,
    pub addr: Option<SocketAddr>,
    pub flavor: String,
    pub zone: String,
    pub spot: bool,
    pub tenure: u64,
    pub serial: u64,
    pub epoch: u64,
    /// When any report came.
    pub heard: Option<u64>,
    pub tasks: Vec<OnMachine>,
    /// When the cloud takes it, on the steady clock.
    pub reclaim_at: Option<u64>,
    pub listed: Listed,
    pub known_since: u64,
    pub up_since: Option<u64>,
    pub idle_since: Option<u64>,
    /// Images fetched, the latest last, with their size.
    pub images: Vec<(String, f64)>,
    /// No new tasks; given back once it is empty or silent.
    pub leaving: Option<&'static str>,
    pub delete_sent: Option<u64>,
    pub probed: u64,
}

impl Machine {
    pub fn new(name: &str, flavor: &str, zone: &str, spot: bool, now: u64) -> Machine {
        Machine {
            name: name.to_string(),
            addr: None,
            flavor: flavor.to_string(),
            zone: zone.to_string(),
            spot,
            tenure: 0,
            serial: 0,
            epoch: 0,
            heard: None,
            tasks: vec![],
            reclaim_at: None,
            listed: Listed::Never,
            known_since: now,
            up_since: None,
            idle_since: None,
            images: vec![],
            leaving: None,
            delete_sent: None,
            probed: 0,
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
            self.idle_since = Some(now);
        }
        self.addr = r.endpoint.parse().ok().or(self.addr);
        self.flavor.clone_from(&r.flavor);
        self.zone.clone_from(&r.hall);
        self.spot = r.loaner;
        self.reclaim_at = r.notice_s.map(|s| now + (s.max(0.0) * 1000.0) as u64);
        self.tasks = r
            .pieces
            .iter()
            .filter_map(|p| {
                let (job, task) = split_task(&p.piece)?;
                Some(OnMachine {
                    job: job.to_string(),
                    task,
                    attempt: p.attempt,
                    phase: crate::wire::phase(&p.status, p.cause.as_deref(), p.kept),
                })
            })
            .collect();
        true
    }

    pub fn live(&self) -> impl Iterator<Item = &OnMachine> {
        self.tasks
            .iter()
            .filter(|t| !matches!(t.phase, Phase::Ended(_)))
    }

    /// Remembers that an image is there; the oldest fall out of the cache.
    pub fn cached(&mut self, image: &str, gb: f64, flavor: Option<&Flavor>) {
        self.images.retain(|i| i.0 != image);
        self.images.push((image.to_string(), gb));
        let room = flavor.map_or(f64::INFINITY, |f| f.cache_gb);
        while self.images.len() > 1 && self.images.iter().map(|i| i.1).sum::<f64>() > room {
            self.images.remove(0);
        }
    }
}
