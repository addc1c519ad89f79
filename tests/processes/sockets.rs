//! The event loop alone: how it divides the sockets, and how much it reads in a turn.

use std::collections::HashSet;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use gaugesill::net::{ConnectionLimits, Event, EventLoop, Outcome};

use crate::http::{free_port, read_message};

/// How many free ports are tried before a test fails.
const PORTS_TRIED: usize = 8;

/// Limits with which no idle connection is closed within a test.
fn limits(fd_limit: usize, critical: HashSet<SocketAddr>) -> ConnectionLimits {
    ConnectionLimits {
        fd_limit,
        critical,
        agent_idle_timeout: Duration::from_secs(3600),
        reply_max_bytes: 1 << 20,
    }
}

/// An event loop, and the address at which it serves users and agents. Another process may take
/// the free port first; then the next one is tried.
fn listen(limits: &ConnectionLimits) -> (EventLoop, SocketAddr) {
    let peers = SocketAddr::from(([127, 0, 0, 1], 0));
    for _ in 0..PORTS_TRIED {
        let front = SocketAddr::from(([127, 0, 0, 1], free_port()));
        match EventLoop::new(front, peers, limits.clone()) {
            Ok(event_loop) => return (event_loop, front),
            Err(error) if error.kind() == ErrorKind::AddrInUse => {}
            Err(error) => panic!("the event loop cannot listen: {error}"),
        }
    }
    panic!("the event loop cannot listen: no port stays free");
}

/// Guards against running out of sockets: in a fleet of 1.5 times the usual size, after a mass
/// failure, the leader's own calls to agents took every socket that connections of agents and
/// users left. Each kind has its share: connections of users are closed before those of agents,
/// and calls to the store succeed however many agents are called.
#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario whose steps share state"
)]
fn agents_users_and_calls_have_shares_of_the_sockets() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    // These listeners accept no connections, so calls to them stay in flight.
    let unresponsive = TcpListener::bind(any).expect("cannot listen on a port");
    let critical = TcpListener::bind(any).expect("cannot listen on a port");
    let critical_addresses =
        HashSet::from([critical.local_addr().expect("socket has no local address")]);
    let (mut event_loop, front) = listen(&limits(32, critical_addresses));
    let mut serve_all = |sockets: &mut [TcpStream], path: &str| {
        for socket in sockets.iter_mut() {
            let text = format!("POST {path} HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
            socket
                .write_all(text.as_bytes())
                .expect("cannot send the request");
        }
        let mut left = sockets.len();
        let mut turns = 0;
        while left > 0 {
            turns += 1;
            assert!(turns < 4000, "{left} requests were not read");
            for event in event_loop
                .turn(Duration::from_millis(5))
                .expect("the turn failed")
            {
                if let Event::Request { connection, .. } = event {
                    event_loop.respond(connection, 200, None, &[]);
                    left -= 1;
                }
            }
        }
        sockets
            .iter_mut()
            .all(|socket| read_message(socket).is_some())
    };
    let open = |count: usize| -> Vec<TcpStream> {
        let connect = |_| TcpStream::connect(front).expect("cannot connect");
        (0..count).map(connect).collect()
    };
    let mut agents = open(16);
    assert!(serve_all(&mut agents, "/checkin"));
    for _ in 0..5 {
        // Eight connections are left for users: later users replace earlier ones.
        let mut users = open(8);
        assert!(serve_all(&mut users, "/work"));
    }
    assert!(
        serve_all(&mut agents, "/checkin"),
        "an agent lost its connection"
    );
    let mut unsent = 0;
    for tag in 0..20 {
        let to = unresponsive
            .local_addr()
            .expect("socket has no local address");
        event_loop.call(tag, to, "GET", "/inspect", &[], Duration::from_secs(60));
    }
    let to = critical.local_addr().expect("socket has no local address");
    event_loop.call(99, to, "GET", "/kv", &[], Duration::from_secs(60));
    for event in event_loop.turn(Duration::ZERO).expect("the turn failed") {
        if let Event::CallFinished { tag, outcome } = event {
            assert_eq!(outcome, Outcome::NotSent);
            assert_ne!(tag, 99);
            unsent += 1;
        }
    }
    assert_eq!(unsent, 14);
    critical.accept().expect("the vital call does not arrive");
}

