//! `carawayctl sql`: connects as a caller and runs SQL statements.

use eyre::WrapErr;
use tokio_postgres::{NoTls, SimpleQueryMessage, SimpleQueryRow};

use crate::args::{Output, SqlOptions};
use crate::client::{Cx, Failure};
use crate::output::print_table;

/// The user name of callers without a key, on routes open to all.
const OPEN_USER: &str = "public";

/// Runs the statements in one session and prints their results.
pub(crate) async fn sql(cx: &Cx, options: &SqlOptions) -> eyre::Result<()> {
    let mut cfg = tokio_postgres::Config::new();
    cfg.host(options.addr.ip().to_string())
        .port(options.addr.port())
        .dbname(&options.service)
        .user(options.workspace.as_deref().unwrap_or(OPEN_USER))
        .password(options.key.as_deref().unwrap_or_default())
        .options(session_options(options));
    let (client, connection) = cfg.connect(NoTls).await.map_err(statement_error)?;
    let driver = tokio::spawn(connection);
    for statement in &options.statements {
        let msgs = client
            .simple_query(statement)
            .await
            .map_err(statement_error)?;
        show(cx.output, &msgs)?;
    }
    if options.show_session {
        let msgs = client.simple_query("SHOW caraway.session").await;
        show(cx.output, &msgs.map_err(statement_error)?)?;
    }
    drop(client);
    driver.await?.wrap_err("the connection broke")
}

/// Returns the start-up options that set the session's position and the maximum age of reads.
fn session_options(options: &SqlOptions) -> String {
    let session = options.session.as_ref();
    let session = session.map(|value| format!("-c caraway.session={value}"));
    let max_age = options.max_age.as_ref();
    let max_age = max_age.map(|value| format!("-c caraway.max_age={value}"));
    let both: Vec<String> = session.into_iter().chain(max_age).collect();
    both.join(" ")
}

/// Converts a failed statement into an error whose exit status says whether it may have run.
fn statement_error(error: tokio_postgres::Error) -> eyre::Report {
    let Some(db) = error.as_db_error() else {
        return eyre::Report::new(error);
    };
    let code = db.code().code();
    let detail = db.detail().map(|detail| format!(" ({detail})"));
    let hint = db.hint().map(|hint| format!("; {hint}"));
    let (detail, hint) = (detail.unwrap_or_default(), hint.unwrap_or_default());
    let text = format!("{code}: {}{detail}{hint}", db.message());
    if db.detail() == Some("not run") {
        return Failure::Rejected(text).into();
    }
    if code == "08007" {
        return Failure::Unknown(text).into();
    }
    eyre::Report::msg(text)
}

fn show(output: Output, msgs: &[SimpleQueryMessage]) -> eyre::Result<()> {
    let rows: Vec<&SimpleQueryRow> = msgs.iter().filter_map(as_row).collect();
    let Some(first) = rows.first() else {
        for msg in msgs {
            if let SimpleQueryMessage::CommandComplete(count) = msg {
                match output {
                    Output::Json => println!("{}", serde_json::json!({ "rows": count })),
                    Output::Table => println!("done, {count} rows"),
                }
            }
        }
        return Ok(());
    };
    let names: Vec<&str> = first.columns().iter().map(|column| column.name()).collect();
    let cells = |row: &SimpleQueryRow| -> Vec<Option<String>> {
        let texts = (0..names.len()).map(|nth| row.get(nth));
        texts.map(|text| text.map(str::to_owned)).collect()
    };
    match output {
        Output::Json => {
            let object = |row: &&SimpleQueryRow| -> serde_json::Map<String, serde_json::Value> {
                let values = cells(row).into_iter().map(serde_json::Value::from);
                let names = names.iter().map(|name| (*name).to_owned());
                names.zip(values).collect()
            };
            let objects: Vec<_> = rows.iter().map(object).collect();
            println!("{}", serde_json::to_string_pretty(&objects)?);
        }
        Output::Table => {
            let text = |cell: Option<String>| cell.unwrap_or_else(|| "NULL".to_owned());
            let texts = |row: &&SimpleQueryRow| cells(row).into_iter().map(text).collect();
            let rows: Vec<Vec<String>> = rows.iter().map(texts).collect();
            print_table(&names, &rows);
        }
    }
    Ok(())
}

fn as_row(msg: &SimpleQueryMessage) -> Option<&SimpleQueryRow> {
    match msg {
        SimpleQueryMessage::Row(row) => Some(row),
        _ => None,
    }
}
