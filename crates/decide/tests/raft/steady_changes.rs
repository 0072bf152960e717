//! Membership changes and replication while the configuration changes without a pause.

use std::time::Duration;

use decide::call::Call;
use model::Config;
use model::config::Replacement;

use crate::harness::Sim;

/// Time after which a host with a new disk must count again (`catch-up-s` of the deployments).
const CATCH_UP: Duration = Duration::from_secs(4);

/// Sends the next configuration, with a document of `bytes`, through host `x`.
fn replace_next(sim: &mut Sim, version: u64, bytes: usize) {
    let config = Config {
        version,
        ..Config::default()
    };
    let document = vec![b' '; bytes].into();
    let replacement = Box::new(Replacement { config, document });
    sim.call("x", Call::Replace(replacement));
}

/// Guards against a store that is never made a voter, since entries are committed all the time and
/// its last answer never has the newest one: with the next lost disk the quorum is gone.
#[test]
fn a_new_store_becomes_voter_although_changes_never_pause() {
    for seed in 0..10 {
        let mut sim = Sim::start_with_patch(seed);
        let mut version = 100;
        for round in 0..3 {
            let name = ["a", "b", "c"][(seed as usize + round) % 3];
            sim.wipe_host(name);
            sim.start_host(name);
            // Other voters commit further entries before an answer of the new store comes.
            let host = sim.hosts.get_mut(name).expect("the host");
            host.more_sync_time = Duration::from_millis(40);
            let until = sim.now + CATCH_UP;
            while sim.now < until {
                version += 1;
                replace_next(&mut sim, version, 100);
                sim.run_for(Duration::from_millis(2));
            }
            let store = sim.hosts[name].disk.as_ref().map_or(0, |disk| disk.store);
            let leader = sim.leader().expect("two of three voters are running");
            let raft = sim.hosts[&leader].raft.as_ref().expect("the leader runs");
            let voters = &raft.membership().voters;
            let is_voter = voters
                .iter()
                .any(|voter| &*voter.host == name && voter.store == store);
            assert!(is_voter, "seed {seed} round {round}: {voters:?}");
            let host = sim.hosts.get_mut(name).expect("the host");
            host.more_sync_time = Duration::ZERO;
        }
    }
}
