//! Decoding arbitrary bytes never panics, and a message over the size limit is refused by its header.

use bytes::BytesMut;
use pg::codec::{CallerCodec, UpstreamCodec};
use proptest::prelude::*;
use tokio_util::codec::Decoder;

/// The size limit of a message in bytes.
const MAX_MESSAGE_BYTES: usize = 4096;

fn decode_all<D: Decoder>(mut codec: D, bytes: &[u8]) {
    let mut buf = BytesMut::from(bytes);
    while let Ok(Some(_)) = codec.decode(&mut buf) {}
}

proptest! {
    #[test]
    fn any_first_bytes_are_decoded_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        decode_all(CallerCodec::new(MAX_MESSAGE_BYTES), &bytes);
    }

    #[test]
    fn any_message_is_decoded_or_refused(
        kind in any::<u8>(),
        length in 0u32..600,
        body in prop::collection::vec(any::<u8>(), 0..300),
    ) {
        let mut bytes = vec![kind];
        bytes.extend(length.to_be_bytes());
        bytes.extend(&body);
        let mut codec = CallerCodec::new(MAX_MESSAGE_BYTES);
        codec.startup_received();
        decode_all(codec, &bytes);
        decode_all(UpstreamCodec::new(MAX_MESSAGE_BYTES), &bytes);
    }

    #[test]
    fn a_message_over_the_limit_is_refused_by_its_header(length in 4097u32..u32::MAX) {
        let mut bytes = vec![b'Q'];
        bytes.extend(length.to_be_bytes());
        let mut codec = CallerCodec::new(MAX_MESSAGE_BYTES);
        codec.startup_received();
        prop_assert!(codec.decode(&mut BytesMut::from(&bytes[..])).is_err());
    }
}
