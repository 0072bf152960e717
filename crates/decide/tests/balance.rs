//! Choice of the owner that a request is sent to.
//!
//! An owner is a host that holds pooled connections to an upstream; an upstream has two.
#![allow(clippy::unwrap_used, reason = "a test that meets an error ends there")]

mod traffic_harness;

use std::time::Duration;

use decide::placement::preferred_owner;
use decide::relay::{Bounce, RelayMsg};
use decide::{Event, Msg, Settings};
use model::{HostId, WorkspaceId};
use traffic_harness::{
    Harness, advance, answer_and_count, first_run, take_addressed_msgs, two_owner_harness,
};

fn harness() -> Harness {
    let mut settings = Settings::default();
    settings.balance.preferred_owner = true;
    two_owner_harness(settings)
}

/// Returns the owner that a read is sent to, after it has been answered.
fn owner_of_next_read(harness: &mut Harness) -> HostId {
    harness.request(|req| req.repeatable = true);
    let first = first_run(&take_addressed_msgs(harness));
    assert_eq!(answer_and_count(harness, &first), 1);
    harness.effects.clear();
    first.0.host
}

/// Guards against connections that one workspace needs on both owners.
#[test]
fn requests_of_a_workspace_go_to_one_owner_while_that_is_usable() {
    let mut harness = harness();
    let preferred = owner_of_next_read(&mut harness);
    for _ in 0..20 {
        assert_eq!(owner_of_next_read(&mut harness), preferred);
    }
    harness.request(|req| req.repeatable = true);
    let (from, run) = first_run(&take_addressed_msgs(&mut harness));
    let why = Bounce::Unavailable;
    let msg = Msg::Relay(RelayMsg::Bounce { id: run.id, why });
    harness.handle(Event::Peer { from, msg });
    let second = first_run(&take_addressed_msgs(&mut harness));
    assert_ne!(second.0.host, preferred, "it was sent back to the same");
    assert_eq!(answer_and_count(&mut harness, &second), 1);
    assert_ne!(owner_of_next_read(&mut harness), preferred);
    advance(&mut harness, Duration::from_secs(1));
    assert_eq!(owner_of_next_read(&mut harness), preferred);
}

/// Guards against a rule that gives most workspaces, or all upstreams of one, the same owner.
#[test]
fn workspaces_are_spread_over_the_owners() {
    let owners: [HostId; 2] = ["h2".into(), "h3".into()];
    let first_gets = |upstream: &str, workspace: &WorkspaceId| {
        preferred_owner(upstream, workspace, &owners) == Some(&owners[0])
    };
    let names: Vec<WorkspaceId> = (0..400).map(|n| format!("w{n}").into()).collect();
    let count = names.iter().filter(|name| first_gets("i1", name)).count();
    assert!((160..=240).contains(&count), "{count} of 400");
    let moved = names.iter();
    let moved = moved.filter(|name| first_gets("i1", name) != first_gets("i2", name));
    let moved = moved.count();
    assert!((160..=240).contains(&moved), "{moved} of 400");
    let name = &names[0];
    let reversed = preferred_owner("i1", name, owners.iter().rev());
    assert_eq!(preferred_owner("i1", name, &owners), reversed);
}
