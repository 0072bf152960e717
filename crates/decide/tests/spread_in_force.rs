//! A committed configuration is in force on all hosts within seconds, and no host goes back to an
//! earlier version.
//!
//! A host may use its version while the voters of the consensus group have confirmed it within the
//! grace period (`config_grace`). What they confirm is the newest committed version; the test
//! network reports this to each voter in `Net::quorum`.

mod spread_net;

use std::collections::BTreeMap;
use std::time::Duration;

use model::HostId;
use rand::Rng;
use spread_net::{Net, host_name};

const SECOND: Duration = Duration::from_secs(1);
/// The longest time until a committed configuration must be in force on all hosts.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(5);

/// Returns a fleet of four data centres with version 1 in force on all hosts.
fn converged_fleet(hosts: usize, seed: u64) -> Net {
    let mut net = Net::new(hosts, 4, seed);
    net.commit_next();
    net.run(5 * SECOND);
    let all = net.hosts();
    assert!(net.all_in_force(&all, 1));
    net
}

#[test]
fn a_commit_is_in_force_everywhere_within_five_seconds() {
    for (hosts, seed) in [(13, 1), (19, 2), (200, 3)] {
        let mut net = converged_fleet(hosts, seed);
        let all = net.hosts();
        let mut worst = Duration::ZERO;
        for _ in 0..20 {
            net.commit_next();
            let version = net.config.version;
            let took = net.run_until(IN_FORCE_WITHIN, |net| net.all_in_force(&all, version));
            worst = worst.max(took.expect("in force within five seconds"));
            let pause = net.rng.random_range(0..1000);
            net.run(Duration::from_millis(pause));
        }
        println!("hosts={hosts} worst={worst:?}");
    }
}

#[test]
fn a_commit_is_in_force_in_time_although_hosts_die_and_links_break() {
    for seed in 0..6 {
        let mut net = converged_fleet(19, seed);
        net.lost_one_in = 25;
        let mut worst = Duration::ZERO;
        for round in 0..20 {
            // The numbers are the data centre and the host's index in it.
            let victim = host_name(round % 4, 1 + round % 3);
            net.kill(&victim);
            net.commit_next();
            let version = net.config.version;
            let rest = net.hosts();
            let took = net.run_until(IN_FORCE_WITHIN, |net| net.all_in_force(&rest, version));
            worst = worst.max(took.expect("in force within five seconds"));
            net.restart(&victim);
            net.run(SECOND);
        }
        println!("seed={seed} worst={worst:?}");
    }
}

/// Checks that no host has an earlier version in force than it had in `past`.
fn assert_no_version_goes_back(net: &Net, past: &mut BTreeMap<HostId, u64>) {
    for host in net.hosts() {
        let Some(version) = net.in_force(&host) else {
            continue;
        };
        let versions = &net.nodes[&host].versions_in_force;
        assert!(versions.is_sorted(), "{host} went back: {versions:?}");
        let before = past.insert(host.clone(), version).unwrap_or(0);
        let first = versions[0];
        assert!(
            before <= version,
            "{host} went from {before} to {first}, {version}"
        );
    }
}

#[test]
fn no_restart_of_any_hosts_reverts_the_version() {
    for seed in 0..12 {
        let mut net = converged_fleet(13, seed);
        let all = net.hosts();
        let mut past = BTreeMap::new();
        for _ in 0..40 {
            net.commit_next();
            let pause = net.rng.random_range(0..800);
            net.run(Duration::from_millis(pause));
            assert_no_version_goes_back(&net, &mut past);
            let share = net.rng.random_range(0..=100);
            for host in &all {
                if net.rng.random_ratio(share, 100) {
                    net.restart(host);
                }
            }
            for _ in 0..net.rng.random_range(1..80) {
                net.run(SECOND / 10);
                assert_no_version_goes_back(&net, &mut past);
            }
        }
        let version = net.config.version;
        let took = net.run_until(IN_FORCE_WITHIN, |net| net.all_in_force(&all, version));
        assert!(
            took.is_some(),
            "seed {seed}: the newest version is not in force on all hosts"
        );
    }
}

