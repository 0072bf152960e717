//! Settings of failure detection, replacement of primaries and confirmation of writes.

use std::time::Duration;

use crate::authority::AuthorityKind;
use serde::{Deserialize, Serialize};

/// Settings of the table `group`, for each service's group of instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct GroupSettings {
    /// Who replaces a lost primary: instances, by their promises, or quorum, by its leader's orders.
    pub authority: AuthorityKind,
    /// How often a primary, and each instance that this host owns, is probed.
    #[serde(with = "humantime_serde")]
    pub probe_every: Duration,
    /// How often the other instances of a group are probed while the group is healthy.
    #[serde(with = "humantime_serde")]
    pub probe_others_every: Duration,
    /// Timeout of a probe, on the open connection and again on a new one.
    #[serde(with = "humantime_serde")]
    pub probe_timeout: Duration,
    /// How long an instance may refuse probes before it counts as down.
    #[serde(with = "humantime_serde")]
    pub refused_for: Duration,
    /// Lease of a claim on an instance's slots and connections; each probe renews it.
    #[serde(with = "humantime_serde")]
    pub claim_lease: Duration,
    /// How long an owner waits for the others to say that they still see a working primary.
    #[serde(with = "humantime_serde")]
    pub agree_wait: Duration,
    /// How long an owner pauses its attempt after another owner has reported a working primary.
    #[serde(with = "humantime_serde")]
    pub agree_pause: Duration,
    /// Delay between the starts of candidates of successive ranks.
    #[serde(with = "humantime_serde")]
    pub stagger: Duration,
    /// How long an owner waits after it has yielded to another candidate.
    #[serde(with = "humantime_serde")]
    pub stand_back: Duration,
    /// Timeout of a request for a promise, a promotion or an order to follow.
    #[serde(with = "humantime_serde")]
    pub order_timeout: Duration,
    /// Upper bound of the random backoff after a failed attempt; doubles with each.
    #[serde(with = "humantime_serde")]
    pub retry_pause: Duration,
    /// How long a group must be without a primary before an owner may become a candidate.
    #[serde(with = "humantime_serde")]
    pub absent_for: Duration,
    /// How long a replica's log may lag without progress before the replica counts as cut off.
    #[serde(with = "humantime_serde")]
    pub stalled_for: Duration,
    /// How long an instance may be in a term above the primary's before an election is held.
    #[serde(with = "humantime_serde")]
    pub split_for: Duration,
    /// Minimum time between two orders to follow for the same instance.
    #[serde(with = "humantime_serde")]
    pub follow_every: Duration,
    /// Hold-off after a service's second recent change of primary; doubles with each further one.
    #[serde(with = "humantime_serde")]
    pub hold_off: Duration,
    /// Upper bound of the hold-off while the service has no working primary.
    #[serde(with = "humantime_serde")]
    pub hold_off_lost: Duration,
    /// Upper bound of the hold-off while the primary still answers.
    #[serde(with = "humantime_serde")]
    pub hold_off_alive: Duration,
    /// How long a change of primary counts as recent.
    #[serde(with = "humantime_serde")]
    pub change_memory: Duration,
    /// How long a replica waits for a write to arrive before it answers that it lacks it.
    #[serde(with = "humantime_serde")]
    pub commit_poll: Duration,
    /// Pause before a replica that failed to answer is asked again whether it has a write.
    #[serde(with = "humantime_serde")]
    pub commit_retry: Duration,
    /// How long a host acknowledges commits without word from the consensus leader.
    ///
    /// `None` if it needs none. Used if `authority` is `quorum`; hosts of earlier versions must be
    /// upgraded first.
    #[serde(with = "humantime_serde")]
    pub ack_lease: Option<Duration>,
    /// Maximum age of an instance's status that is used to decide whether a write may be sent.
    #[serde(with = "humantime_serde")]
    pub known_for: Duration,
}

impl Default for GroupSettings {
    fn default() -> Self {
        Self {
            authority: AuthorityKind::default(),
            probe_every: Duration::from_millis(250),
            probe_others_every: Duration::from_millis(750),
            probe_timeout: Duration::from_millis(400),
            refused_for: Duration::from_secs(1),
            claim_lease: Duration::from_secs(3),
            agree_wait: Duration::from_millis(250),
            agree_pause: Duration::from_millis(500),
            stagger: Duration::from_millis(150),
            stand_back: Duration::from_millis(600),
            order_timeout: Duration::from_millis(300),
            retry_pause: Duration::from_millis(100),
            absent_for: Duration::from_millis(400),
            stalled_for: Duration::from_secs(2),
            split_for: Duration::from_secs(2),
            follow_every: Duration::from_millis(250),
            hold_off: Duration::from_millis(250),
            hold_off_lost: Duration::from_secs(2),
            hold_off_alive: Duration::from_secs(30),
            change_memory: Duration::from_secs(60),
            commit_poll: Duration::from_millis(200),
            commit_retry: Duration::from_millis(50),
            ack_lease: None,
            known_for: Duration::from_millis(1500),
        }
    }
}
