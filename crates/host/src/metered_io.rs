//! A connection of an HTTP listener, whose unanswered bytes count against the byte budget.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use budget::Charge;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::conn_budget::ConnBudget;

/// An HTTP connection: what is received counts as buffered until something is sent.
///
/// A read fails if the budget does not allow its bytes, and once a call has taken too long.
#[derive(Debug)]
pub struct MeteredIo {
    stream: TcpStream,
    charge: Charge,
    /// Whether bytes were received that nothing was sent for yet.
    in_call: Arc<AtomicBool>,
    /// Ends the call that is in progress; its time starts with the first byte.
    deadline: Pin<Box<tokio::time::Sleep>>,
    call_timeout: Duration,
}

impl MeteredIo {
    /// Wraps an accepted connection; `in_call` says from then on whether a call is in progress.
    pub(crate) fn new(stream: TcpStream, budget: &ConnBudget, in_call: Arc<AtomicBool>) -> Self {
        let call_timeout = budget.budget().cfg().call_timeout;
        Self {
            stream,
            charge: budget.charge(),
            in_call,
            deadline: Box::pin(tokio::time::sleep(call_timeout)),
            call_timeout,
        }
    }

    fn in_call(&self) -> bool {
        self.in_call.load(Ordering::Relaxed)
    }

    /// Counts received bytes; the first ones start the time of a call.
    fn on_received(&mut self, bytes: usize) -> io::Result<()> {
        if !self.in_call() {
            let deadline = tokio::time::Instant::now() + self.call_timeout;
            self.deadline.as_mut().reset(deadline);
            self.in_call.store(true, Ordering::Relaxed);
        }
        self.charge
            .account()
            .set_awaited_since(Some(Instant::now()));
        let counted = self.charge.try_set(self.charge.bytes() + bytes);
        counted.map_err(|_| io::Error::from(io::ErrorKind::OutOfMemory))
    }

    fn on_sent(&mut self) {
        self.in_call.store(false, Ordering::Relaxed);
        self.charge.account().set_awaited_since(None);
        self.charge.force(0);
    }
}

impl AsyncRead for MeteredIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        match Pin::new(&mut self.stream).poll_read(cx, buf) {
            Poll::Ready(read) => {
                read?;
                let received = buf.filled().len() - before;
                Poll::Ready(match received {
                    0 => Ok(()),
                    _ => self.on_received(received),
                })
            }
            Poll::Pending if self.in_call() => {
                ready!(self.deadline.as_mut().poll(cx));
                Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
            }
            Poll::Pending => Poll::Pending,
        }
    }
}

impl AsyncWrite for MeteredIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, buf));
        self.on_sent();
        Poll::Ready(written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
