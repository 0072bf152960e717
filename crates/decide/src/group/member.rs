//! This host's knowledge of one instance of a group.

use std::time::{Duration, Instant};

use model::{Announcement, Claim, HostId, InstanceStatus, Position, Term};

use crate::upstream_query::{QueryError, QueryId, QueryReply};

/// Whether an instance answers probes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// No probe has been answered or has failed yet.
    Unknown,
    /// The last probe was answered.
    Up,
    /// It has refused probes since this time, so it runs but may be overloaded.
    Refusing(Instant),
    /// A probe failed on the open connection and again on a new one.
    Down,
}

/// One instance of a group, as this host knows it.
#[derive(Debug)]
pub struct GroupMember {
    /// Its newest announcement.
    pub announcement: Announcement,
    /// Hosts that own it, the preferred one first.
    pub owners: Vec<HostId>,
    /// Whether this host is one of `owners`.
    pub owned: bool,
    /// Whether this host is no longer one of `owners` but still uses its claim.
    pub releasing: bool,
    /// Result of the last probes.
    pub health: Health,
    /// Its last known status.
    pub status: Option<InstanceStatus>,
    /// When the query that `status` answers was sent.
    pub status_asked_at: Option<Instant>,
    /// This host's claim on it, and when the claim's lease ends.
    pub claim: Option<(Claim, Instant)>,
    /// The probe that has not been answered yet.
    pub pending_probe: Option<QueryId>,
    /// When the next probe is due.
    pub next_probe_at: Instant,
    /// The order to follow the primary that has not been answered yet.
    pub pending_follow: Option<QueryId>,
    /// When the next order to follow the primary may be sent.
    pub next_follow_at: Instant,
    /// Since when its log position has been below the primary's and has not advanced.
    pub stalled_since: Option<Instant>,
}

impl GroupMember {
    /// Creates an instance that has not been probed yet.
    pub fn new(announcement: Announcement, probe_at: Instant) -> Self {
        Self {
            announcement,
            owners: Vec::new(),
            owned: false,
            releasing: false,
            health: Health::Unknown,
            status: None,
            status_asked_at: None,
            claim: None,
            pending_probe: None,
            next_probe_at: probe_at,
            pending_follow: None,
            next_follow_at: probe_at,
            stalled_since: None,
        }
    }

    /// Returns whether this host renews its claim on the instance by each probe.
    pub fn renews_claim(&self) -> bool {
        self.owned || self.releasing
    }

    /// Returns whether the last probe was answered.
    pub fn is_up(&self) -> bool {
        self.health == Health::Up
    }

    /// Returns the highest term that it has promised, or 0 where none is known.
    pub fn promised_term(&self) -> Term {
        self.status.as_ref().map_or(0, |status| status.term)
    }

    /// Returns its last known log position.
    pub fn position(&self) -> Position {
        self.status
            .as_ref()
            .map_or(Position::default(), |status| status.position)
    }

    /// Returns whether its log has stayed behind the primary's without advancing for at least
    /// `min_duration`.
    pub fn is_stalled(&self, now: Instant, min_duration: Duration) -> bool {
        self.stalled_since
            .is_some_and(|since| now.duration_since(since) >= min_duration)
    }

    /// Records that the instance answers, and its status unless the answer to a later query has
    /// already been recorded.
    pub fn update_status(&mut self, reply: &QueryReply, asked_at: Instant) {
        self.health = Health::Up;
        if self.status_asked_at.is_some_and(|last| last > asked_at) {
            return;
        }
        if reply.status.position != self.position() {
            self.stalled_since = None;
        }
        self.status_asked_at = Some(asked_at);
        self.status = Some(reply.status.clone());
    }

    /// Records that a probe failed on a new connection, after it failed on the open one.
    ///
    /// Refused probes make the instance count as down only after `refused_for`.
    pub fn record_probe_failure(&mut self, now: Instant, error: QueryError, refused_for: Duration) {
        self.health = match (error, self.health) {
            (QueryError::Refused, Health::Refusing(since))
                if now.duration_since(since) >= refused_for =>
            {
                Health::Down
            }
            (QueryError::Refused, Health::Refusing(since)) => Health::Refusing(since),
            (QueryError::Refused, Health::Up | Health::Unknown) => Health::Refusing(now),
            _ => Health::Down,
        };
    }
}
