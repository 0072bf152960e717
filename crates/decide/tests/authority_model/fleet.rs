//! The simulated instances and entry hosts, and the leader's view of them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use decide::ack_lease::{AckLease, AckLeaseHolder};
use decide::owner::ack_gate::{AckDecision, AckGate, AckStopMsg};
use decide::upstream_query::{QueryReply, UpstreamQuery};
use decide::view::{ServiceView, UpstreamView};
use decide::{Cx, Effect, Msg, View};
use model::{Announcement, HostInfo, InstanceStatus, PartAddr, Position, Role, Term, UpstreamId};

use super::{ACK_LEASE, Due, NETWORK_TIME, World};

/// How long the last announcement of an instance stays in force.
const ANNOUNCEMENT_LASTS: Duration = Duration::from_secs(3);

/// A simulated database instance.
pub(crate) struct Instance {
    number: u16,
    pub(crate) role: Role,
    pub(crate) term: Term,
    /// Each commit with the term that it was run in.
    pub(crate) log: Vec<(Term, u64)>,
    /// Commits that no replica has received, each with the host whose caller waits.
    pub(crate) waiting: Vec<(u64, u8)>,
    pub(crate) paused_term: Term,
    pub(crate) running: bool,
    pub(crate) cut_from_leader: bool,
    pub(crate) cut_from_primary: bool,
    pub(crate) draining: bool,
    pub(crate) withdrawn: bool,
    incarnation: u64,
    /// From when on its announcements reach the leader; `None` if they never do.
    known_from: Option<Instant>,
    announced_at: Option<Instant>,
}

impl Instance {
    pub(crate) fn new(number: u16, role: Role, known_from: Option<Instant>) -> Self {
        Self {
            number,
            role,
            term: 1,
            log: Vec::new(),
            waiting: Vec::new(),
            paused_term: 0,
            running: true,
            cut_from_leader: false,
            cut_from_primary: false,
            draining: false,
            withdrawn: false,
            incarnation: 1,
            known_from,
            announced_at: None,
        }
    }

    pub(crate) fn receives(&self) -> bool {
        self.running
            && self.role == Role::Replica
            && self.paused_term == 0
            && !self.cut_from_primary
    }

    pub(crate) fn announce(&mut self, now: Instant) {
        let known = self.known_from.is_some_and(|from| from <= now);
        if self.running && !self.cut_from_leader && known {
            self.announced_at = Some(now);
        }
    }

    /// Starts again with the log that it had; a fence doesn't outlast a restart.
    pub(crate) fn restart(&mut self) {
        if !self.withdrawn {
            self.running = true;
            self.paused_term = 0;
            self.waiting.clear();
            self.incarnation += 1;
        }
    }

    /// Ends it for good, and its log with it.
    pub(crate) fn end(&mut self) {
        self.running = false;
        self.withdrawn = true;
        self.log.clear();
    }

    /// Drops the commits that a new primary doesn't have.
    pub(crate) fn roll_back_to(&mut self, log: &[(Term, u64)]) {
        let common = self.log.iter().zip(log).take_while(|(own, new)| own == new);
        let common = common.count();
        self.log.truncate(common);
    }

    pub(crate) fn run_query(&mut self, query: &UpstreamQuery) -> QueryReply {
        match query {
            UpstreamQuery::Pause { term } if self.role == Role::Replica && *term > self.term => {
                self.paused_term = self.paused_term.max(*term);
            }
            UpstreamQuery::Resume => self.paused_term = 0,
            UpstreamQuery::Demote { term } if self.term < *term => {
                self.role = Role::Replica;
                self.waiting.clear();
            }
            _ => {}
        }
        QueryReply {
            status: InstanceStatus {
                role: self.role,
                term: self.term,
                position: Position::new(
                    self.log.last().map_or(1, |(term, _)| *term),
                    self.log.len() as u64,
                ),
                lag: Duration::ZERO,
            },
            granted: !matches!(query, UpstreamQuery::Pause { .. }) || self.paused_term > 0,
            paused_term: self.paused_term,
            claim: None,
        }
    }
}

/// A simulated entry host with one traffic part.
pub(crate) struct Host {
    pub(crate) restarts: u64,
    /// Whether messages of the leader don't reach it.
    pub(crate) cut_from_leader: bool,
    pub(crate) ack_gate: AckGate,
    leases: AckLeaseHolder,
}

