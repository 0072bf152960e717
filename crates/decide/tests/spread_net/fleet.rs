//! Changes that tests make to a fleet, and checks of the hosts' views.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use decide::spread::Fact;
use model::{Announcement, Config, HostId, HostInfo, PartId, UpstreamId};
use rand::seq::IndexedRandom;

use super::{Net, Traffic, host_name};

impl Net {
    /// Commits and confirms a configuration on the voters of the quorum.
    pub(crate) fn commit(&mut self, config: Config) {
        self.config = Arc::new(config);
        for host in self.quorum.clone() {
            let config = self.config.clone();
            self.stored_configs.insert(host.clone(), config.clone());
            self.with_spread(&host, |spread, cx| spread.on_config_committed(cx, config));
        }
        self.confirm();
    }

    /// Commits the next version, with one workspace changed.
    pub(crate) fn commit_next(&mut self) {
        let mut config = Config::clone(&self.config);
        config.version += 1;
        let version = config.version;
        let workspace = model::config::Workspace {
            rate: version as u32,
            burst: 10,
            services: vec!["s".into()],
            keys: BTreeMap::new(),
        };
        let name = format!("w{}", version % 50);
        config.workspaces.insert(name.into(), workspace);
        self.commit(config);
    }

    /// Gives an announcement to a host, as the platform does.
    pub(crate) fn announce_at(&mut self, host: &HostId, announcement: &Announcement) {
        let announcement = announcement.clone();
        self.with_spread(host, |spread, cx| spread.announce(cx, announcement));
    }

    /// Gives a host the platform's report that an upstream is gone.
    pub(crate) fn withdraw_at(&mut self, host: &HostId, upstream: &UpstreamId) {
        self.with_spread(host, |spread, cx| spread.withdraw(cx, upstream));
    }

    /// Publishes a fact that a host has learned.
    pub(crate) fn publish_fact(&mut self, host: &HostId, fact: Fact) {
        self.with_spread(host, |spread, cx| spread.publish_fact(cx, fact));
    }

    /// Returns the totals sent since `sent_by_host` was cleared.
    pub(crate) fn traffic(&self) -> Traffic {
        let counts = self.sent_by_host.values();
        Traffic {
            messages: counts.clone().map(|count| count.0).sum(),
            bytes: counts.clone().map(|count| count.1).sum(),
            most_bytes_of_a_host: counts.map(|count| count.1).max().unwrap_or(0),
        }
    }

    /// Returns the last usable version that was in force on a host since its start.
    pub(crate) fn in_force(&self, host: &HostId) -> Option<u64> {
        self.nodes[host].versions_in_force.last().copied()
    }

    /// Returns the names of the live hosts in a host's view.
    pub(crate) fn hosts_in_view(&self, host: &HostId) -> BTreeSet<HostId> {
        let tables = self.nodes[host].spread.tables();
        tables.hosts().keys().cloned().collect()
    }

    /// Returns whether the view of each of `hosts` has exactly the hosts `expected`.
    pub(crate) fn all_views_have(&self, hosts: &[HostId], expected: &[HostId]) -> bool {
        let expected: BTreeSet<HostId> = expected.iter().cloned().collect();
        hosts
            .iter()
            .all(|host| self.hosts_in_view(host) == expected)
    }

    /// Returns whether an upstream is in all views of `hosts` (`has`), or in none (not `has`).
    pub(crate) fn all_have_upstream(&self, hosts: &[HostId], upstream: &str, has: bool) -> bool {
        hosts.iter().all(|host| {
            let tables = self.nodes[host].spread.tables();
            tables.upstreams().contains_key(upstream) == has
        })
    }

    /// Returns whether a version is in force and usable on each of `hosts`.
    pub(crate) fn all_in_force(&self, hosts: &[HostId], version: u64) -> bool {
        hosts.iter().all(|host| {
            let view = self.view(host);
            view.config_usable && view.config.version == version
        })
    }

