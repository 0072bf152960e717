//! Merging of facts, and the changes of tables, tree and queues that follow from a new one.

use model::{HostId, HostInfo};

use crate::spread::Spread;
use crate::spread::facts::{Fact, MergeResult};
use crate::spread::log_event::SpreadLogEvent;
use crate::spread::msg::{SpreadMsg, StreamPosition};
use crate::{Cx, Effect};

impl Spread {
    /// Merges a fact, and queues it for the other links if it is new.
    ///
    /// `source` is the host that sent it, or `None` for a fact of this host. A sender with an
    /// older fact gets the newer one back.
    pub(crate) fn merge(&mut self, cx: &mut Cx<'_>, fact: Fact, source: Option<&HostId>) {
        if let Some(source) = source
            && self.intercept_death_fact(cx, &fact, source)
        {
            return;
        }
        let key = fact.key();
        if fact.is_gone() && self.facts.get(&key).is_none() {
            return;
        }
        match self.facts.merge(&fact) {
            MergeResult::New(old) => {
                self.queue_for_links(cx, &key, source);
                self.apply_merged(cx, &fact, old.as_ref());
                if let (Fact::Upstream { announcement, live }, Some(_)) = (&fact, source)
                    && !live
                {
                    self.reconcile_with_lease(cx, announcement);
                }
            }
            MergeResult::Known => {
                if let Some(link) = source.and_then(|source| self.links.get_mut(source)) {
                    link.mark_known(&key);
                }
            }
            MergeResult::Stale => {
                if let Some(link) = source.and_then(|source| self.links.get_mut(source)) {
                    link.queue_fact(&key, None);
                    self.flush_at
                        .get_or_insert(cx.now + cx.settings.spread.batch_delay);
                }
            }
        }
    }

    /// Handles facts that are not to be merged, and returns whether this was one.
    ///
    /// This host refutes its own death. It forwards the death of a host that it hears to that
    /// host instead of merging it, and waits for the refutation, so that its view doesn't flap.
    fn intercept_death_fact(&mut self, cx: &mut Cx<'_>, fact: &Fact, source: &HostId) -> bool {
        let Fact::Host {
            info,
            sequence,
            alive,
            ..
        } = fact
        else {
            return false;
        };
        if info.host == self.me.host {
            if info.incarnation == self.me.incarnation && *sequence >= self.own_sequence && !alive {
                self.own_sequence = *sequence;
                self.publish_own_fact(cx);
                let sequence = self.own_sequence;
                cx.log(SpreadLogEvent::DeathRefuted { sequence });
            }
            return true;
        }
        let Some(link) = self.links.get_mut(&info.host).filter(|_| !alive) else {
            return false;
        };
        let dead_after = cx.settings.spread.dead_after;
        if *source == info.host
            || !link.is_alive(cx.now, dead_after)
            || link.incarnation != info.incarnation
        {
            return false;
        }
        let facts = vec![fact.clone()];
        let position = StreamPosition::default();
        cx.send_control(&info.host, SpreadMsg::Facts { position, facts });
        true
    }

    /// Returns this host's fact about itself.
    pub(crate) fn own_fact(&self) -> Fact {
        Fact::Host {
            info: self.me.clone(),
            sequence: self.own_sequence,
            alive: true,
            heard_data_centres: self.heard_data_centres.clone(),
        }
    }

    /// Publishes this host's fact about itself, with a new sequence.
    pub(crate) fn publish_own_fact(&mut self, cx: &mut Cx<'_>) {
        self.own_sequence += 1;
        let fact = self.own_fact();
        self.merge(cx, fact, None);
    }

    /// Applies a new fact to tables, tree, addresses and log.
    fn apply_merged(&mut self, cx: &mut Cx<'_>, fact: &Fact, old: Option<&Fact>) {
        if fact.is_gone() {
            self.gone_since.insert(fact.key(), cx.now);
        } else {
            self.gone_since.remove(&fact.key());
        }
        match fact {
            Fact::Host { info, alive, .. } => self.apply_host_fact(cx, info, *alive, fact, old),
            Fact::Upstream { announcement, live } => {
                self.log_upstream_change(cx, announcement, *live, old);
                // A withdrawal counts for one that has left the tables already, too.
                self.view_changed |= announcement.leaving;
                self.update_upstream_row(announcement, *live);
            }
            Fact::Primary {
                service,
                term,
                upstream,
            } => {
                self.tables.set_primary(service, *term, upstream);
                cx.log(SpreadLogEvent::PrimaryLearned {
                    service: service.clone(),
                    term: *term,
                    upstream: upstream.clone(),
                });
            }
        }
    }

