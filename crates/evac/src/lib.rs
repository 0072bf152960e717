//! Evacuation of data centres: nothing more is sent to the instances of one until it is restored.
//!
//! - `order`: operators' orders, and the state machine that consensus applies them to
//! - `in_force`: what one host knows of the evacuations, and from when it keeps to each
//! - `ramp`: how many requests an instance gets that is cold, as after a restoration
//!
//! Nothing here does I/O, reads a clock or knows a wire format.

pub mod in_force;
pub mod order;
pub mod ramp;

pub use in_force::{EvacEffect, EvacEvent, HostEvacuations, InForce, WORK_LIMIT};
pub use order::{
    BadDataCentre, EvacuationVersion, Evacuations, Order, OrderId, OrderOutcome, OrderRecord,
    RecordedOrder,
};
pub use ramp::Ramp;
