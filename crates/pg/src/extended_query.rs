//! The extended query protocol: a caller's prepared statements, and its batches of messages up to
//! a `Sync`, rewritten so that any pooled connection can run them.
//!
//! Pooled connections hold no caller's prepared statements. The rewritten batch therefore contains
//! a `Parse` for each statement that it binds or describes, always as the unnamed statement, and
//! the `ParseComplete` answers to the added messages are removed before the caller sees them.

use bytes::Bytes;
use model::{HashMap, Kind};
use pgwire::messages::extendedquery::Parse;
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage};

use crate::classify::{LocalStatement, StatementClass, Unsupported, classify};
use crate::codec::{CodecError, encode_frontend};

/// The target type of `Describe` and `Close` messages that name a prepared statement, not a portal.
const STATEMENT_TARGET: u8 = b'S';

/// A caller's prepared statements by name; the unnamed statement has the empty name.
#[derive(Debug, Default)]
pub struct PreparedStatements {
    prepared: HashMap<String, PreparedStatement>,
    /// Bytes of `prepared`, as [`entry_bytes`] counts them.
    kept_bytes: usize,
}

/// Returns about how many bytes a prepared statement takes in memory.
fn entry_bytes(name: &str, prepared: &PreparedStatement) -> usize {
    let types = prepared.type_oids.len() * size_of::<u32>();
    size_of::<(String, PreparedStatement)>() + name.len() + prepared.query.len() + types
}

#[derive(Clone, Debug)]
struct PreparedStatement {
    query: String,
    type_oids: Vec<u32>,
}

/// A batch of messages that any pooled upstream connection can run.
#[derive(Debug)]
pub struct RewrittenBatch {
    /// Whether the batch reads or writes, controls a transaction, or is answered locally.
    pub class: StatementClass,
    /// The encoded messages, the `Sync` included.
    pub payload: Bytes,
    /// Which `ParseComplete` answers to remove.
    pub added_parses: AddedParses,
}

/// Tells which `ParseComplete` messages of an answer belong to a `Parse` that the rewriting added.
#[derive(Clone, Debug, Default)]
pub struct AddedParses {
    /// For each `Parse` of the batch, in order, whether it was added.
    is_added: Vec<bool>,
}

