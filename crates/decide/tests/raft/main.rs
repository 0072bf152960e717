//! Consensus over a simulated clock, network and disks.

mod basics;
mod earlier_term_commit;
mod harness;
mod invariants;
mod leader_change;
mod lost_disks;
mod partition;
mod random_faults;
mod scripts;
mod simulation;
