//! The lease under arbitrary sequences of events.

use duty_lease::{
    Candidacy, DutyLease, HolderKey, LeaseRequest, LeaseResponse, LeaseTiming, LeaseView,
    OutgoingLeaseRequest, Token,
};
use proptest::prelude::*;
use proptest::test_runner::TestCaseError;

const TTL_MS: u64 = 1000;

/// An event of a lease.
#[derive(Debug, Clone)]
enum Step {
    /// The clock advances, or jumps back.
    Clock(i64),
    /// The request in flight is answered, successfully or not.
    Answer(Answer),
    /// Time passes in small steps without any answer.
    NoAnswers,
    /// An answer to an old request arrives.
    LateAnswer(Answer),
    /// The watch shows a lease key with this version, and this token.
    View {
        holder_version: u64,
        token: Token,
    },
    Fenced,
    Candidacy(Candidacy),
}

#[derive(Debug, Clone, Copy)]
enum Answer {
    Regular,
    Conflict,
    GrantEnded,
    Refused,
}

fn answers() -> impl Strategy<Value = Answer> {
    prop_oneof![
        6 => Just(Answer::Regular),
        1 => Just(Answer::Conflict),
        1 => Just(Answer::GrantEnded),
        1 => Just(Answer::Refused),
    ]
}

fn candidacy(is_candidate: bool) -> Candidacy {
    if is_candidate {
        Candidacy::Candidate
    } else {
        Candidacy::Observer
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        8 => (1..60i64).prop_map(Step::Clock),
        1 => (-500..3000i64).prop_map(Step::Clock),
        8 => answers().prop_map(Step::Answer),
        1 => Just(Step::NoAnswers),
        1 => answers().prop_map(Step::LateAnswer),
        1 => (0..9u64, 0..9u64)
            .prop_map(|(holder_version, token)| Step::View { holder_version, token }),
        1 => Just(Step::Fenced),
        1 => any::<bool>().prop_map(|is_candidate| Step::Candidacy(candidacy(is_candidate))),
    ];
    prop::collection::vec(step, 0..200)
}

/// The response to a request; `last_token` is the last token that was issued.
fn respond(request: &LeaseRequest, answer: Answer, last_token: &mut Token) -> LeaseResponse {
    match answer {
        Answer::Regular => {}
        Answer::Conflict => return LeaseResponse::Conflict,
        Answer::GrantEnded => return LeaseResponse::GrantEnded,
        Answer::Refused => return LeaseResponse::Refused,
    }
    match request {
        LeaseRequest::Read => LeaseResponse::View(LeaseView {
            holder: None,
            holder_version: 0,
            token: *last_token,
            token_version: *last_token,
        }),
        LeaseRequest::CreateGrant { .. } => LeaseResponse::Granted(1),
        LeaseRequest::Acquire { holder, .. } => {
            *last_token = holder.token;
            LeaseResponse::Acquired {
                version: holder.token,
            }
        }
        LeaseRequest::Renew { .. } => LeaseResponse::Renewed,
        LeaseRequest::Release { .. } => LeaseResponse::Released,
    }
}

/// A request that the lease has sent.
#[derive(Debug, Clone)]
struct SentRequest {
    id: u64,
    request: LeaseRequest,
    sent_at: u64,
}

/// A lease, and its expected state, tracked independently of its code.
struct Run {
    timing: LeaseTiming,
    lease: DutyLease,
    now: u64,
    last_reading: u64,
    /// When the clock last paused or jumped.
    clock_unreliable_since: u64,
    /// When the last confirmed renewal was sent.
    renewed_at: Option<u64>,
    in_flight: Option<SentRequest>,
    last_token: Token,
    highest_held: Token,
}

impl Run {
    fn new() -> Run {
        let timing = LeaseTiming::new(TTL_MS);
        let now = 100_000;
        Run {
            timing,
            lease: DutyLease::new("c0", timing),
            now,
            last_reading: now,
            clock_unreliable_since: 0,
            renewed_at: None,
            in_flight: None,
            last_token: 0,
            highest_held: 0,
        }
    }

    fn apply(&mut self, step: Step) -> Result<(), TestCaseError> {
        match step {
            Step::Clock(by_ms) => self.now = self.now.saturating_add_signed(by_ms),
            Step::Answer(answer) => self.answer(answer),
            Step::NoAnswers => self.pass_time_without_answers()?,
            Step::LateAnswer(answer) => self.answer_late(answer)?,
            Step::View {
                holder_version,
                token,
            } => {
                let view = LeaseView {
                    holder_version,
                    token,
                    ..LeaseView::default()
                };
                self.lease.on_view(&view, self.now);
            }
            Step::Fenced => self.lease.on_fenced(self.now),
            Step::Candidacy(candidacy) => self.lease.set_candidacy(candidacy),
        }
        Ok(())
    }

