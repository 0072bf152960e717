//! The thread that owns an instance's state and runs its reducer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Instant;

use model::{Announcement, HashMap};
use tokio::sync::{mpsc, oneshot, watch};

use super::logs;
use crate::config::{InstanceConfig, Restart};
use crate::engine::Engine;
use crate::engine::event::{ConnId, Effect, Event, Pull, Reply};
use crate::engine::record::Report;

/// What the thread is told.
#[derive(Debug)]
pub(crate) enum Message {
    /// Something has happened.
    Event(Event),
    /// A connection has opened, and takes its answers here.
    Open(ConnId, mpsc::UnboundedSender<Reply>),
    /// A test asks for the state.
    Report(oneshot::Sender<Report>),
    /// A test asks for what a restart would find.
    Restart(oneshot::Sender<Restart>),
    /// The thread is to end.
    Stop,
}

/// The thread's channels.
#[derive(Debug)]
pub(crate) struct Core {
    messages: Receiver<Message>,
    conns: HashMap<ConnId, mpsc::UnboundedSender<Reply>>,
    pulls: mpsc::UnboundedSender<Pull>,
    announcements: mpsc::UnboundedSender<Announcement>,
    listening: watch::Sender<bool>,
}

impl Core {
    /// Returns a core; all tasks on the other ends stop when it ends.
    pub(crate) fn new(
        messages: Receiver<Message>,
        pulls: mpsc::UnboundedSender<Pull>,
        announcements: mpsc::UnboundedSender<Announcement>,
        listening: watch::Sender<bool>,
    ) -> Self {
        Self {
            messages,
            conns: HashMap::default(),
            pulls,
            announcements,
            listening,
        }
    }

    /// Runs until it is told to stop.
    pub(crate) fn run(mut self, cfg: Arc<InstanceConfig>, addr: SocketAddr, sequence: u64) {
        let mut effects = Vec::new();
        let mut engine = Engine::start(cfg, addr, sequence, Instant::now(), &mut effects);
        loop {
            effects.drain(..).for_each(|effect| self.apply(effect));
            let event = match self.next(engine.wake_at()) {
                Message::Event(event) => event,
                Message::Open(conn, replies) => {
                    self.conns.insert(conn, replies);
                    continue;
                }
                Message::Report(tx) => {
                    // The one who asked may be gone.
                    let _ = tx.send(engine.report());
                    continue;
                }
                Message::Restart(tx) => {
                    // The one who asked may be gone.
                    let _ = tx.send(engine.restart());
                    continue;
                }
                Message::Stop => return,
            };
            if let Event::Closed(conn) = event {
                self.conns.remove(&conn);
            }
            engine.reduce(Instant::now(), event, &mut effects);
        }
    }

    fn next(&self, wake_at: Option<Instant>) -> Message {
        let received = match wake_at {
            Some(at) => self
                .messages
                .recv_timeout(at.saturating_duration_since(Instant::now())),
            None => self
                .messages
                .recv()
                .map_err(|_| RecvTimeoutError::Disconnected),
        };
        match received {
            Ok(message) => message,
            Err(RecvTimeoutError::Timeout) => Message::Event(Event::Tick),
            Err(RecvTimeoutError::Disconnected) => Message::Stop,
        }
    }

    /// Runs an effect; a receiver that is gone has no need of it.
    fn apply(&mut self, effect: Effect) {
        match effect {
            Effect::Reply(conn, reply) => {
                if let Some(replies) = self.conns.get(&conn) {
                    let _ = replies.send(reply);
                }
            }
            Effect::Drop(conn) => {
                self.conns.remove(&conn);
            }
            Effect::Pull(pull) => {
                let _ = self.pulls.send(pull);
            }
            Effect::Announce(announcement) => {
                let _ = self.announcements.send(announcement);
            }
            Effect::Log(event) => logs::write(&event),
            Effect::Listen(listen) => {
                self.listening.send_replace(listen);
            }
        }
    }
}
