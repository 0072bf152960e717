//! How facts are merged, and what follows from a new one.

use model::{HostId, HostInfo};

use crate::spread::Spread;
use crate::spread::facts::{Fact, Merged};
use crate::spread::log_event::SpreadLogEvent;
use crate::spread::msg::{Place, SpreadMsg};
use crate::{Cx, Effect};

impl Spread {
    /// Merges a fact and queues it for the other links if it is new.
    pub(crate) fn merge(&mut self, cx: &mut Cx<'_>, fact: Fact, source: Option<&HostId>) {
        if let Some(source) = source
            && self.is_for_its_host(cx, &fact, source)
        {
            return;
        }
        let key = fact.key();
        if fact.is_gone() && self.facts.get(&key).is_none() {
            return;
        }
        match self.facts.merge(&fact) {
            Merged::New(old) => {
                self.queue(cx, &key, source);
                self.after_merge(cx, &fact, old.as_ref());
                if let (Fact::Upstream { announcement, live }, Some(_)) = (&fact, source)
                    && !live
                {
                    self.check_against_lease(cx, announcement);
                }
            }
            Merged::Known => {
                if let Some(link) = source.and_then(|source| self.links.get_mut(source)) {
                    link.has(&key);
                }
            }
            Merged::Stale => {
                if let Some(link) = source.and_then(|source| self.links.get_mut(source)) {
                    link.queue(&key, None);
                    self.flush_at
                        .get_or_insert(cx.now + cx.settings.spread.batch_delay);
                }
            }
        }
    }

