//! The owner side: requests that wait for, run on and come back from an upstream.

pub(crate) mod announced;
pub(crate) mod confirm;
pub(crate) mod conn;
pub(crate) mod job;
pub(crate) mod log_event;
pub(crate) mod open;
pub(crate) mod pin;
pub mod position;
pub(crate) mod queue;
pub(crate) mod settings;
pub(crate) mod upstream;
pub mod wait;

use std::time::Instant;

use model::{ConnId, HashMap, HostId, PartAddr, UpstreamId};

use crate::conn::ConnEvent;
use crate::event::ProbeResult;
use crate::owner::confirm::Confirms;
use crate::owner::job::Job;
use crate::owner::position::{PositionMsg, Positions};
use crate::owner::upstream::Upstream;
use crate::owner::wait::{WaitIfSoon, WaitPolicy};
use crate::queue::{Discipline, Drr, Queue};
use crate::relay::RunRequest;
use crate::upstream_query::{QueryError, QueryId, QueryReply};
use crate::{Cx, View};

pub use crate::owner::log_event::{OwnerLogEvent, Subject};
pub use crate::owner::settings::{Capacity, OwnerSettings};

/// Bits of a connection's number that count the connections of one start of the host.
const CONN_BITS: u32 = 24;

/// The upstreams that a traffic part holds connections to.
#[derive(Debug)]
pub struct Owners<Q: Discipline = Drr, W: WaitPolicy = WaitIfSoon> {
    upstreams: HashMap<UpstreamId, Upstream<Q, W>>,
    shared: Shared,
    /// Whether this host is leaving.
    leaving: bool,
    /// When this host, as it leaves, ends the transactions that are still open.
    leave_by: Option<Instant>,
}

/// What the upstreams of a part share.
#[derive(Debug, Default)]
pub(crate) struct Shared {
    /// Which upstream each connection leads to.
    pub(crate) conns: HashMap<ConnId, UpstreamId>,
    /// The positions that primaries have had, by service.
    pub(crate) positions: Positions,
    /// The writes that wait to be confirmed.
    pub(crate) confirms: Confirms,
    opened: u64,
}

impl Shared {
    /// Returns the number of a new connection, which no earlier start of the host has used.
    pub(crate) fn next_conn(&mut self, cx: &Cx<'_>, upstream: &UpstreamId) -> ConnId {
        self.opened += 1;
        let conn = (cx.me.incarnation << CONN_BITS) + self.opened;
        self.conns.insert(conn, upstream.clone());
        conn
    }
}

impl<Q: Discipline, W: WaitPolicy> Default for Owners<Q, W> {
    fn default() -> Self {
        Self {
            upstreams: HashMap::default(),
            shared: Shared::default(),
            leaving: false,
            leave_by: None,
        }
    }
}

