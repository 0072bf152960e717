//! Checks of owners that leave requests unanswered: finds those that have gone silent, in a time
//! that is shorter than missed heartbeats take.
//!
//! An owner is a host that holds connections to an upstream, and a part of it is the state of one
//! of its threads. A part is checked while requests wait for it and it has sent nothing: it gets a
//! request for no upstream, which every owner bounces at once, also one whose upstreams are slow.
//! One that does not is silent: it is stopped, overloaded or cut off. It gets no requests until it
//! sends anything again.

use std::time::{Duration, Instant};

use bytes::Bytes;
use model::{HashMap, HostId, Kind, PartAddr, Request, RequestId};

use crate::Cx;
use crate::relay::{NO_UPSTREAM, RelayMsg, RunRequest};
use crate::session::SessionLogEvent;

/// An owner may take as many times `session.check_owner_after` to answer a check.
const CHECK_TIMEOUT_FACTOR: u32 = 2;
/// A timer that fires this much late shows that this host itself was stopped meanwhile.
const LATE_TIMER: Duration = Duration::from_millis(50);

/// The parts of owners from which something is expected, and those that are silent.
#[derive(Clone, Debug, Default)]
pub(crate) struct OwnerChecks {
    by_part: HashMap<PartAddr, OwnerCheck>,
}

/// What is expected from one part of an owner.
#[derive(Clone, Debug)]
struct OwnerCheck {
    /// When to see whether requests still wait, or whether the check was answered.
    due_at: Instant,
    /// Whether a check is under way.
    sent: bool,
    /// Whether it has left a check unanswered and has sent nothing since.
    silent: bool,
}

/// What is due for a part of an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DueCheck {
    /// Nothing came from it for a time; it is checked if requests wait for it.
    Unheard,
    /// It has not answered a check.
    Unanswered,
    /// It is silent, and is checked again.
    Silent,
}

impl OwnerChecks {
    /// Returns when the next check is due, if any.
    pub(crate) fn wake_at(&self) -> Option<Instant> {
        self.by_part.values().map(|check| check.due_at).min()
    }

    /// Returns whether a host is a silent owner.
    pub(crate) fn is_silent(&self, host: &HostId) -> bool {
        let mut checks = self.by_part.iter();
        checks.any(|(part, check)| check.silent && part.host == *host)
    }

    /// Expects an answer from a part of another host, to which a request is being sent.
    pub(crate) fn expect(&mut self, cx: &Cx<'_>, owner: &PartAddr) {
        let Some(after) = cx.settings.session.check_owner_after else {
            return;
        };
        if owner.host != cx.me.host && !self.by_part.contains_key(owner) {
            let check = OwnerCheck {
                due_at: cx.now + after,
                sent: false,
                silent: false,
            };
            self.by_part.insert(owner.clone(), check);
        }
    }

    /// Records that a part of an owner has sent a message.
    pub(crate) fn on_heard(&mut self, cx: &mut Cx<'_>, owner: &PartAddr) {
        let Some(after) = cx.settings.session.check_owner_after else {
            return;
        };
        let Some(check) = self.by_part.get_mut(owner) else {
            return;
        };
        check.due_at = cx.now + after;
        check.sent = false;
        if std::mem::take(&mut check.silent) {
            let owner = owner.host.clone();
            cx.log(SessionLogEvent::OwnerHeard { owner });
        }
    }

    /// Forgets the parts of hosts that don't match a filter.
    pub(crate) fn retain_hosts(&mut self, keep: impl Fn(&HostId) -> bool) {
        self.by_part.retain(|part, _| keep(&part.host));
    }

    /// Returns the parts for which something is due, in order of their addresses.
    ///
    /// If this host itself was stopped, answers may have come that are not read yet: the checks are
    /// put off instead.
    pub(crate) fn take_due(&mut self, cx: &Cx<'_>) -> Vec<(PartAddr, DueCheck)> {
        let after = cx.settings.session.check_owner_after.unwrap_or_default();
        let mut due = Vec::new();
        for (part, check) in &mut self.by_part {
            if cx.now < check.due_at {
                continue;
            }
            let late = cx.now.duration_since(check.due_at) >= LATE_TIMER;
            check.due_at = cx.now + after * CHECK_TIMEOUT_FACTOR;
            if late && check.sent {
                continue;
            }
            let what = match (check.sent, check.silent) {
                (_, true) => DueCheck::Silent,
                (true, false) => DueCheck::Unanswered,
                (false, false) => DueCheck::Unheard,
            };
            check.silent |= what == DueCheck::Unanswered;
            due.push((part.clone(), what));
        }
        due.sort_unstable_by(|(a, _), (b, _)| a.cmp(b));
        due
    }

    /// Sends a check to a part of an owner.
    pub(crate) fn send_check(&mut self, cx: &mut Cx<'_>, owner: &PartAddr, id: RequestId) {
        if let Some(check) = self.by_part.get_mut(owner) {
            check.sent = true;
            cx.send(owner.clone(), RelayMsg::Run(Box::new(check_request(id))));
        }
    }

    /// Stops expecting anything from a part of an owner for which no request waits.
    pub(crate) fn remove(&mut self, owner: &PartAddr) {
        self.by_part.remove(owner);
    }
}

/// Returns a request for no upstream, which every owner bounces at once.
fn check_request(id: RequestId) -> RunRequest {
    RunRequest {
        id,
        session: 0,
        upstream: NO_UPSTREAM.into(),
        pin: None,
        req: Request {
            access: None,
            label: "-".into(),
            workspace: "".into(),
            service: "".into(),
            kind: Kind::Read,
            in_transaction: false,
            continues_transaction: false,
            rolls_back: false,
            read_only_transaction: false,
            priority: 0,
            repeatable: true,
            may_be_given_up: false,
            timeout: Duration::ZERO,
            max_age: None,
            floor: None,
            payload: Bytes::new(),
        },
    }
}
