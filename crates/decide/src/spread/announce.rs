//! Announcements of upstreams: on to their owners, which spread what changes.

use model::{Announcement, HostId, UpstreamId};

use crate::Cx;
use crate::spread::Spread;
use crate::spread::facts::{Fact, FactKey};
use crate::spread::lease::Due;
use crate::spread::msg::SpreadMsg;

/// What is added to a sequence by a withdrawal, more than an upstream announces in its life.
const LAST_SEQUENCE: u64 = 1 << 32;

impl Spread {
    /// Takes an announcement that the platform hands to this host.
    pub fn announce(&mut self, cx: &mut Cx<'_>, announcement: Announcement) {
        let owners = self
            .tables
            .owners(&announcement.upstream, &announcement.data_centre);
        if owners.is_empty() {
            self.take_announcement(cx, &announcement);
        }
        for owner in owners {
            if owner == self.me.host {
                self.take_announcement(cx, &announcement);
            } else {
                let msg = SpreadMsg::Announce(Box::new(announcement.clone()));
                cx.send_control(&owner, msg);
            }
        }
        self.finish(cx);
    }

    /// Takes the word that an upstream is gone, which comes after all that it has announced.
    pub fn withdraw(&mut self, cx: &mut Cx<'_>, upstream: &UpstreamId) {
        if let Some((known, true)) = self.upstream_fact(upstream) {
            let mut last = known.clone();
            last.sequence += LAST_SEQUENCE;
            last.leaving = true;
            self.announce(cx, last);
        }
    }

    /// Takes an announcement as an owner of the upstream.
    pub(crate) fn take_announcement(&mut self, cx: &mut Cx<'_>, announcement: &Announcement) {
        let live = !announcement.leaving;
        let known = self.upstream_fact(&announcement.upstream);
        if known.is_some_and(|(known, live)| outdates(known, live, announcement)) {
            return;
        }
        let changed =
            known.is_none_or(|(known, was)| was != live || !same_but_sequence(known, announcement));
        let lease = cx.settings.spread.announce_lease;
        if !self.leases.renew(announcement, cx.now, lease) {
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

    /// Tells another owner of a renewal that it has not had.
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

    /// Asks for renewals, and spreads the lapse of upstreams whose leases have ended.
    pub(crate) fn check_leases(&mut self, cx: &mut Cx<'_>) {
        let lease = cx.settings.spread.announce_lease;
        while let Some(due) = self.leases.due(cx.now, lease) {
            match due {
                Due::Ask(upstream, sequence) => self.ask_renewal(cx, upstream, sequence),
                Due::Lapsed(announcement) => {
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

    /// Gives fresh leases to upstreams that this host has come to own.
    pub(crate) fn renew_placed(&mut self, cx: &mut Cx<'_>) {
        let lease = cx.settings.spread.announce_lease;
        for upstream in self.tables.take_placed() {
            let Some(view) = self.tables.upstreams().get(&upstream) else {
                continue;
            };
            if view.owners.contains(&self.me.host) {
                self.leases.renew(&view.announcement, cx.now, lease);
            } else {
                self.leases.end(&upstream);
            }
        }
    }

    /// Keeps this host's leases in step with a fact that another host has spread.
    pub(crate) fn check_against_lease(&mut self, cx: &mut Cx<'_>, theirs: &Announcement) {
        let Some(mine) = self.leases.get(&theirs.upstream) else {
            return;
        };
        if mine.stamp() > theirs.stamp() {
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

/// Returns whether what is known makes an announcement out of date.
fn outdates(known: &Announcement, live: bool, new: &Announcement) -> bool {
    known.stamp() > new.stamp() || (known.stamp() == new.stamp() && !live)
}

fn same_but_sequence(known: &Announcement, new: &Announcement) -> bool {
    let sequence = known.sequence;
    let new = new.clone();
    *known == Announcement { sequence, ..new }
}
