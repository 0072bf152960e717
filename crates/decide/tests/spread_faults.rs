//! The hosts' views of the fleet converge after network cuts, host deaths, restarts and lost
//! messages.
//!
//! The parents of a data centre are those of its hosts that keep links to the control hosts; its
//! other hosts get facts from them.

mod spread_net;

use std::time::Duration;

use model::HostId;
use rand::Rng;
use rand::seq::IndexedRandom;
use spread_net::fleet::announcement;
use spread_net::{Net, host_name};

const SECOND: Duration = Duration::from_secs(1);

/// Returns a converged fleet of four data centres, with two upstreams in each.
fn converged_fleet(hosts: usize, seed: u64) -> Net {
    let mut net = Net::new(hosts, 4, seed);
    net.commit_next();
    for data_centre in 0..4 {
        for index in 0..2 {
            let name = format!("u{data_centre}-{index}");
            net.add_upstream(announcement(&name, data_centre, 1));
        }
    }
    net.run(5 * SECOND);
    let all = net.hosts();
    assert!(net.all_views_have(&all, &all));
    assert!(net.all_in_force(&all, 1));
    assert!(net.views_agree(&all));
    net
}

#[test]
fn a_dead_host_leaves_every_view_and_comes_back() {
    for seed in 0..8 {
        let mut net = converged_fleet(19, seed);
        let all = net.hosts();
        let victim = all.choose(&mut net.rng).expect("hosts").clone();
        net.kill(&victim);
        let rest = net.hosts();
        let took = net.run_until(5 * SECOND, |net| net.all_views_have(&rest, &rest));
        println!("victim={victim} took={took:?}");
        assert!(
            took.is_some_and(|took| took < 3 * SECOND),
            "the dead host is still in a view after 3 s"
        );
        net.run(5 * SECOND);
        assert!(net.views_agree(&rest));
        assert_eq!(
            net.view(&rest[0]).upstreams.len(),
            8,
            "an upstream lapsed because a host died"
        );
        net.restart(&victim);
        let took = net.run_until(5 * SECOND, |net| net.all_views_have(&all, &all));
        println!("back={victim} took={took:?}");
        assert!(
            took.is_some_and(|took| took < SECOND),
            "the restarted host is not in all views after 1 s"
        );
    }
}

#[test]
fn all_parents_of_a_data_centre_can_die_at_once() {
    for seed in 0..4 {
        let mut net = converged_fleet(19, seed);
        let home = net.hosts_in("dc3");
        let parents = net.nodes[&home[0]].spread.tree().heads().to_vec();
        for parent in &parents {
            net.kill(parent);
        }
        let rest = net.hosts();
        let took = net.run_until(10 * SECOND, |net| net.all_views_have(&rest, &rest));
        println!("parents={parents:?} took={took:?}");
        assert!(
            took.is_some_and(|took| took < 6 * SECOND),
            "the remaining hosts don't agree within 6 s of the loss of their parents"
        );
    }
}

#[test]
fn a_cut_off_data_centre_keeps_its_hosts_and_rejoins() {
    for (seed, cut) in [(0, "dc0"), (1, "dc1"), (2, "dc3"), (3, "dc3")] {
        let mut net = converged_fleet(19, seed);
        let all = net.hosts();
        let inside = net.hosts_in(cut);
        let outside = net.hosts_outside(cut);
        net.cut_off_data_centres.insert(cut.to_string());
        let took = net.run_until(10 * SECOND, |net| {
            net.all_views_have(&inside, &inside) && net.all_views_have(&outside, &outside)
        });
        println!("cut={cut} took={took:?}");
        assert!(
            took.is_some_and(|took| took < 4 * SECOND),
            "a side keeps hosts of the other side in its views after 4 s"
        );
        // While the cut lasts, here for a minute, each side must keep all its own hosts.
        for _ in 0..60 {
            net.run(SECOND);
            assert!(
                net.all_views_have(&inside, &inside),
                "a host of the cut-off data centre dropped another one from its view"
            );
            assert!(net.all_views_have(&outside, &outside));
            let inner = &net.view(&inside[0]).upstreams;
            assert_eq!(
                inner.len(),
                2,
                "the cut-off data centre lost or kept the wrong upstreams"
            );
            assert_eq!(net.view(&outside[0]).upstreams.len(), 6);
        }
        assert!(net.views_agree(&inside) && net.views_agree(&outside));
        // Within the cut-off data centre, a dead host must be detected.
        let victim = inside[1].clone();
        net.kill(&victim);
        let rest = net.hosts_in(cut);
        let took = net.run_until(10 * SECOND, |net| net.all_views_have(&rest, &rest));
        println!("victim={victim} took={took:?}");
        assert!(
            took.is_some_and(|took| took < 4 * SECOND),
            "the cut-off data centre doesn't detect its dead host within 4 s"
        );
        net.cut_off_data_centres.clear();
        let rest = net.hosts();
        let mut flaps = 0;
        let healed = net.run_until(10 * SECOND, |net| net.all_views_have(&rest, &rest));
        println!("healed={healed:?}");
        assert!(
            healed.is_some_and(|took| took < 4 * SECOND),
            "the hosts don't all see each other 4 s after the cut was healed"
        );
        for _ in 0..100 {
            net.run(SECOND / 20);
            flaps += u32::from(!net.all_views_have(&rest, &rest));
        }
        assert_eq!(flaps, 0, "hosts left views again after the cut was healed");
        assert!(net.views_agree(&rest));
        assert_eq!(net.view(&rest[0]).upstreams.len(), 8);
        net.restart(&victim);
        net.run(2 * SECOND);
        assert!(net.all_views_have(&all, &all));
    }
}

