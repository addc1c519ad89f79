//! Threads and clocks: the I/O thread and the planning thread share one
//! [`Node`] behind a lock that is held for short steps only.

use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::net::{Action, Bounds, Net};
use crate::node::{Node, Now};
use crate::plan;
use crate::settings::{Operator, Settings};

struct Clock(Instant);

impl Clock {
    fn now(&self) -> Now {
        Now {
            steady: self.steady(),
            wall: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |d| d.as_millis() as u64),
        }
    }

    fn steady(&self) -> u64 {
        // From one on, so that 0 can stand for never.
        self.0.elapsed().as_millis() as u64 + 1
    }
}

#[derive(Default)]
struct Desk {
    snapshot: Option<(u64, plan::Snapshot)>,
}

fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    // Panics abort the process, so there is no poisoned state to fear.
    m.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Runs until killed, or until the event loop fails.
pub fn serve(set: Settings, op: Operator) -> io::Result<()> {
    let mut vital: HashSet<SocketAddr> = set.known.iter().map(|k| k.address).collect();
    vital.extend([set.endpoints.state, set.endpoints.cloud]);
    let bounds = Bounds {
        fd_limit: set.cluster.limits.fd_limit,
        vital,
        worker_idle: Duration::from_secs_f64(set.cluster.workers.lease_s),
    };
    let mut net = Net::new(set.front, set.mesh_addr, bounds)?;
    let waker = net.waker()?;
    let node = Arc::new(Mutex::new(Node::new(set, op, rand::random())));
    let desk = Arc::new((Mutex::new(Desk::default()), Condvar::new()));
    let clock = Arc::new(Clock(Instant::now()));

    let planner = (node.clone(), desk.clone(), clock.clone());
    std::thread::Builder::new()
        .name("plan".into())
        .stack_size(512 * 1024)
        .spawn(move || {
            let (node, desk, clock) = planner;
            loop {
                let (epoch, snapshot) = {
                    let mut d = lock(&desk.0);
                    loop {
                        if let Some(s) = d.snapshot.take() {
                            break s;
                        }
                        d = desk.1.wait(d).unwrap_or_else(PoisonError::into_inner);
                    }
                };
                let decision = plan::cycle(snapshot);
                lock(&node).planned(clock.now(), epoch, decision);
                if let Err(e) = waker.wake() {
                    tracing::error!("the event loop can't be woken: {e}");
                }
            }
        })?;

    let mut wait = 1;
    loop {
        let events = net.turn(Duration::from_millis(wait))?;
        let (actions, snapshot) = {
            let mut n = lock(&node);
            // The steady clock is read anew before every event; the time of day,
            // which is but noted in records, once a turn.
            let mut now = clock.now();
            for (i, ev) in events.into_iter().enumerate() {
                if i > 0 {
                    now.steady = clock.steady();
                }
                n.event(now, ev);
            }
            n.behind(now, net.waited());
            n.tick(now);
            let snapshot = n.plan_due(now).map(|s| (n.epoch(), s));
            wait = n.wait_ms(now.steady);
            (n.take_actions(), snapshot)
        };
        if let Some(s) = snapshot {
            lock(&desk.0).snapshot = Some(s);
            desk.1.notify_one();
        }
        for a in actions {
            match a {
                Action::Answer {
                    conn,
                    status,
                    retry_after,
                    body,
                } => net.answer(conn, status, retry_after, &body),
                Action::Call {
                    tag,
                    to,
                    method,
                    path,
                    body,
                    timeout_ms,
                } => net.call(
                    tag,
                    to,
                    method,
                    &path,
                    &body,
                    Duration::from_millis(timeout_ms),
                ),
            }
        }
    }
}
