//! Parses the lines of a scenario and the values in them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use model::{InstanceStatus, PartAddr, Position, Role};

/// A line of the form `verb subject key=value flag`.
pub(crate) struct Line {
    pub(crate) verb: String,
    subject: String,
    pub(crate) args: BTreeMap<String, String>,
}

impl Line {
    /// Parses a line; the subject may be left out.
    ///
    /// A first word with `=` is no subject, except after the verb `notes`.
    pub(crate) fn parse(line: &str) -> Self {
        let mut words = line.split_whitespace().peekable();
        let verb = words.next().unwrap().to_owned();
        let subject = words.next_if(|word| !word.contains('=') || verb == "notes");
        let subject = subject.unwrap_or_default().to_owned();
        let args = words
            .map(|word| word.split_once('=').unwrap_or((word, "")))
            .map(|(key, value)| (key.to_owned(), value.to_owned()))
            .collect();
        Self {
            verb,
            subject,
            args,
        }
    }

    pub(crate) fn subject(&self) -> &str {
        &self.subject
    }

    pub(crate) fn value(&self, key: &str) -> Option<&str> {
        self.args.get(key).map(String::as_str)
    }

    pub(crate) fn get_or<'a>(&'a self, key: &str, default: &'a str) -> &'a str {
        self.value(key).unwrap_or(default)
    }

    pub(crate) fn text_or(&self, key: &str, default: &str) -> Arc<str> {
        self.get_or(key, default).into()
    }

    pub(crate) fn has_flag(&self, key: &str) -> bool {
        self.args.contains_key(key)
    }
}

/// Returns the part that sends a line's request.
///
/// A part is the state of one thread of a host; part 1 is the first that serves callers.
pub(crate) fn parse_sender(line: &Line) -> PartAddr {
    let host = line.text_or("from", "h1");
    PartAddr { host, part: 1 }
}

/// Parses a connection id such as `c3`.
pub(crate) fn parse_conn(text: &str) -> u64 {
    text.trim_start_matches('c').parse().unwrap()
}

/// Parses a duration such as `20ms`, `5s` or `1h`.
pub(crate) fn parse_duration(text: &str) -> Duration {
    let digits = text.trim_end_matches(char::is_alphabetic);
    let count: u64 = digits.parse().unwrap();
    match &text[digits.len()..] {
        "ms" => Duration::from_millis(count),
        "s" => Duration::from_secs(count),
        "h" => Duration::from_secs(count * 3600),
        unit => panic!("unknown unit `{unit}`"),
    }
}

/// Parses a status such as `replica@2:2/100,30ms`: role, term, position and lag.
pub(crate) fn parse_status(text: &str) -> InstanceStatus {
    let (role, rest) = text.split_once('@').unwrap();
    let (term, rest) = rest.split_once(':').unwrap();
    let (position, lag) = rest.split_once(',').unwrap_or((rest, "0s"));
    let position: Position = position.parse().unwrap();
    InstanceStatus {
        role: match role {
            "primary" => Role::Primary,
            _ => Role::Replica,
        },
        term: term.parse().unwrap(),
        position,
        lag: parse_duration(lag),
    }
}
