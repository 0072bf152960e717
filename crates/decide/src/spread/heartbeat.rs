//! Heartbeats over the links, and the choice of the hosts to have links to.

use evac::EvacuationVersion;
use model::{DataCentreId, HostId};

use crate::Cx;
use crate::spread::Spread;
use crate::spread::facts::FactKey;
use crate::spread::link::Link;
use crate::spread::msg::{Heartbeat, SpreadMsg, StreamPosition, SyncRequest};
use crate::spread::relay_tree::{self, RelayTree};

impl Spread {
    /// Runs all periodic work: failure detection, tree, reports and heartbeats.
    ///
    /// If this host itself was paused, the silence of the others proves nothing, so all links count
    /// as just heard.
    pub(crate) fn heartbeat_round(&mut self, cx: &mut Cx<'_>) {
        let heartbeat = cx.settings.spread.heartbeat;
        let jitter_percent = rand::Rng::random_range(cx.rng, 90..110);
        self.next_heartbeat = cx.now + heartbeat * jitter_percent / 100;
        if self.was_paused(cx) {
            self.links
                .values_mut()
                .for_each(|link| link.last_heard = cx.now);
        }
        self.ask_about_silent_hosts(cx);
        self.detect_silent_hosts(cx);
        self.update_heard_since(cx);
        self.rebuild_tree(cx);
        self.declare_dead_hosts(cx);
        self.retry_unresponsive_hosts(cx);
        self.update_heard_data_centres(cx);
        self.forget_gone_facts(cx);
        self.report_versions(cx);
        self.report_config_lag(cx);
        self.send_due_heartbeats(cx);
        self.flush_facts(cx);
    }

    /// Returns whether this host has not run for a while: it ticks with each heartbeat interval.
    pub(crate) fn was_paused(&self, cx: &Cx<'_>) -> bool {
        let since_last_tick = cx.now.saturating_duration_since(self.last_tick);
        since_last_tick >= cx.settings.spread.dead_after / 2
    }

    /// Updates whether any other host is heard; a host that hears none can't judge the others.
    fn update_heard_since(&mut self, cx: &mut Cx<'_>) {
        let dead_after = cx.settings.spread.dead_after;
        let hears_any = self
            .links
            .values()
            .any(|link| link.is_alive(cx.now, dead_after));
        let heard_any = self.heard_since.is_some();
        if hears_any {
            self.heard_since.get_or_insert(cx.now);
        } else {
            self.heard_since = None;
        }
        if heard_any != hears_any {
            self.update_cut_off(cx);
        }
        if heard_any != hears_any || (!hears_any && self.tree_stale) {
            self.rebuild_tables();
        }
    }

    /// Publishes which other data centres this host hears directly, if they have changed.
    fn update_heard_data_centres(&mut self, cx: &mut Cx<'_>) {
        let dead_after = cx.settings.spread.dead_after;
        let heard = self.links.iter();
        let heard = heard.filter(|(_, link)| link.is_alive(cx.now, dead_after));
        let heard = heard.filter_map(|(host, _)| self.facts.host(host));
        let mut heard_data_centres: Vec<DataCentreId> = heard
            .map(|(info, _)| info.data_centre.clone())
            .filter(|data_centre| *data_centre != self.me.data_centre)
            .collect();
        heard_data_centres.sort();
        heard_data_centres.dedup();
        if heard_data_centres != self.heard_data_centres {
            self.heard_data_centres = heard_data_centres;
            self.publish_own_fact(cx);
        }
    }

    /// Removes facts about hosts and upstreams that have been gone for `forget_after`.
    fn forget_gone_facts(&mut self, cx: &mut Cx<'_>) {
        let forget_after = cx.settings.spread.forget_after;
        if cx.now < self.next_forget {
            return;
        }
        self.next_forget = cx.now + forget_after / 16;
        self.gone_since.retain(|key, since| {
            let keep = cx.now < *since + forget_after;
            if !keep {
                self.facts.remove(key);
                if let FactKey::Host(host) = key {
                    self.host_versions.forget(host);
                }
            }
            keep
        });
    }

    /// Rebuilds the relay tree if hosts have changed, and adds and drops links accordingly.
    fn rebuild_tree(&mut self, cx: &mut Cx<'_>) {
        if !std::mem::take(&mut self.tree_stale) {
            return;
        }
        self.tree = self.compute_tree(cx.settings.spread.relay_fanout);
        let parents = self.parents();
        let expected = self.expected_children();
        for host in parents.iter().chain(&expected) {
            if !self.links.contains_key(host) {
                let link = Link::new(cx.now, self.highest_heartbeat);
                self.links.insert(host.clone(), link);
            }
        }
        for (host, link) in &mut self.links {
            let is_parent = parents.contains(host);
            if link.is_parent && !is_parent {
                cx.send_control(host, SpreadMsg::Unlink);
            }
            link.is_parent = is_parent;
            link.expected_child = expected.contains(host);
        }
        self.links.retain(|_, link| link.is_needed());
    }

