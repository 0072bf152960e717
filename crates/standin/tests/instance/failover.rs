//! Failover: promises, promotion, entries lost on the old primary, and restarts.

use std::time::Duration;

use standin::{Group, Instance, InstanceConfig, Running, group};
use tokio_postgres::Client;
use tokio_postgres::error::SqlState;

use crate::client::{call, connect, sqlstate, value, wait_until_caught_up, without_delays};

/// Starts a primary and a replica that has caught up, with a connection to each.
async fn start_pair() -> (Group, Client, Client) {
    let group = group(2, without_delays(), &[])
        .await
        .expect("the group starts");
    let primary = connect(&group.members[0]).await;
    let replica = connect(&group.members[1]).await;
    wait_until_caught_up(&primary, &replica).await;
    (group, primary, replica)
}

/// Returns the call that tells an instance to follow a primary.
fn follow_call(term: u64, primary: &Running) -> String {
    let name = &primary.config().upstream;
    format!("follow({term}, '{name}', '{}')", primary.addr())
}

#[tokio::test]
async fn after_a_promise_a_replica_takes_no_entries_of_the_old_primary() {
    let (group, primary, replica) = start_pair().await;
    assert_eq!(call(&replica, "promise(2, 'a')").await, "replica 2 1 t 0 0");
    primary
        .batch_execute("INSERT INTO kv VALUES ('x', '1')")
        .await
        .unwrap();
    let at = group.members[0].report().await.unwrap().position;
    let wait = format!("status({}, {}, 200)", at.term, at.offset);
    assert_eq!(call(&replica, &wait).await, "replica 2 1 f 0 0");
    let refused = call(&replica, &follow_call(1, &group.members[0])).await;
    assert_eq!(refused, "replica 2 1 f 0 0");
    group.stop().await;
}

#[tokio::test]
async fn an_old_primary_that_follows_loses_entries_that_the_new_one_lacks() {
    let (group, primary, replica) = start_pair().await;
    group.members[1].set_lag(Duration::from_secs(60));
    primary
        .batch_execute("INSERT INTO kv VALUES ('lost', '1')")
        .await
        .unwrap();
    primary
        .batch_execute("INSERT INTO kv VALUES ('gone', '1')")
        .await
        .unwrap();
    call(&replica, "promise(2, 'a')").await;
    assert_eq!(call(&replica, "promote(2, 'a')").await, "primary 2 2 t 0 0");
    replica
        .batch_execute("INSERT INTO kv VALUES ('kept', '2')")
        .await
        .unwrap();

    let answer = call(&primary, &follow_call(2, &group.members[1])).await;
    assert_eq!(answer, "replica 2 1 t 0 0");
    wait_until_caught_up(&replica, &primary).await;
    assert_eq!(value(&primary, "SELECT k FROM kv").await.unwrap(), "kept");
    let reports = [
        group.members[0].report().await.unwrap(),
        group.members[1].report().await.unwrap(),
    ];
    assert_eq!(reports[0].kv, reports[1].kv);
    assert_eq!(
        reports[0].primaries,
        [(1, "main-1".into()), (2, "main-2".into())]
    );
    let insert = "INSERT INTO kv VALUES ('x', '')";
    assert_eq!(
        sqlstate(&primary, insert).await,
        SqlState::READ_ONLY_SQL_TRANSACTION
    );
    group.stop().await;
}

#[tokio::test]
async fn a_killed_instance_starts_again_from_its_state() {
    let (mut group, primary, replica) = start_pair().await;
    primary
        .batch_execute("INSERT INTO kv VALUES ('x', '1')")
        .await
        .unwrap();
    let first = group.members.remove(0);
    let listen = first.addr();
    let cfg = first.config().clone();
    let restart = Some(first.kill().await.unwrap());
    assert!(primary.simple_query("SELECT 1").await.is_err());

    let cfg = InstanceConfig {
        listen,
        restart,
        ..cfg
    };
    let first = Instance::start(cfg).await.unwrap();
    let primary = connect(&first).await;
    assert_eq!(call(&primary, "status(0, 0, 0)").await, "primary 1 1 t 0 0");
    primary
        .batch_execute("INSERT INTO kv VALUES ('y', '1')")
        .await
        .unwrap();
    wait_until_caught_up(&primary, &replica).await;
    assert_eq!(
        value(&replica, "SELECT count(*) FROM kv").await.unwrap(),
        "2"
    );
    first.stop().await;
    group.stop().await;
}
