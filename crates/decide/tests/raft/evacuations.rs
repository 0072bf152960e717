//! Orders to evacuate a data centre, which must outlive what the configuration outlives.

use std::time::Duration;

use decide::call::{Call, Reply};
use evac::Order;

use crate::harness::{Sim, host};

fn evacuate(name: &str) -> Call {
    Call::Evacuation(Order::Evacuate(name.into()))
}

fn restore(name: &str) -> Call {
    Call::Evacuation(Order::Restore(name.into()))
}

/// Gives an order until it is acknowledged.
fn give(sim: &mut Sim, call: Call) {
    for _ in 0..10 {
        if sim.call_and_wait("x", call.clone()) == Reply::Done {
            return;
        }
    }
    panic!("the order is not acknowledged");
}

/// Returns the newest version that was committed, and the data centres of it.
fn newest(sim: &Sim) -> (u64, Vec<String>) {
    let newest = sim.committed_evacuations.last_key_value();
    newest.map_or((0, Vec::new()), |(version, evacuations)| {
        let names = evacuations.data_centres.iter().map(ToString::to_string);
        (*version, names.collect())
    })
}

/// Guards against an acknowledged order that is only in memory or on too few disks, and against a
/// snapshot that leaves the orders out.
#[test]
fn an_order_outlives_the_loss_of_power_and_of_two_disks_of_six() {
    for seed in 0..10 {
        let names = ["a", "b", "c", "d", "e", "f"];
        let mut sim = Sim::new(seed, &names);
        sim.settings.raft.snapshot_after = 2;
        give(&mut sim, evacuate("east"));
        give(&mut sim, evacuate("west"));
        give(&mut sim, restore("west"));
        for name in names {
            sim.stop_host(name);
        }
        let lost = [
            seed as usize % 6,
            (seed as usize + 1 + seed as usize / 6) % 6,
        ];
        for nth in lost {
            sim.wipe_host(names[nth]);
        }
        sim.committed_evacuations.clear();
        for name in names {
            sim.start_host(name);
        }
        sim.run_for(Duration::from_secs(5));
        assert_eq!(newest(&sim), (3, vec!["east".to_owned()]), "seed {seed}");
    }
}

/// Guards against a call that is refused or that changes the version when an operator's program
/// sends it again, to any host.
#[test]
fn an_order_that_is_sent_again_is_acknowledged_again_and_changes_nothing() {
    let mut sim = Sim::new(1, &["a", "b", "c"]);
    for (call, version) in [
        (evacuate("east"), 1),
        (evacuate("east"), 1),
        (restore("east"), 2),
        (restore("east"), 2),
        (restore("never-seen"), 2),
    ] {
        for from in ["a", "b", "c", "x"] {
            assert_eq!(sim.call_and_wait(from, call.clone()), Reply::Done);
        }
        assert_eq!(newest(&sim).0, version);
    }
}

/// Guards against an acknowledgement without a quorum.
#[test]
fn an_order_without_a_quorum_is_not_acknowledged() {
    let mut sim = Sim::new(2, &["a", "b", "c"]);
    give(&mut sim, evacuate("east"));
    sim.stop_host("b");
    sim.stop_host("c");
    assert_eq!(sim.call_and_wait("a", evacuate("west")), Reply::Unconfirmed);
    let voters = [host("a")];
    assert!(voters.iter().all(|name| sim.hosts[name].is_up));
    assert_eq!(newest(&sim).0, 1);
}
