//! Statements, transactions, slots, and the limit on connections.

use std::time::{Duration, Instant};

use standin::{Instance, InstanceConfig};
use tokio_postgres::error::SqlState;

use crate::client::{connect, row, sqlstate, try_connect, value, without_delays};

#[tokio::test]
async fn simple_statements_change_and_read_the_tables() {
    let running = Instance::start(without_delays()).await.unwrap();
    let client = connect(&running).await;
    let done = client
        .batch_execute(
            "INSERT INTO ledger (id, account, amount) VALUES ('a', 'pot', 5), ('b', 'pot', -2);
             INSERT INTO ledger VALUES ('a', 'pot', 7) ON CONFLICT DO NOTHING;
             INSERT INTO kv (k, v) VALUES ('x', '1'), ('y', '2');
             UPDATE kv SET v = '3' WHERE k = 'x';
             DELETE FROM kv WHERE k = 'y'",
        )
        .await;
    assert!(done.is_ok(), "{done:?}");
    assert_eq!(
        value(&client, "SELECT count(*) FROM ledger").await.unwrap(),
        "2"
    );
    assert_eq!(
        value(
            &client,
            "SELECT sum(amount) FROM ledger WHERE account = 'pot'"
        )
        .await,
        Some("3".to_owned())
    );
    assert_eq!(
        value(&client, "SELECT sum(amount) FROM ledger WHERE id = 'c'").await,
        None
    );
    let found = row(&client, "SELECT v, k FROM kv WHERE k = 'x'").await;
    assert_eq!((found.get("v"), found.get("k")), (Some("3"), Some("x")));
    assert_eq!(value(&client, "SELECT 1").await.unwrap(), "1");
    assert_eq!(value(&client, "SELECT 'x'").await.unwrap(), "x");
    assert_eq!(value(&client, "SHOW server_version").await.unwrap(), "17.0");
    client
        .batch_execute("SET search_path = public; ;")
        .await
        .unwrap();
    assert_eq!(
        sqlstate(&client, "INSERT INTO ledger VALUES ('a', 'pot', 1)").await,
        SqlState::UNIQUE_VIOLATION
    );
    let both = "INSERT INTO kv VALUES ('z', ''); INSERT INTO kv VALUES ('x', '')";
    assert_eq!(sqlstate(&client, both).await, SqlState::UNIQUE_VIOLATION);
    let count = value(&client, "SELECT count(*) FROM kv").await;
    assert_eq!(count.unwrap(), "1", "all of a query's statements or none");
    assert_eq!(
        sqlstate(&client, "SELECT x FROM kv").await,
        SqlState::UNDEFINED_COLUMN
    );
    assert_eq!(sqlstate(&client, "SELEC").await, SqlState::SYNTAX_ERROR);
    running.stop().await;
}

#[tokio::test]
async fn extended_statements_take_text_and_integer_parameters() {
    let running = Instance::start(without_delays()).await.unwrap();
    let client = connect(&running).await;
    let insert = "INSERT INTO ledger (id, account, amount) VALUES ($1, $2, $3)";
    assert_eq!(
        client
            .execute(insert, &[&"a", &"pot", &5_i64])
            .await
            .unwrap(),
        1
    );
    let again = client.execute(insert, &[&"a", &"pot", &5_i64]).await;
    assert_eq!(again.unwrap_err().code(), Some(&SqlState::UNIQUE_VIOLATION));

    let select = "SELECT id, amount FROM ledger WHERE account = $1";
    let rows = client.query(select, &[&"pot"]).await.unwrap();
    assert_eq!(rows.len(), 1);
    assert_eq!(rows[0].get::<_, &str>("id"), "a");
    assert_eq!(rows[0].get::<_, i64>("amount"), 5);

    let count = client
        .query_one("SELECT count(*) FROM ledger", &[])
        .await
        .unwrap();
    assert_eq!(count.get::<_, i64>(0), 1);
    let status = client
        .query_one("SELECT * FROM caraway.status(0, 0, 0)", &[])
        .await
        .unwrap();
    assert_eq!(status.get::<_, &str>("role"), "primary");
    running.stop().await;
}