    fn answer(&mut self, answer: Answer) {
        let Some(sent) = self.in_flight.take() else {
            return;
        };
        let response = respond(&sent.request, answer, &mut self.last_token);
        let is_renewed = response == LeaseResponse::Renewed;
        self.lease.on_response(sent.id, response, self.now);
        if is_renewed {
            let renewed_at = self.renewed_at.unwrap_or(sent.sent_at);
            self.renewed_at = Some(renewed_at.max(sent.sent_at));
        }
    }

    fn pass_time_without_answers(&mut self) -> Result<(), TestCaseError> {
        self.in_flight = None;
        for _ in 0..40 {
            self.now += TTL_MS / 30;
            self.lease.tick(self.now);
            let window_ms = self.timing.order_window_ms();
            let is_in_time = self.renewed_at.is_some_and(|at| self.now < at + window_ms);
            prop_assert!(is_in_time || self.lease.order_token(self.now).is_none());
        }
        self.last_reading = self.now;
        Ok(())
    }

    fn answer_late(&mut self, answer: Answer) -> Result<(), TestCaseError> {
        let before = self.lease.token();
        let old = LeaseRequest::Renew { grant: 1 };
        let response = respond(&old, answer, &mut self.last_token);
        self.lease.on_response(0, response, self.now);
        prop_assert_eq!(self.lease.token(), before);
        Ok(())
    }

    fn read_clock(&mut self) {
        let went_back = self.now < self.last_reading;
        if went_back || self.now - self.last_reading > self.timing.pause_threshold_ms() {
            self.clock_unreliable_since = self.now;
        }
        self.last_reading = self.now;
    }

    fn tick(&mut self) {
        let Some(OutgoingLeaseRequest { id, request }) = self.lease.tick(self.now) else {
            return;
        };
        if matches!(request, LeaseRequest::CreateGrant { .. }) {
            self.renewed_at = None;
        }
        self.in_flight = Some(SentRequest {
            id,
            request,
            sent_at: self.now,
        });
    }

    fn check_orders(&mut self) -> Result<(), TestCaseError> {
        let Some(token) = self.lease.order_token(self.now) else {
            return Ok(());
        };
        let renewed_at = self.renewed_at.expect("a renewal");
        prop_assert!(self.now < renewed_at + self.timing.order_window_ms());
        prop_assert!(renewed_at >= self.clock_unreliable_since);
        prop_assert!(token >= self.highest_held);
        self.highest_held = token;
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

    /// Orders are allowed only if a confirmed renewal was sent within the window and after the last
    /// pause or clock jump. Tokens never decrease.
    #[test]
    fn orders_need_a_recent_confirmed_renewal(steps in steps()) {
        let mut run = Run::new();
        for step in steps {
            run.apply(step)?;
            run.read_clock();
            run.tick();
            run.check_orders()?;
        }
    }
}

/// Advances the clock until the lease sends a request.
fn next_request(lease: &mut DutyLease, now: &mut u64) -> SentRequest {
    loop {
        *now += 10;
        if let Some(OutgoingLeaseRequest { id, request }) = lease.tick(*now) {
            let sent_at = *now;
            return SentRequest {
                id,
                request,
                sent_at,
            };
        }
    }
}

/// A lease whose acquisition under token 8 was not answered.
fn unanswered_acquisition(now: &mut u64) -> DutyLease {
    let mut lease = DutyLease::new("c0", LeaseTiming::new(TTL_MS));
    let mut last_token = 7;
    loop {
        let sent = next_request(&mut lease, now);
        if let LeaseRequest::Acquire { holder, .. } = &sent.request {
            assert_eq!(holder.token, 8);
            lease.on_response(sent.id, LeaseResponse::NoResponse, *now);
            return lease;
        }
        let response = respond(&sent.request, Answer::Regular, &mut last_token);
        lease.on_response(sent.id, response, *now);
    }
}

/// After an unanswered acquisition, the lease reads the key instead of assuming an outcome. If the
/// key is found, the duty is held; if not, the grant is released, so that the acquisition cannot
/// be executed later.
#[test]
fn an_unanswered_acquisition_is_resolved_by_a_read() {
    for is_found in [true, false] {
        let mut now = 1;
        let mut lease = unanswered_acquisition(&mut now);
        assert_eq!(
            lease.token(),
            None,
            "the outcome of the acquisition is unknown"
        );
        let read = next_request(&mut lease, &mut now);
        assert_eq!(read.request, LeaseRequest::Read);
        let holder = HolderKey {
            member: "c0".into(),
            token: 8,
        };
        let view = LeaseView {
            holder: is_found.then_some(holder),
            holder_version: 3,
            token: 8,
            token_version: 3,
        };
        lease.on_response(read.id, LeaseResponse::View(view), now);
        let next = next_request(&mut lease, &mut now);
        if is_found {
            assert_eq!(lease.token(), Some(8));
            assert_eq!(
                lease.order_token(now),
                None,
                "orders are not allowed before a renewal"
            );
            assert_eq!(next.request, LeaseRequest::Renew { grant: 1 });
        } else {
            assert_eq!(next.request, LeaseRequest::Release { grant: 1 });
        }
    }
}
