//! The metrics of a host, as atomics that every thread can update without a lock.

use std::sync::Arc;

use budget::Pool;
use decide::conn::LossReason;
use decide::route::ROUTE_REASONS;
use decide::upstream_query::UpstreamQuery;
use model::{HashMap, Kind, Refusal, Role, Verdict};
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::conn_budget::CloseReason;

/// A label: its name and its value.
type Label = (&'static str, &'static str);
/// The counters of one metric by their labels, looked up in advance.
type Counters<const N: usize> = HashMap<[Label; N], Counter>;

/// Every refusal that a caller can get.
const REFUSALS: [Refusal; 10] = [
    Refusal::BadKey,
    Refusal::NotAllowed,
    Refusal::NoRoute,
    Refusal::OverRate,
    Refusal::Overloaded,
    Refusal::NoPrimary,
    Refusal::NoUpstream,
    Refusal::NotReady,
    Refusal::Unsupported,
    Refusal::TransactionLost,
];
/// The roles of the upstream that a request was sent to, or `None` if it was sent to none.
const ROLES: [Option<Role>; 3] = [None, Some(Role::Primary), Some(Role::Replica)];
/// The values of the label `kind` of `caraway_upstream_queries`.
const QUERIES: [&str; 9] = [
    "statement",
    "status",
    "claim",
    "unclaim",
    "promise",
    "promote",
    "follow",
    "pause",
    "resume",
];

/// What was refused, the label `of` of `caraway_refusals`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RefusalScope {
    /// A request; it did not run.
    Request,
    /// A login of a caller.
    Login,
    /// An open session, which the host ended.
    Session,
}

/// The metrics of a host.
///
/// Counters with labels are looked up when the host starts, since a later look-up takes a lock.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    requests: Counters<3>,
    refusals: Counters<2>,
    queries: Counters<1>,
    lost_connections: Counters<1>,
    closed_clients: Counters<1>,
    /// The byte budget of the process, and the gauge that shows its use.
    pool: Arc<Pool>,
    buffered_bytes: Gauge,
    routed: Counters<1>,
    /// The number of sessions of callers, counted from their login.
    pub(crate) sessions: Gauge,
    /// The number of open pooled connections.
    pub(crate) pooled_connections: Gauge,
    /// The version of the configuration in force.
    pub(crate) config_version: Gauge,
    /// 1 if the host may serve by the configuration in force, else 0.
    pub(crate) config_usable: Gauge,
    /// The newest version of the configuration that the host has heard of.
    pub(crate) config_newest_version: Gauge,
    /// Unix time in seconds since when the configuration has been in force.
    pub(crate) config_in_force_since: Gauge,
    /// Milliseconds for which the host has lacked a version that another one holds, while that is
    /// over a second, else 0.
    pub(crate) config_lacking: Gauge,
    /// Updates of the configuration that could not be applied to the held one.
    pub(crate) config_updates_rejected: Counter,
    /// Reports that another host lacks a version and is sent no update.
    pub(crate) config_updates_withheld: Counter,
    /// The version of the evacuations that the host keeps to.
    pub(crate) evacuation_version: Gauge,
    /// The number of data centres that are evacuated, as far as the host knows.
    pub(crate) evacuated_data_centres: Gauge,
    /// 1 if the host is leaving, else 0.
    pub(crate) leaving: Gauge,
    /// The number of broken links to other hosts, counted once by each part that learns of it.
    pub(crate) links_down: Counter,
    /// Reads that this host forwarded to owners of sibling instances.
    pub(crate) forwarded_reads: Counter,
    /// Messages with the load of an instance that this host sent to other owners.
    pub(crate) load_reports: Counter,
}

