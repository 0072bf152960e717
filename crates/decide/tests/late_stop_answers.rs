//! Answers of hosts to the request to stop acknowledgements that come while an order is numbered.
#![allow(clippy::unwrap_used, reason = "a test that meets an error ends there")]

mod authority_world;

use std::time::Duration;

use authority_world::{Instance, World};
use decide::owner::ack_gate::AckStopMsg;
use model::{FIRST_TRAFFIC_PART, PartAddr, Position};

/// Cuts the primary off from the leader while an entry host doesn't answer, and returns once a
/// successor is chosen and its order waits for a number.
fn choose_without_answer_of_host() -> World {
    let mut world = World::new();
    world.has_silent_entry_host = true;
    world.announce(&["a", "b", "c"]);
    world.run(Duration::from_secs(4));
    world.holds_tickets = true;
    world.instances.get_mut("a").unwrap().cut_off();
    for _ in 0..400 {
        world.run(Duration::from_millis(10));
        if !world.held_tickets.is_empty() {
            return world;
        }
    }
    panic!("no successor was chosen");
}

fn number_order(world: &mut World) {
    let ticket = world.held_tickets.remove(0);
    world.run_authority(|authority, cx| authority.on_order_number(cx, 101, &ticket));
}

fn answer_of_host(world: &mut World, passed_on: Position) {
    let from = PartAddr {
        host: "entry-1".into(),
        part: FIRST_TRAFFIC_PART,
    };
    let msg = AckStopMsg::Stopped {
        service: "pots".into(),
        round: world.last_stop_round,
        incarnation: world.me.incarnation,
        passed_on,
    };
    world.run_authority(|authority, cx| authority.on_ack_stop_msg(cx, &from, &msg));
}

#[test]
fn an_order_is_given_if_a_late_host_has_passed_on_nothing_more() {
    let mut world = choose_without_answer_of_host();
    answer_of_host(&mut world, Position::new(1, 10));
    number_order(&mut world);
    assert_eq!(world.orders.len(), 1);
}

/// Guards against a lost commit that a host reports after the choice and before the order.
#[test]
fn no_order_is_given_for_an_instance_that_lacks_what_a_late_host_has_passed_on() {
    let mut world = choose_without_answer_of_host();
    answer_of_host(&mut world, Position::new(1, 11));
    number_order(&mut world);
    assert!(world.orders.is_empty(), "{:?}", world.orders);
}

/// Guards against an order for which a host was never asked that has come meanwhile.
#[test]
fn no_order_is_given_before_a_host_that_has_come_meanwhile_is_waited_for() {
    let mut world = World::new();
    world.run(Duration::from_secs(4));
    world.holds_tickets = true;
    world.change(&"a".into(), Instance::cut_off);
    while world.held_tickets.is_empty() {
        world.run(Duration::from_millis(10));
    }
    world.has_silent_entry_host = true;
    world.announce(&["a", "b", "c"]);
    number_order(&mut world);
    assert!(world.orders.is_empty(), "{:?}", world.orders);
}
