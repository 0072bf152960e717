//! Leases of announcements: lapse, leaving upstreams, duplicates and changes of owners.
//!
//! An upstream renews its announcement, under a higher sequence number, at the hosts of its data
//! centre; its owners declare it gone when they get no renewal within the lease.

mod spread_net;

use std::time::Duration;

use model::{Announcement, HostId};
use spread_net::fleet::announcement;
use spread_net::{Net, host_name};

const SECOND: Duration = Duration::from_secs(1);
/// The lease of an announcement, and the time in which its end reaches all hosts.
const LEASE_AND_SPREAD: Duration = Duration::from_millis(3500);

/// Returns a converged fleet, with the upstream `u` in the last data centre.
fn converged_fleet(hosts: usize, seed: u64) -> Net {
    let mut net = Net::new(hosts, 4, seed);
    net.commit_next();
    net.run(2 * SECOND);
    net.add_upstream(announcement("u", 3, 1));
    net.run(5 * SECOND);
    let all = net.hosts();
    assert!(net.all_have_upstream(&all, "u", true));
    net
}

fn owners(net: &Net) -> Vec<HostId> {
    net.view(&host_name(0, 0)).upstreams["u"].owners.clone()
}

#[test]
fn an_upstream_that_stops_renewing_leaves_every_view() {
    for (hosts, seed) in [(13, 1), (19, 2), (200, 3)] {
        let mut net = converged_fleet(hosts, seed);
        let all = net.hosts();
        net.announced_upstreams.clear();
        let took = net.run_until(LEASE_AND_SPREAD, |net| {
            net.all_have_upstream(&all, "u", false)
        });
        println!("hosts={hosts} lapsed={took:?}");
        assert!(
            took.is_some(),
            "the upstream that stopped renewing stays in a view"
        );
        net.run(5 * SECOND);
        assert!(
            net.all_have_upstream(&all, "u", false),
            "the lapsed upstream came back into a view"
        );
        net.add_upstream(announcement("u", 3, 1000));
        let took = net.run_until(SECOND, |net| net.all_have_upstream(&all, "u", true));
        assert!(
            took.is_some(),
            "a newer announcement doesn't bring the upstream back"
        );
    }
}

#[test]
fn a_leaving_upstream_leaves_every_view_at_once() {
    let mut net = converged_fleet(19, 4);
    let all = net.hosts();
    let announcement = net.announced_upstreams.get_mut("u").expect("announced");
    announcement.leaving = true;
    let took = net.run_until(LEASE_AND_SPREAD, |net| {
        net.all_have_upstream(&all, "u", false)
    });
    println!("leaving={took:?}");
    assert!(took.is_some_and(|took| took < SECOND));
    net.run(5 * SECOND);
    assert!(net.all_have_upstream(&all, "u", false));
}

/// Guards against an instance that is gone without a trace and that an operator can't sign off.
#[test]
fn an_upstream_that_has_lapsed_can_be_withdrawn() {
    let mut net = converged_fleet(13, 4);
    let all = net.hosts();
    net.announced_upstreams.clear();
    net.run(LEASE_AND_SPREAD);
    assert!(net.all_have_upstream(&all, "u", false));
    let upstream = "u".into();
    let withdrawn = |net: &Net| {
        let mut hosts = all.iter();
        hosts.all(|host| net.nodes[host].spread.has_withdrawn(&upstream))
    };
    assert!(!withdrawn(&net), "a lapse was taken for a withdrawal");
    net.withdraw_at(&all[0], &upstream);
    net.run(SECOND);
    assert!(withdrawn(&net));
}

#[test]
fn old_announcements_neither_renew_nor_revive() {
    let mut net = converged_fleet(13, 5);
    let all = net.hosts();
    let newest = net.announced_upstreams.remove("u").expect("announced");
    for _ in 0..80 {
        net.run(SECOND / 10);
        let old = Announcement {
            sequence: newest.sequence - 1,
            ..newest.clone()
        };
        net.announce_at(&host_name(3, 1), &newest);
        net.announce_at(&host_name(3, 0), &old);
    }
    assert!(
        net.all_have_upstream(&all, "u", false),
        "old announcements kept the upstream in a view"
    );
}

#[test]
fn an_upstream_outlives_its_owners() {
    for seed in 0..6 {
        let mut net = converged_fleet(19, seed);
        for owner in owners(&net) {
            net.kill(&owner);
        }
        let rest = net.hosts();
        for _ in 0..100 {
            net.run(SECOND / 10);
            assert!(
                net.all_have_upstream(&rest, "u", true),
                "the upstream left a view while its owners changed"
            );
        }
        let new = owners(&net);
        assert!(new.iter().all(|owner| net.nodes[owner].running));
        net.announced_upstreams.clear();
        net.run(LEASE_AND_SPREAD);
        assert!(
            net.all_have_upstream(&rest, "u", false),
            "the new owners don't notice the lapse"
        );
    }
}

