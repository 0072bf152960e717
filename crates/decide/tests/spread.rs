//! The spread protocol, which brings facts about the fleet and the configuration to all hosts, on a
//! simulated network: hosts find each other through seeds, and facts and configuration reach all.

mod spread_net;

use std::time::Duration;

use decide::spread::Fact;
use spread_net::fleet::announcement;
use spread_net::{Net, host_name};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn hosts_find_each_other_through_seeds() {
    for (hosts, seed) in [(1, 1), (2, 2), (13, 3), (19, 4), (200, 5)] {
        let mut net = Net::new(hosts, 4, seed);
        let all = net.hosts();
        let took = net.run_until(5 * SECOND, |net| net.all_views_have(&all, &all));
        println!("hosts={hosts} took={took:?}");
        assert!(
            took.is_some(),
            "{hosts} hosts don't all have each other in their views after 5 s"
        );
    }
}

#[test]
fn config_and_facts_reach_all() {
    let mut net = Net::new(19, 4, 6);
    let all = net.hosts();
    net.commit_next();
    net.run(3 * SECOND);
    assert!(net.all_in_force(&all, 1));
    net.announce_at(&host_name(3, 2), &announcement("u1", 1, 1));
    let took = net.run_until(SECOND, |net| net.all_have_upstream(&all, "u1", true));
    assert!(
        took.is_some(),
        "a host doesn't have the announced upstream in its view after 1 s"
    );
    let primary = Fact::Primary {
        service: "s".into(),
        term: 1,
        upstream: "u1".into(),
    };
    net.publish_fact(&host_name(0, 1), primary);
    net.run(SECOND);
    for host in &all {
        let view = net.view(host);
        assert_eq!(view.services["s"].primary, Some((1, "u1".into())));
        assert_eq!(
            view.upstreams["u1"].owners,
            net.view(&all[0]).upstreams["u1"].owners
        );
    }
}
