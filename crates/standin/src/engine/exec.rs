//! Runs statements on the committed tables, overlaid with a transaction's own changes.

use std::collections::BTreeMap;

use super::log::{Log, Op};
use crate::sql::{
    Datum, Filter, Output, Projection, Row, Scalar, SqlError, Stmt, TableId, sqlstate,
};

/// The uncommitted changes of a transaction, by table and primary key.
pub(crate) type Changes = BTreeMap<(TableId, Datum), Change>;

/// The uncommitted change of one row.
#[derive(Debug)]
pub(crate) struct Change {
    /// The new row; `None` if the transaction deleted it.
    row: Option<Row>,
    /// Whether the transaction inserted the row while no committed row had its
    /// key; the commit fails if another transaction has inserted the key since.
    key_was_free: bool,
}

/// Runs a statement that reads or changes tables, or needs none.
pub(crate) fn execute(log: &Log, changes: &mut Changes, stmt: &Stmt) -> Result<Output, SqlError> {
    match stmt {
        Stmt::Insert {
            table,
            rows,
            skip_existing,
        } => insert(log, changes, *table, rows, *skip_existing),
        Stmt::Update {
            table,
            column,
            value,
            filter,
        } => update(log, changes, *table, *column, value, filter.as_ref()),
        Stmt::Delete { table, filter } => delete(log, changes, *table, filter.as_ref()),
        Stmt::Select {
            table,
            projection,
            filter,
        } => {
            let rows = matching_rows(log, changes, *table, filter.as_ref())?;
            Ok(Output::rows(project(&rows, projection)))
        }
        Stmt::Values(values) => {
            let row = values.iter().map(Scalar::value).collect::<Result<_, _>>()?;
            Ok(Output::rows(vec![row]))
        }
        Stmt::Sleep(_) => Ok(Output::rows(vec![vec![Datum::text("")]])),
        Stmt::Set => Ok(Output::tag("SET")),
        Stmt::Show(name) => Ok(Output {
            rows: vec![vec![Datum::text(setting_value(name))]],
            tag: "SHOW".into(),
        }),
        Stmt::Call(_) | Stmt::Begin | Stmt::Commit | Stmt::Rollback | Stmt::FailTransaction => {
            Err(SqlError::unsupported("this statement here"))
        }
    }
}

/// Converts a transaction's changes to operations of a log entry.
///
/// # Errors
///
/// Fails if another transaction has meanwhile committed a row with a key that this
/// one inserts.
pub(crate) fn log_ops(log: &Log, changes: Changes) -> Result<Vec<Op>, SqlError> {
    let mut ops = Vec::with_capacity(changes.len());
    for ((table, key), change) in changes {
        let key_exists = log.rows(table).contains_key(&key);
        match change.row {
            Some(_) if change.key_was_free && key_exists => {
                return Err(duplicate_key_error(table, &key));
            }
            Some(row) => ops.push(Op::Put(table, row)),
            None if key_exists => ops.push(Op::Remove(table, key)),
            None => {}
        }
    }
    Ok(ops)
}

fn insert(
    log: &Log,
    changes: &mut Changes,
    table: TableId,
    rows: &[Vec<Scalar>],
    skip_existing: bool,
) -> Result<Output, SqlError> {
    let mut inserted = 0;
    for row in rows {
        let row = coerce_row(table, row)?;
        let key = row[0].clone();
        if key == Datum::Null {
            return Err(SqlError::new(
                sqlstate::NOT_NULL,
                "the primary key must not be null",
            ));
        }
        if visible_row(log, changes, table, &key).is_some() {
            if skip_existing {
                continue;
            }
            return Err(duplicate_key_error(table, &key));
        }
        let change = Change {
            row: Some(row),
            key_was_free: !log.rows(table).contains_key(&key),
        };
        changes.insert((table, key), change);
        inserted += 1;
    }
    Ok(Output::tag(format!("INSERT 0 {inserted}")))
}

fn update(
    log: &Log,
    changes: &mut Changes,
    table: TableId,
    column: usize,
    value: &Scalar,
    filter: Option<&Filter>,
) -> Result<Output, SqlError> {
    if column == 0 {
        return Err(SqlError::unsupported("an UPDATE of a primary key"));
    }
    let value = value.value()?.coerce(table.columns()[column].1)?;
    let rows = cloned_rows(matching_rows(log, changes, table, filter)?);
    let tag = format!("UPDATE {}", rows.len());
    for mut row in rows {
        row[column] = value.clone();
        record_change(changes, table, row[0].clone(), Some(row));
    }
    Ok(Output::tag(tag))
}

