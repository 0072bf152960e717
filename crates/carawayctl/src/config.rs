//! `carawayctl config`: shows the configuration and checks patch files against it.

use model::Config;
use peer::api::ApiClient;

use crate::args::{ConfigCommand, Output};
use crate::client::{Cx, Failure};
use crate::output::print;
use crate::patch::read_changes;

/// Runs a command of `carawayctl config`.
pub(crate) async fn config(cx: &Cx, command: &ConfigCommand) -> eyre::Result<()> {
    match command {
        ConfigCommand::Show => show(cx).await,
        ConfigCommand::History { after } => history(cx, *after).await,
        ConfigCommand::Diff { file } => {
            let old = cx.config().await?;
            let new = apply_file(&old, file)?;
            diff(cx, &old, &new)
        }
        ConfigCommand::Check { file } => {
            let old = cx.config().await?;
            apply_file(&old, file)?;
            let value = serde_json::json!({ "base": old.version });
            let row = vec![old.version.to_string()];
            print(cx.output, &value, &["CAN BE APPLIED TO VERSION"], &[row])
        }
    }
}

async fn show(cx: &Cx) -> eyre::Result<()> {
    let config = cx.config().await?;
    match cx.output {
        Output::Json => println!("{}", serde_json::to_string_pretty(&config)?),
        Output::Table => print!("{}", toml::to_string_pretty(&config)?),
    }
    Ok(())
}

async fn history(cx: &Cx, after: u64) -> eyre::Result<()> {
    let patches = cx.client()?.history(after).await;
    let patches = patches.map_err(|error| cx.call_error(error))?;
    let row = |(version, patch): &(u64, decide::call::Patch)| {
        let changes = serde_json::to_string(&patch.changes).unwrap_or_default();
        vec![version.to_string(), patch.id.to_string(), changes]
    };
    let rows: Vec<Vec<String>> = patches.iter().map(row).collect();
    print(cx.output, &patches, &["VERSION", "PATCH", "CHANGES"], &rows)
}

/// Returns the configuration that a patch file would lead to.
fn apply_file(old: &Config, file: &std::path::Path) -> eyre::Result<Config> {
    let changes = read_changes(file)?;
    let new = old.apply(&changes);
    Ok(new.map_err(|bad| Failure::Rejected(bad.to_string()))?)
}

/// Prints the TOML lines that only one of two configurations has.
fn diff(cx: &Cx, old: &Config, new: &Config) -> eyre::Result<()> {
    let (old, new) = (toml::to_string_pretty(old)?, toml::to_string_pretty(new)?);
    let lines_missing_in = |text: &str, other: &str| -> Vec<String> {
        let known: std::collections::BTreeSet<&str> = other.lines().collect();
        let lines = text.lines().filter(|line| !known.contains(line));
        lines.map(str::to_owned).collect()
    };
    let (removed, added) = (lines_missing_in(&old, &new), lines_missing_in(&new, &old));
    let value = serde_json::json!({ "removed": removed, "added": added });
    let removed = removed.into_iter().map(|line| vec!["-".to_owned(), line]);
    let added = added.into_iter().map(|line| vec!["+".to_owned(), line]);
    let rows: Vec<Vec<String>> = removed.chain(added).collect();
    print(cx.output, &value, &["", "LINE"], &rows)
}
