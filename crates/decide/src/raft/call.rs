//! Operators' calls at the leader, and what they wait for.

use std::sync::Arc;
use std::time::Instant;

use model::config::Replacement;
use model::{ConfigVersion, HostId};

use crate::Cx;
use crate::call::{Call, PatchOutcome, Reply};
use crate::raft::entry::{EntryData, LogIndex};
use crate::raft::leader::Leader;
use crate::raft::msg::{ForwardId, Forwarded, RaftMsg, Round};
use crate::raft::{Raft, Role};

/// A call that waits at the leader.
#[derive(Debug)]
pub(crate) struct Waiting {
    from: HostId,
    id: ForwardId,
    until: Instant,
    wants: Wants,
}

/// What a call waits for.
#[derive(Debug)]
enum Wants {
    /// A patch to be applied.
    Patch(LogIndex),
    /// A replacement to be applied.
    Replace(LogIndex),
    /// A round that shows that this member still leads.
    Read(Round, Read),
    /// A host to be a voter.
    Add(HostId),
    /// A host to be no member.
    Remove(HostId),
}

/// What is read.
#[derive(Debug)]
enum Read {
    Config,
    Document,
    Version,
    History(ConfigVersion),
}

impl Waiting {
    /// Returns the host that it wants added.
    pub(crate) fn adds(&self) -> Option<&HostId> {
        match &self.wants {
            Wants::Add(host) => Some(host),
            _ => None,
        }
    }

    /// Returns the host that it wants removed.
    pub(crate) fn removes(&self) -> Option<&HostId> {
        match &self.wants {
            Wants::Remove(host) => Some(host),
            _ => None,
        }
    }

    fn answer(&self, cx: &mut Cx<'_>, answer: Forwarded) {
        let id = self.id;
        cx.send_control(&self.from, RaftMsg::Forwarded { id, answer });
    }

    fn reply(&self, cx: &mut Cx<'_>, reply: Reply) {
        self.answer(cx, Forwarded::Reply(Box::new(reply)));
    }
}

impl Leader {
    /// Sends all that waits to look for another leader.
    pub(crate) fn dismiss(&self, cx: &mut Cx<'_>) {
        for call in &self.waiting {
            call.answer(cx, Forwarded::NotLeader(None));
        }
    }
}

impl Raft {
    /// Takes a call that a host has passed on.
    pub(crate) fn on_forward(&mut self, cx: &mut Cx<'_>, from: HostId, id: ForwardId, call: Call) {
        if !self.is_leader() {
            let answer = Forwarded::NotLeader(self.leader());
            cx.send_control(&from, RaftMsg::Forwarded { id, answer });
            return;
        }
        match call {
            Call::Patch(patch) => {
                let patch = Arc::new(patch);
                if let Some(index) = self.append_own(EntryData::Patch(patch)) {
                    self.wait(cx, from, id, Wants::Patch(index));
                    self.replicate(cx);
                    self.advance_commit(cx);
                }
            }
            Call::Replace(replacement) => self.replace(cx, from, id, *replacement),
            Call::Document => self.read(cx, from, id, Read::Document),
            Call::Config => self.read(cx, from, id, Read::Config),
            Call::History { after } => self.read(cx, from, id, Read::History(after)),
            Call::AddVoter { host } => {
                self.say_hello(cx, &host);
                self.wait(cx, from, id, Wants::Add(host));
                self.answer_changes(cx);
                self.change_membership(cx);
            }
            Call::RemoveVoter { host } => {
                if self
                    .membership
                    .voters
                    .iter()
                    .all(|voter| voter.host == host)
                {
                    let reply = Reply::Refused("the last voter can't be removed".to_owned());
                    let answer = Forwarded::Reply(Box::new(reply));
                    cx.send_control(&from, RaftMsg::Forwarded { id, answer });
                    return;
                }
                self.wait(cx, from, id, Wants::Remove(host));
                self.answer_changes(cx);
                self.change_membership(cx);
            }
            Call::Status | Call::Announce(_) | Call::Withdraw(_) => {}
        }
    }

    /// Appends a replacement, unless what is held already makes it void.
    fn replace(&mut self, cx: &mut Cx<'_>, from: HostId, id: ForwardId, with: Replacement) {
        if with.config.version <= self.replicated_state.config().version {
            return self.read(cx, from, id, Read::Version);
        }
        if let Some(index) = self.append_own(EntryData::Replace(Arc::new(with))) {
            self.wait(cx, from, id, Wants::Replace(index));
            self.replicate(cx);
            self.advance_commit(cx);
        }
    }

    /// Answers the call that waits for a replacement.
    pub(crate) fn answer_replaced(&mut self, cx: &mut Cx<'_>, index: LogIndex) {
        let version = self.replicated_state.config().version;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        leader.waiting.retain(|call| {
            let mine = matches!(call.wants, Wants::Replace(at) if at == index);
            if mine {
                call.reply(cx, Reply::Replaced(version));
            }
            !mine
        });
    }

    fn wait(&mut self, cx: &Cx<'_>, from: HostId, id: ForwardId, wants: Wants) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        leader
            .waiting
            .retain(|call| call.from != from || call.id != id);
        leader.waiting.push(Waiting {
            from,
            id,
            until: cx.now + cx.settings.raft.call_timeout,
            wants,
        });
    }

    /// Answers a read after a round that starts now.
    fn read(&mut self, cx: &mut Cx<'_>, from: HostId, id: ForwardId, read: Read) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let round = leader.round + 1;
        self.wait(cx, from, id, Wants::Read(round, read));
        self.broadcast(cx);
    }

    /// Answers the reads whose round is confirmed.
    pub(crate) fn serve_reads(&mut self, cx: &mut Cx<'_>) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if self.applied < leader.first {
            return;
        }
        let confirmed = leader.confirmed.0;
        let state = &self.replicated_state;
        leader.waiting.retain(|call| {
            let reply = match &call.wants {
                Wants::Read(round, _) if *round > confirmed => return true,
                Wants::Read(_, Read::Config) => Reply::Config(state.config().as_ref().clone()),
                Wants::Read(_, Read::Document) => Reply::Document(state.document().cloned()),
                Wants::Read(_, Read::Version) => Reply::Replaced(state.config().version),
                Wants::Read(_, Read::History(after)) => Reply::History(state.history(*after)),
                _ => return true,
            };
            call.reply(cx, reply);
            false
        });
    }

    /// Answers the call that waits for a patch.
    pub(crate) fn answer_patch(&mut self, cx: &mut Cx<'_>, index: LogIndex, outcome: PatchOutcome) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        leader.waiting.retain(|call| {
            let mine = matches!(call.wants, Wants::Patch(at) if at == index);
            if mine {
                call.reply(cx, Reply::Patched(outcome.clone()));
            }
            !mine
        });
    }

    /// Answers the calls whose change of the membership is committed.
    pub(crate) fn answer_changes(&mut self, cx: &mut Cx<'_>) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if self.membership_at > self.applied {
            return;
        }
        let membership = &self.membership;
        leader.waiting.retain(|call| {
            let done = match &call.wants {
                Wants::Add(host) => membership.voters.iter().any(|voter| voter.host == *host),
                Wants::Remove(host) => membership.members().all(|member| member.host != *host),
                _ => false,
            };
            if done {
                call.reply(cx, Reply::Done);
            }
            !done
        });
    }

    /// Forgets calls that their hosts have given up.
    pub(crate) fn expire_calls(&mut self, cx: &Cx<'_>) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        leader.waiting.retain(|call| cx.now < call.until);
    }
}