fn delete(
    log: &Log,
    changes: &mut Changes,
    table: TableId,
    filter: Option<&Filter>,
) -> Result<Output, SqlError> {
    let rows = cloned_rows(matching_rows(log, changes, table, filter)?);
    let tag = format!("DELETE {}", rows.len());
    for row in rows {
        record_change(changes, table, row[0].clone(), None);
    }
    Ok(Output::tag(tag))
}

fn record_change(changes: &mut Changes, table: TableId, key: Datum, row: Option<Row>) {
    let key_was_free = changes
        .get(&(table, key.clone()))
        .is_some_and(|change| change.key_was_free);
    changes.insert((table, key), Change { row, key_was_free });
}

fn cloned_rows(rows: Vec<&Row>) -> Vec<Row> {
    rows.into_iter().cloned().collect()
}

/// Returns the row with a key as the transaction sees it.
fn visible_row<'a>(
    log: &'a Log,
    changes: &'a Changes,
    table: TableId,
    key: &Datum,
) -> Option<&'a Row> {
    match changes.get(&(table, key.clone())) {
        Some(change) => change.row.as_ref(),
        None => log.rows(table).get(key),
    }
}

fn matching_rows<'a>(
    log: &'a Log,
    changes: &'a Changes,
    table: TableId,
    filter: Option<&Filter>,
) -> Result<Vec<&'a Row>, SqlError> {
    let Some(filter) = filter else {
        return Ok(visible_rows(log, changes, table).collect());
    };
    let value = filter
        .value
        .value()?
        .coerce(table.columns()[filter.column].1)?;
    if filter.column == 0 {
        return Ok(visible_row(log, changes, table, &value)
            .into_iter()
            .collect());
    }
    Ok(visible_rows(log, changes, table)
        .filter(|row| row[filter.column] == value && value != Datum::Null)
        .collect())
}

/// Returns a table's rows as the transaction sees them, changed rows last.
fn visible_rows<'a>(
    log: &'a Log,
    changes: &'a Changes,
    table: TableId,
) -> impl Iterator<Item = &'a Row> {
    let unchanged = log.rows(table).iter().filter(move |(key, _)| {
        changes.is_empty() || !changes.contains_key(&(table, (*key).clone()))
    });
    let changed = changes
        .iter()
        .filter(move |((changed, _), _)| *changed == table)
        .filter_map(|(_, change)| change.row.as_ref());
    unchanged.map(|(_, row)| row).chain(changed)
}

fn project(rows: &[&Row], projection: &Projection) -> Vec<Row> {
    match projection {
        Projection::Columns(indexes) => rows
            .iter()
            .map(|row| indexes.iter().map(|index| row[*index].clone()).collect())
            .collect(),
        Projection::Count => vec![vec![Datum::Int(rows.len() as i64)]],
        Projection::Sum(column) => vec![vec![sum(rows, *column)]],
    }
}

fn sum(rows: &[&Row], column: usize) -> Datum {
    rows.iter()
        .filter_map(|row| match row[column] {
            Datum::Int(number) => Some(number),
            _ => None,
        })
        .reduce(i64::saturating_add)
        .map_or(Datum::Null, Datum::Int)
}

fn coerce_row(table: TableId, row: &[Scalar]) -> Result<Row, SqlError> {
    row.iter()
        .zip(table.columns())
        .map(|(scalar, (_, ty))| scalar.value()?.coerce(*ty))
        .collect()
}

fn duplicate_key_error(table: TableId, key: &Datum) -> SqlError {
    let key = key.to_text().unwrap_or_default();
    let (column, _) = table.columns()[0];
    SqlError::new(
        sqlstate::DUPLICATE,
        format!("duplicate key value: ({column})=({key}) already exists"),
    )
}

/// Returns the value that `SHOW` answers; empty for an unknown setting.
fn setting_value(name: &str) -> &'static str {
    match name {
        "server_version" => "17.0",
        "transaction_isolation" => "read committed",
        "server_encoding" | "client_encoding" => "UTF8",
        _ => "",
    }
}
