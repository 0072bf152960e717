//! Classifies SQL as reads or writes; a statement that can't be proved to be a read is a write.

use std::ops::ControlFlow;

use model::Kind;
use sqlparser::ast::{
    Expr, ObjectName, Query, Select, Set, SetExpr, Statement, TableFactor, Visit, Visitor,
};
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;

/// The schema of the functions that hosts call on upstreams; callers must not use it.
const RESERVED_SCHEMA: &str = "caraway";

/// Functions known to have no side effects; a call of any other makes a statement a write.
const READ_ONLY_FUNCTIONS: &[&str] = &[
    "abs",
    "array_agg",
    "avg",
    "bool_and",
    "bool_or",
    "ceil",
    "char_length",
    "coalesce",
    "concat",
    "count",
    "current_date",
    "current_timestamp",
    "date_part",
    "date_trunc",
    "dense_rank",
    "extract",
    "floor",
    "generate_series",
    "greatest",
    "json_agg",
    "json_build_object",
    "jsonb_agg",
    "jsonb_build_object",
    "lag",
    "lead",
    "least",
    "left",
    "length",
    "lower",
    "ltrim",
    "max",
    "min",
    "mod",
    "now",
    "nullif",
    "pg_sleep",
    "rank",
    "replace",
    "right",
    "round",
    "row_number",
    "rtrim",
    "split_part",
    "string_agg",
    "substr",
    "substring",
    "sum",
    "to_char",
    "trim",
    "upper",
    "version",
];

/// Session settings that `SET` accepts without effect, since no caller's settings reach an upstream.
const IGNORED_SETTINGS: &[&str] = &[
    "application_name",
    "client_encoding",
    "client_min_messages",
    "datestyle",
    "extra_float_digits",
    "standard_conforming_strings",
];

/// What routing needs to know of a batch of statements.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatementClass {
    /// A read if every statement is proved to read, else a write.
    pub kind: Kind,
    /// Whether a statement opens, ends or otherwise controls a transaction.
    pub transaction_control: bool,
    /// The statement, if it is answered without an upstream.
    pub local: Option<LocalStatement>,
}

/// A statement that is answered without an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LocalStatement {
    /// `SET` of a session setting.
    Set {
        /// The setting, in lower case.
        name: String,
        /// The value as written, without quotes.
        value: String,
    },
    /// `SHOW` of a session setting.
    Show {
        /// The setting, in lower case.
        name: String,
    },
    /// `RESET` or `DISCARD`, which has no effect: no state is kept on connections between statements.
    NoOp {
        /// The tag of the `CommandComplete` answer.
        tag: &'static str,
    },
}

/// Why a statement can't run on a pooled connection.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unsupported {
    /// The statement would leave session state on a connection that callers share.
    #[error("{0} would leave state on a connection that callers share")]
    SessionState(&'static str),
    /// The same message ends a transaction and opens the next one.
    #[error("a transaction must be ended in a message of its own before the next one")]
    ChainedTransaction,
    /// The statement needs a COPY stream.
    #[error("COPY from or to the caller is not supported")]
    CopyStream,
    /// The statement uses the schema of the functions that hosts call on upstreams.
    #[error("the schema `caraway` is the system's own")]
    ReservedSchema,
    /// The setting does not exist, or the value isn't valid for it.
    #[error("{0}")]
    BadSetting(String),
}

/// Classifies the text of one or more statements.
///
/// # Errors
///
/// Fails if a statement can't run on a pooled connection.
pub fn classify(sql: &str) -> Result<StatementClass, Unsupported> {
    let write = StatementClass {
        kind: Kind::Write,
        transaction_control: false,
        local: None,
    };
    let Ok(statements) = Parser::parse_sql(&PostgreSqlDialect {}, sql) else {
        let text = sql.to_ascii_lowercase();
        if text.contains(RESERVED_SCHEMA) {
            return Err(Unsupported::ReservedSchema);
        }
        return Ok(write);
    };
    if let [statement] = statements.as_slice()
        && let Some(local) = local_statement(statement)?
    {
        let kind = Kind::Read;
        return Ok(StatementClass {
            kind,
            transaction_control: false,
            local: Some(local),
        });
    }
    let mut class = StatementClass {
        kind: Kind::Read,
        transaction_control: false,
        local: None,
    };
    let mut ended = false;
    for statement in &statements {
        let (kind, transaction) = classify_statement(statement)?;
        if ended && matches!(statement, Statement::StartTransaction { .. }) {
            return Err(Unsupported::ChainedTransaction);
        }
        ended |= matches!(
            statement,
            Statement::Commit { .. } | Statement::Rollback { .. }
        );
        if kind == Kind::Write {
            class.kind = kind;
        }
        class.transaction_control |= transaction;
    }
    Ok(class)
}

