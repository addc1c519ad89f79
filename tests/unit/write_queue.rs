//! Grouping changes into transactions.

use ciborium::{cbor, Value};
use gaugesill::net::Outcome;
use gaugesill::rate_limit::TokenBucket;
use gaugesill::wire::{self, Condition, Write};
use gaugesill::write_queue::{CommitResult, WriteClass, WriteQueue, WriteRequest};

#[test]
fn a_failed_condition_fails_only_its_own_change() {
    let mut q: WriteQueue<u32> = WriteQueue::new(100.0, 50.0, 20);
    for n in 1..=3u32 {
        q.push(WriteRequest {
            owner: n,
            conditions: vec![Condition {
                key: format!("k{n}"),
                version: 0,
            }],
            writes: vec![Write::set(format!("k{n}"), Value::Null)],
            class: WriteClass::Leader,
        });
    }
    let mut requests = TokenBucket::new(100.0);
    let t = q.next(1, 7, &mut requests).expect("a transaction");
    assert_eq!(t.writes.len(), 3, "changes go in groups");
    let body = cbor!({"failed" => ["k2"], "ledgerRev" => 9}).expect("value");
    let out = q.on_outcome(
        7,
        &Outcome::Answer {
            status: 409,
            body: wire::encode(&body),
        },
    );
    assert_eq!(out.len(), 1);
    assert_eq!(out[0].0, 2);
    assert!(matches!(
        out[0].1,
        CommitResult::Conflict { revision: 9, .. }
    ));
    let t = q.next(2, 8, &mut requests).expect("the others go again");
    assert_eq!(t.writes.len(), 2);
    let out = q.on_outcome(8, &Outcome::NoAnswer);
    assert!(out.iter().all(|o| o.1 == CommitResult::Unknown));
}

/// Found on a day of close looks, with jobs cancelled as they end: the leader
/// had a user's cancellation and the end of the same job in one transaction. Both
/// conditions held, both were told to have been made, and the end undid the
/// cancellation.
#[test]
fn two_changes_of_a_record_never_share_a_transaction() {
    let mut q: WriteQueue<u32> = WriteQueue::new(100.0, 50.0, 20);
    let cond = |key: &str, version| Condition {
        key: key.into(),
        version,
    };
    let mut push = |who, class, conditions, writes| {
        q.push(WriteRequest {
            owner: who,
            conditions,
            writes,
            class,
        })
    };
    let set = |key: &str| Write::set(key.into(), Value::Null);
    push(1, WriteClass::User, vec![cond("j/1", 5)], vec![set("j/1")]);
    let end = vec![Write::delete("j/1".into()), set("f/1")];
    push(
        2,
        WriteClass::Leader,
        vec![cond("lead", 3), cond("j/1", 5)],
        end,
    );
    push(
        3,
        WriteClass::Leader,
        vec![cond("lead", 3)],
        vec![set("j/2")],
    );
    let mut requests = TokenBucket::new(100.0);
    let t = q.next(1, 7, &mut requests).expect("a transaction");
    let keys: Vec<&str> = t.writes.iter().map(Write::key).collect();
    assert_eq!(keys, ["j/1"], "what comes after it in the queue waits, too");
    let t = q.next(1, 8, &mut requests).expect("the next");
    let keys: Vec<&str> = t.writes.iter().map(Write::key).collect();
    assert_eq!(keys, ["j/1", "f/1", "j/2"]);
    let done = wire::encode(&cbor!({"ledgerRev" => 9}).expect("value"));
    let outcome = Outcome::Answer {
        status: 200,
        body: done,
    };
    assert_eq!(
        q.on_outcome(7, &outcome),
        [(1, CommitResult::Committed { revision: 9 })]
    );
}

#[test]
fn transactions_keep_to_their_limits() {
    let mut q: WriteQueue<u32> = WriteQueue::new(4.0, 2.0, 3);
    for n in 0..8u32 {
        q.push(WriteRequest {
            owner: n,
            conditions: vec![],
            writes: vec![Write::set(format!("k{n}"), Value::Null)],
            class: WriteClass::Leader,
        });
    }
    let mut requests = TokenBucket::new(100.0);
    let sizes: Vec<usize> = (0..5)
        .filter_map(|i| q.next(1, i, &mut requests))
        .map(|t| t.writes.len())
        .collect();
    assert_eq!(sizes, [3, 1], "three to a transaction, four a second");
}

/// Found on the grown days: the leader's many changes took the whole budget,
/// and users on its controller waited until they gave up.
#[test]
fn users_changes_go_first_within_their_share() {
    let mut q: WriteQueue<u32> = WriteQueue::new(6.0, 3.0, 20);
    for n in 0..20u32 {
        let class = if n < 10 {
            WriteClass::Leader
        } else {
            WriteClass::User
        };
        q.push(WriteRequest {
            owner: n,
            conditions: vec![],
            writes: vec![Write::set(format!("k{n}"), Value::Null)],
            class,
        });
    }
    assert!(q.has_waiting(WriteClass::Leader));
    let t = q
        .next(1, 1, &mut TokenBucket::new(100.0))
        .expect("a transaction");
    let keys: Vec<&str> = t.writes.iter().filter_map(|w| w.set.as_deref()).collect();
    assert_eq!(keys, ["k10", "k11", "k12", "k0", "k1", "k2"]);
}

/// Found on lean aduana with duties on: the leader's job records took every change, and its
/// needs waited for minutes. Records of duties have a rate of their own, and what the others
/// leave while none of them waits; job records lose nothing by them.
#[test]
fn records_of_duties_neither_starve_nor_delay_others() {
    let write = |owner: u32, class| WriteRequest {
        owner,
        conditions: vec![],
        writes: vec![Write::set(format!("k{owner}"), Value::Null)],
        class,
    };
    let count = |transaction: Option<wire::Transaction>, from: u32| {
        let writes = transaction.map_or(vec![], |t| t.writes);
        let number = |w: &Write| w.key()[1..].parse::<u32>().expect("a number");
        let of_duties = writes.iter().filter(|w| number(w) >= from).count();
        (writes.len() - of_duties, of_duties)
    };
    let mut requests = TokenBucket::new(100.0);
    let mut queue: WriteQueue<u32> = WriteQueue::new(6.0, 3.0, 20);
    queue.set_duty_rate(0, 2.0);
    for owner in 0..30 {
        queue.push(write(owner, WriteClass::Leader));
        queue.push(write(100 + owner, WriteClass::Duty));
    }
    assert_eq!(count(queue.next(1001, 1, &mut requests), 100), (6, 2));
    assert_eq!(count(queue.next(1002, 2, &mut requests), 100), (0, 0));
    assert_eq!(count(queue.next(2003, 3, &mut requests), 100), (6, 2));

    // Alone they have what is left above the reserve, too.
    let mut queue: WriteQueue<u32> = WriteQueue::new(6.0, 3.0, 20);
    queue.set_duty_rate(0, 2.0);
    for owner in 0..30 {
        queue.push(write(100 + owner, WriteClass::Duty));
    }
    assert_eq!(count(queue.next(1001, 1, &mut requests), 100), (0, 5));
    queue.push(write(1, WriteClass::Leader));
    assert_eq!(count(queue.next(1002, 2, &mut requests), 100), (1, 0));
}
