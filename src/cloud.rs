//! What to buy: from the tasks without a place to rentals, by price. Pure.

use std::collections::BTreeMap;

use crate::job::Spec;
use crate::plan::{allowed, zone_cap, Room};
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
    pub zones: BTreeMap<String, u32>,
    /// Work for spot machines may have an ordinary one that costs at most
    /// this many times as much a task; 0: none.
    pub dear: f64,
}

impl Need {
    /// Whether one more of its tasks may go to a zone.
    fn zone_ok(&self, zone: &str, used: &BTreeMap<String, u32>) -> bool {
        let elsewhere = used.iter().any(|(z, n)| *n > 0 && z != zone);
        !(self.spec.one_zone && elsewhere)
            && used.get(zone).copied().unwrap_or(0) < zone_cap(&self.spec)
    }
}

/// A machine on its way, or one that will be rented now.
#[derive(Debug, Clone)]
pub struct Coming {
    pub kind: Kind,
    pub free: Room,
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

/// What is decided on so far.
#[derive(Clone)]
struct Basket {
    coming: Vec<Coming>,
    bought: Vec<(Kind, u64)>,
    total: usize,
    price: f64,
}

struct Market<'a> {
    flavors: &'a [Flavor],
    blocked: &'a dyn Fn(&Kind) -> bool,
    most: usize,
}

/// Decides what to rent so that every need has a place on what is coming.
pub fn shop(
    needs: &[Need],
    coming: Vec<Coming>,
    flavors: &[Flavor],
    blocked: &dyn Fn(&Kind) -> bool,
    most: usize,
) -> Vec<(Kind, u64)> {
    let market = Market {
        flavors,
        blocked,
        most,
    };
    let mut basket = Basket {
        coming,
        bought: vec![],
        total: 0,
        price: 0.0,
    };
    for (n, need) in needs.iter().enumerate() {
        let later = &needs[n + 1..];
        if !need.spec.one_zone || need.zones.values().any(|c| *c > 0) {
            market.fill(need, later, &need.zones, &mut basket);
            continue;
        }
        // All in one zone: the one where the least is left over, then the
        // cheapest.
        let mut zones: Vec<&String> = flavors.iter().flat_map(|f| &f.halls).collect();
        zones.sort();
        zones.dedup();
        let best = zones
            .into_iter()
            .map(|z| {
                let mut b = basket.clone();
                let only = BTreeMap::from([(z.clone(), 1)]);
                let left = market.fill(need, later, &only, &mut b);
                (left, b)
            })
            .min_by(|a, b| a.0.cmp(&b.0).then(a.1.price.total_cmp(&b.1.price)));
        if let Some((_, b)) = best {
            basket = b;
        }
    }
    basket.bought
}

impl Market<'_> {
    /// Finds places for one need on what is coming, buys for the rest, and
    /// tells how many tasks are left over.
    fn fill(
        &self,
        need: &Need,
        later: &[Need],
        zones: &BTreeMap<String, u32>,
        b: &mut Basket,
    ) -> u32 {
        let room_of = Room::of(&need.spec);
        let mut used = zones.clone();
        let mut left = need.count;
        let take = |c: &mut Coming, left: &mut u32, used: &mut BTreeMap<String, u32>| {
            while *left > 0 && c.free.fits(room_of) && need.zone_ok(&c.kind.zone, used) {
                c.free.sub(room_of);
                *used.entry(c.kind.zone.clone()).or_insert(0) += 1;
                *left -= 1;
            }
        };
        for c in b.coming.iter_mut() {
            if allowed(&need.spec, &c.kind.flavor, &c.kind.zone, c.kind.spot) {
                take(c, &mut left, &mut used);
            }
        }
        while left > 0 && b.total < self.most {
            let Some((price, kind, free)) = self.cheapest(need, later, left, &used) else {
                break;
            };
            let mut c = Coming {
                kind: kind.clone(),
                free,
            };
            take(&mut c, &mut left, &mut used);
            b.coming.push(c);
            b.price += price;
            b.total += 1;
            match b.bought.iter_mut().find(|x| x.0 == kind) {
                Some(x) => x.1 += 1,
                None => b.bought.push((kind, 1)),
            }
        }
        left
    }

    /// The kind with the lowest price for each task that would go on it.
    fn cheapest(
        &self,
        need: &Need,
        later: &[Need],
        left: u32,
        used: &BTreeMap<String, u32>,
    ) -> Option<(f64, Kind, Room)> {
        let mut best: Option<(f64, f64, Kind, Room)> = None;
        let need_room = Room::of(&need.spec);
        let spot_price = self
            .flavors
            .iter()
            .map(|f| f.spot_price / f64::from(room(f).times(need_room)))
            .fold(f64::INFINITY, f64::min);
        for f in self.flavors {
            let fit = room(f).times(need_room);
            if fit == 0 {
                continue;
            }
            for zone in &f.halls {
                for spot in [true, false] {
                    let kind = Kind {
                        flavor: f.sku.clone(),
                        zone: zone.clone(),
                        spot,
                    };
                    if !allowed(&need.spec, &f.sku, zone, spot)
                        || (need.spec.spot
                            && !spot
                            && f.hourly / f64::from(fit) > need.dear * spot_price)
                        || !need.zone_ok(zone, used)
                        || (self.blocked)(&kind)
                    {
                        continue;
                    }
                    let price = if spot { f.spot_price } else { f.hourly };
                    // What later jobs could still put on it counts.
                    let more: u32 = later
                        .iter()
                        .filter(|o| allowed(&o.spec, &f.sku, zone, spot))
                        .map(|o| o.count)
                        .sum();
                    let per = price / f64::from(fit.min(left.saturating_add(more)).max(1));
                    if best.as_ref().is_none_or(|b| per < b.0 - 1e-9) {
                        best = Some((per, price, kind, room(f)));
                    }
                }
            }
        }
        best.map(|b| (b.1, b.2, b.3))
    }
}
