//! Simulated hosts around the consensus code: their state, the faults, and the calls of operators.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use decide::call::{Call, Patch, PatchOutcome, Reply};
use decide::raft::{Member, Persist, PersistentState, Raft};
use decide::replicated_state::control_client::ControlClient;
use decide::{Event, Msg, Settings};
use evac::Evacuations;
use model::config::{Change, CommitRule};
use model::{CallId, Config, ConfigVersion, HostId, HostInfo};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// How the network and the disks behave; probabilities are from 0 to 1.
#[derive(Clone, Debug)]
pub(crate) struct Conditions {
    pub(crate) loss_probability: f64,
    pub(crate) duplicate_probability: f64,
    /// Probability that a message takes up to `max_late_delay` rather than up to `max_delay`.
    pub(crate) late_probability: f64,
    pub(crate) max_delay: Duration,
    pub(crate) max_late_delay: Duration,
    /// Longest time from a write to its sync.
    pub(crate) max_sync_time: Duration,
    /// Probability that a write in flight reaches the disk when its host stops.
    pub(crate) write_survives_stop_probability: f64,
}

pub(crate) const FAULTLESS: Conditions = Conditions {
    loss_probability: 0.0,
    duplicate_probability: 0.0,
    late_probability: 0.0,
    max_delay: Duration::from_millis(1),
    max_late_delay: Duration::ZERO,
    max_sync_time: Duration::from_millis(2),
    write_survives_stop_probability: 0.5,
};

pub(crate) const FAULTY: Conditions = Conditions {
    loss_probability: 0.05,
    duplicate_probability: 0.03,
    late_probability: 0.05,
    max_delay: Duration::from_millis(4),
    max_late_delay: Duration::from_millis(900),
    max_sync_time: Duration::from_millis(8),
    write_survives_stop_probability: 0.5,
};

/// Number of events at one simulated instant that counts as an endless loop.
const MAX_EVENTS_PER_INSTANT: u32 = 10_000;

/// A simulated host.
pub(crate) struct SimHost {
    pub(crate) info: HostInfo,
    /// What is synced; `None` on a host without a disk.
    pub(crate) disk: Option<PersistentState>,
    /// `None` while the host is down, and on a host without a disk.
    pub(crate) raft: Option<Raft>,
    pub(crate) control_client: ControlClient,
    pub(crate) is_up: bool,
    /// The write that is not synced yet, and when it will be.
    pub(crate) write_in_flight: Option<(Instant, Persist)>,
    /// Until when the disk is full, so that no write is synced.
    pub(crate) disk_full_until: Instant,
    /// What each sync takes on this host beyond the time that `Conditions` draw.
    pub(crate) more_sync_time: Duration,
    pub(crate) rng: SmallRng,
    /// The newest version that the host has reported as committed since it started.
    pub(crate) committed_version: ConfigVersion,
    /// The newest confirmation: the version, and the moment since when it was current.
    pub(crate) confirmed: Option<(ConfigVersion, Instant)>,
}

/// A call, the state when it was made, and its reply.
pub(crate) struct CallRecord {
    pub(crate) call: Call,
    pub(crate) called_at: Instant,
    /// The newest committed version when the call was made; a read may not return an older one.
    pub(crate) newest_at_call: ConfigVersion,
    pub(crate) reply: Option<Reply>,
}

/// A simulated fleet with its clock, network, disks and everything that was committed.
pub(crate) struct Sim {
    pub(crate) now: Instant,
    pub(crate) start: Instant,
    pub(crate) settings: Settings,
    pub(crate) conditions: Conditions,
    pub(crate) rng: SmallRng,
    pub(crate) founders: Vec<HostId>,
    pub(crate) hosts: BTreeMap<HostId, SimHost>,
    /// Sender, receiver and content of each message, by time of arrival and number.
    pub(crate) messages_in_flight: BTreeMap<(Instant, u64), (HostId, HostId, Msg)>,
    pub(crate) sent_count: u64,
    /// Links that lose every message, by sender and receiver.
    pub(crate) cut_links: BTreeSet<(HostId, HostId)>,
    pub(crate) calls: BTreeMap<CallId, CallRecord>,
    /// The leader of each cluster and term.
    pub(crate) leader_by_term: BTreeMap<(u64, u64), HostId>,
    /// Every committed configuration, and when it was first reported.
    pub(crate) committed_configs: BTreeMap<ConfigVersion, (Instant, Arc<Config>)>,
    /// Every committed set of evacuated data centres, by version.
    pub(crate) committed_evacuations: BTreeMap<u64, Evacuations>,
    /// The newest 400 lines about faults, calls and log events, printed when a test fails.
    pub(crate) trace: VecDeque<String>,
}

/// Returns a host's id.
pub(crate) fn host(name: &str) -> HostId {
    name.into()
}

