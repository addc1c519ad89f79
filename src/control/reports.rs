//! What workers report, and the orders that they get.

use super::*;

impl Control {
    /// Takes in a worker's report. `checkin` tells whether it came by itself
    /// or in answer to a direct command.
    pub fn report(&mut self, r: &Report, checkin: bool, now: u64) {
        if self.deletes.contains_key(&r.host) {
            // Gone for good: its report comes late.
            return;
        }
        let m = self
            .fleet
            .entry(r.host.clone())
            .or_insert_with(|| Machine::new(&r.host, &r.flavor, &r.hall, r.loaner, now));
        let was = (m.heard.is_some(), m.epoch);
        if !m.take(r, now) {
            return;
        }
        let woke = was != (true, m.epoch);
        if m.delete_sent.is_some() && m.leaving.is_none() {
            m.leaving = Some("its deletion was sent");
        }
        let host = r.host.clone();
        let fresh = r.epoch >= self.epoch;
        let mine: Vec<(String, u32)> = self
            .jobs
            .iter()
            .flat_map(|(id, j)| {
                j.placed
                    .iter()
                    .filter(|p| p.host == host)
                    .map(move |p| (id.clone(), p.task))
            })
            .collect();
        let on = self.fleet[&host].tasks.clone();
        for (id, task) in mine {
            let Some(j) = self.jobs.get_mut(&id) else {
                continue;
            };
            let Some(k) = j.placed.iter().position(|p| p.task == task) else {
                continue;
            };
            let p = &mut j.placed[k];
            let found = on
                .iter()
                .find(|t| t.task == task && t.attempt == p.attempt && t.job == id);
            match found.map(|t| t.phase) {
                Some(Phase::Ended(cause)) => self.ended(&id, task, &host, cause, now),
                Some(phase) => {
                    if phase == Phase::Running && p.running_since.is_none() {
                        debug!("{id}/{task} runs on {host}");
                        p.running_since = Some(now);
                    }
                    if p.phase.is_none_or(|x| x == Phase::Fetching) && phase != Phase::Fetching {
                        let (image, gb) = (j.spec.image.clone(), j.spec.image_gb);
                        let f = self.flavors.iter().find(|f| f.sku == r.flavor).cloned();
                        if let Some(m) = self.fleet.get_mut(&host) {
                            m.cached(&image, gb, f.as_ref());
                        }
                    }
                    if let Some(p) = self.jobs.get_mut(&id).and_then(|j| j.placed.get_mut(k)) {
                        p.phase = Some(phase);
                    }
                }
                None => {
                    let proven = if p.phase.is_some() {
                        true
                    } else if p.ver == 0 {
                        // An earlier leader's start can't be taken any more
                        // once the worker has seen this epoch.
                        fresh
                    } else {
                        // A start travels in the answer to a check-in only,
                        // and the next check-in comes after it was taken or
                        // dropped. Other bodies may overtake the answer.
                        checkin && p.sent.is_some_and(|s| (r.tenure, r.serial) > s)
                    };
                    if !proven {
                        continue;
                    }
                    let again = p.phase.is_none() && p.ver > 0 && p.sends < 3 && p.stop.is_none();
                    if again {
                        p.sent = None;
                    } else {
                        debug!("{id}/{task} is not on {host}");
                        self.unplace(&id, task);
                    }
                }
            }
        }
        // What has no place on record must not be there.
        for t in &on {
            let known = self.jobs.get(&t.job).is_some_and(|j| j.has(t, &host));
            if !known && !matches!(t.phase, Phase::Ended(_)) {
                let order = wire::stop(task_name(&t.job, t.task), t.attempt, 0.0);
                self.direct.entry(host.clone()).or_default().push(order);
            }
        }
        self.settle_idle(&host, now);
        if woke {
            self.wake();
        }
    }

    pub(super) fn settle_idle(&mut self, host: &str, now: u64) {
        let busy = self
            .jobs
            .values()
            .any(|j| j.placed.iter().any(|p| p.host == host))
            || self.holds.iter().any(|h| h.host == host);
        self.set_idle(host, busy, now);
    }

    /// Machines that something is placed on or held for.
    pub(super) fn busy_hosts(&self) -> HashSet<String> {
        let placed = self.jobs.values().flat_map(|j| &j.placed);
        placed
            .map(|p| p.host.clone())
            .chain(self.holds.iter().map(|h| h.host.clone()))
            .collect()
    }

    pub(super) fn set_idle(&mut self, host: &str, busy: bool, now: u64) {
        if let Some(m) = self.fleet.get_mut(host) {
            if busy || m.live().next().is_some() {
                m.idle_since = None;
            } else if m.idle_since.is_none() {
                m.idle_since = Some(now);
            }
        }
    }

    /// Room came free somewhere: gangs that back off for want of it look
    /// again.
    pub(super) fn wake(&mut self) {
        for j in self.jobs.values_mut() {
            j.miss_until = 0;
        }
        self.dirty = true;
    }

    /// The place is proven empty.
    pub(super) fn unplace(&mut self, id: &str, task: u32) {
        if let Some(j) = self.jobs.get_mut(id) {
            j.placed.retain(|p| p.task != task);
            j.touch();
            self.wake();
        }
    }

