//! Decides whether a group's primary must be replaced, from the status of its instances.

use std::fmt;
use std::time::{Duration, Instant};

use model::{Role, Term, UpstreamId};

use crate::group::member::{GroupMember, Health};
use crate::group::settings::GroupSettings;
use crate::group::state::Group;

/// Why a group's primary must be replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplaceReason {
    /// The primary answers neither on the open connection nor on a new one.
    Lost,
    /// The primary is no longer announced.
    Gone,
    /// No primary is known, and no instance reports that role.
    Absent,
    /// The primary has become a replica in its own term, as it does by a restart.
    SteppedDown,
    /// The primary has promised a higher term, and no primary of that term is known.
    Deposed,
    /// Too few instances are left in the primary's term or below to confirm writes.
    Outvoted,
    /// Too few replicas keep up with the primary's log to confirm writes.
    Stalled,
    /// The primary can confirm writes, but an instance has promised a higher term.
    Split,
    /// The primary announces that it drains or is leaving.
    Leaving,
}

impl ReplaceReason {
    /// Returns how long the reason must last before the primary is replaced for it.
    fn min_duration(self, settings: &GroupSettings) -> Duration {
        match self {
            Self::Lost | Self::Gone | Self::SteppedDown | Self::Stalled | Self::Leaving => {
                Duration::ZERO
            }
            Self::Absent | Self::Deposed | Self::Outvoted => settings.absent_for,
            Self::Split => settings.split_for,
        }
    }

    /// Returns whether the group serves no writes now, so that an election interrupts nothing.
    pub fn is_outage(self) -> bool {
        !matches!(self, Self::Split | Self::Leaving | Self::Stalled)
    }

    /// Returns whether only instances other than the primary are asked for promises.
    pub fn excludes_primary(self) -> bool {
        matches!(self, Self::Stalled | Self::Leaving)
    }

    /// Returns whether the reason may be dropped because another owner sees a working primary.
    pub fn needs_agreement(self) -> bool {
        !matches!(self, Self::Split | Self::Leaving)
    }
}

impl fmt::Display for ReplaceReason {
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
    /// Returns why the primary must be replaced, once the reason has lasted long enough.
    pub fn persistent_reason(
        &mut self,
        now: Instant,
        settings: &GroupSettings,
    ) -> Option<ReplaceReason> {
        let Some(reason) = self.detect_reason(now, settings) else {
            self.replace_reason = None;
            self.yield_count = 0;
            return None;
        };
        let effective_at = match self.replace_reason {
            Some((last, effective_at)) if last == reason => effective_at,
            _ => now + reason.min_duration(settings),
        };
        self.replace_reason = Some((reason, effective_at));
        (now >= effective_at).then_some(reason)
    }

    fn detect_reason(&self, now: Instant, settings: &GroupSettings) -> Option<ReplaceReason> {
        if self.up_members().count() < self.majority() {
            return None;
        }
        let Some((term, upstream)) = &self.primary else {
            return Some(ReplaceReason::Absent);
        };
        let Some(primary) = self.members.get(upstream) else {
            return Some(ReplaceReason::Gone);
        };
        match primary.health {
            Health::Unknown | Health::Refusing(_) => None,
            Health::Down => Some(ReplaceReason::Lost),
            Health::Up => {
                let status = primary.status.as_ref()?;
                if status.term != *term {
                    return Some(ReplaceReason::Deposed);
                }
                if status.role != Role::Primary {
                    // A status from before the promotion doesn't show the new role yet.
                    let is_current = primary
                        .status_asked_at
                        .is_some_and(|at| at > self.primary_learned_at);
                    return is_current.then_some(ReplaceReason::SteppedDown);
                }
                self.detect_reason_in_working_primary(now, settings, upstream, primary)
            }
        }
    }

    /// Returns why a primary that answers and has that role must be replaced, if it must.
    fn detect_reason_in_working_primary(
        &self,
        now: Instant,
        settings: &GroupSettings,
        upstream: &UpstreamId,
        primary: &GroupMember,
    ) -> Option<ReplaceReason> {
        let term = primary.promised_term();
        let keeping_up = self
            .up_members()
            .filter(|(_, member)| member.promised_term() <= term)
            .filter(|(_, member)| !member.is_stalled(now, settings.stalled_for))
            .count();
        let others = self
            .up_members()
            .filter(|(other, _)| *other != upstream)
            .count();
        let replaceable = others >= self.majority();
        let has_successor = self
            .up_members()
            .any(|(other, member)| other != upstream && !member.announcement.will_leave());
        if primary.announcement.will_leave() && replaceable && has_successor {
            return Some(ReplaceReason::Leaving);
        }
        let above_term = self
            .up_members()
            .filter(|(_, member)| member.promised_term() > term)
            .count();
        if self.up_members().count() - above_term < self.majority() {
            return Some(ReplaceReason::Outvoted);
        }
        if keeping_up < self.majority() && replaceable {
            return Some(ReplaceReason::Stalled);
        }
        (above_term > 0).then_some(ReplaceReason::Split)
    }

    /// Returns whether this host sees a primary of this or a later term, and a majority of the
    /// instances by which it can confirm writes.
    pub fn sees_working_primary(&self, now: Instant, settings: &GroupSettings, term: Term) -> bool {
        let Some((primary_term, upstream)) = &self.primary else {
            return false;
        };
        let takes_writes = |member: &GroupMember| {
            let status = member.status.as_ref();
            status
                .is_some_and(|status| status.role == Role::Primary && status.term == *primary_term)
        };
        let primary = self.members.get(upstream);
        let is_working = primary.is_some_and(|member| member.is_up() && takes_writes(member));
        let confirming = self
            .up_members()
            .filter(|(_, member)| member.promised_term() <= *primary_term)
            .filter(|(_, member)| !member.is_stalled(now, settings.stalled_for))
            .count();
        is_working && *primary_term >= term && confirming >= self.majority()
    }
}
