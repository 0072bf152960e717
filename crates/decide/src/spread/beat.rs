//! Heartbeats: who is alive, and which hosts this one links to.

use model::{DataCentreId, HostId};

use crate::Cx;
use crate::spread::Spread;
use crate::spread::facts::FactKey;
use crate::spread::link::Link;
use crate::spread::msg::{Beat, Hello, Place, SpreadMsg};
use crate::spread::tree::{self, Tree};

impl Spread {
    /// Sends the heartbeats that are due and looks for those that are missing.
    pub(crate) fn beat(&mut self, cx: &mut Cx<'_>) {
        let heartbeat = cx.settings.spread.heartbeat;
        let jitter = rand::Rng::random_range(cx.rng, 90..110);
        self.next_beat = cx.now + heartbeat * jitter / 100;
        let paused = cx.now.saturating_duration_since(self.last_tick);
        if paused >= cx.settings.spread.dead_after / 2 {
            self.links.values_mut().for_each(|link| link.heard = cx.now);
        }
        self.ask_about_silent(cx);
        self.find_missing(cx);
        self.check_joined(cx);
        self.update_tree(cx);
        self.declare_missing(cx);
        self.retry_missed(cx);
        self.update_reaches(cx);
        self.forget(cx);
        self.report_versions(cx);
        self.send_beats(cx);
        self.flush(cx);
    }

    /// Notes whether any other host is heard; one that hears none can't judge the others.
    fn check_joined(&mut self, cx: &mut Cx<'_>) {
        let dead_after = cx.settings.spread.dead_after;
        let heard = self
            .links
            .values()
            .any(|link| link.alive(cx.now, dead_after));
        let was = self.joined.is_some();
        if heard {
            self.joined.get_or_insert(cx.now);
        } else {
            self.joined = None;
        }
        if was != heard {
            self.check_reach(cx);
        }
        if was != heard || (!heard && self.tree_stale) {
            self.show_all();
        }
    }

    fn update_reaches(&mut self, cx: &mut Cx<'_>) {
        let dead_after = cx.settings.spread.dead_after;
        let heard = self.links.iter();
        let heard = heard.filter(|(_, link)| link.alive(cx.now, dead_after));
        let heard = heard.filter_map(|(host, _)| self.facts.host(host));
        let mut reaches: Vec<DataCentreId> = heard
            .map(|(info, _)| info.data_centre.clone())
            .filter(|data_centre| *data_centre != self.me.data_centre)
            .collect();
        reaches.sort();
        reaches.dedup();
        if reaches != self.reaches {
            self.reaches = reaches;
            self.publish_self(cx);
        }
    }

    /// Forgets dead hosts and lapsed upstreams of long ago.
    fn forget(&mut self, cx: &mut Cx<'_>) {
        let forget_after = cx.settings.spread.forget_after;
        if cx.now < self.forget_at {
            return;
        }
        self.forget_at = cx.now + forget_after / 16;
        self.gone.retain(|key, since| {
            let keep = cx.now < *since + forget_after;
            if !keep {
                self.facts.remove(key);
                if let FactKey::Host(host) = key {
                    self.versions.forget(host);
                }
            }
            keep
        });
    }

    /// Works out anew which hosts to link to.
    fn update_tree(&mut self, cx: &mut Cx<'_>) {
        if !std::mem::take(&mut self.tree_stale) {
            return;
        }
        self.tree = self.new_tree(cx.settings.spread.relay_fanout);
        let parents = self.parents();
        let expected = self.expected_children();
        for host in parents.iter().chain(&expected) {
            if !self.links.contains_key(host) {
                self.links.insert(host.clone(), Link::new(cx.now));
            }
        }
        for (host, link) in &mut self.links {
            let up = parents.contains(host);
            if link.up && !up {
                cx.send_control(host, SpreadMsg::Unlink);
            }
            link.up = up;
            link.expected = expected.contains(host);
        }
        self.links.retain(|_, link| link.wanted());
    }

    fn new_tree(&self, fanout: usize) -> Tree {
        let data_centre = &self.me.data_centre;
        let heard = |host: &HostId| !self.missed.contains_key(host);
        let hosts = self.facts.hosts_of(data_centre);
        let hosts = hosts.filter(|(info, alive)| *alive && heard(&info.host));
        let hosts: Vec<_> = hosts.map(|(info, _)| info).collect();
        let entry = hosts.iter().filter(|info| info.entry && !info.leaving);
        let entry: Vec<HostId> = entry.map(|info| info.host.clone()).collect();
        if !entry.is_empty() {
            return Tree::new(data_centre, entry, fanout);
        }
        let all = hosts.iter().map(|info| info.host.clone());
        Tree::new(data_centre, all, fanout)
    }

    fn parents(&self) -> Vec<HostId> {
        let me = &self.me.host;
        let mut parents = self.tree.parents(me);
        let introducer = self.introducer.iter();
        parents.extend(
            introducer
                .filter(|host| self.facts.host(host).is_none())
                .cloned(),
        );
        let controls = self.controls.iter();
        let controls = controls.filter(|host| !self.missed.contains_key(*host));
        if self.me.control {
            parents.extend(controls.cloned());
        } else if self.tree.heads().contains(me) {
            parents.extend(tree::best(me, controls));
        }
        parents
    }

    fn expected_children(&self) -> std::collections::BTreeSet<HostId> {
        let me = &self.me.host;
        if !self.tree.is_parent(me) {
            return Default::default();
        }
        let hosts = self.facts.hosts_of(&self.me.data_centre);
        let hosts = hosts.filter(|(info, alive)| *alive && info.host != *me);
        let hosts = hosts.map(|(info, _)| &info.host);
        let hosts = hosts.filter(|host| !self.missed.contains_key(*host));
        let hosts = hosts.filter(|host| self.tree.parents(host).contains(me));
        hosts.cloned().collect()
    }

