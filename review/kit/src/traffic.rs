//! Configuration and clients of a small deployment.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::record;
use crate::wire::{Client, NoAnswer};

/// The key of the only tenant.
pub const KEY: &str = "u6wsjnbanfqasnmgkcuy";
/// The database name of the route to a service's primary.
pub fn database(service: &str) -> String {
    format!("db-{service}")
}

/// Returns a configuration with a `primary` route to each service.
pub fn config(version: u64, services: &[&str]) -> String {
    let routes: Vec<String> = services
        .iter()
        .map(|service| {
            format!(
                "{{\"name\":\"r-{service}\",\"host\":\"{}\",\"path-prefix\":\"/\",\
                 \"type\":\"primary\",\"timeout-ms\":1000,\"target-latency-ms\":200,\
                 \"priority\":1,\"service\":\"{service}\",\"max-attempts\":2,\"public\":false}}",
                database(service)
            )
        })
        .collect();
    let list: Vec<String> = services
        .iter()
        .map(|service| {
            format!(
                "{{\"name\":\"{service}\",\"health-path\":\"/healthz\",\"max-connections\":46,\
                 \"protocol\":\"h1\",\"tls-enabled\":false,\"sync-replicas\":1}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\
         \"max-header-bytes\":16384,\"max-body-bytes\":262144,\"header-timeout-ms\":3000,\
         \"idle-timeout-ms\":15000,\"tx-idle-ms\":3000}},\"tenants\":[{{\"name\":\"nypu920\",\
         \"api-keys\":[\"{KEY}\"],\"priority\":1,\"rate-per-s\":400,\"burst\":400}}]}}",
        routes.join(","),
        list.join(",")
    )
}

static IDS: AtomicU64 = AtomicU64::new(1);

/// Returns a new id of a query.
pub fn new_id() -> String {
    format!("{:016x}", IDS.fetch_add(1, Ordering::Relaxed))
}

/// One operation of a client.
#[derive(Clone, Debug)]
pub struct Operation {
    pub sent_at: f64,
    pub served: bool,
    pub result: String,
}

/// Clients that each send one operation after the other.
pub struct Traffic {
    stop: Arc<AtomicBool>,
    operations: Arc<Mutex<Vec<Operation>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Traffic {
    /// Starts clients; a fifth of the operations are writes.
    pub fn start(
        fronts: &[SocketAddr],
        database: &str,
        clients: usize,
        pause: Duration,
        writes_in_ten: u64,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let operations = Arc::new(Mutex::new(Vec::new()));
        let threads: Vec<_> = (0..clients)
            .map(|nth| {
                let (stop, operations) = (stop.clone(), operations.clone());
                let (fronts, database) = (fronts.to_vec(), database.to_owned());
                std::thread::spawn(move || {
                    let mut session: Option<Client> = None;
                    let mut turn = nth;
                    while !stop.load(Ordering::Relaxed) {
                        let started = Instant::now();
                        turn += 1;
                        let sent_at = record::now();
                        let write = (turn as u64 * 7) % 10 < writes_in_ten;
                        let result = operate(&mut session, &fronts, turn, &database, write);
                        let served = result == "served";
                        if !served {
                            session = None;
                        }
                        operations.lock().unwrap().push(Operation {
                            sent_at,
                            served,
                            result,
                        });
                        std::thread::sleep(pause.saturating_sub(started.elapsed()));
                    }
                    if let Some(session) = session {
                        session.terminate();
                    }
                })
            })
            .collect();
        Self {
            stop,
            operations,
            threads,
        }
    }

    /// Stops the clients and returns all operations.
    pub fn finish(self) -> Vec<Operation> {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
        self.operations.lock().unwrap().clone()
    }
}

/// Sends one operation; returns `served`, the code of the error, `late` or `broken`.
fn operate(
    session: &mut Option<Client>,
    fronts: &[SocketAddr],
    turn: usize,
    database: &str,
    write: bool,
) -> String {
    if session.is_none() {
        match Client::connect(fronts[turn % fronts.len()], database, KEY) {
            Ok(new) => *session = Some(new),
            Err(code) => return code,
        }
    }
    let Some(client) = session.as_mut() else {
        return "broken".to_owned();
    };
    let id = new_id();
    let text = if write {
        "WRITE 1a4 xkqpwnzd"
    } else {
        "READ 1a4"
    };
    record::line(&format!("sent {id} {text}"));
    let result = match client.query(&id, text, Duration::from_millis(1500)) {
        Ok(reply) => match reply.error {
            None if reply.signature.as_deref().is_some_and(|s| s != "-") => "served".to_owned(),
            None => "unsigned".to_owned(),
            Some(code) => code,
        },
        Err(NoAnswer::Broken) => "broken".to_owned(),
        Err(NoAnswer::Late) => "late".to_owned(),
    };
    record::line(&format!("answered {id} {result}"));
    result
}

/// Counts the operations that were sent in a span: served, and all.
pub fn count(operations: &[Operation], from: f64, to: f64) -> (usize, usize) {
    let inside = operations
        .iter()
        .filter(|op| op.sent_at >= from && op.sent_at < to);
    let (mut served, mut all) = (0, 0);
    for operation in inside {
        all += 1;
        served += usize::from(operation.served);
    }
    (served, all)
}

/// Writes how the operations ended, second by second, to the record.
pub fn summarise(operations: &[Operation]) {
    let last = operations.iter().map(|op| op.sent_at).fold(0.0, f64::max);
    let mut second = 0.0;
    while second <= last {
        let (served, all) = count(operations, second, second + 1.0);
        let inside = |op: &&Operation| op.sent_at >= second && op.sent_at < second + 1.0;
        let mut codes: Vec<&str> = operations
            .iter()
            .filter(inside)
            .filter(|op| !op.served)
            .map(|op| op.result.as_str())
            .collect();
        codes.sort_unstable();
        codes.dedup();
        if all > 0 {
            record::line(&format!(
                "second {second:3}: {served} of {all} served {codes:?}"
            ));
        }
        second += 1.0;
    }
}
