//! Requests that have no answer yet, with their timers, and the sending of answers to callers.
//!
//! A parked request waits at the entry host because nothing can run it yet. A token is one of the
//! workspace's rate limit.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use model::{
    Answer, ConnId, HashMap, HostId, Kind, PartAddr, Refusal, Request, RequestId, SessionId,
    TxStatus, UpstreamId, Verdict,
};
use rand::Rng;

use crate::relay::RelayMsg;
use crate::session::{SessionLogEvent, SessionPin, Sessions};
use crate::{Cx, Effect};

/// Shortest wait before a request is sent again.
const RETRY_WAIT_MIN: Duration = Duration::from_millis(5);
/// Low bits of an attempt's number that count within one incarnation of the host.
const ATTEMPT_BITS: u32 = 22;
/// Longest wait before a request is sent again.
const RETRY_WAIT_MAX: Duration = Duration::from_millis(80);

/// A caller's request that has no answer yet.
#[derive(Debug)]
pub(crate) struct PendingRequest {
    /// The caller's session.
    pub(crate) session: SessionId,
    /// The request's number in the caller's session, which its answer carries.
    pub(crate) caller_request_id: RequestId,
    /// The request, with the fields that its session and route fill in.
    pub(crate) req: Request,
    /// When the caller stops waiting.
    pub(crate) deadline: Instant,
    /// How often the request was sent or parked.
    pub(crate) attempts: u32,
    /// Where the latest attempt was sent; `None` while the request is parked or waits for a token.
    pub(crate) target: Option<Target>,
    /// When to retry or hedge the request, or to stop waiting for the owner's answer.
    pub(crate) timer_at: Instant,
    /// When the request arrived.
    pub(crate) received_at: Instant,
    /// Whether the workspace's rate limit has admitted the request.
    pub(crate) admitted: bool,
    /// Why the latest attempt did not run; the caller's answer if the time runs out.
    pub(crate) last_refusal: Refusal,
    /// Whether a replica was behind, so that the primary is tried next.
    pub(crate) replica_behind: bool,
    /// The attempt before a hedge, which may still be answered.
    pub(crate) earlier_attempt: Option<(RequestId, Target)>,
    /// When the latest attempt was sent as a hedge, if it was.
    pub(crate) hedged_at: Option<Instant>,
    /// Whether its caller has been answered, and only the end of the attempt is awaited, to roll
    /// back what it opens.
    pub(crate) answered: bool,
    /// Whether an attempt that has ended may have run, so that the answer "not run" would be wrong.
    pub(crate) may_have_run: bool,
    /// The upstream at which an attempt has failed; the next ones go to others.
    pub(crate) failed_at: Option<UpstreamId>,
    /// The error with which that attempt was answered: the caller's answer if no other one comes.
    pub(crate) error_answer: Option<Answer>,
}

impl PendingRequest {
    /// Returns whether the request may be hedged: a read outside of transactions that
    /// may be run twice (`repeatable`, which is not the isolation level).
    pub(crate) fn can_be_hedged(&self) -> bool {
        self.req.repeatable && self.req.kind == Kind::Read && !self.req.in_transaction
    }
}

/// The upstream and the owner that an attempt is sent to.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    /// The upstream that runs the request.
    pub(crate) upstream: UpstreamId,
    /// The traffic part (state of one thread of a host) that holds the connections to it.
    pub(crate) owner: PartAddr,
    /// The connection of the open transaction, if the request belongs to one.
    pub(crate) pin: Option<ConnId>,
    /// The owner that the attempt was sent to first, if that has forwarded it to this one.
    pub(crate) forwarded_by: Option<HostId>,
}

/// The requests that have no answer yet, by the number of their latest attempt.
#[derive(Debug, Default)]
pub(crate) struct PendingRequests {
    by_attempt: HashMap<RequestId, PendingRequest>,
    /// The latest attempt of a hedged request, by the earlier one that may still be answered.
    newest_by_earlier: HashMap<RequestId, RequestId>,
    /// When each request's timer is due, with the number of its latest attempt.
    timers: BTreeSet<(Instant, RequestId)>,
    last_attempt_id: RequestId,
}