fn classify_statement(statement: &Statement) -> Result<(Kind, bool), Unsupported> {
    let mut scan = WriteScan::default();
    let _ = statement.visit(&mut scan);
    if scan.uses_reserved_schema {
        return Err(Unsupported::ReservedSchema);
    }
    let read = !scan.may_write;
    match statement {
        // A commit is acknowledged once it is confirmed. AND CHAIN opens the next transaction in
        // the same message, which would hide from the answer that one has ended.
        Statement::Commit { chain: true, .. } | Statement::Rollback { chain: true, .. } => {
            Err(Unsupported::ChainedTransaction)
        }
        Statement::Query(_) if read => Ok((Kind::Read, false)),
        Statement::Explain { analyze: false, .. } if read => Ok((Kind::Read, false)),
        Statement::StartTransaction { .. }
        | Statement::Commit { .. }
        | Statement::Rollback { .. }
        | Statement::Savepoint { .. }
        | Statement::ReleaseSavepoint { .. } => Ok((Kind::Write, true)),
        Statement::Copy { .. } => Err(Unsupported::CopyStream),
        Statement::LISTEN { .. } | Statement::UNLISTEN { .. } => {
            Err(Unsupported::SessionState("LISTEN"))
        }
        Statement::Prepare { .. } | Statement::Execute { .. } | Statement::Deallocate { .. } => {
            Err(Unsupported::SessionState("PREPARE as a statement"))
        }
        Statement::Declare { .. } | Statement::Fetch { .. } | Statement::Close { .. } => {
            Err(Unsupported::SessionState("a cursor"))
        }
        Statement::CreateTable(table) if table.temporary => {
            Err(Unsupported::SessionState("a temporary table"))
        }
        Statement::Set(Set::SingleAssignment {
            scope: Some(scope), ..
        }) if scope.to_string().trim() == "LOCAL" => Ok((Kind::Write, true)),
        Statement::Set(_) => Err(Unsupported::SessionState("SET")),
        _ => Ok((Kind::Write, false)),
    }
}

/// Returns the statement if it is answered without an upstream.
fn local_statement(statement: &Statement) -> Result<Option<LocalStatement>, Unsupported> {
    match statement {
        Statement::Set(Set::SingleAssignment {
            scope,
            variable,
            values,
            ..
        }) => {
            let is_local = scope
                .as_ref()
                .is_some_and(|s| s.to_string().trim() == "LOCAL");
            if is_local {
                return Ok(None);
            }
            let name = variable.to_string().to_ascii_lowercase();
            let value = values.iter().map(ToString::to_string).collect::<Vec<_>>();
            let value = value.join(", ").trim_matches('\'').to_owned();
            let own = name.starts_with("caraway.");
            if own || IGNORED_SETTINGS.contains(&name.as_str()) {
                return Ok(Some(LocalStatement::Set { name, value }));
            }
            Err(Unsupported::SessionState("SET"))
        }
        Statement::ShowVariable { variable } => {
            let name = variable
                .iter()
                .map(|ident| ident.value.to_ascii_lowercase());
            let name = name.collect::<Vec<_>>().join(".");
            let own = name.starts_with("caraway.");
            Ok(own.then_some(LocalStatement::Show { name }))
        }
        Statement::Discard { .. } => Ok(Some(LocalStatement::NoOp { tag: "DISCARD ALL" })),
        Statement::Reset(_) => Ok(Some(LocalStatement::NoOp { tag: "RESET" })),
        _ => Ok(None),
    }
}

/// Visits a statement to find what could write and any use of the reserved schema.
#[derive(Default)]
struct WriteScan {
    may_write: bool,
    uses_reserved_schema: bool,
}

impl WriteScan {
    fn check_name(&mut self, check_name: &ObjectName) {
        let first = check_name.0.first().map(|part| part.to_string());
        let first = first.unwrap_or_default();
        let first = first.trim_matches('"').to_ascii_lowercase();
        self.uses_reserved_schema |= first == RESERVED_SCHEMA && check_name.0.len() > 1;
    }

    fn check_function(&mut self, name: &ObjectName) {
        self.check_name(name);
        let text = name.to_string().to_ascii_lowercase();
        self.may_write |= !READ_ONLY_FUNCTIONS.contains(&text.as_str());
    }
}

impl Visitor for WriteScan {
    type Break = ();

    fn pre_visit_query(&mut self, query: &Query) -> ControlFlow<()> {
        self.may_write |= !query.locks.is_empty() || !query.pipe_operators.is_empty();
        self.may_write |= matches!(
            *query.body,
            SetExpr::Insert(_) | SetExpr::Update(_) | SetExpr::Delete(_) | SetExpr::Merge(_)
        );
        ControlFlow::Continue(())
    }

    fn pre_visit_select(&mut self, select: &Select) -> ControlFlow<()> {
        self.may_write |= select.into.is_some();
        ControlFlow::Continue(())
    }

    fn pre_visit_relation(&mut self, relation: &ObjectName) -> ControlFlow<()> {
        self.check_name(relation);
        ControlFlow::Continue(())
    }

    fn pre_visit_table_factor(&mut self, factor: &TableFactor) -> ControlFlow<()> {
        match factor {
            TableFactor::Table {
                name,
                args: Some(_),
                ..
            }
            | TableFactor::Function { name, .. } => {
                self.check_function(name);
            }
            _ => {}
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_expr(&mut self, expr: &Expr) -> ControlFlow<()> {
        if let Expr::Function(function) = expr {
            self.check_function(&function.name);
        }
        ControlFlow::Continue(())
    }
}