    /// Handles a host's fact about its own death, which it alone may answer.
    ///
    /// A host that hears another directly passes the news of its death on to it
    /// and waits for the refutation, so that its own view does not flap.
    fn is_for_its_host(&mut self, cx: &mut Cx<'_>, fact: &Fact, source: &HostId) -> bool {
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
            if info.incarnation == self.me.incarnation && *sequence >= self.sequence && !alive {
                self.sequence = *sequence;
                self.publish_self(cx);
                let sequence = self.sequence;
                cx.log(SpreadLogEvent::Refuted { sequence });
            }
            return true;
        }
        let Some(link) = self.links.get_mut(&info.host).filter(|_| !alive) else {
            return false;
        };
        let dead_after = cx.settings.spread.dead_after;
        if *source == info.host
            || !link.alive(cx.now, dead_after)
            || link.incarnation != info.incarnation
        {
            return false;
        }
        let facts = vec![fact.clone()];
        let place = Place::default();
        cx.send_control(&info.host, SpreadMsg::Facts { place, facts });
        true
    }

    /// Returns the fact about this host.
    pub(crate) fn self_fact(&self) -> Fact {
        Fact::Host {
            info: self.me.clone(),
            sequence: self.sequence,
            alive: true,
            reaches: self.reaches.clone(),
        }
    }

    /// Spreads a changed fact about this host.
    pub(crate) fn publish_self(&mut self, cx: &mut Cx<'_>) {
        self.sequence += 1;
        let fact = self.self_fact();
        self.merge(cx, fact, None);
    }

    /// Brings tables, tree and addresses in step with a new fact.
    fn after_merge(&mut self, cx: &mut Cx<'_>, fact: &Fact, old: Option<&Fact>) {
        if fact.is_gone() {
            self.gone.insert(fact.key(), cx.now);
        } else {
            self.gone.remove(&fact.key());
        }
        match fact {
            Fact::Host { info, alive, .. } => self.after_host(cx, info, *alive, fact, old),
            Fact::Upstream { announcement, live } => {
                let was_live = old.is_some_and(|old| !old.is_gone());
                self.note_upstream(cx, announcement, *live, was_live);
                self.show_upstream(announcement, *live);
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

    fn after_host(
        &mut self,
        cx: &mut Cx<'_>,
        info: &HostInfo,
        alive: bool,
        fact: &Fact,
        old: Option<&Fact>,
    ) {
        let was = old.and_then(Fact::as_host);
        let host = info.host.clone();
        if host != self.me.host && was.map(|was| was.peer_addr) != Some(info.peer_addr) {
            let addr = info.peer_addr;
            let host = host.clone();
            cx.emit(Effect::SetPeerAddress { host, addr });
        }
        self.note_host(cx, info, alive, old);
        if info.data_centre == self.me.data_centre {
            self.tree_stale = true;
        }
        if info.control {
            self.tree_stale = true;
            if alive && host != self.me.host {
                self.controls.insert(host.clone());
            } else if !self.seeds.contains_key(&host) {
                self.controls.remove(&host);
            }
        }
        let reaches =
            |fact: &Fact| matches!(fact, Fact::Host { reaches, .. } if !reaches.is_empty());
        let was_alive = old.is_some_and(|old| !old.is_gone());
        let alone = alive != was_alive && self.facts.live_hosts(&info.data_centre) <= 1;
        if alone || reaches(fact) || old.is_some_and(reaches) {
            self.check_reach(cx);
        }
        self.show_host(info, alive);
    }

    /// Works out anew which data centres are cut off from this host.
    pub(crate) fn check_reach(&mut self, cx: &mut Cx<'_>) {
        let cut_off = if self.joined.is_some() {
            self.facts.cut_off(&self.me.data_centre)
        } else {
            self.facts.others(&self.me.data_centre)
        };
        if cut_off == self.cut_off {
            return;
        }
        self.cut_off = cut_off;
        let cut_off = self.cut_off.len();
        cx.log(SpreadLogEvent::Reach { cut_off });
        self.show_all();
    }

    /// Brings the tables in step with all facts.
    pub(crate) fn show_all(&mut self) {
        let facts = std::mem::take(&mut self.facts);
        for fact in facts.iter() {
            if let Fact::Host { info, alive, .. } = fact {
                self.show_host(info, *alive);
            }
        }
        for fact in facts.iter() {
            if let Fact::Upstream { announcement, live } = fact {
                self.show_upstream(announcement, *live);
            }
        }
        self.facts = facts;
    }

    fn show_host(&mut self, info: &HostInfo, alive: bool) {
        let alone = self.joined.is_none() && self.missed.contains_key(&info.host);
        if alive && !alone && !self.cut_off.contains(&info.data_centre) {
            self.tables.set_host(info);
        } else {
            self.tables.remove_host(&info.host);
        }
    }

    fn show_upstream(&mut self, announcement: &model::Announcement, live: bool) {
        if live && !announcement.leaving && !self.cut_off.contains(&announcement.data_centre) {
            self.tables.set_upstream(announcement);
        } else {
            self.tables.remove_upstream(&announcement.upstream);
        }
    }

    fn note_upstream(
        &self,
        cx: &mut Cx<'_>,
        announcement: &model::Announcement,
        live: bool,
        was_live: bool,
    ) {
        let upstream = announcement.upstream.clone();
        let sequence = announcement.sequence;
        if announcement.leaving {
            cx.log(SpreadLogEvent::UpstreamLeaving { upstream, sequence });
        } else if live && !was_live {
            let service = announcement.service.clone();
            cx.log(SpreadLogEvent::UpstreamLive {
                upstream,
                service,
                sequence,
            });
        } else if was_live && !live {
            cx.log(SpreadLogEvent::UpstreamLapsed { upstream, sequence });
        }
    }

    fn note_host(&self, cx: &mut Cx<'_>, info: &HostInfo, alive: bool, old: Option<&Fact>) {
        let host = info.host.clone();
        let incarnation = info.incarnation;
        let was = old.filter(|old| !old.is_gone()).and_then(Fact::as_host);
        if !alive {
            if was.is_some() {
                cx.log(SpreadLogEvent::HostDown { host, incarnation });
            }
        } else if was.is_none_or(|was| was.incarnation != incarnation) {
            cx.log(SpreadLogEvent::HostUp { host, incarnation });
        } else if info.leaving && was.is_some_and(|was| !was.leaving) {
            cx.log(SpreadLogEvent::HostLeaving { host });
        }
    }
}
