//! What follows from an event of a connection to an upstream.

use model::{Answer, ConnId, HostId, Refusal, Role, TxStatus, Verdict};

use crate::Cx;
use crate::conn::{RunOutcome, UpstreamRejection};
use crate::group::GroupMsg;
use crate::owner::Shared;
use crate::owner::job::{Job, Pin, Running};
use crate::owner::log_event::OwnerLogEvent;
use crate::owner::settings::Capacity;
use crate::owner::upstream::{Upstream, age_bound, reaches};
use crate::owner::wait::WaitPolicy;
use crate::queue::{Discipline, Queue};
use crate::relay::Bounce;

/// How often a request is given to a connection that breaks before anything is sent.
const MAX_TRIES: u32 = 2;

impl<Q: Discipline, W: WaitPolicy> Upstream<Q, W> {
    /// A connection is ready.
    pub(crate) fn on_opened(&mut self, cx: &mut Cx<'_>, shared: &mut Shared, conn: ConnId) {
        self.breaker.connected();
        self.open_after = None;
        if !self
            .pool
            .opened(conn, cx.now, cx.now + cx.settings.owner.idle_timeout)
        {
            self.close(cx, shared, conn, "replaced");
        }
    }

    /// A connection could not be opened.
    pub(crate) fn on_open_failed(
        &mut self,
        cx: &mut Cx<'_>,
        shared: &mut Shared,
        conn: ConnId,
        exhausted: bool,
    ) {
        let reason = if exhausted {
            "exhausted"
        } else {
            "unreachable"
        };
        self.forget(cx, shared, conn, reason);
        self.open_after = Some(cx.now + cx.settings.owner.open_backoff);
        if !exhausted {
            self.count_failure(cx);
            self.doubt(cx);
        }
    }

    /// Lets the control part probe the instance now and not at its next turn.
    fn doubt(&self, cx: &mut Cx<'_>) {
        let msg = GroupMsg::Doubted {
            service: self.service.clone(),
            upstream: self.id.clone(),
        };
        let host = cx.me.host.clone();
        cx.send_control(&host, msg);
    }

    /// A connection broke, or its request timed out.
    pub(crate) fn on_lost(
        &mut self,
        cx: &mut Cx<'_>,
        shared: &mut Shared,
        conn: ConnId,
        sent: bool,
    ) {
        self.forget(cx, shared, conn, "lost");
        self.doubt(cx);
        let pinned = self.pins.remove(&conn).is_some();
        if pinned {
            self.refuse_pinned(cx, conn, "connection-lost");
        }
        if let Some(running) = self.running.remove(&conn) {
            self.lose(cx, shared, running, sent, pinned);
        }
    }

    /// Sends elsewhere what waits for an instance that answers no more.
    ///
    /// A write that has been sent is waited for until another primary has taken over.
    pub(crate) fn evacuate(&mut self, cx: &mut Cx<'_>, shared: &mut Shared) {
        if !self.down {
            return;
        }
        for job in self.queue.drain_where(|job| job.run.pin.is_none()) {
            job.bounce(cx, Bounce::Unavailable);
        }
        let replaced = self.is_replaced();
        let gone = |running: &Running| replaced || !running.job.may_write();
        let silent = self.running.iter().filter(|(_, running)| gone(running));
        let mut silent: Vec<ConnId> = silent.map(|(conn, _)| *conn).collect();
        silent.sort_unstable();
        for conn in silent {
            let Some(running) = self.running.remove(&conn) else {
                continue;
            };
            let pinned = self.pins.remove(&conn).is_some();
            self.close(cx, shared, conn, "silent");
            self.lose(cx, shared, running, true, pinned);
        }
    }

