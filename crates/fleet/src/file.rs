//! Reads TOML files. Errors name the file, the line and what was expected.

use std::fmt;
use std::ops::Range;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;

use serde::de::DeserializeOwned;
use thiserror::Error;

/// Largest file that is read.
const MAX_FILE_BYTES: u64 = 1 << 20;

/// Jaro-Winkler similarity from which a known key is suggested in place of an unknown one.
const MIN_SIMILARITY: f64 = 0.6;

/// A line of a file, which an error refers to.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Place {
    /// The file.
    pub file: Arc<Path>,
    /// The line number, from 1.
    pub line: usize,
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.file.display(), self.line)
    }
}

/// Why a file was refused.
#[derive(Debug, Error)]
pub enum FileError {
    /// The file or folder can't be read.
    #[error("{}: {source}", file.display())]
    Read {
        /// The file or folder.
        file: PathBuf,
        /// Error of the system.
        source: std::io::Error,
    },
    /// The file is larger than one MiB.
    #[error("{}: {bytes} bytes, expected at most {MAX_FILE_BYTES}", file.display())]
    TooLarge {
        /// The file.
        file: PathBuf,
        /// Size of the file.
        bytes: u64,
    },
    /// A table has a key that is not known.
    #[error("{place}: unknown key `{key}`{}", hint(.nearest, .known))]
    UnknownKey {
        /// Line of the key.
        place: Place,
        /// The unknown key.
        key: String,
        /// The most similar known key, if one is similar enough.
        nearest: Option<String>,
        /// All known keys of the table.
        known: Vec<String>,
    },
    /// A table lacks a required key.
    #[error("{place}: expected the key `{key}`")]
    MissingKey {
        /// Line where the table begins.
        place: Place,
        /// The missing key.
        key: String,
    },
    /// The file is not valid TOML, or a value has the wrong type or range.
    #[error("{place}: {message}")]
    Malformed {
        /// Line of the fault.
        place: Place,
        /// What was found and what was expected.
        message: String,
    },
}

/// Reads and parses a file.
///
/// # Errors
///
/// See [`FileError`].
pub fn read<T: DeserializeOwned>(file: &Path) -> Result<T, FileError> {
    parse(&file.into(), &read_text(file)?)
}

/// Reads the text of a file, up to the size limit.
///
/// # Errors
///
/// [`FileError::Read`] and [`FileError::TooLarge`].
pub fn read_text(file: &Path) -> Result<String, FileError> {
    let failed = |source| FileError::Read {
        file: file.to_owned(),
        source,
    };
    let bytes = std::fs::metadata(file).map_err(failed)?.len();
    if bytes > MAX_FILE_BYTES {
        let file = file.to_owned();
        return Err(FileError::TooLarge { file, bytes });
    }
    std::fs::read_to_string(file).map_err(failed)
}

/// Parses the text of a file. `file` is only used in errors.
///
/// # Errors
///
/// See [`FileError`].
pub fn parse<T: DeserializeOwned>(file: &Arc<Path>, text: &str) -> Result<T, FileError> {
    toml::from_str(text).map_err(|error| describe(file, text, &error))
}

/// Returns the line of the start of a byte range in a text.
pub fn place(file: &Arc<Path>, text: &str, span: Range<usize>) -> Place {
    let before = text.as_bytes().iter().take(span.start);
    Place {
        file: file.clone(),
        line: 1 + before.filter(|byte| **byte == b'\n').count(),
    }
}

/// Turns an error of the TOML parser into one that names the line and the key. The parser gives the
/// keys only in its message, in backquotes.
fn describe(file: &Arc<Path>, text: &str, error: &toml::de::Error) -> FileError {
    let place = place(file, text, error.span().unwrap_or_default());
    let message = error.message();
    let mut quoted = message.split('`').skip(1).step_by(2).map(str::to_owned);
    let key = quoted.next().unwrap_or_default();
    if message.starts_with("unknown field") {
        let known: Vec<String> = quoted.collect();
        return FileError::UnknownKey {
            place,
            nearest: nearest(&key, &known),
            key,
            known,
        };
    }
    if message.starts_with("missing field") {
        return FileError::MissingKey { place, key };
    }
    FileError::Malformed {
        place,
        message: message.trim().replace('\n', "; "),
    }
}

/// Returns the known key that is most similar to `key`, if it is similar enough.
fn nearest(key: &str, known: &[String]) -> Option<String> {
    let similarity = |one: &String| strsim::jaro_winkler(key, one);
    known
        .iter()
        .max_by(|a, b| similarity(a).total_cmp(&similarity(b)))
        .filter(|one| similarity(one) >= MIN_SIMILARITY)
        .cloned()
}

/// Returns the end of an error about an unknown key: a suggestion or the known keys.
fn hint(nearest: &Option<String>, known: &[String]) -> String {
    match nearest {
        Some(one) => format!("; the nearest known key is `{one}`"),
        None if known.is_empty() => String::new(),
        None => format!("; expected one of {}", known.join(", ")),
    }
}
