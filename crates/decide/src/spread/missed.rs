//! Hosts whose heartbeats are missed: which are dead, and which are back.

use std::time::Instant;

use model::HostId;

use crate::Cx;
use crate::spread::Spread;
use crate::spread::link::Link;
use crate::spread::log_event::SpreadLogEvent;
use crate::spread::msg::SpreadMsg;

/// After how many tries a missed host that is known to be dead is tried no more.
const TRIES: u32 = 20;

/// A host whose heartbeats are missed.
#[derive(Debug)]
pub struct Missed {
    /// When it was last tried.
    pub tried: Instant,
    /// How often it was tried.
    pub tries: u32,
    /// Whether this host has spread that it is dead, or another host still hears it.
    pub declared: bool,
}

impl Spread {
    /// Asks the other hosts of the data centre whether they hear hosts that have gone silent.
    ///
    /// It may be the link alone that is broken, and then the host is not dead.
    pub(crate) fn ask_about_silent(&mut self, cx: &mut Cx<'_>) {
        let quiet = cx.settings.spread.dead_after / 2;
        let now = cx.now;
        let silent = |link: &Link| now.saturating_duration_since(link.heard) >= quiet;
        for (host, _) in self.links.iter().filter(|(_, link)| silent(link)) {
            let others = self
                .links
                .iter()
                .filter(|(_, link)| link.met && !silent(link));
            for (other, _) in others.filter(|(other, _)| self.is_home(other)) {
                let host = host.clone();
                cx.send_control(other, SpreadMsg::AskHeard { host });
            }
        }
    }

    fn is_home(&self, host: &HostId) -> bool {
        let info = self.facts.host(host);
        info.is_some_and(|(info, _)| info.data_centre == self.me.data_centre)
    }

    /// Tells another host that this one hears a host.
    pub(crate) fn on_ask_heard(&mut self, cx: &mut Cx<'_>, from: &HostId, host: HostId) {
        let recent = cx.settings.spread.heartbeat * 2;
        let link = self.links.get(&host);
        if link.is_some_and(|link| link.alive(cx.now, recent)) {
            cx.send_control(from, SpreadMsg::Heard { host });
        }
    }

    /// Notes that another host hears a host.
    pub(crate) fn on_heard(&mut self, cx: &Cx<'_>, host: &HostId) {
        if let Some(link) = self.links.get_mut(host) {
            link.vouched = Some(cx.now);
        }
    }

    /// Notes which hosts have been silent for too long.
    pub(crate) fn find_missing(&mut self, cx: &mut Cx<'_>) {
        let dead_after = cx.settings.spread.dead_after;
        let silent = |link: &Link| cx.now.saturating_duration_since(link.heard) >= dead_after;
        let vouched = cx.settings.spread.heartbeat * 3 / 2;
        for (host, link) in self.links.extract_if(.., |_, link| silent(link)) {
            let missed = Missed {
                tried: cx.now,
                tries: 0,
                declared: link.vouched.is_some_and(|at| cx.now < at + vouched),
            };
            self.missed.insert(host, missed);
            self.tree_stale = true;
        }
    }

    /// Spreads the death of hosts of this data centre that are missed.
    pub(crate) fn declare_missing(&mut self, cx: &mut Cx<'_>) {
        let settled = cx.settings.spread.dead_after * 2;
        let settled = self.joined.is_some_and(|joined| joined + settled <= cx.now);
        if !settled || !self.tree.is_parent(&self.me.host) {
            return;
        }
        let mut dead = Vec::new();
        for (host, missed) in &mut self.missed {
            let Some((info, true)) = self.facts.host(host) else {
                continue;
            };
            if !missed.declared && info.data_centre == self.me.data_centre {
                missed.declared = true;
                dead.push(host.clone());
            }
        }
        for host in dead {
            let declared = true;
            let Some(fact) = self.facts.death_of(&host) else {
                continue;
            };
            cx.log(SpreadLogEvent::Missed { host, declared });
            self.merge(cx, fact, None);
        }
    }

    /// Tries whether missed hosts answer again.
    pub(crate) fn retry_missed(&mut self, cx: &mut Cx<'_>) {
        let dead_after = cx.settings.spread.dead_after;
        let mut retried = Vec::new();
        self.missed.retain(|host, missed| {
            if cx.now < missed.tried + dead_after {
                return true;
            }
            let alive = self.facts.host(host).is_some_and(|(_, alive)| alive);
            missed.tried = cx.now;
            missed.tries += 1;
            retried.push(host.clone());
            alive || self.controls.contains(host) || missed.tries < TRIES
        });
        self.look_for_returned(cx, &mut retried);
        for host in retried {
            self.try_host(cx, &host);
        }
    }

    /// Adds dead hosts of a data centre that hears no control host.
    ///
    /// One of them that starts again would find nobody by itself.
    fn look_for_returned(&mut self, cx: &Cx<'_>, tried: &mut Vec<HostId>) {
        let dead_after = cx.settings.spread.dead_after;
        let mut controls = self.controls.iter();
        let heard = controls.any(|host| self.links.get(host).is_some_and(|link| link.met));
        let head = self.tree.heads().contains(&self.me.host);
        if heard || !head || self.me.control || cx.now < self.looked + dead_after {
            return;
        }
        self.looked = cx.now;
        let hosts = self.facts.hosts_of(&self.me.data_centre);
        let dead = hosts.filter(|(info, alive)| !alive && !tried.contains(&info.host));
        let dead: Vec<HostId> = dead.map(|(info, _)| info.host.clone()).collect();
        tried.extend(dead);
    }
}
