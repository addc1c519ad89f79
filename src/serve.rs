//! Runs the controller: an I/O thread with the event loop, and a planning thread. Both share one
//! [`Controller`] behind a lock that is only held for short steps.

use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use mio::Waker;
use tracing::{error, info};

use crate::controller::{Controller, Timestamp};
use crate::epoch::Epoch;
use crate::fleet_capacity::limit_capacities;
use crate::net::{Action, ConnectionLimits, Event, EventLoop};
use crate::plan::{self, Snapshot};
use crate::settings::{OperatorSettings, Settings};

/// Stack size of the planning thread, which needs far less than the default.
const PLANNER_STACK_BYTES: usize = 512 * 1024;

/// Ratio of the process's memory that the body of one response may take. A decoded response takes
/// a few times the size of its body.
const RESPONSE_MEMORY_RATIO: f64 = 1.0 / 16.0;
/// Lower bound of the limit on a response's size: a page of the store has up to 512 KiB.
const RESPONSE_BYTES_MIN: usize = 1024 * 1024;

/// The process's clocks: the time of day, and a steady clock that starts with the process.
struct Clock {
    started: Instant,
}

impl Clock {
    fn now(&self) -> Timestamp {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH);
        Timestamp {
            steady: self.steady_ms(),
            wall: wall.map_or(0, |elapsed| elapsed.as_millis() as u64),
        }
    }

    fn steady_ms(&self) -> u64 {
        // Starts at 1, since 0 stands for "never" in the controller.
        self.started.elapsed().as_millis() as u64 + 1
    }
}

/// A snapshot to plan with, and the epoch of the leader that took it.
struct PlanRequest {
    epoch: Epoch,
    snapshot: Snapshot,
}

/// Passes snapshots to the planning thread. A newer one replaces one that is still pending.
#[derive(Default)]
struct PlannerInbox {
    request: Mutex<Option<PlanRequest>>,
    arrived: Condvar,
}

impl PlannerInbox {
    fn put(&self, request: PlanRequest) {
        *lock(&self.request) = Some(request);
        self.arrived.notify_one();
    }

    fn take(&self) -> PlanRequest {
        let mut slot = lock(&self.request);
        loop {
            if let Some(taken) = slot.take() {
                return taken;
            }
            slot = self
                .arrived
                .wait(slot)
                .unwrap_or_else(PoisonError::into_inner);
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // Panics abort the process, so no lock is ever poisoned.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// State shared by the threads.
struct Shared {
    controller: Mutex<Controller>,
    inbox: PlannerInbox,
    clock: Clock,
}

/// The result of one turn of the event loop.
struct Turn {
    /// The actions to execute.
    actions: Vec<Action>,
    /// The longest time to wait for further events, in milliseconds.
    wait_ms: u64,
}

/// Runs the controller until the process is killed.
///
/// # Errors
///
/// If a listener or a thread can't be set up, or the event loop fails.
pub fn serve(settings: Settings, operator: OperatorSettings) -> io::Result<()> {
    if let Some(least) = limit_capacities(&settings.cluster).first() {
        info!(limit = %least, "resource limit with the lowest fleet capacity");
    }
    let limits = connection_limits(&settings);
    let mut event_loop = EventLoop::new(settings.front, settings.mesh_addr, limits)?;
    let waker = event_loop.waker()?;
    let shared = Arc::new(Shared {
        controller: Mutex::new(Controller::new(settings, operator, rand::random())),
        inbox: PlannerInbox::default(),
        clock: Clock {
            started: Instant::now(),
        },
    });
    let planner = shared.clone();
    std::thread::Builder::new()
        .name("plan".into())
        .stack_size(PLANNER_STACK_BYTES)
        .spawn(move || run_planner(&planner, &waker))?;
    let mut wait_ms = 1;
    loop {
        let events = event_loop.turn(Duration::from_millis(wait_ms))?;
        let read_delay_ms = event_loop.take_longest_read_delay_ms();
        let turn = handle_events(&shared, events, read_delay_ms);
        for action in turn.actions {
            execute_action(&mut event_loop, action);
        }
        wait_ms = turn.wait_ms;
    }
}

fn connection_limits(settings: &Settings) -> ConnectionLimits {
    let limits = &settings.cluster.limits;
    let peers = settings.peers.iter().map(|peer| peer.address);
    let mut critical: HashSet<SocketAddr> = peers.collect();
    critical.extend([settings.endpoints.state, settings.endpoints.cloud]);
    ConnectionLimits {
        fd_limit: limits.fd_limit,
        critical,
        agent_idle_timeout: Duration::from_secs_f64(settings.cluster.workers.lease_s),
        reply_max_bytes: limits
            .memory_share_bytes(RESPONSE_MEMORY_RATIO)
            .max(RESPONSE_BYTES_MIN),
    }
}

/// The body of the planning thread.
fn run_planner(shared: &Shared, waker: &Waker) {
    loop {
        let PlanRequest { epoch, snapshot } = shared.inbox.take();
        let decision = plan::run_cycle(snapshot);
        lock(&shared.controller).apply_plan(shared.clock.now(), epoch, decision);
        if let Err(error) = waker.wake() {
            error!(%error, "failed to wake the event loop; the plan waits for its next turn");
        }
    }
}

/// Passes events to the controller and the controller's snapshots to the planning thread.
fn handle_events(shared: &Shared, events: Vec<Event>, read_delay_ms: u64) -> Turn {
    let mut controller = lock(&shared.controller);
    // The steady clock is read before every event; the time of day, which only goes into
    // records, once per turn.
    let mut now = shared.clock.now();
    for (index, event) in events.into_iter().enumerate() {
        if index > 0 {
            now.steady = shared.clock.steady_ms();
        }
        controller.handle_event(now, event);
    }
    controller.on_read_delay(now, read_delay_ms);
    controller.tick(now);
    let snapshot = controller.take_due_snapshot(now);
    if let Some(snapshot) = snapshot {
        let epoch = controller.epoch();
        shared.inbox.put(PlanRequest { epoch, snapshot });
    }
    Turn {
        actions: controller.take_actions(),
        wait_ms: controller.wait_ms(now.steady),
    }
}

fn execute_action(event_loop: &mut EventLoop, action: Action) {
    match action {
        Action::Response {
            connection,
            status,
            retry_after_s,
            body,
        } => event_loop.respond(connection, status, retry_after_s, &body),
        Action::Call {
            tag,
            address,
            method,
            path,
            body,
            timeout_ms,
        } => {
            let timeout = Duration::from_millis(timeout_ms);
            event_loop.call(tag, address, method, &path, &body, timeout);
        }
    }
}
