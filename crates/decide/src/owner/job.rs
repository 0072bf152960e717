//! A request that an owner has taken, and how it is answered.

use std::time::{Duration, Instant};

use model::{Answer, ConnId, Kind, PartAddr, Refusal, Role, Term, TxStatus, Verdict};

use crate::Cx;
use crate::owner::log_event::{OwnerLogEvent, Subject};
use crate::relay::{Bounce, RelayMsg, RunRequest};

/// A request that waits for a slot or runs.
#[derive(Debug)]
pub(crate) struct Job {
    /// Who sent it and gets the answer.
    pub(crate) from: PartAddr,
    /// The request.
    pub(crate) run: RunRequest,
    /// When the caller stops waiting.
    pub(crate) deadline: Instant,
    /// How often it was given to a connection that broke before anything was sent.
    pub(crate) tries: u32,
}

/// A request that runs on a connection.
#[derive(Debug)]
pub(crate) struct Running {
    /// The request.
    pub(crate) job: Job,
    /// When it was given to the connection.
    pub(crate) started: Instant,
    /// What its workspace was charged in advance.
    pub(crate) charge: Duration,
    /// What the upstream was known as when it started.
    pub(crate) role: Role,
    /// The upstream's term as known when it started.
    pub(crate) term: Term,
    /// Whether nobody waits for the answer any more.
    pub(crate) orphan: bool,
    /// Whether the connection has reported the status from before the request.
    pub(crate) waits: bool,
}

/// An open transaction, which has a connection to itself.
#[derive(Clone, Debug)]
pub(crate) struct Pin {
    /// The part that holds the caller.
    pub(crate) from: PartAddr,
    /// The caller's session.
    pub(crate) session: model::SessionId,
    /// When it is rolled back unless a statement comes.
    pub(crate) until: Instant,
    /// Whether any statement of it may have written.
    pub(crate) wrote: bool,
}

impl Job {
    /// Returns whether it may open a transaction that then keeps its connection.
    pub(crate) fn opens_transaction(&self) -> bool {
        self.run.pin.is_none() && self.run.req.transaction
    }

    /// Returns whether it may write.
    pub(crate) fn writes(&self) -> bool {
        self.run.req.kind == Kind::Write
    }

    /// Returns whether it, or the transaction that it belongs to, may write.
    pub(crate) fn may_write(&self) -> bool {
        let req = &self.run.req;
        self.writes() || (req.transaction && !req.read_only)
    }

    /// Tells that nothing proves what it says: a write may have run, a read is tried again.
    pub(crate) fn unproved(&self, cx: &mut Cx<'_>) {
        if self.may_write() {
            self.may_have_run(cx);
        } else {
            self.bounce(cx, Bounce::Unproved);
        }
    }

    /// Returns whether it reads the newest state, for a session that knows no position yet.
    ///
    /// Such a read gives the session its floor, so a primary that has been replaced without
    /// knowing it may not answer it.
    pub(crate) fn reads_newest(&self) -> bool {
        let req = &self.run.req;
        let bare = req.floor.is_none() && req.max_age.is_none();
        bare && !self.may_write()
    }

    /// Returns what a log line says of it.
    pub(crate) fn subject(&self) -> Subject {
        Subject {
            upstream: self.run.upstream.clone(),
            workspace: self.run.req.workspace.clone(),
            from: self.from.host.clone(),
            request: self.run.id,
            label: self.run.req.label.clone(),
        }
    }

    /// Sends the outcome.
    pub(crate) fn answer(&self, cx: &mut Cx<'_>, answer: Answer, pin: Option<ConnId>) {
        let id = self.run.id;
        cx.send(self.from.clone(), RelayMsg::Answer { id, answer, pin });
    }

    /// Says that it did not run; a transaction that it belongs to stays open.
    pub(crate) fn refuse(&self, cx: &mut Cx<'_>, refusal: Refusal, reason: &'static str) {
        let what = self.subject();
        cx.log(OwnerLogEvent::Refused { what, reason });
        let mut answer = Answer::without_result(Verdict::NotRun(refusal));
        let pin = self.run.pin.filter(|_| refusal != Refusal::TransactionLost);
        if pin.is_some() {
            answer.tx = TxStatus::Open;
        }
        self.answer(cx, answer, pin);
    }

    /// Turns away a request for an upstream that this part has nothing to do with.
    pub(crate) fn turn_away(&self, cx: &mut Cx<'_>) {
        match self.run.pin {
            Some(_) => self.refuse(cx, Refusal::TransactionLost, "unknown-pin"),
            None => self.bounce(cx, Bounce::NotOwner),
        }
    }

    /// Says that its outcome is unknown.
    pub(crate) fn may_have_run(&self, cx: &mut Cx<'_>) {
        self.answer(cx, Answer::without_result(Verdict::MayHaveRun), None);
    }

    /// Says that it did not run here and may be sent elsewhere.
    pub(crate) fn bounce(&self, cx: &mut Cx<'_>, why: Bounce) {
        let what = self.subject();
        let reason = match &why {
            Bounce::NotOwner => "not-owner",
            Bounce::NotPrimary { .. } => "not-primary",
            Bounce::Behind => "behind",
            Bounce::Unavailable => "unavailable",
            Bounce::Unproved => "unproved",
            Bounce::Refused(_) => "refused",
        };
        cx.log(OwnerLogEvent::Bounced { what, reason });
        let id = self.run.id;
        cx.send(self.from.clone(), RelayMsg::Bounce { id, why });
    }
}
