//! The relay tree of a data centre: which hosts a host has links to.
//!
//! The hosts of a data centre are ranked by rendezvous hashing. The first two are its heads:
//! they link to each other and to control hosts. In a large data centre the next ones
//! are relays, which link to the heads, and all others link to two relays, so that a
//! relay has `relay_fanout` children; in a small one all others link to the heads.
//! Each host computes the tree for itself, leaving out the hosts that it can't hear; a host
//! that hears no higher-ranked one is a head.

use std::cmp::Reverse;

use model::HostId;

use crate::placement;

/// How many parents a host has on the level above it.
pub const PARENTS_PER_HOST: usize = 2;

/// The ranked hosts of one data centre.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RelayTree {
    /// The hosts from the highest rank down: heads, relays, others.
    ranked: Vec<HostId>,
    /// How many relays the fanout calls for; up to `PARENTS_PER_HOST`, the heads suffice.
    relay_count: usize,
}

impl RelayTree {
    /// Ranks the hosts of a data centre, for relays with `fanout` children each.
    pub fn new(data_centre: &str, hosts: impl IntoIterator<Item = HostId>, fanout: usize) -> Self {
        let mut ranked: Vec<HostId> = hosts.into_iter().collect();
        ranked.sort_by_cached_key(|host| {
            Reverse((placement::rendezvous_score(data_centre, host), host.clone()))
        });
        let relays = (ranked.len() * PARENTS_PER_HOST).div_ceil(fanout.max(1));
        Self {
            ranked,
            relay_count: relays,
        }
    }

    /// Returns the hosts that have links to the control hosts.
    pub fn heads(&self) -> &[HostId] {
        &self.ranked[..self.ranked.len().min(PARENTS_PER_HOST)]
    }

    /// Returns the hosts between the heads and the others; none in a small data centre.
    pub fn relays(&self) -> &[HostId] {
        if self.relay_count <= PARENTS_PER_HOST {
            return &[];
        }
        let end = self.ranked.len().min(PARENTS_PER_HOST + self.relay_count);
        &self.ranked[PARENTS_PER_HOST..end]
    }

    /// Returns whether a host is a head or a relay, and so may have children.
    pub fn may_have_children(&self, host: &HostId) -> bool {
        self.heads().contains(host) || self.relays().contains(host)
    }

    /// Returns the parents of a host within the data centre.
    pub fn parents(&self, host: &HostId) -> Vec<HostId> {
        if self.relays().is_empty() || self.may_have_children(host) {
            let others = self.heads().iter().filter(|head| *head != host);
            return others.cloned().collect();
        }
        best_by_rendezvous(host, self.relays())
    }
}

/// Returns the `PARENTS_PER_HOST` hosts that rank highest for a key by rendezvous hashing.
pub fn best_by_rendezvous<'a>(
    key: &str,
    hosts: impl IntoIterator<Item = &'a HostId>,
) -> Vec<HostId> {
    let mut hosts: Vec<&HostId> = hosts.into_iter().collect();
    hosts.sort_by_cached_key(|host| Reverse(placement::rendezvous_score(key, host)));
    hosts.truncate(PARENTS_PER_HOST);
    hosts.into_iter().cloned().collect()
}
