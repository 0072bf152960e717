//! `carawayd run`, `check` and `print-config`: run a host from a settings file, check or print one.

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use eyre::WrapErr;
use host::settings::ProtocolKind;
use host::settings_file::{self, SettingsError};
use host::{Daemon, HostSettings, Postgres, RunningHost, logs};
use platform::Platform;
use rustix::process::Signal as SignalNumber;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::BAD_SETTINGS;

/// How often the settings file is read for changes, which take effect without a SIGHUP too.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Where the settings of a running host come from.
struct SettingsSource<'a> {
    path: &'a Path,
    /// The memory of the machine in MiB, where the file doesn't state it.
    memory_mb: Option<u64>,
}

impl SettingsSource<'_> {
    fn read(&self) -> Result<HostSettings, SettingsError> {
        let mut cfg = settings_file::read(self.path)?;
        cfg.budget.memory_mb = cfg.budget.memory_mb.or(self.memory_mb);
        Ok(cfg)
    }
}

/// Runs a host until a signal stops it; `memory_mb` is the memory of the machine in MiB, where the
/// settings don't state it.
pub(crate) fn run(path: &Path, memory_mb: Option<u64>) -> ExitCode {
    let source = SettingsSource { path, memory_mb };
    match source.read() {
        Ok(cfg) => exit_status(run_host(&source, cfg)),
        Err(error) => bad_settings(&error),
    }
}

/// Checks a settings file and says whether it is valid.
pub(crate) fn check(path: &Path) -> ExitCode {
    match settings_file::read(path) {
        Ok(_) => {
            println!("{}: the settings can be used", path.display());
            ExitCode::SUCCESS
        }
        Err(error) => bad_settings(&error),
    }
}

/// Prints the settings in effect, without secrets.
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
        Err(error) => exit_status(Err(error.into())),
    }
}

fn bad_settings(error: &SettingsError) -> ExitCode {
    eprintln!("{error}");
    ExitCode::from(BAD_SETTINGS)
}

/// Prints the error of a failed command and returns the exit status.
pub(crate) fn exit_status(result: eyre::Result<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("carawayd: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run_host(source: &SettingsSource<'_>, cfg: HostSettings) -> eyre::Result<()> {
    let _log = logs::start(&cfg.log)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .wrap_err("the runtime can't be started")?;
    runtime.block_on(async {
        // Registered before the host starts, so that a SIGHUP meanwhile doesn't end the process.
        let hangup = signal(SignalKind::hangup())?;
        // A write beyond the limit on file sizes fails then, as on a full disk, instead of ending
        // the process.
        let _file_too_large = signal(SignalKind::from_raw(SignalNumber::XFSZ.as_raw()))?;
        let mut running = match cfg.protocol {
            ProtocolKind::Postgres => Daemon::start::<Postgres>(cfg).await?,
            ProtocolKind::Platform => Daemon::start::<Platform>(cfg).await?,
        };
        println!(
            "listening callers={} peers={} api={} metrics={}",
            running.caller_addr, running.peer_addr, running.api_addr, running.metrics_addr
        );
        serve(source, &mut running, hangup).await?;
        running.stop().await;
        Ok(())
    })
}

/// Reloads the settings on SIGHUP and whenever the file changes, until a signal stops the host.
async fn serve(
    source: &SettingsSource<'_>,
    running: &mut RunningHost,
    mut hangup: Signal,
) -> eyre::Result<()> {
    let mut poll = tokio::time::interval(SETTINGS_POLL_INTERVAL);
    let mut last_contents = std::fs::read(source.path).ok();
    let stop = stop_signal();
    tokio::pin!(stop);
    loop {
        let reload_requested = tokio::select! {
            stopped = &mut stop => return stopped,
            _ = hangup.recv() => true,
            _ = poll.tick() => false,
        };
        let contents = std::fs::read(source.path).ok();
        if !reload_requested && contents == last_contents {
            continue;
        }
        last_contents = contents;
        match source.read() {
            Ok(cfg) => running.reload(cfg),
            Err(error) => log::error!("event=705 settings-unusable error={error:?}"),
        }
    }
}

/// Waits for SIGTERM or SIGINT.
pub(crate) async fn stop_signal() -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
