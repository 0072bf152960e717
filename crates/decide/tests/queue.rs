//! Properties of an owner's request queues, deficit round robin (`Drr`) and first in, first out
//! (`Fifo`).
//!
//! A charge is the service time that a pop deducts from the workspace's deficit in advance; it is
//! corrected once the measured service time is known.

use std::time::Duration;

use decide::queue::{Drr, Fifo, QueueDiscipline, RequestQueue};
use model::WorkspaceId;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// An operation on a queue whose items are numbered.
#[derive(Clone, Debug)]
enum QueueOp {
    Push {
        workspace: u8,
        urgent: bool,
    },
    /// Pops an item, of this parity if one is given, that takes a service time.
    Pop {
        parity: Option<u32>,
        took_ms: u64,
    },
    /// Removes the items whose number has this remainder modulo 10.
    Drain {
        remainder: u32,
    },
}

fn ops() -> impl Strategy<Value = Vec<QueueOp>> {
    let push = (0..5_u8, any::<bool>())
        .prop_map(|(workspace, urgent)| QueueOp::Push { workspace, urgent });
    let pop = (proptest::option::of(0..2_u32), 0..500_u64)
        .prop_map(|(parity, took_ms)| QueueOp::Pop { parity, took_ms });
    let drain = (0..10_u32).prop_map(|remainder| QueueOp::Drain { remainder });
    proptest::collection::vec(prop_oneof![6 => push, 5 => pop, 1 => drain], 1..200)
}

fn workspace_id(workspace: u8) -> WorkspaceId {
    format!("w{workspace}").into()
}

/// Checks that each item is popped once, only if eligible, and that a pop yields an item whenever
/// one is eligible.
fn check<Q: QueueDiscipline>(ops: &[QueueOp]) {
    let mut queue = Q::RequestQueue::<(u32, u8)>::default();
    let mut queued: Vec<(u32, u8)> = Vec::new();
    for (number, op) in (0..).zip(ops) {
        match *op {
            QueueOp::Push { workspace, urgent } => {
                queue.push(&workspace_id(workspace), (number, workspace), urgent);
                queued.push((number, workspace));
            }
            QueueOp::Pop { parity, took_ms } => {
                let eligible = |item: &(u32, u8)| parity.is_none_or(|parity| item.0 % 2 == parity);
                let popped = queue.pop(eligible);
                assert_eq!(popped.is_some(), queued.iter().any(eligible));
                if let Some(popped) = popped {
                    assert!(eligible(&popped.item));
                    let index = queued.iter().position(|item| *item == popped.item);
                    queued.remove(index.expect("an item is popped only once"));
                    let took = Duration::from_millis(took_ms);
                    queue.record_service_time(&workspace_id(popped.item.1), popped.charge, took);
                }
            }
            QueueOp::Drain { remainder } => {
                let gone = |item: &(u32, u8)| item.0 % 10 == remainder;
                let drained = queue.drain_where(gone);
                assert!(drained.iter().all(gone));
                assert_eq!(
                    drained.len(),
                    queued.iter().filter(|item| gone(item)).count()
                );
                queued.retain(|item| !gone(item));
            }
        }
        assert_eq!(queue.len(), queued.len());
        assert_eq!(queue.items().count(), queued.len());
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn items_are_popped_once_and_whenever_one_is_eligible(ops in ops()) {
        check::<Drr>(&ops);
        check::<Fifo>(&ops);
    }
}

/// Serves two workspaces that always have items queued, and returns the service time of each in
/// milliseconds.
fn served_ms(costs_ms: [u64; 2]) -> [u64; 2] {
    let mut queue = <Drr as QueueDiscipline>::RequestQueue::<usize>::default();
    let mut served = [0; 2];
    for _ in 0..20 {
        (0..2).for_each(|index| queue.push(&workspace_id(index as u8), index, false));
    }
    for _ in 0..5000 {
        let popped = queue
            .pop(|_| true)
            .expect("both workspaces always have items queued");
        let workspace = workspace_id(popped.item as u8);
        let took = costs_ms[popped.item];
        served[popped.item] += took;
        queue.record_service_time(&workspace, popped.charge, Duration::from_millis(took));
        queue.push(&workspace, popped.item, false);
    }
    served
}

#[test]
fn backlogged_workspaces_get_equal_service_time_whatever_their_costs() {
    for costs in [[10, 10], [1, 100], [3, 7], [200, 5]] {
        let [first, second] = served_ms(costs);
        let ratio = first as f64 / second as f64;
        println!("costs {costs:?}: {first} ms and {second} ms");
        assert!((0.95..1.05).contains(&ratio), "{costs:?}: {ratio}");
    }
}

/// Guards against a priority that starves other workspaces: it decides within a workspace and
/// within a round, but each workspace gets the same service time.
#[test]
fn ranks_leave_the_shares_of_workspaces_equal_and_order_each_of_them() {
    let mut queue = <Drr as QueueDiscipline>::RequestQueue::<(u8, u32)>::default();
    let mut served = [0, 0];
    for rank in [7, 5, 9] {
        (0..2).for_each(|index| queue.push(&workspace_id(index), (index, rank), false));
    }
    let mut last_of_first = Vec::new();
    for _ in 0..1000 {
        // The first workspace's items all go before those of the second.
        let rank = |item: &(u8, u32)| Some(u32::from(item.0) * 100 + item.1);
        let popped = queue.pop_ranked(rank).expect("items are always queued");
        let (index, rank) = popped.item;
        served[usize::from(index)] += 10;
        if index == 0 {
            last_of_first.push(rank);
        }
        let took = Duration::from_millis(10);
        queue.record_service_time(&workspace_id(index), popped.charge, took);
        queue.push(&workspace_id(index), (index, rank), false);
    }
    let ratio = f64::from(served[0]) / f64::from(served[1]);
    assert!((0.95..1.05).contains(&ratio), "{served:?}");
    assert!(
        last_of_first.iter().all(|rank| *rank == 5),
        "the lowest rank goes first"
    );
}
