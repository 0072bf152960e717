//! Wraps a request in status queries and sorts the upstream's messages into their answers.

use bytes::{Bytes, BytesMut};
use model::{InstanceStatus, Position, TxStatus};
use pgwire::messages::response::TransactionStatus;
use pgwire::messages::simplequery::Query;
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage};
use std::time::Duration;

use crate::codec::{CodecError, encode_frontend};
use crate::status_row::{StatusRow, parse_status_row, status_sql};

/// The SQLSTATE `read_only_sql_transaction`: an upstream that isn't primary refuses a write.
const READ_ONLY_SQLSTATE: &str = "25006";

/// The classes of SQLSTATE that say nothing of the request: insufficient resources, operator
/// intervention, system errors and internal errors.
const UPSTREAM_ERROR_CLASSES: [&str; 4] = ["53", "57", "58", "XX"];
/// The SQLSTATE `query_canceled`, of the class for operator intervention: a time limit of the
/// request's own session causes it too.
const QUERY_CANCELED_SQLSTATE: &str = "57014";

/// Why the answers of an upstream can't be passed on.
#[derive(Debug, thiserror::Error)]
pub enum AnswerError {
    /// The answer is larger than the limit.
    #[error("the answer is over the limit of {limit} bytes")]
    TooLarge {
        /// The limit in bytes.
        limit: usize,
    },
    /// The answer can't be encoded again.
    #[error(transparent)]
    Codec(#[from] CodecError),
    /// The upstream asks for a COPY stream, which no caller can send.
    #[error("the upstream asks for a copy stream")]
    Copy,
}

/// Encodes a request with the status queries around it.
///
/// With `wait_for`, a query before the request lets the upstream wait, for this long at most, until
/// it has reached the position. With `want_status`, a query after it asks for the status.
///
/// # Errors
///
/// Fails if a message is larger than the protocol allows.
pub fn encode_run(
    payload: &Bytes,
    wait_for: Option<(Position, Duration)>,
    want_status: bool,
) -> Result<Bytes, CodecError> {
    let mut buf = BytesMut::new();
    if wait_for.is_some() {
        buf.extend_from_slice(&encode_query(&status_sql(wait_for))?);
    }
    buf.extend_from_slice(payload);
    if want_status {
        buf.extend_from_slice(&encode_query(&status_sql(None))?);
    }
    Ok(buf.freeze())
}

/// Encodes a statement for the simple query protocol.
///
/// # Errors
///
/// Fails if the statement is larger than the protocol allows.
pub fn encode_query(sql: &str) -> Result<Bytes, CodecError> {
    let query = Query::new(sql.to_owned());
    encode_frontend(&[PgWireFrontendMessage::Query(query)])
}

/// Collects the answers to a request and its status queries until the last is complete.
#[derive(Debug)]
pub struct AnswerCollector {
    /// The answers that the upstream sends, in order; each ends with `ReadyForQuery`.
    stages: Vec<AnswerStage>,
    /// The index in `stages` of the answer that is being read.
    current_stage: usize,
    /// The encoded answer to the request.
    buf: BytesMut,
    /// The limit of `buf` in bytes.
    limit: usize,
    tx: TxStatus,
    refused_read_only: bool,
    upstream_failed: bool,
    /// Whether a statement of the request has completed.
    any_completed: bool,
    status_before: Option<InstanceStatus>,
    status_after: Option<InstanceStatus>,
}

/// Which query the upstream is answering.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnswerStage {
    StatusBefore,
    Request,
    StatusAfter,
}

/// The answers to a request and its status queries.
#[derive(Debug, PartialEq, Eq)]
pub struct CollectedAnswer {
    /// The encoded answer to the request.
    pub payload: Bytes,
    /// The transaction status after the request.
    pub tx: TxStatus,
    /// Whether the upstream, not being primary, refused the request before any of it ran.
    pub refused_read_only: bool,
    /// Whether the answer ends with an error that the request has not caused, by its class.
    pub upstream_failed: bool,
    /// The status before the request, if it was asked for.
    pub status_before: Option<InstanceStatus>,
    /// The status after the request, if it was asked for.
    pub status_after: Option<InstanceStatus>,
}

