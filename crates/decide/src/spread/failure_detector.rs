//! Failure detection: which hosts send no heartbeats, which are dead, and which have returned.

use std::time::Instant;

use model::HostId;

use crate::Cx;
use crate::spread::Spread;
use crate::spread::link::Link;
use crate::spread::log_event::SpreadLogEvent;
use crate::spread::msg::SpreadMsg;

/// How many times an unresponsive host whose fact says that it is dead is contacted.
const MAX_TRIES_OF_DEAD_HOST: u32 = 20;

/// A host that sent no heartbeat for `dead_after`.
#[derive(Debug)]
pub struct UnresponsiveHost {
    /// When this host last tried to contact it, or found it silent.
    pub last_tried: Instant,
    /// How many times this host has tried to contact it.
    pub tries: u32,
    /// Whether this host must not publish that it is dead: it has done so already, or another host
    /// still heard it.
    pub skip_declaration: bool,
}

impl Spread {
    /// Asks other hosts of the data centre whether they hear hosts silent for half of `dead_after`.
    ///
    /// Only the link to such a host may be broken; then the host must not be declared dead.
    pub(crate) fn ask_about_silent_hosts(&mut self, cx: &mut Cx<'_>) {
        let ask_after = cx.settings.spread.dead_after / 2;
        let now = cx.now;
        let silent = |link: &Link| now.saturating_duration_since(link.last_heard) >= ask_after;
        for (host, _) in self.links.iter().filter(|(_, link)| silent(link)) {
            let others = self
                .links
                .iter()
                .filter(|(_, link)| link.ever_heard && !silent(link));
            for (other, _) in others.filter(|(other, _)| self.is_in_local_data_centre(other)) {
                let host = host.clone();
                cx.send_control(other, SpreadMsg::AskLiveness { host });
            }
        }
    }

    fn is_in_local_data_centre(&self, host: &HostId) -> bool {
        let info = self.facts.host(host);
        info.is_some_and(|(info, _)| info.data_centre == self.me.data_centre)
    }

    /// Confirms to the asking host that `host` is alive, if this one has heard it recently.
    pub(crate) fn on_ask_liveness(&mut self, cx: &mut Cx<'_>, from: &HostId, host: HostId) {
        let recent = cx.settings.spread.heartbeat * 2;
        let link = self.links.get(&host);
        if link.is_some_and(|link| link.is_alive(cx.now, recent)) {
            cx.send_control(from, SpreadMsg::ConfirmLiveness { host });
        }
    }

    /// Records that another host hears `host`.
    pub(crate) fn on_liveness_confirmed(&mut self, cx: &Cx<'_>, host: &HostId) {
        if let Some(link) = self.links.get_mut(host) {
            link.liveness_confirmed = Some(cx.now);
        }
    }

    /// Drops the links to hosts silent for `dead_after` and counts them as unresponsive.
    pub(crate) fn detect_silent_hosts(&mut self, cx: &mut Cx<'_>) {
        let dead_after = cx.settings.spread.dead_after;
        let silent = |link: &Link| cx.now.saturating_duration_since(link.last_heard) >= dead_after;
        let max_confirmation_age = cx.settings.spread.heartbeat * 3 / 2;
        for (host, link) in self.links.extract_if(.., |_, link| silent(link)) {
            let unresponsive = UnresponsiveHost {
                last_tried: cx.now,
                tries: 0,
                skip_declaration: link
                    .liveness_confirmed
                    .is_some_and(|at| cx.now < at + max_confirmation_age),
            };
            self.unresponsive.insert(host, unresponsive);
            self.tree_stale = true;
        }
    }

    /// Publishes the death of unresponsive hosts of this data centre.
    ///
    /// Only heads and relays do so, once they have heard other hosts for twice `dead_after`.
    pub(crate) fn declare_dead_hosts(&mut self, cx: &mut Cx<'_>) {
        let min_heard_time = cx.settings.spread.dead_after * 2;
        let heard_long_enough = self
            .heard_since
            .is_some_and(|since| since + min_heard_time <= cx.now);
        if !heard_long_enough || !self.tree.may_have_children(&self.me.host) {
            return;
        }
        let mut dead = Vec::new();
        for (host, unresponsive) in &mut self.unresponsive {
            let Some((info, true)) = self.facts.host(host) else {
                continue;
            };
            if !unresponsive.skip_declaration && info.data_centre == self.me.data_centre {
                unresponsive.skip_declaration = true;
                dead.push(host.clone());
            }
        }
        for host in dead {
            let declared = true;
            let Some(fact) = self.facts.death_of(&host) else {
                continue;
            };
            cx.log(SpreadLogEvent::HeartbeatsMissed { host, declared });
            self.merge(cx, fact, None);
        }
    }

    /// Contacts each unresponsive host once per `dead_after`, in case it answers again.
    pub(crate) fn retry_unresponsive_hosts(&mut self, cx: &mut Cx<'_>) {
        let dead_after = cx.settings.spread.dead_after;
        let mut retried = Vec::new();
        self.unresponsive.retain(|host, unresponsive| {
            if cx.now < unresponsive.last_tried + dead_after {
                return true;
            }
            let alive = self.facts.host(host).is_some_and(|(_, alive)| alive);
            unresponsive.last_tried = cx.now;
            unresponsive.tries += 1;
            retried.push(host.clone());
            alive
                || self.other_control_hosts.contains(host)
                || unresponsive.tries < MAX_TRIES_OF_DEAD_HOST
        });
        self.add_dead_hosts_if_isolated(cx, &mut retried);
        for host in retried {
            self.contact_host(cx, &host);
        }
    }

    /// Adds this data centre's dead hosts to those to contact, while no control host is heard.
    ///
    /// A host that restarts there can't find the others by itself: it knows only control hosts.
    fn add_dead_hosts_if_isolated(&mut self, cx: &Cx<'_>, tried: &mut Vec<HostId>) {
        let dead_after = cx.settings.spread.dead_after;
        let mut controls = self.other_control_hosts.iter();
        let heard = controls.any(|host| self.links.get(host).is_some_and(|link| link.ever_heard));
        let is_head = self.tree.heads().contains(&self.me.host);
        if heard
            || !is_head
            || self.me.is_control_host
            || cx.now < self.last_return_search + dead_after
        {
            return;
        }
        self.last_return_search = cx.now;
        let hosts = self.facts.hosts_in(&self.me.data_centre);
        let dead = hosts.filter(|(info, alive)| !alive && !tried.contains(&info.host));
        let dead: Vec<HostId> = dead.map(|(info, _)| info.host.clone()).collect();
        tried.extend(dead);
    }
}
