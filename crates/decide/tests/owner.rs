//! Scenarios of owners from `tests/owner/*.txt`, fairness under simulated load, and random events.
//!
//! An owner is the code on a host that queues the requests for one upstream and runs them on its
//! slots. A loud workspace sends more or slower requests than the others.
//!
//! `REWRITE=1` rewrites the expected output of the scenarios.

#![expect(
    clippy::unwrap_used,
    reason = "a scenario that can't be read fails its test"
)]

mod owner_chaos;
mod owner_harness;
mod owner_load;

use decide::queue::{Drr, Fifo};
use owner_chaos::Chaos;
use owner_harness::OwnerHarness;
use owner_load::{Load, LoadResult, simulate};

#[test]
fn owner_scenarios() {
    datadriven::walk("tests/owner", |file| {
        let mut harness = OwnerHarness::<Drr>::new();
        file.run(|test| match test.directive.as_str() {
            "play" => harness.run_script(&test.input),
            "fresh" => {
                harness = OwnerHarness::new();
                harness.run_script(&test.input)
            }
            directive => panic!("unknown directive `{directive}`"),
        });
    });
}

#[test]
fn a_draining_primary_that_is_not_replaced_gets_no_requests_after_its_drain_time() {
    let mut harness = OwnerHarness::<Drr>::new();
    let before = "
        set warm=2
        upstream u1
        primary u1
        probe u1
        opened c1
        opened c2
        run 1 kind=write tx
        done c2 tx=open after=primary@1:1/100
        upstream u1 draining
        run 2 kind=write
        done c1 after=primary@1:1/200
        advance 10s";
    harness.run_script(before);
    let after = harness.run_script("run 3 kind=write\nrun 4\nrun 5 kind=write tx pin=c2");
    let expected = "bounce h1#3 NotOwner\nbounce h1#4 NotOwner\nrun-on c2 timeout=5s status\n";
    assert_eq!(after, expected);
}

/// Guards against requests that wait in a frozen process's sockets and reach an instance of a data
/// centre that was evacuated and closed meanwhile, before the process has read of the order.
#[test]
fn an_owner_that_did_not_run_for_seconds_starts_nothing_until_it_can_have_learned_of_an_order() {
    let mut harness = OwnerHarness::<Drr>::new();
    let refresh = |harness: &mut OwnerHarness<Drr>| {
        harness.with(|owners, cx, view| owners.refresh_positions(cx, view));
        harness.take_effects();
    };
    let before = "
        set capacity=announced
        upstream u1
        primary u1";
    harness.run_script(before);
    refresh(&mut harness);
    let awake = harness.run_script("sleep 1s\nrun 1\nrun 2\nopened c1");
    assert!(awake.contains("run-on c1"), "{awake}");
    refresh(&mut harness);
    let resumed = harness.run_script("sleep 5s\nrun 3");
    assert_eq!(resumed, "bounce h1#2 NotOwner\nbounce h1#3 NotOwner\n");
    refresh(&mut harness);
    let held = harness.run_script("sleep 200ms\nrun 4");
    assert_eq!(held, "bounce h1#4 NotOwner\n");
    let after = harness.run_script("sleep 200ms\ndone c1\nrun 5");
    assert!(after.contains("run-on c1"), "{after}");
}

#[test]
fn new_requests_to_a_draining_primary_end_in_time_although_its_last_announcement_was_held_up() {
    let mut harness = OwnerHarness::<Drr>::new();
    // Links end after two seconds of silence, so an announcement is held up for less.
    let before = "
        set warm=1
        upstream u1
        primary u1
        probe u1
        opened c1
        upstream u1 draining
        run 1 kind=write
        done c1 after=primary@1:1/100
        advance 8s";
    harness.run_script(before);
    let after = harness.run_script("run 2 kind=write");
    assert_eq!(after, "bounce h1#2 NotOwner\n");
}

/// Seeds of the simulated arrivals and service times.
const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];

/// Eight workspaces at 30 requests a second each, on 3 slots at 10 ms a request: 80 % load.
const EVEN: Load = Load {
    workspaces: 8,
    requests_per_s: 30.0,
    service_ms: 10.0,
    loud_factor: 1.0,
    loud_service_ms: 10.0,
};

/// Returns the lowest ratio, over the quiet workspaces, of requests completed with the loud
/// workspace to those completed without it.
fn worst_share(quiet: &LoadResult, loud: &LoadResult) -> f64 {
    let pairs = quiet.completed.iter().zip(&loud.completed).skip(1);
    let shares = pairs.map(|(before, with_loud)| *with_loud as f64 / *before as f64);
    shares.fold(1.0, f64::min)
}

#[test]
fn loud_workspace_costs_the_others_under_a_tenth() {
    for seed in SEEDS {
        let even = simulate::<Drr>(&EVEN, seed);
        let more_requests = Load {
            loud_factor: 10.0,
            ..EVEN
        };
        let slower_requests = Load {
            loud_service_ms: 100.0,
            ..EVEN
        };
        for load in [more_requests, slower_requests] {
            let loud_result = simulate::<Drr>(&load, seed);
            let share = worst_share(&even, &loud_result);
            println!("seed {seed}: {load:?}: {loud_result:?}: worst share {share:.3}");
            assert!(
                share > 0.9,
                "seed {seed}: a quiet workspace completes only a share of {share} of its requests"
            );
        }
    }
}

#[test]
fn fifo_lets_a_loud_workspace_starve_the_others() {
    for seed in SEEDS {
        let even = simulate::<Fifo>(&EVEN, seed);
        let load = Load {
            loud_factor: 10.0,
            ..EVEN
        };
        let share = worst_share(&even, &simulate::<Fifo>(&load, seed));
        println!("seed {seed}: worst share {share:.3}");
        assert!(
            share < 0.9,
            "seed {seed}: each quiet workspace completes a share of {share} of its requests or more"
        );
    }
}

#[test]
fn overload_is_refused_early_and_little_is_begun_in_vain() {
    for seed in SEEDS {
        let load = Load {
            loud_factor: 10.0,
            ..EVEN
        };
        let served = simulate::<Drr>(&load, seed);
        let refused = served.refused as f64;
        let late = served.expired as f64;
        println!("seed {seed}: refused {refused}, of which after a wait {late}");
        assert!(
            late < 0.1 * refused,
            "seed {seed}: {late} of {refused} refused requests were refused only after a wait"
        );
    }
}

/// Guards the invariants that `owner_chaos` checks after each event, such as one reply a request.
#[test]
fn random_events_break_no_promise() {
    let mut counts = std::collections::BTreeMap::<&str, u64>::new();
    for (seed, busy) in (1..=80).flat_map(|seed| [(seed, false), (seed, true)]) {
        println!("seed {seed}, busy {busy}");
        let mut chaos = Chaos::new(seed, busy);
        chaos.run(400);
        for (what, count) in &chaos.counts {
            *counts.entry(what).or_default() += count;
        }
    }
    println!("{counts:?}");
}
