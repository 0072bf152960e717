//! State of one service whose primary the consensus leader supervises: its instances and the
//! attempt to replace the primary.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use model::{Position, Role, ServiceId, Term, UpstreamId};

use crate::authority::ack_stop::AckStops;
use crate::authority::instance::{
    ANNOUNCEMENT_WAIT, AddressState, EndedInstance, MonitoredInstance,
};
use crate::authority::order_doubt::{LATE_ORDER_TIME, LoggedOrders, OrderDoubt};
use crate::authority::{AuthorityLogEvent, Outbox, PendingQuery, QueryPurpose};
use crate::event::Event;
use crate::raft::LogIndex;
use crate::spread::Fact;
use crate::upstream_query::{QueryError, QueryReply, UpstreamQuery};
use crate::view::ServiceView;
use crate::{Cx, View};

/// Interval between probes of an instance that has failed to answer or is being promoted.
pub(crate) const FAST_PROBE_INTERVAL: Duration = Duration::from_millis(60);
/// Pause after a failed attempt or a change of leader before the next attempt.
pub(crate) const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Progress of the attempt to replace the primary.
#[derive(Debug)]
pub(crate) enum FailoverStage {
    /// No attempt is in progress.
    Idle {
        /// Earliest time for the next attempt.
        next_attempt_at: Instant,
    },
    /// Waits until all replicas have stopped receiving from the primary.
    Fencing {
        /// Term that the replicas are fenced with.
        term: Term,
        /// Whether the present primary is kept: a new order for it makes earlier ones void.
        keep_primary: bool,
        deadline: Instant,
        /// Replicas that are fenced, each with its log position and incarnation.
        fenced: BTreeMap<UpstreamId, (Position, u64)>,
        /// When the fence requests are next sent.
        next_request_at: Instant,
    },
    /// Waits until the order is committed and so has a number.
    AwaitingNumber {
        upstream: UpstreamId,
        fenced: BTreeMap<UpstreamId, (Position, u64)>,
        deadline: Instant,
    },
    /// Waits for the platform's answer to the order.
    AwaitingAnswer {
        number: LogIndex,
        upstream: UpstreamId,
        /// Whether no other order could still be carried out when this one was sent.
        is_only_order: bool,
        deadline: Instant,
    },
    /// The platform has accepted the order; waits until the instance reports that it is primary.
    ConfirmingPrimary {
        upstream: UpstreamId,
        deadline: Instant,
    },
}

/// One service whose primary the consensus leader supervises.
#[derive(Debug)]
pub(crate) struct MonitoredService {
    pub(crate) name: ServiceId,
    pub(crate) members: BTreeMap<UpstreamId, MonitoredInstance>,
    /// Former members that have ended and may have writes which no member has.
    pub(crate) ended_replicas: BTreeMap<UpstreamId, EndedInstance>,
    /// The newest known primary and its term.
    pub(crate) primary: Option<(Term, UpstreamId)>,
    pub(crate) stage: FailoverStage,
    /// Since when no instance has been known to be primary.
    pub(crate) no_primary_since: Option<Instant>,
    /// The orders that may still be carried out.
    pub(crate) doubt: OrderDoubt,
    /// The last orders that the log shows; `None` if there was none lately.
    pub(crate) logged_orders: Option<LoggedOrders>,
    /// Whether a later order has made all orders of earlier leaders void.
    pub(crate) earlier_orders_void: bool,
    /// Time by which all its instances should be announced; no attempt starts before.
    pub(crate) all_announced_by: Instant,
    /// Whether this host has tried to fence replicas since it became leader.
    pub(crate) fenced_by_this_leader: bool,
    /// Highest term that replicas were asked to be fenced with.
    pub(crate) fence_term: Term,
    /// Number of the current or last attempt; answers to requests of other attempts don't count.
    pub(crate) attempt_number: u64,
    /// Whether this leader has demoted the known primary since that last reported to lead.
    pub(crate) has_demoted_primary: bool,
    /// The instances that were ordered to lead since a primary was last confirmed.
    pub(crate) ordered_to_lead: BTreeSet<UpstreamId>,
    /// The instance that keeps the primary from being replaced, if that has been logged.
    pub(crate) held_up_by: Option<UpstreamId>,
    /// The hosts that were asked to pass on no acknowledgements.
    pub(crate) ack_stops: AckStops,
    /// Number of the attempt whose account of the instances was logged last.
    pub(crate) accounted_attempt: u64,
}

