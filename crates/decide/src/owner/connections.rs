//! Opens and closes pooled connections to an upstream.
//!
//! - Claim: the slots and connections of an upstream that this host may use until a lease ends,
//!   granted by the upstream.
//! - `CapacitySource::Claimed`: instances grant claims and are asked for statuses; `Announced`:
//!   owners work out their shares from announcements, the upstream refuses by itself, and each
//!   answer carries its position.
//! - Pool key: the workspace whose requests a connection serves, or none if all share it.

use std::time::Instant;

use model::{ConnId, HashSet};

use crate::owner::SharedState;
use crate::owner::log_event::OwnerLogEvent;
use crate::owner::replica_wait::WaitPolicy;
use crate::owner::settings::{CapacitySource, OwnerSettings};
use crate::owner::upstream::Upstream;
use crate::pool::PoolKey;
use crate::queue::{QueueDiscipline, RequestQueue};
use crate::{Cx, Effect};

impl<Q: QueueDiscipline, W: WaitPolicy> Upstream<Q, W> {
    /// Closes a connection on which no request runs, and removes it from the pool.
    pub(crate) fn close_conn(
        &mut self,
        cx: &mut Cx<'_>,
        shared: &mut SharedState,
        conn: ConnId,
        reason: &'static str,
    ) {
        self.pool.remove(conn);
        shared.upstream_of_conn.remove(&conn);
        cx.emit(Effect::CloseConn(conn));
        let upstream = self.id.clone();
        cx.log(OwnerLogEvent::ConnClosed {
            upstream,
            conn,
            reason,
        });
    }

    /// Closes the idle connections now and the busy ones when they are released.
    pub(crate) fn replace_connections(&mut self, cx: &mut Cx<'_>, shared: &mut SharedState) {
        for conn in self.pool.invalidate_all() {
            self.close_conn(cx, shared, conn, "replaced");
        }
    }

    /// Closes idle connections beyond the claim, and those that have reached `idle_timeout`.
    pub(crate) fn trim_pool(&mut self, cx: &mut Cx<'_>, shared: &mut SharedState) {
        let limit = self
            .active_claim(cx.now)
            .map_or(0, |claim| claim.connections);
        for conn in self.pool.remove_surplus(limit as usize) {
            self.close_conn(cx, shared, conn, "over-claim");
        }
        for conn in self.pool.remove_expired(cx.now) {
            self.close_conn(cx, shared, conn, "unused");
        }
    }

    /// Returns the pool keys that need more connections for the queue, with their number.
    fn missing_conns(&self, now: Instant, settings: &OwnerSettings) -> Vec<(PoolKey, usize)> {
        let Some(claim) = self.active_claim(now) else {
            return Vec::new();
        };
        if !self.accepts_work(now) {
            return Vec::new();
        }
        let free_slots = (claim.slots as usize).saturating_sub(self.running.len());
        // In order of the queue, so that no key is served first for its name.
        let mut wanted: Vec<(PoolKey, usize)> = Vec::new();
        if settings.capacity == CapacitySource::Claimed {
            let count = self.queue.len().min(free_slots);
            wanted.push((None, count.max(settings.warm_connections as usize)));
        } else {
            for job in self.queue.items().filter(|job| job.run.pin.is_none()) {
                let key = settings.pool_key(&job.run.req);
                match wanted.iter_mut().find(|(other, _)| *other == key) {
                    Some((_, count)) => *count = (*count + 1).min(free_slots.max(1)),
                    None => wanted.push((key, 1)),
                }
            }
        }
        let missing = wanted.into_iter().map(|(key, wanted)| {
            let missing = wanted.saturating_sub(self.pool.ready_count(&key));
            (key, missing)
        });
        missing.filter(|(_, missing)| *missing > 0).collect()
    }

    /// Opens missing connections, as the claim, the backoff and the circuit breaker allow.
    pub(crate) fn open_missing_conns(&mut self, cx: &mut Cx<'_>, shared: &mut SharedState) {
        let settings = &cx.settings.owner;
        let missing_by_key = self.missing_conns(cx.now, settings);
        self.next_open_at = self.next_open_at.filter(|after| cx.now < *after);
        if missing_by_key.is_empty() || self.next_open_at.is_some() {
            return;
        }
        if self.breaker.is_open() && !self.breaker.allow(cx.now, &settings.breaker) {
            return;
        }
        let half_open = self.breaker.is_half_open();
        let opens = self.usable_opens(cx);
        let kept = self.keys_to_keep(cx);
        for (key, missing) in missing_by_key {
            for _ in 0..missing {
                let opening = self.pool.opening_count();
                if (half_open && opening > 0)
                    || opening >= opens
                    || !self.make_room(cx, shared, &key, &kept)
                {
                    return;
                }
                self.open_conn(cx, shared, key.clone());
            }
        }
    }

    /// Returns how many connections may be opened at a time, since each takes a slot meanwhile.
    fn usable_opens(&self, cx: &Cx<'_>) -> usize {
        match cx.settings.room.limit_concurrency {
            true => self.limit.allowed_opens(cx.now, self.claimed_slots(cx.now)) as usize,
            false => usize::MAX,
        }
    }

    /// Returns the pool keys that queued requests wait for: an idle connection of theirs is about
    /// to be used, and would have to be opened again if it were closed for another key.
    fn keys_to_keep(&self, cx: &Cx<'_>) -> HashSet<PoolKey> {
        let settings = &cx.settings.owner;
        let queued = self
            .queue
            .items()
            .filter(|_| cx.settings.room.limit_concurrency);
        queued.map(|job| settings.pool_key(&job.run.req)).collect()
    }

    /// Returns whether one more connection may be opened; at the claim's limit, closes an idle
    /// connection of another key for it, but none of those to keep.
    fn make_room(
        &mut self,
        cx: &mut Cx<'_>,
        shared: &mut SharedState,
        key: &PoolKey,
        kept: &HashSet<PoolKey>,
    ) -> bool {
        let limit = self
            .active_claim(cx.now)
            .map_or(0, |claim| claim.connections);
        if self.pool.len() < limit as usize {
            return true;
        }
        let Some(conn) = self.pool.evict_other_key(key, kept) else {
            return false;
        };
        self.close_conn(cx, shared, conn, "other-workspace");
        true
    }

    fn open_conn(&mut self, cx: &mut Cx<'_>, shared: &mut SharedState, key: PoolKey) {
        let conn = shared.new_conn_id(cx, &self.id);
        self.pool.add_opening(conn, key.clone());
        cx.emit(Effect::OpenConn {
            conn,
            upstream: self.id.clone(),
            addr: self.addr,
            service: self.service.clone(),
            workspace: key,
        });
    }
}
