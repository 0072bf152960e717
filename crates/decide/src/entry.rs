//! The entry side of a traffic part: sends callers' requests to owners, and retries, hedges and
//! answers them.
//!
//! A part is the state of one thread of a host: the control part, or one of the traffic parts. An
//! owner is a host that holds connections to an upstream. A request for which no upstream is
//! usable is parked: it stays here and is tried again after a backoff.

mod bounce;
pub mod budget;
mod explain;
pub mod explanation;
mod failed;
mod forwarded;
mod hedge;
mod last_answers;
pub(crate) mod owner_check;
pub(crate) mod pending;
pub(crate) mod pick;
mod silent_owner;
mod token_wait;

use std::time::Instant;

use model::{Answer, ConnId, Kind, Refusal, Request, RequestId, SessionId, TxStatus, Verdict};
use room::RetryBudget;

use crate::admit::Admission;
use crate::entry::budget::{HedgeBudget, HedgeBudgetSettings};
use crate::entry::pending::{
    PendingRequest, PendingRequests, answer_caller, answer_without_result, backoff, roll_back_at,
    roll_back_pin,
};
use crate::entry::pick::Router;
use crate::grant::PartTokenGrant;
use crate::relay::{RelayMsg, RunRequest};
use crate::route::ReadPolicy;
use crate::session::{SessionLogEvent, SessionPin, Sessions, lets_transaction_end};
use crate::{Cx, View};

/// Upper bound of a request's timeout, unless the `request_timeout` setting is longer.
const MAX_REQUEST_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(3600);

/// The callers' requests of one traffic part that have no answer yet.
#[derive(Debug)]
pub struct CallerRequests<R, A> {
    router: Router<R>,
    admission: A,
    requests: PendingRequests,
    hedge_budget: HedgeBudget,
    retry_budget: RetryBudget,
}

impl<R: ReadPolicy, A: Admission> CallerRequests<R, A> {
    /// Returns a state without requests.
    pub fn new(admission: A, hedge_budget: HedgeBudgetSettings) -> Self {
        Self {
            router: Router::default(),
            admission,
            requests: PendingRequests::default(),
            hedge_budget: HedgeBudget::new(hedge_budget),
            retry_budget: RetryBudget::default(),
        }
    }

    /// Returns when the next timer is due, if any is set.
    pub fn wake_at(&self) -> Option<Instant> {
        let timer = self.requests.wake_at();
        let check = self.router.checks.wake_at();
        let all = timer.into_iter().chain(self.admission.wake_at());
        all.chain(check).min()
    }

    /// Reports used and needed rate tokens to the control part, if a report is due.
    pub fn report_token_demand(&mut self, cx: &mut Cx<'_>) {
        self.admission.flush(cx);
    }

    /// Adds tokens that the control part granted, and retries the requests that wait for one.
    pub fn on_token_grant(
        &mut self,
        cx: &mut Cx<'_>,
        view: &View,
        sessions: &mut Sessions,
        grant: &PartTokenGrant,
    ) {
        self.admission.on_token_grant(grant);
        if !grant.allocations.is_empty() {
            self.resend_parked(cx, view, sessions, |pending| !pending.admitted);
        }
    }

    /// Returns whether every request has been answered.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Sends a caller's new request to an owner, parks it or refuses it.
    pub fn on_request(
        &mut self,
        cx: &mut Cx<'_>,
        view: &View,
        sessions: &mut Sessions,
        id: (SessionId, RequestId),
        mut req: Request,
    ) {
        let (session_id, request) = id;
        let transactions_ended = sessions.have_transactions_ended();
        let Some(session) = sessions.get_mut(session_id) else {
            return;
        };
        session.running_request = Some(request);
        // On a route, a request that doesn't continue the session's open transaction must not run
        // in it, so the transaction is rolled back.
        if session.route.is_some() && !req.continues_transaction {
            roll_back_pin(cx, session.pin.take());
        }
        let prepared = session.prepare_request(view, cx.settings.session.default_max_age, &mut req);
        let needs_no_token = session.needs_no_token();
        let refusal = if session.unreported_transaction_loss {
            session.unreported_transaction_loss = false;
            Some(Refusal::TransactionLost)
        } else if !view.config_usable || transactions_ended {
            Some(Refusal::NotReady)
        } else {
            let ended = session
                .ending_reason
                .filter(|reason| !lets_transaction_end(*reason));
            ended.or(prepared.err())
        };
        // Without a route, the front end may set no timeout (`Duration::MAX`): adding it overflows.
        let timeout = req
            .timeout
            .min(cx.settings.session.request_timeout.max(MAX_REQUEST_TIMEOUT));
        let deadline = cx.now + timeout;
        let pending = PendingRequest {
            session: session_id,
            caller_request_id: request,
            req,
            deadline,
            attempts: 0,
            target: None,
            timer_at: deadline,
            received_at: cx.now,
            admitted: needs_no_token,
            last_refusal: Refusal::NoUpstream,
            replica_behind: false,
            earlier_attempt: None,
            hedged_at: None,
            answered: false,
            may_have_run: false,
            failed_at: None,
            error_answer: None,
        };
        if refusal.is_some() && pending.req.rolls_back {
            let pin = sessions.get_mut(session_id).and_then(|s| s.pin.take());
            roll_back_pin(cx, pin);
        }
        match refusal {
            Some(refusal) => answer_without_result(cx, sessions, pending, Verdict::NotRun(refusal)),
            None => self.send_or_park(cx, view, sessions, pending),
        }
    }

