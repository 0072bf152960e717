//! Replacement of a lost primary by the consensus leader.
//!
//! The leader fences the replicas, chooses the one with the highest log position, and orders its
//! promotion at the platform that runs the database instances. Instances and platform are simulated;
//! consensus is not: the authority is told that it leads.
#![allow(clippy::unwrap_used, reason = "a test that meets an error ends there")]

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use decide::authority::{AuthorityKind, PromotionOrder, QuorumAuthority};
use decide::spread::Fact;
use decide::upstream_query::{QueryError, QueryReply, UpstreamQuery};
use decide::view::{ServiceView, UpstreamView};
use decide::{Cx, Effect, Event, Settings, View};
use model::{Announcement, HostInfo, InstanceStatus, Position, Role, Term, UpstreamId};
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// A simulated database instance.
struct Instance {
    role: Role,
    term: Term,
    position: Position,
    /// The term of the query `pause` that fenced the replica, so that it receives no writes; 0 if it
    /// isn't fenced.
    fenced_term: Term,
    /// Why the leader's queries to the instance fail; `None` if they are answered.
    query_error: Option<QueryError>,
    /// Whether the next query that ends a fence gets no answer and is carried out later.
    delays_unfence: bool,
    /// Whether such a query has not been carried out yet.
    unfence_delayed: bool,
    /// Whether the instance announces that it drains.
    draining: bool,
    incarnation: u64,
}

impl Instance {
    /// Cuts the instance off from the leader, which gets no answer from it.
    ///
    /// Other instances still reach it, so a replica goes on receiving.
    fn cut_off(&mut self) {
        self.query_error = Some(QueryError::Unreachable);
    }
}

/// Returns an instance that is reachable and neither fenced nor draining.
fn instance(role: Role) -> Instance {
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
fn address(id: &str) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], u16::from(id.as_bytes()[0])))
}

/// A consensus leader with three instances of one service.
struct World {
    now: Instant,
    settings: Settings,
    me: HostInfo,
    rng: SmallRng,
    authority: QuorumAuthority,
    instances: BTreeMap<&'static str, Instance>,
    /// The newest primary that the authority has published, with its term.
    primary: Option<(Term, UpstreamId)>,
    /// All promotion orders that the authority has sent.
    orders: Vec<PromotionOrder>,
    /// Whether the platform carries out orders and answers them.
    platform_answers: bool,
    /// Whether a promotion ends the fences of all instances.
    promotion_ends_fences: bool,
    last_order_number: u64,
    /// Instances that have withdrawn their announcements.
    withdrawn: Vec<&'static str>,
    /// Answers of instances and platform that the authority has not received yet.
    pending_replies: VecDeque<Event>,
}

