//! Runs requests on pooled connections to the upstreams that this host owns: admission,
//! queueing, dispatch, pinned transactions and confirmation.
//!
//! An entry host serves callers and sends each request to an owner, a host that holds connections
//! to the chosen upstream. Each host divides its work over parts, each the state of one thread; an
//! upstream belongs to one traffic part of each of its owners. A claim is what an owner may use of
//! an upstream: slots (statements that run at the same time) and connections. A transaction that
//! stays open between requests is pinned: it keeps its connection.

pub mod ack_gate;
pub(crate) mod announced_capacity;
pub(crate) mod conn_events;
pub(crate) mod connections;
pub(crate) mod dispatch;
pub(crate) mod drain;
pub(crate) mod evacuation;
mod faulty;
pub(crate) mod forward;
pub(crate) mod forward_log_event;
pub(crate) mod held_acks;
pub(crate) mod job;
pub(crate) mod log_event;
pub(crate) mod outcome;
pub(crate) mod pin;
pub mod primary_position;
pub mod replica_wait;
pub(crate) mod settings;
pub(crate) mod unconfirmed;
pub(crate) mod upstream;
pub(crate) mod warm_up;

use std::sync::Arc;
use std::time::{Duration, Instant};

use model::{ConnId, HashMap, HostId, PartAddr, Position, Request, ServiceId, UpstreamId};

use crate::ack_lease::AckLease;
use crate::conn::ConnEvent;
use crate::event::ProbeResult;
use crate::owner::ack_gate::{AckGate, AckStopMsg};
use crate::owner::forward::Forwards;
use crate::owner::held_acks::HeldAcks;
use crate::owner::job::Job;
use crate::owner::primary_position::{PositionMsg, PrimaryPositions};
use crate::owner::replica_wait::{WaitIfSoon, WaitPolicy};
use crate::owner::unconfirmed::UnconfirmedAnswers;
use crate::owner::upstream::Upstream;
use crate::queue::{Drr, QueueDiscipline, RequestQueue};
use crate::relay::{Bounce, NO_UPSTREAM, RelayMsg, RunRequest};
use crate::upstream_query::{QueryError, QueryId, QueryReply};
use crate::{Cx, View};

pub use crate::owner::forward_log_event::ForwardLogEvent;
pub use crate::owner::log_event::{LoggedRequest, OwnerLogEvent};
pub use crate::owner::settings::{CapacitySource, OwnerSettings};

/// Low bits of a connection id that count connections; the bits above hold the host's
/// incarnation.
const CONN_COUNTER_BITS: u32 = 24;

/// The upstreams that a traffic part queues requests for and holds connections to.
#[derive(Debug)]
pub struct OwnedUpstreams<Q: QueueDiscipline = Drr, W: WaitPolicy = WaitIfSoon> {
    upstreams: HashMap<UpstreamId, Upstream<Q, W>>,
    shared: SharedState,
    /// The loads of sibling instances, and the reads that were forwarded to them.
    forwards: Forwards,
    /// Whether this host is shutting down and accepts no new work.
    leaving: bool,
    /// While leaving: when the transactions that are still open are rolled back.
    leave_deadline: Option<Instant>,
    /// Until when nothing is started, after this part did not run for a while.
    held_until: Option<Instant>,
}

/// State that all upstreams of a traffic part use.
#[derive(Debug, Default)]
pub(crate) struct SharedState {
    /// The upstream of each connection that is open or being opened.
    pub(crate) upstream_of_conn: HashMap<ConnId, UpstreamId>,
    /// The newest known log position of each service's primary.
    pub(crate) primary_positions: PrimaryPositions,
    /// The acknowledgements that may be passed on to callers.
    pub(crate) ack_gate: AckGate,
    /// The acknowledgements that wait for a lease or for a replica.
    pub(crate) held_acks: HeldAcks,
    /// The answers that are held back until they are confirmed.
    pub(crate) unconfirmed: UnconfirmedAnswers,
    /// How many connections this part has opened since the host started.
    conns_opened: u64,
}

impl SharedState {
    /// Returns an id for a new connection, distinct from those of earlier incarnations of the host.
    pub(crate) fn new_conn_id(&mut self, cx: &Cx<'_>, upstream: &UpstreamId) -> ConnId {
        self.conns_opened += 1;
        let conn = (cx.me.incarnation << CONN_COUNTER_BITS) + self.conns_opened;
        self.upstream_of_conn.insert(conn, upstream.clone());
        conn
    }
}

