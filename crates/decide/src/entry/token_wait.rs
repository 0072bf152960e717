//! Admits requests within their workspace's rate, and bounds how long they wait for a token of it.

use std::time::Duration;

use model::{Refusal, Verdict};

use crate::Cx;
use crate::admit::{Admission, Admit, TokenWait};
use crate::entry::CallerRequests;
use crate::entry::pending::{PendingRequest, answer_without_result};
use crate::route::ReadPolicy;
use crate::session::Sessions;

/// A request waits for a token for its latency objective divided by this at most. A refusal after a
/// quarter of the objective costs its caller more than one at once, and the answer takes some time
/// to reach it.
const OBJECTIVE_DIVISOR: u32 = 5;

impl<R: ReadPolicy, A: Admission> CallerRequests<R, A> {
    /// Returns the request if its workspace's rate limit admits it.
    ///
    /// Otherwise the request waits for a token or is refused, and nothing is returned.
    pub(super) fn admit(
        &mut self,
        cx: &mut Cx<'_>,
        sessions: &mut Sessions,
        mut pending: PendingRequest,
    ) -> Option<PendingRequest> {
        if pending.admitted {
            return Some(pending);
        }
        let wait = token_wait(cx, sessions, &pending);
        let workspace = &pending.req.workspace;
        match self.admission.try_admit(cx.now, workspace, wait) {
            Admit::Now => {
                pending.admitted = true;
                Some(pending)
            }
            Admit::Wait(wait) if cx.now + wait < pending.deadline => {
                pending.timer_at = cx.now + wait;
                let id = self.requests.next_attempt_id(cx);
                self.requests.insert(id, pending);
                None
            }
            Admit::Wait(_) => {
                self.abandon_admission(&pending);
                answer_without_result(cx, sessions, pending, Verdict::NotRun(Refusal::OverRate));
                None
            }
            Admit::Refuse => {
                answer_without_result(cx, sessions, pending, Verdict::NotRun(Refusal::OverRate));
                None
            }
        }
    }

    /// Tells the rate limit that a request no longer waits for a token.
    pub(super) fn abandon_admission(&mut self, pending: &PendingRequest) {
        if !pending.admitted {
            self.admission.abandon(&pending.req.workspace);
        }
    }
}

/// Returns how a request may wait for a token.
pub(super) fn token_wait(cx: &Cx<'_>, sessions: &Sessions, pending: &PendingRequest) -> TokenWait {
    let refuse_at_once = cx.settings.room.refuse_over_rate;
    let session = sessions.get(pending.session);
    let rules = session.and_then(|session| session.route_rules.as_ref());
    let bound = rules.filter(|rules| refuse_at_once && !rules.objective.is_zero());
    TokenWait {
        waited: cx.now.duration_since(pending.received_at),
        bound: bound.map_or(Duration::MAX, |rules| rules.objective / OBJECTIVE_DIVISOR),
        refuse_at_once,
    }
}