#[test]
fn the_lapse_is_noticed_although_the_owners_die_with_it() {
    let mut net = converged_fleet(19, 6);
    net.announced_upstreams.clear();
    for owner in owners(&net) {
        net.kill(&owner);
    }
    let rest = net.hosts();
    let took = net.run_until(10 * SECOND, |net| net.all_have_upstream(&rest, "u", false));
    println!("lapsed={took:?}");
    assert!(
        took.is_some_and(|took| took < 6 * SECOND),
        "the new owners don't end the lease of an upstream that never renews"
    );
}

#[test]
fn one_owner_that_hears_no_renewals_asks_the_other() {
    for seed in 0..4 {
        let mut net = converged_fleet(13, seed);
        let all = net.hosts();
        let owners = owners(&net);
        // Only the other owner can still send renewals to the first one.
        let home = net.hosts_in("dc3");
        for host in home.iter().filter(|host| !owners.contains(host)) {
            net.blocked_pairs.insert((host.clone(), owners[0].clone()));
        }
        for _ in 0..200 {
            net.run(SECOND / 10);
            assert!(
                net.all_have_upstream(&all, "u", true),
                "seed {seed}: the upstream lapsed although one owner gets its renewals"
            );
        }
    }
}

#[test]
fn renewals_alone_spread_nothing() {
    let mut net = converged_fleet(19, 7);
    let before = net.nodes[&host_name(0, 0)].spread.tables().upstreams()["u"].clone();
    net.run(30 * SECOND);
    let after = net.nodes[&host_name(0, 0)].spread.tables().upstreams()["u"].clone();
    assert_eq!(before.announcement.sequence, after.announcement.sequence);
    assert!(net.announced_upstreams["u"].sequence > before.announcement.sequence + 20);
}

#[test]
fn an_owner_that_does_not_know_when_a_drain_began_is_told_no_later_time() {
    let mut net = converged_fleet(13, 7);
    let owner = owners(&net)[0].clone();
    let last_ready_at = |net: &Net| net.view(&owner).upstreams["u"].last_ready_at;
    net.announced_upstreams
        .get_mut("u")
        .expect("announced")
        .draining = true;
    let began = net.now;
    net.run(2 * SECOND);
    let known = last_ready_at(&net).expect("the owner received announcements before the drain");
    assert!(known <= began, "a time after the drain began");
    assert!(
        began - known < SECOND,
        "an old time although announcements came since"
    );
    net.kill(&owner);
    net.run(2 * SECOND);
    net.restart(&owner);
    net.run(2 * SECOND);
    assert!(net.view(&owner).upstreams["u"].announcement.draining);
    assert_eq!(
        last_ready_at(&net),
        None,
        "a time that the restarted owner can't know"
    );
}

#[test]
fn a_renewal_that_another_owner_passes_on_does_not_count_as_just_sent() {
    let mut net = converged_fleet(13, 8);
    let owners = owners(&net);
    let mut newest = net.announced_upstreams.remove("u").expect("announced");
    newest.sequence += 1;
    let sent_at = net.now;
    let link = (owners[1].clone(), owners[0].clone());
    net.blocked_pairs.insert(link.clone());
    net.announce_at(&owners[1], &newest);
    net.run(SECOND / 10);
    net.blocked_pairs.remove(&link);
    net.run(5 * SECOND / 2);
    let view = net.view(&owners[0]);
    let seen = view.upstreams.get("u").expect("renewed by the other owner");
    assert!(
        seen.last_ready_at.is_none_or(|at| at <= sent_at),
        "a renewal sent {:?} earlier counts as just sent",
        seen.last_ready_at.map(|at| at - sent_at)
    );
}

#[test]
fn a_ready_announcement_read_after_a_pause_does_not_count_as_just_sent() {
    for (paused_for, seed) in [(2 * SECOND, 9), (5 * SECOND, 10)] {
        let mut net = converged_fleet(13, seed);
        let owner = owners(&net)[0].clone();
        net.pause(&owner);
        net.run(SECOND);
        let drains_since = net.now;
        net.announced_upstreams
            .get_mut("u")
            .expect("announced")
            .draining = true;
        net.run(paused_for - SECOND);
        net.resume(&owner);
        for _ in 0..30 {
            net.run(SECOND / 10);
            let view = net.view(&owner);
            let last_ready_at = view.upstreams.get("u").and_then(|seen| seen.last_ready_at);
            assert!(
                last_ready_at.is_none_or(|at| at <= drains_since),
                "after a pause of {paused_for:?} the upstream seems to have been ready {:?} after \
                 it began to drain",
                last_ready_at.map(|at| at - drains_since)
            );
        }
        assert!(net.view(&owner).upstreams["u"].announcement.draining);
    }
}
