//! The clock of the reducer, which also counts the time in which the host was suspended.

use std::sync::OnceLock;
use std::time::{Duration, Instant};

use rustix::time::{ClockId, clock_gettime};

/// The readings of `Instant` and of the boot-time clock at the first call of [`now`].
static FIRST_READING: OnceLock<(Instant, Duration)> = OnceLock::new();

/// Returns the current time, suspended time included.
///
/// A lease that ran out while the host was suspended must have ended when it resumes; `Instant`
/// alone doesn't count that time.
pub(crate) fn now() -> Instant {
    let since_boot = since_boot();
    let (instant, base) = *FIRST_READING.get_or_init(|| (Instant::now(), since_boot));
    instant + since_boot.saturating_sub(base)
}

/// Returns the time since boot, suspended time included.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}
