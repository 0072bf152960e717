//! Confirms writes: a write counts once a majority of its group's instances has it in its term.
//!
//! A majority that reports a write in its term and a majority that promises a later term
//! meet in an instance, so each later primary has the write ([`crate::group::elect`]).
//! One question is under way to each replica at most. It waits for the lowest position that
//! is still wanted of it: its answer comes as soon as the oldest write is there and tells how
//! far the log really is, which settles the younger writes too. Waiting for the highest
//! position would hold the older writes back for as long as replication lags.

pub mod group;

use std::time::Instant;

use model::config::CommitRule;
use model::{HashMap, Position, ServiceId, UpstreamId};

use crate::commit::group::{Poll, Ticket, Waiting};
use crate::event::ProbeResult;
use crate::upstream_query::{QueryError, QueryId, QueryReply};
use crate::{Cx, Effect, View};

/// A write whose fate is settled as far as this feature can settle it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Resolved {
    /// The number under which the write waited.
    pub ticket: u64,
    /// Whether it may be acknowledged; otherwise its outcome is unknown.
    pub confirmed: bool,
}

/// The writes of a traffic part that wait for confirmation.
#[derive(Debug, Default)]
pub struct Commits {
    last: QueryId,
    polls: HashMap<QueryId, Poll>,
    groups: HashMap<ServiceId, Waiting>,
}

impl Commits {
    /// Returns the state of a part without writes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Waits until a write is confirmed; `ticket` is given back with the outcome.
    ///
    /// `position` is the primary's own from after the write. The caller must have seen in the
    /// same status that the primary's term is the term of that position.
    #[expect(
        clippy::too_many_arguments,
        reason = "each is a plain fact of the write"
    )]
    pub fn wait(
        &mut self,
        cx: &mut Cx<'_>,
        view: &View,
        ticket: u64,
        service: &ServiceId,
        rule: CommitRule,
        primary: &UpstreamId,
        position: Position,
        deadline: Instant,
    ) -> Vec<Resolved> {
        let group = self.groups.entry(service.clone()).or_default();
        group.sync(view, service);
        group.add(Ticket {
            ticket,
            rule,
            primary: primary.clone(),
            position,
            since: cx.now,
            deadline,
        });
        self.advance(cx, service)
    }

    /// Takes a replica's answer.
    pub fn on_query_reply(
        &mut self,
        cx: &mut Cx<'_>,
        id: QueryId,
        result: Result<QueryReply, QueryError>,
    ) -> Vec<Resolved> {
        let Some(poll) = self.polls.remove(&id) else {
            return Vec::new();
        };
        let Some(group) = self.groups.get_mut(&poll.service) else {
            return Vec::new();
        };
        group.answered(cx, id, &poll, result);
        self.advance(cx, &poll.service)
    }

    /// Takes what the control part knows of an instance.
    pub fn on_probed(
        &mut self,
        cx: &mut Cx<'_>,
        view: &View,
        probed: &ProbeResult,
    ) -> Vec<Resolved> {
        let Some(seen) = view.upstreams.get(&probed.upstream) else {
            return Vec::new();
        };
        let service = &seen.announcement.service;
        let group = self.groups.entry(service.clone()).or_default();
        group.sync(view, service);
        group.probed(probed);
        self.advance(cx, service)
    }

    /// Takes over a view: its instances, and primaries that end the wait for older ones.
    pub fn on_view(&mut self, cx: &mut Cx<'_>, view: &View) -> Vec<Resolved> {
        self.groups
            .retain(|service, group| view.services.contains_key(service) || group.has_tickets());
        for (service, group) in &mut self.groups {
            group.sync(view, service);
        }
        let services: Vec<ServiceId> = self.groups.keys().cloned().collect();
        services
            .iter()
            .flat_map(|service| self.advance(cx, service))
            .collect()
    }

    /// Gives up writes whose deadline has passed, and repeats questions that are due.
    pub fn on_tick(&mut self, cx: &mut Cx<'_>) -> Vec<Resolved> {
        let due: Vec<ServiceId> = self
            .groups
            .iter()
            .filter(|(_, group)| group.wake_at().is_some_and(|at| at <= cx.now))
            .map(|(service, _)| service.clone())
            .collect();
        due.iter()
            .flat_map(|service| self.advance(cx, service))
            .collect()
    }

    /// Returns when a deadline passes or a question is due, if any.
    pub fn wake_at(&self) -> Option<Instant> {
        self.groups.values().filter_map(Waiting::wake_at).min()
    }

    /// Returns whether a majority of a service's instances could confirm a write now.
    ///
    /// An instance of which nothing has been heard yet counts as able to.
    pub fn can_confirm(&self, cx: &Cx<'_>, view: &View, service: &ServiceId) -> bool {
        let Some(known) = view.services.get(service) else {
            return false;
        };
        let term = known.primary.as_ref().map_or(0, |(term, _)| *term);
        let majority = usize::from(known.group_size) / 2 + 1;
        let oldest = cx.now.checked_sub(cx.settings.group.known_for);
        let able = known.upstreams.iter().filter(|upstream| {
            let group = self.groups.get(service);
            group.is_none_or(|group| group.is_able(upstream, term, oldest))
        });
        able.count() >= majority
    }

    /// Settles what can be settled, and asks for what is still missing.
    fn advance(&mut self, cx: &mut Cx<'_>, service: &ServiceId) -> Vec<Resolved> {
        let Some(group) = self.groups.get_mut(service) else {
            return Vec::new();
        };
        let resolved = group.settle(cx.now);
        for request in group.due(cx.now, &cx.settings.group) {
            self.last += 1;
            group.sent(&request.upstream, self.last);
            let poll = Poll {
                service: service.clone(),
                upstream: request.upstream.clone(),
                asked_at: cx.now,
            };
            self.polls.insert(self.last, poll);
            cx.emit(Effect::QueryUpstream {
                id: self.last,
                upstream: request.upstream,
                service: service.clone(),
                addr: request.addr,
                query: request.ask,
                new_connection: request.fresh,
                timeout: request.timeout,
            });
        }
        resolved
    }
}
