//! One instance of a supervised service, as the consensus leader knows it.
//!
//! An instance that stops answering is not thereby known to have ended: it may be cut off from the
//! leader alone, and go on confirming writes of a primary that it reaches. It leaves the account of
//! its service only on evidence that its process has ended.

use std::time::{Duration, Instant};

use model::{Announcement, InstanceStatus, Position, Role, Term};

use crate::authority::{PendingQuery, QueryPurpose};
use crate::upstream_query::{QueryError, QueryReply};

/// Number of successive failed probes on new connections after which an instance counts as silent.
const SILENT_AFTER_FAILED_PROBES: u32 = 2;
/// How long the announcement of another instance at the address of an ended one may take; twice
/// the usual interval between announcements.
pub(crate) const ANNOUNCEMENT_WAIT: Duration = Duration::from_secs(3);
/// How long an address must refuse connections before its instance counts as ended.
///
/// One that has crashed may start again, and a firewall may refuse connections to a running one.
const REFUSED_WAIT: Duration = Duration::from_secs(20);
/// How long a query that got no answer may still be carried out; over twice the longest delay that
/// the platform states.
const LATE_QUERY_TIME: Duration = Duration::from_secs(30);

/// Evidence that an instance's process has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndEvidence {
    /// It has withdrawn its announcement and no longer answers.
    Withdrawn,
    /// Another instance is announced at its address, or answers there.
    AddressReused,
    /// Its address has refused connections for a long time.
    ConnectionsRefused,
}

impl EndEvidence {
    /// Returns the word for the evidence in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Withdrawn => "withdrawn",
            Self::AddressReused => "address-reused",
            Self::ConnectionsRefused => "connections-refused",
        }
    }
}

/// One instance of the service, as the leader knows it.
#[derive(Debug)]
pub(crate) struct MonitoredInstance {
    pub(crate) announcement: Announcement,
    /// Whether its data centre is evacuated.
    pub(crate) evacuated: bool,
    /// Its last status, and when the query for it was sent.
    pub(crate) status: Option<(InstanceStatus, Instant)>,
    /// Term of its fence, or 0 if it isn't fenced.
    pub(crate) fenced_term: Term,
    /// When a promotion last ended all fences; earlier reports of a fence are outdated.
    fences_ended_at: Option<Instant>,
    /// When the queries that end its fence were sent, of those that may still be carried out.
    unanswered_unfences: Vec<Instant>,
    /// When it last answered or refused a query.
    pub(crate) last_reply_at: Option<Instant>,
    /// Number of queries on new connections that have failed in a row.
    pub(crate) failed_probes: u32,
    /// Whether a probe has not been answered yet.
    pub(crate) probe_pending: bool,
    pub(crate) next_probe_at: Instant,
    /// Since when it has no longer been announced.
    lapsed_since: Option<Instant>,
    /// Since when its address has refused all connections.
    refused_since: Option<Instant>,
    /// Its end, if another instance has answered at its address.
    replaced: Option<EndedInstance>,
    /// Whether another instance is announced at its address.
    other_announced: bool,
    /// Whether it has withdrawn its announcement.
    withdrawn: bool,
}

/// What the hosts know of an instance that isn't announced any more, and of its address.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AddressState {
    /// Whether another instance is announced at the address.
    pub(crate) other_announced: bool,
    /// Whether that other instance has started later.
    pub(crate) other_is_newer: bool,
    /// Whether the instance has withdrawn its announcement.
    pub(crate) withdrawn: bool,
}

impl MonitoredInstance {
    /// Returns an instance that has not been probed yet.
    pub(crate) fn new(announcement: Announcement, now: Instant) -> Self {
        Self {
            announcement,
            evacuated: false,
            status: None,
            fenced_term: 0,
            fences_ended_at: None,
            unanswered_unfences: Vec::new(),
            last_reply_at: None,
            failed_probes: 0,
            probe_pending: false,
            next_probe_at: now,
            lapsed_since: None,
            refused_since: None,
            replaced: None,
            other_announced: false,
            withdrawn: false,
        }
    }

