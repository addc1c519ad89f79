//! The queue that groups writes into transactions.

use ciborium::{cbor, Value};
use gaugesill::net::Outcome;
use gaugesill::rate_limit::TokenBucket;
use gaugesill::wire::{self, Condition, Write};
use gaugesill::write_queue::{CommitResult, WriteClass, WriteQueue, WriteRequest};

#[test]
fn a_failed_condition_fails_only_its_own_request() {
    let mut queue: WriteQueue<u32> = WriteQueue::new(100.0, 50.0, 20);
    for owner in 1..=3u32 {
        queue.push(WriteRequest {
            owner,
            conditions: vec![Condition {
                key: format!("k{owner}"),
                version: 0,
            }],
            writes: vec![Write::set(format!("k{owner}"), Value::Null)],
            class: WriteClass::Leader,
        });
    }
    let mut requests = TokenBucket::new(100.0);
    let transaction = queue.next(1, 7, &mut requests).expect("a transaction");
    assert_eq!(
        transaction.writes.len(),
        3,
        "all writes share one transaction"
    );
    let body = cbor!({"failed" => ["k2"], "ledgerRev" => 9}).expect("value");
    let results = queue.on_outcome(
        7,
        &Outcome::Response {
            status: 409,
            body: wire::encode(&body),
        },
    );
    assert_eq!(results.len(), 1);
    assert_eq!(results[0].0, 2);
    assert!(matches!(
        results[0].1,
        CommitResult::Conflict { revision: 9, .. }
    ));
    let transaction = queue
        .next(2, 8, &mut requests)
        .expect("the other writes are sent again");
    assert_eq!(transaction.writes.len(), 2);
    let results = queue.on_outcome(8, &Outcome::NoResponse);
    assert!(results
        .iter()
        .all(|result| result.1 == CommitResult::Unknown));
}

/// Guards against a lost cancellation: the leader grouped a user's cancellation and the end of the
/// same job into one transaction. Both conditions held, both writes were reported as committed,
/// and the end overwrote the cancellation. Seen with frequent polls and jobs cancelled as they end.
#[test]
fn two_writes_of_a_record_never_share_a_transaction() {
    let mut queue: WriteQueue<u32> = WriteQueue::new(100.0, 50.0, 20);
    let condition = |key: &str, version| Condition {
        key: key.into(),
        version,
    };
    let mut push = |owner, class, conditions, writes| {
        queue.push(WriteRequest {
            owner,
            conditions,
            writes,
            class,
        });
    };
    let set = |key: &str| Write::set(key.into(), Value::Null);
    push(
        1,
        WriteClass::User,
        vec![condition("j/1", 5)],
        vec![set("j/1")],
    );
    let end = vec![Write::delete("j/1".into()), set("f/1")];
    push(
        2,
        WriteClass::Leader,
        vec![condition("lead", 3), condition("j/1", 5)],
        end,
    );
    push(
        3,
        WriteClass::Leader,
        vec![condition("lead", 3)],
        vec![set("j/2")],
    );
    let mut requests = TokenBucket::new(100.0);
    let transaction = queue.next(1, 7, &mut requests).expect("a transaction");
    let keys: Vec<&str> = transaction.writes.iter().map(Write::key).collect();
    assert_eq!(keys, ["j/1"], "later writes of the queue wait as well");
    let transaction = queue.next(1, 8, &mut requests).expect("the next");
    let keys: Vec<&str> = transaction.writes.iter().map(Write::key).collect();
    assert_eq!(keys, ["j/1", "f/1", "j/2"]);
    let done = wire::encode(&cbor!({"ledgerRev" => 9}).expect("value"));
    let outcome = Outcome::Response {
        status: 200,
        body: done,
    };
    assert_eq!(
        queue.on_outcome(7, &outcome),
        [(1, CommitResult::Committed { revision: 9 })]
    );
}

#[test]
fn transactions_respect_the_size_and_rate_limits() {
    let mut queue: WriteQueue<u32> = WriteQueue::new(4.0, 2.0, 3);
    for owner in 0..8u32 {
        queue.push(WriteRequest {
            owner,
            conditions: vec![],
            writes: vec![Write::set(format!("k{owner}"), Value::Null)],
            class: WriteClass::Leader,
        });
    }
    let mut requests = TokenBucket::new(100.0);
    let sizes: Vec<usize> = (0..5)
        .filter_map(|tag| queue.next(1, tag, &mut requests))
        .map(|transaction| transaction.writes.len())
        .collect();
    assert_eq!(
        sizes,
        [3, 1],
        "three writes in a transaction, four in a second"
    );
}

/// Guards against starvation of user requests: under load, the leader's writes used the whole
/// rate, and users of its controller ran into timeouts.
#[test]
fn writes_of_users_are_sent_first_within_their_share() {
    let mut queue: WriteQueue<u32> = WriteQueue::new(6.0, 3.0, 20);
    for owner in 0..20u32 {
        let class = if owner < 10 {
            WriteClass::Leader
        } else {
            WriteClass::User
        };
        queue.push(WriteRequest {
            owner,
            conditions: vec![],
            writes: vec![Write::set(format!("k{owner}"), Value::Null)],
            class,
        });
    }
    assert!(queue.has_waiting(WriteClass::Leader));
    let transaction = queue
        .next(1, 1, &mut TokenBucket::new(100.0))
        .expect("a transaction");
    let keys: Vec<&str> = transaction
        .writes
        .iter()
        .filter_map(|write| write.set.as_deref())
        .collect();
    assert_eq!(keys, ["k10", "k11", "k12", "k0", "k1", "k2"]);
}

/// Guards against starvation of scaling requests: the leader's job records used the whole write
/// rate, and its scaling requests waited for minutes. Records of duties have a separate rate, and
/// may also use the remaining rate while no other write waits; job records lose none of theirs.
#[test]
fn records_of_duties_neither_starve_nor_delay_others() {
    let write = |owner: u32, class| WriteRequest {
        owner,
        conditions: vec![],
        writes: vec![Write::set(format!("k{owner}"), Value::Null)],
        class,
    };
    let count = |transaction: Option<wire::Transaction>, from: u32| {
        let writes = transaction.map_or(vec![], |transaction| transaction.writes);
        let number = |write: &Write| write.key()[1..].parse::<u32>().expect("a number");
        let of_duties = writes.iter().filter(|write| number(write) >= from).count();
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

    // Alone, records of duties also use the rate above the reserve.
    let mut queue: WriteQueue<u32> = WriteQueue::new(6.0, 3.0, 20);
    queue.set_duty_rate(0, 2.0);
    for owner in 0..30 {
        queue.push(write(100 + owner, WriteClass::Duty));
    }
    assert_eq!(count(queue.next(1001, 1, &mut requests), 100), (0, 5));
    queue.push(write(1, WriteClass::Leader));
    assert_eq!(count(queue.next(1002, 2, &mut requests), 100), (1, 0));
}
