//! Open transactions, each pinned to a connection of its own.

use std::time::Instant;

use model::{ConnId, PartAddr, Refusal};

use crate::Cx;
use crate::owner::SharedState;
use crate::owner::job::Job;
use crate::owner::log_event::OwnerLogEvent;
use crate::owner::replica_wait::WaitPolicy;
use crate::owner::upstream::Upstream;
use crate::queue::{QueueDiscipline, RequestQueue};

impl<Q: QueueDiscipline, W: WaitPolicy> Upstream<Q, W> {
    /// Queues a statement of an open transaction; refuses it if the pin isn't its session's, the
    /// claim has ended or nothing may be sent to the upstream, as its data centre is evacuated.
    pub(crate) fn admit_pinned(&mut self, cx: &mut Cx<'_>, conn: ConnId, job: Job) {
        let session = job.run.session;
        let pinned_by_session = self
            .pins
            .get(&conn)
            .is_some_and(|pin| pin.from == job.from && pin.session == session);
        let is_closed = self.evacuation.is_closed(cx.now);
        if pinned_by_session && !is_closed && self.active_claim(cx.now).is_some() {
            self.extend_pin(conn, job.deadline);
            self.enqueue(cx, job);
        } else {
            job.refuse(cx, Refusal::TransactionLost, "unknown-pin");
        }
    }

    /// Keeps a transaction open at least until the deadline of a statement that waits.
    fn extend_pin(&mut self, conn: ConnId, until: Instant) {
        if let Some(pin) = self.pins.get_mut(&conn) {
            pin.expires_at = pin.expires_at.max(until);
        }
    }

    /// Rolls back a transaction whose caller is gone, after its running statement has ended.
    pub(crate) fn on_unpin(
        &mut self,
        cx: &mut Cx<'_>,
        shared: &mut SharedState,
        from: &PartAddr,
        conn: ConnId,
    ) {
        if self.pins.get(&conn).is_none_or(|pin| pin.from != *from) {
            return;
        }
        match self.running.get_mut(&conn) {
            Some(running) => running.caller_gone = true,
            None => self.end_transaction(cx, shared, conn, "caller-gone"),
        }
    }

    /// Rolls back the transactions without a running statement that have reached
    /// `idle_in_transaction`.
    pub(crate) fn end_expired_pins(&mut self, cx: &mut Cx<'_>, shared: &mut SharedState) {
        let now = cx.now;
        let mut expired = self.idle_pins();
        expired.retain(|conn| self.pins.get(conn).is_some_and(|pin| pin.expires_at <= now));
        for conn in expired {
            self.end_transaction(cx, shared, conn, "idle-in-transaction");
        }
    }

    /// Returns when the next idle transaction is rolled back.
    pub(crate) fn pins_wake_at(&self) -> Option<Instant> {
        let idle = self.pins.iter();
        idle.filter(|(conn, _)| !self.running.contains_key(conn))
            .map(|(_, pin)| pin.expires_at)
            .min()
    }

    /// Returns the connections of transactions without a running statement.
    pub(crate) fn idle_pins(&self) -> Vec<ConnId> {
        let pins = self.pins.keys().copied();
        pins.filter(|conn| !self.running.contains_key(conn))
            .collect()
    }

    /// Refuses the queued statements of a transaction that is over.
    pub(crate) fn refuse_pinned(&mut self, cx: &mut Cx<'_>, conn: ConnId, reason: &'static str) {
        for job in self.queue.drain_where(|job| job.run.pin == Some(conn)) {
            job.refuse(cx, Refusal::TransactionLost, reason);
        }
    }

    /// Rolls back an open transaction by closing its connection.
    pub(crate) fn end_transaction(
        &mut self,
        cx: &mut Cx<'_>,
        shared: &mut SharedState,
        conn: ConnId,
        reason: &'static str,
    ) {
        self.refuse_pinned(cx, conn, reason);
        let upstream = self.id.clone();
        cx.log(OwnerLogEvent::TransactionLost {
            upstream,
            conn,
            reason,
        });
        self.pins.remove(&conn);
        self.close_conn(cx, shared, conn, reason);
    }

    /// Returns whether one more transaction may be opened within `transaction_share` of the claim's
    /// connections; one is always allowed.
    pub(crate) fn has_transaction_room(&self, cx: &Cx<'_>) -> bool {
        let connections = self
            .active_claim(cx.now)
            .map_or(0, |claim| claim.connections);
        let limit = f64::from(connections) * cx.settings.owner.transaction_share;
        let opening = self
            .running
            .values()
            .filter(|running| running.job.opens_transaction())
            .count();
        self.pins.len() + opening < (limit as usize).max(1)
    }
}
