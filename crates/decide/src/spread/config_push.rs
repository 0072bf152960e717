//! Dissemination of the configuration, its confirmations and the versions in force, over links.

use std::time::Duration;

use evac::{EvacEvent, EvacuationVersion};
use model::{ConfigVersion, HostId};

use crate::Cx;
use crate::spread::Spread;
use crate::spread::config_lag::Withheld;
use crate::spread::host_versions::HostVersion;
use crate::spread::link::Link;
use crate::spread::log_event::SpreadLogEvent;
use crate::spread::msg::{ConfigStatus, ConfigUpdate, SpreadMsg};
use crate::spread::relay_tree;

/// Time for which a host must have lacked a version before a parent other than its first sender
/// sends it a large update.
const TAKE_OVER_AFTER: Duration = Duration::from_secs(1);

/// Heartbeat intervals for which a host must have lacked a version before one that is not its parent
/// sends it an update.
const TAKE_OVER_HEARTBEATS: u32 = 2;

/// The most entries, some 6 KB, of an update that all parents of a host send to it at once.
const LARGE_UPDATE_ENTRIES: usize = 64;

impl Spread {
    /// Applies an update of the configuration, and forwards it if it was new.
    pub(crate) fn on_config_update(
        &mut self,
        cx: &mut Cx<'_>,
        from: &HostId,
        update: ConfigUpdate,
    ) {
        let (base, version) = (update.base(), update.version());
        if let Some(link) = self.links.get_mut(from) {
            link.held_version = link.held_version.max(Some(version));
        }
        let previous = self.config.in_force().map(|config| config.version);
        if self
            .config
            .apply_update(update, cx.now, &cx.settings.spread)
        {
            self.forward_config(cx, Some(from), previous);
        } else {
            self.report_rejected_update(cx, from, base, version);
        }
    }

    /// Sends a new configuration to other hosts; `previous` is the version in force before it.
    ///
    /// One from a parent goes at once to children, and from a control host to the heads of which it
    /// is the first sender, also if it takes them as parents: nobody else would send them a large
    /// one. Other links get it if they still lack it `TAKE_OVER_HEARTBEATS` later.
    pub(crate) fn forward_config(
        &mut self,
        cx: &mut Cx<'_>,
        from: Option<&HostId>,
        previous: Option<ConfigVersion>,
    ) {
        self.config_sender = from.cloned();
        self.record_held_version();
        if self.config.in_force().is_some() {
            self.view_changed = true;
            self.log_config_in_force(cx, previous, "newer");
        }
        let from_parent = from.is_some_and(|from| {
            let link = self.links.get(from);
            link.is_some_and(|link| !link.is_child_only())
        });
        let is_due = |(host, link): &(&HostId, &Link)| {
            let sends_first = || !self.is_control_host(host) && self.is_first_sender_to(host);
            link.ever_heard && (!from_parent || link.is_child_only() || sends_first())
        };
        let to = self.links.iter().filter(is_due);
        let to: Vec<HostId> = to.map(|(host, _)| host.clone()).collect();
        for host in to {
            self.push_config(cx, &host);
        }
    }

    /// Puts the held configuration in force once its conditions are met.
    pub(crate) fn put_config_in_force(&mut self, cx: &mut Cx<'_>) {
        let is_newest = self.evacuations.is_newest_nearby();
        let settings = &cx.settings.spread;
        let Some(reason) = self.config.try_put_in_force(cx.now, settings, is_newest) else {
            return;
        };
        self.view_changed = true;
        self.log_config_in_force(cx, None, reason);
    }

    fn log_config_in_force(
        &self,
        cx: &mut Cx<'_>,
        previous: Option<ConfigVersion>,
        reason: &'static str,
    ) {
        if let Some(config) = self.config.in_force() {
            cx.log(SpreadLogEvent::ConfigInForce {
                version: config.version,
                reason,
                from: self.config_sender.clone(),
                previous: previous.unwrap_or(0),
            });
        }
    }

