//! A consensus leader that supervises the primary of one service, with simulated instances.
//!
//! Instances and platform are simulated; consensus is not: the authority is told that it leads.
#![allow(clippy::unwrap_used, reason = "a test that meets an error ends there")]
#![allow(dead_code, reason = "not every test needs every helper")]

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use decide::authority::{AuthorityKind, PromotionOrder, QuorumAuthority};
use decide::owner::ack_gate::AckStopMsg;
use decide::raft::PromotionTicket;
use decide::spread::Fact;
use decide::upstream_query::{QueryError, QueryReply, UpstreamQuery};
use decide::view::{ServiceView, UpstreamView};
use decide::{Cx, Effect, Event, Msg, Settings, View};
use evac::InForce;
use model::{Announcement, HostInfo, InstanceStatus, Position, Role, Term, UpstreamId};
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// A simulated database instance.
pub(crate) struct Instance {
    pub(crate) role: Role,
    pub(crate) term: Term,
    pub(crate) position: Position,
    /// The term of the query `pause` that fenced the replica, so that it receives no writes; 0 if it
    /// isn't fenced.
    pub(crate) fenced_term: Term,
    /// Why the leader's queries to the instance fail; `None` if they are answered.
    pub(crate) query_error: Option<QueryError>,
    /// Whether the next query that ends a fence gets no answer and is carried out later.
    pub(crate) delays_unfence: bool,
    /// Whether such a query has not been carried out yet.
    pub(crate) unfence_delayed: bool,
    /// Whether the instance announces that it drains.
    pub(crate) draining: bool,
    pub(crate) incarnation: u64,
}

impl Instance {
    /// Cuts the instance off from the leader, which gets no answer from it.
    ///
    /// Other instances still reach it, so a replica goes on receiving.
    pub(crate) fn cut_off(&mut self) {
        self.query_error = Some(QueryError::Unreachable);
    }
}

/// Returns an instance that is reachable and neither fenced nor draining.
pub(crate) fn instance(role: Role) -> Instance {
    Instance {
        role,
        term: 1,
        position: Position::new(1, 10),
        fenced_term: 0,
        query_error: None,
        delays_unfence: false,
        unfence_delayed: false,
        draining: false,
        incarnation: 1,
    }
}

/// Returns the address of an instance; names with the same first letter share one.
pub(crate) fn address(id: &str) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], u16::from(id.as_bytes()[0])))
}

/// A consensus leader with three instances of one service.
pub(crate) struct World {
    pub(crate) now: Instant,
    pub(crate) settings: Settings,
    pub(crate) me: HostInfo,
    pub(crate) rng: SmallRng,
    pub(crate) authority: QuorumAuthority,
    pub(crate) instances: BTreeMap<&'static str, Instance>,
    /// The newest primary that the authority has published, with its term.
    pub(crate) primary: Option<(Term, UpstreamId)>,
    /// All promotion orders that the authority has sent.
    pub(crate) orders: Vec<PromotionOrder>,
    /// Whether the platform carries out orders and answers them.
    pub(crate) platform_answers: bool,
    /// Whether the platform carries out the orders that it accepts; else a test does so later.
    pub(crate) carries_out_accepted: bool,
    /// Whether a promotion ends the fences of all instances.
    pub(crate) promotion_ends_fences: bool,
    pub(crate) last_order_number: u64,
    /// Instances whose data centre is evacuated.
    pub(crate) evacuated: Vec<&'static str>,
    /// Instances that got a query beside which the host may send statements of its own.
    pub(crate) not_queried_alone: BTreeSet<UpstreamId>,
    /// Instances that have withdrawn their announcements.
    pub(crate) withdrawn: Vec<&'static str>,
    /// Whether entry host `entry-1` is alive, which answers no request to stop acknowledgements.
    pub(crate) has_silent_entry_host: bool,
    /// The number of the last request to stop acknowledgements.
    pub(crate) last_stop_round: u64,
    /// Whether tickets are kept instead of being committed.
    pub(crate) holds_tickets: bool,
    pub(crate) held_tickets: Vec<PromotionTicket>,
    /// Answers of instances and platform that the authority has not received yet.
    pub(crate) pending_replies: VecDeque<Event>,
}

impl World {
    pub(crate) fn new() -> Self {
        let mut settings = Settings::default();
        settings.group.authority = AuthorityKind::Quorum;
        let instances = BTreeMap::from([
            ("a", instance(Role::Primary)),
            ("b", instance(Role::Replica)),
            ("c", instance(Role::Replica)),
        ]);
        let mut world = Self {
            now: Instant::now(),
            settings,
            me: HostInfo {
                host: "control-1".into(),
                data_centre: "dc-1".into(),
                peer_addr: "127.0.0.1:1".parse().unwrap(),
                incarnation: 7,
                traffic_parts: 0,
                is_entry_host: false,
                is_control_host: true,
                leaving: false,
            },
            rng: SmallRng::seed_from_u64(1),
            authority: QuorumAuthority::default(),
            instances,
            primary: None,
            orders: Vec::new(),
            platform_answers: true,
            carries_out_accepted: true,
            promotion_ends_fences: false,
            last_order_number: 100,
            evacuated: Vec::new(),
            not_queried_alone: BTreeSet::new(),
            withdrawn: Vec::new(),
            has_silent_entry_host: false,
            last_stop_round: 0,
            holds_tickets: false,
            held_tickets: Vec::new(),
            pending_replies: VecDeque::new(),
        };
        world.run_authority(|authority, cx| authority.set_leader(cx, true));
        world.announce(&["a", "b", "c"]);
        world
    }

