//! The JSON-RPC API of every host, for operators and for the platform.

use decide::call::{Patch, PatchOutcome};
use decide::view::FleetStatus;
use jsonrpsee::proc_macros::rpc;
use jsonrpsee::types::ErrorObjectOwned;
use model::{Announcement, Config, ConfigVersion, HostId};

/// The code of an error that says that nothing was changed.
pub const REFUSED_CODE: i32 = -32001;
/// The code of an error that says that the outcome is unknown.
pub const UNCONFIRMED_CODE: i32 = -32002;

/// Calls of operators and of the platform.
#[rpc(server, client)]
pub trait Api {
    /// Applies changes on top of a numbered configuration.
    #[method(name = "patch")]
    async fn patch(&self, patch: Patch) -> Result<PatchOutcome, ErrorObjectOwned>;

    /// Returns the configuration in force, confirmed by a quorum.
    #[method(name = "config")]
    async fn config(&self) -> Result<Config, ErrorObjectOwned>;

    /// Returns the accepted patches after a version.
    #[method(name = "history")]
    async fn history(
        &self,
        after: ConfigVersion,
    ) -> Result<Vec<(ConfigVersion, Patch)>, ErrorObjectOwned>;

    /// Returns what this host knows of the fleet.
    #[method(name = "status")]
    async fn status(&self) -> Result<FleetStatus, ErrorObjectOwned>;

    /// Announces or renews an upstream.
    #[method(name = "announce")]
    async fn announce(&self, announcement: Announcement) -> Result<(), ErrorObjectOwned>;

    /// Adds a voter, first as a learner.
    #[method(name = "add_voter")]
    async fn add_voter(&self, host: HostId) -> Result<(), ErrorObjectOwned>;

    /// Removes a voter.
    #[method(name = "remove_voter")]
    async fn remove_voter(&self, host: HostId) -> Result<(), ErrorObjectOwned>;
}

/// Returns the error of a call that was refused before it changed anything.
pub fn refused(reason: String) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(REFUSED_CODE, reason, None::<()>)
}

/// Returns the error of a call whose outcome is unknown.
pub fn unconfirmed() -> ErrorObjectOwned {
    let text = "no quorum has confirmed the call; it is safe to send it again";
    ErrorObjectOwned::owned(UNCONFIRMED_CODE, text, None::<()>)
}
