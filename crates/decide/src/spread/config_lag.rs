//! Reports of hosts that lack a version of the configuration: on the host itself, and on those that
//! send it updates.

use std::time::{Duration, Instant};

use model::{ConfigVersion, HostId};

use crate::Cx;
use crate::spread::Spread;
use crate::spread::log_event::SpreadLogEvent;
use crate::spread::version_times::VersionTimes;

/// Time for which a version must be lacking before that is reported, and between two reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Number of newer versions whose times a host remembers while it lacks them.
const REMEMBERED_VERSIONS: usize = 64;

/// Why a host sends no update to one that lacks a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withheld {
    /// Another parent of that host is the first to send it a large update.
    LeftToFirstSender,
    /// That host is no child of this one, and its own parents come first.
    LeftToParents,
    /// An update was sent that the host has not confirmed.
    InFlight,
}

impl Withheld {
    /// Returns the value of the field `reason` of event 533.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::LeftToFirstSender => "left-to-first-sender",
            Self::LeftToParents => "left-to-parents",
            Self::InFlight => "in-flight",
        }
    }
}

/// The versions newer than the held one that a host has heard of.
#[derive(Debug)]
pub struct ConfigLag {
    /// When the host heard of each of them.
    newer: VersionTimes,
    /// The host that reported the newest of them.
    newest_holder: Option<HostId>,
    /// The host whose update could not be applied since the held version last changed.
    rejected_from: Option<HostId>,
    report_at: Instant,
}

impl ConfigLag {
    /// Returns the state of a host that has heard of no newer version.
    pub fn new(now: Instant) -> Self {
        Self {
            newer: VersionTimes::default(),
            newest_holder: None,
            rejected_from: None,
            report_at: now,
        }
    }

    /// Records that another host holds a version, while this one holds `held`.
    fn record(
        &mut self,
        host: &HostId,
        version: ConfigVersion,
        held: Option<ConfigVersion>,
        now: Instant,
    ) {
        if Some(version) > held && Some(version) > self.newer.newest() {
            self.newest_holder = Some(host.clone());
            self.newer.record(version, now, REMEMBERED_VERSIONS);
        }
    }

    fn on_version_held(&mut self, version: ConfigVersion) {
        self.newer.forget_up_to(version);
        self.rejected_from = None;
    }

    /// Returns the report that is due, if a version has been lacking for long enough.
    fn take_report(&mut self, held: Option<ConfigVersion>, now: Instant) -> Option<SpreadLogEvent> {
        let lacking = now.saturating_duration_since(self.newer.first_above(held)?);
        if lacking < REPORT_INTERVAL || now < self.report_at {
            return None;
        }
        self.report_at = now + REPORT_INTERVAL;
        Some(SpreadLogEvent::ConfigBehind {
            held: held.unwrap_or(0),
            newest: self.newer.newest()?,
            known_by: self.newest_holder.clone()?,
            lacking,
            rejected_from: self.rejected_from.clone(),
        })
    }
}

impl Spread {
    /// Records the version that another host holds, by its heartbeat.
    pub(crate) fn record_newer_version(
        &mut self,
        host: &HostId,
        version: Option<ConfigVersion>,
        now: Instant,
    ) {
        let held = self.config.held_version();
        if let Some(version) = version {
            self.config_lag.record(host, version, held, now);
        }
    }

    /// Records that the held version has changed.
    pub(crate) fn record_held_version(&mut self) {
        if let Some(version) = self.config.held_version() {
            self.config_lag.on_version_held(version);
        }
    }

    /// Reports an update that can't be applied, unless it leads to no newer version.
    pub(crate) fn report_rejected_update(
        &mut self,
        cx: &mut Cx<'_>,
        from: &HostId,
        base: Option<ConfigVersion>,
        version: ConfigVersion,
    ) {
        let held = self.config.held_version();
        if Some(version) <= held {
            return;
        }
        self.config_lag.rejected_from = Some(from.clone());
        cx.log(SpreadLogEvent::ConfigUpdateRejected {
            from: from.clone(),
            base: base.unwrap_or(0),
            version,
            held: held.unwrap_or(0),
        });
    }

    /// Reports that this host lacks a version for longer than an update should take.
    pub(crate) fn report_config_lag(&mut self, cx: &mut Cx<'_>) {
        let held = self.config.held_version();
        if let Some(report) = self.config_lag.take_report(held, cx.now) {
            cx.log(report);
        }
    }

    /// Reports that another host lacks a version for long and is sent no update.
    pub(crate) fn report_withheld_update(
        &mut self,
        cx: &mut Cx<'_>,
        host: &HostId,
        reason: Withheld,
    ) {
        let Some(link) = self.links.get_mut(host) else {
            return;
        };
        let (held, newest) = (link.held_version, self.config.held_version());
        let Some(since) = self.config.lacking_since(held) else {
            return;
        };
        let lacking = cx.now.saturating_duration_since(since);
        let reported = link.withheld_reported_at;
        let is_due = reported.is_none_or(|at| cx.now >= at + REPORT_INTERVAL);
        // A host without a configuration gets the whole one, which may take longer.
        if held.is_none() || lacking < REPORT_INTERVAL || !is_due {
            return;
        }
        link.withheld_reported_at = Some(cx.now);
        cx.log(SpreadLogEvent::ConfigWithheld {
            host: host.clone(),
            held: held.unwrap_or(0),
            newest: newest.unwrap_or(0),
            lacking,
            reason: reason.as_str(),
        });
    }
}
