//! Even load on the instances of a service, chosen from information that is always slightly stale.
//!
//! An owner is a host that holds pooled connections to an instance; each instance has two. The
//! owners of one service report their loads to each other while one of them has more than its part
//! of the work, and forward a read once to an owner of a sibling instance with spare capacity.
//! An owner that sees many of an instance's reads fail forwards most of them too (`health`).
//! Nothing in this crate does I/O, reads a clock or knows a wire format.

pub mod forward;
pub mod health;
pub mod load;
pub mod settings;

pub use crate::forward::{Choice, Forwarder, Sibling};
pub use crate::health::{Health, ShareChange};
pub use crate::load::LoadReport;
pub use crate::settings::BalanceSettings;
