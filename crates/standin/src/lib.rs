//! A stand-in database instance that speaks the PostgreSQL protocol.
//!
//! Tests and trials run it in place of a real database. It replicates to the
//! other instances of its group, grants hosts leases on its slots and
//! connections (claims), and promises terms to candidates.
//!
//! `engine` is the reducer that decides everything without I/O, `sql` parses the
//! few statements that the stand-in supports, and `shell` holds the sockets, the
//! tasks and the thread around the engine.

mod config;
pub mod engine;
mod group;
mod shell;
pub mod sql;

pub use config::{Credentials, InstanceConfig, Primary, RestartState};
pub use engine::activity::{Login, Report};
pub use engine::fault::FaultCommand;
pub use group::{Group, group};
pub use shell::{Instance, Running, StartError};
