//! Raft among the control hosts, over a simulated clock, network and disks.
//!
//! Founders are the control hosts that bootstrap a cluster. A store is one disk of a host and has a
//! random id, so that a host with a new disk counts as another member. The host `x` has no disk and
//! only sends calls (patches, reads, changes of membership) to the others.

mod basics;
mod earlier_term_commit;
mod evacuations;
mod full_disks;
mod harness;
mod invariants;
mod leader_change;
mod lost_disks;
mod partition;
mod random_faults;
mod scripts;
mod simulation;
mod slow_disks;
mod steady_changes;
