//! The assumed bound on clock rates, and the lease times that follow from it.

use std::time::Duration;

/// The most by which one host's clock may run faster than another's, in parts per thousand.
pub const CLOCK_RATE_MARGIN_PER_MILLE: u32 = 10;

/// Returns how long the holder of a lease may use it.
///
/// The granter waits for the full time by its own clock; the holder stops earlier by the clock
/// margin, so that it stops first even if its clock runs slow.
pub fn holder_lease(granted: Duration) -> Duration {
    granted - granted * CLOCK_RATE_MARGIN_PER_MILLE / 1000
}