    pub(super) fn ended(&mut self, id: &str, task: u32, host: &str, cause: Cause, now: u64) {
        let Some(j) = self.jobs.get_mut(id) else {
            return;
        };
        debug!("{id}/{task} on {host} ended: {cause:?}");
        match cause {
            Cause::Done => {
                if j.spec.shape == Shape::Gang {
                    // They complete together: if one is done, all are.
                    let n = j.spec.tasks;
                    j.done.fill(n);
                } else if j.spec.shape == Shape::Array {
                    j.done.insert(task);
                }
                j.tries = 0;
            }
            Cause::Error => {
                j.shun.insert(host.to_string());
                j.tries += 1;
                let elsewhere = j.shun.len() > 1;
                // On a second machine the job itself is to blame: it rests,
                // and machines are not condemned for it.
                let wait = if elsewhere {
                    self.cl.workers.report_s * f64::from(1u32 << j.tries.min(5))
                } else {
                    0.0
                };
                j.rest_until = now + Self::ms(wait);
                if let Some(m) = self.fleet.get_mut(host) {
                    if !elsewhere && m.leaving.is_none() {
                        warn!("{host} failed {id}/{task}: it is drained and given back");
                        m.leaving = Some("a task failed on it");
                    }
                }
            }
            Cause::NoRoom | Cause::InUse | Cause::Unknown => {
                debug!("{host} refused {id}/{task}: {cause:?}");
                j.tries += 1;
                let wait = self.cl.workers.report_s * f64::from(1u32 << j.tries.min(4)) / 4.0;
                j.rest_until = now + Self::ms(wait);
            }
            Cause::Alone => {
                j.tries += 1;
                let wait = f64::from(1u32 << j.tries.min(4)).min(self.op.backoff_max_s);
                j.rest_until = now + Self::ms(wait);
            }
            Cause::Stopped { .. } | Cause::MatesGone => {}
        }
        self.unplace(id, task);
    }

    /// Whether a report tells of room that waiting tasks could have: an answer
    /// that waits a moment can carry their starts, instead of the next one a
    /// report interval later.
    pub fn may_fill(&self, r: &Report) -> bool {
        let ended = r.pieces.iter().any(|p| {
            matches!(
                wire::phase(&p.status, p.cause.as_deref(), p.kept),
                Phase::Ended(_)
            )
        });
        (ended || r.pieces.is_empty()) && self.jobs.values().any(|j| !j.want(1).is_empty())
    }

    /// Starts for a machine are on record, and none is on its way there.
    pub fn may_start(&self, host: &str) -> bool {
        let mut some = false;
        for j in self.jobs.values().filter(|j| !j.cancelled) {
            for p in j.placed.iter().filter(|p| p.host == host && p.ver > 0) {
                if p.ver > j.committed {
                    return false;
                }
                some |= p.sent.is_none() && p.phase.is_none() && p.stop.is_none();
            }
        }
        some
    }

    /// Orders for a machine whose check-in is being answered.
    pub fn orders(&mut self, r: &Report, may_start: bool, now: u64) -> Vec<Order> {
        let mut out = Vec::new();
        let Some(m) = self.fleet.get(&r.host) else {
            return out;
        };
        if (r.tenure, r.serial) != (m.tenure, m.serial) {
            // An old report that arrives late: nobody waits for the answer.
            return out;
        }
        for t in &m.tasks {
            let name = task_name(&t.job, t.task);
            if let Phase::Ended(cause) = t.phase {
                // `done` is on record before the worker forgets it.
                let safe = cause != Cause::Done
                    || self
                        .jobs
                        .get(&t.job)
                        .is_none_or(|j| j.done_committed.contains(t.task));
                if safe && out.len() < ORDERS_MAX {
                    out.push(wire::clear(name, t.attempt));
                }
            }
        }
        out.extend(self.direct.remove(&r.host).unwrap_or_default());
        let placeable = m.leaving.is_none() && m.reclaim_at.is_none();
        for (id, j) in self.jobs.iter_mut() {
            for p in j.placed.iter_mut().filter(|p| p.host == r.host) {
                if out.len() >= ORDERS_MAX {
                    return out;
                }
                let name = task_name(id, p.task);
                if let Some(s) = &mut p.stop {
                    let stuck =
                        now > s.since + Self::ms(s.grace_s + 2.0 * self.cl.workers.gang_peer_s);
                    let grace = if stuck { 0.0 } else { s.grace_s };
                    let told = s.sent.is_some_and(|t| now < t + 500);
                    if !told && (stuck || p.phase != Some(Phase::Saving)) {
                        s.sent = Some(now);
                        out.push(wire::stop(name, p.attempt, grace));
                    }
                } else if may_start
                    && placeable
                    && !j.cancelled
                    && p.ver > 0
                    && p.ver <= j.committed
                    && p.phase.is_none()
                    && p.sent.is_none()
                {
                    p.sent = Some((r.tenure, r.serial));
                    p.sends += 1;
                    p.since = now;
                    out.push(wire::start(name, p.attempt));
                }
            }
        }
        out
    }
}
