//! Settings of capacity under pressure.

use serde::{Deserialize, Serialize};

/// Settings of capacity under pressure.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RoomSettings {
    /// Whether an owner starts no more at an instance than that has been shown to accept.
    pub limit_concurrency: bool,
    /// Whether queued requests run by priority, and those that miss their objective run last.
    ///
    /// Under overload, the latter are refused.
    pub rank_requests: bool,
    /// Whether a request over its rate is refused at once while others wait for a token in vain.
    ///
    /// On a route, any wait for a token then ends before a quarter of the objective.
    pub refuse_over_rate: bool,
    /// Whether an entry host limits how often it sends requests again.
    ///
    /// Hedged reads that are answered soon are then free of charge.
    pub limit_retries: bool,
}
