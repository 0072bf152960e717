//! Configuration deltas, which hosts send each other instead of the whole configuration: a host that
//! applies a delta to its version has the same configuration as one that got it whole.

use std::collections::BTreeMap;

use decide::spread::config_delta::{ConfigDelta, DeltaHistory};
use model::Config;
use model::config::{Service, Workspace};
use proptest::collection::vec;
use proptest::prelude::*;

/// One new version: workspace and its rate (`None` removes it), service and whether it exists,
/// route and whether it is open.
type Step = (u8, Option<u32>, u8, bool, u8, bool);

fn apply(config: &mut Config, (workspace, rate, service, exists, route, open): Step) {
    config.version += 1;
    let name = format!("w{workspace}");
    match rate {
        Some(rate) => {
            let workspace = Workspace {
                rate,
                burst: 1,
                services: Vec::new(),
                keys: BTreeMap::new(),
            };
            config.workspaces.insert(name.into(), workspace);
        }
        None => drop(config.workspaces.remove(&*name)),
    }
    let name = format!("s{service}");
    if exists {
        config.services.insert(name.into(), Service::default());
    } else {
        config.services.remove(&*name);
    }
    let name = format!("s{route}");
    if open {
        let workspace = format!("w{workspace}");
        config.open_routes.insert(name.into(), workspace.into());
    } else {
        config.open_routes.remove(&*name);
    }
}

fn step() -> impl Strategy<Value = Step> {
    let rate = prop::option::of(1..9_u32);
    (
        0..6_u8,
        rate,
        0..6_u8,
        any::<bool>(),
        0..6_u8,
        any::<bool>(),
    )
}

proptest! {
    #[test]
    fn merged_differences_lead_to_the_last_version(
        steps in vec(step(), 1..30),
        limit in 1..40_usize,
    ) {
        let mut versions = vec![Config::default()];
        let mut history = DeltaHistory::default();
        for step in steps {
            let old = versions.last().expect("a version").clone();
            let mut new = old.clone();
            apply(&mut new, step);
            history.push(ConfigDelta::between(&old, &new), limit);
            versions.push(new);
        }
        let newest = versions.last().expect("a version");
        for held in &versions {
            let behind = (newest.version - held.version) as usize;
            let delta = history.since(held.version);
            prop_assert_eq!(delta.is_some(), behind > 0 && behind <= limit);
            if let Some(delta) = delta {
                prop_assert!(delta.applies_to(held.version));
                let mut config = held.clone();
                delta.apply(&mut config);
                prop_assert_eq!(&config, newest);
            }
        }
    }

    /// Guards against a delta applied to a version other than its base: entries that skipped
    /// versions set, and later ones removed, would stay in force.
    #[test]
    fn differences_that_skip_versions_never_lead_to_another_configuration(
        steps in vec(step(), 2..30),
        skipped in vec(any::<bool>(), 30),
    ) {
        let mut versions = vec![Config::default()];
        for step in steps {
            let mut new = versions.last().expect("a version").clone();
            apply(&mut new, step);
            versions.push(new);
        }
        let newest = versions.last().expect("a version");
        let held_by_sender = versions.iter().zip(&skipped);
        let mut chain: Vec<&Config> = held_by_sender
            .filter(|(config, skipped)| !**skipped && config.version < newest.version)
            .map(|(config, _)| config)
            .collect();
        chain.push(newest);
        let mut history = DeltaHistory::default();
        for pair in chain.windows(2) {
            history.push(ConfigDelta::between(pair[0], pair[1]), 40);
        }
        for held in &versions {
            if let Some(delta) = history.since(held.version).filter(|delta| delta.applies_to(held.version)) {
                let mut config = held.clone();
                delta.apply(&mut config);
                prop_assert_eq!(&config, newest);
            }
        }
    }
}
