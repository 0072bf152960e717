//! The control part: passes each event to the features that handle it.
//!
//! Lost primaries are replaced in one of two ways, as the setting `group.authority` says: by the
//! owners of a service's instances, with a majority of these as voters ([`Groups`]), or by the
//! leader of consensus, which orders the platform to promote one ([`QuorumAuthority`]).

use std::sync::Arc;
use std::time::Instant;

use model::{CallId, FIRST_TRAFFIC_PART, HostId, HostInfo, PartAddr, UpstreamId};

use crate::authority::{AuthorityKind, QuorumAuthority};
use crate::call::{Call, Reply};
use crate::entry::explanation::{ExplainRequest, Explanation};
use crate::grant::ReserveSite;
use crate::group::{GroupMsg, Groups};
use crate::raft::{EntryData, LogIndex, PersistentState, Raft, RaftMsg};
use crate::replicated_state::Committed;
use crate::replicated_state::control_client::ControlClient;
use crate::spread::{Seed, Spread};
use crate::tokens::TokenControl;
use crate::{Cx, Effect, Event, Msg};

/// The state of the control part.
#[derive(Debug)]
pub struct ControlPart {
    spread: Spread,
    /// Replaces primaries by a majority of a group's instances; idle if `group.authority` is
    /// `quorum`.
    groups: Groups,
    /// Replaces primaries on the leader of consensus; idle unless `group.authority` is `quorum`.
    authority: QuorumAuthority,
    /// Consensus; `None` unless this is a control host.
    raft: Option<Raft>,
    /// Index of the last log entry whose results the features of this part have handled.
    handled_entries: LogIndex,
    /// Forwards calls about the control state to the leader of consensus.
    control_client: ControlClient,
    /// Distributes the tokens of workspaces' rates over the hosts and their traffic parts.
    tokens: TokenControl,
}

impl ControlPart {
    /// Returns the control part of a host that has just started.
    ///
    /// `recovered` is what a control host's store held; `None` on any other host.
    pub fn new(
        me: &HostInfo,
        seeds: Vec<Seed>,
        recovered: Option<PersistentState>,
        now: Instant,
    ) -> Self {
        let voters: Vec<HostId> = seeds.iter().map(|seed| seed.host.clone()).collect();
        let control_client = ControlClient::new(voters.clone());
        let raft = recovered.map(|recovered| Raft::new(&me.host, voters.clone(), recovered, now));
        Self {
            spread: Spread::new(me.clone(), seeds, now),
            groups: Groups::new(),
            authority: QuorumAuthority::default(),
            raft,
            handled_entries: 0,
            control_client,
            tokens: TokenControl::new(voters),
        }
    }

