//! Evacuated data centres in the control part: spreading them to all hosts, and their log lines.
//!
//! The set of evacuated data centres spreads over the same links as the configuration, and a
//! confirmation of the configuration counts only on a host that holds the set that the confirming
//! host holds. So a host that serves callers by a confirmed configuration knows all orders that
//! were committed before that was confirmed.

use std::fmt;
use std::time::Duration;

use evac::{EvacEffect, EvacEvent, EvacuationVersion, Evacuations, Order};
use model::{DataCentreId, HostId, UpstreamId};

use crate::Cx;
use crate::ack_lease::AckLeaseMsg;
use crate::log_event::NumberedEvent;
use crate::raft::LogIndex;
use crate::spread::Spread;
use crate::spread::msg::{Heartbeat, SpreadMsg};

/// Time after which the set is sent again if the receiver hasn't reported its version.
const RESEND_AFTER: Duration = Duration::from_secs(1);

impl Spread {
    /// Adopts the evacuations that consensus has committed on this host.
    pub fn on_evacuations_committed(&mut self, cx: &mut Cx<'_>, evacuations: Evacuations) {
        self.start_once(cx);
        self.learn_evacuations(cx, evacuations, None);
        self.finish_event(cx);
    }

    /// Handles the evacuations that another host holds.
    pub(crate) fn on_evacuations(
        &mut self,
        cx: &mut Cx<'_>,
        from: &HostId,
        evacuations: Evacuations,
    ) {
        if let Some(link) = self.links.get_mut(from) {
            link.evacuations_held = link.evacuations_held.max(evacuations.version);
        }
        self.learn_evacuations(cx, evacuations, Some(from));
    }

    fn learn_evacuations(
        &mut self,
        cx: &mut Cx<'_>,
        evacuations: Evacuations,
        from: Option<&HostId>,
    ) {
        let version = evacuations.version;
        let event = EvacEvent::Learned(evacuations);
        for effect in self.evacuations.reduce(cx.now, event) {
            match effect {
                EvacEffect::Evacuated {
                    data_centre,
                    closes_in,
                } => cx.log(EvacLogEvent::InForce {
                    data_centre,
                    version,
                    closes_in,
                }),
                EvacEffect::Restored { data_centre } => cx.log(EvacLogEvent::Restored {
                    data_centre,
                    version,
                }),
                EvacEffect::Forward => {
                    self.view_changed = true;
                    self.forward_evacuations(cx, from);
                }
            }
        }
    }

    fn forward_evacuations(&mut self, cx: &mut Cx<'_>, from: Option<&HostId>) {
        let links = self.links.iter().filter(|(_, link)| link.ever_heard);
        let to = links.filter(|(host, _)| Some(*host) != from);
        let to: Vec<HostId> = to.map(|(host, _)| host.clone()).collect();
        for host in to {
            self.push_evacuations(cx, &host);
        }
    }

    /// Sends a host the evacuations if it holds an older version, as far as known.
    pub(crate) fn push_evacuations(&mut self, cx: &mut Cx<'_>, host: &HostId) {
        let version = self.evacuations.version();
        let Some(link) = self.links.get_mut(host) else {
            return;
        };
        let sent = link.evacuations_sent;
        let sent = sent.filter(|(_, at)| cx.now < *at + RESEND_AFTER);
        let theirs = sent.map_or(0, |(version, _)| version);
        if version <= link.evacuations_held.max(theirs) {
            return;
        }
        link.evacuations_sent = Some((version, cx.now));
        let evacuations = self.evacuations.evacuations();
        cx.send_control(host, SpreadMsg::Evacuations(Box::new(evacuations)));
    }

    /// Handles the version that another host holds, by its heartbeat, and sends it what it lacks.
    pub(crate) fn on_evacuations_held(
        &mut self,
        cx: &mut Cx<'_>,
        from: &HostId,
        version: EvacuationVersion,
        is_local: bool,
    ) {
        if let Some(link) = self.links.get_mut(from) {
            link.evacuations_held = version;
        }
        if is_local {
            self.evacuations
                .reduce(cx.now, EvacEvent::HeldNearby(version));
        }
        self.push_evacuations(cx, from);
    }

    /// Returns the message for a heartbeat, with the lease of acknowledgements if one is passed on.
    ///
    /// The version of the evacuations is in it once one was ordered, since hosts of earlier versions
    /// know no such message.
    pub(crate) fn heartbeat_msg(
        &self,
        heartbeat: Heartbeat,
        lease: Option<Box<AckLeaseMsg>>,
    ) -> SpreadMsg {
        let heartbeat = Box::new(heartbeat);
        match (lease, self.evacuations.version()) {
            (Some(lease), evacuations) => SpreadMsg::LeasedHeartbeat {
                heartbeat,
                lease,
                evacuations,
            },
            (None, 0) => SpreadMsg::Heartbeat(heartbeat),
            (None, evacuations) => SpreadMsg::HeartbeatWithEvacuations {
                heartbeat,
                evacuations,
            },
        }
    }
}

/// A log line about the evacuation of a data centre.
#[derive(Clone, Debug, PartialEq)]
pub enum EvacLogEvent {
    /// An operator's order was committed and led to a new version.
    Committed {
        /// The order.
        order: Order,
        /// The new version.
        version: EvacuationVersion,
        /// Index of the entry in the log.
        index: LogIndex,
    },
    /// This host keeps to an evacuation from now on.
    InForce {
        /// The data centre.
        data_centre: DataCentreId,
        /// Version of the evacuations.
        version: EvacuationVersion,
        /// Time until nothing at all is sent to its instances.
        closes_in: Duration,
    },
    /// This host may use the instances of the data centre again.
    Restored {
        /// The data centre.
        data_centre: DataCentreId,
        /// Version of the evacuations.
        version: EvacuationVersion,
    },
    /// This host sends nothing more to an instance that it owns in an evacuated data centre.
    Closed {
        /// The instance.
        upstream: UpstreamId,
        /// Whether it was the primary.
        is_primary: bool,
        /// Number of requests that waited for it.
        queued: usize,
        /// Number of open transactions there.
        transactions: usize,
    },
}

impl NumberedEvent for EvacLogEvent {
    fn number(&self) -> u16 {
        match self {
            Self::Committed { .. } => 380,
            Self::InForce { .. } => 381,
            Self::Restored { .. } => 382,
            Self::Closed { .. } => 383,
        }
    }

    fn level(&self) -> log::Level {
        match self {
            Self::Closed {
                is_primary: true, ..
            } => log::Level::Warn,
            _ => log::Level::Info,
        }
    }
}

impl fmt::Display for EvacLogEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Committed {
                order,
                version,
                index,
            } => write!(
                f,
                "evacuation-committed data_centre={} order={order} version={version} index={index}",
                model::LogField::text(order.data_centre())
            ),
            Self::InForce {
                data_centre,
                version,
                closes_in,
            } => write!(
                f,
                "evacuation-in-force data_centre={} version={version} closes_in_ms={}",
                model::LogField::text(data_centre),
                closes_in.as_millis()
            ),
            Self::Restored {
                data_centre,
                version,
            } => write!(
                f,
                "evacuation-ended data_centre={} version={version}",
                model::LogField::text(data_centre)
            ),
            Self::Closed {
                upstream,
                is_primary,
                queued,
                transactions,
            } => write!(
                f,
                "evacuation-closed upstream={upstream} primary={is_primary} queued={queued} transactions={transactions}"
            ),
        }
    }
}
