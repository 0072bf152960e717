//! The command-line arguments.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Parser, Subcommand, ValueEnum};
use clap_complete::Shell;
use model::{ConfigVersion, PartId, Position};

use crate::load::LoadOptions;

/// Operates a fleet of carawaycourse hosts.
///
/// Exit status: 0 done; 1 failed or unreachable; 2 wrong arguments or input;
/// 3 rejected and nothing changed; 4 outcome unknown, safe to send again.
#[derive(Debug, Parser)]
#[command(version)]
pub(crate) struct Args {
    /// The address of the JSON-RPC API of any host of the fleet.
    #[arg(
        long,
        global = true,
        default_value = "127.0.0.1:6434",
        value_name = "ADDR"
    )]
    pub(crate) api: SocketAddr,
    /// The format of results.
    #[arg(long, global = true, value_enum, default_value_t = Output::Table)]
    pub(crate) output: Output,
    /// The command.
    #[command(subcommand)]
    pub(crate) command: Command,
}

/// The format of results.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub(crate) enum Output {
    /// A table or text, for people.
    Table,
    /// JSON, for programs.
    Json,
}

/// A command of `carawayctl`.
#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Submits changes to a given version of the configuration.
    Patch(PatchOptions),
    /// Shows the configuration and its history, and checks patch files.
    #[command(subcommand)]
    Config(ConfigCommand),
    /// Shows the hosts, services, upstreams and configuration version that one host knows of.
    Status,
    /// Shows where the asked host would send a request now, and why, without sending it.
    ///
    /// The request is the first of a new session. Each traffic part of the host has its own rate
    /// tokens and its own record of failures, so that the parts may answer differently.
    Explain(ExplainOptions),
    /// Orders that nothing more is sent to the instances of a data centre, until it is restored.
    ///
    /// Primaries there are replaced by instances elsewhere. Done means that a quorum has committed
    /// the order; it is in force on every host that is not cut off within 5 seconds.
    Evacuate(DataCentreOptions),
    /// Ends the evacuation of a data centre, so that its instances are used again.
    Restore(DataCentreOptions),
    /// Creates, changes and lists workspaces.
    #[command(subcommand)]
    Workspace(WorkspaceCommand),
    /// Grants, withdraws and lists the keys of workspaces.
    #[command(subcommand)]
    Key(KeyCommand),
    /// Connects as a caller, runs SQL statements and prints their results.
    Sql(SqlOptions),
    /// Sends open-loop load to stand-in services and reports latencies and broken guarantees.
    ///
    /// Reports the share of each workspace's requests that ran, the longest time without an
    /// acknowledged write, requests refused although inside their workspace's rate, and latencies.
    /// Fails with exit status 1 if a guarantee was broken: a read missed a write of its own session
    /// or saw more than it sent, an acknowledged write is missing or stored twice, a write
    /// reported as not run is stored, or more requests ran than rate and burst allow.
    Load(Box<LoadOptions>),
    /// Prints a completion script for a shell.
    Completions {
        /// The shell to complete for.
        shell: Shell,
    },
}

/// Options of `explain`.
#[derive(Debug, clap::Args)]
pub(crate) struct ExplainOptions {
    /// The service; may be left out with --route, whose rules name it.
    #[arg(long, required_unless_present = "route")]
    pub(crate) service: Option<String>,
    /// Whether the request reads or may write.
    #[arg(long, value_enum, default_value_t = RequestKind::Read)]
    pub(crate) kind: RequestKind,
    /// The workspace that the caller has a key of; leave it out for callers without a key.
    #[arg(long)]
    pub(crate) workspace: Option<String>,
    /// The route that the caller names; its rules say how recent the data of reads must be.
    #[arg(long)]
    pub(crate) route: Option<String>,
    /// The maximum age of the data that a read accepts, with its unit, such as 2s or 250ms.
    #[arg(long, value_name = "AGE", conflicts_with = "route")]
    pub(crate) max_age: Option<humantime::Duration>,
    /// The position of the session, whose writes a read must see.
    #[arg(long, value_name = "TERM/OFFSET")]
    pub(crate) session: Option<Position>,
    /// The request opens a transaction of this kind.
    #[arg(long, value_enum, value_name = "KIND")]
    pub(crate) transaction: Option<TransactionKind>,
    /// The traffic part of the host to ask, counted from 1; the first by default.
    #[arg(long, value_name = "N")]
    pub(crate) part: Option<PartId>,
}

