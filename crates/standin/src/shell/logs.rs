//! The log lines of an instance.

use crate::engine::log_event::LogEvent;

/// The target of the project's log lines.
const TARGET: &str = "carawaycourse";

/// Writes the line of a numbered event.
pub(crate) fn write(event: &LogEvent) {
    let level = event.level();
    if level <= log::max_level() {
        log::log!(target: TARGET, level, "event={} {event}", event.number());
    }
}
