//! Sends announcements to the hosts' API.

use std::net::SocketAddr;
use std::time::Duration;

use jsonrpsee::core::ClientError;
use jsonrpsee::core::client::ClientT;
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use jsonrpsee::rpc_params;
use model::Announcement;
use tokio::sync::mpsc::UnboundedReceiver;

use super::logs;
use crate::engine::log_event::LogEvent;

/// The timeout of one HTTP request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Sends announcements until the instance ends, skipping all but the newest.
///
/// Each announcement is offered to the addresses in turn until one accepts it; the next
/// one goes to the address after that.
pub(crate) async fn run(mut announcements: UnboundedReceiver<Announcement>, api: Vec<SocketAddr>) {
    let clients: Vec<_> = api.into_iter().filter_map(client).collect();
    let mut round_robin = clients.iter().cycle();
    while let Some(mut announcement) = announcements.recv().await {
        while let Ok(newer) = announcements.try_recv() {
            announcement = newer;
        }
        for (addr, client) in round_robin.by_ref().take(clients.len()) {
            match announce(client, &announcement).await {
                Ok(()) => break,
                Err(error) => log_failure(*addr, &error),
            }
        }
    }
}

fn client(addr: SocketAddr) -> Option<(SocketAddr, HttpClient)> {
    HttpClientBuilder::default()
        .request_timeout(REQUEST_TIMEOUT)
        .build(format!("http://{addr}"))
        .inspect_err(|error| log_failure(addr, error))
        .ok()
        .map(|client| (addr, client))
}

async fn announce(client: &HttpClient, announcement: &Announcement) -> Result<(), ClientError> {
    client
        .request::<serde_json::Value, _>("announce", rpc_params![announcement])
        .await
        .map(drop)
}

fn log_failure(addr: SocketAddr, error: &ClientError) {
    let error = error.to_string().into();
    logs::write(&LogEvent::NotAnnounced { addr, error });
}
