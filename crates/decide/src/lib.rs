//! All decisions of the proxy, as one reducer over all events, with effects as data.
//!
//! A *host* is one running instance of the proxy. It has one thread for control state and one or
//! more threads for traffic. The state of one such thread is a *part* of the host
//! ([`PartState`]), and parts exchange messages ([`Msg`]), within a host and between hosts:
//!
//! - The control part ([`control::ControlPart`]) keeps membership, configuration and consensus,
//!   probes upstreams, takes part in replacing primaries, and distributes rate tokens. It publishes
//!   an immutable snapshot of the fleet, the [`View`], to the traffic parts of its host.
//! - A traffic part ([`traffic::TrafficPart`]) serves the callers that its thread has accepted, and
//!   holds the queues and pooled connections of the upstreams that are assigned to it.
//!
//! An [`Event`] is something that has happened to a part, such as a caller's request, a message,
//! an upstream's answer, a synced write or a timer. [`reduce`] applies one event to the state of a
//! part and appends the [`Effect`]s that follow: what the thread must do next, such as to send a
//! message, run a request on a connection, answer a caller or write to disk. The `host` crate feeds
//! the events and runs the effects. Nothing in this crate does I/O, reads a clock or knows a wire
//! format.
//!
//! # Modules
//!
//! The reducer and its types: `state` (the state of a part and `reduce`), `control` and `traffic`
//! (which feature handles which event), `event`, `effect`, `msg` (messages between parts), `cx`
//! (context of one reduction), `settings`, `log_event` (log lines as data) and `view`.
//!
//! Features of the control part:
//!
//! - `spread`: membership, failure detection, dissemination of facts and configuration
//! - `raft`, `replicated_state`: consensus among the control hosts, and the state machine that it
//!   replicates
//! - `call`: operators' and platform calls, and the replies to them
//! - `group`, `authority`: detect and replace lost primaries, by a majority of the instances of a
//!   service (its group) or by the leader of consensus, as the setting `group.authority` says
//! - `grant`, `tokens`: distribute each workspace's rate over the hosts
//! - `upstream_query`: status queries and commands to upstreams outside of the pool, which traffic
//!   parts use too
//!
//! Features of a traffic part:
//!
//! - `caller`, `session`: what callers do, and the state of their sessions
//! - `entry`, `admit`, `route`: requests until they are answered, their admission within the
//!   workspace's rate, and the choice of an upstream and an owner
//! - `relay`: requests on their way to an owner, and answers on their way back
//! - `owner`, `queue`, `pool`, `conn`, `breaker`: the owner side, which queues requests for an
//!   upstream and runs them on pooled connections
//! - `commit`: confirms writes before they are acknowledged
//!
//! Both: `placement`, which assigns an upstream to its owners, the hosts that may connect to it,
//! and to one traffic part of each.

pub mod ack_lease;
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
pub mod evacuation;
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
pub use state::{PartState, reduce};
pub use view::View;
