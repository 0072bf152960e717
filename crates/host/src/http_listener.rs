//! Accepts the connections of an HTTP listener, and bounds their number, time and memory.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinSet};

use crate::conn_budget::{Budget, CloseReason};
use crate::inbox::join_or_abort;
use crate::metered_io::MeteredIo;

/// Pause after a failed accept, such as when the process has no file descriptors left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How often a connection whose time is over is checked for the end of its call.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A connection that is served.
struct Served {
    task: AbortHandle,
    /// Whether a call is in progress on it.
    in_call: Arc<AtomicBool>,
}

/// Serves each accepted connection with `handle` until the host stops: for `lifetime`, or until the
/// end of the call that is then in progress.
pub async fn serve<F, H>(
    listener: TcpListener,
    budget: Budget,
    lifetime: Duration,
    mut stop: watch::Receiver<bool>,
    handle: H,
) where
    F: Future<Output = ()> + Send + 'static,
    H: Fn(MeteredIo) -> F,
{
    let mut tasks = JoinSet::new();
    let mut served: VecDeque<Served> = VecDeque::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = tasks.join_next() => continue,
            _ = stop.wait_for(|stop| *stop) => break,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        served.retain(|served| !served.task.is_finished());
        if served.len() >= budget.cfg().max_calls {
            close_oldest(&mut served, &budget);
            // Its descriptor is open until its task has ended.
            while tasks.len() >= budget.cfg().max_calls && tasks.join_next().await.is_some() {}
        }
        let in_call = Arc::new(AtomicBool::new(false));
        let task = tasks.spawn(serve_one(
            stream,
            budget.clone(),
            lifetime,
            in_call.clone(),
            &handle,
        ));
        served.push_back(Served { task, in_call });
    }
    join_or_abort(tasks).await;
}

/// Closes the connection that was accepted first of those without a call, or else of all.
fn close_oldest(served: &mut VecDeque<Served>, budget: &Budget) {
    let is_idle = |served: &Served| !served.in_call.load(Ordering::Relaxed);
    let oldest = served.iter().position(is_idle).unwrap_or(0);
    if let Some(closed) = served.remove(oldest) {
        closed.task.abort();
        budget.note_closed(CloseReason::ConnectionsFull, 0);
    }
}

/// Serves a connection until it ends, its time is over or it must free its memory.
fn serve_one<F, H>(
    stream: TcpStream,
    budget: Budget,
    lifetime: Duration,
    in_call: Arc<AtomicBool>,
    handle: &H,
) -> impl Future<Output = ()> + Send + 'static + use<F, H>
where
    F: Future<Output = ()> + Send + 'static,
    H: Fn(MeteredIo) -> F,
{
    let conn = budget.open();
    let serving = handle(MeteredIo::new(stream, &conn, in_call.clone()));
    let call_timeout = budget.cfg().call_timeout;
    async move {
        let over = async {
            tokio::time::sleep(lifetime).await;
            let idle = async {
                while in_call.load(Ordering::Relaxed) {
                    tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
                }
            };
            let _ = tokio::time::timeout(call_timeout, idle).await;
        };
        tokio::select! {
            () = serving => {}
            () = over => {}
            reason = conn.closed() => conn.note_closed(reason),
        }
    }
}
