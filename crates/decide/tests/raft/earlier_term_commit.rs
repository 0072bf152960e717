//! An entry of an earlier term is not committed by counting its replicas (figure 8 of the Raft
//! paper).

use std::time::Duration;

use decide::call::{Call, PatchOutcome};
use model::HostId;

use crate::harness::{Sim, service_patch};

/// Simulated time between two checks of a condition; shorter than most network delays, so that a
/// state between two messages is seen.
const POLL_STEP: Duration = Duration::from_micros(50);
/// How long a step of the scenario may take before the run is given up.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Returns the last index of a host's log, or zero if the host is down.
fn last_index(sim: &Sim, host: &HostId) -> u64 {
    let raft = sim.hosts[host].raft.as_ref();
    raft.map_or(0, |raft| raft.status().last)
}

/// Runs until a condition holds or [`MAX_WAIT`] is over, and returns whether it holds.
fn run_until_holds(sim: &mut Sim, holds: impl Fn(&Sim) -> bool) -> bool {
    let until = sim.now + MAX_WAIT;
    while sim.now < until && !holds(sim) {
        sim.run_for(POLL_STEP);
    }
    holds(sim)
}

/// Runs the scenario once, and returns whether the timing allowed it to reach its end.
///
/// A leader replicates an entry to one other voter only. A voter of the other side becomes leader
/// and appends an entry of its own at the same index. The first two then replicate their entry to a
/// third voter, so that a quorum has it, but their new leader can't get an entry of its own term
/// there. Then the voter with the other entry becomes leader and overwrites theirs.
fn run_scenario(seed: u64) -> bool {
    let mut sim = Sim::new(seed, &["a", "b", "c", "d", "e"]);
    // One entry a message, so that a new leader's own entry can't arrive together with the older
    // one.
    sim.settings.raft.batch = 1;
    // `x` is the host that isn't a voter; the number is the version that the patch is based on.
    sim.patch_until_decided("x", service_patch("first", 0));
    sim.run_for(Duration::from_millis(200));
    let first = sim.leader().expect("a leader has accepted the patch");
    let mut rest = sim.founders.clone();
    rest.retain(|host| *host != first);
    let second = rest.remove(0);
    let pair = [first.clone(), second.clone()];
    sim.cut_off(&pair);
    sim.call(&first, Call::Patch(service_patch("older", 1)));
    let entry_index = last_index(&sim, &first) + 1;
    if !run_until_holds(&mut sim, |sim| last_index(sim, &second) == entry_index) {
        return false;
    }
    let leads = |sim: &Sim| sim.leader().filter(|leader| rest.contains(leader));
    if !run_until_holds(&mut sim, |sim| leads(sim).is_some()) {
        return false;
    }
    let other = leads(&sim).expect("the new leader still leads");
    sim.cut_off(std::slice::from_ref(&other));
    sim.run_for(Duration::from_secs(2));
    rest.retain(|host| *host != other);
    if rest
        .iter()
        .any(|host| last_index(&sim, host) >= entry_index)
    {
        return false;
    }

    sim.heal();
    let quorum = [first, second, rest[0].clone()];
    sim.cut_off(&quorum);
    sim.cut_off(std::slice::from_ref(&other));
    if !run_until_holds(&mut sim, |sim| last_index(sim, &rest[0]) == entry_index) {
        return false;
    }
    // The third voter's answer still arrives, but nothing more reaches it.
    for leader in &pair {
        sim.cut_links.insert((leader.clone(), rest[0].clone()));
    }
    sim.run_for(Duration::from_millis(20));
    sim.heal();
    sim.cut_off(&pair);
    if !run_until_holds(&mut sim, |sim| sim.leader().as_ref() == Some(&other)) {
        return false;
    }
    // The harness fails if another content was committed before under this version.
    let outcome = sim.patch_until_decided(&other, service_patch("newer", 1));
    assert_eq!(outcome, PatchOutcome::Accepted(2), "seed {seed}");
    sim.heal();
    sim.await_repaired();
    true
}

#[test]
fn an_entry_of_an_earlier_term_is_not_committed_by_count() {
    let completed = (0..6).filter(|seed| run_scenario(*seed)).count();
    assert!(
        completed >= 2,
        "only {completed} of 6 runs reached the end of the scenario"
    );
}
