//! Log lines of facts, liveness and configuration in force.

use std::fmt;

use model::{ConfigVersion, HostId, Incarnation, ServiceId, Term, UpstreamId};

use crate::log_event::NumberedEvent;

/// Log lines of this area.
#[derive(Clone, Debug, PartialEq)]
pub enum SpreadLogEvent {
    /// A host is alive that was unknown, dead or an earlier start of itself.
    HostUp {
        /// The host.
        host: HostId,
        /// Which start of it.
        incarnation: Incarnation,
    },
    /// A host is dead.
    HostDown {
        /// The host.
        host: HostId,
        /// Which start of it.
        incarnation: Incarnation,
    },
    /// A host is leaving.
    HostLeaving {
        /// The host.
        host: HostId,
    },
    /// This host missed another's heartbeats.
    Missed {
        /// The other host.
        host: HostId,
        /// Whether this host spreads that the other is dead.
        declared: bool,
    },
    /// This host was thought dead and has said that it lives.
    Refuted {
        /// The sequence under which it lives.
        sequence: u64,
    },
    /// An upstream may get work.
    UpstreamLive {
        /// The upstream.
        upstream: UpstreamId,
        /// Its service.
        service: ServiceId,
        /// The sequence of its announcement.
        sequence: u64,
    },
    /// An upstream's announcement was not renewed.
    UpstreamLapsed {
        /// The upstream.
        upstream: UpstreamId,
        /// The sequence of its last announcement.
        sequence: u64,
    },
    /// An upstream is leaving.
    UpstreamLeaving {
        /// The upstream.
        upstream: UpstreamId,
        /// The sequence of its announcement.
        sequence: u64,
    },
    /// A service has a new primary.
    PrimaryLearned {
        /// The service.
        service: ServiceId,
        /// The term.
        term: Term,
        /// The primary.
        upstream: UpstreamId,
    },
    /// A configuration is in force on this host.
    ConfigInForce {
        /// Its version.
        version: ConfigVersion,
        /// Why it was taken: `newer`, `confirmed` or `cut-off`.
        reason: &'static str,
    },
    /// The configuration in force has not been confirmed for too long, or is again.
    ConfigUsable {
        /// Its version.
        version: ConfigVersion,
        /// Whether this host may serve by it.
        usable: bool,
    },
    /// The data centres that are cut off from this one have changed.
    Reach {
        /// How many there are.
        cut_off: usize,
    },
}

impl NumberedEvent for SpreadLogEvent {
    fn number(&self) -> u16 {
        match self {
            Self::HostUp { .. } => 500,
            Self::HostDown { .. } => 501,
            Self::HostLeaving { .. } => 502,
            Self::Missed { .. } => 503,
            Self::Refuted { .. } => 504,
            Self::Reach { .. } => 505,
            Self::UpstreamLive { .. } => 510,
            Self::UpstreamLapsed { .. } => 511,
            Self::UpstreamLeaving { .. } => 512,
            Self::PrimaryLearned { .. } => 520,
            Self::ConfigInForce { .. } => 530,
            Self::ConfigUsable { .. } => 531,
        }
    }

    fn level(&self) -> log::Level {
        match self {
            Self::HostDown { .. }
            | Self::Missed { .. }
            | Self::Refuted { .. }
            | Self::UpstreamLapsed { .. }
            | Self::ConfigUsable { usable: false, .. } => log::Level::Warn,
            _ => log::Level::Info,
        }
    }
}

impl fmt::Display for SpreadLogEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::HostUp { host, incarnation } => {
                write!(f, "host-up host={host} incarnation={incarnation}")
            }
            Self::HostDown { host, incarnation } => {
                write!(f, "host-down host={host} incarnation={incarnation}")
            }
            Self::HostLeaving { host } => write!(f, "host-leaving host={host}"),
            Self::Missed { host, declared } => {
                write!(f, "heartbeats-missed host={host} declared={declared}")
            }
            Self::Refuted { sequence } => write!(f, "death-refuted sequence={sequence}"),
            Self::Reach { cut_off } => write!(f, "reach cut_off={cut_off}"),
            Self::UpstreamLive {
                upstream,
                service,
                sequence,
            } => write!(
                f,
                "upstream-live upstream={upstream} service={service} sequence={sequence}"
            ),
            Self::UpstreamLapsed { upstream, sequence } => {
                write!(f, "upstream-lapsed upstream={upstream} sequence={sequence}")
            }
            Self::UpstreamLeaving { upstream, sequence } => write!(
                f,
                "upstream-leaving upstream={upstream} sequence={sequence}"
            ),
            Self::PrimaryLearned {
                service,
                term,
                upstream,
            } => write!(
                f,
                "primary-learned service={service} term={term} upstream={upstream}"
            ),
            Self::ConfigInForce { version, reason } => {
                write!(f, "config-in-force version={version} reason={reason}")
            }
            Self::ConfigUsable { version, usable } => {
                write!(f, "config-usable version={version} usable={usable}")
            }
        }
    }
}