#[test]
fn a_voter_that_was_cut_off_for_long_reverts_nobody() {
    for seed in 0..8 {
        let mut net = converged_fleet(13, seed);
        let all = net.hosts();
        let stale = host_name(0, 0);
        net.isolate(&stale);
        // `quorum` holds the voters that confirm versions.
        net.quorum.remove(&stale);
        for _ in 0..10 {
            net.commit_next();
            net.run(SECOND);
        }
        assert_eq!(net.in_force(&stale), Some(1));
        let mut past = BTreeMap::new();
        assert_no_version_goes_back(&net, &mut past);
        // It comes back while all other hosts restart, and some hear it before any other.
        for host in all.iter().filter(|host| **host != stale) {
            net.restart(host);
        }
        net.restart(&stale);
        past.remove(&stale);
        net.blocked_pairs.clear();
        for _ in 0..80 {
            net.run(SECOND / 10);
            assert_no_version_goes_back(&net, &mut past);
        }
        assert!(net.all_in_force(&all, 11));
    }
}

#[test]
fn a_host_that_starts_in_a_cut_off_data_centre_takes_its_newest_version() {
    let mut net = converged_fleet(19, 1);
    net.commit_next();
    net.run(SECOND);
    net.cut_off_data_centres.insert("dc3".to_string());
    net.commit_next();
    net.run(20 * SECOND);
    let home = net.hosts_in("dc3");
    assert!(net.all_in_force(&home, 2));
    let started = home[0].clone();
    net.restart(&started);
    net.run(net.settings.spread.startup_wait - SECOND / 10);
    assert!(
        !net.view(&started).config_usable,
        "the host uses a configuration before `startup_wait` is over"
    );
    net.run(SECOND);
    assert!(
        net.all_in_force(&home, 2),
        "the host doesn't take the newest version of its data centre"
    );
    // The same holds after an absence so long that all other hosts know it as dead.
    net.kill(&started);
    net.run(120 * SECOND);
    net.restart(&started);
    net.run(10 * SECOND);
    assert!(
        net.all_in_force(&home, 2),
        "the host has no configuration after a long absence"
    );
    assert!(net.all_views_have(&home, &home));
    for host in &home {
        net.restart(host);
    }
    net.run(20 * SECOND);
    for host in &home {
        assert!(
            !net.view(host).config_usable,
            "a host uses a configuration although all of its data centre restarted"
        );
    }
    net.cut_off_data_centres.clear();
    net.run(5 * SECOND);
    let all = net.hosts();
    assert!(net.all_in_force(&all, 3));
}

#[test]
fn a_configuration_serves_for_the_grace_and_no_longer() {
    let mut net = Net::new(13, 4, 1);
    net.settings.spread.config_grace = 60 * SECOND;
    net.commit_next();
    net.run(5 * SECOND);
    net.cut_off_data_centres.insert("dc3".to_string());
    let home = net.hosts_in("dc3");
    net.run(50 * SECOND);
    assert!(net.all_in_force(&home, 1));
    net.run(15 * SECOND);
    for host in &home {
        assert!(
            !net.view(host).config_usable,
            "the configuration is usable after the grace period"
        );
    }
    net.cut_off_data_centres.clear();
    net.run(5 * SECOND);
    assert!(net.all_in_force(&home, 1));
}

/// Returns a fleet that has run for a minute, whose hosts refuse requests 4 s after the last
/// confirmation of their configuration.
fn fleet_with_grace() -> Net {
    let mut net = Net::new(13, 4, 41);
    net.settings.spread.revoke_within = Some(IN_FORCE_WITHIN);
    net.commit_next();
    net.run(60 * SECOND);
    net
}

/// Returns the hosts that may not serve by the configuration that they hold.
fn hosts_without_usable_config(net: &Net) -> Vec<HostId> {
    let mut hosts = net.hosts();
    hosts.retain(|host| !net.view(host).config_usable);
    hosts
}

#[test]
fn confirmations_reach_all_hosts_after_all_control_hosts_restarted_at_once() {
    let mut net = fleet_with_grace();
    for host in net.quorum.clone() {
        net.restart(&host);
    }
    net.run(8 * SECOND);
    assert_eq!(hosts_without_usable_config(&net), Vec::<HostId>::new());
}

#[test]
fn confirmations_reach_all_hosts_after_all_control_hosts_were_paused() {
    let mut net = fleet_with_grace();
    for host in net.quorum.clone() {
        net.pause(&host);
    }
    net.run(3 * SECOND);
    for host in net.quorum.clone() {
        net.resume(&host);
    }
    net.run(8 * SECOND);
    assert_eq!(hosts_without_usable_config(&net), Vec::<HostId>::new());
}
