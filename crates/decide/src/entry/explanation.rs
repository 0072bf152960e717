//! An operator's question where a request would go now, and the answer, as data.

use std::collections::BTreeSet;
use std::time::Duration;

use model::{
    ConfigVersion, DataCentreId, Kind, PartId, Position, Refusal, RouteId, ServiceId, WorkspaceId,
};
use serde::{Deserialize, Serialize};

use crate::Cx;
use crate::route::Obstacle;
use crate::view::{FleetStatus, HostName};

/// A request that is to be explained, as the first of a session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainRequest {
    /// The service; on a route, the route's rules name it.
    pub service: ServiceId,
    /// Whether the request may write.
    pub kind: Kind,
    /// Whether it opens a transaction.
    #[serde(default)]
    pub in_transaction: bool,
    /// Whether that transaction is declared to only read.
    #[serde(default)]
    pub read_only_transaction: bool,
    /// The workspace, one of whose keys the caller shows; `None` without a key.
    #[serde(default)]
    pub workspace: Option<WorkspaceId>,
    /// The route that the caller names at login, if any.
    #[serde(default)]
    pub route: Option<RouteId>,
    /// The greatest age of the data, if the caller states one; a route's rules come before it.
    #[serde(default, with = "humantime_serde")]
    pub max_age: Option<Duration>,
    /// The position of the session.
    #[serde(default)]
    pub floor: Option<Position>,
    /// The traffic part to ask; `None` for the first one.
    #[serde(default)]
    pub part: Option<PartId>,
}

/// Where a traffic part of a host would send a request now, and why.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// The asked host.
    pub host: HostName,
    /// The traffic part that has answered. Each has its own tokens and its own record of failures.
    pub part: PartId,
    /// The number of traffic parts of the host.
    pub parts: PartId,
    /// The service that the request is for.
    pub service: String,
    /// What would happen to the request now.
    pub outcome: Outcome,
    /// Why it would be refused or parked, if it would be, now or once it had a rate token.
    pub refusal: Option<Refusal>,
    /// Where it would be sent, now or once it had a rate token.
    pub target: Option<ExplainedTarget>,
    /// What the rate of its workspace allows.
    pub rate: ExplainedRate,
    /// The upstreams of the service.
    pub upstreams: Vec<ExplainedUpstream>,
    /// The version of the configuration in force.
    pub version: ConfigVersion,
    /// Seconds since a quorum last confirmed that version as current, if ever.
    pub confirmed_age: Option<f64>,
    /// Seconds since the part's view of the fleet last changed; `None` if it has none yet.
    pub view_age: Option<f64>,
}

/// What would happen to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It would be sent to an owner.
    Sent,
    /// It would wait for a rate token.
    WaitsForToken,
    /// It would wait, since nothing can run it now.
    Parked,
    /// It would be refused at once.
    Refused,
}

/// Where a request would be sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainedTarget {
    /// The upstream.
    pub upstream: String,
    /// The owner.
    pub owner: HostName,
    /// The traffic part of the owner.
    pub owner_part: PartId,
    /// The reason, as in event 100.
    pub reason: String,
}

/// What the rate of a workspace allows, as far as one traffic part knows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExplainedRate {
    /// The workspace.
    pub workspace: String,
    /// The decision; `None` if the request would be refused for another reason.
    pub decision: Option<RateDecision>,
    /// How many seconds the request would wait for a token at most, if it would wait.
    pub longest_wait: Option<f64>,
}

/// Whether the rate of a workspace admits a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RateDecision {
    /// It costs no token.
    NoTokenNeeded,
    /// The part has a token for it.
    Admitted,
    /// The part has no token now, and would ask for one.
    Waits,
    /// It is over the rate.
    OverRate,
}

/// An upstream of the service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExplainedUpstream {
    /// The upstream.
    pub upstream: String,
    /// Its data centre.
    pub data_centre: String,
    /// Whether it is the primary, as far as the part knows.
    pub primary: bool,
    /// Whether it announces that it is warming up. Its owners, not the entry host, limit what it
    /// gets then.
    pub warming: bool,
    /// Whether it announces that it will leave.
    pub draining: bool,
    /// Whether its data centre is evacuated; a primary there serves until it is closed.
    pub evacuated: bool,
    /// Why the request would not be sent to it; empty if it would be.
    pub left_out: Vec<LeftOut>,
    /// Its owners.
    pub owners: Vec<ExplainedOwner>,
}

/// An owner of an upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExplainedOwner {
    /// The host.
    pub host: HostName,
    /// Why it would get no request for the upstream; empty if it may get one.
    pub left_out: Vec<LeftOut>,
}

/// Why an upstream or an owner is left out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeftOut {
    /// The reason, in a word.
    pub reason: String,
    /// Seconds until the reason ends by itself; `None` if that isn't known.
    pub ends_in: Option<f64>,
}

impl LeftOut {
    pub(super) fn new(reason: &str) -> Self {
        Self {
            reason: reason.to_owned(),
            ends_in: None,
        }
    }

    pub(super) fn from_obstacle(cx: &Cx<'_>, obstacle: Obstacle) -> Self {
        let until = obstacle.until;
        let ends_in = until.map(|until| until.saturating_duration_since(cx.now).as_secs_f64());
        Self {
            ends_in,
            ..Self::new(obstacle.reason)
        }
    }
}

impl Explanation {
    /// Adds what the control part knows: how old the configuration is, and the upstreams of the
    /// service that no traffic part knows, since they are cut off or their announcements have lapsed.
    pub(crate) fn add_fleet_status(
        &mut self,
        status: &FleetStatus,
        cut_off: &BTreeSet<DataCentreId>,
    ) {
        self.confirmed_age = status.confirmed_age;
        let services = status.services.iter();
        let services = services.filter(|row| row.service == self.service);
        let unknown = services.flat_map(|row| &row.upstreams).filter(|up| {
            let mut known = self.upstreams.iter();
            !up.live && !known.any(|row| row.upstream == up.upstream)
        });
        let unknown = unknown.map(|up| ExplainedUpstream {
            upstream: up.upstream.clone(),
            data_centre: up.data_centre.clone(),
            primary: false,
            warming: false,
            draining: false,
            evacuated: status.evacuated.contains(&up.data_centre),
            left_out: vec![LeftOut::new(match cut_off.contains(&*up.data_centre) {
                true => "cut-off",
                false => "lapsed",
            })],
            owners: Vec::new(),
        });
        let unknown: Vec<ExplainedUpstream> = unknown.collect();
        self.upstreams.extend(unknown);
    }
}