impl<Q: QueueDiscipline, W: WaitPolicy> Default for OwnedUpstreams<Q, W> {
    fn default() -> Self {
        Self {
            upstreams: HashMap::default(),
            shared: SharedState::default(),
            forwards: Forwards::default(),
            leaving: false,
            leave_deadline: None,
            held_until: None,
        }
    }
}

impl<Q: QueueDiscipline, W: WaitPolicy> OwnedUpstreams<Q, W> {
    /// Updates addresses, liveness, ownership and primaries from a new view, and drops upstreams
    /// that are gone once they are drained.
    pub fn on_view(&mut self, cx: &mut Cx<'_>, view: &View) {
        self.hold_after_pause(cx);
        for (id, seen) in &view.upstreams {
            let upstream = self
                .upstreams
                .entry(id.clone())
                .or_insert_with(|| Upstream::new(seen));
            let announced = &seen.announcement;
            if upstream.addr != announced.addr {
                upstream.addr = announced.addr;
                upstream.replace_connections(cx, &mut self.shared);
            }
        }
        for upstream in self.upstreams.values_mut() {
            upstream.leaving = self.leaving;
            let seen = view.upstreams.get(&upstream.id);
            upstream.live = seen.is_some();
            upstream.owned = seen.is_some_and(|seen| seen.owners.contains(&cx.me.host));
            upstream.update_drain(cx, seen);
            upstream.update_evacuation(view);
            upstream.update_ramp(cx, view, seen);
            upstream.update_primary(view);
            if let Some(seen) = seen
                && cx.settings.owner.capacity == CapacitySource::Announced
            {
                upstream.apply_announced_capacity(cx, view, seen);
            }
            upstream.abandon_if_unreachable(cx, &mut self.shared);
            upstream.reconcile(cx, &mut self.shared);
        }
        self.upstreams
            .retain(|_, upstream| upstream.live || !upstream.is_drained());
        self.shared.held_acks.ask_replicas(cx, view);
        self.forwards.on_view(view);
    }

    /// Applies a probe result: the upstream's status and this host's claim on it.
    pub fn on_probed(&mut self, cx: &mut Cx<'_>, probed: ProbeResult) {
        self.hold_after_pause(cx);
        if let Some(upstream) = self.upstreams.get_mut(&probed.upstream) {
            upstream.on_probed(cx, probed);
            upstream.abandon_if_unreachable(cx, &mut self.shared);
            upstream.reconcile(cx, &mut self.shared);
        }
    }

    /// Queues or starts a request of an entry host, or sends it back.
    pub fn on_run(&mut self, cx: &mut Cx<'_>, view: &View, from: PartAddr, run: RunRequest) {
        let deadline = cx.now + run.req.timeout;
        self.hold_after_pause(cx);
        let job = Job {
            from,
            deadline,
            objective_at: objective_at(view, &run.req, deadline),
            cost: Duration::ZERO,
            run,
            attempts: 0,
        };
        if *job.run.upstream == *NO_UPSTREAM {
            let (id, why) = (job.run.id, Bounce::NotOwner);
            return cx.send(job.from, RelayMsg::Bounce { id, why });
        }
        let is_held = self.held_until.is_some_and(|until| cx.now < until);
        let Some(upstream) = self.upstreams.get_mut(&job.run.upstream) else {
            return job.reject_unknown_upstream(cx);
        };
        if is_held {
            return upstream.send_back(cx, &mut self.shared, job);
        }
        upstream.update_primary(view);
        upstream.primary_position = self.shared.primary_positions.get(&upstream.service);
        match job.run.pin {
            Some(conn) => upstream.admit_pinned(cx, conn, job),
            None => upstream.admit(cx, job),
        }
        upstream.reconcile(cx, &mut self.shared);
        let id = upstream.id.clone();
        self.report_load(cx, view, &id);
    }

    /// Removes a queued request; one that has started is not stopped.
    pub fn on_cancel(&mut self, _cx: &mut Cx<'_>, from: &PartAddr, id: model::RequestId) {
        for upstream in self.upstreams.values_mut() {
            upstream
                .queue
                .drain_where(|job| job.run.id == id && job.from == *from);
        }
    }

