//! A traffic part: hands each event to the feature that it concerns.

use std::sync::Arc;
use std::time::Instant;

use model::config::CommitRule;
use model::{HostId, Kind, PartAddr, RequestId, SessionId};

use crate::admit::TokenAdmission;
use crate::caller::CallerEvent;
use crate::commit::{CommitOutcome, CommitTracker};
use crate::entry::Entry;
use crate::entry::flight::release;
use crate::event::{AwaitCommit, ProbeResult};
use crate::owner::OwnedUpstreams;
use crate::relay::{Bounce, RelayMsg, Run};
use crate::route::Replicas;
use crate::session::Sessions;
use crate::{Cx, Effect, Event, Msg, Settings, View};

/// The state of a traffic part.
#[derive(Debug)]
pub struct Traffic {
    view: Arc<View>,
    sessions: Sessions,
    entry: Entry<Replicas, TokenAdmission>,
    owners: OwnedUpstreams,
    commits: CommitTracker,
    leaving: bool,
}

impl Traffic {
    /// Returns the state of a part that has just started.
    pub fn new(settings: &Settings) -> Self {
        Self {
            view: Arc::default(),
            sessions: Sessions::default(),
            entry: Entry::new(
                TokenAdmission::new(settings.grant.clone()),
                settings.session.hedge.clone(),
            ),
            owners: OwnedUpstreams::default(),
            commits: CommitTracker::default(),
            leaving: false,
        }
    }