impl<Q: Discipline, W: WaitPolicy> Owners<Q, W> {
    /// Follows a new view.
    pub fn sync(&mut self, cx: &mut Cx<'_>, view: &View) {
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
            upstream.follow(view);
            if let Some(seen) = seen
                && cx.settings.owner.capacity == Capacity::Announced
            {
                upstream.take_share(cx, view, seen);
            }
            upstream.evacuate(cx, &mut self.shared);
            upstream.settle(cx, &mut self.shared);
        }
        self.upstreams
            .retain(|_, upstream| upstream.live || !upstream.is_drained());
    }

    /// Takes in the status of an upstream and this host's share of it.
    pub fn on_probed(&mut self, cx: &mut Cx<'_>, probed: ProbeResult) {
        if let Some(upstream) = self.upstreams.get_mut(&probed.upstream) {
            upstream.on_probed(cx, probed);
            upstream.evacuate(cx, &mut self.shared);
            upstream.settle(cx, &mut self.shared);
        }
    }

    /// Takes in a request.
    pub fn on_run(&mut self, cx: &mut Cx<'_>, view: &View, from: PartAddr, run: RunRequest) {
        let job = Job {
            from,
            deadline: cx.now + run.req.timeout,
            run,
            tries: 0,
        };
        let Some(upstream) = self.upstreams.get_mut(&job.run.upstream) else {
            return job.turn_away(cx);
        };
        upstream.follow(view);
        upstream.reached = self.shared.positions.get(&upstream.service);
        match job.run.pin {
            Some(conn) => upstream.arrive_pinned(cx, conn, job),
            None => upstream.arrive(cx, job),
        }
        upstream.settle(cx, &mut self.shared);
    }

    /// Forgets a request that has not started.
    pub fn on_cancel(&mut self, _cx: &mut Cx<'_>, from: &PartAddr, id: model::RequestId) {
        for upstream in self.upstreams.values_mut() {
            upstream
                .queue
                .drain_where(|job| job.run.id == id && job.from == *from);
        }
    }

    /// Rolls back a transaction whose caller is gone.
    pub fn on_unpin(
        &mut self,
        cx: &mut Cx<'_>,
        from: &PartAddr,
        upstream: &UpstreamId,
        pin: ConnId,
    ) {
        if let Some(upstream) = self.upstreams.get_mut(upstream) {
            upstream.on_unpin(cx, &mut self.shared, from, pin);
            upstream.settle(cx, &mut self.shared);
        }
    }

    /// Takes in what a connection did.
    pub fn on_conn(&mut self, cx: &mut Cx<'_>, view: &View, event: ConnEvent) {
        let (ConnEvent::Opened { conn }
        | ConnEvent::OpenFailed { conn, .. }
        | ConnEvent::Done { conn, .. }
        | ConnEvent::Lost { conn, .. }) = event;
        let shared = &mut self.shared;
        let id = shared.conns.get(&conn);
        let Some(upstream) = id.and_then(|id| self.upstreams.get_mut(id)) else {
            return;
        };
        upstream.follow(view);
        match event {
            ConnEvent::Opened { conn } => upstream.on_opened(cx, shared, conn),
            ConnEvent::OpenFailed {
                conn,
                no_connections_left: exhausted,
            } => {
                upstream.on_open_failed(cx, shared, conn, exhausted);
            }
            ConnEvent::Done { conn, outcome } => upstream.on_done(cx, shared, conn, outcome),
            ConnEvent::Lost {
                conn,
                request_sent: sent,
            } => upstream.on_lost(cx, shared, conn, sent),
        }
        upstream.settle(cx, shared);
    }

    /// Drops what concerns a host that can't be reached.
    pub fn on_link_down(&mut self, cx: &mut Cx<'_>, host: &HostId) {
        self.shared.confirms.forget(host);
        for upstream in self.upstreams.values_mut() {
            upstream.on_link_down(cx, &mut self.shared, host);
            upstream.settle(cx, &mut self.shared);
        }
    }

    /// Takes in whether the position of a write is confirmed.
    pub fn on_confirmed(&mut self, cx: &mut Cx<'_>, ticket: u64, confirmed: bool) {
        self.shared.confirms.resolve(cx, ticket, confirmed);
    }

    /// Takes in a message about the positions of primaries.
    pub fn on_position(&mut self, cx: &mut Cx<'_>, view: &View, from: &PartAddr, msg: PositionMsg) {
        self.shared.positions.on_msg(cx, view, from, msg);
        self.note_positions();
    }

    /// Takes in the answer to a question about a position; returns whether it was one.
    pub fn on_query_reply(
        &mut self,
        cx: &mut Cx<'_>,
        id: QueryId,
        result: &Result<QueryReply, QueryError>,
    ) -> bool {
        let mine = self.shared.positions.on_query_reply(cx, id, result);
        self.note_positions();
        mine
    }

    /// Asks for positions that are due to be learned anew.
    pub fn refresh(&mut self, cx: &mut Cx<'_>, view: &View) {
        if cx.settings.owner.capacity == Capacity::Announced {
            let owned = self.upstreams.values().filter(|up| up.owned && up.live);
            let services = owned.map(|upstream| upstream.service.clone());
            self.shared.positions.refresh(cx, view, services.collect());
        }
    }

    fn note_positions(&mut self) {
        for upstream in self.upstreams.values_mut() {
            upstream.reached = self.shared.positions.get(&upstream.service);
        }
    }

    /// Does what is due.
    pub fn on_tick(&mut self, cx: &mut Cx<'_>) {
        let cut = self.leave_by.take_if(|by| *by <= cx.now).is_some();
        self.shared.confirms.expire(cx);
        for upstream in self.upstreams.values_mut() {
            upstream.cut |= cut;
            upstream.end_paused(cx, &mut self.shared);
            upstream.settle(cx, &mut self.shared);
        }
    }

    /// Returns the moment at which something is due.
    pub fn wake_at(&self) -> Option<Instant> {
        let upstreams = self.upstreams.values();
        upstreams
            .filter_map(Upstream::wake_at)
            .chain(self.shared.confirms.wake_at())
            .chain(self.leave_by)
            .chain(self.shared.positions.wake_at())
            .min()
    }

    /// Takes no new requests and lets the running ones and open transactions end.
    pub fn leave(&mut self, cx: &mut Cx<'_>) {
        self.leaving = true;
        self.leave_by = Some(cx.now + cx.settings.owner.leave_timeout);
        for upstream in self.upstreams.values_mut() {
            upstream.leaving = true;
            upstream.settle(cx, &mut self.shared);
        }
    }

    /// Returns whether nothing runs, is open or waits for an answer.
    pub fn drained(&self) -> bool {
        let upstreams = self.upstreams.values();
        self.shared.confirms.is_empty() && upstreams.into_iter().all(Upstream::is_drained)
    }
}
