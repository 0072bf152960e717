//! One byte budget for a process, shared by everything that buffers for callers, for links between
//! hosts and for upstreams.
//!
//! Answers the load of clients that hold memory: many large messages at once, messages that are
//! never finished, answers that are not read. It does no I/O:
//!
//! - [`Pool`] counts the bytes of the process against its limit, with atomics only;
//! - [`Account`] is the share of one connection, and since when its peer is awaited;
//! - [`Charge`] is a number of counted bytes, given back when it is dropped; attached to a
//!   payload, it follows the payload through queues and messages;
//! - [`Accounts`] decides which connection is closed when the budget is exhausted: events come in,
//!   effects go out as data.

mod account;
mod accounts;
mod charge;
mod pool;
mod settings;

pub use account::Account;
pub use accounts::{Accounts, Effect, Event};
pub use charge::Charge;
pub use pool::{Exhausted, Pool};
pub use settings::BudgetSettings;

/// Identifies an account within its process; never used twice.
pub type AccountId = u64;
