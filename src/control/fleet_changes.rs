//! What the cloud lists, rents and deletes.

use super::*;

impl Control {
    /// Takes in a whole list, asked for at `asked`.
    pub fn listed(&mut self, list: &[wire::Listed], asked: u64, now: u64) {
        let lag = 2 * Self::ms(self.cl.cloud.list_lag_s) + 1000;
        self.listed_once = true;
        let mut names = HashSet::new();
        for l in list {
            names.insert(l.name.as_str());
            if self.deletes.contains_key(&l.name) {
                continue; // deleted for good; the list lags
            }
            let age = Self::ms(l.held_s.unwrap_or(0.0));
            let m = self.fleet.entry(l.name.clone()).or_insert_with(|| {
                Machine::new(
                    &l.name,
                    &l.flavor,
                    &l.hall,
                    l.loaner,
                    now.saturating_sub(age),
                )
            });
            if m.flavor.is_empty() {
                m.flavor = l.flavor.as_str().into();
                m.zone = l.hall.as_str().into();
                m.spot = l.loaner;
                m.view = None;
            }
            if m.addr.is_none() {
                m.addr = l.endpoint.as_ref().and_then(|e| e.parse().ok());
            }
            m.listed = match (m.listed, wire::standing(&l.status)) {
                (Listed::Failed, _) => Listed::Failed,
                (Listed::Running, Listed::Starting) => Listed::Running,
                (_, s) => s,
            };
        }
        for m in self.fleet.values_mut() {
            let was = !matches!(m.listed, Listed::Never | Listed::Gone);
            let old = m.known_since + 2 * lag < asked || m.listed == Listed::Running;
            if !names.contains(&*m.name) && was && old && m.known_since + lag < asked {
                m.listed = Listed::Gone;
            }
        }
        // Reports of machines that are gone may come minutes late.
        self.deletes.retain(|_, t| now < *t + 4 * lag + 600_000);
        self.dirty = true;
    }

    pub fn rented(&mut self, booking: &str, hosts: Option<Vec<String>>, refused: bool, now: u64) {
        let Some(k) = self.bookings.iter().position(|b| b.name == booking) else {
            return;
        };
        if let Some(hosts) = hosts {
            let b = self.bookings.remove(k);
            info!("rented {:?} {}: {:?}", b.kind, b.name, hosts);
            if (hosts.len() as u64) < b.count {
                self.block(&b.kind, now);
            }
            for h in hosts {
                self.fleet.entry(h.clone()).or_insert_with(|| {
                    Machine::new(&h, &b.kind.flavor, &b.kind.zone, b.kind.spot, now)
                });
            }
            self.dirty = true;
        } else if refused {
            let b = self.bookings.remove(k);
            self.block(&b.kind, now);
            self.dirty = true;
        } else {
            let b = &mut self.bookings[k];
            b.flying = false;
            b.tries += 1;
            b.next_try = now + 1000 * u64::from(b.tries.min(4));
            if b.tries > 8 {
                // It may yet be carried out: the machines then show up in the
                // list and are taken in.
                self.bookings.remove(k);
            }
        }
    }

    /// A rental that the budget of calls has no room for yet.
    pub fn not_asked(&mut self, booking: &str, now: u64) {
        if let Some(b) = self.bookings.iter_mut().find(|b| b.name == booking) {
            b.flying = false;
            b.next_try = now + Self::ms(1.0 / self.cl.cloud.rps);
        }
    }

    pub(super) fn block(&mut self, kind: &Kind, now: u64) {
        let wait = self.flavor(&kind.flavor).map_or(10.0, |f| f.boot_s / 4.0);
        info!("no capacity for {kind:?}");
        self.blocked.insert(kind.clone(), now + Self::ms(wait));
    }

    /// The cloud has deleted these: the machines and all on them are gone.
    pub fn deleted(&mut self, hosts: &[String], ok: bool, now: u64) {
        for h in hosts {
            if !ok {
                if let Some(m) = self.fleet.get_mut(h) {
                    m.delete_sent = Some(now);
                }
                continue;
            }
            self.deletes.insert(h.clone(), now);
            self.direct.remove(h.as_str());
            self.startable.remove(h.as_str());
            let Some(m) = self.fleet.get_mut(h) else {
                continue;
            };
            let (on, held) = (std::mem::take(&mut m.on), std::mem::take(&mut m.held));
            for o in on {
                self.unplace(&o.job, o.task, now);
            }
            for x in held {
                self.drop_holds(&x.job);
            }
            self.fleet.remove(h);
            self.dirty = true;
        }
    }
}
