//! A job's input: a text that its caller chose, packed on its way to agents.
//!
//! The input is most of what a gateway sends, and it goes to each worker that gets tasks
//! of the job: with inputs of 1.2 KB and 3 workers a job it was 80% of a gateway's bytes.
//! Packing takes it once for each job, however many workers get it.

use std::cell::RefCell;
use std::fmt;
use std::sync::{Arc, OnceLock};

use flate2::{Compress, Compression, Decompress, FlushCompress, FlushDecompress, Status};
use serde::de::{Error, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use thiserror::Error;

/// Shorter inputs go as they are: packing gains too little there.
const LEAST_PACKED_BYTES: usize = 128;
/// Longest input that is taken, in bytes: a packed one may claim to be far longer than
/// what came. Callers' bodies are limited to a quarter of it.
pub const MAX_INPUT_BYTES: usize = 1024 * 1024;

/// A job's input.
#[derive(Clone)]
pub struct JobInput(Arc<Inner>);

struct Inner {
    text: Box<str>,
    /// The packed form, made when it is first sent; `None` if it would not be shorter.
    packed: OnceLock<Option<Vec<u8>>>,
}

/// A packed input that is none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum InputError {
    /// It is not a deflated text, or not a whole one.
    #[error("the packed input is garbled")]
    Corrupt,
    /// It would be longer than any input.
    #[error("the input has over {MAX_INPUT_BYTES} bytes")]
    TooLong,
}

impl JobInput {
    /// The input, as its caller sent it.
    pub fn as_str(&self) -> &str {
        &self.0.text
    }

    /// Bytes that it takes in a message.
    pub fn wire_bytes(&self) -> usize {
        self.packed().map_or(self.0.text.len(), <[u8]>::len)
    }

    /// The packed form, if it is shorter.
    fn packed(&self) -> Option<&[u8]> {
        let packed = self.0.packed.get_or_init(|| pack(&self.0.text));
        packed.as_deref()
    }

    /// The input of a packed form.
    ///
    /// # Errors
    /// [`InputError`].
    pub fn decompress(packed: &[u8]) -> Result<Self, InputError> {
        let bytes = inflate(packed)?;
        let text = String::from_utf8(bytes).map_err(|_| InputError::Corrupt)?;
        Ok(Self::from(text))
    }
}

impl From<String> for JobInput {
    fn from(text: String) -> Self {
        Self(Arc::new(Inner {
            text: text.into_boxed_str(),
            packed: OnceLock::new(),
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

/// A text where it is not packed, else a byte string.
impl Serialize for JobInput {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match self.packed() {
            Some(packed) => serializer.serialize_bytes(packed),
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
        formatter.write_str("a text, or a packed one")
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<JobInput, E> {
        Ok(JobInput::from(text))
    }

    fn visit_bytes<E: Error>(self, packed: &[u8]) -> Result<JobInput, E> {
        JobInput::decompress(packed).map_err(E::custom)
    }
}

thread_local! {
    /// One of each for a thread: a new one takes more time than a packing.
    static DEFLATER: RefCell<Compress> = RefCell::new(Compress::new(Compression::fast(), false));
    static INFLATER: RefCell<Decompress> = RefCell::new(Decompress::new(false));
}

fn pack(text: &str) -> Option<Vec<u8>> {
    if text.len() < LEAST_PACKED_BYTES {
        return None;
    }
    // What does not fit into fewer bytes than the text is not worth packing.
    let mut packed = Vec::with_capacity(text.len() - 1);
    let status = DEFLATER.with_borrow_mut(|deflater| {
        deflater.reset();
        deflater.compress_vec(text.as_bytes(), &mut packed, FlushCompress::Finish)
    });
    matches!(status, Ok(Status::StreamEnd)).then_some(packed)
}

fn inflate(packed: &[u8]) -> Result<Vec<u8>, InputError> {
    INFLATER.with_borrow_mut(|inflater| {
        inflater.reset(false);
        let mut bytes = Vec::with_capacity(packed.len() * 2);
        loop {
            let taken = usize::try_from(inflater.total_in()).unwrap_or(usize::MAX);
            let rest = packed.get(taken..).unwrap_or_default();
            let made = bytes.len();
            let status = inflater
                .decompress_vec(rest, &mut bytes, FlushDecompress::None)
                .map_err(|_| InputError::Corrupt)?;
            if bytes.len() > MAX_INPUT_BYTES {
                return Err(InputError::TooLong);
            }
            if matches!(status, Status::StreamEnd) {
                return Ok(bytes);
            }
            let has_space = bytes.len() < bytes.capacity();
            if has_space && bytes.len() == made {
                // There is nothing to take any more, and still no end.
                return Err(InputError::Corrupt);
            }
            bytes.reserve(bytes.len().max(LEAST_PACKED_BYTES));
        }
    })
}
