//! Statements, the types of their parameters, and their result columns.

use std::sync::Arc;

use super::{Call, ColumnType, Datum, SqlError, TableId, sqlstate};

/// A constant, or a parameter that `Stmt::bind` replaces by a constant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Scalar {
    /// A constant.
    Value(Datum),
    /// The zero-based index of a parameter: 0 for `$1`.
    Param(usize),
}

/// A condition `WHERE column = value`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Filter {
    /// The index of the column in the table's rows.
    pub column: usize,
    /// The value.
    pub value: Scalar,
}

/// What a query of a table returns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Projection {
    /// These columns of each row, by index.
    Columns(Vec<usize>),
    /// `count(*)`.
    Count,
    /// `sum(column)`, by the column's index.
    Sum(usize),
}

/// One statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stmt {
    /// Inserts rows.
    Insert {
        /// The table.
        table: TableId,
        /// The rows, in the order of the table's columns.
        rows: Vec<Vec<Scalar>>,
        /// Whether rows whose key exists are skipped (`ON CONFLICT DO NOTHING`)
        /// rather than failing the statement.
        skip_existing: bool,
    },
    /// Updates one column.
    Update {
        /// The table.
        table: TableId,
        /// The index of the column in the table's rows.
        column: usize,
        /// Its new value.
        value: Scalar,
        /// The condition that rows must meet; `None` for all rows.
        filter: Option<Filter>,
    },
    /// Deletes rows.
    Delete {
        /// The table.
        table: TableId,
        /// The condition that rows must meet; `None` for all rows.
        filter: Option<Filter>,
    },
    /// Reads a table.
    Select {
        /// The table.
        table: TableId,
        /// What to return of the rows.
        projection: Projection,
        /// The condition that rows must meet; `None` for all rows.
        filter: Option<Filter>,
    },
    /// Returns one row of constants or parameters (`SELECT 1`).
    Values(Vec<Scalar>),
    /// Holds its slot for a number of seconds more (`SELECT pg_sleep(1)`); each slot
    /// runs one statement at a time.
    Sleep(Scalar),
    /// Calls a function of schema `caraway`.
    Call(Call),
    /// Opens a transaction.
    Begin,
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// Does nothing: `SET`, `RESET`, `DISCARD` or `DEALLOCATE`.
    Set,
    /// Returns the value of a setting (`SHOW name`).
    Show(Arc<str>),
    /// Fails the open transaction. The connection's task sends it in place of a message
    /// that it refused itself, such as SQL that does not parse or an unknown portal.
    FailTransaction,
}

/// A column of a result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Column {
    /// The name that clients see.
    pub name: Arc<str>,
    /// The type that clients see.
    pub ty: ColumnType,
}

impl Column {
    fn new(name: impl Into<Arc<str>>, ty: ColumnType) -> Self {
        let name = name.into();
        Self { name, ty }
    }
}

impl Stmt {
    /// Returns whether the statement changes tables, which needs a primary.
    pub fn writes(&self) -> bool {
        matches!(
            self,
            Self::Insert { .. } | Self::Update { .. } | Self::Delete { .. }
        )
    }

    /// Returns whether the statement is `BEGIN`, `COMMIT` or `ROLLBACK`.
    pub fn is_tx_control(&self) -> bool {
        matches!(self, Self::Begin | Self::Commit | Self::Rollback)
    }

    /// Returns whether the statement waits for a slot before it runs.
    pub fn needs_slot(&self) -> bool {
        !matches!(
            self,
            Self::Call(_)
                | Self::Begin
                | Self::Rollback
                | Self::Set
                | Self::Show(_)
                | Self::FailTransaction
        )
    }

    /// Returns the columns of the result; empty for a statement that returns no rows.
    pub fn columns(&self) -> Vec<Column> {
        match self {
            Self::Select {
                table, projection, ..
            } => match projection {
                Projection::Columns(indexes) => indexes
                    .iter()
                    .map(|index| table.columns()[*index])
                    .map(|(name, ty)| Column::new(name, ty))
                    .collect(),
                Projection::Count => vec![Column::new("count", ColumnType::Int8)],
                Projection::Sum(_) => vec![Column::new("sum", ColumnType::Int8)],
            },
            Self::Values(values) => values
                .iter()
                .map(|value| Column::new("?column?", type_of(value)))
                .collect(),
            Self::Sleep(_) => vec![Column::new("pg_sleep", ColumnType::Text)],
            Self::Show(name) => vec![Column::new(name.clone(), ColumnType::Text)],
            Self::Call(call) => call
                .columns()
                .iter()
                .map(|name| Column::new(*name, ColumnType::Text))
                .collect(),
            _ => Vec::new(),
        }
    }

