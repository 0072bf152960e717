//! Every decision of the system, as one reducer over all events with effects as data.
//!
//! Nothing in this crate does I/O, reads a clock or knows a wire format.
//! Each thread of a host owns one [`State`] and hands it one [`Event`] at a time;
//! the [`Effect`]s that come back are run by the `host` crate.

pub mod admit;
pub mod authority;
pub mod breaker;
pub mod call;
pub mod caller;
pub mod commit;
pub mod conn;
pub mod control;
pub mod cx;
pub mod effect;
pub mod entry;
pub mod event;
pub mod grant;
pub mod group;
pub mod log_event;
pub mod msg;
pub mod owner;
pub mod placement;
pub mod pool;
pub mod queue;
pub mod raft;
pub mod relay;
pub mod replicated_state;
pub mod route;
pub mod session;
pub mod settings;
pub mod spread;
pub mod state;
mod tokens;
pub mod traffic;
pub mod upstream_query;
pub mod view;

pub use cx::Cx;
pub use effect::Effect;
pub use event::Event;
pub use log_event::LogEvent;
pub use msg::Msg;
pub use settings::Settings;
pub use state::{State, reduce};
pub use view::View;
