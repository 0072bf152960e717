//! The settings of a host, as its TOML file has them.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use budget::BudgetSettings;
use decide::grant::GrantSettings;
use decide::group::GroupSettings;
use decide::owner::OwnerSettings;
use decide::raft::RaftSettings;
use decide::session::SessionSettings;
use decide::settings::BalanceSettings;
use decide::spread::SpreadSettings;
use model::{DataCentreId, HostId};
use room::RoomSettings;
use serde::{Deserialize, Serialize};

/// The settings of a host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HostSettings {
    /// The host's name, unique in the fleet.
    pub host: HostId,
    /// The data centre in which the host runs.
    pub data_centre: DataCentreId,
    /// The protocol of callers and upstreams: postgres, or platform for the platform's own.
    pub protocol: ProtocolKind,
    /// Whether the host serves callers and may hold pooled connections to upstreams.
    pub entry: bool,
    /// Whether the host stores the control state and takes part in consensus on it.
    pub control: bool,
    /// The folder in which a control host stores the control state.
    pub data_dir: Option<PathBuf>,
    /// The number of threads that serve callers and upstreams, on an entry host.
    pub traffic_threads: u16,
    /// The shared secret that a host must send when it opens a link to another host.
    pub fleet_secret: Secret,
    /// The addresses that the host listens on.
    pub listen: ListenSettings,
    /// The control hosts by name and address, by which a host joins the fleet.
    pub control_hosts: Vec<ControlHost>,
    /// Control hosts that have their IP address as name and the same port for links as this host.
    pub seeds: Vec<SocketAddr>,
    /// How long a leaving host waits for its sessions and open transactions to end.
    #[serde(with = "humantime_serde")]
    pub leave_timeout: Duration,
    /// How this host orders the platform to promote an upstream.
    pub orders: OrderSettings,
    /// How hosts connect to upstreams and log in.
    pub upstream: UpstreamSettings,
    /// Limits for callers.
    pub caller: CallerSettings,
    /// The memory for buffers, and limits for clients that hold much of it.
    pub budget: BudgetSettings,
    /// What is logged, and where to.
    pub log: LogSettings,
    /// Sessions, routing and retries.
    pub session: SessionSettings,
    /// Queues and pooled connections of upstreams that this host owns.
    pub owner: OwnerSettings,
    /// Detection and replacement of primaries.
    pub group: GroupSettings,
    /// Consensus.
    pub raft: RaftSettings,
    /// Liveness of hosts, and distribution of the configuration in force.
    pub spread: SpreadSettings,
    /// Rate limits of workspaces, and their shares for hosts.
    pub grant: GrantSettings,
    /// Capacity under pressure.
    pub room: RoomSettings,
    /// Choice of instances and owners by load.
    pub balance: BalanceSettings,
}

impl HostSettings {
    /// Returns the settings for display, with every non-empty secret replaced by stars.
    pub fn without_secrets(&self) -> Self {
        let hide = |secret: &Secret| Secret("*".repeat(secret.0.len().min(1) * 3));
        let mut shown = self.clone();
        shown.fleet_secret = hide(&self.fleet_secret);
        shown.upstream.password = hide(&self.upstream.password);
        shown
    }

    /// Returns the settings that the reducer reads.
    pub fn decide_settings(&self) -> decide::Settings {
        decide::Settings {
            session: self.session.clone(),
            owner: self.owner.clone(),
            group: self.group.clone(),
            raft: self.raft.clone(),
            spread: self.spread.clone(),
            grant: self.grant.clone(),
            room: self.room.clone(),
            balance: self.balance.clone(),
        }
    }
}

impl Default for HostSettings {
    fn default() -> Self {
        Self {
            host: "host-1".into(),
            data_centre: "dc-1".into(),
            protocol: ProtocolKind::default(),
            entry: true,
            control: false,
            data_dir: None,
            traffic_threads: 1,
            fleet_secret: Secret::default(),
            listen: ListenSettings::default(),
            control_hosts: Vec::new(),
            seeds: Vec::new(),
            leave_timeout: Duration::from_secs(30),
            orders: OrderSettings::default(),
            upstream: UpstreamSettings::default(),
            caller: CallerSettings::default(),
            budget: BudgetSettings::default(),
            log: LogSettings::default(),
            session: SessionSettings::default(),
            owner: OwnerSettings::default(),
            group: GroupSettings::default(),
            raft: RaftSettings::default(),
            spread: SpreadSettings::default(),
            grant: GrantSettings::default(),
            room: RoomSettings::default(),
            balance: BalanceSettings::default(),
        }
    }
}

