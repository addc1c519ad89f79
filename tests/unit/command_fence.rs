//! Which repeats of commands an agent rejects.

use gaugesill::epoch::Epoch;
use gaugesill::job::{JobRecord, Priority, Shape};
use gaugesill::leadership_keys::{LeaderKey, VersionFence};
use gaugesill::plan::{Decision, PlannedPlacement, TaskBinding};
use gaugesill::scheduler::{Effect, Scheduler, StartPermission, StatusOrigin};
use gaugesill::watch_cache::WatchCache;
use gaugesill::wire::{AgentStatus, CommandVerb, TaskStatus};
use gaugesill::write_queue::CommitResult;

use crate::support::*;

/// Reports a heartbeat of m-0 with these tasks. The response's epoch and verbs.
fn heartbeat(
    scheduler: &mut Scheduler,
    serial: u64,
    epoch: Epoch,
    tasks: Vec<TaskStatus>,
) -> (Epoch, Vec<CommandVerb>) {
    let now = 1000 + 100 * serial;
    let status = AgentStatus {
        epoch,
        ..status_of_m0(serial, 0, tasks)
    };
    scheduler.on_agent_status(&status, StatusOrigin::Heartbeat, now);
    let commands = scheduler.heartbeat_response_commands(&status, StartPermission::Granted, now);
    let verbs = commands.into_iter().map(|command| command.verb);
    (scheduler.command_epoch("m-0"), verbs.collect())
}

/// A scheduler that has bound the only task of run-1 to m-0, and committed this.
fn scheduler_with_committed_start() -> Scheduler {
    let mut scheduler = scheduler_with_objectives("[]");
    let record = JobRecord::new(spec(Shape::Array, 1, 1.0, Priority::Low), 1_000_000);
    add_record(&mut scheduler, "run-1", record);
    heartbeat(&mut scheduler, 1, Epoch::new(1), vec![]);
    heartbeat(&mut scheduler, 2, Epoch::new(2), vec![]);
    let binding = TaskBinding {
        task: 0,
        machine: "m-0".into(),
    };
    let placement = PlannedPlacement {
        job: "run-1".into(),
        tasks: vec![binding],
    };
    let decision = Decision {
        placements: vec![placement],
        ..Decision::default()
    };
    scheduler.apply_decision(decision, 0, 1200, 1_000_200);
    commit_writes(&mut scheduler, 1200);
    scheduler
}

fn commit_writes(scheduler: &mut Scheduler, now: u64) {
    scheduler.flush(now, 1, 9);
    for effect in scheduler.take_effects() {
        if let Effect::Write { job, change, .. } = effect {
            let committed = CommitResult::Committed { revision: 9 };
            scheduler.on_commit(&job, change, None, &committed, now);
        }
    }
}

/// The epoch of the start that the scheduler sends directly.
fn send_direct_start(scheduler: &mut Scheduler) -> Epoch {
    scheduler.send_direct_starts(StartPermission::Granted, 1200);
    let effects = scheduler.take_effects();
    let epochs = effects.iter().filter_map(|effect| match effect {
        Effect::Commands { epoch, starts, .. } if !starts.is_empty() => Some(*epoch),
        _ => None,
    });
    let epochs: Vec<Epoch> = epochs.collect();
    assert_eq!(epochs.len(), 1, "one start: {effects:?}");
    epochs[0]
}

fn stopped() -> Vec<TaskStatus> {
    vec![task_status("run-1/0", 1, "ended", Some("stopped"))]
}

/// Guards against a task that ran twice: an agent forgets a cleared attempt, so a repeat of its
/// start must be rejected for its epoch from then on, whichever way it was sent.
#[test]
fn a_clear_has_a_higher_epoch_than_the_start_of_its_task() {
    for is_direct in [true, false] {
        let mut scheduler = scheduler_with_committed_start();
        let started = if is_direct {
            send_direct_start(&mut scheduler)
        } else {
            let (epoch, verbs) = heartbeat(&mut scheduler, 3, Epoch::new(2), vec![]);
            assert_eq!(verbs, [CommandVerb::Start]);
            epoch
        };
        assert_eq!(started, Epoch::new(2));
        let running = vec![task_status("run-1/0", 1, "running", None)];
        let (epoch, _) = heartbeat(&mut scheduler, 4, started, running);
        assert_eq!(epoch, started, "nothing is cleared yet");
        let (cleared, verbs) = heartbeat(&mut scheduler, 5, started, stopped());
        assert_eq!(verbs, [CommandVerb::Clear]);
        assert!(cleared > started);
        // The response was lost: the task is cleared again, now without a start to fence.
        let (again, verbs) = heartbeat(&mut scheduler, 6, started, stopped());
        assert_eq!((again, verbs), (cleared, vec![CommandVerb::Clear]));
        assert!(
            !scheduler.is_fenced_by(cleared),
            "the epoch is the leader's own"
        );
    }
}

/// Tasks that an earlier leader started are fenced by the term's epoch: clearing them raises none.
#[test]
fn a_clear_of_an_earlier_leaders_start_raises_no_epoch() {
    let mut scheduler = scheduler_with_placed_job(Shape::Array, 1);
    let (epoch, verbs) = heartbeat(&mut scheduler, 1, Epoch::new(2), stopped());
    assert_eq!((epoch, verbs), (Epoch::new(2), vec![CommandVerb::Clear]));
}

/// A direct start whose outcome is unknown may still arrive, unless the agent has seen a higher
/// epoch: then its absence from a status is proven, and the task is started anew.
#[test]
fn a_higher_epoch_proves_that_a_direct_start_is_rejected() {
    let mut scheduler = scheduler_with_committed_start();
    let started = send_direct_start(&mut scheduler);
    let (_, verbs) = heartbeat(&mut scheduler, 3, started, vec![]);
    assert_eq!(verbs, [], "the start may still arrive");
    let (_, verbs) = heartbeat(&mut scheduler, 4, started.next(), vec![]);
    assert_eq!(verbs, [CommandVerb::Start]);
}

/// The epochs by which a leader fences its own commands are below those of all later terms, also
/// if the election is known from the store only.
#[test]
fn a_term_reserves_its_epochs() {
    let key = LeaderKey {
        member: "c0".into(),
        epoch: Epoch::FIRST,
    };
    let mut cache = WatchCache::default();
    cache.apply_own_election(key, 3, VersionFence::None);
    assert_eq!(cache.epoch, Epoch::FIRST.last_of_term());
    let next_term = cache.epoch.next();
    let scheduler = scheduler_from_cache(&cluster("[]", "[]", "3.0"), 1, &cache, 1000);
    assert!(!scheduler.is_fenced_by(Epoch::FIRST.last_of_term()));
    assert!(scheduler.is_fenced_by(next_term));
}
