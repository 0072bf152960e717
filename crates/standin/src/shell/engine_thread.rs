//! The thread that owns an instance's state and runs its reducer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Instant;

use model::{Announcement, HashMap};
use tokio::sync::{mpsc, oneshot, watch};

use super::logs;
use crate::config::{InstanceConfig, RestartState};
use crate::engine::Engine;
use crate::engine::activity::Report;
use crate::engine::event::{ConnId, Effect, Event, Pull, Reply};

/// A message to the engine thread.
#[derive(Debug)]
pub(crate) enum Message {
    /// An event for the reducer.
    Event(Event),
    /// A connection has opened; replies to it go to this channel.
    ConnOpened(ConnId, mpsc::UnboundedSender<Reply>),
    /// A request for a copy of the state for tests.
    Report(oneshot::Sender<Report>),
    /// A request for the state that outlives a restart.
    RestartState(oneshot::Sender<RestartState>),
    /// Ends the thread.
    Stop,
}

/// The channels between the engine thread and the tasks.
#[derive(Debug)]
pub(crate) struct EngineThread {
    messages: Receiver<Message>,
    conns: HashMap<ConnId, mpsc::UnboundedSender<Reply>>,
    pulls: mpsc::UnboundedSender<Pull>,
    announcements: mpsc::UnboundedSender<Announcement>,
    listening: watch::Sender<bool>,
}

impl EngineThread {
    /// Creates the thread's channels; dropping them stops the tasks at the other ends.
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

    /// Runs the reducer until `Message::Stop` arrives or all senders are gone.
    pub(crate) fn run(mut self, cfg: Arc<InstanceConfig>, addr: SocketAddr, sequence: u64) {
        let mut effects = Vec::new();
        let mut engine = Engine::start(cfg, addr, sequence, Instant::now(), &mut effects);
        loop {
            effects.drain(..).for_each(|effect| self.run_effect(effect));
            let event = match self.next_message(engine.wake_at()) {
                Message::Event(event) => event,
                Message::ConnOpened(conn, replies) => {
                    self.conns.insert(conn, replies);
                    continue;
                }
                Message::Report(tx) => {
                    // The requester may have stopped waiting.
                    let _ = tx.send(engine.report());
                    continue;
                }
                Message::RestartState(tx) => {
                    // The requester may have stopped waiting.
                    let _ = tx.send(engine.restart_state());
                    continue;
                }
                Message::Stop => return,
            };
            if let Event::ConnClosed(conn) = event {
                self.conns.remove(&conn);
            }
            engine.reduce(Instant::now(), event, &mut effects);
        }
    }

    /// Waits for a message, or returns a tick when `wake_at` has come.
    fn next_message(&self, wake_at: Option<Instant>) -> Message {
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

    /// Carries out an effect; ignored if the receiving task has ended.
    fn run_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Reply(conn, reply) => {
                if let Some(replies) = self.conns.get(&conn) {
                    let _ = replies.send(reply);
                }
            }
            Effect::CloseConn(conn) => {
                self.conns.remove(&conn);
            }
            Effect::Pull(pull) => {
                let _ = self.pulls.send(pull);
            }
            Effect::Announce(announcement) => {
                let _ = self.announcements.send(announcement);
            }
            Effect::Log(event) => logs::write(&event),
            Effect::SetListening(listen) => {
                self.listening.send_replace(listen);
            }
        }
    }
}
