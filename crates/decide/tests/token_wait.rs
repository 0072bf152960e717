//! How long requests over their workspace's rate are kept waiting for a token.
#![allow(clippy::unwrap_used, reason = "a test that meets an error ends there")]

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use decide::admit::{Admission, Admit, TokenAdmission, TokenWait};
use decide::grant::{GrantSettings, PartTokenGrant, WorkspaceTokens};
use model::config::Workspace;
use model::{Config, WorkspaceId};

const MAX_WAIT: Duration = Duration::from_millis(40);

fn admission() -> (TokenAdmission, WorkspaceId, Instant) {
    let settings = GrantSettings {
        max_wait: MAX_WAIT,
        ..GrantSettings::default()
    };
    let mut admission = TokenAdmission::new(settings);
    let workspace = Workspace {
        rate: 10,
        burst: 10,
        services: Vec::new(),
        keys: BTreeMap::new(),
    };
    let config = Config {
        workspaces: BTreeMap::from([("w".into(), workspace)]),
        ..Config::default()
    };
    admission.on_config(&Arc::new(config));
    (admission, "w".into(), Instant::now())
}

fn wait(waited_ms: u64, bound_ms: u64) -> TokenWait {
    TokenWait {
        waited: Duration::from_millis(waited_ms),
        bound: Duration::from_millis(bound_ms),
        refuse_at_once: true,
    }
}

/// Guards against a workspace over its rate of which each request is refused only after 40 ms, when
/// a caller with an objective of 150 ms has lost a quarter of it.
#[test]
fn requests_are_refused_at_once_while_others_wait_in_vain() {
    let (mut admission, workspace, now) = admission();
    let waits = |admit| matches!(admit, Admit::Wait(_));
    assert!(waits(admission.try_admit(now, &workspace, wait(0, 1000))));
    let later = now + MAX_WAIT;
    assert_eq!(
        admission.try_admit(later, &workspace, wait(40, 1000)),
        Admit::Refuse
    );
    // One request at a time goes on waiting, so that the leader learns of the demand.
    assert!(waits(admission.try_admit(later, &workspace, wait(0, 1000))));
    for _ in 0..10 {
        assert_eq!(
            admission.try_admit(later, &workspace, wait(0, 1000)),
            Admit::Refuse
        );
    }
    let allocations = vec![WorkspaceTokens {
        workspace: workspace.clone(),
        tokens: 1,
    }];
    let expires_at = later + Duration::from_secs(1);
    admission.on_token_grant(&PartTokenGrant {
        expires_at,
        allocations,
    });
    assert_eq!(
        admission.try_admit(later, &workspace, wait(0, 1000)),
        Admit::Now
    );
    assert!(waits(admission.try_admit(later, &workspace, wait(0, 1000))));
}

#[test]
fn a_wait_ends_at_the_bound_of_the_request() {
    let (mut admission, workspace, now) = admission();
    let admit = admission.try_admit(now, &workspace, wait(0, 30));
    let Admit::Wait(pause) = admit else {
        panic!("{admit:?}");
    };
    assert!(pause <= Duration::from_millis(30));
    let at = now + Duration::from_millis(30);
    assert_eq!(
        admission.try_admit(at, &workspace, wait(30, 30)),
        Admit::Refuse
    );
}
