//! Elections while each disk takes about as long for a sync as an election timeout, or longer.

use std::time::Duration;

use decide::raft::{CONFIG_RAFT_GROUP, Envelope, MemberMsg, Raft, RaftMsg};
use decide::{Event, Msg};
use model::{CONTROL_PART, HostId, PartAddr};

use crate::harness::{Conditions, FAULTLESS, Sim, service_patch};

const VOTERS: [&str; 5] = ["a", "b", "c", "d", "e"];
const SEEDS: u64 = 40;
/// Time after which a trial is given up.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(60);

fn members(sim: &Sim) -> impl Iterator<Item = &Raft> {
    sim.hosts.values().filter_map(|host| host.raft.as_ref())
}

/// Returns the highest term of any member.
fn highest_term(sim: &Sim) -> u64 {
    members(sim).map(Raft::term).max().unwrap_or(0)
}

/// Stops the leader while all syncs take up to `sync`; returns how long it takes until another one
/// has committed an entry, and the number of terms until then.
fn replace_leader(seed: u64, voters: &[&str], sync: Duration) -> (Duration, u64) {
    let mut sim = Sim::new(seed, voters);
    sim.run_until(Duration::from_secs(20), |sim| sim.leader().is_some());
    sim.run_for(Duration::from_millis(500));
    let (old, old_term) = (sim.leader().expect("a leader"), highest_term(&sim));
    sim.conditions = Conditions {
        max_sync_time: sync,
        ..FAULTLESS
    };
    sim.stop_host(&old);
    let lost_at = sim.now;
    while !members(&sim).any(Raft::is_caught_up_leader) && sim.now < lost_at + TRIAL_TIMEOUT {
        sim.run_for(Duration::from_millis(10));
    }
    (sim.now - lost_at, highest_term(&sim) - old_term)
}

/// Checks that a lost leader is replaced within a time and a number of terms.
fn check_replacement(sync: Duration, max_time: Duration, max_terms: u64) {
    for voters in [&VOTERS[..3], &VOTERS] {
        for seed in 0..SEEDS {
            let (time, terms) = replace_leader(seed, voters, sync);
            assert!(
                time < max_time && terms <= max_terms,
                "seed {seed}, {} voters: {time:?}, {terms} terms",
                voters.len()
            );
        }
    }
}

/// Guards against elections that end one another: a candidate gave up while its own vote or those of
/// others were being written, and members whose vote was being written let another one start an
/// election in the next term.
#[test]
fn a_lost_leader_is_replaced_while_syncs_take_as_long_as_an_election_timeout() {
    check_replacement(Duration::from_millis(600), Duration::from_secs(8), 8);
}

/// Guards against leaders that step down although all members follow them, because the answers to
/// their heartbeats waited for the disks.
#[test]
fn a_lost_leader_is_replaced_while_syncs_take_longer_than_an_election_timeout() {
    check_replacement(Duration::from_secs(2), Duration::from_secs(20), 8);
}

/// Guards against a voter that answers heartbeats but can't store anything, and so is kept as a
/// voter for as long as its disk is full.
#[test]
fn a_voter_whose_disk_stays_full_is_removed() {
    let mut sim = Sim::new(1, &VOTERS);
    sim.settings.raft.auto_members = true;
    sim.patch_until_decided("x", service_patch("first", 0));
    sim.run_for(Duration::from_millis(200));
    let leader = sim.leader().expect("a leader");
    let full = sim.founders.iter().find(|host| **host != leader).unwrap();
    let full = full.clone();
    sim.fill_disk(&full, Duration::from_secs(60));
    sim.patch_until_decided("x", service_patch("second", 1));
    let lost_after = sim.settings.raft.lost_after;
    sim.run_for(lost_after + Duration::from_secs(1));
    let leader = sim.leader().expect("a leader");
    let membership = sim.hosts[&leader].raft.as_ref().unwrap().membership();
    assert!(membership.voters.iter().all(|voter| voter.host != full));
}

/// Guards against a member that leads twice in a term: late copies of the votes that made it leader
/// must not count in a later pre-vote, since its log may have lost entries of that term meanwhile.
#[test]
fn late_copies_of_votes_make_no_leader_again() {
    let mut sim = Sim::start_with_patch(1);
    let leader = sim.leader().expect("a leader");
    let term = highest_term(&sim);
    let to_store = sim.hosts[&leader].disk.as_ref().unwrap().store;
    sim.isolate(&leader);
    // Long enough to step down and to start a pre-vote.
    sim.run_for(Duration::from_secs(2));
    assert_eq!(sim.hosts[&leader].raft.as_ref().unwrap().term(), term);
    let voters = VOTERS[..3].iter().map(|name| HostId::from(*name));
    for host in voters.filter(|host| *host != leader) {
        let raft = sim.hosts[&leader].raft.as_ref().unwrap();
        let envelope = Envelope {
            raft_group: CONFIG_RAFT_GROUP,
            cluster: raft.membership().cluster,
            from_store: sim.hosts[&host].disk.as_ref().unwrap().store,
            to_store,
            msg: MemberMsg::RequestVoteReply {
                term,
                granted: true,
                pre_vote: false,
            },
        };
        let msg = Msg::Raft(RaftMsg::Member(envelope));
        let part = CONTROL_PART;
        sim.reduce(
            &leader,
            Event::Peer {
                from: PartAddr { host, part },
                msg,
            },
        );
    }
    assert!(!sim.hosts[&leader].raft.as_ref().unwrap().is_leader());
}
