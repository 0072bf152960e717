//! Explains to operators where a request would go now, and why, without sending it.
//!
//! The request is handled by the code that serves callers, on a copy of the state that it depends
//! on. Its effects are read instead of being run, so that nothing is sent and no state changes.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use model::{
    HostId, Kind, PartAddr, PartId, Refusal, Request, RequestId, SessionId, UpstreamId, Verdict,
};
use room::RetryBudget;

use crate::admit::Admission;
use crate::entry::CallerRequests;
use crate::entry::budget::HedgeBudget;
use crate::entry::explanation::{
    ExplainRequest, ExplainedOwner, ExplainedRate, ExplainedTarget, ExplainedUpstream, Explanation,
    LeftOut, Outcome, RateDecision,
};
use crate::entry::pending::PendingRequests;
use crate::entry::pick::{Router, may_write, needs_newest};
use crate::entry::token_wait::token_wait;
use crate::grant::{PartTokenGrant, WorkspaceTokens};
use crate::relay::RelayMsg;
use crate::route::ReadPolicy;
use crate::session::{KEYLESS_WORKSPACE, Session, SessionLogEvent, Sessions};
use crate::view::ServiceView;
use crate::{Cx, Effect, LogEvent, Msg, View};

/// The session and request numbers of the explained request, which are used in the copy alone.
const EXPLAINED: (SessionId, RequestId) = (0, 0);
/// How long the token that a copy is given may be used.
const TOKEN_LIFETIME: Duration = Duration::from_secs(1);

/// What the code that serves callers does with a request.
#[derive(Debug, PartialEq, Eq)]
enum DryRun {
    Sent(ExplainedTarget),
    Parked(Refusal),
    Refused(Refusal),
    /// It waits for a rate token, up to a longest time.
    WaitsForToken(Duration),
}

impl<R: ReadPolicy, A: Admission> CallerRequests<R, A> {
    /// Returns where a request would be sent now, and why.
    pub(crate) fn explain(
        &self,
        cx: &Cx<'_>,
        view: &View,
        view_age: Option<Duration>,
        sessions: &Sessions,
        asked: &ExplainRequest,
    ) -> Explanation {
        let session = session_for(view, asked);
        let mut prepared = session.clone();
        let mut req = request_for(cx, asked);
        let default_max_age = cx.settings.session.default_max_age;
        // An error is one of the refusals that the dry run shows.
        let _ = prepared.prepare_request(view, default_max_age, &mut req);
        let sessions = sessions.copy_with(view, EXPLAINED.0, session);
        let now = self.dry_run(cx, view, &sessions, asked, false);
        let over_rate = now == DryRun::Refused(Refusal::OverRate);
        let with_token = match &now {
            DryRun::WaitsForToken(_) | DryRun::Refused(Refusal::OverRate) => {
                Some(self.dry_run(cx, view, &sessions, asked, true))
            }
            _ => None,
        };
        let (target, refusal) = match with_token.as_ref().unwrap_or(&now) {
            DryRun::Sent(target) => (Some(target.clone()), None),
            DryRun::Parked(refusal) | DryRun::Refused(refusal) => (None, Some(*refusal)),
            DryRun::WaitsForToken(_) => (None, None),
        };
        let decision = match &now {
            DryRun::Refused(Refusal::OverRate) => Some(RateDecision::OverRate),
            DryRun::Refused(_) => None,
            DryRun::WaitsForToken(_) => Some(RateDecision::Waits),
            _ if prepared.needs_no_token() => Some(RateDecision::NoTokenNeeded),
            _ => Some(RateDecision::Admitted),
        };
        Explanation {
            host: cx.me.host.to_string(),
            part: cx.part,
            parts: cx.me.traffic_parts,
            service: prepared.service.to_string(),
            outcome: match &now {
                DryRun::Sent(_) => Outcome::Sent,
                DryRun::Parked(_) => Outcome::Parked,
                DryRun::Refused(_) => Outcome::Refused,
                DryRun::WaitsForToken(_) => Outcome::WaitsForToken,
            },
            refusal: if over_rate {
                Some(Refusal::OverRate)
            } else {
                refusal
            },
            rate: ExplainedRate {
                workspace: prepared.workspace.to_string(),
                decision,
                longest_wait: match now {
                    DryRun::WaitsForToken(longest) => Some(longest.as_secs_f64()),
                    _ => None,
                },
            },
            upstreams: self
                .router
                .explain_upstreams(cx, view, &req, target.as_ref()),
            target,
            version: view.config.version,
            confirmed_age: None,
            view_age: view_age.map(|age| age.as_secs_f64()),
        }
    }