/// Guards against an event loop that falls behind: 370 new connections a second were accepted and
/// read before anything else was handled, and connections of redirected agents stayed open until
/// the agents closed them. A turn must be bounded, and a 421 must close the connection.
#[test]
fn a_turn_is_bounded_and_a_redirect_closes_the_connection() {
    let (mut event_loop, front) = listen(&limits(400, HashSet::new()));
    let mut sockets: Vec<TcpStream> = (0..60)
        .map(|_| TcpStream::connect(front).expect("cannot connect"))
        .collect();
    for socket in &mut sockets {
        socket
            .write_all(b"POST /checkin HTTP/1.1\r\nContent-Length: 0\r\n\r\n")
            .expect("cannot send the request");
    }
    let (mut left, mut turns) = (sockets.len(), 0);
    while left > 0 {
        turns += 1;
        assert!(turns < 4000, "{left} requests were not read");
        let events = event_loop
            .turn(Duration::from_millis(5))
            .expect("the turn failed");
        assert!(events.len() <= 24, "{} events in a turn", events.len());
        for event in events {
            if let Event::Request { connection, .. } = event {
                event_loop.respond(connection, 421, None, &[]);
                left -= 1;
            }
        }
    }
    for socket in &mut sockets {
        let answer = read_message(socket).expect("no answer");
        assert_eq!(answer.status, Some(421));
        assert_eq!(
            socket
                .read(&mut [0; 1])
                .expect("reading failed before the end of the connection"),
            0,
            "the connection stays open"
        );
    }
}

/// With more machines than sockets, existing connections must be kept and the other machines be
/// served on connections of one request. If the least recently used connection were closed, each
/// machine would lose its connection just before its next heartbeat, and none would keep one.
#[test]
fn more_machines_than_sockets() {
    let (mut event_loop, front) = listen(&limits(64, HashSet::new()));
    let mut machines: Vec<Option<TcpStream>> = (0..90).map(|_| None).collect();
    let mut connections = Vec::new();
    for _ in 0..3 {
        let mut opened = 0;
        for kept in &mut machines {
            let mut socket = kept.take().unwrap_or_else(|| {
                opened += 1;
                TcpStream::connect(front).expect("cannot connect")
            });
            socket
                .write_all(b"POST /checkin HTTP/1.1\r\nContent-Length: 0\r\n\r\n")
                .expect("cannot send the request");
            let mut answered = false;
            let mut turns = 0;
            while !answered {
                turns += 1;
                assert!(turns < 4000, "a request was not read");
                for event in event_loop
                    .turn(Duration::from_millis(5))
                    .expect("the turn failed")
                {
                    if let Event::Request { connection, .. } = event {
                        event_loop.respond(connection, 200, None, &[]);
                        answered = true;
                    }
                }
            }
            let answer = read_message(&mut socket).expect("no answer");
            *kept = (!answer.closes).then_some(socket);
        }
        connections.push(opened);
    }
    let kept = machines.iter().flatten().count();
    assert!(
        (40..48).contains(&kept),
        "{kept} machines keep their connection"
    );
    assert_eq!(connections, [90, 90 - kept, 90 - kept]);
}

/// An answer of the largest allowed size is received, and a larger one is reported as too large,
/// not as missing.
#[test]
fn answers_up_to_the_largest_size_are_received() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let other = TcpListener::bind(any).expect("cannot listen on a port");
    let to = other.local_addr().expect("socket has no local address");
    let largest = 100_000;
    std::thread::spawn(move || {
        for (socket, length) in other.incoming().zip([largest, largest + 1]) {
            let mut socket = socket.expect("cannot connect");
            let _ = read_message(&mut socket);
            let head =
                format!("HTTP/1.1 200 X\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n");
            let _ = socket.write_all(head.as_bytes());
            let _ = socket.write_all(&vec![b'x'; length]);
        }
    });
    let (mut event_loop, _) = listen(&ConnectionLimits {
        reply_max_bytes: largest,
        ..limits(64, HashSet::from([to]))
    });
    let mut outcome_of = |tag: u64| {
        event_loop.call(tag, to, "GET", "/watch", &[], Duration::from_secs(20));
        for _ in 0..8000 {
            for event in event_loop
                .turn(Duration::from_millis(5))
                .expect("the turn failed")
            {
                if let Event::CallFinished { outcome, .. } = event {
                    return outcome;
                }
            }
        }
        panic!("no outcome of call {tag}");
    };
    let first = outcome_of(1);
    assert!(matches!(first, Outcome::Response { body, .. } if body.len() == largest));
    assert_eq!(outcome_of(2), Outcome::TooLarge);
}
