//! The loop of one thread: an event in, effects out.

use decide::{Effect, Event, PartState, reduce};
use tokio::sync::mpsc;

use crate::clock;
use crate::input::{Input, Runner};
use crate::metrics_tally::Tally;

/// Runs a part until it has left.
pub(crate) async fn run<R: Runner>(
    mut state: PartState,
    mut inbox: mpsc::UnboundedReceiver<Input>,
    mut runner: R,
    mut tally: Tally,
) {
    let mut effects = Vec::new();
    loop {
        let Some(event) = next(&state, &mut inbox, &mut runner).await else {
            break;
        };
        tally.event(&event);
        reduce(&mut state, clock::now(), event, &mut effects);
        let mut left = false;
        for effect in effects.drain(..) {
            tally.effect(&effect);
            left |= matches!(effect, Effect::PartDrained);
            runner.run(effect);
        }
        if left {
            break;
        }
    }
    runner.join().await;
}

/// Waits for the next event, or for the moment at which the state wants a tick.
async fn next<R: Runner>(
    state: &PartState,
    inbox: &mut mpsc::UnboundedReceiver<Input>,
    runner: &mut R,
) -> Option<Event> {
    let wake_at = state.wake_at();
    if wake_at.is_some_and(|at| at <= clock::now()) {
        // Lets the thread's own tasks run between two overdue ticks.
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
        if let Some(event) = runner.take(input?) {
            return Some(event);
        }
    }
}