/// The protocol of callers and upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ProtocolKind {
    /// The PostgreSQL protocol.
    #[default]
    Postgres,
    /// The own protocol of the platform that the host runs on.
    Platform,
}

/// How a host sends the platform its orders to promote an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OrderSettings {
    /// The address at which the platform accepts orders to promote an upstream.
    pub address: Option<SocketAddr>,
    /// The name by which this host identifies itself to the platform in an order.
    pub name: String,
    /// How long the platform's answer to an order may take.
    #[serde(with = "humantime_serde")]
    pub timeout: Duration,
}

impl Default for OrderSettings {
    fn default() -> Self {
        Self {
            address: None,
            name: String::new(),
            timeout: Duration::from_millis(1500),
        }
    }
}

/// A secret, which its `Debug` output hides.
#[derive(Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Secret(pub String);

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// The addresses that a host listens on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ListenSettings {
    /// The address for callers, in the protocol that the setting protocol names.
    pub callers: SocketAddr,
    /// The address for links from other hosts, at which they can reach this host.
    pub peers: SocketAddr,
    /// The address of the JSON-RPC API, for operators and for announcements of upstreams.
    pub api: SocketAddr,
    /// The address of the HTTP server for metrics and the readiness check.
    pub metrics: SocketAddr,
    /// The address for HTTP calls of the platform, if it makes any.
    pub platform: Option<SocketAddr>,
    /// The HTTP path of the readiness check, on the address of the metrics.
    pub ready_path: String,
}

impl Default for ListenSettings {
    fn default() -> Self {
        let local = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Self {
            callers: local(6432),
            peers: local(6433),
            api: local(6434),
            metrics: local(6435),
            platform: None,
            ready_path: "/ready".to_owned(),
        }
    }
}

/// A control host that the settings name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlHost {
    /// The control host's name.
    pub host: HostId,
    /// The address at which the control host accepts links from other hosts.
    pub peers: SocketAddr,
}

/// How a host connects to upstreams and logs in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct UpstreamSettings {
    /// The user name with which hosts log in.
    pub user: String,
    /// The password with which hosts log in.
    pub password: Secret,
    /// How long connecting and logging in may take.
    #[serde(with = "humantime_serde")]
    pub connect_timeout: Duration,
    /// The largest answer of an upstream in bytes; a larger one closes its connection.
    pub max_answer_bytes: usize,
}

impl Default for UpstreamSettings {
    fn default() -> Self {
        Self {
            user: "caraway".to_owned(),
            password: Secret("caraway".to_owned()),
            connect_timeout: Duration::from_secs(2),
            max_answer_bytes: 64 << 20,
        }
    }
}

/// Limits for callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallerSettings {
    /// How long a caller may take to log in.
    #[serde(with = "humantime_serde")]
    pub login_timeout: Duration,
    /// The largest message of a caller, in bytes.
    pub max_message_bytes: usize,
    /// How many connections of callers each traffic thread accepts at a time.
    pub max_connections: usize,
    /// How many callers of each traffic thread may be logging in; one more closes the oldest login.
    pub max_logins: usize,
    /// The bytes of messages that are read ahead of a caller's running request.
    pub max_read_ahead_bytes: usize,
    /// How long a caller may take for the next `stall_bytes` of a message or of an answer.
    ///
    /// A caller from whom nothing is expected may be silent for any time.
    #[serde(with = "humantime_serde")]
    pub stall_timeout: Duration,
    /// The bytes that a caller must send or read in each `stall_timeout`, unless it gets to the end.
    pub stall_bytes: usize,
}

impl Default for CallerSettings {
    fn default() -> Self {
        Self {
            login_timeout: Duration::from_secs(10),
            max_message_bytes: 16 << 20,
            max_connections: 10_000,
            max_logins: 384,
            max_read_ahead_bytes: 1 << 20,
            stall_timeout: Duration::from_secs(10),
            stall_bytes: 4 << 10,
        }
    }
}

/// What is logged, and where to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// The least severe level that is written: error, warn, info, debug or trace.
    pub level: log::LevelFilter,
    /// Whether to write to standard output rather than to standard error.
    pub stdout: bool,
    /// The file to write to, instead of standard output or standard error.
    pub file: Option<PathBuf>,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: log::LevelFilter::Info,
            stdout: false,
            file: None,
        }
    }
}
