//! The last answers of a host that stops, to requests that are still unanswered.

use model::{Refusal, Verdict};

use crate::Cx;
use crate::admit::Admission;
use crate::entry::CallerRequests;
use crate::entry::pending::answer_without_result;
use crate::relay::RelayMsg;
use crate::route::ReadPolicy;
use crate::session::Sessions;

impl<R: ReadPolicy, A: Admission> CallerRequests<R, A> {
    /// Answers every request, since the host stops: what was sent to an owner may have run, and the
    /// rest has not.
    pub fn answer_all(&mut self, cx: &mut Cx<'_>, sessions: &mut Sessions) {
        for (id, pending) in self.requests.drain() {
            if let Some(target) = &pending.target {
                cx.send(target.owner.clone(), RelayMsg::Cancel { id });
            }
            if pending.answered {
                continue;
            }
            let verdict = match pending.target {
                Some(_) => Verdict::MayHaveRun,
                None => Verdict::NotRun(Refusal::NotReady),
            };
            answer_without_result(cx, sessions, pending, verdict);
        }
    }
}
