//! Dissemination of the lease by which acknowledgements are passed on.
#![allow(clippy::unwrap_used, reason = "a test that meets an error ends there")]

mod spread_net;

use std::sync::Arc;
use std::time::Duration;

use decide::ack_lease::{AckStopList, first_number};
use model::HostId;
use spread_net::{Net, host_name};

/// How long a lease lasts: what the platform's deploy file sets.
const ACK_LEASE: Duration = Duration::from_secs(2);
const SECOND: Duration = Duration::from_secs(1);
/// Interval at which a quorum confirms the leader.
const GRANT_INTERVAL: Duration = Duration::from_millis(50);

fn net(hosts: usize, data_centres: usize) -> Net {
    let mut net = Net::new(hosts, data_centres, 1);
    net.settings.group.ack_lease = Some(ACK_LEASE);
    net.count_bytes = true;
    net.commit_next();
    net
}

fn leader() -> HostId {
    host_name(0, 0)
}

/// Runs for a time while the first voter grants leases with this list, and returns the greatest age
/// of a lease that a host held meanwhile, where each held one.
fn run(net: &mut Net, time: Duration, list: &AckStopList) -> Option<Duration> {
    let list = Arc::new(list.clone());
    let end = net.now + time;
    let mut greatest = Some(Duration::ZERO);
    while net.now < end {
        let (at, list) = (net.now, list.clone());
        net.with_spread(&leader(), |spread, cx| spread.grant_ack_lease(cx, list, at));
        net.run(GRANT_INTERVAL);
        for host in net.hosts() {
            let lease = net.nodes[&host].spread.ack_lease();
            let age = lease.map(|lease| net.now - lease.granted_at);
            greatest = greatest.max(age).filter(|_| age.is_some());
        }
    }
    greatest
}

/// Guards against acknowledgements that wait in an idle fleet, and against control traffic above
/// 5 KB a second for each host.
#[test]
fn every_host_holds_a_lease_all_the_time() {
    for (hosts, data_centres) in [(13, 4), (27, 3), (143, 3), (300, 15)] {
        let mut net = net(hosts, data_centres);
        let list = AckStopList {
            number: first_number(7) + 3,
            stops: Vec::new(),
        };
        run(&mut net, 10 * SECOND, &list);
        net.sent_by_host.clear();
        let greatest = run(&mut net, 5 * SECOND, &list).unwrap();
        let traffic = net.traffic();
        let per_host = traffic.bytes / hosts as u64 / 5;
        println!(
            "hosts={hosts}: greatest age {greatest:?}, {per_host} bytes/host/s, most {}",
            traffic.most_bytes_of_a_host / 5
        );
        assert!(greatest < ACK_LEASE, "{greatest:?} with {hosts} hosts");
        assert!(per_host < 5000, "{per_host} bytes a second");
    }
}

/// Guards against hosts that go on to pass on acknowledgements after a stop that has not reached
/// them.
#[test]
fn a_stop_is_known_or_the_lease_has_run_out_on_every_host_within_its_time() {
    let mut net = net(40, 4);
    run(&mut net, 10 * SECOND, &AckStopList::default());
    net.cut_off_data_centres.insert("dc3".into());
    let stopped_at = net.now;
    let list = AckStopList {
        number: 1,
        stops: vec![("pots".into(), 1)],
    };
    run(&mut net, ACK_LEASE, &list);
    let (now, mut without_stop) = (net.now, 0);
    for host in net.hosts() {
        let lease = net.nodes[&host].spread.ack_lease().unwrap();
        if lease.list.stops.is_empty() {
            without_stop += 1;
            assert!(lease.granted_at <= stopped_at, "{host}");
            assert!(!lease.lasts(now, ACK_LEASE), "{host} may acknowledge");
        }
    }
    assert_eq!(
        without_stop, 10,
        "only the hosts that are cut off lack the stop"
    );
}

/// Guards against a host that forgets a stop by a restart and then takes an older lease.
#[test]
fn a_host_that_has_restarted_takes_only_leases_that_were_granted_since() {
    let mut net = net(40, 4);
    run(&mut net, 10 * SECOND, &AckStopList::default());
    let host = host_name(2, 5);
    // No lease is granted any more, but the other hosts hand on the last one.
    net.restart(&host);
    net.run(SECOND);
    assert!(net.nodes[&host].spread.ack_lease().is_none());
    run(&mut net, 3 * SECOND, &AckStopList::default());
    assert!(net.nodes[&host].spread.ack_lease().is_some());
}
