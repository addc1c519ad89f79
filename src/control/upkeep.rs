//! What time brings: notices, gangs that don't come together, silent and idle
//! machines, urgent orders.

use super::*;

const SILENT: &str = "it is silent";
/// What comes in waits for longer: nothing is asked for that may come by itself.
const SWAMPED_MS: u64 = 400;
/// A worker drops an answer after 4 s: with a wait like this before a check-in is
/// even read, that an answer shows no effect says nothing of the machine.
const BEHIND_MS: u64 = 1500;
const UNREACHED: &str = "what it is told does not reach it";
/// Of the silent machines, one in so many that others turned away lately shows
/// that the silence is ours.
const SEEN_PART: usize = 4;
/// Leases after which a silent machine is given back in any case.
const OVER_LEASES: f64 = 2.0;

impl Control {
    pub(super) fn silent_ms(&self, m: &Machine, now: u64) -> u64 {
        let last = m.heard.unwrap_or(m.known_since).max(self.since);
        now.saturating_sub(last)
    }

    pub(super) fn up(m: &Machine) -> bool {
        m.heard.is_some() || m.listed == Listed::Running
    }

    /// Machines that can't be reached, and all that should be.
    pub fn reach(&self, now: u64) -> (usize, usize) {
        // Sooner than a machine is given up for its silence.
        let w = &self.cl.workers;
        let lost = w.lease_s * self.op.lost_lease_share;
        let quiet = Self::ms((w.report_s * 2.5).min(lost * 0.7));
        let mut silent = 0;
        let mut up = 0;
        for m in self.fleet.values().filter(|m| Self::up(m)) {
            up += 1;
            if self.silent_ms(m, now) > quiet || m.unheeded > 0 {
                silent += 1;
            }
        }
        (silent, up)
    }

    /// What came in waited for so long before it was read. If that is long, this
    /// controller's lateness, and nothing of theirs, may be why machines are
    /// silent or show no effect of what they were told.
    pub fn fell_behind(&mut self, ms: u64, now: u64) {
        if ms > BEHIND_MS {
            self.behind_at = Some(now);
        }
        if ms > SWAMPED_MS {
            self.swamped_at = Some(now);
        }
    }

    pub(super) fn is_behind(&self, now: u64) -> bool {
        let round = Self::ms(self.cl.workers.report_s * 2.0);
        self.behind_at.is_some_and(|t| now < t + round)
    }

    /// More waits to be read right now than can be: nothing is to be asked that
    /// may come by itself.
    pub fn swamped(&self, now: u64) -> bool {
        self.swamped_at.is_some_and(|t| now < t + 2 * SWAMPED_MS)
    }

    /// What the other controllers tell: how many workers came to them lately
    /// and were turned away; nothing if too few of them can be heard.
    pub fn witness(&mut self, elsewhere: Option<u32>) {
        self.elsewhere = elsewhere;
    }

    /// So many machines are silent at once that it is rather this controller
    /// that is cut off: surely if they came to others, and not if some are still
    /// heard, or if the others hear nothing, either. Then they are gone, or a
    /// zone of them is, and nobody waits for them.
    fn cut_off(&self, now: u64) -> bool {
        let (silent, up) = self.reach(now);
        if up < 3 || silent * 2 <= up {
            return false;
        }
        let told = |n: u32| n as usize * SEEN_PART >= silent;
        // Of many, one reports at any time.
        let heard = now < self.heard_at + Self::ms(self.cl.workers.report_s / 2.0);
        self.elsewhere.map_or(!heard, told)
    }

    /// Whether machines that can't be reached were given back.
    pub fn gave_up(&self) -> bool {
        self.gave_up
    }

    /// `spare`: changes of records that may wait and yet go out now.
    pub fn tick(&mut self, now: u64, rev: u64, spare: usize) {
        if now >= self.upkeep_next {
            self.upkeep_next = now + Self::ms(self.cl.workers.gang_peer_s * UPKEEP_SHARE);
            self.notices(now);
            self.gangs(now);
            self.reap(now);
            self.probe(now);
        }
        self.book(now);
        self.push(now, rev, spare);
    }

