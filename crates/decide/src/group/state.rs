//! State of one group: its instances, its primary, and the attempt to replace the primary.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use model::{HostId, ServiceId, Term, UpstreamId};

use crate::event::Event;
use crate::group::election::ElectionStage;
use crate::group::failure_detection::ReplaceReason;
use crate::group::log_event::GroupLogEvent;
use crate::group::member::GroupMember;
use crate::group::query::{PendingQueries, PendingQuery, QueryPurpose};
use crate::spread::Fact;
use crate::upstream_query::{QueryError, QueryId, QueryReply};
use crate::view::ServiceView;
use crate::{Cx, View};

/// A group of which this host owns at least one instance.
#[derive(Debug)]
pub struct Group {
    /// Service that the instances serve.
    pub service: ServiceId,
    /// Number of instances that belong to the group, announced or not.
    pub size: usize,
    /// The instances that are announced.
    pub members: BTreeMap<UpstreamId, GroupMember>,
    /// The newest known primary and its term.
    pub primary: Option<(Term, UpstreamId)>,
    /// When this host learned of `primary`.
    pub primary_learned_at: Instant,
    /// Why the primary must be replaced, and from when on the reason has lasted long enough.
    pub replace_reason: Option<(ReplaceReason, Instant)>,
    /// Progress of this host's attempt to replace the primary.
    pub stage: ElectionStage,
    /// Earliest time for this host's next attempt.
    pub next_attempt_at: Instant,
    /// Highest term for which this host has asked the instances for promises.
    pub highest_tried_term: Term,
    /// Number of attempts that have failed in a row; sets the backoff.
    pub failed_attempts: u32,
    /// How many times this host has yielded to other candidates since a reason was found.
    pub yield_count: u32,
    /// Number of recent changes of primary, which sets the hold-off, and the time of the last.
    pub recent_changes: (u32, Instant),
}

impl Group {
    /// Creates a group without instances and without a known primary.
    pub fn new(service: ServiceId, now: Instant) -> Self {
        Self {
            service,
            size: 0,
            members: BTreeMap::new(),
            primary: None,
            primary_learned_at: now,
            replace_reason: None,
            stage: ElectionStage::Idle,
            next_attempt_at: now,
            highest_tried_term: 0,
            failed_attempts: 0,
            yield_count: 0,
            recent_changes: (0, now),
        }
    }

    /// Returns the number of instances that form a majority.
    pub fn majority(&self) -> usize {
        self.size / 2 + 1
    }

    /// Returns the term of the newest known primary, or 0 where none is known.
    pub fn primary_term(&self) -> Term {
        self.primary.as_ref().map_or(0, |(term, _)| *term)
    }

    /// Returns the instances that answered the last probe.
    pub fn up_members(&self) -> impl Iterator<Item = (&UpstreamId, &GroupMember)> {
        self.members.iter().filter(|(_, member)| member.is_up())
    }

    /// Returns the owners of the group's instances except this host, sorted by name.
    pub fn other_owners(&self, me: &HostId) -> Vec<HostId> {
        let mut owners: Vec<HostId> = self
            .members
            .values()
            .flat_map(|member| member.owners.iter().cloned())
            .filter(|owner| owner != me)
            .collect();
        owners.sort();
        owners.dedup();
        owners
    }

    /// Updates the group's instances, their owners and the primary from a new view.
    pub fn sync(&mut self, cx: &mut Cx<'_>, view: &View, service_view: &ServiceView) {
        self.size = usize::from(service_view.group_size);
        self.members
            .retain(|upstream, _| service_view.upstreams.contains(upstream));
        for upstream in &service_view.upstreams {
            let Some(upstream_view) = view.upstreams.get(upstream) else {
                continue;
            };
            let member = self
                .members
                .entry(upstream.clone())
                .or_insert_with(|| GroupMember::new(upstream_view.announcement.clone(), cx.now));
            member.announcement = upstream_view.announcement.clone();
            // An evacuated primary is replaced as one that drains.
            member.announcement.draining |= view.is_evacuated(upstream);
            let owned = upstream_view.owners.contains(&cx.me.host);
            // A claim that is in use is given back only after the traffic part has drained it.
            member.releasing = !owned && (member.releasing || member.claim.is_some());
            member.owned = owned;
            member.owners.clone_from(&upstream_view.owners);
        }
        if let Some((term, upstream)) = &service_view.primary {
            self.record_primary(cx, *term, upstream);
        }
    }

