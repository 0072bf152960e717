//! An entry host gets SIGTERM while transactions of its clients are open on another host's
//! connections.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::db::{self, Service};
use crate::fleet::Fleet;
use crate::record::{self, say};
use crate::traffic;
use crate::wire::{Client, NoAnswer};

/// `grace-period-s`.
const GRACE_S: f64 = 6.0;
/// `loss-slack-ms`, in seconds.
const LOSS_SLACK_S: f64 = 0.2;
/// Sessions with an open transaction.
const SESSIONS: usize = 12;
/// When each session sends its statements, in seconds from the SIGTERM; those after the last come
/// without a pause, up to 12 in all.
const STATEMENTS: [f64; 4] = [1.5, 3.6, 4.9, 5.25];
/// How long a statement takes at the instance.
const WORK: Duration = Duration::from_millis(60);

/// A statement that got no whole answer.
#[derive(Debug)]
struct Cut {
    id: String,
    sent_at: f64,
    cut_at: f64,
}

pub fn play(root: &Path, trouble: bool) -> Outcome {
    let mut fleet = Fleet::new(root, 2);
    let controls = fleet.control_addrs();
    let service = Service::new("sa", controls, WORK);
    db::start_platform(fleet.net.cloud(), vec![service.clone()]);
    fleet.start();
    for zone in 0..3 {
        let ip = fleet.net.ip(zone, 101);
        let addr = format!("{ip}:{}", fleet.net.ports.instance)
            .parse()
            .unwrap();
        service.start(&format!("i-sa{zone}"), zone, addr);
    }
    if !fleet.configure(&traffic::config(7, &["sa"]), Duration::from_secs(20))
        || !fleet.wait_ready(Duration::from_secs(20))
    {
        return Outcome::NotPlayed;
    }
    std::thread::sleep(Duration::from_secs(6));
    // The primary and its owners are in zone 0; the host that stops is in zone 1.
    let stopping = fleet.front.iter().position(|host| host.zone == 1);
    let stopping = stopping.expect("zone 1 has an entry host");
    let addr: SocketAddr = fleet.front[stopping].addr(fleet.net.ports.client);
    let cuts = Arc::new(Mutex::new(Vec::new()));
    let statements = Arc::new(Mutex::new(0usize));
    let signal_at = Instant::now() + Duration::from_secs(2);
    let signal_s = record::now() + 2.0;
    let sessions: Vec<_> = (0..SESSIONS)
        .map(|nth| {
            let (cuts, statements) = (cuts.clone(), statements.clone());
            std::thread::spawn(move || session(addr, nth, signal_at, &cuts, &statements))
        })
        .collect();
    std::thread::sleep(signal_at.saturating_duration_since(Instant::now()));
    if trouble {
        fleet.front[stopping].signal("TERM");
    }
    if trouble {
        // The platform sends SIGKILL after the grace period.
        let grace = Duration::from_secs_f64(GRACE_S);
        std::thread::sleep((signal_at + grace).saturating_duration_since(Instant::now()));
        if !fleet.front[stopping].has_ended() {
            fleet.front[stopping].signal("KILL");
        }
    }
    for session in sessions {
        let _ = session.join();
    }
    if trouble {
        say(&format!(
            "the process has ended: {}",
            fleet.front[stopping].has_ended()
        ));
    }
    fleet.record_logs(&["event=213", "event=214", "event=215"]);
    let statements = *statements.lock().unwrap();
    let mut broken = 0;
    for cut in cuts.lock().unwrap().iter() {
        let (sent, ended) = (cut.sent_at - signal_s, cut.cut_at - signal_s);
        // Within the planned work, sent later than 3 s after the SIGTERM, so that no excuse for
        // work in the last sixth of the grace period applies, and long before its timeout.
        let counts = ended <= GRACE_S + 1.0 && sent > 3.0 && ended - sent < 0.9;
        let ran = std::fs::read_to_string("record.txt").unwrap_or_default();
        let passed_on = ran.contains(&format!("run {} on", cut.id));
        let counts = counts && (passed_on || ended - sent > LOSS_SLACK_S);
        say(&format!(
            "statement {} was sent {sent:.3} s after the SIGTERM, and the connection ended after {ended:.3} s without an answer; run by the instance: {passed_on}; counts: {counts}",
            cut.id
        ));
        broken += usize::from(counts);
    }
    say(&format!(
        "{statements} statements sent, {broken} requests lost"
    ));
    if statements < SESSIONS * 4 {
        return Outcome::NotPlayed;
    }
    match broken {
        0 => Outcome::Held,
        _ => Outcome::Broken,
    }
}

/// One client: a transaction with pauses, which ends when it is told that it is over.
fn session(
    addr: SocketAddr,
    nth: usize,
    signal_at: Instant,
    cuts: &Mutex<Vec<Cut>>,
    statements: &Mutex<usize>,
) -> Option<()> {
    let mut client = Client::connect(addr, &traffic::database("sa"), traffic::KEY).ok()?;
    std::thread::sleep(Duration::from_millis(20 * nth as u64));
    client
        .query(&traffic::new_id(), "BEGIN", Duration::from_secs(1))
        .ok()?;
    let pauses = STATEMENTS
        .iter()
        .map(|at| signal_at + Duration::from_secs_f64(*at));
    let mut due: Vec<Instant> = vec![signal_at - Duration::from_millis(900)];
    due.extend(pauses);
    for turn in 0..12 {
        let offset = Duration::from_millis(5 * nth as u64);
        if let Some(at) = due.get(turn) {
            std::thread::sleep((*at + offset).saturating_duration_since(Instant::now()));
        }
        let id = traffic::new_id();
        let text = if turn == 11 { "COMMIT" } else { "READ 1a4" };
        let sent_at = record::now();
        record::line(&format!("session {nth} sends {id} {text}"));
        *statements.lock().unwrap() += 1;
        match client.query(&id, text, Duration::from_secs(2)) {
            Ok(reply) => {
                record::line(&format!("session {nth} is answered {id} {reply:?}"));
                if reply.error.is_some() {
                    // The transaction is over: the client rolls back and is done.
                    let _ = client.query(&traffic::new_id(), "ROLLBACK", Duration::from_secs(1));
                    return None;
                }
            }
            Err(why) => {
                let cut_at = record::now();
                record::line(&format!("session {nth} gets no answer to {id}: {why:?}"));
                if why == NoAnswer::Broken {
                    cuts.lock().unwrap().push(Cut {
                        id,
                        sent_at,
                        cut_at,
                    });
                }
                return None;
            }
        }
    }
    client.terminate();
    Some(())
}
