//! Bytes from outside stay one bounded field of a log line.
#![allow(clippy::unwrap_used, reason = "a test that meets an error ends there")]

use model::LogField;
use proptest::prelude::*;

#[test]
fn a_plain_id_is_logged_as_it_is() {
    assert_eq!(
        LogField::text("5c0e7a21d94b36f8").to_string(),
        "5c0e7a21d94b36f8"
    );
    assert_eq!(LogField(b"").to_string(), "\"\"");
}

/// Guards against an id of a caller that adds fields or lines to the log.
#[test]
fn an_id_with_blanks_and_line_ends_forges_no_field_and_no_line() {
    let id = LogField(b"1 verdict=Ran\r\n\xe2\x80\xa8event=1").to_string();
    assert_eq!(id, r"1\x20verdict=Ran\r\n\xe2\x80\xa8event=1");
}

proptest! {
    #[test]
    fn any_bytes_are_one_bounded_printable_field(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let field = LogField(&bytes).to_string();
        prop_assert!(!field.is_empty() && field.len() < 300);
        prop_assert!(field.bytes().all(|byte| byte.is_ascii_graphic()), "{field}");
    }
}
