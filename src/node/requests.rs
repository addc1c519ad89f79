//! Users' requests and workers' check-ins.

use super::*;

impl Node {
    pub(super) fn answer(
        &mut self,
        conn: usize,
        status: u16,
        retry_after: Option<u32>,
        body: Vec<u8>,
    ) {
        self.out.push(Action::Answer {
            conn,
            status,
            retry_after,
            body,
        });
    }

    pub(super) fn answer_to(
        &mut self,
        caller: Caller,
        status: u16,
        retry: Option<u32>,
        body: Vec<u8>,
    ) {
        if caller.handed {
            let h = Handed {
                status: u32::from(status),
                retry_after: retry,
                body,
            };
            self.answer(caller.conn, 200, None, h.encode_to_vec());
        } else {
            self.answer(caller.conn, status, retry, body);
        }
    }

    pub(super) fn request(&mut self, conn: usize, door: Door, r: Request) {
        *match (door, r.path.as_str()) {
            (Door::Mesh, _) => &mut self.traffic.peers,
            (_, CHECKIN) => &mut self.traffic.checkins,
            _ => &mut self.traffic.users,
        } += 1;
        match door {
            Door::Mesh => match r.path.as_str() {
                STATUS_PATH => match Status::decode(r.body.as_slice()) {
                    Ok(s) => {
                        let member = s.member.clone();
                        let body = self.status_for(&s).encode_to_vec();
                        self.peer_status(&member, s);
                        self.answer(conn, 200, None, body);
                    }
                    Err(_) => self.answer(conn, 400, None, vec![]),
                },
                HAND_PATH => match Hand::decode(r.body.as_slice()) {
                    Ok(h) => self.user(Caller { conn, handed: true }, &h.method, &h.path, h.body),
                    Err(_) => self.answer(conn, 400, None, vec![]),
                },
                _ => self.answer(conn, 404, None, vec![]),
            },
            Door::Front => match (r.method.as_str(), r.path.as_str()) {
                ("POST", CHECKIN) => self.checkin(conn, &r.body),
                ("GET", "/up") => {
                    let ok = self.up();
                    self.answer(conn, if ok { 200 } else { 503 }, None, vec![]);
                }
                (_, CHECKIN | "/up") => self.answer(conn, 405, None, vec![]),
                (m, p) => {
                    let (m, p) = (m.to_string(), p.to_string());
                    self.user(
                        Caller {
                            conn,
                            handed: false,
                        },
                        &m,
                        &p,
                        r.body,
                    );
                }
            },
        }
    }

    /// Fails for a controller that the state service refuses while another
    /// one is served, or which hears none: users would keep to it and get no
    /// answer for as long as it is cut off. An outage that all see takes nobody
    /// out.
    pub fn up(&self) -> bool {
        if !self.picture.loaded || self.outdated() {
            return false;
        }
        let alone = !self.peers.is_empty() && self.live_peers().next().is_none();
        self.served() || !(alone || self.live_peers().any(|p| p.status.served))
    }

    pub(super) fn checkin(&mut self, conn: usize, body: &[u8]) {
        let now = self.now.steady;
        let Some(r) = wire::decode::<wire::Report>(body) else {
            return self.answer(conn, 400, None, vec![]);
        };
        let w = &self.set.cluster.workers;
        // How long reports are answered although there may be cancellations
        // that this controller does not know of: a worker that hears nothing
        // afterwards ends its tasks before they run out.
        let bound = ((w.cancel_s - w.lease_s) * 750.0) as u64;
        let sure = self.lead.sure(now);
        let known = self.known_at();
        if let Some(c) = &mut self.control {
            if r.epoch > c.epoch {
                self.resign("a worker has seen a higher epoch", 0);
            } else if known.is_none_or(|t| now > t + bound) {
                return self.answer(conn, 503, Some(1), vec![]);
            } else {
                let room = c.report(&r, true, now);
                self.reached = Some(now);
                if sure && room {
                    let until = now + (w.report_s * 100.0) as u64;
                    self.filling.push(Filling {
                        conn,
                        report: r,
                        until,
                    });
                    return;
                }
                return self.answer_checkin(conn, &r);
            }
        }
        self.turned_away.insert(r.host, now);
        let to = self
            .picture
            .leader()
            .map(|(l, _)| l.member.clone())
            .filter(|m| *m != self.set.member);
        let body = wire::encode(&wire::Elsewhere { reports_to: to });
        self.answer(conn, 421, None, body);
    }

