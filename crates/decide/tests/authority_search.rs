//! Searches through orders of events for commits that are acknowledged and lost at a promotion.
#![allow(clippy::unwrap_used, reason = "a test that meets an error ends there")]
#![allow(dead_code, reason = "not every test needs every helper")]

mod authority_model;

use std::time::Duration;

use authority_model::schedule::{Op, draw, lost_commit, shorten};
use authority_model::{Fate, World};
use model::Position;

/// Returns the seeds to search: `AUTHORITY_SEEDS` of the form `FIRST..END`, or the usual ones.
fn seeds() -> std::ops::Range<u64> {
    let text = std::env::var("AUTHORITY_SEEDS").unwrap_or_default();
    let bounds = text.split_once("..");
    let bounds = bounds.and_then(|(first, end)| Some(first.parse().ok()?..end.parse().ok()?));
    bounds.unwrap_or(0..100)
}

/// Guards against acknowledged commits that the promoted instance lacks.
#[test]
fn no_order_of_events_loses_an_acknowledged_commit() {
    let (mut failed, mut idle, mut promotions) = (Vec::new(), Vec::new(), 0);
    let mut given_up = 0;
    for seed in seeds() {
        let schedule = draw(seed);
        let mut world = World::new(seed);
        world.play(&schedule);
        promotions += world.promotions;
        given_up += world.given_up;
        if world.lost.is_some() {
            failed.push(seed);
        } else if !world.acknowledges() {
            idle.push(seed);
        }
    }
    println!(
        "{promotions} promotions, {given_up} with commits given up, no commits at the end with seeds {idle:?}"
    );
    for seed in failed.iter().take(40) {
        let schedule = shorten(*seed, draw(*seed));
        let lost = lost_commit(*seed, &schedule);
        println!("seed {seed}: {schedule:?}: {}", lost.unwrap());
    }
    assert!(failed.is_empty(), "commits are lost with seeds {failed:?}");
    let schedules = seeds().count();
    assert!(promotions * 2 > schedules, "{promotions} promotions");
    assert!(given_up * 20 < schedules, "commits given up: {given_up}");
    assert!(idle.len() * 10 < schedules, "no commits: {idle:?}");
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against commits that only an instance has which the leader has never heard of.
#[test]
fn a_replica_that_joins_unseen_before_a_promotion_confirms_no_lost_commit() {
    let cut = Op::CutPrimaryFromLeader;
    let never = [(ms(881), cut.clone()), (ms(727), Op::Join(None))];
    assert_eq!(lost_commit(66, &never), None);
    let late = [(ms(2976), cut), (ms(852), Op::Join(Some(ms(2615))))];
    assert_eq!(lost_commit(42, &late), None);
}

/// Guards against commits that a fenced replica confirms after a restart.
#[test]
fn a_fenced_replica_that_restarts_before_the_promotion_confirms_no_lost_commit() {
    let schedule = [
        (ms(115), Op::CutPrimaryFromLeader),
        (ms(1807), Op::Restart(1)),
    ];
    assert_eq!(lost_commit(318, &schedule), None);
}

/// Guards against commits that only a former primary confirms which a new leader doesn't know.
#[test]
fn a_new_leader_that_does_not_know_a_replica_behind_a_cut_loses_no_commit() {
    let cut = Op::CutPrimaryFromLeader;
    let schedule = [
        (ms(528), cut.clone()),
        (ms(3960), Op::LeaderChange),
        (ms(1301), cut),
    ];
    assert_eq!(lost_commit(392, &schedule), None);
}

/// Guards against a promotion while only a crashed primary and an unknown replica have a commit.
#[test]
fn a_crashed_primary_whose_commits_only_an_unknown_replica_has_is_waited_for() {
    let schedule = [
        (ms(1882), Op::Join(None)),
        (ms(1673), Op::CrashPrimary),
        (ms(1284), Op::Crash(1)),
    ];
    assert_eq!(lost_commit(267, &schedule), None);
}

/// Guards against commits of an instance that leads by one late order until the next is carried out.
#[test]
fn two_late_orders_for_different_instances_lose_no_commit() {
    let schedule = [
        (ms(1320), Op::CutPrimaryFromLeader),
        (ms(1044), Op::Join(Some(ms(1657)))),
        (ms(180), Op::Join(Some(ms(926)))),
        (ms(1306), Op::Orders(Fate::Late(ms(6548)))),
    ];
    assert_eq!(lost_commit(1079, &schedule), None);
}

/// Guards against a service without a primary: the position in an answer may be ahead of what any
/// replica has received.
#[test]
fn a_position_that_no_replica_has_holds_up_a_replacement_for_a_limited_time() {
    let mut world = World::new(1);
    world.run(ms(4000));
    let host = world.hosts.get_mut(&1).unwrap();
    assert!(host.passes_on(world.now, Position::new(1, 9999)));
    Op::CrashPrimary.apply(&mut world);
    world.run(ms(20_000));
    assert_eq!(world.promotions, 0);
    world.run(ms(5000));
    assert_eq!((world.promotions, world.given_up), (1, 1));
    assert!(world.acknowledges());
}

/// Guards against commits that a host passes on which forgot the stop by a restart.
#[test]
fn a_host_that_restarts_before_a_promotion_passes_on_no_lost_commit() {
    let schedule = [
        (ms(3353), Op::CutPrimaryFromLeader),
        (ms(1658), Op::Join(None)),
        (ms(100), Op::HostRestart(2)),
    ];
    assert_eq!(lost_commit(326, &schedule), None);
}

/// Guards against commits that a host passes on which the leader can't stop.
#[test]
fn a_host_that_the_leader_cannot_reach_passes_on_no_lost_commit() {
    let schedule = [
        (ms(100), Op::CutHostFromLeader(2)),
        (ms(781), Op::CutPrimaryFromLeader),
        (ms(727), Op::Join(None)),
    ];
    assert_eq!(lost_commit(66, &schedule), None);
}
