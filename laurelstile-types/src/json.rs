//! Reading JSON files strictly: a fault is reported with file, place and
//! reason.

use std::path::{Path, PathBuf};

use miette::{Diagnostic, NamedSource, SourceSpan};
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Why a JSON file could not be read.
#[derive(Debug, Error, Diagnostic)]
pub enum JsonFileError {
    /// The file could not be read at all.
    #[error("cannot read {}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        #[source]
        source: std::io::Error,
    },
    /// The file is not of the expected shape.
    #[error("{}: at {place}: {reason}", text.name())]
    Shape {
        /// Path of the field within the file.
        place: String,
        /// What is wrong there.
        reason: serde_json::Error,
        /// The text of the file.
        #[source_code]
        text: NamedSource<String>,
        /// Where in the text.
        #[label("here")]
        at: SourceSpan,
    },
}

/// Reads a JSON file into `T`; unknown fields are refused where `T` says so.
///
/// # Errors
/// [`JsonFileError`] with file, place and reason.
pub fn read_json_file<T: DeserializeOwned>(path: &Path) -> Result<T, JsonFileError> {
    let text = std::fs::read_to_string(path).map_err(|source| JsonFileError::Read {
        path: path.to_owned(),
        source,
    })?;
    parse_json(&path.display().to_string(), text)
}

/// Reads the text of a JSON file called `name` into `T`.
///
/// # Errors
/// [`JsonFileError::Shape`] with file, place and reason.
pub fn parse_json<T: DeserializeOwned>(name: &str, text: String) -> Result<T, JsonFileError> {
    let deserializer = &mut serde_json::Deserializer::from_str(&text);
    serde_path_to_error::deserialize(deserializer).map_err(|error| {
        let place = error.path().to_string();
        let reason = error.into_inner();
        let at = offset_of(&text, reason.line(), reason.column());
        JsonFileError::Shape {
            place,
            reason,
            text: NamedSource::new(name, text),
            at: at.into(),
        }
    })
}

/// Byte offset of a line and column, both counted from 1.
fn offset_of(text: &str, line: usize, column: usize) -> usize {
    let before: usize = text
        .split_inclusive('\n')
        .take(line.saturating_sub(1))
        .map(str::len)
        .sum();
    (before + column.saturating_sub(1)).min(text.len().saturating_sub(1))
}
