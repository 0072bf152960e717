//! How much work an owner gives an instance at a time, when demand may exceed what it can run.
//!
//! An owner is a host that holds connections to an instance. Each instance has several owners,
//! which don't coordinate: what each may start at a time follows from the instance's responses
//! alone ([`ConcurrencyLimit`]). Nothing in this crate does I/O, reads a clock or knows a wire
//! format; the `decide` crate composes it.

mod limit;
mod pace;
mod rank;
mod retry;
mod settings;

pub use limit::ConcurrencyLimit;
pub use pace::Pace;
pub use rank::Waiting;
pub use retry::RetryBudget;
pub use settings::RoomSettings;
