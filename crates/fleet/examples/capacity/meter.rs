//! Processor time of this thread and resident memory of this process, from /proc.

use std::io;

use thiserror::Error;

const STATM: &str = "/proc/self/statm";
const SCHEDSTAT: &str = "/proc/thread-self/schedstat";
const PAGE_BYTES: u64 = 4_096;

/// Why nothing can be measured.
#[derive(Debug, Error)]
pub enum MeterError {
    /// A file of /proc can't be read.
    #[error("{path}: {source}")]
    Read {
        /// The file.
        path: &'static str,
        /// What the system said.
        source: io::Error,
    },
    /// A file of /proc has another form.
    #[error("{0} has another form")]
    Form(&'static str),
}

/// Measures and prints.
#[derive(Debug)]
pub struct Meter;

impl Meter {
    /// A meter.
    pub fn new() -> Self {
        Self
    }

    /// Prints processor time per call, in microseconds.
    ///
    /// # Errors
    ///
    /// See [`MeterError`].
    pub fn time(
        &self,
        what: &str,
        size: usize,
        calls: usize,
        mut call: impl FnMut(usize),
    ) -> Result<(), MeterError> {
        let before = nanoseconds()?;
        for n in 0..calls {
            call(n);
        }
        let spent = nanoseconds()?.saturating_sub(before);
        let each = spent as f64 / 1_000.0 / calls as f64;
        println!("| {what} | {size} | {each:.2} | µs |");
        Ok(())
    }

    /// Prints the growth of the resident set per item, in bytes, while `fill` makes its value.
    ///
    /// # Errors
    ///
    /// See [`MeterError`].
    pub fn memory<T>(
        &self,
        what: &str,
        size: usize,
        fill: impl FnOnce() -> T,
    ) -> Result<T, MeterError> {
        let before = resident()?;
        let value = fill();
        let grown = resident()?.saturating_sub(before);
        println!(
            "| {what} | {size} | {} | bytes resident |",
            grown / size as u64
        );
        Ok(value)
    }
}

/// Prints a size in bytes.
pub fn print_bytes(what: &str, size: usize, bytes: usize) {
    println!("| {what} | {size} | {bytes} | bytes |");
}

fn resident() -> Result<u64, MeterError> {
    Ok(field(STATM, 1)? * PAGE_BYTES)
}

fn nanoseconds() -> Result<u64, MeterError> {
    field(SCHEDSTAT, 0)
}

fn field(path: &'static str, index: usize) -> Result<u64, MeterError> {
    let text = std::fs::read_to_string(path).map_err(|source| MeterError::Read { path, source })?;
    text.split_whitespace()
        .nth(index)
        .and_then(|word| word.parse().ok())
        .ok_or(MeterError::Form(path))
}
