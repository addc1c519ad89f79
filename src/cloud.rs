//! What to buy: from the tasks without a place to rentals, by price. Pure.

use crate::job::Spec;
use crate::plan::{allowed, zone_cap, Room, Zones};
use crate::wire::Flavor;

/// One kind of machine that the cloud rents.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Kind {
    pub flavor: String,
    pub zone: String,
    pub spot: bool,
}

/// Tasks of one job that need a place.
#[derive(Debug, Clone)]
pub struct Need {
    pub spec: std::sync::Arc<Spec>,
    pub count: u32,
    /// Where its other tasks are.
    pub zones: Zones,
    /// Work for spot machines may have an ordinary one that costs at most
    /// this many times as much a task; 0: none.
    pub dear: f64,
}

impl Need {
    /// How many more of its tasks may go to a zone.
    fn zone_room(&self, zone: &str, used: &Zones) -> u32 {
        if self.spec.one_zone && used.iter().any(|(z, n)| *n > 0 && **z != *zone) {
            return 0;
        }
        let here = used.get(zone).copied().unwrap_or(0);
        zone_cap(&self.spec).saturating_sub(here)
    }
}

/// Machines of a kind on their way.
#[derive(Debug, Clone)]
pub struct Coming {
    pub kind: Kind,
    pub count: u64,
}

pub fn room(f: &Flavor) -> Room {
    Room {
        cpus: f.cores,
        gpus: f.gpus,
        mem: f.mem_gb,
    }
}

/// Whether any machine of the cloud could hold one task.
pub fn can_run(spec: &Spec, flavors: &[Flavor]) -> bool {
    flavors.iter().any(|f| {
        room(f).fits(Room::of(spec)) && f.halls.iter().any(|h| allowed(spec, &f.sku, h, spec.spot))
    })
}

/// Machines on their way, or to be rented now, with the same room left.
#[derive(Debug, Clone, Copy)]
struct Lot {
    kind: usize,
    free: Room,
    count: u64,
}

/// What is decided on so far.
#[derive(Clone)]
struct Basket {
    lots: Vec<Lot>,
    /// In the order of the needs that they are for.
    bought: Vec<(usize, u64)>,
    total: u64,
    price: f64,
}

struct Offer {
    kind: Kind,
    room: Room,
    price: f64,
    blocked: bool,
}

struct Market {
    offers: Vec<Offer>,
    /// For each need and kind, how many tasks of later needs the kind could
    /// hold.
    later: Vec<Vec<u32>>,
    most: u64,
}

/// Decides what to rent so that every need has a place on what is coming, at
/// most `most` machines.
pub fn shop(
    needs: &[Need],
    coming: Vec<Coming>,
    flavors: &[Flavor],
    blocked: &dyn Fn(&Kind) -> bool,
    most: u64,
) -> Vec<(Kind, u64)> {
    let mut offers = Vec::new();
    for f in flavors {
        for zone in &f.halls {
            for spot in [true, false] {
                let kind = Kind {
                    flavor: f.sku.clone(),
                    zone: zone.clone(),
                    spot,
                };
                offers.push(Offer {
                    room: room(f),
                    price: if spot { f.spot_price } else { f.hourly },
                    blocked: blocked(&kind),
                    kind,
                });
            }
        }
    }
    let mut later = vec![vec![0u32; offers.len()]; needs.len() + 1];
    for (n, need) in needs.iter().enumerate().rev() {
        for (k, o) in offers.iter().enumerate() {
            let able = allowed(&need.spec, &o.kind.flavor, &o.kind.zone, o.kind.spot);
            let own = if able { need.count } else { 0 };
            later[n][k] = later[n + 1][k].saturating_add(own);
        }
    }
    let mut basket = Basket {
        lots: coming
            .iter()
            .filter_map(|c| {
                let kind = offers.iter().position(|o| o.kind == c.kind)?;
                Some(Lot {
                    kind,
                    free: offers[kind].room,
                    count: c.count,
                })
            })
            .collect(),
        bought: vec![],
        total: 0,
        price: 0.0,
    };
    let mut zones: Vec<&String> = flavors.iter().flat_map(|f| &f.halls).collect();
    zones.sort();
    zones.dedup();
    let market = Market {
        offers,
        later,
        most,
    };
    for (n, need) in needs.iter().enumerate() {
        if !need.spec.one_zone || need.zones.values().any(|c| *c > 0) {
            market.fill(n, need, &need.zones, &mut basket);
            continue;
        }
        // All in one zone: the one where the least is left over, then the
        // cheapest.
        let best = zones
            .iter()
            .map(|z| {
                let mut b = basket.clone();
                let only = Zones::from([(z.as_str().into(), 1)]);
                let left = market.fill(n, need, &only, &mut b);
                (left, b)
            })
            .min_by(|a, b| a.0.cmp(&b.0).then(a.1.price.total_cmp(&b.1.price)));
        if let Some((_, b)) = best {
            basket = b;
        }
    }
    let bought = basket.bought.into_iter();
    bought
        .map(|(k, n)| (market.offers[k].kind.clone(), n))
        .collect()
}

