//! Unit tests of the check of terminations that are allowed only for empty machines.

use std::collections::HashSet;

use duty_lease::{Order, ScalingRequest};
use gaugesill::termination_check::{TerminationCheck, TerminationVerdict};

const REVISION: u64 = 40;

fn termination(version: u64, if_empty: bool) -> ScalingRequest {
    ScalingRequest {
        id: "c0-3-return-1".into(),
        order: Order::Delete {
            machines: vec!["m-1".into(), "m-2".into(), "m-3".into()],
            if_empty,
        },
        version,
    }
}

fn verdict(request: &ScalingRequest, occupied: &[&str]) -> TerminationVerdict {
    let occupied: HashSet<String> = occupied
        .iter()
        .map(std::string::ToString::to_string)
        .collect();
    TerminationCheck::new(request, REVISION).verdict(&occupied)
}

/// A task may have been placed on a machine before the request was written without being in the
/// cached records yet. Records older than the request therefore neither allow nor reject it.
#[test]
fn a_termination_is_postponed_while_the_records_are_older_than_the_request() {
    let ahead = termination(REVISION + 1, true);
    assert_eq!(verdict(&ahead, &[]), TerminationVerdict::Postponed);
    assert_eq!(verdict(&ahead, &["m-2"]), TerminationVerdict::Postponed);
    let check = TerminationCheck::new(&ahead, REVISION);
    assert!(!check.needs_occupied_machines());
    let covered = termination(REVISION, true);
    assert_eq!(verdict(&covered, &[]), TerminationVerdict::Allowed);
    let check = TerminationCheck::new(&covered, REVISION);
    assert!(check.needs_occupied_machines());
}

#[test]
fn machines_with_tasks_on_record_are_not_terminated() {
    let request = termination(REVISION, true);
    let occupied = vec!["m-2".to_string()];
    let rejected = TerminationVerdict::Rejected { occupied };
    assert_eq!(verdict(&request, &["m-2", "m-9"]), rejected);
    assert_eq!(verdict(&request, &["m-9"]), TerminationVerdict::Allowed);
}

#[test]
fn other_requests_do_not_depend_on_the_records() {
    let lost = termination(REVISION + 1, false);
    assert_eq!(verdict(&lost, &["m-1"]), TerminationVerdict::Allowed);
    let provisioning = ScalingRequest {
        id: "c0-3-1".into(),
        order: Order::Rent {
            machine_type: "big".into(),
            zone: "a".into(),
            spot: false,
            count: 2,
        },
        version: REVISION + 1,
    };
    let provisioning_verdict = verdict(&provisioning, &["m-1"]);
    assert_eq!(provisioning_verdict, TerminationVerdict::Allowed);
}
