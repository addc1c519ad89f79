//! Rentals that were decided on, until the cloud has answered.

use std::collections::HashMap;

use tracing::info;

use super::{to_ms, Effect, Scheduler};
use crate::cloud::MachineKind;
use crate::machine::Machine;

/// A kind that is sold out is tried again after this share of a boot time.
const BLOCKED_BOOTS: f64 = 0.25;
/// The same for a type that is not known, in seconds.
const BLOCKED_DEFAULT_S: f64 = 10.0;
/// Pause after a failed try, for each try so far.
const RETRY_MS: u64 = 1000;
const RETRY_STEPS_MAX: u32 = 4;
/// Tries after which a rental is given up. It may yet be carried out: the machines then
/// show up in the list and are taken in.
const TRIES_MAX: u32 = 8;

/// A rental that was decided on.
#[derive(Debug, Clone)]
pub(super) struct Rental {
    /// Its unique name.
    pub booking: String,
    pub kind: MachineKind,
    pub count: u64,
    next_try_at: u64,
    in_flight: bool,
    tries: u32,
}

/// What the cloud has answered a rental.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RentalOutcome {
    /// Machines were rented, perhaps fewer than asked for.
    Rented(Vec<String>),
    /// There are none of this kind, or the request was malformed.
    Refused,
    /// Nothing is known, or the cloud is in trouble.
    Failed,
    /// It was never sent, and will not be.
    Withdrawn,
}

/// Rentals that were decided on, and kinds that are sold out.
#[derive(Debug, Default)]
pub(super) struct Rentals {
    pub open: Vec<Rental>,
    last_number: u64,
    /// Until when each is not tried again.
    blocked_until: HashMap<MachineKind, u64>,
}

impl Rentals {
    /// Adds a rental. `prefix` makes its name unique among all terms.
    pub fn add(&mut self, prefix: &str, kind: MachineKind, count: u64, now: u64) {
        self.last_number += 1;
        self.open.push(Rental {
            booking: format!("{prefix}-{}", self.last_number),
            kind,
            count,
            next_try_at: now,
            in_flight: false,
            tries: 0,
        });
    }

    /// Whether a kind was refused lately.
    pub fn is_blocked(&self, kind: &MachineKind, now: u64) -> bool {
        self.blocked_until.get(kind).is_some_and(|at| now < *at)
    }

    /// Whether a kind has ever been refused.
    pub fn was_refused(&self, kind: &MachineKind) -> bool {
        self.blocked_until.contains_key(kind)
    }

    /// Adds a rental that is in progress.
    fn adopt(&mut self, booking: &str, kind: MachineKind, count: u64, now: u64) {
        if self.position(booking).is_none() {
            self.open.push(Rental {
                booking: booking.to_string(),
                kind,
                count,
                next_try_at: now,
                in_flight: true,
                tries: 0,
            });
        }
    }

    fn position(&self, booking: &str) -> Option<usize> {
        self.open.iter().position(|r| r.booking == booking)
    }
}

impl Scheduler {
    /// Sends rentals that are due.
    pub(super) fn send_rentals(&mut self, now: u64) {
        for rental in &mut self.rentals.open {
            if !rental.in_flight && now >= rental.next_try_at {
                rental.in_flight = true;
                self.effects.push(Effect::Rent {
                    booking: rental.booking.clone(),
                    kind: rental.kind.clone(),
                    count: rental.count,
                });
            }
        }
    }

    /// The cloud has answered a rental, or there was no answer.
    pub fn on_rental(&mut self, booking: &str, outcome: RentalOutcome, now: u64) {
        let Some(index) = self.rentals.position(booking) else {
            return;
        };
        match outcome {
            RentalOutcome::Rented(names) => {
                let rental = self.rentals.open.remove(index);
                self.add_rented(&rental, names, now);
                self.dirty = true;
            }
            RentalOutcome::Refused => {
                let rental = self.rentals.open.remove(index);
                self.block_kind(&rental.kind, now);
                self.dirty = true;
            }
            RentalOutcome::Withdrawn => {
                self.rentals.open.remove(index);
                self.dirty = true;
            }
            RentalOutcome::Failed => {
                let rental = &mut self.rentals.open[index];
                rental.in_flight = false;
                rental.tries += 1;
                let steps = u64::from(rental.tries.min(RETRY_STEPS_MAX));
                rental.next_try_at = now + RETRY_MS * steps;
                if rental.tries > TRIES_MAX {
                    self.rentals.open.remove(index);
                }
            }
        }
    }

    /// A rental is on record with the holder of that duty, whoever needed it: its machines
    /// come.
    pub fn adopt_rental(&mut self, booking: &str, kind: MachineKind, count: u64, now: u64) {
        self.rentals.adopt(booking, kind, count, now);
    }

    fn add_rented(&mut self, rental: &Rental, names: Vec<String>, now: u64) {
        let kind = &rental.kind;
        info!("rented {kind:?} {}: {names:?}", rental.booking);
        if (names.len() as u64) < rental.count {
            self.block_kind(kind, now);
        }
        for name in names {
            let machine = self.machines.entry(name.clone());
            machine.or_insert_with(|| {
                Machine::new(&name, &kind.machine_type, &kind.zone, kind.spot, now)
            });
        }
    }

    /// The limit of calls to the cloud has no room for a rental yet.
    pub fn on_rental_postponed(&mut self, booking: &str, now: u64) {
        if let Some(index) = self.rentals.position(booking) {
            let rental = &mut self.rentals.open[index];
            rental.in_flight = false;
            rental.next_try_at = now + to_ms(1.0 / self.cluster.cloud.rps);
        }
    }

    fn block_kind(&mut self, kind: &MachineKind, now: u64) {
        let machine_type = self.machine_type(&kind.machine_type);
        let pause_s = machine_type.map_or(BLOCKED_DEFAULT_S, |t| t.boot_s * BLOCKED_BOOTS);
        info!("no capacity for {kind:?}");
        let until = now + to_ms(pause_s);
        self.rentals.blocked_until.insert(kind.clone(), until);
    }
}
