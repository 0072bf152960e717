//! Capacity of upstreams that grant no claims: the owners divide the announced connections, and
//! replica reads wait for log positions.

use std::time::{Duration, Instant};

use model::{Claim, InstanceStatus, Kind, Position, Request, Role};

use crate::owner::replica_wait::{InstanceProgress, WaitPolicy};
use crate::owner::settings::CapacitySource;
use crate::owner::upstream::Upstream;
use crate::queue::QueueDiscipline;
use crate::relay::Bounce;
use crate::view::UpstreamView;
use crate::{Cx, View};

/// Lease of a claim that is derived from an announcement; each view renews it.
const ANNOUNCED_CLAIM_LEASE: Duration = Duration::from_secs(24 * 3600);

impl<Q: QueueDiscipline, W: WaitPolicy> Upstream<Q, W> {
    /// Sets this host's claim (the slots and connections that it may use) to its share of the announced connections, and the upstream's role to
    /// the one in the view.
    ///
    /// Each owner may use all slots, so that none stays free while any owner has work; the upstream
    /// queues the small excess.
    pub(crate) fn apply_announced_capacity(
        &mut self,
        cx: &Cx<'_>,
        view: &View,
        seen: &UpstreamView,
    ) {
        debug_assert_eq!(cx.settings.owner.capacity, CapacitySource::Announced);
        let announced = seen.announcement.connections;
        let configured = view.config.services.get(&self.service);
        let configured = configured.map_or(0, |service| service.connections);
        let all = if announced > 0 { announced } else { configured };
        let all = all.saturating_sub(cx.settings.owner.spare_connections);
        let owners = u32::try_from(seen.owners.len().max(1)).unwrap_or(u32::MAX);
        let claim = Claim {
            host: cx.me.host.clone(),
            slots: seen.announcement.slots.max(1),
            connections: (all / owners).max(1),
            lease: ANNOUNCED_CLAIM_LEASE,
        };
        self.claim = Some((claim, cx.now + ANNOUNCED_CLAIM_LEASE));
        let (role, term) = match &self.primary {
            Some((term, primary)) if *primary == self.id => (Role::Primary, *term),
            Some((term, _)) => (Role::Replica, *term),
            None => (Role::Replica, 0),
        };
        self.progress = Some(InstanceProgress {
            status: InstanceStatus {
                role,
                term,
                position: Position::default(),
                lag: Duration::ZERO,
            },
            asked_at: cx.now,
            log_bytes_per_s: None,
        });
    }

    /// Returns how a request may start on this upstream: at once (`None`), or after a replica has
    /// reached the given position within the given time.
    pub(crate) fn start_condition_by_position(
        &self,
        cx: &Cx<'_>,
        status: &InstanceStatus,
        req: &Request,
    ) -> Result<Option<(Position, Duration)>, Bounce> {
        let reads_newest = req.floor.is_none() && req.max_age.is_none();
        if req.kind == Kind::Write
            || (req.in_transaction && !req.read_only_transaction)
            || reads_newest
        {
            return self.check_takes_writes(status).map(|()| None);
        }
        if status.role == Role::Primary {
            return Ok(None);
        }
        let Some(max_age) = req.max_age else {
            let floor = req.floor.unwrap_or_default();
            return Ok(Some((floor, req.timeout)));
        };
        let margin = cx.settings.owner.age_margin;
        let position = self.position_within_age(cx.now, max_age.saturating_sub(margin));
        let position = position.ok_or(Bounce::Behind)?;
        let floor = req.floor.unwrap_or_default();
        Ok(Some((position.max(floor), req.timeout)))
    }

    /// Returns a position that covers every write acknowledged more than `age` ago, if one is known.
    fn position_within_age(&self, now: Instant, age: Duration) -> Option<Position> {
        let (position, at) = self.primary_position?;
        (now.saturating_duration_since(at) <= age).then_some(position)
    }
}