    /// Handles the configuration status in a heartbeat, and sends an update that the host lacks.
    pub(crate) fn on_config_status(
        &mut self,
        cx: &mut Cx<'_>,
        from: &HostId,
        echo: u32,
        theirs: ConfigStatus,
        evacuations: EvacuationVersion,
    ) {
        let sender = self.facts.host(from);
        let is_local = sender.is_some_and(|(info, _)| info.data_centre == self.me.data_centre);
        if let Some(version) = theirs.version_in_force.filter(|_| is_local) {
            self.config.record_data_centre_version(version);
        }
        self.on_evacuations_held(cx, from, evacuations, is_local);
        self.record_newer_version(from, theirs.held_version, cx.now);
        let Some(link) = self.links.get_mut(from) else {
            return;
        };
        link.version_in_force = theirs.version_in_force;
        link.record_config_held(echo, theirs.held_version);
        if let Some(version) = theirs.version_in_force.filter(|_| link.is_child_only()) {
            self.host_versions.record(from, version);
        }
        let sent_at = link.heartbeat_sent_at(echo);
        let confirmed_at = sent_at.zip(theirs.confirmed_age);
        let confirmed_at = confirmed_at.and_then(|(at, age)| at.checked_sub(age));
        // While this host lacks orders that the sender knows, its own state isn't confirmed.
        if let Some((version, at)) = theirs.held_version.zip(confirmed_at)
            && evacuations <= self.evacuations.version()
        {
            self.config.record_confirmation(version, at);
            let version = evacuations;
            self.evacuations
                .reduce(cx.now, EvacEvent::Confirmed { version, at });
        }
        let deferral = cx.settings.spread.heartbeat * TAKE_OVER_HEARTBEATS;
        let lacking_since = self.config.lacking_since(link.held_version);
        let deferral_over = lacking_since.is_none_or(|since| cx.now >= since + deferral);
        let withheld = if link.is_child_only() || deferral_over {
            self.push_config(cx, from)
        } else {
            Some(Withheld::LeftToParents)
        };
        if let Some(reason) = withheld {
            self.report_withheld_update(cx, from, reason);
        }
    }

    /// Sends a host the update of the configuration that it lacks, if any; returns why not, if it
    /// lacks one.
    ///
    /// The evacuations go first, so that no configuration comes into force without them.
    fn push_config(&mut self, cx: &mut Cx<'_>, host: &HostId) -> Option<Withheld> {
        self.push_evacuations(cx, host);
        let link = self.links.get(host)?;
        let lacking_since = self.config.lacking_since(link.held_version)?;
        let Some(update) = self.config.update_since(link.expected_version()) else {
            return Some(Withheld::InFlight);
        };
        // Sent by both parents, a large update would occupy this host's link and the child's for
        // seconds.
        if update.is_large(LARGE_UPDATE_ENTRIES)
            && cx.now < lacking_since + TAKE_OVER_AFTER
            && !self.is_first_sender_to(host)
        {
            return Some(Withheld::LeftToFirstSender);
        }
        let link = self.links.get_mut(host)?;
        link.record_config_sent(update.version());
        cx.send_control(host, SpreadMsg::Config(Box::new(update)));
        None
    }

    /// Returns whether this host is the parent that sends large updates to `host` at once.
    ///
    /// The other parents send them only once the host has lacked a version for `TAKE_OVER_AFTER`.
    fn is_first_sender_to(&self, host: &HostId) -> bool {
        let receiver = self.facts.host(host);
        let is_local = receiver.is_some_and(|(info, _)| info.data_centre == self.me.data_centre);
        let is_head = self.tree.heads().contains(host);
        let parents = if is_local && !is_head && !self.is_control_host(host) {
            // The tree lists the heads by rank; by rendezvous each is first for some hosts.
            relay_tree::best_by_rendezvous(host, &self.tree.parents(host))
        } else if self.me.is_control_host {
            let others = self
                .other_control_hosts
                .iter()
                .filter(|other| *other != host && self.links.contains_key(*other));
            relay_tree::best_by_rendezvous(host, others.chain([&self.me.host]))
        } else {
            // Control hosts send to one another and to heads.
            return false;
        };
        let first = parents
            .iter()
            .find(|parent| !self.unresponsive.contains_key(*parent));
        first.is_none_or(|first| *first == self.me.host)
    }

    fn is_control_host(&self, host: &HostId) -> bool {
        let receiver = self.facts.host(host);
        receiver.is_some_and(|(info, _)| info.is_control_host)
    }

    /// Records the versions in force on the hosts below the sender.
    pub(crate) fn on_versions(&mut self, rows: &[HostVersion]) {
        for row in rows.iter().filter(|row| row.host != self.me.host) {
            self.host_versions.record(&row.host, row.version);
        }
    }

    /// Reports changed versions in force on the hosts below this one to its parents.
    pub(crate) fn report_versions(&mut self, cx: &mut Cx<'_>) {
        let rows = self.host_versions.take_report(cx.now);
        if rows.is_empty() {
            return;
        }
        for (host, _) in self
            .links
            .iter()
            .filter(|(_, link)| link.is_parent && link.ever_heard)
        {
            cx.send_control(host, SpreadMsg::Versions(rows.clone()));
        }
    }

    /// Reports all known versions in force to a new parent.
    pub(crate) fn report_all_versions(&mut self, cx: &mut Cx<'_>, to: &HostId) {
        let rows = self.host_versions.all_rows();
        if !rows.is_empty() {
            cx.send_control(to, SpreadMsg::Versions(rows));
        }
    }
}
