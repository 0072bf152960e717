//! Membership changes and replication while the configuration changes without a pause.

use std::time::Duration;

use decide::Msg;
use decide::call::Call;
use decide::raft::{MemberMsg, RaftMsg};
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

/// Guards against entries sent in one message of tens of megabytes, which holds up the heartbeats
/// behind it, to a store that has missed many large configurations.
#[test]
fn large_entries_come_to_a_store_in_messages_of_bounded_size() {
    const DOCUMENT_BYTES: usize = 200_000;
    const MESSAGE_BYTES_MAX: usize = 1 << 20;
    let mut sim = Sim::start_with_patch(1);
    let leader = sim.leader().expect("a leader");
    let name = if &*leader == "a" { "b" } else { "a" };
    sim.stop_host(name);
    for version in 101..=140 {
        replace_next(&mut sim, version, DOCUMENT_BYTES);
        sim.run_for(Duration::from_millis(50));
    }
    sim.start_host(name);
    let until = sim.now + CATCH_UP;
    let mut longest = 0;
    while sim.now < until {
        sim.run_for(Duration::from_millis(1));
        let sizes = sim
            .messages_in_flight
            .values()
            .map(|(_, _, msg)| match msg {
                Msg::Raft(RaftMsg::Member(envelope)) => match &envelope.msg {
                    MemberMsg::AppendEntries(append) => append
                        .entries
                        .iter()
                        .map(|entry| postcard::to_stdvec(entry).map_or(0, |bytes| bytes.len()))
                        .sum(),
                    _ => 0,
                },
                _ => 0,
            });
        longest = longest.max(sizes.max().unwrap_or(0));
    }
    assert!(longest <= MESSAGE_BYTES_MAX, "a message of {longest} bytes");
    assert_eq!(sim.hosts[name].committed_version, 140);
}
