//! Invariants that are checked after every event.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use decide::call::{PatchOutcome, Reply};
use decide::replicated_state::Committed;
use model::CallId;

use crate::harness::Sim;

impl Sim {
    /// Checks that each term of a cluster has at most one leader.
    pub(crate) fn check_leader(&mut self, name: &str) {
        let Some(raft) = &self.hosts[name].raft else {
            return;
        };
        if !raft.is_leader() {
            return;
        }
        let key = (raft.membership().cluster, raft.status().term);
        let known = self
            .leader_by_term
            .entry(key)
            .or_insert_with(|| name.into());
        assert_eq!(&**known, name, "two leaders in term {key:?}");
    }

    /// Checks that no host goes back, that all hosts agree on each version, and that a confirmation
    /// names no version older than one known to be committed before.
    pub(crate) fn check_committed(&mut self, name: &str, committed: Committed) {
        let host = self.hosts.get_mut(name).unwrap();
        match committed {
            Committed::ShareIndexes(_)
            | Committed::PromotionOrder { .. }
            | Committed::EntriesApplied(_) => {}
            Committed::Evacuations(evacuations) => {
                let version = evacuations.version;
                let first = self.committed_evacuations.entry(version);
                let first = first.or_insert_with(|| evacuations.clone());
                assert_eq!(*first, evacuations, "{name}: evacuations {version} differ");
            }
            Committed::Config(config) => {
                let version = config.version;
                assert!(
                    version >= host.committed_version,
                    "{name} reverts to {version}"
                );
                host.committed_version = version;
                let now = self.now;
                let (_, known) = self
                    .committed_configs
                    .entry(version)
                    .or_insert_with(|| (now, config.clone()));
                assert_eq!(
                    *known, config,
                    "{name} has another content of version {version}"
                );
            }
            Committed::ConfigConfirmed { version, at } => {
                assert!(
                    at <= self.now,
                    "{name} confirms a version for a time to come"
                );
                host.confirmed = Some((version, at));
                let newest = self
                    .committed_configs
                    .iter()
                    .rev()
                    .find(|(_, (known, _))| *known < at);
                let newest = newest.map_or(0, |(version, _)| *version);
                assert!(
                    version >= newest,
                    "{name} confirms {version} where {newest} was committed"
                );
            }
        }
    }

    /// Checks that a call has one reply, a read is not stale, and an accepted patch is committed.
    pub(crate) fn check_reply(&mut self, id: CallId, reply: Reply) {
        self.trace_line(format!("reply {id}: {reply:?}"));
        let newest = self.newest_version();
        let record = self.calls.get_mut(&id).unwrap();
        assert!(record.reply.is_none(), "two replies to call {id}");
        match &reply {
            Reply::Config(config) => {
                assert!(
                    config.version >= record.newest_at_call,
                    "a read returned an older version than was committed before it"
                );
                assert_eq!(*self.committed_configs[&config.version].1, *config);
            }
            Reply::Patched(PatchOutcome::Accepted(version)) => {
                assert!(
                    *version <= newest,
                    "a patch was accepted with a version that isn't committed"
                );
            }
            _ => {}
        }
        record.reply = Some(reply);
    }
}
