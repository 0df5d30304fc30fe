//! Frames that are nested deeply, or that are no messages: they end the session with an error, and not
//! the process.

use laurelstile_core::leased::messages::{FromAgent, ToAgent, ToPeer};
use laurelstile_wire::codec::decode;
use laurelstile_wire::error::WireError;

/// Depth at which a decoder that recurses without a limit overflows its stack.
const VERY_DEEP: usize = 1_000_000;

/// Starts of CBOR items that each contain another: a list, one of indefinite length, a map with the key
/// `b`, a map with an unknown key, a tag.
const CONTAINERS: [&[u8]; 5] = [
    &[0x81],
    &[0x9f],
    &[0xa1, 0x61, b'b'],
    &[0xa1, 0x63, b'o', b'd', b'd'],
    &[0xc6],
];

fn is_refused(frame: &[u8]) -> bool {
    let errors = [
        decode::<ToAgent>(frame).err(),
        decode::<FromAgent>(frame).err(),
        decode::<ToPeer>(frame).err(),
    ];
    let is_malformed = |error: &Option<WireError>| matches!(error, Some(WireError::Malformed(_)));
    errors.iter().all(is_malformed)
}

/// Guards against a frame that overflows the stack of the process that decodes it.
#[test]
fn a_frame_that_is_nested_deeply_is_refused() {
    for start in CONTAINERS {
        assert!(is_refused(&start.repeat(VERY_DEEP)), "{start:x?}");
    }
}

/// Guards against a frame that states a length for which no memory is left.
#[test]
fn a_frame_that_states_a_huge_length_is_refused() {
    for kind in [0x5b_u8, 0x7b, 0x9b, 0xbb] {
        let mut frame = vec![kind];
        frame.extend(u64::MAX.to_be_bytes());
        assert!(is_refused(&frame), "{kind:x}");
        let mut field = vec![0xa1, 0x61, b'b'];
        field.extend(&frame);
        assert!(is_refused(&field), "{kind:x}");
    }
}
