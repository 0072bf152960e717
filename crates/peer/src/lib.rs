//! The protocol between hosts, and the API for operators and the platform.
//!
//! Hosts exchange one-way messages, since requests, answers and heartbeats flow both ways at the
//! same time. Calls of operators and of the platform are JSON-RPC.

pub mod api;
pub mod frame;
