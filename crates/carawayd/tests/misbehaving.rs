//! Crowds of clients that send large messages, stop half-way or read no answers: the host goes on,
//! stays within the memory and the descriptors of a small machine, and serves an ordinary caller.
//!
//! Each test starts its own host, and only one of them runs at a time. They check no times.
#![allow(clippy::unwrap_used, reason = "a test that meets an error ends there")]

mod fleet;

use std::net::SocketAddr;

use fleet::client::{PASSWORD, WORKSPACE, api_client, configure, connect, first_value};
use fleet::crowd::{connect_and_send, open, send_all, unfinished_call};
use fleet::usage::{MAX_PEAK_KIB, most_open_files, settled_peak_kib};
use fleet::{Fleet, SERVICE, WAIT_TIMEOUT, eventually, plan};
use peer::api::ApiClient;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{Mutex, MutexGuard};

/// Lets one test run at a time: each of them needs some hundred megabytes without the limits.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());
/// Settings of the host under test.
const LIMITS: &str = "[budget]\nmemory_mb = 112\nmax_calls = 64\n[caller]\nmax_logins = 64\n";
/// Descriptors that the process may have open: its own, and less than one listener's crowd.
const MAX_OPEN_FILES: usize = 400;

/// A host with both roles and a group of three instances.
struct Setup {
    fleet: Fleet,
    _alone: MutexGuard<'static, ()>,
}

impl Setup {
    async fn start() -> Self {
        Self::start_with(LIMITS).await
    }

    async fn start_with(limits: &str) -> Self {
        let alone = ONE_AT_A_TIME.lock().await;
        let mut fleet = Fleet::start(&[plan("both-1", "spn", true, true)], limits);
        fleet.start_group(["spn"; 3], "");
        configure(&fleet).await;
        Self {
            fleet,
            _alone: alone,
        }
    }

    fn callers(&self) -> SocketAddr {
        self.fleet.host("both-1").callers
    }

    /// Checks that the process has stayed within the memory, and that an ordinary caller is served
    /// while the crowd is still connected.
    async fn check(&mut self, crowd: Vec<TcpStream>) {
        let process = self.fleet.host("both-1").process.id();
        let peak = settled_peak_kib(process).await;
        println!("peak {peak} KiB");
        self.check_served().await;
        let peak = settled_peak_kib(process).await;
        assert!(peak <= MAX_PEAK_KIB, "{peak} KiB of memory");
        drop(crowd);
        self.check_served().await;
    }

    async fn check_served(&mut self) {
        let callers = self.callers();
        eventually("an ordinary caller is served", WAIT_TIMEOUT, async || {
            let client = connect(callers, PASSWORD, "").await;
            match client {
                Ok(client) => first_value(&client, "SELECT 1").await.is_ok(),
                Err(_) => false,
            }
        })
        .await;
        let host = self.fleet.host_mut("both-1");
        assert!(host.process.is_running(), "the process has ended");
    }
}

/// Returns a message with a type byte, of which the last `missing` bytes are left out.
fn message(kind: u8, body: &[u8], missing: usize) -> Vec<u8> {
    let len = u32::try_from(body.len() + missing + 4).unwrap();
    [&[kind], &len.to_be_bytes()[..], body].concat()
}

/// Returns the message that starts a session.
fn startup() -> Vec<u8> {
    let params = format!("user\0{WORKSPACE}\0database\0{SERVICE}\0\0");
    let len = u32::try_from(params.len() + 8).unwrap();
    let version = 196_608_u32.to_be_bytes();
    [&len.to_be_bytes()[..], &version, params.as_bytes()].concat()
}

/// Opens sessions, each of which has been told that it is ready.
async fn log_in(addr: SocketAddr, count: usize) -> Vec<TcpStream> {
    let mut sessions = Vec::new();
    for _ in 0..count {
        let mut stream = open(addr).await.unwrap();
        stream.write_all(&startup()).await.unwrap();
        let password = [PASSWORD.as_bytes(), b"\0"].concat();
        stream
            .write_all(&message(b'p', &password, 0))
            .await
            .unwrap();
        let mut answer = Vec::new();
        while !answer.ends_with(b"Z\0\0\0\x05I") {
            assert_ne!(stream.read_buf(&mut answer).await.unwrap(), 0);
        }
        sessions.push(stream);
    }
    sessions
}

/// Guards against buffers of unfinished messages that add up over connections.
#[tokio::test]
async fn unfinished_messages_fit_into_memory() {
    let mut setup = Setup::start().await;
    let sessions = log_in(setup.callers(), 20).await;
    let crowd = send_all(sessions, message(b'Q', &vec![b' '; 14 << 20], 1)).await;
    setup.check(crowd).await;
}

/// Guards against batches of the extended query protocol that never end.
#[tokio::test]
async fn batches_without_an_end_fit_into_memory() {
    let mut setup = Setup::start().await;
    let sessions = log_in(setup.callers(), 20).await;
    let sql = [b"\0SELECT '", &vec![b'x'; 128 << 10][..], b"'\0\0\0"].concat();
    let crowd = send_all(sessions, message(b'P', &sql, 0).repeat(100)).await;
    setup.check(crowd).await;
}

