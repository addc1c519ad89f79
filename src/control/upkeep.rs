//! What time brings: notices, gangs that don't come together, silent and idle
//! machines, urgent orders.

use super::*;

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
        let quiet = Self::ms(self.cl.workers.report_s * 2.5);
        let up: Vec<&Machine> = self.fleet.values().filter(|m| Self::up(m)).collect();
        let silent = up.iter().filter(|m| self.silent_ms(m, now) > quiet).count();
        (silent, up.len())
    }

    pub fn tick(&mut self, now: u64, rev: u64) {
        self.notices(now);
        self.gangs(now);
        self.reap(now);
        self.probe(now);
        self.book(now);
        self.flush(now, rev);
        self.flush_direct();
    }

    /// Sends out what is urgent between ticks.
    pub fn push(&mut self, now: u64, rev: u64) {
        self.flush(now, rev);
        self.flush_direct();
    }

    pub(super) fn flush_direct(&mut self) {
        for (host, mut orders) in std::mem::take(&mut self.direct) {
            let Some(m) = self.fleet.get(&host) else {
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
            });
        }
    }

    /// Machines that the cloud takes back: tasks save as late as is safe.
    pub(super) fn notices(&mut self, now: u64) {
        let slack = Self::ms(self.cl.workers.report_s / 2.0);
        let mut stops = Vec::new();
        for m in self.fleet.values() {
            let Some(at) = m.reclaim_at else { continue };
            for (id, j) in &self.jobs {
                for p in j.placed.iter().filter(|p| p.host == m.name) {
                    let lead = Self::ms(j.spec.save_s) + slack + 500;
                    let fetching = p.phase != Some(Phase::Running);
                    if p.stop.is_none() && (fetching || now + lead >= at) {
                        stops.push((id.clone(), p.task));
                    }
                }
            }
        }
        for (id, t) in stops {
            let unsent = self
                .jobs
                .get(&id)
                .is_some_and(|j| j.placed.iter().any(|p| p.task == t && p.unsent()));
            if unsent {
                self.unplace(&id, t);
            } else {
                self.stop_saving(&id, t, now);
            }
        }
    }

    /// How long a gang may take until all of it has its images.
    pub(super) fn gang_wait_ms(&self, spec: &Spec, hosts: &[&str]) -> u64 {
        let slowest = hosts
            .iter()
            .filter_map(|h| self.fleet.get(*h))
            .filter_map(|m| self.flavor(&m.flavor))
            .map(|f| spec.image_gb / f.fetch.max(0.01))
            .fold(0.0, f64::max);
        Self::ms(4.0 * self.cl.workers.report_s + 3.0 * slowest)
    }

    /// A gang that does not come together within its wait is stopped and
    /// queued again; so is one that lost a member before it began.
    pub(super) fn gangs(&mut self, now: u64) {
        let mut stops: Vec<(String, u32)> = Vec::new();
        for (id, j) in &self.jobs {
            if j.spec.shape != Shape::Gang || j.cancelled || j.placed.is_empty() {
                continue;
            }
            let hosts: Vec<&str> = j.placed.iter().map(|p| p.host.as_str()).collect();
            let started = j.placed.iter().any(|p| p.phase == Some(Phase::Running));
            let whole = j.placed.len() as u64 == u64::from(j.spec.tasks);
            let since = j.placed.iter().map(|p| p.since).max().unwrap_or(now);
            let late = now > since + self.gang_wait_ms(&j.spec, &hosts);
            if whole && (started || !late) {
                continue;
            }
            if !whole && started {
                // The others notice by themselves.
                if now < since + Self::ms(2.0 * self.cl.workers.gang_peer_s) {
                    continue;
                }
            }
            for p in &j.placed {
                if p.stop.is_none() {
                    stops.push((id.clone(), p.task));
                }
            }
        }
        for (id, t) in stops {
            self.stop_task(&id, t, 0.0, now);
        }
        // Places whose start never went out are given up when their machine
        // falls silent or leaves.
        let quiet = Self::ms(self.cl.workers.report_s * self.op.silent_reports);
        let mut lost = Vec::new();
        for (id, j) in &self.jobs {
            for p in &j.placed {
                if !p.unsent() {
                    continue;
                }
                let gone = self.fleet.get(&p.host).is_none_or(|m| {
                    m.leaving.is_some() || m.reclaim_at.is_some() || self.silent_ms(m, now) > quiet
                });
                if gone {
                    lost.push((id.clone(), p.task));
                }
            }
        }
        for (id, t) in lost {
            self.unplace(&id, t);
        }
        self.release_holds(now);
    }

    /// Held room is given up once it can't serve any more: a machine of it
    /// is gone, or all victims have left and the gang still has no place.
    /// The gang may then choose victims anew.
    pub(super) fn release_holds(&mut self, now: u64) {
        let settle = Self::ms(2.0 * self.cl.workers.report_s);
        let lost: HashSet<String> = self
            .holds
            .iter()
            .filter(|h| {
                let there = self
                    .fleet
                    .get(&h.host)
                    .is_some_and(|m| m.leaving.is_none() && m.reclaim_at.is_none());
                let leaving = self.jobs.values().any(|j| {
                    j.placed
                        .iter()
                        .any(|p| p.host == h.host && p.stop.is_some())
                });
                !there || (!leaving && now > h.since + settle)
            })
            .map(|h| h.job.clone())
            .collect();
        if !lost.is_empty() {
            self.holds.retain(|h| !lost.contains(&h.job));
            self.dirty = true;
        }
    }

    pub(super) fn reap(&mut self, now: u64) {
        let quiet = Self::ms(self.cl.workers.report_s * 2.5);
        let lost = Self::ms(self.cl.workers.lease_s * self.op.lost_lease_share);
        let (silent, up) = self.reach(now);
        // So many at once: it is rather this controller that is cut off.
        let cut = up >= 3 && silent * 2 > up;
        let again = 4000;
        let mut delete = Vec::new();
        let names: Vec<String> = self.fleet.keys().cloned().collect();
        let kept = self.kept(now).0;
        let busy = self.busy_hosts();
        for n in names {
            self.set_idle(&n, busy.contains(&n), now);
            let m = &self.fleet[&n];
            let silent = self.silent_ms(m, now);
            let boot = self.flavor(&m.flavor).map_or(60.0, |f| f.boot_s);
            let why = if m.listed == Listed::Failed {
                Some("it failed")
            } else if m.listed == Listed::Gone && silent > quiet {
                Some("it is not listed any more")
            } else if m.leaving.is_some() && m.idle_since.is_some() {
                m.leaving
            } else if Self::up(m) {
                let idle = if m.spot {
                    self.op.idle_boots_spot
                } else {
                    self.op.idle_boots
                };
                if silent > lost && !cut {
                    Some("it is silent")
                } else if m
                    .idle_since
                    .is_some_and(|t| now > t + Self::ms(idle * boot))
                    && m.heard.is_some()
                    && !kept.contains(&n)
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
            let Some(why) = why else { continue };
            let Some(m) = self.fleet.get_mut(&n) else {
                continue;
            };
            if m.leaving.is_none() {
                m.leaving = Some(why);
                self.dirty = true;
            }
            if m.delete_sent.is_none_or(|t| now > t + again) {
                if m.delete_sent.is_none() {
                    info!("giving back {n}: {why}");
                }
                m.delete_sent = Some(now);
                delete.push(n);
            }
        }
        for part in delete.chunks(100) {
            self.effects.push(Effect::Delete {
                hosts: part.to_vec(),
            });
        }
    }

    /// Machines that should report and don't are asked directly, which also
    /// raises the token of those that another controller still answers.
    pub(super) fn probe(&mut self, now: u64) {
        let quiet = Self::ms(self.cl.workers.report_s * self.op.silent_reports);
        for m in self.fleet.values_mut() {
            let last = m.heard.unwrap_or(m.known_since).max(self.since);
            let due = now > last + quiet || (m.epoch < self.epoch && now > self.since + quiet / 2);
            if !due
                || now < m.probed + quiet / 2
                || (m.heard.is_none() && m.listed != Listed::Running)
            {
                continue;
            }
            let Some(to) = m.addr else { continue };
            m.probed = now;
            if m.tenure > 0 && m.epoch < self.epoch {
                self.effects.push(Effect::Direct {
                    host: m.name.clone(),
                    to,
                    tenure: m.tenure,
                    orders: vec![],
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
