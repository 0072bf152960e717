//! The state that a host keeps for each host with which it exchanges heartbeats.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use evac::EvacuationVersion;
use model::{ConfigVersion, Incarnation};

use crate::spread::facts::FactKey;
use crate::spread::msg::StreamPosition;

/// How many sent heartbeats are remembered, to date the statements in their answers.
const HEARTBEATS_REMEMBERED: usize = 8;

/// A link to another host; it may be parent and child at once, as heads are of each other.
#[derive(Debug)]
pub struct Link {
    /// Whether this host takes the other as a parent, to which it sends heartbeats.
    pub is_parent: bool,
    /// Whether the other takes this host as a parent.
    pub is_child: bool,
    /// Whether the other has this host as a parent in the tree that this host computed.
    pub expected_child: bool,
    /// When the other was last heard; at first, when the link was made.
    pub last_heard: Instant,
    /// When a third host last confirmed that it hears the other.
    pub liveness_confirmed: Option<Instant>,
    /// Whether the other was ever heard on this link.
    pub ever_heard: bool,
    /// The incarnation of the other that was heard last.
    pub incarnation: Incarnation,
    /// The number of the other's last heartbeat, echoed to it; zero before the first.
    pub last_number_received: u32,
    /// The position up to which the other's stream was received without a gap.
    pub received_position: StreamPosition,
    /// Whether facts from the other may be lost, so that it must start a new stream.
    pub needs_sync: bool,
    /// When the other, as a parent, was last asked for a new stream.
    pub sync_requested: Option<Instant>,
    /// The position after the last message sent in the stream to the other.
    pub sent_position: StreamPosition,
    /// When the current stream to the other was started, or the other was redirected.
    pub stream_started: Option<Instant>,
    /// Keys of the facts to send with the next batch.
    pub pending: BTreeSet<FactKey>,
    /// Keys of facts that the other most likely gets from other hosts, and since when they wait.
    pub deferred: BTreeMap<FactKey, Instant>,
    /// The configuration version that the other last reported in force.
    pub version_in_force: Option<ConfigVersion>,
    /// The newest configuration version that the other is known to hold.
    pub held_version: Option<ConfigVersion>,
    /// The updates of the configuration that the other may not have processed yet: the version that
    /// each leads to, and the number of the last heartbeat that was sent before it.
    config_in_flight: VecDeque<(ConfigVersion, u32)>,
    /// When event 533 last reported that the other lacks a version and is sent no update.
    pub withheld_reported_at: Option<Instant>,
    /// The newest version of the evacuations that the other is known to hold.
    pub evacuations_held: EvacuationVersion,
    /// The version of the evacuations that was last sent, and when.
    pub evacuations_sent: Option<(EvacuationVersion, Instant)>,
    /// The numbers of the last heartbeats to the other, and when they were sent.
    sent_heartbeats: Vec<(u32, Instant)>,
    last_number_sent: u32,
}

impl Link {
    /// Returns a new link without any role, on which nothing was heard or sent.
    ///
    /// `last_number` is the highest number of a heartbeat that the other may have received: it echoes
    /// the highest one, and would echo no lower number.
    pub fn new(now: Instant, last_number: u32) -> Self {
        Self {
            is_parent: false,
            is_child: false,
            expected_child: false,
            last_heard: now,
            liveness_confirmed: None,
            ever_heard: false,
            incarnation: 0,
            last_number_received: 0,
            received_position: StreamPosition::default(),
            needs_sync: true,
            sync_requested: None,
            sent_position: StreamPosition::default(),
            stream_started: None,
            pending: BTreeSet::new(),
            deferred: BTreeMap::new(),
            version_in_force: None,
            held_version: None,
            config_in_flight: VecDeque::new(),
            withheld_reported_at: None,
            evacuations_held: 0,
            evacuations_sent: None,
            sent_heartbeats: Vec::new(),
            last_number_sent: last_number,
        }
    }

    /// Returns whether the other takes this host as a parent but not the reverse.
    pub fn is_child_only(&self) -> bool {
        self.is_child && !self.is_parent
    }

    /// Returns whether the link has a role; otherwise it is dropped.
    pub fn is_needed(&self) -> bool {
        self.is_parent || self.is_child || self.expected_child
    }

    /// Returns whether a heartbeat of this incarnation counts; one of an earlier start doesn't.
    ///
    /// A new incarnation resets the state of the link.
    pub fn accept_incarnation(&mut self, incarnation: Incarnation, now: Instant) -> bool {
        if self.ever_heard && incarnation < self.incarnation {
            return false;
        }
        if self.ever_heard && incarnation > self.incarnation {
            let (is_parent, expected_child) = (self.is_parent, self.expected_child);
            *self = Self::new(now, self.last_number_sent);
            (self.is_parent, self.expected_child) = (is_parent, expected_child);
        }
        self.incarnation = incarnation;
        true
    }