    /// Leadership is certain and the picture fresh enough to start tasks.
    pub(super) fn may_start(&self) -> bool {
        let now = self.now.steady;
        let fresh = self.fresh.is_some_and(|f| now < f.at + WATCH_MS + STATE_MS);
        fresh && self.lead.sure(now)
    }

    /// Answers a check-in that was taken in, with what there is to do.
    pub(super) fn answer_checkin(&mut self, conn: usize, r: &wire::Report) {
        let now = self.now.steady;
        let may_start = self.may_start();
        let Some(c) = &mut self.control else {
            // It led a moment ago: the next report finds out who does.
            return self.answer(conn, 503, Some(1), vec![]);
        };
        let reply = wire::Orders {
            epoch: c.epoch,
            tenure: None,
            orders: c.orders(r, may_start, now),
        };
        trace!(
            "{} {}/{} reports {:?}, gets {:?}",
            r.host,
            r.tenure,
            r.serial,
            r.pieces,
            reply.orders
        );
        let body = wire::encode(&reply);
        self.answer(conn, 200, None, body);
    }

    /// Check-ins whose answer waits for starts: they go out as soon as those
    /// are on record, or without them after a tenth of a report interval.
    pub(super) fn fill(&mut self) {
        let now = self.now.steady;
        // They came in this order, and all wait equally long.
        let first = self.filling.first().map(|f| f.until);
        let starts = self.control.as_ref().is_none_or(Control::starts_wait);
        if !starts && first.is_none_or(|t| now < t) {
            return;
        }
        let mut waiting = Vec::new();
        for f in std::mem::take(&mut self.filling) {
            let ready = match &self.control {
                Some(c) => now >= f.until || c.may_start(&f.report.host),
                None => true,
            };
            if ready {
                self.answer_checkin(f.conn, &f.report);
            } else {
                waiting.push(f);
            }
        }
        self.filling = waiting;
    }

    pub(super) fn fault(&mut self, caller: Caller, status: u16, retry: Option<u32>, why: &str) {
        let body = wire::encode(&wire::Fault { error: why });
        self.answer_to(caller, status, retry, body);
    }

