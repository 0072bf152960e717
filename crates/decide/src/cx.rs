//! The context that is passed to every function that takes part in reducing an event.

use std::collections::VecDeque;
use std::time::Instant;

use model::{CONTROL_PART, HostId, HostInfo, PartAddr, PartId};
use rand::rngs::SmallRng;

use crate::{Effect, Event, LogEvent, Msg, Settings};

/// The context of one event: time, host, settings and randomness, and where effects go.
pub struct Cx<'a> {
    /// The moment at which the event is reduced; the same for all that follows from it.
    pub now: Instant,
    /// The host that the part belongs to.
    pub me: &'a HostInfo,
    /// The part whose event is being reduced.
    pub part: PartId,
    /// The settings of all features.
    pub settings: &'a Settings,
    /// The part's random numbers; a given seed always yields the same ones.
    pub rng: &'a mut SmallRng,
    /// Effects for the part's thread to run, in order.
    pub effects: &'a mut Vec<Effect>,
    /// Further events for the same part, reduced in order before [`reduce`](crate::reduce) returns.
    pub raised_events: &'a mut VecDeque<Event>,
}

impl Cx<'_> {
    /// Appends an effect.
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

    /// Queues an event for the same part, which the same call of `reduce` handles.
    pub fn raise(&mut self, event: Event) {
        self.raised_events.push_back(event);
    }

    /// Emits a log line.
    pub fn log(&mut self, event: impl Into<LogEvent>) {
        self.effects.push(Effect::Log(event.into()));
    }
}
