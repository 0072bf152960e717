//! Callers' sessions: who may log in, and the floor, route and open transaction of each session.

mod log_event;

use std::time::{Duration, Instant};

use model::config::{ReadRule, Route};
use model::{ConnId, Request, key::split_password};
use model::{
    HashMap, HostId, KeyDigest, KeyId, Kind, PartAddr, Position, Refusal, RequestId, RouteAccess,
    RouteId, ServiceId, SessionId, UpstreamId, WorkspaceId,
};
use serde::{Deserialize, Serialize};

use crate::caller::Login;
use crate::entry::budget::HedgeBudgetSettings;
use crate::entry::pending::roll_back_pin;
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
    /// How long an owner with waiting requests may send nothing before it is checked, if at all.
    ///
    /// One that leaves the check unanswered for twice as long gets no requests until it sends
    /// something.
    #[serde(with = "humantime_serde")]
    pub check_owner_after: Option<Duration>,
    /// How many reads may be sent a second time.
    pub hedge: HedgeBudgetSettings,
}

impl Default for SessionSettings {
    fn default() -> Self {
        Self {
            request_timeout: Duration::from_secs(5),
            default_max_age: Duration::from_secs(10),
            answer_grace: Duration::from_millis(250),
            hedge_after: None,
            check_owner_after: None,
            hedge: HedgeBudgetSettings::default(),
        }
    }
}

/// A caller's session on this host.
#[derive(Clone, Debug)]
pub struct Session {
    /// The workspace whose rate the requests count against.
    pub workspace: WorkspaceId,
    /// The service that requests go to; on a route, the one that its rules name.
    pub service: ServiceId,
    /// The route that the caller named at login, if any.
    pub route: Option<RouteId>,
    /// The route's rules as of the start of the current transaction or request.
    pub route_rules: Option<Route>,
    /// The key that the caller showed; `None` on an open route.
    pub key: Option<KeyId>,
    /// The log position that reads of this session must see.
    pub floor: Option<Position>,
    /// The connection that the open transaction keeps, if there is one.
    pub pin: Option<SessionPin>,
    /// Whether a transaction was lost between two requests and the caller was not told yet.
    pub unreported_transaction_loss: bool,
    /// The caller's request that has no answer yet, if any.
    pub running_request: Option<RequestId>,
    /// Why the session must end as soon as it may; `None` while it may go on.
    pub ending_reason: Option<Refusal>,
}

/// The connection of an upstream that an open transaction keeps until its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SessionPin {
    /// The upstream that runs the transaction.
    pub upstream: UpstreamId,
    /// The traffic part (state of one thread of a host) that holds the connection.
    pub owner: PartAddr,
    /// The connection's number in that part.
    pub conn: ConnId,
}

