//! Operators' orders to evacuate or restore a data centre, and the state that they lead to.

use std::collections::{BTreeSet, VecDeque};
use std::fmt;

use model::instance::NAME_BYTES_MAX;
use model::{CallId, DataCentreId, HostId, Incarnation};
use serde::{Deserialize, Serialize};

/// Number of effective orders so far; rises with each, so that no host goes back to earlier ones.
pub type EvacuationVersion = u64;

/// Number of last orders that are recorded, so that a late copy of one is recognised.
///
/// Copies arise while the host that forwards a call waits for its reply, which is seconds.
const RECORDED_ORDERS_MAX: usize = 256;
/// Most data centres that may be evacuated at once, which bounds the state and its messages.
const EVACUATED_MAX: usize = 256;

/// Why a data centre's name can never be valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a data centre's name has 1 to {NAME_BYTES_MAX} bytes and no control characters")]
pub struct BadDataCentre;

/// An operator's order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// Nothing more is to be sent to the data centre's instances.
    Evacuate(DataCentreId),
    /// The data centre's instances may be used again.
    Restore(DataCentreId),
}

impl Order {
    /// Returns the data centre that the order is about.
    pub fn data_centre(&self) -> &DataCentreId {
        let (Self::Evacuate(data_centre) | Self::Restore(data_centre)) = self;
        data_centre
    }

    /// Checks the name of the data centre, which no host needs to know yet.
    ///
    /// # Errors
    ///
    /// Returns an error if no instance can ever announce the name.
    pub fn check(&self) -> Result<(), BadDataCentre> {
        let name = self.data_centre();
        let len_ok = (1..=NAME_BYTES_MAX).contains(&name.len());
        if len_ok && !name.chars().any(char::is_control) {
            Ok(())
        } else {
            Err(BadDataCentre)
        }
    }
}

impl fmt::Display for Order {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Evacuate(_) => "evacuate",
            Self::Restore(_) => "restore",
        })
    }
}

/// Identifies a call that gave an order, the same in all copies that are forwarded of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderId {
    /// The host that received the call.
    pub host: HostId,
    /// Incarnation of that host.
    pub incarnation: Incarnation,
    /// Number of the call on that host.
    pub call: CallId,
}

/// An order as it stands in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedOrder {
    /// The call that gave the order.
    pub id: OrderId,
    /// The order.
    pub order: Order,
}

/// What became of a committed order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It led to a new version.
    Changed,
    /// It was in force already, or is a copy of an earlier one.
    Unchanged,
    /// It was not applied, since too many data centres are evacuated.
    TooMany,
}

/// The evacuated data centres.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    /// Number of effective orders that led to this set.
    pub version: EvacuationVersion,
    /// The evacuated data centres.
    pub data_centres: BTreeSet<DataCentreId>,
}

/// The evacuations as replicated state, with the last orders.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    evacuations: Evacuations,
    /// The last orders, from the oldest to the newest.
    recorded: VecDeque<AppliedOrder>,
}

/// An order that was committed, applied or not.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct AppliedOrder {
    id: OrderId,
    /// Whether it was refused, since too many data centres were evacuated.
    is_refused: bool,
}

impl OrderRecord {
    /// Returns a record of no order.
    pub const fn new() -> Self {
        Self {
            evacuations: Evacuations {
                version: 0,
                data_centres: BTreeSet::new(),
            },
            recorded: VecDeque::new(),
        }
    }

    /// Returns the evacuated data centres.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Applies a committed order.
    ///
    /// A copy of a recorded order changes nothing: it may have been delayed until after an order
    /// to the contrary.
    pub fn apply(&mut self, recorded: &RecordedOrder) -> OrderOutcome {
        let earlier = self.recorded.iter().find(|order| order.id == recorded.id);
        if let Some(earlier) = earlier {
            return if earlier.is_refused {
                OrderOutcome::TooMany
            } else {
                OrderOutcome::Unchanged
            };
        }
        let outcome = self.apply_new(&recorded.order);
        self.recorded.push_back(AppliedOrder {
            id: recorded.id.clone(),
            is_refused: outcome == OrderOutcome::TooMany,
        });
        if self.recorded.len() > RECORDED_ORDERS_MAX {
            self.recorded.pop_front();
        }
        outcome
    }

    fn apply_new(&mut self, order: &Order) -> OrderOutcome {
        let data_centres = &mut self.evacuations.data_centres;
        let changed = match order {
            Order::Evacuate(name) if data_centres.contains(name) => false,
            Order::Evacuate(_) if data_centres.len() >= EVACUATED_MAX => {
                return OrderOutcome::TooMany;
            }
            Order::Evacuate(name) => data_centres.insert(name.clone()),
            Order::Restore(name) => data_centres.remove(name),
        };
        if !changed {
            return OrderOutcome::Unchanged;
        }
        self.evacuations.version += 1;
        OrderOutcome::Changed
    }
}
