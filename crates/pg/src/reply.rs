//! Verdicts and local answers as messages for callers.

use bytes::Bytes;
use model::{Refusal, TxStatus, Verdict};
use pgwire::error::ErrorInfo;
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::response::{CommandComplete, ReadyForQuery, TransactionStatus};

use crate::codec::{CodecError, encode_back};

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

/// Returns the error that tells a caller a verdict other than `Ran`.
pub fn verdict_error(verdict: Verdict) -> PgWireBackendMessage {
    let mut info = match verdict {
        Verdict::NotRun(refusal) => {
            let mut info = error("ERROR", sqlstate(refusal), refusal.reason());
            info.detail = Some("not run".to_owned());
            info.hint = refusal
                .retry_after()
                .map(|wait| format!("safe to send again after {} ms", wait.as_millis()));
            info
        }
        Verdict::MayHaveRun | Verdict::Ran => {
            let mut info = error("ERROR", "08007", "the outcome of the request is unknown");
            info.detail = Some("may have run".to_owned());
            info.hint = Some("read back before sending again".to_owned());
            info
        }
    };
    info.severity_nonlocalized = Some("ERROR".to_owned());
    PgWireBackendMessage::ErrorResponse(info.into())
}

/// Returns the error that ends a session.
pub fn fatal(refusal: Refusal) -> PgWireBackendMessage {
    let state = match refusal {
        Refusal::NotReady => "57P01",
        other => sqlstate(other),
    };
    let mut info = error("FATAL", state, refusal.reason());
    info.severity_nonlocalized = Some("FATAL".to_owned());
    PgWireBackendMessage::ErrorResponse(info.into())
}

/// Returns an error with a code and a text of its own; nothing has run.
pub fn refused(state: &str, text: &str) -> PgWireBackendMessage {
    let mut info = error("ERROR", state, text);
    info.severity_nonlocalized = Some("ERROR".to_owned());
    info.detail = Some("not run".to_owned());
    PgWireBackendMessage::ErrorResponse(info.into())
}

fn error(severity: &str, state: &str, text: &str) -> ErrorInfo {
    ErrorInfo::new(severity.to_owned(), state.to_owned(), text.to_owned())
}

/// Returns the message that ends every answer.
pub fn ready(tx: TxStatus) -> PgWireBackendMessage {
    let status = match tx {
        TxStatus::Idle => TransactionStatus::Idle,
        TxStatus::Open => TransactionStatus::Transaction,
        TxStatus::Failed => TransactionStatus::Error,
    };
    PgWireBackendMessage::ReadyForQuery(ReadyForQuery::new(status))
}

/// Returns the message that a command is done.
pub fn complete(tag: &str) -> PgWireBackendMessage {
    PgWireBackendMessage::CommandComplete(CommandComplete::new(tag.to_owned()))
}

/// Encodes an error and the end of the answer.
///
/// # Errors
///
/// Fails if a message is larger than the protocol allows.
pub fn encode_error(error: PgWireBackendMessage, tx: TxStatus) -> Result<Bytes, CodecError> {
    encode_back(&[error, ready(tx)])
}
