//! Orders that may still be carried out: those of earlier leaders, and accepted ones that take
//! effect late.
#![allow(clippy::unwrap_used, reason = "a test that meets an error ends there")]

mod authority_world;

use std::time::Duration;

use authority_world::{Instance, World};
use decide::Event;
use decide::raft::PromotionTicket;

/// How late an order may be carried out, as the platform states it.
const LATEST_ORDER: Duration = Duration::from_secs(12);

/// Makes another host lead, which orders these instances to lead, and then this host again.
fn change_leaders(world: &mut World, ordered: &[&str]) {
    world.run_authority(|authority, cx| authority.set_leader(cx, false));
    for upstream in ordered {
        world.last_order_number += 1;
        let number = world.last_order_number;
        let ticket = PromotionTicket {
            host: "control-2".into(),
            incarnation: 1,
            service: "pots".into(),
            upstream: (*upstream).into(),
        };
        world.run_authority(|authority, cx| authority.on_order_number(cx, number, &ticket));
    }
    world.run_authority(|authority, cx| authority.set_leader(cx, true));
}

fn acks_are_stopped(world: &mut World) -> bool {
    let mut list = None;
    world.run_authority(|authority, cx| list = authority.ack_stop_list(cx.now));
    let term = world.primary.as_ref().map_or(1, |(term, _)| *term);
    let list = list.unwrap();
    list.stops.iter().any(|(_, stopped)| *stopped >= term)
}

/// Guards against a commit that the instance of an earlier leader's order lacks: the new leader
/// knew nothing of the order, and let hosts acknowledge.
#[test]
fn a_new_leader_stops_acknowledgements_until_its_own_order_voids_an_earlier_one() {
    let mut world = World::new();
    world.run(Duration::from_secs(4));
    change_leaders(&mut world, &["b"]);
    assert!(acks_are_stopped(&mut world));
    assert!(world.orders.is_empty());
    world.run(Duration::from_secs(2));
    assert_eq!(world.ordered_upstreams(), ["a"]);
    assert!(!acks_are_stopped(&mut world));
    assert!(world.none_is_fenced());
}

/// Guards against commits that are answered as ones that may have run after each change of leader.
#[test]
fn a_new_leader_stops_nothing_if_the_instance_of_the_last_order_leads() {
    let mut world = World::new();
    world.run(Duration::from_secs(4));
    world.instances.get_mut("a").unwrap().cut_off();
    world.run(Duration::from_secs(3));
    let (_, successor) = world.primary.clone().unwrap();
    world.announce(&["a", "b", "c"]);
    change_leaders(&mut world, &[]);
    assert!(!acks_are_stopped(&mut world));
    change_leaders(&mut world, &[&successor]);
    assert!(!acks_are_stopped(&mut world));
    // An order for another instance was given in between, and may be the one that is accepted.
    let other = if *successor == *"b" { "c" } else { "b" };
    change_leaders(&mut world, &[other, &successor]);
    assert!(acks_are_stopped(&mut world));
}

/// Guards against a service whose writes stay stopped: orders are void some time after they were
/// given, also while none can be given that voids them.
#[test]
fn an_earlier_order_is_void_after_its_time_if_no_order_can_be_given() {
    let mut world = World::new();
    world.run(Duration::from_secs(4));
    for id in ["a", "b"] {
        world.instances.get_mut(id).unwrap().cut_off();
    }
    world.run(Duration::from_secs(2));
    change_leaders(&mut world, &["b"]);
    world.run(LATEST_ORDER);
    assert!(acks_are_stopped(&mut world));
    world.run(Duration::from_secs(10));
    assert!(!acks_are_stopped(&mut world));
    assert!(world.orders.is_empty(), "{:?}", world.orders);
}

/// Guards against a service without a primary after a leaving replica was ordered to lead and has
/// ended: nothing was promoted for 20 s, since that replica might have confirmed commits alone, and
/// the order counted as one that may take effect.
#[test]
fn a_replica_that_ends_after_the_order_for_it_is_not_waited_for_if_the_hosts_have_answered() {
    let mut world = World::new();
    world.settings.group.ack_lease = Some(Duration::from_secs(2));
    world.settings.spread.revoke_within = Some(Duration::from_secs(5));
    // A host that went before this one started may have passed on what no other knows of.
    world.run(Duration::from_secs(30));
    world.carries_out_accepted = false;
    world.instances.get_mut("a").unwrap().cut_off();
    while world.orders.is_empty() {
        world.run(Duration::from_millis(100));
    }
    let ended = world.orders[0].upstream.clone();
    let (ended, other) = if *ended == *"b" {
        ("b", "c")
    } else {
        ("c", "b")
    };
    world.carries_out_accepted = true;
    world.change(&ended.into(), Instance::cut_off);
    world.withdrawn.push(ended);
    world.announce(&["a", other]);
    world.run(Duration::from_secs(5));
    assert_eq!(world.primary, Some((2, other.into())));
    assert!(!acks_are_stopped(&mut world));
}

