//! `carawayd standin`: runs one stand-in database instance.

use std::path::Path;
use std::process::ExitCode;

use eyre::{WrapErr, eyre};
use standin::{Instance, InstanceConfig};

use crate::run::{exit_status, stop_signal};

/// Runs an instance until a signal stops it.
pub(crate) fn standin(path: &Path) -> ExitCode {
    exit_status(run(path))
}

fn run(path: &Path) -> eyre::Result<()> {
    let file = path.display();
    let text = std::fs::read_to_string(path).wrap_err_with(|| file.to_string())?;
    let cfg: InstanceConfig = toml::from_str(&text).wrap_err_with(|| file.to_string())?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let running = Instance::start(cfg).await;
        let running = running.map_err(|error| eyre!("the stand-in: {error}"))?;
        println!("listening upstream={}", running.addr());
        stop_signal().await?;
        running.stop().await;
        Ok(())
    })
}