    /// Forgets what an earlier leadership of this host has learned by queries.
    pub(crate) fn reset(&mut self, now: Instant) {
        self.probe_pending = false;
        self.failed_probes = 0;
        self.next_probe_at = now;
        self.status = None;
        self.refused_since = None;
    }

    /// Returns whether it last reported to be a replica, and answered the last probe.
    pub(crate) fn is_replica(&self) -> bool {
        self.answers_as(Role::Replica)
    }

    /// Returns whether it last reported this role, and answered the last probe.
    pub(crate) fn answers_as(&self, role: Role) -> bool {
        let reported = self.status.as_ref().map(|(status, _)| status.role);
        reported == Some(role) && self.failed_probes == 0
    }

    /// Returns whether it doesn't answer, so that it can't be fenced.
    pub(crate) fn is_silent(&self) -> bool {
        self.failed_probes >= SILENT_AFTER_FAILED_PROBES
    }

    /// Returns whether it is to be replaced as primary, and not to become one: it drains, or its data
    /// centre is evacuated.
    pub(crate) fn must_be_replaced(&self) -> bool {
        self.announcement.draining || self.evacuated
    }

    /// Records an announcement that is in force.
    pub(crate) fn on_announced(&mut self, announcement: &Announcement, now: Instant) {
        self.lapsed_since = None;
        self.withdrawn = false;
        if self.announcement.incarnation != announcement.incarnation {
            self.refused_since = None;
            self.replaced = None;
        }
        if self.announcement != *announcement {
            self.announcement = announcement.clone();
            self.next_probe_at = now;
        }
    }

    /// Records that no announcement of it is in force.
    pub(crate) fn on_lapsed(&mut self, now: Instant) {
        self.lapsed_since.get_or_insert(now);
    }

    /// Returns whether it is announced at the address of another instance.
    pub(crate) fn has_taken_address_of(&self, other: &Self) -> bool {
        self.lapsed_since.is_none() && self.announcement.addr == other.announcement.addr
    }

    /// Returns whether a view may hold evidence of its end.
    pub(crate) fn may_have_ended(&self) -> bool {
        self.lapsed_since.is_some() || self.replaced.is_some()
    }

    /// Records what is known of its address and of its withdrawal.
    pub(crate) fn on_address_state(&mut self, state: AddressState, now: Instant) {
        self.withdrawn = state.withdrawn && self.lapsed_since.is_some();
        self.other_announced = state.other_announced;
        if state.other_is_newer && self.lapsed_since.is_some() {
            self.replaced.get_or_insert(EndedInstance::new(now));
        }
    }

    /// Records the answer to a query, or its failure.
    pub(crate) fn on_query_reply(
        &mut self,
        now: Instant,
        query: &PendingQuery,
        result: &Result<QueryReply, QueryError>,
        retry_after: Duration,
    ) {
        if query.purpose == QueryPurpose::Unfence {
            self.on_unfence_reply(query.asked_at, result);
        }
        match result {
            Ok(reply) => {
                self.status = Some((reply.status.clone(), query.asked_at));
                if self.fences_ended_at.is_none_or(|at| at <= query.asked_at) {
                    self.fenced_term = reply.paused_term;
                }
                self.replaced = None;
                self.on_answered(now);
            }
            Err(QueryError::Refused) => self.on_answered(now),
            Err(error) => {
                self.failed_probes += u32::from(query.new_connection);
                match error {
                    QueryError::ConnectionRefused => {
                        self.refused_since.get_or_insert(now);
                    }
                    QueryError::OtherUpstream => {
                        self.replaced.get_or_insert(EndedInstance::new(now));
                        self.failed_probes = self.failed_probes.max(SILENT_AFTER_FAILED_PROBES);
                    }
                    _ => self.refused_since = None,
                }
                self.next_probe_at = self.next_probe_at.min(now + retry_after);
            }
        }
    }