impl PendingRequests {
    /// Returns a number for the next attempt.
    ///
    /// The high bits hold the host's incarnation, so that late answers to attempts from before a
    /// restart belong to no number in use.
    pub(crate) fn next_attempt_id(&mut self, cx: &Cx<'_>) -> RequestId {
        let first = cx.me.incarnation << ATTEMPT_BITS;
        self.last_attempt_id = self.last_attempt_id.max(first) + 1;
        self.last_attempt_id
    }

    /// Returns when the next timer is due, if any is set.
    pub(crate) fn wake_at(&self) -> Option<Instant> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// Returns whether no request is pending.
    pub(crate) fn is_empty(&self) -> bool {
        self.by_attempt.is_empty()
    }

    /// Adds a request under the number of its latest attempt, and sets its timer.
    pub(crate) fn insert(&mut self, id: RequestId, pending: PendingRequest) {
        self.timers.insert((pending.timer_at, id));
        if let Some((earlier, _)) = &pending.earlier_attempt {
            self.newest_by_earlier.insert(*earlier, id);
        }
        self.by_attempt.insert(id, pending);
    }

    /// Removes the request that an answer belongs to, with the answered attempt as its target.
    ///
    /// Returns the other attempt too, if the request was hedged. `hedged_at` is left if the hedge was
    /// answered.
    pub(crate) fn remove_answered(
        &mut self,
        id: RequestId,
    ) -> Option<(PendingRequest, Option<(RequestId, Target)>)> {
        if let Some(newest) = self.newest_by_earlier.remove(&id) {
            let mut pending = self.remove(newest)?;
            let other = pending.target.take().map(|target| (newest, target));
            pending.target = pending.earlier_attempt.take().map(|(_, target)| target);
            pending.hedged_at = None;
            return Some((pending, other));
        }
        let mut pending = self.remove(id)?;
        let earlier = pending.earlier_attempt.take();
        Some((pending, earlier))
    }

    /// Drops the earlier attempt of a hedged request, which was bounced; `may_have_run` says whether
    /// it may have run all the same.
    ///
    /// Returns whether the number is that of such an attempt.
    pub(crate) fn drop_earlier_attempt(&mut self, id: RequestId, may_have_run: bool) -> bool {
        let Some(newest) = self.newest_by_earlier.remove(&id) else {
            return false;
        };
        if let Some(pending) = self.by_attempt.get_mut(&newest) {
            pending.earlier_attempt = None;
            pending.may_have_run |= may_have_run;
        }
        true
    }

    /// Drops the earlier attempts of hedged requests that were lost with the link to a host, and may
    /// have run.
    pub(crate) fn drop_earlier_attempts_at(&mut self, host: &HostId) {
        let earlier = self.by_attempt.values();
        let earlier = earlier.filter_map(|pending| pending.earlier_attempt.as_ref());
        let lost = earlier.filter(|(_, target)| target.is_at(host));
        let lost: Vec<RequestId> = lost.map(|(id, _)| *id).collect();
        for id in lost {
            self.drop_earlier_attempt(id, true);
        }
    }

    /// Returns where an attempt was sent, whether it is the latest or the one before a hedge.
    pub(crate) fn target_mut(&mut self, id: RequestId) -> Option<&mut Target> {
        if let Some(newest) = self.newest_by_earlier.get(&id) {
            let pending = self.by_attempt.get_mut(newest)?;
            return pending.earlier_attempt.as_mut().map(|(_, target)| target);
        }
        self.by_attempt.get_mut(&id)?.target.as_mut()
    }

    /// Removes a request by the number of its latest attempt.
    pub(crate) fn remove(&mut self, id: RequestId) -> Option<PendingRequest> {
        let pending = self.by_attempt.remove(&id)?;
        self.timers.remove(&(pending.timer_at, id));
        if let Some((earlier, _)) = &pending.earlier_attempt {
            self.newest_by_earlier.remove(earlier);
        }
        Some(pending)
    }

    /// Removes a request whose timer is due, the earliest first.
    pub(crate) fn remove_due(&mut self, now: Instant) -> Option<(RequestId, PendingRequest)> {
        let (_, id) = self.timers.first().copied().filter(|(at, _)| *at <= now)?;
        self.remove(id).map(|pending| (id, pending))
    }

