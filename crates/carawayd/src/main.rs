//! `carawayd`, the daemon that runs on each host.

mod args;
mod dev;
mod run;
mod standin_cmd;

use std::process::ExitCode;

use args::{Args, Command};
use clap::{CommandFactory, Parser};

/// The exit status if the settings file can't be read or has invalid settings.
const BAD_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    match Args::parse().command {
        Command::Run {
            settings,
            memory_mb,
        } => run::run(&settings, memory_mb),
        Command::Check { settings } => run::check(&settings),
        Command::PrintConfig { settings } => run::print_config(settings.as_deref()),
        Command::Dev(options) => dev::dev(&options),
        Command::Standin { settings } => standin_cmd::standin(&settings),
        Command::Completions { shell } => {
            let mut command = Args::command();
            clap_complete::generate(shell, &mut command, "carawayd", &mut std::io::stdout());
            ExitCode::SUCCESS
        }
    }
}