    /// Sends out what is urgent between ticks.
    pub fn push(&mut self, now: u64, rev: u64, spare: usize) {
        self.flush(now, rev, spare);
        self.flush_direct();
    }

    pub(super) fn flush_direct(&mut self) {
        for (host, mut orders) in std::mem::take(&mut self.direct) {
            let Some(m) = self.fleet.get(&*host) else {
                continue;
            };
            let Some(to) = m.addr else { continue };
            if m.tenure == 0 {
                continue;
            }
            orders.truncate(ORDERS_MAX);
            self.effects.push(Effect::Direct {
                host,
                to,
                tenure: m.tenure,
                orders,
                starts: vec![],
            });
        }
    }

    /// Machines that the cloud takes back: tasks save as late as is safe.
    pub(super) fn notices(&mut self, now: u64) {
        let slack = Self::ms(self.cl.workers.report_s / 2.0);
        let mut stops = Vec::new();
        for m in self.fleet.values() {
            let Some(at) = m.reclaim_at else { continue };
            for o in &m.on {
                let Some((j, p)) = self.behind(o) else {
                    continue;
                };
                let lead = Self::ms(j.spec.save_s) + slack + 500;
                let fetching = p.phase != Some(Phase::Running);
                if p.stop.is_none() && (fetching || now + lead >= at) {
                    stops.push((o.job.clone(), o.task));
                }
            }
        }
        for (id, t) in stops {
            let unsent = self
                .jobs
                .get(&*id)
                .is_some_and(|j| j.placed.iter().any(|p| p.task == t && p.unsent()));
            if unsent {
                self.unplace(&id, t, now);
            } else {
                self.stop_saving(&id, t, now);
            }
        }
    }

    /// How long a gang may take until all of it has its images.
    pub(super) fn gang_wait_ms(&self, j: &Job) -> u64 {
        let slowest = j
            .placed
            .iter()
            .filter_map(|p| self.fleet.get(&*p.host))
            .filter_map(|m| self.flavor(&m.flavor))
            .map(|f| j.spec.image_gb / f.fetch.max(0.01))
            .fold(0.0, f64::max);
        // Over a slow link the image may take many times as long as it should:
        // stopped in the middle of it each time, the gang would never begin.
        let patience = f64::from(1 + j.scattered);
        Self::ms(patience * (4.0 * self.cl.workers.report_s + 3.0 * slowest))
    }

    /// A gang that is still coming together: a task of it that gave up waiting
    /// for the others' images is started again in its place, and they meet.
    pub(super) fn gathers(&self, id: &str, now: u64) -> bool {
        self.jobs.get(id).is_some_and(|j| {
            j.spec.shape == Shape::Gang
                && !j.cancelled
                && j.placed.len() as u64 == u64::from(j.spec.tasks)
                && j.placed
                    .iter()
                    .all(|p| p.stop.is_none() && p.running_since.is_none())
                && now <= j.placed_at + self.gang_wait_ms(j)
        })
    }

    /// A gang that does not come together within its wait is stopped and
    /// queued again; so is one that lost a member before it began. Places
    /// whose start never went out are given up when their machine falls
    /// silent or leaves.
    pub(super) fn gangs(&mut self, now: u64) {
        let mut stops: Vec<(Arc<str>, u32)> = Vec::new();
        let mut waited: Vec<Arc<str>> = Vec::new();
        let mut lost: Vec<(Arc<str>, u32)> = Vec::new();
        let quiet = Self::ms(self.cl.workers.report_s * self.op.silent_reports);
        for j in self.jobs.values() {
            for p in j.placed.iter().filter(|p| p.unsent()) {
                let gone = self
                    .fleet
                    .get(&*p.host)
                    .is_none_or(|m| !m.stays() || self.silent_ms(m, now) > quiet);
                if gone {
                    lost.push((j.id.clone(), p.task));
                }
            }
            if j.spec.shape != Shape::Gang || j.cancelled || j.placed.is_empty() {
                continue;
            }
            let started = j.placed.iter().any(|p| p.phase == Some(Phase::Running));
            let whole = j.placed.len() as u64 == u64::from(j.spec.tasks);
            if whole && started {
                continue;
            }
            if whole && now <= j.placed_at + self.gang_wait_ms(j) {
                continue;
            }
            let since = j.placed.iter().map(|p| p.since).max().unwrap_or(now);
            if !whole && started {
                // The others notice by themselves.
                if now < since + Self::ms(2.0 * self.cl.workers.gang_peer_s) {
                    continue;
                }
            }
            if whole && j.placed.iter().all(|p| p.stop.is_none()) {
                waited.push(j.id.clone());
            }
            for p in &j.placed {
                if p.stop.is_none() {
                    stops.push((j.id.clone(), p.task));
                }
            }
        }
        for id in waited {
            if let Some(j) = self.jobs.get_mut(&*id) {
                j.scattered += 1;
            }
        }
        for (id, t) in stops {
            self.stop_task(&id, t, 0.0, now);
        }
        for (id, t) in lost {
            self.unplace(&id, t, now);
        }
        self.release_holds(now);
    }

