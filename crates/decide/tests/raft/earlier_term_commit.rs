//! An entry of an earlier term is not committed by counting who has it.

use std::time::Duration;

use decide::call::{Call, PatchOutcome};
use model::HostId;

use crate::harness::{Sim, service_patch};

const MOMENT: Duration = Duration::from_micros(50);
const LONGEST: Duration = Duration::from_secs(5);

fn last(sim: &Sim, host: &HostId) -> u64 {
    let raft = sim.hosts[host].raft.as_ref();
    raft.map_or(0, |raft| raft.status().last)
}

/// Lets time pass until a condition holds, and returns whether it does.
fn await_moment(sim: &mut Sim, holds: impl Fn(&Sim) -> bool) -> bool {
    let until = sim.now + LONGEST;
    while sim.now < until && !holds(sim) {
        sim.run_for(MOMENT);
    }
    holds(sim)
}

/// Plays the case once, and returns whether it came to its end.
///
/// A leader gets an entry to one other voter. Another voter leads the rest for a moment and has an
/// entry of its own in that place. The first two then bring their entry to a third voter, so that
/// a quorum has it, but can't bring an entry of their new term there. Now the other entry wins.
fn play(seed: u64) -> bool {
    let mut sim = Sim::new(seed, &["a", "b", "c", "d", "e"]);
    sim.settings.raft.batch = 1;
    sim.patch("x", service_patch("first", 0));
    sim.run_for(Duration::from_millis(200));
    let first = sim.leader().expect("a leader has accepted the patch");
    let mut rest = sim.founders.clone();
    rest.retain(|host| *host != first);
    let second = rest.remove(0);
    let pair = [first.clone(), second.clone()];
    sim.split(&pair);
    sim.call(&first, Call::Patch(service_patch("older", 1)));
    let place = last(&sim, &first) + 1;
    if !await_moment(&mut sim, |sim| last(sim, &second) == place) {
        return false;
    }
    let leads = |sim: &Sim| sim.leader().filter(|leader| rest.contains(leader));
    if !await_moment(&mut sim, |sim| leads(sim).is_some()) {
        return false;
    }
    let other = leads(&sim).expect("it was there just now");
    sim.split(std::slice::from_ref(&other));
    sim.run_for(Duration::from_secs(2));
    rest.retain(|host| *host != other);
    if rest.iter().any(|host| last(&sim, host) >= place) {
        return false;
    }

    sim.heal();
    let three = [first, second, rest[0].clone()];
    sim.split(&three);
    sim.split(std::slice::from_ref(&other));
    if !await_moment(&mut sim, |sim| last(sim, &rest[0]) == place) {
        return false;
    }
    // Its answer still arrives, but nothing more goes to it.
    for leader in &pair {
        sim.cuts.insert((leader.clone(), rest[0].clone()));
    }
    sim.run_for(Duration::from_millis(20));
    sim.heal();
    sim.split(&pair);
    if !await_moment(&mut sim, |sim| sim.leader().as_ref() == Some(&other)) {
        return false;
    }
    // The harness fails if a version was committed before with other content.
    let outcome = sim.patch(&other, service_patch("newer", 1));
    assert_eq!(outcome, PatchOutcome::Accepted(2), "seed {seed}");
    sim.heal();
    sim.await_whole();
    true
}

#[test]
fn an_entry_of_an_earlier_term_is_not_committed_by_count() {
    let played = (0..6).filter(|seed| play(*seed)).count();
    assert!(played >= 2, "played only {played} times");
}