    /// Handles a request as the first of a session on a copy of the state, and returns what comes of
    /// it; with a rate token of its own if `with_token` says so.
    fn dry_run(
        &self,
        cx: &Cx<'_>,
        view: &View,
        sessions: &Sessions,
        asked: &ExplainRequest,
        with_token: bool,
    ) -> DryRun {
        let session = sessions.get(EXPLAINED.0);
        if let Some(refusal) = session.and_then(|session| session.ending_reason) {
            return DryRun::Refused(refusal);
        }
        let (mut effects, mut raised_events) = (Vec::new(), VecDeque::new());
        let mut copy = Self {
            router: self.router.clone(),
            admission: self.admission.clone(),
            requests: PendingRequests::default(),
            hedge_budget: HedgeBudget::new(cx.settings.session.hedge.clone()),
            retry_budget: RetryBudget::default(),
        };
        if let Some(session) = session.filter(|_| with_token) {
            let token = WorkspaceTokens {
                workspace: session.workspace.clone(),
                tokens: 1,
            };
            copy.admission.on_token_grant(&PartTokenGrant {
                expires_at: cx.now + TOKEN_LIFETIME,
                allocations: vec![token],
            });
        }
        let mut sessions = sessions.clone();
        let scratch = &mut Cx {
            now: cx.now,
            me: cx.me,
            part: cx.part,
            settings: cx.settings,
            rng: &mut cx.rng.clone(),
            effects: &mut effects,
            raised_events: &mut raised_events,
        };
        let req = request_for(cx, asked);
        copy.on_request(scratch, view, &mut sessions, EXPLAINED, req);
        let result = copy.requests.iter().next().map(|(_, pending)| {
            let wait = token_wait(scratch, &sessions, pending);
            let left = pending.deadline.saturating_duration_since(cx.now);
            DryRun::WaitsForToken(wait.bound.min(cx.settings.grant.max_wait).min(left))
        });
        let result = effects.iter().find_map(decided_by).or(result);
        let Some(DryRun::Sent(mut target)) = result else {
            // Every request that isn't answered stays in the copy.
            return result.unwrap_or(DryRun::Refused(Refusal::NotReady));
        };
        target.owner_part = effects.iter().find_map(receiving_part).unwrap_or_default();
        DryRun::Sent(target)
    }
}

impl<R: ReadPolicy> Router<R> {
    /// Returns the upstreams of a request's service, with the reasons for which it would not be sent
    /// to them.
    fn explain_upstreams(
        &self,
        cx: &Cx<'_>,
        view: &View,
        req: &Request,
        target: Option<&ExplainedTarget>,
    ) -> Vec<ExplainedUpstream> {
        let Some(service) = view.services.get(&req.service) else {
            return Vec::new();
        };
        let upstreams = service.upstreams.iter();
        let rows = upstreams.map(|id| {
            let up = view.upstreams.get(id);
            let primary = self.newest_primary(view, &req.service);
            let primary = primary.is_some_and(|(_, primary)| primary == id);
            let chosen = target.is_some_and(|target| *target.upstream == **id);
            let left_out = match chosen {
                true => Vec::new(),
                false => self.left_out(cx, view, service, req, id, primary),
            };
            let owners = up.into_iter().flat_map(|up| &up.owners);
            ExplainedUpstream {
                upstream: id.to_string(),
                data_centre: up.map_or(String::new(), |up| up.announcement.data_centre.to_string()),
                primary,
                warming: up.is_some_and(|up| up.announcement.warming),
                draining: up.is_some_and(|up| up.announcement.draining),
                evacuated: view.is_evacuated(id),
                left_out,
                owners: owners
                    .map(|owner| self.explain_owner(cx, view, id, owner))
                    .collect(),
            }
        });
        rows.collect()
    }

