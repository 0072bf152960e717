//! Primaries of an evacuated data centre are replaced as draining ones are, by instances elsewhere.
#![allow(clippy::unwrap_used, reason = "a test that meets an error ends there")]

mod authority_world;

use std::time::Duration;

use authority_world::World;
use model::Position;

const SECOND: Duration = Duration::from_secs(1);

/// Guards against a primary that stays in an evacuated data centre although another instance could
/// lead, so that its service can't write once the data centre is closed.
#[test]
fn an_evacuated_primary_is_replaced_within_a_second_and_only_once() {
    let mut world = World::new();
    world.run(4 * SECOND);
    world.evacuated = vec!["a"];
    world.announce(&["a", "b", "c"]);
    world.run(SECOND);
    assert_eq!(world.orders.len(), 1);
    assert_ne!(world.ordered_upstreams(), ["a"]);
    world.announce(&["a", "b", "c"]);
    world.run(10 * SECOND);
    assert_eq!(world.orders.len(), 1);
}

#[test]
fn no_instance_of_an_evacuated_data_centre_is_promoted_while_another_can_be() {
    for evacuated in [["a", "b"], ["a", "c"]] {
        let mut world = World::new();
        world.run(4 * SECOND);
        world.evacuated = evacuated.to_vec();
        world.announce(&["a", "b", "c"]);
        world.run(2 * SECOND);
        let elsewhere = if evacuated[1] == "b" { "c" } else { "b" };
        assert_eq!(world.ordered_upstreams(), [elsewhere]);
    }
}

/// Guards against the loss of acknowledged writes that only an evacuated replica has, and against a
/// primary that then stays there.
#[test]
fn an_evacuated_replica_that_alone_has_a_write_leads_only_until_another_has_it() {
    let mut world = World::new();
    world.run(4 * SECOND);
    world.evacuated = vec!["a", "b"];
    world.instances.get_mut("b").unwrap().position = Position::new(1, 12);
    world.instances.get_mut("a").unwrap().position = Position::new(1, 12);
    world.announce(&["a", "b", "c"]);
    world.run(SECOND);
    world.instances.get_mut("c").unwrap().position = Position::new(1, 12);
    world.announce(&["a", "b", "c"]);
    world.run(5 * SECOND);
    let (_, primary) = world.primary.clone().unwrap();
    assert_eq!(&*primary, "c", "{:?}", world.ordered_upstreams());
}

/// Guards against a service that gets no primary at all since all of its instances are evacuated,
/// and against a primary that is replaced in vain again and again.
#[test]
fn a_service_without_an_instance_elsewhere_keeps_its_primary() {
    let mut world = World::new();
    world.run(4 * SECOND);
    world.evacuated = vec!["a", "b", "c"];
    world.announce(&["a", "b", "c"]);
    world.run(10 * SECOND);
    assert!(world.orders.is_empty(), "{:?}", world.orders);
}

/// Guards against statements of the host's own, which surround queries, at an evacuated instance,
/// also at one whose announcement has lapsed (seed 11 of `platform_soak` with evacuations, cuts,
/// crashes, late orders and restarts of hosts).
#[test]
fn evacuated_instances_are_queried_alone_also_while_they_are_not_announced() {
    let mut world = World::new();
    world.run(4 * SECOND);
    world.evacuated = vec!["a"];
    for announced in [&["a", "b", "c"][..], &["b", "c"]] {
        world.announce(announced);
        world.not_queried_alone.clear();
        world.run(3 * SECOND);
        let not_alone: Vec<&str> = world.not_queried_alone.iter().map(|id| &**id).collect();
        assert_eq!(not_alone, ["b", "c"], "announced: {announced:?}");
    }
}
