//! Outcomes of reads, by which an owner notices that an instance is faulty.
//!
//! The decision is that of `balance::Health`; `owner/forward.rs` forwards the reads.

use model::TxStatus;

use crate::Cx;
use crate::conn::RunOutcome;
use crate::owner::forward::may_be_forwarded;
use crate::owner::forward_log_event::ForwardLogEvent;
use crate::owner::job::{Job, RunningJob};
use crate::owner::replica_wait::WaitPolicy;
use crate::owner::upstream::Upstream;
use crate::queue::QueueDiscipline;
use crate::relay::RelayMsg;

impl<Q: QueueDiscipline, W: WaitPolicy> Upstream<Q, W> {
    /// Records the outcome of a request, if it is a read that another instance may run.
    ///
    /// What an instance rejects before it runs says nothing of faults: it may be busy or behind.
    pub(crate) fn record_outcome(&mut self, cx: &mut Cx<'_>, job: &Job, failed: bool) {
        if !cx.settings.balance.eject_faulty || !may_be_forwarded(&job.run) {
            return;
        }
        let workspace = &job.run.req.workspace;
        if let Some(change) = self.health.record(cx.now, workspace, failed) {
            let upstream = self.id.clone();
            cx.log(ForwardLogEvent::ShareChanged { upstream, change });
        }
    }
}

/// Returns whether an outcome is an error after which another instance may run the read.
pub(crate) fn may_run_again(cx: &Cx<'_>, running: &RunningJob, outcome: &RunOutcome) -> bool {
    cx.settings.balance.eject_faulty
        && outcome.failed
        && outcome.tx == TxStatus::Idle
        && may_be_forwarded(&running.job.run)
}

impl Job {
    /// Sends the error with which the upstream has answered a read, so that another one may run it.
    pub(crate) fn send_error(&self, cx: &mut Cx<'_>, outcome: RunOutcome) {
        let answer = self.answer_from(outcome);
        let id = self.run.id;
        cx.send(self.from.clone(), RelayMsg::Failed { id, answer });
    }
}