impl Host {
    pub(crate) fn new(now: Instant, restarts: u64) -> Self {
        Self {
            restarts,
            cut_from_leader: false,
            ack_gate: AckGate::default(),
            leases: AckLeaseHolder::new(now),
        }
    }

    /// Returns whether it passes the acknowledgement of a commit on to the caller.
    ///
    /// One that it would hold back for a lease is not passed on.
    pub(crate) fn passes_on(&mut self, now: Instant, position: Position) -> bool {
        let (gate, lease_time) = (&mut self.ack_gate, Some(ACK_LEASE));
        let decision = gate.decide(now, lease_time, &"pots".into(), Some(position));
        decision == AckDecision::PassOn
    }

    /// Takes a lease that another host has handed on.
    pub(crate) fn take_lease(&mut self, now: Instant, lease: AckLease) {
        if !self.cut_from_leader && self.leases.adopt(lease) {
            let lease = self.leases.lease().cloned();
            self.ack_gate.on_lease(now, lease.unwrap());
        }
    }
}

pub(crate) fn front_name(number: u8) -> String {
    format!("front-{number}")
}

pub(crate) fn host_info(name: &str, incarnation: u64, traffic_parts: u16) -> HostInfo {
    HostInfo {
        host: name.into(),
        data_centre: "dc-1".into(),
        peer_addr: "127.0.0.1:1".parse().unwrap(),
        incarnation,
        traffic_parts,
        is_entry_host: traffic_parts > 0,
        is_control_host: traffic_parts == 0,
        leaving: false,
    }
}

pub(crate) fn view(
    now: Instant,
    instances: &BTreeMap<UpstreamId, Instance>,
    hosts: &BTreeMap<u8, Host>,
) -> View {
    let mut view = View::default();
    let mut announced = Vec::new();
    for (id, instance) in instances {
        let lasts = |at| now.saturating_duration_since(at) < ANNOUNCEMENT_LASTS;
        if instance.withdrawn || !instance.announced_at.is_some_and(lasts) {
            continue;
        }
        announced.push(id.clone());
        let announcement = Announcement {
            upstream: id.clone(),
            service: "pots".into(),
            addr: ([127, 0, 0, 1], instance.number).into(),
            data_centre: "dc-1".into(),
            group_size: 0,
            slots: 2,
            connections: 0,
            incarnation: instance.incarnation,
            sequence: 1,
            role: None,
            warming: false,
            draining: instance.draining,
            leaving: false,
        };
        let seen = UpstreamView {
            announcement,
            owners: Vec::new(),
            last_ready_at: None,
        };
        view.upstreams.insert(id.clone(), seen);
    }
    for (number, host) in hosts {
        let info = host_info(&front_name(*number), 1 + host.restarts, 1);
        view.hosts.insert(info.host.clone(), info);
    }
    let service = ServiceView {
        primary: None,
        upstreams: announced,
        group_size: 0,
    };
    view.services.insert("pots".into(), service);
    view
}

impl World {
    /// Restarts a host; its callers lose what they wait for, and it forgets what it was told.
    pub(crate) fn restart_host(&mut self, number: u8) {
        let restarts = self.hosts[&number].restarts + 1;
        self.hosts.insert(number, Host::new(self.now, restarts));
        for instance in self.instances.values_mut() {
            instance.waiting.retain(|(_, host)| *host != number);
        }
    }

    /// Gives a host a message of the leader, and the leader its answer.
    pub(crate) fn with_host(&mut self, number: u8, msg: AckStopMsg) {
        let host = self.hosts.get_mut(&number).unwrap();
        if host.cut_from_leader {
            return;
        }
        let me = host_info(&front_name(number), 1 + host.restarts, 1);
        let mut effects = Vec::new();
        let mut raised = std::collections::VecDeque::new();
        let mut cx = Cx {
            now: self.now,
            me: &me,
            part: 1,
            settings: &self.settings,
            rng: &mut self.rng,
            effects: &mut effects,
            raised_events: &mut raised,
        };
        let from = PartAddr {
            host: self.me.host.clone(),
            part: model::CONTROL_PART,
        };
        host.ack_gate.on_msg(&mut cx, &from, msg);
        for effect in effects {
            if let Effect::Send {
                msg: Msg::AckStop(msg),
                ..
            } = effect
            {
                self.at(self.now + NETWORK_TIME, Due::ToLeader(number, msg));
            }
        }
    }
}