/// Why a batch can't be sent to an upstream.
#[derive(Debug, thiserror::Error)]
pub enum BatchError {
    /// A statement can't run on a pooled connection.
    #[error(transparent)]
    Unsupported(#[from] Unsupported),
    /// No prepared statement has this name.
    #[error("prepared statement \"{0}\" does not exist")]
    UnknownStatement(String),
    /// The rewritten batch can't be encoded.
    #[error(transparent)]
    Codec(#[from] CodecError),
}

impl AddedParses {
    /// Returns whether the batch has an added `Parse`.
    pub fn any(&self) -> bool {
        self.is_added.iter().any(|added| *added)
    }

    /// Removes the `ParseComplete` messages that answer an added `Parse`.
    pub fn remove_added(&self, msgs: Vec<PgWireBackendMessage>) -> Vec<PgWireBackendMessage> {
        let mut parses = self.is_added.iter();
        let keep = |msg: &PgWireBackendMessage| match msg {
            PgWireBackendMessage::ParseComplete(_) => parses.next() != Some(&true),
            _ => true,
        };
        let mut keep = keep;
        msgs.into_iter().filter(|msg| keep(msg)).collect()
    }
}

impl PreparedStatements {
    /// Rewrites a caller's batch, which ends with a `Sync`, and stores the statements it prepares.
    ///
    /// # Errors
    ///
    /// Fails if a statement is unknown or can't run on a pooled connection.
    pub fn rewrite(
        &mut self,
        msgs: Vec<PgWireFrontendMessage>,
    ) -> Result<RewrittenBatch, BatchError> {
        let mut out = Vec::with_capacity(msgs.len() + 1);
        let mut added_parses = AddedParses::default();
        let mut class = StatementClass {
            kind: Kind::Read,
            transaction_control: false,
            local: None,
        };
        let mut parsed: Option<String> = None;
        for msg in msgs {
            match msg {
                PgWireFrontendMessage::Parse(mut parse) => {
                    let name = parse.name.take().unwrap_or_default();
                    // Refuses an unsupported statement before any of the batch runs.
                    classify(&parse.query)?;
                    self.store(&name, &parse);
                    added_parses.is_added.push(false);
                    parsed = Some(name);
                    out.push(PgWireFrontendMessage::Parse(parse));
                }
                PgWireFrontendMessage::Bind(mut bind) => {
                    let name = bind.statement_name.take().unwrap_or_default();
                    self.ensure_parsed(&name, &mut parsed, &mut out, &mut added_parses)?;
                    merge_class(&mut class, self.class_of(&name)?);
                    out.push(PgWireFrontendMessage::Bind(bind));
                }
                PgWireFrontendMessage::Describe(mut describe)
                    if describe.target_type == STATEMENT_TARGET =>
                {
                    let name = describe.name.take().unwrap_or_default();
                    self.ensure_parsed(&name, &mut parsed, &mut out, &mut added_parses)?;
                    out.push(PgWireFrontendMessage::Describe(describe));
                }
                PgWireFrontendMessage::Close(mut close)
                    if close.target_type == STATEMENT_TARGET =>
                {
                    let name = close.name.take().unwrap_or_default();
                    self.remove(&name);
                    parsed = None;
                    out.push(PgWireFrontendMessage::Close(close));
                }
                other => out.push(other),
            }
        }
        let payload = encode_frontend(&out)?;
        Ok(RewrittenBatch {
            class,
            payload,
            added_parses,
        })
    }

    fn store(&mut self, name: &str, parse: &Parse) {
        let prepared = PreparedStatement {
            query: parse.query.clone(),
            type_oids: parse.type_oids.clone(),
        };
        self.kept_bytes += entry_bytes(name, &prepared);
        if let Some(before) = self.prepared.insert(name.to_owned(), prepared) {
            self.kept_bytes -= entry_bytes(name, &before);
        }
    }

    /// Returns the bytes of all statements.
    pub(crate) fn kept_bytes(&self) -> usize {
        self.kept_bytes
    }

    fn remove(&mut self, name: &str) {
        if let Some(before) = self.prepared.remove(name) {
            self.kept_bytes -= entry_bytes(name, &before);
        }
    }

    fn class_of(&self, name: &str) -> Result<StatementClass, BatchError> {
        Ok(classify(&self.get(name)?.query)?)
    }

    fn get(&self, name: &str) -> Result<&PreparedStatement, BatchError> {
        let prepared = self.prepared.get(name);
        prepared.ok_or_else(|| BatchError::UnknownStatement(name.to_owned()))
    }

    /// Adds a `Parse` unless `parsed`, the statement that the batch parsed last, is this one.
    fn ensure_parsed(
        &self,
        name: &str,
        parsed: &mut Option<String>,
        out: &mut Vec<PgWireFrontendMessage>,
        added_parses: &mut AddedParses,
    ) -> Result<(), BatchError> {
        if parsed.as_deref() == Some(name) {
            return Ok(());
        }
        let prepared = self.get(name)?.clone();
        let parse = Parse::new(None, prepared.query, prepared.type_oids);
        out.push(PgWireFrontendMessage::Parse(parse));
        added_parses.is_added.push(true);
        *parsed = Some(name.to_owned());
        Ok(())
    }
}

fn merge_class(class: &mut StatementClass, other: StatementClass) {
    if other.kind == Kind::Write {
        class.kind = Kind::Write;
    }
    class.transaction_control |= other.transaction_control;
    if other.local.is_some() {
        class.local = other.local;
    }
}

/// Returns whether the answer to a locally answered statement has no row.
pub fn returns_no_rows(local: &LocalStatement) -> bool {
    !matches!(local, LocalStatement::Show { .. })
}
