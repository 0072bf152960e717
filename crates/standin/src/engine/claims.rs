//! Claims: the shares of the instance's slots and connections that are leased to hosts.

use std::sync::Arc;
use std::time::{Duration, Instant};

/// How many hosts may hold a claim at the same time.
pub const MAX_HOLDERS: usize = 2;

/// A number of slots and connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Share {
    /// How many statements may run at the same time.
    pub slots: u32,
    /// How many connections may be open.
    pub connections: u32,
}

impl Share {
    fn fits_in(self, other: Self) -> bool {
        self.slots <= other.slots && self.connections <= other.connections
    }
}

/// One granted share; every one of a host counts until it has expired.
#[derive(Clone, Copy, Debug)]
struct Grant {
    share: Share,
    expires_at: Instant,
}

/// A host with at least one grant that has not expired.
#[derive(Clone, Debug)]
struct Holder {
    host: Arc<str>,
    /// Grants that have not expired, oldest first.
    grants: Vec<Grant>,
}

/// The shares of the instance's capacity that hosts hold, in the order of their first claim.
#[derive(Clone, Debug)]
pub struct Claims {
    /// The slots and connections of the instance.
    total: Share,
    holders: Vec<Holder>,
}

impl Claims {
    /// Creates the claims on a total capacity, none of it granted.
    pub fn new(total: Share) -> Self {
        Self {
            total,
            holders: Vec::new(),
        }
    }

    /// Grants or renews a host's share of the total until the lease ends.
    ///
    /// Returns `None` if [`MAX_HOLDERS`] other hosts hold shares. When a share
    /// shrinks, the earlier grant counts in full until it expires, since the
    /// answer with the smaller share may never reach the host.
    pub fn claim(&mut self, now: Instant, host: &str, lease: Duration) -> Option<Share> {
        self.remove_expired(now);
        let index = match self.holders.iter().position(|held| &*held.host == host) {
            Some(index) => index,
            None if self.holders.len() == MAX_HOLDERS => return None,
            None => {
                self.holders.push(Holder {
                    host: host.into(),
                    grants: Vec::new(),
                });
                self.holders.len() - 1
            }
        };
        let others = self.held_by_others(index);
        let fair = self.even_share(index);
        let share = Share {
            slots: fair.slots.min(self.total.slots - others.slots),
            connections: fair
                .connections
                .min(self.total.connections - others.connections),
        };
        let expires_at = now + lease;
        let grants = &mut self.holders[index].grants;
        grants.retain(|grant| grant.expires_at > expires_at || !grant.share.fits_in(share));
        grants.push(Grant { share, expires_at });
        Some(share)
    }

    /// Removes all grants of a host, which no longer uses them.
    pub fn unclaim(&mut self, now: Instant, host: &str) {
        self.remove_expired(now);
        self.holders.retain(|held| &*held.host != host);
    }

    /// Removes expired grants, and hosts without any left.
    fn remove_expired(&mut self, now: Instant) {
        for holder in &mut self.holders {
            holder.grants.retain(|grant| grant.expires_at > now);
        }
        self.holders.retain(|holder| !holder.grants.is_empty());
    }

    /// Returns the sum of what the other holders may rely on.
    fn held_by_others(&self, index: usize) -> Share {
        self.holders
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != index)
            .map(|(_, holder)| largest_unexpired(holder))
            .fold(Share::default(), add)
    }

    /// Returns a holder's even share of the total; the remainder goes to the earliest holders.
    fn even_share(&self, index: usize) -> Share {
        let holders = self.holders.len() as u32;
        let even = |total: u32| total / holders + u32::from((index as u32) < total % holders);
        Share {
            slots: even(self.total.slots),
            connections: even(self.total.connections),
        }
    }
}

/// Returns the most that a host may rely on: the most slots and the most connections of
/// any of its grants.
fn largest_unexpired(holder: &Holder) -> Share {
    holder
        .grants
        .iter()
        .fold(Share::default(), |most, grant| Share {
            slots: most.slots.max(grant.share.slots),
            connections: most.connections.max(grant.share.connections),
        })
}

fn add(a: Share, b: Share) -> Share {
    Share {
        slots: a.slots + b.slots,
        connections: a.connections + b.connections,
    }
}
