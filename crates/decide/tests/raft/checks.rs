//! What must hold after every event.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use decide::call::{PatchOutcome, Reply};
use decide::replicated_state::Committed;
use model::CallId;

use crate::harness::Sim;

impl Sim {
    /// One leader in each term of a cluster.
    pub(crate) fn check_leader(&mut self, name: &str) {
        let Some(raft) = &self.hosts[name].raft else {
            return;
        };
        if !raft.is_leader() {
            return;
        }
        let key = (raft.membership().cluster, raft.status().term);
        let known = self.leaders.entry(key).or_insert_with(|| name.into());
        assert_eq!(&**known, name, "two leaders in term {key:?}");
    }

    pub(crate) fn check_committed(&mut self, name: &str, committed: Committed) {
        let host = self.hosts.get_mut(name).unwrap();
        match committed {
            Committed::ShareIndexes(_) | Committed::PromotionOrder { .. } => {}
            Committed::Config(config) => {
                let version = config.version;
                assert!(version >= host.version, "{name} reverts to {version}");
                host.version = version;
                let now = self.now;
                let (_, known) = self
                    .configs
                    .entry(version)
                    .or_insert_with(|| (now, config.clone()));
                assert_eq!(*known, config, "{name} has another version {version}");
            }
            Committed::Confirmed { version, at } => {
                assert!(at <= self.now, "{name} confirms the future");
                host.confirmed = Some((version, at));
                let newest = self
                    .configs
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

    pub(crate) fn check_reply(&mut self, id: CallId, reply: Reply) {
        self.note(format!("reply {id}: {reply:?}"));
        let newest = self.newest();
        let asked = self.calls.get_mut(&id).unwrap();
        assert!(asked.reply.is_none(), "two replies to call {id}");
        match &reply {
            Reply::Config(config) => {
                assert!(config.version >= asked.newest_then, "a read went back");
                assert_eq!(*self.configs[&config.version].1, *config);
            }
            Reply::Patched(PatchOutcome::Accepted(version)) => {
                assert!(*version <= newest, "accepted but not committed");
            }
            _ => {}
        }
        asked.reply = Some(reply);
    }
}
