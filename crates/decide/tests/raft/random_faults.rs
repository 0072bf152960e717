//! Random faults in random order, from printed seeds.
//!
//! `RAFT_SEED` runs one seed, `RAFT_SEEDS` a number of them.

use std::collections::BTreeMap;
use std::time::Duration;

use decide::call::{Call, Patch, PatchOutcome, Reply};
use model::HostId;
use rand::Rng;
use rand::seq::IndexedRandom;

use crate::harness::{CALM, STORMY, Sim, service_patch};

const DEFAULT_SEEDS: u64 = 60;
/// How long a removal may be under way, at the front and then at a leader.
const REMOVAL: Duration = Duration::from_secs(11);
const STEPS: usize = 120;

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

#[test]
fn nothing_committed_is_lost_under_random_faults() {
    let seeds = match number("RAFT_SEED") {
        Some(seed) => seed..seed + 1,
        None => 0..number("RAFT_SEEDS").unwrap_or(DEFAULT_SEEDS),
    };
    for seed in seeds {
        let result = std::panic::catch_unwind(|| run(seed));
        if let Err(panic) = result {
            eprintln!("RAFT_SEED={seed}");
            std::panic::resume_unwind(panic);
        }
    }
}

fn run(seed: u64) {
    let voters: &[&str] = if seed.is_multiple_of(3) {
        &["a", "b", "c", "d", "e"]
    } else {
        &["a", "b", "c"]
    };
    let mut sim = Sim::new(seed, voters);
    sim.settings.raft.snapshot_after = 8;
    sim.settings.raft.trailing = 3;
    sim.weather = STORMY;
    let mut patches = Vec::new();
    for _ in 0..STEPS {
        act(&mut sim, &mut patches);
        let pause = sim.rng.random_range(0..200);
        sim.run_for(Duration::from_millis(pause));
    }
    settle(&mut sim);
    check_calls(&sim);
}

fn pick(sim: &mut Sim, control: bool) -> HostId {
    let hosts = sim.hosts.values();
    let hosts = hosts.filter(|host| !control || host.info.control);
    let names: Vec<HostId> = hosts.map(|host| host.info.host.clone()).collect();
    names[sim.rng.random_range(0..names.len())].clone()
}

fn act(sim: &mut Sim, patches: &mut Vec<Patch>) {
    let name = pick(sim, false);
    let voter = pick(sim, true);
    let repaired = sim.disks_are_members();
    match sim.rng.random_range(0..100) {
        0..40 if sim.hosts[&name].up => {
            let stale = u64::from(sim.rng.random_bool(0.1));
            let base = sim.newest().saturating_sub(stale);
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
        40..52 if sim.hosts[&name].up => {
            sim.call(&name, Call::Config);
        }
        52..54 => {
            let side = [voter, pick(sim, true), pick(sim, false)];
            sim.split(&side);
        }
        54..58 => {
            let other = pick(sim, true);
            if other != voter {
                sim.cut(&voter, &other);
            }
        }
        58..63 => sim.isolate(&voter),
        63..78 => sim.heal(),
        78..80 => {
            for name in sim.founders.clone() {
                if sim.hosts[&name].up {
                    sim.stop_host(&name);
                }
            }
            start_all(sim);
        }
        80..86 if sim.hosts[&voter].up => sim.stop_host(&voter),
        86..92 => start_all(sim),
        // A voter is removed only while no lost disk waits to be replaced, and the other way round.
        92..94 if sim.hosts[&name].up && repaired => {
            sim.call(&name, Call::RemoveVoter { host: voter });
        }
        94..96 if sim.hosts[&name].up => {
            sim.call(&name, Call::AddVoter { host: voter });
        }
        96..100 if sim.is_whole() && !removing(sim) => {
            sim.wipe_host(&voter);
            sim.start_host(&voter);
        }
        _ => {}
    }
}

/// Returns whether a removal may still be under way.
fn removing(sim: &Sim) -> bool {
    let mut calls = sim.calls.values();
    let removes = |call: &Call| matches!(call, Call::RemoveVoter { .. });
    calls.any(|asked| {
        let open = !matches!(asked.reply, Some(Reply::Done | Reply::Refused(_)));
        removes(&asked.call) && open && sim.now < asked.at + REMOVAL
    })
}

fn start_all(sim: &mut Sim) {
    let down: Vec<HostId> = sim
        .hosts
        .values()
        .filter(|host| !host.up)
        .map(|host| host.info.host.clone())
        .collect();
    for name in down {
        sim.start_host(&name);
    }
}

/// Ends all faults; everything must be whole again, and every host must know the newest version.
fn settle(sim: &mut Sim) {
    sim.weather = CALM;
    sim.heal();
    start_all(sim);
    // Calls that still wait may commit until their time is over.
    sim.run_for(Duration::from_secs(6));
    for host in sim.founders.clone() {
        assert_eq!(sim.ask("x", Call::AddVoter { host }), Reply::Done);
    }
    sim.await_whole();
    let newest = sim.newest();
    let outcome = sim.patch("x", service_patch("last", newest));
    assert!(matches!(outcome, PatchOutcome::Accepted(version) if version == newest + 1));
    sim.run_for(Duration::from_secs(1));
    for name in sim.founders.clone() {
        assert_eq!(sim.hosts[&name].version, newest + 1, "{name} is behind");
    }
}

fn check_calls(sim: &Sim) {
    let mut outcomes = BTreeMap::new();
    for asked in sim.calls.values() {
        let (Call::Patch(patch), Some(Reply::Patched(outcome))) = (&asked.call, &asked.reply)
        else {
            continue;
        };
        let first = outcomes.entry(patch.id.clone()).or_insert(outcome);
        assert_eq!(*first, outcome, "another outcome of {}", patch.id);
        if let PatchOutcome::Accepted(version) = outcome {
            let (_, config) = &sim.configs[version];
            assert!(config.services.contains_key(&patch.id), "{} lost", patch.id);
        }
    }
}
