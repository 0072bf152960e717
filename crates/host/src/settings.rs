//! The settings of a host, from a TOML file.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use decide::grant::GrantSettings;
use decide::group::GroupSettings;
use decide::owner::OwnerSettings;
use decide::raft::RaftSettings;
use decide::session::SessionSettings;
use decide::spread::SpreadSettings;
use model::{DataCentreId, HostId};
use serde::{Deserialize, Serialize};

/// The settings of a host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HostSettings {
    /// The host's name, unique in the fleet.
    pub host: HostId,
    /// The data centre that the host stands in.
    pub data_centre: DataCentreId,
    /// What callers and upstreams speak: postgres, or the platform's own protocol.
    pub protocol: ProtocolKind,
    /// Whether the host serves callers and owns upstreams.
    pub entry: bool,
    /// Whether the host is a voter of the control state.
    pub control: bool,
    /// The folder for the control state, on a control host.
    pub data_dir: Option<PathBuf>,
    /// The number of threads for traffic.
    pub traffic_threads: u16,
    /// The secret that all hosts of the fleet share.
    pub fleet_secret: Secret,
    /// The addresses that the host listens on.
    pub listen: ListenSettings,
    /// The control hosts, by which a host finds the fleet.
    pub control_hosts: Vec<ControlHost>,
    /// Addresses of control hosts that are named by their IP number and use this host's port for links.
    pub seeds: Vec<SocketAddr>,
    /// How long a leaving host waits for its callers and transactions.
    #[serde(with = "humantime_serde")]
    pub leave_timeout: Duration,
    /// Orders to the platform.
    pub orders: OrderSettings,
    /// The system's own login at upstreams.
    pub upstream: UpstreamSettings,
    /// Bounds on what a caller may cost.
    pub caller: CallerSettings,
    /// The log.
    pub log: LogSettings,
    /// Sessions, routing and retries.
    pub session: SessionSettings,
    /// Owners, queues and connections.
    pub owner: OwnerSettings,
    /// Detection and replacement of primaries.
    pub group: GroupSettings,
    /// Consensus.
    pub raft: RaftSettings,
    /// Liveness and configuration in force.
    pub spread: SpreadSettings,
    /// Shares of rates.
    pub grant: GrantSettings,
}

impl HostSettings {
    /// Returns the settings with every secret replaced by stars, to be shown.
    pub fn without_secrets(&self) -> Self {
        let hide = |secret: &Secret| Secret("*".repeat(secret.0.len().min(1) * 3));
        let mut shown = self.clone();
        shown.fleet_secret = hide(&self.fleet_secret);
        shown.upstream.password = hide(&self.upstream.password);
        shown
    }

    /// Returns the settings that the decisions look at.
    pub fn decide_settings(&self) -> decide::Settings {
        decide::Settings {
            session: self.session.clone(),
            owner: self.owner.clone(),
            group: self.group.clone(),
            raft: self.raft.clone(),
            spread: self.spread.clone(),
            grant: self.grant.clone(),
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
            log: LogSettings::default(),
            session: SessionSettings::default(),
            owner: OwnerSettings::default(),
            group: GroupSettings::default(),
            raft: RaftSettings::default(),
            spread: SpreadSettings::default(),
            grant: GrantSettings::default(),
        }
    }
}

/// What callers and upstreams speak.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ProtocolKind {
    /// The PostgreSQL protocol.
    #[default]
    Postgres,
    /// The protocol of the platform that the host runs on.
    Platform,
}

/// Orders to the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OrderSettings {
    /// Where the platform takes orders.
    pub address: Option<SocketAddr>,
    /// The name under which this host gives them.
    pub name: String,
    /// How long an answer may take.
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

/// A secret, which no log line and no `Debug` shows.
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
    /// For callers, in the PostgreSQL protocol.
    pub callers: SocketAddr,
    /// For other hosts.
    pub peers: SocketAddr,
    /// For operators and the platform, in JSON-RPC.
    pub api: SocketAddr,
    /// For metrics and readiness, in HTTP.
    pub metrics: SocketAddr,
    /// For calls of the platform, if it makes any.
    pub platform: Option<SocketAddr>,
    /// The path under which readiness is asked for.
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

/// A control host, as every host knows it from its settings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlHost {
    /// Its name.
    pub host: HostId,
    /// Where it takes links from other hosts.
    pub peers: SocketAddr,
}

/// The system's own login at upstreams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct UpstreamSettings {
    /// The user name.
    pub user: String,
    /// The password.
    pub password: Secret,
    /// How long a new connection may take.
    #[serde(with = "humantime_serde")]
    pub connect_timeout: Duration,
    /// The largest answer in bytes.
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

/// Bounds on what a caller may cost.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallerSettings {
    /// How long a caller may take to log in.
    #[serde(with = "humantime_serde")]
    pub login_timeout: Duration,
    /// The largest message in bytes.
    pub max_message_bytes: usize,
    /// The number of connections that the host takes at a time.
    pub max_connections: usize,
}

impl Default for CallerSettings {
    fn default() -> Self {
        Self {
            login_timeout: Duration::from_secs(10),
            max_message_bytes: 16 << 20,
            max_connections: 10_000,
        }
    }
}

/// The log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// The quietest level that is written: error, warn, info, debug or trace.
    pub level: log::LevelFilter,
    /// Whether to write to standard output rather than to standard error.
    pub stdout: bool,
    /// The file to write to, or none for the standard ones.
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
