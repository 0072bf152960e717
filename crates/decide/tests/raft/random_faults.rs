//! Random faults and calls from printed seeds; no committed change may be lost.
//!
//! `RAFT_SEED` runs one seed, `RAFT_SEEDS` a number of them.

use std::collections::BTreeMap;
use std::time::Duration;

use decide::call::{Call, Patch, PatchOutcome, Reply};
use model::HostId;
use rand::Rng;
use rand::seq::IndexedRandom;

use crate::harness::{Conditions, FAULTLESS, FAULTY, Sim, service_patch};

/// Number of seeds to run unless an environment variable sets them.
const DEFAULT_SEEDS: u64 = 60;
/// The same for slow disks.
const DEFAULT_SEEDS_SLOW_DISKS: u64 = 30;
/// How long a removal may be pending: `call_timeout` on the host that took the call, then again at
/// a leader.
const MAX_REMOVAL_TIME: Duration = Duration::from_secs(11);
/// Number of random calls and faults in one run.
const ACTIONS_PER_SEED: usize = 120;

fn env_number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

#[test]
fn nothing_committed_is_lost_under_random_faults() {
    run_seeds(DEFAULT_SEEDS, &FAULTY);
}

/// Guards the answers and votes that are sent or counted while writes are unsynced.
#[test]
fn nothing_committed_is_lost_under_random_faults_with_slow_disks() {
    let slow_disks = Conditions {
        max_sync_time: Duration::from_millis(400),
        ..FAULTY
    };
    run_seeds(DEFAULT_SEEDS_SLOW_DISKS, &slow_disks);
}

fn run_seeds(default_seeds: u64, conditions: &Conditions) {
    let seeds = match env_number("RAFT_SEED") {
        Some(seed) => seed..seed + 1,
        None => 0..env_number("RAFT_SEEDS").unwrap_or(default_seeds),
    };
    for seed in seeds {
        let result = std::panic::catch_unwind(|| run_seed(seed, conditions));
        if let Err(panic) = result {
            eprintln!("RAFT_SEED={seed}");
            std::panic::resume_unwind(panic);
        }
    }
}

fn run_seed(seed: u64, conditions: &Conditions) {
    let voters: &[&str] = if seed.is_multiple_of(3) {
        &["a", "b", "c", "d", "e"]
    } else {
        &["a", "b", "c"]
    };
    let mut sim = Sim::new(seed, voters);
    sim.settings.raft.snapshot_after = 8;
    sim.settings.raft.trailing = 3;
    sim.conditions = conditions.clone();
    let mut patches = Vec::new();
    for _ in 0..ACTIONS_PER_SEED {
        random_action(&mut sim, &mut patches);
        let pause = sim.rng.random_range(0..200);
        sim.run_for(Duration::from_millis(pause));
    }
    end_faults_and_check(&mut sim);
    check_outcomes(&sim);
}

/// Returns a random host, or a random control host.
fn random_host(sim: &mut Sim, control: bool) -> HostId {
    let hosts = sim.hosts.values();
    let hosts = hosts.filter(|host| !control || host.info.is_control_host);
    let names: Vec<HostId> = hosts.map(|host| host.info.host.clone()).collect();
    names[sim.rng.random_range(0..names.len())].clone()
}

