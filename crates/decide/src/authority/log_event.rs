//! Log events of replacements ordered by the consensus leader, numbers 350 to 399.

use std::fmt;
use std::time::Duration;

use model::{Position, ServiceId, Term, UpstreamId};

use crate::authority::PromotionError;
use crate::authority::account::Account;
use crate::authority::instance::EndEvidence;
use crate::log_event::NumberedEvent;
use crate::raft::LogIndex;

/// A log event about the replacement of a service's primary.
#[derive(Clone, Debug, PartialEq)]
pub enum AuthorityLogEvent {
    /// A primary must be replaced.
    ReplacementWanted {
        /// Service whose primary it is.
        service: ServiceId,
        /// Term of the present primary, or 0 if none is known.
        term: Term,
        /// Why the primary must be replaced.
        reason: &'static str,
        /// Time since the primary's last answer; `None` if it is unknown or has never answered.
        unheard: Option<Duration>,
    },
    /// A replica has stopped receiving from the primary.
    ReplicaFenced {
        /// Service of the replica.
        service: ServiceId,
        /// Replica that is fenced.
        upstream: UpstreamId,
        /// Its log position.
        position: Position,
    },
    /// The primary that is to be replaced has become a replica.
    PrimaryDemoted {
        /// Service of the instance.
        service: ServiceId,
        /// Instance that was the primary.
        upstream: UpstreamId,
        /// Its log position, which no acknowledged write is above.
        position: Position,
    },
    /// The replica that will be promoted was chosen.
    SuccessorChosen {
        /// Service of the replica.
        service: ServiceId,
        /// Replica that will be promoted.
        upstream: UpstreamId,
        /// Its log position.
        position: Position,
    },
    /// An order to promote an instance was sent to the platform.
    PromotionOrdered {
        /// Service of the instance.
        service: ServiceId,
        /// Instance to promote.
        upstream: UpstreamId,
        /// Number of the order.
        number: LogIndex,
    },
    /// The platform has answered an order, or the request has failed.
    PromotionAnswered {
        /// Service that the order is for.
        service: ServiceId,
        /// Number of the order.
        number: LogIndex,
        /// Why the order isn't known to be carried out; `None` if the platform accepted it.
        error: Option<PromotionError>,
    },
    /// An instance reports that it is the primary.
    PrimaryConfirmed {
        /// Service of the instance.
        service: ServiceId,
        /// Instance that is the primary.
        upstream: UpstreamId,
        /// Term of the primary.
        term: Term,
    },
    /// An attempt to replace the primary ended without a confirmed primary.
    ReplacementStopped {
        /// Service whose primary was to be replaced.
        service: ServiceId,
        /// Why the attempt ended.
        reason: &'static str,
    },
    /// A primary must be replaced, but an instance that may confirm its writes can't be fenced.
    ReplacementHeldUp {
        /// Service whose primary must be replaced.
        service: ServiceId,
        /// Instance that doesn't answer.
        upstream: UpstreamId,
        /// Why the primary must be replaced.
        reason: &'static str,
    },
    /// A query that ends a replica's fence got no answer, and may be carried out later.
    UnfenceUnanswered {
        /// Service of the replica.
        service: ServiceId,
        /// Replica that was asked.
        upstream: UpstreamId,
    },
    /// An instance has ended and can confirm no more writes.
    InstanceEnded {
        /// Service of the instance.
        service: ServiceId,
        /// Instance that has ended.
        upstream: UpstreamId,
        /// How that is known.
        evidence: EndEvidence,
    },
    /// What is known of the instances when a successor is to be chosen.
    ReplacementAccount {
        /// Service whose primary is to be replaced.
        service: ServiceId,
        /// The instances, and the orders in doubt.
        account: Account,
    },
    /// The hosts pass on no more acknowledgements of the primary that is to be replaced.
    AcksStopped {
        /// Service whose primary is to be replaced.
        service: ServiceId,
        /// The last term whose acknowledgements are stopped.
        term: Term,
        /// Number of parts that were asked.
        parts: usize,
        /// Number of parts that have not answered.
        silent: usize,
        /// The highest log position that the parts have passed on.
        passed_on: Position,
    },
    /// The best instance lacks writes that were acknowledged.
    WritesMissing {
        /// Service whose primary is to be replaced.
        service: ServiceId,
        /// Log position of the best instance.
        position: Position,
        /// The highest log position that was passed on.
        passed_on: Position,
    },
    /// Writes that were acknowledged have been waited for in vain, and the best instance leads.
    WritesGivenUp {
        /// Service whose primary is to be replaced.
        service: ServiceId,
        /// Log position of the best instance.
        position: Position,
        /// The highest log position that was passed on.
        passed_on: Position,
    },
    /// An order of an earlier leader, or of an earlier leadership of this host, may still be carried
    /// out.
    OrderTakenOver {
        /// Service that the order is for.
        service: ServiceId,
        /// Number of the newest such order.
        number: LogIndex,
        /// The instance that it promotes.
        upstream: UpstreamId,
    },
    /// An instance has joined or restarted while the primary is being replaced.
    MemberChanged {
        /// Service of the instance.
        service: ServiceId,
        /// Instance that has joined or restarted.
        upstream: UpstreamId,
        /// What has happened.
        change: &'static str,
    },
}

