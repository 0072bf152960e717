//! Tests of the store across restarts, crashes, damaged files and failing disks.

mod damage;
mod failing;
mod reopen;
mod sample;
mod synced;
mod torn;