/// Applies one random call or fault.
fn random_action(sim: &mut Sim, patches: &mut Vec<Patch>) {
    let name = random_host(sim, false);
    let voter = random_host(sim, true);
    let repaired = sim.has_no_lost_member();
    match sim.rng.random_range(0..100) {
        0..40 if sim.hosts[&name].is_up => {
            let stale = u64::from(sim.rng.random_bool(0.1));
            let base = sim.newest_version().saturating_sub(stale);
            let fresh = service_patch(&format!("p{}", patches.len()), base);
            let again = patches.choose(&mut sim.rng).cloned();
            let patch = match again {
                Some(patch) if sim.rng.random_bool(0.3) => patch,
                _ => {
                    patches.push(fresh.clone());
                    fresh
                }
            };
            sim.call(&name, Call::Patch(patch));
        }
        40..52 if sim.hosts[&name].is_up => {
            sim.call(&name, Call::Config);
        }
        52..54 => {
            let side = [voter, random_host(sim, true), random_host(sim, false)];
            sim.cut_off(&side);
        }
        54..58 => {
            let other = random_host(sim, true);
            if other != voter {
                sim.cut_link(&voter, &other);
            }
        }
        58..63 => sim.isolate(&voter),
        63..78 => sim.heal(),
        78..80 => {
            for name in sim.founders.clone() {
                if sim.hosts[&name].is_up {
                    sim.stop_host(&name);
                }
            }
            start_all(sim);
        }
        80..86 if sim.hosts[&voter].is_up => sim.stop_host(&voter),
        86..92 => start_all(sim),
        // A voter is removed only while no lost disk waits to be replaced, and a disk is lost only
        // while no removal is pending.
        92..94 if sim.hosts[&name].is_up && repaired => {
            sim.call(&name, Call::RemoveVoter { host: voter });
        }
        94..96 if sim.hosts[&name].is_up => {
            sim.call(&name, Call::AddVoter { host: voter });
        }
        96..100 if sim.is_repaired() && !removal_may_be_pending(sim) => {
            sim.wipe_host(&voter);
            sim.start_host(&voter);
        }
        _ => {}
    }
}

/// Returns whether a removal may still be carried out.
fn removal_may_be_pending(sim: &Sim) -> bool {
    let mut calls = sim.calls.values();
    let removes = |call: &Call| matches!(call, Call::RemoveVoter { .. });
    calls.any(|record| {
        let open = !matches!(record.reply, Some(Reply::Done | Reply::Refused(_)));
        removes(&record.call) && open && sim.now < record.called_at + MAX_REMOVAL_TIME
    })
}

/// Starts all hosts that are down.
fn start_all(sim: &mut Sim) {
    let down: Vec<HostId> = sim
        .hosts
        .values()
        .filter(|host| !host.is_up)
        .map(|host| host.info.host.clone())
        .collect();
    for name in down {
        sim.start_host(&name);
    }
}

/// Ends all faults; the cluster must be repaired, and every host must learn the newest version.
fn end_faults_and_check(sim: &mut Sim) {
    sim.conditions = FAULTLESS;
    sim.heal();
    start_all(sim);
    // Calls that still wait may commit until their time is over.
    sim.run_for(Duration::from_secs(6));
    for host in sim.founders.clone() {
        assert_eq!(sim.call_and_wait("x", Call::AddVoter { host }), Reply::Done);
    }
    sim.await_repaired();
    let newest = sim.newest_version();
    let outcome = sim.patch_until_decided("x", service_patch("last", newest));
    assert!(matches!(outcome, PatchOutcome::Accepted(version) if version == newest + 1));
    sim.run_for(Duration::from_secs(1));
    for name in sim.founders.clone() {
        assert_eq!(
            sim.hosts[&name].committed_version,
            newest + 1,
            "{name} doesn't have the newest version 1 s after its commit"
        );
    }
}

/// Checks that a patch sent repeatedly has one outcome, and that accepted patches are in the
/// configuration.
fn check_outcomes(sim: &Sim) {
    let mut outcomes = BTreeMap::new();
    for record in sim.calls.values() {
        let (Call::Patch(patch), Some(Reply::Patched(outcome))) = (&record.call, &record.reply)
        else {
            continue;
        };
        let first = outcomes.entry(patch.id.clone()).or_insert(outcome);
        assert_eq!(
            *first, outcome,
            "patch {} got two different outcomes",
            patch.id
        );
        if let PatchOutcome::Accepted(version) = outcome {
            let (_, config) = &sim.committed_configs[version];
            assert!(
                config.services.contains_key(&patch.id),
                "accepted patch {} is not in its configuration",
                patch.id
            );
        }
    }
}
