//! The state machine that consensus replicates: configuration, patches and share indexes.

pub mod control_client;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use model::config::Replacement;
use model::{Config, ConfigVersion, HostId};
use serde::{Deserialize, Serialize};

use crate::call::{Patch, PatchOutcome};
use crate::grant::ShareIndex;
use crate::raft::{LogIndex, PromotionTicket};

/// How many patches are remembered, so that resent ones are recognised.
pub const REMEMBERED_PATCHES: usize = 10_000;

/// Something that consensus has settled.
#[derive(Clone, Debug)]
pub enum Committed {
    /// A configuration is committed.
    Config(Arc<Config>),
    /// A promotion order to the platform is committed and has its number.
    PromotionOrder {
        /// The number, which rises from order to order.
        index: LogIndex,
        /// The order.
        ticket: PromotionTicket,
    },
    /// The share indexes of hosts, which decide on their base shares.
    ShareIndexes(Arc<BTreeMap<HostId, ShareIndex>>),
    /// A quorum has confirmed a version as current.
    Confirmed {
        /// The version.
        version: ConfigVersion,
        /// The moment from which it was known to be current.
        at: Instant,
    },
}

/// A committed patch and its outcome, kept to recognise the patch when it is sent again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct RecordedPatch {
    patch: Arc<Patch>,
    outcome: PatchOutcome,
}

/// The configuration and the last patches, the same on every member after the same entries.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicatedState {
    config: Arc<Config>,
    remembered: VecDeque<RecordedPatch>,
    share_indexes: BTreeMap<HostId, ShareIndex>,
    document: Option<Bytes>,
}

impl ReplicatedState {
    /// Returns the configuration.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// Returns the hosts that can have a base share, and the share index of each.
    pub fn share_indexes(&self) -> &BTreeMap<HostId, ShareIndex> {
        &self.share_indexes
    }

    /// Gives a host the next share index, unless it has one.
    pub fn assign_share_index(&mut self, host: &HostId) {
        let next = ShareIndex::try_from(self.share_indexes.len()).unwrap_or(ShareIndex::MAX);
        self.share_indexes.entry(host.clone()).or_insert(next);
    }

    /// Returns the last document that replaced the configuration.
    pub fn document(&self) -> Option<&Bytes> {
        self.document.as_ref()
    }

    /// Applies a committed replacement unless its version has been reached.
    pub fn replace(&mut self, replacement: &Replacement) {
        if replacement.config.version > self.config.version {
            self.config = Arc::new(replacement.config.clone());
            self.document = Some(replacement.document.clone());
        }
    }

    /// Applies a committed patch, and returns its outcome.
    pub fn apply(&mut self, patch: &Arc<Patch>) -> PatchOutcome {
        if let Some(known) = self.known(patch) {
            return known;
        }
        let outcome = self.decide(patch);
        self.remember(patch.clone(), outcome.clone());
        outcome
    }

    /// Returns the outcome of a patch whose id has been used.
    fn known(&self, patch: &Patch) -> Option<PatchOutcome> {
        let first = self
            .remembered
            .iter()
            .rev()
            .find(|known| known.patch.id == patch.id)?;
        if *first.patch == *patch {
            return Some(first.outcome.clone());
        }
        Some(PatchOutcome::IdReused)
    }

    fn decide(&mut self, patch: &Patch) -> PatchOutcome {
        if patch.base != self.config.version {
            return PatchOutcome::Stale(self.config.version);
        }
        match self.config.apply(&patch.changes) {
            Ok(next) => {
                self.config = Arc::new(next);
                PatchOutcome::Accepted(self.config.version)
            }
            Err(bad) => PatchOutcome::Bad(bad),
        }
    }

    fn remember(&mut self, patch: Arc<Patch>, outcome: PatchOutcome) {
        self.remembered.push_back(RecordedPatch { patch, outcome });
        if self.remembered.len() > REMEMBERED_PATCHES {
            self.remembered.pop_front();
        }
    }

    /// Returns the remembered patches that made the versions after one.
    pub fn history(&self, after: ConfigVersion) -> Vec<(ConfigVersion, Patch)> {
        self.remembered
            .iter()
            .filter_map(|known| match known.outcome {
                PatchOutcome::Accepted(version) if version > after => {
                    Some((version, Patch::clone(&known.patch)))
                }
                _ => None,
            })
            .collect()
    }
}
