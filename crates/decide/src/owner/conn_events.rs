//! Handles events of pooled connections: opened, failed, request done, connection lost.
//!
//! - Control part: the thread state of this host that probes upstreams.
//! - Bounce: return a request that has not run to its entry host, which tries another upstream; a
//!   refusal is the caller's answer.
//! - `CapacitySource::Claimed`: instances grant claims and are asked for statuses; `Announced`:
//!   owners work out their shares from announcements, the upstream refuses by itself, and each
//!   answer carries its position.

use model::{Answer, ConnId, HostId, Refusal, Role, TxStatus, Verdict};

use crate::Cx;
use crate::conn::{LossReason, RunOutcome, UpstreamRejection};
use crate::group::GroupMsg;
use crate::owner::SharedState;
use crate::owner::ack_gate::AckDecision;
use crate::owner::faulty::may_run_again;
use crate::owner::job::{Job, Pin, RunningJob};
use crate::owner::log_event::OwnerLogEvent;
use crate::owner::outcome::{UnusableOutcome, check_outcome, is_retryable_in_transaction};
use crate::owner::replica_wait::WaitPolicy;
use crate::owner::settings::CapacitySource;
use crate::owner::upstream::Upstream;
use crate::queue::{QueueDiscipline, RequestQueue};
use crate::relay::Bounce;

/// How often a request may come back without having run, from a broken connection or a busy
/// upstream, until it is bounced.
const MAX_ATTEMPTS: u32 = 2;

impl<Q: QueueDiscipline, W: WaitPolicy> Upstream<Q, W> {
    /// Adds a connection that is ready to the free ones.
    ///
    /// It is closed as replaced if the pool's connections were invalidated while it was opened.
    pub(crate) fn on_conn_opened(
        &mut self,
        cx: &mut Cx<'_>,
        shared: &mut SharedState,
        conn: ConnId,
    ) {
        self.breaker.on_connected();
        self.next_open_at = None;
        if !self
            .pool
            .mark_open(conn, cx.now, cx.now + cx.settings.owner.idle_timeout)
        {
            self.close_conn(cx, shared, conn, "replaced");
        }
    }

    /// Drops a connection that could not be opened, and backs off before the next attempt.
    pub(crate) fn on_conn_open_failed(
        &mut self,
        cx: &mut Cx<'_>,
        shared: &mut SharedState,
        conn: ConnId,
        exhausted: bool,
    ) {
        let reason = if exhausted {
            "exhausted"
        } else {
            "unreachable"
        };
        self.drop_lost_conn(cx, shared, conn, reason);
        self.next_open_at = Some(cx.now + cx.settings.owner.open_backoff);
        if !exhausted {
            self.record_failure(cx);
            self.request_probe(cx);
        }
    }

    /// Asks the control part to probe the instance now instead of at the next interval.
    fn request_probe(&self, cx: &mut Cx<'_>) {
        let msg = GroupMsg::ConnectionFailed {
            service: self.service.clone(),
            upstream: self.id.clone(),
        };
        let host = cx.me.host.clone();
        cx.send_control(&host, msg);
    }

    /// Drops a connection that is of no more use, and resolves its request.
    pub(crate) fn on_conn_lost(
        &mut self,
        cx: &mut Cx<'_>,
        shared: &mut SharedState,
        conn: ConnId,
        sent: bool,
        reason: LossReason,
    ) {
        self.drop_lost_conn(cx, shared, conn, reason.as_str());
        if reason.suggests_upstream_failure() {
            self.request_probe(cx);
        }
        let pinned = self.pins.remove(&conn).is_some();
        if pinned {
            self.refuse_pinned(cx, conn, "connection-lost");
        }
        if let Some(running) = self.running.remove(&conn) {
            let blame = reason.suggests_upstream_failure();
            self.resolve_lost_job(cx, shared, running, sent, pinned, blame);
        }
    }

