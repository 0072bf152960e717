//! Placement of upstreams on their owners, the two hosts that run an upstream's requests.
//!
//! The placement is the same on all hosts and in all versions of the program, moves as few upstreams
//! as possible when hosts come and go, and is the same whether it is computed at once or step by step.

use decide::placement;
use decide::spread::tables::FleetTables;
use model::{Announcement, HostId, HostInfo};
use proptest::collection::vec;
use proptest::prelude::*;

fn host(number: usize, data_centre: usize) -> HostInfo {
    HostInfo {
        host: format!("h{number}").into(),
        data_centre: format!("dc{data_centre}").into(),
        peer_addr: ([10, 0, 0, number as u8], 7000).into(),
        incarnation: 1,
        traffic_parts: 4,
        is_entry_host: true,
        is_control_host: false,
        leaving: false,
    }
}

fn upstream(number: usize, data_centre: usize) -> Announcement {
    Announcement {
        upstream: format!("u{number}").into(),
        service: format!("s{}", number / 3).into(),
        addr: ([10, 1, 0, number as u8], 5432).into(),
        data_centre: format!("dc{data_centre}").into(),
        group_size: 3,
        slots: 3,
        connections: 50,
        sequence: 1,
        incarnation: 0,
        role: None,
        warming: false,
        draining: false,
        leaving: false,
    }
}

fn owners(upstream: &Announcement, hosts: &[HostInfo]) -> Vec<HostId> {
    placement::owners(&upstream.upstream, &upstream.data_centre, hosts)
}

/// A change of the fleet; the number names the host or upstream.
#[derive(Clone, Debug)]
enum Step {
    Join(usize),
    Leave(usize),
    Die(usize),
    Announce(usize),
    Lapse(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..12_usize).prop_map(Step::Join),
        (0..12_usize).prop_map(Step::Leave),
        (0..12_usize).prop_map(Step::Die),
        (0..20_usize).prop_map(Step::Announce),
        (0..20_usize).prop_map(Step::Lapse),
    ]
}

proptest! {
    #[test]
    fn a_host_that_goes_moves_only_what_it_owned(
        data_centres in vec(0..4_usize, 2..30),
        gone in any::<prop::sample::Index>(),
    ) {
        let hosts: Vec<HostInfo> =
            data_centres.iter().enumerate().map(|(number, dc)| host(number, *dc)).collect();
        let gone = gone.index(hosts.len());
        let mut rest = hosts.clone();
        let gone = rest.remove(gone);
        for number in 0..40 {
            let upstream = upstream(number, number % 4);
            let before = owners(&upstream, &hosts);
            let after = owners(&upstream, &rest);
            prop_assert_eq!(before.len(), hosts.len().min(2));
            let kept: Vec<_> = before.iter().filter(|owner| **owner != gone.host).collect();
            prop_assert!(kept.iter().all(|owner| after.contains(owner)));
            if kept.len() == before.len() {
                prop_assert_eq!(before, after);
            }
        }
    }

    #[test]
    fn owners_are_of_the_data_centre_where_it_has_enough(
        data_centres in vec(0..3_usize, 2..30),
    ) {
        let hosts: Vec<HostInfo> =
            data_centres.iter().enumerate().map(|(number, dc)| host(number, *dc)).collect();
        for number in 0..30 {
            let upstream = upstream(number, number % 3);
            let home = hosts.iter().filter(|host| host.data_centre == upstream.data_centre);
            let owners = owners(&upstream, &hosts);
            let at_home = owners.iter().filter(|owner| {
                hosts.iter().any(|host| host.host == **owner && host.data_centre == upstream.data_centre)
            });
            prop_assert_eq!(at_home.count(), home.count().min(2));
        }
    }

    #[test]
    fn tables_updated_step_by_step_match_owners_computed_at_once(steps in vec(step(), 0..80)) {
        let mut tables = FleetTables::default();
        let mut hosts: Vec<HostInfo> = Vec::new();
        for step in steps {
            match step {
                Step::Join(number) | Step::Leave(number) => {
                    let mut info = host(number, number % 3);
                    info.leaving = matches!(step, Step::Leave(_));
                    hosts.retain(|host| host.host != info.host);
                    hosts.push(info.clone());
                    tables.set_host(&info);
                }
                Step::Die(number) => {
                    let name = host(number, 0).host;
                    hosts.retain(|host| host.host != name);
                    tables.remove_host(&name);
                }
                Step::Announce(number) => tables.set_upstream(&upstream(number, number % 4)),
                Step::Lapse(number) => tables.remove_upstream(&upstream(number, 0).upstream),
            }
            for view in tables.upstreams().values() {
                let expected = owners(&view.announcement, &hosts);
                prop_assert_eq!(&view.owners, &expected);
            }
            let listed: usize = tables.services().values().map(|row| row.upstreams.len()).sum();
            prop_assert_eq!(listed, tables.upstreams().len());
        }
    }
}

#[test]
fn placement_is_the_same_in_all_versions() {
    let hosts: Vec<HostInfo> = (0..6).map(|number| host(number, number % 2)).collect();
    let placed: Vec<String> = (0..6)
        .map(|number| {
            let upstream = upstream(number, number % 2);
            let part = placement::traffic_part(&upstream.upstream, &hosts[0]);
            format!(
                "{} {:?} {part}",
                upstream.upstream,
                owners(&upstream, &hosts)
            )
        })
        .collect();
    insta::assert_snapshot!(placed.join("\n"), @r#"
    u0 ["h2", "h4"] 1
    u1 ["h3", "h5"] 3
    u2 ["h0", "h2"] 1
    u3 ["h3", "h5"] 3
    u4 ["h2", "h4"] 4
    u5 ["h5", "h3"] 4
    "#);
}

#[test]
fn owners_are_spread_evenly() {
    let hosts: Vec<HostInfo> = (0..16).map(|number| host(number, 0)).collect();
    let mut counts = std::collections::BTreeMap::<HostId, u32>::new();
    for number in 0..4000 {
        for owner in owners(&upstream(number, 0), &hosts) {
            *counts.entry(owner).or_default() += 1;
        }
    }
    println!("{counts:?}");
    assert_eq!(counts.len(), 16);
    assert!(counts.values().all(|count| (400..600).contains(count)));
}
