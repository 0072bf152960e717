//! Consensus under a made-up clock, network and disks.

mod basics;
mod checks;
mod cut_off;
mod disks;
mod faults;
mod harness;
mod leader;
mod older_term;
mod scripts;
mod world;
