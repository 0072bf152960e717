//! Dissemination of the lease by which acknowledgements are passed on, in answers to heartbeats.

use std::sync::Arc;
use std::time::Instant;

use model::{FIRST_TRAFFIC_PART, HostId};

use crate::ack_lease::{AckLease, AckLeaseMsg, AckStopList};
use crate::spread::Spread;
use crate::spread::link::Link;
use crate::{Cx, Effect, Event};

impl Spread {
    /// Returns the newest lease by which acknowledgements are passed on.
    pub fn ack_lease(&self) -> Option<&AckLease> {
        self.ack_lease.lease()
    }

    /// Grants the lease by which acknowledgements are passed on, as the consensus leader that a
    /// quorum has confirmed at the moment `at`.
    pub fn grant_ack_lease(&mut self, cx: &mut Cx<'_>, list: Arc<AckStopList>, at: Instant) {
        let lease = AckLease {
            list,
            granted_at: at,
            digest_summary: self.facts.digest().summary(),
        };
        self.adopt_ack_lease(cx, lease);
    }

    /// Hands a lease to the traffic parts of this host if it is newer than the last one.
    fn adopt_ack_lease(&mut self, cx: &mut Cx<'_>, lease: AckLease) {
        let leader_has_same_facts = lease.digest_summary == self.facts.digest().summary();
        if !self.ack_lease.adopt(lease) {
            return;
        }
        let Some(lease) = self.ack_lease.lease().cloned() else {
            return;
        };
        let end = FIRST_TRAFFIC_PART + self.me.traffic_parts;
        for part in FIRST_TRAFFIC_PART..end {
            let event = Box::new(Event::AckLease {
                lease: lease.clone(),
                leader_has_same_facts,
            });
            cx.emit(Effect::ForwardEvent { part, event });
        }
    }

    /// Handles the lease in the answer to a heartbeat, which `echo` names.
    pub(crate) fn on_ack_lease(
        &mut self,
        cx: &mut Cx<'_>,
        from: &HostId,
        echo: u32,
        lease: AckLeaseMsg,
    ) {
        let link = self.links.get(from);
        let since = link.and_then(|link| link.heartbeat_sent_at(echo));
        let lease = since.and_then(|since| AckLease::received(lease, since));
        if let Some(lease) = lease {
            self.adopt_ack_lease(cx, lease);
        }
    }

    /// Returns the lease to put into the answer to a heartbeat of a child, if there is one.
    ///
    /// A host hands leases on whatever its own setting is, so that control hosts can be set first.
    pub(crate) fn lease_for_child(&self, now: Instant, link: &Link) -> Option<Box<AckLeaseMsg>> {
        let lease = self.ack_lease.msg(now).filter(|_| link.is_child);
        lease.map(Box::new)
    }
}
