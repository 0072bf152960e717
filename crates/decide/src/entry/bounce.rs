//! Requests that come back without an answer: bounced by their owner, or lost with the link to it.

use model::{HostId, PartAddr, Refusal, RequestId, Verdict};

use crate::admit::Admission;
use crate::entry::CallerRequests;
use crate::entry::pending::{PendingRequest, answer_without_result};
use crate::owner::CapacitySource;
use crate::relay::Bounce;
use crate::route::ReadPolicy;
use crate::session::Sessions;
use crate::{Cx, View};

impl<R: ReadPolicy, A: Admission> CallerRequests<R, A> {
    /// Handles a request that an owner has sent back: sends it to another upstream or owner, parks
    /// it or answers it.
    pub fn on_bounce(
        &mut self,
        cx: &mut Cx<'_>,
        view: &View,
        sessions: &mut Sessions,
        from: &PartAddr,
        id: RequestId,
        why: Bounce,
    ) {
        let may_have_run = match &why {
            // Where claims are granted, a replica's read runs before the age of its data is known.
            Bounce::Behind => cx.settings.owner.capacity == CapacitySource::Claimed,
            why => *why == Bounce::Unproved,
        };
        if self.requests.drop_earlier_attempt(id, may_have_run) {
            return;
        }
        let Some(mut pending) = self.requests.remove(id) else {
            return;
        };
        let Some(target) = pending.target.take().filter(|_| !pending.answered) else {
            return;
        };
        if target.pin.is_some() {
            if let Some(session) = sessions.get_mut(pending.session) {
                session.pin = None;
            }
            let verdict = Verdict::NotRun(Refusal::TransactionLost);
            return answer_without_result(cx, sessions, pending, verdict);
        }
        pending.may_have_run |= may_have_run;
        match why {
            Bounce::Refused(Refusal::Overloaded)
                if cx.settings.room.limit_concurrency && pending.attempts <= 1 =>
            {
                // The upstream refuses all requests; others may have spare capacity.
                self.router.failures.record_behind(cx.now, &target.upstream);
                pending.last_refusal = Refusal::Overloaded;
                return self.send_or_park(cx, view, sessions, pending);
            }
            Bounce::Refused(refusal) => {
                if let Some((earlier, target)) = pending.earlier_attempt.take() {
                    // The first attempt of a hedged read may still be answered.
                    pending.last_refusal = refusal;
                    pending.target = Some(target);
                    return self.requests.insert(earlier, pending);
                }
                return answer_without_result(cx, sessions, pending, Verdict::NotRun(refusal));
            }
            Bounce::Behind => {
                if *from == target.owner {
                    self.router.failures.record_behind(cx.now, &target.upstream);
                }
                pending.last_refusal = Refusal::NoUpstream;
                // A second bounce shows that no upstream has the position yet.
                if !std::mem::replace(&mut pending.replica_behind, true) {
                    return self.send_or_park(cx, view, sessions, pending);
                }
            }
            Bounce::NotPrimary { primary } => {
                pending.last_refusal = Refusal::NoPrimary;
                if self
                    .router
                    .on_primary_hint(view, &pending.req.service, primary)
                {
                    return self.send_or_park(cx, view, sessions, pending);
                }
            }
            Bounce::NotOwner | Bounce::Unavailable | Bounce::Unproved => {
                // A forwarded read's bounce may come before the message that says who has it.
                if *from == target.owner {
                    let owner = &target.owner.host;
                    self.router
                        .failures
                        .record_unavailable(cx.now, &target.upstream, owner);
                }
                pending.last_refusal = Refusal::NoUpstream;
                if may_have_run && cx.settings.balance.eject_faulty {
                    pending.failed_at = Some(target.upstream);
                }
                if pending.attempts <= 1 && self.may_retry(cx) {
                    return self.send_or_park(cx, view, sessions, pending);
                }
            }
        }
        self.park(cx, sessions, pending);
    }

    /// Handles the loss of the link to a host, whose pinned transactions are lost.
    ///
    /// Repeatable requests under way there are sent elsewhere; the others may have run.
    pub fn on_link_down(
        &mut self,
        cx: &mut Cx<'_>,
        view: &View,
        sessions: &mut Sessions,
        host: &HostId,
    ) {
        sessions.drop_pins_of_host(host);
        self.requests.drop_earlier_attempts_at(host);
        let at_host = |pending: &PendingRequest| {
            let target = pending.target.as_ref();
            target.is_some_and(|target| target.is_at(host))
        };
        let lost: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, pending)| at_host(pending))
            .map(|(id, _)| id)
            .collect();
        for id in lost {
            let Some(mut pending) = self.requests.remove(id) else {
                continue;
            };
            let Some(target) = pending.target.take().filter(|_| !pending.answered) else {
                continue;
            };
            self.router
                .failures
                .record_unavailable(cx.now, &target.upstream, host);
            let may_repeat = pending.req.repeatable && target.pin.is_none();
            if may_repeat {
                pending.last_refusal = Refusal::NoUpstream;
                pending.may_have_run = true;
                self.send_or_park(cx, view, sessions, pending);
            } else {
                answer_without_result(cx, sessions, pending, Verdict::MayHaveRun);
            }
        }
    }
}
