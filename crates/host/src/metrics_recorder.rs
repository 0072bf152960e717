//! Updates the metrics from the events and effects of one part.

use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use decide::caller::CallerEvent;
use decide::conn::ConnEvent;
use decide::relay::RelayMsg;
use decide::session::SessionLogEvent;
use decide::spread::SpreadLogEvent;
use decide::{Effect, Event, LogEvent, Msg, View};
use model::{Answer, ConnId, HashMap, HashSet, Kind, Role, SessionId, UpstreamId, Verdict};

use crate::metrics::{Metrics, RefusalScope};

/// The state by which one part's thread updates the metrics.
#[derive(Debug)]
pub(crate) struct MetricsRecorder {
    metrics: Arc<Metrics>,
    view: Arc<View>,
    sessions: HashMap<SessionId, RunningRequest>,
    /// Pooled connections that are being opened.
    opening: HashSet<ConnId>,
    /// Pooled connections that count as open.
    open: HashSet<ConnId>,
}

/// The unanswered request of a session: `kind` is `None` if there is none, `role` until it is
/// routed.
#[derive(Debug, Default)]
struct RunningRequest {
    kind: Option<Kind>,
    role: Option<Role>,
}

impl MetricsRecorder {
    /// Returns the recorder of a part that has just started.
    pub(crate) fn new(metrics: Arc<Metrics>) -> Self {
        Self {
            metrics,
            view: Arc::default(),
            sessions: HashMap::default(),
            opening: HashSet::default(),
            open: HashSet::default(),
        }
    }

    /// Records an event that is about to be reduced.
    pub(crate) fn on_event(&mut self, event: &Event) {
        match event {
            Event::Caller(event) => self.on_caller_event(event),
            Event::Conn(ConnEvent::Opened { conn }) => self.on_conn_opened(*conn),
            Event::Conn(ConnEvent::OpenFailed { conn, .. }) => self.on_conn_closed(*conn),
            Event::Conn(ConnEvent::Lost { conn, reason, .. }) => {
                self.metrics.count_lost_connection(*reason);
                self.on_conn_closed(*conn);
            }
            Event::LinkDown(_) => {
                self.metrics.links_down.inc();
            }
            Event::View(view) => self.view = view.clone(),
            _ => {}
        }
    }

    /// Records an effect that is about to be run.
    pub(crate) fn on_effect(&mut self, effect: &Effect) {
        match effect {
            Effect::Answer {
                session, answer, ..
            } => self.on_answer(*session, answer),
            Effect::FinishLogin {
                result: Err(refusal),
                ..
            } => self.metrics.count_refusal(RefusalScope::Login, *refusal),
            Effect::EndSession { refusal, .. } => {
                self.metrics.count_refusal(RefusalScope::Session, *refusal)
            }
            Effect::Log(LogEvent::Session(SessionLogEvent::Routed {
                session,
                upstream,
                reason,
                ..
            })) => {
                self.metrics.count_routed(reason);
                self.on_routed(*session, upstream);
            }
            Effect::Log(LogEvent::Spread(event)) => self.on_spread_event(event),
            Effect::OpenConn { conn, .. } => {
                self.opening.insert(*conn);
            }
            Effect::CloseConn(conn) => self.on_conn_closed(*conn),
            Effect::RunOnConn { .. } => self.metrics.count_statement(),
            Effect::QueryUpstream { query, .. } => self.metrics.count_query(query),
            Effect::Send {
                msg: Msg::Relay(msg),
                ..
            } => self.on_relay_msg_sent(msg),
            Effect::PublishView(view) => self.on_view_published(view),
            _ => {}
        }
    }

