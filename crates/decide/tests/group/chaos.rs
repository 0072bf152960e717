//! Tests under random faults, and of the distribution of the failover gap.

use std::time::Duration;

use model::config::CommitRule;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::world::{MessageFaults, World};
use crate::{DATA_CENTRES, seeds};

/// Longest time until a group must confirm writes again after a fault.
pub(crate) const MAX_RECOVERY: Duration = Duration::from_secs(6);

/// Causes or ends a random fault.
fn inject_random_fault(world: &mut World, rng: &mut SmallRng) {
    let host = rng.random_range(0..world.hosts.len());
    let instance = rng.random_range(0..world.instances.len());
    let data_centre = world.instances[instance].data_centre.clone();
    let other = world.instances[rng.random_range(0..world.instances.len())]
        .data_centre
        .clone();
    match rng.random_range(0..14) {
        0 => world.hosts[host].alive = false,
        1 if !world.hosts[host].alive => world.restart_host(host),
        2 | 3 => world.instances[instance].alive = false,
        4 | 5 => world.start_instance(instance),
        6 => world.hosts[host].frozen = true,
        7 => world.instances[instance].frozen = true,
        8 => world.thaw(),
        9 => world.isolate(&data_centre),
        10 if data_centre != other => world.cut(&data_centre, &other),
        11 => world.heal(),
        12 => world.silence(host, instance),
        _ => {
            world.instances[instance].lag = Duration::from_millis(rng.random_range(1..300));
            world.message_faults = MessageFaults {
                lost: rng.random_range(0.0..0.05),
                delayed: rng.random_range(0.0..0.1),
                duplicated: rng.random_range(0.0..0.1),
            };
        }
    }
}

/// Data centre of each instance of a group.
const GROUP_LAYOUTS: [&[&str]; 3] = [
    &DATA_CENTRES,
    &["kgn-a", "kgn-a", "spn"],
    &["kgn-a", "kgn-a", "kgn-b", "spn", "mcy"],
];

/// Runs random faults, ends them all, and returns the longest gap between writes from then on.
fn run_random_faults(seed: u64, shape: &[&str], rule: CommitRule) -> Duration {
    println!("seed={seed} shape={shape:?} rule={rule:?}");
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut world = World::new(seed, shape);
    for host in &mut world.hosts {
        host.commit_rule = rule;
    }
    for fault in 0..30 {
        if fault % 6 == 5 {
            world.end_all_faults();
        }
        let pause = Duration::from_millis(rng.random_range(1..1500));
        world.run(pause, None);
        inject_random_fault(&mut world, &mut rng);
    }
    world.end_all_faults();
    let faults_ended_at = world.now;
    world.run(MAX_RECOVERY * 2, None);
    let gap = world.longest_gap(faults_ended_at);
    let (term, _) = world.primary().expect("a primary");
    println!("seed={seed} term={term} gap after the faults={gap:?}");
    gap
}

/// Guards the invariants against random faults; 6 s after their end the group confirms writes.
#[test]
fn random_faults_lose_nothing() {
    for seed in 0..seeds(15) {
        let shape = GROUP_LAYOUTS[seed as usize % GROUP_LAYOUTS.len()];
        let gap = run_random_faults(seed, shape, CommitRule::Replicated);
        assert!(
            gap <= MAX_RECOVERY,
            "seed {seed}: no confirmed write for {gap:?} after the faults ended"
        );
    }
}

/// Guards against the acknowledgement of a write that ran on an old primary under the commit
/// rule `primary`.
#[test]
fn random_faults_under_rule_primary() {
    for seed in 0..seeds(6) {
        let shape = GROUP_LAYOUTS[seed as usize % GROUP_LAYOUTS.len()];
        let gap = run_random_faults(seed, shape, CommitRule::Primary);
        assert!(
            gap <= MAX_RECOVERY,
            "seed {seed}: no confirmed write for {gap:?} after the faults ended"
        );
    }
}

/// Names of the faults that make a group lose its primary.
const PRIMARY_FAULTS: [&str; 5] = ["kill", "freeze", "cut", "restart", "kill-with-owner"];

/// Causes one of [`PRIMARY_FAULTS`].
fn fail_primary(world: &mut World, how: &str) {
    let (_, primary) = world.primary().expect("a primary");
    let data_centre = world.instances[primary].data_centre.clone();
    match how {
        "kill" => world.instances[primary].alive = false,
        "freeze" => world.instances[primary].frozen = true,
        "cut" => world.isolate(&data_centre),
        "restart" => world.instances[primary].restart(world.now),
        _ => {
            world.instances[primary].alive = false;
            let other = world
                .hosts
                .iter()
                .position(|h| h.info.data_centre != data_centre);
            world.hosts[other.expect("another data centre")].alive = false;
        }
    }
}

/// Guards against slow failover: the gap between acknowledged writes around the loss of a primary
/// is below 2 s in the median and below 6 s in all runs.
#[test]
fn failover_gap_is_short() {
    for how in PRIMARY_FAULTS {
        let mut gaps: Vec<Duration> = (0..seeds(20))
            .map(|seed| {
                let mut world = World::new(seed, &DATA_CENTRES);
                world.run(Duration::from_millis(3000 + seed * 7), None);
                let before = world.now;
                fail_primary(&mut world, how);
                world.run(Duration::from_secs(8), Some("confirmed in term"));
                world.longest_gap(before)
            })
            .collect();
        gaps.sort();
        let (median, worst) = (gaps[gaps.len() / 2], gaps[gaps.len() - 1]);
        println!(
            "{how}: {} seeds median={median:?} worst={worst:?}",
            gaps.len()
        );
        assert!(
            median < Duration::from_secs(2),
            "{how}: the median failover gap is {median:?}"
        );
        assert!(
            worst < MAX_RECOVERY,
            "{how}: the longest failover gap is {worst:?}"
        );
    }
}
