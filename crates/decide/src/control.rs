//! The control part: hands each event to the feature that it concerns.

use std::sync::Arc;
use std::time::Instant;

use model::{CallId, HostId, HostInfo, PartAddr};

use crate::authority::{AuthorityKind, QuorumAuthority};
use crate::call::{Call, Reply};
use crate::grant::ReserveSite;
use crate::group::{GroupMsg, Groups};
use crate::raft::{EntryData, PersistentState, Raft, RaftMsg};
use crate::replicated_state::Committed;
use crate::replicated_state::control_client::ControlClient;
use crate::spread::{Seed, Spread};
use crate::tokens::TokenControl;
use crate::{Cx, Effect, Event, Msg};

/// The state of the control part.
#[derive(Debug)]
pub struct Control {
    spread: Spread,
    groups: Groups,
    authority: QuorumAuthority,
    raft: Option<Raft>,
    control_client: ControlClient,
    tokens: TokenControl,
}

impl Control {
    /// Returns the state of a host that has just started.
    ///
    /// A voter brings what its store held; any other host brings nothing.
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
            control_client,
            tokens: TokenControl::new(voters),
        }
    }

    /// Returns the moment at which the part wants a tick, if any.
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
            Event::Tick => self.tick(cx),
            Event::Peer { from, msg } => self.peer(cx, from, msg),
            Event::LinkDown(host) => self.spread.on_link_down(cx, &host),
            Event::Undelivered { to, .. } => self.spread.on_link_down(cx, &to.host),
            Event::TokenDemand(need) => self.tokens.holder.on_token_demand(cx, &need),
            Event::Call { id, call } => self.call(cx, id, call),
            Event::QueryAnswered { id, result } if has_authority(cx) => {
                self.authority.on_query_reply(cx, id, result);
            }
            Event::QueryAnswered { id, result } => self.groups.on_query_reply(cx, id, result),
            Event::PromotionAnswered { order, result } => {
                self.authority.on_promotion_answered(cx, &order, result)
            }
            Event::Persisted(stored) => {
                if let Some(raft) = &mut self.raft {
                    raft.on_persisted(cx, stored);
                }
            }
            Event::FactLearned(fact) => self.spread.publish_fact(cx, fact),
            Event::TablesChanged => self.publish(cx),
            Event::Committed(committed) => self.committed(cx, committed),
            Event::SeedsChanged(seeds) => self.spread.set_seeds(cx, seeds),
            Event::Leave => self.spread.start_leaving(cx),
            Event::TrafficDrained => self.drain(cx),
            Event::Caller(_)
            | Event::Conn(_)
            | Event::UpstreamProbed(_)
            | Event::AwaitCommit(_)
            | Event::TokenGrant(_)
            | Event::View(_) => {}
        }
        if has_authority(cx) {
            self.govern(cx);
        }
    }

    /// Lets the authority follow who leads, and numbers its orders.
    fn govern(&mut self, cx: &mut Cx<'_>) {
        let Some(raft) = &mut self.raft else {
            return;
        };
        self.authority.set_leader(cx, raft.is_caught_up_leader());
        for ticket in self.authority.take_tickets() {
            raft.propose(cx, EntryData::PromotionOrder(ticket));
        }
    }

    fn tick(&mut self, cx: &mut Cx<'_>) {
        self.spread.on_tick(cx);
        self.groups.on_tick(cx);
        self.authority.on_tick(cx);
        self.control_client.on_tick(cx);
        if let Some(raft) = &mut self.raft {
            raft.on_tick(cx);
        }
        self.tokens.on_tick(cx, self.raft.as_ref());
    }

    fn peer(&mut self, cx: &mut Cx<'_>, from: PartAddr, msg: Msg) {
        match msg {
            Msg::Spread(msg) => self.spread.on_msg(cx, from, msg),
            Msg::Group(msg) if has_authority(cx) => self.doubted(cx, msg),
            Msg::Group(msg) => self.groups.on_msg(cx, from, msg),
            Msg::Raft(msg) => self.raft_msg(cx, from.host, msg),
            Msg::Grant(msg) => self.tokens.on_msg(cx, self.raft.as_mut(), from, msg),
            Msg::Relay(_) => {}
        }
    }

    /// Answers to this host's own calls go to the control client, all else to consensus.
    fn raft_msg(&mut self, cx: &mut Cx<'_>, from: HostId, msg: RaftMsg) {
        match &mut self.raft {
            Some(raft) if !matches!(msg, RaftMsg::ForwardReply { .. }) => {
                raft.on_msg(cx, from, msg)
            }
            _ => self.control_client.on_msg(cx, &from, msg),
        }
    }

    /// Passes the doubt of an owner on to the leader.
    fn doubted(&mut self, cx: &mut Cx<'_>, msg: GroupMsg) {
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

    fn call(&mut self, cx: &mut Cx<'_>, id: CallId, call: Call) {
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
            call => self.control_client.on_call(cx, id, call),
        }
    }

    fn committed(&mut self, cx: &mut Cx<'_>, committed: Committed) {
        match committed {
            Committed::Config(config) => {
                self.tokens.allocator.on_config(cx, &config);
                self.spread.on_config_committed(cx, config);
            }
            Committed::PromotionOrder { index, ticket } => {
                self.authority.on_order_number(cx, index, &ticket)
            }
            Committed::ShareIndexes(indexes) => self.tokens.on_share_indexes(cx, &indexes),
            Committed::Confirmed { version, at } => {
                self.tokens.on_confirmed(cx, self.raft.as_ref(), at);
                self.spread.on_config_confirmed(cx, version, at);
            }
        }
    }

    fn publish(&mut self, cx: &mut Cx<'_>) {
        let view = Arc::new(self.spread.view(cx.now));
        if has_authority(cx) {
            self.authority.sync(cx, &view);
        } else {
            self.groups.sync(cx, &view);
        }
        let controls = self.spread.control_hosts();
        self.control_client.set_voters(controls.clone());
        self.tokens.set_voters(controls);
        self.tokens.holder.on_config(cx, &view.config);
        if cx.me.is_entry_host {
            let home = ReserveSite::of(cx.me, view.hosts.values());
            self.tokens.holder.set_reserve_site(cx, home);
        }
        cx.emit(Effect::PublishView(view));
    }

    /// Gives everything back, now that no traffic is left.
    fn drain(&mut self, cx: &mut Cx<'_>) {
        self.groups.stop_and_unclaim(cx);
        cx.emit(Effect::PartDrained);
    }
}

/// Returns whether the leader of consensus replaces primaries.
fn has_authority(cx: &Cx<'_>) -> bool {
    cx.settings.group.authority == AuthorityKind::Quorum
}
