//! Calls to the API of a host, and the exit status of their errors.

use std::process::ExitCode;

use decide::call::{Patch, PatchOutcome};
use eyre::{WrapErr, bail};
use jsonrpsee::core::ClientError;
use jsonrpsee::http_client::HttpClient;
use model::config::Change;
use model::{Config, ConfigVersion};
use peer::api::{ApiClient, REFUSED_CODE, UNCONFIRMED_CODE};

use crate::args::{Args, Output};

/// The exit status if an argument or an input file is wrong.
const WRONG_INPUT: u8 = 2;
/// The exit status if the fleet rejected the call and changed nothing.
const REJECTED: u8 = 3;
/// The exit status if it is unknown whether the call took effect.
const UNKNOWN: u8 = 4;

/// The options that all commands share.
#[derive(Debug)]
pub(crate) struct Cx {
    /// The URL of the host's API.
    url: String,
    /// The format of results.
    pub(crate) output: Output,
}

/// An error with an exit status of its own.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Failure {
    /// An argument or an input file is wrong.
    #[error("{0}")]
    Input(String),
    /// The call was rejected and nothing was changed.
    #[error("rejected, nothing was changed: {0}")]
    Rejected(String),
    /// It is unknown whether the call took effect.
    #[error("the outcome is unknown: {0}")]
    Unknown(String),
}

impl Cx {
    /// Returns the shared options of a command line.
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
        self.client()?
            .config()
            .await
            .map_err(|e| self.call_error(e))
    }

    /// Submits a patch to version `base` and returns the version that it led to.
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
        match outcome.map_err(|error| self.call_error(error))? {
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

    /// Converts an error of an API call into one with its exit status.
    pub(crate) fn call_error(&self, error: ClientError) -> eyre::Report {
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

/// Returns a random patch id.
pub(crate) fn new_patch_id() -> String {
    format!("ctl-{:016x}", rand::random::<u64>())
}

/// Prints an error and returns its exit status.
pub(crate) fn report_error(error: &eyre::Report) -> ExitCode {
    eprintln!("carawayctl: {error:#}");
    match error.downcast_ref::<Failure>() {
        Some(Failure::Input(_)) => ExitCode::from(WRONG_INPUT),
        Some(Failure::Rejected(_)) => ExitCode::from(REJECTED),
        Some(Failure::Unknown(_)) => ExitCode::from(UNKNOWN),
        None => ExitCode::FAILURE,
    }
}
