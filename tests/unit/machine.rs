//! The scheduler's view of a machine.

use crate::support::*;
use gaugesill::machine::BoundTask;
use gaugesill::plan::Resources;

/// The orphans of a machine are cached, because each plan needs them for all machines. Guards
/// against a stale cache: a task that no record binds any longer is an orphan again.
#[test]
fn orphans_are_recomputed_when_a_record_changes() {
    let mut scheduler = scheduler_with_busy_machines("3.0");
    let machine = scheduler.machines.get_mut("m-0").expect("a machine");
    machine.update_orphan_flag();
    assert_eq!(machine.orphans().count(), 1, "no record binds its task");
    machine.bound_tasks.push(BoundTask {
        job: "run-0".into(),
        task: 0,
        attempt: 1,
        resources: Resources::default(),
        spot: false,
    });
    machine.update_orphan_flag();
    assert_eq!(machine.orphans().count(), 0);
    machine.unbind("run-0", Some(1));
    assert_eq!(machine.orphans().count(), 0, "another task was unbound");
    machine.unbind("run-0", Some(0));
    assert_eq!(machine.orphans().count(), 1);
}
