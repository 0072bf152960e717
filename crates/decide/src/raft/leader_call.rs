//! Operators' calls at the leader: proposes what they change, and answers them when that is
//! committed or leadership is confirmed.

use std::sync::Arc;
use std::time::Instant;

use evac::{Order, OrderId, OrderOutcome, RecordedOrder};
use model::config::Replacement;
use model::{ConfigVersion, HostId};

use crate::Cx;
use crate::call::{Call, PatchOutcome, Reply};
use crate::raft::entry::{EntryData, LogIndex};
use crate::raft::leader::LeaderState;
use crate::raft::msg::{ConfirmationRound, ForwardId, ForwardReply, RaftMsg};
use crate::raft::{Raft, RaftRole};

/// A forwarded call that the leader has not answered yet.
#[derive(Debug)]
pub(crate) struct PendingCall {
    /// The host that forwarded the call and gets the reply.
    from_host: HostId,
    id: ForwardId,
    /// When that host has given up the call.
    expires_at: Instant,
    waits_for: WaitCondition,
}

/// What must happen before a call is answered.
#[derive(Debug)]
enum WaitCondition {
    /// The patch at this index is applied.
    PatchApplied(LogIndex),
    /// The replacement of the configuration at this index is applied.
    ReplacementApplied(LogIndex),
    /// The order about a data centre at this index is applied.
    OrderApplied(LogIndex),
    /// A quorum has answered this round, which shows that the member still led when the read came.
    RoundConfirmed(ConfirmationRound, ReadQuery),
    /// The host is a voter.
    VoterAdded(HostId),
    /// The host is neither a voter nor a learner.
    MemberRemoved(HostId),
}

/// What a linearizable read returns.
#[derive(Debug)]
enum ReadQuery {
    /// The configuration.
    Config,
    /// The document of the last replacement.
    Document,
    /// The version in force, in answer to a replacement that is not newer.
    Version,
    /// The accepted patches after this version.
    History(ConfigVersion),
}

impl PendingCall {
    /// Returns the host that the call adds as a voter.
    pub(crate) fn host_to_add(&self) -> Option<&HostId> {
        match &self.waits_for {
            WaitCondition::VoterAdded(host) => Some(host),
            _ => None,
        }
    }

    /// Returns the host that the call removes.
    pub(crate) fn host_to_remove(&self) -> Option<&HostId> {
        match &self.waits_for {
            WaitCondition::MemberRemoved(host) => Some(host),
            _ => None,
        }
    }

    fn send_reply(&self, cx: &mut Cx<'_>, reply: ForwardReply) {
        let id = self.id;
        cx.send_control(&self.from_host, RaftMsg::ForwardReply { id, reply });
    }

    fn reply(&self, cx: &mut Cx<'_>, reply: Reply) {
        self.send_reply(cx, ForwardReply::Reply(Box::new(reply)));
    }
}

impl LeaderState {
    /// Tells the hosts of all pending calls to look for another leader.
    pub(crate) fn redirect_pending_calls(&self, cx: &mut Cx<'_>) {
        for call in &self.pending_calls {
            call.send_reply(cx, ForwardReply::NotLeader(None));
        }
    }
}

