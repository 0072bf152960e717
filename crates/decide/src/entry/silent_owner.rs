//! Gives up what waits for a silent owner: reads go to another owner, and statements of open
//! transactions are answered while their callers have time left to start again.
//!
//! A request that may have committed is not given up: its answer may still come.

use model::{Answer, PartAddr, RequestId, Verdict};

use crate::admit::Admission;
use crate::entry::CallerRequests;
use crate::entry::owner_check::DueCheck;
use crate::entry::pending::{PendingRequest, answer_caller, roll_back_pin};
use crate::route::ReadPolicy;
use crate::session::{SessionLogEvent, Sessions};
use crate::{Cx, View};

impl<R: ReadPolicy, A: Admission> CallerRequests<R, A> {
    /// Records that a part has sent a message, so that it is not silent.
    pub fn on_heard(&mut self, cx: &mut Cx<'_>, from: &PartAddr) {
        self.router.checks.on_heard(cx, from);
    }

    /// Checks the owners that have sent nothing while requests wait for them, and leaves those that
    /// have not answered a check.
    pub(super) fn check_owners(&mut self, cx: &mut Cx<'_>, view: &View, sessions: &mut Sessions) {
        for (owner, due) in self.router.checks.take_due(cx) {
            let waiting = self.waiting_for(&owner);
            match due {
                DueCheck::Unheard if waiting.is_empty() => self.router.checks.remove(&owner),
                DueCheck::Unheard | DueCheck::Silent => {
                    let id = self.requests.next_attempt_id(cx);
                    self.router.checks.send_check(cx, &owner, id);
                }
                DueCheck::Unanswered => {
                    cx.log(SessionLogEvent::OwnerSilent {
                        owner: owner.host.clone(),
                        waiting: waiting.len(),
                    });
                    for id in waiting {
                        self.leave_silent_owner(cx, view, sessions, id);
                    }
                }
            }
        }
    }

    /// Returns the attempts whose answers are expected from a part of an owner, the oldest first.
    fn waiting_for(&self, owner: &PartAddr) -> Vec<RequestId> {
        let waits = |pending: &PendingRequest| {
            let target = pending.target.as_ref();
            !pending.answered && target.is_some_and(|target| target.owner == *owner)
        };
        let waiting = self.requests.iter().filter(|(_, pending)| waits(pending));
        let mut waiting: Vec<RequestId> = waiting.map(|(id, _)| id).collect();
        waiting.sort_unstable();
        waiting
    }

    /// Sends a read to another owner too, or answers a request that may be given up; any other
    /// goes on waiting.
    fn leave_silent_owner(
        &mut self,
        cx: &mut Cx<'_>,
        view: &View,
        sessions: &mut Sessions,
        id: RequestId,
    ) {
        let Some(mut pending) = self.requests.remove(id) else {
            return;
        };
        if pending.req.may_be_given_up {
            let pin = sessions.get_mut(pending.session).and_then(|s| s.pin.take());
            let was_pinned = pin.is_some();
            roll_back_pin(cx, pin);
            let answer = Answer::without_result(Verdict::MayHaveRun);
            answer_caller(cx, sessions, &pending, answer);
            if !was_pinned {
                pending.answered = true;
                pending.timer_at = pending.deadline + cx.settings.session.answer_grace;
                self.requests.insert(id, pending);
            }
        } else if pending.can_be_hedged() && pending.earlier_attempt.is_none() {
            self.send_to_another_owner(cx, view, sessions, id, pending);
        } else {
            self.requests.insert(id, pending);
        }
    }
}
