//! The lease protocol at small size, explored exhaustively: two controllers and a state
//! service, in steps of a tenth of a lease's life, with every choice of where up to a few
//! pauses, lost answers and late requests fall.

use std::collections::{HashSet, VecDeque};

use duty_lease::{DutyLease, HolderKey, LeaseRequest, LeaseResponse, LeaseTiming, LeaseView};

const TTL_MS: u64 = 1000;
const STEP_MS: u64 = 100;
const HORIZON: u64 = 26;
const TROUBLES: u8 = 2;

/// How many steps late a request arrives.
const LATE_STEPS: u64 = 8;

#[derive(Debug, Clone, Default)]
struct Service {
    holder: Option<(HolderKey, u64, u64)>,
    token: u64,
    revision: u64,
    /// Grants with their ends.
    grants: Vec<(u64, u64)>,
}

#[derive(Debug, Clone)]
struct Model {
    step: u64,
    troubles_left: u8,
    service: Service,
    leases: [DutyLease; 2],
    /// Steps that a controller still stands still.
    paused: [u64; 2],
    /// Requests on their way: the step in which they arrive, who sent them, and whether
    /// their answer is lost.
    on_the_way: Vec<(u64, usize, u64, LeaseRequest, bool)>,
}

/// What the adversary does to one controller's step.
#[derive(Debug, Clone, Copy)]
enum Choice {
    Nothing,
    /// It stands still for longer than its lease.
    Pause,
    /// Its request is carried out and the answer lost.
    LoseAnswer,
    /// Its request arrives late.
    Delay,
}

impl Service {
    fn expire(&mut self, now: u64) {
        self.grants.retain(|(_, end)| now < *end);
        let lives = |grant: u64| self.grants.iter().any(|(id, _)| *id == grant);
        if self.holder.as_ref().is_some_and(|h| !lives(h.2)) {
            self.holder = None;
        }
    }

    fn handle(&mut self, request: &LeaseRequest, now: u64) -> LeaseResponse {
        self.expire(now);
        match request {
            LeaseRequest::Read => LeaseResponse::View(LeaseView {
                holder: self.holder.as_ref().map(|h| h.0.clone()),
                holder_version: self.holder.as_ref().map_or(0, |h| h.1),
                token: self.token,
                token_version: self.token,
            }),
            LeaseRequest::CreateGrant { ttl_ms } => {
                self.revision += 1;
                self.grants.push((self.revision, now + ttl_ms));
                LeaseResponse::Granted(self.revision)
            }
            LeaseRequest::Renew { grant } => {
                match self.grants.iter_mut().find(|(id, _)| id == grant) {
                    Some(found) => {
                        found.1 = now + TTL_MS;
                        LeaseResponse::Renewed
                    }
                    None => LeaseResponse::GrantEnded,
                }
            }
            LeaseRequest::Release { grant } => {
                self.grants.retain(|(id, _)| id != grant);
                self.expire(now);
                LeaseResponse::Released
            }
            LeaseRequest::Acquire {
                grant,
                holder,
                holder_version,
                token_version,
            } => {
                let version = self.holder.as_ref().map_or(0, |h| h.1);
                if version != *holder_version || self.token != *token_version {
                    return LeaseResponse::Conflict;
                }
                if !self.grants.iter().any(|(id, _)| id == grant) {
                    return LeaseResponse::Refused;
                }
                assert!(holder.token > self.token, "a token is given out once");
                self.revision += 1;
                self.token = holder.token;
                self.holder = Some((holder.clone(), self.revision, *grant));
                LeaseResponse::Acquired {
                    version: self.revision,
                }
            }
        }
    }
}

impl Model {
    fn new() -> Model {
        let timing = LeaseTiming {
            // A step is no pause.
            pause_share: 0.15,
            ..LeaseTiming::new(TTL_MS)
        };
        Model {
            step: 1,
            troubles_left: TROUBLES,
            service: Service::default(),
            leases: ["a", "b"].map(|name| DutyLease::new(name, timing)),
            paused: [0; 2],
            on_the_way: vec![],
        }
    }

    fn now(&self) -> u64 {
        self.step * STEP_MS
    }

    /// One step with these choices; tells whether they meant anything.
    fn next(&self, choices: [Choice; 2]) -> Option<Model> {
        let mut model = self.clone();
        model.step += 1;
        let now = model.now();
        for (index, choice) in choices.into_iter().enumerate() {
            if !matches!(choice, Choice::Nothing) {
                model.troubles_left = model.troubles_left.checked_sub(1)?;
            }
            if matches!(choice, Choice::Pause) && model.paused[index] == 0 {
                model.paused[index] = TTL_MS / STEP_MS + 2;
            }
            if model.paused[index] > 0 {
                model.paused[index] -= 1;
                continue;
            }
            let sent = model.leases[index].tick(now);
            let Some((id, request)) = sent else {
                // There was nothing to lose or to delay.
                match choice {
                    Choice::LoseAnswer | Choice::Delay => return None,
                    _ => continue,
                }
            };
            let late = matches!(choice, Choice::Delay);
            let arrives = model.step + if late { LATE_STEPS } else { 0 };
            let lost = late || matches!(choice, Choice::LoseAnswer);
            model.on_the_way.push((arrives, index, id, request, lost));
        }
        model.deliver();
        Some(model)
    }

    fn deliver(&mut self) {
        let now = self.now();
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.on_the_way)
            .into_iter()
            .partition(|message| message.0 <= self.step);
        self.on_the_way = later;
        for (_, index, id, request, lost) in due {
            let response = self.service.handle(&request, now);
            if !lost && self.paused[index] == 0 {
                self.leases[index].on_response(id, response, now);
            }
        }
        for lease in &mut self.leases {
            lease.take_events();
        }
    }

    /// Controllers that could give an order now. One that stands still gives none; those
    /// on their way are the provider's matter.
    fn effective(&self) -> Vec<usize> {
        let now = self.now();
        let may_send_orders = |index: &usize| {
            let mut lease = self.leases[*index].clone();
            self.paused[*index] == 0 && lease.order_token(now).is_some()
        };
        (0..2).filter(may_send_orders).collect()
    }
}

#[test]
fn there_are_never_two_effective_holders() {
    let all = [
        Choice::Nothing,
        Choice::Pause,
        Choice::LoseAnswer,
        Choice::Delay,
    ];
    let mut seen: HashSet<String> = HashSet::new();
    let mut queue = VecDeque::from([Model::new()]);
    let mut states = 0;
    let mut held_by = [false; 2];
    while let Some(model) = queue.pop_front() {
        let effective = model.effective();
        assert!(effective.len() < 2, "{model:#?}");
        effective.iter().for_each(|index| held_by[*index] = true);
        states += 1;
        if model.step >= HORIZON {
            continue;
        }
        for first in all {
            for second in all {
                let Some(next) = model.next([first, second]) else {
                    continue;
                };
                if seen.insert(format!("{next:?}")) {
                    queue.push_back(next);
                }
            }
        }
    }
    assert!(states > 2000, "{states}");
    assert_eq!(held_by, [true, true], "both were holders in some run");
}
