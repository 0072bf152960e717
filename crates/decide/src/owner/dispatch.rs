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

use std::time::{Duration, Instant};

use model::{Refusal, Role};

use crate::conn::UpstreamRejection;
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
            return self.bounce(cx, &job, bounce);
        }
        if self.lacks_token(cx) || !self.breaker.allow(cx.now, &cx.settings.owner.breaker) {
            return job.bounce(cx, Bounce::Unavailable);
        }
        self.enqueue(cx, job);
    }

    /// Bounces a request that can't run here, and records whether the instance is behind for it.
    pub(crate) fn bounce(&mut self, cx: &mut Cx<'_>, job: &Job, why: Bounce) {
        if why == Bounce::Behind {
            self.behind_at = Some(cx.now);
        }
        job.bounce(cx, why);
    }

    /// Queues a request, or refuses it if it is not expected to run before its deadline.
    pub(crate) fn enqueue(&mut self, cx: &mut Cx<'_>, mut job: Job) {
        if self.turns_away(cx, &job) {
            return job.turn_away(cx);
        }
        job.cost = self.queue.expected_cost(&job.run.req.workspace);
        let urgent = job.run.pin.is_some();
        let mut slots = self.claimed_slots(cx.now).max(1);
        if cx.settings.room.limit_concurrency {
            slots = self.limit.limit(slots);
        }
        let ahead = self.expected_wait(cx, &job, urgent, slots);
        let wait_bound = ahead + ahead / WAIT_MARGIN_DIVISOR;
        // A refused statement ends its transaction, and the work done in it is lost.
        let may_be_late = urgent || job.waiting(cx.now).is_late();
        let by_objective = cx.settings.room.rank_requests && !may_be_late;
        let latest = match by_objective {
            true => job.objective_at,
            false => job.deadline,
        };
        if !ahead.is_zero() && cx.now + wait_bound + self.min_time_left(&job) > latest {
            return job.refuse(cx, Refusal::Overloaded, "deadline-out-of-reach");
        }
        let request = job.for_log();
        cx.log(OwnerLogEvent::Queued { request, ahead });
        self.push_job(job, urgent);
    }

    /// Returns how long a new request is expected to wait for one of some slots.
    fn expected_wait(&self, cx: &Cx<'_>, job: &Job, urgent: bool, slots: u32) -> Duration {
        let workspace = &job.run.req.workspace;
        if !cx.settings.room.rank_requests {
            return self.queue.expected_wait(workspace, urgent) / slots;
        }
        let rank = job.waiting(cx.now).rank();
        let goes_ahead = |other: &Job| other.waiting(cx.now).rank() <= rank;
        let ahead = self
            .queue
            .expected_wait_behind(workspace, urgent, goes_ahead);
        self.pace.expected_wait(ahead, slots)
    }

    /// Adjusts the concurrency limit to the response to a request that started at `started_at`.
    pub(crate) fn adjust_limit(
        &mut self,
        cx: &mut Cx<'_>,
        started_at: Instant,
        rejected: Option<UpstreamRejection>,
    ) {
        if !cx.settings.room.limit_concurrency {
            return;
        }
        let slots = self.claimed_slots(cx.now);
        let before = self.limit.limit(slots);
        match rejected {
            Some(UpstreamRejection::Busy) => self.limit.on_busy(cx.now, started_at, slots),
            Some(_) => {}
            None => self.limit.on_success(slots),
        }
        let limit = self.limit.limit(slots);
        // One line for each time that the limit leaves or reaches one of its ends.
        let is_end = |limit: u32| limit == slots || limit == 1;
        if limit != before && (is_end(limit) || before == slots) {
            cx.log(OwnerLogEvent::LimitChanged {
                upstream: self.id.clone(),
                slots,
                limit,
                queued: self.queue.len(),
            });
        }
    }

    /// Returns for how long the upstream has answered nothing but busy, if that is some time.
    fn refusing_for(&self, cx: &Cx<'_>) -> Option<Duration> {
        let limits = cx.settings.room.limit_concurrency;
        self.limit.refusing_for(cx.now).filter(|_| limits)
    }

    /// Returns whether a request gains nothing by waiting, since the upstream refuses everything.
    pub(crate) fn waits_in_vain(&self, cx: &Cx<'_>, job: &Job) -> bool {
        let refusing = self.refusing_for(cx);
        refusing.is_some_and(|time| job.waits_in_vain(time))
    }

    /// Returns whether a request is sent back at once, since it would wait in vain; one at a time is
    /// let through to see whether the upstream still refuses everything.
    fn turns_away(&self, cx: &Cx<'_>, job: &Job) -> bool {
        let is_probed = !self.queue.is_empty() || !self.running.is_empty();
        self.waits_in_vain(cx, job) && (is_probed || self.usable_slots(cx) == 0)
    }

    /// Sends the requests back that wait in vain for an upstream which refuses everything, but for
    /// the first one in time.
    fn empty_refused_queue(&mut self, cx: &mut Cx<'_>) {
        let Some(time) = self.refusing_for(cx).filter(|_| !self.queue.is_empty()) else {
            return;
        };
        let now = cx.now;
        let mut kept = false;
        let is_surplus = |job: &Job| {
            let is_late = job.objective_at <= now;
            job.waits_in_vain(time) && (is_late || std::mem::replace(&mut kept, true))
        };
        for job in self.queue.drain_where(is_surplus) {
            job.turn_away(cx);
        }
    }

    /// Refuses the queued requests that can't meet their objective any more, while others that can
    /// wait for every slot.
    ///
    /// Under overload the oldest requests are late. If they ran, those behind them would be late
    /// when their turn comes, and so would be all that follow.
    fn refuse_late(&mut self, cx: &mut Cx<'_>) {
        if !cx.settings.room.rank_requests {
            return;
        }
        let now = cx.now;
        let in_time = self.queue.items().filter(|job| !job.waiting(now).is_late());
        if in_time.count() < self.claimed_slots(now).max(1) as usize {
            return;
        }
        for job in self.queue.drain_where(|job| job.waiting(now).is_late()) {
            job.refuse(cx, Refusal::Overloaded, "objective-missed");
        }
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
        self.limit.on_tick(cx.now);
        self.refuse_expired(cx);
        self.end_drain_if_due(cx);
        self.close_evacuated_if_due(cx);
        if !self.accepts_work(cx.now) {
            self.stop_work(cx, shared);
        }
        self.dispatch(cx);
        self.empty_refused_queue(cx);
        self.refuse_late(cx);
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
        let slots = self.usable_slots(cx);
        while self.running.len() < slots {
            let (running, pool) = (&self.running, &self.pool);
            let settings = &cx.settings.owner;
            let may_open_transaction = self.has_transaction_room(cx);
            let eligible = |job: &Job| match job.run.pin {
                Some(conn) => !running.contains_key(&conn),
                None => {
                    let free = pool.has_idle(&settings.pool_key(&job.run.req));
                    free && (may_open_transaction || !job.opens_transaction())
                }
            };
            let popped = match cx.settings.room.rank_requests {
                true => {
                    let rank = |job: &Job| job.waiting(cx.now).rank();
                    self.queue
                        .pop_ranked(|job| eligible(job).then(|| rank(job)))
                }
                false => self.queue.pop(eligible),
            };
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
                let bounce = fit.err().unwrap_or(Bounce::Unavailable);
                return self.bounce(cx, &job, bounce);
            }
        };
        let slots = self.claimed_slots(cx.now);
        self.pace
            .on_start(cx.now, charge, slots, !self.queue.is_empty());
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
