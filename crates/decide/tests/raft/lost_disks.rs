//! Disks that are lost one after the other: the leader replaces their voters by itself
//! (`auto_members`), without a call of an operator.

use std::time::Duration;

use crate::harness::Sim;

/// Guards against waiting for `lost_after` before a new store is promoted: a second disk may be
/// lost as soon as the first host is back.
#[test]
fn a_new_store_of_a_voters_host_becomes_voter_before_lost_after() {
    for seed in 0..20 {
        let mut sim = Sim::start_with_patch(seed);
        for round in 0..4 {
            let name = ["a", "b", "c"][(seed as usize + round) % 3];
            sim.wipe_host(name);
            sim.start_host(name);
            sim.run_for(Duration::from_secs(4));
            let leader = sim.leader().expect("two of three voters are running");
            let raft = sim.hosts[&leader].raft.as_ref();
            let membership = raft
                .map(|raft| raft.membership().clone())
                .unwrap_or_default();
            let store = sim.hosts[name].disk.as_ref().map_or(0, |disk| disk.store);
            let is_voter = membership
                .voters
                .iter()
                .any(|voter| &*voter.host == name && voter.store == store);
            assert!(is_voter, "seed {seed} round {round}: {membership:?}");
            assert_eq!(membership.voters.len(), 3, "seed {seed} round {round}");
        }
    }
}
