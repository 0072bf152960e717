//! Bytes from callers and upstreams as fields of log lines.

use std::fmt;

/// Number of bytes of a field that are written to the log; the rest is only counted.
const MAX_FIELD_BYTES: usize = 64;

/// Displays bytes from outside of the host as one field of a log line.
///
/// White space, control characters, quotes and all that isn't ASCII are escaped, so that the bytes
/// neither end the field nor the line. An empty field is displayed as `""`.
#[derive(Clone, Copy, Debug)]
pub struct LogField<'a>(pub &'a [u8]);

impl<'a> LogField<'a> {
    /// Returns the field for a text.
    pub fn text(text: &'a str) -> Self {
        Self(text.as_bytes())
    }
}

impl fmt::Display for LogField<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() {
            return f.write_str("\"\"");
        }
        let shown = &self.0[..self.0.len().min(MAX_FIELD_BYTES)];
        let plain = |byte: &u8| byte.is_ascii_graphic() && !matches!(byte, b'"' | b'\'' | b'\\');
        match std::str::from_utf8(shown) {
            Ok(text) if shown.iter().all(plain) => f.write_str(text)?,
            _ => write_escaped(f, shown)?,
        }
        match self.0.len() - shown.len() {
            0 => Ok(()),
            left_out => write!(f, "...+{left_out}"),
        }
    }
}

fn write_escaped(f: &mut fmt::Formatter<'_>, bytes: &[u8]) -> fmt::Result {
    bytes.iter().try_for_each(|byte| match byte {
        b' ' => f.write_str("\\x20"),
        byte => write!(f, "{}", byte.escape_ascii()),
    })
}
