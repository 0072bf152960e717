//! Log events of membership, facts and configuration in force, numbered 500 to 599.

use std::fmt;
use std::time::Duration;

use model::{ConfigVersion, HostId, Incarnation, ServiceId, Term, UpstreamId};

use crate::log_event::NumberedEvent;

/// A log event of membership, facts or configuration in force.
#[derive(Clone, Debug, PartialEq)]
pub enum SpreadLogEvent {
    /// A host is alive that was unknown or dead, or that has restarted.
    HostUp {
        /// The host that is alive.
        host: HostId,
        /// Its current incarnation.
        incarnation: Incarnation,
    },
    /// A host has been declared dead, by this host or another.
    HostDown {
        /// The dead host.
        host: HostId,
        /// The incarnation that died.
        incarnation: Incarnation,
    },
    /// A host is leaving the fleet and gets no new work.
    HostLeaving {
        /// The leaving host.
        host: HostId,
    },
    /// This host has heard no heartbeat of another one for `dead_after`.
    HeartbeatsMissed {
        /// The silent host.
        host: HostId,
        /// Whether this host publishes that the other is dead.
        declared: bool,
    },
    /// Another host declared this one dead, and this one has refuted it.
    DeathRefuted {
        /// The sequence of the fact that refutes the death.
        sequence: u64,
    },
    /// An upstream that was unknown or lapsed has announced itself.
    UpstreamLive {
        /// The announced upstream.
        upstream: UpstreamId,
        /// The service that it serves.
        service: ServiceId,
        /// The sequence of its announcement.
        sequence: u64,
    },
    /// The lease of an upstream's announcement ended without renewal.
    UpstreamLapsed {
        /// The lapsed upstream.
        upstream: UpstreamId,
        /// The sequence of its last announcement.
        sequence: u64,
    },
    /// An upstream has announced that it drains: it will leave, and gets no new reads.
    UpstreamDraining {
        /// The draining upstream.
        upstream: UpstreamId,
        /// The sequence of its announcement.
        sequence: u64,
    },
    /// An upstream has announced that it is leaving.
    UpstreamLeaving {
        /// The leaving upstream.
        upstream: UpstreamId,
        /// The sequence of its announcement.
        sequence: u64,
    },
    /// This host has learned a new term or primary of a service.
    PrimaryLearned {
        /// The service whose primary it is.
        service: ServiceId,
        /// The term in which it is primary.
        term: Term,
        /// The new primary.
        upstream: UpstreamId,
    },
    /// A configuration has come into force on this host.
    ConfigInForce {
        /// The configuration's version.
        version: ConfigVersion,
        /// Why it came into force: `newer`, `confirmed` or `cut-off`.
        reason: &'static str,
        /// The host that sent it; `None` if consensus committed it on this host.
        from: Option<HostId>,
        /// The version that was in force before; 0 if none was.
        previous: ConfigVersion,
    },
    /// An update to a newer configuration can't be applied to the held one.
    ConfigUpdateRejected {
        /// The host that sent it.
        from: HostId,
        /// The version that the update applies to; 0 if it is a full configuration.
        base: ConfigVersion,
        /// The version that it leads to.
        version: ConfigVersion,
        /// The held version; 0 if there is none.
        held: ConfigVersion,
    },
    /// Another host lacks a version of this one for long, and is sent no update now.
    ConfigWithheld {
        /// The host that lacks the version.
        host: HostId,
        /// The version that it has reported.
        held: ConfigVersion,
        /// The version that this host holds.
        newest: ConfigVersion,
        /// Time since this host adopted the first version that the other lacks.
        lacking: Duration,
        /// Why nothing is sent.
        reason: &'static str,
    },
    /// This host has lacked a version for long that another one holds.
    ConfigBehind {
        /// The held version; 0 if there is none.
        held: ConfigVersion,
        /// The newest version that this host has heard of.
        newest: ConfigVersion,
        /// The host that reported it.
        known_by: HostId,
        /// Time since this host heard of the first version that it lacks.
        lacking: Duration,
        /// The last host whose update could not be applied; `None` if no update came.
        rejected_from: Option<HostId>,
    },
    /// The configuration in force went unconfirmed for too long, or is confirmed again.
    ConfigUsable {
        /// The configuration's version.
        version: ConfigVersion,
        /// Whether this host may serve requests by it.
        usable: bool,
    },
    /// The set of data centres that are cut off from this host has changed.
    ReachChanged {
        /// How many data centres are cut off.
        cut_off: usize,
    },
}

impl NumberedEvent for SpreadLogEvent {
    fn number(&self) -> u16 {
        match self {
            Self::HostUp { .. } => 500,
            Self::HostDown { .. } => 501,
            Self::HostLeaving { .. } => 502,
            Self::HeartbeatsMissed { .. } => 503,
            Self::DeathRefuted { .. } => 504,
            Self::ReachChanged { .. } => 505,
            Self::UpstreamLive { .. } => 510,
            Self::UpstreamLapsed { .. } => 511,
            Self::UpstreamLeaving { .. } => 512,
            Self::UpstreamDraining { .. } => 513,
            Self::PrimaryLearned { .. } => 520,
            Self::ConfigInForce { .. } => 530,
            Self::ConfigUsable { .. } => 531,
            Self::ConfigUpdateRejected { .. } => 532,
            Self::ConfigWithheld { .. } => 533,
            Self::ConfigBehind { .. } => 534,
        }
    }

    fn level(&self) -> log::Level {
        match self {
            Self::HostDown { .. }
            | Self::HeartbeatsMissed { .. }
            | Self::DeathRefuted { .. }
            | Self::UpstreamLapsed { .. }
            | Self::ConfigWithheld { .. }
            | Self::ConfigBehind { .. }
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
            Self::HeartbeatsMissed { host, declared } => {
                write!(f, "heartbeats-missed host={host} declared={declared}")
            }
            Self::DeathRefuted { sequence } => write!(f, "death-refuted sequence={sequence}"),
            Self::ReachChanged { cut_off } => write!(f, "reach cut_off={cut_off}"),
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
            Self::UpstreamDraining { upstream, sequence } => write!(
                f,
                "upstream-draining upstream={upstream} sequence={sequence}"
            ),
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
            Self::ConfigInForce {
                version,
                reason,
                from,
                previous,
            } => {
                let from = from.as_deref().unwrap_or("consensus");
                write!(
                    f,
                    "config-in-force version={version} reason={reason} from={from} previous={previous}"
                )
            }
            Self::ConfigUpdateRejected {
                from,
                base,
                version,
                held,
            } => write!(
                f,
                "config-update-rejected from={from} base={base} version={version} held={held}"
            ),
            Self::ConfigWithheld {
                host,
                held,
                newest,
                lacking,
                reason,
            } => write!(
                f,
                "config-withheld host={host} held={held} newest={newest} lacking_ms={} reason={reason}",
                lacking.as_millis()
            ),
            Self::ConfigBehind {
                held,
                newest,
                known_by,
                lacking,
                rejected_from,
            } => write!(
                f,
                "config-behind held={held} newest={newest} known_by={known_by} lacking_ms={} rejected_from={}",
                lacking.as_millis(),
                rejected_from.as_deref().unwrap_or("-")
            ),
            Self::ConfigUsable { version, usable } => {
                write!(f, "config-usable version={version} usable={usable}")
            }
        }
    }
}
