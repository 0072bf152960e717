//! Serves the JSON-RPC API: passes each call to the control part and returns its reply.

use std::time::Duration;

use decide::call::{Call, Patch, PatchOutcome, Reply};
use decide::entry::explanation::{ExplainRequest, Explanation};
use decide::view::FleetStatus;
use evac::Order;
use jsonrpsee::core::async_trait;
use jsonrpsee::server::{ServerBuilder, ServerConfig, serve_with_graceful_shutdown, stop_channel};
use jsonrpsee::types::{ErrorCode, ErrorObjectOwned};
use model::{Announcement, Config, ConfigVersion, HostId};
use peer::api::{ApiServer, refused, unconfirmed};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::adapter::CallSender;
use crate::conn_budget::Budget;
use crate::http_listener;

/// Largest body of a call in bytes; a patch of a thousand changes is below it.
const MAX_CALL_BYTES: u32 = 4 << 20;
/// How long a connection is kept, and the call in progress then is finished.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(60);

/// Serves the API until the host stops.
pub(crate) async fn serve(
    listener: TcpListener,
    budget: Budget,
    calls: CallSender,
    stop: watch::Receiver<bool>,
) {
    let max_calls = u32::try_from(budget.cfg().max_calls).unwrap_or(u32::MAX);
    let cfg = ServerConfig::builder()
        .http_only()
        .max_request_body_size(MAX_CALL_BYTES)
        .max_connections(max_calls)
        .build();
    // The host's own signal stops the connections.
    let (stop_handle, _server) = stop_channel();
    let service = ServerBuilder::with_config(cfg)
        .to_service_builder()
        .build(Rpc::new(calls).into_rpc(), stop_handle);
    let handle = |io| {
        let (service, mut stop) = (service.clone(), stop.clone());
        async move {
            let stopped = async move {
                let _ = stop.wait_for(|stop| *stop).await;
            };
            let served = serve_with_graceful_shutdown(io, service, stopped).await;
            if let Err(error) = served {
                log::debug!("event=708 call-broken error={error}");
            }
        }
    };
    http_listener::serve(listener, budget, CONNECTION_TIMEOUT, stop.clone(), handle).await;
}

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

    async fn explain(&self, request: ExplainRequest) -> Result<Explanation, ErrorObjectOwned> {
        match self.calls.call(Call::Explain(request)).await {
            Reply::Explained(explanation) => Ok(*explanation),
            Reply::Refused(reason) => Err(refused(reason)),
            Reply::Unconfirmed => {
                let code = ErrorCode::InternalError.code();
                let text = "the traffic part has not answered in time";
                Err(ErrorObjectOwned::owned(code, text, None::<()>))
            }
            other => Err(unexpected_reply(&other)),
        }
    }
}
