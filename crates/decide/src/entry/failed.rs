//! Reads that an upstream has answered with an error of its own.

use model::{Answer, RequestId};

use crate::admit::Admission;
use crate::entry::CallerRequests;
use crate::entry::pending::answer_caller;
use crate::route::ReadPolicy;
use crate::session::{SessionLogEvent, Sessions};
use crate::{Cx, View};

impl<R: ReadPolicy, A: Admission> CallerRequests<R, A> {
    /// Sends a read to another upstream once, within the retry budget, or passes the error on.
    pub fn on_failed(
        &mut self,
        cx: &mut Cx<'_>,
        view: &View,
        sessions: &mut Sessions,
        id: RequestId,
        answer: Answer,
    ) {
        // The newer attempt of a hedged read goes on.
        if self.requests.drop_earlier_attempt(id, true) {
            return;
        }
        let Some(mut pending) = self.requests.remove(id) else {
            return;
        };
        let Some(target) = pending.target.take().filter(|_| !pending.answered) else {
            return;
        };
        if let Some((earlier, target)) = pending.earlier_attempt.take() {
            pending.may_have_run = true;
            pending.error_answer = Some(answer);
            pending.target = Some(target);
            return self.requests.insert(earlier, pending);
        }
        let again = pending.error_answer.is_none() && pending.can_be_hedged();
        if !again || !self.may_retry(cx) {
            return answer_caller(cx, sessions, &pending, answer);
        }
        cx.log(SessionLogEvent::Failed {
            session: pending.session,
            request: pending.caller_request_id,
            label: pending.req.label.clone(),
            upstream: target.upstream.clone(),
            waited: cx.now.saturating_duration_since(pending.received_at),
        });
        pending.may_have_run = true;
        pending.failed_at = Some(target.upstream);
        pending.error_answer = Some(answer);
        self.send_or_park(cx, view, sessions, pending);
    }
}