impl MonitoredService {
    /// Creates a service without known instances.
    pub(crate) fn new(name: ServiceId, now: Instant) -> Self {
        Self {
            name,
            members: BTreeMap::new(),
            ended_replicas: BTreeMap::new(),
            primary: None,
            stage: FailoverStage::Idle {
                next_attempt_at: now,
            },
            no_primary_since: None,
            doubt: OrderDoubt::default(),
            logged_orders: None,
            earlier_orders_void: false,
            all_announced_by: now + ANNOUNCEMENT_WAIT,
            fenced_by_this_leader: false,
            fence_term: 0,
            attempt_number: 0,
            has_demoted_primary: false,
            ordered_to_lead: BTreeSet::new(),
            held_up_by: None,
            ack_stops: AckStops::default(),
            accounted_attempt: 0,
        }
    }

    /// Abandons the attempt and forgets the instances' status, after a change of leader.
    pub(crate) fn reset(&mut self, now: Instant) {
        self.stage = FailoverStage::Idle {
            next_attempt_at: now + RETRY_PAUSE,
        };
        self.no_primary_since = None;
        self.doubt.clear();
        self.earlier_orders_void = false;
        self.fenced_by_this_leader = false;
        self.has_demoted_primary = false;
        self.ordered_to_lead.clear();
        self.held_up_by = None;
        self.ack_stops.reset();
        for member in self.members.values_mut() {
            member.reset(now);
        }
    }

    /// Updates the instances and the primary from a new view.
    pub(crate) fn sync(
        &mut self,
        cx: &mut Cx<'_>,
        view: &View,
        service_view: &ServiceView,
        has_withdrawn: &impl Fn(&UpstreamId) -> bool,
    ) {
        let now = cx.now;
        for id in &service_view.upstreams {
            let Some(upstream_view) = view.upstreams.get(id) else {
                continue;
            };
            let announcement = &upstream_view.announcement;
            self.ended_replicas.remove(id);
            let known = self
                .members
                .get(id)
                .map(|known| known.announcement.incarnation);
            if known != Some(announcement.incarnation) {
                let change = known.map_or("joined", |_| "restarted");
                self.log_change_of_members(cx, id, change);
            }
            let new = || MonitoredInstance::new(announcement.clone(), now);
            let member = self.members.entry(id.clone()).or_insert_with(new);
            member.on_announced(announcement, now);
        }
        self.sync_unannounced(cx, view, has_withdrawn);
        if let Some((term, id)) = &service_view.primary
            && *term > self.primary_term()
        {
            self.primary = Some((*term, id.clone()));
        }
    }

    /// Updates the instances that are not announced, and removes those that have ended.
    pub(crate) fn sync_unannounced(
        &mut self,
        cx: &mut Cx<'_>,
        view: &View,
        has_withdrawn: &impl Fn(&UpstreamId) -> bool,
    ) {
        for (id, member) in &mut self.members {
            let data_centre = &member.announcement.data_centre;
            member.evacuated = view.evacuations.closes_at.contains_key(data_centre);
            if !view.upstreams.contains_key(id) {
                member.on_lapsed(cx.now);
            }
            if !member.may_have_ended() {
                continue;
            }
            let known = &member.announcement;
            let others = view.upstreams.values().map(|other| &other.announcement);
            let mut others =
                others.filter(|other| other.addr == known.addr && other.upstream != *id);
            let other = others.next();
            let state = AddressState {
                other_announced: other.is_some(),
                other_is_newer: other.is_some_and(|other| other.incarnation > known.incarnation),
                withdrawn: has_withdrawn(id),
            };
            member.on_address_state(state, cx.now);
        }
        self.remove_ended_members(cx);
    }

    pub(crate) fn primary_term(&self) -> Term {
        self.primary.as_ref().map_or(0, |(term, _)| *term)
    }

