//! How long a request waits for a token of its workspace's rate.

use std::time::Duration;

use crate::Cx;
use crate::admit::TokenWait;
use crate::entry::pending::PendingRequest;
use crate::session::Sessions;

/// A request waits for a token for its latency objective divided by this at most. A refusal after a
/// quarter of the objective costs its caller more than one at once, and the answer takes some time
/// to reach it.
const OBJECTIVE_DIVISOR: u32 = 5;

/// Returns how a request may wait for a token.
pub(crate) fn token_wait(cx: &Cx<'_>, sessions: &Sessions, pending: &PendingRequest) -> TokenWait {
    let refuse_at_once = cx.settings.room.refuse_over_rate;
    let session = sessions.get(pending.session);
    let rules = session.and_then(|session| session.route_rules.as_ref());
    let bound = rules.filter(|_| refuse_at_once);
    TokenWait {
        waited: cx.now.duration_since(pending.received_at),
        bound: bound.map_or(Duration::MAX, |rules| rules.objective / OBJECTIVE_DIVISOR),
        refuse_at_once,
    }
}