    /// Settles a request whose connection is lost.
    fn lose(
        &mut self,
        cx: &mut Cx<'_>,
        shared: &mut Shared,
        running: Running,
        sent: bool,
        pinned: bool,
    ) {
        let took = cx.now.duration_since(running.started);
        let workspace = running.job.run.req.workspace.clone();
        self.queue.served(&workspace, running.charge, took);
        for conn in self.pool.free_since(running.started) {
            self.close(cx, shared, conn, "suspect");
        }
        let unheard = self.heard_at.is_none_or(|at| at < running.started);
        let in_time = cx.now < running.job.deadline;
        if unheard && (in_time || took >= cx.settings.owner.breaker.silent_after) {
            self.count_failure(cx);
        }
        if running.orphan {
            return;
        }
        let job = running.job;
        match (sent, pinned) {
            (false, true) => job.refuse(cx, Refusal::TransactionLost, "connection-lost"),
            (false, false) => self.try_again(cx, job),
            (true, false) if !job.writes() || job.run.req.repeatable => {
                job.bounce(cx, Bounce::Unproved);
            }
            (true, _) => job.may_have_run(cx),
        }
    }

    /// Queues a request of which nothing was sent once more.
    fn try_again(&mut self, cx: &mut Cx<'_>, mut job: Job) {
        job.tries += 1;
        if job.tries >= MAX_TRIES {
            return job.bounce(cx, Bounce::Unavailable);
        }
        self.push(job, true);
    }

    /// A request has its whole answer.
    pub(crate) fn on_done(
        &mut self,
        cx: &mut Cx<'_>,
        shared: &mut Shared,
        conn: ConnId,
        outcome: RunOutcome,
    ) {
        let Some(running) = self.running.remove(&conn) else {
            return self.close(cx, shared, conn, "crossed");
        };
        let took = cx.now.duration_since(running.started);
        let workspace = &running.job.run.req.workspace;
        self.queue.served(workspace, running.charge, took);
        self.heard_at = Some(cx.now);
        self.breaker.succeeded();
        for status in outcome.status_before.iter().chain(&outcome.status_after) {
            self.learn(status.clone(), running.started);
        }
        if running.role == Role::Primary
            && outcome.rejected.is_none()
            && let Some(position) = outcome.position
        {
            let service = &self.service;
            shared.positions.note(service, position, running.started);
            self.reached = shared.positions.get(service);
        }
        let pin = self.pins.remove(&conn);
        let pinned = pin.is_some();
        let verdict = judge(&running, &outcome, pinned);
        let keeps = verdict.is_ok() && !running.orphan;
        let wrote = running.job.writes() || pin.is_some_and(|pin| pin.wrote);
        match outcome.tx {
            TxStatus::Idle => {
                if !self
                    .pool
                    .release(conn, cx.now, cx.now + cx.settings.owner.idle_timeout)
                {
                    self.close(cx, shared, conn, "replaced");
                }
            }
            TxStatus::Open | TxStatus::Failed if keeps => {
                self.pins.insert(
                    conn,
                    Pin {
                        from: running.job.from.clone(),
                        session: running.job.run.session,
                        until: cx.now + cx.settings.owner.idle_in_transaction,
                        wrote,
                    },
                );
            }
            TxStatus::Open | TxStatus::Failed => self.close(cx, shared, conn, "abandoned"),
        }
        if pinned && !self.pins.contains_key(&conn) {
            self.refuse_pinned(cx, conn, "transaction-over");
        }
        if running.orphan {
            return;
        }
        match verdict {
            Err(Unfit::Behind) => running.job.bounce(cx, Bounce::Behind),
            Err(Unfit::Busy) => self.try_again(cx, running.job),
            Err(Unfit::NotPrimary) => running.job.bounce(cx, self.not_primary()),
            Err(Unfit::TransactionLost) => {
                running
                    .job
                    .refuse(cx, Refusal::TransactionLost, "not-primary");
            }
            Ok(()) => self.deliver(cx, shared, conn, running, outcome, wrote),
        }
    }

