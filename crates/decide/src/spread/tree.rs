//! Which hosts a host links to.
//!
//! The hosts of a data centre are ranked by rendezvous. The first two are its heads:
//! they link to each other and to control hosts. In a large data centre the next ones
//! are relays, which link to the heads, and all others link to two relays, so that a
//! relay has `relay_fanout` children; in a small one all others link to the heads.
//! Each host works this out for itself, without the hosts that it can't hear; a host
//! that hears no better one is a head.

use std::cmp::Reverse;

use model::HostId;

use crate::placement;

/// How many parents a host has on each level.
pub const PARENTS: usize = 2;

/// The ranked hosts of one data centre.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tree {
    ranked: Vec<HostId>,
    relays: usize,
}

impl Tree {
    /// Ranks the hosts of a data centre that may be relays.
    pub fn new(data_centre: &str, hosts: impl IntoIterator<Item = HostId>, fanout: usize) -> Self {
        let mut ranked: Vec<HostId> = hosts.into_iter().collect();
        ranked.sort_by_cached_key(|host| {
            Reverse((placement::rendezvous_score(data_centre, host), host.clone()))
        });
        let relays = (ranked.len() * PARENTS).div_ceil(fanout.max(1));
        Self { ranked, relays }
    }

    /// Returns the hosts that link their data centre to the control hosts.
    pub fn heads(&self) -> &[HostId] {
        &self.ranked[..self.ranked.len().min(PARENTS)]
    }

    /// Returns the hosts between the heads and the others, if there are enough.
    pub fn relays(&self) -> &[HostId] {
        if self.relays <= PARENTS {
            return &[];
        }
        let end = self.ranked.len().min(PARENTS + self.relays);
        &self.ranked[PARENTS..end]
    }

    /// Returns whether a host may have children.
    pub fn is_parent(&self, host: &HostId) -> bool {
        self.heads().contains(host) || self.relays().contains(host)
    }

    /// Returns the parents of a host within the data centre.
    pub fn parents(&self, host: &HostId) -> Vec<HostId> {
        if self.relays().is_empty() || self.is_parent(host) {
            let others = self.heads().iter().filter(|head| *head != host);
            return others.cloned().collect();
        }
        best(host, self.relays())
    }
}

/// Returns the best hosts for a key, by rendezvous.
pub fn best<'a>(key: &str, hosts: impl IntoIterator<Item = &'a HostId>) -> Vec<HostId> {
    let mut hosts: Vec<&HostId> = hosts.into_iter().collect();
    hosts.sort_by_cached_key(|host| Reverse(placement::rendezvous_score(key, host)));
    hosts.truncate(PARENTS);
    hosts.into_iter().cloned().collect()
}
