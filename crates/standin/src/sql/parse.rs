//! Parses SQL text into the statements that a stand-in supports.

use sqlparser::ast::{
    Assignment, AssignmentTarget, BinaryOperator, Delete, Expr, FromTable, Function, FunctionArg,
    FunctionArgExpr, FunctionArguments, Insert, ObjectName, ObjectNamePart, OnConflictAction,
    OnInsert, Query, Select, SelectItem, SetExpr, Statement, TableFactor, TableObject,
    TableWithJoins, UnaryOperator, Update, Value,
};
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;

use super::{Call, Datum, Filter, Projection, Scalar, SqlError, Stmt, TableId, sqlstate};

/// Parses the statements of a text, separated by semicolons.
///
/// # Errors
///
/// Fails if the text is no valid SQL or contains a statement that the stand-in does
/// not support.
pub fn parse(text: &str) -> Result<Vec<Stmt>, SqlError> {
    Parser::parse_sql(&PostgreSqlDialect {}, text)
        .map_err(|error| SqlError::new(sqlstate::SYNTAX, error.to_string()))?
        .into_iter()
        .map(statement)
        .collect()
}

fn statement(statement: Statement) -> Result<Stmt, SqlError> {
    match statement {
        Statement::Insert(insert) => insert_stmt(insert),
        Statement::Update(update) => update_stmt(update),
        Statement::Delete(delete) => delete_stmt(delete),
        Statement::Query(query) => query_stmt(*query),
        Statement::StartTransaction { .. } => Ok(Stmt::Begin),
        Statement::Commit { .. } => Ok(Stmt::Commit),
        Statement::Rollback { .. } => Ok(Stmt::Rollback),
        Statement::Set(_)
        | Statement::Reset(_)
        | Statement::Discard { .. }
        | Statement::Deallocate { .. } => Ok(Stmt::Set),
        Statement::ShowVariable { variable } => {
            let words: Vec<_> = variable.iter().map(|ident| ident.value.as_str()).collect();
            Ok(Stmt::Show(words.join("_").into()))
        }
        other => Err(SqlError::unsupported(other)),
    }
}

fn insert_stmt(insert: Insert) -> Result<Stmt, SqlError> {
    if insert.returning.is_some() {
        return Err(SqlError::unsupported("RETURNING"));
    }
    let TableObject::TableName(name) = &insert.table else {
        return Err(SqlError::unsupported(insert));
    };
    let table = table_id(name)?;
    let skip_existing = match &insert.on {
        None => false,
        Some(OnInsert::OnConflict(on)) if on.action == OnConflictAction::DoNothing => true,
        Some(_) => return Err(SqlError::unsupported("this ON CONFLICT")),
    };
    let column_indexes = match insert.columns.is_empty() {
        true => (0..table.columns().len()).collect(),
        false => insert
            .columns
            .iter()
            .map(|name| table.column_index(&unqualified_name(name)?))
            .collect::<Result<Vec<_>, _>>()?,
    };
    let Some(SetExpr::Values(values)) = insert.source.map(|query| *query.body) else {
        return Err(SqlError::unsupported("an INSERT without VALUES"));
    };
    let rows = values
        .rows
        .iter()
        .map(|row| insert_row(table, &column_indexes, &row.content))
        .collect::<Result<_, _>>()?;
    Ok(Stmt::Insert {
        table,
        rows,
        skip_existing,
    })
}

fn insert_row(
    table: TableId,
    column_indexes: &[usize],
    exprs: &[Expr],
) -> Result<Vec<Scalar>, SqlError> {
    if exprs.len() != column_indexes.len() {
        return Err(SqlError::new(
            sqlstate::SYNTAX,
            "INSERT has not as many values as columns",
        ));
    }
    let mut row = vec![Scalar::Value(Datum::Null); table.columns().len()];
    for (index, expr) in column_indexes.iter().zip(exprs) {
        row[*index] = scalar(expr)?;
    }
    Ok(row)
}

