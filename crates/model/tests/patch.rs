//! Tests of `Config::apply`: the error of each invalid change, that a patch applies wholly or not at
//! all, and that no accepted sequence of patches leaves a dangling reference.

use std::sync::Arc;

use model::config::{BadChange, Change, CommitRule};
use model::{Config, KeyDigest};
use proptest::prelude::*;

fn arc(name: &str) -> Arc<str> {
    name.into()
}

fn set_service(name: &str) -> Change {
    Change::SetService {
        name: arc(name),
        commit: CommitRule::Replicated,
    }
}

fn set_workspace(name: &str, services: &[&str]) -> Change {
    Change::SetWorkspace {
        name: arc(name),
        rate: 10,
        burst: 20,
        services: services.iter().map(|name| arc(name)).collect(),
    }
}

fn grant_key(workspace: &str, key: &str) -> Change {
    Change::GrantKey {
        workspace: arc(workspace),
        key: arc(key),
        digest: KeyDigest::of("secret"),
    }
}

fn withdraw_key(workspace: &str, key: &str) -> Change {
    Change::WithdrawKey {
        workspace: arc(workspace),
        key: arc(key),
    }
}

fn open_route(service: &str, workspace: &str) -> Change {
    Change::OpenRoute {
        service: arc(service),
        workspace: arc(workspace),
    }
}

fn close_route(service: &str) -> Change {
    Change::CloseRoute {
        service: arc(service),
    }
}

fn remove_workspace(name: &str) -> Change {
    Change::RemoveWorkspace { name: arc(name) }
}

fn remove_service(name: &str) -> Change {
    Change::RemoveService { name: arc(name) }
}

/// Returns a configuration with a service, a workspace, a key and an open route.
fn sample() -> Config {
    let changes = [
        set_service("s"),
        set_service("spare"),
        set_workspace("w", &["s"]),
        grant_key("w", "k"),
        open_route("s", "w"),
    ];
    Config::default()
        .apply(&changes)
        .expect("the changes of the sample are valid")
}

#[test]
fn each_invalid_change_returns_its_error() {
    let long = "n".repeat(64);
    let set_limits = |rate, burst| Change::SetWorkspace {
        name: arc("w"),
        rate,
        burst,
        services: vec![arc("s")],
    };
    let cases = [
        (
            set_workspace("w", &["none"]),
            BadChange::NoService(arc("none")),
        ),
        (set_workspace("W", &[]), BadChange::BadName(arc("W"))),
        (set_service(""), BadChange::BadName(arc(""))),
        (set_service(&long), BadChange::BadName(arc(&long))),
        (grant_key("w", "a key"), BadChange::BadName(arc("a key"))),
        (set_limits(0, 1), BadChange::BadRate(arc("w"))),
        (set_limits(1, 0), BadChange::BadBurst(arc("w"))),
        (grant_key("none", "k"), BadChange::NoWorkspace(arc("none"))),
        (grant_key("w", "k"), BadChange::KeyExists(arc("k"))),
        (withdraw_key("w", "none"), BadChange::NoKey(arc("none"))),
        (
            withdraw_key("none", "k"),
            BadChange::NoWorkspace(arc("none")),
        ),
        (
            remove_workspace("none"),
            BadChange::NoWorkspace(arc("none")),
        ),
        (remove_workspace("w"), BadChange::InUse(arc("w"), arc("s"))),
        (remove_service("none"), BadChange::NoService(arc("none"))),
        (remove_service("s"), BadChange::InUse(arc("s"), arc("w"))),
        (open_route("none", "w"), BadChange::NoService(arc("none"))),
        (open_route("s", "none"), BadChange::NoWorkspace(arc("none"))),
        (open_route("spare", "w"), BadChange::NoService(arc("spare"))),
        (close_route("spare"), BadChange::NoService(arc("spare"))),
        (
            set_workspace("w", &["spare"]),
            BadChange::InUse(arc("s"), arc("w")),
        ),
    ];
    for (change, expected) in cases {
        assert_eq!(sample().apply(&[change]), Err(expected));
    }
}

#[test]
fn a_replaced_workspace_keeps_its_keys() {
    let next = sample()
        .apply(&[set_workspace("w", &["spare", "s", "s"])])
        .unwrap();
    let workspace = &next.workspaces["w"];
    assert!(workspace.keys.contains_key("k"));
    assert_eq!(workspace.services, vec![arc("s"), arc("spare")]);
    assert_eq!(next.version, 2);
}

#[test]
fn a_withdrawn_key_can_be_granted_again() {
    let changes = [withdraw_key("w", "k"), grant_key("w", "k")];
    assert!(sample().apply(&changes).is_ok());
}

#[test]
fn changes_are_tagged_json_and_refuse_unknown_fields() {
    let text = serde_json::to_string(&set_service("s")).unwrap();
    assert_eq!(
        text,
        r#"{"set-service":{"name":"s","commit":"replicated"}}"#
    );
    let wrong = r#"{"set-service":{"name":"s","comit":"primary"}}"#;
    assert!(serde_json::from_str::<Change>(wrong).is_err());
}

fn any_change() -> impl Strategy<Value = Change> {
    let name = prop::sample::select(vec!["a", "b", "c", "", "A"]);
    let names = prop::collection::vec(prop::sample::select(vec!["a", "b", "c"]), 0..3);
    (0..8, name.clone(), name, names, 0..3_u32).prop_map(
        |(op, name, other, names, rate)| match op {
            0 => Change::SetWorkspace {
                name: arc(name),
                rate,
                burst: 1,
                services: names.into_iter().map(arc).collect(),
            },
            1 => remove_workspace(name),
            2 => set_service(name),
            3 => remove_service(name),
            4 => grant_key(name, other),
            5 => withdraw_key(name, other),
            6 => open_route(name, other),
            _ => close_route(name),
        },
    )
}

/// Checks that all services and workspaces that a configuration refers to exist.
fn check_references(config: &Config) -> Result<(), TestCaseError> {
    for workspace in config.workspaces.values() {
        prop_assert!(workspace.rate > 0 && workspace.burst > 0);
        for service in &workspace.services {
            prop_assert!(config.services.contains_key(service));
        }
    }
    for (service, payer) in &config.open_routes {
        prop_assert!(config.services.contains_key(service));
        prop_assert!(config.workspaces[payer].services.contains(service));
    }
    Ok(())
}

proptest! {
    #[test]
    fn any_sequence_is_all_or_nothing_and_leaves_no_dangling_reference(
        patches in prop::collection::vec(prop::collection::vec(any_change(), 0..4), 0..40)
    ) {
        let mut config = Config::default();
        for changes in patches {
            let before = config.clone();
            let one_by_one = changes.iter().try_fold(config.clone(), |config, change| {
                config.apply(std::slice::from_ref(change))
            });
            match config.apply(&changes) {
                Ok(mut next) => {
                    prop_assert_eq!(next.version, before.version + 1);
                    check_references(&next)?;
                    // One patch has the same effect as its changes applied one by one.
                    let one_by_one = one_by_one.expect("each change applies");
                    let version = std::mem::replace(&mut next.version, one_by_one.version);
                    prop_assert_eq!(&next, &one_by_one);
                    next.version = version;
                    config = next;
                }
                Err(bad) => {
                    prop_assert_eq!(one_by_one, Err(bad));
                    prop_assert_eq!(&config, &before);
                }
            }
        }
    }
}