impl NumberedEvent for AuthorityLogEvent {
    fn number(&self) -> u16 {
        match self {
            Self::ReplacementWanted { .. } => 350,
            Self::ReplicaFenced { .. } => 351,
            Self::SuccessorChosen { .. } => 352,
            Self::PromotionOrdered { .. } => 353,
            Self::PromotionAnswered { .. } => 354,
            Self::PrimaryConfirmed { .. } => 355,
            Self::ReplacementStopped { .. } => 356,
            Self::PrimaryDemoted { .. } => 357,
            Self::ReplacementHeldUp { .. } => 358,
            Self::InstanceEnded { .. } => 359,
            Self::UnfenceUnanswered { .. } => 360,
            Self::ReplacementAccount { .. } => 361,
            Self::MemberChanged { .. } => 362,
            Self::AcksStopped { .. } => 363,
            Self::WritesMissing { .. } => 364,
            Self::WritesGivenUp { .. } => 365,
            Self::OrderTakenOver { .. } => 366,
        }
    }

    fn level(&self) -> log::Level {
        match self {
            Self::ReplacementWanted { .. }
            | Self::ReplacementStopped { .. }
            | Self::ReplacementHeldUp { .. }
            | Self::UnfenceUnanswered { .. }
            | Self::WritesMissing { .. }
            | Self::OrderTakenOver { .. }
            | Self::WritesGivenUp { .. } => log::Level::Warn,
            _ => log::Level::Info,
        }
    }
}

impl fmt::Display for AuthorityLogEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ReplacementWanted {
                service,
                term,
                reason,
                unheard,
            } => {
                let unheard = unheard.map_or(-1, |time| time.as_millis() as i64);
                write!(
                    f,
                    "replacement-wanted service={service} term={term} reason={reason} unheard_ms={unheard}"
                )
            }
            Self::ReplicaFenced {
                service,
                upstream,
                position,
            } => write!(
                f,
                "replica-fenced service={service} upstream={upstream} position={position}"
            ),
            Self::SuccessorChosen {
                service,
                upstream,
                position,
            } => write!(
                f,
                "successor-chosen service={service} upstream={upstream} position={position}"
            ),
            Self::PromotionOrdered {
                service,
                upstream,
                number,
            } => write!(
                f,
                "promotion-ordered service={service} upstream={upstream} order={number}"
            ),
            Self::PromotionAnswered {
                service,
                number,
                error,
            } => {
                let outcome = if error.is_some() {
                    "failed"
                } else {
                    "accepted"
                };
                let error = error.map_or("none", PromotionError::name);
                write!(
                    f,
                    "promotion-answered service={service} order={number} outcome={outcome} error={error}"
                )
            }
            Self::PrimaryConfirmed {
                service,
                upstream,
                term,
            } => write!(
                f,
                "primary-confirmed service={service} upstream={upstream} term={term}"
            ),
            Self::PrimaryDemoted {
                service,
                upstream,
                position,
            } => write!(
                f,
                "primary-demoted service={service} upstream={upstream} position={position}"
            ),
            Self::ReplacementStopped { service, reason } => {
                write!(f, "replacement-stopped service={service} reason={reason}")
            }
            Self::ReplacementHeldUp {
                service,
                upstream,
                reason,
            } => write!(
                f,
                "replacement-held-up service={service} upstream={upstream} reason={reason}"
            ),
            Self::UnfenceUnanswered { service, upstream } => {
                write!(
                    f,
                    "unfence-unanswered service={service} upstream={upstream}"
                )
            }
            Self::InstanceEnded {
                service,
                upstream,
                evidence,
            } => write!(
                f,
                "instance-ended service={service} upstream={upstream} evidence={}",
                evidence.name()
            ),
            Self::ReplacementAccount { service, account } => write!(
                f,
                "replacement-account service={service} members={} ended={} in_doubt={}",
                account.members_for_log(),
                account.ended_for_log(),
                account.in_doubt_for_log(),
            ),
            Self::AcksStopped {
                service,
                term,
                parts,
                silent,
                passed_on,
            } => write!(
                f,
                "acks-stopped service={service} term={term} parts={parts} silent={silent} passed_on={passed_on}"
            ),
            Self::WritesMissing {
                service,
                position,
                passed_on,
            } => write!(
                f,
                "writes-missing service={service} position={position} passed_on={passed_on}"
            ),
            Self::WritesGivenUp {
                service,
                position,
                passed_on,
            } => write!(
                f,
                "writes-given-up service={service} position={position} passed_on={passed_on}"
            ),
            Self::OrderTakenOver {
                service,
                number,
                upstream,
            } => write!(
                f,
                "order-taken-over service={service} order={number} upstream={upstream}"
            ),
            Self::MemberChanged {
                service,
                upstream,
                change,
            } => write!(
                f,
                "member-changed service={service} upstream={upstream} change={change}"
            ),
        }
    }
}