#[test]
fn lost_messages_are_recovered() {
    for seed in 0..4 {
        let mut net = converged_fleet(13, seed);
        let all = net.hosts();
        // With silent loss, messages vanish while links stay up; otherwise both hosts are notified.
        net.silent_loss = seed % 2 == 1;
        net.lost_one_in = 20;
        for round in 0..20 {
            net.commit_next();
            let name = format!("extra{round}");
            net.add_upstream(announcement(&name, round % 4, 1));
            net.run(SECOND);
        }
        net.lost_one_in = 0;
        let version = net.config.version;
        let took = net.run_until(10 * SECOND, |net| {
            net.views_agree(&all)
                && net.all_views_have(&all, &all)
                && net.all_in_force(&all, version)
        });
        println!("converged={took:?}");
        assert!(
            took.is_some_and(|took| took < 6 * SECOND),
            "the views don't converge within 6 s after the loss of messages"
        );
        assert_eq!(net.view(&all[0]).upstreams.len(), 28);
    }
}

#[test]
fn any_mixture_of_faults_converges() {
    for seed in 0..24 {
        let hosts = [13, 16, 19][seed as usize % 3];
        let mut net = converged_fleet(hosts, seed);
        let all = net.hosts();
        for _ in 0..30 {
            change_one_fault(&mut net, &all);
            let pause = net.rng.random_range(50..3000);
            net.run(Duration::from_millis(pause));
        }
        net.cut_off_data_centres.clear();
        net.blocked_pairs.clear();
        net.lost_one_in = 0;
        for host in &all {
            if !net.nodes[host].running {
                net.restart(host);
            }
        }
        let version = net.config.version;
        let took = net.run_until(20 * SECOND, |net| {
            net.all_views_have(&all, &all)
                && net.views_agree(&all)
                && net.all_in_force(&all, version)
        });
        println!("seed={seed} converged={took:?}");
        assert!(
            took.is_some_and(|took| took < 10 * SECOND),
            "seed {seed}: no convergence within 10 s after the faults"
        );
        net.run(5 * SECOND);
        assert!(
            net.all_views_have(&all, &all) && net.views_agree(&all),
            "seed {seed}: the views changed again after they had converged"
        );
        assert_eq!(net.view(&all[0]).upstreams.len(), 8);
    }
}

/// Causes one random fault or repairs one, and changes the rate of loss.
fn change_one_fault(net: &mut Net, all: &[HostId]) {
    let a = all.choose(&mut net.rng).expect("hosts").clone();
    let b = all.choose(&mut net.rng).expect("hosts").clone();
    let data_centre = format!("dc{}", net.rng.random_range(0..4));
    match net.rng.random_range(0..8) {
        0 if net.nodes[&a].running => net.kill(&a),
        0 | 1 => net.restart(&a),
        2 => drop(net.cut_off_data_centres.insert(data_centre)),
        3 => net.cut_off_data_centres.clear(),
        4 => net.break_link(&a, &b),
        5 => drop(net.blocked_pairs.insert((a, b))),
        6 => net.blocked_pairs.clear(),
        _ => net.commit_next(),
    }
    net.lost_one_in = if net.rng.random_ratio(1, 4) { 30 } else { 0 };
}

#[test]
fn an_isolated_host_disturbs_no_other_view() {
    let mut net = converged_fleet(13, 1);
    let all = net.hosts();
    let alone = host_name(1, 1);
    net.isolate(&alone);
    net.run(20 * SECOND);
    let rest: Vec<HostId> = all.iter().filter(|host| **host != alone).cloned().collect();
    assert!(net.all_views_have(&rest, &rest));
    assert!(net.all_views_have(std::slice::from_ref(&alone), std::slice::from_ref(&alone)));
    net.blocked_pairs.clear();
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
    assert!(net.all_views_have(&all, &all));
}

#[test]
fn a_broken_link_between_two_hosts_declares_none_dead() {
    for seed in 0..6 {
        let mut net = converged_fleet(19, seed);
        let all = net.hosts();
        let home = net.hosts_in("dc2");
        let parents = net.nodes[&home[0]].spread.tree().heads().to_vec();
        let child = home.iter().find(|host| !parents.contains(host));
        let child = child.expect("a child").clone();
        let pair = [
            (child, parents[0].clone()),
            (parents[0].clone(), parents[1].clone()),
        ];
        net.blocked_pairs.insert(pair[seed as usize % 2].clone());
        for _ in 0..300 {
            net.run(SECOND / 20);
            assert!(
                net.all_views_have(&all, &all),
                "seed {seed}: a running host left a view"
            );
        }
        net.blocked_pairs.clear();
        net.run(5 * SECOND);
        assert!(net.all_views_have(&all, &all));
    }
}
