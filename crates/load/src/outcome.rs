//! The outcome of a request, as far as its caller can tell it from the answer.

use std::sync::Arc;
use std::time::Duration;

use crate::plan::Arrival;

/// The SQLSTATE of an error after which the request may or may not have run.
pub const MAY_HAVE_RUN_SQLSTATE: &str = "08007";
/// The DETAIL field of an error whose request did not run.
pub const NOT_RUN_DETAIL: &str = "not run";
/// Replaces the SQLSTATE when no connection could be opened.
pub const NO_CONNECTION_CODE: &str = "no-connection";
/// Replaces the SQLSTATE when the connection broke while a request waited for its answer.
pub const BROKEN_CONNECTION_CODE: &str = "broken-connection";
/// Replaces the SQLSTATE when no answer came within the timeout.
pub const NO_ANSWER_CODE: &str = "no-answer";

/// A SQLSTATE, or one of the constants above that replace it.
pub type ErrorCode = Arc<str>;

/// Whether a request ran, and the error code if it did not succeed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request ran and succeeded.
    Ran {
        /// For a read, how many deposits of its own session it counted; `None` for a write.
        deposits_seen: Option<u64>,
    },
    /// The request did not run; safe to send again.
    NotRun(ErrorCode),
    /// The request may or may not have run.
    MayHaveRun(ErrorCode),
    /// The request ran and failed with an error of the upstream itself.
    Failed(ErrorCode),
}

impl Outcome {
    /// Returns the outcome for an ErrorResponse with this SQLSTATE and DETAIL.
    pub fn from_db_error(code: &str, detail: Option<&str>) -> Self {
        let error_code = ErrorCode::from(code);
        if detail == Some(NOT_RUN_DETAIL) {
            return Self::NotRun(error_code);
        }
        // Codes 08... and 57P... report the end of the connection, not whether the request ran.
        if code == MAY_HAVE_RUN_SQLSTATE || code.starts_with("57P") || code.starts_with("08") {
            return Self::MayHaveRun(error_code);
        }
        Self::Failed(error_code)
    }
}

/// A request that has its outcome.
#[derive(Clone, Debug, PartialEq)]
pub struct FinishedRequest {
    /// The request as it was scheduled.
    pub arrival: Arrival,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// When its answer came or its timeout expired, from the start of the run.
    pub answered_at: Duration,
    /// The broken consistency promise, if the request is a read that saw too few or too many
    /// deposits.
    pub complaint: Option<Complaint>,
}

/// A read whose count of its session's deposits breaks a consistency promise.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Complaint {
    /// The number of deposits that the read counted.
    pub seen: u64,
    /// The lowest correct count: all acknowledged deposits, or 0 where stale data is allowed.
    pub least: u64,
    /// The highest correct count: acknowledged deposits and those that may have run.
    pub most: u64,
    /// Whether the read set a maximum age (`caraway.max_age`).
    pub stated_age: bool,
}
