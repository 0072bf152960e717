//! One pooled connection to an upstream, which runs one request at a time.

use std::rc::Rc;

use decide::Event;
use decide::conn::ConnEvent;
use model::{ConnId, PartId};
use tokio::sync::mpsc;

use crate::adapter::{Adapter, LoginError, RunJob, Target, UpstreamConn};
use crate::input::Inboxes;
use crate::settings::UpstreamSettings;

/// Opens a connection and runs requests until the other end of the queue is dropped.
pub(crate) async fn run<A: Adapter>(
    conn: ConnId,
    target: Target,
    mut jobs: mpsc::UnboundedReceiver<RunJob>,
    cfg: Rc<UpstreamSettings>,
    inboxes: Inboxes,
    part: PartId,
) {
    let tell = |event| inboxes.event(part, Event::Conn(event));
    let mut upstream = match A::connect(&target, &cfg, cfg.connect_timeout).await {
        Ok(upstream) => upstream,
        Err(error) => {
            let upstream = &target.upstream;
            log::debug!("event=220 login-failed upstream={upstream} conn={conn} error={error}");
            let exhausted = matches!(error, LoginError::Exhausted);
            tell(ConnEvent::OpenFailed {
                conn,
                no_connections_left: exhausted,
            });
            return;
        }
    };
    tell(ConnEvent::Opened { conn });
    loop {
        let job = tokio::select! {
            job = jobs.recv() => job,
            () = upstream.ended() => {
                tell(ConnEvent::Lost { conn, request_sent: false });
                return;
            }
        };
        let Some(job) = job else {
            return;
        };
        let mut sent = false;
        let run = upstream.run(&job, cfg.max_answer_bytes, &mut sent);
        let outcome = tokio::time::timeout(job.timeout, run).await;
        match outcome.ok().flatten() {
            Some(outcome) => tell(ConnEvent::Done { conn, outcome }),
            None => {
                tell(ConnEvent::Lost {
                    conn,
                    request_sent: sent,
                });
                return;
            }
        }
    }
}
