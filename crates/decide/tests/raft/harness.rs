//! Hosts with a made-up clock, network and disks around the consensus code.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use decide::call::{Call, Patch, PatchOutcome, Reply};
use decide::raft::{Member, Persist, Raft, Recovered};
use decide::replicated_state::control_client::ControlClient;
use decide::{Event, Msg, Settings};
use model::config::{Change, CommitRule};
use model::{CallId, Config, ConfigVersion, HostId, HostInfo};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// How the network and the disks behave.
#[derive(Clone, Debug)]
pub(crate) struct Weather {
    pub(crate) loss: f64,
    pub(crate) duplicates: f64,
    /// How often a message takes up to `late` rather than up to `delay`.
    pub(crate) lateness: f64,
    pub(crate) delay: Duration,
    pub(crate) late: Duration,
    pub(crate) sync: Duration,
    /// How often a write that is on its way when a host stops still reaches the disk.
    pub(crate) finished: f64,
}

pub(crate) const CALM: Weather = Weather {
    loss: 0.0,
    duplicates: 0.0,
    lateness: 0.0,
    delay: Duration::from_millis(1),
    late: Duration::ZERO,
    sync: Duration::from_millis(2),
    finished: 0.5,
};

pub(crate) const STORMY: Weather = Weather {
    loss: 0.05,
    duplicates: 0.03,
    lateness: 0.05,
    delay: Duration::from_millis(4),
    late: Duration::from_millis(900),
    sync: Duration::from_millis(8),
    finished: 0.5,
};

/// How many events may happen before time must pass.
const MOST_STEPS_AT_ONCE: u32 = 10_000;

/// One host.
pub(crate) struct Host {
    pub(crate) info: HostInfo,
    /// What is synced; none on a host without a disk.
    pub(crate) disk: Option<Recovered>,
    pub(crate) raft: Option<Raft>,
    pub(crate) control_client: ControlClient,
    pub(crate) up: bool,
    pub(crate) writing: Option<(Instant, Persist)>,
    pub(crate) rng: SmallRng,
    pub(crate) version: ConfigVersion,
    /// The newest confirmation: the version and the moment since when it was current.
    pub(crate) confirmed: Option<(ConfigVersion, Instant)>,
}

/// A call and what is known of it.
pub(crate) struct Asked {
    pub(crate) call: Call,
    pub(crate) at: Instant,
    pub(crate) newest_then: ConfigVersion,
    pub(crate) reply: Option<Reply>,
}

/// The whole fleet.
pub(crate) struct Sim {
    pub(crate) now: Instant,
    pub(crate) start: Instant,
    pub(crate) settings: Settings,
    pub(crate) weather: Weather,
    pub(crate) rng: SmallRng,
    pub(crate) founders: Vec<HostId>,
    pub(crate) hosts: BTreeMap<HostId, Host>,
    pub(crate) net: BTreeMap<(Instant, u64), (HostId, HostId, Msg)>,
    pub(crate) sent: u64,
    pub(crate) cuts: BTreeSet<(HostId, HostId)>,
    pub(crate) calls: BTreeMap<CallId, Asked>,
    pub(crate) leaders: BTreeMap<(u64, u64), HostId>,
    pub(crate) configs: BTreeMap<ConfigVersion, (Instant, Arc<Config>)>,
    pub(crate) log: VecDeque<String>,
}

pub(crate) fn host(name: &str) -> HostId {
    name.into()
}

pub(crate) fn service_patch(id: &str, base: ConfigVersion) -> Patch {
    let change = Change::SetService {
        name: id.into(),
        commit: CommitRule::Replicated,
    };
    Patch {
        id: id.into(),
        base,
        changes: vec![change],
    }
}

