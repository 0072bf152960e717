//! A service whose primary a consensus leader supervises, for searches through orders of events.
//!
//! Instances, entry hosts, platform and network are simulated. Commits run all the time; each is
//! acknowledged through a host once one replica has received it.
#![allow(clippy::unwrap_used, reason = "a test that meets an error ends there")]

pub(crate) mod fleet;
pub(crate) mod schedule;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use decide::ack_lease::AckLease;
use decide::authority::{
    AuthorityKind, AuthorityLogEvent, PromotionError, PromotionOrder, QuorumAuthority,
};
use decide::owner::ack_gate::AckStopMsg;
use decide::raft::PromotionTicket;
use decide::upstream_query::{QueryError, QueryId, QueryReply, UpstreamQuery};
use decide::{Cx, Effect, LogEvent, Msg, Settings};
use model::{HostInfo, PartAddr, Position, Role, UpstreamId};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use fleet::{Host, Instance, host_info};
use schedule::Op;

/// How long a promotion takes from the call to the platform.
const PROMOTION_TIME: Duration = Duration::from_millis(300);
/// One way between the leader and an instance or a host.
const NETWORK_TIME: Duration = Duration::from_millis(3);
/// When a call to the platform without an answer fails.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// How long hosts pass on acknowledgements without word from the leader.
pub(crate) const ACK_LEASE: Duration = Duration::from_secs(2);
/// Interval between leases, and the time in which relays hand one on.
const LEASE_INTERVAL: Duration = Duration::from_millis(300);
pub(crate) const TICK: Duration = Duration::from_millis(10);

/// What happens to a call or query on its way.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Fate {
    Answered,
    Lost,
    /// It gets no answer and is carried out after this time.
    Late(Duration),
}

/// Something that happens at a set time.
pub(crate) enum Due {
    Query(QueryId, UpstreamId, UpstreamQuery),
    QueryAnswer(QueryId, Result<QueryReply, QueryError>),
    Number(u64, PromotionTicket),
    /// The platform checks the number of an order, and may answer it.
    Call(PromotionOrder, bool),
    CallAnswer(PromotionOrder, Result<(), PromotionError>),
    Promote(UpstreamId),
    End(UpstreamId),
    ToHost(u8, AckStopMsg),
    ToLeader(u8, AckStopMsg),
    Lease(AckLease),
}

pub(crate) struct World {
    pub(crate) now: Instant,
    started: Instant,
    settings: Settings,
    me: HostInfo,
    rng: SmallRng,
    authority: QuorumAuthority,
    pub(crate) instances: BTreeMap<UpstreamId, Instance>,
    pub(crate) hosts: BTreeMap<u8, Host>,
    pub(crate) due: BTreeMap<(Instant, u64), Due>,
    due_count: u64,
    pub(crate) orders_fate: Fate,
    pub(crate) queries_fate: Fate,
    last_order_number: u64,
    highest_number_seen: u64,
    next_commit: u64,
    /// The acknowledged commits.
    acknowledged: Vec<u64>,
    last_acknowledged_at: Instant,
    pub(crate) promotions: usize,
    /// How often commits were given up, which the leader says in its log.
    pub(crate) given_up: usize,
    /// The first commit that was acknowledged and lost.
    pub(crate) lost: Option<String>,
}

impl World {
    pub(crate) fn new(seed: u64) -> Self {
        let mut settings = Settings::default();
        settings.group.authority = AuthorityKind::Quorum;
        settings.group.ack_lease = Some(ACK_LEASE);
        let now = Instant::now();
        let mut world = Self {
            now,
            started: now,
            settings,
            me: host_info("control-1", 7, 0),
            rng: SmallRng::seed_from_u64(seed),
            authority: QuorumAuthority::default(),
            instances: BTreeMap::new(),
            hosts: BTreeMap::from([1, 2].map(|number| (number, Host::new(now, 0)))),
            due: BTreeMap::new(),
            due_count: 0,
            orders_fate: Fate::Answered,
            queries_fate: Fate::Answered,
            last_order_number: 100,
            highest_number_seen: 0,
            next_commit: 0,
            acknowledged: Vec::new(),
            last_acknowledged_at: now,
            promotions: 0,
            given_up: 0,
            lost: None,
        };
        for (name, role) in [
            ("a", Role::Primary),
            ("b", Role::Replica),
            ("c", Role::Replica),
        ] {
            world.add_instance(name, role, Some(Duration::ZERO));
        }
        world.with_authority(|authority, cx| authority.set_leader(cx, true));
        world
    }

    pub(crate) fn add_instance(&mut self, name: &str, role: Role, known_after: Option<Duration>) {
        let known_from = known_after.map(|after| self.now + after);
        let number = self.instances.len() as u16 + 1;
        let instance = Instance::new(number, role, known_from);
        self.instances.insert(name.into(), instance);
    }

    pub(crate) fn at(&mut self, at: Instant, due: Due) {
        self.due_count += 1;
        self.due.insert((at, self.due_count), due);
    }

