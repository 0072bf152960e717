//! The numbered configuration that operators patch.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{KeyDigest, KeyId, RouteId, ServiceId, WorkspaceId};

/// Numbers the accepted configurations, from zero for the empty one.
pub type ConfigVersion = u64;

/// The whole configuration in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// The number of this configuration.
    pub version: ConfigVersion,
    /// The workspaces by name.
    pub workspaces: BTreeMap<WorkspaceId, Workspace>,
    /// The services by name.
    pub services: BTreeMap<ServiceId, Service>,
    /// The services that callers without a key may read, and on whose account.
    pub open_routes: BTreeMap<ServiceId, WorkspaceId>,
    /// The routes by name.
    #[serde(default)]
    pub routes: BTreeMap<RouteId, Route>,
}

impl Config {
    /// Returns the workspace that holds a key, by the key's public name.
    pub fn workspace_of_key(&self, key: &str) -> Option<&WorkspaceId> {
        let holds = |(_, workspace): &(&WorkspaceId, &Workspace)| workspace.keys.contains_key(key);
        self.workspaces.iter().find(holds).map(|(name, _)| name)
    }
}

/// One route: a name under which callers reach a service, and the rules for their requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The service that it leads to.
    pub service: ServiceId,
    /// What its reads may see.
    pub reads: ReadRule,
    /// How long one statement may take.
    pub timeout: Duration,
    /// The latency objective of a whole operation.
    pub objective: Duration,
    /// Its rank under load; 0 goes first.
    pub priority: u8,
    /// Whether callers need no key.
    pub open: bool,
}

/// What the reads of a route may see.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ReadRule {
    /// Everything that was acknowledged before.
    Newest,
    /// What the session has written, and all else up to an age.
    Session {
        /// How old the data may be.
        max_age: Duration,
    },
    /// Everything up to an age.
    Bounded {
        /// How old the data may be.
        max_age: Duration,
    },
}

/// One workspace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Requests a second over all hosts together.
    pub rate: u32,
    /// Requests at once over all hosts together.
    pub burst: u32,
    /// The services that it may reach.
    pub services: Vec<ServiceId>,
    /// The digests of its keys.
    pub keys: BTreeMap<KeyId, KeyDigest>,
}

/// One service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// When a write is acknowledged.
    #[serde(default)]
    pub commit: CommitRule,
    /// How many connections each instance takes in all, where instances don't announce it.
    #[serde(default)]
    pub connections: u32,
}

/// When a write counts as done.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CommitRule {
    /// Once enough instances have it that every promotion keeps it.
    #[default]
    Replicated,
    /// Once the primary has it and is known not to be deposed.
    Primary,
    /// Once the primary answers, which itself waits until replicas have it.
    Upstream,
}

/// A whole configuration that replaces the one in force, under a version of the operator's.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replacement {
    /// What the document means.
    pub config: Config,
    /// The document as it was sent, to be read back.
    pub document: bytes::Bytes,
}

/// One change of a patch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Change {
    /// Creates or replaces a workspace but keeps its keys.
    SetWorkspace {
        /// The workspace.
        name: WorkspaceId,
        /// Requests a second over all hosts together.
        rate: u32,
        /// Requests at once over all hosts together.
        burst: u32,
        /// The services that it may reach.
        services: Vec<ServiceId>,
    },
    /// Removes a workspace with its keys.
    RemoveWorkspace {
        /// The workspace.
        name: WorkspaceId,
    },
    /// Creates or replaces a service.
    SetService {
        /// The service.
        name: ServiceId,
        /// When a write is acknowledged.
        #[serde(default)]
        commit: CommitRule,
    },
    /// Removes a service.
    RemoveService {
        /// The service.
        name: ServiceId,
    },
    /// Grants a key to a workspace.
    GrantKey {
        /// The workspace.
        workspace: WorkspaceId,
        /// The key's public name.
        key: KeyId,
        /// The digest of its secret.
        digest: KeyDigest,
    },
    /// Withdraws a key from a workspace.
    WithdrawKey {
        /// The workspace.
        workspace: WorkspaceId,
        /// The key's public name.
        key: KeyId,
    },
    /// Lets callers without a key read a service on a workspace's account.
    OpenRoute {
        /// The service.
        service: ServiceId,
        /// The workspace that pays.
        workspace: WorkspaceId,
    },
    /// Closes a route that was open to all.
    CloseRoute {
        /// The service.
        service: ServiceId,
    },
}

/// Why a change can't be applied.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum BadChange {
    /// The workspace does not exist.
    #[error("no workspace `{0}`")]
    NoWorkspace(WorkspaceId),
    /// The service does not exist.
    #[error("no service `{0}`")]
    NoService(ServiceId),
    /// The key does not exist.
    #[error("no key `{0}`")]
    NoKey(KeyId),
    /// The key's name is taken.
    #[error("the key `{0}` exists already")]
    KeyExists(KeyId),
    /// The rate is zero.
    #[error("workspace `{0}`: the rate must be at least 1 request a second")]
    BadRate(WorkspaceId),
    /// The burst is zero.
    #[error("workspace `{0}`: the burst must be at least 1 request")]
    BadBurst(WorkspaceId),
    /// A name is empty or too long, or has characters that can't be used.
    #[error("`{0}` is no name: use 1 to 63 of a-z, 0-9, `-` and `_`")]
    BadName(std::sync::Arc<str>),
    /// Something still refers to what is to be removed.
    #[error("`{0}` is still in use by `{1}`")]
    InUse(std::sync::Arc<str>, std::sync::Arc<str>),
}