    /// Sends a request to an owner.
    ///
    /// Parks it if no upstream can run it now, and answers it if it is refused or out of time.
    fn send_or_park(
        &mut self,
        cx: &mut Cx<'_>,
        view: &View,
        sessions: &mut Sessions,
        pending: PendingRequest,
    ) {
        if sessions.get(pending.session).is_none() {
            return self.abandon_admission(&pending);
        }
        let Some(mut pending) = self.admit(cx, sessions, pending) else {
            return;
        };
        if cx.now >= pending.deadline {
            let why = pending.last_refusal;
            return answer_without_result(cx, sessions, pending, Verdict::NotRun(why));
        }
        let pin = sessions.get(pending.session).and_then(|s| s.pin.clone());
        if let Some(pin) = &pin
            && self.router.checks.is_silent(&pin.owner.host)
        {
            let pin = sessions.get_mut(pending.session).and_then(|s| s.pin.take());
            roll_back_pin(cx, pin);
            let verdict = Verdict::NotRun(Refusal::TransactionLost);
            return answer_without_result(cx, sessions, pending, verdict);
        }
        let picked = match pin {
            Some(pin) => Some((pin.into(), "pinned")),
            None => self.router.pick(cx, view, &pending),
        };
        let Some((target, reason)) = picked else {
            if self.router.is_evacuated(cx, view, &pending.req) {
                let verdict = Verdict::NotRun(Refusal::NoUpstream);
                return answer_without_result(cx, sessions, pending, verdict);
            }
            return self.park(cx, sessions, pending);
        };
        let id = self.requests.next_attempt_id(cx);
        cx.log(SessionLogEvent::Routed {
            session: pending.session,
            request: pending.caller_request_id,
            label: pending.req.label.clone(),
            upstream: target.upstream.clone(),
            owner: target.owner.host.clone(),
            reason,
        });
        let mut req = pending.req.clone();
        req.timeout = pending.deadline - cx.now;
        let run = RunRequest {
            id,
            session: pending.session,
            upstream: target.upstream.clone(),
            pin: target.pin,
            req,
        };
        cx.send(target.owner.clone(), RelayMsg::Run(Box::new(run)));
        self.router.checks.expect(cx, &target.owner);
        if pending.attempts == 0 {
            self.retry_budget.on_first_attempt();
        }
        pending.attempts += 1;
        pending.timer_at = pending.deadline + cx.settings.session.answer_grace;
        if target.pin.is_none() && pending.can_be_hedged() {
            self.hedge_budget.refill_for_read();
            let hedge_after = cx.settings.session.hedge_after;
            let hedge_at = hedge_after.map(|after| cx.now + after);
            let hedge_at = hedge_at.filter(|at| *at < pending.deadline);
            pending.timer_at = hedge_at.unwrap_or(pending.timer_at);
        }
        pending.target = Some(target);
        self.requests.insert(id, pending);
    }

    /// Keeps a request that no upstream can run now, and schedules its next attempt.
    ///
    /// A caller whose read has failed elsewhere gets that error at once.
    fn park(&mut self, cx: &mut Cx<'_>, sessions: &mut Sessions, mut pending: PendingRequest) {
        if let Some(error) = pending.error_answer.take() {
            return answer_caller(cx, sessions, &pending, error);
        }
        let id = self.requests.next_attempt_id(cx);
        if pending.req.kind == Kind::Write {
            pending.last_refusal = Refusal::NoPrimary;
        }
        cx.log(SessionLogEvent::Parked {
            session: pending.session,
            request: pending.caller_request_id,
            label: pending.req.label.clone(),
            refusal: pending.last_refusal,
        });
        pending.target = None;
        pending.attempts += 1;
        pending.timer_at = (cx.now + backoff(cx, pending.attempts)).min(pending.deadline);
        self.requests.insert(id, pending);
    }