impl AnswerCollector {
    /// Returns a collector for a request that [`encode_run`] has encoded: `wait_for` says whether a
    /// status query precedes it, `want_status` whether one follows; `limit` is in bytes.
    pub fn new(wait_for: bool, want_status: bool, limit: usize) -> Self {
        let mut stages = vec![AnswerStage::Request];
        if wait_for {
            stages.insert(0, AnswerStage::StatusBefore);
        }
        if want_status {
            stages.push(AnswerStage::StatusAfter);
        }
        Self {
            stages,
            current_stage: 0,
            buf: BytesMut::new(),
            limit,
            tx: TxStatus::Idle,
            refused_read_only: false,
            upstream_failed: false,
            any_completed: false,
            status_before: None,
            status_after: None,
        }
    }

    /// Returns the number of bytes of the request's answer that were added.
    #[expect(
        clippy::len_without_is_empty,
        reason = "nobody asks whether it is empty"
    )]
    pub fn len(&self) -> usize {
        self.buf.len()
    }

    /// Adds a message of the upstream; returns the answers once the last is complete.
    ///
    /// # Errors
    ///
    /// Fails if the answer can't be passed on; the connection must then be closed, since the rest of
    /// the answer is still to come on it.
    pub fn on_message(
        &mut self,
        msg: PgWireBackendMessage,
    ) -> Result<Option<CollectedAnswer>, AnswerError> {
        let stage = self.stages.get(self.current_stage).copied();
        let ready = matches!(msg, PgWireBackendMessage::ReadyForQuery(_));
        match stage {
            Some(AnswerStage::Request) => self.on_request_message(msg)?,
            Some(AnswerStage::StatusBefore) => read_status(&mut self.status_before, &msg),
            Some(AnswerStage::StatusAfter) => read_status(&mut self.status_after, &msg),
            None => {}
        }
        if ready {
            self.current_stage += 1;
        }
        if self.current_stage < self.stages.len() {
            return Ok(None);
        }
        Ok(Some(CollectedAnswer {
            payload: self.buf.split().freeze(),
            tx: self.tx,
            refused_read_only: self.refused_read_only,
            upstream_failed: self.upstream_failed,
            status_before: self.status_before.take(),
            status_after: self.status_after.take(),
        }))
    }

    fn on_request_message(&mut self, msg: PgWireBackendMessage) -> Result<(), AnswerError> {
        match &msg {
            PgWireBackendMessage::ReadyForQuery(ready) => {
                self.tx = match ready.status {
                    TransactionStatus::Idle => TxStatus::Idle,
                    TransactionStatus::Transaction => TxStatus::Open,
                    TransactionStatus::Error => TxStatus::Failed,
                };
            }
            PgWireBackendMessage::CommandComplete(_) => self.any_completed = true,
            PgWireBackendMessage::ErrorResponse(error) => {
                let state = error.fields.iter().find(|(code, _)| *code == b'C');
                let read_only = state.is_some_and(|(_, state)| state == READ_ONLY_SQLSTATE);
                self.refused_read_only = read_only && !self.any_completed;
                self.upstream_failed = state.is_some_and(|(_, state)| {
                    let mut classes = UPSTREAM_ERROR_CLASSES.iter();
                    state != QUERY_CANCELED_SQLSTATE
                        && classes.any(|class| state.starts_with(class))
                });
            }
            PgWireBackendMessage::CopyInResponse(_) | PgWireBackendMessage::CopyBothResponse(_) => {
                return Err(AnswerError::Copy);
            }
            // These concern the pooled connection, not the caller.
            PgWireBackendMessage::ParameterStatus(_)
            | PgWireBackendMessage::NotificationResponse(_) => return Ok(()),
            _ => {}
        }
        msg.encode(&mut self.buf).map_err(CodecError::from)?;
        if self.buf.len() > self.limit {
            return Err(AnswerError::TooLarge { limit: self.limit });
        }
        Ok(())
    }
}

fn read_status(status: &mut Option<InstanceStatus>, msg: &PgWireBackendMessage) {
    if let PgWireBackendMessage::DataRow(row) = msg {
        *status = parse_status_row(row).map(|row: StatusRow| row.status);
    }
}
