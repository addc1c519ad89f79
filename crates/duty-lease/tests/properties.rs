//! Properties of the lease and of the order book over arbitrary orders of events.

use std::collections::BTreeSet;

use duty_lease::{
    Duty, DutyLease, HolderKey, LeaseRequest, LeaseResponse, LeaseTiming, LeaseView, Order,
    OrderBook, OrderOutcome, OrderRequest, OrderResult, RecordOutcome, ScalingRequest, WriteGuard,
};
use proptest::prelude::*;

const TTL_MS: u64 = 1000;

/// What may happen to a lease.
#[derive(Debug, Clone)]
enum Step {
    /// Time passes, or goes back.
    Clock(i64),
    /// The request in flight is answered, in good order or not.
    Answer(Answer),
    /// Time passes in small parts without any answer.
    Silence,
    /// An answer to a request of long ago.
    Late(Answer),
    /// The watch shows a lease key with this version, and this token.
    View(u64, u64),
    Fenced,
    Wanted(bool),
}

#[derive(Debug, Clone, Copy)]
enum Answer {
    Good,
    Conflict,
    Ended,
    Refused,
}

fn answers() -> impl Strategy<Value = Answer> {
    prop_oneof![
        6 => Just(Answer::Good),
        1 => Just(Answer::Conflict),
        1 => Just(Answer::Ended),
        1 => Just(Answer::Refused),
    ]
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        8 => (1..60i64).prop_map(Step::Clock),
        1 => (-500..3000i64).prop_map(Step::Clock),
        8 => answers().prop_map(Step::Answer),
        1 => Just(Step::Silence),
        1 => answers().prop_map(Step::Late),
        1 => (0..9u64, 0..9u64).prop_map(|(version, token)| Step::View(version, token)),
        1 => Just(Step::Fenced),
        1 => any::<bool>().prop_map(Step::Wanted),
    ];
    prop::collection::vec(step, 0..200)
}

