//! A fake instance that keeps the contract of the design page.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use decide::upstream_query::{QueryReply, UpstreamQuery};
use model::{Claim, DataCentreId, HostId, InstanceStatus, Position, Role, Term, UpstreamId};

/// The number of a write; 0 is the first entry of a term.
pub(crate) type WriteId = u64;

/// How many statements an instance runs at a time.
pub(crate) const SLOTS: u32 = 4;
const CONNECTIONS: u32 = 40;
/// How long a pull takes unless a script says otherwise.
pub(crate) const LAG: Duration = Duration::from_millis(5);

/// What a replica has pulled from its primary.
#[derive(Clone)]
pub(crate) struct Pull {
    pub(crate) term: Term,
    pub(crate) start: usize,
    pub(crate) entries: Vec<(Term, WriteId)>,
}

/// One instance.
pub(crate) struct Instance {
    pub(crate) id: UpstreamId,
    pub(crate) data_centre: DataCentreId,
    pub(crate) alive: bool,
    pub(crate) frozen: bool,
    pub(crate) leaving: bool,
    /// Whether it refuses new connections.
    pub(crate) full: bool,
    /// Whether no other instance can pull from it.
    pub(crate) detached: bool,
    /// How long a pull takes.
    pub(crate) lag: Duration,
    /// Durable: the promised term, to whom, the log, and whom to follow.
    pub(crate) promised: Term,
    pub(crate) promised_to: Option<HostId>,
    pub(crate) log: Vec<(Term, WriteId)>,
    pub(crate) follow: Option<UpstreamId>,
    /// Lost by a restart: whether it is the primary of its promised term.
    pub(crate) primary: bool,
    pub(crate) equal_at: Instant,
    /// What each host may still believe that it holds.
    claims: BTreeMap<HostId, Vec<(u32, Instant)>>,
}

impl Instance {
    pub(crate) fn new(id: &str, data_centre: &str, now: Instant) -> Self {
        Self {
            id: id.into(),
            data_centre: data_centre.into(),
            alive: true,
            frozen: false,
            leaving: false,
            full: false,
            detached: false,
            lag: LAG,
            promised: 0,
            promised_to: None,
            log: Vec::new(),
            follow: None,
            primary: false,
            equal_at: now,
            claims: BTreeMap::new(),
        }
    }

    pub(crate) fn position(&self) -> Position {
        let term = self.log.last().map_or(0, |(term, _)| *term);
        Position::new(term, self.log.len() as u64)
    }

    pub(crate) fn status(&self, now: Instant) -> InstanceStatus {
        InstanceStatus {
            role: if self.primary {
                Role::Primary
            } else {
                Role::Replica
            },
            term: self.promised,
            position: self.position(),
            lag: match self.primary {
                true => Duration::ZERO,
                false => now - self.equal_at,
            },
        }
    }

    /// Runs a write, unless it isn't the primary of its promised term.
    pub(crate) fn write(&mut self, write: WriteId) -> bool {
        if self.primary {
            self.log.push((self.promised, write));
        }
        self.primary
    }

    pub(crate) fn answer(&mut self, now: Instant, ask: &UpstreamQuery) -> QueryReply {
        let mut claim = None;
        let granted = match ask {
            UpstreamQuery::Status { wait_for } => {
                wait_for.is_none_or(|(at, _)| self.position() >= at)
            }
            UpstreamQuery::Claim { host, lease } => {
                claim = Some(self.claim(now, host, *lease));
                true
            }
            UpstreamQuery::Unclaim { host } => {
                self.claims.remove(host);
                true
            }
            UpstreamQuery::Promise { term, candidate } => self.promise(*term, candidate),
            UpstreamQuery::Promote { term, candidate } => self.promote(*term, candidate),
            UpstreamQuery::Follow { term, primary, .. } => self.follow(*term, primary),
            UpstreamQuery::Pause { .. } | UpstreamQuery::Resume => false,
        };
        QueryReply {
            paused_term: 0,
            status: self.status(now),
            granted,
            claim,
        }
    }

    fn promise(&mut self, term: Term, candidate: &HostId) -> bool {
        let again = term == self.promised && self.promised_to.as_ref() == Some(candidate);
        if term > self.promised {
            self.promised = term;
            self.promised_to = Some(candidate.clone());
            self.primary = false;
            self.follow = None;
            return true;
        }
        again
    }

    fn promote(&mut self, term: Term, candidate: &HostId) -> bool {
        let may = term == self.promised && self.promised_to.as_ref() == Some(candidate);
        if may && !self.primary {
            self.primary = true;
            self.follow = None;
            self.log.push((term, 0));
        }
        may
    }

    fn follow(&mut self, term: Term, primary: &UpstreamId) -> bool {
        let may = term > self.promised || (term == self.promised && !self.primary);
        if may {
            if term > self.promised {
                self.promised_to = None;
            }
            self.promised = term;
            self.primary = false;
            self.follow = Some(primary.clone());
        }
        may
    }

    /// Returns where the log that it pulls starts: after its own, once that is the primary's.
    pub(crate) fn pulls_from(&self) -> usize {
        match self.position().term == self.promised {
            true => self.log.len(),
            false => 0,
        }
    }

    /// Takes over the log of the primary that it follows, from a place on.
    pub(crate) fn pulled(&mut self, now: Instant, from: &UpstreamId, pull: &Pull) {
        if self.follow.as_ref() != Some(from) || self.promised != pull.term {
            return;
        }
        let start = self.pulls_from();
        if let Some(new) = start.checked_sub(pull.start) {
            self.log.truncate(start);
            self.log.extend(pull.entries.iter().skip(new));
            self.equal_at = now;
        }
    }

    pub(crate) fn restart(&mut self, now: Instant) {
        self.alive = true;
        self.primary = false;
        self.equal_at = now;
    }

    /// Grants a share; one that shrinks counts in full until its earlier lease has run out,
    /// since the host may not have heard of it.
    fn claim(&mut self, now: Instant, host: &HostId, lease: Duration) -> Claim {
        for grants in self.claims.values_mut() {
            grants.retain(|(_, until)| *until > now);
        }
        self.claims
            .retain(|other, grants| !grants.is_empty() || other == host);
        self.claims.entry(host.clone()).or_default();
        let fair = SLOTS / self.claims.len() as u32;
        let others = self.claims.iter().filter(|(other, _)| *other != host);
        let held = |grants: &[(u32, Instant)]| grants.iter().map(|(slots, _)| *slots).max();
        let taken: u32 = others.filter_map(|(_, grants)| held(grants)).sum();
        let slots = fair.min(SLOTS.saturating_sub(taken));
        let grants = self.claims.entry(host.clone()).or_default();
        grants.push((slots, now + lease));
        Claim {
            host: host.clone(),
            slots,
            connections: CONNECTIONS * slots / SLOTS,
            lease,
        }
    }
}