    /// Makes an instance's next probe due now.
    pub(crate) fn probe_now(&mut self, now: Instant, upstream: &UpstreamId) {
        if let Some(member) = self.members.get_mut(upstream) {
            member.next_probe_at = now;
        }
    }

    /// Handles an instance's answer to a query.
    pub(crate) fn on_query_reply(
        &mut self,
        cx: &mut Cx<'_>,
        outbox: &mut Outbox,
        query: &PendingQuery,
        result: Result<QueryReply, QueryError>,
    ) {
        let Some(member) = self.members.get_mut(&query.upstream) else {
            return;
        };
        if query.purpose == QueryPurpose::Probe {
            member.probe_pending = false;
        }
        member.on_query_reply(cx.now, query, &result, FAST_PROBE_INTERVAL);
        if let Ok(reply) = &result {
            self.record_primary_status(cx, &query.upstream, reply, query.asked_at);
        }
        let upstream = &query.upstream;
        let error = result.as_ref().err();
        if query.purpose == QueryPurpose::Unfence && error.is_some_and(|e| e.may_be_carried_out()) {
            cx.log(AuthorityLogEvent::UnfenceUnanswered {
                service: self.name.clone(),
                upstream: upstream.clone(),
            });
        }
        match query.purpose {
            QueryPurpose::Demote(attempt) if attempt == self.attempt_number => {
                self.on_demote_reply(cx, upstream, &result);
            }
            QueryPurpose::Fence(attempt) if attempt == self.attempt_number => {
                self.on_fence_reply(cx, upstream, &result);
            }
            _ => {}
        }
        self.step(cx, outbox);
    }

    /// Records the status of an instance that reports to be the primary, unless its term is old.
    fn record_primary_status(
        &mut self,
        cx: &mut Cx<'_>,
        id: &UpstreamId,
        reply: &QueryReply,
        asked_at: Instant,
    ) {
        if reply.status.role != Role::Primary {
            return;
        }
        let is_known_primary = self.primary.as_ref() == Some(&(reply.status.term, id.clone()));
        if reply.status.term < self.primary_term() {
            return;
        }
        // While replicas are fenced, the primary's log position includes writes that can't be
        // acknowledged.
        if self.is_idle() && self.members.values().all(|member| member.fenced_term == 0) {
            let position = reply.status.position;
            for ended in self.ended_replicas.values_mut() {
                ended.on_primary_position(position, asked_at);
            }
            for member in self.members.values_mut() {
                member.on_primary_position(position, asked_at);
            }
        }
        self.no_primary_since = None;
        self.has_demoted_primary = false;
        self.ack_stops.on_primary_confirmed();
        if self.order_took_effect(id, reply.status.term) {
            self.finish_attempt(cx, id);
        }
        self.end_attempt_if_settled_by(id, cx.now);
        if !is_known_primary {
            self.ordered_to_lead.clear();
            let term = reply.status.term;
            self.primary = Some((term, id.clone()));
            cx.log(AuthorityLogEvent::PrimaryConfirmed {
                service: self.name.clone(),
                upstream: id.clone(),
                term,
            });
            cx.raise(Event::FactLearned(Fact::Primary {
                service: self.name.clone(),
                term,
                upstream: id.clone(),
            }));
        }
    }

    /// Sends due probes, starts an attempt if one is needed, and advances or ends the current one.
    pub(crate) fn step(&mut self, cx: &mut Cx<'_>, outbox: &mut Outbox) {
        if self.doubt.expire(cx.now) {
            // Orders of earlier leaders are older than those of this one.
            self.earlier_orders_void = true;
        }
        self.remove_ended_members(cx);
        self.send_due_probes(cx, outbox);
        self.advance_attempt(cx, outbox);
    }

