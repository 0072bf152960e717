//! The way to the fleet, and the exit status of what comes back.

use std::process::ExitCode;

use decide::call::{Patch, PatchOutcome};
use eyre::{WrapErr, bail};
use jsonrpsee::core::ClientError;
use jsonrpsee::http_client::HttpClient;
use model::config::Change;
use model::{Config, ConfigVersion};
use peer::api::{ApiClient, REFUSED_CODE, UNCONFIRMED_CODE};

use crate::args::{Args, Output};

/// The exit status for wrong arguments or input.
const WRONG_INPUT: u8 = 2;
/// The exit status for what was rejected.
const REJECTED: u8 = 3;
/// The exit status for an unknown outcome.
const UNKNOWN: u8 = 4;

/// What every command may look at.
#[derive(Debug)]
pub(crate) struct Cx {
    url: String,
    /// How to print results.
    pub(crate) output: Output,
}

/// Something that decides the exit status.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Failure {
    /// The input is wrong.
    #[error("{0}")]
    Input(String),
    /// The call was rejected and nothing was changed.
    #[error("rejected, nothing was changed: {0}")]
    Rejected(String),
    /// The outcome is unknown.
    #[error("the outcome is unknown: {0}")]
    Unknown(String),
}

impl Cx {
    /// Returns the context of a command line.
    pub(crate) fn new(args: &Args) -> Self {
        Self {
            url: format!("http://{}", args.api),
            output: args.output,
        }
    }

    /// Returns a client of the host's API.
    pub(crate) fn client(&self) -> eyre::Result<HttpClient> {
        let client = HttpClient::builder().build(&self.url);
        client.wrap_err_with(|| self.url.clone())
    }

    /// Returns the configuration in force.
    pub(crate) async fn config(&self) -> eyre::Result<Config> {
        self.client()?.config().await.map_err(|e| self.explain(e))
    }

    /// Submits changes and returns the new version.
    pub(crate) async fn submit(
        &self,
        id: String,
        base: ConfigVersion,
        changes: Vec<Change>,
    ) -> eyre::Result<ConfigVersion> {
        let patch = Patch {
            id: id.as_str().into(),
            base,
            changes,
        };
        let outcome = self.client()?.patch(patch).await;
        match outcome.map_err(|error| self.explain(error))? {
            PatchOutcome::Accepted(version) => Ok(version),
            PatchOutcome::Stale(current) => {
                let text = format!("the base {base} is stale, the current version is {current}");
                bail!(Failure::Rejected(text));
            }
            PatchOutcome::Bad(bad) => bail!(Failure::Rejected(bad.to_string())),
            PatchOutcome::IdReused => {
                let text = format!("the patch id `{id}` was used for other changes");
                bail!(Failure::Rejected(text));
            }
        }
    }

    /// Turns an error of the API into one with an exit status.
    pub(crate) fn explain(&self, error: ClientError) -> eyre::Report {
        match &error {
            ClientError::Call(call) if call.code() == UNCONFIRMED_CODE => {
                Failure::Unknown(call.message().to_owned()).into()
            }
            ClientError::Call(call) if call.code() == REFUSED_CODE => {
                Failure::Rejected(call.message().to_owned()).into()
            }
            _ => eyre::Report::new(error).wrap_err(self.url.clone()),
        }
    }
}

/// Returns a name for a patch that nobody else has made up.
pub(crate) fn new_patch_id() -> String {
    format!("ctl-{:016x}", rand::random::<u64>())
}

/// Prints an error and returns the exit status that goes with it.
pub(crate) fn fail(error: &eyre::Report) -> ExitCode {
    eprintln!("carawayctl: {error:#}");
    match error.downcast_ref::<Failure>() {
        Some(Failure::Input(_)) => ExitCode::from(WRONG_INPUT),
        Some(Failure::Rejected(_)) => ExitCode::from(REJECTED),
        Some(Failure::Unknown(_)) => ExitCode::from(UNKNOWN),
        None => ExitCode::FAILURE,
    }
}
