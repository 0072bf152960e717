//! A randomized soak test on the users' platform: real hosts with test instances and callers that
//! check each statement, row, value and commit, one test for each kind of trouble.
//!
//! `SOAK_SEEDS=1..51 SOAK_TIME=20s cargo test --release -p carawayd --test platform_soak -- --nocapture`
//! runs more seeds, for longer; `SOAK_TROUBLES=odd-bytes,cuts` sets the kinds of trouble of the test
//! `chosen`, and `SOAK_ENTRY_HOSTS=9` its number of entry hosts. The same seed draws the same faults, but their effects also depend on timing.
#![allow(clippy::unwrap_used, reason = "a test that meets an error ends there")]

use std::collections::BTreeSet;
use std::time::Duration;

use testbed::{Setup, Trouble, run};
use tokio::sync::Semaphore;

/// Fleets that run at a time.
static FLEETS: Semaphore = Semaphore::const_new(3);
/// The seed that is run unless `SOAK_SEEDS` is set, as in CI.
const CI_SEED: u64 = 1;
/// Seeds that have lost commits, which replicas confirmed that joined while a primary was cut off
/// and had not announced themselves; they are run unless `SOAK_SEEDS` is set.
const JOIN_SEEDS: [u64; 2] = [8, 11];
/// Broken guarantees that are printed for a seed.
const SHOWN: usize = 30;

/// Returns the seeds to run: `SOAK_SEEDS`, a range or one seed, or else those of CI.
fn seeds(ci_seeds: &[u64]) -> Vec<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else {
        return ci_seeds.to_vec();
    };
    let number = |text: &str| text.parse().expect("a number");
    match text.split_once("..") {
        Some((first, end)) => (number(first)..number(end)).collect(),
        None => vec![number(&text)],
    }
}

/// Returns how long faults are injected for each seed.
fn soak_time(default: u64) -> Duration {
    let text = std::env::var("SOAK_TIME").ok();
    text.map_or(Duration::from_secs(default), |text| {
        humantime::parse_duration(&text).unwrap()
    })
}

/// Runs all seeds with these kinds of trouble on the smallest fleet.
async fn soak(troubles: &[Trouble], ci_seeds: &[u64], default_secs: u64) {
    soak_fleet(Setup::ENTRY_HOSTS, troubles, ci_seeds, default_secs).await;
}

/// Runs all seeds with these kinds of trouble, and fails if any guarantee is broken.
async fn soak_fleet(entry_hosts: usize, troubles: &[Trouble], ci_seeds: &[u64], default_secs: u64) {
    let _permit = FLEETS.acquire().await.unwrap();
    let mut failed = Vec::new();
    for seed in seeds(ci_seeds) {
        let setup = Setup {
            binary: env!("CARGO_BIN_EXE_carawayd").into(),
            seed,
            time: soak_time(default_secs),
            troubles: troubles.iter().copied().collect::<BTreeSet<_>>(),
            entry_hosts,
        };
        let outcome = run(&setup).await;
        println!(
            "{troubles:?} seed {seed}: {} writes kept, {} promotions, {} guarantees broken",
            outcome.kept,
            outcome.promotions,
            outcome.broken.len()
        );
        if outcome.broken.is_empty() {
            assert!(outcome.kept > 10, "too few writes for this test");
            continue;
        }
        let shown = outcome.broken.iter().take(SHOWN).chain(&outcome.notes);
        shown.for_each(|line| println!("  {line}"));
        println!("{}", outcome.logs);
        failed.push((seed, outcome.broken[0].clone()));
    }
    assert!(failed.is_empty(), "broken with {troubles:?}: {failed:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn guarantees_hold_without_trouble() {
    soak(&[], &[CI_SEED], 3).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn statements_and_rows_with_odd_bytes_pass_unchanged() {
    soak(&[Trouble::OddBytes], &[CI_SEED], 4).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_instance_that_answers_twice_confuses_no_caller() {
    soak(&[Trouble::SecondAnswers], &[CI_SEED], 5).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn half_and_lost_answers_confuse_no_caller() {
    soak(&[Trouble::HalfAnswers], &[CI_SEED], 5).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_commit_is_lost_while_replicas_join_and_leave() {
    soak(&[Trouble::Cuts, Trouble::Joins], &JOIN_SEEDS, 6).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_commit_is_lost_while_orders_are_late() {
    soak(
        &[Trouble::Cuts, Trouble::Crashes, Trouble::LateOrders],
        &[CI_SEED],
        12,
    )
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn guarantees_hold_while_hosts_restart() {
    soak(&[Trouble::Hosts], &[CI_SEED], 8).await;
}

/// Guards against requests that reach the instances of an evacuated data centre more than 5 s after
/// the acknowledgement, also through hosts that were stopped or have restarted meanwhile.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_request_reaches_an_evacuated_data_centre() {
    soak(&[Trouble::Evacuations, Trouble::Hosts], &[CI_SEED], 16).await;
}

/// Guards against hosts that keep an older configuration while changes never pause: each change is
/// asked for on every entry host after its bound, on a fleet with several hosts in a data centre.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_change_is_in_force_on_every_host_in_time() {
    soak_fleet(9, &[Trouble::Changes], &[CI_SEED], 10).await;
}

/// Guards against hosts that miss changes around restarts, suspensions and stops of hosts.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_change_is_in_force_in_time_while_hosts_restart() {
    soak(&[Trouble::Changes, Trouble::Hosts], &[CI_SEED], 8).await;
}

/// Guards against hosts that miss changes after all entry hosts have started at once, or after a
/// whole data centre was suspended.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_change_is_in_force_in_time_after_full_start_ups() {
    soak_fleet(6, &[Trouble::Changes, Trouble::ManyHosts], &[CI_SEED], 10).await;
}

/// Runs the kinds of `SOAK_TROUBLES`, and nothing if it isn't set.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn chosen() {
    let Ok(names) = std::env::var("SOAK_TROUBLES") else {
        return;
    };
    let names: Vec<&str> = names.split(',').collect();
    let named = |name: &&&str| Trouble::ALL.iter().any(|kind| kind.name() == **name);
    assert_eq!(names.iter().filter(named).count(), names.len(), "{names:?}");
    let chosen = Trouble::ALL.into_iter();
    let chosen: Vec<Trouble> = chosen.filter(|kind| names.contains(&kind.name())).collect();
    let entry_hosts = std::env::var("SOAK_ENTRY_HOSTS").ok();
    let entry_hosts = entry_hosts.map_or(Setup::ENTRY_HOSTS, |text| text.parse().unwrap());
    soak_fleet(entry_hosts, &chosen, &[CI_SEED], 8).await;
}