    fn send_beats(&mut self, cx: &mut Cx<'_>) {
        let quiet = cx.settings.spread.dead_after / 2;
        let due = |link: &Link| link.up || cx.now.saturating_duration_since(link.heard) >= quiet;
        let links = self.links.iter().filter(|(_, link)| due(link));
        let hosts: Vec<HostId> = links.map(|(host, _)| host.clone()).collect();
        for host in hosts {
            self.send_beat(cx, &host, false);
        }
    }

    fn send_beat(&mut self, cx: &mut Cx<'_>, host: &HostId, answer: bool) {
        let hello = self.hello(cx, host);
        let Some(link) = self.links.get_mut(host) else {
            return;
        };
        let beat = Beat {
            incarnation: self.me.incarnation,
            number: link.next_beat(cx.now),
            echo: link.echo,
            answer,
            linked: link.up,
            sent: link.sent,
            summary: self.facts.digest().summary(),
            hello,
            config: self.config.state(cx.now),
        };
        cx.send_control(host, SpreadMsg::Beat(Box::new(beat)));
    }

    /// Returns the request for a new stream of facts, if one is needed.
    ///
    /// Only one parent is asked at a time, so that the second sends what the first has not; the
    /// one that was asked longest ago is next, since one that is heard need not hear this host.
    fn hello(&mut self, cx: &Cx<'_>, host: &HostId) -> Option<Box<Hello>> {
        let link = self.links.get(host)?;
        if !link.need || !(link.up || link.down) {
            return None;
        }
        if link.up {
            let wait = cx.settings.spread.heartbeat * 3 / 4;
            let other = self.asked.as_ref().filter(|(asked, _)| asked != host);
            if other.is_some_and(|(_, at)| cx.now < *at + wait) {
                return None;
            }
            let lacking = self.links.values().filter(|link| link.up && link.need);
            if lacking.map(|link| link.asked).min() < Some(link.asked) {
                return None;
            }
            self.asked = Some((host.clone(), cx.now));
            self.links.get_mut(host)?.asked = Some(cx.now);
        }
        let me = self.self_fact();
        let digest = self.facts.digest().clone();
        Some(Box::new(Hello { me, digest }))
    }

    /// Sends a beat to a host that may not know this one, with what it needs to answer.
    pub(crate) fn try_host(&mut self, cx: &mut Cx<'_>, host: &HostId) {
        let place = Place::default();
        let facts = vec![self.self_fact()];
        cx.send_control(host, SpreadMsg::Facts { place, facts });
        self.send_stray_beat(cx, host, 0);
    }

    /// Sends a beat to a host that there is no link to.
    fn send_stray_beat(&mut self, cx: &mut Cx<'_>, host: &HostId, echo: u32) {
        let beat = Beat {
            incarnation: self.me.incarnation,
            number: 0,
            echo,
            answer: echo != 0,
            linked: false,
            sent: Place::default(),
            summary: self.facts.digest().summary(),
            hello: None,
            config: self.config.state(cx.now),
        };
        cx.send_control(host, SpreadMsg::Beat(Box::new(beat)));
    }

    /// Takes a heartbeat or the answer to one.
    pub(crate) fn on_beat(&mut self, cx: &mut Cx<'_>, from: &HostId, beat: Beat) {
        if self.missed.remove(from).is_some() {
            self.tree_stale = true;
        }
        if !self.links.contains_key(from) {
            let unknown = self.facts.host(from).is_none();
            if !beat.linked && (beat.answer || !unknown) {
                if !beat.answer {
                    self.send_stray_beat(cx, from, beat.number.max(1));
                }
                return;
            }
            let mut link = Link::new(cx.now);
            if !beat.linked {
                self.introducer = Some(from.clone());
                link.up = true;
            }
            self.links.insert(from.clone(), link);
        }
        let Some(link) = self.links.get_mut(from) else {
            return;
        };
        if !link.accept(beat.incarnation, cx.now) {
            return;
        }
        let first = !link.met;
        let up = link.up;
        link.met = true;
        link.heard = cx.now;
        link.down = beat.linked;
        link.echo = link.echo.max(beat.number);
        link.check_stream(beat.sent);
        if beat.summary == self.facts.digest().summary() {
            link.lazy.clear();
        }
        let answer_hello = beat.answer && link.need && first;
        if let Some(hello) = beat.hello {
            self.merge(cx, hello.me, Some(from));
            self.start_stream(cx, from, &hello.digest);
        }
        if first {
            if self.joined.is_none() {
                self.joined = Some(cx.now);
                self.check_reach(cx);
                self.show_all();
            }
            self.update_reaches(cx);
            if up {
                self.report_all_versions(cx, from);
            }
        }
        self.on_config_state(cx, from, beat.echo, beat.config);
        if !beat.answer {
            self.send_beat(cx, from, true);
        } else if answer_hello {
            self.send_beat(cx, from, false);
        }
        self.drop_unwanted(from);
    }

    fn drop_unwanted(&mut self, host: &HostId) {
        if self.links.get(host).is_some_and(|link| !link.wanted()) {
            self.links.remove(host);
        }
    }

    /// Notes that another host no longer takes this one as its parent.
    pub(crate) fn on_unlink(&mut self, from: &HostId) {
        if let Some(link) = self.links.get_mut(from) {
            link.down = false;
        }
        self.drop_unwanted(from);
    }
}
