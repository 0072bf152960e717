//! What a host keeps of each host that it exchanges heartbeats with.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use model::{ConfigVersion, Incarnation};

use crate::spread::facts::FactKey;
use crate::spread::msg::Place;

/// How many sent beats are remembered, to date what the answers say.
const BEATS_REMEMBERED: usize = 8;

/// A link to another host.
#[derive(Debug)]
pub struct Link {
    /// Whether this host takes the other as a parent.
    pub up: bool,
    /// Whether the other takes this host as a parent.
    pub down: bool,
    /// Whether the other should take this host as a parent.
    pub expected: bool,
    /// The last moment at which the other was heard.
    pub heard: Instant,
    /// The last moment at which a third host said that it hears the other.
    pub vouched: Option<Instant>,
    /// Whether the other was ever heard on this link.
    pub met: bool,
    /// Which start of the other was heard last.
    pub incarnation: Incarnation,
    /// The other's last beat.
    pub echo: u32,
    /// The place up to which the other's facts were received, in order.
    pub received: Place,
    /// Whether facts of the other have been lost, so that it must start anew.
    pub need: bool,
    /// When the other was last asked for its facts, as a parent.
    pub asked: Option<Instant>,
    /// The place up to which facts were sent.
    pub sent: Place,
    /// The moment at which the current stream was started.
    pub stream_started: Option<Instant>,
    /// Facts to send with the next batch.
    pub pending: BTreeSet<FactKey>,
    /// Facts that the other most likely gets from elsewhere, since these moments.
    pub lazy: BTreeMap<FactKey, Instant>,
    /// The configuration that the other has in force.
    pub version: Option<ConfigVersion>,
    /// The configuration that the other holds.
    pub held: Option<ConfigVersion>,
    /// The configuration that was sent last, and when.
    pub config_sent: Option<(ConfigVersion, Instant)>,
    beats: Vec<(u32, Instant)>,
    number: u32,
}

impl Link {
    /// Returns a link that starts now.
    pub fn new(now: Instant) -> Self {
        Self {
            up: false,
            down: false,
            expected: false,
            heard: now,
            vouched: None,
            met: false,
            incarnation: 0,
            echo: 0,
            received: Place::default(),
            need: true,
            asked: None,
            sent: Place::default(),
            stream_started: None,
            pending: BTreeSet::new(),
            lazy: BTreeMap::new(),
            version: None,
            held: None,
            config_sent: None,
            beats: Vec::new(),
            number: 0,
        }
    }

    /// Returns whether the other takes this host as a parent but not the reverse.
    pub fn child(&self) -> bool {
        self.down && !self.up
    }

    /// Returns whether there is a reason to keep the link.
    pub fn wanted(&self) -> bool {
        self.up || self.down || self.expected
    }

    /// Forgets all about an earlier start of the other, and returns false for a beat of one.
    pub fn accept(&mut self, incarnation: Incarnation, now: Instant) -> bool {
        if self.met && incarnation < self.incarnation {
            return false;
        }
        if self.met && incarnation > self.incarnation {
            let (up, expected) = (self.up, self.expected);
            *self = Self::new(now);
            (self.up, self.expected) = (up, expected);
        }
        self.incarnation = incarnation;
        true
    }

    /// Returns whether the other was heard within a while.
    pub fn alive(&self, now: Instant, dead_after: Duration) -> bool {
        self.met && now.saturating_duration_since(self.heard) < dead_after
    }

    /// Numbers a beat that is sent now.
    pub fn next_beat(&mut self, now: Instant) -> u32 {
        self.number += 1;
        if self.beats.len() == BEATS_REMEMBERED {
            self.beats.remove(0);
        }
        self.beats.push((self.number, now));
        self.number
    }

    /// Returns when the beat that the other echoes was sent: its statement is no older.
    pub fn dated(&self, echo: u32) -> Option<Instant> {
        let beat = self.beats.iter().find(|(number, _)| *number == echo);
        beat.map(|(_, at)| *at)
    }

    /// Notes where the other's stream stands, and whether anything was lost.
    pub fn check_stream(&mut self, theirs: Place) {
        self.need = theirs.stream == 0 || theirs != self.received;
    }

    /// Notes a message of the other's stream.
    pub fn receive(&mut self, place: Place) {
        let next = place.next + 1;
        if place.next == 0 || place == self.received {
            self.received = Place { next, ..place };
        } else {
            self.need = true;
        }
    }

    /// Starts a new stream of facts.
    pub fn start_stream(&mut self, stream: u32, now: Instant) {
        self.sent = Place { stream, next: 0 };
        self.stream_started = Some(now);
        self.pending.clear();
        self.lazy.clear();
    }

    /// Returns the place of the next message of the stream.
    pub fn next_place(&mut self) -> Place {
        let place = self.sent;
        self.sent.next += 1;
        place
    }

    /// Notes a fact to send, at once or only if the other does not get it elsewhere.
    pub fn queue(&mut self, key: &FactKey, lazy_since: Option<Instant>) {
        if self.sent.stream == 0 {
            return;
        }
        match lazy_since {
            None => {
                self.lazy.remove(key);
                self.pending.insert(key.clone());
            }
            Some(_) if self.pending.contains(key) => {}
            Some(now) => {
                self.lazy.insert(key.clone(), now);
            }
        }
    }

    /// Notes that the other has a fact.
    pub fn has(&mut self, key: &FactKey) {
        self.pending.remove(key);
        self.lazy.remove(key);
    }
}
