//! Runs one host of the fleet: its threads, sockets, settings, log and metrics.
//!
//! The `decide` crate holds the state of a host and decides; this crate does the input and
//! output. The state is split into parts, one a thread: the control part (consensus, liveness,
//! replacement of primaries) and any number of traffic parts (callers and pooled connections).
//! Each thread feeds events to the reducer of its part and runs the effects that it returns,
//! such as sending a message, writing to disk or running a statement.
//!
//! Start and stop: [`daemon`]. Threads: `part_loop` (the loop that reduces events), `inbox` (what
//! a thread receives, and how others send it), `thread_control` and `thread_traffic` (how each
//! kind of thread runs effects), `disk` (the thread that persists consensus state), `clock`
//! (the time that decisions use, suspended time included).
//! Sockets: `listen` (accepts callers and other hosts), `link` and `link_reader` (connections
//! between hosts),
//! `pooled_conn` (one pooled connection to an upstream), `upstream_query` (queries to upstreams
//! outside of the pool, such as for their status), [`socket_options`], `rpc` (the JSON-RPC API).
//! Memory: [`conn_budget`] (the byte budget and who is closed when it is exhausted),
//! [`caller_stream`] (messages of a caller), [`metered_io`] and [`http_listener`] (HTTP).
//! Protocols: [`adapter`] is the trait that a protocol of callers and upstreams implements;
//! `pg_adapter`, `pg_caller` and `pg_upstream` implement it for PostgreSQL. Settings:
//! [`settings`], [`settings_file`]. Log: [`logs`]. Metrics: `metrics` (the counters),
//! `metrics_recorder` (updates them from events and effects), `metrics_http` (serves them).

pub mod adapter;
pub mod caller_stream;
mod clock;
pub mod conn_budget;
pub mod daemon;
mod disk;
pub mod http_listener;
mod inbox;
mod link;
mod link_reader;
mod listen;
pub mod logs;
pub mod metered_io;
mod metrics;
mod metrics_http;
mod metrics_recorder;
mod part_loop;
mod pg_adapter;
mod pg_caller;
mod pg_upstream;
mod pooled_conn;
mod rpc;
pub mod settings;
pub mod settings_file;
pub mod socket_options;
mod thread_control;
mod thread_traffic;
mod upstream_query;

pub use daemon::{Daemon, RunningHost};
pub use pg_adapter::Postgres;
pub use settings::HostSettings;
