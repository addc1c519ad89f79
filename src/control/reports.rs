//! What workers report, and the orders that they get.

use super::*;

/// Check-ins in a row without any effect of what was told, after which nothing
/// that we say is thought to reach a machine.
pub(super) const UNHEEDED_MAX: u32 = 2;

impl Control {
    /// Takes in a worker's report. `checkin` tells whether it came by itself
    /// or in answer to a direct command. True if it tells of room that waiting
    /// tasks could have: an answer that waits a moment can carry their starts,
    /// instead of the next one a report interval later.
    pub fn report(&mut self, r: &Report, checkin: bool, now: u64) -> bool {
        if self.deletes.contains_key(&r.host) {
            // Gone for good: its report comes late.
            return false;
        }
        let lease = Self::ms(self.cl.workers.lease_s);
        let behind = self.is_behind(now);
        let m = self
            .fleet
            .entry(r.host.clone())
            .or_insert_with(|| Machine::new(&r.host, &r.flavor, &r.hall, r.loaner, now));
        let was = (m.heard.is_some(), m.epoch, m.tenure);
        if !m.take(r, now) {
            return false;
        }
        self.heard_at = now;
        let proves = !checkin && m.unproven;
        let woke = (was.0, was.1) != (true, m.epoch) || proves;
        if m.delete_sent.is_some() && m.leaving.is_none() {
            m.leaving = Some("its deletion was sent");
        }
        let answered = m.answered.is_some_and(|t| now < t + lease * 3 / 4);
        if checkin && behind {
            // Our answer may have come too late to be taken.
            m.told = None;
        } else if checkin {
            m.heed(r);
            m.unproven |= was.0 && m.tenure > was.2 && answered;
        }
        m.unproven &= !proves;
        if checkin {
            m.checked_in = Some(now);
            // What hears no answer for a lease begins a new session.
            let hears = lease + Self::ms(self.cl.workers.report_s);
            m.settle_doubt(hears, now);
        }
        let host = m.name.clone();
        let fresh = r.epoch >= self.epoch;
        let placeable = m.stays() && fresh;
        let mine = m.on.clone();
        let mut pending = false;
        let mut room = !m.busy() && (woke || m.idle_since == Some(now) || r.pieces.is_empty());
        // A report without our token may be a copy from before an earlier leader
        // cleared a task and started it again under its attempt, or of a session
        // that is over: what it says of places proves nothing.
        for o in mine.into_iter().filter(|_| fresh) {
            let found = self.fleet[&r.host]
                .tasks
                .iter()
                .find(|t| t.task == o.task && t.attempt == o.attempt && *t.job == *o.job)
                .map(|t| t.phase);
            let alone = found == Some(Phase::Ended(Cause::Alone));
            let gathers = alone && placeable && self.gathers(&o.job, now);
            let Some(j) = self.jobs.get_mut(&*o.job) else {
                continue;
            };
            let Some(p) = j.place_mut(o.task) else {
                continue;
            };
            // A second start has the attempt of the first: what overtook the answer
            // that carries it tells of the first one's end.
            let overtook =
                |tenure, serial| p.again && r.tenure == tenure && !(checkin && r.serial > serial);
            if matches!(p.sent, Some(Sent::Answer { tenure, serial }) if overtook(tenure, serial)) {
                continue;
            }
            match found {
                Some(_) if gathers => {
                    // The image of another took longer than it may wait. The
                    // answer clears it, then starts it anew: the attempt is
                    // the same, as the protocol has it for replacements.
                    self.restart(&o.job, o.task);
                }
                Some(Phase::Ended(cause)) => {
                    room = true;
                    self.ended(&o.job, o.task, &host, cause, now);
                }
                Some(phase) => {
                    if phase == Phase::Running && p.running_since.is_none() {
                        debug!("{} runs on {host}", task_name(&o.job, o.task));
                        p.running_since = Some(now);
                        if let Some(m) = self.fleet.get_mut(&r.host) {
                            m.view = None;
                        }
                    }
                    let fetched =
                        p.phase.is_none_or(|x| x == Phase::Fetching) && phase != Phase::Fetching;
                    p.phase = Some(phase);
                    if fetched {
                        let f = self.flavors.iter().find(|f| f.sku == r.flavor);
                        if let Some(m) = self.fleet.get_mut(&r.host) {
                            m.cached(&j.spec.image, j.spec.image_gb, f);
                        }
                    }
                }
                None => {
                    let proven = p.phase.is_some()
                        || match (p.ver, p.sent) {
                            // An earlier leader's start can't be taken any
                            // more once the worker has seen this epoch.
                            (0, None) => !p.again,
                            (_, None) => false,
                            // A start travels in the answer to a check-in, and
                            // the next check-in comes after it was taken or
                            // dropped. Other bodies may overtake the answer.
                            (_, Some(Sent::Answer { tenure, serial })) => {
                                checkin && (r.tenure, r.serial) > (tenure, serial)
                            }
                            // One that went straight to the worker may lie
                            // in the network until the session is over.
                            (_, Some(Sent::Direct { tenure, .. })) => r.tenure > tenure,
                        };
                    if !proven {
                        pending |= matches!(p.sent, Some(Sent::Direct { .. }));
                        continue;
                    }
                    // It is on record, so it may as well be started: also what
                    // an earlier leader did not come to.
                    let again = p.phase.is_none() && p.sends < 3 && p.stop.is_none();
                    if again && placeable && !j.cancelled && self.has_room_for(&o, &host) {
                        self.restart(&o.job, o.task);
                    } else {
                        debug!("{} is not on {host}", task_name(&o.job, o.task));
                        room = true;
                        self.unplace(&o.job, o.task, now);
                    }
                }
            }
        }
        let Some(m) = self.fleet.get_mut(&r.host) else {
            return false;
        };
        // What has no place on record must not be there.
        let strays: Vec<Order> = m
            .strays()
            .map(|t| wire::stop(task_name(&t.job, t.task), t.attempt, 0.0))
            .collect();
        if !pending {
            m.direct_at = None;
        }
        m.look_for_strays();
        m.settle_idle(self.epoch, now);
        if !strays.is_empty() {
            self.direct.entry(host).or_default().extend(strays);
        }
        if woke {
            self.wake();
        }
        room && placeable && self.waiting
    }

