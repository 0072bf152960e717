//! The traffic parts of all entry hosts, each of which may pass on acknowledgements of commits.
//!
//! All services share one table. It is compared with a view only if the view's hosts have changed,
//! so that the cost of a new view doesn't grow with hosts times services.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use model::{FIRST_TRAFFIC_PART, HostId, HostInfo, Incarnation, PartAddr};

use crate::View;

/// The traffic parts of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct HostParts {
    incarnation: Incarnation,
    traffic_parts: u16,
}

/// The traffic parts of all entry hosts.
#[derive(Debug, Default)]
pub(crate) struct TrafficParts {
    hosts: BTreeMap<HostId, HostParts>,
    /// Until when a host that has gone may hold a lease to pass on acknowledgements: also one that
    /// was shutting down may only be cut off.
    gone_hosts_until: Option<Instant>,
    /// When a host last went or restarted, so that it doesn't tell any more what it has passed on,
    /// or since when this table has been kept.
    last_gone_at: Option<Instant>,
    /// Revision of the hosts in the view that the table was compared with last, if it has one.
    revision: Option<u64>,
}

/// The hosts whose parts have changed between two views.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct PartsChange {
    /// Hosts that have left or restarted, with the number of their parts before.
    pub(crate) gone: Vec<(HostId, u16)>,
    /// Hosts that have joined or restarted.
    pub(crate) come: Vec<HostId>,
}

impl TrafficParts {
    /// Updates the table from a new view, and returns what has changed.
    ///
    /// `lease_time` is how long a host may pass on acknowledgements without word from the leader.
    pub(crate) fn sync(
        &mut self,
        view: &View,
        now: Instant,
        lease_time: Option<Duration>,
    ) -> PartsChange {
        let mut change = PartsChange::default();
        if view.hosts_revision.is_some() && view.hosts_revision == self.revision {
            return change;
        }
        self.revision = view.hosts_revision;
        let mut any_gone = false;
        self.hosts.retain(|host, known| {
            let current = view.hosts.get(host).and_then(parts_of);
            any_gone |= current.is_none();
            let lasts = current == Some(*known);
            if !lasts {
                change.gone.push((host.clone(), known.traffic_parts));
            }
            lasts
        });
        if !change.gone.is_empty() || self.last_gone_at.is_none() {
            self.last_gone_at = Some(now);
        }
        if let Some(time) = lease_time.filter(|_| any_gone) {
            self.gone_hosts_until = Some(now + time);
        }
        for (host, info) in &view.hosts {
            if let Some(parts) = parts_of(info)
                && !self.hosts.contains_key(host)
            {
                self.hosts.insert(host.clone(), parts);
                change.come.push(host.clone());
            }
        }
        change
    }

    /// Returns until when a host that has gone may pass on acknowledgements.
    pub(crate) fn gone_hosts_until(&self) -> Option<Instant> {
        self.gone_hosts_until
    }

    /// Returns when a host last went or restarted; hosts may have done so before the table was kept.
    pub(crate) fn last_gone_at(&self) -> Option<Instant> {
        self.last_gone_at
    }

    /// Returns all parts with the incarnations of their hosts.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (PartAddr, Incarnation)> {
        self.hosts.keys().flat_map(|host| self.of_host(host))
    }

    /// Returns the parts of a host with its incarnation.
    pub(crate) fn of_host(&self, host: &HostId) -> impl Iterator<Item = (PartAddr, Incarnation)> {
        let known = self.hosts.get_key_value(host);
        known.into_iter().flat_map(|(host, known)| {
            let parts = part_addrs(host, known.traffic_parts);
            parts.map(|part| (part, known.incarnation))
        })
    }
}

/// Returns the addresses of a host's traffic parts.
pub(crate) fn part_addrs(host: &HostId, traffic_parts: u16) -> impl Iterator<Item = PartAddr> {
    let parts = FIRST_TRAFFIC_PART..FIRST_TRAFFIC_PART + traffic_parts;
    parts.map(|part| {
        let host = host.clone();
        PartAddr { host, part }
    })
}

fn parts_of(info: &HostInfo) -> Option<HostParts> {
    info.is_entry_host.then_some(HostParts {
        incarnation: info.incarnation,
        traffic_parts: info.traffic_parts,
    })
}
