//! Assigns upstreams to the hosts that own them, by rendezvous hashing.
//!
//! An owner holds the connections to an upstream and runs the requests of all hosts on it. Each host
//! computes the same owners from the same list of hosts, without messages.

use std::cmp::Reverse;

use model::{DataCentreId, FIRST_TRAFFIC_PART, HostId, HostInfo, PartId, WorkspaceId};

/// Number of hosts that own an upstream.
pub const OWNERS_PER_UPSTREAM: usize = 2;

/// A 64-bit hash under construction that is the same in all processes and versions.
#[derive(Clone, Copy, Debug)]
pub struct StableHash(u64);

impl StableHash {
    /// Returns the hash of no input.
    pub fn new() -> Self {
        // The offset basis of FNV-1a.
        Self(0xcbf2_9ce4_8422_2325)
    }

    /// Adds a text and its length, so that adjoining texts can't be confused.
    pub fn add_text(self, text: &str) -> Self {
        // FNV-1a over the bytes.
        let hash = text.bytes().fold(self.0, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        });
        Self(hash ^ 0xff).add_number(text.len() as u64)
    }

    /// Adds a 64-bit number.
    pub fn add_number(self, number: u64) -> Self {
        Self(mix_bits(
            self.0 ^ mix_bits(number.wrapping_add(0x9e37_79b9_7f4a_7c15)),
        ))
    }

    /// Returns the hash of everything added.
    pub fn finish(self) -> u64 {
        mix_bits(self.0)
    }
}

impl Default for StableHash {
    fn default() -> Self {
        Self::new()
    }
}

/// Spreads each bit over the whole number, by the finalizer of SplitMix64.
fn mix_bits(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}

/// Returns a host's rendezvous score for a key; the hosts with the highest scores are chosen.
pub fn rendezvous_score(key: &str, host: &str) -> u64 {
    StableHash::new().add_text(key).add_text(host).finish()
}

/// Returns whether a host may own upstreams: it serves callers and is not leaving.
pub fn can_own(host: &HostInfo) -> bool {
    host.is_entry_host && !host.leaving
}

/// Returns the hosts that own an upstream, the highest score first.
///
/// Hosts of other data centres come last, where the upstream's own has too few.
pub fn owners<'a>(
    upstream: &str,
    data_centre: &DataCentreId,
    hosts: impl IntoIterator<Item = &'a HostInfo>,
) -> Vec<HostId> {
    let mut best: Vec<(Reverse<(bool, u64)>, &HostId)> =
        Vec::with_capacity(OWNERS_PER_UPSTREAM + 1);
    for host in hosts.into_iter().filter(|host| can_own(host)) {
        let same_data_centre = host.data_centre == *data_centre;
        best.push((
            Reverse((same_data_centre, rendezvous_score(upstream, &host.host))),
            &host.host,
        ));
        best.sort();
        best.truncate(OWNERS_PER_UPSTREAM);
    }
    best.into_iter().map(|(_, host)| host.clone()).collect()
}

/// Returns the owner that a workspace's requests for an upstream go to.
///
/// A pooled connection serves one workspace, so that two owners for it would need two connections.
pub fn preferred_owner<'a>(
    upstream: &str,
    workspace: &WorkspaceId,
    owners: impl IntoIterator<Item = &'a HostId>,
) -> Option<&'a HostId> {
    let key = StableHash::new().add_text(upstream).add_text(workspace);
    let owners = owners.into_iter();
    owners.max_by_key(|owner| (key.add_text(owner).finish(), *owner))
}

/// Returns the traffic part of an owner that holds an upstream's connections.
///
/// A part is the state of one thread of a host: the control part, or one of the traffic parts.
pub fn traffic_part(upstream: &str, host: &HostInfo) -> PartId {
    let parts = u64::from(host.traffic_parts.max(1));
    let part = StableHash::new().add_text(upstream).finish() % parts;
    FIRST_TRAFFIC_PART + part as PartId
}
