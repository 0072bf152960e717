//! Judges whether a group needs another primary.

use std::fmt;
use std::time::{Duration, Instant};

use model::{Role, Term, UpstreamId};

use crate::group::member::{Health, Member};
use crate::group::settings::GroupSettings;
use crate::group::state::Group;

/// Why a group needs another primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The primary answers neither on the open connection nor on a new one.
    Lost,
    /// The primary is not announced any more.
    Gone,
    /// No instance is known as primary, and none says that it is.
    Absent,
    /// The primary has become a replica in its own term, as by a restart.
    SteppedDown,
    /// The primary has promised a higher term, and no primary of that term is known.
    Deposed,
    /// So many instances are in higher terms that the primary can't confirm writes.
    Outvoted,
    /// So many replicas stand still behind the primary that it can't confirm writes.
    Stalled,
    /// The primary can confirm writes, but an instance has promised a higher term.
    Split,
    /// The primary is leaving.
    Leaving,
}

impl Reason {
    /// Returns how long the reason must hold before it counts.
    fn patience(self, settings: &GroupSettings) -> Duration {
        match self {
            Self::Lost | Self::Gone | Self::SteppedDown | Self::Stalled | Self::Leaving => {
                Duration::ZERO
            }
            Self::Absent | Self::Deposed | Self::Outvoted => settings.absent_for,
            Self::Split => settings.split_for,
        }
    }

    /// Returns whether the primary takes no writes now, so that nothing is lost by an attempt.
    pub fn is_outage(self) -> bool {
        !matches!(self, Self::Split | Self::Leaving | Self::Stalled)
    }

    /// Returns whether the promises must come from other instances than the primary.
    pub fn excludes_primary(self) -> bool {
        matches!(self, Self::Stalled | Self::Leaving)
    }

    /// Returns whether other owners may contradict the reason by what they see.
    pub fn needs_agreement(self) -> bool {
        !matches!(self, Self::Split | Self::Leaving)
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Lost => "lost",
            Self::Gone => "gone",
            Self::Absent => "absent",
            Self::SteppedDown => "stepped_down",
            Self::Deposed => "deposed",
            Self::Outvoted => "outvoted",
            Self::Stalled => "stalled",
            Self::Split => "split",
            Self::Leaving => "leaving",
        })
    }
}

impl Group {
    /// Returns why the group needs another primary, once that has held long enough.
    pub fn ripe_reason(&mut self, now: Instant, settings: &GroupSettings) -> Option<Reason> {
        let Some(reason) = self.judge(now, settings) else {
            self.reason = None;
            self.stood_back = 0;
            return None;
        };
        let ripe_at = match self.reason {
            Some((last, ripe_at)) if last == reason => ripe_at,
            _ => now + reason.patience(settings),
        };
        self.reason = Some((reason, ripe_at));
        (now >= ripe_at).then_some(reason)
    }

    fn judge(&self, now: Instant, settings: &GroupSettings) -> Option<Reason> {
        if self.up().count() < self.majority() {
            return None;
        }
        let Some((term, upstream)) = &self.primary else {
            return Some(Reason::Absent);
        };
        let Some(primary) = self.members.get(upstream) else {
            return Some(Reason::Gone);
        };
        match primary.health {
            Health::Unknown | Health::Refusing(_) => None,
            Health::Down => Some(Reason::Lost),
            Health::Up => {
                let status = primary.status.as_ref()?;
                if status.term != *term {
                    return Some(Reason::Deposed);
                }
                if status.role != Role::Primary {
                    // A status from before the promotion says nothing.
                    let since = primary.asked_at.is_some_and(|at| at > self.learned_at);
                    return since.then_some(Reason::SteppedDown);
                }
                self.judge_working(now, settings, upstream, primary)
            }
        }
    }

    /// Judges a primary that answers and takes writes.
    fn judge_working(
        &self,
        now: Instant,
        settings: &GroupSettings,
        upstream: &UpstreamId,
        primary: &Member,
    ) -> Option<Reason> {
        let term = primary.term();
        let moving = self
            .up()
            .filter(|(_, member)| member.term() <= term)
            .filter(|(_, member)| !member.stalled(now, settings.stalled_for))
            .count();
        let others = self.up().filter(|(other, _)| *other != upstream).count();
        let replaceable = others >= self.majority();
        if primary.announcement.leaving && replaceable {
            return Some(Reason::Leaving);
        }
        let above = self.up().filter(|(_, member)| member.term() > term).count();
        if self.up().count() - above < self.majority() {
            return Some(Reason::Outvoted);
        }
        if moving < self.majority() && replaceable {
            return Some(Reason::Stalled);
        }
        (above > 0).then_some(Reason::Split)
    }

    /// Returns whether this host sees a primary of this or a later term that can confirm writes.
    pub fn sees_working_primary(&self, now: Instant, settings: &GroupSettings, term: Term) -> bool {
        let Some((known, upstream)) = &self.primary else {
            return false;
        };
        let takes_writes = |member: &Member| {
            let status = member.status.as_ref();
            status.is_some_and(|status| status.role == Role::Primary && status.term == *known)
        };
        let primary = self.members.get(upstream);
        let works = primary.is_some_and(|member| member.is_up() && takes_writes(member));
        let confirming = self
            .up()
            .filter(|(_, member)| member.term() <= *known)
            .filter(|(_, member)| !member.stalled(now, settings.stalled_for))
            .count();
        works && *known >= term && confirming >= self.majority()
    }
}
