//! How requests for an upstream wait, and when they start.

use std::time::Duration;

use model::{Refusal, Role};

use crate::group::GroupMsg;
use crate::owner::Shared;
use crate::owner::job::{Job, Running};
use crate::owner::log_event::OwnerLogEvent;
use crate::owner::settings::Capacity;
use crate::owner::upstream::Upstream;
use crate::owner::wait::WaitPolicy;
use crate::queue::{Discipline, Popped, Queue};
use crate::relay::Bounce;
use crate::{Cx, Effect};

/// The part of the expected wait that is added to it, since it varies.
const SLACK: u32 = 2;

impl<Q: Discipline, W: WaitPolicy> Upstream<Q, W> {
    /// Takes in a request that does not belong to an open transaction.
    pub(crate) fn arrive(&mut self, cx: &mut Cx<'_>, job: Job) {
        if !self.open_for_work(cx.now) {
            return job.bounce(cx, Bounce::NotOwner);
        }
        if let Err(why) = self.fit(cx, &job.run.req) {
            return job.bounce(cx, why);
        }
        if !self.breaker.allow(cx.now, &cx.settings.owner.breaker) {
            return job.bounce(cx, Bounce::Unavailable);
        }
        self.enqueue(cx, job);
    }

    /// Queues a request unless the queue can't reach it in time.
    pub(crate) fn enqueue(&mut self, cx: &mut Cx<'_>, job: Job) {
        let urgent = job.run.pin.is_some();
        let slots = self.held(cx.now).map_or(1, |claim| claim.slots);
        let ahead = self.queue.ahead(&job.run.req.workspace, urgent) / slots;
        let reach = ahead + ahead / SLACK;
        if !ahead.is_zero() && cx.now + reach + self.time_needed(&job) > job.deadline {
            return job.refuse(cx, Refusal::Overloaded, "deadline-out-of-reach");
        }
        let what = job.subject();
        cx.log(OwnerLogEvent::Queued { what, ahead });
        self.push(job, urgent);
    }

    /// Adds a request to the queue.
    pub(crate) fn push(&mut self, job: Job, urgent: bool) {
        let deadline = job.deadline;
        self.expires_at = Some(self.expires_at.map_or(deadline, |at| at.min(deadline)));
        let workspace = job.run.req.workspace.clone();
        self.queue.push(&workspace, job, urgent);
    }

    /// Returns how much time a request should have left when it starts.
    ///
    /// At most half of its whole time, so that what takes longer can still be measured.
    fn time_needed(&self, job: &Job) -> Duration {
        let cost = self.queue.cost(&job.run.req.workspace);
        cost.min(job.run.req.timeout / 2)
    }

    /// Brings connections and slots in line with what is allowed and wanted.
    pub(crate) fn settle(&mut self, cx: &mut Cx<'_>, shared: &mut Shared) {
        self.claim.take_if(|(_, until)| *until <= cx.now);
        self.expire(cx);
        if !self.open_for_work(cx.now) {
            self.stop(cx, shared);
        }
        self.dispatch(cx);
        if self.queue.is_empty() {
            self.expires_at = None;
        }
        self.trim(cx, shared);
        self.open_more(cx, shared);
        self.release(cx);
    }

    /// Lets go of the claim on an instance that other hosts own now, once nothing uses it.
    fn release(&mut self, cx: &mut Cx<'_>) {
        if self.owned || !self.live || !self.is_drained() || self.claim.take().is_none() {
            return;
        }
        let msg = GroupMsg::Released {
            service: self.service.clone(),
            upstream: self.id.clone(),
        };
        let host = cx.me.host.clone();
        cx.send_control(&host, msg);
    }

    /// Refuses the requests whose callers stop waiting.
    fn expire(&mut self, cx: &mut Cx<'_>) {
        let now = cx.now;
        if self.expires_at.is_none_or(|at| now < at) {
            return;
        }
        for job in self.queue.drain_where(|job| job.deadline <= now) {
            job.refuse(cx, Refusal::Overloaded, "deadline-passed");
        }
        self.expires_at = self.queue.items().map(|job| job.deadline).min();
    }

    /// Sends the requests that have not started elsewhere, and ends what may not go on.
    fn stop(&mut self, cx: &mut Cx<'_>, shared: &mut Shared) {
        for job in self.queue.drain_where(|job| job.run.pin.is_none()) {
            job.bounce(cx, Bounce::NotOwner);
        }
        for conn in self.pool.surplus(0) {
            self.close(cx, shared, conn, "no-claim");
        }
        if self.cut || self.held(cx.now).is_none() {
            for conn in self.idle_pins() {
                self.end_transaction(cx, shared, conn, "handed-over");
            }
        }
    }

    /// Starts requests while slots and connections are free.
    fn dispatch(&mut self, cx: &mut Cx<'_>) {
        let slots = self.held(cx.now).map_or(0, |claim| claim.slots as usize);
        while self.running.len() < slots {
            let (running, pool) = (&self.running, &self.pool);
            let settings = &cx.settings.owner;
            let room = self.transaction_room(cx);
            let popped = self.queue.pop(|job| match job.run.pin {
                Some(conn) => !running.contains_key(&conn),
                None => {
                    let free = pool.has_idle(&settings.lane(&job.run.req));
                    free && (room || !job.opens_transaction())
                }
            });
            let Some(popped) = popped else {
                return;
            };
            self.start(cx, popped);
        }
    }

    /// Gives a request a connection.
    fn start(&mut self, cx: &mut Cx<'_>, popped: Popped<Job>) {
        let Popped { item: job, charge } = popped;
        let workspace = job.run.req.workspace.clone();
        let timeout = job.deadline.duration_since(cx.now);
        if timeout < self.time_needed(&job) {
            self.queue.refund(&workspace, charge);
            return job.refuse(cx, Refusal::Overloaded, "too-little-time-left");
        }
        let fit = match job.run.pin {
            Some(_) => Ok(None),
            None => self.fit(cx, &job.run.req),
        };
        let (wait_for, known) = match (fit, &self.known) {
            (Ok(wait_for), Some(known)) => (wait_for, known),
            (fit, _) => {
                self.queue.refund(&workspace, charge);
                return job.bounce(cx, fit.err().unwrap_or(Bounce::Unavailable));
            }
        };
        let lane = cx.settings.owner.lane(&job.run.req);
        let Some(conn) = job.run.pin.or_else(|| self.pool.take(&lane)) else {
            return job.bounce(cx, Bounce::Unavailable);
        };
        let claimed = cx.settings.owner.capacity == Capacity::Claimed;
        let what = job.subject();
        let reason = match job.run.pin {
            Some(_) => "transaction",
            None => "free",
        };
        cx.log(OwnerLogEvent::Dispatched { what, conn, reason });
        let wait_for = wait_for.map(|(position, wait)| (position, wait.min(timeout)));
        cx.emit(Effect::RunOnConn {
            conn,
            payload: job.run.req.payload.clone(),
            wait_for,
            require_primary: known.status.role == Role::Primary,
            want_status: claimed && (job.may_write() || job.reads_newest()),
            timeout,
        });
        let running = Running {
            started: cx.now,
            charge,
            role: known.status.role,
            term: known.status.term,
            orphan: false,
            waits: claimed && wait_for.is_some(),
            job,
        };
        self.running.insert(conn, running);
    }
}
