//! A request and its answer, independent of any wire protocol.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    Config, ConfigVersion, KeyId, Position, Refusal, RouteId, ServiceId, Verdict, WorkspaceId,
};

/// Whether a request may write, which decides where it may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// Only reads, so that any upstream with recent enough data may answer.
    Read,
    /// Writes, or can't be shown to only read; runs on the primary.
    Write,
}

/// The route and key by which an entry host admitted a request.
///
/// An owner with a newer configuration checks it again, so that a withdrawn key stops working
/// there even if the entry host has not received the change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteAccess {
    /// Version of the configuration that was in force on the entry host.
    pub config_version: ConfigVersion,
    /// The route that the caller used.
    pub route: RouteId,
    /// The caller's key; `None` on an open route without one.
    pub key: Option<KeyId>,
}

impl RouteAccess {
    /// Returns why a newer configuration no longer allows a request.
    ///
    /// `None` if it allows the request, or isn't newer than the one that admitted it.
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

/// A request for an upstream, with its statement as an opaque payload.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The caller's own id of the request as a [`crate::LogField`]; `-` if the caller gave none.
    pub label: std::sync::Arc<str>,
    /// The workspace whose rate the request counts against.
    pub workspace: WorkspaceId,
    /// The service that it reads or writes.
    pub service: ServiceId,
    /// Whether it may write.
    pub kind: Kind,
    /// The route and key that admitted it; `None` if its session isn't on a route.
    #[serde(default)]
    pub access: Option<RouteAccess>,
    /// Whether it opens an explicit transaction or runs inside one.
    pub in_transaction: bool,
    /// Whether its caller takes it for part of a transaction that an earlier request opened; it is
    /// refused if the transaction is gone.
    #[serde(default)]
    pub continues_transaction: bool,
    /// Whether it rolls back its transaction; if it is refused, the connection is given up, which
    /// rolls back too.
    #[serde(default)]
    pub rolls_back: bool,
    /// Whether its transaction is declared to only read, so that a replica may run it.
    #[serde(default)]
    pub read_only_transaction: bool,
    /// Rank of its route under load, 0 first.
    #[serde(default)]
    pub priority: u8,
    /// Whether running it more than once does no harm, so that it may be sent again or hedged.
    pub repeatable: bool,
    /// Whether nothing is kept of it if nobody waits for its answer: it is part of a transaction
    /// and does not commit it. Known on the entry host alone.
    #[serde(skip)]
    pub may_be_given_up: bool,
    /// Time left until the caller's deadline, counted from when the request was sent on.
    pub timeout: Duration,
    /// Greatest age of the data that a read may see; `None` without a bound on the age.
    ///
    /// A read with neither `max_age` nor `floor` must see all acknowledged writes, and runs on the
    /// primary.
    pub max_age: Option<Duration>,
    /// Log position that a read must see; `None` if it need see no particular write.
    pub floor: Option<Position>,
    /// The encoded statement, which only the protocol's front end and upstream side decode.
    pub payload: Bytes,
}

/// Transaction state of a connection to an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum TxStatus {
    /// Outside of any transaction.
    #[default]
    Idle,
    /// Inside an open transaction that has not failed.
    Open,
    /// Inside a transaction that has failed and can only be rolled back.
    Failed,
}

/// The answer to a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// The upstream's whole answer, encoded; empty unless the verdict is `Ran`.
    pub payload: Bytes,
    /// Transaction state of the connection after the request.
    pub tx_status: TxStatus,
    /// Log position that the request wrote up to or saw, the floor of the session's next reads;
    /// `None` if the upstream reported none.
    pub position: Option<Position>,
}

impl Answer {
    /// Returns an answer without a result from an upstream, outside of any transaction.
    pub fn without_result(verdict: Verdict) -> Self {
        Self {
            verdict,
            payload: Bytes::new(),
            tx_status: TxStatus::Idle,
            position: None,
        }
    }
}
