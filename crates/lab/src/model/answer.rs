//! The answer of a model engine to a call. It depends only on the call's key and maximum length, so that the oracle can
//! compute the answer that each caller must receive.

use foxnotch_core::program::BYTES_PER_TOKEN;
use foxnotch_wire::CallKey;
use xxhash_rust::xxh3::xxh3_64;

/// Ratio of the maximum length of an answer to its minimum length.
const MIN_LENGTH_DIVISOR: u64 = 4;

/// Length of the answer to a call in tokens: between a quarter of `maximum` and `maximum`, and at least 1.
pub fn answer_tokens(key: CallKey, maximum: u32) -> u32 {
    let hash = xxh3_64(key.to_string().as_bytes());
    let shortest = u64::from(maximum) / MIN_LENGTH_DIVISOR;
    let span = u64::from(maximum) - shortest;
    let tokens = shortest + hash % (span + 1);
    tokens.max(1) as u32
}

/// The text of the answer: [`answer_tokens`] tokens of [`BYTES_PER_TOKEN`] bytes.
pub fn answer_text(key: CallKey, maximum: u32) -> Vec<u8> {
    let length = answer_tokens(key, maximum) as usize * BYTES_PER_TOKEN;
    let mut text = format!("[{key}]").into_bytes();
    let mut counter = xxh3_64(&text);
    while text.len() < length {
        counter = xxh3_64(&counter.to_le_bytes());
        text.extend_from_slice(format!("{counter:016x}").as_bytes());
    }
    text.truncate(length);
    text
}
