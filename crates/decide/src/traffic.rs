//! A traffic part: passes each event to the features that handle it.
//!
//! The part that a caller is connected to admits its requests and chooses an upstream (entry
//! side). The request is then sent to the part that holds the connections to that upstream, on this
//! host or another, which queues and runs it (owner side). The answer goes back the same way.

use std::sync::Arc;
use std::time::Instant;

use model::config::CommitRule;
use model::{CONTROL_PART, HostId, Kind, PartAddr, RequestId, SessionId};

use crate::admit::TokenAdmission;
use crate::call::Call;
use crate::caller::CallerEvent;
use crate::commit::{CommitOutcome, CommitTracker};
use crate::entry::CallerRequests;
use crate::entry::pending::roll_back_pin;
use crate::event::{AwaitCommit, ProbeResult};
use crate::owner::OwnedUpstreams;
use crate::relay::{Bounce, RelayMsg, RunRequest};
use crate::route::PreferReplicas;
use crate::session::Sessions;
use crate::{Cx, Effect, Event, Msg, Settings, View};

/// How many heartbeats a leaving part stays to send requests back: a lost message with the news that
/// it leaves is noticed at the next heartbeat, and sent again after the one that follows.
const LEAVE_NOTICE_HEARTBEATS: u32 = 3;

/// The state of a traffic part: the callers of its thread, and the upstreams that it holds
/// connections to.
#[derive(Debug)]
pub struct TrafficPart {
    view: Arc<View>,
    /// When the view was published; `None` until the first one.
    view_at: Option<Instant>,
    sessions: Sessions,
    /// Requests of this part's callers.
    entry: CallerRequests<PreferReplicas, TokenAdmission>,
    /// Requests for the upstreams that this part holds connections to.
    owners: OwnedUpstreams,
    /// Requests that have run here and whose log position is not confirmed yet.
    commits: CommitTracker,
    /// Whether this host is leaving the fleet, so that the part ends once it has no work left.
    leaving: bool,
    /// Until when a leaving part does not end even without work.
    leave_notice_until: Option<Instant>,
}

impl TrafficPart {
    /// Returns a traffic part that has just started.
    pub fn new(settings: &Settings) -> Self {
        Self {
            view: Arc::default(),
            view_at: None,
            sessions: Sessions::default(),
            entry: CallerRequests::new(
                TokenAdmission::new(settings.grant.clone()),
                settings.session.hedge.clone(),
            ),
            owners: OwnedUpstreams::default(),
            commits: CommitTracker::default(),
            leaving: false,
            leave_notice_until: None,
        }
    }

