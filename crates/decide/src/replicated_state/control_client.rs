//! Sends the control calls that this host receives to the leader of consensus.

use std::collections::BTreeMap;
use std::time::Instant;

use model::{CallId, HostId};

use crate::call::{Call, Reply};
use crate::raft::{ForwardId, ForwardReply, RaftLogEvent, RaftMsg};
use crate::{Cx, Effect};

/// Sends this host's control calls to the leader, and holds those that wait for its reply.
#[derive(Debug, Default)]
pub struct ControlClient {
    /// Hosts to try in turn while the leader is unknown.
    voters: Vec<HostId>,
    /// The voter that has last replied as the leader; `None` once it has failed to.
    leader: Option<HostId>,
    pending_calls: BTreeMap<CallId, PendingCall>,
}

/// A call that waits for the leader's reply.
#[derive(Debug)]
struct PendingCall {
    call: Call,
    gives_up_at: Instant,
    retry_at: Instant,
    /// The voter that the call was last sent to.
    asked_voter: HostId,
}

impl ControlClient {
    /// Returns a client without calls; `voters` are those of the settings.
    pub fn new(voters: Vec<HostId>) -> Self {
        Self {
            voters,
            ..Self::default()
        }
    }

    /// Replaces the hosts to try; one that isn't a voter replies that it does not lead.
    pub fn set_voters(&mut self, voters: Vec<HostId>) {
        self.voters = voters;
    }

    /// Returns the moment at which the next call must be sent again or given up.
    pub fn wake_at(&self) -> Option<Instant> {
        self.pending_calls
            .values()
            .map(|call| call.retry_at.min(call.gives_up_at))
            .min()
    }

    /// Sends a call about the control state to the leader, or to a voter if no leader is known.
    pub fn on_call(&mut self, cx: &mut Cx<'_>, id: CallId, call: Call) {
        let settings = &cx.settings.raft;
        if let Call::Patch(patch) = &call
            && patch.changes.len() > settings.patch_changes
        {
            let limit = settings.patch_changes;
            let reply = Reply::Refused(format!("a patch has at most {limit} changes"));
            cx.emit(Effect::Reply { id, reply });
            return;
        }
        let voter = self.leader.clone().or_else(|| self.voters.first().cloned());
        let Some(asked_voter) = voter else {
            let reply = Reply::Unconfirmed;
            cx.emit(Effect::Reply { id, reply });
            return;
        };
        let pending_call = PendingCall {
            call,
            gives_up_at: cx.now + settings.call_timeout,
            retry_at: cx.now + settings.call_retry,
            asked_voter,
        };
        pending_call.send(cx, id);
        self.pending_calls.insert(id, pending_call);
    }

    /// Handles the reply to a forwarded call.
    ///
    /// A forwarded call reaches this client only on a host without consensus, which does not lead.
    pub fn on_msg(&mut self, cx: &mut Cx<'_>, from: &HostId, msg: RaftMsg) {
        match msg {
            RaftMsg::ForwardReply { id, reply } => self.on_forward_reply(cx, from, id, reply),
            RaftMsg::ForwardCall { id, .. } => {
                let reply = ForwardReply::NotLeader(None);
                cx.send_control(from, RaftMsg::ForwardReply { id, reply });
            }
            RaftMsg::Member(_) => {}
        }
    }

    fn on_forward_reply(
        &mut self,
        cx: &mut Cx<'_>,
        from: &HostId,
        id: ForwardId,
        reply: ForwardReply,
    ) {
        if id.incarnation != cx.me.incarnation {
            return;
        }
        let Some(pending) = self.pending_calls.get_mut(&id.call) else {
            return;
        };
        match reply {
            ForwardReply::Reply(reply) => {
                self.pending_calls.remove(&id.call);
                self.leader = Some(from.clone());
                let (id, reply) = (id.call, *reply);
                cx.emit(Effect::Reply { id, reply });
            }
            ForwardReply::NotLeader(leader) if pending.asked_voter == *from => {
                if self.leader.as_ref() == Some(from) {
                    self.leader = None;
                }
                match leader.filter(|leader| leader != from) {
                    Some(leader) => {
                        pending.asked_voter = leader;
                        pending.retry_at = cx.now + cx.settings.raft.call_retry;
                        pending.send(cx, id.call);
                    }
                    None => {
                        let retry_delay = cx.settings.raft.heartbeat;
                        pending.retry_at = pending.retry_at.min(cx.now + retry_delay);
                    }
                }
            }
            ForwardReply::NotLeader(_) => {}
        }
    }

    /// Sends calls without a reply to the next voter, and gives up those whose time is over.
    pub fn on_tick(&mut self, cx: &mut Cx<'_>) {
        let now = cx.now;
        let leader = &mut self.leader;
        self.pending_calls.retain(|id, pending| {
            if now >= pending.gives_up_at {
                cx.log(RaftLogEvent::CallUnconfirmed { call: *id });
                let (id, reply) = (*id, Reply::Unconfirmed);
                cx.emit(Effect::Reply { id, reply });
                return false;
            }
            if now >= pending.retry_at {
                leader.take_if(|leader| *leader == pending.asked_voter);
                pending.asked_voter = next_voter(&self.voters, &pending.asked_voter);
                pending.retry_at = now + cx.settings.raft.call_retry;
                pending.send(cx, *id);
            }
            true
        });
    }
}

impl PendingCall {
    fn send(&self, cx: &mut Cx<'_>, call: CallId) {
        let incarnation = cx.me.incarnation;
        let msg = RaftMsg::ForwardCall {
            id: ForwardId { incarnation, call },
            call: self.call.clone(),
        };
        cx.send_control(&self.asked_voter, msg);
    }
}

/// Returns the voter after `after`, and the first one after the last.
fn next_voter(voters: &[HostId], after: &HostId) -> HostId {
    let index = voters.iter().position(|voter| voter == after);
    let next = index.map_or(0, |index| index + 1);
    voters
        .get(next)
        .or_else(|| voters.first())
        .unwrap_or(after)
        .clone()
}