fn respond(request: &LeaseRequest, answer: Answer, last_token: &mut u64) -> LeaseResponse {
    match (answer, request) {
        (Answer::Conflict, _) => LeaseResponse::Conflict,
        (Answer::Ended, _) => LeaseResponse::GrantEnded,
        (Answer::Refused, _) => LeaseResponse::Refused,
        (Answer::Good, LeaseRequest::Read) => LeaseResponse::View(LeaseView {
            holder: None,
            holder_version: 0,
            token: *last_token,
            token_version: *last_token,
        }),
        (Answer::Good, LeaseRequest::CreateGrant { .. }) => LeaseResponse::Granted(1),
        (Answer::Good, LeaseRequest::Acquire { holder, .. }) => {
            *last_token = holder.token;
            LeaseResponse::Acquired {
                version: holder.token,
            }
        }
        (Answer::Good, LeaseRequest::Renew { .. }) => LeaseResponse::Renewed,
        (Answer::Good, LeaseRequest::Release { .. }) => LeaseResponse::Released,
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(17),
        ..ProptestConfig::default()
    })]

    /// Orders are allowed only while a renewal is confirmed that was sent within the window
    /// and after the last pause or leap; tokens only rise.
    #[test]
    fn orders_need_a_recent_confirmed_renewal(steps in steps()) {
        let timing = LeaseTiming::new(TTL_MS);
        let mut lease = DutyLease::new("c0", timing);
        let mut now = 100_000u64;
        let mut last_seen = now;
        let mut unsure_since = 0;
        let mut renewed_at: Option<u64> = None;
        let mut in_flight: Option<(u64, LeaseRequest, u64)> = None;
        let mut last_token = 0;
        let mut highest_held = 0;
        for step in steps {
            if now < last_seen || now - last_seen > timing.pause_ms() {
                unsure_since = now;
                renewed_at = renewed_at.map(|at| at.min(now));
            }
            last_seen = now;
            match step {
                Step::Clock(by) => now = now.saturating_add_signed(by),
                Step::Answer(answer) => {
                    if let Some((id, request, sent_at)) = in_flight.take() {
                        let response = respond(&request, answer, &mut last_token);
                        let renews = response == LeaseResponse::Renewed;
                        lease.on_response(id, response, now);
                        if renews {
                            renewed_at = Some(renewed_at.map_or(sent_at, |at| at.max(sent_at)));
                        }
                    }
                }
                Step::Silence => {
                    in_flight = None;
                    for _ in 0..40 {
                        now += TTL_MS / 30;
                        lease.tick(now);
                        let in_time = renewed_at
                            .is_some_and(|at| now < at + timing.order_window_ms());
                        prop_assert!(in_time || lease.order_token(now).is_none());
                    }
                    last_seen = now;
                }
                Step::Late(answer) => {
                    let before = lease.token();
                    let old = LeaseRequest::Renew { grant: 1 };
                    lease.on_response(0, respond(&old, answer, &mut last_token), now);
                    prop_assert_eq!(lease.token(), before);
                }
                Step::View(holder_version, token) => {
                    let view = LeaseView {
                        holder_version,
                        token,
                        ..LeaseView::default()
                    };
                    lease.on_view(&view, now);
                }
                Step::Fenced => lease.on_fenced(now),
                Step::Wanted(wanted) => lease.set_candidate(wanted),
            }
            if now < last_seen || now - last_seen > timing.pause_ms() {
                unsure_since = now;
            }
            last_seen = now;
            if let Some((id, request)) = lease.tick(now) {
                if matches!(request, LeaseRequest::CreateGrant { .. }) {
                    renewed_at = None;
                }
                in_flight = Some((id, request, now));
            }
            if let Some(token) = lease.order_token(now) {
                let renewed_at = renewed_at.expect("a renewal");
                prop_assert!(now < renewed_at + timing.order_window_ms());
                prop_assert!(renewed_at >= unsure_since);
                prop_assert!(token >= highest_held);
                highest_held = token;
            }
        }
    }

    /// Each order has a name of its own, goes out only after its intent was recorded and
    /// under the token at hand, and is completed only after it was carried out.
    #[test]
    fn orders_follow_their_intents(outcomes in prop::collection::vec(0..6u8, 0..300)) {
        let mut book = OrderBook::new(Duty::Rent, LeaseTiming::new(TTL_MS));
        book.on_gained(5, WriteGuard { holder_version: 9 });
        let requests: Vec<ScalingRequest> = (0..20).map(request).collect();
        let mut recorded = BTreeSet::new();
        let mut done = BTreeSet::new();
        let mut met = BTreeSet::new();
        let mut now = 0;
        let mut outcomes = outcomes.into_iter();
        for _ in 0..60 {
            now += 100;
            let open: Vec<ScalingRequest> = requests.iter().filter(|n| !met.contains(&n.id)).cloned().collect();
            book.on_view(&[], &open);
            let token = (now % 300 != 0).then_some(5);
            for request in book.tick(token, now) {
                let outcome = outcomes.next().unwrap_or(0);
                let written = match outcome {
                    0..=3 => RecordOutcome::Written { version: now },
                    4 => RecordOutcome::Conflict,
                    _ => RecordOutcome::Unknown,
                };
                match request {
                    OrderRequest::Record { intent, request, guard } => {
                        prop_assert_eq!(guard.holder_version, 9);
                        if matches!(written, RecordOutcome::Written { .. }) {
                            prop_assert!(recorded.insert(intent.id), "a name is used once");
                            prop_assert!(met.insert(request.id), "a need is met once");
                        }
                        book.on_recorded(intent.id, written, now);
                    }
                    OrderRequest::Send { id, token: sent, .. } => {
                        prop_assert!(recorded.contains(&id));
                        prop_assert_eq!(Some(sent), token);
                        let result = match outcome {
                            0..=3 => OrderOutcome::Done(OrderResult::NoCapacity),
                            _ => OrderOutcome::Unknown,
                        };
                        if outcome <= 3 {
                            done.insert(id);
                        }
                        prop_assert!(!book.on_sent(id, result, now));
                    }
                    OrderRequest::Complete { intent, .. } => {
                        prop_assert!(done.contains(&intent.id));
                        book.on_completed(intent.id, written, now);
                    }
                }
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

/// Timings that leave no time for orders, or that the store does not allow, are
/// refused with the field's name.
#[test]
fn timings_are_checked() {
    assert_eq!(LeaseTiming::new(3000).check(), Ok(()));
    for ttl_ms in [0, 99, 600_001] {
        let error = LeaseTiming::new(ttl_ms)
            .check()
            .expect_err("too short or long");
        assert!(error.to_string().starts_with("life_ms: "), "{error}");
    }
    for share in [0.0, 0.75, f64::NAN, -1.0] {
        let timing = LeaseTiming {
            safety_share: share,
            ..LeaseTiming::new(3000)
        };
        let error = timing.check().expect_err("not a share");
        assert!(error.to_string().starts_with("safety_share: "), "{error}");
    }
}

/// An acquisition without an answer is read, never assumed: found, it is held, and not
/// found, its grant is ended, so that it can't be carried out later.
#[test]
fn an_unanswered_acquisition_is_read() {
    for found in [true, false] {
        let mut lease = DutyLease::new("c0", LeaseTiming::new(TTL_MS));
        let mut now = 1;
        let mut next = |lease: &mut DutyLease| loop {
            now += 10;
            if let Some(sent) = lease.tick(now) {
                return (sent, now);
            }
        };
        let mut last_token = 7;
        loop {
            let ((id, request), now) = next(&mut lease);
            if let LeaseRequest::Acquire { holder, .. } = &request {
                assert_eq!(holder.token, 8);
                lease.on_response(id, LeaseResponse::NoAnswer, now);
                break;
            }
            let response = respond(&request, Answer::Good, &mut last_token);
            lease.on_response(id, response, now);
        }
        assert_eq!(lease.token(), None, "nothing is assumed");
        let ((id, request), now) = next(&mut lease);
        assert_eq!(request, LeaseRequest::Read);
        let holder = HolderKey {
            member: "c0".into(),
            token: 8,
        };
        let view = LeaseView {
            holder: found.then_some(holder),
            holder_version: 3,
            token: 8,
            token_version: 3,
        };
        lease.on_response(id, LeaseResponse::View(view), now);
        let ((_, request), now) = next(&mut lease);
        if found {
            assert_eq!(lease.token(), Some(8));
            assert_eq!(lease.order_token(now), None, "not before a renewal");
            assert_eq!(request, LeaseRequest::Renew { grant: 1 });
        } else {
            assert_eq!(request, LeaseRequest::Release { grant: 1 });
        }
    }
}
