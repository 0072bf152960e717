//! What is known of one instance of a group.

use std::time::{Duration, Instant};

use model::{Announcement, Claim, HostId, InstanceStatus, Position, Term};

use crate::upstream_query::{QueryError, QueryId, QueryReply};

/// Whether an instance answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// It has not been asked yet.
    Unknown,
    /// It answered the last probe.
    Up,
    /// It refuses to answer since this moment, so it is there but perhaps too busy.
    Refusing(Instant),
    /// The open connection failed and a new one failed too.
    Down,
}

/// An instance of a group.
#[derive(Debug)]
pub struct Member {
    /// What it announced.
    pub announcement: Announcement,
    /// Its owners, best first.
    pub owners: Vec<HostId>,
    /// Whether this host is one of them.
    pub owned: bool,
    /// Whether this host is none of them any more, but still uses what it claimed.
    pub releasing: bool,
    /// Whether it answers.
    pub health: Health,
    /// Its last known status.
    pub status: Option<InstanceStatus>,
    /// When that status was asked for.
    pub asked_at: Option<Instant>,
    /// This host's claim on it, and when it ends.
    pub claim: Option<(Claim, Instant)>,
    /// The probe under way.
    pub probe: Option<QueryId>,
    /// When the next probe is due.
    pub probe_at: Instant,
    /// The order to follow that is under way.
    pub follow: Option<QueryId>,
    /// When the next order to follow may be sent.
    pub follow_at: Instant,
    /// Since when its log has stood still behind its primary's.
    pub stuck_since: Option<Instant>,
}

impl Member {
    /// Returns an instance of which nothing is known yet.
    pub fn new(announcement: Announcement, probe_at: Instant) -> Self {
        Self {
            announcement,
            owners: Vec::new(),
            owned: false,
            releasing: false,
            health: Health::Unknown,
            status: None,
            asked_at: None,
            claim: None,
            probe: None,
            probe_at,
            follow: None,
            follow_at: probe_at,
            stuck_since: None,
        }
    }

    /// Returns whether this host keeps its claim on it.
    pub fn keeps_claim(&self) -> bool {
        self.owned || self.releasing
    }

    /// Returns whether it answers.
    pub fn is_up(&self) -> bool {
        self.health == Health::Up
    }

    /// Returns its highest promised term, or 0 where none is known.
    pub fn term(&self) -> Term {
        self.status.as_ref().map_or(0, |status| status.term)
    }

    /// Returns the place that its log was last known to have reached.
    pub fn position(&self) -> Position {
        self.status
            .as_ref()
            .map_or(Position::default(), |status| status.position)
    }

    /// Returns whether it has stood still behind its primary for this long.
    pub fn stalled(&self, now: Instant, patience: Duration) -> bool {
        self.stuck_since
            .is_some_and(|since| now.duration_since(since) >= patience)
    }

    /// Notes an answer, unless a later question has been answered already.
    pub fn told(&mut self, told: &QueryReply, asked_at: Instant) {
        self.health = Health::Up;
        if self.asked_at.is_some_and(|last| last > asked_at) {
            return;
        }
        if told.status.position != self.position() {
            self.stuck_since = None;
        }
        self.asked_at = Some(asked_at);
        self.status = Some(told.status.clone());
    }

    /// Notes that both the open and a new connection have failed.
    pub fn failed(&mut self, now: Instant, error: QueryError, refused_for: Duration) {
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
