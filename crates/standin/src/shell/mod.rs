//! The I/O around an instance's reducer: one thread that owns the state, and tasks for
//! the sockets.
//!
//! - `engine_thread`: runs the reducer, and hands its effects to the tasks.
//! - `listen`: accepts connections and spawns a task for each.
//! - `conn`: one client connection: login and simple queries.
//! - `extended`: the extended query protocol of a connection.
//! - `wire`: encodes and decodes messages of the PostgreSQL protocol.
//! - `pull`: requests log entries from the primary.
//! - `announce`: sends announcements to the hosts' API.
//! - `logs`: writes log lines.

mod announce;
mod conn;
mod engine_thread;
mod extended;
mod listen;
mod logs;
mod pull;
mod wire;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::{Sender, channel};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{AbortHandle, JoinSet};

use self::engine_thread::{EngineThread, Message};
use crate::config::{InstanceConfig, RestartState};
use crate::engine::activity::Report;
use crate::engine::event::Event;
use crate::engine::fault::FaultCommand;
use crate::engine::log_event::LogEvent;

/// Namespace for [`Instance::start`].
#[derive(Debug)]
pub struct Instance;

/// Why an instance didn't start, or can't answer any more.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// Listening on the address failed.
    #[error("can't listen on {0}: {1}")]
    Listen(SocketAddr, std::io::Error),
    /// Starting the instance's thread failed.
    #[error("can't start a thread: {0}")]
    Thread(std::io::Error),
    /// The instance's thread has ended.
    #[error("the instance has ended")]
    Ended,
}

/// A running instance, with methods to inject faults and read its state.
#[derive(Debug)]
pub struct Running {
    cfg: Arc<InstanceConfig>,
    addr: SocketAddr,
    /// The channel to the engine thread.
    engine: Sender<Message>,
    thread: std::thread::JoinHandle<()>,
    tasks: JoinSet<()>,
    /// Ends the task that sends announcements, so that `kill` announces nothing.
    announcer: AbortHandle,
}

impl Instance {
    /// Starts an instance on a thread of its own and tasks of the current runtime.
    ///
    /// # Errors
    ///
    /// Fails if its address can't be listened on or its thread can't be started.
    pub async fn start(cfg: InstanceConfig) -> Result<Running, StartError> {
        let failed = |error| StartError::Listen(cfg.listen, error);
        let listener = TcpListener::bind(cfg.listen).await.map_err(failed)?;
        let addr = listener.local_addr().map_err(failed)?;
        let cfg = Arc::new(cfg);

        let (engine, messages) = channel();
        let (pulls, pull_rx) = mpsc::unbounded_channel();
        let (announcements, announce_rx) = mpsc::unbounded_channel();
        let (listening, listen_rx) = watch::channel(true);

        let mut tasks = JoinSet::new();
        tasks.spawn(listen::run(listener, addr, listen_rx, engine.clone()));
        tasks.spawn(pull::run(pull_rx, cfg.credentials.clone(), engine.clone()));
        let announcer = tasks.spawn(announce::run(announce_rx, cfg.api.clone()));

        let core = EngineThread::new(messages, pulls, announcements, listening);
        let thread = std::thread::Builder::new()
            .name(format!("standin-{}", cfg.upstream))
            .spawn({
                let cfg = cfg.clone();
                move || core.run(cfg, addr, first_sequence())
            })
            .map_err(StartError::Thread)?;
        Ok(Running {
            cfg,
            addr,
            engine,
            thread,
            tasks,
            announcer,
        })
    }
}

impl Running {
    /// Returns the address on which the instance listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the settings that the instance started with.
    pub fn config(&self) -> &InstanceConfig {
        &self.cfg
    }

    /// Injects or ends a fault; it is in effect before any event sent later is handled.
    pub fn inject_fault(&self, command: FaultCommand) {
        self.send(Message::Event(Event::InjectFault(command)));
    }

    /// Sets the replication lag, in place of the configured one.
    pub fn set_lag(&self, lag: Duration) {
        self.inject_fault(FaultCommand::SetLag(lag));
    }

    /// Stops handling events and timers, or handles those held back and goes on.
    pub fn freeze(&self, frozen: bool) {
        self.inject_fault(FaultCommand::SetFrozen(frozen));
    }

    /// Ignores and no longer answers the connections that are open now, until they close.
    pub fn silence_open_conns(&self) {
        self.inject_fault(FaultCommand::SilenceOpenConns);
    }

    /// Closes the connections that are open now.
    pub fn close_open_conns(&self) {
        self.inject_fault(FaultCommand::CloseOpenConns);
    }

    /// Stops listening, so that new connections are refused, or listens again.
    pub fn refuse_new_conns(&self, refuse: bool) {
        self.inject_fault(FaultCommand::RefuseNewConns(refuse));
    }

    /// Delays each reply by this much; zero ends the fault.
    pub fn set_reply_delay(&self, set_reply_delay: Duration) {
        self.inject_fault(FaultCommand::SetReplyDelay(set_reply_delay));
    }

    /// Returns a copy of the state for tests, also while the instance is frozen.
    ///
    /// # Errors
    ///
    /// Fails if the instance has ended.
    pub async fn report(&self) -> Result<Report, StartError> {
        let (tx, rx) = oneshot::channel();
        self.send(Message::Report(tx));
        rx.await.map_err(|_| StartError::Ended)
    }

    /// Returns the state from which a new instance can start in place of this one.
    ///
    /// # Errors
    ///
    /// Fails if the instance has ended.
    pub async fn restart_state(&self) -> Result<RestartState, StartError> {
        let (tx, rx) = oneshot::channel();
        self.send(Message::RestartState(tx));
        rx.await.map_err(|_| StartError::Ended)
    }

    /// Announces from now on that the instance is leaving; it still serves.
    pub fn announce_leaving(&self) {
        self.send(Message::Event(Event::AnnounceLeaving));
    }

    /// Announces that the instance is leaving, stops it, and waits for its thread and tasks.
    pub async fn stop(self) {
        self.announce_leaving();
        self.end().await;
    }

    /// Stops the instance without announcing it, and returns the state for a restart.
    ///
    /// # Errors
    ///
    /// Fails if the instance has ended before.
    pub async fn kill(self) -> Result<RestartState, StartError> {
        let state = self.restart_state().await;
        self.announcer.abort();
        self.end().await;
        state
    }

    /// Stops the thread and joins it and all tasks, which stop when the thread has ended.
    async fn end(mut self) {
        self.send(Message::Stop);
        while self.tasks.join_next().await.is_some() {}
        let joined = tokio::task::spawn_blocking(|| self.thread.join()).await;
        if !matches!(joined, Ok(Ok(()))) {
            let upstream = self.cfg.upstream.clone();
            logs::write(&LogEvent::Panicked { upstream });
        }
    }

    fn send(&self, message: Message) {
        // If the thread has ended early, `end` logs the failed join.
        let _ = self.engine.send(message);
    }
}

/// Returns the Unix time in milliseconds, as a first announcement sequence that is higher
/// than any of an earlier run.
fn first_sequence() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |age| age.as_millis() as u64)
}
