//! An open-loop load tool with exactly-once and read-your-writes accounting.
//!
//! `plan` computes the seeded schedule of arrivals, `session` decides what a
//! session sends and checks its reads, and `stats` accumulates the outcomes;
//! none of them does I/O. `run` holds the tasks and `connection` the
//! connections that carry a plan out. `report` derives the printed measures.

mod connection;
pub mod ledger;
pub mod outcome;
pub mod plan;
pub mod report;
pub mod run;
pub mod session;
pub mod stats;
pub mod write_gap;
