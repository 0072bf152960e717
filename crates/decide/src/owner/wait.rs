//! Whether a read waits for a replica that has not reached its floor yet.

use std::fmt::Debug;
use std::time::{Duration, Instant};

use model::{InstanceStatus, Position};

use crate::owner::OwnerSettings;

/// How a replica comes along, as its last statuses tell.
#[derive(Clone, Debug)]
pub struct Progress {
    /// Its last status.
    pub status: InstanceStatus,
    /// The moment at which that was asked for.
    pub asked_at: Instant,
    /// How many bytes of log it takes in a second, once that is known.
    pub pace: Option<f64>,
}

/// Chooses between waiting for a replica and going elsewhere.
pub trait WaitPolicy: Debug + Default {
    /// Returns how long to wait for the replica to reach the floor, or none to go elsewhere.
    fn wait(
        &self,
        replica: &Progress,
        floor: Position,
        settings: &OwnerSettings,
    ) -> Option<Duration>;
}

/// Waits if the replica's pace brings it to the floor within the setting.
#[derive(Debug, Default)]
pub struct WaitIfSoon;

impl WaitPolicy for WaitIfSoon {
    fn wait(
        &self,
        replica: &Progress,
        floor: Position,
        settings: &OwnerSettings,
    ) -> Option<Duration> {
        let bound = settings.replica_wait;
        let at = replica.status.position;
        if at.term != floor.term {
            return (replica.status.term >= floor.term).then_some(bound);
        }
        let gap = floor.offset.saturating_sub(at.offset) as f64;
        let soon = match replica.pace {
            Some(pace) => gap <= pace * bound.as_secs_f64(),
            None => replica.status.lag <= bound,
        };
        soon.then_some(bound)
    }
}

/// Never waits, as a baseline.
#[derive(Debug, Default)]
pub struct NeverWait;

impl WaitPolicy for NeverWait {
    fn wait(&self, _: &Progress, _: Position, _: &OwnerSettings) -> Option<Duration> {
        None
    }
}
