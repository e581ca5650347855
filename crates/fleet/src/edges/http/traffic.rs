//! Counts the bytes that sockets of one kind read and write.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Numbers of bytes read and written. Clones count together.
#[derive(Clone, Debug, Default)]
pub struct Traffic(Arc<Totals>);

#[derive(Debug, Default)]
struct Totals {
    received: AtomicU64,
    sent: AtomicU64,
}

impl Traffic {
    /// Counts bytes that were read.
    pub fn add_received(&self, bytes: usize) {
        self.0.received.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts bytes that were written.
    pub fn add_sent(&self, bytes: usize) {
        self.0.sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Returns the number of bytes read so far.
    pub fn received(&self) -> u64 {
        self.0.received.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes written so far.
    pub fn sent(&self) -> u64 {
        self.0.sent.load(Ordering::Relaxed)
    }
}
