//! The choice of the connection that is closed when the budget is exhausted.

use std::sync::Arc;
use std::time::{Duration, Instant};

use model::HashMap;

use crate::AccountId;
use crate::account::Account;

/// How long a connection that was told to close may take before another one is chosen.
const CLOSE_TIME: Duration = Duration::from_millis(100);

/// What has happened to the accounts of a process.
#[derive(Debug)]
pub enum Event {
    /// A connection was opened.
    Opened(AccountId, Arc<Account>),
    /// A connection has ended.
    Closed(AccountId),
    /// A connection waits for bytes that the budget does not allow.
    Exhausted,
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Closes a connection.
    Close {
        /// The connection.
        id: AccountId,
        /// The bytes that it holds.
        held: usize,
        /// How long its peer has made no progress.
        stalled_for: Duration,
    },
}

/// The accounts of a process whose connections may be closed to free memory.
#[derive(Debug)]
pub struct Accounts {
    accounts: HashMap<AccountId, Arc<Account>>,
    /// How long a peer may make no progress before its connection can be closed.
    stalled_after: Duration,
    /// The connection that was told to close last, and when.
    closing: Option<(AccountId, Instant)>,
}

impl Accounts {
    /// Returns the state without accounts.
    pub fn new(stalled_after: Duration) -> Self {
        Self {
            accounts: HashMap::default(),
            stalled_after,
            closing: None,
        }
    }

    /// Handles an event, and appends what is to be done.
    pub fn reduce(&mut self, now: Instant, event: Event, effects: &mut Vec<Effect>) {
        match event {
            Event::Opened(id, account) => {
                self.accounts.insert(id, account);
            }
            Event::Closed(id) => {
                self.accounts.remove(&id);
                self.closing.take_if(|(closing, _)| *closing == id);
            }
            Event::Exhausted => effects.extend(self.choose(now)),
        }
    }

    /// Chooses the connection that holds most of those whose peer makes no progress.
    ///
    /// A connection from whose peer nothing is expected is never chosen: an idle session, or one
    /// whose request runs.
    fn choose(&mut self, now: Instant) -> Option<Effect> {
        let is_closing = |(_, at): &(AccountId, Instant)| now.duration_since(*at) < CLOSE_TIME;
        if self.closing.as_ref().is_some_and(is_closing) {
            return None;
        }
        let stalled = self.accounts.iter().filter_map(|(id, account)| {
            let stalled_for = account.stalled_for(now)?;
            let held = account.held();
            (held > 0 && stalled_for >= self.stalled_after).then_some((held, stalled_for, *id))
        });
        let (held, stalled_for, id) = stalled.max()?;
        // It is not chosen again, even if its task has no time to close it.
        self.accounts.remove(&id);
        self.closing = Some((id, now));
        Some(Effect::Close {
            id,
            held,
            stalled_for,
        })
    }
}