    /// Returns the instance that leads: the running primary of the highest term.
    pub(crate) fn leading(&self) -> Option<UpstreamId> {
        let primaries = self.instances.iter();
        let primaries = primaries.filter(|(_, i)| i.running && i.role == Role::Primary);
        let newest = primaries.max_by_key(|(_, instance)| instance.term);
        newest.map(|(id, _)| id.clone())
    }

    /// Replaces the leader of consensus by one that knows only the view.
    pub(crate) fn change_leader(&mut self) {
        self.authority = QuorumAuthority::default();
        self.me.incarnation += 1;
        let term = self.me.incarnation;
        self.with_authority(|authority, cx| {
            authority.set_consensus_term(term);
            authority.set_leader(cx, true);
        });
        self.announce();
    }

    /// Lets the leader grant a lease that reaches the hosts later.
    fn grant_lease(&mut self) {
        if let Some(list) = self.authority.ack_stop_list(self.now) {
            let lease = AckLease {
                list,
                granted_at: self.now,
                digest_summary: 0,
            };
            self.at(self.now + LEASE_INTERVAL, Due::Lease(lease));
        }
    }

    /// Gives the authority the view of the leader's host.
    fn announce(&mut self) {
        for instance in self.instances.values_mut() {
            instance.announce(self.now);
        }
        let view = Arc::new(fleet::view(self.now, &self.instances, &self.hosts));
        let instances = &self.instances;
        let withdrawn: Vec<UpstreamId> = instances
            .iter()
            .filter(|(_, instance)| instance.withdrawn)
            .map(|(id, _)| id.clone())
            .collect();
        self.with_authority(|authority, cx| {
            authority.sync(cx, &view, |id| withdrawn.contains(id));
        });
    }

