//! Admits requests for an upstream, queues them and starts them on free slots.
//!
//! - Slot: room for one statement that runs on an upstream at a time.
//! - Claim: the slots and connections of an upstream that this host may use until a lease ends,
//!   granted by the upstream.
//! - Bounce: return a request that has not run to its entry host, which tries another upstream; a
//!   refusal is the caller's answer.
//! - `CapacitySource::Claimed`: instances grant claims and are asked for statuses; `Announced`:
//!   owners work out their shares from announcements, the upstream refuses by itself, and each
//!   answer carries its position.

use std::time::Duration;

use model::{Refusal, Role};

use crate::group::GroupMsg;
use crate::owner::SharedState;
use crate::owner::job::{Job, RunningJob};
use crate::owner::log_event::OwnerLogEvent;
use crate::owner::replica_wait::WaitPolicy;
use crate::owner::settings::CapacitySource;
use crate::owner::upstream::Upstream;
use crate::queue::{Popped, QueueDiscipline, RequestQueue};
use crate::relay::Bounce;
use crate::{Cx, Effect};

/// Admission lengthens the expected wait by the wait divided by this, since the wait varies.
const WAIT_MARGIN_DIVISOR: u32 = 2;

impl<Q: QueueDiscipline, W: WaitPolicy> Upstream<Q, W> {
    /// Queues a request that isn't part of an open transaction, or bounces it if it can't run here.
    pub(crate) fn admit(&mut self, cx: &mut Cx<'_>, job: Job) {
        if !self.accepts_work(cx.now) {
            return job.bounce(cx, Bounce::NotOwner);
        }
        if let Err(bounce) = self.start_condition(cx, &job.run.req) {
            return job.bounce(cx, bounce);
        }
        if self.lacks_token(cx) || !self.breaker.allow(cx.now, &cx.settings.owner.breaker) {
            return job.bounce(cx, Bounce::Unavailable);
        }
        self.enqueue(cx, job);
    }

    /// Queues a request, or refuses it if it is not expected to run before its deadline.
    pub(crate) fn enqueue(&mut self, cx: &mut Cx<'_>, job: Job) {
        let urgent = job.run.pin.is_some();
        let slots = self.active_claim(cx.now).map_or(1, |claim| claim.slots);
        let ahead = self.queue.expected_wait(&job.run.req.workspace, urgent) / slots;
        let wait_bound = ahead + ahead / WAIT_MARGIN_DIVISOR;
        if !ahead.is_zero() && cx.now + wait_bound + self.min_time_left(&job) > job.deadline {
            return job.refuse(cx, Refusal::Overloaded, "deadline-out-of-reach");
        }
        let request = job.for_log();
        cx.log(OwnerLogEvent::Queued { request, ahead });
        self.push_job(job, urgent);
    }

    /// Adds a request to the queue; an urgent one goes before the rest of its workspace.
    pub(crate) fn push_job(&mut self, job: Job, urgent: bool) {
        let deadline = job.deadline;
        self.queue_expires_at = Some(
            self.queue_expires_at
                .map_or(deadline, |at| at.min(deadline)),
        );
        let workspace = job.run.req.workspace.clone();
        self.queue.push(&workspace, job, urgent);
    }

    /// Returns how much time must be left before its deadline for a request to start.
    ///
    /// It is the expected service time, but at most half of the request's timeout, so that slow
    /// requests still run and can be measured.
    fn min_time_left(&self, job: &Job) -> Duration {
        let cost = self.queue.expected_cost(&job.run.req.workspace);
        cost.min(job.run.req.timeout / 2)
    }

    /// Brings the queue, slots and connections in line with the claim: expires, starts and bounces
    /// requests, and opens and closes connections.
    pub(crate) fn reconcile(&mut self, cx: &mut Cx<'_>, shared: &mut SharedState) {
        self.claim.take_if(|(_, until)| *until <= cx.now);
        self.refuse_expired(cx);
        self.end_drain_if_due(cx);
        self.close_evacuated_if_due(cx);
        if !self.accepts_work(cx.now) {
            self.stop_work(cx, shared);
        }
        self.dispatch(cx);
        if self.queue.is_empty() {
            self.queue_expires_at = None;
        }
        self.trim_pool(cx, shared);
        self.open_missing_conns(cx, shared);
        self.release_claim(cx);
    }

    /// Gives up the claim on an instance that other hosts own now, once this part has drained it.
    fn release_claim(&mut self, cx: &mut Cx<'_>) {
        if self.owned || !self.live || !self.is_drained() || self.claim.take().is_none() {
            return;
        }
        let msg = GroupMsg::ClaimDrained {
            service: self.service.clone(),
            upstream: self.id.clone(),
        };
        let host = cx.me.host.clone();
        cx.send_control(&host, msg);
    }

