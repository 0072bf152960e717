//! Serves the JSON-RPC API: passes each call to the control part and returns its reply.

use decide::call::{Call, Patch, PatchOutcome, Reply};
use decide::view::FleetStatus;
use evac::Order;
use jsonrpsee::core::async_trait;
use jsonrpsee::types::{ErrorCode, ErrorObjectOwned};
use model::{Announcement, Config, ConfigVersion, HostId};
use peer::api::{ApiServer, refused, unconfirmed};

use crate::adapter::CallSender;

/// The JSON-RPC API of one host.
#[derive(Clone, Debug)]
pub(crate) struct Rpc {
    calls: CallSender,
}

impl Rpc {
    /// Returns an API that sends its calls to a host's control part.
    pub(crate) fn new(calls: CallSender) -> Self {
        Self { calls }
    }

    /// Sends a call, and turns a refusal or a missing confirmation into a JSON-RPC error.
    async fn call(&self, call: Call) -> Result<Reply, ErrorObjectOwned> {
        match self.calls.call(call).await {
            Reply::Refused(reason) => Err(refused(reason)),
            Reply::Unconfirmed => Err(unconfirmed()),
            reply => Ok(reply),
        }
    }
}

/// Logs a reply that doesn't fit its call, and returns it as "unconfirmed".
fn unexpected_reply(reply: &Reply) -> ErrorObjectOwned {
    log::error!("event=701 unexpected-reply reply={reply:?}");
    unconfirmed()
}

#[async_trait]
impl ApiServer for Rpc {
    async fn patch(&self, patch: Patch) -> Result<PatchOutcome, ErrorObjectOwned> {
        match self.call(Call::Patch(patch)).await? {
            Reply::Patched(outcome) => Ok(outcome),
            other => Err(unexpected_reply(&other)),
        }
    }

    async fn config(&self) -> Result<Config, ErrorObjectOwned> {
        match self.call(Call::Config).await? {
            Reply::Config(config) => Ok(config),
            other => Err(unexpected_reply(&other)),
        }
    }

    async fn history(
        &self,
        after: ConfigVersion,
    ) -> Result<Vec<(ConfigVersion, Patch)>, ErrorObjectOwned> {
        match self.call(Call::History { after }).await? {
            Reply::History(patches) => Ok(patches),
            other => Err(unexpected_reply(&other)),
        }
    }

    async fn status(&self) -> Result<FleetStatus, ErrorObjectOwned> {
        match self.call(Call::Status).await? {
            Reply::Status(status) => Ok(*status),
            other => Err(unexpected_reply(&other)),
        }
    }

    async fn announce(&self, announcement: Announcement) -> Result<(), ErrorObjectOwned> {
        if let Err(error) = announcement.check() {
            let code = ErrorCode::InvalidParams.code();
            let error = ErrorObjectOwned::owned(code, error.to_string(), None::<()>);
            return Err(error);
        }
        self.call(Call::Announce(announcement)).await.map(|_| ())
    }

    async fn add_voter(&self, host: HostId) -> Result<(), ErrorObjectOwned> {
        self.call(Call::AddVoter { host }).await.map(|_| ())
    }

    async fn remove_voter(&self, host: HostId) -> Result<(), ErrorObjectOwned> {
        self.call(Call::RemoveVoter { host }).await.map(|_| ())
    }

    async fn evacuation(&self, order: Order) -> Result<(), ErrorObjectOwned> {
        if let Err(error) = order.check() {
            let code = ErrorCode::InvalidParams.code();
            let error = ErrorObjectOwned::owned(code, error.to_string(), None::<()>);
            return Err(error);
        }
        self.call(Call::Evacuation(order)).await.map(|_| ())
    }
}
