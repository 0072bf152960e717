//! The connections to one upstream, and which of them are free.

use std::collections::VecDeque;
use std::time::Instant;

use model::{ConnId, HashMap, WorkspaceId};

/// Whose requests a connection may run: those of one workspace, or those of all.
pub(crate) type Lane = Option<WorkspaceId>;

/// The connections of one part to one upstream.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    /// Every connection, with the generation that it was opened in and its lane.
    conns: HashMap<ConnId, (u64, Lane)>,
    opening: HashMap<ConnId, Lane>,
    /// The free connections, the one that was used last at the back.
    idle: VecDeque<Idle>,
    /// Rises when all connections of before are to be replaced.
    generation: u64,
}

/// A free connection.
#[derive(Debug)]
struct Idle {
    conn: ConnId,
    lane: Lane,
    since: Instant,
    /// When it is closed for want of use.
    until: Instant,
}

impl Pool {
    /// Adds a connection that is being opened.
    pub(crate) fn opening(&mut self, conn: ConnId, lane: Lane) {
        self.conns.insert(conn, (self.generation, lane.clone()));
        self.opening.insert(conn, lane);
    }

    /// Notes that a connection is open and free; returns whether it may be kept.
    pub(crate) fn opened(&mut self, conn: ConnId, now: Instant, until: Instant) -> bool {
        self.opening.remove(&conn).is_some() && self.release(conn, now, until)
    }

    /// Takes the free connection of a lane that was used last.
    pub(crate) fn take(&mut self, lane: &Lane) -> Option<ConnId> {
        let at = self.idle.iter().rposition(|idle| idle.lane == *lane)?;
        self.idle.remove(at).map(|idle| idle.conn)
    }

    /// Takes out the free connection of any other lane that has waited longest.
    pub(crate) fn take_other(&mut self, lane: &Lane) -> Option<ConnId> {
        let at = self.idle.iter().position(|idle| idle.lane != *lane)?;
        self.idle.remove(at).map(|idle| idle.conn)
    }

    /// Gives a connection back; returns whether it may be kept.
    pub(crate) fn release(&mut self, conn: ConnId, since: Instant, until: Instant) -> bool {
        let Some((generation, lane)) = self.conns.get(&conn) else {
            return false;
        };
        if *generation != self.generation {
            return false;
        }
        let lane = lane.clone();
        self.idle.push_back(Idle {
            conn,
            lane,
            since,
            until,
        });
        true
    }

    /// Forgets a connection.
    pub(crate) fn remove(&mut self, conn: ConnId) {
        self.conns.remove(&conn);
        self.opening.remove(&conn);
        self.idle.retain(|idle| idle.conn != conn);
    }

    /// Takes out the connections that have been free since a moment or longer.
    pub(crate) fn free_since(&mut self, moment: Instant) -> Vec<ConnId> {
        let count = self.idle.partition_point(|idle| idle.since <= moment);
        self.idle.drain(..count).map(|idle| idle.conn).collect()
    }

    /// Takes out the connections that nobody has needed for long.
    pub(crate) fn unused(&mut self, now: Instant) -> Vec<ConnId> {
        let count = self.idle.partition_point(|idle| idle.until <= now);
        self.idle.drain(..count).map(|idle| idle.conn).collect()
    }

    /// Takes out the free connections that have waited longest, as many as are over a limit.
    pub(crate) fn surplus(&mut self, limit: usize) -> Vec<ConnId> {
        let over = self.conns.len().saturating_sub(limit);
        let count = over.min(self.idle.len());
        self.idle.drain(..count).map(|idle| idle.conn).collect()
    }

    /// Marks every connection as one to replace, and takes out the free ones.
    pub(crate) fn renew(&mut self) -> Vec<ConnId> {
        self.generation += 1;
        self.idle.drain(..).map(|idle| idle.conn).collect()
    }

    /// Returns the moment at which the next connection is closed for want of use.
    pub(crate) fn wake_at(&self) -> Option<Instant> {
        self.idle.front().map(|idle| idle.until)
    }

    /// Returns whether a connection of a lane is free.
    pub(crate) fn has_idle(&self, lane: &Lane) -> bool {
        self.idle.iter().any(|idle| idle.lane == *lane)
    }

    /// Returns how many connections of a lane are free or being opened.
    pub(crate) fn ready(&self, lane: &Lane) -> usize {
        let idle = self.idle.iter().filter(|idle| idle.lane == *lane).count();
        idle + self
            .opening
            .values()
            .filter(|opening| *opening == lane)
            .count()
    }

    /// Returns how many connections are being opened.
    pub(crate) fn openings(&self) -> usize {
        self.opening.len()
    }

    /// Returns how many connections there are in all.
    pub(crate) fn len(&self) -> usize {
        self.conns.len()
    }
}
