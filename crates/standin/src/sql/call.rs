//! The functions of schema `caraway` that hosts and replicas call in place of tables,
//! as in `SELECT * FROM caraway.status(0, 0, 0)`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use model::{Position, Term, UpstreamId};

use super::{Datum, SqlError};

/// A call of one `caraway.*` function, with its arguments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// `status(term, offset, wait_ms)`: answers the status once the log has reached a
    /// position, or when the wait is over.
    Status {
        /// The position.
        position: Position,
        /// The longest wait; zero answers at once.
        wait: Duration,
    },
    /// `claim(host, lease_ms)`: grants or renews a lease on slots and connections.
    Claim {
        /// The host that wants to use them.
        host: Arc<str>,
        /// How long the host may use them.
        lease: Duration,
    },
    /// `unclaim(host)`: ends a host's lease early.
    Unclaim {
        /// The host that holds the lease.
        host: Arc<str>,
    },
    /// `promise(term, candidate)`: promises a candidate to accept nothing from lower
    /// terms.
    Promise {
        /// The term.
        term: Term,
        /// The host that conducts the change of primary.
        candidate: Arc<str>,
    },
    /// `promote(term, candidate)`: makes the instance primary in a promised term.
    Promote {
        /// The term.
        term: Term,
        /// The host that conducts the change of primary.
        candidate: Arc<str>,
    },
    /// `follow(term, primary, addr)`: makes the instance replicate from a primary.
    Follow {
        /// The term in which the primary leads.
        term: Term,
        /// The primary's name.
        primary: UpstreamId,
        /// The address on which the primary listens.
        addr: SocketAddr,
    },
    /// `log(term, offset, limit)`: answers a replica with the log entries after a
    /// position.
    Log {
        /// The position.
        from: Position,
        /// The most entries to answer.
        limit: usize,
    },
}

/// The columns of the one row that every function but `log` answers.
///
/// - `role`: `primary` or `replica`, in the promised term.
/// - `term`: the highest promised term.
/// - `log_term`, `log_offset`: the position of the last log entry, where `log_term`
///   is the term in which it was written.
/// - `lag_ms`: the age of the last moment at which a replica is known to have had the
///   primary's whole log; 0 on a primary, 4294967295 if that was never so.
/// - `granted`: `t` if the call was successful, `f` if it was refused: the claim,
///   promise, promotion or order to follow; for `status`, whether the log has reached
///   the position.
/// - `slots`, `connections`: the share that `claim` granted; else 0.
pub const STATUS_COLUMNS: [&str; 8] = [
    "role",
    "term",
    "log_term",
    "log_offset",
    "lag_ms",
    "granted",
    "slots",
    "connections",
];

/// The columns of the rows that `log` answers: entries, then one last row.
///
/// - `kind`: `entry` for a log entry; `end` for the last row, whose position is the end
///   of the primary's log; `cut` for the only row if the log does not have the requested
///   position: the replica must remove its entries after the position of this row.
/// - `term`: the term in which the primary leads.
/// - `log_term`, `log_offset`: the position of the row, where `log_term` is the term in
///   which the entry was written.
/// - `age_us`: how long ago the primary wrote the entry; else 0.
/// - `data`: the operations of the entry as JSON; else empty.
pub const LOG_COLUMNS: [&str; 6] = ["kind", "term", "log_term", "log_offset", "age_us", "data"];

impl Call {
    /// Builds the call from the function's name, without schema, and its arguments.
    ///
    /// # Errors
    ///
    /// Fails if there is no such function or the arguments have the wrong number or type.
    pub fn from_name(name: &str, args: &[Datum]) -> Result<Self, SqlError> {
        let bad = || SqlError::unsupported(format!("caraway.{name} with these arguments"));
        let number = |at: usize| match args.get(at) {
            Some(Datum::Int(number)) => u64::try_from(*number).map_err(|_| bad()),
            _ => Err(bad()),
        };
        let text = |at: usize| match args.get(at) {
            Some(Datum::Text(text)) => Ok(text.clone()),
            _ => Err(bad()),
        };
        let expect = |count: usize| match args.len() == count {
            true => Ok(()),
            false => Err(bad()),
        };
        match name {
            "status" => {
                expect(3)?;
                Ok(Self::Status {
                    position: Position::new(number(0)?, number(1)?),
                    wait: Duration::from_millis(number(2)?),
                })
            }
            "claim" => {
                expect(2)?;
                Ok(Self::Claim {
                    host: text(0)?,
                    lease: Duration::from_millis(number(1)?),
                })
            }
            "unclaim" => {
                expect(1)?;
                Ok(Self::Unclaim { host: text(0)? })
            }
            "promise" => {
                expect(2)?;
                Ok(Self::Promise {
                    term: number(0)?,
                    candidate: text(1)?,
                })
            }
            "promote" => {
                expect(2)?;
                Ok(Self::Promote {
                    term: number(0)?,
                    candidate: text(1)?,
                })
            }
            "follow" => {
                expect(3)?;
                Ok(Self::Follow {
                    term: number(0)?,
                    primary: text(1)?,
                    addr: text(2)?.parse().map_err(|_| bad())?,
                })
            }
            "log" => {
                expect(3)?;
                Ok(Self::Log {
                    from: Position::new(number(0)?, number(1)?),
                    limit: number(2)?.try_into().map_err(|_| bad())?,
                })
            }
            _ => Err(SqlError::unsupported(format!("caraway.{name}"))),
        }
    }

    /// Returns the names of the result's columns, all of type `text`.
    pub fn columns(&self) -> &'static [&'static str] {
        match self {
            Self::Log { .. } => &LOG_COLUMNS,
            _ => &STATUS_COLUMNS,
        }
    }
}
