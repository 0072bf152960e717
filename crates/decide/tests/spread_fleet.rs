//! The spread protocol in fleets with regions cut off from each other, hosts for control only, paused
//! and leaving hosts, and many hosts that start at once; status reports of control hosts.

mod spread_net;

use std::time::Duration;

use model::HostId;
use spread_net::fleet::announcement;
use spread_net::{Net, host_name};

const SECOND: Duration = Duration::from_secs(1);

/// Commits version 1, announces an upstream in each data centre, and waits until all hosts agree.
fn add_upstreams_and_converge(net: &mut Net) {
    net.commit_next();
    for data_centre in 0..4 {
        let name = format!("u{data_centre}");
        net.add_upstream(announcement(&name, data_centre, 1));
    }
    net.run(5 * SECOND);
    let all = net.hosts();
    assert!(net.all_views_have(&all, &all));
    assert!(net.all_in_force(&all, 1));
}

#[test]
fn regions_cut_off_from_each_other_keep_their_own_hosts() {
    for seed in 0..4 {
        let mut net = Net::new(19, 4, seed);
        add_upstreams_and_converge(&mut net);
        let all = net.hosts();
        let (west, east): (Vec<HostId>, Vec<HostId>) = all
            .iter()
            .cloned()
            .partition(|host| host.starts_with("dc0") || host.starts_with("dc1"));
        for a in &west {
            for b in &east {
                net.blocked_pairs.insert((a.clone(), b.clone()));
            }
        }
        net.quorum.remove(&host_name(2, 0));
        let took = net.run_until(10 * SECOND, |net| {
            net.all_views_have(&west, &west) && net.all_views_have(&east, &east)
        });
        println!("cut off: separate views after {took:?}");
        assert!(took.is_some_and(|took| took < 4 * SECOND));
        net.commit_next();
        for _ in 0..100 {
            net.run(SECOND / 2);
            assert!(net.all_views_have(&west, &west) && net.all_views_have(&east, &east));
            assert_eq!(net.view(&west[0]).upstreams.len(), 2);
            assert_eq!(net.view(&east[0]).upstreams.len(), 2);
        }
        assert!(net.all_in_force(&west, 2) && net.all_in_force(&east, 1));
        net.blocked_pairs.clear();
        let took = net.run_until(10 * SECOND, |net| {
            net.all_views_have(&all, &all) && net.all_in_force(&all, 2) && net.views_agree(&all)
        });
        println!("healed: common views after {took:?}");
        assert!(took.is_some_and(|took| took < 4 * SECOND));
    }
}

#[test]
fn hosts_for_control_only_take_no_upstreams_but_know_all() {
    let mut net = Net::with_hosts(16, 4, 1, |info| info.is_entry_host = !info.is_control_host);
    add_upstreams_and_converge(&mut net);
    let all = net.hosts();
    for view in net.view(&all[0]).upstreams.values() {
        assert!(
            view.owners
                .iter()
                .all(|owner| net.nodes[owner].info.is_entry_host)
        );
    }
    net.kill(&host_name(0, 0));
    let rest = net.hosts();
    let took = net.run_until(5 * SECOND, |net| net.all_views_have(&rest, &rest));
    println!("gone={took:?}");
    assert!(took.is_some_and(|took| took < 3 * SECOND));
}

#[test]
fn a_data_centre_of_control_hosts_only_gets_owners_elsewhere() {
    let mut net = Net::with_hosts(16, 4, 2, |info| {
        info.is_entry_host = &*info.data_centre != "dc0"
    });
    add_upstreams_and_converge(&mut net);
    let all = net.hosts();
    let owners = &net.view(&all[0]).upstreams["u0"].owners;
    assert_eq!(
        owners.len(),
        2,
        "the upstream lacks owners in other data centres"
    );
}

#[test]
fn a_paused_host_returns_and_declares_nobody_dead() {
    for seed in 0..8 {
        let mut net = Net::new(13, 4, seed);
        add_upstreams_and_converge(&mut net);
        let all = net.hosts();
        let paused = all[seed as usize % all.len()].clone();
        net.kill(&paused);
        net.run(6 * SECOND);
        let rest = net.hosts();
        assert!(net.all_views_have(&rest, &rest));
        net.resume(&paused);
        for _ in 0..100 {
            net.run(SECOND / 20);
            for host in &rest {
                let seen = net.hosts_in_view(host);
                assert!(
                    rest.iter().all(|other| seen.contains(other)),
                    "{host} dropped a running host from its view"
                );
            }
        }
        assert!(
            net.all_views_have(&all, &all),
            "seed {seed}: the resumed host is not back in all views"
        );
    }
}

#[test]
fn a_leaving_host_gives_its_upstreams_away_and_stays_in_view() {
    let mut net = Net::new(19, 4, 3);
    add_upstreams_and_converge(&mut net);
    let all = net.hosts();
    let owner = net.view(&all[0]).upstreams["u3"].owners[0].clone();
    net.with_spread(&owner, |spread, cx| spread.start_leaving(cx));
    net.run(SECOND);
    for host in &all {
        let view = net.view(host);
        assert!(view.hosts[&owner].leaving);
        assert!(!view.upstreams["u3"].owners.contains(&owner));
    }
    net.kill(&owner);
    let rest = net.hosts();
    let took = net.run_until(5 * SECOND, |net| net.all_views_have(&rest, &rest));
    assert!(took.is_some_and(|took| took < 3 * SECOND));
}