    /// Records that a query that ends its fence was sent.
    pub(crate) fn on_unfence_sent(&mut self, now: Instant) {
        self.fenced_term = 0;
        self.unanswered_unfences
            .retain(|sent| now < *sent + LATE_QUERY_TIME);
        self.unanswered_unfences.push(now);
    }

    /// Forgets a query that ends its fence, unless it may still be carried out.
    fn on_unfence_reply(&mut self, asked_at: Instant, result: &Result<QueryReply, QueryError>) {
        let is_settled = !result
            .as_ref()
            .is_err_and(|error| error.may_be_carried_out());
        if is_settled {
            self.unanswered_unfences.retain(|sent| *sent != asked_at);
        }
    }

    /// Returns whether a query that got no answer may still end its fence.
    pub(crate) fn fence_may_end(&self, now: Instant) -> bool {
        let mut unanswered = self.unanswered_unfences.iter();
        unanswered.any(|sent| now < *sent + LATE_QUERY_TIME)
    }

    /// Records that a promotion has ended all fences; a probe shows whether one lasts all the same.
    pub(crate) fn on_promotion(&mut self, now: Instant) {
        self.fenced_term = 0;
        self.fences_ended_at = Some(now);
        self.next_probe_at = now;
    }

    fn on_answered(&mut self, now: Instant) {
        self.last_reply_at = Some(now);
        self.failed_probes = 0;
        self.refused_since = None;
    }

    /// Records the primary's log position, asked for while no replica was fenced.
    pub(crate) fn on_primary_position(&mut self, position: Position, asked_at: Instant) {
        if let Some(ended) = &mut self.replaced {
            ended.on_primary_position(position, asked_at);
        }
    }

    /// Returns its end, found out now unless another instance has taken its address before.
    pub(crate) fn into_ended(self, now: Instant) -> EndedInstance {
        self.replaced.unwrap_or(EndedInstance::new(now))
    }

    /// Returns the evidence that its process has ended, if there is any.
    ///
    /// Another instance that answers at its address may belong to the same service and confirm
    /// writes too, so the announcement of that one is waited for. `has_successor` tells whether a
    /// member of the service has taken the address.
    pub(crate) fn end_evidence(
        &self,
        now: Instant,
        has_successor: impl FnOnce() -> bool,
    ) -> Option<EndEvidence> {
        let lasts = |since: Option<Instant>, wait: Duration| {
            since.is_some_and(|since| now.saturating_duration_since(since) >= wait)
        };
        let replaced_since = self.replaced.as_ref().map(|ended| ended.since);
        if replaced_since.is_some()
            && (self.other_announced || has_successor() || lasts(replaced_since, ANNOUNCEMENT_WAIT))
        {
            return Some(EndEvidence::AddressReused);
        }
        let answers = self.status.is_some() && self.failed_probes == 0;
        if self.withdrawn && !answers {
            return Some(EndEvidence::Withdrawn);
        }
        let refused = self.lapsed_since.is_some() && lasts(self.refused_since, REFUSED_WAIT);
        refused.then_some(EndEvidence::ConnectionsRefused)
    }
}

/// An instance that has ended.
///
/// It may have confirmed writes that no remaining instance has.
#[derive(Debug)]
pub(crate) struct EndedInstance {
    /// When its end was found out.
    pub(crate) since: Instant,
    /// Log position of the primary after the end. An instance that has reached it has every write
    /// that the ended one may have confirmed.
    pub(crate) primary_position_after: Option<Position>,
}

impl EndedInstance {
    fn new(since: Instant) -> Self {
        Self {
            since,
            primary_position_after: None,
        }
    }

    /// Records the primary's log position, unless it was asked for before the end.
    pub(crate) fn on_primary_position(&mut self, position: Position, asked_at: Instant) {
        if self.since < asked_at {
            self.primary_position_after.get_or_insert(position);
        }
    }
}
