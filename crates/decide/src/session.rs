//! Callers' sessions: who may have one, what it has seen, and which transaction it is in.

mod log_event;

use std::time::Duration;

use model::config::{ReadRule, Route};
use model::{ConnId, Request, key::split_password};
use model::{
    HashMap, HostId, KeyDigest, KeyId, Kind, PartAddr, Position, Refusal, RequestId, RouteAccess,
    RouteId, ServiceId, SessionId, UpstreamId, WorkspaceId,
};
use serde::{Deserialize, Serialize};

use crate::caller::Login;
use crate::entry::budget::BudgetSettings;
use crate::{Cx, Effect, View};

pub use crate::session::log_event::SessionLogEvent;

/// Settings of callers' sessions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SessionSettings {
    /// How long a request may take before its caller gets an answer all the same.
    #[serde(with = "humantime_serde")]
    pub request_timeout: Duration,
    /// How old the data of a read may be where the caller has stated no age.
    #[serde(with = "humantime_serde")]
    pub default_max_age: Duration,
    /// How long the entry host waits past a deadline for an owner's answer.
    #[serde(with = "humantime_serde")]
    pub answer_grace: Duration,
    /// How long a read may go unanswered before it is sent to another owner too, if at all.
    #[serde(with = "humantime_serde")]
    pub hedge_after: Option<Duration>,
    /// How many reads may be sent a second time.
    pub hedge: BudgetSettings,
}

impl Default for SessionSettings {
    fn default() -> Self {
        Self {
            request_timeout: Duration::from_secs(5),
            default_max_age: Duration::from_secs(10),
            answer_grace: Duration::from_millis(250),
            hedge_after: None,
            hedge: BudgetSettings::default(),
        }
    }
}

/// A caller's session on this host.
#[derive(Debug)]
pub struct Session {
    /// The workspace that pays.
    pub workspace: WorkspaceId,
    /// The service that it reaches.
    pub service: ServiceId,
    /// The route that it uses, if it named one.
    pub route: Option<RouteId>,
    /// The rules of the route when the present transaction or request began.
    pub rules: Option<Route>,
    /// The key that it showed, or none on an open route.
    pub key: Option<KeyId>,
    /// The position that its reads must have reached.
    pub floor: Option<Position>,
    /// The open transaction, if any.
    pub pin: Option<Pin>,
    /// Whether a transaction was lost and the caller does not know yet.
    pub lost_transaction: bool,
    /// The request that runs now, if any.
    pub running: Option<RequestId>,
    /// Why the session ends as soon as nothing runs, if it does.
    pub ending: Option<Refusal>,
}

/// Where an open transaction runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pin {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The part that holds the connection.
    pub owner: PartAddr,
    /// The connection.
    pub conn: ConnId,
}

impl Session {
    /// Makes a request one of this session, by the rules of the route in force.
    ///
    /// A changed route counts from the next transaction on.
    ///
    /// # Errors
    ///
    /// Returns the refusal where the route is gone, or the transaction that the request continues.
    pub(crate) fn dress(
        &mut self,
        view: &View,
        default_max_age: Duration,
        req: &mut Request,
    ) -> Result<(), Refusal> {
        req.workspace = self.workspace.clone();
        req.floor = self.floor;
        if let Some(name) = &self.route {
            if self.pin.is_none() {
                self.rules = view.config.routes.get(name).cloned();
            }
            let rules = self.rules.as_ref().ok_or(Refusal::NoRoute)?;
            self.service = rules.service.clone();
            follow_route(rules, req);
            req.access = Some(RouteAccess {
                config_version: view.config.version,
                route: name.clone(),
                key: self.key.clone(),
            });
            if req.continues_transaction && self.pin.is_none() {
                return Err(Refusal::TransactionLost);
            }
        } else if req.kind == Kind::Read && req.max_age.is_none() && self.floor.is_some() {
            req.max_age = Some(default_max_age);
        }
        req.service = self.service.clone();
        req.in_transaction |= self.pin.is_some();
        Ok(())
    }

    /// Returns whether a request of this session needs no token of its own.
    ///
    /// On a route an operation counts once, and one without a key counts for nobody.
    pub(crate) fn is_paid(&self) -> bool {
        self.route.is_some() && (self.pin.is_some() || self.key.is_none())
    }
}

/// Applies the rules of a route to a request.
fn follow_route(route: &Route, req: &mut Request) {
    req.timeout = route.timeout;
    req.priority = route.priority;
    (req.floor, req.max_age) = match route.reads {
        ReadRule::Newest => (None, None),
        ReadRule::Session { max_age } => (req.floor, Some(max_age)),
        ReadRule::Bounded { max_age } => (None, Some(max_age)),
    };
}

/// The account of requests on routes that need no key.
pub const OPEN_WORKSPACE: &str = "-";

/// Checks whom a login on a route admits, and on whose account.
fn admit_on_route(
    view: &View,
    route: &RouteId,
    secret: &str,
) -> Result<(WorkspaceId, Option<KeyId>), Refusal> {
    let route = view.config.routes.get(route).ok_or(Refusal::NoRoute)?;
    let key = KeyDigest::of(secret).id();
    match view.config.workspace_of_key(&key) {
        Some(workspace) => Ok((workspace.clone(), Some(key))),
        None if route.open => Ok((OPEN_WORKSPACE.into(), None)),
        None => Err(Refusal::BadKey),
    }
}

