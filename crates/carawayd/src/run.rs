//! Runs a host from a settings file, or checks and prints one.

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use eyre::WrapErr;
use host::settings::ProtocolKind;
use host::settings_file::{self, SettingsError};
use host::{Daemon, HostSettings, Postgres, RunningHost, logs};
use platform::Platform;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::BAD_SETTINGS;

/// How often the settings file is looked at; it may change without a signal.
const SETTINGS_POLL: Duration = Duration::from_secs(2);

/// Runs a host until it is told to stop.
pub(crate) fn run(path: &Path) -> ExitCode {
    match settings_file::read(path) {
        Ok(cfg) => report(run_host(path, cfg)),
        Err(error) => bad_settings(&error),
    }
}

/// Checks a settings file.
pub(crate) fn check(path: &Path) -> ExitCode {
    match settings_file::read(path) {
        Ok(_) => {
            println!("{}: the settings can be used", path.display());
            ExitCode::SUCCESS
        }
        Err(error) => bad_settings(&error),
    }
}

/// Prints the settings in effect.
pub(crate) fn print_config(path: Option<&Path>) -> ExitCode {
    let cfg = match path.map(settings_file::read).transpose() {
        Ok(cfg) => cfg.unwrap_or_default(),
        Err(error) => return bad_settings(&error),
    };
    let shown = cfg.without_secrets();
    match toml::to_string(&shown) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => report(Err(error.into())),
    }
}

fn bad_settings(error: &SettingsError) -> ExitCode {
    eprintln!("{error}");
    ExitCode::from(BAD_SETTINGS)
}

/// Turns the outcome of a command into its exit status.
pub(crate) fn report(result: eyre::Result<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("carawayd: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run_host(path: &Path, cfg: HostSettings) -> eyre::Result<()> {
    let _log = logs::start(&cfg.log)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .wrap_err("the runtime can't be started")?;
    runtime.block_on(async {
        // Signals count from the first moment on, also while the host starts.
        let hangup = signal(SignalKind::hangup())?;
        let mut running = match cfg.protocol {
            ProtocolKind::Postgres => Daemon::start::<Postgres>(cfg).await?,
            ProtocolKind::Platform => Daemon::start::<Platform>(cfg).await?,
        };
        println!(
            "listening callers={} peers={} api={} metrics={}",
            running.caller_addr, running.peer_addr, running.api_addr, running.metrics_addr
        );
        serve(path, &mut running, hangup).await?;
        running.stop().await;
        Ok(())
    })
}

/// Follows the settings file, on SIGHUP and by itself, until the host is told to stop.
async fn serve(path: &Path, running: &mut RunningHost, mut hangup: Signal) -> eyre::Result<()> {
    let mut look = tokio::time::interval(SETTINGS_POLL);
    let mut last = std::fs::read(path).ok();
    let stop = stop_asked();
    tokio::pin!(stop);
    loop {
        let asked = tokio::select! {
            stopped = &mut stop => return stopped,
            _ = hangup.recv() => true,
            _ = look.tick() => false,
        };
        let now = std::fs::read(path).ok();
        if !asked && now == last {
            continue;
        }
        last = now;
        match settings_file::read(path) {
            Ok(cfg) => running.reload(cfg),
            Err(error) => log::error!("event=705 settings-unusable error={error:?}"),
        }
    }
}

/// Waits until the process is told to stop.
pub(crate) async fn stop_asked() -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