    /// Returns why a request would not be sent to an upstream.
    fn left_out(
        &self,
        cx: &Cx<'_>,
        view: &View,
        service: &ServiceView,
        req: &Request,
        id: &UpstreamId,
        primary: bool,
    ) -> Vec<LeftOut> {
        let needs_primary = may_write(req) || needs_newest(req);
        let mut left_out = Vec::new();
        if needs_primary && !primary {
            left_out.push(LeftOut::new("not-primary"));
        }
        let (failures, checks) = (&self.failures, &self.checks);
        let obstacle = failures.read_obstacle(cx.now, view, checks, service, id, needs_primary);
        let usable = self.usable_upstreams(cx, view, service, needs_primary);
        if let Some(obstacle) = obstacle {
            left_out.push(LeftOut::from_obstacle(cx, obstacle));
        } else if !needs_primary && !usable.contains(&id) {
            // Other upstreams have owners that have left no read unanswered.
            left_out.push(LeftOut::new("unanswered"));
        } else if !needs_primary {
            let loaded = failures.load_obstacle(cx.now, id);
            left_out.extend(loaded.map(|loaded| LeftOut::from_obstacle(cx, loaded)));
        }
        if left_out.is_empty() {
            left_out.push(LeftOut::new("not-chosen"));
        }
        left_out
    }

    fn explain_owner(
        &self,
        cx: &Cx<'_>,
        view: &View,
        upstream: &UpstreamId,
        owner: &HostId,
    ) -> ExplainedOwner {
        let (failures, checks) = (&self.failures, &self.checks);
        let obstacle = failures.owner_obstacle(cx.now, view, checks, upstream, owner);
        let unanswered = failures.unanswered_obstacle(cx.now, upstream, owner);
        let obstacles = obstacle.into_iter().chain(unanswered);
        ExplainedOwner {
            host: owner.to_string(),
            left_out: obstacles
                .map(|obstacle| LeftOut::from_obstacle(cx, obstacle))
                .collect(),
        }
    }
}

/// Returns what an effect of a new request shows to have come of it, if anything.
fn decided_by(effect: &Effect) -> Option<DryRun> {
    match effect {
        Effect::Log(LogEvent::Session(SessionLogEvent::Routed {
            upstream,
            owner,
            reason,
            ..
        })) => Some(DryRun::Sent(ExplainedTarget {
            upstream: upstream.to_string(),
            owner: owner.to_string(),
            owner_part: 0,
            reason: (*reason).to_owned(),
        })),
        Effect::Log(LogEvent::Session(SessionLogEvent::Parked { refusal, .. })) => {
            Some(DryRun::Parked(*refusal))
        }
        Effect::Answer { answer, .. } => match answer.verdict {
            Verdict::NotRun(refusal) => Some(DryRun::Refused(refusal)),
            Verdict::MayHaveRun | Verdict::Ran => None,
        },
        _ => None,
    }
}

/// Returns the traffic part that an effect sends a request to.
fn receiving_part(effect: &Effect) -> Option<PartId> {
    match effect {
        Effect::Send {
            to: PartAddr { part, .. },
            msg: Msg::Relay(RelayMsg::Run(_)),
        } => Some(*part),
        _ => None,
    }
}

/// Returns the session that a caller with a key of the workspace, or without one, would have.
fn session_for(view: &View, asked: &ExplainRequest) -> Session {
    let config = &view.config;
    let (workspace, key) = match (&asked.workspace, &asked.route) {
        (Some(name), _) => {
            let keys = config.workspaces.get(name).map(|workspace| &workspace.keys);
            let key = keys.and_then(|keys| keys.keys().next());
            // No workspace holds the empty key, so that the session is refused as one without a key.
            (name.clone(), Some(key.cloned().unwrap_or_default()))
        }
        (None, Some(_)) => (KEYLESS_WORKSPACE.into(), None),
        (None, None) => {
            let payer = config.open_routes.get(&asked.service).cloned();
            (payer.unwrap_or_else(|| KEYLESS_WORKSPACE.into()), None)
        }
    };
    Session {
        workspace,
        service: asked.service.clone(),
        route: asked.route.clone(),
        route_rules: None,
        key,
        floor: asked.floor,
        pin: None,
        unreported_transaction_loss: false,
        running_request: None,
        ending_reason: None,
    }
}

/// Returns the request as a front end would pass it on.
fn request_for(cx: &Cx<'_>, asked: &ExplainRequest) -> Request {
    Request {
        access: None,
        label: "-".into(),
        workspace: "".into(),
        service: "".into(),
        kind: asked.kind,
        in_transaction: asked.in_transaction,
        continues_transaction: false,
        rolls_back: false,
        read_only_transaction: asked.read_only_transaction,
        priority: 0,
        repeatable: asked.kind == Kind::Read && !asked.in_transaction,
        may_be_given_up: false,
        timeout: cx.settings.session.request_timeout,
        max_age: asked.max_age,
        floor: None,
        payload: Bytes::new(),
    }
}