    pub(super) fn user(&mut self, caller: Caller, method: &str, path: &str, body: Vec<u8>) {
        let rest = match path.strip_prefix("/work") {
            Some(r) if r.is_empty() || r.starts_with('/') => r,
            _ => return self.fault(caller, 404, None, "no such path"),
        };
        let (id, ask) = if rest.is_empty() {
            if method != "POST" {
                return self.fault(caller, 405, None, "only POST here");
            }
            let Some((id, spec)) = wire::submission(&body) else {
                debug!("malformed submission: {}", wire::readable(&body));
                return self.fault(caller, 400, None, "malformed submission");
            };
            (id, Ask::Submit(Box::new(spec)))
        } else {
            let name = &rest[1..];
            match name.strip_suffix("/cancel") {
                Some(id) if method == "POST" => (id.to_string(), Ask::Cancel),
                None if method == "GET" && !name.contains('/') => (name.to_string(), Ask::Poll),
                None if name.contains('/') => return self.fault(caller, 404, None, "no such path"),
                _ => return self.fault(caller, 405, None, "not this method here"),
            }
        };
        if !wire::job_id_ok(&id) {
            return self.fault(caller, 404, None, "no such job");
        }
        // An end is final: no need to read anything.
        if let Some(f) = self.picture.end_of(&id) {
            return self.answer_status(caller, &id, 200, f.name(), None);
        }
        if !self.admission.admits(self.users.len()) {
            return self.fault(caller, 429, Some(1), "too much at once");
        }
        let now = self.now.steady;
        let user = self.next_user;
        self.next_user += 1;
        let fresh = Stage::Fresh {
            after: self.turn,
            rev: 0,
        };
        let mut p = Pending {
            caller,
            id,
            ask,
            since: now,
            stage: fresh,
            body,
            found: vec![],
            astray: false,
        };
        if !self.picture.loaded || !self.served() || self.outdated() {
            return self.hand(user, p);
        }
        if let Ask::Submit(spec) = &p.ask {
            if !self.picture.jobs.contains_key(&p.id) {
                match self.decide(spec) {
                    Ok(()) => {}
                    Err((status, why)) => {
                        // Even so it may have been accepted before.
                        if status == 422 {
                            debug!("{}: {why}", p.id);
                        }
                        p.stage = fresh;
                        self.users.insert(user, p);
                        return;
                    }
                }
                self.users.insert(user, p);
                return self.create_or_look(user);
            }
        }
        self.users.insert(user, p);
    }

    /// Whether a job can run at all.
    pub(super) fn decide(&self, spec: &Spec) -> Result<(), (u16, &'static str)> {
        let Some(team) = self.set.cluster.teams.iter().find(|t| t.name == spec.team) else {
            return Err((422, "unknown team"));
        };
        let n = if spec.shape == Shape::Gang {
            f64::from(spec.tasks)
        } else {
            1.0
        };
        let over = |max: f64, need: f64| max > 0.0 && need * n > max + 1e-6;
        if over(team.cpus_max, spec.cpus) || over(team.gpus_max, spec.gpus) {
            return Err((422, "more than the team's limit"));
        }
        if self.flavors.is_empty() {
            return Err((503, "the machine types are not known yet"));
        }
        if !cloud::can_run(spec, &self.flavors) {
            return Err((422, "fits no allowed machine type"));
        }
        self.keepable(spec)
    }

    pub(super) fn create(&mut self, user: u64, p: &mut Pending) {
        let Ask::Submit(spec) = &p.ask else { return };
        let record = Record::new((**spec).clone(), self.now.wall);
        p.stage = Stage::Commit;
        self.queue.push(Item {
            who: Who::User(user),
            conds: vec![
                Cond {
                    key: job_key(&p.id),
                    stamp: 0,
                },
                Cond {
                    key: final_key(&p.id),
                    stamp: 0,
                },
            ],
            writes: vec![Write::set(job_key(&p.id), record.to_value(self.format()))],
            rank: USERS,
        });
    }

    /// Hands a request to a controller that is served, or says when to come
    /// back.
    pub(super) fn hand(&mut self, user: u64, mut p: Pending) {
        let now = self.now.steady;
        let to = self
            .set
            .known
            .iter()
            .find(|k| {
                self.peers
                    .get(&k.member)
                    .is_some_and(|v| v.status.served && v.heard.is_some_and(|t| now < t + HEARD_MS))
            })
            .map(|k| k.address);
        let (Some(to), false) = (to, p.caller.handed) else {
            return self.fault(p.caller, 503, Some(1), "the state service does not answer");
        };
        let (method, path) = match &p.ask {
            Ask::Submit(_) => ("POST", "/work".to_string()),
            Ask::Poll => ("GET", format!("/work/{}", p.id)),
            Ask::Cancel => ("POST", format!("/work/{}/cancel", p.id)),
        };
        let body = Hand {
            method: method.into(),
            path,
            body: p.body.clone(),
        }
        .encode_to_vec();
        p.stage = Stage::Handed;
        self.users.insert(user, p);
        self.call(
            Call::Hand { user },
            to,
            "POST",
            HAND_PATH.into(),
            body,
            1600,
        );
    }

