//! The command-line arguments.

use std::path::PathBuf;

use clap::{Parser, Subcommand};
use clap_complete::Shell;

/// A database proxy with session consistency.
#[derive(Debug, Parser)]
#[command(version, about, long_about = None)]
pub(crate) struct Args {
    /// The command.
    #[command(subcommand)]
    pub(crate) command: Command,
}

/// A command of `carawayd`.
#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Runs a host until SIGTERM or SIGINT stops it.
    Run {
        /// The host's settings file in TOML.
        #[arg(long, value_name = "FILE")]
        settings: PathBuf,
        /// The memory of the machine in MiB, where the settings have no `budget.memory_mb`.
        #[arg(long, value_name = "MIB")]
        memory_mb: Option<u64>,
    },
    /// Checks a settings file; exits with status 2 if it is invalid.
    Check {
        /// The host's settings file in TOML.
        #[arg(long, value_name = "FILE")]
        settings: PathBuf,
    },
    /// Prints the settings in effect, defaults included and secrets left out.
    PrintConfig {
        /// The host's settings file in TOML; without one, the defaults are printed.
        #[arg(long, value_name = "FILE")]
        settings: Option<PathBuf>,
    },
    /// Runs one host, with both the entry and the control role, and three stand-in database
    /// instances, for trying things out.
    Dev(DevOptions),
    /// Runs one stand-in database instance, for trials and tests.
    Standin {
        /// The instance's settings file in TOML.
        #[arg(long, value_name = "FILE")]
        settings: PathBuf,
    },
    /// Prints a completion script for a shell.
    Completions {
        /// The shell to complete for.
        shell: Shell,
    },
}

/// Options of `carawayd dev`.
#[derive(Debug, clap::Args)]
pub(crate) struct DevOptions {
    /// The TCP port for callers; 0 lets the operating system choose.
    #[arg(long, default_value_t = 6432)]
    pub(crate) port: u16,
    /// The TCP port for the JSON-RPC API; 0 lets the operating system choose.
    #[arg(long, default_value_t = 6434)]
    pub(crate) api_port: u16,
    /// Prints the host's log to standard error as well.
    #[arg(long)]
    pub(crate) log: bool,
}
