//! Messages to callers: errors for refused and uncertain requests, and the ends of answers.

use bytes::Bytes;
use model::{Refusal, TxStatus, Verdict};
use pgwire::error::ErrorInfo;
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::response::{CommandComplete, ReadyForQuery, TransactionStatus};

use crate::codec::{CodecError, encode_backend};

/// Returns the SQLSTATE of a refusal.
pub fn sqlstate(refusal: Refusal) -> &'static str {
    match refusal {
        Refusal::BadKey => "28P01",
        Refusal::NotAllowed | Refusal::NoRoute => "42501",
        Refusal::OverRate => "53400",
        Refusal::Overloaded => "53000",
        Refusal::NoPrimary | Refusal::NoUpstream | Refusal::NotReady => "57P03",
        Refusal::Unsupported => "0A000",
        Refusal::TransactionLost => "40001",
    }
}

/// Returns the error for a request that was refused or whose outcome is unknown.
///
/// Its detail says whether the request may have run, and its hint when it may be sent again.
pub fn verdict_error(verdict: Verdict) -> PgWireBackendMessage {
    let mut info = match verdict {
        Verdict::NotRun(refusal) => {
            let mut info = error_info("ERROR", sqlstate(refusal), refusal.reason());
            info.detail = Some("not run".to_owned());
            info.hint = refusal
                .retry_after()
                .map(|wait| format!("safe to send again after {} ms", wait.as_millis()));
            info
        }
        Verdict::MayHaveRun | Verdict::Ran => {
            let mut info = error_info("ERROR", "08007", "the outcome of the request is unknown");
            info.detail = Some("may have run".to_owned());
            info.hint = Some("read back before sending again".to_owned());
            info
        }
    };
    info.severity_nonlocalized = Some("ERROR".to_owned());
    PgWireBackendMessage::ErrorResponse(info.into())
}

/// Returns the error of severity FATAL with which a session ends.
///
/// A session ends while none of its requests runs, so what the caller has sent meanwhile is not run.
pub fn fatal_error(refusal: Refusal) -> PgWireBackendMessage {
    let state = match refusal {
        Refusal::NotReady => "57P01",
        other => sqlstate(other),
    };
    let mut info = error_info("FATAL", state, refusal.reason());
    info.severity_nonlocalized = Some("FATAL".to_owned());
    info.detail = Some("not run".to_owned());
    PgWireBackendMessage::ErrorResponse(info.into())
}

/// Returns an error with the given SQLSTATE and text for a request of which nothing has run.
pub fn not_run_error(state: &str, text: &str) -> PgWireBackendMessage {
    let mut info = error_info("ERROR", state, text);
    info.severity_nonlocalized = Some("ERROR".to_owned());
    info.detail = Some("not run".to_owned());
    PgWireBackendMessage::ErrorResponse(info.into())
}

fn error_info(severity: &str, state: &str, text: &str) -> ErrorInfo {
    ErrorInfo::new(severity.to_owned(), state.to_owned(), text.to_owned())
}

/// Returns the `ReadyForQuery` message, which ends every answer.
pub fn ready_for_query(tx: TxStatus) -> PgWireBackendMessage {
    let status = match tx {
        TxStatus::Idle => TransactionStatus::Idle,
        TxStatus::Open => TransactionStatus::Transaction,
        TxStatus::Failed => TransactionStatus::Error,
    };
    PgWireBackendMessage::ReadyForQuery(ReadyForQuery::new(status))
}

/// Returns the `CommandComplete` message with the tag of a command.
pub fn command_complete(tag: &str) -> PgWireBackendMessage {
    PgWireBackendMessage::CommandComplete(CommandComplete::new(tag.to_owned()))
}

/// Encodes an answer that consists of an error and `ReadyForQuery`.
///
/// # Errors
///
/// Fails if a message is larger than the protocol allows.
pub fn encode_error(error: PgWireBackendMessage, tx: TxStatus) -> Result<Bytes, CodecError> {
    encode_backend(&[error, ready_for_query(tx)])
}
