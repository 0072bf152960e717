//! The lease by which traffic parts pass on acknowledgements of commits.
//!
//! With each round that a quorum confirms, the consensus leader grants the lease to all hosts and
//! lists the stops of acknowledgements that are in force. Hosts hand it on in the answers to
//! heartbeats. A host that the leader can't reach, or that has just started, thus passes on no
//! acknowledgement once the lease has run out, or learns of the stops with the next one.

use std::sync::Arc;
use std::time::{Duration, Instant};

use model::clock::{CLOCK_RATE_MARGIN_PER_MILLE, holder_lease};
use model::{ServiceId, Term};
use serde::{Deserialize, Serialize};

use crate::raft::RaftTerm;

/// Number of a start or an end of a stop: the leader's consensus term in the upper half, and a
/// count within that term in the lower.
pub type StopNumber = u64;

const COUNT_BITS: u32 = 32;

/// Returns the first number of a consensus term, which no start or end of a stop has.
pub fn first_number(term: RaftTerm) -> StopNumber {
    term << COUNT_BITS
}

/// Returns the consensus term of the leader that gave a number.
pub fn leader_term(number: StopNumber) -> RaftTerm {
    number >> COUNT_BITS
}

/// Numbers the starts and ends of stops, so that each list of stops has its own number.
#[derive(Debug, Default)]
pub(crate) struct StopNumbers {
    last: StopNumber,
}

impl StopNumbers {
    /// Raises the numbers to those of a leader's consensus term.
    pub(crate) fn set_leader_term(&mut self, term: RaftTerm) {
        self.last = self.last.max(first_number(term));
    }

    /// Returns the last number that was given.
    pub(crate) fn last(&self) -> StopNumber {
        self.last
    }

    /// Returns the next number.
    pub(crate) fn next(&mut self) -> StopNumber {
        self.last += 1;
        self.last
    }
}

/// All stops that the leader had in force when it granted a lease.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AckStopList {
    /// Number of the last start or end of a stop.
    pub number: StopNumber,
    /// The services with a stop, each with the highest term that it applies to.
    pub stops: Vec<(ServiceId, Term)>,
}

/// A lease as hosts hand it on, some 10 bytes while no stop is in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AckLeaseMsg {
    /// The consensus term of the leader that gave the list its number.
    pub leader_term: RaftTerm,
    /// The lower half of the list's number.
    pub count: u32,
    /// The services with a stop, each with the highest term that it applies to.
    pub stops: Vec<(ServiceId, Term)>,
    /// An upper bound of the milliseconds since the lease was granted.
    pub age_ms: u32,
    /// A short digest of all facts that the leader had.
    pub digest_summary: u32,
}

/// A lease that this host has received.
#[derive(Clone, Debug, PartialEq)]
pub struct AckLease {
    /// The stops in force when it was granted.
    pub list: Arc<AckStopList>,
    /// A moment not after the grant.
    pub granted_at: Instant,
    /// A short digest of all facts that the leader had.
    pub digest_summary: u32,
}

impl AckLease {
    /// Returns a lease from a message whose age counts from `since` or later.
    pub fn received(msg: AckLeaseMsg, since: Instant) -> Option<Self> {
        let age = Duration::from_millis(msg.age_ms.into());
        let list = AckStopList {
            number: first_number(msg.leader_term) + u64::from(msg.count),
            stops: msg.stops,
        };
        Some(Self {
            list: Arc::new(list),
            granted_at: since.checked_sub(age)?,
            digest_summary: msg.digest_summary,
        })
    }

    /// Returns whether it still permits acknowledgements, if it was granted for `time`.
    pub fn lasts(&self, now: Instant, time: Duration) -> bool {
        now < self.granted_at + holder_lease(time)
    }
}

/// The newest lease of a host.
#[derive(Clone, Debug)]
pub struct AckLeaseHolder {
    /// When the host started.
    started_at: Instant,
    lease: Option<AckLease>,
}

impl AckLeaseHolder {
    /// Returns the state of a host that has just started.
    pub fn new(started_at: Instant) -> Self {
        Self {
            started_at,
            lease: None,
        }
    }

    /// Returns the newest lease.
    pub fn lease(&self) -> Option<&AckLease> {
        self.lease.as_ref()
    }

    /// Adopts a lease if it is newer than the held one, and returns whether it is.
    ///
    /// One that may have been granted before this host started doesn't count: its stops may be
    /// older than one that the host has obeyed and forgotten.
    pub fn adopt(&mut self, mut lease: AckLease) -> bool {
        if lease.granted_at <= self.started_at {
            return false;
        }
        let rank = |lease: &AckLease| (lease.list.number, lease.granted_at);
        if let Some(held) = &self.lease {
            if rank(&lease) <= rank(held) {
                return false;
            }
            // The bound on the grant of an older list holds for a newer one, too.
            lease.granted_at = lease.granted_at.max(held.granted_at);
            if lease.list.number == held.list.number {
                lease.list = held.list.clone();
            }
        }
        self.lease = Some(lease);
        true
    }

    /// Returns the newest lease as a message.
    pub fn msg(&self, now: Instant) -> Option<AckLeaseMsg> {
        let lease = self.lease.as_ref()?;
        let elapsed = now.saturating_duration_since(lease.granted_at);
        let age = elapsed + elapsed * CLOCK_RATE_MARGIN_PER_MILLE / 1000;
        let number = lease.list.number;
        Some(AckLeaseMsg {
            leader_term: leader_term(number),
            count: u32::try_from(number - first_number(leader_term(number))).ok()?,
            stops: lease.list.stops.clone(),
            age_ms: u32::try_from(age.as_millis()).ok()?.checked_add(1)?,
            digest_summary: lease.digest_summary,
        })
    }
}