    /// Refuses the queued requests whose deadline has passed.
    fn refuse_expired(&mut self, cx: &mut Cx<'_>) {
        let now = cx.now;
        if self.queue_expires_at.is_none_or(|at| now < at) {
            return;
        }
        for job in self.queue.drain_where(|job| job.deadline <= now) {
            job.refuse(cx, Refusal::Overloaded, "deadline-passed");
        }
        self.queue_expires_at = self.queue.items().map(|job| job.deadline).min();
    }

    /// Bounces the queued requests and closes idle connections; also rolls back idle transactions if
    /// the claim has ended, nothing may be sent to the upstream as its data centre is evacuated, or
    /// the leave deadline, until which a leaving host waits for open transactions, has passed.
    fn stop_work(&mut self, cx: &mut Cx<'_>, shared: &mut SharedState) {
        for job in self.queue.drain_where(|job| job.run.pin.is_none()) {
            job.bounce(cx, Bounce::NotOwner);
        }
        for conn in self.pool.remove_surplus(0) {
            self.close_conn(cx, shared, conn, "no-claim");
        }
        let is_closed = self.evacuation.is_closed(cx.now);
        if self.end_transactions || is_closed || self.active_claim(cx.now).is_none() {
            for conn in self.idle_pins() {
                self.end_transaction(cx, shared, conn, "handed-over");
            }
        }
    }

    /// Starts queued requests while slots and connections are free.
    fn dispatch(&mut self, cx: &mut Cx<'_>) {
        let slots = self
            .active_claim(cx.now)
            .map_or(0, |claim| claim.slots as usize);
        while self.running.len() < slots {
            let (running, pool) = (&self.running, &self.pool);
            let settings = &cx.settings.owner;
            let may_open_transaction = self.has_transaction_room(cx);
            let popped = self.queue.pop(|job| match job.run.pin {
                Some(conn) => !running.contains_key(&conn),
                None => {
                    let free = pool.has_idle(&settings.pool_key(&job.run.req));
                    free && (may_open_transaction || !job.opens_transaction())
                }
            });
            let Some(popped) = popped else {
                return;
            };
            self.start(cx, popped);
        }
    }

    /// Starts a request on its pinned connection or a free one; refuses or bounces it if too little
    /// time is left or the upstream no longer suits it.
    fn start(&mut self, cx: &mut Cx<'_>, popped: Popped<Job>) {
        let Popped { item: job, charge } = popped;
        let workspace = job.run.req.workspace.clone();
        let timeout = job.deadline.duration_since(cx.now);
        if timeout < self.min_time_left(&job) {
            self.queue.refund(&workspace, charge);
            return job.refuse(cx, Refusal::Overloaded, "too-little-time-left");
        }
        let fit = match job.run.pin {
            Some(_) => Ok(None),
            None if self.lacks_token(cx) => Err(Bounce::Unavailable),
            None => self.start_condition(cx, &job.run.req),
        };
        let (wait_for, known) = match (fit, &self.progress) {
            (Ok(wait_for), Some(known)) => (wait_for, known),
            (fit, _) => {
                self.queue.refund(&workspace, charge);
                return job.bounce(cx, fit.err().unwrap_or(Bounce::Unavailable));
            }
        };
        let key = cx.settings.owner.pool_key(&job.run.req);
        let Some(conn) = job.run.pin.or_else(|| self.pool.check_out(&key)) else {
            return job.bounce(cx, Bounce::Unavailable);
        };
        let claimed = cx.settings.owner.capacity == CapacitySource::Claimed;
        let request = job.for_log();
        let reason = match job.run.pin {
            Some(_) => "transaction",
            None => "free",
        };
        cx.log(OwnerLogEvent::Dispatched {
            request,
            conn,
            reason,
            draining: self.drain.is_announced(),
        });
        let wait_for = wait_for.map(|(position, wait)| (position, wait.min(timeout)));
        cx.emit(Effect::RunOnConn {
            conn,
            payload: job.run.req.payload.clone(),
            wait_for,
            require_primary: known.status.role == Role::Primary,
            want_status: claimed && (job.may_write() || job.reads_newest()),
            timeout,
        });
        let running = RunningJob {
            started_at: cx.now,
            charge,
            role: known.status.role,
            term: known.status.term,
            caller_gone: false,
            check_status_before: claimed && wait_for.is_some(),
            job,
        };
        self.running.insert(conn, running);
        if let Some(ramp) = &mut self.ramp {
            ramp.spend(cx.now);
        }
    }
}