    /// Computes the tree of this data centre from its live hosts that are not unresponsive.
    ///
    /// The tree consists of the entry hosts that are not leaving; if there are none, of all hosts.
    fn compute_tree(&self, fanout: usize) -> RelayTree {
        let data_centre = &self.me.data_centre;
        let heard = |host: &HostId| !self.unresponsive.contains_key(host);
        let hosts = self.facts.hosts_in(data_centre);
        let hosts = hosts.filter(|(info, alive)| *alive && heard(&info.host));
        let hosts: Vec<_> = hosts.map(|(info, _)| info).collect();
        let entry = hosts
            .iter()
            .filter(|info| info.is_entry_host && !info.leaving);
        let entry: Vec<HostId> = entry.map(|info| info.host.clone()).collect();
        if !entry.is_empty() {
            return RelayTree::new(data_centre, entry, fanout);
        }
        let all = hosts.iter().map(|info| info.host.clone());
        RelayTree::new(data_centre, all, fanout)
    }

    /// Returns the hosts that this one takes as parents.
    ///
    /// Those are the parents in the tree; the introducer, until a fact about it is known; for a
    /// control host, all other control hosts; and for a head that is no control host, two of them.
    fn parents(&self) -> Vec<HostId> {
        let me = &self.me.host;
        let mut parents = self.tree.parents(me);
        let introducer = self.introducer.iter();
        parents.extend(
            introducer
                .filter(|host| self.facts.host(host).is_none())
                .cloned(),
        );
        let controls = self.other_control_hosts.iter();
        let controls = controls.filter(|host| !self.unresponsive.contains_key(*host));
        if self.me.is_control_host {
            parents.extend(controls.cloned());
        } else if self.tree.heads().contains(me) {
            parents.extend(relay_tree::best_by_rendezvous(me, controls));
        }
        parents
    }

    /// Returns the hosts that have this one as a parent in the tree.
    fn expected_children(&self) -> std::collections::BTreeSet<HostId> {
        let me = &self.me.host;
        if !self.tree.may_have_children(me) {
            return Default::default();
        }
        let hosts = self.facts.hosts_in(&self.me.data_centre);
        let hosts = hosts.filter(|(info, alive)| *alive && info.host != *me);
        let hosts = hosts.map(|(info, _)| &info.host);
        let hosts = hosts.filter(|host| !self.unresponsive.contains_key(*host));
        let hosts = hosts.filter(|host| self.tree.parents(host).contains(me));
        hosts.cloned().collect()
    }

    /// Sends heartbeats to all parents, and to other hosts that have gone silent.
    fn send_due_heartbeats(&mut self, cx: &mut Cx<'_>) {
        let silent_after = cx.settings.spread.dead_after / 2;
        let due = |link: &Link| {
            link.is_parent || cx.now.saturating_duration_since(link.last_heard) >= silent_after
        };
        let links = self.links.iter().filter(|(_, link)| due(link));
        let hosts: Vec<HostId> = links.map(|(host, _)| host.clone()).collect();
        for host in hosts {
            self.send_heartbeat(cx, &host, false);
        }
    }

    fn send_heartbeat(&mut self, cx: &mut Cx<'_>, host: &HostId, is_answer: bool) {
        let sync_request = self.sync_request(cx, host);
        let Some(link) = self.links.get_mut(host) else {
            return;
        };
        let number = link.next_heartbeat(cx.now);
        self.highest_heartbeat = self.highest_heartbeat.max(number);
        let heartbeat = Heartbeat {
            incarnation: self.me.incarnation,
            number,
            echo: link.last_number_received,
            is_answer,
            to_parent: link.is_parent,
            stream_end: link.sent_position,
            digest_summary: self.facts.digest().summary(),
            sync_request,
            config: self.config.status(cx.now),
        };
        let link = self.links.get(host).filter(|_| is_answer);
        let lease = link.and_then(|link| self.lease_for_child(cx.now, link));
        let msg = self.heartbeat_msg(heartbeat, lease);
        cx.send_control(host, msg);
    }

