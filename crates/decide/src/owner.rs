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
pub(crate) mod job;
pub(crate) mod log_event;
pub(crate) mod pin;
pub mod primary_position;
pub mod replica_wait;
pub(crate) mod settings;
pub(crate) mod unconfirmed;
pub(crate) mod upstream;
pub(crate) mod warm_up;

use std::time::Instant;

use model::{ConnId, HashMap, HostId, PartAddr, UpstreamId};

use crate::conn::ConnEvent;
use crate::event::ProbeResult;
use crate::owner::ack_gate::{AckGate, AckStopMsg};
use crate::owner::job::Job;
use crate::owner::primary_position::{PositionMsg, PrimaryPositions};
use crate::owner::replica_wait::{WaitIfSoon, WaitPolicy};
use crate::owner::unconfirmed::UnconfirmedAnswers;
use crate::owner::upstream::Upstream;
use crate::queue::{Drr, QueueDiscipline, RequestQueue};
use crate::relay::{Bounce, NO_UPSTREAM, RelayMsg, RunRequest};
use crate::upstream_query::{QueryError, QueryId, QueryReply};
use crate::{Cx, View};

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
    }

    /// Applies a probe result: the upstream's status and this host's claim on it.
    pub fn on_probed(&mut self, cx: &mut Cx<'_>, probed: ProbeResult) {
        if let Some(upstream) = self.upstreams.get_mut(&probed.upstream) {
            upstream.on_probed(cx, probed);
            upstream.abandon_if_unreachable(cx, &mut self.shared);
            upstream.reconcile(cx, &mut self.shared);
        }
    }

    /// Queues or starts a request of an entry host, or sends it back.
    pub fn on_run(&mut self, cx: &mut Cx<'_>, view: &View, from: PartAddr, run: RunRequest) {
        self.hold_after_pause(cx);
        let job = Job {
            from,
            deadline: cx.now + run.req.timeout,
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
            return job.send_back(cx);
        }
        upstream.update_primary(view);
        upstream.primary_position = self.shared.primary_positions.get(&upstream.service);
        match job.run.pin {
            Some(conn) => upstream.admit_pinned(cx, conn, job),
            None => upstream.admit(cx, job),
        }
        upstream.reconcile(cx, &mut self.shared);
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
    }

    /// Drops the queued requests, the answers held back and the idle transactions of an entry host
    /// whose link is down.
    pub fn on_link_down(&mut self, cx: &mut Cx<'_>, host: &HostId) {
        self.shared.unconfirmed.drop_for_host(host);
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

    /// Handles an upstream's reply to a query; returns whether the query asked for a position.
    pub fn on_query_reply(
        &mut self,
        cx: &mut Cx<'_>,
        id: QueryId,
        result: &Result<QueryReply, QueryError>,
    ) -> bool {
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

    /// Expires deadlines and idle transactions, and opens or closes connections as needed.
    pub fn on_tick(&mut self, cx: &mut Cx<'_>) {
        self.hold_after_pause(cx);
        let deadline_passed = self.leave_deadline.take_if(|by| *by <= cx.now).is_some();
        self.shared.unconfirmed.give_up_expired(cx);
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
        self.shared.unconfirmed.is_empty() && upstreams.into_iter().all(Upstream::is_drained)
    }
}
