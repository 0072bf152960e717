//! Callers, hosts and upstreams end to end, in separate processes.

mod fleet;

use std::time::{Duration, Instant};

use decide::call::PatchOutcome;
use decide::entry::explanation::{ExplainRequest, Outcome, RateDecision};
use fleet::client::{
    KEY_NAME, PASSWORD, WORKSPACE, api_client, configure, connect, first_value, patch, sqlstate,
    submit, wait_for_write,
};
use fleet::{Fleet, HostPlan, SERVICE, eventually, plan};
use model::Kind;
use model::config::Change;
use peer::api::{ApiClient, REFUSED_CODE};

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

/// Guards against a question that never comes back from the traffic part, or that a host without
/// callers leaves open.
#[tokio::test]
async fn an_entry_host_explains_where_it_would_send_a_request() {
    let fleet = start().await;
    let request = |kind| ExplainRequest {
        service: SERVICE.into(),
        kind,
        in_transaction: false,
        read_only_transaction: false,
        workspace: Some(WORKSPACE.into()),
        route: None,
        max_age: Some(Duration::from_secs(5)),
        floor: None,
        part: None,
    };
    for host in ["entry-1", "entry-3"] {
        let api = api_client(fleet.host(host).api);
        let status = api.status().await.unwrap();
        let service = &status.services[0];
        for (kind, reason) in [(Kind::Write, "write"), (Kind::Read, "near-replica")] {
            let explanation = api.explain(request(kind)).await.unwrap();
            let shown = format!("{explanation:?}");
            let target = explanation.target.expect(&shown);
            let mut upstreams = service.upstreams.iter();
            let upstream = upstreams.find(|up| up.upstream == target.upstream);
            assert!(upstream.unwrap().owners.contains(&target.owner), "{shown}");
            let primary = service.primary.as_ref();
            assert_eq!(primary == Some(&target.upstream), kind == Kind::Write);
            assert!(
                [reason, "replica"].contains(&target.reason.as_str()),
                "{shown}"
            );
            assert!(
                matches!(
                    (explanation.outcome, explanation.rate.decision),
                    (Outcome::Sent, Some(RateDecision::Admitted))
                        | (Outcome::WaitsForToken, Some(RateDecision::Waits))
                ),
                "{shown}"
            );
            assert_eq!((explanation.host.as_str(), explanation.version), (host, 1));
            assert_eq!(explanation.upstreams.len(), 3, "{shown}");
            assert!(explanation.confirmed_age.is_some(), "{shown}");
            assert!(explanation.view_age.is_some(), "{shown}");
        }
    }
    let api = api_client(fleet.host("control-1").api);
    let refused = api.explain(request(Kind::Read)).await.unwrap_err();
    let jsonrpsee::core::ClientError::Call(error) = refused else {
        panic!("{refused}");
    };
    assert_eq!(error.code(), REFUSED_CODE);
}
