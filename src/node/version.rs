//! Living beside the version before this one, and under limits of the state service
//! that fall without notice.
//!
//! What that version can't read is written only once it runs nowhere any more. Each
//! controller makes itself known below `g/l/m/`; once all of the settings' are known
//! there and each has just said that it runs this version, the leader raises the format,
//! which never goes down. One that is down or cut off counts as old, and so does one that
//! was put back to the version before. Before that, a submission that names
//! dependencies or a refusal for a lower limit is proof as well: neither comes before
//! all run this version.

use super::*;
use crate::job::PACKED;

/// How often a write that makes a version known is tried, in report intervals.
const AGAIN_REPORTS: f64 = 0.5;
/// For how many report intervals a refusal for the number of changes counts, while
/// nothing proves that the lower limit holds.
const SCARCE_REPORTS: f64 = 4.0;

impl Node {
    /// The format that may be written.
    pub(super) fn format(&self) -> u64 {
        self.picture.format.max(u64::from(self.proven) * PACKED)
    }

    /// What may be asked of the state service.
    pub(super) fn limits(&self) -> StateLimits {
        let st = &self.set.cluster.state;
        if self.format() >= PACKED {
            return st.lowered();
        }
        let mut st = st.clone();
        if self.now.steady < self.scarce_until {
            st.write_rps = st.lowered().write_rps;
        }
        st
    }

    /// No earlier version runs any more.
    pub(super) fn prove(&mut self, why: &str) {
        if self.format() < PACKED {
            info!("format {PACKED}: {why}");
            self.proven = true;
            self.version_next = 0;
            self.format_changed();
        }
    }

    /// The state service holds what only a later version than this one can read: it
    /// neither leads nor answers users, who would be told that jobs are unknown.
    pub(super) fn outdated(&self) -> bool {
        self.picture.format > PACKED
    }

    pub(super) fn format_changed(&mut self) {
        if self.outdated() {
            error!(
                "the state service holds format {}, this version knows {PACKED}: it must be replaced",
                self.picture.format
            );
            return self.resign("a later version has taken over", 0);
        }
        let format = self.format();
        let limits = self.limits();
        if let Some(c) = &mut self.control {
            c.set_format(format, &limits);
        }
        self.take_share(self.control.is_some());
    }

    pub(super) fn version_tick(&mut self) {
        let now = self.now.steady;
        if self.scarce_until > 0 && now >= self.scarce_until {
            self.scarce_until = 0;
            self.format_changed();
        }
        if !self.picture.loaded || self.picture.format >= PACKED || now < self.version_next {
            return;
        }
        let pause = self.set.cluster.workers.report_s * AGAIN_REPORTS;
        self.version_next = now + (pause * 1000.0) as u64;
        let mut known = self.set.known.iter().map(|k| &k.member);
        let all = known.all(|m| self.picture.members.contains(m) && self.runs_this_version(m));
        let me = self.picture.members.contains(&self.set.member);
        let raises = self.proven || (me && all && self.control.is_some());
        let (conds, key) = if raises {
            let cond = Cond {
                key: FORMAT.into(),
                stamp: self.picture.format_stamp,
            };
            (vec![cond], FORMAT.to_string())
        } else if !me {
            (vec![], member_key(&self.set.member))
        } else {
            return;
        };
        self.queue.push(Item {
            who: Who::Version,
            conds,
            writes: vec![Write::set(key, ciborium::Value::Integer(PACKED.into()))],
            rank: USERS,
        });
    }

    /// A controller has just said that it runs this version. Its key alone may be older
    /// than a return to the version before.
    fn runs_this_version(&self, member: &str) -> bool {
        self.peers.get(member).is_some_and(|p| {
            let lately = p.heard.is_some_and(|t| self.now.steady < t + HEARD_MS);
            lately && p.status.knows_format >= PACKED
        })
    }

    /// The state service turned a transaction away.
    pub(super) fn refused(&mut self, outcome: &Outcome) {
        let Outcome::Answer { status, body } = outcome else {
            return;
        };
        if self.set.cluster.state.next.is_none() {
            return;
        }
        match status {
            // No transaction with a grant goes through the queue, and ours are well
            // formed: it is too large by now.
            400 => {
                debug!("refused: {}", wire::readable(body));
                self.prove("the state service holds to its lower limits");
            }
            429 if self.format() < PACKED => {
                let spell = self.set.cluster.workers.report_s * SCARCE_REPORTS;
                self.scarce_until = self.now.steady + (spell * 1000.0) as u64;
                self.format_changed();
            }
            _ => {}
        }
    }
}
