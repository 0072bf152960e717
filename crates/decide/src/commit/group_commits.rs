//! The unconfirmed writes of one group (the primary and the replicas of a service), and the log
//! positions that its instances have reported.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use model::config::CommitRule;
use model::{InstanceStatus, Position, Role, ServiceId, Term, UpstreamId};

use crate::commit::CommitOutcome;
use crate::event::ProbeResult;
use crate::group::settings::GroupSettings;
use crate::upstream_query::{QueryError, QueryId, QueryReply, UpstreamQuery};
use crate::{Cx, View};

/// A write that waits for confirmation.
#[derive(Clone, Debug)]
pub struct PendingCommit {
    /// The caller's id for it, returned in the outcome.
    pub ticket: u64,
    /// Which reports of replicas confirm it.
    pub rule: CommitRule,
    /// The primary that it ran on.
    pub primary: UpstreamId,
    /// The primary's log position after it.
    pub position: Position,
    /// When the primary's answer arrived.
    pub answered_at: Instant,
    /// When it is given up.
    pub deadline: Instant,
}

/// A status query that has been sent to a replica and not answered yet.
#[derive(Clone, Debug)]
pub struct InFlightQuery {
    /// The replica's service.
    pub service: ServiceId,
    /// The replica that was queried.
    pub upstream: UpstreamId,
    /// When it was sent.
    pub asked_at: Instant,
}

/// A status query to send to a replica.
#[derive(Clone, Debug)]
pub struct DueQuery {
    /// The replica to query.
    pub upstream: UpstreamId,
    /// The replica's address.
    pub addr: SocketAddr,
    /// The query.
    pub query: UpstreamQuery,
    /// Whether to send it on a new connection instead of an open one.
    pub use_new_conn: bool,
    /// How long the reply may take.
    pub timeout: Duration,
}

/// An instance's last status and the query under way to it.
#[derive(Debug)]
struct InstanceState {
    addr: SocketAddr,
    /// The last status, and when it was asked for.
    last_status: Option<(InstanceStatus, Instant)>,
    /// When a probe found it silent, if it has not answered since.
    silent_since: Option<Instant>,
    /// The id of the query under way.
    query_in_flight: Option<QueryId>,
    /// The earliest time of the next query, after one that failed.
    retry_at: Option<Instant>,
    /// Whether the next query opens a new connection.
    use_new_conn: bool,
}

impl InstanceState {
    fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            last_status: None,
            silent_since: None,
            query_in_flight: None,
            retry_at: None,
            use_new_conn: false,
        }
    }

    fn record_status(&mut self, status: InstanceStatus, asked_at: Instant) {
        self.silent_since = None;
        if self
            .last_status
            .as_ref()
            .is_none_or(|(_, last)| *last <= asked_at)
        {
            self.last_status = Some((status, asked_at));
        }
    }

    /// Returns whether its last status confirms a write.
    ///
    /// By the rule `Replicated` the instance must have the write. By the others it need only report
    /// the write's term to a query sent after the primary had answered: a majority of such reports
    /// shows that the primary was not replaced before it answered.
    fn confirms(&self, write: &PendingCommit) -> bool {
        self.last_status.as_ref().is_some_and(|(status, asked_at)| {
            let covers_write = match write.rule {
                CommitRule::Replicated => status.position >= write.position,
                CommitRule::Primary | CommitRule::Upstream => *asked_at >= write.answered_at,
            };
            status.term == write.position.term && covers_write
        })
    }

    /// Returns whether it has promised a term after that of a write.
    fn has_newer_term(&self, write: &PendingCommit) -> bool {
        self.last_status
            .as_ref()
            .is_some_and(|(status, _)| status.term > write.position.term)
    }
}

/// The unconfirmed writes of one group and the state of its instances.
#[derive(Debug, Default)]
pub struct GroupCommits {
    /// The number of instances of the group, of which a majority must confirm.
    group_size: usize,
    /// The term of the known primary, or 0.
    primary_term: Term,
    instances: BTreeMap<UpstreamId, InstanceState>,
    /// The unconfirmed writes, in the order of arrival.
    pending: Vec<PendingCommit>,
}

impl GroupCommits {
    /// Updates the instances, their addresses and the primary's term from a view.
    pub fn apply_view(&mut self, view: &View, service: &ServiceId) {
        let Some(known) = view.services.get(service) else {
            return;
        };
        self.group_size = usize::from(known.group_size);
        self.primary_term = known.primary.as_ref().map_or(0, |(term, _)| *term);
        self.instances
            .retain(|upstream, _| known.upstreams.contains(upstream));
        for upstream in &known.upstreams {
            if let Some(seen) = view.upstreams.get(upstream) {
                let addr = seen.announcement.addr;
                let instance = self
                    .instances
                    .entry(upstream.clone())
                    .or_insert_with(|| InstanceState::new(addr));
                instance.addr = addr;
            }
        }
    }

    /// Returns whether any write is unconfirmed.
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Adds an unconfirmed write.
    pub fn add(&mut self, write: PendingCommit) {
        self.pending.push(write);
    }

    /// Handles a replica's reply, or schedules the next query after an error.
    pub fn on_query_reply(
        &mut self,
        cx: &Cx<'_>,
        id: QueryId,
        query: &InFlightQuery,
        result: Result<QueryReply, QueryError>,
    ) {
        let Some(instance) = self.instances.get_mut(&query.upstream) else {
            return;
        };
        if instance.query_in_flight == Some(id) {
            instance.query_in_flight = None;
        }
        match result {
            Ok(reply) => {
                instance.use_new_conn = false;
                instance.retry_at = None;
                instance.record_status(reply.status, query.asked_at);
            }
            Err(error) => {
                // The open connection may be dead while a new one works.
                instance.use_new_conn = !instance.use_new_conn && error != QueryError::Refused;
                let pause = match instance.use_new_conn {
                    true => Duration::ZERO,
                    false => cx.settings.group.commit_retry,
                };
                instance.retry_at = Some(cx.now + pause);
            }
        }
    }