    /// Whether a place on record that is proven empty may still be used. Not if its
    /// task was stopped to make room, the room was given to another and that recorded,
    /// and the leader ended before it struck the first off: then the machine's room or
    /// the team's limit is given out twice.
    fn has_room_for(&self, o: &OnRecord, host: &str) -> bool {
        let (Some(m), Some(j)) = (self.fleet.get(host), self.jobs.get(&*o.job)) else {
            return false;
        };
        let team = self.cl.teams.iter().find(|t| t.name == j.spec.team);
        let limited = team.is_some_and(|t| t.cpus_max > 0.0 || t.gpus_max > 0.0);
        self.free(m).fits(Room::default())
            && (!limited || self.teams()[&j.spec.team].within_limit())
    }

    /// A task that is on record and proven not to be on its machine may be
    /// started there under its attempt.
    fn restart(&mut self, id: &str, task: u32) {
        let Some(p) = self.jobs.get_mut(id).and_then(|j| j.place_mut(task)) else {
            return;
        };
        p.again = true;
        p.sent = None;
        p.phase = None;
    }

    /// A worker has said that it did not carry out a start that went straight
    /// to it, or the start never left: it may go out anew.
    pub fn not_started(&mut self, host: &str, starts: &[Start], shut: bool, now: u64) {
        if let Some(m) = self.fleet.get_mut(host).filter(|_| shut) {
            m.shut_until = now + Self::ms(self.cl.workers.report_s);
        }
        for s in starts {
            let Some(j) = self.jobs.get_mut(&*s.job) else {
                continue;
            };
            let p = j.placed.iter_mut().find(|p| {
                p.task == s.task
                    && p.attempt == s.attempt
                    && *p.host == *host
                    && p.phase.is_none()
                    && matches!(p.sent, Some(Sent::Direct { .. }))
            });
            let Some(p) = p else { continue };
            p.sent = None;
            self.startable.insert(p.host.clone());
            self.dirty = true;
        }
    }

