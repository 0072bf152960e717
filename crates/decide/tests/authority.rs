//! Replacement of a lost primary by the consensus leader.
//!
//! The leader fences the replicas, chooses the one with the highest log position, and orders its
//! promotion at the platform that runs the database instances. Instances and platform are simulated;
//! consensus is not: the authority is told that it leads.
#![allow(clippy::unwrap_used, reason = "a test that meets an error ends there")]

mod authority_world;

use std::time::Duration;

use authority_world::{World, instance};
use model::{Position, Role};

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
