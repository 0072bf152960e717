//! The state of one part of a host, and the reducer that applies events to it.

use std::collections::VecDeque;
use std::time::Instant;

use model::{HostInfo, PartId};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::control::ControlPart;
use crate::traffic::TrafficPart;
use crate::{Cx, Effect, Event, Settings};

/// The state of one part of a host, owned by one thread.
pub struct PartState {
    me: HostInfo,
    part_id: PartId,
    settings: Settings,
    rng: SmallRng,
    /// Events that a feature has raised for this part; empty between two calls of [`reduce`].
    raised_events: VecDeque<Event>,
    role: PartRole,
}

/// The features of a part and their state: those of control or those of traffic.
pub enum PartRole {
    /// Membership, configuration, consensus, primaries and distribution of rates.
    Control(Box<ControlPart>),
    /// Sessions of callers, queues of requests and connections to upstreams.
    Traffic(Box<TrafficPart>),
}

impl PartState {
    /// Returns the state of a part that has just started; `seed` is that of its random numbers.
    pub fn new(
        me: HostInfo,
        part_id: PartId,
        settings: Settings,
        seed: u64,
        role: PartRole,
    ) -> Self {
        Self {
            me,
            part_id,
            settings,
            rng: SmallRng::seed_from_u64(seed),
            raised_events: VecDeque::new(),
            role,
        }
    }

    /// Returns the moment at which the part needs an [`Event::Tick`], if any.
    pub fn wake_at(&self) -> Option<Instant> {
        match &self.role {
            PartRole::Control(control) => control.wake_at(),
            PartRole::Traffic(traffic) => traffic.wake_at(),
        }
    }

    /// Returns the part's features and their state.
    pub fn role(&self) -> &PartRole {
        &self.role
    }
}

/// Reduces one event and those that it raises: changes the state and appends the effects.
pub fn reduce(state: &mut PartState, now: Instant, event: Event, effects: &mut Vec<Effect>) {
    let PartState {
        me,
        part_id,
        settings,
        rng,
        raised_events,
        role,
    } = state;
    raised_events.push_back(event);
    while let Some(event) = raised_events.pop_front() {
        let cx = &mut Cx {
            now,
            me,
            part: *part_id,
            settings,
            rng,
            effects,
            raised_events,
        };
        match role {
            PartRole::Control(control) => control.reduce(cx, event),
            PartRole::Traffic(traffic) => traffic.reduce(cx, event),
        }
    }
}
