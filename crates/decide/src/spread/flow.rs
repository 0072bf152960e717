//! How facts flow from link to link.
//!
//! Each link carries a numbered stream of facts that starts with what the receiver's
//! digest lacks. A receiver that finds a gap asks for a new stream with its next beat.
//! A fact from a parent goes on to children at once, but to other parents only if they
//! still lack it after a while.

use std::time::Instant;

use model::HostId;

use crate::Cx;
use crate::placement;
use crate::spread::Spread;
use crate::spread::facts::{Digest, Fact, FactKey};
use crate::spread::msg::{Place, SpreadMsg};
use crate::spread::tree::{PARENTS, Tree};

/// How many facts one message carries at most.
const FACTS_PER_MESSAGE: usize = 256;

impl Spread {
    /// Takes a message of another host's stream of facts.
    pub(crate) fn on_facts(
        &mut self,
        cx: &mut Cx<'_>,
        from: &HostId,
        place: Place,
        facts: Vec<Fact>,
    ) {
        if place.stream != 0
            && let Some(link) = self.links.get_mut(from)
        {
            link.receive(place);
        }
        let redirected = place.stream == 0 && facts.len() > 1;
        for fact in facts {
            self.merge(cx, fact, Some(from));
        }
        if redirected && self.tree_stale {
            self.next_beat = cx.now;
        }
    }

    /// Queues a changed fact for the links.
    pub(crate) fn queue(&mut self, cx: &Cx<'_>, key: &FactKey, source: Option<&HostId>) {
        let from_above = source.is_some_and(|source| {
            let link = self.links.get(source);
            link.is_some_and(|link| !link.child())
        });
        let mut queued = false;
        for (host, link) in &mut self.links {
            if Some(host) == source {
                link.has(key);
                continue;
            }
            let lazy = from_above && !link.child();
            link.queue(key, lazy.then_some(cx.now));
            queued |= !lazy;
        }
        if queued {
            self.flush_at
                .get_or_insert(cx.now + cx.settings.spread.batch_delay);
        }
    }

    /// Sends what is queued, and what was held back for too long.
    pub(crate) fn flush(&mut self, cx: &mut Cx<'_>) {
        self.flush_at = None;
        let held_back = cx.settings.spread.heartbeat * 2;
        for (host, link) in &mut self.links {
            let due = |since: &Instant| cx.now.saturating_duration_since(*since) >= held_back;
            let late: Vec<FactKey> = link
                .lazy
                .extract_if(.., |_, since| due(since))
                .map(|(key, _)| key)
                .collect();
            link.pending.extend(late);
            let keys = std::mem::take(&mut link.pending);
            let facts: Vec<Fact> = keys
                .iter()
                .filter_map(|key| self.facts.get(key))
                .cloned()
                .collect();
            for facts in facts.chunks(FACTS_PER_MESSAGE) {
                let place = link.next_place();
                let facts = facts.to_vec();
                cx.send_control(host, SpreadMsg::Facts { place, facts });
            }
        }
    }

    /// Starts a stream with all that the other host's digest lacks.
    pub(crate) fn start_stream(&mut self, cx: &mut Cx<'_>, host: &HostId, theirs: &Digest) {
        let Some(link) = self.links.get_mut(host) else {
            return;
        };
        let heartbeat = cx.settings.spread.heartbeat;
        let recent = |at| cx.now < at + heartbeat;
        if link.stream_started.is_some_and(recent) {
            return;
        }
        if link.stream_started.is_none() && !link.expected && self.redirect(cx, host) {
            return;
        }
        let Some(link) = self.links.get_mut(host) else {
            return;
        };
        let stream = rand::Rng::random_range(cx.rng, 1..=u32::MAX);
        link.start_stream(stream, cx.now);
        let facts = self.facts.differing(theirs);
        let mut chunks = facts.chunks(FACTS_PER_MESSAGE);
        let mut next = Some(chunks.next().unwrap_or_default());
        while let Some(facts) = next {
            let place = link.next_place();
            let facts = facts.to_vec();
            cx.send_control(host, SpreadMsg::Facts { place, facts });
            next = chunks.next();
        }
    }

    /// Sends a host that has better parents only what it needs to find them.
    ///
    /// Most hosts that start turn to a control host first, and would get all facts twice.
    fn redirect(&mut self, cx: &mut Cx<'_>, host: &HostId) -> bool {
        let Some((info, _)) = self.facts.host(host).filter(|(info, _)| !info.control) else {
            return false;
        };
        let data_centre = info.data_centre.clone();
        let hosts = self.facts.hosts_of(&data_centre);
        let hosts = hosts.filter(|(info, alive)| *alive && placement::can_own(info));
        let hosts: Vec<HostId> = hosts.map(|(info, _)| info.host.clone()).collect();
        let tree = Tree::new(&data_centre, hosts, cx.settings.spread.relay_fanout);
        if tree.heads().len() < PARENTS || tree.heads().contains(host) {
            return false;
        }
        if tree.parents(host).contains(&self.me.host) {
            return false;
        }
        if let Some(link) = self.links.get_mut(host) {
            link.stream_started = Some(cx.now);
        }
        let parents = tree.heads().iter().chain(tree.relays());
        let keys = parents.cloned().map(FactKey::Host);
        let facts: Vec<Fact> = keys
            .filter_map(|key| self.facts.get(&key))
            .cloned()
            .collect();
        for facts in facts.chunks(FACTS_PER_MESSAGE) {
            let place = Place::default();
            let facts = facts.to_vec();
            cx.send_control(host, SpreadMsg::Facts { place, facts });
        }
        true
    }
}
