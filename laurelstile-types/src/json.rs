//! Strict reading of JSON files: errors name the file, the field and the reason.

use std::path::{Path, PathBuf};

use miette::{Diagnostic, NamedSource, SourceSpan};
use serde::de::DeserializeOwned;
use thiserror::Error;

/// The largest integer that all readers and writers of JSON represent exactly (RFC 8259, section 6).
pub const MAX_INTEGER: u64 = (1 << 53) - 1;

/// Why a JSON file could not be read.
#[derive(Debug, Error, Diagnostic)]
pub enum JsonFileError {
    /// The file could not be opened or read, or is not UTF-8.
    #[error("cannot read {}", path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// The I/O error.
        #[source]
        source: std::io::Error,
    },
    /// The text is not JSON, or not of the expected type.
    #[error("{}: at {place}: {reason}", text.name())]
    Malformed {
        /// Path of the field within the file.
        place: String,
        /// The parser's error for the field.
        reason: serde_json::Error,
        /// Text of the file, for the report.
        #[source_code]
        text: NamedSource<String>,
        /// Byte offset of the error in the text.
        #[label("here")]
        at: SourceSpan,
    },
}

/// Reads a JSON file into `T`; unknown fields are rejected if `T` denies them.
///
/// # Errors
/// [`JsonFileError`] if the file cannot be read or does not contain a `T`.
pub fn read_json_file<T: DeserializeOwned>(path: &Path) -> Result<T, JsonFileError> {
    let text = std::fs::read_to_string(path).map_err(|source| JsonFileError::Read {
        path: path.to_owned(),
        source,
    })?;
    parse_json(&path.display().to_string(), text)
}

/// Parses the text of a JSON file called `name` into `T`.
///
/// # Errors
/// [`JsonFileError::Malformed`] if the text is not a `T`.
pub fn parse_json<T: DeserializeOwned>(name: &str, text: String) -> Result<T, JsonFileError> {
    let deserializer = &mut serde_json::Deserializer::from_str(&text);
    serde_path_to_error::deserialize(deserializer).map_err(|error| {
        let place = error.path().to_string();
        let reason = error.into_inner();
        let at = offset_of(&text, reason.line(), reason.column());
        JsonFileError::Malformed {
            place,
            reason,
            text: NamedSource::new(name, text),
            at: at.into(),
        }
    })
}

/// Byte offset of a line and column, both counted from 1; within the text if it is not empty.
fn offset_of(text: &str, line: usize, column: usize) -> usize {
    let before: usize = text
        .split_inclusive('\n')
        .take(line.saturating_sub(1))
        .map(str::len)
        .sum();
    (before + column.saturating_sub(1)).min(text.len().saturating_sub(1))
}
