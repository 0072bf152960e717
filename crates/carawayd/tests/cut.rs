//! A data centre that is cut off from the rest of the fleet.
//!
//! The cut is simulated by stopping the processes of the other data centre with SIGSTOP: to the hosts
//! that still run, this looks like a network partition.
#![allow(clippy::unwrap_used, reason = "a test that meets an error ends there")]

mod fleet;

use std::time::{Duration, Instant};

use decide::call::PatchOutcome;
use fleet::client::{
    KEY_NAME, PASSWORD, WORKSPACE, api_client, configure, connect, first_value, patch, sqlstate,
    submit, wait_for_write,
};
use fleet::{Fleet, WAIT_TIMEOUT, eventually, plan};
use model::config::Change;
use peer::api::ApiClient;

/// The time within which an accepted configuration must be in force on all hosts.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(5);
/// The hosts of the other data centre, which the tests stop with SIGSTOP.
const REMOTE_HOSTS: [&str; 3] = ["control-1", "entry-k1", "entry-k2"];

/// Starts five hosts in two data centres, and a group with its instances in `data_centres`.
async fn start(data_centres: [&str; 3]) -> Fleet {
    let plans = [
        plan("control-1", "kgn-a", false, true),
        plan("entry-k1", "kgn-a", true, false),
        plan("entry-k2", "kgn-a", true, false),
        plan("entry-s1", "spn", true, false),
        plan("entry-s2", "spn", true, false),
    ];
    let mut fleet = Fleet::start(&plans, "");
    fleet.start_group(data_centres, "lag = \"10ms\"");
    configure(&fleet).await;
    // Hosts learn their base shares, the part of a rate limit that they may use without a leader, only
    // after they have served requests for a while.
    let client = connect(fleet.host("entry-s1").callers, PASSWORD, "")
        .await
        .unwrap();
    client
        .simple_query("INSERT INTO kv VALUES ('before', '1')")
        .await
        .unwrap();
    tokio::time::sleep(Duration::from_secs(2)).await;
    fleet
}

/// Sends a signal to all hosts of the other data centre.
fn signal_remote_hosts(fleet: &Fleet, signal: &str) {
    for host in REMOTE_HOSTS {
        fleet.host(host).process.signal(signal);
    }
}

#[tokio::test]
async fn a_group_inside_a_cut_off_data_centre_is_served_and_failed_over() {
    let mut fleet = start(["spn"; 3]).await;
    signal_remote_hosts(&fleet, "STOP");
    tokio::time::sleep(Duration::from_secs(3)).await;
    let client = connect(fleet.host("entry-s2").callers, PASSWORD, "")
        .await
        .unwrap();
    client
        .simple_query("INSERT INTO kv VALUES ('cut', '1')")
        .await
        .unwrap();
    fleet.upstreams[0].kill();
    let killed_at = Instant::now();
    wait_for_write(&client, "cut off", killed_at).await;
    for key in ["before", "cut"] {
        let query = format!("SELECT v FROM kv WHERE k = '{key}'");
        eventually("a read within the base share", WAIT_TIMEOUT, async || {
            first_value(&client, &query)
                .await
                .is_ok_and(|seen| seen.as_deref() == Some("1"))
        })
        .await;
    }
    let change = Change::WithdrawKey {
        workspace: WORKSPACE.into(),
        key: KEY_NAME.into(),
    };
    let withdraw = patch("withdraw", 1, vec![change]);
    let unknown = api_client(fleet.host("entry-s1").api)
        .patch(withdraw.clone())
        .await;
    assert!(unknown.unwrap_err().to_string().contains("no quorum"));
    signal_remote_hosts(&fleet, "CONT");
    // After the cut ends, the resent patch is applied once and comes into force on all hosts.
    let outcome = submit(fleet.host("entry-s1").api, withdraw).await;
    assert_eq!(outcome, PatchOutcome::Accepted(2));
    for host in ["entry-k1", "entry-k2", "entry-s1", "entry-s2"] {
        let addr = fleet.host(host).callers;
        eventually(
            "the withdrawn key is refused",
            IN_FORCE_TIMEOUT,
            async || {
                let refused = connect(addr, PASSWORD, "").await;
                refused.is_err_and(|error| sqlstate(&error) == "28P01")
            },
        )
        .await;
    }
}

#[tokio::test]
async fn a_cut_off_minority_refuses_writes_without_running_them_and_serves_its_reads() {
    let fleet = start(["spn", "kgn-a", "kgn-a"]).await;
    let options = "-c caraway.timeout=1500ms";
    let client = connect(fleet.host("entry-s1").callers, PASSWORD, options)
        .await
        .unwrap();
    first_value(&client, "SELECT v FROM kv WHERE k = 'before'")
        .await
        .unwrap();
    signal_remote_hosts(&fleet, "STOP");
    for upstream in &fleet.upstreams[1..] {
        upstream.signal("STOP");
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    let refused = client
        .simple_query("INSERT INTO kv VALUES ('lost', '1')")
        .await;
    let refused = refused.unwrap_err();
    assert_eq!(refused.as_db_error().unwrap().detail(), Some("not run"));
    eventually("a read within the base share", WAIT_TIMEOUT, async || {
        let seen = first_value(&client, "SELECT v FROM kv WHERE k = 'before'").await;
        seen.is_ok_and(|seen| seen.as_deref() == Some("1"))
    })
    .await;
    for upstream in &fleet.upstreams[1..] {
        upstream.signal("CONT");
    }
    signal_remote_hosts(&fleet, "CONT");
    eventually(
        "writes are acknowledged after the heal",
        WAIT_TIMEOUT,
        async || {
            let sql = "INSERT INTO kv VALUES ('healed', '1') ON CONFLICT DO NOTHING";
            client.simple_query(sql).await.is_ok()
        },
    )
    .await;
    let later_client = connect(fleet.host("entry-k1").callers, PASSWORD, "")
        .await
        .unwrap();
    let seen = first_value(&later_client, "SELECT v FROM kv WHERE k = 'lost'")
        .await
        .unwrap();
    assert_eq!(seen, None, "a write that was reported as not run has run");
}