/// Whether a request may write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub(crate) enum RequestKind {
    /// It only reads.
    Read,
    /// It may write.
    Write,
}

/// Whether a transaction may write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub(crate) enum TransactionKind {
    /// It is declared to only read.
    ReadOnly,
    /// It may write.
    ReadWrite,
}

/// Options of `evacuate` and `restore`.
#[derive(Debug, clap::Args)]
pub(crate) struct DataCentreOptions {
    /// The name of the data centre, as its instances announce it.
    pub(crate) data_centre: String,
}

/// Options of `patch`.
#[derive(Debug, clap::Args)]
pub(crate) struct PatchOptions {
    /// The configuration version that the changes are based on; if it isn't the newest, the patch is
    /// rejected.
    #[arg(long, value_name = "N")]
    pub(crate) base: ConfigVersion,
    /// The id of the patch, under which a resent patch is applied only once; random by default.
    #[arg(long, value_name = "ID")]
    pub(crate) id: Option<String>,
    /// A TOML file with a list `changes`, each with the fields of one change.
    pub(crate) file: PathBuf,
}

/// Commands of `config`.
#[derive(Debug, Subcommand)]
pub(crate) enum ConfigCommand {
    /// Shows the configuration in force, confirmed by a quorum.
    Show,
    /// Shows the accepted patches with the versions that they led to.
    History {
        /// Shows only patches after this configuration version.
        #[arg(long, default_value_t = 0, value_name = "N")]
        after: ConfigVersion,
    },
    /// Shows the lines of the configuration in force that a patch file would change, without
    /// submitting it.
    Diff {
        /// A TOML file with a list `changes`, each with the fields of one change.
        file: PathBuf,
    },
    /// Checks a patch file against the configuration in force, without submitting it.
    Check {
        /// A TOML file with a list `changes`, each with the fields of one change.
        file: PathBuf,
    },
}

/// Commands of `workspace`.
#[derive(Debug, Subcommand)]
pub(crate) enum WorkspaceCommand {
    /// Creates a workspace, or replaces its rate, burst and services.
    Create {
        /// The name of the workspace.
        name: String,
        /// The rate limit in requests per second, over all hosts together.
        #[arg(long)]
        rate: u32,
        /// The burst: how many requests may arrive at once, over all hosts together.
        #[arg(long)]
        burst: u32,
        /// A service that the workspace may use; may be given several times.
        #[arg(long = "service", required = true)]
        services: Vec<String>,
    },
    /// Lists all workspaces with their rates, bursts, services and numbers of keys.
    List,
}

/// Commands of `key`.
#[derive(Debug, Subcommand)]
pub(crate) enum KeyCommand {
    /// Grants a new key and prints it; its secret can't be shown again.
    Grant {
        /// The workspace to grant the key to.
        workspace: String,
        /// The public name of the key; random by default.
        #[arg(long)]
        name: Option<String>,
    },
    /// Withdraws a key, which ends the sessions that use it.
    Withdraw {
        /// The workspace that the key belongs to.
        workspace: String,
        /// The public name of the key.
        name: String,
    },
    /// Lists the public names of keys.
    List {
        /// Lists only the keys of this workspace.
        workspace: Option<String>,
    },
}

/// Options of `sql`.
#[derive(Debug, clap::Args)]
pub(crate) struct SqlOptions {
    /// The address at which a host listens for callers.
    #[arg(long, default_value = "127.0.0.1:6432", value_name = "ADDR")]
    pub(crate) addr: SocketAddr,
    /// The service to connect to.
    #[arg(long)]
    pub(crate) service: String,
    /// The workspace that the key belongs to; leave it out on a route open to all.
    #[arg(long)]
    pub(crate) workspace: Option<String>,
    /// The key in the form KEYID.SECRET.
    #[arg(long, env = "CARAWAY_KEY", hide_env_values = true)]
    pub(crate) key: Option<String>,
    /// The position of an earlier session, so that its writes are read.
    #[arg(long, value_name = "TERM/OFFSET")]
    pub(crate) session: Option<String>,
    /// The maximum age of the data that reads return, with its unit, such as 2s or 250ms.
    #[arg(long, value_name = "AGE")]
    pub(crate) max_age: Option<String>,
    /// Prints the session's position at the end, to be given to `--session` later.
    #[arg(long)]
    pub(crate) show_session: bool,
    /// SQL statements, which run one after the other in one session.
    #[arg(required = true)]
    pub(crate) statements: Vec<String>,
}
