//! The configuration in force on a host, which only moves forward.

use std::sync::Arc;
use std::time::{Duration, Instant};

use model::clock::{CLOCK_RATE_MARGIN_PER_MILLE, holder_lease};
use model::{Config, ConfigVersion};

use crate::spread::delta::{ConfigDelta, DeltaHistory};
use crate::spread::msg::{ConfigState, ConfigUpdate};
use crate::spread::settings::SpreadSettings;

/// The configuration that a host holds, and whether it is in force.
///
/// A host that starts holds a configuration before it puts it in force: until a
/// confirmation by a quorum is known that is more recent than `fresh_within`, or,
/// after `startup_wait` without one, until it holds the newest version that the
/// hosts of its own data centre have in force. The second is the case of a data
/// centre that is cut off from the quorum.
#[derive(Debug)]
pub struct ConfigInForce {
    started: Instant,
    held: Option<Arc<Config>>,
    in_force: bool,
    history: DeltaHistory,
    /// The moment at which the held version was known to be current.
    confirmed: Option<Instant>,
    /// A confirmation of a version that is not held yet.
    ahead: Option<(ConfigVersion, Instant)>,
    /// The newest version that hosts of this data centre have reported.
    home: Option<ConfigVersion>,
}

impl ConfigInForce {
    /// Returns the state of a host that starts with nothing.
    pub fn new(started: Instant) -> Self {
        Self {
            started,
            held: None,
            in_force: false,
            history: DeltaHistory::default(),
            confirmed: None,
            ahead: None,
            home: None,
        }
    }

    /// Returns the configuration in force.
    pub fn in_force(&self) -> Option<&Arc<Config>> {
        self.held.as_ref().filter(|_| self.in_force)
    }

    /// Returns the version held, in force or not.
    pub fn held_version(&self) -> Option<ConfigVersion> {
        self.held.as_ref().map(|config| config.version)
    }

    /// Takes a whole configuration if it is newer, and returns whether it was.
    pub fn take_whole(&mut self, config: Arc<Config>, settings: &SpreadSettings) -> bool {
        if self.held_version() >= Some(config.version) {
            return false;
        }
        if let Some(old) = &self.held {
            let delta = ConfigDelta::between(old, &config);
            self.history.push(delta, settings.config_history);
        }
        self.hold(config);
        true
    }

    /// Takes an update if it is newer and fits, and returns whether it did.
    pub fn take(&mut self, update: ConfigUpdate, settings: &SpreadSettings) -> bool {
        let mut delta = match update {
            ConfigUpdate::Whole(config) => return self.take_whole(Arc::new(config), settings),
            ConfigUpdate::Delta(delta) => delta,
        };
        let Some(old) = self.held.as_mut() else {
            return false;
        };
        if !delta.fits(old.version) {
            return false;
        }
        let from = old.version;
        let mut config = old.clone();
        delta.apply(Arc::make_mut(&mut config));
        delta.base = from;
        self.history.push(delta, settings.config_history);
        self.hold(config);
        true
    }

    fn hold(&mut self, config: Arc<Config>) {
        if let Some((version, at)) = self.ahead
            && version <= config.version
        {
            self.confirmed = self.confirmed.max(Some(at));
            self.ahead = None;
        }
        self.held = Some(config);
    }

    /// Notes that a version was known to be current at a moment.
    pub fn confirm(&mut self, version: ConfigVersion, at: Instant) {
        if Some(version) <= self.held_version() {
            self.confirmed = self.confirmed.max(Some(at));
        } else {
            self.ahead = self.ahead.max(Some((version, at)));
        }
    }

    /// Notes a version that a host of this data centre has.
    pub fn report_home(&mut self, version: ConfigVersion) {
        self.home = self.home.max(Some(version));
    }

    /// Puts the held configuration in force if it may be, and returns why.
    pub fn put_in_force(
        &mut self,
        now: Instant,
        settings: &SpreadSettings,
    ) -> Option<&'static str> {
        let held = self.held.as_ref()?;
        if self.in_force {
            return None;
        }
        if self.age(now).is_some_and(|age| age < settings.fresh_within) {
            self.in_force = true;
            return Some("confirmed");
        }
        let waited = now >= self.started + settings.startup_wait;
        if waited && self.home.is_some_and(|home| held.version >= home) {
            self.in_force = true;
            self.confirmed = self.confirmed.or(Some(self.started));
            return Some("cut-off");
        }
        None
    }

    /// Returns how long ago at most the held version was known to be current.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let elapsed = now.saturating_duration_since(self.confirmed?);
        Some(elapsed + elapsed * CLOCK_RATE_MARGIN_PER_MILLE / 1000)
    }

    /// Returns until when the host may serve by the configuration in force.
    pub fn usable_until(&self, settings: &SpreadSettings) -> Option<Instant> {
        let confirmed = self.confirmed.filter(|_| self.in_force)?;
        Some(confirmed + holder_lease(settings.grace()))
    }

    /// Returns the moment at which to look again, unless a message comes first.
    pub fn wake_at(&self, settings: &SpreadSettings) -> Option<Instant> {
        if !self.in_force {
            return self
                .held
                .as_ref()
                .map(|_| self.started + settings.startup_wait);
        }
        self.usable_until(settings)
    }

    /// Returns what a heartbeat tells of it.
    pub fn state(&self, now: Instant) -> ConfigState {
        ConfigState {
            version: self.in_force().map(|config| config.version),
            held: self.held_version(),
            confirmed_age: self.age(now),
        }
    }

    /// Returns what a host that holds a version lacks, if it lacks anything.
    pub fn update_since(&self, theirs: Option<ConfigVersion>) -> Option<ConfigUpdate> {
        let held = self.held.as_ref()?;
        if theirs >= Some(held.version) {
            return None;
        }
        let delta = theirs.and_then(|version| self.history.since(version));
        Some(match delta {
            Some(delta) => ConfigUpdate::Delta(delta),
            None => ConfigUpdate::Whole(Config::clone(held)),
        })
    }
}
