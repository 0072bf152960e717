//! `carawayctl workspace`: creates, changes and lists workspaces.
//!
//! `create` with the name of an existing workspace changes it, and keeps its keys.

use model::config::Change;

use crate::args::WorkspaceCommand;
use crate::client::{Cx, new_patch_id};
use crate::output::print;

/// Runs a command of `carawayctl workspace`.
pub(crate) async fn workspace(cx: &Cx, command: &WorkspaceCommand) -> eyre::Result<()> {
    let config = cx.config().await?;
    let WorkspaceCommand::Create {
        name,
        rate,
        burst,
        services,
    } = command
    else {
        return list(cx, &config);
    };
    let change = Change::SetWorkspace {
        name: name.as_str().into(),
        rate: *rate,
        burst: *burst,
        services: services.iter().map(|name| name.as_str().into()).collect(),
    };
    let version = cx
        .submit(new_patch_id(), config.version, vec![change])
        .await?;
    let value = serde_json::json!({ "workspace": name, "version": version });
    let row = vec![name.clone(), version.to_string()];
    print(cx.output, &value, &["WORKSPACE", "VERSION"], &[row])
}

fn list(cx: &Cx, config: &model::Config) -> eyre::Result<()> {
    let row = |(name, workspace): (&model::WorkspaceId, &model::config::Workspace)| {
        vec![
            name.to_string(),
            workspace.rate.to_string(),
            workspace.burst.to_string(),
            workspace.services.join(", "),
            workspace.keys.len().to_string(),
        ]
    };
    let rows: Vec<Vec<String>> = config.workspaces.iter().map(row).collect();
    let headings = ["WORKSPACE", "RATE/S", "BURST", "SERVICES", "KEYS"];
    print(cx.output, &config.workspaces, &headings, &rows)
}
