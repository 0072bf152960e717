//! Confirms commits by quorum: a write is confirmed once a majority of the instances of its
//! service has it in its term.
//!
//! An owner holds back the answer to a write, or to a read of the newest state, until this module
//! confirms it. The instances of a service, a primary and its replicas, are called its group.
//!
//! A majority that reports a write in its term and a majority that promises a later term
//! overlap in an instance, so each later primary has the write ([`crate::group::election`]).
//! At most one query is under way to each replica. It waits for the lowest position that the
//! replica has not confirmed yet: the reply comes as soon as the oldest write is there and
//! carries the end of the log, which confirms newer writes too. Waiting for the highest
//! position would delay the older writes for as long as replication lags.

pub mod group_commits;

use std::time::Instant;

use model::config::CommitRule;
use model::{HashMap, Position, ServiceId, UpstreamId};

use crate::commit::group_commits::{GroupCommits, InFlightQuery, PendingCommit};
use crate::event::ProbeResult;
use crate::upstream_query::{QueryError, QueryId, QueryReply};
use crate::{Cx, Effect, View};

/// The result of waiting for the confirmation of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CommitOutcome {
    /// The caller's number of the write, as given to [`CommitTracker::track`].
    pub ticket: u64,
    /// Whether it may be acknowledged; otherwise its outcome is unknown.
    pub confirmed: bool,
}

/// Tracks the writes of a traffic part that wait for confirmation.
#[derive(Debug, Default)]
pub struct CommitTracker {
    /// The id of the last query to a replica.
    last_query_id: QueryId,
    /// The queries under way, by id.
    queries: HashMap<QueryId, InFlightQuery>,
    /// The unconfirmed writes of each service.
    groups: HashMap<ServiceId, GroupCommits>,
}

impl CommitTracker {
    /// Returns a tracker without writes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Tracks a write until it is confirmed or can't be; its outcome carries `ticket`.
    ///
    /// `position` is the primary's own log position after the write. The caller must have seen in
    /// the same status that the primary's term is the term of that position.
    #[expect(
        clippy::too_many_arguments,
        reason = "each describes the write or where it ran"
    )]
    pub fn track(
        &mut self,
        cx: &mut Cx<'_>,
        view: &View,
        ticket: u64,
        service: &ServiceId,
        rule: CommitRule,
        primary: &UpstreamId,
        position: Position,
        deadline: Instant,
    ) -> Vec<CommitOutcome> {
        let group = self.groups.entry(service.clone()).or_default();
        group.apply_view(view, service);
        group.add(PendingCommit {
            ticket,
            rule,
            primary: primary.clone(),
            position,
            answered_at: cx.now,
            deadline,
        });
        self.resolve_and_query(cx, service)
    }

    /// Handles a replica's reply to a query; returns the writes that it resolves.
    pub fn on_query_reply(
        &mut self,
        cx: &mut Cx<'_>,
        id: QueryId,
        result: Result<QueryReply, QueryError>,
    ) -> Vec<CommitOutcome> {
        let Some(query) = self.queries.remove(&id) else {
            return Vec::new();
        };
        let Some(group) = self.groups.get_mut(&query.service) else {
            return Vec::new();
        };
        group.on_query_reply(cx, id, &query, result);
        self.resolve_and_query(cx, &query.service)
    }

    /// Applies a probe result of the control part; returns the writes that it resolves.
    pub fn on_probed(
        &mut self,
        cx: &mut Cx<'_>,
        view: &View,
        probed: &ProbeResult,
    ) -> Vec<CommitOutcome> {
        let Some(seen) = view.upstreams.get(&probed.upstream) else {
            return Vec::new();
        };
        let service = &seen.announcement.service;
        let group = self.groups.entry(service.clone()).or_default();
        group.apply_view(view, service);
        group.on_probed(probed);
        self.resolve_and_query(cx, service)
    }

    /// Updates instances and primaries from a view; a newer primary ends the wait for writes of
    /// older terms.
    pub fn on_view(&mut self, cx: &mut Cx<'_>, view: &View) -> Vec<CommitOutcome> {
        self.groups
            .retain(|service, group| view.services.contains_key(service) || group.has_pending());
        for (service, group) in &mut self.groups {
            group.apply_view(view, service);
        }
        let services: Vec<ServiceId> = self.groups.keys().cloned().collect();
        services
            .iter()
            .flat_map(|service| self.resolve_and_query(cx, service))
            .collect()
    }

    /// Gives up writes whose deadline has passed, and retries queries that are due.
    pub fn on_tick(&mut self, cx: &mut Cx<'_>) -> Vec<CommitOutcome> {
        let due: Vec<ServiceId> = self
            .groups
            .iter()
            .filter(|(_, group)| group.wake_at().is_some_and(|at| at <= cx.now))
            .map(|(service, _)| service.clone())
            .collect();
        due.iter()
            .flat_map(|service| self.resolve_and_query(cx, service))
            .collect()
    }

    /// Returns when the next deadline passes or the next query is due, if any.
    pub fn wake_at(&self) -> Option<Instant> {
        self.groups.values().filter_map(GroupCommits::wake_at).min()
    }

    /// Returns whether a majority of a service's instances is expected to confirm a write now.
    ///
    /// An instance without a known status counts as able to confirm it.
    pub fn can_confirm(&self, cx: &Cx<'_>, view: &View, service: &ServiceId) -> bool {
        let Some(known) = view.services.get(service) else {
            return false;
        };
        let term = known.primary.as_ref().map_or(0, |(term, _)| *term);
        let majority = usize::from(known.group_size) / 2 + 1;
        let oldest_valid = cx.now.checked_sub(cx.settings.group.known_for);
        let able_instances = known.upstreams.iter().filter(|upstream| {
            let group = self.groups.get(service);
            group.is_none_or(|group| group.can_confirm(upstream, term, oldest_valid))
        });
        able_instances.count() >= majority
    }

    /// Returns the writes of a service that are resolved, and sends the queries that are due for
    /// the others.
    fn resolve_and_query(&mut self, cx: &mut Cx<'_>, service: &ServiceId) -> Vec<CommitOutcome> {
        let Some(group) = self.groups.get_mut(service) else {
            return Vec::new();
        };
        let resolved = group.take_resolved(cx.now);
        for due in group.due_queries(cx.now, &cx.settings.group) {
            self.last_query_id += 1;
            group.record_query_sent(&due.upstream, self.last_query_id);
            let query = InFlightQuery {
                service: service.clone(),
                upstream: due.upstream.clone(),
                asked_at: cx.now,
            };
            self.queries.insert(self.last_query_id, query);
            cx.emit(Effect::QueryUpstream {
                id: self.last_query_id,
                upstream: due.upstream,
                service: service.clone(),
                addr: due.addr,
                query: due.query,
                new_connection: due.use_new_conn,
                alone: false,
                timeout: due.timeout,
            });
        }
        resolved
    }
}
