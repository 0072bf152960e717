//! Fault injection, seen over real connections.

use std::time::{Duration, Instant};

use standin::Instance;
use tokio::time::timeout;

use crate::client::{connect, try_connect, value, without_delays};

/// Longer than an undelayed reply takes: without a reply in this time, none is coming.
const LONGER_THAN_A_REPLY: Duration = Duration::from_millis(200);

#[tokio::test]
async fn open_connections_go_silent_while_new_ones_work() {
    let running = Instance::start(without_delays()).await.unwrap();
    let old = connect(&running).await;
    running.silence_open_conns();
    let write = old.simple_query("INSERT INTO kv VALUES ('x', '1')");
    assert!(timeout(LONGER_THAN_A_REPLY, write).await.is_err());
    let new = connect(&running).await;
    assert_eq!(value(&new, "SELECT count(*) FROM kv").await.unwrap(), "0");
    running.stop().await;
}

#[tokio::test]
async fn a_frozen_instance_accepts_but_never_answers() {
    let running = Instance::start(without_delays()).await.unwrap();
    let client = connect(&running).await;
    running.freeze(true);
    let connect = try_connect(running.addr(), "caraway", "caraway");
    assert!(timeout(LONGER_THAN_A_REPLY, connect).await.is_err());
    let write = client.simple_query("INSERT INTO kv VALUES ('x', '1')");
    assert!(timeout(LONGER_THAN_A_REPLY, write).await.is_err());
    assert!(running.report().await.unwrap().kv.is_empty());
    running.freeze(false);
    assert_eq!(
        value(&client, "SELECT count(*) FROM kv").await.unwrap(),
        "1"
    );
    running.stop().await;
}

#[tokio::test]
async fn new_connections_are_refused_while_open_ones_work() {
    let running = Instance::start(without_delays()).await.unwrap();
    let client = connect(&running).await;
    running.refuse_new_conns(true);
    while try_connect(running.addr(), "caraway", "caraway")
        .await
        .is_ok()
    {}
    assert_eq!(value(&client, "SELECT 1").await.unwrap(), "1");
    running.refuse_new_conns(false);
    while try_connect(running.addr(), "caraway", "caraway")
        .await
        .is_err()
    {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    running.stop().await;
}

#[tokio::test]
async fn answers_are_delayed_and_connections_dropped() {
    let running = Instance::start(without_delays()).await.unwrap();
    let client = connect(&running).await;
    running.set_reply_delay(LONGER_THAN_A_REPLY);
    let asked = Instant::now();
    assert_eq!(value(&client, "SELECT 1").await.unwrap(), "1");
    assert!(asked.elapsed() >= LONGER_THAN_A_REPLY);
    running.close_open_conns();
    assert!(client.simple_query("SELECT 1").await.is_err());
    running.stop().await;
}
