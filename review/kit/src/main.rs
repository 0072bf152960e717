//! Plays one case of the review: `review-case NAME`, in the case's folder.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With
//! `TROUBLE=0` in the environment it leaves the disruption out.

mod case_late_resume;
mod case_reused_address;
mod case_stopping_host;
mod case_unseen_replica;
mod db;
mod fleet;
mod record;
mod traffic;
mod wire;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// What a case has shown.
pub enum Outcome {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// The case could not be played.
    NotPlayed,
}

fn main() -> ExitCode {
    let name = std::env::args().nth(1).unwrap_or_default();
    let folder = PathBuf::from(std::env::args().nth(2).unwrap_or_else(|| ".".to_owned()));
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
    let root = root.canonicalize().unwrap_or(root);
    if record::open(&folder.join("record.txt")).is_err() {
        return ExitCode::from(2);
    }
    fleet::watch(Duration::from_secs(112));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record::say(&format!("case {name}, disruption: {trouble}"));
    let outcome = match name.as_str() {
        "unseen-replica" => case_unseen_replica::play(&root, trouble),
        "late-resume" => case_late_resume::play(&root, trouble),
        "reused-address" => case_reused_address::play(&root, trouble),
        "stopping-host" => case_stopping_host::play(&root, trouble),
        _ => Outcome::NotPlayed,
    };
    let (text, code) = match outcome {
        Outcome::Held => ("the rule held", 0),
        Outcome::Broken => ("the rule was BROKEN", 1),
        Outcome::NotPlayed => ("the case could not be played", 2),
    };
    record::say(text);
    ExitCode::from(code)
}