    /// Returns the moment at which the part needs an [`Event::Tick`], if any.
    pub fn wake_at(&self) -> Option<Instant> {
        [
            self.sessions.wake_at(),
            self.entry.wake_at(),
            self.owners.wake_at(),
            self.commits.wake_at(),
            self.leave_notice_until,
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Reduces one event.
    pub fn reduce(&mut self, cx: &mut Cx<'_>, event: Event) {
        match event {
            Event::Tick => self.on_tick(cx),
            Event::Caller(event) => self.on_caller_event(cx, event),
            Event::Peer {
                from,
                msg: Msg::Relay(msg),
            } => self.on_relay_msg(cx, from, msg),
            Event::Peer {
                from,
                msg: Msg::AckStop(msg),
            } => self.owners.on_ack_stop_msg(cx, &from, msg),
            Event::Undelivered {
                to,
                msg: Msg::Relay(msg),
            } => self.on_undelivered(cx, &to, msg),
            Event::LinkDown(host) => self.on_link_down(cx, &host),
            Event::Conn(event) => self.owners.on_conn_event(cx, &self.view, event),
            Event::UpstreamProbed(probed) => self.on_upstream_probed(cx, probed),
            Event::TokenGrant(grant) => {
                self.entry
                    .on_token_grant(cx, &self.view, &mut self.sessions, &grant)
            }
            Event::AwaitCommit(wait) => self.on_await_commit(cx, wait),
            Event::AckLease {
                lease,
                leader_has_same_facts,
            } => {
                let known_view = leader_has_same_facts.then_some(&self.view);
                self.owners.on_ack_lease(cx, lease, known_view);
            }
            Event::QueryAnswered { id, result } => {
                // The query was sent by either `owners` or `commits`.
                if !self.owners.on_query_reply(cx, &self.view, id, &result) {
                    let resolved = self.commits.on_query_reply(cx, id, result);
                    self.answer_resolved_writes(cx, resolved);
                }
            }
            Event::View(view) => self.on_view(cx, view),
            Event::Call {
                id,
                call: Call::Explain(request),
            } => {
                let view_age = self.view_at.map(|at| cx.now.saturating_duration_since(at));
                let explanation =
                    self.entry
                        .explain(cx, &self.view, view_age, &self.sessions, &request);
                let explanation = Box::new(explanation);
                let event = Box::new(Event::Explained { id, explanation });
                let part = CONTROL_PART;
                cx.emit(Effect::ForwardEvent { part, event });
            }
            Event::Leave => self.start_leaving(cx),
            Event::LeaveTimedOut => self.answer_all(cx),
            Event::Peer { .. }
            | Event::Undelivered { .. }
            | Event::Call { .. }
            | Event::Explained { .. }
            | Event::PromotionAnswered { .. }
            | Event::TokenDemand(_)
            | Event::Persisted(_)
            | Event::FactLearned(_)
            | Event::TablesChanged
            | Event::Committed(_)
            | Event::SeedsChanged(_)
            | Event::TrafficDrained => {}
        }
        self.entry.report_token_demand(cx);
        if self.leaving && self.is_drained() {
            cx.emit(Effect::PartDrained);
        }
    }

    fn on_tick(&mut self, cx: &mut Cx<'_>) {
        self.leave_notice_until.take_if(|until| *until <= cx.now);
        self.sessions.on_tick(cx);
        self.entry.on_tick(cx, &self.view, &mut self.sessions);
        self.owners.on_tick(cx);
        self.owners.ask_replicas(cx, &self.view);
        self.owners.refresh_positions(cx, &self.view);
        let resolved = self.commits.on_tick(cx);
        self.answer_resolved_writes(cx, resolved);
    }

    fn on_caller_event(&mut self, cx: &mut Cx<'_>, event: CallerEvent) {
        match event {
            CallerEvent::Login { session, login } => {
                self.sessions.on_login(cx, &self.view, session, login);
            }
            CallerEvent::Request { session, id, req } => {
                let id = (session, id);
                self.entry
                    .on_request(cx, &self.view, &mut self.sessions, id, req);
            }
            CallerEvent::Closed { session } => self.on_caller_gone(cx, session),
        }
    }

    /// Cancels the requests of a caller that is gone, and rolls its open transaction back.
    fn on_caller_gone(&mut self, cx: &mut Cx<'_>, session: SessionId) {
        self.entry.cancel_session(cx, session);
        let pin = self.sessions.remove(session).and_then(|s| s.pin);
        roll_back_pin(cx, pin);
    }

    fn on_relay_msg(&mut self, cx: &mut Cx<'_>, from: PartAddr, msg: RelayMsg) {
        self.entry.on_heard(cx, &from);
        match msg {
            RelayMsg::Run(run) => self.on_run(cx, from, *run, false),
            RelayMsg::Cancel { id } => self.owners.on_cancel(cx, &from, id),
            RelayMsg::Unpin { upstream, pin } => {
                self.owners.on_unpin(cx, &from, &upstream, pin);
            }
            RelayMsg::Answer { id, answer, pin } => {
                self.entry
                    .on_answer(cx, &mut self.sessions, id, answer, pin);
            }
            RelayMsg::Position(msg) => self.owners.on_position_msg(cx, &self.view, &from, msg),
            RelayMsg::Bounce { id, why } => self.on_bounce(cx, &from, id, why),
            RelayMsg::Forward(read) => self.on_run(cx, read.origin, read.run, true),
            RelayMsg::Forwarded {
                id,
                upstream,
                owner,
            } => self.entry.on_forwarded(cx, &from, id, upstream, owner),
            RelayMsg::Failed { id, answer } => {
                self.entry
                    .on_failed(cx, &self.view, &mut self.sessions, id, answer);
            }
            RelayMsg::Load { upstream, report } => {
                self.owners
                    .on_load_report(cx, &self.view, &from, &upstream, report);
            }
        }
    }

    /// Passes a request to the queue of its upstream, or bounces it.
    ///
    /// It is bounced if the configuration no longer allows it, or if it is a write that could not
    /// be confirmed.
    fn on_run(&mut self, cx: &mut Cx<'_>, from: PartAddr, run: RunRequest, forwarded: bool) {
        // This host may have a newer configuration in force than the sender had.
        let access = run.req.access.as_ref().filter(|_| run.pin.is_none());
        let refusal = access.and_then(|access| access.refusal_under(&self.view.config, &run.req));
        if let Some(refusal) = refusal {
            let (id, why) = (run.id, Bounce::Refused(refusal));
            return cx.send(from, RelayMsg::Bounce { id, why });
        }
        let new_write = run.req.kind == Kind::Write && run.pin.is_none();
        if new_write && !self.commits.can_confirm(cx, &self.view, &run.req.service) {
            let (id, why) = (run.id, Bounce::Unavailable);
            return cx.send(from, RelayMsg::Bounce { id, why });
        }
        if new_write
            && !self
                .owners
                .may_acknowledge(cx, &self.view, &run.req.service)
        {
            let (id, why) = (run.id, Bounce::NotPrimary { primary: None });
            return cx.send(from, RelayMsg::Bounce { id, why });
        }
        if !forwarded && self.owners.forward_read(cx, &self.view, &from, &run) {
            return;
        }
        self.owners.on_run(cx, &self.view, from, run);
    }

    fn on_bounce(&mut self, cx: &mut Cx<'_>, from: &PartAddr, id: RequestId, why: Bounce) {
        self.entry
            .on_bounce(cx, &self.view, &mut self.sessions, from, id, why);
    }

    /// Handles a request that could not be sent, as if its owner had bounced it.
    fn on_undelivered(&mut self, cx: &mut Cx<'_>, to: &PartAddr, msg: RelayMsg) {
        match msg {
            RelayMsg::Run(run) => self.on_bounce(cx, to, run.id, Bounce::Unavailable),
            RelayMsg::Forward(read) => self.owners.on_forward_undelivered(cx, to, *read),
            _ => {}
        }
    }

    fn on_link_down(&mut self, cx: &mut Cx<'_>, host: &HostId) {
        self.entry
            .on_link_down(cx, &self.view, &mut self.sessions, host);
        self.owners.on_link_down(cx, host);
    }

    fn on_upstream_probed(&mut self, cx: &mut Cx<'_>, probed: ProbeResult) {
        let resolved = self.commits.on_probed(cx, &self.view, &probed);
        self.answer_resolved_writes(cx, resolved);
        self.owners.on_probed(cx, probed);
    }

    fn on_await_commit(&mut self, cx: &mut Cx<'_>, wait: AwaitCommit) {
        let service = self.view.config.services.get(&wait.service);
        let rule = if wait.confirm_term_only {
            CommitRule::Primary
        } else {
            service.map(|service| service.commit).unwrap_or_default()
        };
        let resolved = self.commits.track(
            cx,
            &self.view,
            wait.ticket,
            &wait.service,
            rule,
            &wait.upstream,
            wait.position,
            wait.deadline,
        );
        self.answer_resolved_writes(cx, resolved);
    }

    /// Sends the answers of requests whose confirmation has succeeded or failed.
    fn answer_resolved_writes(&mut self, cx: &mut Cx<'_>, resolved: Vec<CommitOutcome>) {
        for CommitOutcome { ticket, confirmed } in resolved {
            self.owners.on_commit_outcome(cx, ticket, confirmed);
        }
    }

    fn on_view(&mut self, cx: &mut Cx<'_>, view: Arc<View>) {
        self.view = view;
        self.view_at = Some(cx.now);
        let resolved = self.commits.on_view(cx, &self.view);
        self.answer_resolved_writes(cx, resolved);
        self.sessions.on_view(cx, &self.view);
        self.owners.on_view(cx, &self.view);
        self.owners.refresh_positions(cx, &self.view);
        self.entry.on_view(cx, &self.view, &mut self.sessions);
    }

    /// Admits no new sessions, and ends each present one as soon as it has no open transaction.
    ///
    /// Other hosts go on sending requests until they know that this one leaves.
    fn start_leaving(&mut self, cx: &mut Cx<'_>) {
        self.leaving = true;
        let notice = cx.settings.spread.heartbeat * LEAVE_NOTICE_HEARTBEATS;
        self.leave_notice_until = Some(cx.now + notice);
        self.sessions.on_leave(cx);
        self.owners.start_leaving(cx);
    }

    /// Answers every caller, since the thread of this part ends soon.
    fn answer_all(&mut self, cx: &mut Cx<'_>) {
        self.sessions.end_transactions(cx);
        self.entry.answer_all(cx, &mut self.sessions);
    }

    /// Returns whether no session and no request is left, and none is to be expected.
    fn is_drained(&self) -> bool {
        self.leave_notice_until.is_none()
            && self.sessions.is_empty()
            && self.entry.is_empty()
            && self.owners.is_drained()
    }
}
