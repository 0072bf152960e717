//! Results of a load on a fleet.

use std::time::Duration;

use super::HostIndex;

/// When requests arrived and were admitted or refused, and on which host.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    /// Time of admission and host of each admitted request.
    pub(crate) admitted: Vec<(Duration, HostIndex)>,
    /// Time of arrival and host of each refused request.
    pub(crate) refused: Vec<(Duration, HostIndex)>,
    /// Time of arrival and host of each request.
    pub(crate) arrived: Vec<(Duration, HostIndex)>,
    /// How many messages hosts sent to each other.
    pub(crate) messages: u64,
}

impl Tally {
    /// Returns by how many tokens the admitted requests exceed a rate and burst at worst.
    pub(crate) fn excess(&self, rate: u32, burst: u32) -> f64 {
        let (mut tokens, mut last_at, mut worst) = (f64::from(burst), Duration::ZERO, 0.0_f64);
        for (at, _) in &self.admitted {
            tokens += (*at - last_at).as_secs_f64() * f64::from(rate);
            tokens = tokens.min(f64::from(burst)) - 1.0;
            worst = worst.max(-tokens);
            last_at = *at;
        }
        worst
    }

    /// Returns the most requests that were admitted within a window.
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

    /// Returns how many of the requests a single token bucket for all hosts would refuse.
    pub(crate) fn refused_by_one_bucket(&self, rate: u32, burst: u32) -> usize {
        let (mut tokens, mut last_at, mut over) = (f64::from(burst), Duration::ZERO, 0);
        for (at, _) in &self.arrived {
            tokens += (*at - last_at).as_secs_f64() * f64::from(rate);
            tokens = tokens.min(f64::from(burst));
            last_at = *at;
            if tokens < 1.0 {
                over += 1;
            } else {
                tokens -= 1.0;
            }
        }
        over
    }

    /// Returns the share of refused requests among those that arrived in a time.
    pub(crate) fn refused_share(&self, from: Duration, to: Duration) -> f64 {
        let within = |all: &[(Duration, HostIndex)]| {
            let times = all.iter().filter(|(at, _)| *at >= from && *at < to);
            times.count() as f64
        };
        within(&self.refused) / within(&self.arrived).max(1.0)
    }
}