    /// Passes an owner's final answer on, and updates the session's transaction and floor.
    pub fn on_answer(
        &mut self,
        cx: &mut Cx<'_>,
        sessions: &mut Sessions,
        id: RequestId,
        answer: Answer,
        pin: Option<ConnId>,
    ) {
        let Some((mut pending, other)) = self.requests.remove_answered(id) else {
            return;
        };
        if let (Verdict::NotRun(refusal), Some((other_id, target))) = (answer.verdict, &other) {
            // The other attempt of a hedged read may run, or have run.
            pending.last_refusal = refusal;
            pending.target = Some(target.clone());
            return self.requests.insert(*other_id, pending);
        }
        if answer.verdict == Verdict::Ran {
            self.refund_useful_hedge(cx, pending.hedged_at);
        }
        if let Some((id, target)) = other {
            cx.send(target.owner, RelayMsg::Cancel { id });
        }
        if pending.answered || sessions.get(pending.session).is_none() {
            return roll_back_at(cx, pending.target, pin);
        }
        if let Some(session) = sessions.get_mut(pending.session) {
            let open = answer.tx_status != TxStatus::Idle;
            let target = pending.target.as_ref().filter(|_| open);
            session.pin = target.zip(pin).map(|(target, conn)| SessionPin {
                upstream: target.upstream.clone(),
                owner: target.owner.clone(),
                conn,
            });
            session.floor = session.floor.max(answer.position);
        }
        if pending.may_have_run && matches!(answer.verdict, Verdict::NotRun(_)) {
            return answer_without_result(cx, sessions, pending, answer.verdict);
        }
        answer_caller(cx, sessions, &pending, answer);
    }

    /// Tells owners to cancel the requests of a caller that has disconnected.
    ///
    /// A request stays pending until its answer, which may open a transaction to roll back.
    pub fn cancel_session(&mut self, cx: &mut Cx<'_>, session: SessionId) {
        for (id, pending) in self.requests.iter() {
            let target = pending
                .target
                .as_ref()
                .filter(|_| pending.session == session);
            if let Some(target) = target {
                cx.send(target.owner.clone(), RelayMsg::Cancel { id });
            }
        }
    }

    /// Handles due timers: sends parked requests again, and hedges reads without an answer.
    ///
    /// A request without an answer is cancelled `answer_grace` after its deadline; its caller is
    /// told that it may have run.
    pub fn on_tick(&mut self, cx: &mut Cx<'_>, view: &View, sessions: &mut Sessions) {
        self.router.failures.expire(cx.now);
        while let Some((id, pending)) = self.requests.remove_due(cx.now) {
            match &pending.target {
                None if pending.admitted && cx.now < pending.deadline && !self.may_retry(cx) => {
                    self.park(cx, sessions, pending);
                }
                None => self.send_or_park(cx, view, sessions, pending),
                Some(_) if cx.now < pending.deadline => {
                    self.send_hedge(cx, view, sessions, id, pending)
                }
                Some(target) => {
                    cx.send(target.owner.clone(), RelayMsg::Cancel { id });
                    if !pending.answered {
                        answer_without_result(cx, sessions, pending, Verdict::MayHaveRun);
                    }
                }
            }
        }
        self.check_owners(cx, view, sessions);
    }

    /// Applies a new view, and sends the requests that are parked for an upstream again.
    pub fn on_view(&mut self, cx: &mut Cx<'_>, view: &View, sessions: &mut Sessions) {
        self.router.drop_known_hints(view);
        self.router
            .checks
            .retain_hosts(|host| view.hosts.contains_key(host));
        self.admission.on_config(&view.config);
        self.resend_parked(cx, view, sessions, |pending| pending.admitted);
    }

    /// Sends the parked requests that match a filter again, the oldest first.
    fn resend_parked(
        &mut self,
        cx: &mut Cx<'_>,
        view: &View,
        sessions: &mut Sessions,
        matches: impl Fn(&PendingRequest) -> bool,
    ) {
        let parked = self.requests.iter();
        let parked = parked.filter(|(_, pending)| pending.target.is_none() && matches(pending));
        let mut parked: Vec<_> = parked
            .map(|(id, pending)| (pending.received_at, id))
            .collect();
        parked.sort_unstable();
        for (_, id) in parked {
            if let Some(pending) = self.requests.remove(id) {
                self.send_or_park(cx, view, sessions, pending);
            }
        }
    }
}