    /// Returns whether the other was heard on this link less than `dead_after` ago.
    pub fn is_alive(&self, now: Instant, dead_after: Duration) -> bool {
        self.ever_heard && now.saturating_duration_since(self.last_heard) < dead_after
    }

    /// Returns the number of a heartbeat that is sent now, and remembers when that was.
    pub fn next_heartbeat(&mut self, now: Instant) -> u32 {
        self.last_number_sent += 1;
        if self.sent_heartbeats.len() == HEARTBEATS_REMEMBERED {
            self.sent_heartbeats.remove(0);
        }
        self.sent_heartbeats.push((self.last_number_sent, now));
        self.last_number_sent
    }

    /// Returns when the heartbeat that the other echoes was sent: its statement is no older.
    ///
    /// It is `None` if that heartbeat is no longer remembered.
    pub fn heartbeat_sent_at(&self, echo: u32) -> Option<Instant> {
        let heartbeat = self
            .sent_heartbeats
            .iter()
            .find(|(number, _)| *number == echo);
        heartbeat.map(|(_, at)| *at)
    }

    /// Records an update of the configuration that is sent now.
    pub fn record_config_sent(&mut self, version: ConfigVersion) {
        self.config_in_flight
            .push_back((version, self.last_number_sent));
    }

    /// Returns the version that the other holds once it has processed all updates sent to it.
    pub fn expected_version(&self) -> Option<ConfigVersion> {
        let sent = self.config_in_flight.back().map(|(version, _)| *version);
        self.held_version.max(sent)
    }

    /// Records the version that the other holds, by a heartbeat that echoes the number `echo`.
    ///
    /// Messages arrive in order, so the other has processed all updates that were sent before the
    /// echoed heartbeat. If it holds an older version than they lead to, one was lost or could not be
    /// applied, and the later ones start at a version that it doesn't hold.
    pub fn record_config_held(&mut self, echo: u32, held: Option<ConfigVersion>) {
        self.held_version = held;
        let in_flight = &mut self.config_in_flight;
        let processed = in_flight.partition_point(|(_, number)| *number < echo);
        let last = in_flight.drain(..processed).next_back();
        if last.map(|(version, _)| version) > held {
            in_flight.clear();
        }
    }

    /// Forgets the updates in flight, which may be lost with a broken connection.
    pub fn forget_config_in_flight(&mut self) {
        self.config_in_flight.clear();
    }

    /// Compares the end of the other's stream with what was received, to find lost messages.
    pub fn check_stream_end(&mut self, theirs: StreamPosition) {
        self.needs_sync = theirs.stream == 0 || theirs != self.received_position;
    }

    /// Advances the received position by a message, or asks for a new stream if there is a gap.
    pub fn advance_received(&mut self, position: StreamPosition) {
        let next_message = position.next_message + 1;
        if position.next_message == 0 || position == self.received_position {
            self.received_position = StreamPosition {
                next_message,
                ..position
            };
        } else {
            self.needs_sync = true;
        }
    }

    /// Starts a new stream of facts to the other, with nothing queued.
    pub fn start_stream(&mut self, stream: u32, now: Instant) {
        self.sent_position = StreamPosition {
            stream,
            next_message: 0,
        };
        self.stream_started = Some(now);
        self.pending.clear();
        self.deferred.clear();
    }

    /// Returns the position of the next message to send in the stream.
    pub fn next_position(&mut self) -> StreamPosition {
        let position = self.sent_position;
        self.sent_position.next_message += 1;
        position
    }

    /// Queues a fact, if a stream has been started.
    ///
    /// With `defer_since`, it is sent later, and only if the other doesn't get it elsewhere.
    pub fn queue_fact(&mut self, key: &FactKey, defer_since: Option<Instant>) {
        if self.sent_position.stream == 0 {
            return;
        }
        match defer_since {
            None => {
                self.deferred.remove(key);
                self.pending.insert(key.clone());
            }
            Some(_) if self.pending.contains(key) => {}
            // A fact that changes often would never be sent if each change renewed its time.
            Some(now) => {
                self.deferred.entry(key.clone()).or_insert(now);
            }
        }
    }

    /// Unqueues a fact that the other has.
    pub fn mark_known(&mut self, key: &FactKey) {
        self.pending.remove(key);
        self.deferred.remove(key);
    }
}