    /// Rolls back a pinned transaction whose caller is gone.
    pub fn on_unpin(
        &mut self,
        cx: &mut Cx<'_>,
        from: &PartAddr,
        upstream: &UpstreamId,
        pin: ConnId,
    ) {
        self.hold_after_pause(cx);
        if let Some(upstream) = self.upstreams.get_mut(upstream) {
            upstream.on_unpin(cx, &mut self.shared, from, pin);
            upstream.reconcile(cx, &mut self.shared);
        }
    }

    /// Handles an event of a pooled connection.
    pub fn on_conn_event(&mut self, cx: &mut Cx<'_>, view: &View, event: ConnEvent) {
        self.hold_after_pause(cx);
        let (ConnEvent::Opened { conn }
        | ConnEvent::OpenFailed { conn, .. }
        | ConnEvent::Done { conn, .. }
        | ConnEvent::Lost { conn, .. }) = event;
        let shared = &mut self.shared;
        let id = shared.upstream_of_conn.get(&conn);
        let Some(upstream) = id.and_then(|id| self.upstreams.get_mut(id)) else {
            return;
        };
        upstream.update_primary(view);
        match event {
            ConnEvent::Opened { conn } => upstream.on_conn_opened(cx, shared, conn),
            ConnEvent::OpenFailed {
                conn,
                no_connections_left: exhausted,
            } => {
                upstream.on_conn_open_failed(cx, shared, conn, exhausted);
            }
            ConnEvent::Done { conn, outcome } => upstream.on_job_done(cx, shared, conn, outcome),
            ConnEvent::Lost {
                conn,
                request_sent: sent,
                reason,
            } => upstream.on_conn_lost(cx, shared, conn, sent, reason),
        }
        upstream.reconcile(cx, shared);
        let id = upstream.id.clone();
        shared.held_acks.ask_replicas(cx, view);
        self.report_load(cx, view, &id);
    }

    /// Drops the queued requests, the answers held back and the idle transactions of an entry host
    /// whose link is down.
    pub fn on_link_down(&mut self, cx: &mut Cx<'_>, host: &HostId) {
        self.hold_after_pause(cx);
        self.forwards.on_link_down(cx, host);
        self.shared.unconfirmed.drop_for_host(host);
        self.shared.held_acks.drop_for_host(host);
        for upstream in self.upstreams.values_mut() {
            upstream.on_link_down(cx, &mut self.shared, host);
            upstream.reconcile(cx, &mut self.shared);
        }
    }

    /// Sends the answer that was held back under this ticket, now that its log position is
    /// confirmed or can't be; unconfirmed, a write gets "may have run" and a read is bounced.
    pub fn on_commit_outcome(&mut self, cx: &mut Cx<'_>, ticket: u64, confirmed: bool) {
        self.shared.unconfirmed.resolve(cx, ticket, confirmed);
    }

    /// Handles the request of a control host to stop or to pass on acknowledgements.
    pub fn on_ack_stop_msg(&mut self, cx: &mut Cx<'_>, from: &PartAddr, msg: AckStopMsg) {
        self.shared.ack_gate.on_msg(cx, from, msg);
        let shared = &mut self.shared;
        shared.held_acks.recheck(cx, &mut shared.ack_gate);
    }

    /// Takes a new lease; `known_view` is the present view if the leader knows its instances.
    pub fn on_ack_lease(
        &mut self,
        cx: &mut Cx<'_>,
        lease: AckLease,
        known_view: Option<&Arc<View>>,
    ) {
        let shared = &mut self.shared;
        if let Some(view) = known_view {
            shared.held_acks.set_known_view(view);
        }
        shared.ack_gate.on_lease(cx.now, lease);
        shared.held_acks.recheck(cx, &mut shared.ack_gate);
    }

    /// Returns whether the commit of a write that starts now could be acknowledged.
    ///
    /// Without the setting `group.ack_lease` it always returns true.
    pub fn may_acknowledge(&self, cx: &Cx<'_>, view: &View, service: &ServiceId) -> bool {
        let (gate, lease_time) = (&self.shared.ack_gate, cx.settings.group.ack_lease);
        let primary = view.services.get(service).and_then(|s| s.primary.as_ref());
        let position = primary.map(|(term, _)| Position::new(*term, 0));
        lease_time.is_none()
            || (!gate.is_stopped(cx.now, service, position)
                && (gate.has_lease(cx.now, lease_time)
                    || self.shared.held_acks.can_prove(view, service)))
    }

