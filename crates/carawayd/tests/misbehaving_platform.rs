//! Crowds of clients on the platform's front end: callers that send large lines, stop half-way or
//! send many statements ahead, and calls that never end. The hosts go on, stay within the memory and
//! the descriptors of a small machine, and serve an ordinary caller.
//!
//! Only one of the tests runs at a time. They check no times.
#![allow(clippy::unwrap_used, reason = "a test that meets an error ends there")]

mod fleet;

use std::net::SocketAddr;
use std::path::Path;

use fleet::crowd::{connect_and_send, open, send_all, unfinished_call};
use fleet::usage::{MAX_PEAK_KIB, most_open_files, settled_peak_kib};
use fleet::{WAIT_TIMEOUT, eventually};
use testbed::Standing;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{Mutex, MutexGuard};

/// Lets one test run at a time: each of them needs some hundred megabytes without the limits.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());
/// Descriptors that a process may have open: its own, and less than the crowd's.
const MAX_OPEN_FILES: usize = 700;
/// Longest line that the protocol allows, in bytes.
const LINE: usize = 1 << 20;

/// The hosts of a small deployment, with instances.
struct Setup {
    system: Standing,
    _alone: MutexGuard<'static, ()>,
}

impl Setup {
    async fn start() -> Self {
        let alone = ONE_AT_A_TIME.lock().await;
        let system = Standing::start(Path::new(env!("CARGO_BIN_EXE_carawayd"))).await;
        let setup = Self {
            system,
            _alone: alone,
        };
        setup.check_served().await;
        setup
    }

    /// Checks that a process has stayed within the memory, and that an ordinary caller is served
    /// while the crowd is still connected.
    async fn check(&mut self, process: u32, crowd: Vec<TcpStream>) {
        let peak = settled_peak_kib(process).await;
        println!("peak {peak} KiB");
        self.check_served().await;
        let peak = settled_peak_kib(process).await;
        assert!(self.system.all_run(), "a process has ended");
        if peak > MAX_PEAK_KIB {
            println!("{}", self.system.recent_logs());
        }
        assert!(peak <= MAX_PEAK_KIB, "{peak} KiB of memory");
        drop(crowd);
        self.check_served().await;
        assert!(self.system.all_run(), "a process has ended");
    }

    async fn check_served(&self) {
        eventually("an ordinary caller is served", WAIT_TIMEOUT, async || {
            self.system.serves_a_caller().await
        })
        .await;
        eventually("a call is answered", WAIT_TIMEOUT, async || {
            self.system.answers_a_call().await
        })
        .await;
    }
}

/// Reads until the host says that it is ready for the next statement.
async fn read_ready(stream: &mut TcpStream) {
    let mut answer = Vec::new();
    while !answer.windows(6).any(|text| text == b"READY ") || !answer.ends_with(b"\r\n") {
        assert_ne!(stream.read_buf(&mut answer).await.unwrap(), 0);
    }
}

/// Opens sessions, each of which has been told that it is ready.
async fn log_in(addr: SocketAddr, count: usize) -> Vec<TcpStream> {
    let mut sessions = Vec::new();
    for _ in 0..count {
        let mut stream = open(addr).await.unwrap();
        stream.write_all(&Standing::startup_line()).await.unwrap();
        read_ready(&mut stream).await;
        sessions.push(stream);
    }
    sessions
}

/// Returns a line of a given start and length in bytes.
fn line(start: &str, len: usize) -> Vec<u8> {
    let mut line = start.as_bytes().to_vec();
    line.resize(len - 2, b'x');
    line.extend_from_slice(b"\r\n");
    line
}

/// Guards against buffers of unfinished lines that add up over connections.
#[tokio::test]
async fn unfinished_lines_fit_into_memory() {
    let mut setup = Setup::start().await;
    let (addr, process) = setup.system.entry();
    let mut text = line("QUERY 1 READ ", LINE);
    text.truncate(LINE - 2);
    let sessions = log_in(addr, 150).await;
    let crowd = send_all(sessions, text).await;
    setup.check(process, crowd).await;
}

/// Guards against first lines that never end, before a login.
#[tokio::test]
async fn unfinished_first_lines_fit_into_memory() {
    let mut setup = Setup::start().await;
    let (addr, process) = setup.system.entry();
    let crowd = connect_and_send(addr, 200, vec![b'x'; LINE - 2]).await;
    setup.check(process, crowd).await;
}

/// Guards against values of sessions, which stay when a session is idle.
#[tokio::test]
async fn values_of_sessions_fit_into_memory() {
    let mut setup = Setup::start().await;
    let (addr, process) = setup.system.entry();
    let sessions = log_in(addr, 150).await;
    let crowd = send_all(sessions, line("QUERY 1 SET key ", LINE - 256)).await;
    setup.check(process, crowd).await;
}

/// Guards against statements that are sent ahead, which the host keeps for each connection.
#[tokio::test]
async fn statements_sent_ahead_fit_into_memory() {
    let mut setup = Setup::start().await;
    let (addr, process) = setup.system.entry();
    let sessions = log_in(addr, 40).await;
    let statements = line("QUERY 1 READ ", LINE / 2).repeat(24);
    let crowd = send_all(sessions, statements).await;
    setup.check(process, crowd).await;
}

/// Guards against bodies of calls that add up over connections.
#[tokio::test]
async fn unfinished_calls_fit_into_memory() {
    let mut setup = Setup::start().await;
    let (addr, process) = setup.system.control();
    let (method, path) = Standing::heartbeat_path();
    let body = (4 << 20) - (64 << 10);
    let crowd = connect_and_send(addr, 60, unfinished_call(method, &path, body)).await;
    setup.check(process, crowd).await;
}

/// Guards against logins and calls that never end and take all descriptors.
#[tokio::test]
async fn connections_that_send_nothing_leave_descriptors() {
    let mut setup = Setup::start().await;
    let mut crowd = Vec::new();
    let mut processes = Vec::new();
    for (addr, process) in [setup.system.entry(), setup.system.control()] {
        crowd.extend(connect_and_send(addr, 900, Vec::new()).await);
        processes.push((process, most_open_files(process).await));
    }
    println!("process and descriptors: {processes:?}");
    setup.check(processes[0].0, crowd).await;
    for (process, most) in processes {
        assert!(most <= MAX_OPEN_FILES, "{most} descriptors of {process}");
    }
}

/// Guards against limits so low that they reach idle sessions or a line of the greatest length.
#[tokio::test]
async fn idle_sessions_and_a_long_line_are_served() {
    let mut setup = Setup::start().await;
    let (addr, process) = setup.system.entry();
    let mut sessions = log_in(addr, 400).await;
    // Its id is part of what is sent on, so the text is a little shorter than the longest line.
    let text = line("QUERY 1 READ ", LINE - 1024);
    for session in &mut sessions[..20] {
        session.write_all(&text).await.unwrap();
        read_ready(session).await;
    }
    for session in &mut sessions {
        session.write_all(b"QUERY 1 READ item\r\n").await.unwrap();
        read_ready(session).await;
    }
    setup.check(process, sessions).await;
}
