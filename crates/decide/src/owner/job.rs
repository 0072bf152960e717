//! A request that an owner has accepted, and the ways to answer it.

use std::time::{Duration, Instant};

use model::{Answer, ConnId, Kind, PartAddr, Refusal, Role, Term, TxStatus, Verdict};
use room::Waiting;

use crate::Cx;
use crate::conn::RunOutcome;
use crate::owner::log_event::{LoggedRequest, OwnerLogEvent};
use crate::relay::{Bounce, RelayMsg, RunRequest};

/// A request that an owner has accepted; it waits for a slot or runs.
#[derive(Debug)]
pub(crate) struct Job {
    /// The entry host's part that sent it and gets the answer.
    pub(crate) from: PartAddr,
    /// The request as it was sent.
    pub(crate) run: RunRequest,
    /// When the caller stops waiting.
    pub(crate) deadline: Instant,
    /// When its caller's latency objective passes; its deadline if no route sets an objective.
    pub(crate) objective_at: Instant,
    /// The service time that was expected of it when it was queued.
    pub(crate) cost: Duration,
    /// How often it was given back before it ran, by a broken connection or a busy upstream.
    pub(crate) attempts: u32,
}

/// A request that runs on a connection.
#[derive(Debug)]
pub(crate) struct RunningJob {
    /// The request with its sender and deadline.
    pub(crate) job: Job,
    /// When it was given to the connection.
    pub(crate) started_at: Instant,
    /// The service time that its workspace was charged in advance.
    pub(crate) charge: Duration,
    /// The upstream's role as known when it started.
    pub(crate) role: Role,
    /// The upstream's term as known when it started.
    pub(crate) term: Term,
    /// Whether the caller is gone, so that no answer is sent.
    pub(crate) caller_gone: bool,
    /// Whether the upstream's status from before the request must show that the data was recent
    /// enough.
    pub(crate) check_status_before: bool,
}

/// An open transaction, which has a connection to itself.
#[derive(Clone, Debug)]
pub(crate) struct Pin {
    /// The entry host's part that serves the caller.
    pub(crate) from: PartAddr,
    /// The caller's session.
    pub(crate) session: model::SessionId,
    /// When it is rolled back unless another statement arrives.
    pub(crate) expires_at: Instant,
    /// Whether any of its statements may have written.
    pub(crate) may_have_written: bool,
}

impl Job {
    /// Returns what decides on it while it waits.
    pub(crate) fn waiting(&self, now: Instant) -> Waiting {
        Waiting {
            priority: self.run.req.priority,
            continues_transaction: self.run.pin.is_some(),
            until_objective: self.objective_at.saturating_duration_since(now),
            cost: self.cost,
        }
    }

    /// Returns whether it may open a transaction, which then pins its connection.
    pub(crate) fn opens_transaction(&self) -> bool {
        self.run.pin.is_none() && self.run.req.in_transaction
    }

    /// Returns whether the request itself is a write.
    pub(crate) fn is_write(&self) -> bool {
        self.run.req.kind == Kind::Write
    }

    /// Returns whether it, or the transaction that it belongs to, may write.
    pub(crate) fn may_write(&self) -> bool {
        let req = &self.run.req;
        self.is_write() || (req.in_transaction && !req.read_only_transaction)
    }

    /// Resolves a request whose answer can't be confirmed: one that may write gets "may have run",
    /// a read is bounced for a retry.
    pub(crate) fn answer_unproved(&self, cx: &mut Cx<'_>) {
        if self.may_write() {
            self.answer_may_have_run(cx);
        } else {
            self.bounce(cx, Bounce::Unproved);
        }
    }

    /// Returns whether it must read the newest state, since it has neither a floor nor a maximum
    /// age.
    ///
    /// Such a read sets the session's floor, so a primary that has been replaced without knowing it
    /// must not answer it.
    pub(crate) fn reads_newest(&self) -> bool {
        let req = &self.run.req;
        let unbounded = req.floor.is_none() && req.max_age.is_none();
        unbounded && !self.may_write()
    }