fn update_stmt(update: Update) -> Result<Stmt, SqlError> {
    let table = plain_table(&update.table)?;
    let [
        Assignment {
            target: AssignmentTarget::ColumnName(name),
            value,
        },
    ] = update.assignments.as_slice()
    else {
        return Err(SqlError::unsupported("an UPDATE of several columns"));
    };
    Ok(Stmt::Update {
        table,
        column: table.column_index(&unqualified_name(name)?)?,
        value: scalar(value)?,
        filter: filter(table, update.selection.as_ref())?,
    })
}

fn delete_stmt(delete: Delete) -> Result<Stmt, SqlError> {
    let (FromTable::WithFromKeyword(tables) | FromTable::WithoutKeyword(tables)) = &delete.from;
    let [table] = tables.as_slice() else {
        return Err(SqlError::unsupported(delete));
    };
    let table = plain_table(table)?;
    Ok(Stmt::Delete {
        table,
        filter: filter(table, delete.selection.as_ref())?,
    })
}

fn query_stmt(query: Query) -> Result<Stmt, SqlError> {
    if query.order_by.is_some() || query.limit_clause.is_some() || query.with.is_some() {
        return Err(SqlError::unsupported(query));
    }
    let SetExpr::Select(select) = *query.body else {
        return Err(SqlError::unsupported(query));
    };
    match select.from.as_slice() {
        [] => values_stmt(&select),
        [from] => select_stmt(&select, from),
        _ => Err(SqlError::unsupported(select)),
    }
}

fn values_stmt(select: &Select) -> Result<Stmt, SqlError> {
    if let [item] = select.projection.as_slice()
        && let Expr::Function(function) = unaliased_expr(item)?
    {
        let name = unqualified_name(&function.name)?;
        return match (name.as_str(), arguments(function)?.as_slice()) {
            ("pg_sleep", [FunctionArgExpr::Expr(expr)]) => Ok(Stmt::Sleep(scalar(expr)?)),
            _ => Err(SqlError::unsupported(function)),
        };
    }
    select
        .projection
        .iter()
        .map(|item| scalar(unaliased_expr(item)?))
        .collect::<Result<_, _>>()
        .map(Stmt::Values)
}

fn select_stmt(select: &Select, from: &TableWithJoins) -> Result<Stmt, SqlError> {
    if let TableFactor::Table {
        name,
        args: Some(args),
        ..
    } = &from.relation
    {
        return call(name, &args.args);
    }
    let table = plain_table(from)?;
    Ok(Stmt::Select {
        table,
        projection: projection(table, &select.projection)?,
        filter: filter(table, select.selection.as_ref())?,
    })
}

fn call(name: &ObjectName, args: &[FunctionArg]) -> Result<Stmt, SqlError> {
    let schema = match name.0.first() {
        Some(ObjectNamePart::Identifier(ident)) => ident.value.to_lowercase(),
        _ => String::new(),
    };
    if schema != "caraway" || name.0.len() != 2 {
        return Err(SqlError::unsupported(name));
    }
    let args = args
        .iter()
        .map(|arg| match arg {
            FunctionArg::Unnamed(FunctionArgExpr::Expr(expr)) => scalar(expr)?.value(),
            other => Err(SqlError::unsupported(other)),
        })
        .collect::<Result<Vec<_>, _>>()?;
    Call::from_name(&unqualified_name(name)?, &args).map(Stmt::Call)
}

fn projection(table: TableId, items: &[SelectItem]) -> Result<Projection, SqlError> {
    if let [SelectItem::Wildcard(_)] = items {
        return Ok(Projection::Columns((0..table.columns().len()).collect()));
    }
    if let [item] = items
        && let Expr::Function(function) = unaliased_expr(item)?
    {
        let name = unqualified_name(&function.name)?;
        return match (name.as_str(), arguments(function)?.as_slice()) {
            ("count", [FunctionArgExpr::Wildcard]) => Ok(Projection::Count),
            ("sum", [FunctionArgExpr::Expr(expr)]) => {
                column_index(table, expr).map(Projection::Sum)
            }
            _ => Err(SqlError::unsupported(function)),
        };
    }
    items
        .iter()
        .map(|item| column_index(table, unaliased_expr(item)?))
        .collect::<Result<_, _>>()
        .map(Projection::Columns)
}