    /// Returns the moment at which the part wants a tick, if any.
    pub fn wake_at(&self) -> Option<Instant> {
        [
            self.entry.wake_at(),
            self.owners.wake_at(),
            self.commits.wake_at(),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Reduces one event.
    pub fn reduce(&mut self, cx: &mut Cx<'_>, event: Event) {
        match event {
            Event::Tick => self.tick(cx),
            Event::Caller(event) => self.caller(cx, event),
            Event::Peer {
                from,
                msg: Msg::Relay(msg),
            } => self.relay(cx, from, msg),
            Event::Undelivered {
                msg: Msg::Relay(msg),
                ..
            } => self.undelivered(cx, msg),
            Event::LinkDown(host) => self.link_down(cx, &host),
            Event::Conn(event) => self.owners.on_conn_event(cx, &self.view, event),
            Event::UpstreamProbed(probed) => self.probed(cx, probed),
            Event::TokenGrant(feed) => {
                self.entry
                    .on_token_grant(cx, &self.view, &mut self.sessions, &feed)
            }
            Event::AwaitCommit(wait) => self.await_commit(cx, wait),
            Event::QueryAnswered { id, result } => {
                // Owners' own questions concern no commit.
                if !self.owners.on_query_reply(cx, id, &result) {
                    let resolved = self.commits.on_query_reply(cx, id, result);
                    self.resolve(cx, resolved);
                }
            }
            Event::View(view) => self.sync(cx, view),
            Event::Leave => self.leave(cx),
            Event::Peer { .. }
            | Event::Undelivered { .. }
            | Event::Call { .. }
            | Event::PromotionAnswered { .. }
            | Event::TokenDemand(_)
            | Event::Persisted(_)
            | Event::FactLearned(_)
            | Event::TablesChanged
            | Event::Committed(_)
            | Event::SeedsChanged(_)
            | Event::TrafficDrained => {}
        }
        self.entry.flush(cx);
        if self.leaving && self.is_drained() {
            cx.emit(Effect::PartDrained);
        }
    }

    fn tick(&mut self, cx: &mut Cx<'_>) {
        self.entry.tick(cx, &self.view, &mut self.sessions);
        self.owners.on_tick(cx);
        self.owners.refresh_positions(cx, &self.view);
        let resolved = self.commits.on_tick(cx);
        self.resolve(cx, resolved);
    }

    fn caller(&mut self, cx: &mut Cx<'_>, event: CallerEvent) {
        match event {
            CallerEvent::Login { session, login } => {
                self.sessions.login(cx, &self.view, session, login);
            }
            CallerEvent::Request { session, id, req } => {
                let id = (session, id);
                self.entry
                    .request(cx, &self.view, &mut self.sessions, id, req);
            }
            CallerEvent::Closed { session } => self.closed(cx, session),
        }
    }

    fn closed(&mut self, cx: &mut Cx<'_>, session: SessionId) {
        self.entry.cancel(cx, session);
        let pin = self.sessions.remove(session).and_then(|s| s.pin);
        release(cx, pin);
    }

    fn relay(&mut self, cx: &mut Cx<'_>, from: PartAddr, msg: RelayMsg) {
        match msg {
            RelayMsg::Run(run) => self.run(cx, from, *run),
            RelayMsg::Cancel { id } => self.owners.on_cancel(cx, &from, id),
            RelayMsg::Unpin { upstream, pin } => {
                self.owners.on_unpin(cx, &from, &upstream, pin);
            }
            RelayMsg::Answer { id, answer, pin } => {
                self.entry.answer(cx, &mut self.sessions, id, answer, pin);
            }
            RelayMsg::Position(msg) => self.owners.on_position_msg(cx, &self.view, &from, msg),
            RelayMsg::Bounce { id, why } => self.bounced(cx, id, why),
        }
    }

    /// Takes a request for an upstream, unless it is a write that could not be confirmed.
    fn run(&mut self, cx: &mut Cx<'_>, from: PartAddr, run: Run) {
        // This host may know of a configuration that the sender does not know yet.
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
        self.owners.on_run(cx, &self.view, from, run);
    }

    fn bounced(&mut self, cx: &mut Cx<'_>, id: RequestId, why: Bounce) {
        self.entry
            .bounced(cx, &self.view, &mut self.sessions, id, why);
    }

    /// A request that never left this host is bounced as if its owner had refused it.
    fn undelivered(&mut self, cx: &mut Cx<'_>, msg: RelayMsg) {
        if let RelayMsg::Run(run) = msg {
            self.bounced(cx, run.id, Bounce::Unavailable);
        }
    }

    fn link_down(&mut self, cx: &mut Cx<'_>, host: &HostId) {
        self.entry
            .link_down(cx, &self.view, &mut self.sessions, host);
        self.owners.on_link_down(cx, host);
    }

    fn probed(&mut self, cx: &mut Cx<'_>, probed: ProbeResult) {
        let resolved = self.commits.on_probed(cx, &self.view, &probed);
        self.resolve(cx, resolved);
        self.owners.on_probed(cx, probed);
    }

    fn await_commit(&mut self, cx: &mut Cx<'_>, wait: AwaitCommit) {
        let service = self.view.config.services.get(&wait.service);
        let rule = if wait.term_only {
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
        self.resolve(cx, resolved);
    }

    fn resolve(&mut self, cx: &mut Cx<'_>, resolved: Vec<CommitOutcome>) {
        for CommitOutcome { ticket, confirmed } in resolved {
            self.owners.on_commit_outcome(cx, ticket, confirmed);
        }
    }

    fn sync(&mut self, cx: &mut Cx<'_>, view: Arc<View>) {
        self.view = view;
        let resolved = self.commits.on_view(cx, &self.view);
        self.resolve(cx, resolved);
        self.sessions.sync(cx, &self.view);
        self.owners.on_view(cx, &self.view);
        self.owners.refresh_positions(cx, &self.view);
        self.entry.sync(cx, &self.view, &mut self.sessions);
    }

    fn leave(&mut self, cx: &mut Cx<'_>) {
        self.leaving = true;
        self.sessions.leave(cx);
        self.owners.start_leaving(cx);
    }

    fn is_drained(&self) -> bool {
        self.sessions.is_empty() && self.entry.is_empty() && self.owners.is_drained()
    }
}
