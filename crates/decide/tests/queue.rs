//! Properties of the queues, for any order of pushes, pops and corrections.

use std::time::Duration;

use decide::queue::{Drr, Fifo, QueueDiscipline, RequestQueue};
use model::WorkspaceId;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Something done to a queue.
#[derive(Clone, Debug)]
enum Step {
    Push { workspace: u8, urgent: bool },
    Pop { parity: Option<u32>, took_ms: u64 },
    Drain { remainder: u32 },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let push =
        (0..5_u8, any::<bool>()).prop_map(|(workspace, urgent)| Step::Push { workspace, urgent });
    let pop = (proptest::option::of(0..2_u32), 0..500_u64)
        .prop_map(|(parity, took_ms)| Step::Pop { parity, took_ms });
    let drain = (0..10_u32).prop_map(|remainder| Step::Drain { remainder });
    proptest::collection::vec(prop_oneof![6 => push, 5 => pop, 1 => drain], 1..200)
}

fn name(workspace: u8) -> WorkspaceId {
    format!("w{workspace}").into()
}

/// Checks that items leave once, only if eligible, and always if one is.
fn check<Q: QueueDiscipline>(steps: &[Step]) {
    let mut queue = Q::RequestQueue::<(u32, u8)>::default();
    let mut inside: Vec<(u32, u8)> = Vec::new();
    for (number, step) in (0..).zip(steps) {
        match *step {
            Step::Push { workspace, urgent } => {
                queue.push(&name(workspace), (number, workspace), urgent);
                inside.push((number, workspace));
            }
            Step::Pop { parity, took_ms } => {
                let eligible = |item: &(u32, u8)| parity.is_none_or(|parity| item.0 % 2 == parity);
                let popped = queue.pop(eligible);
                assert_eq!(popped.is_some(), inside.iter().any(eligible));
                if let Some(popped) = popped {
                    assert!(eligible(&popped.item));
                    let index = inside.iter().position(|item| *item == popped.item);
                    inside.remove(index.expect("leaves twice"));
                    let took = Duration::from_millis(took_ms);
                    queue.record_service_time(&name(popped.item.1), popped.charge, took);
                }
            }
            Step::Drain { remainder } => {
                let gone = |item: &(u32, u8)| item.0 % 10 == remainder;
                let drained = queue.drain_where(gone);
                assert!(drained.iter().all(gone));
                assert_eq!(
                    drained.len(),
                    inside.iter().filter(|item| gone(item)).count()
                );
                inside.retain(|item| !gone(item));
            }
        }
        assert_eq!(queue.len(), inside.len());
        assert_eq!(queue.items().count(), inside.len());
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn items_leave_once_and_whenever_one_may(steps in steps()) {
        check::<Drr>(&steps);
        check::<Fifo>(&steps);
    }
}

/// Serves two workspaces that always wait, and returns the time that each got.
fn share(costs_ms: [u64; 2]) -> [u64; 2] {
    let mut queue = <Drr as QueueDiscipline>::RequestQueue::<usize>::default();
    let mut got = [0; 2];
    for _ in 0..20 {
        (0..2).for_each(|index| queue.push(&name(index as u8), index, false));
    }
    for _ in 0..5000 {
        let popped = queue.pop(|_| true).expect("both always wait");
        let workspace = name(popped.item as u8);
        let took = costs_ms[popped.item];
        got[popped.item] += took;
        queue.record_service_time(&workspace, popped.charge, Duration::from_millis(took));
        queue.push(&workspace, popped.item, false);
    }
    got
}

#[test]
fn two_that_wait_get_the_same_time_whatever_their_costs() {
    for costs in [[10, 10], [1, 100], [3, 7], [200, 5]] {
        let [first, second] = share(costs);
        let ratio = first as f64 / second as f64;
        println!("costs {costs:?}: {first} ms and {second} ms");
        assert!((0.95..1.05).contains(&ratio), "{costs:?}: {ratio}");
    }
}
