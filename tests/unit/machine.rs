//! Machines.

use crate::support::*;
use gaugesill::machine::BoundTask;
use gaugesill::plan::Resources;

/// A look for orphans is remembered, since each plan asks for them on all machines;
/// what a record stops naming is one again.
#[test]
fn orphans_are_found_anew_once_a_record_changes() {
    let mut c = busy_machines("3.0");
    let m = c.machines.get_mut("m-0").expect("a machine");
    m.update_orphans();
    assert_eq!(m.orphans().count(), 1, "no record names its task");
    m.bound_tasks.push(BoundTask {
        job: "run-0".into(),
        task: 0,
        attempt: 1,
        resources: Resources::default(),
        spot: false,
    });
    m.update_orphans();
    assert_eq!(m.orphans().count(), 0);
    m.unbind("run-0", Some(1));
    assert_eq!(m.orphans().count(), 0, "another task was struck off");
    m.unbind("run-0", Some(0));
    assert_eq!(m.orphans().count(), 1);
}
