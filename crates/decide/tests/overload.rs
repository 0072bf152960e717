//! Replicas that lag, and then a burst: what is lost must come back when the cause has ended.
#![allow(clippy::unwrap_used, reason = "a test that meets an error ends there")]

mod overload_world;

use std::time::Duration;

use decide::Settings;
use decide::owner::CapacitySource;
use overload_world::callers::{primary_capacity, replica_share};
use overload_world::{Day, Second, World};

const SEEDS: [u64; 3] = [1, 2, 3];

const fn secs(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// A lag of both replicas, and a burst and idle transactions right after it.
fn lag_and_burst() -> Day {
    Day {
        requests_per_s: 250.0,
        lag: secs(5)..secs(11),
        burst: secs(11)..secs(14),
        burst_factor: 1.7,
        idle_transactions: secs(9)..secs(14),
        busy: secs(24)..secs(24),
        busy_instance: 1,
        ill: None,
        length: secs(24),
    }
}

fn settings() -> Settings {
    let mut settings = Settings::default();
    settings.session.hedge_after = Some(Duration::from_millis(150));
    settings.session.check_owner_after = Some(Duration::from_millis(100));
    settings.owner.capacity = CapacitySource::Announced;
    settings.owner.transaction_share = 0.8;
    settings.owner.idle_timeout = secs(50);
    settings.grant.max_wait = Duration::from_millis(40);
    settings.room.limit_concurrency = true;
    settings.room.rank_requests = true;
    settings.room.limit_retries = true;
    settings.session.hedge.ratio = 0.02;
    settings.session.hedge.burst = 2.0;
    settings
}

fn play(day: &Day, settings: &Settings, seed: u64) -> Vec<Second> {
    let mut world = World::new(day.clone(), settings, seed);
    world.play();
    for (second, state) in world.seconds.iter().enumerate() {
        println!("seed {seed}, second {second}: {state:?}");
    }
    world.seconds
}

/// Returns the fraction of the operations of some seconds that were answered in time.
fn served(seconds: &[Second]) -> f64 {
    let offered: u32 = seconds.iter().map(|second| second.offered).sum();
    let served: u32 = seconds.iter().map(|second| second.served).sum();
    f64::from(served) / f64::from(offered)
}

/// Returns the fraction of the operations of some seconds that met their objective.
fn prompt(seconds: &[Second]) -> f64 {
    let offered: u32 = seconds.iter().map(|second| second.offered).sum();
    let prompt: u32 = seconds.iter().map(|second| second.prompt).sum();
    f64::from(prompt) / f64::from(offered)
}

/// Guards against an overload that feeds itself: reads that moved to the primary need connections
/// of their workspaces there, each new connection takes a slot and the place of another, busy
/// responses close connections, and each owner that is avoided and each hedge adds load.
#[test]
fn load_that_the_instances_can_run_is_served_again_after_a_lag_and_a_burst() {
    let day = lag_and_burst();
    // While both replicas lag, the primary alone can run nearly all of the load; and at the worst
    // each statement needs a new connection, which takes a slot too.
    let runnable = primary_capacity() / day.requests_per_s;
    for seed in SEEDS {
        let seconds = play(&day, &settings(), seed);
        let parts = [
            ("before", &seconds[2..5], 0.99),
            ("lag", &seconds[5..11], runnable),
            ("burst", &seconds[11..14], 0.95),
            ("after", &seconds[16..24], 0.99),
        ];
        let parts = parts.map(|(part, seconds, least)| (part, served(seconds), least));
        println!("seed {seed}: part, fraction served, at least: {parts:.4?}");
        for (part, served, least) in parts {
            assert!(
                served >= least,
                "seed {seed}: {part}: {served:.4} of the load was served, less than {least:.4}"
            );
        }
    }
}

/// Guards against slots that go to the requests which have waited longest, and so are the first to
/// be late: all that are answered then are late.
#[test]
fn ranked_queues_answer_more_requests_within_their_objectives() {
    let mut unranked = settings();
    unranked.room.rank_requests = false;
    for seed in SEEDS {
        let [with, without] = [settings(), unranked.clone()].map(|settings| {
            let seconds = play(&lag_and_burst(), &settings, seed);
            [prompt(&seconds[5..11]), prompt(&seconds[11..14])]
        });
        println!("seed {seed}: lag and burst, ranked {with:.3?}, unranked {without:.3?}");
        assert!(with[0] > without[0] && with[1] > without[1]);
    }
}

/// Guards against requests that wait for an instance which answers busy indefinitely while others
/// can run them, and against one that stays out of use after that.
#[test]
fn a_replica_that_refuses_everything_costs_its_requests_nothing() {
    let day = Day {
        lag: secs(0)..secs(0),
        burst: secs(0)..secs(0),
        idle_transactions: secs(16)..secs(16),
        busy: secs(5)..secs(10),
        length: secs(14),
        ..lag_and_burst()
    };
    for seed in SEEDS {
        let seconds = play(&day, &settings(), seed);
        let prompt = [&seconds[2..5], &seconds[5..10], &seconds[11..14]].map(prompt);
        println!("seed {seed}: prompt before, during and after: {prompt:.3?}");
        assert!(prompt[1] >= 0.95 && prompt[2] >= 0.99);
    }
}

/// Guards against a primary that answers nothing but busy and takes the reads of its replicas with
/// it: these could not prove the age of their data without its log position. And against requests
/// that are held for it although it has long refused everything.
#[test]
fn a_primary_that_refuses_everything_costs_only_the_requests_that_need_it() {
    let day = Day {
        lag: secs(0)..secs(0),
        burst: secs(0)..secs(0),
        idle_transactions: secs(16)..secs(16),
        busy: secs(5)..secs(9),
        busy_instance: 0,
        length: secs(14),
        ..lag_and_burst()
    };
    // Each of two owners holds two requests at a time, one that runs and one that waits, and at
    // least for the shortest objective.
    let probes = 2.0 * 2.0 * 3.0 / 0.15;
    let replicas_may_run = replica_share();
    for seed in SEEDS {
        let seconds = play(&day, &settings(), seed);
        let late: u32 = seconds[6..9].iter().map(|state| state.late_refusals).sum();
        let during = served(&seconds[6..9]);
        println!("seed {seed}: {during:.3} served, {late} late refusals");
        assert!(during >= replicas_may_run * 0.9);
        assert!(f64::from(late) <= probes);
        assert!(served(&seconds[11..14]) >= 0.99);
    }
}
