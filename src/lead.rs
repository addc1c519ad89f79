//! The leased leadership: one key in the state service that lives as long as
//! its holder's grant, and an epoch that rises with each change of hands.

use crate::settings::{Cluster, Operator};
use crate::store::{LeaderKey, Picture};

/// Processor time that may be asked for at once, as after a takeover: a grant
/// has to outlast it, however small the share.
const STALL_CORE_S: f64 = 0.2;

/// How long a leader's grant lives.
pub fn life_ms(c: &Cluster, op: &Operator) -> u64 {
    let life = (c.workers.lease_s * op.leader_life_share)
        .max(STALL_CORE_S / c.limits.cpu_share)
        .min(c.workers.lease_s / 4.0);
    (life * 1000.0) as u64
}

/// What the state service is to be asked.
#[derive(Debug, Clone, PartialEq)]
pub enum Ask {
    Grant,
    /// Take the key, raising the epoch; both must still be as seen.
    Elect {
        grant: u64,
        epoch: u64,
        leader_stamp: u64,
        lease_stamp: u64,
        epoch_stamp: u64,
        /// By the key that the version in production does not know.
        fenced: bool,
    },
    Renew(u64),
    Revoke(u64),
}

/// What came of it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Told {
    Granted(u64),
    Elected {
        epoch: u64,
        stamp: u64,
    },
    /// Somebody else was faster, or the grant is gone.
    Lost,
    Renewed,
    /// No answer, or a refusal: nothing is known.
    Nothing,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Standing {
    Follows,
    Granting,
    Elects { grant: u64 },
    Leads { grant: u64, epoch: u64, stamp: u64 },
}

#[derive(Debug)]
pub struct Lead {
    me: String,
    pub life_ms: u64,
    pub at: Standing,
    asked: Option<u64>,
    /// When the last renewal that was answered had been sent.
    pub sure_at: u64,
    next: u64,
    rest_until: u64,
}

impl Lead {
    pub fn new(me: &str, life_ms: u64) -> Lead {
        Lead {
            me: me.to_string(),
            life_ms: life_ms.max(100),
            at: Standing::Follows,
            asked: None,
            sure_at: 0,
            next: 0,
            rest_until: 0,
        }
    }

    pub fn epoch(&self) -> Option<u64> {
        match self.at {
            Standing::Leads { epoch, .. } => Some(epoch),
            _ => None,
        }
    }

    /// The grant can't have run out, even on a clock that drifts.
    pub fn sure(&self, now: u64) -> bool {
        matches!(self.at, Standing::Leads { .. }) && now < self.sure_at + self.life_ms * 9 / 10
    }

    pub fn tick(&mut self, now: u64, p: &Picture, jitter: f64) -> Option<Ask> {
        if self.asked.is_some() || now < self.next {
            return None;
        }
        match self.at {
            Standing::Follows => {
                if !p.loaded || now < self.rest_until {
                    return None;
                }
                let free = match p.leader() {
                    None => true,
                    // A key of this process' earlier life.
                    Some((l, _)) => l.member == self.me,
                };
                if !free {
                    return None;
                }
                self.at = Standing::Granting;
                self.asked = Some(now);
                Some(Ask::Grant)
            }
            Standing::Granting => {
                self.asked = Some(now);
                Some(Ask::Grant)
            }
            Standing::Elects { grant } => {
                if p.leader().is_some_and(|(l, _)| l.member != self.me) {
                    self.at = Standing::Follows;
                    self.next = now + (self.life_ms as f64 * (0.1 + 0.1 * jitter)) as u64;
                    return Some(Ask::Revoke(grant));
                }
                let stamp = |key: &Option<(LeaderKey, u64)>| key.as_ref().map_or(0, |k| k.1);
                self.asked = Some(now);
                Some(Ask::Elect {
                    grant,
                    epoch: p.epoch + 1,
                    leader_stamp: stamp(&p.leader_key),
                    lease_stamp: stamp(&p.lease_key),
                    epoch_stamp: p.epoch_stamp,
                    fenced: p.fenced(),
                })
            }
            Standing::Leads { grant, .. } => {
                self.asked = Some(now);
                Some(Ask::Renew(grant))
            }
        }
    }

    /// The outcome of what was last asked. True if leadership began or ended.
    pub fn told(&mut self, now: u64, t: Told) -> bool {
        let sent = self.asked.take().unwrap_or(now);
        let soon = now + self.life_ms / 20;
        match (self.at, t) {
            (Standing::Granting, Told::Granted(grant)) => {
                self.at = Standing::Elects { grant };
                self.next = now;
                self.sure_at = sent;
            }
            (Standing::Elects { grant }, Told::Elected { epoch, stamp }) => {
                self.at = Standing::Leads {
                    grant,
                    epoch,
                    stamp,
                };
                self.next = now + self.life_ms / 4;
                return true;
            }
            // The picture may lag: look again shortly. The grant runs out.
            (Standing::Elects { .. }, _) => {
                self.at = Standing::Follows;
                self.next = soon;
            }
            (Standing::Leads { .. }, Told::Renewed) => {
                self.sure_at = self.sure_at.max(sent);
                self.next = sent + self.life_ms / 4;
            }
            (Standing::Leads { .. }, Told::Lost) => {
                self.at = Standing::Follows;
                self.next = soon;
                return true;
            }
            _ => self.next = soon,
        }
        false
    }

    /// Gives leadership up and lets others try first.
    pub fn resign(&mut self, now: u64, rest_ms: u64) -> Option<Ask> {
        let Standing::Leads { grant, .. } = self.at else {
            return None;
        };
        self.at = Standing::Follows;
        self.rest_until = now + rest_ms;
        Some(Ask::Revoke(grant))
    }

    /// The key is somebody else's, or gone: true if this ended leadership.
    pub fn seen(&mut self, p: &Picture) -> bool {
        let Standing::Leads { stamp, .. } = self.at else {
            return false;
        };
        if p.leader().is_some_and(|(_, s)| *s == stamp) {
            return false;
        }
        self.at = Standing::Follows;
        true
    }
}