impl Sim {
    /// Starts hosts with new disks, and one host `x` without a disk.
    pub(crate) fn new(seed: u64, voters: &[&str]) -> Self {
        let now = Instant::now();
        let mut sim = Self {
            now,
            start: now,
            settings: Settings::default(),
            weather: CALM,
            rng: SmallRng::seed_from_u64(seed),
            founders: voters.iter().map(|name| host(name)).collect(),
            hosts: BTreeMap::new(),
            net: BTreeMap::new(),
            sent: 0,
            cuts: BTreeSet::new(),
            calls: BTreeMap::new(),
            leaders: BTreeMap::new(),
            configs: BTreeMap::new(),
            log: VecDeque::new(),
        };
        sim.configs.insert(0, (now, Arc::default()));
        for name in voters {
            sim.add_host(name, true);
        }
        sim.add_host("x", false);
        sim
    }

    pub(crate) fn add_host(&mut self, name: &str, control: bool) {
        let disk = control.then(|| Recovered::blank(self.rng.random_range(1..u64::MAX)));
        let info = HostInfo {
            host: name.into(),
            data_centre: "kgn-a".into(),
            peer_addr: ([127, 0, 0, 1], 1).into(),
            incarnation: 0,
            traffic_parts: 1,
            entry: true,
            control,
            leaving: false,
        };
        let host = Host {
            info,
            disk,
            raft: None,
            control_client: ControlClient::default(),
            up: false,
            writing: None,
            rng: SmallRng::seed_from_u64(self.rng.random()),
            version: 0,
            confirmed: None,
        };
        self.hosts.insert(name.into(), host);
        self.start_host(name);
    }

    pub(crate) fn start_host(&mut self, name: &str) {
        let founders = self.founders.clone();
        let host = self.hosts.get_mut(name).unwrap();
        host.up = true;
        host.info.incarnation += 1;
        host.version = 0;
        host.control_client = ControlClient::new(founders.clone());
        host.raft = host
            .disk
            .clone()
            .map(|disk| Raft::new(&host.info.host, founders, disk, self.now));
        self.note(format!("start {name}"));
    }

    /// Stops a host; a write on its way reaches the disk or not.
    pub(crate) fn stop_host(&mut self, name: &str) {
        let finished = self.rng.random_bool(self.weather.finished);
        let host = self.hosts.get_mut(name).unwrap();
        host.up = false;
        host.raft = None;
        if let Some((_, persist)) = host.writing.take()
            && finished
        {
            host.disk.as_mut().unwrap().replay(persist).unwrap();
        }
        self.note(format!("stop {name}"));
    }

    pub(crate) fn wipe_host(&mut self, name: &str) {
        self.stop_host(name);
        let store = self.rng.random_range(1..u64::MAX);
        self.hosts.get_mut(name).unwrap().disk = Some(Recovered::blank(store));
        self.note(format!("wipe {name} store={store:x}"));
    }

    pub(crate) fn cut(&mut self, a: &str, b: &str) {
        self.cuts.insert((a.into(), b.into()));
        self.cuts.insert((b.into(), a.into()));
    }

    /// Cuts all links between some hosts and all others.
    pub(crate) fn split(&mut self, side: &[HostId]) {
        let others: Vec<HostId> = self.hosts.keys().cloned().collect();
        for other in others.iter().filter(|other| !side.contains(*other)) {
            for name in side {
                self.cut(name, other);
            }
        }
        self.note(format!("split {side:?}"));
    }

    pub(crate) fn isolate(&mut self, name: &str) {
        self.split(&[name.into()]);
    }

    pub(crate) fn heal(&mut self) {
        self.cuts.clear();
        self.note("heal".to_owned());
    }

    pub(crate) fn call(&mut self, name: &str, call: Call) -> CallId {
        let id = self.calls.len() as CallId + 1;
        self.note(format!("call {id} at {name}: {call:?}"));
        let newest_then = self.newest();
        let asked = Asked {
            call: call.clone(),
            at: self.now,
            newest_then,
            reply: None,
        };
        self.calls.insert(id, asked);
        self.reduce(name, Event::Call { id, call });
        id
    }