    pub(super) fn finish(&mut self, user: u64, status: u16, retry: Option<u32>, body: Vec<u8>) {
        if let Some(p) = self.users.remove(&user) {
            let now = self.now.steady;
            self.admission
                .took(now - p.since, self.users.len() + 1, now);
            self.answer_to(p.caller, status, retry, body);
        }
    }

    pub(super) fn answer_status(
        &mut self,
        caller: Caller,
        id: &str,
        status: u16,
        name: &str,
        counts: Option<(u64, u64)>,
    ) {
        if name == wire::WITHDRAWN {
            self.tells_withdrawn(id);
        }
        let body = wire::encode(&wire::JobStatus {
            id,
            status: name,
            done: counts.map(|c| c.0),
            running: counts.map(|c| c.1),
        });
        self.answer_to(caller, status, None, body);
    }

    pub(super) fn finish_status(
        &mut self,
        user: u64,
        status: u16,
        name: &str,
        counts: Option<(u64, u64)>,
    ) {
        let Some(p) = self.users.remove(&user) else {
            return;
        };
        let now = self.now.steady;
        self.admission
            .took(now - p.since, self.users.len() + 1, now);
        self.answer_status(p.caller, &p.id, status, name, counts);
    }

    /// The picture was read anew: whoever waited for that goes on.
    pub(super) fn users_fresh(&mut self) {
        if !self.picture.loaded {
            // It is being read anew, and lacks what is on later pages.
            return;
        }
        let fresh = self.fresh.map_or(0, |f| f.turn);
        let rev_now = self.picture.rev;
        let ready: Vec<u64> = self
            .users
            .iter()
            .filter(|(_, p)| matches!(p.stage, Stage::Fresh { after, rev } if after <= fresh && rev <= rev_now))
            .map(|(u, _)| *u)
            .collect();
        for u in ready {
            self.resolve(u);
        }
    }

    /// Decides with a picture that is newer than the request.
    pub(super) fn resolve(&mut self, user: u64) {
        let Some(p) = self.users.get(&user) else {
            return;
        };
        let id = p.id.clone();
        if let Some(f) = self.picture.end_of(&id) {
            return self.finish_status(user, 200, f.name(), None);
        }
        let Some(live) = self.picture.jobs.get(&id) else {
            // Neither alive nor known to be over: look.
            if let Some(p) = self.users.get_mut(&user) {
                p.stage = Stage::Read;
            }
            let path = format!("/kv/{}", final_key(&id));
            self.state(Call::ReadFinal { user }, "GET", path, vec![], 1000);
            return;
        };
        let (record, stamp) = (live.record.clone(), live.stamp);
        if self.picture.called_off(&id) {
            return self.finish_status(user, 200, wire::WITHDRAWN, None);
        }
        match p.ask {
            Ask::Cancel => {
                let mut r = (*record).clone();
                r.cancelled = true;
                if let Some(p) = self.users.get_mut(&user) {
                    p.stage = Stage::Commit;
                }
                self.queue.push(Item {
                    who: Who::User(user),
                    conds: vec![Cond {
                        key: job_key(&id),
                        stamp,
                    }],
                    writes: vec![Write::set(job_key(&id), r.to_value(self.format()))],
                    rank: USERS,
                });
            }
            // It may have fallen with one that is yet to be looked up.
            _ if self.picture.deps.unsure(&id) => {
                let after = self.turn + 1;
                if let Some(p) = self.users.get_mut(&user) {
                    p.stage = Stage::Fresh { after, rev: 0 };
                }
            }
            Ask::Poll | Ask::Submit(_) => {
                let running = record.placed();
                let name = if running > 0 {
                    wire::RUNNING
                } else {
                    wire::PENDING
                };
                self.finish_status(user, 200, name, Some((record.done.len(), running)));
            }
        }
    }