    fn with_authority(&mut self, run: impl FnOnce(&mut QuorumAuthority, &mut Cx<'_>)) {
        let mut effects = Vec::new();
        let mut raised = std::collections::VecDeque::new();
        let mut cx = Cx {
            now: self.now,
            me: &self.me,
            part: model::CONTROL_PART,
            settings: &self.settings,
            rng: &mut self.rng,
            effects: &mut effects,
            raised_events: &mut raised,
        };
        run(&mut self.authority, &mut cx);
        for effect in effects {
            match effect {
                Effect::QueryUpstream {
                    id,
                    upstream,
                    query,
                    timeout,
                    ..
                } => self.send_query(id, upstream, query, timeout),
                Effect::OrderPromotion(order) => self.send_order(order),
                Effect::Send {
                    to,
                    msg: Msg::AckStop(msg),
                } => {
                    let hosts = self.hosts.keys();
                    let mut hosts = hosts.filter(|number| *to.host == *fleet::front_name(**number));
                    if let Some(number) = hosts.next().copied() {
                        self.at(self.now + NETWORK_TIME, Due::ToHost(number, msg));
                    }
                }
                Effect::Log(LogEvent::Authority(AuthorityLogEvent::WritesGivenUp { .. })) => {
                    self.given_up += 1;
                    self.acknowledged.clear();
                }
                Effect::Log(event) if std::env::var("AUTHORITY_LOG").is_ok() => {
                    println!("{:6} {event}", (self.now - self.started).as_millis());
                }
                _ => {}
            }
        }
        for ticket in self.authority.take_tickets() {
            self.last_order_number += 1;
            let number = self.last_order_number;
            self.at(self.now + NETWORK_TIME, Due::Number(number, ticket));
        }
    }

    fn send_query(
        &mut self,
        id: QueryId,
        upstream: UpstreamId,
        query: UpstreamQuery,
        timeout: Duration,
    ) {
        let instance = &self.instances[&upstream];
        let is_status = matches!(query, UpstreamQuery::Status { .. });
        let fate = if is_status {
            Fate::Answered
        } else {
            self.queries_fate
        };
        let reaches = instance.running && !instance.cut_from_leader;
        if !reaches || fate != Fate::Answered {
            let failed = Due::QueryAnswer(id, Err(QueryError::Silent));
            self.at(self.now + timeout, failed);
        }
        let after = match fate {
            Fate::Answered => NETWORK_TIME,
            Fate::Late(time) => time,
            Fate::Lost => return,
        };
        if reaches {
            // An answer to a query that is given up is ignored.
            let id = if fate == Fate::Answered { id } else { 0 };
            self.at(self.now + after, Due::Query(id, upstream, query));
        }
    }

    fn send_order(&mut self, order: PromotionOrder) {
        match self.orders_fate {
            Fate::Answered => self.at(self.now + NETWORK_TIME, Due::Call(order, true)),
            fate => {
                if let Fate::Late(time) = fate {
                    self.at(self.now + time, Due::Call(order.clone(), false));
                }
                let unanswered = Err(PromotionError::Unanswered);
                self.at(self.now + CALL_TIMEOUT, Due::CallAnswer(order, unanswered));
            }
        }
    }

    fn on_due(&mut self, due: Due) {
        match due {
            Due::Query(id, upstream, query) => {
                let instance = self.instances.get_mut(&upstream).unwrap();
                if instance.running {
                    let reply = instance.run_query(&query);
                    self.at(self.now + NETWORK_TIME, Due::QueryAnswer(id, Ok(reply)));
                }
            }
            Due::QueryAnswer(id, result) => {
                self.with_authority(|a, cx| a.on_query_reply(cx, id, result));
            }
            Due::Number(number, ticket) => {
                self.with_authority(|a, cx| a.on_order_number(cx, number, &ticket));
            }
            Due::Call(order, answers) => {
                let running = self.instances[&order.upstream].running;
                let accepted = order.number >= self.highest_number_seen && running;
                self.highest_number_seen = self.highest_number_seen.max(order.number);
                if accepted {
                    let promote = Due::Promote(order.upstream.clone());
                    self.at(self.now + PROMOTION_TIME, promote);
                }
                if answers {
                    let result = accepted.then_some(()).ok_or(PromotionError::Refused);
                    self.at(self.now + NETWORK_TIME, Due::CallAnswer(order, result));
                }
            }
            Due::CallAnswer(order, result) => {
                self.with_authority(|a, cx| a.on_promotion_answered(cx, &order, result));
            }
            Due::Promote(upstream) => self.promote(&upstream),
            Due::ToHost(number, msg) => self.with_host(number, msg),
            Due::ToLeader(number, msg) => {
                let host = fleet::front_name(number).as_str().into();
                let from = PartAddr { host, part: 1 };
                self.with_authority(|a, cx| a.on_ack_stop_msg(cx, &from, &msg));
            }
            Due::Lease(lease) => {
                let now = self.now;
                let hosts = self.hosts.values_mut();
                hosts.for_each(|host| host.take_lease(now, lease.clone()));
            }
            Due::End(upstream) => self.instances.get_mut(&upstream).unwrap().end(),
        }
    }

    /// Makes an instance primary with the log that it has, and checks what is lost thereby.
    fn promote(&mut self, upstream: &UpstreamId) {
        let chosen = &self.instances[upstream];
        if !chosen.running || self.leading().as_ref() == Some(upstream) {
            return;
        }
        let log = chosen.log.clone();
        let has = |commit: &u64| log.iter().any(|(_, other)| other == commit);
        if let Some(commit) = self.acknowledged.iter().find(|commit| !has(commit)) {
            let at = (self.now - self.started).as_millis();
            let text = format!("commit {commit} is not in the log of {upstream}, promoted at {at}");
            self.lost.get_or_insert(text);
        }
        self.promotions += 1;
        let term = self.instances.values().map(|i| i.term).max().unwrap() + 1;
        for (id, instance) in &mut self.instances {
            instance.term = term;
            instance.paused_term = 0;
            instance.waiting.clear();
            instance.role = if id == upstream {
                Role::Primary
            } else {
                Role::Replica
            };
            instance.roll_back_to(&log);
        }
    }

    /// Runs a commit on each primary, and lets replicas receive with drawn delays.
    fn commit(&mut self) {
        let host = self.rng.random_range(1..=2);
        let Some(primary) = self.leading() else {
            return;
        };
        self.next_commit += 1;
        let commit = self.next_commit;
        let instance = self.instances.get_mut(&primary).unwrap();
        instance.log.push((instance.term, commit));
        instance.waiting.push((commit, host));
        let log = instance.log.clone();
        let mut received = 0;
        for (id, replica) in &mut self.instances {
            let lags = self.rng.random_bool(0.4);
            if *id != primary && replica.receives() && !lags {
                replica.log.clone_from(&log);
                received = log.len();
            }
        }
        if received == 0 {
            return;
        }
        let instance = self.instances.get_mut(&primary).unwrap();
        for (commit, host) in std::mem::take(&mut instance.waiting) {
            let number = log.iter().position(|(_, other)| *other == commit).unwrap();
            let position = Position::new(log[number].0, number as u64 + 1);
            let host = self.hosts.get_mut(&host).unwrap();
            if host.passes_on(self.now, position) {
                self.acknowledged.push(commit);
                self.last_acknowledged_at = self.now;
            }
        }
    }

    /// Returns whether commits are acknowledged now.
    pub(crate) fn acknowledges(&self) -> bool {
        self.now - self.last_acknowledged_at < Duration::from_secs(1)
    }

    /// Runs for a time.
    pub(crate) fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += TICK;
            while let Some(entry) = self.due.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let due = entry.remove();
                self.on_due(due);
            }
            let millis = (self.now - self.started).as_millis();
            if millis.is_multiple_of(100) {
                self.announce();
            }
            if millis.is_multiple_of(LEASE_INTERVAL.as_millis()) {
                self.grant_lease();
            }
            if millis.is_multiple_of(20) {
                self.commit();
            }
            self.with_authority(QuorumAuthority::on_tick);
        }
    }

    /// Applies the operations of a schedule, each after its delay, and then lets all heal.
    pub(crate) fn play(&mut self, schedule: &[(Duration, Op)]) {
        self.run(Duration::from_secs(4));
        for (delay, op) in schedule {
            self.run(*delay);
            op.apply(self);
        }
        self.run(Duration::from_secs(15));
        Op::HealAll.apply(self);
        self.run(Duration::from_secs(25));
    }
}