impl Session {
    /// Fills in the fields of a request that its session and its route's rules decide.
    ///
    /// Changed rules of a route apply from the next transaction on.
    ///
    /// # Errors
    ///
    /// Refuses a request whose route was removed, or whose open transaction was lost.
    pub(crate) fn prepare_request(
        &mut self,
        view: &View,
        default_max_age: Duration,
        req: &mut Request,
    ) -> Result<(), Refusal> {
        req.workspace = self.workspace.clone();
        req.floor = self.floor;
        if let Some(name) = &self.route {
            if self.pin.is_none() {
                self.route_rules = view.config.routes.get(name).cloned();
            }
            let rules = self.route_rules.as_ref().ok_or(Refusal::NoRoute)?;
            self.service = rules.service.clone();
            apply_route(rules, req);
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

    /// Returns whether the next request is admitted without a rate token.
    ///
    /// On a route, a transaction costs one token in all, and requests without a key cost none.
    pub(crate) fn needs_no_token(&self) -> bool {
        self.route.is_some() && (self.pin.is_some() || self.key.is_none())
    }
}

/// Applies a route's timeout, priority and rule for reads to a request.
fn apply_route(route: &Route, req: &mut Request) {
    req.timeout = route.timeout;
    req.priority = route.priority;
    (req.floor, req.max_age) = match route.reads {
        ReadRule::Newest => (None, None),
        ReadRule::Session { max_age } => (req.floor, Some(max_age)),
        ReadRule::Bounded { max_age } => (None, Some(max_age)),
    };
}

/// The workspace id of requests without a key on an open route.
pub const KEYLESS_WORKSPACE: &str = "-";

/// Checks a login on a route.
///
/// Returns the workspace that its requests count against, and the key unless the route needs none.
fn authorize_on_route(
    view: &View,
    route: &RouteId,
    secret: &[u8],
) -> Result<(WorkspaceId, Option<KeyId>), Refusal> {
    let route = view.config.routes.get(route).ok_or(Refusal::NoRoute)?;
    let key = KeyDigest::of(secret).id();
    match view.config.workspace_of_key(&key) {
        Some(workspace) => Ok((workspace.clone(), Some(key))),
        None if route.open => Ok((KEYLESS_WORKSPACE.into(), None)),
        None => Err(Refusal::BadKey),
    }
}

/// Checks a login against the configuration.
///
/// Returns the workspace that its requests count against, and the key if the caller showed one.
///
/// # Errors
///
/// Returns why the caller gets no session.
pub fn authorize_login(
    view: &View,
    login: &Login,
) -> Result<(WorkspaceId, Option<KeyId>), Refusal> {
    if !view.config_usable {
        return Err(Refusal::NotReady);
    }
    if let Some(route) = &login.route {
        return authorize_on_route(view, route, &login.password);
    }
    let Some(name) = &login.workspace else {
        let open = view.config.open_routes.get(&login.service);
        return open
            .map(|workspace| (workspace.clone(), None))
            .ok_or(Refusal::BadKey);
    };
    let workspace = view.config.workspaces.get(name).ok_or(Refusal::BadKey)?;
    let password = std::str::from_utf8(&login.password).map_err(|_| Refusal::BadKey)?;
    let (key, secret) = split_password(password).ok_or(Refusal::BadKey)?;
    let (key, digest) = workspace.keys.get_key_value(key).ok_or(Refusal::BadKey)?;
    if !digest.matches(secret) {
        return Err(Refusal::BadKey);
    }
    if !workspace.services.contains(&login.service) {
        return Err(Refusal::NotAllowed);
    }
    Ok((name.clone(), Some(key.clone())))
}

/// Returns why the configuration in force no longer allows a session; `None` if it does.
pub fn revocation_reason(view: &View, session: &Session) -> Option<Refusal> {
    if let Some(name) = &session.route {
        return revocation_reason_on_route(view, name, session);
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

/// Returns why the configuration in force no longer allows a session on a route.
fn revocation_reason_on_route(view: &View, name: &RouteId, session: &Session) -> Option<Refusal> {
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

/// The callers' sessions of one traffic part.
#[derive(Clone, Debug, Default)]
pub struct Sessions {
    by_id: HashMap<SessionId, Session>,
    /// Whether the host is leaving, so that logins are refused.
    leaving: bool,
    /// While leaving: when the transactions that are still open are rolled back.
    transactions_end_at: Option<Instant>,
    /// Whether that moment has come, so that no transaction may be open any more.
    transactions_ended: bool,
}

impl Sessions {
    /// Opens a session if the login is allowed, and reports the result to the caller.
    pub fn on_login(&mut self, cx: &mut Cx<'_>, view: &View, session: SessionId, login: Login) {
        let result = if self.leaving {
            Err(Refusal::NotReady)
        } else {
            authorize_login(view, &login)
        };
        let result = result.map(|(workspace, key)| {
            let new_session = Session {
                workspace,
                service: login.service.clone(),
                route: login.route.clone(),
                route_rules: None,
                key,
                floor: login.floor,
                pin: None,
                unreported_transaction_loss: false,
                running_request: None,
                ending_reason: None,
            };
            self.by_id.insert(session, new_session);
        });
        cx.log(SessionLogEvent::Login {
            session,
            workspace: login.workspace,
            service: login.route.unwrap_or(login.service),
            refusal: result.err(),
        });
        cx.emit(Effect::FinishLogin { session, result });
    }

    /// Returns a copy without the sessions but for a new one, which is marked to end if a login for
    /// it would be refused now.
    pub(crate) fn copy_with(&self, view: &View, id: SessionId, mut session: Session) -> Self {
        session.ending_reason = if self.leaving || !view.config_usable {
            Some(Refusal::NotReady)
        } else {
            revocation_reason(view, &session)
        };
        Self {
            by_id: [(id, session)].into_iter().collect(),
            leaving: self.leaving,
            transactions_end_at: self.transactions_end_at,
            transactions_ended: self.transactions_ended,
        }
    }

    /// Returns a session, unless its caller has disconnected.
    pub fn get(&self, session: SessionId) -> Option<&Session> {
        self.by_id.get(&session)
    }

    /// Returns a session for changes, unless its caller has disconnected.
    pub fn get_mut(&mut self, session: SessionId) -> Option<&mut Session> {
        self.by_id.get_mut(&session)
    }

    /// Removes the session of a caller that has disconnected.
    pub fn remove(&mut self, session: SessionId) -> Option<Session> {
        self.by_id.remove(&session)
    }

    /// Marks the sessions that a new configuration no longer allows, and ends the idle ones.
    ///
    /// Sessions that end since the host is leaving keep that reason.
    pub fn on_view(&mut self, cx: &mut Cx<'_>, view: &View) {
        for (id, session) in &mut self.by_id {
            if !matches!(session.ending_reason, Some(Refusal::NotReady)) {
                session.ending_reason = revocation_reason(view, session);
            }
            end_if_idle(cx, *id, session);
        }
    }

    /// Refuses logins from now on, and ends each session at its next transaction boundary.
    ///
    /// Transactions that are still open after `leave_timeout` of the owners' settings are rolled
    /// back, whichever host holds their connections.
    pub fn on_leave(&mut self, cx: &mut Cx<'_>) {
        self.leaving = true;
        self.transactions_end_at = Some(cx.now + cx.settings.owner.leave_timeout);
        for (id, session) in &mut self.by_id {
            session.ending_reason.get_or_insert(Refusal::NotReady);
            end_if_idle(cx, *id, session);
        }
    }

    /// Returns when [`Self::on_tick`] is due, if at all.
    pub fn wake_at(&self) -> Option<Instant> {
        self.transactions_end_at
    }

    /// Rolls back the open transactions of a host that has been leaving for long enough.
    pub fn on_tick(&mut self, cx: &mut Cx<'_>) {
        if self
            .transactions_end_at
            .take_if(|at| *at <= cx.now)
            .is_some()
        {
            self.end_transactions(cx);
        }
    }

    /// Rolls back each open transaction, once its running statement has been answered.
    ///
    /// Callers learn of it by the answer to their next statement.
    pub fn end_transactions(&mut self, cx: &mut Cx<'_>) {
        self.transactions_ended = true;
        for (id, session) in &mut self.by_id {
            if session.running_request.is_none() {
                roll_back_transaction(cx, session);
                end_if_idle(cx, *id, session);
            }
        }
    }

    /// Returns whether the host has been leaving for so long that no transaction may be opened.
    pub fn have_transactions_ended(&self) -> bool {
        self.transactions_ended
    }

    /// Clears a session's running request, and ends the session if it is marked to end.
    pub fn on_request_finished(&mut self, cx: &mut Cx<'_>, id: SessionId) {
        if let Some(session) = self.by_id.get_mut(&id) {
            session.running_request = None;
            if self.transactions_ended {
                roll_back_transaction(cx, session);
            }
            end_if_idle(cx, id, session);
        }
    }

    /// Drops the transactions that are pinned to a host that can't be reached.
    ///
    /// A session that runs no request learns of the loss by the answer to its next one.
    pub fn drop_pins_of_host(&mut self, host: &HostId) {
        for session in self.by_id.values_mut() {
            let lost = session
                .pin
                .as_ref()
                .is_some_and(|pin| pin.owner.host == *host);
            if lost {
                session.pin = None;
                session.unreported_transaction_loss = session.running_request.is_none();
            }
        }
    }

    /// Returns whether every session has been removed.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }
}

/// Returns whether a session that ends for this reason may finish its open transaction first.
pub(crate) fn lets_transaction_end(refusal: Refusal) -> bool {
    matches!(refusal, Refusal::NotReady | Refusal::NoRoute)
}

/// Rolls back a session's open transaction, if it has one.
fn roll_back_transaction(cx: &mut Cx<'_>, session: &mut Session) {
    let pin = session.pin.take();
    session.unreported_transaction_loss |= pin.is_some();
    roll_back_pin(cx, pin);
}

/// Ends a session that is marked to end, unless a request runs or a transaction is open.
///
/// After the withdrawal of a key, it does not wait for the end of the transaction.
fn end_if_idle(cx: &mut Cx<'_>, id: SessionId, session: &mut Session) {
    let Some(refusal) = session.ending_reason else {
        return;
    };
    let graceful = lets_transaction_end(refusal);
    if session.running_request.is_none() && !(graceful && session.pin.is_some()) {
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
