//! The replication log, and the tables that result from applying its entries.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use model::{Position, Term, UpstreamId};
use serde::{Deserialize, Serialize};

use crate::sql::{Datum, Row, TableId};

/// One operation of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Op {
    /// An instance became primary in the entry's term; changes no table.
    Lead(UpstreamId),
    /// A row was inserted, or replaced the row with the same primary key.
    Put(TableId, Row),
    /// The row with a primary key was deleted.
    Remove(TableId, Datum),
}

/// One log entry: the operations of a committed transaction, or the start of a term.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The term in which the entry was written, and the log's length in bytes
    /// including the entry.
    pub position: Position,
    /// When the primary wrote the entry; on a replica, from the age that the primary told.
    pub written_at: Instant,
    /// The operations, in order.
    ops: Arc<[Op]>,
    /// The operations as JSON, as replicas receive them.
    data: Arc<str>,
}

impl Entry {
    /// Creates the entry that follows a position, encoding its operations.
    pub fn new(after: Position, term: Term, written: Instant, ops: Vec<Op>) -> Self {
        let data: Arc<str> = serde_json::to_string(&ops).unwrap_or_default().into();
        let offset = after.offset + data.len() as u64;
        Self {
            position: Position::new(term, offset),
            written_at: written,
            ops: ops.into(),
            data,
        }
    }

    /// Decodes an entry that a primary has encoded; `None` if it is malformed.
    pub fn decode(position: Position, written: Instant, data: &str) -> Option<Self> {
        let ops: Vec<Op> = serde_json::from_str(data).ok()?;
        Some(Self {
            position,
            written_at: written,
            ops: ops.into(),
            data: data.into(),
        })
    }

    /// Returns the operations as JSON, for replicas.
    pub fn data(&self) -> &str {
        &self.data
    }
}

/// The rows of one table by primary key.
pub type Rows = BTreeMap<Datum, Row>;

/// The replication log, with the tables after its last entry.
#[derive(Debug, Default)]
pub struct Log {
    entries: Vec<Entry>,
    primaries: Vec<(Term, UpstreamId)>,
    ledger: Rows,
    kv: Rows,
}

impl Log {
    /// Creates a log by applying entries in order.
    pub fn from_entries(entries: Vec<Entry>) -> Self {
        let mut log = Self::default();
        for entry in entries {
            log.push(entry);
        }
        log
    }

    /// Returns all entries, oldest first.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Returns the position of the last entry.
    pub fn position(&self) -> Position {
        self.entries
            .last()
            .map_or_else(Position::default, |entry| entry.position)
    }

    /// Returns the primaries that the log names, each with its term, oldest first.
    pub fn primaries(&self) -> &[(Term, UpstreamId)] {
        &self.primaries
    }

    /// Returns the committed rows of a table.
    pub fn rows(&self, table: TableId) -> &Rows {
        match table {
            TableId::Ledger => &self.ledger,
            TableId::Kv => &self.kv,
        }
    }

    /// Appends an entry and applies it to the tables.
    pub fn push(&mut self, entry: Entry) {
        for op in entry.ops.iter().cloned() {
            self.apply(entry.position.term, op);
        }
        self.entries.push(entry);
    }

    /// Returns the entries after a position.
    ///
    /// # Errors
    ///
    /// If the log does not have the position, returns the last position before it
    /// that it has.
    pub fn entries_after(&self, position: Position) -> Result<&[Entry], Position> {
        let at = self
            .entries
            .partition_point(|entry| entry.position <= position);
        let last = match at.checked_sub(1) {
            Some(before) => self.entries[before].position,
            None => Position::default(),
        };
        if last == position {
            Ok(&self.entries[at..])
        } else {
            Err(last)
        }
    }

    /// Removes the entries after a position, rebuilds the tables, and returns how many
    /// entries were removed.
    pub fn truncate_after(&mut self, position: Position) -> usize {
        let keep = self
            .entries
            .partition_point(|entry| entry.position <= position);
        let cut = self.entries.len() - keep;
        if cut > 0 {
            let mut entries = std::mem::take(&mut self.entries);
            entries.truncate(keep);
            *self = Self::from_entries(entries);
        }
        cut
    }

    fn apply(&mut self, term: Term, op: Op) {
        match op {
            Op::Lead(upstream) => self.primaries.push((term, upstream)),
            Op::Put(table, row) => {
                let Some(key) = row.first().cloned() else {
                    return;
                };
                self.rows_mut(table).insert(key, row);
            }
            Op::Remove(table, key) => {
                self.rows_mut(table).remove(&key);
            }
        }
    }

    fn rows_mut(&mut self, table: TableId) -> &mut Rows {
        match table {
            TableId::Ledger => &mut self.ledger,
            TableId::Kv => &mut self.kv,
        }
    }
}