    /// Bounces the queue of an instance that does not answer, and gives up its running reads.
    ///
    /// A request that may write keeps running until another primary has taken over.
    pub(crate) fn abandon_if_unreachable(&mut self, cx: &mut Cx<'_>, shared: &mut SharedState) {
        if !self.unreachable {
            return;
        }
        for job in self.queue.drain_where(|job| job.run.pin.is_none()) {
            job.bounce(cx, Bounce::Unavailable);
        }
        let replaced = self.is_replaced();
        let give_up = |running: &RunningJob| replaced || !running.job.may_write();
        let abandoned = self.running.iter().filter(|(_, running)| give_up(running));
        let mut abandoned: Vec<ConnId> = abandoned.map(|(conn, _)| *conn).collect();
        abandoned.sort_unstable();
        for conn in abandoned {
            let Some(running) = self.running.remove(&conn) else {
                continue;
            };
            let pinned = self.pins.remove(&conn).is_some();
            self.close_conn(cx, shared, conn, "silent");
            self.resolve_lost_job(cx, shared, running, true, pinned, true);
        }
    }

    /// Retries, bounces or answers a request whose connection is lost.
    ///
    /// If the upstream may be to blame, also closes the connections that have been idle since before
    /// the request started, as they may be broken too. The loss then counts as a failure of the
    /// upstream if no request has been answered since the start of this one, unless it only ran into
    /// its deadline before `silent_after` had passed.
    fn resolve_lost_job(
        &mut self,
        cx: &mut Cx<'_>,
        shared: &mut SharedState,
        running: RunningJob,
        sent: bool,
        pinned: bool,
        blame_upstream: bool,
    ) {
        let took = cx.now.duration_since(running.started_at);
        let workspace = running.job.run.req.workspace.clone();
        self.queue
            .record_service_time(&workspace, running.charge, took);
        if blame_upstream {
            for conn in self.pool.remove_idle_since(running.started_at) {
                self.close_conn(cx, shared, conn, "suspect");
            }
            let answered = self
                .last_answer_at
                .is_some_and(|at| at >= running.started_at);
            let before_deadline = cx.now < running.job.deadline;
            self.record_outcome(cx, &running.job, true);
            if !answered && (before_deadline || took >= cx.settings.owner.breaker.silent_after) {
                self.record_failure(cx);
            }
        }
        if running.caller_gone {
            return;
        }
        let job = running.job;
        match (sent, pinned) {
            (false, true) => job.refuse(cx, Refusal::TransactionLost, "connection-lost"),
            (false, false) => self.requeue(cx, job),
            (true, false) if !job.is_write() || job.run.req.repeatable => {
                job.bounce(cx, Bounce::Unproved);
            }
            (true, _) => job.answer_may_have_run(cx),
        }
    }

    /// Puts a request that did not run back into the queue, or bounces it after [`MAX_ATTEMPTS`].
    fn requeue(&mut self, cx: &mut Cx<'_>, mut job: Job) {
        job.attempts += 1;
        if job.attempts >= MAX_ATTEMPTS {
            return job.bounce(cx, Bounce::Unavailable);
        }
        self.push_job(job, true);
    }

