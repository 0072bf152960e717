//! `carawayd dev`: one host with both roles and a stand-in database group, in one process.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use decide::call::{Patch, PatchOutcome};
use eyre::{WrapErr, bail, eyre};
use host::settings::{ControlHost, LogSettings, Secret};
use host::{Daemon, HostSettings, Postgres, RunningHost, logs};
use jsonrpsee::http_client::HttpClient;
use model::config::Change;
use model::{KeyDigest, Role};
use peer::api::ApiClient;
use standin::{Group, InstanceConfig};

use crate::args::DevOptions;
use crate::run::{exit_status, stop_signal};

/// The service that the stand-in group serves.
const SERVICE: &str = "appt-core";
/// The workspace of callers.
const WORKSPACE: &str = "demo";
/// The public name of the workspace's key.
const KEY: &str = "demo-key";
/// The secret of the workspace's key, public since it protects only the stand-ins.
const SECRET: &str = "open-sesame";
/// How long the first configuration and the election of a primary may take in all.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// How often the host is asked for its state until it serves.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs the host and its stand-ins until a signal stops them.
pub(crate) fn dev(options: &DevOptions) -> ExitCode {
    exit_status(run(options))
}

fn run(options: &DevOptions) -> eyre::Result<()> {
    let cfg = LogSettings::default();
    let _log = options.log.then(|| logs::start(&cfg)).transpose()?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let folder = tempfile::tempdir().wrap_err("no folder for the control state")?;
        let running = Daemon::start::<Postgres>(settings(options, folder.path())?).await?;
        let group = start_group(running.api_addr).await?;
        let served = tokio::select! {
            served = configure(&running) => served.map(|()| true),
            stop = stop_signal() => stop.map(|()| false),
        };
        if served? {
            print_help(&running);
            stop_signal().await?;
        }
        running.stop().await;
        group.stop().await;
        Ok(())
    })
}

/// Returns settings that listen on loopback only and keep the control state in `folder`.
fn settings(options: &DevOptions, folder: &std::path::Path) -> eyre::Result<HostSettings> {
    let local = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let mut cfg = HostSettings {
        control: true,
        data_dir: Some(folder.to_owned()),
        fleet_secret: Secret("dev".to_owned()),
        ..HostSettings::default()
    };
    cfg.listen.callers = local(options.port);
    cfg.listen.api = local(options.api_port);
    cfg.listen.peers = local(0);
    cfg.listen.metrics = local(0);
    cfg.control_hosts = vec![ControlHost {
        host: cfg.host.clone(),
        peers: cfg.listen.peers,
    }];
    Ok(cfg)
}

async fn start_group(api: SocketAddr) -> eyre::Result<Group> {
    let template = InstanceConfig {
        service: SERVICE.into(),
        data_centre: "dc-1".into(),
        api: vec![api],
        ..InstanceConfig::default()
    };
    let group = standin::group(3, template, &[]).await;
    group.map_err(|error| eyre!("the stand-in group: {error}"))
}

/// Creates the service, the workspace and its key, and waits until the service has a primary.
async fn configure(running: &RunningHost) -> eyre::Result<()> {
    let client = HttpClient::builder().build(format!("http://{}", running.api_addr))?;
    let patch = first_patch();
    let deadline = tokio::time::Instant::now() + START_TIMEOUT;
    let outcome = loop {
        match client.patch(patch.clone()).await {
            Ok(outcome) => break outcome,
            Err(error) if tokio::time::Instant::now() > deadline => return Err(error.into()),
            Err(_) => tokio::time::sleep(POLL_INTERVAL).await,
        }
    };
    if !matches!(outcome, PatchOutcome::Accepted(_)) {
        bail!("the first configuration was rejected: {outcome:?}");
    }
    loop {
        let status = client.status().await?;
        let primary = |row: &decide::view::ServiceStatus| row.primary.is_some();
        if status.version > 0 && status.services.iter().any(primary) {
            return Ok(());
        }
        if tokio::time::Instant::now() > deadline {
            bail!("the stand-in group has no primary after {START_TIMEOUT:?}");
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the patch that creates the service, the workspace and its key.
fn first_patch() -> Patch {
    let changes = vec![
        Change::SetService {
            name: SERVICE.into(),
            commit: Default::default(),
        },
        Change::SetWorkspace {
            name: WORKSPACE.into(),
            rate: 500,
            burst: 100,
            services: vec![SERVICE.into()],
        },
        Change::GrantKey {
            workspace: WORKSPACE.into(),
            key: KEY.into(),
            digest: KeyDigest::of(SECRET),
        },
    ];
    Patch {
        id: "dev-first".into(),
        base: 0,
        changes,
    }
}

fn print_help(running: &RunningHost) {
    let role = Role::Primary;
    let (callers, api) = (running.caller_addr, running.api_addr);
    let sql = format!(
        "cargo run --release --bin carawayctl -- sql --addr {callers} --service {SERVICE} \\\n    \
         --workspace {WORKSPACE} --key {KEY}.{SECRET}"
    );
    println!(
        "carawaycourse serves `{SERVICE}` before a stand-in group: one {role:?}, two replicas"
    );
    println!("callers:    {callers} (PostgreSQL protocol)");
    println!("operators:  {api} (JSON-RPC)");
    println!("workspace:  {WORKSPACE}");
    println!("key:        {KEY}.{SECRET}");
    println!();
    println!("Write, and read your own write back from a replica:");
    println!();
    println!("  {sql} \\");
    println!("    \"INSERT INTO kv VALUES ('hello', 'world') ON CONFLICT DO NOTHING\" \\");
    println!("    \"SELECT v FROM kv WHERE k = 'hello'\"");
    println!();
    println!("See the fleet:");
    println!();
    println!("  cargo run --release --bin carawayctl -- --api {api} status");
    println!();
    println!("Stop with Ctrl-C.");
}
