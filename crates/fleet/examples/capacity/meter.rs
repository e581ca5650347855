//! Processor time of this thread, from /proc, and memory in use, from the allocator.

use std::io;

use thiserror::Error;

use crate::ALLOCATOR;

const SCHEDSTAT: &str = "/proc/thread-self/schedstat";
/// Shortest time over which calls are averaged; the kernel counts in steps of some milliseconds.
const LEAST_NANOSECONDS: u64 = 400_000_000;
const MOST_CALLS: usize = 2_000_000;

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

    /// Prints processor time per call, in microseconds, over rounds of `calls`.
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
        let mut done = 0;
        let mut spent = 0;
        while spent < LEAST_NANOSECONDS && done < MOST_CALLS {
            for n in done..done + calls {
                call(n);
            }
            done += calls;
            spent = nanoseconds()?.saturating_sub(before);
        }
        let each = spent as f64 / 1_000.0 / done as f64;
        println!("| {what} | {size} | {each:.2} | µs |");
        Ok(())
    }

    /// Prints the memory per item, in bytes, that `fill` adds to what is in use.
    pub fn memory<T>(&self, what: &str, size: usize, fill: impl FnOnce() -> T) -> T {
        let before = ALLOCATOR.allocated();
        let value = fill();
        let grown = ALLOCATOR.allocated().saturating_sub(before);
        println!("| {what} | {size} | {} | bytes in use |", grown / size);
        value
    }
}

/// Prints a size in bytes.
pub fn print_bytes(what: &str, size: usize, bytes: usize) {
    println!("| {what} | {size} | {bytes} | bytes |");
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
