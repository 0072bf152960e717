//! The state that Raft replicates, which applies patches of the configuration: outcomes of patches
//! that are stale, sent again, invalid, or reuse an id.

use std::sync::Arc;

use bytes::Bytes;
use decide::call::{Patch, PatchOutcome};
use decide::replicated_state::{MAX_RECORDED_PATCHES, ReplicatedState};
use evac::{Order, OrderId, OrderOutcome, RecordedOrder};
use model::config::{BadChange, Change, CommitRule, Replacement, Service};
use model::{Config, ConfigVersion, HostId};
use serde::Serialize;

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
fn a_stale_base_is_rejected_with_the_current_version() {
    let mut state = ReplicatedState::default();
    assert_eq!(
        state.apply_patch(&patch("p1", 0, &["a"])),
        PatchOutcome::Accepted(1)
    );
    assert_eq!(
        state.apply_patch(&patch("p2", 0, &["b"])),
        PatchOutcome::Stale(1)
    );
    assert_eq!(
        state.apply_patch(&patch("p3", 2, &["b"])),
        PatchOutcome::Stale(1)
    );
    assert_eq!(
        state.apply_patch(&patch("p4", 1, &["b"])),
        PatchOutcome::Accepted(2)
    );
}

#[test]
fn a_patch_sent_again_gets_its_first_outcome() {
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
            assert_eq!(state.apply_patch(patch), *outcome);
        }
    }
    assert_eq!(state.config().version, 2);
    assert!(
        !state.config().services.contains_key("b"),
        "a rejected patch was applied in part"
    );
}

#[test]
fn an_id_used_for_another_patch_is_rejected() {
    let mut state = ReplicatedState::default();
    state.apply_patch(&patch("p1", 0, &["a"]));
    assert_eq!(
        state.apply_patch(&patch("p1", 1, &["b"])),
        PatchOutcome::IdReused
    );
    assert_eq!(
        state.apply_patch(&patch("p1", 1, &["a"])),
        PatchOutcome::IdReused
    );
    assert_eq!(
        state.apply_patch(&patch("p1", 0, &["a"])),
        PatchOutcome::Accepted(1)
    );
}

#[test]
fn history_lists_accepted_patches_after_a_version() {
    let mut state = ReplicatedState::default();
    for version in 0..4 {
        state.apply_patch(&patch(&format!("p{version}"), version, &["a"]));
        state.apply_patch(&patch(&format!("stale{version}"), 0, &["a"]));
    }
    let versions: Vec<ConfigVersion> = state
        .history(2)
        .into_iter()
        .map(|accepted| accepted.0)
        .collect();
    assert_eq!(versions, [3, 4]);
}

#[test]
fn only_a_limited_number_of_patches_is_recorded() {
    let mut state = ReplicatedState::default();
    let limit = MAX_RECORDED_PATCHES as ConfigVersion;
    for version in 0..=limit {
        state.apply_patch(&patch(&format!("p{version}"), version, &["a"]));
    }
    assert_eq!(state.history(0).len(), MAX_RECORDED_PATCHES);
    let (p0, p1) = (patch("p0", 0, &["a"]), patch("p1", 1, &["a"]));
    assert_eq!(state.apply_patch(&p1), PatchOutcome::Accepted(2));
    // The oldest patch is no longer recorded, but its base is stale, so it isn't applied twice.
    assert_eq!(state.apply_patch(&p0), PatchOutcome::Stale(limit + 1));
}

/// The state as earlier versions wrote it, before data centres could be evacuated.
#[derive(Serialize)]
struct EarlierState {
    config: Config,
    recorded_patches: Vec<(Patch, PatchOutcome)>,
    share_indexes: std::collections::BTreeMap<HostId, u16>,
    document: Option<Bytes>,
}

fn order(call: u64, order: Order) -> RecordedOrder {
    let id = OrderId {
        host: "h1".into(),
        incarnation: 1,
        call,
    };
    RecordedOrder { id, order }
}

/// Guards against a store of an earlier version that this one can't read, and against a store
/// without evacuations that an earlier version can't read, as after a rolled back upgrade.
#[test]
fn a_state_without_evacuations_is_encoded_as_by_earlier_versions() {
    for document in [None, Some(Bytes::from_static(b"{}"))] {
        let config = Config {
            version: u64::from(document.is_some()),
            ..Config::default()
        };
        let earlier = EarlierState {
            config: config.clone(),
            recorded_patches: Vec::new(),
            share_indexes: [("h1".into(), 0)].into(),
            document: document.clone(),
        };
        let mut state = ReplicatedState::default();
        state.assign_share_index(&"h1".into());
        if let Some(document) = document {
            state.apply_replacement(&Replacement { config, document });
        }
        let bytes = postcard::to_stdvec(&earlier).unwrap();
        assert_eq!(postcard::to_stdvec(&state).unwrap(), bytes);
        let read: ReplicatedState = postcard::from_bytes(&bytes).unwrap();
        assert_eq!(read, state);
    }
}

/// Guards against a snapshot that drops the document when an order is recorded, or the orders when
/// the document is replaced.
#[test]
fn a_state_with_evacuations_keeps_them_and_the_document() {
    let mut state = ReplicatedState::default();
    let replace = |state: &mut ReplicatedState, version, document: &'static [u8]| {
        let config = Config {
            version,
            ..Config::default()
        };
        let document = Bytes::from_static(document);
        state.apply_replacement(&Replacement { config, document });
    };
    replace(&mut state, 1, b"first");
    let east = Order::Evacuate("east".into());
    assert_eq!(state.apply_order(&order(1, east)), OrderOutcome::Changed);
    assert_eq!(state.document().unwrap(), "first");
    replace(&mut state, 2, b"second");
    let bytes = postcard::to_stdvec(&state).unwrap();
    let read: ReplicatedState = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(read.document().unwrap(), "second");
    assert_eq!(read.evacuations().version, 1);
    assert!(read.evacuations().data_centres.contains("east"));
}

/// Guards against a store or a message of an earlier version that this one can't read, and against
/// a service without a warm-up limit that an earlier version can't read.
#[test]
fn a_service_without_a_warm_up_limit_is_encoded_as_by_earlier_versions() {
    for commit in [
        CommitRule::Replicated,
        CommitRule::Primary,
        CommitRule::Upstream,
    ] {
        let mut service = Service {
            commit,
            connections: 70,
            warmup_per_s: 0,
        };
        let bytes = postcard::to_stdvec(&(commit, 70_u32)).unwrap();
        assert_eq!(postcard::to_stdvec(&service).unwrap(), bytes);
        assert_eq!(postcard::from_bytes::<Service>(&bytes), Ok(service.clone()));
        service.warmup_per_s = 13;
        let bytes = postcard::to_stdvec(&service).unwrap();
        assert_eq!(postcard::from_bytes::<Service>(&bytes), Ok(service));
    }
}
