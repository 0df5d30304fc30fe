//! A job's input: text chosen by the caller, compressed on its way to agents.
//!
//! The input is sent to each worker that runs tasks of the job and makes up most of a gateway's
//! outgoing bytes. It is compressed once for each job.

use std::cell::RefCell;
use std::fmt;
use std::sync::{Arc, OnceLock};

use flate2::{Compress, Compression, Decompress, FlushCompress, FlushDecompress, Status};
use serde::de::{Error, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use thiserror::Error;

/// Shorter inputs are sent uncompressed: compression gains too little.
const COMPRESSION_THRESHOLD_BYTES: usize = 128;
/// Maximum length of an input, in bytes. Checked during decompression, since a short message may
/// expand to far more. Callers' request bodies have a lower limit of their own.
pub const MAX_INPUT_BYTES: usize = 1024 * 1024;

/// A job's input; clones share the text and its compressed form.
#[derive(Clone)]
pub struct JobInput(Arc<Inner>);

struct Inner {
    text: Box<str>,
    /// The compressed form, computed on first use; `None` if it would not be shorter.
    compressed: OnceLock<Option<Vec<u8>>>,
}

/// Why compressed input was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum InputError {
    /// The bytes are not a complete deflate stream of UTF-8 text.
    #[error("the compressed input is corrupt or truncated")]
    Corrupt,
    /// The text is longer than [`MAX_INPUT_BYTES`].
    #[error("the input is longer than {MAX_INPUT_BYTES} bytes")]
    TooLong,
}

impl JobInput {
    /// The input, as the caller sent it.
    pub fn as_str(&self) -> &str {
        &self.0.text
    }

    /// Length of the serialized input, in bytes.
    pub fn wire_bytes(&self) -> usize {
        self.compressed().map_or(self.0.text.len(), <[u8]>::len)
    }

    /// The compressed form, if it is shorter than the text.
    fn compressed(&self) -> Option<&[u8]> {
        let compressed = self.0.compressed.get_or_init(|| compress(&self.0.text));
        compressed.as_deref()
    }

    /// Decompresses an input.
    ///
    /// # Errors
    /// [`InputError`] if the bytes are corrupt or the text is too long.
    pub fn decompress(compressed: &[u8]) -> Result<Self, InputError> {
        let bytes = decompress_bytes(compressed)?;
        let text = String::from_utf8(bytes).map_err(|_| InputError::Corrupt)?;
        Ok(Self::from(text))
    }
}

impl From<String> for JobInput {
    fn from(text: String) -> Self {
        Self(Arc::new(Inner {
            text: text.into_boxed_str(),
            compressed: OnceLock::new(),
        }))
    }
}

impl From<&str> for JobInput {
    fn from(text: &str) -> Self {
        Self::from(text.to_owned())
    }
}

impl PartialEq for JobInput {
    fn eq(&self, other: &Self) -> bool {
        self.as_str() == other.as_str()
    }
}

impl Eq for JobInput {}

impl fmt::Debug for JobInput {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self.as_str(), formatter)
    }
}

/// Serialized as text if uncompressed, otherwise as a byte string.
impl Serialize for JobInput {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match self.compressed() {
            Some(compressed) => serializer.serialize_bytes(compressed),
            None => serializer.serialize_str(self.as_str()),
        }
    }
}

impl<'de> Deserialize<'de> for JobInput {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(InputVisitor)
    }
}

struct InputVisitor;

impl Visitor<'_> for InputVisitor {
    type Value = JobInput;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("text, or a byte string of compressed text")
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<JobInput, E> {
        Ok(JobInput::from(text))
    }

    fn visit_bytes<E: Error>(self, compressed: &[u8]) -> Result<JobInput, E> {
        JobInput::decompress(compressed).map_err(E::custom)
    }
}

thread_local! {
    /// Reused within each thread, as is [`DECOMPRESSOR`]: allocating one costs more than
    /// compressing an input.
    static COMPRESSOR: RefCell<Compress> = RefCell::new(Compress::new(Compression::fast(), false));
    static DECOMPRESSOR: RefCell<Decompress> = RefCell::new(Decompress::new(false));
}

fn compress(text: &str) -> Option<Vec<u8>> {
    if text.len() < COMPRESSION_THRESHOLD_BYTES {
        return None;
    }
    // The capacity bounds the output: compression fails unless it shortens the text.
    let mut compressed = Vec::with_capacity(text.len() - 1);
    let status = COMPRESSOR.with_borrow_mut(|compressor| {
        compressor.reset();
        compressor.compress_vec(text.as_bytes(), &mut compressed, FlushCompress::Finish)
    });
    matches!(status, Ok(Status::StreamEnd)).then_some(compressed)
}

fn decompress_bytes(compressed: &[u8]) -> Result<Vec<u8>, InputError> {
    DECOMPRESSOR.with_borrow_mut(|decompressor| {
        decompressor.reset(false);
        let mut bytes = Vec::with_capacity(compressed.len() * 2);
        loop {
            let consumed = usize::try_from(decompressor.total_in()).unwrap_or(usize::MAX);
            let rest = compressed.get(consumed..).unwrap_or_default();
            let produced = bytes.len();
            let status = decompressor
                .decompress_vec(rest, &mut bytes, FlushDecompress::None)
                .map_err(|_| InputError::Corrupt)?;
            if bytes.len() > MAX_INPUT_BYTES {
                return Err(InputError::TooLong);
            }
            if matches!(status, Status::StreamEnd) {
                return Ok(bytes);
            }
            let has_space = bytes.len() < bytes.capacity();
            if has_space && bytes.len() == produced {
                // No input is left, and the stream has not ended.
                return Err(InputError::Corrupt);
            }
            bytes.reserve(bytes.len().max(COMPRESSION_THRESHOLD_BYTES));
        }
    })
}
