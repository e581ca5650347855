//! Measures the processor time of this thread, from `/proc`, and the memory in use, from the
//! allocator.

use std::io;

use thiserror::Error;

use crate::ALLOCATOR;

/// Its first field is the processor time of the thread in nanoseconds.
const SCHEDSTAT: &str = "/proc/thread-self/schedstat";
/// Shortest processor time that an average is taken over. The kernel counts in steps of some
/// milliseconds.
const MIN_SAMPLE_NANOSECONDS: u64 = 400_000_000;
/// Most calls that an average is taken over.
const MAX_CALLS: usize = 2_000_000;

/// Why a measurement failed.
#[derive(Debug, Error)]
pub enum MeterError {
    /// A file in `/proc` can't be read.
    #[error("{path}: {source}")]
    Read {
        /// The file.
        path: &'static str,
        /// Error of the system.
        source: io::Error,
    },
    /// A file in `/proc` does not have the expected format.
    #[error("{0} does not have the expected format")]
    Form(&'static str),
}

/// Measures and prints rows of the table.
#[derive(Debug)]
pub struct Meter;

impl Meter {
    /// Creates a meter.
    pub fn new() -> Self {
        Self
    }

    /// Prints the processor time per call in microseconds, averaged over batches of `calls` calls.
    /// `call` gets the number of the call.
    ///
    /// # Errors
    ///
    /// See [`MeterError`].
    pub fn time(
        &self,
        label: &str,
        size: usize,
        calls: usize,
        mut call: impl FnMut(usize),
    ) -> Result<(), MeterError> {
        let before = thread_nanoseconds()?;
        let mut done = 0;
        let mut spent = 0;
        while spent < MIN_SAMPLE_NANOSECONDS && done < MAX_CALLS {
            for n in done..done + calls {
                call(n);
            }
            done += calls;
            spent = thread_nanoseconds()?.saturating_sub(before);
        }
        let per_call = spent as f64 / 1_000.0 / done as f64;
        println!("| {label} | {size} | {per_call:.2} | µs |");
        Ok(())
    }

    /// Prints the memory per item that `fill` allocates for `size` items, in bytes. Returns the
    /// value that `fill` returned.
    pub fn memory<T>(&self, label: &str, size: usize, fill: impl FnOnce() -> T) -> T {
        let before = ALLOCATOR.allocated();
        let value = fill();
        let added = ALLOCATOR.allocated().saturating_sub(before);
        println!("| {label} | {size} | {} | bytes in use |", added / size);
        value
    }
}

/// Prints a size in bytes.
pub fn print_bytes(label: &str, size: usize, bytes: usize) {
    println!("| {label} | {size} | {bytes} | bytes |");
}

/// Returns the processor time of this thread so far.
fn thread_nanoseconds() -> Result<u64, MeterError> {
    read_field(SCHEDSTAT, 0)
}

/// Reads a number out of a file of fields that are separated by white space.
fn read_field(path: &'static str, index: usize) -> Result<u64, MeterError> {
    let text = std::fs::read_to_string(path).map_err(|source| MeterError::Read { path, source })?;
    text.split_whitespace()
        .nth(index)
        .and_then(|number| number.parse().ok())
        .ok_or(MeterError::Form(path))
}
