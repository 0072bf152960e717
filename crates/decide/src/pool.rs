//! The connection pool of one upstream.

use std::collections::VecDeque;
use std::time::Instant;

use model::{ConnId, HashMap, HashSet, WorkspaceId};

/// Whose requests a connection may run: those of one workspace, or with `None` those of all.
pub(crate) type PoolKey = Option<WorkspaceId>;

/// The connections of one traffic part to one upstream.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    /// Every connection, with the generation in which it was opened and its key.
    conns: HashMap<ConnId, (u64, PoolKey)>,
    /// The connections that are being opened.
    opening: HashMap<ConnId, PoolKey>,
    /// The idle connections, the most recently used at the back.
    idle: VecDeque<IdleConn>,
    /// Incremented to invalidate all connections opened before.
    generation: u64,
}

/// An idle connection.
#[derive(Debug)]
struct IdleConn {
    conn: ConnId,
    key: PoolKey,
    idle_since: Instant,
    /// When it has been idle for too long and is closed.
    close_at: Instant,
}

impl Pool {
    /// Adds a connection that is being opened.
    pub(crate) fn add_opening(&mut self, conn: ConnId, key: PoolKey) {
        self.conns.insert(conn, (self.generation, key.clone()));
        self.opening.insert(conn, key);
    }

    /// Marks a connection as open and idle; returns `false` if it must be closed instead.
    pub(crate) fn mark_open(&mut self, conn: ConnId, now: Instant, close_at: Instant) -> bool {
        self.opening.remove(&conn).is_some() && self.release(conn, now, close_at)
    }

    /// Checks out the most recently used idle connection of a key.
    pub(crate) fn check_out(&mut self, key: &PoolKey) -> Option<ConnId> {
        let index = self.idle.iter().rposition(|idle| idle.key == *key)?;
        self.idle.remove(index).map(|idle| idle.conn)
    }

    /// Removes the longest idle connection of any other key from the idle ones, to be closed;
    /// `kept` are keys whose connections stay.
    pub(crate) fn evict_other_key(
        &mut self,
        key: &PoolKey,
        kept: &HashSet<PoolKey>,
    ) -> Option<ConnId> {
        let is_spare = |idle: &IdleConn| idle.key != *key && !kept.contains(&idle.key);
        let index = self.idle.iter().position(is_spare)?;
        self.idle.remove(index).map(|idle| idle.conn)
    }

    /// Returns a connection to the pool; returns `false` if it must be closed instead.
    pub(crate) fn release(&mut self, conn: ConnId, since: Instant, close_at: Instant) -> bool {
        let Some((generation, key)) = self.conns.get(&conn) else {
            return false;
        };
        if *generation != self.generation {
            return false;
        }
        let key = key.clone();
        self.idle.push_back(IdleConn {
            conn,
            key,
            idle_since: since,
            close_at,
        });
        true
    }

    /// Removes a connection from the pool.
    pub(crate) fn remove(&mut self, conn: ConnId) {
        self.conns.remove(&conn);
        self.opening.remove(&conn);
        self.idle.retain(|idle| idle.conn != conn);
    }

    /// Removes and returns the connections that have been idle since `moment` or longer.
    pub(crate) fn remove_idle_since(&mut self, moment: Instant) -> Vec<ConnId> {
        let count = self.idle.partition_point(|idle| idle.idle_since <= moment);
        self.idle.drain(..count).map(|idle| idle.conn).collect()
    }

    /// Removes and returns the connections that have reached their idle timeout.
    pub(crate) fn remove_expired(&mut self, now: Instant) -> Vec<ConnId> {
        let count = self.idle.partition_point(|idle| idle.close_at <= now);
        self.idle.drain(..count).map(|idle| idle.conn).collect()
    }

    /// Removes and returns the longest idle connections, as many as the pool has over a limit.
    pub(crate) fn remove_surplus(&mut self, limit: usize) -> Vec<ConnId> {
        let excess = self.conns.len().saturating_sub(limit);
        let count = excess.min(self.idle.len());
        self.idle.drain(..count).map(|idle| idle.conn).collect()
    }

    /// Invalidates every connection; returns the idle ones to close now, while the others are
    /// closed on release.
    pub(crate) fn invalidate_all(&mut self) -> Vec<ConnId> {
        self.generation += 1;
        self.idle.drain(..).map(|idle| idle.conn).collect()
    }

    /// Returns when the next idle connection reaches its timeout.
    pub(crate) fn wake_at(&self) -> Option<Instant> {
        self.idle.front().map(|idle| idle.close_at)
    }

    /// Returns whether a connection of a key is idle.
    pub(crate) fn has_idle(&self, key: &PoolKey) -> bool {
        self.idle.iter().any(|idle| idle.key == *key)
    }

    /// Returns how many connections of a key are idle or being opened.
    pub(crate) fn ready_count(&self, key: &PoolKey) -> usize {
        let idle = self.idle.iter().filter(|idle| idle.key == *key).count();
        idle + self
            .opening
            .values()
            .filter(|opening| *opening == key)
            .count()
    }

    /// Returns how many connections are being opened.
    pub(crate) fn opening_count(&self) -> usize {
        self.opening.len()
    }

    /// Returns the number of connections: idle, in use and being opened.
    pub(crate) fn len(&self) -> usize {
        self.conns.len()
    }
}
