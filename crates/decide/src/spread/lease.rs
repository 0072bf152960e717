//! Leases of upstreams' announcements, which their owners hold.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use model::{Announcement, HashMap, UpstreamId};

/// The announcements that this host has heard, and until when they hold.
#[derive(Debug, Default)]
pub struct Leases {
    leases: HashMap<UpstreamId, Lease>,
    ends: BTreeSet<(Instant, UpstreamId)>,
}

#[derive(Debug)]
struct Lease {
    announcement: Announcement,
    renewed: Instant,
    next: Instant,
    asked: bool,
}

/// What is due for a lease.
#[derive(Clone, Debug, PartialEq)]
pub enum Due {
    /// It will end soon unless another owner knows of a renewal.
    Ask(UpstreamId, u64),
    /// It has ended.
    Lapsed(Announcement),
}

impl Leases {
    /// Returns the last announcement of an upstream, if its lease holds.
    pub fn get(&self, upstream: &UpstreamId) -> Option<&Announcement> {
        self.leases.get(upstream).map(|lease| &lease.announcement)
    }

    /// Returns the upstreams with a lease.
    pub fn upstreams(&self) -> impl Iterator<Item = &UpstreamId> {
        self.leases.keys()
    }

    /// Gives or renews a lease, and returns false if the announcement is no newer.
    pub fn renew(&mut self, announcement: &Announcement, now: Instant, lease: Duration) -> bool {
        let known = self.get(&announcement.upstream);
        if known.is_some_and(|known| known.stamp() >= announcement.stamp()) {
            return false;
        }
        self.end(&announcement.upstream);
        let next = now + ask_after(lease);
        let upstream = announcement.upstream.clone();
        self.ends.insert((next, upstream.clone()));
        let lease = Lease {
            announcement: announcement.clone(),
            renewed: now,
            next,
            asked: false,
        };
        self.leases.insert(upstream, lease);
        true
    }

    /// Ends a lease without a word.
    pub fn end(&mut self, upstream: &UpstreamId) {
        if let Some(lease) = self.leases.remove(upstream) {
            self.ends.remove(&(lease.next, upstream.clone()));
        }
    }

    /// Returns the moment at which something is due.
    pub fn wake_at(&self) -> Option<Instant> {
        self.ends.first().map(|(at, _)| *at)
    }

    /// Returns the next thing that is due.
    pub fn due(&mut self, now: Instant, duration: Duration) -> Option<Due> {
        let (at, upstream) = self.ends.first()?.clone();
        if at > now {
            return None;
        }
        self.ends.pop_first();
        let lease = self.leases.get_mut(&upstream)?;
        let ends = lease.renewed + duration;
        if !lease.asked && now < ends {
            lease.asked = true;
            lease.next = ends;
            let sequence = lease.announcement.sequence;
            self.ends.insert((ends, upstream.clone()));
            return Some(Due::Ask(upstream, sequence));
        }
        let lease = self.leases.remove(&upstream)?;
        Some(Due::Lapsed(lease.announcement))
    }
}

/// Returns how long after a renewal the other owner is asked for a later one.
fn ask_after(lease: Duration) -> Duration {
    lease * 3 / 4
}