    /// Records a primary if its term is higher than the known one's, ends the reason to replace
    /// the last one, and publishes the fact to the other hosts.
    pub fn record_primary(&mut self, cx: &mut Cx<'_>, term: Term, upstream: &UpstreamId) {
        if term == 0 || term <= self.primary_term() {
            return;
        }
        if self.primary.is_some() {
            self.record_primary_change(cx.now, cx.settings.group.change_memory);
        }
        self.primary = Some((term, upstream.clone()));
        self.primary_learned_at = cx.now;
        self.replace_reason = None;
        self.failed_attempts = 0;
        self.yield_count = 0;
        for member in self.members.values_mut() {
            member.stalled_since = None;
            member.pending_follow = None;
            member.next_follow_at = cx.now;
        }
        // The traffic parts send no write until a probe shows them the new role.
        if let Some(member) = self.members.get_mut(upstream).filter(|m| m.owned) {
            member.next_probe_at = cx.now;
        }
        cx.log(GroupLogEvent::Learned {
            service: self.service.clone(),
            term,
            upstream: upstream.clone(),
        });
        cx.raise(Event::FactLearned(Fact::Primary {
            service: self.service.clone(),
            term,
            upstream: upstream.clone(),
        }));
    }

    fn record_primary_change(&mut self, now: Instant, change_memory: Duration) {
        let (count, last) = self.recent_changes;
        let recent = if now.duration_since(last) < change_memory {
            count
        } else {
            0
        };
        self.recent_changes = (recent + 1, now);
    }

    /// Handles an instance's answer: records the status in it, then acts by the query's purpose.
    pub fn on_query_reply(
        &mut self,
        cx: &mut Cx<'_>,
        queries: &mut PendingQueries,
        id: QueryId,
        query: &PendingQuery,
        result: Result<QueryReply, QueryError>,
    ) {
        if let Ok(reply) = &result {
            self.record_status(cx, &query.upstream, reply, query.asked_at);
        }
        match &query.purpose {
            QueryPurpose::Probe => self.on_probe_reply(cx, queries, id, query, result),
            QueryPurpose::PrimaryCheck { asker, term } => {
                self.answer_primary_check(cx, asker, *term, result.is_ok())
            }
            QueryPurpose::Promise(term) => self.on_promise_reply(cx, queries, *term, query, result),
            QueryPurpose::Promote(term) => self.on_promote_reply(cx, queries, *term, query, result),
            QueryPurpose::Follow => self.on_follow_reply(id, query),
            QueryPurpose::Unclaim => {}
        }
    }

    /// Sends due probes and orders to follow, and advances the election.
    pub fn step(&mut self, cx: &mut Cx<'_>, queries: &mut PendingQueries) {
        self.send_due_probes(cx, queries);
        self.send_follow_orders(cx, queries);
        self.advance_election(cx, queries);
    }

    /// Returns when the next probe or election step is due, or `None` if nothing is.
    pub fn wake_at(&self) -> Option<Instant> {
        let probes = self
            .members
            .values()
            .filter(|member| member.pending_probe.is_none())
            .map(|member| member.next_probe_at);
        let attempt_due = self
            .replace_reason
            .filter(|_| self.stage == ElectionStage::Idle)
            .map(|(_, effective_at)| self.next_attempt_at.max(effective_at));
        probes
            .chain(self.stage.next_step_at())
            .chain(attempt_due)
            .min()
    }
}
