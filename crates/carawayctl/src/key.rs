//! `carawayctl key`: grants, withdraws and lists keys.

use model::config::Change;
use model::{Config, KeyDigest};
use rand::Rng;
use rand::distr::Alphanumeric;

use crate::args::KeyCommand;
use crate::client::{Cx, new_patch_id};
use crate::output::print;

/// The length of a new secret in characters, each with almost 6 bits of entropy.
const SECRET_CHARS: usize = 32;

/// Runs a command of `carawayctl key`.
pub(crate) async fn key(cx: &Cx, command: &KeyCommand) -> eyre::Result<()> {
    let config = cx.config().await?;
    match command {
        KeyCommand::Grant { workspace, name } => grant(cx, &config, workspace, name).await,
        KeyCommand::Withdraw { workspace, name } => withdraw(cx, &config, workspace, name).await,
        KeyCommand::List { workspace } => list(cx, &config, workspace.as_deref()),
    }
}

async fn grant(
    cx: &Cx,
    config: &Config,
    workspace: &str,
    name: &Option<String>,
) -> eyre::Result<()> {
    let made_up = || format!("key-{:08x}", rand::random::<u32>());
    let name = name.clone().unwrap_or_else(made_up);
    let secret: String = rand::rng()
        .sample_iter(Alphanumeric)
        .take(SECRET_CHARS)
        .map(char::from)
        .collect();
    let change = Change::GrantKey {
        workspace: workspace.into(),
        key: name.as_str().into(),
        digest: KeyDigest::of(&secret),
    };
    let version = cx
        .submit(new_patch_id(), config.version, vec![change])
        .await?;
    let key = format!("{name}.{secret}");
    let value = serde_json::json!({ "workspace": workspace, "key": key, "version": version });
    let row = vec![workspace.to_owned(), key, version.to_string()];
    print(
        cx.output,
        &value,
        &["WORKSPACE", "KEY (SHOWN ONCE)", "VERSION"],
        &[row],
    )
}

async fn withdraw(cx: &Cx, config: &Config, workspace: &str, name: &str) -> eyre::Result<()> {
    let change = Change::WithdrawKey {
        workspace: workspace.into(),
        key: name.into(),
    };
    let version = cx
        .submit(new_patch_id(), config.version, vec![change])
        .await?;
    let value = serde_json::json!({ "workspace": workspace, "key": name, "version": version });
    let row = vec![workspace.to_owned(), name.to_owned(), version.to_string()];
    print(
        cx.output,
        &value,
        &["WORKSPACE", "WITHDRAWN KEY", "VERSION"],
        &[row],
    )
}

fn list(cx: &Cx, config: &Config, only: Option<&str>) -> eyre::Result<()> {
    let wanted = config.workspaces.iter();
    let wanted = wanted.filter(|(name, _)| only.is_none_or(|only| name.as_ref() == only));
    let pairs: Vec<(String, String)> = wanted
        .flat_map(|(name, workspace)| workspace.keys.keys().map(move |key| (name, key)))
        .map(|(name, key)| (name.to_string(), key.to_string()))
        .collect();
    let rows: Vec<Vec<String>> = pairs
        .iter()
        .map(|(name, key)| vec![name.clone(), key.clone()])
        .collect();
    print(cx.output, &pairs, &["WORKSPACE", "KEY"], &rows)
}
