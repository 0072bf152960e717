//! Accepts callers and other hosts, and passes each connection to the part that serves it.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use model::{CONTROL_PART, FIRST_TRAFFIC_PART, PartId};
use peer::frame::{FRAME_VERSION, LinkHello};
use subtle::ConstantTimeEq;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, watch};
use tokio::task::{AbortHandle, JoinSet};

use crate::conn_budget::{Budget, CloseReason};
use crate::inbox::{Inboxes, Input};
use crate::link_reader::read_hello;
use crate::logs;
use crate::settings::Secret;
use crate::socket_options;

/// Pause after a failed accept, such as when the process has no file descriptors left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Maximum number of callers that were accepted and that no traffic part has started to serve, or
/// in whose place another one is being closed.
///
/// Further ones wait in the system's queue: it is this thread that accepts, and without a bound it
/// would take all descriptors while the traffic threads are busy.
const MAX_NOT_STARTED: usize = 32;

/// Accepts callers until the host stops, and assigns them to the traffic parts in turn.
pub(crate) async fn accept_callers(
    listener: TcpListener,
    inboxes: Inboxes,
    mut stop: watch::Receiver<bool>,
) {
    let mut turn = 0;
    let not_started = Arc::new(Semaphore::new(MAX_NOT_STARTED));
    loop {
        let accept = async {
            let permit = not_started.clone().acquire_owned().await;
            (listener.accept().await, permit)
        };
        let (accepted, permit) = tokio::select! {
            accepted = accept => accepted,
            _ = stop.wait_for(|stop| *stop) => return,
        };
        // The semaphore is never closed.
        let Ok(permit) = permit else { return };
        let Some(stream) = accepted.ok().and_then(|(stream, _)| stream.into_std().ok()) else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let part = FIRST_TRAFFIC_PART + turn % (inboxes.part_count() - 1);
        turn = turn.wrapping_add(1);
        inboxes.send(part, Input::CallerConnected(stream, permit));
    }
}

/// Accepts links from other hosts until the host stops, once their hello has passed the check.
pub(crate) async fn accept_peers(
    listener: TcpListener,
    inboxes: Inboxes,
    secret: Secret,
    budget: Budget,
    mut stop: watch::Receiver<bool>,
) {
    let mut hellos = JoinSet::new();
    let mut oldest_first: VecDeque<AbortHandle> = VecDeque::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = hellos.join_next() => continue,
            _ = stop.wait_for(|stop| *stop) => break,
        };
        let Ok((stream, addr)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        oldest_first.retain(|hello| !hello.is_finished());
        if oldest_first.len() >= budget.cfg().max_hellos
            && let Some(oldest) = oldest_first.pop_front()
        {
            oldest.abort();
            budget.note_closed(CloseReason::ConnectionsFull, 0);
            // Its descriptor is open until its task has ended.
            while hellos.len() >= budget.cfg().max_hellos && hellos.join_next().await.is_some() {}
        }
        let (inboxes, secret) = (inboxes.clone(), secret.clone());
        let hello = hellos.spawn(async move {
            socket_options::set_options_or_warn(&stream);
            let Some((hello, stream, unread)) = read_hello(stream).await else {
                if logs::may_write(521) {
                    log::warn!("event=521 link-refused addr={addr} reason=bad-hello");
                }
                return;
            };
            if let Err(reason) = check_hello(&hello, &secret, &inboxes) {
                log::warn!("event=521 link-refused addr={addr} reason={reason}");
                return;
            }
            let Ok(stream) = stream.into_std() else {
                return;
            };
            let part = receiving_part(hello.from.part, &inboxes);
            let from = hello.from;
            inboxes.send(
                part,
                Input::PeerConnected {
                    stream,
                    unread,
                    from,
                },
            );
        });
        oldest_first.push_back(hello);
    }
    hellos.shutdown().await;
}

/// Returns the reason to refuse a link, as the log has it.
fn check_hello(hello: &LinkHello, secret: &Secret, inboxes: &Inboxes) -> Result<(), &'static str> {
    if hello.version != FRAME_VERSION {
        return Err("version");
    }
    let same: bool = hello.secret.as_bytes().ct_eq(secret.0.as_bytes()).into();
    if !same {
        return Err("secret");
    }
    if hello.to != *inboxes.host() {
        return Err("other-host");
    }
    Ok(())
}

/// Returns the part whose thread reads a link from the part `from` of another host.
///
/// Links of control parts are read by the control part, others by a traffic part if there is one.
fn receiving_part(from: PartId, inboxes: &Inboxes) -> PartId {
    let traffic = inboxes.part_count() - 1;
    if from == CONTROL_PART || traffic == 0 {
        return CONTROL_PART;
    }
    FIRST_TRAFFIC_PART + (from - FIRST_TRAFFIC_PART) % traffic
}