/// Guards against prepared statements that add up over sessions: they stay when a session is idle.
#[tokio::test]
async fn prepared_statements_fit_into_memory() {
    let mut setup = Setup::start().await;
    let sessions = log_in(setup.callers(), 20).await;
    let text = "x".repeat(128 << 10);
    let batch = |nth| {
        let sql = format!("s{nth}\0SELECT '{text}'\0\0\0").into_bytes();
        [message(b'P', &sql, 0), message(b'S', b"", 0)].concat()
    };
    let crowd = send_all(sessions, (0..80).flat_map(batch).collect()).await;
    setup.check(crowd).await;
}

/// Guards against answers that callers don't read, which the host holds for each of them.
#[tokio::test]
async fn unread_answers_fit_into_memory() {
    // A busy machine keeps the stand-in from answering probes while it stores the large value.
    let limits = format!("{LIMITS}[group]\nprobe_timeout = \"10s\"\n");
    let mut setup = Setup::start_with(&limits).await;
    let client = connect(setup.callers(), PASSWORD, "").await.unwrap();
    let value = "x".repeat(8 << 20);
    client
        .simple_query(&format!("INSERT INTO kv VALUES ('big', '{value}')"))
        .await
        .unwrap();
    drop(client);
    let sessions = log_in(setup.callers(), 30).await;
    let query = message(b'Q', b"SELECT v FROM kv WHERE k = 'big'\0", 0);
    let crowd = send_all(sessions, query.repeat(16)).await;
    setup.check(crowd).await;
}

/// Guards against logins that never end and take all descriptors, on each listener.
#[tokio::test]
async fn connections_that_send_nothing_leave_descriptors() {
    let mut setup = Setup::start().await;
    let host = setup.fleet.host("both-1");
    let process = host.process.id();
    let mut crowd = Vec::new();
    let mut most = 0;
    for addr in [host.callers, host.peers, host.api, host.metrics] {
        crowd.extend(connect_and_send(addr, 600, Vec::new()).await);
        most = most.max(most_open_files(process).await);
    }
    println!("{most} descriptors");
    setup.check(crowd).await;
    assert!(most <= MAX_OPEN_FILES, "{most} descriptors");
}

/// Guards against bodies of calls and first frames of links that add up over connections.
#[tokio::test]
async fn unfinished_calls_and_links_fit_into_memory() {
    let mut setup = Setup::start().await;
    let host = setup.fleet.host("both-1");
    let (api, peers, metrics) = (host.api, host.peers, host.metrics);
    let mut crowd = connect_and_send(api, 40, unfinished_call("POST", "/", 9 << 20)).await;
    let frame = [&(60_u32 << 20).to_be_bytes()[..], &vec![0; 40 << 20]].concat();
    crowd.extend(connect_and_send(peers, 20, frame).await);
    let head = [&b"GET /metrics HTTP/1.1\r\nx: "[..], &vec![b'x'; 300 << 10]].concat();
    crowd.extend(connect_and_send(metrics, 100, head).await);
    setup.check(crowd).await;
    let client = api_client(api);
    eventually("a call is answered", WAIT_TIMEOUT, async || {
        client.status().await.is_ok()
    })
    .await;
}

/// Guards against limits so low that they reach many idle sessions, or a single large message.
#[tokio::test]
async fn idle_sessions_and_a_large_message_are_served() {
    let mut setup = Setup::start().await;
    let mut sessions = log_in(setup.callers(), 500).await;
    let client = connect(setup.callers(), PASSWORD, "").await.unwrap();
    let value = "x".repeat(4 << 20);
    client
        .simple_query(&format!("INSERT INTO kv VALUES ('big', '{value}')"))
        .await
        .unwrap();
    let read = first_value(&client, "SELECT v FROM kv WHERE k = 'big'").await;
    assert_eq!(read.unwrap().unwrap().len(), value.len());
    for session in &mut sessions {
        session
            .write_all(&message(b'Q', b"SELECT 1\0", 0))
            .await
            .unwrap();
        let mut answer = Vec::new();
        while !answer.ends_with(b"Z\0\0\0\x05I") {
            assert_ne!(session.read_buf(&mut answer).await.unwrap(), 0);
        }
    }
    setup.check(sessions).await;
}

/// Guards against callers that stop in the middle of a message and keep their connection for ever,
/// and against a limit that ends idle sessions.
#[tokio::test]
async fn a_caller_that_stops_in_a_message_is_closed_and_an_idle_one_is_not() {
    let mut setup = Setup::start_with("[caller]\nstall_timeout = \"1s\"\n").await;
    let mut sessions = log_in(setup.callers(), 2).await;
    let (mut stopped, mut idle) = (sessions.remove(0), sessions.remove(0));
    let unfinished = message(b'Q', b"SELECT 1", 10);
    stopped.write_all(&unfinished).await.unwrap();
    let mut answer = Vec::new();
    let closed = tokio::time::timeout(WAIT_TIMEOUT, stopped.read_to_end(&mut answer)).await;
    assert!(closed.is_ok(), "the connection stays open");
    let query = message(b'Q', b"SELECT 1\0", 0);
    idle.write_all(&query).await.unwrap();
    while !answer.ends_with(b"Z\0\0\0\x05I") {
        assert_ne!(idle.read_buf(&mut answer).await.unwrap(), 0);
    }
    setup.check(vec![idle]).await;
}
