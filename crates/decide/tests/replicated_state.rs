//! The configuration state machine: stale, resent, reused and bad patches.

use std::sync::Arc;

use decide::call::{Patch, PatchOutcome};
use decide::replicated_state::{REMEMBERED_PATCHES, ReplicatedState};
use model::ConfigVersion;
use model::config::{BadChange, Change, CommitRule};

fn patch(id: &str, base: ConfigVersion, services: &[&str]) -> Arc<Patch> {
    let changes = services.iter().map(|name| Change::SetService {
        name: (*name).into(),
        commit: CommitRule::Replicated,
    });
    Arc::new(Patch {
        id: id.into(),
        base,
        changes: changes.collect(),
    })
}

#[test]
fn a_stale_base_is_rejected_with_the_current_number() {
    let mut state = ReplicatedState::default();
    assert_eq!(
        state.apply(&patch("p1", 0, &["a"])),
        PatchOutcome::Accepted(1)
    );
    assert_eq!(state.apply(&patch("p2", 0, &["b"])), PatchOutcome::Stale(1));
    assert_eq!(state.apply(&patch("p3", 2, &["b"])), PatchOutcome::Stale(1));
    assert_eq!(
        state.apply(&patch("p4", 1, &["b"])),
        PatchOutcome::Accepted(2)
    );
}

#[test]
fn a_resent_patch_has_its_first_outcome() {
    let mut state = ReplicatedState::default();
    let patches = [
        (patch("p1", 0, &["a"]), PatchOutcome::Accepted(1)),
        (patch("p2", 0, &["b"]), PatchOutcome::Stale(1)),
        (
            patch("p3", 1, &["b", ""]),
            PatchOutcome::Bad(BadChange::BadName("".into())),
        ),
        (patch("p4", 1, &["c"]), PatchOutcome::Accepted(2)),
    ];
    for _ in 0..2 {
        for (patch, outcome) in &patches {
            assert_eq!(state.apply(patch), *outcome);
        }
    }
    assert_eq!(state.config().version, 2);
    assert!(!state.config().services.contains_key("b"), "all or nothing");
}

#[test]
fn an_id_used_for_another_patch_is_rejected() {
    let mut state = ReplicatedState::default();
    state.apply(&patch("p1", 0, &["a"]));
    assert_eq!(state.apply(&patch("p1", 1, &["b"])), PatchOutcome::IdReused);
    assert_eq!(state.apply(&patch("p1", 1, &["a"])), PatchOutcome::IdReused);
    assert_eq!(
        state.apply(&patch("p1", 0, &["a"])),
        PatchOutcome::Accepted(1)
    );
}

#[test]
fn history_lists_accepted_patches_after_a_version() {
    let mut state = ReplicatedState::default();
    for version in 0..4 {
        state.apply(&patch(&format!("p{version}"), version, &["a"]));
        state.apply(&patch(&format!("stale{version}"), 0, &["a"]));
    }
    let versions: Vec<ConfigVersion> = state.history(2).into_iter().map(|made| made.0).collect();
    assert_eq!(versions, [3, 4]);
}

#[test]
fn only_so_many_patches_are_remembered() {
    let mut state = ReplicatedState::default();
    let most = REMEMBERED_PATCHES as ConfigVersion;
    for version in 0..=most {
        state.apply(&patch(&format!("p{version}"), version, &["a"]));
    }
    assert_eq!(state.history(0).len(), REMEMBERED_PATCHES);
    let (p0, p1) = (patch("p0", 0, &["a"]), patch("p1", 1, &["a"]));
    assert_eq!(state.apply(&p1), PatchOutcome::Accepted(2));
    // A forgotten patch is stale by then, so it can't be applied twice.
    assert_eq!(state.apply(&p0), PatchOutcome::Stale(most + 1));
}
