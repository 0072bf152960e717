//! Streams of facts over the links.
//!
//! Each link carries a numbered stream of facts, which starts with those that the receiver's
//! digest lacks. A receiver that finds a gap asks for a new stream with its next heartbeat.
//! A fact from a parent goes on to children at once, but to other parents only if their
//! digests still lack it after two heartbeats.

use std::time::Instant;

use model::HostId;

use crate::Cx;
use crate::placement;
use crate::spread::Spread;
use crate::spread::facts::{Digest, Fact, FactKey};
use crate::spread::msg::{SpreadMsg, StreamPosition};
use crate::spread::relay_tree::{PARENTS_PER_HOST, RelayTree};

/// The most facts that one message carries.
const FACTS_PER_MESSAGE: usize = 256;

impl Spread {
    /// Merges the facts of a message.
    ///
    /// Stream 0 marks facts outside any stream. Several of them are the answer to a host that
    /// has better parents (`redirect_to_parents`), which rebuilds its tree at once.
    pub(crate) fn on_facts(
        &mut self,
        cx: &mut Cx<'_>,
        from: &HostId,
        position: StreamPosition,
        facts: Vec<Fact>,
    ) {
        if position.stream != 0
            && let Some(link) = self.links.get_mut(from)
        {
            link.advance_received(position);
        }
        let redirected = position.stream == 0 && facts.len() > 1;
        for fact in facts {
            self.merge(cx, fact, Some(from));
        }
        if redirected && self.tree_stale {
            self.next_heartbeat = cx.now;
        }
    }

    /// Queues a changed fact for all links but the one that it came from.
    pub(crate) fn queue_for_links(&mut self, cx: &Cx<'_>, key: &FactKey, source: Option<&HostId>) {
        let from_parent = source.is_some_and(|source| {
            let link = self.links.get(source);
            link.is_some_and(|link| !link.is_child_only())
        });
        let mut queued = false;
        for (host, link) in &mut self.links {
            if Some(host) == source {
                link.mark_known(key);
                continue;
            }
            let defer = from_parent && !link.is_child_only();
            link.queue_fact(key, defer.then_some(cx.now));
            queued |= !defer;
        }
        if queued {
            self.flush_at
                .get_or_insert(cx.now + cx.settings.spread.batch_delay);
        }
    }

    /// Sends the queued facts, and those deferred for two heartbeats or more.
    pub(crate) fn flush_facts(&mut self, cx: &mut Cx<'_>) {
        self.flush_at = None;
        let max_deferral = cx.settings.spread.heartbeat * 2;
        for (host, link) in &mut self.links {
            let due = |since: &Instant| cx.now.saturating_duration_since(*since) >= max_deferral;
            let overdue: Vec<FactKey> = link
                .deferred
                .extract_if(.., |_, since| due(since))
                .map(|(key, _)| key)
                .collect();
            link.pending.extend(overdue);
            let keys = std::mem::take(&mut link.pending);
            let facts: Vec<Fact> = keys
                .iter()
                .filter_map(|key| self.facts.get(key))
                .cloned()
                .collect();
            for facts in facts.chunks(FACTS_PER_MESSAGE) {
                let position = link.next_position();
                let facts = facts.to_vec();
                cx.send_control(host, SpreadMsg::Facts { position, facts });
            }
        }
    }

    /// Starts a stream with the facts that the other host's digest lacks.
    ///
    /// It starts at most one stream per heartbeat interval on a link.
    pub(crate) fn start_stream(&mut self, cx: &mut Cx<'_>, host: &HostId, theirs: &Digest) {
        let Some(link) = self.links.get_mut(host) else {
            return;
        };
        let heartbeat = cx.settings.spread.heartbeat;
        let recent = |at| cx.now < at + heartbeat;
        if link.stream_started.is_some_and(recent) {
            return;
        }
        if link.stream_started.is_none()
            && !link.expected_child
            && self.redirect_to_parents(cx, host)
        {
            return;
        }
        let Some(link) = self.links.get_mut(host) else {
            return;
        };
        let stream = rand::Rng::random_range(cx.rng, 1..=u32::MAX);
        link.start_stream(stream, cx.now);
        let facts = self.facts.differing_from(theirs);
        let mut chunks = facts.chunks(FACTS_PER_MESSAGE);
        let mut next = Some(chunks.next().unwrap_or_default());
        while let Some(facts) = next {
            let position = link.next_position();
            let facts = facts.to_vec();
            cx.send_control(host, SpreadMsg::Facts { position, facts });
            next = chunks.next();
        }
    }

    /// Sends a host that has better parents only the facts that it needs to find them, those of
    /// the heads and relays of its data centre; returns whether it has better ones.
    ///
    /// Most hosts that start contact a control host first, and would otherwise get all facts
    /// twice.
    fn redirect_to_parents(&mut self, cx: &mut Cx<'_>, host: &HostId) -> bool {
        let Some((info, _)) = self
            .facts
            .host(host)
            .filter(|(info, _)| !info.is_control_host)
        else {
            return false;
        };
        let data_centre = info.data_centre.clone();
        let hosts = self.facts.hosts_in(&data_centre);
        let hosts = hosts.filter(|(info, alive)| *alive && placement::can_own(info));
        let hosts: Vec<HostId> = hosts.map(|(info, _)| info.host.clone()).collect();
        let tree = RelayTree::new(&data_centre, hosts, cx.settings.spread.relay_fanout);
        if tree.heads().len() < PARENTS_PER_HOST || tree.heads().contains(host) {
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
            let position = StreamPosition::default();
            let facts = facts.to_vec();
            cx.send_control(host, SpreadMsg::Facts { position, facts });
        }
        true
    }
}
