//! Feeds the metrics from the events and effects of one thread.

use std::sync::Arc;

use decide::caller::CallerEvent;
use decide::conn::ConnEvent;
use decide::session::SessionLogEvent;
use decide::{Effect, Event, LogEvent, View};
use model::{Answer, ConnId, HashMap, HashSet, Kind, Role, SessionId, UpstreamId, Verdict};

use crate::metrics::{Metrics, Refused};

/// What one thread remembers for the metrics.
#[derive(Debug)]
pub(crate) struct Tally {
    metrics: Arc<Metrics>,
    view: Arc<View>,
    sessions: HashMap<SessionId, Running>,
    opening: HashSet<ConnId>,
    open: HashSet<ConnId>,
}

/// The request that a session runs.
#[derive(Debug, Default)]
struct Running {
    kind: Option<Kind>,
    role: Option<Role>,
}

impl Tally {
    /// Returns the tally of a thread that has just started.
    pub(crate) fn new(metrics: Arc<Metrics>) -> Self {
        Self {
            metrics,
            view: Arc::default(),
            sessions: HashMap::default(),
            opening: HashSet::default(),
            open: HashSet::default(),
        }
    }

    /// Takes note of an event that is about to be reduced.
    pub(crate) fn event(&mut self, event: &Event) {
        match event {
            Event::Caller(event) => self.caller(event),
            Event::Conn(ConnEvent::Opened { conn }) => self.opened(*conn),
            Event::Conn(ConnEvent::OpenFailed { conn, .. } | ConnEvent::Lost { conn, .. }) => {
                self.closed(*conn);
            }
            Event::LinkDown(_) => {
                self.metrics.links_down.inc();
            }
            Event::View(view) => self.view = view.clone(),
            _ => {}
        }
    }

    /// Takes note of an effect that is about to be run.
    pub(crate) fn effect(&mut self, effect: &Effect) {
        match effect {
            Effect::Answer {
                session, answer, ..
            } => self.answered(*session, answer),
            Effect::FinishLogin {
                result: Err(refusal),
                ..
            } => self.metrics.refused(Refused::Login, *refusal),
            Effect::EndSession { refusal, .. } => self.metrics.refused(Refused::Session, *refusal),
            Effect::Log(LogEvent::Session(SessionLogEvent::Routed {
                session, upstream, ..
            })) => self.routed(*session, upstream),
            Effect::OpenConn { conn, .. } => {
                self.opening.insert(*conn);
            }
            Effect::CloseConn(conn) => self.closed(*conn),
            Effect::RunOnConn { .. } => self.metrics.ran_statement(),
            Effect::QueryUpstream { query, .. } => self.metrics.asked(query),
            Effect::PublishView(view) => self.published(view),
            _ => {}
        }
    }

    fn caller(&mut self, event: &CallerEvent) {
        match event {
            CallerEvent::Login { session, .. } => {
                if self.sessions.insert(*session, Running::default()).is_none() {
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

    fn routed(&mut self, session: SessionId, upstream: &UpstreamId) {
        let role = role(&self.view, upstream);
        if let Some(running) = self.sessions.get_mut(&session) {
            running.role = Some(role);
        }
    }

    fn answered(&mut self, session: SessionId, answer: &Answer) {
        if let Verdict::NotRun(refusal) = answer.verdict {
            self.metrics.refused(Refused::Request, refusal);
        }
        let Some(running) = self.sessions.get_mut(&session) else {
            return;
        };
        if let Some(kind) = running.kind.take() {
            self.metrics.answered(kind, running.role, answer.verdict);
        }
    }

    fn opened(&mut self, conn: ConnId) {
        // A connection that was closed while it opened is open no more.
        if self.opening.remove(&conn) && self.open.insert(conn) {
            self.metrics.connections.inc();
        }
    }

    fn closed(&mut self, conn: ConnId) {
        self.opening.remove(&conn);
        if self.open.remove(&conn) {
            self.metrics.connections.dec();
        }
    }

    fn published(&mut self, view: &View) {
        let version = i64::try_from(view.config.version).unwrap_or(i64::MAX);
        self.metrics.config_version.set(version);
        self.metrics
            .config_usable
            .set(i64::from(view.config_usable));
    }
}

/// Returns the role that an upstream has in a view.
fn role(view: &View, upstream: &UpstreamId) -> Role {
    let service = view.upstreams.get(upstream);
    let service = service.and_then(|known| view.services.get(&known.announcement.service));
    let primary = service.and_then(|service| service.primary.as_ref());
    match primary {
        Some((_, id)) if id == upstream => Role::Primary,
        _ => Role::Replica,
    }
}
