//! The statements that a stand-in supports, independent of the wire format.
//!
//! A stand-in is a small instance that speaks the PostgreSQL protocol, and that tests
//! and trials run in place of a real database.
//!
//! `parse` turns SQL text into a [`Stmt`]; a [`Call`] is a call of a `caraway.*`
//! function.

pub mod call;
pub mod datum;
pub mod parse;
pub mod stmt;

pub use call::Call;
pub use datum::{ColumnType, Datum, Row, TableId};
pub use stmt::{Column, Filter, Projection, Scalar, Stmt};

use std::sync::Arc;

/// The successful result of a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Output {
    /// The rows, in the order of the statement's columns.
    pub rows: Vec<Row>,
    /// The command tag, such as `INSERT 0 1`.
    pub tag: Arc<str>,
}

impl Output {
    /// Creates a result without rows.
    pub fn tag(tag: impl Into<Arc<str>>) -> Self {
        Self {
            rows: Vec::new(),
            tag: tag.into(),
        }
    }

    /// Creates the result of a query, with the tag `SELECT n`.
    pub fn rows(rows: Vec<Row>) -> Self {
        let tag = format!("SELECT {}", rows.len()).into();
        Self { rows, tag }
    }
}

/// The error of a statement or login, as the client sees it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{code}: {message}")]
pub struct SqlError {
    /// The five-character SQLSTATE, one of [`sqlstate`].
    pub code: &'static str,
    /// The message text.
    pub message: Arc<str>,
}

impl SqlError {
    /// Creates an error.
    pub fn new(code: &'static str, message: impl Into<Arc<str>>) -> Self {
        Self {
            code,
            message: message.into(),
        }
    }

    /// Creates the error of a statement that the stand-in does not support.
    pub fn unsupported(what: impl std::fmt::Display) -> Self {
        Self::new(
            sqlstate::UNSUPPORTED,
            format!("the stand-in can't do {what}"),
        )
    }
}

/// The SQLSTATE codes that a stand-in uses.
pub mod sqlstate {
    /// The stand-in does not support the statement.
    pub const UNSUPPORTED: &str = "0A000";
    /// The statement doesn't parse.
    pub const SYNTAX: &str = "42601";
    /// A protocol message is unexpected or incomplete.
    pub const PROTOCOL: &str = "08P01";
    /// The prepared statement does not exist.
    pub const NO_STATEMENT: &str = "26000";
    /// The portal does not exist.
    pub const NO_PORTAL: &str = "34000";
    /// The table does not exist.
    pub const NO_TABLE: &str = "42P01";
    /// The column does not exist.
    pub const NO_COLUMN: &str = "42703";
    /// A value can't be converted to the type of its column or parameter.
    pub const BAD_VALUE: &str = "22P02";
    /// The primary key is null.
    pub const NOT_NULL: &str = "23502";
    /// A row with the same primary key exists.
    pub const DUPLICATE: &str = "23505";
    /// The instance is not primary and refuses writes and log pulls.
    pub const READ_ONLY: &str = "25006";
    /// The transaction has failed; only its end is accepted.
    pub const FAILED_TRANSACTION: &str = "25P02";
    /// The user or the password is wrong.
    pub const BAD_LOGIN: &str = "28P01";
    /// The instance has no connection left.
    pub const TOO_MANY_CONNECTIONS: &str = "53300";
}
