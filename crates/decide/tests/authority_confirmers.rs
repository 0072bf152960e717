//! Which instances the consensus leader counts as able to confirm writes when it replaces a primary.
//!
//! An instance that is silent may only be cut off from the leader, and a fence may be ended by a
//! query that is carried out late.
#![allow(clippy::unwrap_used, reason = "a test that meets an error ends there")]

mod authority_world;

use std::time::Duration;

use authority_world::{Instance, World, instance};
use decide::upstream_query::QueryError;
use model::Role;

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
