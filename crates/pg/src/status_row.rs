//! The status query in SQL, and the row that every function of the schema `caraway` returns.

use std::time::Duration;

use bytes::Buf;
use model::{InstanceStatus, Position, Role};
use pgwire::messages::data::DataRow;

/// The columns of the status row, in order.
pub const STATUS_COLUMNS: [&str; 8] = [
    "role",
    "term",
    "log_term",
    "log_offset",
    "lag_ms",
    "granted",
    "slots",
    "connections",
];

/// The row that every function of an upstream's schema `caraway` returns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatusRow {
    /// The role, term, log position and replication lag of the instance.
    pub status: InstanceStatus,
    /// Whether the upstream granted what the call asked for, such as a promise or a claim.
    pub granted: bool,
    /// How many statements the calling host may run on the upstream at a time.
    pub slots: u32,
    /// How many connections to the upstream the calling host may hold.
    pub connections: u32,
}

/// Returns the SQL that asks for the status, at once or when a position is reached or the wait ends.
pub fn status_sql(wait_for: Option<(Position, Duration)>) -> String {
    let (position, wait) = wait_for.unwrap_or_default();
    let Position { term, offset } = position;
    let wait = wait.as_millis();
    format!("SELECT * FROM caraway.status({term}, {offset}, {wait})")
}

/// Parses a status row; `None` if a column is missing or has no valid value.
pub fn parse_status_row(row: &DataRow) -> Option<StatusRow> {
    let texts = text_columns(row)?;
    let [
        role,
        term,
        log_term,
        log_offset,
        lag,
        granted,
        slots,
        connections,
    ] = &texts[..]
    else {
        return None;
    };
    let role = match role.as_str() {
        "primary" => Role::Primary,
        "replica" => Role::Replica,
        _ => return None,
    };
    let position = Position::new(log_term.parse().ok()?, log_offset.parse().ok()?);
    let status = InstanceStatus {
        role,
        term: term.parse().ok()?,
        position,
        lag: Duration::from_millis(lag.parse().ok()?),
    };
    Some(StatusRow {
        status,
        granted: granted == "t",
        slots: slots.parse().ok()?,
        connections: connections.parse().ok()?,
    })
}

/// Returns the columns of a row in text format; `None` if one is null or malformed.
fn text_columns(row: &DataRow) -> Option<Vec<String>> {
    let mut data = &row.data[..];
    let mut texts = Vec::with_capacity(STATUS_COLUMNS.len());
    for _ in 0..row.field_count {
        let length = usize::try_from(data.try_get_i32().ok()?).ok()?;
        let text = data.get(..length)?;
        texts.push(String::from_utf8(text.to_vec()).ok()?);
        data.advance(length);
    }
    Some(texts)
}
