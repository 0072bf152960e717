//! Shares of upstreams that grant no claims: owners divide what is announced.

use std::time::{Duration, Instant};

use model::{Claim, InstanceStatus, Kind, Position, Request, Role};

use crate::owner::settings::Capacity;
use crate::owner::upstream::Upstream;
use crate::owner::wait::{Progress, WaitPolicy};
use crate::queue::Discipline;
use crate::relay::Bounce;
use crate::view::UpstreamView;
use crate::{Cx, View};

/// How long a share holds; each view renews it.
const SHARE_LEASE: Duration = Duration::from_secs(24 * 3600);

impl<Q: Discipline, W: WaitPolicy> Upstream<Q, W> {
    /// Takes this host's share of the connections, and the role that the view shows.
    ///
    /// Each owner may fill all slots: the upstream queues the little that is too much, and no
    /// slot stays free while one of the owners has work.
    pub(crate) fn take_share(&mut self, cx: &Cx<'_>, view: &View, seen: &UpstreamView) {
        debug_assert_eq!(cx.settings.owner.capacity, Capacity::Announced);
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
            lease: SHARE_LEASE,
        };
        self.claim = Some((claim, cx.now + SHARE_LEASE));
        let (role, term) = match &self.primary {
            Some((term, primary)) if *primary == self.id => (Role::Primary, *term),
            Some((term, _)) => (Role::Replica, *term),
            None => (Role::Replica, 0),
        };
        self.known = Some(Progress {
            status: InstanceStatus {
                role,
                term,
                position: Position::default(),
                lag: Duration::ZERO,
            },
            asked_at: cx.now,
            pace: None,
        });
    }

    /// Returns how a request may start: at the primary, or at a replica after a position.
    pub(crate) fn fit_by_position(
        &self,
        cx: &Cx<'_>,
        status: &InstanceStatus,
        req: &Request,
    ) -> Result<Option<(Position, Duration)>, Bounce> {
        let newest = req.floor.is_none() && req.max_age.is_none();
        if req.kind == Kind::Write || (req.transaction && !req.read_only) || newest {
            return self.fit_write(status).map(|()| None);
        }
        if status.role == Role::Primary {
            return Ok(None);
        }
        let Some(max_age) = req.max_age else {
            let floor = req.floor.unwrap_or_default();
            return Ok(Some((floor, req.timeout)));
        };
        let margin = cx.settings.owner.age_margin;
        let bound = self.bound(cx.now, max_age.saturating_sub(margin));
        let position = bound.ok_or(Bounce::Behind)?;
        let floor = req.floor.unwrap_or_default();
        Ok(Some((position.max(floor), req.timeout)))
    }

    /// Returns a position that has everything acknowledged before an age.
    fn bound(&self, now: Instant, age: Duration) -> Option<Position> {
        let (position, at) = self.reached?;
        (now.saturating_duration_since(at) <= age).then_some(position)
    }
}
