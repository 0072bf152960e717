//! Hosts that join while others, and an instance, answer slowly: each write runs once, and its caller
//! is told the truth about it.
#![allow(clippy::unwrap_used, reason = "a test that meets an error ends there")]

mod fleet;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use fleet::client::{PASSWORD, configure, connect, wait_for_write};
use fleet::ledger::{check_ledger, write_deposits};
use fleet::{Fleet, plan};

/// A host joins and takes over upstreams while an instance and an owner answer slowly, so that
/// answers are late, and reads and transactions leave the silent owner.
#[tokio::test]
async fn a_write_runs_once_although_hosts_join_while_others_are_slow() {
    let plans = [
        plan("control-1", "spn", false, true),
        plan("entry-1", "spn", true, false),
        plan("entry-2", "spn", true, false),
        plan("entry-3", "spn", true, false),
        plan("entry-4", "spn", true, false),
    ];
    let extra = "[session]\ncheck_owner_after = \"100ms\"\nhedge_after = \"150ms\"\n";
    let mut fleet = Fleet::start(&plans, extra);
    fleet.start_group(["spn"; 3], "lag = \"10ms\"");
    configure(&fleet).await;
    fleet.kill("entry-4");
    let stop = Arc::new(AtomicBool::new(false));
    let writers: Vec<_> = ["entry-1", "entry-2", "entry-3"]
        .map(|host| {
            let addr = fleet.host(host).callers;
            tokio::spawn(write_deposits(addr, host.to_owned(), stop.clone()))
        })
        .into();
    for round in 0..3 {
        tokio::time::sleep(Duration::from_millis(300)).await;
        fleet.upstreams[0].signal("STOP");
        fleet.host("entry-3").process.signal("STOP");
        tokio::time::sleep(Duration::from_millis(500)).await;
        fleet.upstreams[0].signal("CONT");
        fleet.host("entry-3").process.signal("CONT");
        if round == 0 {
            fleet.restart("entry-4");
        }
    }
    let client = connect(fleet.host("entry-4").callers, PASSWORD, "")
        .await
        .unwrap();
    wait_for_write(&client, "slow hosts", Instant::now()).await;
    stop.store(true, Ordering::Relaxed);
    let mut outcomes = BTreeMap::new();
    for writer in writers {
        outcomes.extend(writer.await.unwrap());
    }
    check_ledger(&fleet, "entry-4", &outcomes).await;
}