    pub(super) fn read_final(&mut self, user: u64, outcome: &Outcome) {
        let Some(p) = self.users.get(&user) else {
            return;
        };
        let id = p.id.clone();
        match outcome {
            Outcome::Answer { status: 200, body } => match wire::final_read(body) {
                Some(f) => {
                    self.picture.ended(&id, f);
                    self.digest();
                    self.finish_status(user, 200, f.name(), None);
                }
                None => self.finish(user, 503, Some(1), vec![]),
            },
            Outcome::Answer { status: 404, .. } => match &p.ask {
                Ask::Submit(spec) => match self.decide(spec) {
                    Ok(()) if p.astray => {
                        let body = wire::encode(&wire::Fault {
                            error: "names a job that was never accepted",
                        });
                        self.finish(user, 422, None, body);
                    }
                    Ok(()) => self.create_or_look(user),
                    Err((status, why)) => {
                        let body = wire::encode(&wire::Fault { error: why });
                        let retry = (status == 503).then_some(1);
                        self.finish(user, status, retry, body);
                    }
                },
                _ => {
                    let body = wire::encode(&wire::Fault {
                        error: "no such job",
                    });
                    self.finish(user, 404, None, body);
                }
            },
            _ => self.unserved(user),
        }
    }

    pub(super) fn user_settled(&mut self, user: u64, commit: &Commit) {
        let (now, turn) = (self.now.steady, self.turn);
        let Some(p) = self.users.get_mut(&user) else {
            return;
        };
        match commit {
            Commit::Done { .. } => match p.ask {
                Ask::Cancel => self.finish_status(user, 200, wire::WITHDRAWN, None),
                _ => self.finish_status(user, 201, wire::PENDING, None),
            },
            // Somebody else was there first: see what stands now.
            Commit::Conflict { rev, .. } => {
                p.stage = Stage::Fresh {
                    after: turn,
                    rev: *rev,
                }
            }
            Commit::Refused | Commit::Unknown => {
                p.stage = Stage::Pause { until: now + 150 };
            }
        }
    }

    /// A read failed: hand on, or say when to come back.
    pub(super) fn unserved(&mut self, user: u64) {
        if let Some(p) = self.users.remove(&user) {
            self.hand(user, p);
        }
    }

    pub(super) fn users_unserved(&mut self) {
        let waiting: Vec<u64> = self
            .users
            .iter()
            .filter(|(_, p)| matches!(p.stage, Stage::Fresh { .. }))
            .map(|(u, _)| *u)
            .collect();
        for u in waiting {
            self.unserved(u);
        }
    }

    pub(super) fn users_tick(&mut self) {
        let now = self.now.steady;
        let mut late = Vec::new();
        let mut again = Vec::new();
        for (u, p) in &self.users {
            let most = match p.ask {
                Ask::Poll => POLL_MS,
                _ => SUBMIT_MS,
            };
            if now > p.since + most {
                late.push(*u);
            } else if matches!(p.stage, Stage::Pause { until } if now >= until) {
                again.push(*u);
            }
        }
        for u in late {
            // Its change may still get through; the user asks again.
            self.queue
                .withdraw(|w| matches!(w, Who::User(x) if *x == u));
            self.finish(u, 503, Some(1), vec![]);
        }
        for u in again {
            if !self.served() {
                self.unserved(u);
                continue;
            }
            let Some(mut p) = self.users.get(&u).cloned() else {
                continue;
            };
            match p.ask {
                // The same create: if the first one got through, this one
                // fails on its condition and the job is found.
                Ask::Submit(_) => self.create(u, &mut p),
                _ => {
                    p.stage = Stage::Fresh {
                        after: self.turn,
                        rev: 0,
                    }
                }
            }
            self.users.insert(u, p);
        }
    }
}