/// Returns a patch that adds a service named like the patch.
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
    /// Starts the founders with new disks, and one host `x` without a disk.
    pub(crate) fn new(seed: u64, voters: &[&str]) -> Self {
        let now = Instant::now();
        let mut sim = Self {
            now,
            start: now,
            settings: Settings::default(),
            conditions: FAULTLESS,
            rng: SmallRng::seed_from_u64(seed),
            founders: voters.iter().map(|name| host(name)).collect(),
            hosts: BTreeMap::new(),
            messages_in_flight: BTreeMap::new(),
            sent_count: 0,
            cut_links: BTreeSet::new(),
            calls: BTreeMap::new(),
            leader_by_term: BTreeMap::new(),
            committed_configs: BTreeMap::new(),
            committed_evacuations: BTreeMap::new(),
            trace: VecDeque::new(),
        };
        sim.committed_configs.insert(0, (now, Arc::default()));
        for name in voters {
            sim.add_host(name, true);
        }
        sim.add_host("x", false);
        sim
    }

    /// Starts three voters with `auto_members` and one accepted patch.
    pub(crate) fn start_with_patch(seed: u64) -> Self {
        let mut sim = Self::new(seed, &["a", "b", "c"]);
        sim.settings.raft.auto_members = true;
        sim.patch_until_decided("x", service_patch("first", 0));
        sim.run_for(Duration::from_millis(200));
        sim
    }

    /// Adds and starts a host, with a new disk if it is a control host.
    pub(crate) fn add_host(&mut self, name: &str, control: bool) {
        let disk = control.then(|| PersistentState::empty(self.rng.random_range(1..u64::MAX)));
        let info = HostInfo {
            host: name.into(),
            data_centre: "kgn-a".into(),
            peer_addr: ([127, 0, 0, 1], 1).into(),
            incarnation: 0,
            traffic_parts: 1,
            is_entry_host: true,
            is_control_host: control,
            leaving: false,
        };
        let host = SimHost {
            info,
            disk,
            raft: None,
            control_client: ControlClient::default(),
            is_up: false,
            write_in_flight: None,
            disk_full_until: self.start,
            more_sync_time: Duration::ZERO,
            rng: SmallRng::seed_from_u64(self.rng.random()),
            committed_version: 0,
            confirmed: None,
        };
        self.hosts.insert(name.into(), host);
        self.start_host(name);
    }

    /// Starts a host with what its disk holds, as a new incarnation.
    pub(crate) fn start_host(&mut self, name: &str) {
        let founders = self.founders.clone();
        let host = self.hosts.get_mut(name).unwrap();
        host.is_up = true;
        host.info.incarnation += 1;
        host.committed_version = 0;
        host.control_client = ControlClient::new(founders.clone());
        host.raft = host
            .disk
            .clone()
            .map(|disk| Raft::new(&host.info.host, founders, disk, self.now));
        self.trace_line(format!("start {name}"));
    }

    /// Stops a host; a write in flight may or may not reach the disk.
    pub(crate) fn stop_host(&mut self, name: &str) {
        let write_survives = self
            .rng
            .random_bool(self.conditions.write_survives_stop_probability);
        let host = self.hosts.get_mut(name).unwrap();
        host.is_up = false;
        host.raft = None;
        if let Some((_, persist)) = host.write_in_flight.take()
            && write_survives
        {
            host.disk.as_mut().unwrap().apply_write(persist).unwrap();
        }
        self.trace_line(format!("stop {name}"));
    }

    /// Stops a host and replaces its disk by a new one.
    pub(crate) fn wipe_host(&mut self, name: &str) {
        self.stop_host(name);
        let store = self.rng.random_range(1..u64::MAX);
        self.hosts.get_mut(name).unwrap().disk = Some(PersistentState::empty(store));
        self.trace_line(format!("wipe {name} store={store:x}"));
    }

    /// Lets no write of a host be synced for a time, as when its disk is full.
    pub(crate) fn fill_disk(&mut self, name: &str, time: Duration) {
        let host = self.hosts.get_mut(name).unwrap();
        host.disk_full_until = self.now + time;
        if let Some((synced_at, _)) = &mut host.write_in_flight {
            *synced_at = host.disk_full_until;
        }
    }

    /// Cuts the link between two hosts in both directions.
    pub(crate) fn cut_link(&mut self, a: &str, b: &str) {
        self.cut_links.insert((a.into(), b.into()));
        self.cut_links.insert((b.into(), a.into()));
    }

    /// Cuts all links between the hosts of one side and all others.
    pub(crate) fn cut_off(&mut self, side: &[HostId]) {
        let others: Vec<HostId> = self.hosts.keys().cloned().collect();
        for other in others.iter().filter(|other| !side.contains(*other)) {
            for name in side {
                self.cut_link(name, other);
            }
        }
        self.trace_line(format!("split {side:?}"));
    }

    pub(crate) fn isolate(&mut self, name: &str) {
        self.cut_off(&[name.into()]);
    }

    pub(crate) fn heal(&mut self) {
        self.cut_links.clear();
        self.trace_line("heal".to_owned());
    }

    /// Sends a call through a host, and returns its number.
    pub(crate) fn call(&mut self, name: &str, call: Call) -> CallId {
        let id = self.calls.len() as CallId + 1;
        self.trace_line(format!("call {id} at {name}: {call:?}"));
        let newest_at_call = self.newest_version();
        let record = CallRecord {
            call: call.clone(),
            called_at: self.now,
            newest_at_call,
            reply: None,
        };
        self.calls.insert(id, record);
        self.reduce(name, Event::Call { id, call });
        id
    }

    /// Sends a call and runs until the reply is there.
    pub(crate) fn call_and_wait(&mut self, name: &str, call: Call) -> Reply {
        let id = self.call(name, call);
        let until = self.now + Duration::from_secs(6);
        while self.calls[&id].reply.is_none() {
            assert!(self.now < until, "call {id} has no reply within 6 s");
            self.run_for(Duration::from_millis(1));
        }
        self.calls[&id].reply.clone().unwrap()
    }

    /// Sends a patch until it has an outcome, again after each call without one.
    pub(crate) fn patch_until_decided(&mut self, name: &str, patch: Patch) -> PatchOutcome {
        loop {
            if let Reply::Patched(outcome) = self.call_and_wait(name, Call::Patch(patch.clone())) {
                return outcome;
            }
        }
    }

    /// Returns the newest version that any host has reported as committed.
    pub(crate) fn newest_version(&self) -> ConfigVersion {
        *self.committed_configs.last_key_value().unwrap().0
    }

    /// Runs all events within a time.
    pub(crate) fn run_for(&mut self, time: Duration) {
        let until = self.now + time;
        let mut event_count = (self.now, 0);
        while self.run_next_event(until) {
            event_count = if event_count.0 == self.now {
                (event_count.0, event_count.1 + 1)
            } else {
                (self.now, 0)
            };
            assert!(
                event_count.1 < MAX_EVENTS_PER_INSTANT,
                "more than {MAX_EVENTS_PER_INSTANT} events without time passing"
            );
        }
        self.now = until;
    }

    /// Runs until a condition holds; fails if it does not within `timeout`.
    pub(crate) fn run_until(&mut self, timeout: Duration, holds: impl Fn(&Self) -> bool) {
        let until = self.now + timeout;
        while !holds(self) {
            assert!(
                self.now < until,
                "the condition does not hold within {timeout:?}"
            );
            self.run_for(Duration::from_millis(1));
        }
    }

    /// Returns the leader of the highest term, if any member leads.
    pub(crate) fn leader(&self) -> Option<HostId> {
        let leads = |host: &&SimHost| host.raft.as_ref().is_some_and(Raft::is_leader);
        let leaders = self.hosts.values().filter(leads);
        let term = |host: &&SimHost| host.raft.as_ref().map(|raft| raft.status().term);
        leaders.max_by_key(term).map(|host| host.info.host.clone())
    }

    /// Returns whether a leader has exactly the founders' present stores as voters, no learners,
    /// and all committed.
    pub(crate) fn is_repaired(&self) -> bool {
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

    /// Returns whether a leader's membership holds no store whose disk was lost.
    pub(crate) fn has_no_lost_member(&self) -> bool {
        let disk_exists = |member: &Member| {
            let disk = self.hosts[&member.host].disk.as_ref();
            disk.is_some_and(|disk| disk.store == member.store)
        };
        self.leader().is_some_and(|leader| {
            let raft = self.hosts[&leader].raft.as_ref().unwrap();
            raft.membership().members().all(disk_exists)
        })
    }

    /// Runs until the cluster is repaired; fails if it isn't within 20 s.
    pub(crate) fn await_repaired(&mut self) {
        self.run_until(Duration::from_secs(20), Self::is_repaired);
    }

    /// Adds a line to the trace, which keeps the last 400.
    pub(crate) fn trace_line(&mut self, line: String) {
        let at = (self.now - self.start).as_secs_f64();
        self.trace.push_back(format!("{at:9.4} {line}"));
        if self.trace.len() > 400 {
            self.trace.pop_front();
        }
    }
}

impl Drop for Sim {
    fn drop(&mut self) {
        if std::thread::panicking() {
            for line in &self.trace {
                eprintln!("{line}");
            }
            for host in self.hosts.values() {
                let raft = host.raft.as_ref();
                let status = raft.map(|raft| (raft.status(), raft.membership()));
                eprintln!("{} up={} {status:?}", host.info.host, host.is_up);
            }
        }
    }
}
