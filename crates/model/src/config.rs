//! The configuration of the fleet, the changes that operators make to it, and their errors.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{KeyDigest, KeyId, RouteId, ServiceId, WorkspaceId};

/// Version of a configuration; the empty one has 0 and each accepted change a higher one.
pub type ConfigVersion = u64;

/// A whole configuration: workspaces, services and routes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Version of this configuration.
    pub version: ConfigVersion,
    /// The workspaces by name.
    pub workspaces: BTreeMap<WorkspaceId, Workspace>,
    /// The services by name.
    pub services: BTreeMap<ServiceId, Service>,
    /// The services that callers may read without a key, each with the workspace whose rate their
    /// requests count against.
    pub open_routes: BTreeMap<ServiceId, WorkspaceId>,
    /// The routes by name.
    #[serde(default)]
    pub routes: BTreeMap<RouteId, Route>,
}

impl Config {
    /// Returns the workspace that a key, given by its public name, was granted to.
    pub fn workspace_of_key(&self, key: &str) -> Option<&WorkspaceId> {
        let holds = |(_, workspace): &(&WorkspaceId, &Workspace)| workspace.keys.contains_key(key);
        self.workspaces.iter().find(holds).map(|(name, _)| name)
    }
}

/// A route: the service that its name leads to, and the rules for requests on it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The service that requests on the route go to.
    pub service: ServiceId,
    /// How recent the data of its reads must be.
    pub reads: ReadRule,
    /// Longest time for one statement.
    pub timeout: Duration,
    /// Latency objective for a whole operation of a caller.
    pub objective: Duration,
    /// Rank of its requests under load, 0 first.
    pub priority: u8,
    /// Whether callers may use it without a key.
    pub open: bool,
}

/// How recent the data of a route's reads must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ReadRule {
    /// Reads see every write that was acknowledged before them.
    Newest,
    /// Reads see all writes of their own session, and data of a limited age otherwise.
    Session {
        /// How old the data may be.
        max_age: Duration,
    },
    /// Reads see data of a limited age; writes of their own session may be missing.
    Bounded {
        /// How old the data may be.
        max_age: Duration,
    },
}

/// Rate, services and keys of a workspace.
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

/// Settings of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "EncodedService", into = "EncodedService")]
pub struct Service {
    /// When a write is acknowledged to its caller.
    pub commit: CommitRule,
    /// Number of connections that each instance accepts from all hosts together, used where
    /// instances don't announce it; 0 if unknown.
    pub connections: u32,
    /// Requests a second that an instance gets from all hosts together while it is cold; 0 for no
    /// such limit.
    pub warmup_per_s: u32,
}

/// The encoding of a service between hosts, on disk and in the API.
///
/// Without a warm-up limit it is that of earlier versions, which had the first two fields.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct EncodedService {
    #[serde(default)]
    commit: EncodedCommitRule,
    #[serde(default)]
    connections: u32,
}

/// A commit rule, alone or with the warm-up limit; the first three variants are those of
/// [`CommitRule`].
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum EncodedCommitRule {
    #[default]
    Replicated,
    Primary,
    Upstream,
    WithWarmup {
        commit: CommitRule,
        per_s: u32,
    },
}

impl From<Service> for EncodedService {
    fn from(service: Service) -> Self {
        let commit = match (service.warmup_per_s, service.commit) {
            (0, CommitRule::Replicated) => EncodedCommitRule::Replicated,
            (0, CommitRule::Primary) => EncodedCommitRule::Primary,
            (0, CommitRule::Upstream) => EncodedCommitRule::Upstream,
            (per_s, commit) => EncodedCommitRule::WithWarmup { commit, per_s },
        };
        Self {
            commit,
            connections: service.connections,
        }
    }
}

impl From<EncodedService> for Service {
    fn from(encoded: EncodedService) -> Self {
        let (commit, warmup_per_s) = match encoded.commit {
            EncodedCommitRule::Replicated => (CommitRule::Replicated, 0),
            EncodedCommitRule::Primary => (CommitRule::Primary, 0),
            EncodedCommitRule::Upstream => (CommitRule::Upstream, 0),
            EncodedCommitRule::WithWarmup { commit, per_s } => (commit, per_s),
        };
        Self {
            commit,
            connections: encoded.connections,
            warmup_per_s,
        }
    }
}

/// When a write is acknowledged to its caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CommitRule {
    /// Once so many instances have it that no promotion can lose it.
    #[default]
    Replicated,
    /// Once the primary has it, and a majority of the instances afterwards still report its term.
    Primary,
    /// Once the primary answers, for primaries that themselves wait until replicas have the write.
    Upstream,
}

/// A whole configuration that replaces the one in force, with a version chosen by its sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replacement {
    /// The configuration that the document was parsed into.
    pub config: Config,
    /// The document as it was sent, returned unchanged when it is read.
    pub document: bytes::Bytes,
}

/// One change to the configuration; a patch is a list of them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Change {
    /// Creates a workspace, or replaces all of it but its keys.
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
    /// Lets callers read a service without a key; their requests count against a workspace's rate.
    OpenRoute {
        /// The service.
        service: ServiceId,
        /// The workspace whose rate the requests count against.
        workspace: WorkspaceId,
    },
    /// Ends reads of a service without a key.
    CloseRoute {
        /// The service.
        service: ServiceId,
    },
}

/// Error of a change that can't be applied.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum BadChange {
    /// The change names a workspace that doesn't exist.
    #[error("no workspace `{0}`")]
    NoWorkspace(WorkspaceId),
    /// The change names a service that doesn't exist, that the workspace may not reach, or that has
    /// no open route to close.
    #[error("no service `{0}`")]
    NoService(ServiceId),
    /// The workspace has no key of this name.
    #[error("no key `{0}`")]
    NoKey(KeyId),
    /// The workspace has a key of this name already.
    #[error("the key `{0}` exists already")]
    KeyExists(KeyId),
    /// The rate of the workspace is 0.
    #[error("workspace `{0}`: the rate must be at least 1 request a second")]
    BadRate(WorkspaceId),
    /// The burst of the workspace is 0.
    #[error("workspace `{0}`: the burst must be at least 1 request")]
    BadBurst(WorkspaceId),
    /// The name is empty, too long, or has a character that isn't allowed.
    #[error("`{0}` is no name: use 1 to 63 of a-z, 0-9, `-` and `_`")]
    BadName(std::sync::Arc<str>),
    /// The first can't be removed, since the second still refers to it.
    #[error("`{0}` is still in use by `{1}`")]
    InUse(std::sync::Arc<str>, std::sync::Arc<str>),
}
