//! Bootstrap, election, patches and reads on clusters without faults.

use std::time::Duration;

use crate::harness::{Sim, service_patch};
use decide::call::{Call, PatchOutcome, Reply};

const VOTERS: [&str; 3] = ["a", "b", "c"];

#[test]
fn one_voter_commits_alone() {
    let mut sim = Sim::new(1, &["a"]);
    let outcome = sim.patch_until_decided("x", service_patch("p1", 0));
    assert_eq!(outcome, PatchOutcome::Accepted(1));
}

#[test]
fn three_voters_commit_on_any_host() {
    let mut sim = Sim::new(2, &VOTERS);
    for (version, name) in (0..).zip(["a", "b", "c", "x"]) {
        let patch = service_patch(&format!("p-{name}"), version);
        let outcome = sim.patch_until_decided(name, patch);
        assert_eq!(outcome, PatchOutcome::Accepted(version + 1));
    }
    let Reply::Config(config) = sim.call_and_wait("x", Call::Config) else {
        panic!("no configuration");
    };
    assert_eq!(config.version, 4);
    sim.run_for(Duration::from_millis(100));
    for name in VOTERS {
        assert_eq!(sim.hosts[name].committed_version, 4);
        let (version, at) = sim.hosts[name].confirmed.unwrap();
        assert_eq!(version, 4);
        assert!(sim.now - at < Duration::from_millis(300));
    }
}
