//! Writes log lines with the `log` crate.

use crate::engine::log_event::LogEvent;

/// The `log` target of all log lines of the project.
const TARGET: &str = "carawaycourse";

/// Writes an event's line, with its number, if its level is enabled.
pub(crate) fn write(event: &LogEvent) {
    let level = event.level();
    if level <= log::max_level() {
        log::log!(target: TARGET, level, "event={} {event}", event.number());
    }
}