    /// Handles the complete answer of a request: frees, pins or closes the connection, and answers,
    /// retries or bounces the request.
    pub(crate) fn on_job_done(
        &mut self,
        cx: &mut Cx<'_>,
        shared: &mut SharedState,
        conn: ConnId,
        outcome: RunOutcome,
    ) {
        let Some(running) = self.running.remove(&conn) else {
            // The request was given up before its answer arrived.
            return self.close_conn(cx, shared, conn, "crossed");
        };
        let took = cx.now.duration_since(running.started_at);
        let workspace = &running.job.run.req.workspace;
        match outcome.rejected {
            // The time of a rejection says nothing of the time that the request takes if it runs.
            Some(_) => self.queue.refund(workspace, running.charge),
            None => self
                .queue
                .record_service_time(workspace, running.charge, took),
        }
        self.adjust_limit(cx, running.started_at, outcome.rejected);
        if outcome.rejected.is_none() {
            self.record_outcome(cx, &running.job, outcome.failed);
        }
        self.last_answer_at = Some(cx.now);
        self.breaker.on_success();
        for status in outcome.status_before.iter().chain(&outcome.status_after) {
            self.record_status(status.clone(), running.started_at);
        }
        // A busy primary tells its position too, so that replicas can prove the age of their data.
        let tells_position = matches!(outcome.rejected, None | Some(UpstreamRejection::Busy));
        if running.role == Role::Primary
            && tells_position
            && let Some(position) = outcome.position
        {
            let service = &self.service;
            shared
                .primary_positions
                .record(service, position, running.started_at);
            self.primary_position = shared.primary_positions.get(service);
        }
        let pin = self.pins.remove(&conn);
        let pinned = pin.is_some();
        let limits = cx.settings.room.limit_concurrency;
        let verdict = match check_outcome(&running, &outcome, pinned) {
            // The transaction is still open, and the read has not run in it.
            Err(_) if limits && pinned && is_retryable_in_transaction(&running, &outcome) => {
                Err(UnusableOutcome::Busy)
            }
            verdict => verdict,
        };
        let is_retried = pinned && matches!(verdict, Err(UnusableOutcome::Busy));
        let keeps_transaction = (verdict.is_ok() || is_retried) && !running.caller_gone;
        // A `COMMIT` counts as a write even if its transaction has written nothing.
        let commits = match &pin {
            Some(pin) => pin.may_have_written && !running.job.run.req.rolls_back,
            None => running.job.is_write(),
        };
        let commits = commits && outcome.tx == TxStatus::Idle;
        let wrote = running.job.is_write() || pin.is_some_and(|pin| pin.may_have_written);
        match outcome.tx {
            TxStatus::Idle => {
                if !self
                    .pool
                    .release(conn, cx.now, cx.now + cx.settings.owner.idle_timeout)
                {
                    self.close_conn(cx, shared, conn, "replaced");
                }
            }
            TxStatus::Open | TxStatus::Failed if keeps_transaction => {
                self.pins.insert(
                    conn,
                    Pin {
                        from: running.job.from.clone(),
                        session: running.job.run.session,
                        expires_at: cx.now + cx.settings.owner.idle_in_transaction,
                        may_have_written: wrote,
                    },
                );
            }
            TxStatus::Open | TxStatus::Failed => self.close_conn(cx, shared, conn, "abandoned"),
        }
        if pinned && !self.pins.contains_key(&conn) {
            self.refuse_pinned(cx, conn, "transaction-over");
        }
        if running.caller_gone {
            return;
        }
        if verdict.is_ok() {
            self.behind_at = None;
        }
        match verdict {
            Err(UnusableOutcome::Behind) => self.bounce(cx, &running.job, Bounce::Behind),
            Err(UnusableOutcome::Busy) if self.waits_in_vain(cx, &running.job) => {
                running.job.turn_away(cx);
            }
            Err(UnusableOutcome::Busy) if limits => {
                self.push_job(running.job, true);
            }
            Err(UnusableOutcome::Busy) => self.requeue(cx, running.job),
            Err(UnusableOutcome::NotPrimary) => running.job.bounce(cx, self.not_primary_bounce()),
            Err(UnusableOutcome::TransactionLost) => {
                running
                    .job
                    .refuse(cx, Refusal::TransactionLost, "not-primary");
            }
            Ok(()) if may_run_again(cx, &running, &outcome) => running.job.send_error(cx, outcome),
            Ok(()) if commits => {
                let lease_time = cx.settings.group.ack_lease;
                let position = outcome.position;
                let gate = &mut shared.ack_gate;
                let decision = gate.decide(cx.now, lease_time, &self.service, position);
                match (decision, position) {
                    (AckDecision::PassOn, _) => {
                        self.answer_once_confirmed(cx, shared, conn, running, outcome, wrote);
                    }
                    (AckDecision::NoLease, Some(position)) => {
                        let answer = running.job.answer_from(outcome);
                        let held_acks = &mut shared.held_acks;
                        held_acks.hold(&self.service, running.job, answer, position);
                    }
                    (AckDecision::Stopped | AckDecision::NoLease, _) => {
                        running.job.answer_may_have_run(cx);
                    }
                }
            }
            Ok(()) => self.answer_once_confirmed(cx, shared, conn, running, outcome, wrote),
        }
    }