    fn on_spread_event(&self, event: &SpreadLogEvent) {
        let metrics = &self.metrics;
        match event {
            SpreadLogEvent::ConfigInForce { version, .. } => {
                let version = gauge_value(*version);
                let newest = metrics.config_newest_version.get().max(version);
                metrics.config_newest_version.set(newest);
                let now = SystemTime::now().duration_since(UNIX_EPOCH);
                let now = now.unwrap_or_default().as_secs();
                metrics.config_in_force_since.set(gauge_value(now));
                metrics.config_lacking.set(0);
            }
            SpreadLogEvent::ConfigBehind {
                newest, lacking, ..
            } => {
                metrics.config_newest_version.set(gauge_value(*newest));
                let millis = i64::try_from(lacking.as_millis()).unwrap_or(i64::MAX);
                metrics.config_lacking.set(millis);
            }
            SpreadLogEvent::ConfigUpdateRejected { .. } => {
                metrics.config_updates_rejected.inc();
            }
            SpreadLogEvent::ConfigWithheld { .. } => {
                metrics.config_updates_withheld.inc();
            }
            _ => {}
        }
    }

    fn on_relay_msg_sent(&self, msg: &RelayMsg) {
        match msg {
            RelayMsg::Forward(_) => {
                self.metrics.forwarded_reads.inc();
            }
            RelayMsg::Load { .. } => {
                self.metrics.load_reports.inc();
            }
            _ => {}
        }
    }

    fn on_caller_event(&mut self, event: &CallerEvent) {
        match event {
            CallerEvent::Login { session, .. } => {
                if self
                    .sessions
                    .insert(*session, RunningRequest::default())
                    .is_none()
                {
                    self.metrics.sessions.inc();
                }
            }
            CallerEvent::Request { session, req, .. } => {
                if let Some(running) = self.sessions.get_mut(session) {
                    running.kind = Some(req.kind);
                    running.role = None;
                }
            }
            CallerEvent::Closed { session } => {
                if self.sessions.remove(session).is_some() {
                    self.metrics.sessions.dec();
                }
            }
        }
    }

    fn on_routed(&mut self, session: SessionId, upstream: &UpstreamId) {
        let role = role_of(&self.view, upstream);
        if let Some(running) = self.sessions.get_mut(&session) {
            running.role = Some(role);
        }
    }

    fn on_answer(&mut self, session: SessionId, answer: &Answer) {
        if let Verdict::NotRun(refusal) = answer.verdict {
            self.metrics.count_refusal(RefusalScope::Request, refusal);
        }
        let Some(running) = self.sessions.get_mut(&session) else {
            return;
        };
        if let Some(kind) = running.kind.take() {
            self.metrics
                .count_answer(kind, running.role, answer.verdict);
        }
    }

    fn on_conn_opened(&mut self, conn: ConnId) {
        // A connection that was closed while it was being opened doesn't count as open.
        if self.opening.remove(&conn) && self.open.insert(conn) {
            self.metrics.pooled_connections.inc();
        }
    }

    fn on_conn_closed(&mut self, conn: ConnId) {
        self.opening.remove(&conn);
        if self.open.remove(&conn) {
            self.metrics.pooled_connections.dec();
        }
    }

    fn on_view_published(&mut self, view: &View) {
        let version = gauge_value(view.config.version);
        self.metrics.config_version.set(version);
        self.metrics
            .config_usable
            .set(i64::from(view.config_usable));
        let version = gauge_value(view.evacuations.version);
        self.metrics.evacuation_version.set(version);
        let evacuated = i64::try_from(view.evacuations.closes_at.len()).unwrap_or(i64::MAX);
        self.metrics.evacuated_data_centres.set(evacuated);
    }
}

/// Returns a number as the value of a gauge, at most the largest one.
fn gauge_value(number: u64) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}

/// Returns the role that an upstream has in a view.
fn role_of(view: &View, upstream: &UpstreamId) -> Role {
    let service = view.upstreams.get(upstream);
    let service = service.and_then(|upstream| view.services.get(&upstream.announcement.service));
    let primary = service.and_then(|service| service.primary.as_ref());
    match primary {
        Some((_, id)) if id == upstream => Role::Primary,
        _ => Role::Replica,
    }
}
