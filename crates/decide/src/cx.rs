//! The one context value that is handed down through a reduction.

use std::collections::VecDeque;
use std::time::Instant;

use model::{CONTROL_PART, HostId, HostInfo, PartAddr, PartId};
use rand::rngs::SmallRng;

use crate::{Effect, Event, LogEvent, Msg, Settings};

/// What a decision may look at and where its effects go.
pub struct Cx<'a> {
    /// The moment at which the event is reduced.
    pub now: Instant,
    /// This host.
    pub me: &'a HostInfo,
    /// The part of the host's state that is being reduced.
    pub part: PartId,
    /// The settings of all features.
    pub settings: &'a Settings,
    /// Seeded randomness.
    pub rng: &'a mut SmallRng,
    /// Effects for the host to run, in order.
    pub effects: &'a mut Vec<Effect>,
    /// Events for this same part, reduced before the call returns.
    pub raised: &'a mut VecDeque<Event>,
}

impl Cx<'_> {
    /// Emits an effect.
    pub fn emit(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    /// Sends a message to one part of one host, this one included.
    pub fn send(&mut self, to: PartAddr, msg: impl Into<Msg>) {
        let msg = msg.into();
        self.effects.push(Effect::Send { to, msg });
    }

    /// Sends a message to the control part of a host.
    pub fn send_control(&mut self, host: &HostId, msg: impl Into<Msg>) {
        let host = host.clone();
        let part = CONTROL_PART;
        self.send(PartAddr { host, part }, msg);
    }

    /// Raises an event that this same part reduces next.
    pub fn raise(&mut self, event: Event) {
        self.raised.push_back(event);
    }

    /// Emits a log line.
    pub fn log(&mut self, event: impl Into<LogEvent>) {
        self.effects.push(Effect::Log(event.into()));
    }
}