    /// Held room is given up once it can't serve any more: a machine of it
    /// is gone, or all victims have left and the gang still has no place.
    /// The gang may then choose victims anew.
    pub(super) fn release_holds(&mut self, now: u64) {
        let settle = Self::ms(2.0 * self.cl.workers.report_s);
        let leaving = |m: &Machine| {
            m.on.iter()
                .any(|o| self.behind(o).is_some_and(|(_, p)| p.stop.is_some()))
        };
        let lost: Vec<Arc<str>> = self
            .jobs
            .values()
            .filter(|j| {
                let old = now > j.held_at + settle;
                j.holds.iter().any(|h| {
                    self.fleet
                        .get(&**h)
                        .is_none_or(|m| !m.stays() || (old && !leaving(m)))
                })
            })
            .map(|j| j.id.clone())
            .collect();
        for id in lost {
            self.drop_holds(&id);
        }
    }

    /// A start that went straight to a machine and of which nothing was heard
    /// for longer than its next check-ins took.
    fn lost_start(&self, m: &Machine, now: u64) -> bool {
        let wait = Self::ms(self.cl.workers.report_s * self.op.silent_reports);
        if m.direct_at.is_none() {
            return false;
        }
        m.on.iter().any(|o| {
            self.behind(o).is_some_and(|(_, p)| {
                p.phase.is_none()
                    && matches!(p.sent, Some(Sent::Direct { at, .. }) if now > at + wait)
            })
        })
    }

    /// A task was done on it and that is not on record yet: if this leader ends
    /// now, the machine's report is all that a successor has of it.
    fn owes(&self, m: &Machine) -> bool {
        m.tasks.iter().any(|t| {
            let j = self.jobs.get(&t.job);
            t.phase == Phase::Ended(Cause::Done)
                && j.is_some_and(|j| !j.cancelled && !j.done_committed.contains(t.task))
        })
    }