    /// Returns whether an upstream other than the primary may run it.
    pub(crate) fn may_run_elsewhere(&self) -> bool {
        self.run.pin.is_none() && !self.may_write() && !self.reads_newest()
    }

    /// Returns whether it gains nothing by waiting for an upstream that has answered nothing but
    /// busy for this long: another one may run it, or that is as long as its objective lasts.
    pub(crate) fn waits_in_vain(&self, refusing: Duration) -> bool {
        let after_objective = self.deadline.saturating_duration_since(self.objective_at);
        let objective = self.run.req.timeout.saturating_sub(after_objective);
        self.may_run_elsewhere() || (self.run.pin.is_none() && refusing >= objective)
    }

    /// Sends it back since its upstream refuses everything: to try another one, or to its caller.
    pub(crate) fn turn_away(self, cx: &mut Cx<'_>) {
        if self.may_run_elsewhere() {
            return self.bounce(cx, Bounce::Refused(Refusal::Overloaded));
        }
        self.refuse(cx, Refusal::Overloaded, "upstream-refuses");
    }

    /// Returns what log lines say of it.
    pub(crate) fn for_log(&self) -> LoggedRequest {
        LoggedRequest {
            upstream: self.run.upstream.clone(),
            workspace: self.run.req.workspace.clone(),
            from: self.from.host.clone(),
            request: self.run.id,
            label: self.run.req.label.clone(),
        }
    }

    /// Returns the answer to it where the end of the request is its confirmation.
    pub(crate) fn answer_from(&self, outcome: RunOutcome) -> Answer {
        let ended = self.is_write() && outcome.tx == TxStatus::Idle;
        Answer {
            verdict: Verdict::Ran,
            payload: outcome.payload,
            tx_status: outcome.tx,
            position: outcome.position.filter(|_| ended),
        }
    }

    /// Sends the final answer; `pin` is the connection of the transaction if that stays open.
    pub(crate) fn send_answer(&self, cx: &mut Cx<'_>, answer: Answer, pin: Option<ConnId>) {
        let id = self.run.id;
        cx.send(self.from.clone(), RelayMsg::Answer { id, answer, pin });
    }

    /// Answers that it did not run; its transaction stays open unless the refusal says it is lost.
    pub(crate) fn refuse(&self, cx: &mut Cx<'_>, refusal: Refusal, reason: &'static str) {
        let request = self.for_log();
        cx.log(OwnerLogEvent::Refused { request, reason });
        let mut answer = Answer::without_result(Verdict::NotRun(refusal));
        let pin = self.run.pin.filter(|_| refusal != Refusal::TransactionLost);
        if pin.is_some() {
            answer.tx_status = TxStatus::Open;
        }
        self.send_answer(cx, answer, pin);
    }

    /// Sends back a request for an upstream that this part doesn't know.
    pub(crate) fn reject_unknown_upstream(&self, cx: &mut Cx<'_>) {
        match self.run.pin {
            Some(_) => self.refuse(cx, Refusal::TransactionLost, "unknown-pin"),
            None => self.bounce(cx, Bounce::NotOwner),
        }
    }

    /// Answers that it may have run.
    pub(crate) fn answer_may_have_run(&self, cx: &mut Cx<'_>) {
        self.send_answer(cx, Answer::without_result(Verdict::MayHaveRun), None);
    }

    /// Sends it back; the entry host may send it to another upstream or owner.
    pub(crate) fn bounce(&self, cx: &mut Cx<'_>, why: Bounce) {
        let request = self.for_log();
        let reason = match &why {
            Bounce::NotOwner => "not-owner",
            Bounce::NotPrimary { .. } => "not-primary",
            Bounce::Behind => "behind",
            Bounce::Unavailable => "unavailable",
            Bounce::Unproved => "unproved",
            Bounce::Refused(_) => "refused",
        };
        cx.log(OwnerLogEvent::Bounced { request, reason });
        let id = self.run.id;
        cx.send(self.from.clone(), RelayMsg::Bounce { id, why });
    }
}
