//! A simulated instance that keeps the contract for instances on the design page.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use decide::upstream_query::{QueryReply, UpstreamQuery};
use model::{Claim, DataCentreId, HostId, InstanceStatus, Position, Role, Term, UpstreamId};

/// Id of a write in the log; 0 stands for the first entry of a term.
pub(crate) type WriteId = u64;

/// Number of statements that an instance runs at a time.
pub(crate) const SLOTS: u32 = 4;
/// Number of connections that an instance accepts from all hosts.
const CONNECTIONS: u32 = 40;
/// Time that a pull of log entries takes unless a script changes it.
pub(crate) const DEFAULT_LAG: Duration = Duration::from_millis(5);

/// Log entries that a replica has pulled from its primary.
#[derive(Clone)]
pub(crate) struct PulledEntries {
    pub(crate) term: Term,
    /// Index in the log of the first of `entries`.
    pub(crate) start: usize,
    pub(crate) entries: Vec<(Term, WriteId)>,
}

/// One simulated instance.
pub(crate) struct Instance {
    pub(crate) id: UpstreamId,
    pub(crate) data_centre: DataCentreId,
    pub(crate) alive: bool,
    pub(crate) frozen: bool,
    pub(crate) draining: bool,
    pub(crate) leaving: bool,
    /// Whether it refuses new connections because all are in use.
    pub(crate) refuses_connections: bool,
    /// Whether no replica can pull from it.
    pub(crate) detached: bool,
    /// Time that a pull from its primary takes.
    pub(crate) lag: Duration,
    /// The highest promised term. Like the next three fields, it survives a restart.
    pub(crate) promised_term: Term,
    pub(crate) promised_to: Option<HostId>,
    pub(crate) log: Vec<(Term, WriteId)>,
    /// The primary that it pulls from.
    pub(crate) follow: Option<UpstreamId>,
    /// Whether it is the primary of its promised term; a restart resets it.
    pub(crate) primary: bool,
    /// When it last had all entries of its primary.
    pub(crate) caught_up_at: Instant,
    /// Slots and lease ends of the claims that each host may still use.
    claims: BTreeMap<HostId, Vec<(u32, Instant)>>,
}

impl Instance {
    pub(crate) fn new(id: &str, data_centre: &str, now: Instant) -> Self {
        Self {
            id: id.into(),
            data_centre: data_centre.into(),
            alive: true,
            frozen: false,
            draining: false,
            leaving: false,
            refuses_connections: false,
            detached: false,
            lag: DEFAULT_LAG,
            promised_term: 0,
            promised_to: None,
            log: Vec::new(),
            follow: None,
            primary: false,
            caught_up_at: now,
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
            term: self.promised_term,
            position: self.position(),
            lag: match self.primary {
                true => Duration::ZERO,
                false => now - self.caught_up_at,
            },
        }
    }

    /// Executes a write if it is the primary of its promised term; returns whether it did.
    pub(crate) fn write(&mut self, write: WriteId) -> bool {
        if self.primary {
            self.log.push((self.promised_term, write));
        }
        self.primary
    }

    pub(crate) fn answer(&mut self, now: Instant, query: &UpstreamQuery) -> QueryReply {
        let mut claim = None;
        let granted = match query {
            UpstreamQuery::Status { wait_for } => {
                wait_for.is_none_or(|(at, _)| self.position() >= at)
            }
            UpstreamQuery::Claim { host, lease } => {
                claim = Some(self.grant_claim(now, host, *lease));
                true
            }
            UpstreamQuery::Unclaim { host } => {
                self.claims.remove(host);
                true
            }
            UpstreamQuery::Promise { term, candidate } => self.promise(*term, candidate),
            UpstreamQuery::Promote { term, candidate } => self.promote(*term, candidate),
            UpstreamQuery::Follow { term, primary, .. } => self.follow(*term, primary),
            UpstreamQuery::Pause { .. } | UpstreamQuery::Resume | UpstreamQuery::Demote { .. } => {
                false
            }
        };
        QueryReply {
            paused_term: 0,
            status: self.status(now),
            granted,
            claim,
        }
    }

    fn promise(&mut self, term: Term, candidate: &HostId) -> bool {
        let repeated = term == self.promised_term && self.promised_to.as_ref() == Some(candidate);
        if term > self.promised_term {
            self.promised_term = term;
            self.promised_to = Some(candidate.clone());
            self.primary = false;
            self.follow = None;
            return true;
        }
        repeated
    }

    fn promote(&mut self, term: Term, candidate: &HostId) -> bool {
        let accepted = term == self.promised_term && self.promised_to.as_ref() == Some(candidate);
        if accepted && !self.primary {
            self.primary = true;
            self.follow = None;
            self.log.push((term, 0));
        }
        accepted
    }

    fn follow(&mut self, term: Term, primary: &UpstreamId) -> bool {
        let accepted = term > self.promised_term || (term == self.promised_term && !self.primary);
        if accepted {
            if term > self.promised_term {
                self.promised_to = None;
            }
            self.promised_term = term;
            self.primary = false;
            self.follow = Some(primary.clone());
        }
        accepted
    }

    /// Returns the index from which it pulls the primary's log: after its own last entry once
    /// that entry has the primary's term, else the start.
    pub(crate) fn pull_start(&self) -> usize {
        match self.position().term == self.promised_term {
            true => self.log.len(),
            false => 0,
        }
    }

    /// Appends pulled entries, unless it follows another primary or term by now.
    pub(crate) fn apply_pull(&mut self, now: Instant, from: &UpstreamId, pull: &PulledEntries) {
        if self.follow.as_ref() != Some(from) || self.promised_term != pull.term {
            return;
        }
        let start = self.pull_start();
        if let Some(new) = start.checked_sub(pull.start) {
            self.log.truncate(start);
            self.log.extend(pull.entries.iter().skip(new));
            self.caught_up_at = now;
        }
    }

    pub(crate) fn restart(&mut self, now: Instant) {
        self.alive = true;
        self.primary = false;
        self.caught_up_at = now;
    }

    /// Grants a claim on a fair share of the slots. An earlier, larger claim of a host counts in
    /// full until its lease ends, because the host may not have received the smaller one.
    fn grant_claim(&mut self, now: Instant, host: &HostId, lease: Duration) -> Claim {
        for grants in self.claims.values_mut() {
            grants.retain(|(_, until)| *until > now);
        }
        self.claims
            .retain(|other, grants| !grants.is_empty() || other == host);
        self.claims.entry(host.clone()).or_default();
        let fair_share = SLOTS / self.claims.len() as u32;
        let others = self.claims.iter().filter(|(other, _)| *other != host);
        let largest = |grants: &[(u32, Instant)]| grants.iter().map(|(slots, _)| *slots).max();
        let taken: u32 = others.filter_map(|(_, grants)| largest(grants)).sum();
        let slots = fair_share.min(SLOTS.saturating_sub(taken));
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