    fn apply_host_fact(
        &mut self,
        cx: &mut Cx<'_>,
        info: &HostInfo,
        alive: bool,
        fact: &Fact,
        old: Option<&Fact>,
    ) {
        let old_info = old.and_then(Fact::as_host);
        let host = info.host.clone();
        if host != self.me.host && old_info.map(|old| old.peer_addr) != Some(info.peer_addr) {
            let addr = info.peer_addr;
            let host = host.clone();
            cx.emit(Effect::SetPeerAddress { host, addr });
        }
        self.log_host_change(cx, info, alive, old);
        if info.data_centre == self.me.data_centre {
            self.tree_stale = true;
        }
        if info.is_control_host {
            self.tree_stale = true;
            if alive && host != self.me.host {
                self.other_control_hosts.insert(host.clone());
            } else if !self.seeds.contains_key(&host) {
                self.other_control_hosts.remove(&host);
            }
        }
        let hears_others = |fact: &Fact| {
            matches!(
                fact,
                Fact::Host { heard_data_centres, .. } if !heard_data_centres.is_empty()
            )
        };
        let was_alive = old.is_some_and(|old| !old.is_gone());
        let alone = alive != was_alive && self.facts.live_hosts_up_to_two(&info.data_centre) <= 1;
        if alone || hears_others(fact) || old.is_some_and(hears_others) {
            self.update_cut_off(cx);
        }
        self.update_host_row(info, alive);
    }

    /// Recomputes which data centres are cut off from this host; all are while it hears no host.
    pub(crate) fn update_cut_off(&mut self, cx: &mut Cx<'_>) {
        let cut_off = if self.heard_since.is_some() {
            self.facts.cut_off_from(&self.me.data_centre)
        } else {
            self.facts.other_data_centres(&self.me.data_centre)
        };
        if cut_off == self.cut_off {
            return;
        }
        self.cut_off = cut_off;
        let cut_off = self.cut_off.len();
        cx.log(SpreadLogEvent::ReachChanged { cut_off });
        self.rebuild_tables();
    }

    /// Updates the tables from all facts, after `cut_off` or `heard_since` has changed.
    pub(crate) fn rebuild_tables(&mut self) {
        let facts = std::mem::take(&mut self.facts);
        for fact in facts.iter() {
            if let Fact::Host { info, alive, .. } = fact {
                self.update_host_row(info, *alive);
            }
        }
        for fact in facts.iter() {
            if let Fact::Upstream { announcement, live } = fact {
                self.update_upstream_row(announcement, *live);
            }
        }
        self.facts = facts;
    }

    /// Adds a host to the tables or removes it.
    ///
    /// While this host hears no other one, hosts that it found unresponsive are removed too.
    fn update_host_row(&mut self, info: &HostInfo, alive: bool) {
        let alone = self.heard_since.is_none() && self.unresponsive.contains_key(&info.host);
        if alive && !alone && !self.cut_off.contains(&info.data_centre) {
            self.tables.set_host(info);
        } else {
            self.tables.remove_host(&info.host);
        }
    }

    /// Adds an upstream to the tables, or removes one that is lapsed, leaving or cut off.
    fn update_upstream_row(&mut self, announcement: &model::Announcement, live: bool) {
        if live && !announcement.leaving && !self.cut_off.contains(&announcement.data_centre) {
            self.tables.set_upstream(announcement);
        } else {
            self.tables.remove_upstream(&announcement.upstream);
        }
    }

    fn log_upstream_change(
        &self,
        cx: &mut Cx<'_>,
        announcement: &model::Announcement,
        live: bool,
        old: Option<&Fact>,
    ) {
        let upstream = announcement.upstream.clone();
        let sequence = announcement.sequence;
        let old = old.filter(|old| !old.is_gone());
        if announcement.leaving {
            return cx.log(SpreadLogEvent::UpstreamLeaving { upstream, sequence });
        }
        if live && old.is_none() {
            cx.log(SpreadLogEvent::UpstreamLive {
                upstream: upstream.clone(),
                service: announcement.service.clone(),
                sequence,
            });
        } else if old.is_some() && !live {
            return cx.log(SpreadLogEvent::UpstreamLapsed { upstream, sequence });
        }
        let was_draining = old
            .and_then(Fact::as_upstream)
            .is_some_and(|old| old.draining);
        if live && announcement.draining && !was_draining {
            cx.log(SpreadLogEvent::UpstreamDraining { upstream, sequence });
        }
    }

    fn log_host_change(&self, cx: &mut Cx<'_>, info: &HostInfo, alive: bool, old: Option<&Fact>) {
        let host = info.host.clone();
        let incarnation = info.incarnation;
        let old_alive = old.filter(|old| !old.is_gone()).and_then(Fact::as_host);
        if !alive {
            if old_alive.is_some() {
                cx.log(SpreadLogEvent::HostDown { host, incarnation });
            }
        } else if old_alive.is_none_or(|old| old.incarnation != incarnation) {
            cx.log(SpreadLogEvent::HostUp { host, incarnation });
        } else if info.leaving && old_alive.is_some_and(|old| !old.leaving) {
            cx.log(SpreadLogEvent::HostLeaving { host });
        }
    }
}
