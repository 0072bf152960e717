//! Creates services, workspaces and keys, and waits until every host serves them.

use std::time::{Duration, Instant};

use decide::call::{Patch, PatchOutcome};
use decide::view::FleetStatus;
use eyre::bail;
use jsonrpsee::http_client::HttpClient;
use load::plan::WorkspaceLoad;
use model::config::Change;
use model::{KeyDigest, ServiceId};
use peer::api::ApiClient;

use crate::fleet::{Fleet, Host};

/// The API key of every workspace, as its callers send it: the key's name, a dot, the secret.
pub(crate) const WORKSPACE_KEY: &str = "lab-key.lab-secret";
/// How long the fleet may take until every host serves.
const READY_TIMEOUT: Duration = Duration::from_secs(40);
/// The pause before a call to a host that is not ready is repeated.
const POLL_PERIOD: Duration = Duration::from_millis(100);

/// Returns a client of a host's API.
fn client(host: &Host) -> eyre::Result<HttpClient> {
    Ok(HttpClient::builder().build(format!("http://{}", host.api))?)
}

/// Creates services, workspaces and keys, and waits until every host serves them all.
///
/// Returns how long that took.
pub(crate) async fn prepare(
    fleet: &Fleet,
    services: &[ServiceId],
    loads: &[WorkspaceLoad],
) -> eyre::Result<Duration> {
    let start = Instant::now();
    let patch = Patch {
        id: "lab-first".into(),
        base: 0,
        changes: changes(services, loads),
    };
    let first_control = client(&fleet.control[0])?;
    loop {
        match first_control.patch(patch.clone()).await {
            Ok(PatchOutcome::Accepted(_)) => break,
            Ok(other) => bail!("the patch was rejected: {other:?}"),
            Err(error) if start.elapsed() > READY_TIMEOUT => return Err(error.into()),
            Err(_) => tokio::time::sleep(POLL_PERIOD).await,
        }
    }
    for host in fleet.hosts() {
        let client = client(host)?;
        loop {
            let status = client.status().await;
            if status
                .as_ref()
                .is_ok_and(|status| serves_all(status, services))
            {
                break;
            }
            if start.elapsed() > READY_TIMEOUT {
                bail!("{} does not serve all services: {status:?}", host.name);
            }
            tokio::time::sleep(POLL_PERIOD).await;
        }
    }
    Ok(start.elapsed())
}

/// Returns the changes that create the services, and the workspaces with their keys.
fn changes(services: &[ServiceId], loads: &[WorkspaceLoad]) -> Vec<Change> {
    let service = |name: &ServiceId| Change::SetService {
        name: name.clone(),
        commit: Default::default(),
    };
    let workspace = |load: &WorkspaceLoad| {
        let set = Change::SetWorkspace {
            name: load.workspace.clone(),
            rate: load.rate_limit as u32,
            burst: load.burst as u32,
            services: services.to_vec(),
        };
        let (key, secret) = WORKSPACE_KEY.split_once('.').unwrap_or_default();
        let grant = Change::GrantKey {
            workspace: load.workspace.clone(),
            key: key.into(),
            digest: KeyDigest::of(secret),
        };
        [set, grant]
    };
    let workspaces = loads.iter().flat_map(workspace);
    services.iter().map(service).chain(workspaces).collect()
}

/// Returns whether a host has the configuration and knows, for each service, its primary and an
/// owner for each of its three upstreams.
fn serves_all(status: &FleetStatus, services: &[ServiceId]) -> bool {
    let ready = status.services.iter().filter(|service| {
        let owned = service.upstreams.iter().filter(|up| !up.owners.is_empty());
        service.primary.is_some() && owned.count() == 3
    });
    status.version > 0 && ready.count() == services.len()
}
