//! The clock of the decisions, which also counts the time in which the machine was suspended.

use std::sync::OnceLock;
use std::time::{Duration, Instant};

use rustix::time::{ClockId, clock_gettime};

/// Where this clock and the steady clock were when it was first read.
static BASE: OnceLock<(Instant, Duration)> = OnceLock::new();

/// Returns the present moment.
///
/// A lease that ran out while the machine was suspended has ended when it wakes, which the
/// steady clock alone would not show.
pub(crate) fn now() -> Instant {
    let since_boot = since_boot();
    let (instant, base) = *BASE.get_or_init(|| (Instant::now(), since_boot));
    instant + since_boot.saturating_sub(base)
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}
