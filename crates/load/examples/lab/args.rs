//! The command line of the lab, which measures a whole fleet on one machine's loopback interface.

use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use clap::Parser;

use crate::sizes::Size;

/// Measures a fleet of `carawayd` processes before stand-in databases, on loopback.
#[derive(Debug, Parser)]
pub(crate) struct Args {
    /// The `carawayd` binary.
    #[arg(long, default_value = "target/release/carawayd", value_name = "FILE")]
    pub(crate) carawayd: PathBuf,
    /// The user whose deployment size the fleet gets.
    #[arg(long, value_enum)]
    pub(crate) size: Size,
    /// The number of entry hosts.
    #[arg(long, default_value_t = 13)]
    pub(crate) hosts: usize,
    /// The number of control hosts.
    #[arg(long, default_value_t = 3)]
    pub(crate) control: usize,
    /// The seed of the schedule.
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// A fault and when it is injected: primary-kill, primary-freeze, host-kill or control-kill, as FAULT@SECONDS.
    #[arg(long, value_name = "FAULT@SECONDS")]
    pub(crate) fault: Option<Fault>,
    /// Requests a second that the rates of all workspaces together allow.
    #[arg(long, default_value_t = 600.0)]
    pub(crate) limit: f64,
    /// Requests a second that all workspaces together send.
    #[arg(long, default_value_t = 300.0)]
    pub(crate) rate: f64,
    /// Seconds for which requests arrive.
    #[arg(long, default_value_t = 20)]
    pub(crate) duration: u64,
    /// The share of reads.
    #[arg(long, default_value_t = 0.8)]
    pub(crate) reads: f64,
    /// The share of reads that set a maximum age.
    #[arg(long, default_value_t = 0.2)]
    pub(crate) max_age_share: f64,
    /// The number of sessions.
    #[arg(long, default_value_t = 120)]
    pub(crate) sessions: usize,
    /// The chance that a session moves to another host before a request.
    #[arg(long, default_value_t = 0.02)]
    pub(crate) roam: f64,
    /// The share of sessions that start at the first host.
    #[arg(long)]
    pub(crate) skew: Option<f64>,
    /// A workspace that sends a multiple of its share, as NAME=FACTOR.
    #[arg(long, value_name = "NAME=FACTOR")]
    pub(crate) loud: Option<String>,
    /// Settings in TOML that are appended to every host's file, for baseline measurements.
    #[arg(long, default_value = "")]
    pub(crate) extra: String,
    /// A folder for the hosts' logs and settings, which is kept; else a temporary one.
    #[arg(long, value_name = "FOLDER")]
    pub(crate) keep: Option<PathBuf>,
    /// A file for the report in JSON.
    #[arg(long, value_name = "FILE")]
    pub(crate) report: Option<PathBuf>,
}

/// A failure that the lab can cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FaultKind {
    /// Stops the first service's primary at once.
    PrimaryKill,
    /// Makes the first service's primary stop answering, with its connections open.
    PrimaryFreeze,
    /// Kills the process of the last entry host.
    HostKill,
    /// Kills the process of the last control host.
    ControlKill,
}

/// A failure and when the lab causes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Fault {
    pub(crate) kind: FaultKind,
    /// Time from the start of the run.
    pub(crate) after: Duration,
}

impl FromStr for Fault {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (kind, seconds) = text.split_once('@').ok_or("FAULT@SECONDS is needed")?;
        let kind = match kind {
            "primary-kill" => FaultKind::PrimaryKill,
            "primary-freeze" => FaultKind::PrimaryFreeze,
            "host-kill" => FaultKind::HostKill,
            "control-kill" => FaultKind::ControlKill,
            other => return Err(format!("unknown fault `{other}`")),
        };
        let seconds = seconds
            .parse()
            .map_err(|_| "SECONDS must be a whole number")?;
        let after = Duration::from_secs(seconds);
        Ok(Self { kind, after })
    }
}
