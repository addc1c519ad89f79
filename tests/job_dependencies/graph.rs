//! The dependency graph, and the events that the watch cache derives from it.

use ciborium::Value;
use gaugesill::dependencies::{DependencyEvent, DependencyGraph, DependencyState};
use gaugesill::job::{FinalState, JobRecord, Priority};
use gaugesill::watch_cache::WatchCache;
use gaugesill::wire::KeyChange;

use crate::support::spec;

/// Chains and fan-outs of 20,000 jobs: a recursive traversal would overflow the stack, and the
/// cost of a change must be proportional to the number of dependents.
#[test]
fn deep_chains_and_wide_fan_outs() {
    let name = |index: usize| format!("run-{index:06}");
    let mut graph = DependencyGraph::default();
    let mut events = Vec::new();
    let length = 20_000_usize;
    let live = |_: &str| DependencyState::Live { cancelled: false };
    for index in 0..length {
        let previous = index.checked_sub(1).map(name);
        let dependencies: Vec<String> = previous.into_iter().collect();
        graph.add(&name(index), &dependencies, live, &mut events);
        let in_fan_out = format!("run-9{index:06}");
        graph.add(&in_fan_out, &[name(0)], live, &mut events);
    }
    assert!(events.is_empty());
    assert!(!graph.has_unresolved_dependency(&name(length - 1)));
    graph.on_cancelled(&name(0), &mut events);
    assert_eq!(events.len(), 2 * length - 1);
    assert!(graph.is_cancelled(&name(length - 1)));
    // Repeating the cancellation causes no events.
    events.clear();
    graph.on_cancelled(&name(0), &mut events);
    assert!(events.is_empty());
    // A job that depends on a cancelled one is cancelled.
    graph.add("run-7", &[name(length - 1)], live, &mut events);
    assert_eq!(events, [DependencyEvent::Cancelled("run-7".into())]);
}

/// A dependency whose state is unknown is listed for look-up. Until its state is known, its
/// dependents wait and cause no events.
#[test]
fn unknown_final_states_are_looked_up() {
    let mut graph = DependencyGraph::default();
    let mut events = Vec::new();
    let state_of = |id: &str| match id {
        "run-1" => DependencyState::Unknown,
        _ => DependencyState::Live { cancelled: false },
    };
    graph.add("run-2", &["run-1".into()], state_of, &mut events);
    graph.add("run-3", &["run-2".into()], state_of, &mut events);
    graph.add("run-4", &[], state_of, &mut events);
    assert_eq!(graph.unresolved().iter().collect::<Vec<_>>(), ["run-1"]);
    assert!(
        graph.has_unresolved_dependency("run-2")
            && graph.has_unresolved_dependency("run-3")
            && !graph.has_unresolved_dependency("run-4")
    );
    graph.on_done("run-1", &mut events);
    assert_eq!(events, [DependencyEvent::Ready("run-2".into())]);
    assert!(
        !graph.has_unresolved_dependency("run-3")
            && graph.is_waiting("run-3")
            && !graph.is_waiting("run-2")
    );
    // A dependent becomes known before its dependency, as when keys are read in order.
    events.clear();
    graph.add(
        "run-5",
        &["run-6".into()],
        |_| DependencyState::Unknown,
        &mut events,
    );
    graph.add("run-6", &[], state_of, &mut events);
    assert!(!graph.has_unresolved_dependency("run-5") && graph.is_waiting("run-5"));
    graph.on_cancelled("run-6", &mut events);
    assert_eq!(events, [DependencyEvent::Cancelled("run-5".into())]);
    graph.remove("run-5");
    graph.remove("run-6");
    assert!(!graph.is_cancelled("run-5"));
}

/// A cancelled final state that becomes known after the dependents still causes the events of
/// all of them.
#[test]
fn the_watch_cache_reports_cancelled_dependents() {
    let mut cache = WatchCache::default();
    cache.revision = 1;
    let set = |key: &str, value: Value, version| KeyChange {
        set: Some(key.into()),
        value: Some(value),
        delete: None,
        version,
    };
    let job = |dependencies: &[&str]| {
        JobRecord::new(spec(dependencies, Priority::Low, 9.0, None), 7).to_value(1)
    };
    cache.apply_changes(
        3,
        1,
        &[
            set("g/j/run-2", job(&["run-1"]), 2),
            set("g/j/run-3", job(&["run-2"]), 3),
        ],
    );
    assert!(cache.dependencies.has_unresolved_dependency("run-3"));
    cache.record_final_state("run-1", FinalState::Cancelled);
    assert_eq!(
        cache.take_dependency_events(),
        [
            DependencyEvent::Cancelled("run-2".into()),
            DependencyEvent::Cancelled("run-3".into())
        ]
    );
    assert!(cache.is_cancelled("run-3") && !cache.dependencies.has_unresolved_dependency("run-3"));
    assert_eq!(
        cache.dependency_state("run-2"),
        DependencyState::Live { cancelled: false },
        "its own record is not cancelled yet"
    );
}
