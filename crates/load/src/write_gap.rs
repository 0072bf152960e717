//! The longest period in which offered writes waited and none was acknowledged.

use std::time::Duration;

/// A period in which writes waited and none was acknowledged.
///
/// Times are counted from the start of the run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WriteGap {
    /// Scheduled arrival of the first write that had to wait.
    pub from: Duration,
    /// Time of the next acknowledgement, or the end of the run if there was none.
    pub to: Duration,
}

impl WriteGap {
    /// Returns the duration of the gap.
    pub fn length(&self) -> Duration {
        self.to.saturating_sub(self.from)
    }
}

/// Returns the longest gap of one service.
///
/// `offered` holds the scheduled arrivals of its writes and `acknowledged` the times of their
/// acknowledgements, both in any order; `end` closes a gap that no acknowledgement ends.
pub fn longest_write_gap(
    offered: &[Duration],
    acknowledged: &[Duration],
    end: Duration,
) -> WriteGap {
    let mut offered = offered.to_vec();
    let mut acknowledged = acknowledged.to_vec();
    offered.sort_unstable();
    acknowledged.sort_unstable();
    acknowledged.push(end.max(acknowledged.last().copied().unwrap_or_default()));
    let mut last_acknowledged = None;
    let mut longest = WriteGap::default();
    for to in acknowledged {
        let first_waiting = match last_acknowledged {
            Some(last) => offered.partition_point(|at| *at <= last),
            None => 0,
        };
        last_acknowledged = Some(to);
        let Some(from) = offered
            .get(first_waiting)
            .copied()
            .filter(|from| *from < to)
        else {
            continue;
        };
        let gap = WriteGap { from, to };
        if gap.length() > longest.length() {
            longest = gap;
        }
    }
    longest
}