    pub(crate) fn view(&self, announced: &[&'static str]) -> View {
        let mut view = View::default();
        for id in announced {
            let instance = &self.instances[id];
            let announcement = Announcement {
                upstream: (*id).into(),
                service: "pots".into(),
                addr: address(id),
                data_centre: if self.evacuated.contains(id) {
                    "dc-2".into()
                } else {
                    "dc-1".into()
                },
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
            let owners = Vec::new();
            let up = UpstreamView {
                announcement,
                owners,
                last_ready_at: None,
            };
            view.upstreams.insert((*id).into(), up);
        }
        let service = ServiceView {
            primary: self.primary.clone(),
            upstreams: announced.iter().map(|id| (*id).into()).collect(),
            group_size: 0,
        };
        view.services.insert("pots".into(), service);
        view.evacuations = Arc::new(InForce {
            version: 1,
            closes_at: [("dc-2".into(), self.now)].into(),
        });
        if self.has_silent_entry_host {
            let host = HostInfo {
                host: "entry-1".into(),
                is_entry_host: true,
                is_control_host: false,
                traffic_parts: 1,
                ..self.me.clone()
            };
            view.hosts.insert("entry-1".into(), host);
        }
        view
    }

    /// Gives the authority a view in which only these instances are announced.
    pub(crate) fn announce(&mut self, announced: &[&'static str]) {
        let view = Arc::new(self.view(announced));
        let withdrawn = self.withdrawn.clone();
        let has_withdrawn = |id: &UpstreamId| withdrawn.iter().any(|name| **id == **name);
        self.run_authority(|authority, cx| authority.sync(cx, &view, has_withdrawn));
    }

    /// Calls the authority and handles its events and effects.
    pub(crate) fn run_authority(&mut self, run: impl FnOnce(&mut QuorumAuthority, &mut Cx<'_>)) {
        let mut effects = Vec::new();
        let mut raised = VecDeque::new();
        let cx = &mut Cx {
            now: self.now,
            me: &self.me,
            part: model::CONTROL_PART,
            settings: &self.settings,
            rng: &mut self.rng,
            effects: &mut effects,
            raised_events: &mut raised,
        };
        run(&mut self.authority, cx);
        for event in raised {
            if let Event::FactLearned(Fact::Primary { term, upstream, .. }) = event {
                self.primary = Some((term, upstream));
            }
        }
        for effect in effects {
            match effect {
                Effect::QueryUpstream {
                    id,
                    upstream,
                    query,
                    alone,
                    ..
                } => {
                    if !alone {
                        self.not_queried_alone.insert(upstream.clone());
                    }
                    let result = self.answer_query(&upstream, &query);
                    self.pending_replies
                        .push_back(Event::QueryAnswered { id, result });
                }
                Effect::OrderPromotion(order) => {
                    self.orders.push(order.clone());
                    if self.platform_answers {
                        if self.carries_out_accepted {
                            self.promote(&order.upstream);
                        }
                        let result = Ok(());
                        self.pending_replies
                            .push_back(Event::PromotionAnswered { order, result });
                    }
                }
                Effect::Send {
                    msg: Msg::AckStop(AckStopMsg::Stop { round, .. }),
                    ..
                } => self.last_stop_round = round,
                _ => {}
            }
        }
    }

    pub(crate) fn answer_query(
        &mut self,
        upstream: &UpstreamId,
        query: &UpstreamQuery,
    ) -> Result<QueryReply, QueryError> {
        let instance = self.instances.get_mut(&**upstream).unwrap();
        if let Some(error) = instance.query_error {
            return Err(error);
        }
        match query {
            UpstreamQuery::Pause { term } if instance.role == Role::Replica => {
                instance.fenced_term = instance.fenced_term.max(*term);
            }
            UpstreamQuery::Resume if instance.delays_unfence => {
                instance.delays_unfence = false;
                instance.unfence_delayed = true;
                return Err(QueryError::Silent);
            }
            UpstreamQuery::Resume => instance.fenced_term = 0,
            UpstreamQuery::Demote { term } if instance.term < *term => {
                instance.role = Role::Replica;
            }
            _ => {}
        }
        Ok(QueryReply {
            status: InstanceStatus {
                role: instance.role,
                term: instance.term,
                position: instance.position,
                lag: Duration::ZERO,
            },
            granted: true,
            paused_term: instance.fenced_term,
            claim: None,
        })
    }

    /// Makes an instance primary as the platform does; the others stay fenced until they are
    /// unfenced, unless the promotion ends their fences.
    pub(crate) fn promote(&mut self, upstream: &UpstreamId) {
        let chosen = &self.instances[&**upstream];
        if chosen.role == Role::Primary {
            return;
        }
        let term = self.instances.values().map(|i| i.term).max().unwrap() + 1;
        for (id, instance) in &mut self.instances {
            let chosen = **id == **upstream;
            instance.role = if chosen { Role::Primary } else { Role::Replica };
            if instance.query_error.is_none() {
                instance.term = term;
            }
            if chosen || self.promotion_ends_fences {
                instance.fenced_term = 0;
            }
        }
    }

    /// Runs for a time with a tick every 10 ms, and checks that no tick is due in the past.
    pub(crate) fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            while let Some(event) = self.pending_replies.pop_front() {
                match event {
                    Event::QueryAnswered { id, result } => {
                        self.run_authority(|a, cx| a.on_query_reply(cx, id, result))
                    }
                    Event::PromotionAnswered { order, result } => {
                        self.run_authority(|a, cx| a.on_promotion_answered(cx, &order, result));
                    }
                    _ => {}
                }
                for ticket in self.authority.take_tickets() {
                    if self.holds_tickets {
                        self.held_tickets.push(ticket);
                        continue;
                    }
                    self.last_order_number += 1;
                    let number = self.last_order_number;
                    self.run_authority(|a, cx| a.on_order_number(cx, number, &ticket));
                }
            }
            self.now += Duration::from_millis(10);
            self.run_authority(|authority, cx| authority.on_tick(cx));
            let wake_at = self.authority.wake_at();
            let past = wake_at.is_some_and(|at| at <= self.now);
            assert!(
                !past,
                "the authority asks for a tick at a time that has passed"
            );
        }
    }

    /// Lets the primary announce that it drains while the platform does not answer, and returns the
    /// successor that is ordered first.
    pub(crate) fn drain_primary_on_silent_platform(&mut self) -> UpstreamId {
        self.run(Duration::from_secs(4));
        self.platform_answers = false;
        self.instances.get_mut("a").unwrap().draining = true;
        self.announce(&["a", "b", "c"]);
        self.run(Duration::from_secs(1));
        self.orders[0].upstream.clone()
    }

    /// Lets the primary run a write, and returns its position if a replica has received it too.
    pub(crate) fn acknowledge_write(&mut self) -> Option<Position> {
        let mut instances = self.instances.values_mut();
        let primary = instances.find(|instance| instance.role == Role::Primary)?;
        primary.position.offset += 1;
        let position = primary.position;
        let replicas = self.instances.values_mut();
        let receiving = replicas.filter(|i| i.role == Role::Replica && i.fenced_term == 0);
        let received = receiving.map(|replica| replica.position = position);
        (received.count() > 0).then_some(position)
    }

    /// Cuts the primary off from the leader and returns its successor, once announcements of the
    /// former primary have lapsed. The former primary is a replica that only the leader can't see.
    pub(crate) fn replace_unseen_primary(&mut self) -> UpstreamId {
        self.run(Duration::from_secs(4));
        self.instances.get_mut("a").unwrap().cut_off();
        self.run(Duration::from_secs(2));
        let (_, successor) = self.primary.clone().unwrap();
        self.announce(&["b", "c"]);
        self.run(Duration::from_secs(2));
        successor
    }

    /// Changes the instance with this name.
    pub(crate) fn change(&mut self, id: &UpstreamId, change: impl FnOnce(&mut Instance)) {
        let mut instances = self.instances.iter_mut();
        let (_, instance) = instances.find(|(name, _)| ***name == **id).unwrap();
        change(instance);
    }

    /// Replaces the draining primary, where queries to end the fences of these instances get no
    /// answer and are carried out later.
    pub(crate) fn replace_with_delayed_unfences(&mut self, delayed: &[&str]) -> UpstreamId {
        self.run(Duration::from_secs(4));
        for (id, instance) in &mut self.instances {
            instance.delays_unfence = delayed.contains(id);
        }
        self.instances.get_mut("a").unwrap().draining = true;
        self.announce(&["a", "b", "c"]);
        self.run(Duration::from_secs(3));
        let (_, successor) = self.primary.clone().unwrap();
        assert!(self.none_is_fenced());
        successor
    }

    /// Carries out the delayed queries that end fences.
    pub(crate) fn carry_out_delayed_unfences(&mut self) {
        let instances = self.instances.values_mut();
        for instance in instances.filter(|instance| instance.unfence_delayed) {
            instance.unfence_delayed = false;
            instance.fenced_term = 0;
        }
    }

    pub(crate) fn none_is_fenced(&self) -> bool {
        let mut instances = self.instances.values();
        instances.all(|instance| instance.fenced_term == 0)
    }

    pub(crate) fn ordered_upstreams(&self) -> Vec<&str> {
        self.orders.iter().map(|order| &*order.upstream).collect()
    }
}