    /// Returns the request for a new stream of facts to put into a heartbeat, if one is needed.
    ///
    /// Only one parent is asked at a time, so that the second sends only what the first one lacks.
    /// The parent that was asked longest ago is next: one that this host hears may not hear it.
    fn sync_request(&mut self, cx: &Cx<'_>, host: &HostId) -> Option<Box<SyncRequest>> {
        let link = self.links.get(host)?;
        if !link.needs_sync || !(link.is_parent || link.is_child) {
            return None;
        }
        if link.is_parent {
            let wait = cx.settings.spread.heartbeat * 3 / 4;
            let other = self
                .last_sync_request
                .as_ref()
                .filter(|(asked, _)| asked != host);
            if other.is_some_and(|(_, at)| cx.now < *at + wait) {
                return None;
            }
            let lacking = self
                .links
                .values()
                .filter(|link| link.is_parent && link.needs_sync);
            if lacking.map(|link| link.sync_requested).min() < Some(link.sync_requested) {
                return None;
            }
            self.last_sync_request = Some((host.clone(), cx.now));
            self.links.get_mut(host)?.sync_requested = Some(cx.now);
        }
        let sender = self.own_fact();
        let digest = self.facts.digest().clone();
        Some(Box::new(SyncRequest { sender, digest }))
    }

    /// Sends a host that may not know this one its own fact, which it needs to answer, and a
    /// heartbeat.
    pub(crate) fn contact_host(&mut self, cx: &mut Cx<'_>, host: &HostId) {
        let position = StreamPosition::default();
        let facts = vec![self.own_fact()];
        cx.send_control(host, SpreadMsg::Facts { position, facts });
        self.send_unlinked_heartbeat(cx, host, 0);
    }

    /// Sends a heartbeat to a host without a link to it; `echo` is 0 unless it is an answer.
    fn send_unlinked_heartbeat(&mut self, cx: &mut Cx<'_>, host: &HostId, echo: u32) {
        let heartbeat = Heartbeat {
            incarnation: self.me.incarnation,
            number: 0,
            echo,
            is_answer: echo != 0,
            to_parent: false,
            stream_end: StreamPosition::default(),
            digest_summary: self.facts.digest().summary(),
            sync_request: None,
            config: self.config.status(cx.now),
        };
        let msg = self.heartbeat_msg(heartbeat, None);
        cx.send_control(host, msg);
    }

    /// Handles a heartbeat or the answer to one.
    ///
    /// Without a link to the sender, one is made if the sender takes this host as a parent, or if
    /// an unknown host contacts this one, which then takes it as its parent.
    ///
    /// `evacuations` is the version of the evacuations that the sender holds.
    pub(crate) fn on_heartbeat(
        &mut self,
        cx: &mut Cx<'_>,
        from: &HostId,
        heartbeat: Heartbeat,
        evacuations: EvacuationVersion,
    ) {
        if self.unresponsive.remove(from).is_some() {
            self.tree_stale = true;
        }
        if !self.links.contains_key(from) {
            let unknown = self.facts.host(from).is_none();
            if !heartbeat.to_parent && (heartbeat.is_answer || !unknown) {
                if !heartbeat.is_answer {
                    self.send_unlinked_heartbeat(cx, from, heartbeat.number.max(1));
                }
                return;
            }
            let mut link = Link::new(cx.now, self.highest_heartbeat);
            if !heartbeat.to_parent {
                self.introducer = Some(from.clone());
                link.is_parent = true;
            }
            self.links.insert(from.clone(), link);
        }
        let Some(link) = self.links.get_mut(from) else {
            return;
        };
        if !link.accept_incarnation(heartbeat.incarnation, cx.now) {
            return;
        }
        let first = !link.ever_heard;
        let is_parent = link.is_parent;
        link.ever_heard = true;
        link.last_heard = cx.now;
        link.is_child = heartbeat.to_parent;
        link.last_number_received = link.last_number_received.max(heartbeat.number);
        link.check_stream_end(heartbeat.stream_end);
        if heartbeat.digest_summary == self.facts.digest().summary() {
            link.deferred.clear();
        }
        let sync_now = heartbeat.is_answer && link.needs_sync && first;
        if let Some(request) = heartbeat.sync_request {
            self.merge(cx, request.sender, Some(from));
            self.start_stream(cx, from, &request.digest);
        }
        if first {
            if self.heard_since.is_none() {
                self.heard_since = Some(cx.now);
                self.update_cut_off(cx);
                self.rebuild_tables();
            }
            self.update_heard_data_centres(cx);
            if is_parent {
                self.report_all_versions(cx, from);
            }
        }
        self.on_config_status(cx, from, heartbeat.echo, heartbeat.config, evacuations);
        if !heartbeat.is_answer {
            self.send_heartbeat(cx, from, true);
        } else if sync_now {
            self.send_heartbeat(cx, from, false);
        }
        self.drop_unneeded_link(from);
    }

    /// Drops the link to a host that is neither parent nor child any more.
    fn drop_unneeded_link(&mut self, host: &HostId) {
        if self.links.get(host).is_some_and(|link| !link.is_needed()) {
            self.links.remove(host);
        }
    }

    /// Handles the message that the sender no longer takes this host as its parent.
    pub(crate) fn on_unlink(&mut self, from: &HostId) {
        if let Some(link) = self.links.get_mut(from) {
            link.is_child = false;
        }
        self.drop_unneeded_link(from);
    }
}