#[test]
fn a_dead_host_and_a_lapsed_upstream_are_forgotten() {
    let mut net = Net::new(13, 4, 4);
    net.settings.spread.forget_after = 60 * SECOND;
    add_upstreams_and_converge(&mut net);
    let gone = host_name(1, 1);
    net.kill(&gone);
    net.announced_upstreams.remove("u2");
    net.run(20 * SECOND);
    let status = |net: &Net| net.nodes[&host_name(0, 0)].spread.fleet_status(net.now);
    assert!(
        status(&net)
            .hosts
            .iter()
            .any(|row| *row.host == *gone && !row.alive)
    );
    net.run(60 * SECOND);
    assert!(status(&net).hosts.iter().all(|row| *row.host != *gone));
    let rest = net.hosts();
    assert!(net.all_views_have(&rest, &rest) && net.views_agree(&rest));
    assert_eq!(status(&net).services[0].upstreams.len(), 3);
    net.restart(&gone);
    net.run(2 * SECOND);
    let all = net.hosts();
    assert!(
        net.all_views_have(&all, &all),
        "a forgotten host can't come back under its name"
    );
}

#[test]
fn a_control_host_knows_the_versions_in_force_on_all_hosts() {
    let mut net = Net::new(19, 4, 5);
    add_upstreams_and_converge(&mut net);
    net.commit_next();
    net.run(3 * SECOND);
    for host in net.quorum.clone() {
        let rows = net.nodes[&host].spread.fleet_status(net.now);
        assert_eq!(rows.version, 2);
        assert!(rows.confirmed_age.is_some_and(|age| age < 3.0));
        assert_eq!(rows.hosts.len(), 19);
        for row in rows.hosts {
            assert_eq!((row.version, row.alive), (Some(2), true), "{}", row.host);
        }
    }
}

/// Guards against asking for facts only a parent that is heard but doesn't hear this host.
#[test]
fn a_host_that_one_parent_does_not_hear_learns_from_the_others() {
    for seed in 0..8 {
        let mut net = Net::with_hosts(40, 4, seed, |info| {
            info.is_entry_host = !info.is_control_host
        });
        add_upstreams_and_converge(&mut net);
        let lost = host_name(1, 3);
        net.kill(&lost);
        net.run(4 * SECOND);
        net.restart(&lost);
        // The first three hosts by name in the data centre don't receive anything from `lost`.
        let home = net.hosts_in("dc1");
        for other in home.iter().filter(|other| **other != lost).take(3) {
            net.blocked_one_way.insert((lost.clone(), other.clone()));
        }
        let all = net.hosts();
        let took = net.run_until(10 * SECOND, |net| {
            net.hosts_in_view(&lost).len() == all.len()
        });
        println!("seed={seed} learned={took:?}");
        assert!(took.is_some_and(|took| took < 4 * SECOND));
    }
}

/// Guards against hosts that stay ignorant of others when many start at once: control hosts
/// redirect them to parents, which know few hosts themselves at first.
#[test]
fn all_hosts_of_a_fleet_that_starts_at_once_learn_everything() {
    for seed in 0..8 {
        let mut net = Net::with_hosts(140, 4, seed, |info| {
            info.is_entry_host = !info.is_control_host
        });
        net.lost_one_in = 40;
        net.commit_next();
        for data_centre in 0..4 {
            let name = format!("u{data_centre}");
            net.add_upstream(announcement(&name, data_centre, 1));
        }
        net.run(2 * SECOND);
        net.lost_one_in = 0;
        let all = net.hosts();
        let took = net.run_until(20 * SECOND, |net| net.all_views_have(&all, &all));
        println!("seed={seed} learned={took:?}");
        assert!(took.is_some_and(|took| took < 6 * SECOND));
    }
}

/// Guards against a large change that each host gets from all of its parents.
#[test]
fn a_large_change_comes_to_each_host_about_once() {
    for seed in 0..4 {
        let mut net = Net::with_hosts(140, 4, seed, |info| {
            info.is_entry_host = !info.is_control_host
        });
        net.settings.spread.relay_fanout = 8;
        add_upstreams_and_converge(&mut net);
        let mut config = model::Config::clone(&net.config);
        config.version += 1;
        let version = config.version;
        for number in 0..1000 {
            let workspace = model::config::Workspace {
                rate: 10,
                burst: 10,
                services: vec![format!("service-{number}").into()],
                keys: Default::default(),
            };
            let name = format!("workspace-{number}");
            config.workspaces.insert(name.into(), workspace);
        }
        let size = postcard::to_stdvec(&config).unwrap().len() as u64;
        net.count_bytes = true;
        net.sent_by_host.clear();
        net.commit(config);
        let all = net.hosts();
        let took = net.run_until(5 * SECOND, |net| net.all_in_force(&all, version));
        let bytes = net.traffic().bytes;
        let times = bytes as f64 / (size * all.len() as u64) as f64;
        println!("seed={seed} in_force={took:?} times={times:.2}");
        assert!(took.is_some());
        assert!(
            times < 1.5,
            "{times} times the size of the change for each host"
        );
    }
}
