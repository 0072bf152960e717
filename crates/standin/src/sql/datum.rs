//! Values, rows, and the two tables of a stand-in.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{SqlError, sqlstate};

/// One SQL value.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Datum {
    /// SQL `NULL`.
    Null,
    /// An integer of any column type.
    Int(i64),
    /// A text value.
    Text(Arc<str>),
}

/// One row, in the order of its table's columns.
pub type Row = Vec<Datum>;

/// The type of a column.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColumnType {
    /// `text`.
    Text,
    /// `int4`.
    Int4,
    /// `int8`.
    Int8,
}

impl Datum {
    /// Creates a text value.
    pub fn text(text: impl Into<Arc<str>>) -> Self {
        Self::Text(text.into())
    }

    /// Returns the value as text; `None` for `NULL`.
    pub fn to_text(&self) -> Option<Arc<str>> {
        match self {
            Self::Null => None,
            Self::Int(number) => Some(number.to_string().into()),
            Self::Text(text) => Some(text.clone()),
        }
    }

    /// Converts the value to a column's type; `NULL` stays.
    ///
    /// # Errors
    ///
    /// Fails if the type is an integer and the text isn't one.
    pub fn coerce(self, ty: ColumnType) -> Result<Self, SqlError> {
        match (ty, self) {
            (ColumnType::Text, Self::Int(number)) => Ok(Self::text(number.to_string())),
            (ColumnType::Int4 | ColumnType::Int8, Self::Text(text)) => text
                .parse()
                .map(Self::Int)
                .map_err(|_| SqlError::new(sqlstate::BAD_VALUE, format!("`{text}` is no integer"))),
            (_, datum) => Ok(datum),
        }
    }
}

/// A table of the stand-in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum TableId {
    /// `ledger(id text primary key, account text, amount bigint)`.
    Ledger,
    /// `kv(k text primary key, v text)`.
    Kv,
}

impl TableId {
    /// Returns the table with a name in lower case.
    ///
    /// # Errors
    ///
    /// Fails if there is no such table.
    pub fn from_name(name: &str) -> Result<Self, SqlError> {
        match name {
            "ledger" => Ok(Self::Ledger),
            "kv" => Ok(Self::Kv),
            _ => Err(SqlError::new(
                sqlstate::NO_TABLE,
                format!("relation \"{name}\" does not exist"),
            )),
        }
    }

    /// Returns the columns, of which the first is the primary key.
    pub fn columns(self) -> &'static [(&'static str, ColumnType)] {
        match self {
            Self::Ledger => &[
                ("id", ColumnType::Text),
                ("account", ColumnType::Text),
                ("amount", ColumnType::Int8),
            ],
            Self::Kv => &[("k", ColumnType::Text), ("v", ColumnType::Text)],
        }
    }

    /// Returns the index of a column in the table's rows.
    ///
    /// # Errors
    ///
    /// Fails if the table has no such column.
    pub fn column_index(self, name: &str) -> Result<usize, SqlError> {
        self.columns()
            .iter()
            .position(|(column, _)| *column == name)
            .ok_or_else(|| {
                SqlError::new(
                    sqlstate::NO_COLUMN,
                    format!("column \"{name}\" does not exist"),
                )
            })
    }
}