impl Market {
    /// Finds places for one need on what is coming, buys for the rest, and
    /// tells how many tasks are left over.
    fn fill(&self, n: usize, need: &Need, zones: &Zones, b: &mut Basket) -> u32 {
        let room_of = Room::of(&need.spec);
        let mut used = zones.clone();
        let mut left = need.count;
        let ok: Vec<bool> = self
            .offers
            .iter()
            .map(|o| allowed(&need.spec, &o.kind.flavor, &o.kind.zone, o.kind.spot))
            .collect();
        for i in 0..b.lots.len() {
            if left == 0 {
                break;
            }
            if ok[b.lots[i].kind] && b.lots[i].count > 0 && b.lots[i].free.fits(room_of) {
                self.put(need, room_of, i, &mut left, &mut used, b);
            }
        }
        b.lots.retain(|l| l.count > 0);
        while left > 0 && b.total < self.most {
            let Some(kind) = self.cheapest(n, need, left, &used, &ok) else {
                break;
            };
            let o = &self.offers[kind];
            let each = o.room.times(room_of).max(1);
            let most = left.min(need.zone_room(&o.kind.zone, &used));
            let count = u64::from(most / each).clamp(1, self.most - b.total);
            b.price += o.price * count as f64;
            b.total += count;
            match b.bought.iter_mut().find(|x| x.0 == kind) {
                Some(x) => x.1 += count,
                None => b.bought.push((kind, count)),
            }
            b.lots.push(Lot {
                kind,
                free: o.room,
                count,
            });
            self.put(need, room_of, b.lots.len() - 1, &mut left, &mut used, b);
            b.lots.retain(|l| l.count > 0);
        }
        left
    }

    /// Puts tasks on the machines of a lot; those used in part or in full
    /// become lots of their own.
    fn put(
        &self,
        need: &Need,
        room_of: Room,
        i: usize,
        left: &mut u32,
        used: &mut Zones,
        b: &mut Basket,
    ) {
        let lot = b.lots[i];
        let zone = &self.offers[lot.kind].kind.zone;
        let each = lot.free.times(room_of);
        let most = (*left).min(need.zone_room(zone, used));
        if each == 0 || most == 0 {
            return;
        }
        let full = lot.count.min(u64::from(most / each));
        let rest = if full < lot.count { most % each } else { 0 };
        let parts = [(full, each), (u64::from(rest > 0), rest)];
        for (count, tasks) in parts.into_iter().filter(|p| p.0 > 0) {
            let mut free = lot.free;
            for _ in 0..tasks {
                free.sub(room_of);
            }
            b.lots[i].count -= count;
            b.lots.push(Lot {
                kind: lot.kind,
                free,
                count,
            });
        }
        let put = full as u32 * each + rest;
        *left -= put;
        *used.entry(zone.as_str().into()).or_insert(0) += put;
    }

    /// The kind with the lowest price for each task that would go on it.
    fn cheapest(
        &self,
        n: usize,
        need: &Need,
        left: u32,
        used: &Zones,
        ok: &[bool],
    ) -> Option<usize> {
        let room_of = Room::of(&need.spec);
        let spot_price = self
            .offers
            .iter()
            .filter(|o| o.kind.spot)
            .map(|o| o.price / f64::from(o.room.times(room_of)))
            .fold(f64::INFINITY, f64::min);
        let mut best: Option<(f64, usize)> = None;
        for (k, o) in self.offers.iter().enumerate() {
            let fit = o.room.times(room_of);
            if fit == 0
                || !ok[k]
                || o.blocked
                || need.zone_room(&o.kind.zone, used) == 0
                || (need.spec.spot
                    && !o.kind.spot
                    && o.price / f64::from(fit) > need.dear * spot_price)
            {
                continue;
            }
            // What later jobs could still put on it counts.
            let more = self.later[n + 1][k];
            let per = o.price / f64::from(fit.min(left.saturating_add(more)).max(1));
            if best.is_none_or(|b| per < b.0 - 1e-9) {
                best = Some((per, k));
            }
        }
        best.map(|b| b.1)
    }
}
