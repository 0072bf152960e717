//! What voters that are cut off from a quorum do, and how they come back.

use std::time::Duration;

use decide::call::Call;
use decide::raft::{AppendEntries, EntryId, Envelope, MemberMsg, Raft, RaftMsg};
use decide::{Event, Msg};
use model::{CONTROL_PART, HostId, PartAddr};

use crate::harness::{Sim, service_patch};

/// Starts voters with one accepted patch, and returns the leader and the others.
fn start_with_patch(seed: u64, voters: &[&str]) -> (Sim, HostId, Vec<HostId>) {
    let mut sim = Sim::new(seed, voters);
    sim.patch_until_decided("x", service_patch("first", 0));
    sim.run_for(Duration::from_millis(200));
    let leader = sim.leader().expect("a leader has accepted the patch");
    let mut others = sim.founders.clone();
    others.retain(|host| *host != leader);
    (sim, leader, others)
}

#[test]
fn a_leader_without_a_quorum_steps_down() {
    let (mut sim, old, _) = start_with_patch(1, &["a", "b", "c"]);
    sim.isolate(&old);
    let max_step_down_time = sim.settings.raft.election_max + sim.settings.raft.heartbeat * 2;
    sim.run_for(max_step_down_time);
    let raft = sim.hosts[&old].raft.as_ref();
    assert!(!raft.is_some_and(Raft::is_leader));
}

/// Guards against a cut-off leader that leads on, and keeps calls that were given up, for as long as
/// reads come more often than its heartbeats.
#[test]
fn a_leader_without_a_quorum_steps_down_although_reads_go_on() {
    let (mut sim, old, _) = start_with_patch(1, &["a", "b", "c"]);
    sim.isolate(&old);
    let steps_down_by = sim.now + sim.settings.raft.election_max + sim.settings.raft.heartbeat * 2;
    while sim.now < steps_down_by {
        sim.call(&old, Call::Config);
        sim.run_for(sim.settings.raft.heartbeat / 3);
    }
    let raft = sim.hosts[&old].raft.as_ref();
    assert!(!raft.is_some_and(Raft::is_leader));
}

#[test]
fn a_voter_that_was_cut_off_comes_back_without_an_election() {
    for seed in 0..20 {
        let (mut sim, leader, others) = start_with_patch(seed, &["a", "b", "c"]);
        let terms = sim.leader_by_term.len();
        sim.isolate(&others[0]);
        sim.run_for(Duration::from_secs(60));
        sim.heal();
        sim.run_for(Duration::from_secs(2));
        assert_eq!(sim.leader(), Some(leader), "seed {seed}");
        assert_eq!(
            sim.leader_by_term.len(),
            terms,
            "seed {seed}: the returned voter caused an election"
        );
    }
}

#[test]
fn a_minority_with_its_leader_confirms_nothing() {
    for seed in 0..20 {
        let (mut sim, leader, others) = start_with_patch(seed, &["a", "b", "c", "d", "e"]);
        let side = [leader, others[0].clone()];
        sim.cut_off(&side);
        let split_at = sim.now;
        sim.patch_until_decided("x", service_patch("second", 1));
        sim.run_for(Duration::from_secs(5));
        for name in &side {
            let (version, at) = sim.hosts[name].confirmed.expect("confirmed before");
            assert_eq!(version, 1);
            assert!(
                at <= split_at,
                "seed {seed}: {name} confirms a version without a quorum"
            );
        }
    }
}

#[test]
fn founders_bootstrap_nothing_while_one_is_missing() {
    let mut sim = Sim::new(1, &["a", "b", "c"]);
    sim.isolate("c");
    sim.run_for(Duration::from_secs(10));
    assert_eq!(sim.leader(), None);
    sim.heal();
    sim.await_repaired();
}

/// Guards against bootstrapping on `Discover` messages, which may be older than the store that
/// receives them; their sender may have joined a cluster since. Only replies count.
#[test]
fn a_discover_message_alone_bootstraps_nothing() {
    let mut sim = Sim::new(1, &["a", "b", "c"]);
    sim.isolate("a");
    for name in ["b", "c"] {
        let store = sim.hosts[name].disk.as_ref().map_or(0, |disk| disk.store);
        deliver_forged(&mut sim, name, "a", store, 0, MemberMsg::Discover);
    }
    sim.run_for(Duration::from_secs(2));
    assert_eq!(sim.leader(), None);
    let raft = sim.hosts["a"].raft.as_ref();
    assert!(raft.is_some_and(|raft| raft.membership().voters.is_empty()));
}

/// Guards against counting a round of an earlier term: its message may arrive when its sender leads
/// again.
#[test]
fn an_answer_to_an_earlier_term_confirms_no_round() {
    let (mut sim, leader, others) = start_with_patch(1, &["a", "b", "c"]);
    let append = AppendEntries {
        term: 0,
        round: 1_000_000,
        prev_entry: EntryId::default(),
        entries: Vec::new(),
        leader_commit: 0,
        confirmed_since: None,
    };
    let raft = sim.hosts[&leader].raft.as_ref();
    let cluster = raft.map_or(0, |raft| raft.membership().cluster);
    let store = sim.hosts[&leader]
        .disk
        .as_ref()
        .map_or(0, |disk| disk.store);
    let msg = MemberMsg::AppendEntries(append);
    deliver_forged(&mut sim, &leader, &others[0], store, cluster, msg);
    sim.run_for(Duration::from_millis(10));
    sim.isolate(&leader);
    let cut_at = sim.now;
    sim.run_for(Duration::from_secs(3));
    let (_, at) = sim.hosts[&leader].confirmed.expect("confirmed before");
    assert!(
        at <= cut_at,
        "the cut-off leader confirmed a version without a quorum"
    );
}

/// Delivers a forged message to a host.
fn deliver_forged(sim: &mut Sim, from: &str, to: &str, store: u64, cluster: u64, msg: MemberMsg) {
    let envelope = Envelope {
        raft_group: 0,
        cluster,
        from_store: store,
        to_store: sim.hosts[to].disk.as_ref().map_or(0, |disk| disk.store),
        msg,
    };
    let from = PartAddr {
        host: from.into(),
        part: CONTROL_PART,
    };
    let msg = Msg::Raft(RaftMsg::Member(envelope));
    sim.reduce(to, Event::Peer { from, msg });
}
