//! Hedged reads: a read without an answer is sent to a second owner.

use std::time::Instant;

use model::RequestId;

use crate::admit::Admission;
use crate::entry::CallerRequests;
use crate::entry::pending::PendingRequest;
use crate::route::ReadPolicy;
use crate::session::{SessionLogEvent, Sessions};
use crate::{Cx, View};

impl<R: ReadPolicy, A: Admission> CallerRequests<R, A> {
    /// Sends a read without an answer to another owner too, if the hedge budget allows.
    ///
    /// This covers owners and upstreams that have gone silent: a partition is detected only after
    /// missed heartbeats, and until then reads would wait for their deadlines.
    pub(super) fn send_hedge(
        &mut self,
        cx: &mut Cx<'_>,
        view: &View,
        sessions: &mut Sessions,
        id: RequestId,
        mut pending: PendingRequest,
    ) {
        pending.timer_at = pending.deadline + cx.settings.session.answer_grace;
        if pending.earlier_attempt.is_some() || !self.hedge_budget.try_spend() {
            return self.requests.insert(id, pending);
        }
        self.send_to_another_owner(cx, view, sessions, id, pending);
    }

    /// Returns whether a request that was sent back may be sent again now.
    pub(super) fn may_retry(&mut self, cx: &Cx<'_>) -> bool {
        !cx.settings.room.limit_retries || self.retry_budget.try_spend(cx.now)
    }

    /// Gives the budget for hedges back what an attempt has cost, if it was answered as soon as
    /// hedges are made: the upstream that ran it has spare capacity.
    pub(super) fn refund_useful_hedge(&mut self, cx: &Cx<'_>, hedged_at: Option<Instant>) {
        let soon = cx.settings.session.hedge_after.unwrap_or_default();
        let useful = hedged_at.is_some_and(|at| cx.now.saturating_duration_since(at) < soon);
        if useful && cx.settings.room.limit_retries {
            self.hedge_budget.refund();
        }
    }

    /// Sends a read to another owner, while the answer of the first may still come.
    pub(super) fn send_to_another_owner(
        &mut self,
        cx: &mut Cx<'_>,
        view: &View,
        sessions: &mut Sessions,
        id: RequestId,
        mut pending: PendingRequest,
    ) {
        let Some(target) = pending.target.take() else {
            return self.requests.insert(id, pending);
        };
        let (upstream, owner) = (&target.upstream, &target.owner.host);
        self.router
            .failures
            .record_unanswered(cx.now, upstream, owner);
        cx.log(SessionLogEvent::Hedged {
            session: pending.session,
            request: pending.caller_request_id,
            label: pending.req.label.clone(),
            upstream: upstream.clone(),
            owner: owner.clone(),
            waited: cx.now.saturating_duration_since(pending.received_at),
        });
        pending.earlier_attempt = Some((id, target));
        pending.hedged_at = Some(cx.now);
        self.send_or_park(cx, view, sessions, pending);
    }
}