    /// Returns the moment at which the part needs an [`Event::Tick`], if any.
    pub fn wake_at(&self) -> Option<Instant> {
        let raft = self.raft.as_ref().and_then(Raft::wake_at);
        [
            self.spread.wake_at(),
            self.groups.wake_at(),
            self.authority.wake_at(),
            self.control_client.wake_at(),
            self.tokens.wake_at(),
            raft,
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Reduces one event.
    pub fn reduce(&mut self, cx: &mut Cx<'_>, event: Event) {
        match event {
            Event::Tick => self.on_tick(cx),
            Event::Peer { from, msg } => self.on_peer_msg(cx, from, msg),
            Event::LinkDown(host) => self.spread.on_link_down(cx, &host),
            Event::Undelivered { to, .. } => self.spread.on_link_down(cx, &to.host),
            Event::TokenDemand(demand) => self.tokens.holder.on_token_demand(cx, &demand),
            Event::Call { id, call } => self.on_call(cx, id, call),
            Event::Explained { id, explanation } => self.on_explained(cx, id, explanation),
            Event::QueryAnswered { id, result } if quorum_replaces_primaries(cx) => {
                self.authority.on_query_reply(cx, id, result);
            }
            Event::QueryAnswered { id, result } => self.groups.on_query_reply(cx, id, result),
            Event::PromotionAnswered { order, result } => {
                self.authority.on_promotion_answered(cx, &order, result)
            }
            Event::Persisted(persisted) => {
                if let Some(raft) = &mut self.raft {
                    raft.on_persisted(cx, persisted);
                }
            }
            Event::FactLearned(fact) => self.spread.publish_fact(cx, fact),
            Event::TablesChanged => self.publish_view(cx),
            Event::Committed(committed) => self.on_committed(cx, committed),
            Event::SeedsChanged(seeds) => self.spread.set_seeds(cx, seeds),
            Event::Leave => self.spread.start_leaving(cx),
            Event::TrafficDrained => self.finish_leaving(cx),
            Event::Caller(_)
            | Event::Conn(_)
            | Event::UpstreamProbed(_)
            | Event::AwaitCommit(_)
            | Event::TokenGrant(_)
            | Event::AckLease { .. }
            | Event::LeaveTimedOut
            | Event::View(_) => {}
        }
        if quorum_replaces_primaries(cx) {
            self.sync_authority_with_raft(cx);
        }
    }

    /// Tells the authority whether this host leads, and proposes its promotion orders to the log:
    /// the index of a committed order is its number.
    ///
    /// A new leader starts only once it has handled the results of all entries that it has applied:
    /// the orders of earlier leaders may be applied in the same step as the entry by which it knows
    /// that it has caught up.
    fn sync_authority_with_raft(&mut self, cx: &mut Cx<'_>) {
        let Some(raft) = &mut self.raft else {
            return;
        };
        self.authority.set_consensus_term(raft.term());
        let has_handled_all =
            self.authority.is_leader() || self.handled_entries >= raft.last_applied();
        let is_leader = raft.is_caught_up_leader() && has_handled_all;
        self.authority.set_leader(cx, is_leader);
        for ticket in self.authority.take_tickets() {
            raft.propose(cx, EntryData::PromotionOrder(ticket));
        }
    }

    fn on_tick(&mut self, cx: &mut Cx<'_>) {
        self.spread.on_tick(cx);
        self.groups.on_tick(cx);
        self.authority.on_tick(cx);
        self.control_client.on_tick(cx);
        if let Some(raft) = &mut self.raft {
            raft.on_tick(cx);
        }
        self.tokens.on_tick(cx, self.raft.as_ref());
    }

    fn on_peer_msg(&mut self, cx: &mut Cx<'_>, from: PartAddr, msg: Msg) {
        match msg {
            Msg::Spread(msg) => self.spread.on_msg(cx, from, msg),
            Msg::Group(msg) if quorum_replaces_primaries(cx) => {
                self.report_connection_failure(cx, msg)
            }
            Msg::Group(msg) => self.groups.on_msg(cx, from, msg),
            Msg::Raft(msg) => self.on_raft_msg(cx, from.host, msg),
            Msg::Grant(msg) => self.tokens.on_msg(cx, self.raft.as_mut(), from, msg),
            Msg::AckStop(msg) => self.authority.on_ack_stop_msg(cx, &from, &msg),
            Msg::Relay(_) => {}
        }
    }

    /// Passes replies to this host's own calls to the control client, and all else to consensus.
    fn on_raft_msg(&mut self, cx: &mut Cx<'_>, from: HostId, msg: RaftMsg) {
        match &mut self.raft {
            Some(raft) if !matches!(msg, RaftMsg::ForwardReply { .. }) => {
                raft.on_msg(cx, from, msg)
            }
            _ => self.control_client.on_msg(cx, &from, msg),
        }
    }

    /// Passes an owner's report of a failed connection to the authority on the leader.
    ///
    /// Any other message is ignored: while the leader replaces primaries, owners don't agree on
    /// them.
    fn report_connection_failure(&mut self, cx: &mut Cx<'_>, msg: GroupMsg) {
        let GroupMsg::ConnectionFailed { service, upstream } = &msg else {
            return;
        };
        if self.raft.as_ref().is_some_and(Raft::is_leader) {
            self.authority.probe_now(cx, service, upstream);
        } else if let Some(leader) = self.tokens.holder.leader().cloned()
            && leader != cx.me.host
            && cx.me.is_entry_host
        {
            cx.send_control(&leader, msg);
        }
    }

    fn on_call(&mut self, cx: &mut Cx<'_>, id: CallId, call: Call) {
        match call {
            Call::Status => {
                let mut status = self.spread.fleet_status(cx.now);
                status.raft = self.raft.as_ref().map(Raft::status);
                let reply = Reply::Status(Box::new(status));
                cx.emit(Effect::Reply { id, reply });
            }
            Call::Announce(announcement) => {
                self.spread.announce(cx, announcement);
                let reply = Reply::Done;
                cx.emit(Effect::Reply { id, reply });
            }
            Call::Withdraw(upstream) => {
                self.spread.withdraw(cx, &upstream);
                let reply = Reply::Done;
                cx.emit(Effect::Reply { id, reply });
            }
            Call::Explain(request) => ask_traffic_part(cx, id, request),
            call => self.control_client.on_call(cx, id, call),
        }
    }

    /// Adds what only this part knows to a traffic part's explanation, and replies with it.
    fn on_explained(&self, cx: &mut Cx<'_>, id: CallId, mut explanation: Box<Explanation>) {
        let status = self.spread.fleet_status(cx.now);
        explanation.add_fleet_status(&status, &self.spread.cut_off);
        let reply = Reply::Explained(explanation);
        cx.emit(Effect::Reply { id, reply });
    }

    fn on_committed(&mut self, cx: &mut Cx<'_>, committed: Committed) {
        match committed {
            Committed::Config(config) => {
                self.tokens.allocator.on_config(cx, &config);
                self.spread.on_config_committed(cx, config);
            }
            Committed::PromotionOrder { index, ticket } => {
                self.authority.on_order_number(cx, index, &ticket)
            }
            Committed::Evacuations(evacuations) => {
                self.spread.on_evacuations_committed(cx, evacuations);
            }
            Committed::EntriesApplied(index) => self.handled_entries = index,
            Committed::ShareIndexes(indexes) => self.tokens.on_share_indexes(cx, &indexes),
            Committed::ConfigConfirmed { version, at } => {
                self.tokens.on_confirmed(cx, self.raft.as_ref(), at);
                self.grant_ack_lease(cx, at);
                self.spread.on_config_confirmed(cx, version, at);
            }
        }
    }

    /// Grants the lease by which acknowledgements are passed on, if this host leads and has taken
    /// over what earlier leaders have left open.
    fn grant_ack_lease(&mut self, cx: &mut Cx<'_>, at: Instant) {
        if cx.settings.group.ack_lease.is_some()
            && let Some(list) = self.authority.ack_stop_list(cx.now)
        {
            self.spread.grant_ack_lease(cx, list, at);
        }
    }

    /// Publishes a new view to the traffic parts, after the features of this part have adopted it.
    fn publish_view(&mut self, cx: &mut Cx<'_>) {
        let view = Arc::new(self.spread.view(cx.now));
        if quorum_replaces_primaries(cx) {
            let has_withdrawn = |id: &UpstreamId| self.spread.has_withdrawn(id);
            self.authority.sync(cx, &view, has_withdrawn);
        } else {
            self.groups.sync(cx, &view);
        }
        let control_hosts = self.spread.control_hosts();
        self.control_client.set_voters(control_hosts.clone());
        self.tokens.set_voters(control_hosts);
        self.tokens.holder.on_config(cx, &view.config);
        if cx.me.is_entry_host {
            let site = ReserveSite::of(cx.me, view.hosts.values());
            self.tokens.holder.set_reserve_site(cx, site);
        }
        cx.emit(Effect::PublishView(view));
    }

    /// Gives all claims on upstreams back and ends this part, once the traffic parts have finished
    /// their work.
    fn finish_leaving(&mut self, cx: &mut Cx<'_>) {
        self.groups.stop_and_unclaim(cx);
        cx.emit(Effect::PartDrained);
    }
}

/// Returns whether the leader of consensus replaces primaries, rather than the groups' owners.
fn quorum_replaces_primaries(cx: &Cx<'_>) -> bool {
    cx.settings.group.authority == AuthorityKind::Quorum
}

/// Passes a call on to the traffic part of this host that it names, the first one by default.
fn ask_traffic_part(cx: &mut Cx<'_>, id: CallId, request: ExplainRequest) {
    let part = request.part.unwrap_or(FIRST_TRAFFIC_PART);
    let last = cx.me.traffic_parts;
    if !(FIRST_TRAFFIC_PART..=last).contains(&part) {
        let reply = Reply::Refused(match last {
            0 => "this host serves no callers".to_owned(),
            _ => format!("this host has the traffic parts {FIRST_TRAFFIC_PART} to {last}"),
        });
        return cx.emit(Effect::Reply { id, reply });
    }
    let call = Call::Explain(request);
    let event = Box::new(Event::Call { id, call });
    cx.emit(Effect::ForwardEvent { part, event });
}
