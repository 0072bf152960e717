//! The configuration in force on a host, whose version never goes back.

use std::sync::Arc;
use std::time::{Duration, Instant};

use model::clock::{CLOCK_RATE_MARGIN_PER_MILLE, holder_lease};
use model::{Config, ConfigVersion};

use crate::spread::config_delta::{ConfigDelta, DeltaHistory};
use crate::spread::msg::{ConfigStatus, ConfigUpdate};
use crate::spread::settings::SpreadSettings;
use crate::spread::version_times::VersionTimes;

/// The configuration that a host holds, and whether it is in force.
///
/// A host that starts puts the configuration that it holds in force once a quorum has
/// confirmed it within the last `fresh_within`. If no such confirmation comes for
/// `startup_wait`, as in a data centre that is cut off from the quorum, it is enough that the
/// held version is as new as the newest that hosts of its own data centre have in force.
#[derive(Debug)]
pub struct ConfigInForce {
    /// When this host started.
    started: Instant,
    /// The newest configuration received, in force or not.
    held: Option<Arc<Config>>,
    is_in_force: bool,
    history: DeltaHistory,
    /// When this host adopted each of the versions that the history covers.
    adopted: VersionTimes,
    /// The latest moment at which the held version was known to be current.
    confirmed_at: Option<Instant>,
    /// The confirmation of a version that is newer than the held one.
    future_confirmation: Option<(ConfigVersion, Instant)>,
    /// The newest version that hosts of this data centre have reported to be in force.
    data_centre_version: Option<ConfigVersion>,
}

impl ConfigInForce {
    /// Returns the state of a host that starts without a configuration.
    pub fn new(started: Instant) -> Self {
        Self {
            started,
            held: None,
            is_in_force: false,
            history: DeltaHistory::default(),
            adopted: VersionTimes::default(),
            confirmed_at: None,
            future_confirmation: None,
            data_centre_version: None,
        }
    }

    /// Returns the configuration in force, or `None` before the first one is.
    pub fn in_force(&self) -> Option<&Arc<Config>> {
        self.held.as_ref().filter(|_| self.is_in_force)
    }

    /// Returns the version of the held configuration, in force or not.
    pub fn held_version(&self) -> Option<ConfigVersion> {
        self.held.as_ref().map(|config| config.version)
    }

    /// Holds a full configuration if it is newer than the held one, and returns whether it was.
    pub fn adopt_full(
        &mut self,
        config: Arc<Config>,
        now: Instant,
        settings: &SpreadSettings,
    ) -> bool {
        if self.held_version() >= Some(config.version) {
            return false;
        }
        if let Some(old) = &self.held {
            let delta = ConfigDelta::between(old, &config);
            self.history.push(delta, settings.config_history);
        }
        self.set_held(config, now, settings);
        true
    }

    /// Applies an update if it is newer and based on the held version; returns whether it did.
    pub fn apply_update(
        &mut self,
        update: ConfigUpdate,
        now: Instant,
        settings: &SpreadSettings,
    ) -> bool {
        let mut delta = match update {
            ConfigUpdate::Full(config) => return self.adopt_full(Arc::new(config), now, settings),
            ConfigUpdate::Delta(delta) => delta,
        };
        let Some(old) = self.held.as_mut() else {
            return false;
        };
        if !delta.applies_to(old.version) {
            return false;
        }
        let from = old.version;
        let mut config = old.clone();
        delta.apply(Arc::make_mut(&mut config));
        delta.base = from;
        self.history.push(delta, settings.config_history);
        self.set_held(config, now, settings);
        true
    }

    /// Replaces the held configuration, and uses a confirmation that came ahead of it.
    fn set_held(&mut self, config: Arc<Config>, now: Instant, settings: &SpreadSettings) {
        self.adopted
            .record(config.version, now, settings.config_history);
        if let Some((version, at)) = self.future_confirmation
            && version <= config.version
        {
            self.confirmed_at = self.confirmed_at.max(Some(at));
            self.future_confirmation = None;
        }
        self.held = Some(config);
    }

    /// Records that a version was known to be current at the moment `at`.
    pub fn record_confirmation(&mut self, version: ConfigVersion, at: Instant) {
        if Some(version) <= self.held_version() {
            self.confirmed_at = self.confirmed_at.max(Some(at));
        } else {
            self.future_confirmation = self.future_confirmation.max(Some((version, at)));
        }
    }

    /// Records a version that a host of this data centre has in force.
    pub fn record_data_centre_version(&mut self, version: ConfigVersion) {
        self.data_centre_version = self.data_centre_version.max(Some(version));
    }

    /// Puts the held configuration in force if its conditions are met, and returns the reason.
    ///
    /// `has_newest_evacuations` tells whether no host of the data centre knows of newer evacuations.
    pub fn try_put_in_force(
        &mut self,
        now: Instant,
        settings: &SpreadSettings,
        has_newest_evacuations: bool,
    ) -> Option<&'static str> {
        let held = self.held.as_ref()?;
        if self.is_in_force {
            return None;
        }
        if self
            .confirmation_age(now)
            .is_some_and(|age| age < settings.fresh_within)
        {
            self.is_in_force = true;
            return Some("confirmed");
        }
        let waited = now >= self.started + settings.startup_wait;
        if waited
            && has_newest_evacuations
            && self
                .data_centre_version
                .is_some_and(|newest| held.version >= newest)
        {
            self.is_in_force = true;
            self.confirmed_at = self.confirmed_at.or(Some(self.started));
            return Some("cut-off");
        }
        None
    }

    /// Returns an upper bound of the time since the held version was known to be current.
    pub fn confirmation_age(&self, now: Instant) -> Option<Duration> {
        let elapsed = now.saturating_duration_since(self.confirmed_at?);
        Some(elapsed + elapsed * CLOCK_RATE_MARGIN_PER_MILLE / 1000)
    }

    /// Returns until when the host may serve requests by the configuration in force.
    pub fn usable_until(&self, settings: &SpreadSettings) -> Option<Instant> {
        let confirmed = self.confirmed_at.filter(|_| self.is_in_force)?;
        Some(confirmed + holder_lease(settings.grace()))
    }

    /// Returns when the configuration may come into force or stop being usable.
    pub fn wake_at(&self, settings: &SpreadSettings) -> Option<Instant> {
        if !self.is_in_force {
            return self
                .held
                .as_ref()
                .map(|_| self.started + settings.startup_wait);
        }
        self.usable_until(settings)
    }

    /// Returns the status that heartbeats carry.
    pub fn status(&self, now: Instant) -> ConfigStatus {
        ConfigStatus {
            version_in_force: self.in_force().map(|config| config.version),
            held_version: self.held_version(),
            confirmed_age: self.confirmation_age(now),
        }
    }

    /// Returns since when a host that holds `theirs` lacks a version that this host holds; `None` if
    /// it lacks none.
    ///
    /// Later versions don't change the moment: it is that of the first one it lacks.
    pub fn lacking_since(&self, theirs: Option<ConfigVersion>) -> Option<Instant> {
        self.adopted.first_above(theirs)
    }

    /// Returns the update for a host that holds `theirs`, or `None` if that is no older.
    pub fn update_since(&self, theirs: Option<ConfigVersion>) -> Option<ConfigUpdate> {
        let held = self.held.as_ref()?;
        if theirs >= Some(held.version) {
            return None;
        }
        let delta = theirs.and_then(|version| self.history.since(version));
        Some(match delta {
            Some(delta) => ConfigUpdate::Delta(delta),
            None => ConfigUpdate::Full(Config::clone(held)),
        })
    }
}
