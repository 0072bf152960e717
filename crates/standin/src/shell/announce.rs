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

/// How long one address may take to answer.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Sends the newest announcement to the addresses in turn, until the instance ends.
pub(crate) async fn run(mut announcements: UnboundedReceiver<Announcement>, api: Vec<SocketAddr>) {
    let clients: Vec<_> = api.into_iter().filter_map(client).collect();
    let mut turns = clients.iter().cycle();
    while let Some(mut announcement) = announcements.recv().await {
        while let Ok(newer) = announcements.try_recv() {
            announcement = newer;
        }
        for (addr, client) in turns.by_ref().take(clients.len()) {
            match announce(client, &announcement).await {
                Ok(()) => break,
                Err(error) => note(*addr, &error),
            }
        }
    }
}

fn client(addr: SocketAddr) -> Option<(SocketAddr, HttpClient)> {
    HttpClientBuilder::default()
        .request_timeout(TIMEOUT)
        .build(format!("http://{addr}"))
        .inspect_err(|error| note(addr, error))
        .ok()
        .map(|client| (addr, client))
}

async fn announce(client: &HttpClient, announcement: &Announcement) -> Result<(), ClientError> {
    client
        .request::<serde_json::Value, _>("announce", rpc_params![announcement])
        .await
        .map(drop)
}

fn note(addr: SocketAddr, error: &ClientError) {
    let error = error.to_string().into();
    logs::write(&LogEvent::NotAnnounced { addr, error });
}