    /// Calls, and runs until the reply is there.
    pub(crate) fn ask(&mut self, name: &str, call: Call) -> Reply {
        let id = self.call(name, call);
        let until = self.now + Duration::from_secs(6);
        while self.calls[&id].reply.is_none() {
            assert!(self.now < until, "call {id} has no reply at all");
            self.run_for(Duration::from_millis(1));
        }
        self.calls[&id].reply.clone().unwrap()
    }

    /// Offers a patch until it has an outcome.
    pub(crate) fn patch(&mut self, name: &str, patch: Patch) -> PatchOutcome {
        loop {
            if let Reply::Patched(outcome) = self.ask(name, Call::Patch(patch.clone())) {
                return outcome;
            }
        }
    }

    pub(crate) fn newest(&self) -> ConfigVersion {
        *self.configs.last_key_value().unwrap().0
    }

    pub(crate) fn run_for(&mut self, time: Duration) {
        let until = self.now + time;
        let mut at = (self.now, 0);
        while self.step(until) {
            at = if at.0 == self.now {
                (at.0, at.1 + 1)
            } else {
                (self.now, 0)
            };
            assert!(at.1 < MOST_STEPS_AT_ONCE, "spins without time passing");
        }
        self.now = until;
    }

    /// Runs until a condition holds.
    pub(crate) fn run_until(&mut self, most: Duration, holds: impl Fn(&Self) -> bool) {
        let until = self.now + most;
        while !holds(self) {
            assert!(self.now < until, "not within {most:?}");
            self.run_for(Duration::from_millis(1));
        }
    }

    pub(crate) fn leader(&self) -> Option<HostId> {
        let leads = |host: &&Host| host.raft.as_ref().is_some_and(Raft::is_leader);
        let leaders = self.hosts.values().filter(leads);
        let term = |host: &&Host| host.raft.as_ref().map(|raft| raft.status().term);
        leaders.max_by_key(term).map(|host| host.info.host.clone())
    }

    /// Returns whether a leader knows exactly the running stores of the founders as voters.
    pub(crate) fn is_whole(&self) -> bool {
        let wanted: Option<BTreeSet<Member>> = self
            .founders
            .iter()
            .map(|name| {
                let store = self.hosts[name].disk.as_ref()?.store;
                let host = name.clone();
                Some(Member { host, store })
            })
            .collect();
        self.leader().is_some_and(|leader| {
            let raft = self.hosts[&leader].raft.as_ref().unwrap();
            let status = raft.status();
            Some(&raft.membership().voters) == wanted.as_ref()
                && raft.membership().learners.is_empty()
                && status.commit == status.last
        })
    }

    /// Returns whether a leader knows no member whose disk was lost.
    pub(crate) fn disks_are_members(&self) -> bool {
        let is_there = |member: &Member| {
            let disk = self.hosts[&member.host].disk.as_ref();
            disk.is_some_and(|disk| disk.store == member.store)
        };
        self.leader().is_some_and(|leader| {
            let raft = self.hosts[&leader].raft.as_ref().unwrap();
            raft.membership().members().all(is_there)
        })
    }

    pub(crate) fn await_whole(&mut self) {
        self.run_until(Duration::from_secs(20), Self::is_whole);
    }

    pub(crate) fn note(&mut self, line: String) {
        let at = (self.now - self.start).as_secs_f64();
        self.log.push_back(format!("{at:9.4} {line}"));
        if self.log.len() > 400 {
            self.log.pop_front();
        }
    }
}

impl Drop for Sim {
    fn drop(&mut self) {
        if std::thread::panicking() {
            for line in &self.log {
                eprintln!("{line}");
            }
            for host in self.hosts.values() {
                let raft = host.raft.as_ref();
                let status = raft.map(|raft| (raft.status(), raft.membership()));
                eprintln!("{} up={} {status:?}", host.info.host, host.up);
            }
        }
    }
}
