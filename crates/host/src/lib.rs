//! One host of the fleet: its threads, its sockets and the effects that they run.

pub mod adapter;
mod clock;
mod conn;
pub mod daemon;
mod disk;
mod input;
mod link;
mod listen;
pub mod logs;
mod metrics;
mod metrics_http;
mod metrics_tally;
mod part;
mod pg_caller;
mod pg_upstream;
mod postgres;
mod rpc;
pub mod settings;
pub mod settings_file;
pub mod sockets;
mod thread_control;
mod thread_traffic;
mod upstream_query;

pub use daemon::{Daemon, Running};
pub use postgres::Postgres;
pub use settings::HostSettings;