impl Raft {
    /// Handles a call that a host has forwarded; redirects it if this member does not lead.
    pub(crate) fn on_forward_call(
        &mut self,
        cx: &mut Cx<'_>,
        from: HostId,
        id: ForwardId,
        call: Call,
    ) {
        if !self.is_leader() {
            let reply = ForwardReply::NotLeader(self.leader());
            cx.send_control(&from, RaftMsg::ForwardReply { id, reply });
            return;
        }
        match call {
            Call::Patch(patch) => {
                let patch = Arc::new(patch);
                if let Some(index) = self.append_as_leader(EntryData::Patch(patch)) {
                    self.add_pending_call(cx, from, id, WaitCondition::PatchApplied(index));
                    self.replicate(cx);
                    self.advance_commit_index(cx);
                }
            }
            Call::Replace(replacement) => self.on_replace_call(cx, from, id, *replacement),
            Call::Evacuation(order) => self.on_evacuation_call(cx, from, id, order),
            Call::Document => self.start_read(cx, from, id, ReadQuery::Document),
            Call::Config => self.start_read(cx, from, id, ReadQuery::Config),
            Call::History { after } => self.start_read(cx, from, id, ReadQuery::History(after)),
            Call::AddVoter { host } => {
                self.send_discover(cx, &host);
                self.add_pending_call(cx, from, id, WaitCondition::VoterAdded(host));
                self.answer_membership_calls(cx);
                self.propose_membership_change(cx);
            }
            Call::RemoveVoter { host } => {
                if self
                    .membership
                    .voters
                    .iter()
                    .all(|voter| voter.host == host)
                {
                    let reply = Reply::Refused("the last voter can't be removed".to_owned());
                    let reply = ForwardReply::Reply(Box::new(reply));
                    cx.send_control(&from, RaftMsg::ForwardReply { id, reply });
                    return;
                }
                self.add_pending_call(cx, from, id, WaitCondition::MemberRemoved(host));
                self.answer_membership_calls(cx);
                self.propose_membership_change(cx);
            }
            Call::Status | Call::Announce(_) | Call::Withdraw(_) | Call::Explain(_) => {}
        }
    }

    /// Appends a replacement of the configuration; if its version is not newer, confirms the
    /// version in force instead.
    fn on_replace_call(
        &mut self,
        cx: &mut Cx<'_>,
        from: HostId,
        id: ForwardId,
        replacement: Replacement,
    ) {
        if replacement.config.version <= self.replicated_state.config().version {
            return self.start_read(cx, from, id, ReadQuery::Version);
        }
        if let Some(index) = self.append_as_leader(EntryData::Replace(Arc::new(replacement))) {
            self.add_pending_call(cx, from, id, WaitCondition::ReplacementApplied(index));
            self.replicate(cx);
            self.advance_commit_index(cx);
        }
    }

    /// Appends an order about a data centre, also one that is in force, so that a quorum confirms it.
    fn on_evacuation_call(&mut self, cx: &mut Cx<'_>, from: HostId, id: ForwardId, order: Order) {
        let order_id = OrderId {
            host: from.clone(),
            incarnation: id.incarnation,
            call: id.call,
        };
        let recorded = RecordedOrder {
            id: order_id,
            order,
        };
        if let Some(index) = self.append_as_leader(EntryData::Evacuation(recorded)) {
            self.add_pending_call(cx, from, id, WaitCondition::OrderApplied(index));
            self.replicate(cx);
            self.advance_commit_index(cx);
        }
    }

    /// Answers the call whose order about a data centre at `index` has been applied.
    pub(crate) fn answer_evacuation_call(
        &mut self,
        cx: &mut Cx<'_>,
        index: LogIndex,
        outcome: OrderOutcome,
    ) {
        let RaftRole::Leader(leader) = &mut self.role else {
            return;
        };
        let reply = match outcome {
            OrderOutcome::Changed | OrderOutcome::Unchanged => Reply::Done,
            OrderOutcome::TooMany => Reply::Refused("too many data centres are evacuated".into()),
        };
        leader.pending_calls.retain(|call| {
            let answered = matches!(call.waits_for, WaitCondition::OrderApplied(at) if at == index);
            if answered {
                call.reply(cx, reply.clone());
            }
            !answered
        });
    }

    /// Answers the call whose replacement at `index` has been applied.
    pub(crate) fn answer_replacement_call(&mut self, cx: &mut Cx<'_>, index: LogIndex) {
        let version = self.replicated_state.config().version;
        let RaftRole::Leader(leader) = &mut self.role else {
            return;
        };
        leader.pending_calls.retain(|call| {
            let answered =
                matches!(call.waits_for, WaitCondition::ReplacementApplied(at) if at == index);
            if answered {
                call.reply(cx, Reply::Replaced(version));
            }
            !answered
        });
    }

