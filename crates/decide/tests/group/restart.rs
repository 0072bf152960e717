//! A restarted host must not use promises that were given to its earlier incarnation.

use std::time::Duration;

use crate::DATA_CENTRES;
use crate::world::World;

/// Guards against a restarted host that is promoted by promises to its earlier incarnation: the
/// candidate name that instances store contains the incarnation.
#[test]
fn a_restarted_host_is_another_candidate() {
    let mut world = World::new(1, &DATA_CENTRES);
    let mut candidates = Vec::new();
    for _ in 0..2 {
        world.run(Duration::from_secs(3), None);
        let (_, primary) = world.primary().expect("a primary");
        let candidate = world.instances[primary].promised_to.clone();
        candidates.push(candidate.expect("a promise"));
        for host in 0..world.hosts.len() {
            world.restart_host(host);
        }
        world.instances[primary].alive = false;
    }
    let starts: Vec<&str> = candidates
        .iter()
        .filter_map(|candidate| candidate.split('#').nth(1))
        .collect();
    assert_eq!(starts, ["1", "2"]);
}
