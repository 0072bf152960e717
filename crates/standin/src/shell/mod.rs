//! Sockets, tasks and the thread around an instance's reducer.

mod announce;
mod conn;
mod core;
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

use self::core::{Core, Message};
use crate::config::{InstanceConfig, Restart};
use crate::engine::chaos::Knob;
use crate::engine::event::Event;
use crate::engine::log_event::LogEvent;
use crate::engine::record::Report;

/// Starts instances.
#[derive(Debug)]
pub struct Instance;

/// Why an instance didn't start, or gave no answer.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The address can't be listened on.
    #[error("can't listen on {0}: {1}")]
    Listen(SocketAddr, std::io::Error),
    /// The thread of the instance can't be started.
    #[error("can't start a thread: {0}")]
    Thread(std::io::Error),
    /// The instance has ended.
    #[error("the instance has ended")]
    Ended,
}

/// An instance that runs, with its knobs.
#[derive(Debug)]
pub struct Running {
    cfg: Arc<InstanceConfig>,
    addr: SocketAddr,
    engine: Sender<Message>,
    thread: std::thread::JoinHandle<()>,
    tasks: JoinSet<()>,
    announcer: AbortHandle,
}

impl Instance {
    /// Starts an instance.
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

        let core = Core::new(messages, pulls, announcements, listening);
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
    /// Returns where the instance listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the settings that the instance started with.
    pub fn config(&self) -> &InstanceConfig {
        &self.cfg
    }

    /// Turns a knob; it holds before anything that is sent later.
    pub fn turn(&self, knob: Knob) {
        self.send(Message::Event(Event::Turn(knob)));
    }

    /// Sets the replication lag.
    pub fn set_lag(&self, lag: Duration) {
        self.turn(Knob::Lag(lag));
    }

    /// Halts the instance as a whole, or lets it go on where it halted.
    pub fn freeze(&self, frozen: bool) {
        self.turn(Knob::Freeze(frozen));
    }

    /// Makes every connection that is open now silent for good.
    pub fn silence_open(&self) {
        self.turn(Knob::SilenceOpen);
    }

    /// Closes every connection that is open now.
    pub fn drop_open(&self) {
        self.turn(Knob::DropOpen);
    }

    /// Refuses new connections, or takes them again.
    pub fn refuse_new(&self, refuse: bool) {
        self.turn(Knob::RefuseNew(refuse));
    }

    /// Delays each answer.
    pub fn delay(&self, delay: Duration) {
        self.turn(Knob::Delay(delay));
    }

    /// Returns the state of the instance, also while it is frozen.
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
    pub async fn restart_state(&self) -> Result<Restart, StartError> {
        let (tx, rx) = oneshot::channel();
        self.send(Message::Restart(tx));
        rx.await.map_err(|_| StartError::Ended)
    }

    /// Announces from now on that the instance leaves, but goes on serving.
    pub fn leave(&self) {
        self.send(Message::Event(Event::Leave));
    }

    /// Announces that the instance leaves, ends it, and returns once all has ended.
    pub async fn stop(self) {
        self.leave();
        self.end().await;
    }

    /// Drops everything at once, and returns what a restart would find.
    ///
    /// # Errors
    ///
    /// Fails if the instance has ended before.
    pub async fn kill(self) -> Result<Restart, StartError> {
        let state = self.restart_state().await;
        self.announcer.abort();
        self.end().await;
        state
    }

    /// Ends the thread, whose end is that of the tasks, and joins all of them.
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
        // A thread that has ended early shows when it is joined.
        let _ = self.engine.send(message);
    }
}

/// Returns a sequence that is higher than any of an earlier start.
fn first_sequence() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |age| age.as_millis() as u64)
}