    /// Adds a pending call; a call that is sent again replaces its earlier copy.
    fn add_pending_call(
        &mut self,
        cx: &Cx<'_>,
        from_host: HostId,
        id: ForwardId,
        waits_for: WaitCondition,
    ) {
        let RaftRole::Leader(leader) = &mut self.role else {
            return;
        };
        leader
            .pending_calls
            .retain(|call| call.from_host != from_host || call.id != id);
        leader.pending_calls.push(PendingCall {
            from_host,
            id,
            expires_at: cx.now + cx.settings.raft.call_timeout,
            waits_for,
        });
    }

    /// Starts a confirmation round, after which the read is answered.
    fn start_read(&mut self, cx: &mut Cx<'_>, from: HostId, id: ForwardId, query: ReadQuery) {
        let RaftRole::Leader(leader) = &self.role else {
            return;
        };
        let round = leader.newest_round + 1;
        self.add_pending_call(cx, from, id, WaitCondition::RoundConfirmed(round, query));
        self.broadcast_new_round(cx);
    }

    /// Answers the reads whose round a quorum has confirmed, once an entry of the own term is
    /// applied.
    pub(crate) fn answer_confirmed_reads(&mut self, cx: &mut Cx<'_>) {
        let RaftRole::Leader(leader) = &mut self.role else {
            return;
        };
        if self.last_applied < leader.noop_index {
            return;
        }
        let confirmed_round = leader.confirmed_round.0;
        let state = &self.replicated_state;
        leader.pending_calls.retain(|call| {
            let reply = match &call.waits_for {
                WaitCondition::RoundConfirmed(round, _) if *round > confirmed_round => return true,
                WaitCondition::RoundConfirmed(_, ReadQuery::Config) => {
                    Reply::Config(state.config().as_ref().clone())
                }
                WaitCondition::RoundConfirmed(_, ReadQuery::Document) => {
                    Reply::Document(state.document().cloned())
                }
                WaitCondition::RoundConfirmed(_, ReadQuery::Version) => {
                    Reply::Replaced(state.config().version)
                }
                WaitCondition::RoundConfirmed(_, ReadQuery::History(after)) => {
                    Reply::History(state.history(*after))
                }
                _ => return true,
            };
            call.reply(cx, reply);
            false
        });
    }

    /// Answers the call whose patch at `index` has been applied.
    pub(crate) fn answer_patch_call(
        &mut self,
        cx: &mut Cx<'_>,
        index: LogIndex,
        outcome: PatchOutcome,
    ) {
        let RaftRole::Leader(leader) = &mut self.role else {
            return;
        };
        leader.pending_calls.retain(|call| {
            let answered = matches!(call.waits_for, WaitCondition::PatchApplied(at) if at == index);
            if answered {
                call.reply(cx, Reply::Patched(outcome.clone()));
            }
            !answered
        });
    }

    /// Answers the calls whose change of the membership is committed.
    pub(crate) fn answer_membership_calls(&mut self, cx: &mut Cx<'_>) {
        let RaftRole::Leader(leader) = &mut self.role else {
            return;
        };
        if self.membership_index > self.last_applied {
            return;
        }
        let membership = &self.membership;
        leader.pending_calls.retain(|call| {
            let done = match &call.waits_for {
                WaitCondition::VoterAdded(host) => {
                    membership.voters.iter().any(|voter| voter.host == *host)
                }
                WaitCondition::MemberRemoved(host) => {
                    membership.members().all(|member| member.host != *host)
                }
                _ => false,
            };
            if done {
                call.reply(cx, Reply::Done);
            }
            !done
        });
    }

    /// Drops calls that the hosts that forwarded them have given up.
    pub(crate) fn drop_expired_calls(&mut self, cx: &Cx<'_>) {
        let RaftRole::Leader(leader) = &mut self.role else {
            return;
        };
        leader.pending_calls.retain(|call| cx.now < call.expires_at);
    }
}
