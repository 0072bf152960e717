//! Even load on the instances of a service, chosen from information that is always slightly stale.
//!
//! An owner is a host that holds pooled connections to an instance; each instance has two. Nothing
//! in this crate does I/O, reads a clock or knows a wire format.

pub mod settings;

pub use crate::settings::BalanceSettings;
