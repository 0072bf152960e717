//! Leases of upstreams' announcements: an announcement lapses unless the upstream renews it.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use model::{Announcement, HashMap, UpstreamId};

/// The leases of the announcements that this host has received as an owner.
#[derive(Debug, Default)]
pub struct AnnouncementLeases {
    leases: HashMap<UpstreamId, AnnouncementLease>,
    /// The `next_action_at` of each lease, in order.
    action_times: BTreeSet<(Instant, UpstreamId)>,
}

#[derive(Debug)]
struct AnnouncementLease {
    announcement: Announcement,
    renewed_at: Instant,
    /// When the last announcement was sent by which the upstream does not drain, as far as known.
    last_ready_at: Option<Instant>,
    next_action_at: Instant,
    /// Whether the other owners have been asked for a later renewal.
    renewal_asked: bool,
}

/// What is known of when an announcement was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendTime {
    /// It has just been sent.
    JustNow,
    /// Another host has had it, or it has waited to be read, for a time that is not known.
    Unknown,
}

/// What an owner must do now about the lease of an upstream's announcement.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaseAction {
    /// Ask the other owners for a renewal after this sequence; the lease ends soon.
    AskRenewal(UpstreamId, u64),
    /// The lease has ended; this was the last announcement.
    Lapsed(Announcement),
}

impl AnnouncementLeases {
    /// Returns the last announcement of an upstream while its lease lasts.
    pub fn get(&self, upstream: &UpstreamId) -> Option<&Announcement> {
        self.leases.get(upstream).map(|lease| &lease.announcement)
    }

    /// Returns the upstreams with a lease.
    pub fn upstreams(&self) -> impl Iterator<Item = &UpstreamId> {
        self.leases.keys()
    }

    /// Returns when the last announcement was sent by which the upstream does not drain, or a time
    /// before that; `None` if it is not known.
    pub fn last_ready_at(&self, upstream: &UpstreamId) -> Option<Instant> {
        self.leases.get(upstream)?.last_ready_at
    }

    /// Returns whether the other owners have been asked for a renewal, and none has come since.
    pub fn is_renewal_asked(&self, upstream: &UpstreamId) -> bool {
        let lease = self.leases.get(upstream);
        lease.is_some_and(|lease| lease.renewal_asked)
    }

    /// Grants or renews a lease; returns false if the announcement is not newer than the last.
    pub fn renew(
        &mut self,
        announcement: &Announcement,
        sent: SendTime,
        now: Instant,
        lease: Duration,
    ) -> bool {
        let known = self.get(&announcement.upstream);
        if known.is_some_and(|known| known.recency() >= announcement.recency()) {
            return false;
        }
        let same_start = known.is_some_and(|known| known.incarnation == announcement.incarnation);
        let last_ready_at = if sent == SendTime::JustNow && !announcement.draining {
            Some(now)
        } else {
            self.last_ready_at(&announcement.upstream)
                .filter(|_| same_start)
        };
        self.end(&announcement.upstream);
        let next_action_at = now + renewal_ask_delay(lease);
        let upstream = announcement.upstream.clone();
        self.action_times.insert((next_action_at, upstream.clone()));
        let lease = AnnouncementLease {
            announcement: announcement.clone(),
            renewed_at: now,
            last_ready_at,
            next_action_at,
            renewal_asked: false,
        };
        self.leases.insert(upstream, lease);
        true
    }

    /// Ends a lease without reporting a lapse.
    pub fn end(&mut self, upstream: &UpstreamId) {
        if let Some(lease) = self.leases.remove(upstream) {
            self.action_times
                .remove(&(lease.next_action_at, upstream.clone()));
        }
    }

    /// Returns when the next action is due.
    pub fn wake_at(&self) -> Option<Instant> {
        self.action_times.first().map(|(at, _)| *at)
    }

    /// Returns the next action that is due; `duration` is the length of a lease.
    pub fn take_due_action(&mut self, now: Instant, duration: Duration) -> Option<LeaseAction> {
        let (at, upstream) = self.action_times.first()?.clone();
        if at > now {
            return None;
        }
        self.action_times.pop_first();
        let lease = self.leases.get_mut(&upstream)?;
        let ends = lease.renewed_at + duration;
        if !lease.renewal_asked && now < ends {
            lease.renewal_asked = true;
            lease.next_action_at = ends;
            let sequence = lease.announcement.sequence;
            self.action_times.insert((ends, upstream.clone()));
            return Some(LeaseAction::AskRenewal(upstream, sequence));
        }
        let lease = self.leases.remove(&upstream)?;
        Some(LeaseAction::Lapsed(lease.announcement))
    }
}

/// Returns how long after a renewal the other owners are asked for a later one.
fn renewal_ask_delay(lease: Duration) -> Duration {
    lease * 3 / 4
}
