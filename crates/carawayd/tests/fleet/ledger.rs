//! Callers that write deposits, and the check of the ledger against what they were told.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use super::Fleet;
use super::client::{PASSWORD, connect, first_value, open_connection, says_not_run};

/// What the caller was told of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WriteOutcome {
    Acknowledged,
    NotRun,
    MayHaveRun,
}

/// Writes numbered deposits until `stop` is set, and returns the outcome of each by its id.
pub(crate) async fn write_deposits(
    addr: std::net::SocketAddr,
    name: String,
    stop: Arc<AtomicBool>,
) -> BTreeMap<String, WriteOutcome> {
    let mut outcomes = BTreeMap::new();
    let mut client = None;
    for nth in 0.. {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let (open, connection) = match client.take() {
            Some(open) => open,
            None => match open_connection(addr, PASSWORD, "").await {
                Ok(open) => open,
                Err(_) => {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                    continue;
                }
            },
        };
        let id = format!("{name}-{nth}");
        let sql = format!("INSERT INTO ledger VALUES ('{id}', 'pot', 1)");
        let outcome = match open.simple_query(&sql).await {
            Ok(_) => {
                client = Some((open, connection));
                WriteOutcome::Acknowledged
            }
            Err(error) if says_not_run(&error) => WriteOutcome::NotRun,
            // The host may have ended the idle session just before; its last message says why.
            Err(error) if error.is_closed() => match connection.await.unwrap() {
                Err(end) if says_not_run(&end) => WriteOutcome::NotRun,
                _ => WriteOutcome::MayHaveRun,
            },
            Err(_) => WriteOutcome::MayHaveRun,
        };
        outcomes.insert(id, outcome);
    }
    outcomes
}

/// Checks that the ledger holds each acknowledged deposit and none that was reported as not run.
///
/// The id is the ledger's primary key, so no deposit can be there twice.
pub(crate) async fn check_ledger(
    fleet: &Fleet,
    host: &str,
    outcomes: &BTreeMap<String, WriteOutcome>,
) {
    let client = connect(fleet.host(host).callers, PASSWORD, "")
        .await
        .unwrap();
    for (id, outcome) in outcomes {
        let sql = format!("SELECT amount FROM ledger WHERE id = '{id}'");
        let found = first_value(&client, &sql).await.unwrap();
        match outcome {
            WriteOutcome::Acknowledged => assert_eq!(
                found.as_deref(),
                Some("1"),
                "the acknowledged write {id} is lost"
            ),
            WriteOutcome::NotRun => {
                assert_eq!(found, None, "{id} was reported as not run, but has run")
            }
            WriteOutcome::MayHaveRun => {}
        }
    }
    let acknowledged = outcomes
        .values()
        .filter(|outcome| **outcome == WriteOutcome::Acknowledged);
    assert!(
        acknowledged.count() > 10,
        "too few writes were acknowledged for this test"
    );
}
