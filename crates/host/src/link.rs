//! Outgoing links to other hosts: each carries messages in one direction, from one part to one host.
//!
//! `link_reader` reads the other end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use budget::{Account, Charge};
use bytes::{Bytes, BytesMut};
use decide::{Event, Msg};
use futures::{SinkExt, StreamExt};
use model::{HashMap, HostId, PartAddr, PartId};
use peer::frame::{self, Frame, LinkHello};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::timeout;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::inbox::Inboxes;
use crate::settings::Secret;
use crate::socket_options;

/// How long connecting may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause after a failed attempt to connect.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
/// Interval between the pings on an idle link.
const PING_INTERVAL: Duration = Duration::from_millis(500);
/// How long a frame may take to be written before the link counts as broken.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Size in bytes above which the buffer of a link is freed once it is written.
const KEPT_BUFFER_BYTES: usize = 64 << 10;

type Stream = Framed<TcpStream, LengthDelimitedCodec>;

/// The outgoing links of one part: the addresses of other hosts, and a queue for each link.
#[derive(Debug)]
pub(crate) struct Links {
    /// The part of this host that sends on these links.
    from: PartAddr,
    secret: Secret,
    inboxes: Inboxes,
    addrs: HashMap<HostId, watch::Sender<SocketAddr>>,
    /// The messages to write on the link to each host, with the part that receives each.
    queues: HashMap<HostId, mpsc::UnboundedSender<(PartId, Msg)>>,
    /// From which the charge of each link is made.
    account: Arc<Account>,
}

impl Links {
    /// Returns the state without links; each is opened at the first message to its host.
    ///
    /// What waits on a link to be written is counted for `account`.
    pub(crate) fn new(
        part: PartId,
        secret: Secret,
        inboxes: Inboxes,
        account: Arc<Account>,
    ) -> Self {
        let host = inboxes.host().clone();
        Self {
            from: PartAddr { host, part },
            secret,
            inboxes,
            addrs: HashMap::default(),
            queues: HashMap::default(),
            account,
        }
    }

    /// Sets the address at which a host accepts links; a change reconnects an open link.
    pub(crate) fn set_addr(&mut self, host: HostId, addr: SocketAddr) {
        match self.addrs.get(&host) {
            Some(tx) => {
                tx.send_if_modified(|known| std::mem::replace(known, addr) != addr);
            }
            None => {
                self.addrs.insert(host, watch::Sender::new(addr));
            }
        }
    }

    /// Sends a message to a part of this host or of another.
    ///
    /// A message to a host without a known address comes back as `Event::Undelivered`.
    pub(crate) fn send(&mut self, tasks: &mut JoinSet<()>, to: PartAddr, msg: Msg) {
        if to.host == self.from.host {
            let from = self.from.clone();
            self.inboxes.send_event(to.part, Event::Peer { from, msg });
            return;
        }
        let Some(addr) = self.addrs.get(&to.host) else {
            let part = self.from.part;
            self.inboxes
                .send_event(part, Event::Undelivered { to, msg });
            return;
        };
        let link = self.queues.entry(to.host.clone()).or_insert_with(|| {
            let (tx, rx) = mpsc::unbounded_channel();
            let task = OutgoingLink {
                to: to.host.clone(),
                from: self.from.clone(),
                secret: self.secret.clone(),
                inboxes: self.inboxes.clone(),
                addr: addr.subscribe(),
                unwritten: Charge::new(self.account.clone()),
            };
            tasks.spawn_local(task.run(rx));
            tx
        });
        let _ = link.send((to.part, msg));
    }
}

/// The task of one link to another host.
struct OutgoingLink {
    to: HostId,
    from: PartAddr,
    secret: Secret,
    inboxes: Inboxes,
    addr: watch::Receiver<SocketAddr>,
    /// Counts the bytes of encoded frames that are not written yet.
    unwritten: Charge,
}

impl OutgoingLink {
    /// Writes messages until the sender of the queue is dropped.
    ///
    /// While the host can't be reached, queued messages come back as `Event::Undelivered`.
    /// Messages that were written to a link that then broke are lost; the part gets
    /// `Event::LinkDown`.
    async fn run(mut self, mut rx: mpsc::UnboundedReceiver<(PartId, Msg)>) {
        while let Some(first) = rx.recv().await {
            match self.connect().await {
                Some(stream) => {
                    self.write(stream, first, &mut rx).await;
                    self.report_link_down();
                }
                None => {
                    self.report_undelivered(first);
                    while let Ok(next) = rx.try_recv() {
                        self.report_undelivered(next);
                    }
                    tokio::time::sleep(RECONNECT_PAUSE).await;
                }
            }
        }
    }

    async fn connect(&mut self) -> Option<Stream> {
        let addr = *self.addr.borrow_and_update();
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await;
        let stream = stream.ok()?.ok()?;
        socket_options::set_options_or_warn(&stream);
        let mut stream = Framed::new(stream, frame::codec());
        let hello = LinkHello {
            version: frame::FRAME_VERSION,
            secret: self.secret.0.clone(),
            from: self.from.clone(),
            to: self.to.clone(),
        };
        let hello = frame::encode(&hello).ok()?;
        stream.send(hello).await.ok()?;
        Some(stream)
    }

    /// Writes messages, all queued ones before each flush, until the link breaks, the address of
    /// the host changes or the sender of the queue is dropped.
    async fn write(
        &mut self,
        mut stream: Stream,
        first: (PartId, Msg),
        rx: &mut mpsc::UnboundedReceiver<(PartId, Msg)>,
    ) {
        let mut next = Some(first);
        loop {
            let mut queued = next.take();
            while let Some((to, msg)) = queued {
                if feed_frame(&mut stream, &Frame::Msg { to, msg })
                    .await
                    .is_none()
                {
                    return;
                }
                // The bytes exist already, and a link must not wait for callers' memory.
                self.unwritten.force(stream.write_buffer().len());
                queued = rx.try_recv().ok();
            }
            let flushed = timeout(WRITE_TIMEOUT, SinkExt::<Bytes>::flush(&mut stream)).await;
            self.unwritten.force(0);
            if !matches!(flushed, Ok(Ok(()))) {
                return;
            }
            if stream.write_buffer().capacity() > KEPT_BUFFER_BYTES {
                *stream.write_buffer_mut() = BytesMut::new();
            }
            tokio::select! {
                msg = rx.recv() => match msg {
                    Some(msg) => next = Some(msg),
                    None => return,
                },
                // The other host sends nothing on this link, so whatever is read means its end.
                _ = stream.next() => return,
                changed = self.addr.changed() => {
                    if changed.is_ok() {
                        return;
                    }
                }
                () = tokio::time::sleep(PING_INTERVAL) => {
                    if feed_frame(&mut stream, &Frame::Ping).await.is_none() {
                        return;
                    }
                }
            }
        }
    }

    fn report_link_down(&self) {
        self.inboxes
            .send_event(self.from.part, Event::LinkDown(self.to.clone()));
    }

    fn report_undelivered(&self, (part, msg): (PartId, Msg)) {
        let host = self.to.clone();
        let to = PartAddr { host, part };
        let event = Event::Undelivered { to, msg };
        self.inboxes.send_event(self.from.part, event);
    }
}

/// Writes a frame to the send buffer; `None` means that the link is broken.
async fn feed_frame(stream: &mut Stream, frame: &Frame) -> Option<()> {
    let bytes = frame::encode(frame).ok()?;
    let fed = timeout(WRITE_TIMEOUT, stream.feed(bytes)).await;
    fed.ok()?.ok()
}
