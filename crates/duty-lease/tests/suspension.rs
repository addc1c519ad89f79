//! The confirmation of a lease after a suspension.

use duty_lease::{
    DutyLease, HolderKey, LeaseEvent, LeaseRequest, LeaseResponse, LeaseTiming, LeaseView,
    OutgoingLeaseRequest, SuspensionReason, Token,
};

const TTL_MS: u64 = 1000;
/// Time between two calls while the process runs; short enough not to count as a pause.
const STEP_MS: u64 = 10;
const TOKEN: Token = 1;
const GRANT: u64 = 4;
const HOLDER_VERSION: u64 = 3;

/// Advances the clock until the lease sends a request.
fn next_request(lease: &mut DutyLease, now: &mut u64) -> OutgoingLeaseRequest {
    loop {
        *now += STEP_MS;
        if let Some(request) = lease.tick(*now) {
            return request;
        }
    }
}

/// A lease that is held and confirmed, with its next renewal in flight.
fn lease_with_renewal_in_flight(now: &mut u64) -> (DutyLease, OutgoingLeaseRequest) {
    let mut lease = DutyLease::new("c0", LeaseTiming::new(TTL_MS));
    loop {
        let numbered = next_request(&mut lease, now);
        if lease.order_token(*now).is_some() {
            assert_eq!(numbered.request, LeaseRequest::Renew { grant: GRANT });
            return (lease, numbered);
        }
        let response = match numbered.request {
            LeaseRequest::Read => LeaseResponse::View(LeaseView::default()),
            LeaseRequest::CreateGrant { .. } => LeaseResponse::Granted(GRANT),
            LeaseRequest::Acquire { holder, .. } => {
                let member = "c0".into();
                let token = TOKEN;
                assert_eq!(holder, HolderKey { member, token });
                let version = HOLDER_VERSION;
                LeaseResponse::Acquired { version }
            }
            LeaseRequest::Renew { .. } => LeaseResponse::Renewed,
            LeaseRequest::Release { .. } => panic!("released while a candidate"),
        };
        lease.on_response(numbered.id, response, *now);
    }
}

/// A renewal that was sent before a pause does not confirm the lease after it, however soon its
/// answer is read: orders are allowed again only after a renewal that was sent after the pause.
#[test]
fn a_renewal_sent_before_a_suspension_does_not_confirm_the_lease() {
    let timing = LeaseTiming::new(TTL_MS);
    let mut now = 1;
    let (mut lease, sent_before) = lease_with_renewal_in_flight(&mut now);
    lease.take_events();

    now += timing.pause_threshold_ms() + 1;
    assert!(
        timing.pause_threshold_ms() + 1 < timing.response_timeout_ms(),
        "the renewal still waits for its answer"
    );
    lease.on_response(sent_before.id, LeaseResponse::Renewed, now);
    let suspended = LeaseEvent::Suspended(TOKEN, SuspensionReason::Paused);
    assert_eq!(lease.take_events(), [suspended]);
    assert_eq!(lease.order_token(now), None, "sent before the pause");

    let sent_after = lease.tick(now).expect("another renewal at once");
    assert_eq!(sent_after.request, LeaseRequest::Renew { grant: GRANT });
    now += STEP_MS;
    lease.on_response(sent_after.id, LeaseResponse::Renewed, now);
    assert_eq!(lease.take_events(), [LeaseEvent::Resumed(TOKEN)]);
    assert_eq!(lease.order_token(now), Some(TOKEN));
}
