//! Tests of the store, which keeps a control host's Raft state in a log file, across restarts,
//! crashes, damaged files and failing disks.

mod damage;
mod failing;
mod reopen;
mod sample;
mod synced;
mod torn;
