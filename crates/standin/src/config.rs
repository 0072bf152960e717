//! Settings of one stand-in instance, and the state that outlives a restart.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use model::{DataCentreId, HashMap, Role, ServiceId, Term, UpstreamId};
use serde::{Deserialize, Serialize};

use crate::engine::claims::Claims;
use crate::engine::log::Entry;

/// Settings of one instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct InstanceConfig {
    /// The instance's name, unique in the fleet.
    pub upstream: UpstreamId,
    /// The service that the instance is a replica or the primary of.
    pub service: ServiceId,
    /// The data centre that the instance is announced in.
    pub data_centre: DataCentreId,
    /// The address to listen on; port 0 lets the system choose a port.
    pub listen: SocketAddr,
    /// How many instances the service has in all, this one included.
    pub group_size: u8,
    /// How many statements run at the same time; others wait in a queue.
    pub slots: u32,
    /// The most open connections, not counting those of replicas.
    pub connections: u32,
    /// How long the answer to an accepted login is delayed.
    #[serde(with = "humantime_serde")]
    pub connect_time: Duration,
    /// How long a statement holds its slot before it runs and is answered.
    #[serde(with = "humantime_serde")]
    pub statement_time: Duration,
    /// How long after the primary wrote an entry a replica applies it.
    #[serde(with = "humantime_serde")]
    pub lag: Duration,
    /// The user and password that every login must match.
    pub credentials: Credentials,
    /// The role at the first start; ignored if `restart` is set.
    pub role: Role,
    /// The promised term at the first start; ignored if `restart` is set.
    pub term: Term,
    /// The primary that a replica follows from its first start.
    pub primary: Option<Primary>,
    /// API addresses of hosts, tried in turn until one accepts the announcement.
    pub api: Vec<SocketAddr>,
    /// The time between two announcements.
    #[serde(with = "humantime_serde")]
    pub announce_every: Duration,
    /// The state that an earlier run of the instance left; `None` at the first start.
    #[serde(skip)]
    pub restart: Option<RestartState>,
}

impl Default for InstanceConfig {
    fn default() -> Self {
        Self {
            upstream: "u1".into(),
            service: "main".into(),
            data_centre: "dc1".into(),
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            group_size: 3,
            slots: 3,
            connections: 50,
            connect_time: Duration::from_millis(10),
            statement_time: Duration::from_millis(1),
            lag: Duration::from_millis(1),
            credentials: Credentials::default(),
            role: Role::Primary,
            term: 1,
            primary: None,
            api: Vec::new(),
            announce_every: Duration::from_secs(1),
            restart: None,
        }
    }
}

/// The user and password that an instance expects, of hosts as of replicas.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Credentials {
    /// The name of the database user.
    pub user: Arc<str>,
    /// The password, which clients send in clear text.
    pub password: Arc<str>,
}

impl Default for Credentials {
    fn default() -> Self {
        Self {
            user: "caraway".into(),
            password: "caraway".into(),
        }
    }
}

impl std::fmt::Debug for Credentials {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Credentials({}, ..)", self.user)
    }
}

/// The primary that a replica follows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Primary {
    /// The primary's name.
    pub upstream: UpstreamId,
    /// The address on which the primary listens.
    pub addr: SocketAddr,
}

/// The state that an instance keeps over a restart, as on its disk.
#[derive(Clone, Debug, Default)]
pub struct RestartState {
    /// The highest promised term; the instance accepts nothing from lower terms.
    pub promised: Term,
    /// The candidate to which that term was promised; `None` if the term came with
    /// `follow` or with the settings.
    pub candidate: Option<Arc<str>>,
    /// The last term in which the instance became primary.
    pub led_term: Option<Term>,
    /// The primary that the instance was told to follow, and the primary's term.
    pub followed_primary: Option<(Term, Primary)>,
    /// All entries of the replication log.
    pub log: Vec<Entry>,
    /// The claims that hosts may still rely on; `None` to start without any.
    pub claims: Option<Claims>,
    /// How often an insert of each ledger id has run, committed or not.
    pub ledger_insert_runs: HashMap<Arc<str>, u32>,
}
