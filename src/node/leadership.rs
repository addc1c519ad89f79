//! What the leadership asks of the state service, and what follows.

use super::*;

impl Node {
    pub(super) fn lead_tick(&mut self) {
        if self.outdated() {
            return;
        }
        let jitter = self.rng.random::<f64>();
        if let Some(ask) = self.lead.tick(self.now.steady, &self.picture, jitter) {
            self.lead_ask(ask);
        }
    }

    pub(super) fn lead_ask(&mut self, ask: lead::Ask) {
        let _ = self.requests.take(self.now.steady, 1.0, 0.0);
        let timeout = self.lead.life_ms / 3;
        match &ask {
            lead::Ask::Grant => {
                let body = wire::encode(&wire::GrantAsk {
                    life_ms: self.lead.life_ms,
                });
                self.state(Call::Lead(ask), "POST", "/grants".into(), body, timeout);
            }
            lead::Ask::Renew(g) => {
                let path = format!("/grants/{g}/renew");
                self.state(Call::Lead(ask), "POST", path, vec![], timeout);
            }
            lead::Ask::Revoke(g) => {
                let path = format!("/grants/{g}");
                self.state(Call::Revoke, "DELETE", path, vec![], timeout);
            }
            lead::Ask::Elect {
                grant,
                epoch,
                leader_stamp,
                lease_stamp,
                epoch_stamp,
                fenced,
            } => {
                let key = LeaderKey {
                    member: self.set.member.clone(),
                    epoch: *epoch,
                };
                let mut writes = Vec::new();
                if *fenced {
                    writes.push(Write::leader(LEADER, &LeaderKey::superseded(), None));
                    writes.push(Write::leader(LEASE, &key, Some(*grant)));
                } else {
                    writes.push(Write::leader(LEADER, &key, Some(*grant)));
                }
                writes.push(Write::set(EPOCH.into(), (*epoch).into()));
                let conds = [
                    (LEADER, *leader_stamp),
                    (LEASE, *lease_stamp),
                    (EPOCH, *epoch_stamp),
                ];
                let txn = wire::Txn {
                    conds: conds.map(|(key, stamp)| Cond::new(key, stamp)).into(),
                    writes,
                };
                let body = wire::encode(&txn);
                self.state(Call::Lead(ask), "POST", "/txn".into(), body, timeout);
            }
        }
    }

    pub(super) fn lead_told(&mut self, ask: lead::Ask, outcome: &Outcome) {
        let now = self.now.steady;
        let told = match (&ask, outcome) {
            (lead::Ask::Grant, Outcome::Answer { status: 200, body }) => {
                wire::decode::<wire::Grant>(body).map_or(Told::Nothing, |g| Told::Granted(g.permit))
            }
            (lead::Ask::Renew(_), Outcome::Answer { status: 200, .. }) => Told::Renewed,
            (lead::Ask::Renew(_), Outcome::Answer { status: 404, .. }) => Told::Lost,
            (lead::Ask::Elect { epoch, .. }, Outcome::Answer { status: 200, body }) => {
                match wire::decode::<wire::TxnReply>(body) {
                    Some(r) => Told::Elected {
                        epoch: *epoch,
                        stamp: r.rev,
                    },
                    None => Told::Nothing,
                }
            }
            (lead::Ask::Elect { .. }, Outcome::Answer { .. }) => Told::Lost,
            _ => Told::Nothing,
        };
        let changed = self.lead.told(now, told);
        if let Told::Elected { epoch, stamp } = told {
            if changed {
                let fenced = matches!(ask, lead::Ask::Elect { fenced: true, .. });
                let key = LeaderKey {
                    member: self.set.member.clone(),
                    epoch,
                };
                self.picture.elected(key, stamp, fenced);
                self.seat = Some(Seat {
                    member: self.set.member.clone(),
                    epoch,
                    key: if fenced { LEASE } else { LEADER },
                    stamp,
                    wall: self.now.wall,
                });
                self.take_seat();
            }
        } else if changed {
            self.step_down("the grant has run out");
        }
        self.lead_tick();
    }

    /// A leader's mind is made from a picture that holds its own election. All
    /// changes of leaders before it, its own earlier terms included, are older
    /// than that, and none can follow: a picture from before it may lack places
    /// whose starts went out.
    pub(super) fn take_seat(&mut self) {
        let (now, rev) = (self.now.steady, self.picture.rev);
        let Some(seat) = self.seat.take_if(|s| s.stamp <= rev) else {
            return;
        };
        info!("leading with epoch {}", seat.epoch);
        self.control = Some(Control::new(
            seat,
            &self.set.cluster,
            &self.op,
            self.flavors.clone(),
            &self.picture,
            now,
        ));
        self.format_changed();
        self.list_next = now;
        self.listing = None;
        self.planning = false;
        self.flavors_next = self.flavors_next.min(now + 1000);
    }

    pub(super) fn step_down(&mut self, why: &str) {
        self.seat = None;
        if self.control.take().is_some() {
            warn!("not leading any more: {why}");
        }
        self.queue.withdraw(|w| matches!(w, Who::Job { .. }));
        self.take_share(false);
        self.planning = false;
    }

    pub(super) fn resign(&mut self, why: &str, rest_ms: u64) {
        if let Some(ask) = self.lead.resign(self.now.steady, rest_ms) {
            self.lead_ask(ask);
        }
        self.step_down(why);
    }
}