/// Guards against commits that the promoted instance lacks: an accepted order that took effect more
/// than 2.5 s after its answer counted as settled, and replicas were unfenced.
#[test]
fn an_accepted_order_that_takes_effect_late_stays_in_doubt_until_then() {
    let mut world = World::new();
    world.run(Duration::from_secs(4));
    world.carries_out_accepted = false;
    world.instances.get_mut("a").unwrap().cut_off();
    while world.orders.is_empty() {
        world.run(Duration::from_millis(100));
    }
    let successor = world.orders[0].upstream.clone();
    let late = world.now + LATEST_ORDER - Duration::from_secs(1);
    while world.now < late {
        world.run(Duration::from_millis(100));
        assert!(world.instances[&*successor].fenced_term > 0);
        assert!(acks_are_stopped(&mut world));
        assert_eq!(world.acknowledge_write(), None);
    }
    assert!(world.orders.iter().all(|order| order.upstream == successor));
    world.promote(&successor);
    world.run(Duration::from_secs(2));
    assert_eq!(world.primary, Some((2, successor)));
    assert!(!acks_are_stopped(&mut world));
    assert!(world.none_is_fenced());
}

/// Guards against a lost commit: a host that was shutting down and was then cut off could pass on
/// acknowledgements under its lease, which was not waited for.
#[test]
fn no_replica_is_fenced_while_a_leaving_host_that_has_gone_may_hold_a_lease() {
    let mut world = World::new();
    world.settings.group.ack_lease = Some(Duration::from_secs(2));
    world.me.leaving = true;
    world.has_silent_entry_host = true;
    world.announce(&["a", "b", "c"]);
    world.run(Duration::from_secs(4));
    world.instances.get_mut("a").unwrap().cut_off();
    world.has_silent_entry_host = false;
    world.announce(&["a", "b", "c"]);
    world.run(Duration::from_millis(1_900));
    assert!(world.none_is_fenced() && world.orders.is_empty());
    world.run(Duration::from_secs(2));
    assert_eq!(world.orders.len(), 1);
}

/// Loses the primary while the platform is silent, promotes its successor once `orders` orders were
/// given, and loses that too before the newest order is answered; runs 6 s on.
fn lose_successor_before_the_answer(orders: usize) -> World {
    let mut world = World::new();
    world.run(Duration::from_secs(4));
    world.platform_answers = false;
    world.instances.get_mut("a").unwrap().cut_off();
    while world.orders.len() < orders {
        world.run(Duration::from_millis(100));
    }
    let order = world.orders[orders - 1].clone();
    let lost = order.upstream.clone();
    assert!(world.orders.iter().all(|order| order.upstream == lost));
    world.promote(&lost);
    world.run(Duration::from_secs(1));
    assert_eq!(world.primary, Some((2, lost.clone())));
    world.change(&lost, Instance::cut_off);
    world.change(&"a".into(), |instance| instance.query_error = None);
    let result = Ok(());
    let answer = Event::PromotionAnswered { order, result };
    world.pending_replies.push_back(answer);
    world.platform_answers = true;
    world.run(Duration::from_secs(6));
    world
}

/// Guards against a service that acknowledges nothing for 20 s: its primary was lost between the
/// report that it leads and the answer to the order for it, and the order counted as one that may
/// still take effect.
#[test]
fn an_order_whose_instance_was_seen_to_lead_before_the_answer_is_not_in_doubt() {
    let mut world = lose_successor_before_the_answer(1);
    let (term, successor) = world.primary.clone().unwrap();
    assert_eq!(term, 3, "{successor} leads");
    assert!(!acks_are_stopped(&mut world));
    assert!(world.none_is_fenced());
}

/// Guards against a lost commit: an instance that an earlier order promoted is not taken for the
/// effect of the outstanding one, which may be carried out after the instance has been replaced.
#[test]
fn an_order_stays_in_doubt_if_an_earlier_one_may_have_made_its_instance_lead() {
    let mut world = lose_successor_before_the_answer(2);
    assert!(acks_are_stopped(&mut world));
}