    /// Sends an answer, once it is confirmed if it may have written.
    fn deliver(
        &mut self,
        cx: &mut Cx<'_>,
        shared: &mut Shared,
        conn: ConnId,
        running: Running,
        outcome: RunOutcome,
        wrote: bool,
    ) {
        if cx.settings.owner.capacity == Capacity::Announced {
            let job = &running.job;
            let done = job.writes() && outcome.tx == TxStatus::Idle;
            let pin = (outcome.tx != TxStatus::Idle).then_some(conn);
            let answer = Answer {
                verdict: Verdict::Ran,
                payload: outcome.payload,
                tx: outcome.tx,
                position: outcome.position.filter(|_| done),
            };
            return job.answer(cx, answer, pin);
        }
        let status = outcome
            .status_after
            .as_ref()
            .or(outcome.status_before.as_ref());
        let answer = Answer {
            verdict: Verdict::Ran,
            payload: outcome.payload,
            tx: outcome.tx,
            position: status.map(|status| status.position),
        };
        if outcome.tx != TxStatus::Idle {
            return running.job.answer(cx, answer, Some(conn));
        }
        let newest = running.job.reads_newest() && running.role == Role::Primary;
        if !wrote && !newest {
            return running.job.answer(cx, answer, None);
        }
        let Some(after) = outcome.status_after else {
            return running.job.unproved(cx);
        };
        let same_term = after.term == running.term;
        match (running.role, after.role) {
            (Role::Primary, Role::Primary) if same_term && after.position.term == after.term => {
                let service = &self.service;
                shared
                    .confirms
                    .hold(cx, service, after.position, running.job, answer);
            }
            (Role::Replica, Role::Replica) if same_term => running.job.answer(cx, answer, None),
            _ => running.job.unproved(cx),
        }
    }

    /// Forgets what concerns a host that can't be reached.
    pub(crate) fn on_link_down(&mut self, cx: &mut Cx<'_>, shared: &mut Shared, host: &HostId) {
        self.queue.drain_where(|job| job.from.host == *host);
        for running in self.running.values_mut() {
            running.orphan |= running.job.from.host == *host;
        }
        for conn in self.idle_pins() {
            if self
                .pins
                .get(&conn)
                .is_some_and(|pin| pin.from.host == *host)
            {
                self.end_transaction(cx, shared, conn, "link-down");
            }
        }
    }

    /// Drops a connection that is gone.
    fn forget(&mut self, cx: &mut Cx<'_>, shared: &mut Shared, conn: ConnId, reason: &'static str) {
        self.pool.remove(conn);
        shared.conns.remove(&conn);
        let upstream = self.id.clone();
        cx.log(OwnerLogEvent::ConnLost {
            upstream,
            conn,
            reason,
        });
    }

    /// Counts a failure, and sends the queue elsewhere if the upstream now counts as sick.
    pub(crate) fn count_failure(&mut self, cx: &mut Cx<'_>) {
        if !self.breaker.failed(cx.now, &cx.settings.owner.breaker) {
            return;
        }
        self.open_after = Some(cx.now + cx.settings.owner.breaker.open_for);
        let upstream = self.id.clone();
        cx.log(OwnerLogEvent::BreakerOpened { upstream });
        for job in self.queue.drain_where(|job| job.run.pin.is_none()) {
            job.bounce(cx, Bounce::Unavailable);
        }
    }
}

/// Why an outcome is not the answer to its request.
enum Unfit {
    /// The upstream refused a write before it ran.
    NotPrimary,
    /// The upstream refused a statement of a transaction.
    TransactionLost,
    /// The upstream has more to do than it takes.
    Busy,
    /// A read ran on data that is behind its floor or too old.
    Behind,
}

/// Returns whether an outcome may be handed out.
fn judge(running: &Running, outcome: &RunOutcome, pinned: bool) -> Result<(), Unfit> {
    match outcome.rejected {
        Some(_) if pinned => return Err(Unfit::TransactionLost),
        Some(UpstreamRejection::NotPrimary) => return Err(Unfit::NotPrimary),
        Some(UpstreamRejection::Behind) => return Err(Unfit::Behind),
        Some(UpstreamRejection::Busy) => return Err(Unfit::Busy),
        None => {}
    }
    if !running.waits {
        return Ok(());
    }
    let req = &running.job.run.req;
    let before = outcome.status_before.as_ref().ok_or(Unfit::Behind)?;
    let reached = reaches(before, req.floor.unwrap_or_default());
    let fresh = req.max_age.is_none_or(|max| age_bound(before) <= max);
    (reached && fresh).then_some(()).ok_or(Unfit::Behind)
}