impl Metrics {
    /// Registers all metrics, with the value 0.
    pub(crate) fn new(pool: Arc<Pool>) -> Self {
        let mut registry = Registry::with_prefix("caraway");
        let requests = Family::default();
        let help = "Requests answered, by kind, role of the upstream and verdict";
        registry.register("requests", help, requests.clone());
        let refusals = Family::default();
        let help = "Refusals, by what was refused and reason";
        registry.register("refusals", help, refusals.clone());
        let queries = Family::default();
        let help = "Queries asked of upstreams, by kind";
        registry.register("upstream_queries", help, queries.clone());
        let lost_connections = Family::default();
        let help = "Pooled connections that became unusable, by reason";
        registry.register("lost_connections", help, lost_connections.clone());
        let closed_clients = Family::default();
        let help = "Connections of clients that the host has closed, by reason";
        registry.register("closed_clients", help, closed_clients.clone());
        let routed = Family::default();
        let help = "Attempts sent to an owner, by the reason for the choice of the upstream";
        registry.register("routed", help, routed.clone());
        let links_down = Counter::default();
        let help = "Broken links to other hosts, counted by each thread that learns of it";
        registry.register("links_down", help, links_down.clone());
        let forwarded_reads = Counter::default();
        let help = "Reads forwarded to an owner of a sibling instance";
        registry.register("forwarded_reads", help, forwarded_reads.clone());
        let load_reports = Counter::default();
        let help = "Messages with an instance's load sent to other owners";
        registry.register("load_reports", help, load_reports.clone());
        let config_updates_rejected = Counter::default();
        let help = "Updates of the configuration that could not be applied to the held one";
        registry.register(
            "config_updates_rejected",
            help,
            config_updates_rejected.clone(),
        );
        let config_updates_withheld = Counter::default();
        let help = "Reports that another host lacks a version and is sent no update";
        registry.register(
            "config_updates_withheld",
            help,
            config_updates_withheld.clone(),
        );
        let mut gauge = |name: &str, help: &str| {
            let gauge = Gauge::default();
            registry.register(name, help, gauge.clone());
            gauge
        };
        let limit = gauge(
            "buffer_limit_bytes",
            "Bytes that buffers of clients may take",
        );
        limit.set(i64::try_from(pool.total()).unwrap_or(i64::MAX));
        Self {
            buffered_bytes: gauge("buffered_bytes", "Bytes that are buffered for clients"),
            pool,
            closed_clients: look_up_counters(
                &closed_clients,
                CloseReason::all().map(|reason| [("reason", reason.as_str())]),
            ),
            sessions: gauge("sessions", "Sessions of callers, from login on"),
            pooled_connections: gauge("pooled_connections", "Pooled connections that are open"),
            config_version: gauge("config_version", "Version of the configuration in force"),
            config_usable: gauge(
                "config_usable",
                "Whether the host may serve by the configuration in force",
            ),
            config_newest_version: gauge(
                "config_newest_version",
                "Newest version of the configuration that the host has heard of",
            ),
            config_in_force_since: gauge(
                "config_in_force_since_seconds",
                "Unix time since when the configuration has been in force",
            ),
            config_lacking: gauge(
                "config_lacking_milliseconds",
                "Time for which the host has lacked a version that another one holds",
            ),
            config_updates_rejected,
            config_updates_withheld,
            evacuation_version: gauge(
                "evacuation_version",
                "Version of the evacuations that the host keeps to",
            ),
            evacuated_data_centres: gauge(
                "evacuated_data_centres",
                "Data centres that are evacuated, as far as the host knows",
            ),
            leaving: gauge("leaving", "Whether the host is leaving"),
            links_down,
            forwarded_reads,
            load_reports,
            requests: look_up_counters(&requests, request_labels()),
            refusals: look_up_counters(&refusals, refusal_labels()),
            queries: look_up_counters(&queries, QUERIES.map(query_label)),
            lost_connections: look_up_counters(
                &lost_connections,
                LossReason::all().map(loss_label),
            ),
            routed: look_up_counters(&routed, ROUTE_REASONS.map(route_label)),
            registry,
        }
    }

    /// Counts an answered request.
    pub(crate) fn count_answer(&self, kind: Kind, role: Option<Role>, verdict: Verdict) {
        increment(&self.requests, &request_label(kind, role, verdict));
    }

    /// Counts a refusal of a request, login or session.
    pub(crate) fn count_refusal(&self, scope: RefusalScope, refusal: Refusal) {
        increment(&self.refusals, &refusal_label(scope, refusal));
    }

    /// Counts a statement that is sent to an upstream.
    pub(crate) fn count_statement(&self) {
        increment(&self.queries, &query_label("statement"));
    }

    /// Counts a query to an upstream outside of the pool.
    pub(crate) fn count_query(&self, query: &UpstreamQuery) {
        let kind = match query {
            UpstreamQuery::Status { .. } => "status",
            UpstreamQuery::Claim { .. } => "claim",
            UpstreamQuery::Unclaim { .. } => "unclaim",
            UpstreamQuery::Promise { .. } => "promise",
            UpstreamQuery::Promote { .. } => "promote",
            UpstreamQuery::Follow { .. } => "follow",
            UpstreamQuery::Pause { .. } => "pause",
            UpstreamQuery::Resume => "resume",
            UpstreamQuery::Demote { .. } => "demote",
        };
        increment(&self.queries, &query_label(kind));
    }