    /// Sends an answer at once, or holds it back until a majority of the group's instances
    /// confirms its log position.
    ///
    /// Confirmation is needed at the end of anything that may have written, and for a read of the
    /// newest state on the primary.
    fn answer_once_confirmed(
        &mut self,
        cx: &mut Cx<'_>,
        shared: &mut SharedState,
        conn: ConnId,
        running: RunningJob,
        outcome: RunOutcome,
        wrote: bool,
    ) {
        if cx.settings.owner.capacity == CapacitySource::Announced {
            let pin = (outcome.tx != TxStatus::Idle).then_some(conn);
            let answer = running.job.answer_from(outcome);
            return running.job.send_answer(cx, answer, pin);
        }
        let status = outcome
            .status_after
            .as_ref()
            .or(outcome.status_before.as_ref());
        let answer = Answer {
            verdict: Verdict::Ran,
            payload: outcome.payload,
            tx_status: outcome.tx,
            position: status.map(|status| status.position),
        };
        if outcome.tx != TxStatus::Idle {
            return running.job.send_answer(cx, answer, Some(conn));
        }
        let newest = running.job.reads_newest() && running.role == Role::Primary;
        if !wrote && !newest {
            return running.job.send_answer(cx, answer, None);
        }
        let Some(after) = outcome.status_after else {
            return running.job.answer_unproved(cx);
        };
        let same_term = after.term == running.term;
        match (running.role, after.role) {
            (Role::Primary, Role::Primary) if same_term && after.position.term == after.term => {
                let service = &self.service;
                shared
                    .unconfirmed
                    .hold(cx, service, after.position, running.job, answer);
            }
            (Role::Replica, Role::Replica) if same_term => {
                running.job.send_answer(cx, answer, None)
            }
            _ => running.job.answer_unproved(cx),
        }
    }

    /// Drops the queued requests and idle transactions of an entry host whose link is down; running
    /// requests end without an answer.
    pub(crate) fn on_link_down(
        &mut self,
        cx: &mut Cx<'_>,
        shared: &mut SharedState,
        host: &HostId,
    ) {
        self.queue.drain_where(|job| job.from.host == *host);
        for running in self.running.values_mut() {
            running.caller_gone |= running.job.from.host == *host;
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

    /// Removes a connection that has broken or failed to open.
    fn drop_lost_conn(
        &mut self,
        cx: &mut Cx<'_>,
        shared: &mut SharedState,
        conn: ConnId,
        reason: &'static str,
    ) {
        self.pool.remove(conn);
        shared.upstream_of_conn.remove(&conn);
        let upstream = self.id.clone();
        cx.log(OwnerLogEvent::ConnLost {
            upstream,
            conn,
            reason,
        });
    }

    /// Counts a failure, and bounces the queue if that opens the circuit breaker.
    pub(crate) fn record_failure(&mut self, cx: &mut Cx<'_>) {
        if !self.breaker.on_failure(cx.now, &cx.settings.owner.breaker) {
            return;
        }
        self.next_open_at = Some(cx.now + cx.settings.owner.breaker.open_for);
        let upstream = self.id.clone();
        cx.log(OwnerLogEvent::BreakerOpened { upstream });
        for job in self.queue.drain_where(|job| job.run.pin.is_none()) {
            job.bounce(cx, Bounce::Unavailable);
        }
    }
}
