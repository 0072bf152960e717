//! The state machine that consensus replicates: configuration, patches, share indexes and
//! evacuations.
//!
//! A share index numbers a host. With it and the configuration alone, a host that is cut off knows
//! its base share: the part of each workspace's rate that it may use meanwhile.

pub mod control_client;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use evac::{Evacuations, OrderOutcome, OrderRecord, RecordedOrder};
use model::config::Replacement;
use model::{Config, ConfigVersion, HostId};
use serde::{Deserialize, Serialize};

use crate::call::{Patch, PatchOutcome};
use crate::grant::ShareIndex;
use crate::raft::{LogIndex, PromotionTicket};

/// Number of last patches that are recorded, accepted or not, so that a patch sent again gets its
/// first outcome.
pub const MAX_RECORDED_PATCHES: usize = 10_000;

/// A committed or confirmed result of consensus, for the features that depend on it.
#[derive(Clone, Debug)]
pub enum Committed {
    /// A new configuration is committed.
    Config(Arc<Config>),
    /// A promotion order to the platform is committed, which numbers it.
    PromotionOrder {
        /// Log index of the order, which is its number and rises from order to order.
        index: LogIndex,
        /// The order.
        ticket: PromotionTicket,
    },
    /// The share indexes of all hosts that can have a base share.
    ShareIndexes(Arc<BTreeMap<HostId, ShareIndex>>),
    /// A quorum has confirmed that a configuration version is current.
    ConfigConfirmed {
        /// The version.
        version: ConfigVersion,
        /// The moment at which the confirming round was started; the version was current then.
        at: Instant,
    },
    /// A new set of evacuated data centres is committed.
    Evacuations(Evacuations),
    /// The results of all entries up to this index have been raised.
    EntriesApplied(LogIndex),
}

/// A committed patch and its outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct RecordedPatch {
    patch: Arc<Patch>,
    outcome: PatchOutcome,
}

/// The replicated control state, the same on every member that has applied the same entries.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicatedState {
    config: Arc<Config>,
    /// The last patches, accepted or not, from the oldest to the newest.
    recorded_patches: VecDeque<RecordedPatch>,
    /// The share index of each host that can have a base share; never taken back.
    share_indexes: BTreeMap<HostId, ShareIndex>,
    extension: Extension,
}

/// The document of the last replacement as it was sent, if there was one, and the evacuations.
///
/// It stands in the place of a field of type `Option<Bytes>`, and the first two variants are
/// encoded as that was: stores and snapshots without evacuations are read by this version and by
/// earlier ones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
enum Extension {
    #[default]
    None,
    Document(Bytes),
    WithEvacuations {
        document: Option<Bytes>,
        orders: OrderRecord,
    },
}

/// The evacuations of a state in which none was ordered.
static NO_ORDERS: OrderRecord = OrderRecord::new();

impl ReplicatedState {
    /// Returns the configuration.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// Returns the hosts that can have a base share, and the share index of each.
    pub fn share_indexes(&self) -> &BTreeMap<HostId, ShareIndex> {
        &self.share_indexes
    }

    /// Assigns the next share index to a host, unless it has one.
    pub fn assign_share_index(&mut self, host: &HostId) {
        let next = ShareIndex::try_from(self.share_indexes.len()).unwrap_or(ShareIndex::MAX);
        self.share_indexes.entry(host.clone()).or_insert(next);
    }

    /// Returns the document of the last replacement as it was sent, if there was one.
    pub fn document(&self) -> Option<&Bytes> {
        match &self.extension {
            Extension::None => None,
            Extension::Document(document) => Some(document),
            Extension::WithEvacuations { document, .. } => document.as_ref(),
        }
    }

    fn set_document(&mut self, new: Bytes) {
        match &mut self.extension {
            Extension::WithEvacuations { document, .. } => *document = Some(new),
            extension => *extension = Extension::Document(new),
        }
    }

    /// Returns the evacuated data centres.
    pub fn evacuations(&self) -> &Evacuations {
        match &self.extension {
            Extension::WithEvacuations { orders, .. } => orders.evacuations(),
            Extension::None | Extension::Document(_) => NO_ORDERS.evacuations(),
        }
    }

    /// Applies a committed order to evacuate or restore a data centre.
    pub fn apply_order(&mut self, order: &RecordedOrder) -> OrderOutcome {
        if !matches!(self.extension, Extension::WithEvacuations { .. }) {
            self.extension = Extension::WithEvacuations {
                document: self.document().cloned(),
                orders: OrderRecord::new(),
            };
        }
        match &mut self.extension {
            Extension::WithEvacuations { orders, .. } => orders.apply(order),
            Extension::None | Extension::Document(_) => OrderOutcome::Unchanged,
        }
    }

    /// Applies a committed replacement if its version is above the current one.
    pub fn apply_replacement(&mut self, replacement: &Replacement) {
        if replacement.config.version > self.config.version {
            self.config = Arc::new(replacement.config.clone());
            self.set_document(replacement.document.clone());
        }
    }

    /// Applies a committed patch and returns its outcome; a patch sent again changes nothing.
    pub fn apply_patch(&mut self, patch: &Arc<Patch>) -> PatchOutcome {
        if let Some(outcome) = self.recorded_outcome(patch) {
            return outcome;
        }
        let outcome = self.apply_new_patch(patch);
        self.record(patch.clone(), outcome.clone());
        outcome
    }

    /// Returns the outcome of a patch whose id is recorded: `IdReused` if its content differs.
    fn recorded_outcome(&self, patch: &Patch) -> Option<PatchOutcome> {
        let first = self
            .recorded_patches
            .iter()
            .rev()
            .find(|recorded| recorded.patch.id == patch.id)?;
        if *first.patch == *patch {
            return Some(first.outcome.clone());
        }
        Some(PatchOutcome::IdReused)
    }

    fn apply_new_patch(&mut self, patch: &Patch) -> PatchOutcome {
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

    fn record(&mut self, patch: Arc<Patch>, outcome: PatchOutcome) {
        self.recorded_patches
            .push_back(RecordedPatch { patch, outcome });
        if self.recorded_patches.len() > MAX_RECORDED_PATCHES {
            self.recorded_patches.pop_front();
        }
    }

    /// Returns the recorded patches that made the versions after `after`, each with its version.
    pub fn history(&self, after: ConfigVersion) -> Vec<(ConfigVersion, Patch)> {
        self.recorded_patches
            .iter()
            .filter_map(|recorded| match recorded.outcome {
                PatchOutcome::Accepted(version) if version > after => {
                    Some((version, Patch::clone(&recorded.patch)))
                }
                _ => None,
            })
            .collect()
    }
}
