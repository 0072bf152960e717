//! Disks that are full for a while, so that writes of their hosts are late by seconds.

use std::time::Duration;

use decide::Msg;
use decide::call::PatchOutcome;
use decide::raft::{MemberMsg, RaftMsg};
use model::HostId;

use crate::harness::{Sim, service_patch};

/// Returns a voter that does not lead.
fn follower(sim: &Sim) -> HostId {
    let leader = sim.leader().expect("a leader");
    let mut voters = ["a", "b", "c"].map(HostId::from).into_iter();
    voters.find(|host| *host != leader).expect("a follower")
}

/// Runs for a time and counts the messages that a host is sent and that match.
fn count_sent(
    sim: &mut Sim,
    time: Duration,
    matches: impl Fn(&HostId, &HostId, &MemberMsg) -> bool,
) -> usize {
    let until = sim.now + time;
    let mut counted = sim.sent_count;
    let mut count = 0;
    while sim.run_next_event(until) {
        let new = sim.messages_in_flight.iter();
        let new = new.filter(|((_, number), _)| *number > counted);
        count += new
            .filter(|(_, (from, to, msg))| match msg {
                Msg::Raft(RaftMsg::Member(envelope)) => matches(from, to, &envelope.msg),
                _ => false,
            })
            .count();
        counted = sim.sent_count;
    }
    sim.now = until;
    count
}

#[test]
fn changes_are_committed_after_each_disk_was_full_in_turn() {
    for seed in 0..20 {
        let mut sim = Sim::start_with_patch(seed);
        for (round, name) in ["a", "b", "c", "a"].into_iter().enumerate() {
            sim.fill_disk(name, Duration::from_secs(3));
            let patch = service_patch(&format!("round-{round}"), sim.newest_version());
            let outcome = sim.patch_until_decided("x", patch);
            assert!(
                matches!(outcome, PatchOutcome::Accepted(_)),
                "seed {seed}: {outcome:?}"
            );
            sim.run_for(Duration::from_millis(3200));
        }
        sim.await_repaired();
        let patch = service_patch("last", sim.newest_version());
        let outcome = sim.patch_until_decided("x", patch);
        assert!(
            matches!(outcome, PatchOutcome::Accepted(_)),
            "seed {seed}: {outcome:?}"
        );
    }
}

#[test]
fn entries_are_not_sent_again_at_each_heartbeat_to_a_member_whose_disk_is_full() {
    let mut sim = Sim::start_with_patch(1);
    let full = follower(&sim);
    sim.fill_disk(&full, Duration::from_secs(3));
    sim.patch_until_decided("x", service_patch("second", sim.newest_version()));
    let sent = count_sent(&mut sim, Duration::from_secs(2), |_, to, msg| {
        let has_entries =
            matches!(msg, MemberMsg::AppendEntries(append) if !append.entries.is_empty());
        *to == full && has_entries
    });
    // The intervals double from one heartbeat of 50 ms up to 20 heartbeats.
    assert!(sent <= 7, "the entries were sent {sent} times in 2 s");
    sim.run_for(Duration::from_secs(2));
    let patch = service_patch("third", sim.newest_version());
    sim.patch_until_decided("x", patch);
    sim.run_for(Duration::from_millis(500));
    let version = sim.newest_version();
    assert_eq!(sim.hosts[&full].committed_version, version);
}

#[test]
fn a_member_whose_disk_is_full_for_long_holds_few_messages() {
    let mut sim = Sim::start_with_patch(1);
    let full = follower(&sim);
    let long = Duration::from_secs(60);
    sim.fill_disk(&full, long);
    sim.patch_until_decided("x", service_patch("second", sim.newest_version()));
    sim.run_for(long - Duration::from_millis(100));
    let replies = count_sent(&mut sim, Duration::from_millis(300), |from, _, msg| {
        *from == full && matches!(msg, MemberMsg::AppendEntriesReply(_))
    });
    assert!(replies > 0, "no reply was held");
    assert!(
        replies < 100,
        "{replies} replies were held and sent at once"
    );
}