    /// Announces an upstream now and renews it from now on.
    pub(crate) fn add_upstream(&mut self, announcement: Announcement) {
        let upstream = announcement.upstream.clone();
        self.announced_upstreams
            .insert(upstream.clone(), announcement);
        self.renew_upstream(&upstream);
    }

    /// Renews all announcements, each at a random host of the upstream's data centre.
    pub(super) fn renew_all(&mut self) {
        let upstreams: Vec<UpstreamId> = self.announced_upstreams.keys().cloned().collect();
        for upstream in upstreams {
            self.renew_upstream(&upstream);
        }
    }

    fn renew_upstream(&mut self, upstream: &UpstreamId) {
        let announcement = self
            .announced_upstreams
            .get_mut(upstream)
            .expect("announced");
        announcement.sequence += 1;
        let announcement = announcement.clone();
        let home = self.hosts_in(&announcement.data_centre);
        if let Some(host) = home.choose(&mut self.rng).cloned() {
            self.announce_at(&host, &announcement);
        }
    }

    /// Blocks all messages between a host and the others, both ways.
    pub(crate) fn isolate(&mut self, host: &HostId) {
        for other in self.nodes.keys().filter(|other| *other != host) {
            self.blocked_pairs.insert((host.clone(), other.clone()));
        }
    }

    /// Returns the running hosts of a data centre.
    pub(crate) fn hosts_in(&self, data_centre: &str) -> Vec<HostId> {
        let running = self.nodes.values().filter(|node| node.running);
        let home = running.filter(|node| &*node.info.data_centre == data_centre);
        home.map(|node| node.info.host.clone()).collect()
    }

    /// Returns the running hosts of all other data centres.
    pub(crate) fn hosts_outside(&self, data_centre: &str) -> Vec<HostId> {
        let home = self.hosts_in(data_centre);
        let all = self.hosts().into_iter();
        all.filter(|host| !home.contains(host)).collect()
    }

    /// Returns whether all of `hosts` have the same hosts, upstreams and owners in their tables.
    pub(crate) fn views_agree(&self, hosts: &[HostId]) -> bool {
        let first = self.nodes[&hosts[0]].spread.tables();
        hosts.iter().all(|host| {
            let tables = self.nodes[host].spread.tables();
            tables.hosts() == first.hosts()
                && owners_by_upstream(tables) == owners_by_upstream(first)
        })
    }
}

fn owners_by_upstream(tables: &decide::spread::tables::FleetTables) -> BTreeMap<&str, &[HostId]> {
    let upstreams = tables.upstreams().iter();
    upstreams
        .map(|(name, view)| (&**name, &view.owners[..]))
        .collect()
}

/// Returns the announcement of an upstream of the service `s`.
pub(crate) fn announcement(name: &str, data_centre: usize, sequence: u64) -> Announcement {
    Announcement {
        upstream: name.into(),
        service: "s".into(),
        addr: ([10, 100, data_centre as u8, 1], 5432).into(),
        data_centre: format!("dc{data_centre}").into(),
        group_size: 3,
        slots: 3,
        connections: 50,
        sequence,
        incarnation: 0,
        role: None,
        warming: false,
        draining: false,
        leaving: false,
    }
}

/// Returns the attributes of a host; the first ones of three data centres are control hosts.
pub(super) fn host_info(number: usize, data_centres: usize) -> HostInfo {
    let data_centre = number % data_centres;
    let index = number / data_centres;
    let parts: PartId = 2;
    HostInfo {
        host: host_name(data_centre, index),
        data_centre: format!("dc{data_centre}").into(),
        peer_addr: (
            [10, data_centre as u8, (index >> 8) as u8, index as u8],
            7000,
        )
            .into(),
        incarnation: 1_700_000_000_000,
        traffic_parts: parts,
        is_entry_host: true,
        is_control_host: index == 0 && data_centre < 3,
        leaving: false,
    }
}
