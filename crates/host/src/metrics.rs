//! The metrics of a host, as atomics that every thread may touch without a lock.

use decide::upstream_query::UpstreamQuery;
use model::{HashMap, Kind, Refusal, Role, Verdict};
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// The name of a label and its value.
type Label = (&'static str, &'static str);
/// Counters of one name that have been looked up already.
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
/// The roles that a request's upstream can have, or none where none was asked.
const ROLES: [Option<Role>; 3] = [None, Some(Role::Primary), Some(Role::Replica)];
/// The names of the queries that upstreams are asked.
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

/// What was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refused {
    /// A request; it did not run.
    Request,
    /// A session that a caller asked for.
    Login,
    /// The rest of an open session.
    Session,
}

/// The metrics of a host; counters are looked up once, at the start.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    requests: Counters<3>,
    refusals: Counters<2>,
    queries: Counters<1>,
    /// The sessions of callers.
    pub(crate) sessions: Gauge,
    /// The pooled connections that are open.
    pub(crate) connections: Gauge,
    /// The version of the configuration in force.
    pub(crate) config_version: Gauge,
    /// Whether the configuration in force may be served by.
    pub(crate) config_usable: Gauge,
    /// Whether the host is leaving.
    pub(crate) leaving: Gauge,
    /// The links that broke, as each thread was told.
    pub(crate) links_down: Counter,
}

impl Metrics {
    /// Returns metrics that stand at zero.
    pub(crate) fn new() -> Self {
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
        let links_down = Counter::default();
        let help = "Links to other hosts that broke, as each thread was told";
        registry.register("links_down", help, links_down.clone());
        let mut gauge = |name: &str, help: &str| {
            let gauge = Gauge::default();
            registry.register(name, help, gauge.clone());
            gauge
        };
        Self {
            sessions: gauge("sessions", "Sessions of callers, from login on"),
            connections: gauge("pooled_connections", "Pooled connections that are open"),
            config_version: gauge("config_version", "Version of the configuration in force"),
            config_usable: gauge("config_usable", "Whether it may be served by"),
            leaving: gauge("leaving", "Whether the host is leaving"),
            links_down,
            requests: resolve(&requests, request_labels()),
            refusals: resolve(&refusals, refusal_labels()),
            queries: resolve(&queries, QUERIES.map(query_label)),
            registry,
        }
    }

    /// Counts an answered request.
    pub(crate) fn answered(&self, kind: Kind, role: Option<Role>, verdict: Verdict) {
        count(&self.requests, &request_label(kind, role, verdict));
    }

    /// Counts a refusal.
    pub(crate) fn refused(&self, what: Refused, refusal: Refusal) {
        count(&self.refusals, &refusal_label(what, refusal));
    }

    /// Counts a statement that an upstream is asked to run.
    pub(crate) fn ran_statement(&self) {
        count(&self.queries, &query_label("statement"));
    }

    /// Counts a question to an upstream.
    pub(crate) fn asked(&self, ask: &UpstreamQuery) {
        let kind = match ask {
            UpstreamQuery::Status { .. } => "status",
            UpstreamQuery::Claim { .. } => "claim",
            UpstreamQuery::Unclaim { .. } => "unclaim",
            UpstreamQuery::Promise { .. } => "promise",
            UpstreamQuery::Promote { .. } => "promote",
            UpstreamQuery::Follow { .. } => "follow",
            UpstreamQuery::Pause { .. } => "pause",
            UpstreamQuery::Resume => "resume",
        };
        count(&self.queries, &query_label(kind));
    }

    /// Returns whether the host should get callers.
    pub(crate) fn ready(&self) -> bool {
        self.config_usable.get() == 1 && self.leaving.get() == 0
    }

    /// Returns all metrics as OpenMetrics text.
    pub(crate) fn text(&self) -> Result<String, std::fmt::Error> {
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }
}

/// Looks up the counters of a family, so that later no lock is taken.
fn resolve<const N: usize>(
    family: &Family<[Label; N], Counter>,
    labels: impl IntoIterator<Item = [Label; N]>,
) -> Counters<N> {
    let labels = labels.into_iter();
    labels
        .map(|label| (label, family.get_or_create(&label).clone()))
        .collect()
}

fn count<const N: usize>(counters: &Counters<N>, label: &[Label; N]) {
    if let Some(counter) = counters.get(label) {
        counter.inc();
    }
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
    for what in [Refused::Request, Refused::Login, Refused::Session] {
        labels.extend(REFUSALS.map(|refusal| refusal_label(what, refusal)));
    }
    labels
}

fn refusal_label(what: Refused, refusal: Refusal) -> [Label; 2] {
    let what = match what {
        Refused::Request => "request",
        Refused::Login => "login",
        Refused::Session => "session",
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
    [("of", what), ("reason", reason)]
}
