//! A request and its answer, without any wire format.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    Config, ConfigVersion, KeyId, Position, Refusal, RouteId, ServiceId, Verdict, WorkspaceId,
};

/// What a request does, as far as routing cares.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// Reads only, so any upstream that has reached the floor may answer.
    Read,
    /// May write, or can't be proved to read only.
    Write,
}

/// What entitles a request on a route, as its entry host saw it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteAccess {
    /// The configuration that was in force there.
    pub config_version: ConfigVersion,
    /// The route.
    pub route: RouteId,
    /// The key, or none on an open route.
    pub key: Option<KeyId>,
}

impl RouteAccess {
    /// Returns why a newer configuration does not allow a request any more, if it does not.
    pub fn refusal_under(&self, config: &Config, req: &Request) -> Option<Refusal> {
        if config.version <= self.config_version {
            return None;
        }
        let Some(route) = config.routes.get(&self.route) else {
            return Some(Refusal::NoRoute);
        };
        if route.service != req.service {
            return Some(Refusal::NotAllowed);
        }
        let held = |key: &KeyId| {
            let holder = config.workspaces.get(&req.workspace);
            holder.is_some_and(|holder| holder.keys.contains_key(key))
        };
        let entitled = self.key.as_ref().map_or(route.open, held);
        (!entitled).then_some(Refusal::BadKey)
    }
}

/// A request for an upstream, with an opaque payload.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The caller's own id of the request, for the log; `-` where callers give none.
    pub label: std::sync::Arc<str>,
    /// The workspace that pays for the request.
    pub workspace: WorkspaceId,
    /// The service that it is for.
    pub service: ServiceId,
    /// What it does.
    pub kind: Kind,
    /// What entitles it, on a route.
    #[serde(default)]
    pub access: Option<RouteAccess>,
    /// Whether it opens or continues an explicit transaction.
    pub in_transaction: bool,
    /// Whether it belongs to a transaction that an earlier request has opened.
    #[serde(default)]
    pub continues_transaction: bool,
    /// Whether it rolls its transaction back, which giving up the connection does too.
    #[serde(default)]
    pub rolls_back: bool,
    /// Whether the transaction that it opens or continues only reads.
    #[serde(default)]
    pub read_only_transaction: bool,
    /// Its rank under load; 0 goes first.
    #[serde(default)]
    pub priority: u8,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// How long the caller still waits for an answer.
    pub timeout: Duration,
    /// How old the data may be, where the caller has stated an age.
    pub max_age: Option<Duration>,
    /// The position that the data must have reached.
    pub floor: Option<Position>,
    /// The encoded statement, which only front end and upstream side understand.
    pub payload: Bytes,
}

/// Whether an upstream connection is inside a transaction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum TxStatus {
    /// Outside of any transaction.
    #[default]
    Idle,
    /// Inside an open transaction.
    Open,
    /// Inside a transaction that has failed and can only be rolled back.
    Failed,
}

/// The outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// The whole encoded answer, empty unless the verdict is `Ran`.
    pub payload: Bytes,
    /// The state of the transaction after the request.
    pub tx_status: TxStatus,
    /// The position that the session has seen or written.
    pub position: Option<Position>,
}

impl Answer {
    /// Returns the answer of a request that has not produced one of its own.
    pub fn without_result(verdict: Verdict) -> Self {
        Self {
            verdict,
            payload: Bytes::new(),
            tx_status: TxStatus::Idle,
            position: None,
        }
    }
}
