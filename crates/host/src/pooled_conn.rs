//! The task of one pooled connection to an upstream, which runs one request at a time.

use std::rc::Rc;

use decide::Event;
use decide::conn::{ConnEvent, LossReason};
use model::{ConnId, PartId};
use tokio::sync::mpsc;

use crate::adapter::{Adapter, AnswerMeter, LoginError, RunJob, UpstreamConn, UpstreamTarget};
use crate::conn_budget::Budget;
use crate::inbox::Inboxes;
use crate::settings::UpstreamSettings;

/// Opens a connection and runs requests until the sender of `jobs` is dropped or it breaks.
pub(crate) async fn run<A: Adapter>(
    conn: ConnId,
    target: UpstreamTarget,
    mut jobs: mpsc::UnboundedReceiver<RunJob>,
    cfg: Rc<UpstreamSettings>,
    budget: Budget,
    inboxes: Inboxes,
    part: PartId,
) {
    let report = |event| inboxes.send_event(part, Event::Conn(event));
    let mut upstream = match A::connect(&target, &cfg, cfg.connect_timeout).await {
        Ok(upstream) => upstream,
        Err(error) => {
            let upstream = &target.upstream;
            log::debug!("event=220 login-failed upstream={upstream} conn={conn} error={error}");
            let exhausted = matches!(error, LoginError::Exhausted);
            report(ConnEvent::OpenFailed {
                conn,
                no_connections_left: exhausted,
            });
            return;
        }
    };
    report(ConnEvent::Opened { conn });
    loop {
        let job = tokio::select! {
            job = jobs.recv() => job,
            reason = upstream.closed() => {
                report(ConnEvent::Lost { conn, request_sent: false, reason });
                return;
            }
        };
        let Some(job) = job else {
            return;
        };
        let mut sent = false;
        // A larger answer than the budget ever allows would wait until the timeout.
        let limit = cfg.max_answer_bytes.min(budget.pool().largest());
        let mut meter = AnswerMeter::new(limit, budget.charge());
        let run = upstream.run(&job, &mut meter, &mut sent);
        let outcome = tokio::time::timeout(job.timeout, run).await;
        match outcome.unwrap_or(Err(LossReason::TimedOut)) {
            Ok(mut outcome) => {
                outcome.payload = meter.attach(outcome.payload);
                report(ConnEvent::Done { conn, outcome });
            }
            Err(reason) => {
                report(ConnEvent::Lost {
                    conn,
                    request_sent: sent,
                    reason,
                });
                return;
            }
        }
    }
}
