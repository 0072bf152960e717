//! Accounting of bytes, and the choice of the connection that is closed.
#![allow(clippy::unwrap_used, reason = "a test that meets an error ends there")]

use std::sync::Arc;
use std::time::{Duration, Instant};

use budget::{Account, Accounts, BudgetSettings, Charge, Effect, Event, Pool};
use bytes::Bytes;

const MIB: usize = 1 << 20;

/// Returns a pool of 8 MiB, of which 2 MiB are kept for small connections.
fn pool() -> Arc<Pool> {
    let cfg = BudgetSettings {
        memory_mb: Some(32),
        ..BudgetSettings::default()
    };
    Arc::new(Pool::new(&cfg, 0))
}

fn charge(pool: &Arc<Pool>) -> Charge {
    Charge::new(Arc::new(Account::new(pool.clone())))
}

/// Guards against a crowd of large connections that leaves nothing for ordinary ones.
#[test]
fn large_connections_leave_a_part_to_small_ones() {
    let pool = pool();
    let mut large: Vec<Charge> = (0..6).map(|_| charge(&pool)).collect();
    for charge in &mut large {
        charge.try_set(MIB).unwrap();
    }
    let mut late = charge(&pool);
    assert!(late.try_set(MIB).is_err());
    late.try_set(60 << 10).unwrap();
    assert_eq!(pool.used(), 6 * MIB + (60 << 10));
    large.pop();
    late.try_set(MIB - 1).unwrap();
    drop((large, late));
    assert_eq!(pool.used(), 0);
}

/// Guards against bytes that are no longer counted while a payload waits in a queue.
#[test]
fn bytes_stay_counted_until_the_last_copy_of_a_payload_is_dropped() {
    let pool = pool();
    let mut counted = charge(&pool);
    counted.force(10 * MIB);
    let payload = counted.attach(Bytes::from_static(b"payload"));
    let copy = payload.slice(1..3);
    drop(payload);
    assert_eq!(pool.used(), 10 * MIB);
    assert_eq!(copy, "ay");
    drop(copy);
    assert_eq!(pool.used(), 0);
}

/// Guards against a wait that misses the bytes that are given back meanwhile.
#[tokio::test]
async fn a_wait_ends_when_bytes_are_given_back() {
    let pool = pool();
    let mut first = charge(&pool);
    first.try_set(6 * MIB).unwrap();
    let mut second = charge(&pool);
    let waiting = tokio::spawn(async move {
        second.set(2 * MIB).await;
        second
    });
    while !pool.is_awaited() {
        tokio::task::yield_now().await;
    }
    drop(first);
    let second = waiting.await.unwrap();
    assert_eq!((pool.used(), pool.is_awaited()), (2 * MIB, false));
    drop(second);
}

/// Guards against closing an idle caller, one whose request runs or one that makes progress.
#[test]
fn the_largest_connection_without_progress_is_closed() {
    let pool = pool();
    let start = Instant::now();
    let now = start + Duration::from_secs(10);
    let before = |secs| Some(now - Duration::from_secs(secs));
    let mut accounts = Accounts::new(Duration::from_secs(1));
    let mut effects = Vec::new();
    let mut charges = Vec::new();
    let holders = [
        (5 * MIB, None),
        (4 * MIB, before(0)),
        (3 * MIB, before(2)),
        (2 * MIB, before(9)),
        (0, before(9)),
    ];
    for (id, (bytes, awaited_since)) in (0..).zip(holders) {
        let account = Arc::new(Account::new(pool.clone()));
        account.set_awaited_since(awaited_since);
        let mut charge = Charge::new(account.clone());
        charge.force(bytes);
        charges.push(charge);
        accounts.reduce(start, Event::Opened(id, account), &mut effects);
    }
    accounts.reduce(now, Event::Exhausted, &mut effects);
    let Some(Effect::Close { id, held, .. }) = effects.pop() else {
        panic!("none is closed");
    };
    assert_eq!((id, held), (2, 3 * MIB));
    // The next one is chosen once the first has ended.
    accounts.reduce(now, Event::Exhausted, &mut effects);
    assert!(effects.is_empty());
    accounts.reduce(now, Event::Closed(2), &mut effects);
    accounts.reduce(now, Event::Exhausted, &mut effects);
    accounts.reduce(now, Event::Closed(3), &mut effects);
    accounts.reduce(now, Event::Exhausted, &mut effects);
    let closed: Vec<u64> = effects.iter().map(|Effect::Close { id, .. }| *id).collect();
    assert_eq!(closed, [3]);
}
