//! Settings of the choice of instances and owners.

use serde::{Deserialize, Serialize};

/// Settings of the choice of instances and owners; each feature is off by default.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BalanceSettings {
    /// Whether a workspace's requests for an instance go to the same owner while that is usable.
    pub preferred_owner: bool,
}
