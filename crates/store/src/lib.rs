//! Stores the Raft log and snapshots of the control state on disk.
//!
//! A data folder has one log file: a file header, then records. Each record is one
//! [`decide::raft::Persist`], framed by its length and checksums. A write returns only once it is
//! synced. A write with a snapshot goes to a new file, which is renamed over the old one. So does a
//! write that is tried again after it failed, behind a copy of what was synced before.

pub mod disk;
pub mod error;
pub mod record;
pub mod recover;
pub mod store;
pub mod writer;

pub use disk::{Disk, LogFile, OsDisk};
pub use error::{DamageKind, StoreError};
pub use store::Store;
pub use writer::write_queue;
