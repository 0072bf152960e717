//! An evacuation is in force on all hosts within seconds, and a host that has started again serves by
//! no configuration before it knows of the evacuations.

mod spread_net;

use std::time::Duration;

use evac::Evacuations;
use model::HostId;
use rand::Rng;
use spread_net::{Net, host_name};

const SECOND: Duration = Duration::from_secs(1);
/// The longest time until an order must be in force on all hosts.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(5);

/// Returns a fleet of four data centres with version 1 of the configuration in force on all hosts.
fn converged_fleet(hosts: usize, seed: u64) -> Net {
    let mut net = Net::new(hosts, 4, seed);
    net.commit_next();
    net.run(5 * SECOND);
    let all = net.hosts();
    assert!(net.all_in_force(&all, 1));
    net
}

/// Commits a version on the voters, in which `dc3` is evacuated if the version is odd.
fn commit(net: &mut Net, version: u64) {
    for host in net.quorum.clone() {
        commit_on(net, &host, version);
    }
}

fn commit_on(net: &mut Net, host: &HostId, version: u64) {
    let names = (version % 2 == 1).then(|| "dc3".into());
    let evacuations = Evacuations {
        version,
        data_centres: names.into_iter().collect(),
    };
    net.with_spread(host, |spread, cx| {
        spread.on_evacuations_committed(cx, evacuations)
    });
}

fn holds(net: &Net, host: &HostId, version: u64) -> bool {
    net.view(host).evacuations.version == version
}

fn all_hold(net: &Net, hosts: &[HostId], version: u64) -> bool {
    hosts.iter().all(|host| holds(net, host, version))
}

/// Returns whether nothing is sent to the instances of `dc3` by the host.
fn is_closed(net: &Net, host: &HostId) -> bool {
    let view = net.view(host);
    let at = view.evacuations.closes_at.get("dc3");
    at.is_some_and(|at| *at <= net.now)
}

#[test]
fn an_order_is_in_force_everywhere_within_five_seconds() {
    for (hosts, seed) in [(13, 1), (30, 2), (200, 3)] {
        let mut net = converged_fleet(hosts, seed);
        let all = net.hosts();
        let mut worst = Duration::ZERO;
        for version in 1..12 {
            commit(&mut net, version);
            let given_at = net.now;
            let took = net.run_until(IN_FORCE_WITHIN, |net| all_hold(net, &all, version));
            worst = worst.max(took.expect("in force within five seconds"));
            net.run(given_at + IN_FORCE_WITHIN - net.now);
            let closed = all.iter().filter(|host| is_closed(&net, host)).count();
            let expected = if version % 2 == 1 { all.len() } else { 0 };
            assert_eq!(closed, expected, "{hosts} hosts, version {version}");
            let pause = net.rng.random_range(0..1000);
            net.run(Duration::from_millis(pause));
        }
        println!("hosts={hosts} worst={worst:?}");
    }
}

/// Guards against an order that is sent once and lost, also without a broken connection.
#[test]
fn an_order_is_in_force_in_time_although_messages_are_lost() {
    for silent_loss in [false, true] {
        for seed in 0..6 {
            let mut net = converged_fleet(19, seed);
            net.silent_loss = silent_loss;
            net.lost_one_in = 25;
            let all = net.hosts();
            for version in 1..10 {
                commit(&mut net, version);
                let took = net.run_until(IN_FORCE_WITHIN, |net| all_hold(net, &all, version));
                assert!(
                    took.is_some(),
                    "seed {seed}, silent {silent_loss}, {version}"
                );
            }
        }
    }
}

/// Guards against a host that starts, gets a confirmed configuration and sends requests to an
/// evacuated data centre until it learns of the order, as after a loss of power everywhere.
#[test]
fn no_host_that_starts_serves_before_it_knows_of_the_order() {
    for seed in 0..10 {
        let mut net = converged_fleet(19, seed);
        net.lost_one_in = 25;
        net.silent_loss = seed % 2 == 0;
        commit(&mut net, 1);
        net.run(IN_FORCE_WITHIN);
        let all = net.hosts();
        for host in &all {
            net.kill(host);
        }
        for host in &all {
            net.restart(host);
            if net.quorum.contains(host) {
                commit_on(&mut net, host, 1);
            }
        }
        for _ in 0..1_000 {
            net.run(Duration::from_millis(10));
            for host in &all {
                let usable = net.view(host).config_usable;
                assert!(
                    !usable || is_closed(&net, host),
                    "{host} serves without the order, seed {seed}"
                );
            }
        }
        assert!(all_hold(&net, &all, 1), "seed {seed}");
    }
}

/// Guards against a host that was frozen when the order was given and then takes the whole limit.
#[test]
fn a_host_that_was_frozen_closes_the_data_centre_in_time() {
    for seed in 0..6 {
        let mut net = converged_fleet(19, seed);
        let host = host_name(3, 2);
        net.pause(&host);
        commit(&mut net, 1);
        let given_at = net.now;
        net.run(4 * SECOND);
        net.resume(&host);
        net.run(given_at + IN_FORCE_WITHIN - net.now);
        assert!(is_closed(&net, &host), "seed {seed}");
    }
}

/// Guards against a cut-off data centre that goes back to an earlier set, or never gets the new one.
#[test]
fn a_cut_off_data_centre_keeps_its_set_and_learns_the_newest_after_the_heal() {
    for seed in 0..4 {
        let mut net = converged_fleet(30, seed);
        commit(&mut net, 1);
        net.run(IN_FORCE_WITHIN);
        let all = net.hosts();
        net.cut_off_data_centres.insert("dc3".to_owned());
        net.run(2 * SECOND);
        commit(&mut net, 2);
        let inside: Vec<HostId> = (0..7).map(|index| host_name(3, index)).collect();
        net.restart(&inside[1]);
        net.run(20 * SECOND);
        assert!(all_hold(&net, &inside, 1), "seed {seed}");
        net.cut_off_data_centres.clear();
        let took = net.run_until(IN_FORCE_WITHIN, |net| all_hold(net, &all, 2));
        assert!(took.is_some(), "seed {seed}");
    }
}
