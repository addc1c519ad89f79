//! The order book under arbitrary outcomes of its requests.

use std::collections::BTreeSet;

use duty_lease::{
    Duty, FencingStatus, LeaseTiming, Order, OrderBook, OrderId, OrderOutcome, OrderRequest,
    OrderResult, RecordOutcome, ScalingRequest, Token, WriteGuard,
};
use proptest::prelude::*;
use proptest::test_runner::TestCaseError;

const TTL_MS: u64 = 1000;
const STEP_MS: u64 = 100;
const TOKEN: Token = 5;
const GUARD: WriteGuard = WriteGuard { holder_version: 9 };

/// The outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    Done,
    Conflict,
    Unknown,
}

impl Outcome {
    /// Most numbers map to `Done`.
    fn from_number(number: u8) -> Outcome {
        match number {
            0..=3 => Outcome::Done,
            4 => Outcome::Conflict,
            _ => Outcome::Unknown,
        }
    }

    fn of_write(self, version: u64) -> RecordOutcome {
        match self {
            Outcome::Done => RecordOutcome::Written { version },
            Outcome::Conflict => RecordOutcome::Conflict,
            Outcome::Unknown => RecordOutcome::Unknown,
        }
    }

    fn of_order(self) -> OrderOutcome {
        match self {
            Outcome::Done => OrderOutcome::Done(OrderResult::NoCapacity),
            Outcome::Conflict | Outcome::Unknown => OrderOutcome::Unknown,
        }
    }
}

/// An order book, and its requests that were executed.
struct Run {
    book: OrderBook,
    now: u64,
    recorded: BTreeSet<OrderId>,
    done: BTreeSet<OrderId>,
    /// The IDs of the satisfied scaling requests.
    satisfied: BTreeSet<String>,
}

impl Run {
    fn new() -> Run {
        let mut book = OrderBook::new(Duty::Rent, LeaseTiming::new(TTL_MS));
        book.on_gained(TOKEN, GUARD);
        Run {
            book,
            now: 0,
            recorded: BTreeSet::new(),
            done: BTreeSet::new(),
            satisfied: BTreeSet::new(),
        }
    }

    /// Passes the unsatisfied scaling requests to the book.
    fn update_view(&mut self, requests: &[ScalingRequest]) {
        let is_open = |request: &&ScalingRequest| !self.satisfied.contains(&request.id);
        let open: Vec<ScalingRequest> = requests.iter().filter(is_open).cloned().collect();
        self.book.on_view(&[], &open);
    }

    /// Orders are allowed in two of three steps.
    fn order_token(&self) -> Option<Token> {
        (self.now % (3 * STEP_MS) != 0).then_some(TOKEN)
    }

    fn answer(&mut self, request: OrderRequest, outcome: Outcome) -> Result<(), TestCaseError> {
        match request {
            OrderRequest::Record {
                intent,
                request,
                guard,
            } => {
                prop_assert_eq!(guard.holder_version, GUARD.holder_version);
                if outcome == Outcome::Done {
                    prop_assert!(
                        self.recorded.insert(intent.id),
                        "an order ID was used twice"
                    );
                    let is_first = self.satisfied.insert(request.id);
                    prop_assert!(is_first, "a scaling request was satisfied twice");
                }
                let written = outcome.of_write(self.now);
                self.book.on_recorded(intent.id, written, self.now);
            }
            OrderRequest::Send { id, token, .. } => {
                prop_assert!(self.recorded.contains(&id));
                prop_assert_eq!(Some(token), self.order_token());
                if outcome == Outcome::Done {
                    self.done.insert(id);
                }
                let fencing = self.book.on_sent(id, outcome.of_order(), self.now);
                prop_assert_eq!(fencing, FencingStatus::NotFenced);
            }
            OrderRequest::Complete { intent, .. } => {
                prop_assert!(self.done.contains(&intent.id));
                let written = outcome.of_write(self.now);
                self.book.on_completed(intent.id, written, self.now);
            }
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(17),
        ..ProptestConfig::default()
    })]

    /// Each order has a unique ID, is sent only after its intent was recorded and under the current
    /// token, and is completed only after it was executed.
    #[test]
    fn orders_follow_their_intents(outcomes in prop::collection::vec(0..6u8, 0..300)) {
        let requests: Vec<ScalingRequest> = (0..20).map(request).collect();
        let mut outcomes = outcomes.into_iter().map(Outcome::from_number);
        let mut run = Run::new();
        for _ in 0..60 {
            run.now += STEP_MS;
            run.update_view(&requests);
            for request in run.book.tick(run.order_token(), run.now) {
                run.answer(request, outcomes.next().unwrap_or(Outcome::Done))?;
            }
        }
    }
}

fn request(number: u64) -> ScalingRequest {
    ScalingRequest {
        id: format!("{number}"),
        order: Order::Rent {
            machine_type: "k".into(),
            zone: "a".into(),
            spot: false,
            count: 1,
        },
        version: number + 1,
    }
}
