//! Settings of failure detection, replacement of primaries and confirmation of writes.

use std::time::Duration;

use crate::authority::AuthorityKind;
use serde::{Deserialize, Serialize};

/// Settings of this feature.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct GroupSettings {
    /// Who replaces a lost primary: instances, by their promises, or quorum, by its leader's orders.
    pub authority: AuthorityKind,
    /// How often a primary, and each instance that this host owns, is asked for its status.
    #[serde(with = "humantime_serde")]
    pub probe_every: Duration,
    /// How often the other instances of a group in good order are asked.
    #[serde(with = "humantime_serde")]
    pub probe_others_every: Duration,
    /// How long a probe may take, on the open connection and again on a new one.
    #[serde(with = "humantime_serde")]
    pub probe_timeout: Duration,
    /// How long an instance may refuse probes before it counts as down.
    #[serde(with = "humantime_serde")]
    pub refused_for: Duration,
    /// How long a claim on an instance's capacity lasts.
    #[serde(with = "humantime_serde")]
    pub claim_lease: Duration,
    /// How long other owners may take to say that they still see the primary.
    #[serde(with = "humantime_serde")]
    pub agree_wait: Duration,
    /// How long a candidate stops after another owner has said so.
    #[serde(with = "humantime_serde")]
    pub agree_pause: Duration,
    /// By how much a candidate of the next rank starts later.
    #[serde(with = "humantime_serde")]
    pub stagger: Duration,
    /// How long an owner leaves the field to another candidate.
    #[serde(with = "humantime_serde")]
    pub stand_back: Duration,
    /// How long an answer to a promise, promotion or order to follow may take.
    #[serde(with = "humantime_serde")]
    pub order_timeout: Duration,
    /// The longest first pause after an attempt that failed; doubles with each.
    #[serde(with = "humantime_serde")]
    pub retry_pause: Duration,
    /// How long a group may seem to lack a primary before an owner stands as candidate.
    #[serde(with = "humantime_serde")]
    pub absent_for: Duration,
    /// How long a replica may stand still behind its primary before it counts as cut off from it.
    #[serde(with = "humantime_serde")]
    pub stalled_for: Duration,
    /// How long an instance may stay in a term above the primary's before a new term takes it in.
    #[serde(with = "humantime_serde")]
    pub split_for: Duration,
    /// The shortest time between two orders to follow for one instance.
    #[serde(with = "humantime_serde")]
    pub follow_every: Duration,
    /// How long a service is left alone after a second change of its primary; doubles with each.
    #[serde(with = "humantime_serde")]
    pub hold_off: Duration,
    /// The longest such time where the primary is lost.
    #[serde(with = "humantime_serde")]
    pub hold_off_lost: Duration,
    /// The longest such time where the primary still answers.
    #[serde(with = "humantime_serde")]
    pub hold_off_alive: Duration,
    /// How long a change of primary is held against a service.
    #[serde(with = "humantime_serde")]
    pub change_memory: Duration,
    /// How long a replica holds back its answer to the question whether it has a write.
    #[serde(with = "humantime_serde")]
    pub commit_poll: Duration,
    /// The pause before a replica that failed to answer is asked again.
    #[serde(with = "humantime_serde")]
    pub commit_retry: Duration,
    /// How long an instance's status counts when a write is about to be sent.
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
            known_for: Duration::from_millis(1500),
        }
    }
}
