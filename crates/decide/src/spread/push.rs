//! How configuration and its confirmations flow from link to link.

use std::time::Duration;

use model::HostId;

use crate::Cx;
use crate::spread::Spread;
use crate::spread::log_event::SpreadLogEvent;
use crate::spread::msg::{ConfigState, ConfigUpdate, SpreadMsg};
use crate::spread::tree;
use crate::spread::versions::HostVersion;

/// How long an update may be on its way before it is sent again.
const RESEND_AFTER: Duration = Duration::from_secs(1);

/// From how many changed entries on an update comes from one parent only at first; some 6 KB.
const LARGE_UPDATE: usize = 64;

impl Spread {
    /// Takes an update of the configuration.
    pub(crate) fn on_update(&mut self, cx: &mut Cx<'_>, from: &HostId, update: ConfigUpdate) {
        let version = update.version();
        if let Some(link) = self.links.get_mut(from) {
            link.held = link.held.max(Some(version));
        }
        if self.config.take(update, &cx.settings.spread) {
            self.after_config(cx, Some(from));
        }
    }

    /// Sends a new configuration on: to children at once, to others if they then lack it.
    pub(crate) fn after_config(&mut self, cx: &mut Cx<'_>, from: Option<&HostId>) {
        self.config_since = cx.now;
        if let Some(config) = self.config.in_force() {
            self.view_changed = true;
            let version = config.version;
            let reason = "newer";
            cx.log(SpreadLogEvent::ConfigInForce { version, reason });
        }
        let from_above = from.is_some_and(|from| {
            let link = self.links.get(from);
            link.is_some_and(|link| !link.child())
        });
        let to = self.links.iter();
        let to = to.filter(|(_, link)| link.met && (!from_above || link.child()));
        let to: Vec<HostId> = to.map(|(host, _)| host.clone()).collect();
        for host in to {
            self.push_config(cx, &host);
        }
    }

    /// Puts the configuration in force once it may be.
    pub(crate) fn put_config_in_force(&mut self, cx: &mut Cx<'_>) {
        let Some(reason) = self.config.put_in_force(cx.now, &cx.settings.spread) else {
            return;
        };
        self.view_changed = true;
        if let Some(config) = self.config.in_force() {
            let version = config.version;
            cx.log(SpreadLogEvent::ConfigInForce { version, reason });
        }
    }

    /// Takes what another host's heartbeat says of the configuration.
    pub(crate) fn on_config_state(
        &mut self,
        cx: &mut Cx<'_>,
        from: &HostId,
        echo: u32,
        theirs: ConfigState,
    ) {
        let home = self.facts.host(from);
        let home = home.is_some_and(|(info, _)| info.data_centre == self.me.data_centre);
        if let Some(version) = theirs.version.filter(|_| home) {
            self.config.report_home(version);
        }
        let Some(link) = self.links.get_mut(from) else {
            return;
        };
        link.version = theirs.version;
        link.held = theirs.held;
        if let Some(version) = theirs.version.filter(|_| link.child()) {
            self.versions.note(from, version);
        }
        let dated = link.dated(echo);
        let since = dated.zip(theirs.confirmed_age);
        let since = since.and_then(|(at, age)| at.checked_sub(age));
        if let Some((version, at)) = theirs.held.zip(since) {
            self.config.confirm(version, at);
        }
        let settled = cx.now >= self.config_since + cx.settings.spread.heartbeat * 2;
        if link.child() || settled {
            self.push_config(cx, from);
        }
    }

    /// Sends a host what it lacks of the configuration.
    fn push_config(&mut self, cx: &mut Cx<'_>, host: &HostId) {
        let recent = cx.now < self.config_since + RESEND_AFTER;
        let waits = recent && !self.pushes_first(host);
        let Some(link) = self.links.get_mut(host) else {
            return;
        };
        let sent = link.config_sent;
        let sent = sent.filter(|(_, at)| cx.now < *at + RESEND_AFTER);
        let theirs = link.held.max(sent.map(|(version, _)| version));
        let Some(update) = self.config.update_since(theirs) else {
            return;
        };
        // Twice over, a large update would fill the child's link and this host's own for seconds.
        if waits && update.is_large(LARGE_UPDATE) {
            return;
        }
        link.config_sent = Some((update.version(), cx.now));
        cx.send_control(host, SpreadMsg::Config(Box::new(update)));
    }

    /// Returns whether this host is the parent that sends large updates to a host at once.
    ///
    /// The other parents send them to hosts that still lack them after a while.
    fn pushes_first(&self, host: &HostId) -> bool {
        let home = self.facts.host(host);
        let home = home.is_some_and(|(info, _)| info.data_centre == self.me.data_centre);
        let parents = if home && !self.me.control {
            self.tree.parents(host)
        } else {
            let others = self
                .controls
                .iter()
                .filter(|host| self.links.contains_key(*host));
            tree::best(host, others.chain(self.me.control.then_some(&self.me.host)))
        };
        let first = parents
            .iter()
            .find(|parent| !self.missed.contains_key(*parent));
        first.is_none_or(|first| *first == self.me.host)
    }

    /// Takes versions in force on hosts below another.
    pub(crate) fn on_versions(&mut self, rows: &[HostVersion]) {
        for row in rows.iter().filter(|row| row.host != self.me.host) {
            self.versions.note(&row.host, row.version);
        }
    }

    /// Reports to the parents what versions hosts below have in force.
    pub(crate) fn report_versions(&mut self, cx: &mut Cx<'_>) {
        let rows = self.versions.report(cx.now);
        if rows.is_empty() {
            return;
        }
        for (host, _) in self.links.iter().filter(|(_, link)| link.up && link.met) {
            cx.send_control(host, SpreadMsg::Versions(rows.clone()));
        }
    }

    /// Reports all of them to a new parent.
    pub(crate) fn report_all_versions(&mut self, cx: &mut Cx<'_>, to: &HostId) {
        let rows = self.versions.all();
        if !rows.is_empty() {
            cx.send_control(to, SpreadMsg::Versions(rows));
        }
    }
}
