//! The evacuations that one host knows of, and from when it sends nothing to each data centre.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use model::DataCentreId;

use crate::order::{EvacuationVersion, Evacuations};

/// How long after an order, at most, primaries there get requests and open transactions go on.
///
/// An order must be in force 5 s after its acknowledgement; the rest is for a request's way from
/// the owner's decision to the instance, on a host that is slow.
pub const WORK_LIMIT: Duration = Duration::from_millis(4_000);

/// The evacuations that a host keeps to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InForce {
    /// Version of the evacuations.
    pub version: EvacuationVersion,
    /// The evacuated data centres, and from when nothing at all is sent to their instances.
    ///
    /// Until then a primary there keeps its work, since it may be about to be replaced, and open
    /// transactions go on. Replicas there get no other requests from the start.
    pub closes_at: BTreeMap<DataCentreId, Instant>,
}

/// Something that a host learns of the evacuations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EvacEvent {
    /// A set that another host holds or that consensus has committed, possibly an old one.
    Learned(Evacuations),
    /// A version was current at the given moment: each later one was ordered after that.
    Confirmed {
        /// The version.
        version: EvacuationVersion,
        /// The moment.
        at: Instant,
    },
    /// A host of the same data centre holds this version.
    HeldNearby(EvacuationVersion),
}

/// What follows from an event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EvacEffect {
    /// An evacuation is in force on this host.
    Evacuated {
        /// The data centre.
        data_centre: DataCentreId,
        /// Time until nothing at all is sent to its instances.
        closes_in: Duration,
    },
    /// An evacuation is no longer in force on this host.
    Restored {
        /// The data centre.
        data_centre: DataCentreId,
    },
    /// The new version must be sent to the hosts that may lack it.
    Forward,
}

/// One host's state of the evacuations.
#[derive(Debug, Default)]
pub struct HostEvacuations {
    in_force: Arc<InForce>,
    /// The latest moment at which a version no newer than the held one was known to be current.
    confirmed_at: Option<Instant>,
    /// The newest version that hosts of this data centre hold, as far as known.
    nearby_version: EvacuationVersion,
}

impl HostEvacuations {
    /// Returns the evacuations that the host keeps to.
    pub fn in_force(&self) -> &Arc<InForce> {
        &self.in_force
    }

    /// Returns the version that the host holds and keeps to.
    pub fn version(&self) -> EvacuationVersion {
        self.in_force.version
    }

    /// Returns the set to send to other hosts.
    pub fn evacuations(&self) -> Evacuations {
        Evacuations {
            version: self.in_force.version,
            data_centres: self.in_force.closes_at.keys().cloned().collect(),
        }
    }

    /// Returns whether no host of this data centre is known to hold a newer version.
    pub fn is_newest_nearby(&self) -> bool {
        self.in_force.version >= self.nearby_version
    }

    /// Reduces one event.
    pub fn reduce(&mut self, now: Instant, event: EvacEvent) -> Vec<EvacEffect> {
        match event {
            EvacEvent::Learned(evacuations) => return self.learn(now, evacuations),
            EvacEvent::Confirmed { version, at } if version <= self.in_force.version => {
                self.confirmed_at = self.confirmed_at.max(Some(at));
            }
            // The host lacks orders that may have been given before that moment.
            EvacEvent::Confirmed { .. } => {}
            EvacEvent::HeldNearby(version) => {
                self.nearby_version = self.nearby_version.max(version);
            }
        }
        Vec::new()
    }

    /// Adopts a set if it is newer than the held one.
    ///
    /// A new order was given after the held version was last known to be current. A host that has
    /// just started knows of no such moment, and sends nothing there from now on.
    fn learn(&mut self, now: Instant, new: Evacuations) -> Vec<EvacEffect> {
        if new.version <= self.in_force.version {
            return Vec::new();
        }
        let new_closes_at = self.confirmed_at.map_or(now, |at| at + WORK_LIMIT);
        let old = self.in_force.clone();
        let closes_at = |data_centre: &DataCentreId| {
            let known = old.closes_at.get(data_centre);
            known.copied().unwrap_or(new_closes_at)
        };
        let restored = old
            .closes_at
            .keys()
            .filter(|data_centre| !new.data_centres.contains(*data_centre));
        let restored = restored.cloned();
        let restored = restored.map(|data_centre| EvacEffect::Restored { data_centre });
        let evacuated = new
            .data_centres
            .iter()
            .filter(|data_centre| !old.closes_at.contains_key(*data_centre));
        let evacuated = evacuated.cloned().map(|data_centre| EvacEffect::Evacuated {
            data_centre,
            closes_in: new_closes_at.saturating_duration_since(now),
        });
        let effects = restored.chain(evacuated).chain([EvacEffect::Forward]);
        let effects = effects.collect();
        let closes_at = new
            .data_centres
            .iter()
            .map(|dc| (dc.clone(), closes_at(dc)));
        self.in_force = Arc::new(InForce {
            version: new.version,
            closes_at: closes_at.collect(),
        });
        effects
    }
}
