//! Replication, its lag, and refused writes on replicas.

use std::time::{Duration, Instant};

use model::Role;
use standin::{Group, Instance, InstanceConfig, Primary, group};
use tokio_postgres::error::SqlState;

use futures::future::try_join_all;

use crate::client::{call, connect, row, sqlstate, value, wait_until_caught_up, without_delays};

async fn start_three() -> Group {
    group(3, without_delays(), &["a".into(), "b".into()])
        .await
        .expect("the group starts")
}

#[tokio::test]
async fn replicas_follow_and_refuse_writes() {
    let group = start_three().await;
    let primary = connect(&group.members[0]).await;
    primary
        .batch_execute("INSERT INTO kv VALUES ('x', '1')")
        .await
        .unwrap();
    for member in &group.members[1..] {
        let replica = connect(member).await;
        wait_until_caught_up(&primary, &replica).await;
        assert_eq!(value(&replica, "SELECT v FROM kv").await.unwrap(), "1");
        let insert = "INSERT INTO kv VALUES ('y', '1')";
        assert_eq!(
            sqlstate(&replica, insert).await,
            SqlState::READ_ONLY_SQL_TRANSACTION
        );
        // The arguments are term, offset and longest wait in milliseconds; the words are
        // role, term, term of the last log entry, granted, slots and connections.
        assert_eq!(call(&replica, "status(0, 0, 0)").await, "replica 1 1 t 0 0");
        let lag = row(&replica, "SELECT * FROM caraway.status(0, 0, 0)").await;
        let lag: u64 = lag.get("lag_ms").unwrap().parse().unwrap();
        assert!(lag < 1000, "{lag}");
    }
    assert_eq!(call(&primary, "status(0, 0, 0)").await, "primary 1 1 t 0 0");
    let primaries = group.members[2].report().await.unwrap().primaries;
    assert_eq!(primaries, [(1, "main-1".into())]);
    group.stop().await;
}

/// A replica refuses a position if its log has not reached it when the wait is over:
/// `granted` is `f`.
#[tokio::test]
async fn a_lagging_replica_applies_entries_late_and_refuses_their_positions() {
    const LAG: Duration = Duration::from_millis(300);
    let group = start_three().await;
    let primary = connect(&group.members[0]).await;
    let replica = connect(&group.members[1]).await;
    wait_until_caught_up(&primary, &replica).await;
    group.members[1].set_lag(LAG);
    let written = Instant::now();
    primary
        .batch_execute("INSERT INTO kv VALUES ('x', '1')")
        .await
        .unwrap();
    assert_eq!(
        value(&replica, "SELECT count(*) FROM kv").await.unwrap(),
        "0"
    );
    let at = row(&primary, "SELECT * FROM caraway.status(0, 0, 0)").await;
    let offset = at.get("log_offset").unwrap();
    let too_early = row(
        &replica,
        &format!("SELECT * FROM caraway.status(1, {offset}, 20)"),
    )
    .await;
    assert_eq!(too_early.get("granted"), Some("f"));
    wait_until_caught_up(&primary, &replica).await;
    assert!(written.elapsed() >= LAG, "{:?}", written.elapsed());
    assert_eq!(
        value(&replica, "SELECT count(*) FROM kv").await.unwrap(),
        "1"
    );
    group.stop().await;
}

#[tokio::test]
async fn a_new_replica_gets_a_long_log_in_several_pulls() {
    const ROWS: usize = 2500;
    let group = group(1, without_delays(), &[]).await.unwrap();
    let primary = connect(&group.members[0]).await;
    let inserts: Vec<_> = (0..ROWS)
        .map(|row| format!("INSERT INTO ledger VALUES ('{row}', 'pot', 1)"))
        .collect();
    let inserts = inserts.iter().map(|insert| primary.batch_execute(insert));
    try_join_all(inserts).await.unwrap();
    let first = &group.members[0];
    let cfg = InstanceConfig {
        upstream: "late".into(),
        role: Role::Replica,
        primary: Some(Primary {
            upstream: first.config().upstream.clone(),
            addr: first.addr(),
        }),
        ..without_delays()
    };
    let late = Instance::start(cfg).await.unwrap();
    let replica = connect(&late).await;
    wait_until_caught_up(&primary, &replica).await;
    let report = late.report().await.unwrap();
    assert_eq!(report.ledger.len(), ROWS);
    assert_eq!((report.reads, report.writes), (0, 0));
    assert_eq!(first.report().await.unwrap().writes, ROWS as u64);
    late.stop().await;
    group.stop().await;
}
