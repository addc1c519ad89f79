//! Jobs that need others: what a submission may name, and ends that a live job's
//! standing hangs on and nobody remembers.

use super::*;
use crate::deps::{Known, Then};

/// Ends that are looked up at a time.
const LOOKS_MAX: usize = 8;
/// Part of a value that a job's own fields may take, so that there is room for where
/// its tasks are.
const SPEC_SHARE: f64 = 0.6;

impl Node {
    /// Tells the leader's mind what changes of the picture mean for jobs that need
    /// others.
    pub(super) fn digest(&mut self) {
        let now = self.now;
        for t in self.picture.take_then() {
            let Some(c) = &mut self.control else { continue };
            match t {
                Then::Ready(id) => c.needs_met(&id, now.wall),
                Then::Fallen(id) => c.called_off(&id, now.steady),
            }
        }
    }

    /// A job that a submission names and of which nothing is known here.
    fn unknown_need(&self, spec: &Spec) -> Option<String> {
        let unknown = |n: &&String| self.picture.known(n) == Known::Unknown;
        spec.needs.iter().find(unknown).cloned()
    }

    /// Accepts a job, if all that it names is known to have been accepted. True if so.
    pub(super) fn create_if_known(&mut self, user: u64, p: &mut Pending) -> bool {
        let Ask::Submit(spec) = &p.ask else {
            return false;
        };
        if self.unknown_need(spec).is_some() {
            return false;
        }
        if !spec.needs.is_empty() {
            self.prove("a submission names dependencies");
        }
        self.create(user, p);
        true
    }

    /// Nothing is known of a new job: accepts it, or looks up what it names first.
    pub(super) fn create_or_look(&mut self, user: u64, spec: &Spec) {
        let Some(mut p) = self.users.get(&user).cloned() else {
            return;
        };
        if self.create_if_known(user, &mut p) {
            self.users.insert(user, p);
        } else if let Some(need) = self.unknown_need(spec) {
            // The picture is newer than the request, so it is not alive.
            let path = format!("/kv/{}", final_key(&need));
            self.state(Call::ReadNeed { user, need }, "GET", path, vec![], 1000);
        }
    }

    pub(super) fn read_need(&mut self, user: u64, need: &str, outcome: &Outcome) {
        match outcome {
            Outcome::Answer { status: 200, body } => {
                if let Some(f) = wire::final_read(body) {
                    self.picture.ended(need, f);
                    self.digest();
                }
                let ask = self.users.get(&user).map(|p| p.ask.clone());
                if let Some(Ask::Submit(spec)) = ask {
                    self.create_or_look(user, &spec);
                }
            }
            Outcome::Answer { status: 404, .. } if self.picture.known(need) == Known::Unknown => {
                let body = wire::encode(&wire::Fault {
                    error: "names a job that was never accepted",
                });
                self.finish(user, 422, None, body);
            }
            Outcome::Answer { status: 404, .. } => {
                let ask = self.users.get(&user).map(|p| p.ask.clone());
                if let Some(Ask::Submit(spec)) = ask {
                    self.create_or_look(user, &spec);
                }
            }
            _ => self.unserved(user),
        }
    }

    /// Whether a job's own fields leave room for its tasks' places.
    pub(super) fn keepable(&self, spec: &Spec) -> bool {
        let most = self.set.cluster.state.lowered().value_kb * 1024.0 * SPEC_SHARE;
        let record = Record::new(spec.clone(), self.now.wall).to_value(0);
        crate::job::json_len(&record) as f64 <= most
    }

    pub(super) fn look_up_tick(&mut self) {
        let now = self.now.steady;
        if !self.picture.loaded || now < self.look_next {
            return;
        }
        let due: Vec<String> = self
            .picture
            .deps
            .unknown()
            .iter()
            .filter(|n| !self.looking.contains(*n))
            .take(LOOKS_MAX.saturating_sub(self.looking.len()))
            .cloned()
            .collect();
        for need in due {
            if !self.requests.take(now, 1.0, 0.1) {
                return;
            }
            self.looking.insert(need.clone());
            let path = format!("/kv/{}", final_key(&need));
            self.state(Call::LookUp { need }, "GET", path, vec![], 1000);
        }
    }

    pub(super) fn looked_up(&mut self, need: &str, outcome: &Outcome) {
        self.looking.remove(need);
        match outcome {
            Outcome::Answer { status: 200, body } => {
                if let Some(f) = wire::final_read(body) {
                    self.picture.ended(need, f);
                    self.digest();
                }
            }
            // Alive, and not in the picture yet; or the service is in trouble.
            _ => self.look_next = self.now.steady + 300,
        }
    }
}
