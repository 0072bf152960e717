//! When versions of the configuration became known, to tell for how long a host lacks one.

use std::collections::VecDeque;
use std::time::Instant;

use model::ConfigVersion;

/// Rising versions, each with the moment at which it became known.
#[derive(Debug, Default)]
pub struct VersionTimes {
    times: VecDeque<(ConfigVersion, Instant)>,
}

impl VersionTimes {
    /// Records a version that became known at `at`, unless it is no higher than the last one.
    ///
    /// At most `limit` versions are kept, the newest ones. The oldest of them takes over the moment of
    /// those before it, which must not move while versions go on to come.
    pub fn record(&mut self, version: ConfigVersion, at: Instant, limit: usize) {
        if self.newest() >= Some(version) {
            return;
        }
        self.times.push_back((version, at));
        while self.times.len() > limit.max(1) {
            let dropped = self.times.pop_front();
            if let (Some((_, first_at)), Some(oldest)) = (dropped, self.times.front_mut()) {
                oldest.1 = first_at;
            }
        }
    }

    /// Returns the newest version; `None` if there is none.
    pub fn newest(&self) -> Option<ConfigVersion> {
        self.times.back().map(|(version, _)| *version)
    }

    /// Returns when the first version above `version` became known; `None` if there is none.
    ///
    /// With `None`, returns when the first version became known that is kept.
    pub fn first_above(&self, version: Option<ConfigVersion>) -> Option<Instant> {
        let start = self
            .times
            .partition_point(|(kept, _)| Some(*kept) <= version);
        self.times.get(start).map(|(_, at)| *at)
    }

    /// Forgets the versions up to `version`.
    pub fn forget_up_to(&mut self, version: ConfigVersion) {
        let start = self.times.partition_point(|(kept, _)| *kept <= version);
        self.times.drain(..start);
    }
}