    /// Counts a pooled connection that became unusable.
    pub(crate) fn count_lost_connection(&self, reason: LossReason) {
        increment(&self.lost_connections, &loss_label(reason));
    }

    /// Counts a connection of a client that the host closes.
    pub(crate) fn count_closed_client(&self, reason: CloseReason) {
        increment(&self.closed_clients, &[("reason", reason.as_str())]);
    }

    /// Counts an attempt of a request that is sent to an owner.
    pub(crate) fn count_routed(&self, reason: &'static str) {
        increment(&self.routed, &route_label(reason));
    }

    /// Returns whether the host can serve callers: its configuration is usable and it isn't leaving.
    pub(crate) fn is_ready(&self) -> bool {
        self.config_usable.get() == 1 && self.leaving.get() == 0
    }

    /// Returns all metrics as OpenMetrics text.
    pub(crate) fn to_openmetrics(&self) -> Result<String, std::fmt::Error> {
        let buffered = i64::try_from(self.pool.used()).unwrap_or(i64::MAX);
        self.buffered_bytes.set(buffered);
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }
}

/// Looks up the counters of a metric for all labels, so that counting takes no lock.
fn look_up_counters<const N: usize>(
    family: &Family<[Label; N], Counter>,
    labels: impl IntoIterator<Item = [Label; N]>,
) -> Counters<N> {
    let labels = labels.into_iter();
    labels
        .map(|label| (label, family.get_or_create(&label).clone()))
        .collect()
}

fn increment<const N: usize>(counters: &Counters<N>, label: &[Label; N]) {
    if let Some(counter) = counters.get(label) {
        counter.inc();
    }
}

fn loss_label(reason: LossReason) -> [Label; 1] {
    [("reason", reason.as_str())]
}

fn route_label(reason: &'static str) -> [Label; 1] {
    [("reason", reason)]
}

fn query_label(kind: &'static str) -> [Label; 1] {
    [("kind", kind)]
}

fn request_labels() -> Vec<[Label; 3]> {
    let verdicts = [
        Verdict::Ran,
        Verdict::MayHaveRun,
        Verdict::NotRun(Refusal::NotReady),
    ];
    let mut labels = Vec::new();
    for kind in [Kind::Read, Kind::Write] {
        for role in ROLES {
            labels.extend(verdicts.map(|verdict| request_label(kind, role, verdict)));
        }
    }
    labels
}

fn request_label(kind: Kind, role: Option<Role>, verdict: Verdict) -> [Label; 3] {
    let kind = match kind {
        Kind::Read => "read",
        Kind::Write => "write",
    };
    let role = match role {
        None => "none",
        Some(Role::Primary) => "primary",
        Some(Role::Replica) => "replica",
    };
    let verdict = match verdict {
        Verdict::Ran => "ran",
        Verdict::MayHaveRun => "may_have_run",
        Verdict::NotRun(_) => "not_run",
    };
    [("kind", kind), ("upstream", role), ("verdict", verdict)]
}

fn refusal_labels() -> Vec<[Label; 2]> {
    let mut labels = Vec::new();
    for scope in [
        RefusalScope::Request,
        RefusalScope::Login,
        RefusalScope::Session,
    ] {
        labels.extend(REFUSALS.map(|refusal| refusal_label(scope, refusal)));
    }
    labels
}

fn refusal_label(scope: RefusalScope, refusal: Refusal) -> [Label; 2] {
    let scope = match scope {
        RefusalScope::Request => "request",
        RefusalScope::Login => "login",
        RefusalScope::Session => "session",
    };
    let reason = match refusal {
        Refusal::BadKey => "bad_key",
        Refusal::NotAllowed => "not_allowed",
        Refusal::NoRoute => "no_route",
        Refusal::OverRate => "over_rate",
        Refusal::Overloaded => "overloaded",
        Refusal::NoPrimary => "no_primary",
        Refusal::NoUpstream => "no_upstream",
        Refusal::NotReady => "not_ready",
        Refusal::Unsupported => "unsupported",
        Refusal::TransactionLost => "transaction_lost",
    };
    [("of", scope), ("reason", reason)]
}
