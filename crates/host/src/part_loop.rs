//! The loop of one part's thread: reduces one event at a time and runs the effects.
//!
//! A part is the state of one thread of a host: the control part or one of the traffic parts.

use decide::{Effect, Event, PartState, reduce};
use tokio::sync::mpsc;

use crate::clock;
use crate::inbox::{EffectRunner, Input};
use crate::metrics_recorder::MetricsRecorder;

/// Runs a part until it has drained, or until all senders to its inbox are dropped.
pub(crate) async fn run<R: EffectRunner>(
    mut state: PartState,
    mut inbox: mpsc::UnboundedReceiver<Input>,
    mut runner: R,
    mut recorder: MetricsRecorder,
) {
    let mut effects = Vec::new();
    loop {
        let Some(event) = next_event(&state, &mut inbox, &mut runner).await else {
            break;
        };
        recorder.on_event(&event);
        reduce(&mut state, clock::now(), event, &mut effects);
        let mut drained = false;
        for effect in effects.drain(..) {
            recorder.on_effect(&effect);
            drained |= matches!(effect, Effect::PartDrained);
            runner.run_effect(effect);
        }
        if drained {
            break;
        }
    }
    runner.join_tasks().await;
}

/// Returns the next event: a tick when the state's next timer is due, else what the inbox gives.
///
/// `None` means that all senders to the inbox are dropped.
async fn next_event<R: EffectRunner>(
    state: &PartState,
    inbox: &mut mpsc::UnboundedReceiver<Input>,
    runner: &mut R,
) -> Option<Event> {
    let wake_at = state.wake_at();
    if wake_at.is_some_and(|at| at <= clock::now()) {
        // Without this, a run of overdue ticks would starve the thread's other tasks.
        tokio::task::yield_now().await;
        return Some(Event::Tick);
    }
    loop {
        let input = match wake_at {
            None => inbox.recv().await,
            Some(at) => tokio::select! {
                input = inbox.recv() => input,
                () = tokio::time::sleep(at.saturating_duration_since(clock::now())) => return Some(Event::Tick),
            },
        };
        if let Some(event) = runner.handle_input(input?) {
            return Some(event);
        }
    }
}
