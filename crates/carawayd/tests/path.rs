//! Callers, hosts and upstreams end to end, in separate processes.

mod fleet;

use std::time::{Duration, Instant};

use decide::call::PatchOutcome;
use fleet::client::{
    KEY_NAME, PASSWORD, WORKSPACE, configure, connect, first_value, patch, sqlstate, submit,
    wait_for_write,
};
use fleet::{Fleet, HostPlan, eventually, plan};
use model::config::Change;

/// The time within which a withdrawn key must be refused on all hosts.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns a control host and three entry hosts in two data centres.
fn plans() -> Vec<HostPlan> {
    vec![
        plan("control-1", "kgn-a", false, true),
        plan("entry-1", "kgn-a", true, false),
        plan("entry-2", "kgn-a", true, false),
        plan("entry-3", "kgn-b", true, false),
    ]
}

/// Starts these hosts and a group of three instances.
async fn start() -> Fleet {
    let mut fleet = Fleet::start(&plans(), "");
    fleet.start_group(["kgn-a", "kgn-a", "kgn-b"], "lag = \"30ms\"");
    configure(&fleet).await;
    fleet
}

#[tokio::test]
async fn a_write_is_read_back_through_another_host() {
    let fleet = start().await;
    let first = connect(fleet.host("entry-1").callers, PASSWORD, "")
        .await
        .unwrap();
    for round in 0..5 {
        let sql = format!("INSERT INTO kv VALUES ('slot-{round}', 'taken')");
        first.simple_query(&sql).await.unwrap();
        let token = first_value(&first, "SHOW caraway.session")
            .await
            .unwrap()
            .unwrap();
        let query = format!("SELECT v FROM kv WHERE k = 'slot-{round}'");
        let seen = first_value(&first, &query).await.unwrap();
        assert_eq!(
            seen.as_deref(),
            Some("taken"),
            "read in the session of the write"
        );

        let with_token = format!("-c caraway.session={token}");
        let addr = fleet.host("entry-3").callers;
        let roamed = connect(addr, PASSWORD, &with_token).await.unwrap();
        let seen = first_value(&roamed, &query).await.unwrap();
        assert_eq!(
            seen.as_deref(),
            Some("taken"),
            "read through another host with the session's token"
        );

        let addr = fleet.host("entry-2").callers;
        let fresh = connect(addr, PASSWORD, "").await.unwrap();
        let seen = first_value(&fresh, &query).await.unwrap();
        assert_eq!(
            seen.as_deref(),
            Some("taken"),
            "read through another host without a token"
        );
    }
}

#[tokio::test]
async fn a_withdrawn_key_stops_on_open_and_new_connections() {
    let fleet = start().await;
    let open = connect(fleet.host("entry-2").callers, PASSWORD, "")
        .await
        .unwrap();
    first_value(&open, "SELECT 1").await.unwrap();
    let change = Change::WithdrawKey {
        workspace: WORKSPACE.into(),
        key: KEY_NAME.into(),
    };
    let outcome = submit(
        fleet.host("entry-3").api,
        patch("withdraw", 1, vec![change]),
    )
    .await;
    assert_eq!(outcome, PatchOutcome::Accepted(2));
    let withdrawn_at = Instant::now();
    eventually(
        "the open connection is ended",
        IN_FORCE_TIMEOUT,
        async || first_value(&open, "SELECT 1").await.is_err(),
    )
    .await;
    for host in ["entry-1", "entry-2", "entry-3"] {
        let addr = fleet.host(host).callers;
        eventually(
            "a new connection is refused",
            IN_FORCE_TIMEOUT,
            async || {
                let refused = connect(addr, PASSWORD, "").await;
                refused.is_err_and(|error| sqlstate(&error) == "28P01")
            },
        )
        .await;
    }
    assert!(withdrawn_at.elapsed() < IN_FORCE_TIMEOUT);
}

#[tokio::test]
async fn wrong_keys_and_services_are_told_apart() {
    let fleet = start().await;
    let addr = fleet.host("entry-1").callers;
    let wrong = connect(addr, "desk.wrong", "").await;
    assert_eq!(sqlstate(&wrong.err().unwrap()), "28P01");
    let unknown = connect(addr, "nobody.correct-horse", "").await;
    assert_eq!(sqlstate(&unknown.err().unwrap()), "28P01");
    let mut cfg = tokio_postgres::Config::new();
    cfg.host("127.0.0.1").port(addr.port()).user(WORKSPACE);
    cfg.password(PASSWORD).dbname("other-service");
    let other = cfg.connect(tokio_postgres::NoTls).await;
    assert_eq!(sqlstate(&other.err().unwrap()), "42501");
}

#[tokio::test]
async fn transactions_and_prepared_statements_pass_through() {
    let fleet = start().await;
    let mut client = connect(fleet.host("entry-1").callers, PASSWORD, "")
        .await
        .unwrap();
    let insert = client
        .prepare("INSERT INTO kv VALUES ($1, $2)")
        .await
        .unwrap();
    let select = client
        .prepare("SELECT v FROM kv WHERE k = $1")
        .await
        .unwrap();
    let tx = client.transaction().await.unwrap();
    tx.execute(&insert, &[&"a", &"1"]).await.unwrap();
    let row = tx.query_one(&select, &[&"a"]).await.unwrap();
    assert_eq!(row.get::<_, String>(0), "1");
    tx.rollback().await.unwrap();
    assert!(client.query_opt(&select, &[&"a"]).await.unwrap().is_none());
    let tx = client.transaction().await.unwrap();
    tx.execute(&insert, &[&"a", &"2"]).await.unwrap();
    tx.commit().await.unwrap();
    let row = client.query_one(&select, &[&"a"]).await.unwrap();
    assert_eq!(row.get::<_, String>(0), "2");
}

#[tokio::test]
async fn a_killed_primary_is_replaced_and_nothing_acknowledged_is_lost() {
    let mut fleet = start().await;
    let client = connect(fleet.host("entry-2").callers, PASSWORD, "")
        .await
        .unwrap();
    for nth in 0..10 {
        let sql = format!("INSERT INTO kv VALUES ('before-{nth}', 'x')");
        client.simple_query(&sql).await.unwrap();
    }
    fleet.upstreams[0].kill();
    let killed_at = Instant::now();
    wait_for_write(&client, "killed primary", killed_at).await;
    for nth in 0..10 {
        let query = format!("SELECT v FROM kv WHERE k = 'before-{nth}'");
        assert_eq!(
            first_value(&client, &query).await.unwrap().as_deref(),
            Some("x")
        );
    }
}
