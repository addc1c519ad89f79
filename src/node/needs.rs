//! Jobs that need others: what a submission may name, and ends that a live job's
//! standing hangs on and nobody remembers.

use super::*;
use crate::deps::{Known, Then};

/// Ends that are looked up at a time.
const LOOKS_MAX: usize = 8;
/// What a task's place takes in a packed record at most, with a machine's name of usual
/// length of which nothing is left out.
const PLACE_BYTES: f64 = 16.0;
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

    /// Accepts a new job if all that it names is known to have been accepted; else looks
    /// for the first of the others. Another controller may have accepted it a moment ago,
    /// so its record is read, and then, if it is not alive, how it ended.
    pub(super) fn create_or_look(&mut self, user: u64) {
        let Some(mut p) = self.users.get(&user).cloned() else {
            return;
        };
        let Ask::Submit(spec) = &p.ask else { return };
        let unknown = |n: &&String| self.picture.known(n) == Known::Unknown && !p.found.contains(n);
        if let Some(need) = spec.needs.iter().find(unknown).cloned() {
            if let Some(p) = self.users.get_mut(&user) {
                p.stage = Stage::Read;
            }
            return self.look_for(user, need, false);
        }
        if !spec.needs.is_empty() {
            self.prove("a submission names dependencies");
        }
        self.create(user, &mut p);
        self.users.insert(user, p);
    }

    fn look_for(&mut self, user: u64, need: String, over: bool) {
        let key = if over {
            final_key(&need)
        } else {
            job_key(&need)
        };
        let call = Call::ReadNeed { user, need, over };
        self.state(call, "GET", format!("/kv/{key}"), vec![], 1000);
    }

    pub(super) fn read_need(&mut self, user: u64, need: String, over: bool, outcome: &Outcome) {
        match outcome {
            Outcome::Answer { status: 200, body } => {
                if let Some(f) = wire::final_read(body).filter(|_| over) {
                    self.picture.ended(&need, f);
                    self.digest();
                }
                if let Some(p) = self.users.get_mut(&user) {
                    p.found.push(need);
                }
                self.create_or_look(user);
            }
            Outcome::Answer { status: 404, .. } if !over => self.look_for(user, need, true),
            Outcome::Answer { status: 404, .. } => {
                let after = self.turn;
                if let Some(p) = self.users.get_mut(&user) {
                    p.astray = true;
                    p.stage = Stage::Fresh { after, rev: 0 };
                }
            }
            _ => self.unserved(user),
        }
    }

    /// Whether a job's record fits into a value, also under limits to come: its own fields
    /// beside some places, and for a gang, whose tasks start together, all of its places.
    pub(super) fn keepable(&self, spec: &Spec) -> Result<(), (u16, &'static str)> {
        let value = self.set.cluster.state.lowered().value_kb * 1024.0;
        let fields = Record::new(spec.clone(), self.now.wall).to_value(0);
        let fields = crate::job::json_len(&fields) as f64;
        if fields > value * SPEC_SHARE {
            return Err((400, "its names and lists are too long to be kept"));
        }
        let places = f64::from(spec.tasks) * PLACE_BYTES;
        if spec.shape == Shape::Gang && fields + places > value {
            return Err((422, "a gang of so many tasks is too large to be kept"));
        }
        Ok(())
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