    /// Returns the types of the parameters, in their order; `text` where nothing tells.
    pub fn param_types(&self) -> Vec<ColumnType> {
        let mut types = Vec::new();
        let mut record_type = |scalar: &Scalar, ty: ColumnType| {
            if let Scalar::Param(index) = scalar {
                if types.len() <= *index {
                    types.resize(index + 1, ColumnType::Text);
                }
                types[*index] = ty;
            }
        };
        self.visit_scalars(&mut record_type);
        types
    }

    /// Calls `visit` for each constant or parameter, with the column type that it needs.
    fn visit_scalars(&self, visit: &mut impl FnMut(&Scalar, ColumnType)) {
        match self {
            Self::Insert { table, rows, .. } => {
                for row in rows {
                    for (scalar, (_, ty)) in row.iter().zip(table.columns()) {
                        visit(scalar, *ty);
                    }
                }
            }
            Self::Update {
                table,
                column,
                value,
                filter,
            } => {
                visit(value, table.columns()[*column].1);
                visit_filter(*table, filter, visit);
            }
            Self::Delete { table, filter } | Self::Select { table, filter, .. } => {
                visit_filter(*table, filter, visit);
            }
            Self::Values(values) => values
                .iter()
                .for_each(|value| visit(value, ColumnType::Text)),
            Self::Sleep(seconds) => visit(seconds, ColumnType::Text),
            _ => {}
        }
    }

    /// Replaces the parameters by their values.
    ///
    /// # Errors
    ///
    /// Fails if a parameter is missing.
    pub fn bind(mut self, params: &[Datum]) -> Result<Self, SqlError> {
        let bind_scalar = |scalar: &mut Scalar| {
            if let Scalar::Param(index) = scalar {
                let datum = params.get(*index).cloned().ok_or_else(|| {
                    SqlError::new(sqlstate::PROTOCOL, "the bind message lacks a parameter")
                })?;
                *scalar = Scalar::Value(datum);
            }
            Ok(())
        };
        match &mut self {
            Self::Insert { rows, .. } => rows.iter_mut().flatten().try_for_each(bind_scalar)?,
            Self::Update { value, filter, .. } => {
                bind_scalar(value)?;
                filter
                    .iter_mut()
                    .try_for_each(|f| bind_scalar(&mut f.value))?;
            }
            Self::Delete { filter, .. } | Self::Select { filter, .. } => {
                filter
                    .iter_mut()
                    .try_for_each(|f| bind_scalar(&mut f.value))?;
            }
            Self::Values(values) => values.iter_mut().try_for_each(bind_scalar)?,
            Self::Sleep(seconds) => bind_scalar(seconds)?,
            _ => {}
        }
        Ok(self)
    }
}

impl Scalar {
    /// Returns the constant.
    ///
    /// # Errors
    ///
    /// Fails if this is a parameter that was not bound.
    pub fn value(&self) -> Result<Datum, SqlError> {
        match self {
            Self::Value(datum) => Ok(datum.clone()),
            Self::Param(_) => Err(SqlError::new(
                sqlstate::PROTOCOL,
                "a parameter is not bound",
            )),
        }
    }
}

fn visit_filter(
    table: TableId,
    filter: &Option<Filter>,
    visit: &mut impl FnMut(&Scalar, ColumnType),
) {
    if let Some(filter) = filter {
        visit(&filter.value, table.columns()[filter.column].1);
    }
}

fn type_of(scalar: &Scalar) -> ColumnType {
    match scalar {
        Scalar::Value(Datum::Int(number)) if i32::try_from(*number).is_ok() => ColumnType::Int4,
        Scalar::Value(Datum::Int(_)) => ColumnType::Int8,
        _ => ColumnType::Text,
    }
}