    /// Handles a message of another owner about a primary's log position.
    pub fn on_position_msg(
        &mut self,
        cx: &mut Cx<'_>,
        view: &View,
        from: &PartAddr,
        msg: PositionMsg,
    ) {
        self.shared.primary_positions.on_msg(cx, view, from, msg);
        self.update_primary_positions();
    }

    /// Handles an upstream's reply to a query; returns whether this module has sent the query.
    pub fn on_query_reply(
        &mut self,
        cx: &mut Cx<'_>,
        view: &View,
        id: QueryId,
        result: &Result<QueryReply, QueryError>,
    ) -> bool {
        let shared = &mut self.shared;
        let gate = &mut shared.ack_gate;
        if shared.held_acks.on_query_reply(cx, view, gate, id, result) {
            return true;
        }
        let is_position_query = self.shared.primary_positions.on_query_reply(cx, id, result);
        self.update_primary_positions();
        is_position_query
    }

    /// Queries the positions of the primaries whose refresh interval has passed.
    pub fn refresh_positions(&mut self, cx: &mut Cx<'_>, view: &View) {
        if cx.settings.owner.capacity == CapacitySource::Announced {
            let owned = self.upstreams.values().filter(|up| up.owned && up.live);
            let services = owned.map(|upstream| upstream.service.clone());
            self.shared
                .primary_positions
                .refresh_positions(cx, view, services.collect());
        }
    }

    fn update_primary_positions(&mut self) {
        for upstream in self.upstreams.values_mut() {
            upstream.primary_position = self.shared.primary_positions.get(&upstream.service);
        }
    }

    /// Asks replicas for the commits whose acknowledgements are held back, where that is due.
    pub fn ask_replicas(&mut self, cx: &mut Cx<'_>, view: &View) {
        self.shared.held_acks.ask_replicas(cx, view);
    }

    /// Expires deadlines and idle transactions, and opens or closes connections as needed.
    pub fn on_tick(&mut self, cx: &mut Cx<'_>) {
        self.hold_after_pause(cx);
        let deadline_passed = self.leave_deadline.take_if(|by| *by <= cx.now).is_some();
        self.shared.unconfirmed.give_up_expired(cx);
        let shared = &mut self.shared;
        shared.held_acks.recheck(cx, &mut shared.ack_gate);
        for upstream in self.upstreams.values_mut() {
            upstream.end_transactions |= deadline_passed;
            upstream.end_expired_pins(cx, &mut self.shared);
            upstream.reconcile(cx, &mut self.shared);
        }
    }

    /// Returns when [`Self::on_tick`] is due next, if at all.
    pub fn wake_at(&self) -> Option<Instant> {
        let upstreams = self.upstreams.values();
        upstreams
            .filter_map(Upstream::wake_at)
            .chain(self.shared.unconfirmed.wake_at())
            .chain(self.shared.held_acks.wake_at())
            .chain(self.leave_deadline)
            .chain(self.shared.primary_positions.wake_at())
            .min()
    }

    /// Stops accepting requests; running requests and open transactions may end until
    /// `leave_timeout`.
    pub fn start_leaving(&mut self, cx: &mut Cx<'_>) {
        self.leaving = true;
        self.leave_deadline = Some(cx.now + cx.settings.owner.leave_timeout);
        for upstream in self.upstreams.values_mut() {
            upstream.leaving = true;
            upstream.reconcile(cx, &mut self.shared);
        }
    }

    /// Returns whether no connection is held, no request waits and no answer is held back.
    pub fn is_drained(&self) -> bool {
        let upstreams = self.upstreams.values();
        self.shared.unconfirmed.is_empty()
            && self.shared.held_acks.is_empty()
            && upstreams.into_iter().all(Upstream::is_drained)
    }
}

/// Returns when the latency objective of a request's route passes, or its deadline without one.
///
/// The route's timeout and objective count from the same moment.
fn objective_at(view: &View, req: &Request, deadline: Instant) -> Instant {
    let access = req.access.as_ref();
    let route = access.and_then(|access| view.config.routes.get(&access.route));
    let route = route.filter(|route| !route.objective.is_zero());
    let left = route.map(|route| route.timeout.saturating_sub(route.objective));
    left.and_then(|left| deadline.checked_sub(left))
        .unwrap_or(deadline)
}