    /// Applies a probe result of the control part, the thread state of this host that probes
    /// upstreams.
    pub fn on_probed(&mut self, probed: &ProbeResult) {
        let Some(instance) = self.instances.get_mut(&probed.upstream) else {
            return;
        };
        match &probed.status {
            Some(status) => instance.record_status(status.clone(), probed.asked_at),
            None => instance.silent_since = Some(probed.asked_at),
        }
    }

    /// Returns whether an instance is expected to confirm a write of a term: it isn't silent, its
    /// status was asked for at `oldest` or later (`None`: at any time), and it has promised no later
    /// term.
    ///
    /// The caller sets `oldest` to now less the setting `known_for`. An instance without a status
    /// counts as able to.
    pub fn can_confirm(&self, upstream: &UpstreamId, term: Term, oldest: Option<Instant>) -> bool {
        let Some(instance) = self.instances.get(upstream) else {
            return true;
        };
        if instance.silent_since.is_some() {
            return false;
        }
        let Some((status, asked_at)) = &instance.last_status else {
            return true;
        };
        status.term <= term && oldest.is_none_or(|oldest| *asked_at >= oldest)
    }

    /// Removes and returns the writes that are confirmed, can no longer be, or have reached their
    /// deadline.
    pub fn take_resolved(&mut self, now: Instant) -> Vec<CommitOutcome> {
        let mut pending = std::mem::take(&mut self.pending);
        let mut resolved = Vec::new();
        pending.retain(|write| {
            let ruled_out = self.cannot_be_confirmed(write);
            let confirmed = !ruled_out && self.is_confirmed(write);
            let done = ruled_out || confirmed || now >= write.deadline;
            if done {
                resolved.push(CommitOutcome {
                    ticket: write.ticket,
                    confirmed,
                });
            }
            !done
        });
        self.pending = pending;
        resolved
    }

    fn majority(&self) -> usize {
        self.group_size / 2 + 1
    }

    /// Returns whether a majority has confirmed a write.
    fn is_confirmed(&self, write: &PendingCommit) -> bool {
        let replicas = self
            .instances
            .iter()
            .filter(|(upstream, instance)| **upstream != write.primary && instance.confirms(write))
            .count();
        // The primary counts as one: its status from after the write gave the write's position.
        1 + replicas >= self.majority()
    }

    /// Returns whether a write can no longer be confirmed.
    ///
    /// A replica in a higher term doesn't rule a write out by itself: the others may still be a
    /// majority, and once that majority of instances reports the write, each later primary has it.
    fn cannot_be_confirmed(&self, write: &PendingCommit) -> bool {
        let has_left_term = |instance: &&InstanceState| instance.has_newer_term(write);
        let primary = self.instances.get(&write.primary);
        let is_primary = |instance: &InstanceState| {
            let status = instance.last_status.as_ref().map(|(status, _)| status);
            status.is_some_and(|status| status.role == Role::Primary)
        };
        self.primary_term > write.position.term
            || primary.is_some_and(|primary| has_left_term(&primary))
            || self
                .instances
                .values()
                .filter(has_left_term)
                .any(is_primary)
            || self.group_size - self.instances.values().filter(has_left_term).count()
                < self.majority()
    }

    /// Returns the queries that are due: one for each replica without a query under way that could
    /// still confirm a write.
    pub fn due_queries(&self, now: Instant, settings: &GroupSettings) -> Vec<DueQuery> {
        self.instances
            .iter()
            .filter(|(_, instance)| instance.query_in_flight.is_none())
            .filter(|(_, instance)| instance.retry_at.is_none_or(|at| at <= now))
            .filter_map(|(upstream, instance)| {
                let write = self.lowest_unconfirmed(upstream, instance)?;
                let wait_for = match write.rule {
                    CommitRule::Replicated => Some((write.position, settings.commit_poll)),
                    CommitRule::Primary | CommitRule::Upstream => None,
                };
                let wait = wait_for.map_or(Duration::ZERO, |(_, wait)| wait);
                Some(DueQuery {
                    upstream: upstream.clone(),
                    addr: instance.addr,
                    query: UpstreamQuery::Status { wait_for },
                    use_new_conn: instance.use_new_conn,
                    timeout: wait + settings.order_timeout,
                })
            })
            .collect()
    }

    /// Returns the write with the lowest position that an instance could still confirm.
    fn lowest_unconfirmed(
        &self,
        upstream: &UpstreamId,
        instance: &InstanceState,
    ) -> Option<&PendingCommit> {
        self.pending
            .iter()
            .filter(|write| write.primary != *upstream)
            .filter(|write| !instance.confirms(write) && !instance.has_newer_term(write))
            .min_by_key(|write| write.position)
    }

    /// Records that a query has been sent.
    pub fn record_query_sent(&mut self, upstream: &UpstreamId, id: QueryId) {
        if let Some(instance) = self.instances.get_mut(upstream) {
            instance.query_in_flight = Some(id);
        }
    }

    /// Returns when the next deadline passes or the next query is due, if any.
    pub fn wake_at(&self) -> Option<Instant> {
        let deadlines = self.pending.iter().map(|write| write.deadline);
        let retries = self
            .instances
            .iter()
            .filter(|(upstream, instance)| {
                instance.query_in_flight.is_none()
                    && self.lowest_unconfirmed(upstream, instance).is_some()
            })
            .filter_map(|(_, instance)| instance.retry_at);
        deadlines.chain(retries).min()
    }
}
