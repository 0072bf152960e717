//! The PostgreSQL wire protocol, towards callers and towards upstreams, without I/O.
//!
//! - `codec`: frames messages of both sides, with bounds on their size.
//! - `caller_session`: turns a caller's messages into requests, and answers into messages.
//! - `extended_query`: a caller's prepared statements, and batches rewritten for pooled connections.
//!   A batch is the extended-protocol messages up to a `Sync`; its statement names are rewritten.
//! - `classify`: tells reads from writes, and finds statements that can't run on a pooled connection.
//! - `reply`: errors, `ReadyForQuery` and `CommandComplete` messages to callers.
//! - `upstream`: wraps a request in status queries and collects the upstream's answers.
//!   The queries around a request read the instance's role and log position.
//! - `status_row`: the row that the functions of an upstream's schema `caraway` return.
//!
//! Routing decisions are made in `decide`; this crate translates to and from the types of `model`.

pub mod caller_session;
pub mod classify;
pub mod codec;
pub mod extended_query;
pub mod reply;
pub mod status_row;
pub mod upstream;
