//! A caller's connection: splits what is received into messages, counts what is buffered, and ends
//! when the caller makes no progress.

use std::collections::VecDeque;
use std::io;
use std::time::Duration;

use budget::Charge;
use bytes::{BufMut, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

use crate::conn_budget::{CloseReason, ConnBudget};
use crate::settings::CallerSettings;

/// Size in bytes of the buffer of an idle session, and for a read of a message of unknown size.
const READ_BYTES: usize = 4 << 10;

/// Splits received bytes into messages.
pub trait Split {
    /// A whole message.
    type Item;
    /// Why no further message can be read.
    type Error;

    /// Removes the next whole message from the start of the buffer; `None` until it has come.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are no message; none can be read after that.
    fn split(&mut self, buf: &mut BytesMut) -> Result<Option<Self::Item>, Self::Error>;

    /// Returns the size in bytes of the message that the buffer begins with, or an upper bound of
    /// it; `None` while it is unknown.
    fn size(&self, buf: &[u8]) -> Option<usize>;
}

/// Why a caller's connection can't be used any more.
#[derive(Debug)]
pub enum StreamError<E> {
    /// The caller has closed it.
    Ended,
    /// It failed.
    Io(io::Error),
    /// The caller has stopped in the middle of a message or of an answer.
    Stalled(CloseReason),
    /// The caller's bytes are no message.
    Malformed(E),
}

impl<E> From<io::Error> for StreamError<E> {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

/// How far a caller has got with the message that it sends or the answer that it reads.
#[derive(Debug)]
struct Progress {
    since: Instant,
    bytes: usize,
}

impl Progress {
    fn start() -> Self {
        Self {
            since: Instant::now(),
            bytes: 0,
        }
    }

    /// Counts bytes that were transferred; enough of them start the time anew.
    fn add(&mut self, bytes: usize, cfg: &CallerSettings) {
        self.bytes += bytes;
        if self.bytes >= cfg.stall_bytes {
            *self = Self::start();
        }
    }

    fn deadline(&self, cfg: &CallerSettings) -> Instant {
        self.since + cfg.stall_timeout
    }
}

/// The connection of one caller.
pub struct CallerStream<S: Split> {
    stream: TcpStream,
    split: S,
    cfg: CallerSettings,
    /// Received bytes that are not split yet.
    buf: BytesMut,
    /// Number of bytes that `buf` may hold.
    room: usize,
    /// Whether `buf` is larger than that of an idle session.
    is_large: bool,
    /// Messages that are read ahead, with their sizes in bytes.
    ahead: VecDeque<(S::Item, usize)>,
    /// Maximum number of them.
    max_ahead: usize,
    ahead_bytes: usize,
    /// Counts `room`, or that of an idle session, and `ahead_bytes`.
    charge: Charge,
    receiving: Progress,
    /// Whether the caller must send further messages before the host can go on.
    unfinished: bool,
}

impl<S: Split> CallerStream<S> {
    /// Wraps a connection from which nothing has been read; `max_ahead` is the number of messages
    /// that may be read ahead.
    pub fn new(
        stream: TcpStream,
        split: S,
        max_ahead: usize,
        cfg: &CallerSettings,
        budget: &ConnBudget,
    ) -> Self {
        let mut charge = budget.charge();
        charge.force(READ_BYTES);
        Self {
            stream,
            split,
            cfg: cfg.clone(),
            buf: BytesMut::new(),
            room: 0,
            is_large: false,
            ahead: VecDeque::new(),
            max_ahead,
            ahead_bytes: 0,
            charge,
            receiving: Progress::start(),
            unfinished: false,
        }
    }

    /// Notes whether the caller must send further messages before the host can go on, as in the
    /// middle of a batch: its connection may then be closed to free memory.
    pub fn set_unfinished(&mut self, unfinished: bool) {
        self.unfinished = unfinished;
    }

    /// Returns what splits messages.
    pub fn split_mut(&mut self) -> &mut S {
        &mut self.split
    }

    /// Returns whether another message may be read ahead.
    pub fn may_read_ahead(&self) -> bool {
        self.ahead.len() < self.max_ahead && self.ahead_bytes < self.cfg.max_read_ahead_bytes
    }

    /// Returns the next message that was read ahead.
    pub fn pop(&mut self) -> Option<S::Item> {
        let (item, size) = self.ahead.pop_front()?;
        self.ahead_bytes -= size;
        self.charge.force(self.counted(self.room));
        Some(item)
    }

    /// Returns the next message.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends or a message can't be read.
    pub async fn next(&mut self) -> Result<S::Item, StreamError<S::Error>> {
        loop {
            if let Some(item) = self.pop() {
                return Ok(item);
            }
            self.read_ahead().await?;
        }
    }

    /// Reads one message more; loses no bytes if the future is dropped.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends or a message can't be read.
    pub async fn read_ahead(&mut self) -> Result<(), StreamError<S::Error>> {
        loop {
            let before = self.buf.len();
            let item = self.split.split(&mut self.buf);
            if let Some(item) = item.map_err(StreamError::Malformed)? {
                self.keep(item, before - self.buf.len());
                return Ok(());
            }
            if self.buf.len() == self.room || self.size() > self.room {
                self.make_room().await;
            }
            self.receive().await?;
        }
    }

    /// Keeps a message that was read, and frees the space that it took.
    fn keep(&mut self, item: S::Item, size: usize) {
        self.ahead.push_back((item, size));
        self.ahead_bytes += size;
        self.room = self.room.saturating_sub(size).max(self.buf.len());
        if self.buf.is_empty() && self.is_large {
            // The buffer of a large message would stay with an idle session.
            self.buf = BytesMut::new();
            self.room = 0;
            self.is_large = false;
        }
        self.charge.force(self.counted(self.room));
        self.receiving = Progress::start();
        self.charge.account().set_awaited_since(None);
    }

    /// Returns the bytes to count if the buffer may hold `room` bytes.
    fn counted(&self, room: usize) -> usize {
        room.max(READ_BYTES) + self.ahead_bytes
    }

    /// Returns the size that the buffer needs for the message that it begins with.
    fn size(&self) -> usize {
        match self.split.size(&self.buf) {
            Some(size) => size,
            None if self.buf.len() < self.room => self.room,
            None => READ_BYTES.max(2 * self.buf.len()),
        }
    }

    /// Waits until the budget has the bytes of the message that the buffer begins with.
    async fn make_room(&mut self) {
        let size = self.size().max(self.buf.len() + 1);
        // The host is waited for, not the caller.
        self.charge.account().set_awaited_since(None);
        self.charge.set(self.counted(size)).await;
        self.room = size;
        self.is_large |= size > READ_BYTES;
        self.buf.reserve(size - self.buf.len());
        if !self.buf.is_empty() {
            self.receiving = Progress::start();
        }
    }

    /// Receives some bytes; in the middle of a message, the caller must make progress.
    async fn receive(&mut self) -> Result<(), StreamError<S::Error>> {
        let free = self.room - self.buf.len();
        let in_message = !self.buf.is_empty();
        if in_message || self.unfinished {
            let since = self.receiving.since.into_std();
            self.charge.account().set_awaited_since(Some(since));
        }
        let mut limited = (&mut self.buf).limit(free);
        let received = match in_message {
            false => self.stream.read_buf(&mut limited).await?,
            true => {
                let deadline = self.receiving.deadline(&self.cfg);
                let read = timeout_at(deadline, self.stream.read_buf(&mut limited)).await;
                read.map_err(|_| StreamError::Stalled(CloseReason::Unfinished))??
            }
        };
        if received == 0 {
            return Err(StreamError::Ended);
        }
        if !in_message {
            self.receiving = Progress::start();
        }
        self.receiving.add(received, &self.cfg);
        Ok(())
    }

    /// Writes bytes, which the caller must read at a minimum rate.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or the caller does not read.
    pub async fn send(&mut self, bytes: &[u8]) -> Result<(), StreamError<S::Error>> {
        let mut charge = Charge::new(self.charge.account().clone());
        charge.force(bytes.len());
        let mut sending = Progress::start();
        let mut rest = bytes;
        while !rest.is_empty() {
            let since = sending.since.into_std();
            self.charge.account().set_awaited_since(Some(since));
            let written = timeout_at(sending.deadline(&self.cfg), self.stream.write(rest)).await;
            let written = written.map_err(|_| StreamError::Stalled(CloseReason::Unread))??;
            if written == 0 {
                return Err(StreamError::Ended);
            }
            rest = &rest[written..];
            sending.add(written, &self.cfg);
        }
        self.charge.account().set_awaited_since(None);
        Ok(())
    }

    /// Sends the last bytes of a session, closes the sending direction, and drops what the caller
    /// sends until it closes too; all of it takes `within` at most.
    ///
    /// If bytes were left unread, the system would reset the connection, and the caller might miss
    /// the last ones. Returns whether they were sent.
    pub async fn finish(&mut self, bytes: &[u8], within: Duration) -> bool {
        self.buf = BytesMut::new();
        let mut sent = false;
        let finish = async {
            sent = self.send(bytes).await.is_ok();
            if sent && self.stream.shutdown().await.is_ok() {
                let mut dropped = [0; READ_BYTES];
                while self.stream.read(&mut dropped).await.is_ok_and(|n| n > 0) {}
            }
        };
        let _ = tokio::time::timeout(within, finish).await;
        sent
    }

    /// Closes the sending direction, after all that was written.
    ///
    /// # Errors
    ///
    /// Fails if the connection is broken.
    pub async fn shutdown(&mut self) -> io::Result<()> {
        self.stream.shutdown().await
    }
}