#[tokio::test]
async fn a_transaction_reads_its_own_writes_and_nobody_elses() {
    let running = Instance::start(without_delays()).await.unwrap();
    let mut client = connect(&running).await;
    let other = connect(&running).await;
    let tx = client.transaction().await.unwrap();
    tx.execute("INSERT INTO kv VALUES ($1, $2)", &[&"x", &"1"])
        .await
        .unwrap();
    let seen = tx.query("SELECT v FROM kv", &[]).await.unwrap();
    assert_eq!(seen.len(), 1);
    assert_eq!(value(&other, "SELECT count(*) FROM kv").await.unwrap(), "0");
    tx.commit().await.unwrap();
    assert_eq!(value(&other, "SELECT count(*) FROM kv").await.unwrap(), "1");

    other.batch_execute("BEGIN; DELETE FROM kv").await.unwrap();
    assert_eq!(value(&other, "SELECT count(*) FROM kv").await.unwrap(), "0");
    assert_eq!(
        sqlstate(&other, "SELECT nonsense FROM kv").await,
        SqlState::UNDEFINED_COLUMN
    );
    assert_eq!(
        sqlstate(&other, "SELECT 1").await,
        SqlState::IN_FAILED_SQL_TRANSACTION
    );
    other.batch_execute("COMMIT").await.unwrap();
    assert_eq!(
        value(&client, "SELECT count(*) FROM kv").await.unwrap(),
        "1"
    );
    running.stop().await;
}

#[tokio::test]
async fn a_closed_connection_rolls_back() {
    let running = Instance::start(without_delays()).await.unwrap();
    let client = connect(&running).await;
    let other = connect(&running).await;
    client
        .batch_execute("BEGIN; INSERT INTO kv VALUES ('x', '1')")
        .await
        .unwrap();
    drop(client);
    while running.report().await.unwrap().connections > 1 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    assert_eq!(value(&other, "SELECT count(*) FROM kv").await.unwrap(), "0");
    running.stop().await;
}

#[tokio::test]
async fn of_two_transactions_that_insert_one_key_the_first_to_commit_wins() {
    let running = Instance::start(without_delays()).await.unwrap();
    let first = connect(&running).await;
    let second = connect(&running).await;
    for client in [&first, &second] {
        client
            .batch_execute("BEGIN; INSERT INTO ledger VALUES ('a', 'p', 1)")
            .await
            .unwrap();
    }
    second.batch_execute("COMMIT").await.unwrap();
    assert_eq!(sqlstate(&first, "COMMIT").await, SqlState::UNIQUE_VIOLATION);
    let report = running.report().await.unwrap();
    assert_eq!(report.ledger.len(), 1);
    assert_eq!(report.ledger_insert_runs["a"], 2);
    running.stop().await;
}

#[tokio::test]
async fn statements_wait_for_slots_and_calls_do_not() {
    let cfg = InstanceConfig {
        slots: 1,
        ..without_delays()
    };
    let running = Instance::start(cfg).await.unwrap();
    let clients = [connect(&running).await, connect(&running).await];
    let probe = connect(&running).await;
    let started = Instant::now();
    let sleeps = clients
        .iter()
        .map(|client| client.batch_execute("SELECT pg_sleep(0.1)"));
    let both = futures::future::join_all(sleeps);
    let asked = async {
        tokio::time::sleep(Duration::from_millis(20)).await;
        row(&probe, "SELECT * FROM caraway.status(0, 0, 0)").await;
        let report = running.report().await.unwrap();
        assert_eq!((report.running, report.queued), (1, 1));
    };
    let (done, ()) = futures::future::join(both, asked).await;
    assert!(done.iter().all(Result::is_ok), "{done:?}");
    assert!(started.elapsed() >= Duration::from_millis(200));
    running.stop().await;
}

#[tokio::test]
async fn connections_over_the_limit_and_wrong_passwords_are_refused() {
    let cfg = InstanceConfig {
        connections: 1,
        ..without_delays()
    };
    let running = Instance::start(cfg).await.unwrap();
    let refused = try_connect(running.addr(), "caraway", "key.secret").await;
    assert_eq!(
        refused.unwrap_err().code(),
        Some(&SqlState::INVALID_PASSWORD)
    );
    let client = connect(&running).await;
    let refused = try_connect(running.addr(), "caraway", "caraway").await;
    assert_eq!(
        refused.unwrap_err().code(),
        Some(&SqlState::TOO_MANY_CONNECTIONS)
    );
    drop(client);
    let passwords: Vec<_> = running.report().await.unwrap().logins;
    let passwords: Vec<_> = passwords.iter().map(|login| &*login.password).collect();
    assert_eq!(passwords, ["key.secret", "caraway", "caraway"]);
    running.stop().await;
}
