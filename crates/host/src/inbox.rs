//! The inbox of each part's thread: what it receives, and how others send to it.

use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use decide::call::{Call, Reply};
use decide::{Effect, Event};
use model::{HostId, PartAddr, PartId};
use tokio::sync::{OwnedSemaphorePermit, mpsc, oneshot};
use tokio::task::JoinSet;

/// An item in a part's inbox.
#[derive(Debug)]
pub(crate) enum Input {
    /// An event for the reducer.
    Event(Event),
    /// A caller has connected; for traffic parts.
    ///
    /// The permit lets the listener accept another one, once this one is served.
    CallerConnected(std::net::TcpStream, OwnedSemaphorePermit),
    /// A part of another host has opened a link and has passed the check of its hello.
    PeerConnected {
        /// The connection, to be read from here on.
        stream: std::net::TcpStream,
        /// Bytes that were read after the hello and belong to the next frames.
        unread: BytesMut,
        /// The part that opened the link.
        from: PartAddr,
    },
    /// A call of an operator, of an upstream or of the platform; for the control part.
    Call {
        /// The call.
        call: Call,
        /// Receives the reply.
        reply: oneshot::Sender<Reply>,
    },
}

/// The senders to the inboxes of a host's parts.
#[derive(Clone, Debug)]
pub(crate) struct Inboxes {
    senders: Arc<[mpsc::UnboundedSender<Input>]>,
    host: HostId,
}

impl Inboxes {
    /// Takes the senders in the order of the parts, the control part first.
    pub(crate) fn new(host: HostId, parts: Vec<mpsc::UnboundedSender<Input>>) -> Self {
        Self {
            senders: parts.into(),
            host,
        }
    }

    /// Returns this host's name.
    pub(crate) fn host(&self) -> &HostId {
        &self.host
    }

    /// Returns the number of parts, the control part included.
    pub(crate) fn part_count(&self) -> u16 {
        u16::try_from(self.senders.len()).unwrap_or(u16::MAX)
    }

    /// Sends an item to a part; it is dropped if the part has ended or doesn't exist.
    pub(crate) fn send(&self, part: PartId, input: Input) {
        if let Some(tx) = self.senders.get(usize::from(part)) {
            let _ = tx.send(input);
        }
    }

    /// Sends an event to a part's reducer.
    pub(crate) fn send_event(&self, part: PartId, event: Event) {
        self.send(part, Input::Event(event));
    }

    /// Sends an event to the reducer of every part.
    pub(crate) fn send_event_to_all(&self, event: &Event) {
        for part in 0..self.part_count() {
            self.send_event(part, event.clone());
        }
    }
}

/// Turns inputs into events and runs effects, for one part on its thread.
pub(crate) trait EffectRunner {
    /// Returns the event for the reducer, or `None` where the runner alone handles the input.
    fn handle_input(&mut self, input: Input) -> Option<Event>;

    /// Runs an effect of the reducer, without blocking.
    fn run_effect(&mut self, effect: Effect);

    /// Ends all tasks that the runner has spawned, after the part has ended.
    async fn join_tasks(self);
}

/// How long tasks may take to end on their own before they are aborted.
const JOIN_GRACE: Duration = Duration::from_millis(500);

/// Waits up to `JOIN_GRACE` for tasks to end, and aborts the others.
pub(crate) async fn join_or_abort(mut tasks: JoinSet<()>) {
    let all = async { while tasks.join_next().await.is_some() {} };
    let _ = tokio::time::timeout(JOIN_GRACE, all).await;
    tasks.shutdown().await;
}