    fn advance_attempt(&mut self, cx: &mut Cx<'_>, outbox: &mut Outbox) {
        match &self.stage {
            FailoverStage::Idle { next_attempt_at }
                if cx.now >= self.all_announced_by.max(*next_attempt_at) =>
            {
                self.start_attempt_if_needed(cx);
                self.advance_fencing(cx, outbox);
            }
            FailoverStage::Idle { .. } => {}
            FailoverStage::Fencing { deadline, .. } if cx.now >= *deadline => {
                self.end_attempt_without_order(cx, outbox, "not-fenced");
            }
            FailoverStage::Fencing { .. } => self.advance_fencing(cx, outbox),
            FailoverStage::AwaitingNumber {
                deadline, upstream, ..
            }
            | FailoverStage::AwaitingAnswer {
                deadline, upstream, ..
            } if cx.now >= *deadline => {
                let upstream = upstream.clone();
                let until = cx.now + LATE_ORDER_TIME;
                self.doubt.add_unaccepted(Some(&upstream), until);
                self.end_attempt(cx, "no-answer");
            }
            FailoverStage::ConfirmingPrimary {
                deadline, upstream, ..
            } if cx.now >= *deadline || !self.members.contains_key(upstream) => {
                let upstream = upstream.clone();
                if self.members.contains_key(&upstream) {
                    let until = cx.now + LATE_ORDER_TIME;
                    self.doubt.add_accepted(&upstream, until);
                }
                self.end_attempt(cx, "does-not-lead")
            }
            FailoverStage::AwaitingNumber { .. }
            | FailoverStage::AwaitingAnswer { .. }
            | FailoverStage::ConfirmingPrimary { .. } => {}
        }
        if self.is_idle() && !self.doubt.is_open() {
            self.unfence_replicas(cx, outbox);
        }
    }

    pub(crate) fn is_idle(&self) -> bool {
        matches!(self.stage, FailoverStage::Idle { .. })
    }

    fn send_due_probes(&mut self, cx: &mut Cx<'_>, outbox: &mut Outbox) {
        let promoted = match &self.stage {
            FailoverStage::ConfirmingPrimary { upstream, .. } => Some(upstream.clone()),
            _ => None,
        };
        let settings = &cx.settings.group;
        let primary = self.primary.as_ref().map(|(_, id)| id.clone());
        let all_matter = primary.is_none() || self.held_up_by.is_some();
        for (id, member) in &mut self.members {
            if member.probe_pending || cx.now < member.next_probe_at {
                continue;
            }
            let failing = member.failed_probes > 0 || member.last_reply_at.is_none();
            // An instance that has failed 20 times in a row is probed at its regular interval again.
            let interval =
                if promoted.as_ref() == Some(id) || (failing && member.failed_probes < 20) {
                    FAST_PROBE_INTERVAL
                } else if primary.as_ref() == Some(id) || all_matter {
                    settings.probe_every
                } else {
                    settings.probe_others_every
                };
            // A probe that follows a failed one takes a new connection.
            let silent_for = member.last_reply_at.map_or(Duration::MAX, |at| cx.now - at);
            let new_connection =
                failing || silent_for > settings.probe_every + settings.probe_timeout;
            member.probe_pending = true;
            member.next_probe_at = cx.now + interval;
            let query = PendingQuery {
                service: self.name.clone(),
                upstream: id.clone(),
                purpose: QueryPurpose::Probe,
                new_connection,
                asked_at: cx.now,
            };
            let upstream_query = UpstreamQuery::Status { wait_for: None };
            outbox.send(cx, query, member.announcement.addr, upstream_query);
        }
    }

    /// Returns when the next probe or step of the attempt is due.
    pub(crate) fn wake_at(&self) -> Option<Instant> {
        let probes = self.members.values().filter(|member| !member.probe_pending);
        let probes = probes.map(|member| member.next_probe_at);
        let stage = match &self.stage {
            FailoverStage::Idle { .. } => None,
            FailoverStage::Fencing {
                deadline,
                next_request_at,
                ..
            } => Some((*deadline).min(*next_request_at)),
            FailoverStage::AwaitingNumber { deadline, .. }
            | FailoverStage::AwaitingAnswer { deadline, .. }
            | FailoverStage::ConfirmingPrimary { deadline, .. } => Some(*deadline),
        };
        probes
            .chain(stage)
            .chain(self.ack_stops.wake_at())
            .chain(self.doubt.wake_at())
            .min()
    }
}
