//! Reads TOML files, with errors that name the file, the line and what was expected.

use std::fmt;
use std::ops::Range;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;

use serde::de::DeserializeOwned;
use thiserror::Error;

/// Files larger than this are refused.
const MAX_FILE_BYTES: u64 = 1 << 20;

/// Similarity from which a known key is offered in place of an unknown one.
const MIN_SIMILARITY: f64 = 0.6;

/// A line of a file.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Place {
    /// The file.
    pub file: Arc<Path>,
    /// The line; the first is 1.
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
    /// It can't be read.
    #[error("{}: {source}", file.display())]
    Read {
        /// The file or folder.
        file: PathBuf,
        /// The system's answer.
        source: std::io::Error,
    },
    /// It is too large.
    #[error("{}: {bytes} bytes, expected at most {MAX_FILE_BYTES}", file.display())]
    TooLarge {
        /// The file.
        file: PathBuf,
        /// Its size.
        bytes: u64,
    },
    /// A key that its table does not have.
    #[error("{place}: unknown key `{key}`{}", hint(.nearest, .known))]
    UnknownKey {
        /// Where.
        place: Place,
        /// The key.
        key: String,
        /// The known key that is most like it.
        nearest: Option<String>,
        /// All keys of the table.
        known: Vec<String>,
    },
    /// A key that its table has to have is not there.
    #[error("{place}: expected the key `{key}`")]
    MissingKey {
        /// Where the table begins.
        place: Place,
        /// The key.
        key: String,
    },
    /// Anything else that is not as expected.
    #[error("{place}: {message}")]
    Malformed {
        /// Where.
        place: Place,
        /// What was found and what was expected.
        message: String,
    },
}

/// Reads a file.
///
/// # Errors
///
/// See [`FileError`].
pub fn read<T: DeserializeOwned>(file: &Path) -> Result<T, FileError> {
    parse(&file.into(), &read_text(file)?)
}

/// Reads the text of a file of bounded size.
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

/// Reads the text of a file; the name serves for the errors.
///
/// # Errors
///
/// See [`FileError`].
pub fn parse<T: DeserializeOwned>(file: &Arc<Path>, text: &str) -> Result<T, FileError> {
    toml::from_str(text).map_err(|error| describe(file, text, &error))
}

/// Line of a position in a text.
pub fn place(file: &Arc<Path>, text: &str, span: Range<usize>) -> Place {
    let before = text.as_bytes().iter().take(span.start);
    Place {
        file: file.clone(),
        line: 1 + before.filter(|byte| **byte == b'\n').count(),
    }
}

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

fn nearest(key: &str, known: &[String]) -> Option<String> {
    let similarity = |one: &String| strsim::jaro_winkler(key, one);
    known
        .iter()
        .max_by(|a, b| similarity(a).total_cmp(&similarity(b)))
        .filter(|one| similarity(one) >= MIN_SIMILARITY)
        .cloned()
}

fn hint(nearest: &Option<String>, known: &[String]) -> String {
    match nearest {
        Some(one) => format!("; the nearest known key is `{one}`"),
        None if known.is_empty() => String::new(),
        None => format!("; expected one of {}", known.join(", ")),
    }
}
