//! Open transactions, each of which has a connection to itself.

use std::time::Instant;

use model::{ConnId, PartAddr, Refusal};

use crate::Cx;
use crate::owner::Shared;
use crate::owner::job::Job;
use crate::owner::log_event::OwnerLogEvent;
use crate::owner::upstream::Upstream;
use crate::owner::wait::WaitPolicy;
use crate::queue::{Discipline, Queue};

impl<Q: Discipline, W: WaitPolicy> Upstream<Q, W> {
    /// Takes in a request of an open transaction.
    pub(crate) fn arrive_pinned(&mut self, cx: &mut Cx<'_>, conn: ConnId, job: Job) {
        let session = job.run.session;
        let owned = self
            .pins
            .get(&conn)
            .is_some_and(|pin| pin.from == job.from && pin.session == session);
        if owned && self.held(cx.now).is_some() {
            self.extend_pause(conn, job.deadline);
            self.enqueue(cx, job);
        } else {
            job.refuse(cx, Refusal::TransactionLost, "unknown-pin");
        }
    }

    /// Keeps a transaction open while a statement of it waits.
    fn extend_pause(&mut self, conn: ConnId, until: Instant) {
        if let Some(pin) = self.pins.get_mut(&conn) {
            pin.until = pin.until.max(until);
        }
    }

    /// Rolls back a transaction whose caller is gone, or lets its statement end first.
    pub(crate) fn on_unpin(
        &mut self,
        cx: &mut Cx<'_>,
        shared: &mut Shared,
        from: &PartAddr,
        conn: ConnId,
    ) {
        if self.pins.get(&conn).is_none_or(|pin| pin.from != *from) {
            return;
        }
        match self.running.get_mut(&conn) {
            Some(running) => running.orphan = true,
            None => self.end_transaction(cx, shared, conn, "caller-gone"),
        }
    }

    /// Rolls back the transactions that have paused for too long.
    pub(crate) fn end_paused(&mut self, cx: &mut Cx<'_>, shared: &mut Shared) {
        let now = cx.now;
        let mut due = self.idle_pins();
        due.retain(|conn| self.pins.get(conn).is_some_and(|pin| pin.until <= now));
        for conn in due {
            self.end_transaction(cx, shared, conn, "idle-in-transaction");
        }
    }

    /// Returns the moment at which the next transaction is rolled back.
    pub(crate) fn pins_wake_at(&self) -> Option<Instant> {
        let idle = self.pins.iter();
        idle.filter(|(conn, _)| !self.running.contains_key(conn))
            .map(|(_, pin)| pin.until)
            .min()
    }

    /// Returns the connections of transactions that run no statement.
    pub(crate) fn idle_pins(&self) -> Vec<ConnId> {
        let pins = self.pins.keys().copied();
        pins.filter(|conn| !self.running.contains_key(conn))
            .collect()
    }

    /// Refuses the statements that wait for a transaction that is over.
    pub(crate) fn refuse_pinned(&mut self, cx: &mut Cx<'_>, conn: ConnId, reason: &'static str) {
        for job in self.queue.drain_where(|job| job.run.pin == Some(conn)) {
            job.refuse(cx, Refusal::TransactionLost, reason);
        }
    }

    /// Rolls an open transaction back by closing its connection.
    pub(crate) fn end_transaction(
        &mut self,
        cx: &mut Cx<'_>,
        shared: &mut Shared,
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
        self.close(cx, shared, conn, reason);
    }

    /// Returns whether one more transaction may be opened.
    pub(crate) fn transaction_room(&self, cx: &Cx<'_>) -> bool {
        let connections = self.held(cx.now).map_or(0, |claim| claim.connections);
        let most = f64::from(connections) * cx.settings.owner.transaction_share;
        let opening = self
            .running
            .values()
            .filter(|running| running.job.opens_transaction())
            .count();
        self.pins.len() + opening < (most as usize).max(1)
    }
}