    /// Removes and returns all requests with the numbers of their latest attempts, in no order.
    pub(crate) fn drain(&mut self) -> Vec<(RequestId, PendingRequest)> {
        self.newest_by_earlier.clear();
        self.timers.clear();
        self.by_attempt.drain().collect()
    }

    /// Returns all requests with the numbers of their latest attempts, in no order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (RequestId, &PendingRequest)> {
        self.by_attempt.iter().map(|(id, pending)| (*id, pending))
    }
}

impl Target {
    /// Returns whether an attempt is lost with the link to a host: that of its owner, or of the
    /// owner that forwarded it, since the read may not have left that.
    pub(crate) fn is_at(&self, host: &HostId) -> bool {
        self.owner.host == *host || self.forwarded_by.as_ref() == Some(host)
    }
}

impl From<SessionPin> for Target {
    fn from(pin: SessionPin) -> Self {
        Self {
            upstream: pin.upstream,
            owner: pin.owner,
            pin: Some(pin.conn),
            forwarded_by: None,
        }
    }
}

/// Rolls back a transaction whose caller disconnected while the request that opened it ran.
pub(crate) fn roll_back_at(cx: &mut Cx<'_>, target: Option<Target>, pin: Option<ConnId>) {
    if let Some((target, pin)) = target.zip(pin) {
        let upstream = target.upstream;
        cx.send(target.owner, RelayMsg::Unpin { upstream, pin });
    }
}

/// Rolls back a session's open transaction, if it has one, by releasing its connection.
pub(crate) fn roll_back_pin(cx: &mut Cx<'_>, pin: Option<SessionPin>) {
    if let Some(pin) = pin {
        let msg = RelayMsg::Unpin {
            upstream: pin.upstream,
            pin: pin.conn,
        };
        cx.send(pin.owner, msg);
    }
}

/// Returns a random wait, whose upper bound doubles with each attempt up to `RETRY_WAIT_MAX`.
pub(crate) fn backoff(cx: &mut Cx<'_>, attempts: u32) -> Duration {
    let max = RETRY_WAIT_MIN * 2u32.saturating_pow(attempts.min(4));
    let max = max.min(RETRY_WAIT_MAX);
    cx.rng.random_range(RETRY_WAIT_MIN..=max)
}

/// Answers a caller without a result of an upstream.
///
/// "Not run" becomes "may have run" if an earlier attempt may have run, or has not ended.
pub(crate) fn answer_without_result(
    cx: &mut Cx<'_>,
    sessions: &mut Sessions,
    mut pending: PendingRequest,
    verdict: Verdict,
) {
    if let Some(answer) = pending.error_answer.take() {
        return answer_caller(cx, sessions, &pending, answer);
    }
    let verdict = match verdict {
        Verdict::NotRun(_) if pending.may_have_run || pending.earlier_attempt.is_some() => {
            Verdict::MayHaveRun
        }
        verdict => verdict,
    };
    let pinned = sessions
        .get(pending.session)
        .is_some_and(|s| s.pin.is_some());
    let mut answer = Answer::without_result(verdict);
    if pinned {
        answer.tx_status = TxStatus::Open;
    }
    answer_caller(cx, sessions, &pending, answer);
}

/// Sends an answer to its caller, and logs it unless the request ran.
pub(crate) fn answer_caller(
    cx: &mut Cx<'_>,
    sessions: &mut Sessions,
    pending: &PendingRequest,
    answer: Answer,
) {
    if answer.verdict != Verdict::Ran {
        cx.log(SessionLogEvent::Answered {
            session: pending.session,
            request: pending.caller_request_id,
            label: pending.req.label.clone(),
            workspace: pending.req.workspace.clone(),
            waited: cx.now.saturating_duration_since(pending.received_at),
            verdict: answer.verdict,
        });
    }
    cx.emit(Effect::Answer {
        session: pending.session,
        request: pending.caller_request_id,
        answer,
    });
    sessions.on_request_finished(cx, pending.session);
}
