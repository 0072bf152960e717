//! Decides how many of an instance's reads its owner runs there, by the outcomes of the last ones.
//!
//! The load addressed: reads of an instance that answers a part of them with errors, or resets their
//! connections, whatever its announcements and statuses say.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use model::WorkspaceId;

/// How long an outcome counts. Callers are to notice a faulty instance for a second at most.
const WINDOW: Duration = Duration::from_secs(1);
/// How many faults within the window lower the share: a single one may be an accident.
const FAULTS_MIN: usize = 3;
/// How many workspaces must have had a fault: one whose own reads always fail says nothing of the
/// instance.
const WORKSPACES_MIN: usize = 2;
/// The part of the outcomes within the window that must be faults. A read that fails takes up to a
/// service time and a way to another data centre more, which one in ten may still take.
const FAULTY_PART: f64 = 0.1;
/// How many outcomes are kept; an instance with more a second is judged by the last ones.
const OUTCOMES_MAX: usize = 256;
/// Factor of the share when faults are first noticed: a second step follows if they go on.
const FIRST_DECREASE: f64 = 0.25;
/// Factor of the share for a fault while it is already lowered.
const DECREASE: f64 = 0.5;
/// Factor of each step by which the share returns.
const INCREASE: f64 = 2.0;
/// The share is never lower, so that recovery is seen.
const SHARE_MIN: f64 = 1.0 / 16.0;
/// Shortest time between two steps up: four steps from the lowest share then take two seconds, in
/// which a wrong step shows.
const STEP_TIME: Duration = Duration::from_millis(500);
/// How many reads in a row must succeed before a step up.
const STEP_SUCCESSES: u32 = 3;
/// A read is run here at least this often, so that recovery is seen at a few reads a second too.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// The outcomes of the reads of one instance at one owner, and the share of them that it runs.
#[derive(Debug, Default)]
pub struct Health {
    outcomes: VecDeque<Outcome>,
    /// The share, while it is lowered.
    lowered: Option<Lowered>,
}

#[derive(Debug)]
struct Outcome {
    at: Instant,
    /// The workspace, if the read has failed.
    failed: Option<WorkspaceId>,
}

#[derive(Debug)]
struct Lowered {
    share: f64,
    changed_at: Instant,
    /// How many reads in a row have succeeded since the last change or fault.
    successes: u32,
    /// Parts of reads that may run here and have not; at most one read.
    credit: f64,
    /// When a read was last run here.
    taken_at: Instant,
}

/// A change of the share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareChange {
    /// The share of the reads that are run at the instance from now on.
    pub share: f64,
    /// How many reads failed within the window.
    pub faults: usize,
    /// How many reads had an outcome within the window.
    pub outcomes: usize,
}

impl Health {
    /// Returns the share of the reads that are run at the instance.
    pub fn share(&self) -> f64 {
        self.lowered.as_ref().map_or(1.0, |lowered| lowered.share)
    }

    /// Returns whether a new read is to run elsewhere.
    pub fn turns_away(&mut self, now: Instant) -> bool {
        let Some(lowered) = &mut self.lowered else {
            return false;
        };
        lowered.credit = (lowered.credit + lowered.share).min(1.0);
        let is_probe = now.saturating_duration_since(lowered.taken_at) >= PROBE_INTERVAL;
        if lowered.credit < 1.0 && !is_probe {
            return true;
        }
        lowered.credit = 0.0;
        lowered.taken_at = now;
        false
    }

    /// Records the outcome of a workspace's read; returns the new share if that changes.
    pub fn record(
        &mut self,
        now: Instant,
        workspace: &WorkspaceId,
        failed: bool,
    ) -> Option<ShareChange> {
        while let Some(first) = self.outcomes.front()
            && (now.saturating_duration_since(first.at) >= WINDOW
                || self.outcomes.len() >= OUTCOMES_MAX)
        {
            self.outcomes.pop_front();
        }
        self.outcomes.push_back(Outcome {
            at: now,
            failed: failed.then(|| workspace.clone()),
        });
        let before = self.share();
        let is_faulty = failed && self.is_faulty();
        match (failed, &mut self.lowered) {
            (true, Some(lowered)) => {
                lowered.lower(now, DECREASE);
            }
            (true, None) if is_faulty => {
                let mut lowered = Lowered {
                    share: 1.0,
                    changed_at: now,
                    successes: 0,
                    credit: 0.0,
                    taken_at: now,
                };
                lowered.lower(now, FIRST_DECREASE);
                self.lowered = Some(lowered);
            }
            (false, Some(lowered)) => {
                lowered.on_success(now);
            }
            (_, None) => {}
        }
        self.lowered.take_if(|lowered| lowered.share >= 1.0);
        let faults = self.outcomes.iter().filter(|o| o.failed.is_some());
        (self.share() != before).then(|| ShareChange {
            share: self.share(),
            faults: faults.count(),
            outcomes: self.outcomes.len(),
        })
    }

    /// Returns whether enough reads of enough workspaces have failed within the window.
    fn is_faulty(&self) -> bool {
        let failed = self.outcomes.iter().filter_map(|o| o.failed.as_ref());
        let mut workspaces: Vec<&WorkspaceId> = failed.collect();
        let faults = workspaces.len();
        workspaces.sort_unstable();
        workspaces.dedup();
        faults >= FAULTS_MIN
            && workspaces.len() >= WORKSPACES_MIN
            && faults as f64 >= FAULTY_PART * self.outcomes.len() as f64
    }
}

impl Lowered {
    fn lower(&mut self, now: Instant, factor: f64) {
        self.share = (self.share * factor).max(SHARE_MIN);
        self.changed_at = now;
        self.successes = 0;
    }

    fn on_success(&mut self, now: Instant) {
        self.successes += 1;
        let is_due = now.saturating_duration_since(self.changed_at) >= STEP_TIME;
        if is_due && self.successes >= STEP_SUCCESSES {
            self.share *= INCREASE;
            self.changed_at = now;
            self.successes = 0;
        }
    }
}
