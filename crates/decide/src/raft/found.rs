//! How new stores found a cluster, and how they join one that is there.

use std::collections::BTreeSet;
use std::sync::Arc;

use model::HostId;

use crate::Cx;
use crate::raft::Raft;
use crate::raft::entry::{Place, Snapshot, StoreId};
use crate::raft::log::Log;
use crate::raft::log_event::RaftLogEvent;
use crate::raft::member::{Member, Membership};
use crate::raft::msg::{MemberMsg, RaftMsg};
use crate::replicated_state::ReplicatedState;

/// How many heartbeats pass between two hellos of a store that belongs to no cluster.
const HELLO_HEARTBEATS: u32 = 4;

/// The place of the state that a cluster is founded with.
const FOUNDED: Place = Place { term: 1, index: 1 };

impl Raft {
    /// Says hello to the founders, and founds the cluster once all their stores are known as new.
    ///
    /// Only the first founder by name founds, and only on answers to its own store's hello: they are
    /// younger than this store. Had its host founded a cluster with an earlier store, and had that
    /// one committed anything, then one of the answers would tell.
    pub(crate) fn greet(&mut self, cx: &mut Cx<'_>) {
        if cx.now < self.hello_at {
            return;
        }
        self.hello_at = cx.now + cx.settings.raft.heartbeat * HELLO_HEARTBEATS;
        for host in self.founders.clone() {
            if host != self.me.host {
                self.say_hello(cx, &host);
            }
        }
        self.found(cx);
    }

    /// Says hello to all members, in case this store is no member any more.
    pub(crate) fn greet_members(&self, cx: &mut Cx<'_>) {
        for member in self.membership.members() {
            if member.host != self.me.host {
                self.say_hello(cx, &member.host);
            }
        }
    }

    /// Asks a host for its store.
    pub(crate) fn say_hello(&self, cx: &mut Cx<'_>, host: &HostId) {
        let envelope = self.envelope(0, MemberMsg::Hello);
        cx.send_control(host, RaftMsg::Member(envelope));
    }

    /// Answers a hello.
    pub(crate) fn on_hello(
        &mut self,
        cx: &mut Cx<'_>,
        host: HostId,
        cluster: StoreId,
        store: StoreId,
    ) {
        let leader = self.leader();
        let envelope = self.envelope(store, MemberMsg::Welcome { leader });
        cx.send_control(&host, RaftMsg::Member(envelope));
        self.meet(cx, host, cluster, store);
    }

    /// Takes the answer to a hello.
    pub(crate) fn on_welcome(
        &mut self,
        cx: &mut Cx<'_>,
        host: HostId,
        cluster: StoreId,
        store: StoreId,
        leader: Option<HostId>,
    ) {
        if self.is_blank()
            && let Some(leader) = leader
            && !self.founders.contains(&leader)
        {
            self.say_hello(cx, &leader);
        }
        if self.is_blank() && cluster == 0 {
            self.unfounded.insert(host.clone(), store);
            self.found(cx);
        } else {
            self.unfounded.remove(&host);
        }
        self.meet(cx, host, cluster, store);
    }

    /// Remembers a store that could be added.
    fn meet(&mut self, cx: &mut Cx<'_>, host: HostId, cluster: StoreId, store: StoreId) {
        let ours = cluster != 0 && cluster == self.membership.cluster;
        if cluster == 0 || ours {
            self.strangers.insert(host, (store, cx.now));
        } else {
            self.strangers.remove(&host);
        }
        self.change_membership(cx);
    }

    fn found(&mut self, cx: &mut Cx<'_>) {
        let first = self.founders.iter().min() == Some(&self.me.host);
        // A store that has seen a term was asked for its vote by a cluster that is there.
        let untouched = self.hard.term == 0;
        if !first || !untouched || !cx.settings.raft.found {
            return;
        }
        let others = self.founders.iter().filter(|host| **host != self.me.host);
        let others: Option<BTreeSet<Member>> = others
            .map(|host| {
                let store = *self.unfounded.get(host)?;
                let host = host.clone();
                Some(Member { host, store })
            })
            .collect();
        let Some(mut voters) = others else {
            return;
        };
        voters.insert(self.me.clone());
        let cluster = self.me.store;
        let count = voters.len();
        cx.log(RaftLogEvent::Founded {
            cluster,
            voters: count,
        });
        let membership = Membership {
            cluster,
            voters,
            learners: BTreeSet::new(),
        };
        let snapshot = Arc::new(Snapshot {
            place: FOUNDED,
            membership,
            replicated_state: ReplicatedState::default(),
        });
        self.log = Log::new(FOUNDED, Vec::new());
        self.writer.replace(snapshot.clone(), Vec::new());
        self.commit = FOUNDED.index;
        self.applied = FOUNDED.index;
        self.snapshot = Some(snapshot);
        self.strangers.clear();
        self.refresh_membership();
        self.ask_for_votes(cx);
    }
}
