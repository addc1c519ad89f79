//! What to buy: from the tasks without a place to rentals, by price. Pure.

use std::collections::HashMap;

use crate::job::Spec;
use crate::plan::{allowed, Room};
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
    /// The zone that the job is bound to, if any.
    pub zone: Option<String>,
    /// Work for spot machines that is worth an ordinary one.
    pub dear: bool,
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

/// Decides what to rent so that every need has a place on what is coming.
pub fn shop(
    needs: &[Need],
    mut coming: Vec<Coming>,
    flavors: &[Flavor],
    blocked: &dyn Fn(&Kind) -> bool,
    most: usize,
) -> Vec<(Kind, u64)> {
    let mut bought: HashMap<Kind, u64> = HashMap::new();
    let mut order: Vec<Kind> = Vec::new();
    let mut total = 0;
    for (n, need) in needs.iter().enumerate() {
        let room_of = Room::of(&need.spec);
        let mut left = need.count;
        for c in coming.iter_mut() {
            let ok = allowed(&need.spec, &c.kind.flavor, &c.kind.zone, c.kind.spot)
                && need.zone.as_ref().is_none_or(|z| *z == c.kind.zone);
            while ok && left > 0 && c.free.fits(room_of) {
                c.free.sub(room_of);
                left -= 1;
            }
        }
        while left > 0 && total < most {
            // What later jobs of the same kind could still put on it counts.
            let mut best: Option<(f64, Kind, Room)> = None;
            for f in flavors {
                for zone in &f.halls {
                    for spot in [true, false] {
                        let kind = Kind {
                            flavor: f.sku.clone(),
                            zone: zone.clone(),
                            spot,
                        };
                        if !allowed(&need.spec, &f.sku, zone, spot)
                            || (need.spec.spot && !spot && !need.dear)
                            || need.zone.as_ref().is_some_and(|z| z != zone)
                            || blocked(&kind)
                        {
                            continue;
                        }
                        let fit = room(f).times(room_of);
                        if fit == 0 {
                            continue;
                        }
                        let price = if spot { f.spot_price } else { f.hourly };
                        let mut used = fit.min(left);
                        if used < fit {
                            let more: u32 = needs[n + 1..]
                                .iter()
                                .filter(|o| allowed(&o.spec, &f.sku, zone, spot))
                                .map(|o| o.count)
                                .sum();
                            used = fit.min(left + more);
                        }
                        let per = price / f64::from(used);
                        if best.as_ref().is_none_or(|b| per < b.0 - 1e-9) {
                            best = Some((per, kind, room(f)));
                        }
                    }
                }
            }
            let Some((_, kind, mut free)) = best else {
                break;
            };
            while left > 0 && free.fits(room_of) {
                free.sub(room_of);
                left -= 1;
            }
            coming.push(Coming {
                kind: kind.clone(),
                free,
            });
            if !bought.contains_key(&kind) {
                order.push(kind.clone());
            }
            *bought.entry(kind).or_insert(0) += 1;
            total += 1;
        }
    }
    order
        .into_iter()
        .map(|k| {
            let n = bought.get(&k).copied().unwrap_or(0);
            (k, n)
        })
        .collect()
}
