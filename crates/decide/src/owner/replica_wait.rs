//! Decides whether a read waits for a replica that has not reached its floor yet.
//!
//! The floor is the log position that the reads of a session must see.

use std::fmt::Debug;
use std::time::{Duration, Instant};

use model::{InstanceStatus, Position};

use crate::owner::OwnerSettings;

/// An instance's replication progress, from its last statuses.
#[derive(Clone, Debug)]
pub struct InstanceProgress {
    /// The last status.
    pub status: InstanceStatus,
    /// When that status was asked for; the instance read it then or later.
    pub asked_at: Instant,
    /// Log bytes applied per second, once two statuses of the same log term are known.
    pub log_bytes_per_s: Option<f64>,
}

/// Decides whether a read waits for a replica that is behind its floor.
pub trait WaitPolicy: Debug + Default {
    /// Returns how long to wait for the replica to reach the floor, or `None` to bounce the read.
    fn wait_time(
        &self,
        replica: &InstanceProgress,
        floor: Position,
        settings: &OwnerSettings,
    ) -> Option<Duration>;
}

/// Waits up to `replica_wait` if the replica is expected to reach the floor in that time.
#[derive(Debug, Default)]
pub struct WaitIfSoon;

impl WaitPolicy for WaitIfSoon {
    fn wait_time(
        &self,
        replica: &InstanceProgress,
        floor: Position,
        settings: &OwnerSettings,
    ) -> Option<Duration> {
        let bound = settings.replica_wait;
        let position = replica.status.position;
        if position.term != floor.term {
            return (replica.status.term >= floor.term).then_some(bound);
        }
        let missing_bytes = floor.offset.saturating_sub(position.offset) as f64;
        let soon = match replica.log_bytes_per_s {
            Some(pace) => missing_bytes <= pace * bound.as_secs_f64(),
            None => replica.status.lag <= bound,
        };
        soon.then_some(bound)
    }
}

/// Never waits; a baseline for comparison.
#[derive(Debug, Default)]
pub struct NeverWait;

impl WaitPolicy for NeverWait {
    fn wait_time(&self, _: &InstanceProgress, _: Position, _: &OwnerSettings) -> Option<Duration> {
        None
    }
}