impl World {
    fn new() -> Self {
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
            promotion_ends_fences: false,
            last_order_number: 100,
            withdrawn: Vec::new(),
            pending_replies: VecDeque::new(),
        };
        world.run_authority(|authority, cx| authority.set_leader(cx, true));
        world.announce(&["a", "b", "c"]);
        world
    }

    fn view(&self, announced: &[&'static str]) -> View {
        let mut view = View::default();
        for id in announced {
            let instance = &self.instances[id];
            let announcement = Announcement {
                upstream: (*id).into(),
                service: "pots".into(),
                addr: address(id),
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
        view
    }

    /// Gives the authority a view in which only these instances are announced.
    fn announce(&mut self, announced: &[&'static str]) {
        let view = Arc::new(self.view(announced));
        let withdrawn = self.withdrawn.clone();
        let has_withdrawn = |id: &UpstreamId| withdrawn.iter().any(|name| **id == **name);
        self.run_authority(|authority, cx| authority.sync(cx, &view, has_withdrawn));
    }

    /// Calls the authority and handles its events and effects.
    fn run_authority(&mut self, run: impl FnOnce(&mut QuorumAuthority, &mut Cx<'_>)) {
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
                    ..
                } => {
                    let result = self.answer_query(&upstream, &query);
                    self.pending_replies
                        .push_back(Event::QueryAnswered { id, result });
                }
                Effect::OrderPromotion(order) => {
                    self.orders.push(order.clone());
                    if self.platform_answers {
                        self.promote(&order.upstream);
                        let result = Ok(());
                        self.pending_replies
                            .push_back(Event::PromotionAnswered { order, result });
                    }
                }
                _ => {}
            }
        }
    }

    fn answer_query(
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
    fn promote(&mut self, upstream: &UpstreamId) {
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
    fn run(&mut self, time: Duration) {
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
    fn drain_primary_on_silent_platform(&mut self) -> UpstreamId {
        self.run(Duration::from_secs(4));
        self.platform_answers = false;
        self.instances.get_mut("a").unwrap().draining = true;
        self.announce(&["a", "b", "c"]);
        self.run(Duration::from_secs(1));
        self.orders[0].upstream.clone()
    }

    /// Lets the primary run a write, and returns its position if a replica has received it too.
    fn acknowledge_write(&mut self) -> Option<Position> {
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
    fn replace_unseen_primary(&mut self) -> UpstreamId {
        self.run(Duration::from_secs(4));
        self.instances.get_mut("a").unwrap().cut_off();
        self.run(Duration::from_secs(2));
        let (_, successor) = self.primary.clone().unwrap();
        self.announce(&["b", "c"]);
        self.run(Duration::from_secs(2));
        successor
    }

    /// Changes the instance with this name.
    fn change(&mut self, id: &UpstreamId, change: impl FnOnce(&mut Instance)) {
        let mut instances = self.instances.iter_mut();
        let (_, instance) = instances.find(|(name, _)| ***name == **id).unwrap();
        change(instance);
    }

    /// Replaces the draining primary, where queries to end the fences of these instances get no
    /// answer and are carried out later.
    fn replace_with_delayed_unfences(&mut self, delayed: &[&str]) -> UpstreamId {
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
    fn carry_out_delayed_unfences(&mut self) {
        let instances = self.instances.values_mut();
        for instance in instances.filter(|instance| instance.unfence_delayed) {
            instance.unfence_delayed = false;
            instance.fenced_term = 0;
        }
    }

    fn none_is_fenced(&self) -> bool {
        let mut instances = self.instances.values();
        instances.all(|instance| instance.fenced_term == 0)
    }

    fn ordered_upstreams(&self) -> Vec<&str> {
        self.orders.iter().map(|order| &*order.upstream).collect()
    }
}

#[test]
fn a_lost_primary_is_replaced_by_the_replica_that_has_most() {
    let mut world = World::new();
    world.run(Duration::from_secs(4));
    world.instances.get_mut("c").unwrap().position = Position::new(1, 12);
    world.instances.get_mut("a").unwrap().cut_off();
    world.run(Duration::from_secs(3));
    assert_eq!(world.ordered_upstreams(), ["c"]);
    assert_eq!(world.primary, Some((2, "c".into())));
}

#[test]
fn no_order_is_given_while_a_replica_that_may_have_more_is_not_fenced() {
    let mut world = World::new();
    world.run(Duration::from_secs(4));
    world.instances.get_mut("a").unwrap().cut_off();
    world.instances.get_mut("b").unwrap().cut_off();
    world.run(Duration::from_secs(10));
    assert!(world.orders.is_empty(), "{:?}", world.orders);
}

#[test]
fn no_order_is_given_before_all_instances_can_have_announced_themselves() {
    let mut world = World::new();
    world.instances.get_mut("a").unwrap().cut_off();
    world.run(Duration::from_secs(2));
    assert!(world.orders.is_empty(), "{:?}", world.orders);
    world.run(Duration::from_secs(3));
    assert_eq!(world.orders.len(), 1);
}

#[test]
fn an_instance_that_answers_counts_even_if_its_announcement_has_lapsed() {
    let mut world = World::new();
    world.run(Duration::from_secs(4));
    world.announce(&["b", "c"]);
    world.run(Duration::from_secs(5));
    assert!(world.orders.is_empty(), "{:?}", world.orders);
}

#[test]
fn replicas_that_stay_fenced_after_a_promotion_cause_no_other_one() {
    let mut world = World::new();
    world.run(Duration::from_secs(4));
    // An earlier leader left this replica fenced.
    world.instances.get_mut("b").unwrap().fenced_term = 9;
    world.instances.get_mut("a").unwrap().cut_off();
    world.run(Duration::from_secs(3));
    world.instances.get_mut("a").unwrap().query_error = None;
    world.run(Duration::from_secs(10));
    assert_eq!(world.orders.len(), 1, "{:?}", world.orders);
    assert!(world.none_is_fenced());
}

#[test]
fn an_open_order_of_an_earlier_leader_is_settled_by_ordering_the_present_primary() {
    let mut world = World::new();
    // The earlier leader fenced both replicas and was lost before it ended its replacement.
    for id in ["b", "c"] {
        world.instances.get_mut(id).unwrap().fenced_term = 5;
    }
    // The primary runs further writes, which the fenced replicas don't receive.
    world.instances.get_mut("a").unwrap().position = Position::new(1, 99);
    world.run(Duration::from_secs(6));
    assert_eq!(world.ordered_upstreams(), ["a"]);
    assert!(world.none_is_fenced());
}

#[test]
fn an_order_without_an_answer_is_given_again_with_a_higher_number() {
    let mut world = World::new();
    world.run(Duration::from_secs(4));
    world.platform_answers = false;
    world.instances.get_mut("a").unwrap().cut_off();
    world.run(Duration::from_secs(5));
    assert!(!world.orders.is_empty());
    assert!(
        world.instances["b"].fenced_term > 0,
        "a replica was unfenced"
    );
    world.platform_answers = true;
    world.run(Duration::from_secs(5));
    let numbers: Vec<u64> = world.orders.iter().map(|order| order.number).collect();
    assert!(numbers.len() > 1 && numbers.is_sorted_by(|a, b| a < b));
    assert_eq!(world.instances["b"].fenced_term, 0);
}

#[test]
fn a_draining_primary_is_not_ordered_to_lead_on_while_the_order_for_its_successor_is_in_doubt() {
    let mut world = World::new();
    let successor = world.drain_primary_on_silent_platform();
    world.run(Duration::from_secs(11));
    let ordered = world.ordered_upstreams();
    assert!(ordered.len() > 1, "the order was not given again");
    assert!(
        ordered.iter().all(|id| **id == *successor && *id != "a"),
        "orders in turn: {ordered:?}"
    );
    world.platform_answers = true;
    world.run(Duration::from_secs(5));
    assert_eq!(world.primary, Some((2, successor)));
    assert!(world.none_is_fenced());
}

#[test]
fn a_successor_with_less_than_a_restarted_replica_is_not_ordered_again() {
    let mut world = World::new();
    let successor = world.drain_primary_on_silent_platform();
    let other = if &*successor == "b" { "c" } else { "b" };
    let restarted = world.instances.get_mut(other).unwrap();
    restarted.incarnation += 1;
    restarted.fenced_term = 0;
    restarted.position = Position::new(1, 50);
    world.announce(&["a", "b", "c"]);
    world.run(Duration::from_secs(8));
    let later = &world.ordered_upstreams()[1..];
    assert!(!later.is_empty(), "no order was given again");
    let position = |id: &str| world.instances[id].position;
    assert!(
        later.iter().all(|id| position(id) == Position::new(1, 50)),
        "orders after the restart: {later:?}"
    );
}

#[test]
fn an_order_that_is_carried_out_late_and_then_given_again_loses_no_write() {
    let mut world = World::new();
    let successor = world.drain_primary_on_silent_platform();
    world.promote(&successor);
    // The former primary isn't fenced, so it receives the writes of the new term.
    for id in ["a", &*successor] {
        world.instances.get_mut(id).unwrap().position = Position::new(2, 15);
    }
    world.platform_answers = true;
    world.run(Duration::from_secs(8));
    assert_eq!(world.primary, Some((2, successor.clone())));
    let later = &world.ordered_upstreams()[1..];
    assert!(
        later.iter().all(|id| **id == *successor),
        "orders after the late one: {later:?}"
    );
}

#[test]
fn a_replica_that_starts_while_an_order_is_open_acknowledges_no_write_that_the_successor_lacks() {
    let mut world = World::new();
    let successor = world.drain_primary_on_silent_platform();
    world.instances.insert("d", instance(Role::Replica));
    let acknowledged = world.acknowledge_write();
    world.announce(&["a", "b", "c", "d"]);
    world.run(Duration::from_secs(2));
    let acknowledged = world.acknowledge_write().max(acknowledged);
    // The platform carries the first order out late.
    world.promote(&successor);
    let has = world.instances[&*successor].position;
    assert!(
        acknowledged.is_none_or(|position| position <= has),
        "acknowledged up to {acknowledged:?}, promoted {has:?}"
    );
}

#[test]
fn a_demoted_primary_that_no_replica_has_caught_up_with_leads_again() {
    let mut world = World::new();
    world.run(Duration::from_secs(4));
    world.instances.get_mut("a").unwrap().position = Position::new(1, 12);
    world.instances.get_mut("a").unwrap().draining = true;
    world.announce(&["a", "b", "c"]);
    world.run(Duration::from_secs(1));
    assert_eq!(world.ordered_upstreams(), ["a"]);
    for id in ["b", "c"] {
        world.instances.get_mut(id).unwrap().position = Position::new(1, 12);
    }
    world.run(Duration::from_secs(3));
    assert_eq!(world.ordered_upstreams()[1..], ["c"]);
}

#[test]
fn a_successor_that_leads_by_an_order_without_an_answer_is_not_held_up_by_that_order() {
    let mut world = World::new();
    let successor = world.drain_primary_on_silent_platform();
    world.run(Duration::from_secs(1));
    world.promote(&successor);
    world.run(Duration::from_secs(3));
    assert_eq!(world.primary, Some((2, successor.clone())));
    assert!(
        world.none_is_fenced(),
        "the successor can acknowledge nothing"
    );
    assert!(
        world
            .ordered_upstreams()
            .iter()
            .all(|id| **id == *successor)
    );
}

/// Guards against lost commits: a replica that only the leader can't see goes on confirming writes.
///
/// It left the account when its announcements had lapsed and its probes had failed. The next
/// primary was then replaced while that replica confirmed writes which the successor lacked.
#[test]
fn no_order_is_given_while_a_replica_that_only_the_leader_cannot_see_confirms_writes() {
    let mut world = World::new();
    let primary = world.replace_unseen_primary();
    world.platform_answers = false;
    world.change(&primary, Instance::cut_off);
    for _ in 0..300 {
        world.run(Duration::from_millis(100));
        let acknowledged = world.acknowledge_write();
        for order in &world.orders[1..] {
            let has = world.instances[&*order.upstream].position;
            assert!(
                acknowledged.is_none_or(|position| position <= has),
                "acknowledged {acknowledged:?}, {} is ordered to lead and has {has:?}",
                order.upstream
            );
        }
    }
    world.platform_answers = true;
    world.instances.get_mut("a").unwrap().query_error = None;
    world.announce(&["a", "b", "c"]);
    world.run(Duration::from_secs(3));
    assert_eq!(
        world.primary.as_ref().map(|(term, _)| *term),
        Some(3),
        "not replaced though all replicas can be fenced"
    );
}

/// Guards against commits lost behind an address that only the leader's side is refused.
#[test]
fn a_refused_connection_does_not_show_that_a_replica_has_ended() {
    let mut world = World::new();
    let primary = world.replace_unseen_primary();
    world.instances.get_mut("a").unwrap().query_error = Some(QueryError::ConnectionRefused);
    world.run(Duration::from_secs(1));
    world.change(&primary, Instance::cut_off);
    world.run(Duration::from_secs(10));
    assert_eq!(world.orders.len(), 1, "{:?}", world.orders);
}

/// Guards against a service without a primary after a replica's crash.
#[test]
fn a_replica_whose_address_has_refused_connections_for_long_is_not_waited_for() {
    let mut world = World::new();
    let primary = world.replace_unseen_primary();
    world.instances.get_mut("a").unwrap().query_error = Some(QueryError::ConnectionRefused);
    world.run(Duration::from_secs(25));
    world.change(&primary, Instance::cut_off);
    world.run(Duration::from_secs(3));
    assert_eq!(world.orders.len(), 2, "{:?}", world.orders);
}

/// Guards against ended instances that each later change of the primary waits for: the answer of
/// another instance at their address counted as a sign of life.
#[test]
fn an_instance_whose_address_another_one_has_taken_is_not_waited_for() {
    let mut world = World::new();
    let primary = world.replace_unseen_primary();
    world.instances.insert("a2", instance(Role::Replica));
    world.announce(&["b", "c", "a2"]);
    world.instances.get_mut("a").unwrap().query_error = Some(QueryError::OtherUpstream);
    world.run(Duration::from_secs(1));
    world.change(&primary, Instance::cut_off);
    world.run(Duration::from_secs(3));
    assert_eq!(world.orders.len(), 2, "{:?}", world.orders);
    let acknowledged = world.acknowledge_write();
    assert_eq!(acknowledged.map(|position| position.offset), Some(11));
}

/// Guards against commits that are lost because a replica which has taken an ended one's address
/// is not known yet.
#[test]
fn a_successor_at_the_address_of_an_ended_replica_is_fenced_before_a_promotion() {
    let mut world = World::new();
    let primary = world.replace_unseen_primary();
    world.instances.get_mut("a").unwrap().query_error = Some(QueryError::OtherUpstream);
    world.instances.insert("a2", instance(Role::Replica));
    world.run(Duration::from_secs(1));
    world.platform_answers = false;
    world.change(&primary, Instance::cut_off);
    world.run(Duration::from_millis(1500));
    assert_eq!(world.orders.len(), 1, "{:?}", world.orders);
    world.announce(&["b", "c", "a2"]);
    world.run(Duration::from_secs(1));
    assert_eq!(world.orders.len(), 2, "{:?}", world.orders);
    assert!(world.instances["a2"].fenced_term > 0);
}

#[test]
fn a_replica_that_has_withdrawn_and_does_not_answer_is_not_waited_for() {
    let mut world = World::new();
    let primary = world.replace_unseen_primary();
    world.withdrawn.push("a");
    world.announce(&["b", "c"]);
    world.run(Duration::from_secs(1));
    world.change(&primary, Instance::cut_off);
    world.run(Duration::from_secs(3));
    assert_eq!(world.orders.len(), 2, "{:?}", world.orders);
}

/// A primary that answers is demoted, so that a silent replica can confirm nothing more.
#[test]
fn a_draining_primary_is_replaced_while_a_replica_is_silent() {
    let mut world = World::new();
    world.run(Duration::from_secs(4));
    world.instances.get_mut("c").unwrap().cut_off();
    world.run(Duration::from_secs(2));
    let acknowledged = world.acknowledge_write();
    world.instances.get_mut("a").unwrap().draining = true;
    world.announce(&["a", "b", "c"]);
    world.run(Duration::from_secs(3));
    assert_eq!(world.ordered_upstreams(), ["b"]);
    assert!(acknowledged <= Some(world.instances["b"].position));
}

/// Guards against replicas that stay fenced, and writes that wait, while nothing can be ordered.
#[test]
fn no_replica_is_fenced_while_the_replacement_is_held_up() {
    let mut world = World::new();
    let primary = world.replace_unseen_primary();
    world.change(&primary, Instance::cut_off);
    for _ in 0..500 {
        world.run(Duration::from_millis(10));
        assert!(world.none_is_fenced());
    }
}

/// Guards against lost commits: a query that ends a fence is carried out late, while a promotion
/// relies on the fence.
#[test]
fn a_replica_whose_fence_may_end_late_confirms_no_write_that_the_successor_lacks() {
    let mut world = World::new();
    let primary = world.replace_with_delayed_unfences(&["a"]);
    assert!(world.instances["a"].unfence_delayed);
    world.platform_answers = false;
    world.change(&primary, Instance::cut_off);
    world.run(Duration::from_secs(2));
    assert_eq!(world.orders.len(), 2, "{:?}", world.orders);
    let successor = world.orders[1].upstream.clone();
    world.carry_out_delayed_unfences();
    let acknowledged = world.acknowledge_write();
    world.promote(&successor);
    let has = world.instances[&*successor].position;
    assert!(
        acknowledged.is_some_and(|position| position <= has),
        "acknowledged {acknowledged:?}, promoted {has:?}"
    );
}

/// Guards against lost commits where the fences of two replicas may end late: either may then
/// confirm writes that the other one lacks.
#[test]
fn no_order_is_given_while_the_fences_of_two_replicas_may_end_late() {
    let mut world = World::new();
    let primary = world.replace_with_delayed_unfences(&["a", "b", "c"]);
    world.change(&primary, Instance::cut_off);
    world.run(Duration::from_secs(10));
    assert_eq!(world.orders.len(), 1, "{:?}", world.orders);
    assert!(world.none_is_fenced());
    world.run(Duration::from_secs(30));
    assert_eq!(world.orders.len(), 2, "{:?}", world.orders);
}

#[test]
fn a_promotion_that_ends_all_fences_is_followed_by_no_further_query() {
    let mut world = World::new();
    world.promotion_ends_fences = true;
    let delayed = ["a", "b", "c"];
    world.replace_with_delayed_unfences(&delayed);
    let instances = world.instances.values();
    assert_eq!(instances.filter(|i| i.unfence_delayed).count(), 0);
}

/// Guards against a service that gets no primary any more: the answer of another instance at a
/// replica's address counted as a sign of life, so that the ended replica had to be fenced too.
#[test]
fn a_replica_whose_address_is_taken_at_once_does_not_hold_up_later_replacements() {
    let mut world = World::new();
    world.run(Duration::from_secs(4));
    world.instances.get_mut("c").unwrap().query_error = Some(QueryError::OtherUpstream);
    world.instances.insert("c2", instance(Role::Replica));
    world.announce(&["a", "b", "c", "c2"]);
    world.run(Duration::from_secs(4));
    world.announce(&["a", "b", "c2"]);
    world.run(Duration::from_secs(1));
    world.instances.get_mut("a").unwrap().cut_off();
    world.run(Duration::from_secs(3));
    assert_eq!(world.orders.len(), 1, "{:?}", world.orders);
}
