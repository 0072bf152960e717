//! What a leader may answer while another takes over, and how long a takeover takes.

use std::time::Duration;

use decide::call::{Call, Reply};
use decide::raft::Raft;
use model::HostId;

use crate::harness::{Sim, service_patch};

const VOTERS: [&str; 3] = ["a", "b", "c"];
/// The longest that a patch may wait when the leader is lost.
const MAX_TAKEOVER: Duration = Duration::from_millis(1_500);

/// Starts three voters with one accepted patch, and returns the leader and the others.
fn start_with_patch(seed: u64) -> (Sim, HostId, Vec<HostId>) {
    let mut sim = Sim::new(seed, &VOTERS);
    sim.patch_until_decided("x", service_patch("first", 0));
    sim.run_for(Duration::from_millis(200));
    let leader = sim.leader().expect("a leader has accepted the patch");
    let mut others = sim.founders.clone();
    others.retain(|host| *host != leader);
    (sim, leader, others)
}

/// Guards against stale reads from a leader that does not know of its successor; the harness fails
/// when a read returns an older version than was committed before the call.
#[test]
fn a_leader_that_was_replaced_answers_no_read() {
    for seed in 0..30 {
        let (mut sim, old, others) = start_with_patch(seed);
        for other in &others {
            sim.cut_link(&old, other);
        }
        // Host `x` still reaches all of them and asks the old leader first.
        let until = sim.now + Duration::from_secs(2);
        let mut reads = Vec::new();
        let mut version = 1;
        while sim.now < until {
            reads.push(sim.call("x", Call::Config));
            let newer = others.iter().find(|host| {
                let raft = sim.hosts[*host].raft.as_ref();
                raft.is_some_and(Raft::is_leader)
            });
            if let Some(leader) = newer.cloned()
                && sim.newest_version() == version
            {
                sim.call(
                    &leader,
                    Call::Patch(service_patch(&format!("p{version}"), version)),
                );
                version += 1;
            }
            sim.run_for(Duration::from_millis(5));
        }
        assert!(
            sim.newest_version() > 2,
            "seed {seed}: no other leader committed patches"
        );
        sim.run_for(Duration::from_secs(6));
        let answered = |id| matches!(sim.calls[id].reply, Some(Reply::Config(_)));
        assert!(reads.iter().any(answered));
    }
}

#[test]
fn a_lost_leader_is_replaced_well_within_two_seconds() {
    for seed in 0..100 {
        let (mut sim, old, _) = start_with_patch(seed);
        sim.stop_host(&old);
        let lost_at = sim.now;
        sim.patch_until_decided("x", service_patch("second", 1));
        let took = sim.now - lost_at;
        assert!(took < MAX_TAKEOVER, "seed {seed}: took {took:?}");
    }
}
