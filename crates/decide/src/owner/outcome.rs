//! Whether the outcome of a request may be sent as its answer.

use model::TxStatus;

use crate::conn::{RunOutcome, UpstreamRejection};
use crate::owner::job::RunningJob;
use crate::owner::upstream::{has_reached, max_data_age};

/// Why the outcome of a request must not be sent as its answer.
pub(crate) enum UnusableOutcome {
    /// The upstream is not the primary and refused the request before it ran.
    NotPrimary,
    /// The upstream refused a statement of an open transaction, which is over.
    TransactionLost,
    /// The upstream refused the request because it is overloaded.
    Busy,
    /// A read ran, or would have run, on data that is behind its floor or too old.
    Behind,
}

/// Returns whether a statement of an open transaction may be sent again on its connection: a read
/// that the upstream was too busy to run.
///
/// A write is not, since the end of a transaction that is refused twice would be in doubt.
pub(crate) fn is_retryable_in_transaction(running: &RunningJob, outcome: &RunOutcome) -> bool {
    let busy = outcome.rejected == Some(UpstreamRejection::Busy);
    busy && outcome.tx == TxStatus::Open && !running.job.is_write()
}

/// Returns whether an outcome may be sent to the caller.
pub(crate) fn check_outcome(
    running: &RunningJob,
    outcome: &RunOutcome,
    pinned: bool,
) -> Result<(), UnusableOutcome> {
    match outcome.rejected {
        Some(_) if pinned => return Err(UnusableOutcome::TransactionLost),
        Some(UpstreamRejection::NotPrimary) => return Err(UnusableOutcome::NotPrimary),
        Some(UpstreamRejection::Behind) => return Err(UnusableOutcome::Behind),
        Some(UpstreamRejection::Busy) => return Err(UnusableOutcome::Busy),
        None => {}
    }
    if !running.check_status_before {
        return Ok(());
    }
    let req = &running.job.run.req;
    let before = outcome
        .status_before
        .as_ref()
        .ok_or(UnusableOutcome::Behind)?;
    let reached = has_reached(before, req.floor.unwrap_or_default());
    let young_enough = req.max_age.is_none_or(|max| max_data_age(before) <= max);
    (reached && young_enough)
        .then_some(())
        .ok_or(UnusableOutcome::Behind)
}
