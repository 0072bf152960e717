//! Callers that violate the protocol lose their connection, and other callers are still served.
#![allow(clippy::unwrap_used, reason = "a test that meets an error ends there")]

mod fleet;

use std::net::SocketAddr;
use std::time::Duration;

use fleet::client::{PASSWORD, configure, connect, first_value, sqlstate};
use fleet::{Fleet, WAIT_TIMEOUT, eventually, plan};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The host's limits on callers, low so that the tests reach them.
const CALLER_LIMITS: &str = "[caller]\nlogin_timeout = \"1s\"\nmax_message_bytes = 65536\n";

/// Starts one host with both roles and a group of three instances.
async fn start() -> Fleet {
    let plans = [plan("both-1", "spn", true, true)];
    let mut fleet = Fleet::start(&plans, CALLER_LIMITS);
    fleet.start_group(["spn"; 3], "");
    configure(&fleet).await;
    fleet
}

/// Sends bytes and returns the answer; panics unless the host then closes the connection.
async fn send_until_closed(addr: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut answer = Vec::new();
    let closed = tokio::time::timeout(WAIT_TIMEOUT, stream.read_to_end(&mut answer)).await;
    assert!(closed.is_ok(), "the connection stays open");
    answer
}

#[tokio::test]
async fn protocol_violations_close_their_connection_and_others_are_served() {
    let fleet = start().await;
    let addr = fleet.host("both-1").callers;
    let good = connect(addr, PASSWORD, "").await.unwrap();

    // A client that sends nothing, and one that sends half a start-up message.
    send_until_closed(addr, b"").await;
    send_until_closed(addr, &[0, 0, 0, 80, 0, 3, 0, 0, b'u']).await;
    // Random bytes in place of a start-up message.
    send_until_closed(addr, &[0xff; 64]).await;
    // A protocol version that does not exist.
    send_until_closed(addr, &[0, 0, 0, 9, 0, 99, 0, 0, 0]).await;
    first_value(&good, "SELECT 1").await.unwrap();

    // A message over the size limit ends its session with an error that states the limit.
    let big = connect(addr, PASSWORD, "").await.unwrap();
    let sql = format!("SELECT '{}'", "x".repeat(100_000));
    let error = big.simple_query(&sql).await.unwrap_err();
    assert_eq!(sqlstate(&error), "08P01");
    assert!(error.as_db_error().unwrap().message().contains("65536"));
    eventually("the session is over", Duration::from_secs(5), async || {
        big.is_closed()
    })
    .await;
    first_value(&good, "SELECT 1").await.unwrap();
}

#[tokio::test]
async fn statements_that_cannot_be_pooled_or_use_the_reserved_schema_are_refused_without_being_run()
{
    let fleet = start().await;
    let client = connect(fleet.host("both-1").callers, PASSWORD, "")
        .await
        .unwrap();
    for sql in [
        "LISTEN news",
        "CREATE TEMPORARY TABLE t (k text)",
        "SET search_path TO other",
        "PREPARE p AS SELECT 1",
        "SELECT * FROM caraway.promote(9, 'me')",
        "SELECT * FROM \"caraway\".status(0, 0, 0)",
        "SELECT caraway.promise(9, 'me')",
        "COPY kv FROM STDIN",
    ] {
        let error = client.simple_query(sql).await.unwrap_err();
        assert_eq!(sqlstate(&error), "0A000", "{sql}");
        assert_eq!(error.as_db_error().unwrap().detail(), Some("not run"));
    }
    let wrong = client
        .simple_query("SET caraway.max_age = 'soon'")
        .await
        .unwrap_err();
    assert_eq!(sqlstate(&wrong), "22023");
    client
        .simple_query("SET caraway.max_age = '2s'")
        .await
        .unwrap();
    let shown = first_value(&client, "SHOW caraway.max_age").await.unwrap();
    assert_eq!(shown.as_deref(), Some("2000ms"));
    first_value(&client, "SELECT 1").await.unwrap();
}
