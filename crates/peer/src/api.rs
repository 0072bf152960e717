//! The JSON-RPC API that every host serves to operators and the platform.

use decide::call::{Patch, PatchOutcome};
use decide::entry::explanation::{ExplainRequest, Explanation};
use decide::view::FleetStatus;
use evac::Order;
use jsonrpsee::proc_macros::rpc;
use jsonrpsee::types::ErrorObjectOwned;
use model::{Announcement, Config, ConfigVersion, HostId};

/// JSON-RPC error code of a call that was refused and changed nothing.
pub const REFUSED_CODE: i32 = -32001;
/// JSON-RPC error code of a call whose outcome is unknown.
pub const UNCONFIRMED_CODE: i32 = -32002;

/// The methods of the API.
#[rpc(server, client)]
pub trait Api {
    /// Applies a patch if its base is the version of the configuration in force.
    #[method(name = "patch")]
    async fn patch(&self, patch: Patch) -> Result<PatchOutcome, ErrorObjectOwned>;

    /// Returns the configuration in force, as confirmed by a quorum.
    #[method(name = "config")]
    async fn config(&self) -> Result<Config, ErrorObjectOwned>;

    /// Returns the accepted patches that led to versions after a given one, each with its version.
    #[method(name = "history")]
    async fn history(
        &self,
        after: ConfigVersion,
    ) -> Result<Vec<(ConfigVersion, Patch)>, ErrorObjectOwned>;

    /// Returns the fleet's state as this host knows it.
    #[method(name = "status")]
    async fn status(&self) -> Result<FleetStatus, ErrorObjectOwned>;

    /// Announces an upstream, or renews its announcement.
    #[method(name = "announce")]
    async fn announce(&self, announcement: Announcement) -> Result<(), ErrorObjectOwned>;

    /// Adds a control host to the voters, first as a learner.
    #[method(name = "add_voter")]
    async fn add_voter(&self, host: HostId) -> Result<(), ErrorObjectOwned>;

    /// Removes a host from the voters.
    #[method(name = "remove_voter")]
    async fn remove_voter(&self, host: HostId) -> Result<(), ErrorObjectOwned>;

    /// Evacuates a data centre or restores it; succeeds once a quorum has committed the order.
    #[method(name = "evacuation")]
    async fn evacuation(&self, order: Order) -> Result<(), ErrorObjectOwned>;

    /// Returns where this host would send a request now, and why, without sending it.
    #[method(name = "explain")]
    async fn explain(&self, request: ExplainRequest) -> Result<Explanation, ErrorObjectOwned>;
}

/// Returns the error for a call that was refused before it changed anything.
pub fn refused(reason: String) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(REFUSED_CODE, reason, None::<()>)
}

/// Returns the error for a call whose outcome is unknown.
pub fn unconfirmed() -> ErrorObjectOwned {
    let text = "no quorum has confirmed the call; it is safe to send it again";
    ErrorObjectOwned::owned(UNCONFIRMED_CODE, text, None::<()>)
}
