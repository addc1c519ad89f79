//! What the other controllers tell, and what follows from it.

use super::*;
use crate::job::PACKED;

/// A process' age by its own clock may be too high by one part in so many.
const AGE_ERROR: u64 = 500;
/// A status heard so lately need not be asked for: of two controllers one asks.
const STATUS_FRESH_MS: u64 = 700;

impl Node {
    pub(super) fn status(&self) -> Status {
        let now = self.now.steady;
        let span = (self.set.cluster.workers.report_s * 2000.0) as u64;
        let lately = |m: &BTreeMap<String, u64>| m.values().filter(|t| now < **t + span).count();
        Status {
            member: self.set.member.clone(),
            served: self.served(),
            leads: self.control.as_ref().map_or(0, |c| c.epoch),
            turned_away: lately(&self.turned_away) as u32,
            age_ms: self.began.map_or(0, |t| now - t),
            withdrawn: vec![],
            knows_format: PACKED,
        }
    }

    /// A leader that can't read the state service is told what users were told.
    pub(super) fn status_for(&self, asker: &Status) -> Status {
        let mut s = self.status();
        if asker.leads > 0 && !asker.served {
            s.withdrawn = self.withdrawn.keys().cloned().collect();
        }
        s
    }

    /// Users are told here that a job is cancelled. What is over has no tasks
    /// any more.
    pub(super) fn tells_withdrawn(&mut self, id: &str) {
        let now = self.now.steady;
        if self.picture.end_of(id).is_none() {
            self.withdrawn.entry(id.to_string()).or_insert(now);
        }
        if let Some(c) = &mut self.control {
            c.called_off(id, now);
        }
    }

    /// A leader that can't read the state service asked another controller, and
    /// was told of all cancellations that users had been told of there.
    pub(super) fn vouched(&mut self, member: &str, s: &Status, sent: u64) {
        let now = self.now.steady;
        let Some(c) = &mut self.control else { return };
        for id in &s.withdrawn {
            c.called_off(id, now);
        }
        // With one that is served, or another that leads, work goes on there.
        if s.served || s.leads > c.epoch || self.served() {
            return;
        }
        if let Some(p) = self.peers.get_mut(member) {
            p.vouch = Some(Vouch {
                asked: sent,
                began: now.saturating_sub(s.age_ms - s.age_ms / AGE_ERROR),
            });
        }
    }

    /// All cancellations that users had been told of by then are known here: from
    /// the last read of the state service, or in an outage that all see from every
    /// other controller, if none of them has begun anew since that read. One that
    /// has may have told what nobody knows any more.
    pub(super) fn known_at(&self) -> Option<u64> {
        let read = self.fresh?.at;
        let told = self.peers.values().map(|p| {
            let v = p.vouch.filter(|v| v.began <= read);
            v.map_or(0, |v| v.asked)
        });
        // One that is alone has told them all itself.
        Some(told.min().unwrap_or(self.now.steady).max(read))
    }

    /// Within this time every worker that can has reported.
    fn round_ms(&self) -> u64 {
        (self.set.cluster.workers.report_s * 1500.0) as u64
    }

    pub(super) fn served(&self) -> bool {
        let now = self.now.steady;
        self.served_at
            .is_some_and(|t| now < t + WATCH_MS + STATE_MS)
    }

    pub(super) fn peer_status(&mut self, member: &str, s: Status) {
        let now = self.now.steady;
        if let Some(p) = self.peers.get_mut(member) {
            p.heard = Some(now);
            p.status = s;
        }
        // Cut off from every worker while others turn them away: somebody
        // else should lead.
        if let Some(c) = &self.control {
            let (silent, up) = c.reach(now);
            // One machine alone may be at fault itself: it is given up first.
            if up > 0 && silent == up && (up > 1 || c.gave_up()) {
                let (_, away) = self.turned_away_elsewhere();
                // Any report, also an old copy, shows that there is a way here.
                let reached = self.reached.is_some_and(|t| now < t + self.round_ms());
                if away > 0 && !reached {
                    let rest = (self.set.cluster.workers.lease_s * 500.0) as u64;
                    self.resign("no worker gets through while others turn them away", rest);
                }
            }
        }
    }

    pub(super) fn live_peers(&self) -> impl Iterator<Item = &PeerView> {
        let now = self.now.steady;
        self.peers
            .values()
            .filter(move |p| p.heard.is_some_and(|t| now < t + 3000))
    }

    /// How many others are heard, and how many workers they turned away lately.
    pub(super) fn turned_away_elsewhere(&self) -> (usize, u32) {
        self.live_peers().fold((0, 0), |(n, away), p| {
            (n + 1, u32::saturating_add(away, p.status.turned_away))
        })
    }

    pub(super) fn mesh_tick(&mut self) {
        let now = self.now.steady;
        if now < self.status_next {
            return;
        }
        self.status_next = now + 1000;
        let old = 60_000;
        self.turned_away.retain(|_, t| now < *t + old);
        // By then nothing is left of a cancelled job.
        let over = (self.set.cluster.workers.cancel_s * 2000.0) as u64;
        self.withdrawn.retain(|_, t| now < *t + over);
        let status = self.status();
        let asks = status.leads > 0 && !status.served;
        let body = status.encode_to_vec();
        for p in self.set.known.clone() {
            // One that has just asked has told the same and was answered.
            let lately = self.peers.get(&p.member).and_then(|v| v.heard);
            if !asks && lately.is_some_and(|t| now < t + STATUS_FRESH_MS) {
                continue;
            }
            self.call(
                Call::Status {
                    member: p.member.clone(),
                    sent: now,
                },
                p.address,
                "POST",
                STATUS_PATH.into(),
                body.clone(),
                1500,
            );
        }
    }
}
