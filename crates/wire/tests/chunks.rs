//! Bodies in chunks: any split of any chunking is the plain body.

use bytes::BytesMut;
use proptest::prelude::*;
use shallotflow_wire::http::Error;
use shallotflow_wire::http::chunks::{Chunks, Decoded};

/// Decodes `bytes` as they arrive in pieces up to the positions in `splits`.
fn decode(bytes: &[u8], splits: &[usize], limit: u64) -> Result<Option<Vec<u8>>, Error> {
    let mut chunks = Chunks::new(limit);
    let (mut buffer, mut body) = (BytesMut::new(), Vec::new());
    let mut ends: Vec<usize> = splits.iter().map(|split| split % (bytes.len() + 1)).collect();
    ends.push(bytes.len());
    ends.sort_unstable();
    let mut from = 0;
    for end in ends {
        buffer.extend_from_slice(&bytes[from..end]);
        from = end;
        loop {
            match chunks.decode(&mut buffer)? {
                Decoded::Piece(piece) => body.extend_from_slice(&piece),
                Decoded::Partial => break,
                Decoded::End => return Ok(Some(body)),
            }
        }
    }
    Ok(None)
}

fn encode(body: &[u8], sizes: &[usize], trailer: &str) -> Vec<u8> {
    let mut encoded = Vec::new();
    let mut rest = body;
    for size in sizes.iter().chain(&[usize::MAX]) {
        let (chunk, left) = rest.split_at((*size).min(rest.len()));
        rest = left;
        if !chunk.is_empty() {
            encoded.extend_from_slice(format!("{:x};a=b\r\n", chunk.len()).as_bytes());
            encoded.extend_from_slice(chunk);
            encoded.extend_from_slice(b"\r\n");
        }
    }
    encoded.extend_from_slice(format!("0\r\n{trailer}\r\n").as_bytes());
    encoded
}

proptest! {
    #[test]
    fn any_split_of_any_chunking_is_the_plain_body(
        body in proptest::collection::vec(any::<u8>(), 0..40_000),
        sizes in proptest::collection::vec(1_usize..20_000, 0..40),
        splits in proptest::collection::vec(any::<usize>(), 0..40),
        trailer in prop_oneof![Just(""), Just("a: b\r\n"), Just("a: b\r\nc: d\r\n")],
    ) {
        let encoded = encode(&body, &sizes, trailer);
        let decoded = decode(&encoded, &splits, body.len() as u64);
        prop_assert_eq!(decoded.expect("a body"), Some(body.clone()));
        if let Some(limit) = (body.len() as u64).checked_sub(1) {
            let refused = decode(&encoded, &splits, limit);
            prop_assert!(matches!(refused, Err(Error::BodyTooLarge(_))), "{:?}", refused);
        }
    }

    #[test]
    fn any_bytes_are_decoded_or_refused(
        bytes in proptest::collection::vec(any::<u8>(), 0..4_000),
        splits in proptest::collection::vec(any::<usize>(), 0..8),
    ) {
        if let Ok(Some(body)) = decode(&bytes, &splits, 1_000) {
            prop_assert!(body.len() <= 1_000);
        }
    }
}

/// Guards against a chunk that is held whole before it is found to be too large.
#[test]
fn a_chunk_is_counted_when_it_is_announced() {
    let mut buffer = BytesMut::from(&b"100000\r\n"[..]);
    let refused = Chunks::new(1_000).decode(&mut buffer);
    assert!(matches!(refused, Err(Error::BodyTooLarge(1_000))), "{refused:?}");
}