    pub(super) fn ended(&mut self, id: &str, task: u32, host: &Arc<str>, cause: Cause, now: u64) {
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
                if let Some(m) = self.fleet.get_mut(&**host) {
                    m.failed.clear();
                }
            }
            Cause::Error => {
                let long = Self::ms(self.cl.workers.report_s);
                // Whether it has shown that it can run.
                let works = !j.done.is_empty()
                    || j.placed
                        .iter()
                        .any(|p| p.running_since.is_some_and(|t| now > t + long));
                j.shun.insert(host.clone());
                let first = j.shun.len() == 1;
                let m = self.fleet.get_mut(&**host);
                let sick = m.is_some_and(|m| {
                    m.failed.insert(j.id.clone());
                    let sick = first || works || m.failed.len() > 1;
                    if sick && m.leaving.is_none() {
                        warn!("{host} failed {id}/{task}: it is drained and given back");
                        m.leaving = Some("a task failed on it");
                        m.view = None;
                    }
                    sick
                });
                // What has failed on several machines, on which nothing else
                // has, and has never run is itself to blame: it rests, and
                // machines are not condemned for it. Many tasks that fail
                // together count once.
                if !sick && now >= j.rest_until {
                    j.tries += 1;
                    let wait = self.cl.workers.report_s * f64::from(1u32 << (j.tries - 1).min(5));
                    j.rest_until = now + Self::ms(wait.min(self.cl.workers.lease_s));
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
        self.unplace(id, task, now);
    }

    /// Starts for a machine are on record, and none is on its way there.
    pub fn may_start(&self, host: &str) -> bool {
        self.startable.contains(host)
    }

    /// Whether there are any such.
    pub fn starts_wait(&self) -> bool {
        !self.startable.is_empty()
    }

    /// The starts that are due on a machine, marked as sent.
    fn starts(&mut self, host: &str, how: Sent, now: u64) -> Vec<Start> {
        let mut out = Vec::new();
        self.startable.remove(host);
        let Some(m) = self.fleet.get(host) else {
            return out;
        };
        if !m.stays() {
            return out;
        }
        for o in &m.on {
            let Some(j) = self.jobs.get_mut(&*o.job) else {
                continue;
            };
            if j.cancelled {
                continue;
            }
            let committed = j.committed;
            let Some(p) = j.place_mut(o.task) else {
                continue;
            };
            let direct = matches!(how, Sent::Direct { .. });
            if p.unsent() && p.ver <= committed && p.stop.is_none() && !(direct && p.again) {
                p.sent = Some(how);
                p.sends += 1;
                p.since = now;
                out.push(Start {
                    job: o.job.clone(),
                    task: o.task,
                    attempt: o.attempt,
                });
            }
        }
        out
    }

    /// Starts that have no check-in to go with go straight to the workers
    /// that are known to have our token.
    pub fn direct_starts(&mut self, may_start: bool, now: u64) {
        if !may_start || self.swamped(now) {
            return;
        }
        for host in std::mem::take(&mut self.startable) {
            let Some(m) = self.fleet.get(&*host) else {
                continue;
            };
            let (Some(to), tenure) = (m.addr, m.tenure) else {
                continue;
            };
            if tenure == 0 || now < m.shut_until || !self.placeable(m, now) {
                // Its next check-in takes them.
                continue;
            }
            if !self.straight.take(now, 1.0, 0.0) {
                // A check-in may come first.
                self.startable.insert(host);
                continue;
            }
            let starts = self.starts(&host, Sent::Direct { tenure, at: now }, now);
            if starts.is_empty() {
                continue;
            }
            if let Some(m) = self.fleet.get_mut(&*host) {
                m.direct_at = Some(now);
            }
            let orders = starts
                .iter()
                .map(|s| wire::start(task_name(&s.job, s.task), s.attempt))
                .collect();
            self.effects.push(Effect::Direct {
                host,
                to,
                tenure,
                orders,
                starts,
            });
        }
    }

    /// Orders for a machine whose check-in is being answered.
    pub fn orders(&mut self, r: &Report, may_start: bool, now: u64) -> Vec<Order> {
        let mut out = Vec::new();
        let Some(m) = self.fleet.get_mut(&r.host) else {
            return out;
        };
        if (r.tenure, r.serial) != (m.tenure, m.serial) {
            // An old report that arrives late: nobody waits for the answer.
            return out;
        }
        m.answered = Some(now);
        let mut expects = Vec::new();
        let fresh = r.epoch >= self.epoch;
        if !fresh {
            expects.push(Expect::Token(self.epoch));
        }
        // What was not taken in is not to be forgotten, either.
        for t in m.tasks.iter().filter(|_| fresh) {
            if let Phase::Ended(cause) = t.phase {
                // `done` is on record before the worker forgets it.
                let safe = cause != Cause::Done
                    || self
                        .jobs
                        .get(&t.job)
                        .is_none_or(|j| j.done_committed.contains(t.task));
                if safe && out.len() < ORDERS_MAX {
                    out.push(wire::clear(task_name(&t.job, t.task), t.attempt));
                    expects.push(Expect::Cleared(t.job.clone(), t.task, t.attempt));
                }
            }
        }
        let host = m.name.clone();
        out.extend(self.direct.remove(&*host).unwrap_or_default());
        let peer = 2.0 * self.cl.workers.gang_peer_s;
        for o in &m.on {
            let job = self.jobs.get_mut(&*o.job);
            let Some(p) = job.and_then(|j| j.place_mut(o.task)) else {
                continue;
            };
            let Some(s) = &mut p.stop else { continue };
            let stuck = now > s.since + Self::ms(s.grace_s + peer);
            let grace = if stuck { 0.0 } else { s.grace_s };
            let told = s.sent.is_some_and(|t| now < t + 500);
            if !told && (stuck || p.phase != Some(Phase::Saving)) && out.len() < ORDERS_MAX {
                s.sent = Some(now);
                out.push(wire::stop(task_name(&o.job, o.task), p.attempt, grace));
            }
        }
        if may_start {
            let how = Sent::Answer {
                tenure: r.tenure,
                serial: r.serial,
            };
            for s in self.starts(&host, how, now) {
                out.push(wire::start(task_name(&s.job, s.task), s.attempt));
                expects.push(Expect::There(s.job, s.task, s.attempt));
            }
        }
        if !expects.is_empty() {
            if let Some(m) = self.fleet.get_mut(&*host) {
                m.told = Some(Told {
                    tenure: r.tenure,
                    serial: r.serial,
                    expects,
                });
            }
        }
        out
    }
}
