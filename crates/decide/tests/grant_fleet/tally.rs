//! What came of a load on a fleet.

use std::time::Duration;

use super::HostIndex;

/// What came of a load.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    /// When requests were admitted.
    pub(crate) admitted: Vec<(Duration, HostIndex)>,
    /// When requests were refused.
    pub(crate) refused: Vec<(Duration, HostIndex)>,
    /// When requests came.
    pub(crate) arrived: Vec<(Duration, HostIndex)>,
    /// How many messages went between hosts.
    pub(crate) messages: u64,
}

impl Tally {
    /// Returns by how many tokens the worst window passes a rate and burst.
    pub(crate) fn excess(&self, rate: u32, burst: u32) -> f64 {
        let (mut level, mut last, mut worst) = (f64::from(burst), Duration::ZERO, 0.0_f64);
        for (at, _) in &self.admitted {
            level += (*at - last).as_secs_f64() * f64::from(rate);
            level = level.min(f64::from(burst)) - 1.0;
            worst = worst.max(-level);
            last = *at;
        }
        worst
    }

    /// Returns how many requests were admitted in the fullest window.
    pub(crate) fn most_within(&self, window: Duration) -> usize {
        let mut first = 0;
        let mut most = 0;
        for (count, (at, _)) in self.admitted.iter().enumerate() {
            while self.admitted[first].0 + window <= *at {
                first += 1;
            }
            most = most.max(count + 1 - first);
        }
        most
    }

    /// Returns how many of the requests one bucket for all hosts would refuse at once.
    pub(crate) fn refused_by_one_bucket(&self, rate: u32, burst: u32) -> usize {
        let (mut level, mut last, mut over) = (f64::from(burst), Duration::ZERO, 0);
        for (at, _) in &self.arrived {
            level += (*at - last).as_secs_f64() * f64::from(rate);
            level = level.min(f64::from(burst));
            last = *at;
            if level < 1.0 {
                over += 1;
            } else {
                level -= 1.0;
            }
        }
        over
    }

    /// Returns the share of requests that were refused, of those that came in a time.
    pub(crate) fn refused_share(&self, from: Duration, to: Duration) -> f64 {
        let within = |all: &[(Duration, HostIndex)]| {
            let times = all.iter().filter(|(at, _)| *at >= from && *at < to);
            times.count() as f64
        };
        within(&self.refused) / within(&self.arrived).max(1.0)
    }
}