/// Checks whom a login admits, and on whose account.
///
/// # Errors
///
/// Returns the refusal if it admits nobody.
pub fn admit_login(view: &View, login: &Login) -> Result<(WorkspaceId, Option<KeyId>), Refusal> {
    if !view.usable {
        return Err(Refusal::NotReady);
    }
    if let Some(route) = &login.route {
        return admit_on_route(view, route, &login.password);
    }
    let Some(name) = &login.workspace else {
        let open = view.config.open_routes.get(&login.service);
        return open
            .map(|workspace| (workspace.clone(), None))
            .ok_or(Refusal::BadKey);
    };
    let workspace = view.config.workspaces.get(name).ok_or(Refusal::BadKey)?;
    let (key, secret) = split_password(&login.password).ok_or(Refusal::BadKey)?;
    let (key, digest) = workspace.keys.get_key_value(key).ok_or(Refusal::BadKey)?;
    if !digest.matches(secret) {
        return Err(Refusal::BadKey);
    }
    if !workspace.services.contains(&login.service) {
        return Err(Refusal::NotAllowed);
    }
    Ok((name.clone(), Some(key.clone())))
}

/// Returns why a session may not go on under a configuration, if it may not.
pub fn revoked(view: &View, session: &Session) -> Option<Refusal> {
    if let Some(name) = &session.route {
        return revoked_on_route(view, name, session);
    }
    let Some(key) = &session.key else {
        let payer = view.config.open_routes.get(&session.service);
        return (payer != Some(&session.workspace)).then_some(Refusal::NotAllowed);
    };
    let Some(workspace) = view.config.workspaces.get(&session.workspace) else {
        return Some(Refusal::BadKey);
    };
    if !workspace.keys.contains_key(key) {
        return Some(Refusal::BadKey);
    }
    let allowed = workspace.services.contains(&session.service);
    (!allowed).then_some(Refusal::NotAllowed)
}

fn revoked_on_route(view: &View, name: &RouteId, session: &Session) -> Option<Refusal> {
    let Some(route) = view.config.routes.get(name) else {
        return Some(Refusal::NoRoute);
    };
    match &session.key {
        Some(key) => {
            let holder = view.config.workspaces.get(&session.workspace);
            let held = holder.is_some_and(|holder| holder.keys.contains_key(key));
            (!held).then_some(Refusal::BadKey)
        }
        None => (!route.open).then_some(Refusal::BadKey),
    }
}

/// The sessions of one traffic part.
#[derive(Debug, Default)]
pub struct Sessions {
    all: HashMap<SessionId, Session>,
    leaving: bool,
}

impl Sessions {
    /// Admits a caller or turns it away.
    pub fn login(&mut self, cx: &mut Cx<'_>, view: &View, session: SessionId, login: Login) {
        let result = if self.leaving {
            Err(Refusal::NotReady)
        } else {
            admit_login(view, &login)
        };
        let result = result.map(|(workspace, key)| {
            let entry = Session {
                workspace,
                service: login.service.clone(),
                route: login.route.clone(),
                rules: None,
                key,
                floor: login.token,
                pin: None,
                lost_transaction: false,
                running: None,
                ending: None,
            };
            self.all.insert(session, entry);
        });
        cx.log(SessionLogEvent::Login {
            session,
            workspace: login.workspace,
            service: login.route.unwrap_or(login.service),
            refusal: result.err(),
        });
        cx.emit(Effect::FinishLogin { session, result });
    }

    /// Returns a session.
    pub fn get(&self, session: SessionId) -> Option<&Session> {
        self.all.get(&session)
    }

    /// Returns a session to change it.
    pub fn get_mut(&mut self, session: SessionId) -> Option<&mut Session> {
        self.all.get_mut(&session)
    }

    /// Removes a session whose caller is gone.
    pub fn remove(&mut self, session: SessionId) -> Option<Session> {
        self.all.remove(&session)
    }

    /// Ends the sessions that a new configuration no longer allows.
    pub fn sync(&mut self, cx: &mut Cx<'_>, view: &View) {
        for (id, session) in &mut self.all {
            if !matches!(session.ending, Some(Refusal::NotReady)) {
                session.ending = revoked(view, session);
            }
            end_if_idle(cx, *id, session);
        }
    }

    /// Takes no new sessions and ends each at its next transaction boundary.
    pub fn leave(&mut self, cx: &mut Cx<'_>) {
        self.leaving = true;
        for (id, session) in &mut self.all {
            session.ending.get_or_insert(Refusal::NotReady);
            end_if_idle(cx, *id, session);
        }
    }

    /// Marks a request as finished, and ends the session if it should.
    pub fn finished(&mut self, cx: &mut Cx<'_>, id: SessionId) {
        if let Some(session) = self.all.get_mut(&id) {
            session.running = None;
            end_if_idle(cx, id, session);
        }
    }

    /// Forgets the transactions that were pinned to a host that is gone.
    pub fn lose_pins(&mut self, host: &HostId) {
        for session in self.all.values_mut() {
            let lost = session
                .pin
                .as_ref()
                .is_some_and(|pin| pin.owner.host == *host);
            if lost {
                session.pin = None;
                session.lost_transaction = session.running.is_none();
            }
        }
    }

    /// Returns whether no session is left.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }
}

/// Returns whether a session that ends for a reason may finish its transaction first.
pub(crate) fn is_graceful(refusal: Refusal) -> bool {
    matches!(refusal, Refusal::NotReady | Refusal::NoRoute)
}

/// Ends a session that should end, once nothing runs and no transaction is open.
///
/// A withdrawn key does not wait for the end of a transaction.
fn end_if_idle(cx: &mut Cx<'_>, id: SessionId, session: &mut Session) {
    let Some(refusal) = session.ending else {
        return;
    };
    let graceful = is_graceful(refusal);
    if session.running.is_none() && !(graceful && session.pin.is_some()) {
        cx.log(SessionLogEvent::Ended {
            session: id,
            refusal,
        });
        cx.emit(Effect::EndSession {
            session: id,
            refusal,
        });
    }
}
