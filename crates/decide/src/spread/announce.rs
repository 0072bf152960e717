//! Announcements of upstreams: forwarded to the owners, which publish changes as facts.
//!
//! The platform is what runs the hosts and database instances for the operator.

use model::{Announcement, HostId, UpstreamId};

use crate::Cx;
use crate::spread::Spread;
use crate::spread::announcement_lease::{LeaseAction, SendTime};
use crate::spread::facts::{Fact, FactKey};
use crate::spread::msg::SpreadMsg;

/// Added to the last sequence by a withdrawal; more announcements than an upstream ever sends.
const WITHDRAWAL_SEQUENCE_OFFSET: u64 = 1 << 32;

impl Spread {
    /// Forwards an announcement that the platform gave to this host to the upstream's owners.
    pub fn announce(&mut self, cx: &mut Cx<'_>, announcement: Announcement) {
        let owners = self
            .tables
            .owners(&announcement.upstream, &announcement.data_centre);
        let sent = self.send_time_of_arrivals(cx);
        if owners.is_empty() {
            self.accept_announcement(cx, &announcement, sent);
        }
        for owner in owners {
            if owner == self.me.host {
                self.accept_announcement(cx, &announcement, sent);
            } else {
                let msg = SpreadMsg::Announce(Box::new(announcement.clone()));
                cx.send_control(&owner, msg);
            }
        }
        self.finish_event(cx);
    }

    /// Withdraws an upstream that the platform reports as gone, lapsed or not.
    ///
    /// The sequence is raised so that the withdrawal outranks all earlier announcements.
    pub fn withdraw(&mut self, cx: &mut Cx<'_>, upstream: &UpstreamId) {
        let known = self.upstream_fact(upstream).map(|(known, _)| known);
        if let Some(known) = known.filter(|known| !known.leaving) {
            let mut last = known.clone();
            last.sequence = last.sequence.saturating_add(WITHDRAWAL_SEQUENCE_OFFSET);
            last.leaving = true;
            self.announce(cx, last);
        }
    }

    /// Returns whether the last that is known of an upstream is that it has withdrawn.
    pub fn has_withdrawn(&self, upstream: &UpstreamId) -> bool {
        let known = self.upstream_fact(upstream);
        known.is_some_and(|(announcement, live)| announcement.leaving && !live)
    }

    /// Handles an announcement that another host has forwarded to this owner.
    ///
    /// An owner that has been asked for a renewal may pass on one that it has had for some time.
    pub(crate) fn on_announce(
        &mut self,
        cx: &mut Cx<'_>,
        from: &HostId,
        announcement: &Announcement,
    ) {
        let upstream = &announcement.upstream;
        let sent = if self.leases.is_renewal_asked(upstream) && self.is_owner(from, upstream) {
            SendTime::Unknown
        } else {
            self.send_time_of_arrivals(cx)
        };
        self.accept_announcement(cx, announcement, sent);
    }

    /// Returns what is known of when a message that is handled now was sent.
    ///
    /// While this host reads what arrived during a pause, that may be long ago.
    fn send_time_of_arrivals(&self, cx: &Cx<'_>) -> SendTime {
        let reads_backlog = self
            .resumed_at
            .is_some_and(|at| cx.now < at + cx.settings.spread.dead_after);
        if reads_backlog || self.was_paused(cx) {
            SendTime::Unknown
        } else {
            SendTime::JustNow
        }
    }

    /// Renews the lease of an announcement as an owner of the upstream.
    ///
    /// It publishes the announcement as a fact only if more than the sequence has changed.
    fn accept_announcement(
        &mut self,
        cx: &mut Cx<'_>,
        announcement: &Announcement,
        sent: SendTime,
    ) {
        let live = !announcement.leaving;
        let known = self.upstream_fact(&announcement.upstream);
        if known.is_some_and(|(known, live)| makes_outdated(known, live, announcement)) {
            return;
        }
        let changed = known.is_none_or(|(known, was_live)| {
            was_live != live || !same_but_sequence(known, announcement)
        });
        let lease = cx.settings.spread.announce_lease;
        if !self.leases.renew(announcement, sent, cx.now, lease) {
            return;
        }
        if changed {
            let announcement = announcement.clone();
            self.merge(cx, Fact::Upstream { announcement, live }, None);
        }
        if !live {
            self.leases.end(&announcement.upstream);
        }
    }

