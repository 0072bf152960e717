//! Sends the control calls that this host receives to the leader of the quorum.

use std::collections::BTreeMap;
use std::time::Instant;

use model::{CallId, HostId};

use crate::call::{Call, Reply};
use crate::raft::{ForwardId, ForwardReply, RaftLogEvent, RaftMsg};
use crate::{Cx, Effect};

/// Sends this host's control calls to the leader, and holds those that wait for its reply.
#[derive(Debug, Default)]
pub struct ControlClient {
    voters: Vec<HostId>,
    leader: Option<HostId>,
    pending: BTreeMap<CallId, Pending>,
}

/// A call that waits for the leader's reply.
#[derive(Debug)]
struct Pending {
    call: Call,
    gives_up_at: Instant,
    tries_again_at: Instant,
    asked: HostId,
}

impl ControlClient {
    /// Returns a client that starts with the voters of the settings.
    pub fn new(voters: Vec<HostId>) -> Self {
        Self {
            voters,
            ..Self::default()
        }
    }

    /// Replaces the hosts that may be voters.
    pub fn set_voters(&mut self, voters: Vec<HostId>) {
        self.voters = voters;
    }

    /// Returns the moment at which it wants a tick.
    pub fn wake_at(&self) -> Option<Instant> {
        self.pending
            .values()
            .map(|pending| pending.tries_again_at.min(pending.gives_up_at))
            .min()
    }

    /// Takes a call about the control state.
    pub fn on_call(&mut self, cx: &mut Cx<'_>, id: CallId, call: Call) {
        let settings = &cx.settings.raft;
        if let Call::Patch(patch) = &call
            && patch.changes.len() > settings.patch_changes
        {
            let most = settings.patch_changes;
            let reply = Reply::Refused(format!("a patch has at most {most} changes"));
            cx.emit(Effect::Reply { id, reply });
            return;
        }
        let first = self.leader.clone().or_else(|| self.voters.first().cloned());
        let Some(asked) = first else {
            let reply = Reply::Unconfirmed;
            cx.emit(Effect::Reply { id, reply });
            return;
        };
        let pending = Pending {
            call,
            gives_up_at: cx.now + settings.call_timeout,
            tries_again_at: cx.now + settings.call_retry,
            asked,
        };
        pending.send(cx, id);
        self.pending.insert(id, pending);
    }

    /// Takes the answer to a call that was passed on.
    pub fn on_msg(&mut self, cx: &mut Cx<'_>, from: &HostId, msg: RaftMsg) {
        match msg {
            RaftMsg::ForwardReply { id, reply: answer } => self.on_answer(cx, from, id, answer),
            RaftMsg::ForwardCall { id, .. } => {
                let answer = ForwardReply::NotLeader(None);
                cx.send_control(from, RaftMsg::ForwardReply { id, reply: answer });
            }
            RaftMsg::Member(_) => {}
        }
    }

    fn on_answer(&mut self, cx: &mut Cx<'_>, from: &HostId, id: ForwardId, answer: ForwardReply) {
        if id.incarnation != cx.me.incarnation {
            return;
        }
        let Some(pending) = self.pending.get_mut(&id.call) else {
            return;
        };
        match answer {
            ForwardReply::Reply(reply) => {
                self.pending.remove(&id.call);
                self.leader = Some(from.clone());
                let (id, reply) = (id.call, *reply);
                cx.emit(Effect::Reply { id, reply });
            }
            ForwardReply::NotLeader(leader) if pending.asked == *from => {
                if self.leader.as_ref() == Some(from) {
                    self.leader = None;
                }
                match leader.filter(|leader| leader != from) {
                    Some(leader) => {
                        pending.asked = leader;
                        pending.tries_again_at = cx.now + cx.settings.raft.call_retry;
                        pending.send(cx, id.call);
                    }
                    None => {
                        let pause = cx.settings.raft.heartbeat;
                        pending.tries_again_at = pending.tries_again_at.min(cx.now + pause);
                    }
                }
            }
            ForwardReply::NotLeader(_) => {}
        }
    }

    /// Sends waiting calls to other voters, and gives up those whose time is over.
    pub fn on_tick(&mut self, cx: &mut Cx<'_>) {
        let now = cx.now;
        let leader = &mut self.leader;
        self.pending.retain(|id, pending| {
            if now >= pending.gives_up_at {
                cx.log(RaftLogEvent::CallUnconfirmed { call: *id });
                let (id, reply) = (*id, Reply::Unconfirmed);
                cx.emit(Effect::Reply { id, reply });
                return false;
            }
            if now >= pending.tries_again_at {
                leader.take_if(|leader| *leader == pending.asked);
                pending.asked = next_voter(&self.voters, &pending.asked);
                pending.tries_again_at = now + cx.settings.raft.call_retry;
                pending.send(cx, *id);
            }
            true
        });
    }
}

impl Pending {
    fn send(&self, cx: &mut Cx<'_>, call: CallId) {
        let incarnation = cx.me.incarnation;
        let msg = RaftMsg::ForwardCall {
            id: ForwardId { incarnation, call },
            call: self.call.clone(),
        };
        cx.send_control(&self.asked, msg);
    }
}

/// Returns the voter after one, in a circle.
fn next_voter(voters: &[HostId], after: &HostId) -> HostId {
    let at = voters.iter().position(|voter| voter == after);
    let next = at.map_or(0, |at| at + 1);
    voters
        .get(next)
        .or_else(|| voters.first())
        .unwrap_or(after)
        .clone()
}
