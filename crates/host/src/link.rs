//! Links to and from other hosts.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use decide::{Event, Msg};
use futures::{SinkExt, StreamExt};
use model::{HashMap, HostId, PartAddr, PartId};
use peer::frame::{self, Frame, LinkHello};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::timeout;
use tokio_util::codec::{Framed, FramedParts, LengthDelimitedCodec};

use crate::input::Inboxes;
use crate::settings::Secret;
use crate::sockets;

/// How long a new link may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long after a failed attempt the next one is made.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
/// How often an idle link shows that it is alive.
const PING_EVERY: Duration = Duration::from_millis(500);
/// How long a link may be silent before it counts as broken.
const SILENCE: Duration = Duration::from_secs(2);
/// How long a frame may take to be written before the link counts as broken.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

type Stream = Framed<TcpStream, LengthDelimitedCodec>;

/// The links from one part to other hosts.
#[derive(Debug)]
pub(crate) struct Links {
    from: PartAddr,
    secret: Secret,
    inboxes: Inboxes,
    addrs: HashMap<HostId, watch::Sender<SocketAddr>>,
    links: HashMap<HostId, mpsc::UnboundedSender<(PartId, Msg)>>,
}

impl Links {
    /// Returns no links yet.
    pub(crate) fn new(part: PartId, secret: Secret, inboxes: Inboxes) -> Self {
        let host = inboxes.host().clone();
        Self {
            from: PartAddr { host, part },
            secret,
            inboxes,
            addrs: HashMap::default(),
            links: HashMap::default(),
        }
    }

    /// Notes where a host takes links.
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
    pub(crate) fn send(&mut self, tasks: &mut JoinSet<()>, to: PartAddr, msg: Msg) {
        if to.host == self.from.host {
            let from = self.from.clone();
            self.inboxes.event(to.part, Event::Peer { from, msg });
            return;
        }
        let Some(addr) = self.addrs.get(&to.host) else {
            let part = self.from.part;
            self.inboxes.event(part, Event::Undelivered { to, msg });
            return;
        };
        let link = self.links.entry(to.host.clone()).or_insert_with(|| {
            let (tx, rx) = mpsc::unbounded_channel();
            let task = Outgoing {
                to: to.host.clone(),
                from: self.from.clone(),
                secret: self.secret.clone(),
                inboxes: self.inboxes.clone(),
                addr: addr.subscribe(),
            };
            tasks.spawn_local(task.run(rx));
            tx
        });
        let _ = link.send((to.part, msg));
    }
}

/// One link to another host.
struct Outgoing {
    to: HostId,
    from: PartAddr,
    secret: Secret,
    inboxes: Inboxes,
    addr: watch::Receiver<SocketAddr>,
}

impl Outgoing {
    /// Writes messages until the other end of the queue is dropped.
    async fn run(mut self, mut rx: mpsc::UnboundedReceiver<(PartId, Msg)>) {
        while let Some(first) = rx.recv().await {
            match self.connect().await {
                Some(stream) => {
                    self.write(stream, first, &mut rx).await;
                    self.down();
                }
                None => {
                    self.give_back(first);
                    while let Ok(next) = rx.try_recv() {
                        self.give_back(next);
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
        sockets::tune_or_warn(&stream);
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

    /// Writes messages, batched, until the link breaks or the queue ends.
    async fn write(
        &mut self,
        mut stream: Stream,
        first: (PartId, Msg),
        rx: &mut mpsc::UnboundedReceiver<(PartId, Msg)>,
    ) {
        let mut next = Some(first);
        loop {
            let mut batch = next.take();
            while let Some((to, msg)) = batch {
                if feed(&mut stream, &Frame::Msg { to, msg }).await.is_none() {
                    return;
                }
                batch = rx.try_recv().ok();
            }
            let flushed = timeout(WRITE_TIMEOUT, SinkExt::<Bytes>::flush(&mut stream)).await;
            if !matches!(flushed, Ok(Ok(()))) {
                return;
            }
            tokio::select! {
                msg = rx.recv() => match msg {
                    Some(msg) => next = Some(msg),
                    None => return,
                },
                // The other end writes nothing, so anything read is the end.
                _ = stream.next() => return,
                changed = self.addr.changed() => {
                    if changed.is_ok() {
                        return;
                    }
                }
                () = tokio::time::sleep(PING_EVERY) => {
                    if feed(&mut stream, &Frame::Ping).await.is_none() {
                        return;
                    }
                }
            }
        }
    }

    fn down(&self) {
        self.inboxes
            .event(self.from.part, Event::LinkDown(self.to.clone()));
    }

    fn give_back(&self, (part, msg): (PartId, Msg)) {
        let host = self.to.clone();
        let to = PartAddr { host, part };
        let event = Event::Undelivered { to, msg };
        self.inboxes.event(self.from.part, event);
    }
}

async fn feed(stream: &mut Stream, frame: &Frame) -> Option<()> {
    let bytes = frame::encode(frame).ok()?;
    let fed = timeout(WRITE_TIMEOUT, stream.feed(bytes)).await;
    fed.ok()?.ok()
}

/// Reads the hello of a link from another host.
pub(crate) async fn read_hello(stream: TcpStream) -> Option<(LinkHello, TcpStream, BytesMut)> {
    let mut stream = Framed::new(stream, frame::codec());
    let hello = timeout(CONNECT_TIMEOUT, stream.next()).await;
    let hello = hello.ok()??.ok()?;
    let hello = frame::decode(&hello).ok()?;
    let FramedParts { io, read_buf, .. } = stream.into_parts();
    Some((hello, io, read_buf))
}

/// Reads a link from another host until it breaks, and says so to every part.
pub(crate) async fn read(
    stream: std::net::TcpStream,
    rest: BytesMut,
    from: PartAddr,
    inboxes: Inboxes,
) {
    read_frames(stream, rest, &from, &inboxes).await;
    inboxes.event_to_all(&Event::LinkDown(from.host));
}

async fn read_frames(
    stream: std::net::TcpStream,
    rest: BytesMut,
    from: &PartAddr,
    inboxes: &Inboxes,
) -> Option<()> {
    let stream = TcpStream::from_std(stream).ok()?;
    let mut parts = FramedParts::new::<Bytes>(stream, frame::codec());
    parts.read_buf = rest;
    let mut stream = Framed::from_parts(parts);
    loop {
        let bytes = timeout(SILENCE, stream.next()).await;
        let bytes = bytes.ok()??.ok()?;
        match frame::decode::<Frame>(&bytes).ok()? {
            Frame::Ping => {}
            Frame::Msg { to, msg } => {
                let from = from.clone();
                inboxes.event(to, Event::Peer { from, msg });
            }
        }
    }
}
