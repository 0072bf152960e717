//! Places upstreams on hosts by rendezvous hashing.

use std::cmp::Reverse;

use model::{DataCentreId, FIRST_TRAFFIC_PART, HostId, HostInfo, PartId};

/// How many hosts own an upstream.
pub const OWNERS: usize = 2;

/// A hash that is the same in all processes and versions.
#[derive(Clone, Copy, Debug)]
pub struct Hash(u64);

impl Hash {
    /// Returns a hash of nothing.
    pub fn new() -> Self {
        Self(0xcbf2_9ce4_8422_2325)
    }

    /// Adds a text.
    pub fn text(self, text: &str) -> Self {
        let hash = text.bytes().fold(self.0, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        });
        Self(hash ^ 0xff).number(text.len() as u64)
    }

    /// Adds a number.
    pub fn number(self, number: u64) -> Self {
        Self(mix(self.0 ^ mix(number.wrapping_add(0x9e37_79b9_7f4a_7c15))))
    }

    /// Returns the hash of all that was added.
    pub fn end(self) -> u64 {
        mix(self.0)
    }
}

impl Default for Hash {
    fn default() -> Self {
        Self::new()
    }
}

fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}

/// Returns how well a host suits a key; the highest score wins.
pub fn score(key: &str, host: &str) -> u64 {
    Hash::new().text(key).text(host).end()
}

/// Returns whether a host takes upstreams.
pub fn can_own(host: &HostInfo) -> bool {
    host.is_entry_host && !host.leaving
}

/// Returns the hosts that own an upstream, best first.
///
/// They are of the upstream's data centre, or others where that has too few.
pub fn owners<'a>(
    upstream: &str,
    data_centre: &DataCentreId,
    hosts: impl IntoIterator<Item = &'a HostInfo>,
) -> Vec<HostId> {
    let mut best: Vec<(Reverse<(bool, u64)>, &HostId)> = Vec::with_capacity(OWNERS + 1);
    for host in hosts.into_iter().filter(|host| can_own(host)) {
        let home = host.data_centre == *data_centre;
        best.push((Reverse((home, score(upstream, &host.host))), &host.host));
        best.sort();
        best.truncate(OWNERS);
    }
    best.into_iter().map(|(_, host)| host.clone()).collect()
}

/// Returns the traffic part of an owner that holds an upstream's connections.
pub fn traffic_part(upstream: &str, host: &HostInfo) -> PartId {
    let parts = u64::from(host.traffic_parts.max(1));
    let part = Hash::new().text(upstream).end() % parts;
    FIRST_TRAFFIC_PART + part as PartId
}
