//! Upstreams never see callers' keys, and open routes need none.
#![allow(clippy::unwrap_used, reason = "a test that meets an error ends there")]

mod fleet;

use decide::call::PatchOutcome;
use fleet::client::{
    PASSWORD, WORKSPACE, connect, first_changes, first_value, patch, submit, wait_in_force,
};
use fleet::{Fleet, SERVICE, WAIT_TIMEOUT, eventually, plan};
use model::config::Change;
use standin::{Group, InstanceConfig};
use tokio_postgres::NoTls;

/// Starts hosts, and a group of stand-ins in this process, so that the test can read which logins
/// they received.
async fn start() -> (Fleet, Group) {
    let plans = [
        plan("control-1", "spn", false, true),
        plan("entry-1", "spn", true, false),
    ];
    let fleet = Fleet::start(&plans, "");
    let template = InstanceConfig {
        service: SERVICE.into(),
        data_centre: "spn".into(),
        api: fleet.hosts.iter().map(|host| host.api).collect(),
        ..InstanceConfig::default()
    };
    let group = standin::group(3, template, &[]).await.unwrap();
    let mut changes = first_changes();
    changes.push(Change::OpenRoute {
        service: SERVICE.into(),
        workspace: WORKSPACE.into(),
    });
    let outcome = submit(fleet.hosts[0].api, patch("first", 0, changes)).await;
    assert_eq!(outcome, PatchOutcome::Accepted(1));
    wait_in_force(&fleet, 1).await;
    (fleet, group)
}

#[tokio::test]
async fn no_upstream_sees_the_key() {
    let (fleet, group) = start().await;
    let addr = fleet.host("entry-1").callers;
    let client = connect(addr, PASSWORD, "-c caraway.max_age=1s")
        .await
        .unwrap();
    eventually("a write", WAIT_TIMEOUT, async || {
        let sql = "INSERT INTO kv VALUES ('a', '1') ON CONFLICT DO NOTHING";
        client.simple_query(sql).await.is_ok()
    })
    .await;
    first_value(&client, "SELECT v FROM kv WHERE k = 'a'")
        .await
        .unwrap();
    let mut logins = 0;
    for member in &group.members {
        let report = member.report().await.unwrap();
        logins += report.logins.len();
        let seen = format!("{:?}", report.logins);
        for secret in ["correct-horse", "desk", WORKSPACE] {
            assert!(!seen.contains(secret), "an upstream saw {secret}");
        }
        for login in &report.logins {
            assert_eq!(&*login.user, "caraway");
            assert_eq!(&*login.password, "caraway");
        }
    }
    assert!(
        logins > 3,
        "only {logins} logins reached the upstreams, too few for this test"
    );
    group.stop().await;
}

#[tokio::test]
async fn an_open_route_needs_no_key_until_it_is_closed() {
    let (fleet, group) = start().await;
    let addr = fleet.host("entry-1").callers;
    let mut cfg = tokio_postgres::Config::new();
    cfg.host("127.0.0.1").port(addr.port());
    cfg.user("public").dbname(SERVICE);
    let (client, connection) = cfg.connect(NoTls).await.unwrap();
    let driver = tokio::spawn(connection);
    eventually("a read on the open route", WAIT_TIMEOUT, async || {
        first_value(&client, "SELECT 1").await.is_ok()
    })
    .await;
    let close = Change::CloseRoute {
        service: SERVICE.into(),
    };
    let outcome = submit(fleet.hosts[0].api, patch("close", 1, vec![close])).await;
    assert_eq!(outcome, PatchOutcome::Accepted(2));
    eventually("the open session ends", WAIT_TIMEOUT, async || {
        first_value(&client, "SELECT 1").await.is_err()
    })
    .await;
    assert!(cfg.connect(NoTls).await.is_err());
    drop(client);
    let _ = driver.await;
    group.stop().await;
}
