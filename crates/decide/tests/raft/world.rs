//! Time, the network and the disks: what happens next, and what a host makes of it.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::VecDeque;
use std::time::Instant;

use decide::raft::{Persisted, Raft, RaftMsg};
use decide::{Cx, Effect, Event, Msg};
use model::{CONTROL, HostId};
use rand::Rng;

use crate::harness::Sim;

impl Sim {
    pub(crate) fn step(&mut self, until: Instant) -> bool {
        let mail = self.net.keys().next().map(|(at, _)| *at);
        let disk = self.hosts.values().filter_map(|host| {
            let (at, _) = host.writing.as_ref()?;
            Some((*at, host.info.host.clone()))
        });
        let disk = disk.min();
        let wake = self
            .hosts
            .values()
            .filter(|host| host.up)
            .filter_map(|host| {
                let raft = host.raft.as_ref().and_then(Raft::wake_at);
                let at = raft
                    .into_iter()
                    .chain(host.control_client.wake_at())
                    .min()?;
                Some((at, host.info.host.clone()))
            });
        let wake = wake.min();
        let times = [mail, disk.as_ref().map(|d| d.0), wake.as_ref().map(|w| w.0)];
        let Some(next) = times.into_iter().flatten().min() else {
            return false;
        };
        if next > until {
            return false;
        }
        self.now = self.now.max(next);
        if mail == Some(next) {
            let (_, (from, to, msg)) = self.net.pop_first().unwrap();
            self.deliver(from, to, msg);
        } else if let Some((_, name)) = disk.filter(|d| d.0 == next) {
            self.sync(&name);
        } else if let Some((_, name)) = wake {
            self.reduce(&name, Event::Tick);
        }
        true
    }

    fn deliver(&mut self, from: HostId, to: HostId, msg: Msg) {
        let cut = self.cuts.contains(&(from.clone(), to.clone()));
        let up = self.hosts.get(&to).is_some_and(|host| host.up);
        if cut || !up {
            return;
        }
        let from = model::PartAddr {
            host: from,
            part: CONTROL,
        };
        self.reduce(&to, Event::Peer { from, msg });
    }

    fn sync(&mut self, name: &HostId) {
        let host = self.hosts.get_mut(name).unwrap();
        let (_, persist) = host.writing.take().unwrap();
        let stored = Persisted {
            group: persist.group,
            id: persist.id,
        };
        host.disk.as_mut().unwrap().replay(persist).unwrap();
        self.reduce(name, Event::Persisted(stored));
    }

    /// Hands an event to a host, as the control part does, and runs the effects.
    pub(crate) fn reduce(&mut self, name: &str, event: Event) {
        let host = self.hosts.get_mut(name).unwrap();
        let mut effects = Vec::new();
        let mut raised = VecDeque::from([event]);
        let mut settled = Vec::new();
        while let Some(event) = raised.pop_front() {
            let cx = &mut Cx {
                now: self.now,
                me: &host.info,
                part: CONTROL,
                settings: &self.settings,
                rng: &mut host.rng,
                effects: &mut effects,
                raised: &mut raised,
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
                        Some(raft) if !matches!(msg, RaftMsg::Forwarded { .. }) => {
                            raft.on_msg(cx, from.host, msg);
                        }
                        _ => host.control_client.on_msg(cx, &from.host, msg),
                    }
                }
                Event::Call { id, call } => host.control_client.on_call(cx, id, call),
                Event::Persisted(stored) => host.raft.as_mut().unwrap().on_persisted(cx, stored),
                Event::Committed(committed) => settled.push(committed),
                _ => {}
            }
        }
        for committed in settled {
            self.check_committed(name, committed);
        }
        self.check_leader(name);
        for effect in effects {
            self.run_effect(name, effect);
        }
    }

    fn run_effect(&mut self, name: &str, effect: Effect) {
        match effect {
            Effect::Send { to, msg } => self.send(name.into(), to.host, msg),
            Effect::Persist(persist) => {
                let at = self.now + self.weather.sync.mul_f64(self.rng.random::<f64>());
                let host = self.hosts.get_mut(name).unwrap();
                assert!(host.writing.is_none(), "two writes at a time on {name}");
                host.writing = Some((at, persist));
            }
            Effect::Reply { id, reply } => self.check_reply(id, reply),
            Effect::Log(note) => self.note(format!("{name}: {note}")),
            _ => {}
        }
    }

    fn send(&mut self, from: HostId, to: HostId, msg: Msg) {
        let weather = self.weather.clone();
        let local = from == to;
        if !local && self.rng.random_bool(weather.loss) {
            return;
        }
        let copies = if !local && self.rng.random_bool(weather.duplicates) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let late = !local && self.rng.random_bool(weather.lateness);
            let most = if late { weather.late } else { weather.delay };
            let at = self.now + most.mul_f64(self.rng.random::<f64>());
            self.sent += 1;
            let mail = (from.clone(), to.clone(), msg.clone());
            self.net.insert((at, self.sent), mail);
        }
    }
}
