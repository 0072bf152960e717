//! What upstreams announce and report of themselves, and the shares of them that owners claim.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{DataCentreId, HostId, Incarnation, Position, ServiceId, Term, UpstreamId};

/// Role of an upstream in its service's replication.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Accepts writes, in the term for which it was promoted.
    Primary,
    /// Copies the log of a primary and answers reads.
    Replica,
}

/// Longest name of an upstream, a service or a data centre in an announcement, in bytes.
pub const NAME_BYTES_MAX: usize = 256;
/// Highest sequence of an announcement; a withdrawal raises it further.
pub const SEQUENCE_MAX: u64 = u64::MAX / 2;

/// Why an announcement is refused: nothing can be reached by it, or no later one could replace it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadAnnouncement {
    /// The address is not that of one host, or its port is 0.
    #[error("no connection can be made to the address")]
    Address,
    /// A name is empty, longer than [`NAME_BYTES_MAX`] or holds white space or control characters.
    #[error("a name is empty, too long or not printable")]
    Name,
    /// The sequence is so high that the upstream's next announcements would be ignored.
    #[error("the sequence is too high")]
    Sequence,
    /// The start is in the future, so that the upstream's next announcements would be ignored.
    #[error("the start is in the future")]
    Incarnation,
}

/// What an upstream announces of itself, and repeats before its announcement expires.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// The service that it belongs to.
    pub service: ServiceId,
    /// Address on which it accepts connections.
    pub addr: SocketAddr,
    /// The data centre in which it runs.
    pub data_centre: DataCentreId,
    /// Number of instances that its service has in all, running or not; a majority is more than
    /// half of it.
    pub group_size: u8,
    /// Number of statements that it runs at a time.
    pub slots: u32,
    /// Number of connections that it accepts from all hosts together; 0 if not announced.
    pub connections: u32,
    /// Which start of the upstream this is; announcements of a later one replace those of earlier
    /// ones. 0 if not announced.
    #[serde(default)]
    pub incarnation: Incarnation,
    /// Rises with each announcement of one incarnation, so that the newest replaces the others.
    pub sequence: u64,
    /// The role that the upstream believes to have; `None` if not announced.
    #[serde(default)]
    pub role: Option<Role>,
    /// Whether it is warming up after its start; others with the same position are promoted first.
    #[serde(default)]
    pub warming: bool,
    /// Whether it will leave: it finishes its work, gets no new reads unless it is the primary, and
    /// is replaced as primary.
    #[serde(default)]
    pub draining: bool,
    /// Whether it is shutting down now and accepts no new work.
    pub leaving: bool,
}

impl Announcement {
    /// Checks what every announcement must fulfil, whatever protocol it came by.
    ///
    /// # Errors
    ///
    /// Returns the first reason to refuse it.
    pub fn check(&self) -> Result<(), BadAnnouncement> {
        let ip = self.addr.ip();
        if self.addr.port() == 0 || ip.is_unspecified() || ip.is_multicast() {
            return Err(BadAnnouncement::Address);
        }
        let printable = |c: char| !c.is_whitespace() && !c.is_control();
        let names = [&self.upstream, &self.service, &self.data_centre];
        let good =
            |name: &str| (1..=NAME_BYTES_MAX).contains(&name.len()) && name.chars().all(printable);
        if !names.iter().all(|name| good(name)) {
            return Err(BadAnnouncement::Name);
        }
        if self.sequence > SEQUENCE_MAX {
            return Err(BadAnnouncement::Sequence);
        }
        Ok(())
    }

    /// Returns whether the upstream is to be replaced as primary, and not to become one.
    pub fn will_leave(&self) -> bool {
        self.draining || self.leaving
    }

    /// Returns a value that rises with each announcement of one upstream, also across restarts.
    pub fn recency(&self) -> (Incarnation, u64) {
        (self.incarnation, self.sequence)
    }
}

/// State that an upstream reports when it is queried.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// Its role at present.
    pub role: Role,
    /// The highest term that it has promised or served in.
    pub term: Term,
    /// The end of its own log.
    pub position: Position,
    /// For a replica, the time since it last had all that its primary had.
    pub lag: Duration,
}

/// The share of an upstream's slots and connections that an owner may use until its lease ends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The owner that holds the claim.
    pub host: HostId,
    /// Number of statements that the owner may run on the upstream at a time.
    pub slots: u32,
    /// Number of connections that the owner may hold open.
    pub connections: u32,
    /// Time for which the claim holds, counted from when the owner asked for it.
    pub lease: Duration,
}
