//! Whole instances, tested over the network with `tokio_postgres`.

mod announce;
mod client;
mod failover;
mod faults;
mod replication;
mod sql;