fn filter(table: TableId, selection: Option<&Expr>) -> Result<Option<Filter>, SqlError> {
    match selection {
        None => Ok(None),
        Some(Expr::BinaryOp {
            left,
            op: BinaryOperator::Eq,
            right,
        }) => Ok(Some(Filter {
            column: column_index(table, left)?,
            value: scalar(right)?,
        })),
        Some(other) => Err(SqlError::unsupported(other)),
    }
}

fn scalar(expr: &Expr) -> Result<Scalar, SqlError> {
    match expr {
        Expr::Value(value) => match &value.value {
            Value::Number(digits, _) => Ok(Scalar::Value(number(digits))),
            Value::SingleQuotedString(text) | Value::EscapedStringLiteral(text) => {
                Ok(Scalar::Value(Datum::text(text.as_str())))
            }
            Value::Null => Ok(Scalar::Value(Datum::Null)),
            Value::Placeholder(name) => param(name),
            other => Err(SqlError::unsupported(other)),
        },
        Expr::UnaryOp {
            op: UnaryOperator::Minus,
            expr,
        } => match scalar(expr)? {
            Scalar::Value(Datum::Int(number)) => Ok(Scalar::Value(Datum::Int(-number))),
            _ => Err(SqlError::unsupported(expr)),
        },
        Expr::Nested(expr) | Expr::Cast { expr, .. } => scalar(expr),
        other => Err(SqlError::unsupported(other)),
    }
}

fn number(digits: &str) -> Datum {
    digits
        .parse()
        .map_or_else(|_| Datum::text(digits), Datum::Int)
}

fn param(name: &str) -> Result<Scalar, SqlError> {
    name.strip_prefix('$')
        .and_then(|digits| digits.parse::<u16>().ok())
        .and_then(|number| usize::from(number).checked_sub(1))
        .map(Scalar::Param)
        .ok_or_else(|| SqlError::unsupported(name))
}

fn plain_table(table: &TableWithJoins) -> Result<TableId, SqlError> {
    match &table.relation {
        TableFactor::Table {
            name, args: None, ..
        } if table.joins.is_empty() => table_id(name),
        _ => Err(SqlError::unsupported(table)),
    }
}

fn table_id(name: &ObjectName) -> Result<TableId, SqlError> {
    TableId::from_name(&unqualified_name(name)?)
}

fn column_index(table: TableId, expr: &Expr) -> Result<usize, SqlError> {
    match expr {
        Expr::Identifier(ident) => table.column_index(&ident.value.to_lowercase()),
        other => Err(SqlError::unsupported(other)),
    }
}

fn unqualified_name(name: &ObjectName) -> Result<String, SqlError> {
    match name.0.last() {
        Some(ObjectNamePart::Identifier(ident)) => Ok(ident.value.to_lowercase()),
        _ => Err(SqlError::unsupported(name)),
    }
}

fn unaliased_expr(item: &SelectItem) -> Result<&Expr, SqlError> {
    match item {
        SelectItem::UnnamedExpr(expr) | SelectItem::ExprWithAlias { expr, .. } => Ok(expr),
        other => Err(SqlError::unsupported(other)),
    }
}

fn arguments(function: &Function) -> Result<Vec<FunctionArgExpr>, SqlError> {
    match &function.args {
        FunctionArguments::List(list) => list
            .args
            .iter()
            .map(|arg| match arg {
                FunctionArg::Unnamed(expr) => Ok(expr.clone()),
                other => Err(SqlError::unsupported(other)),
            })
            .collect(),
        _ => Err(SqlError::unsupported(function)),
    }
}
