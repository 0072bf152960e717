//! How new stores bootstrap a cluster, and how a new store joins an existing one.

use std::collections::BTreeSet;
use std::sync::Arc;

use model::HostId;

use crate::Cx;
use crate::raft::Raft;
use crate::raft::entry::{EntryId, Snapshot, StoreId};
use crate::raft::log::RaftLog;
use crate::raft::log_event::RaftLogEvent;
use crate::raft::member::{Member, Membership};
use crate::raft::msg::{MemberMsg, RaftMsg};
use crate::replicated_state::ReplicatedState;

/// Number of heartbeat intervals between two `Discover` messages of a store that belongs to no
/// cluster.
const DISCOVER_INTERVAL_HEARTBEATS: u32 = 4;

/// Last entry that the initial snapshot of a new cluster covers.
const BOOTSTRAP_ENTRY: EntryId = EntryId { term: 1, index: 1 };

impl Raft {
    /// Sends `Discover` to the founders, and bootstraps the cluster once all their stores are known
    /// to be new.
    ///
    /// Only the first founder by name bootstraps, and only on replies to its own store's
    /// `Discover`: these are younger than this store. If an earlier store of this host had
    /// bootstrapped a cluster and committed anything, one of the replies would show that cluster.
    pub(crate) fn discover_founders(&mut self, cx: &mut Cx<'_>) {
        if cx.now < self.next_discover_at {
            return;
        }
        self.next_discover_at = cx.now + cx.settings.raft.heartbeat * DISCOVER_INTERVAL_HEARTBEATS;
        for host in self.founders.clone() {
            if host != self.me.host {
                self.send_discover(cx, &host);
            }
        }
        self.bootstrap_if_ready(cx);
    }

    /// Sends `Discover` to all members, in case this store has been removed and must be added
    /// again.
    pub(crate) fn discover_members(&self, cx: &mut Cx<'_>) {
        for member in self.membership.members() {
            if member.host != self.me.host {
                self.send_discover(cx, &member.host);
            }
        }
    }

    /// Asks a host for its store and cluster, and shows it this store and its cluster.
    pub(crate) fn send_discover(&self, cx: &mut Cx<'_>, host: &HostId) {
        let envelope = self.envelope(0, MemberMsg::Discover);
        cx.send_control(host, RaftMsg::Member(envelope));
    }

    /// Replies with this store and its cluster, and records the sender's store.
    pub(crate) fn on_discover(
        &mut self,
        cx: &mut Cx<'_>,
        host: HostId,
        cluster: StoreId,
        store: StoreId,
    ) {
        let leader = self.leader();
        let envelope = self.envelope(store, MemberMsg::DiscoverReply { leader });
        cx.send_control(&host, RaftMsg::Member(envelope));
        self.record_seen_store(cx, host, cluster, store);
    }

    /// Records the replying store; a store without a cluster also asks the leader that the reply
    /// names.
    pub(crate) fn on_discover_reply(
        &mut self,
        cx: &mut Cx<'_>,
        host: HostId,
        cluster: StoreId,
        store: StoreId,
        leader: Option<HostId>,
    ) {
        if self.has_no_cluster()
            && let Some(leader) = leader
            && !self.founders.contains(&leader)
        {
            self.send_discover(cx, &leader);
        }
        if self.has_no_cluster() && cluster == 0 {
            self.stores_without_cluster.insert(host.clone(), store);
            self.bootstrap_if_ready(cx);
        } else {
            self.stores_without_cluster.remove(&host);
        }
        self.record_seen_store(cx, host, cluster, store);
    }

    /// Records a store that the leader may add as a learner; forgets a store of another cluster.
    fn record_seen_store(
        &mut self,
        cx: &mut Cx<'_>,
        host: HostId,
        cluster: StoreId,
        store: StoreId,
    ) {
        let ours = cluster != 0 && cluster == self.membership.cluster;
        if cluster == 0 || ours {
            self.seen_stores.insert(host, (store, cx.now));
        } else {
            self.seen_stores.remove(&host);
        }
        self.propose_membership_change(cx);
    }

    /// Bootstraps a cluster of all founders, if this is the first of them and all their stores are
    /// known to be new.
    fn bootstrap_if_ready(&mut self, cx: &mut Cx<'_>) {
        let is_first_founder = self.founders.iter().min() == Some(&self.me.host);
        // A store that has seen a term was asked for its vote by an existing cluster.
        let is_new = self.hard_state.term == 0;
        if !is_first_founder || !is_new || !cx.settings.raft.found {
            return;
        }
        let others = self.founders.iter().filter(|host| **host != self.me.host);
        let others: Option<BTreeSet<Member>> = others
            .map(|host| {
                let store = *self.stores_without_cluster.get(host)?;
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
            last_included: BOOTSTRAP_ENTRY,
            membership,
            replicated_state: ReplicatedState::default(),
        });
        self.log = RaftLog::new(BOOTSTRAP_ENTRY, Vec::new());
        self.write_batcher.replace_log(snapshot.clone(), Vec::new());
        self.commit_index = BOOTSTRAP_ENTRY.index;
        self.last_applied = BOOTSTRAP_ENTRY.index;
        self.snapshot = Some(snapshot);
        self.seen_stores.clear();
        self.refresh_membership();
        self.start_pre_vote(cx);
    }
}
