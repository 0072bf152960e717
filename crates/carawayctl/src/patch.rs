//! `carawayctl patch`: submits the changes of a patch file.

use std::path::Path;

use model::config::Change;
use serde::Deserialize;

use crate::args::PatchOptions;
use crate::client::{Cx, Failure, new_patch_id};
use crate::output::print;

/// The contents of a patch file in TOML.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct PatchFile {
    changes: Vec<Change>,
}

/// Reads the changes of a patch file.
pub(crate) fn read_changes(path: &Path) -> eyre::Result<Vec<Change>> {
    let file = path.display();
    let text = std::fs::read_to_string(path);
    let text = text.map_err(|error| Failure::Input(format!("{file}: {error}")))?;
    let patch: Result<PatchFile, _> = toml::from_str(&text);
    let patch = patch.map_err(|error| Failure::Input(format!("{file}: {error}")))?;
    Ok(patch.changes)
}

/// Submits the changes of a patch file and prints the version that they led to.
pub(crate) async fn patch(cx: &Cx, options: &PatchOptions) -> eyre::Result<()> {
    let changes = read_changes(&options.file)?;
    let id = options.id.clone().unwrap_or_else(new_patch_id);
    let version = cx.submit(id.clone(), options.base, changes).await?;
    let value = serde_json::json!({ "id": id, "version": version });
    let row = vec![id, version.to_string()];
    print(cx.output, &value, &["PATCH", "VERSION"], &[row])
}
