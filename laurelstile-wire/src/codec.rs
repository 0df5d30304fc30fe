//! CBOR encoding of messages.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::WireError;

/// Encodes a message.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(256);
    // Cannot fail: messages have no maps with unserializable keys, and writing to a vector
    // succeeds.
    let written = ciborium::into_writer(message, &mut bytes);
    debug_assert!(written.is_ok());
    bytes
}

/// Decodes a message.
///
/// # Errors
/// [`WireError::Malformed`] if the bytes do not encode a `T`.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, WireError> {
    ciborium::from_reader(bytes).map_err(WireError::Malformed)
}