    /// Gives back what is of no use any more: machines that are gone, silent,
    /// not reached by what we say, drained or idle.
    pub(super) fn reap(&mut self, now: u64) {
        let quiet = Self::ms(self.cl.workers.report_s * 2.5);
        // One that does not keep up gives its machines their whole lease.
        let share = if self.is_behind(now) {
            self.op.lost_lease_share.max(1.0)
        } else {
            self.op.lost_lease_share
        };
        let lost = Self::ms(self.cl.workers.lease_s * share);
        let cut = self.cut_off(now);
        // By then nothing is left to save on them, whoever was cut off.
        let over = Self::ms(self.cl.workers.lease_s * OVER_LEASES);
        let again = 4000;
        let peer = Self::ms(self.cl.workers.gang_peer_s);
        let taken = peer / 2;
        let mut due: Vec<(Arc<str>, &'static str)> = Vec::new();
        for m in self.fleet.values_mut() {
            m.settle_idle(self.epoch, now);
        }
        let kept = self.kept(now).0;
        for m in self.fleet.values() {
            let silent = self.silent_ms(m, now);
            let boot = self.flavor(&m.flavor).map_or(60.0, |f| f.boot_s);
            let why = if m.listed == Listed::Failed {
                Some("it failed")
            } else if m
                .reclaim_at
                .is_some_and(|t| now > t + taken && m.heard.is_none_or(|h| h < t))
            {
                Some("the cloud took it")
            } else if m.listed == Listed::Gone && silent > quiet {
                Some("it is not listed any more")
            } else if m.leaving.is_some() && !m.busy() && !self.owes(m) {
                m.leaving
            } else if Self::up(m) {
                let idle = if m.spot {
                    self.op.idle_boots_spot
                } else {
                    self.op.idle_boots
                };
                // Of an empty one nothing is lost even if it is our fault.
                if silent > lost && (!cut || !m.busy() || silent > over) {
                    Some(SILENT)
                } else if (m.unheeded >= reports::UNHEEDED_MAX || self.lost_start(m, now)) && !cut {
                    Some(UNREACHED)
                } else if m
                    .idle_since
                    .is_some_and(|t| now > t + Self::ms(idle * boot))
                    && (m.wanted == 0 || now > m.wanted + peer)
                    && m.heard.is_some()
                    && !kept.contains(&m.name)
                    && !self.owes(m)
                {
                    Some("it is idle")
                } else {
                    None
                }
            } else if m.listed == Listed::Never && m.flavor.is_empty() {
                // On record only: nobody has seen it since this leader began.
                (self.listed_once && silent > lost && !cut).then_some("nobody knows it")
            } else if now > m.known_since + Self::ms(boot * 3.5) {
                Some("it never came up")
            } else {
                None
            };
            if let Some(why) = why {
                due.push((m.name.clone(), why));
            }
        }
        let mut delete = Vec::new();
        for (n, why) in due {
            let Some(m) = self.fleet.get_mut(&*n) else {
                continue;
            };
            if m.leaving.is_none() {
                m.leaving = Some(why);
                self.dirty = true;
            }
            if m.delete_sent.is_none_or(|t| now > t + again) {
                if m.delete_sent.is_none() {
                    info!("giving back {n}: {why}");
                    self.gave_up |= matches!(why, SILENT | UNREACHED);
                }
                m.delete_sent = Some(now);
                delete.push(n.to_string());
            }
        }
        for part in delete.chunks(100) {
            self.effects.push(Effect::Delete {
                hosts: part.to_vec(),
            });
        }
    }

    /// Machines that should report and don't are asked directly, which also
    /// raises the token of those that another controller still answers. A new
    /// leader asks all that have not come by themselves soon, a part at a
    /// time, since it can't place anew before it knows.
    pub(super) fn probe(&mut self, now: u64) {
        if self.swamped(now) {
            return;
        }
        let quiet = Self::ms(self.cl.workers.report_s * self.op.silent_reports);
        let soon = Self::ms(self.cl.workers.gang_peer_s * PROBE_SHARE);
        // A call that opens a connection costs far more than a check-in, and
        // most machines come by themselves: on a small share of a processor a
        // successor must not spend it all on asking.
        let beat = self.cl.workers.gang_peer_s * UPKEEP_SHARE;
        let able = self.cl.limits.cpu_share * PROBES_A_CORE * beat;
        let mut left = 1 + (self.fleet.len() / PROBE_PARTS).min(able as usize);
        for m in self.fleet.values_mut() {
            let last = m.heard.unwrap_or(m.known_since).max(self.since);
            let due = now > last + quiet
                || m.unproven
                || (m.epoch < self.epoch && now > self.since + soon);
            if !due
                || now < m.probed + quiet / 2
                || (m.heard.is_none() && m.listed != Listed::Running)
            {
                continue;
            }
            let Some(to) = m.addr else { continue };
            if left == 0 {
                break;
            }
            left -= 1;
            m.probed = now;
            if m.tenure > 0 && m.epoch < self.epoch {
                self.effects.push(Effect::Direct {
                    host: m.name.clone(),
                    to,
                    tenure: m.tenure,
                    orders: vec![],
                    starts: vec![],
                });
            } else {
                self.effects.push(Effect::Inspect {
                    host: m.name.clone(),
                    to,
                });
            }
        }
    }

    pub(super) fn book(&mut self, now: u64) {
        for b in self.bookings.iter_mut() {
            if !b.flying && now >= b.next_try {
                b.flying = true;
                self.effects.push(Effect::Rent {
                    booking: b.name.clone(),
                    kind: b.kind.clone(),
                    count: b.count,
                });
            }
        }
    }
}
