//! Frames: the bound of their length, and streams split into chunks of any size.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_peering::{encode_frame, FrameDecoder, FrameTooLong};
use proptest::prelude::*;

#[test]
fn a_frame_of_four_gigabytes_is_rejected_by_its_length_prefix() {
    let mut decoder = FrameDecoder::new(1000);
    decoder.feed(&[0xff, 0xff, 0xff, 0xff]);
    assert_eq!(decoder.next_frame(), Err(FrameTooLong { length: u32::MAX }));
}

proptest! {
    #[test]
    fn frames_are_decoded_however_the_stream_is_split(
        payloads in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..50), 0..10),
        chunk_bytes in 1..20usize,
    ) {
        let stream: Vec<u8> = payloads.iter().flat_map(|payload| encode_frame(payload)).collect();
        let mut decoder = FrameDecoder::new(50);
        let mut decoded = Vec::new();
        for chunk in stream.chunks(chunk_bytes) {
            decoder.feed(chunk);
            while let Some(payload) = decoder.next_frame().expect("within the bound") {
                decoded.push(payload);
            }
        }
        prop_assert_eq!(decoded, payloads);
    }
}
