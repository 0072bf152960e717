//! The steps of a session for each arrival, and the range in which its reads must count.

use model::Kind;

use crate::outcome::{Complaint, Outcome};
use crate::plan::{Arrival, HostMove};

/// A step that a session's task carries out on its connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SessionEffect {
    /// Close the connection, if one is open.
    Disconnect {
        /// Whether the next connection passes the session token (`caraway.session`) on.
        keep_session_token: bool,
    },
    /// Open a connection, if none is open.
    Connect {
        /// Index of the host to try first.
        host_index: usize,
    },
    /// Set the maximum age of the data of later reads, or 0 where this is false.
    SetMaxAge(bool),
    /// Insert a row into the ledger table.
    InsertDeposit {
        /// The INSERT statement.
        sql: String,
    },
    /// Count the session's own deposits.
    CountDeposits {
        /// The SELECT statement.
        sql: String,
    },
}

/// The state of one session, without its connection: where it is connected and which deposits its
/// reads must count.
#[derive(Debug)]
pub struct SessionModel {
    run_name: String,
    session_index: usize,
    /// Index of the host to which the session is or will be connected.
    host_index: usize,
    host_count: usize,
    /// Whether the connection's `caraway.max_age` is set to other than 0.
    max_age_set: bool,
    acknowledged_deposits: u64,
    /// Deposits that may have run.
    uncertain_deposits: u64,
    /// Whether the session token covers every acknowledged deposit. A move without the token
    /// clears it; the next acknowledged deposit, whose position follows all others, sets it.
    token_covers_deposits: bool,
}

impl SessionModel {
    /// Returns the state of a session before its first request.
    pub fn new(run_name: &str, session_index: usize, host_index: usize, host_count: usize) -> Self {
        Self {
            run_name: run_name.to_owned(),
            session_index,
            host_index,
            host_count,
            max_age_set: false,
            acknowledged_deposits: 0,
            uncertain_deposits: 0,
            token_covers_deposits: true,
        }
    }

    /// Returns the index of the host to which the session is or will be connected.
    pub fn host_index(&self) -> usize {
        self.host_index
    }

    /// Returns the steps for an arrival, in order.
    pub fn on_arrival(&mut self, arrival: &Arrival) -> Vec<SessionEffect> {
        let mut effects = Vec::new();
        if let Some(host_move) = arrival.host_move {
            effects.push(self.move_to_host(host_move));
        }
        effects.push(SessionEffect::Connect {
            host_index: self.host_index,
        });
        if arrival.kind == Kind::Read && arrival.sets_max_age != self.max_age_set {
            self.max_age_set = arrival.sets_max_age;
            effects.push(SessionEffect::SetMaxAge(self.max_age_set));
        }
        effects.push(match arrival.kind {
            Kind::Write => SessionEffect::InsertDeposit {
                sql: self.insert_sql(arrival),
            },
            Kind::Read => SessionEffect::CountDeposits {
                sql: self.count_sql(),
            },
        });
        effects
    }

    fn move_to_host(&mut self, host_move: HostMove) -> SessionEffect {
        self.host_index = host_move.host_index;
        self.max_age_set = false;
        self.token_covers_deposits &= host_move.keep_session_token;
        SessionEffect::Disconnect {
            keep_session_token: host_move.keep_session_token,
        }
    }

    /// Selects the next host after the connection was lost.
    pub fn on_connection_lost(&mut self) {
        self.host_index = (self.host_index + 1) % self.host_count;
        self.max_age_set = false;
    }

    /// Counts a finished write, or checks the count that a read returned. Returns the broken promise
    /// if the count is out of range.
    pub fn on_outcome(&mut self, arrival: &Arrival, outcome: &Outcome) -> Option<Complaint> {
        match (arrival.kind, outcome) {
            (Kind::Write, Outcome::Ran { .. }) => {
                self.acknowledged_deposits += 1;
                self.token_covers_deposits = true;
                None
            }
            (Kind::Write, Outcome::MayHaveRun(_)) => {
                self.uncertain_deposits += 1;
                None
            }
            (
                Kind::Read,
                Outcome::Ran {
                    deposits_seen: Some(seen),
                },
            ) => self.check_read(arrival, *seen),
            _ => None,
        }
    }

    fn check_read(&self, arrival: &Arrival, seen: u64) -> Option<Complaint> {
        // Without the token of its latest write, a read that allows old data may miss deposits.
        let may_miss_deposits = arrival.sets_max_age && !self.token_covers_deposits;
        let least = if may_miss_deposits {
            0
        } else {
            self.acknowledged_deposits
        };
        let most = self.acknowledged_deposits + self.uncertain_deposits;
        let in_range = (least..=most).contains(&seen);
        (!in_range).then_some(Complaint {
            seen,
            least,
            most,
            stated_age: arrival.sets_max_age,
        })
    }

    /// Returns the ledger account of the session, which no other session uses.
    fn account(&self) -> String {
        format!("{}-s{}", self.run_name, self.session_index)
    }

    fn insert_sql(&self, arrival: &Arrival) -> String {
        let id = deposit_id(&self.run_name, arrival);
        format!(
            "INSERT INTO ledger VALUES ('{id}', '{}', 1)",
            self.account()
        )
    }

    fn count_sql(&self) -> String {
        let account = self.account();
        format!("SELECT count(*) FROM ledger WHERE account = '{account}'")
    }
}

/// Returns the ledger id of an arrival's deposit, unique if the run's name is.
pub fn deposit_id(run_name: &str, arrival: &Arrival) -> String {
    format!("{run_name}-d{}", arrival.id)
}
