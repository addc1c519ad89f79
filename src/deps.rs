//! How live jobs hang together: which wait for others to be done, and which are
//! cancelled because one that they need is. What a job's users are told follows from
//! its dependencies until its own record says so; each change costs what it is about.

use std::collections::{BTreeSet, HashMap, HashSet};

use crate::job::Final;

/// What is known of a job that another one names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Known {
    /// Not over; `true` if it is cancelled.
    Live(bool),
    Over(Final),
    /// Neither in the picture nor remembered: to be looked up.
    Unknown,
}

/// What followed from a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Then {
    /// All dependencies are done.
    Ready(String),
    /// One that it needs, directly or through others, is cancelled.
    Fallen(String),
}

#[derive(Debug, Default)]
pub struct Deps {
    /// Live jobs with their dependencies that are not known to be done.
    open: HashMap<String, BTreeSet<String>>,
    /// The same, the other way round.
    dependents: HashMap<String, BTreeSet<String>>,
    fallen: HashSet<String>,
    /// Dependencies to be looked up.
    unknown: BTreeSet<String>,
}

impl Deps {
    /// A live job, seen for the first time.
    pub fn add(
        &mut self,
        id: &str,
        needs: &[String],
        known: impl Fn(&str) -> Known,
        then: &mut Vec<Then>,
    ) {
        // Others that name it had to wait for this.
        self.unknown.remove(id);
        let mut falls = false;
        let mut open = BTreeSet::new();
        for n in needs {
            match known(n) {
                Known::Over(Final::Done) => continue,
                Known::Over(Final::Withdrawn) | Known::Live(true) => falls = true,
                Known::Live(false) => falls |= self.fallen.contains(n),
                Known::Unknown => drop(self.unknown.insert(n.clone())),
            }
            let list = self.dependents.entry(n.clone()).or_default();
            list.insert(id.to_string());
            open.insert(n.clone());
        }
        if !open.is_empty() {
            self.open.insert(id.to_string(), open);
        }
        if falls {
            self.fall(id, then);
        }
    }

    /// A job is cancelled, or ended as that: so are all that need it.
    pub fn cancelled(&mut self, id: &str, then: &mut Vec<Then>) {
        self.unknown.remove(id);
        for d in self.dependents_of(id) {
            self.fall(&d, then);
        }
    }

    /// A job is done, and that is on record.
    pub fn done(&mut self, id: &str, then: &mut Vec<Then>) {
        self.unknown.remove(id);
        for d in self.dependents.remove(id).into_iter().flatten() {
            let Some(open) = self.open.get_mut(&d) else {
                continue;
            };
            open.remove(id);
            if open.is_empty() {
                self.open.remove(&d);
                then.push(Then::Ready(d));
            }
        }
    }

    /// A job is not live any more.
    pub fn remove(&mut self, id: &str) {
        self.fallen.remove(id);
        for n in self.open.remove(id).into_iter().flatten() {
            let Some(list) = self.dependents.get_mut(&n) else {
                continue;
            };
            list.remove(id);
            if list.is_empty() {
                self.dependents.remove(&n);
                self.unknown.remove(&n);
            }
        }
    }

    /// Not all that it needs is known to be done.
    pub fn waits(&self, id: &str) -> bool {
        self.open.contains_key(id)
    }

    pub fn has_fallen(&self, id: &str) -> bool {
        self.fallen.contains(id)
    }

    /// What is to be looked up.
    pub fn unknown(&self) -> &BTreeSet<String> {
        &self.unknown
    }

    /// Whether something that it needs, directly or through others, is yet to be
    /// looked up, so that it may have fallen.
    pub fn unsure(&self, id: &str) -> bool {
        if self.unknown.is_empty() {
            return false;
        }
        let mut seen = HashSet::new();
        let mut todo = vec![id];
        while let Some(x) = todo.pop() {
            for n in self.open.get(x).into_iter().flatten() {
                if self.unknown.contains(n) {
                    return true;
                }
                if seen.insert(n) {
                    todo.push(n);
                }
            }
        }
        false
    }

    fn dependents_of(&self, id: &str) -> Vec<String> {
        let list = self.dependents.get(id);
        list.into_iter().flatten().cloned().collect()
    }

    fn fall(&mut self, id: &str, then: &mut Vec<Then>) {
        let mut todo = vec![id.to_string()];
        while let Some(x) = todo.pop() {
            if self.fallen.insert(x.clone()) {
                todo.extend(self.dependents_of(&x));
                then.push(Then::Fallen(x));
            }
        }
    }
}
