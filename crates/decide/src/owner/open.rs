//! Opens and closes connections to an upstream.

use std::collections::BTreeMap;
use std::time::Instant;

use model::ConnId;

use crate::owner::Shared;
use crate::owner::log_event::OwnerLogEvent;
use crate::owner::settings::{Capacity, OwnerSettings};
use crate::owner::upstream::Upstream;
use crate::owner::wait::WaitPolicy;
use crate::pool::Lane;
use crate::queue::{Discipline, Queue};
use crate::{Cx, Effect};

impl<Q: Discipline, W: WaitPolicy> Upstream<Q, W> {
    /// Closes a connection that runs nothing.
    pub(crate) fn close(
        &mut self,
        cx: &mut Cx<'_>,
        shared: &mut Shared,
        conn: ConnId,
        reason: &'static str,
    ) {
        self.pool.remove(conn);
        shared.conns.remove(&conn);
        cx.emit(Effect::CloseConn(conn));
        let upstream = self.id.clone();
        cx.log(OwnerLogEvent::ConnClosed {
            upstream,
            conn,
            reason,
        });
    }

    /// Closes the free connections and marks the others as ones to close.
    pub(crate) fn replace_connections(&mut self, cx: &mut Cx<'_>, shared: &mut Shared) {
        for conn in self.pool.renew() {
            self.close(cx, shared, conn, "replaced");
        }
    }

    /// Closes connections over the claim, and those that nobody has needed for long.
    pub(crate) fn trim(&mut self, cx: &mut Cx<'_>, shared: &mut Shared) {
        let limit = self.held(cx.now).map_or(0, |claim| claim.connections);
        for conn in self.pool.surplus(limit as usize) {
            self.close(cx, shared, conn, "over-claim");
        }
        for conn in self.pool.unused(cx.now) {
            self.close(cx, shared, conn, "unused");
        }
    }

    /// Returns the lanes that lack connections, and how many.
    fn lacking(&self, now: Instant, settings: &OwnerSettings) -> Vec<(Lane, usize)> {
        let Some(claim) = self.held(now) else {
            return Vec::new();
        };
        if !self.open_for_work(now) {
            return Vec::new();
        }
        let free_slots = (claim.slots as usize).saturating_sub(self.running.len());
        let mut wanted: BTreeMap<Lane, usize> = BTreeMap::new();
        if settings.capacity == Capacity::Claimed {
            let count = self.queue.len().min(free_slots);
            wanted.insert(None, count.max(settings.warm_connections as usize));
        } else {
            for job in self.queue.items().filter(|job| job.run.pin.is_none()) {
                let count = wanted.entry(settings.lane(&job.run.req)).or_default();
                *count = (*count + 1).min(free_slots.max(1));
            }
        }
        let missing = wanted.into_iter().map(|(lane, wanted)| {
            let missing = wanted.saturating_sub(self.pool.ready(&lane));
            (lane, missing)
        });
        missing.filter(|(_, missing)| *missing > 0).collect()
    }

    /// Opens the connections that are lacking.
    pub(crate) fn open_more(&mut self, cx: &mut Cx<'_>, shared: &mut Shared) {
        let settings = &cx.settings.owner;
        let lacking = self.lacking(cx.now, settings);
        self.open_after = self.open_after.filter(|after| cx.now < *after);
        if lacking.is_empty() || self.open_after.is_some() {
            return;
        }
        if self.breaker.is_open() && !self.breaker.allow(cx.now, &settings.breaker) {
            return;
        }
        let on_trial = self.breaker.is_on_trial();
        for (lane, missing) in lacking {
            for _ in 0..missing {
                if (on_trial && self.pool.openings() > 0) || !self.make_room(cx, shared, &lane) {
                    return;
                }
                self.open_one(cx, shared, lane.clone());
            }
        }
    }

    /// Returns whether one more connection may be opened, and closes one of another lane for it.
    fn make_room(&mut self, cx: &mut Cx<'_>, shared: &mut Shared, lane: &Lane) -> bool {
        let limit = self.held(cx.now).map_or(0, |claim| claim.connections);
        if self.pool.len() < limit as usize {
            return true;
        }
        let Some(conn) = self.pool.take_other(lane) else {
            return false;
        };
        self.close(cx, shared, conn, "other-workspace");
        true
    }

    fn open_one(&mut self, cx: &mut Cx<'_>, shared: &mut Shared, lane: Lane) {
        let conn = shared.next_conn(cx, &self.id);
        self.pool.opening(conn, lane.clone());
        cx.emit(Effect::OpenConn {
            conn,
            upstream: self.id.clone(),
            addr: self.addr,
            service: self.service.clone(),
            workspace: lane,
        });
    }
}
