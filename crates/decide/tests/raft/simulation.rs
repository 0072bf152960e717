//! The event loop of the simulation: the clock, message delivery, disk writes, and the effects of
//! each host.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::VecDeque;
use std::time::Instant;

use decide::raft::{Persisted, Raft, RaftMsg};
use decide::{Cx, Effect, Event, Msg};
use model::{CONTROL_PART, HostId};
use rand::Rng;

use crate::harness::Sim;

impl Sim {
    /// Advances to the next message, sync or tick and runs it; returns false if there is none until
    /// `until`.
    pub(crate) fn run_next_event(&mut self, until: Instant) -> bool {
        let next_arrival = self.messages_in_flight.keys().next().map(|(at, _)| *at);
        let next_sync = self.hosts.values().filter_map(|host| {
            let (at, _) = host.write_in_flight.as_ref()?;
            Some((*at, host.info.host.clone()))
        });
        let next_sync = next_sync.min();
        let next_tick = self
            .hosts
            .values()
            .filter(|host| host.is_up)
            .filter_map(|host| {
                let raft = host.raft.as_ref().and_then(Raft::wake_at);
                let at = raft
                    .into_iter()
                    .chain(host.control_client.wake_at())
                    .min()?;
                Some((at, host.info.host.clone()))
            });
        let next_tick = next_tick.min();
        let times = [
            next_arrival,
            next_sync.as_ref().map(|sync| sync.0),
            next_tick.as_ref().map(|tick| tick.0),
        ];
        let Some(next) = times.into_iter().flatten().min() else {
            return false;
        };
        if next > until {
            return false;
        }
        self.now = self.now.max(next);
        if next_arrival == Some(next) {
            let (_, (from, to, msg)) = self.messages_in_flight.pop_first().unwrap();
            self.deliver(from, to, msg);
        } else if let Some((_, name)) = next_sync.filter(|sync| sync.0 == next) {
            self.complete_write(&name);
        } else if let Some((_, name)) = next_tick {
            self.reduce(&name, Event::Tick);
        }
        true
    }

    /// Delivers a message, unless its link is cut or its receiver is down.
    fn deliver(&mut self, from: HostId, to: HostId, msg: Msg) {
        let cut = self.cut_links.contains(&(from.clone(), to.clone()));
        let up = self.hosts.get(&to).is_some_and(|host| host.is_up);
        if cut || !up {
            return;
        }
        let from = model::PartAddr {
            host: from,
            part: CONTROL_PART,
        };
        self.reduce(&to, Event::Peer { from, msg });
    }

    /// Completes the write in flight of a host and reports it as synced.
    fn complete_write(&mut self, name: &HostId) {
        let host = self.hosts.get_mut(name).unwrap();
        let (_, persist) = host.write_in_flight.take().unwrap();
        let stored = Persisted {
            raft_group: persist.raft_group,
            id: persist.id,
        };
        host.disk.as_mut().unwrap().apply_write(persist).unwrap();
        self.reduce(name, Event::Persisted(stored));
    }

    /// Passes an event and those that it raises to a host, as the control part does, checks the
    /// invariants, and runs the effects.
    pub(crate) fn reduce(&mut self, name: &str, event: Event) {
        let host = self.hosts.get_mut(name).unwrap();
        let mut effects = Vec::new();
        let mut raised = VecDeque::from([event]);
        let mut committed_now = Vec::new();
        while let Some(event) = raised.pop_front() {
            let cx = &mut Cx {
                now: self.now,
                me: &host.info,
                part: CONTROL_PART,
                settings: &self.settings,
                rng: &mut host.rng,
                effects: &mut effects,
                raised_events: &mut raised,
            };
            match event {
                Event::Tick => {
                    host.control_client.on_tick(cx);
                    if let Some(raft) = &mut host.raft {
                        raft.on_tick(cx);
                    }
                }
                Event::Peer { from, msg } => {
                    let Msg::Raft(msg) = msg else { continue };
                    match &mut host.raft {
                        Some(raft) if !matches!(msg, RaftMsg::ForwardReply { .. }) => {
                            raft.on_msg(cx, from.host, msg);
                        }
                        _ => host.control_client.on_msg(cx, &from.host, msg),
                    }
                }
                Event::Call { id, call } => host.control_client.on_call(cx, id, call),
                Event::Persisted(stored) => host.raft.as_mut().unwrap().on_persisted(cx, stored),
                Event::Committed(committed) => committed_now.push(committed),
                _ => {}
            }
        }
        for committed in committed_now {
            self.check_committed(name, committed);
        }
        self.check_leader(name);
        for effect in effects {
            self.run_effect(name, effect);
        }
    }

    fn run_effect(&mut self, name: &str, effect: Effect) {
        match effect {
            Effect::Send { to, msg } => self.send_over_network(name.into(), to.host, msg),
            Effect::Persist(persist) => {
                let at = self.now
                    + self
                        .conditions
                        .max_sync_time
                        .mul_f64(self.rng.random::<f64>());
                let host = self.hosts.get_mut(name).unwrap();
                let at = at + host.more_sync_time;
                assert!(
                    host.write_in_flight.is_none(),
                    "two writes at a time on {name}"
                );
                host.write_in_flight = Some((at.max(host.disk_full_until), persist));
            }
            Effect::Reply { id, reply } => self.check_reply(id, reply),
            Effect::Log(note) => self.trace_line(format!("{name}: {note}")),
            _ => {}
        }
    }

    /// Puts a message on the network, which may lose, duplicate or delay it.
    fn send_over_network(&mut self, from: HostId, to: HostId, msg: Msg) {
        let conditions = self.conditions.clone();
        let local = from == to;
        if !local && self.rng.random_bool(conditions.loss_probability) {
            return;
        }
        let copies = if !local && self.rng.random_bool(conditions.duplicate_probability) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let late = !local && self.rng.random_bool(conditions.late_probability);
            let max_delay = if late {
                conditions.max_late_delay
            } else {
                conditions.max_delay
            };
            let at = self.now + max_delay.mul_f64(self.rng.random::<f64>());
            self.sent_count += 1;
            let message = (from.clone(), to.clone(), msg.clone());
            self.messages_in_flight
                .insert((at, self.sent_count), message);
        }
    }
}