    /// Sends another owner a renewal later than `sequence`, if this host has received one.
    pub(crate) fn on_ask_renewal(
        &mut self,
        cx: &mut Cx<'_>,
        from: &HostId,
        upstream: &UpstreamId,
        sequence: u64,
    ) {
        if let Some(announcement) = self.leases.get(upstream)
            && announcement.sequence > sequence
        {
            let msg = SpreadMsg::Announce(Box::new(announcement.clone()));
            cx.send_control(from, msg);
        }
    }

    /// Asks other owners about renewals, and publishes the lapse of upstreams whose leases ended.
    pub(crate) fn check_leases(&mut self, cx: &mut Cx<'_>) {
        let lease = cx.settings.spread.announce_lease;
        while let Some(due) = self.leases.take_due_action(cx.now, lease) {
            match due {
                LeaseAction::AskRenewal(upstream, sequence) => {
                    self.ask_renewal(cx, upstream, sequence)
                }
                LeaseAction::Lapsed(announcement) => {
                    if self.owns(&announcement.upstream) {
                        let live = false;
                        self.merge(cx, Fact::Upstream { announcement, live }, None);
                    }
                }
            }
        }
    }

    fn ask_renewal(&mut self, cx: &mut Cx<'_>, upstream: UpstreamId, sequence: u64) {
        let Some(view) = self.tables.upstreams().get(&upstream) else {
            return;
        };
        for owner in view.owners.iter().filter(|owner| **owner != self.me.host) {
            let upstream = upstream.clone();
            cx.send_control(owner, SpreadMsg::AskRenewal { upstream, sequence });
        }
    }

    /// Grants fresh leases to upstreams that this host now owns, and ends those of the others.
    pub(crate) fn update_leases_of_moved_upstreams(&mut self, cx: &mut Cx<'_>) {
        let lease = cx.settings.spread.announce_lease;
        for upstream in self.tables.take_moved_upstreams() {
            let Some(view) = self.tables.upstreams().get(&upstream) else {
                continue;
            };
            if view.owners.contains(&self.me.host) {
                let announcement = &view.announcement;
                self.leases
                    .renew(announcement, SendTime::Unknown, cx.now, lease);
            } else {
                self.leases.end(&upstream);
            }
        }
    }

    /// Compares this host's lease with the fact that an upstream has lapsed.
    ///
    /// A newer announcement under the lease revives the upstream; otherwise the lease ends.
    pub(crate) fn reconcile_with_lease(&mut self, cx: &mut Cx<'_>, theirs: &Announcement) {
        let Some(mine) = self.leases.get(&theirs.upstream) else {
            return;
        };
        if mine.recency() > theirs.recency() {
            let announcement = mine.clone();
            let live = true;
            self.merge(cx, Fact::Upstream { announcement, live }, None);
        } else {
            self.leases.end(&theirs.upstream);
        }
    }

    fn upstream_fact(&self, upstream: &UpstreamId) -> Option<(&Announcement, bool)> {
        match self.facts.get(&FactKey::Upstream(upstream.clone()))? {
            Fact::Upstream { announcement, live } => Some((announcement, *live)),
            _ => None,
        }
    }
}

/// Returns whether a known announcement is newer than another, or equal to it but lapsed.
fn makes_outdated(known: &Announcement, live: bool, new: &Announcement) -> bool {
    known.recency() > new.recency() || (known.recency() == new.recency() && !live)
}

/// Returns whether two announcements differ in nothing but perhaps their sequence.
fn same_but_sequence(known: &Announcement, new: &Announcement) -> bool {
    let sequence = known.sequence;
    let new = new.clone();
    *known == Announcement { sequence, ..new }
}
