//! Buffers for the bodies of requests.
//!
//! An allocator gives memory back to the operating system only if nothing else lies above it. Small
//! allocations arrive while large bodies are there, so a crowd of those leaves gaps in every arena.
//! A large buffer therefore is a mapping of its own, which is gone once it is dropped.

use memmap2::MmapMut;

/// Size up to which a buffer is left to the allocator, in bytes.
const MAX_HEAP_BYTES: usize = 64 << 10;

/// A buffer that grows only when it is told to, and is read in one piece.
#[derive(Debug)]
pub enum Buffer {
    /// On the heap.
    Heap(Vec<u8>),
    /// In a mapping of its own.
    Mapped {
        /// The mapping, as large as the capacity of the buffer.
        map: MmapMut,
        /// Number of bytes that are in use.
        length: usize,
    },
}

impl Buffer {
    /// Returns the number of bytes that it has room for.
    pub fn capacity(&self) -> usize {
        match self {
            Self::Heap(bytes) => bytes.capacity(),
            Self::Mapped { map, .. } => map.len(),
        }
    }

    /// Makes room for `capacity` bytes in all.
    pub fn grow(&mut self, capacity: usize) {
        if capacity <= self.capacity() {
            return;
        }
        let held = self.as_ref();
        let mapping = match capacity > MAX_HEAP_BYTES {
            true => MmapMut::map_anon(capacity).ok(),
            false => None,
        };
        *self = match mapping {
            Some(mut map) => {
                let length = held.len();
                map[..length].copy_from_slice(held);
                Self::Mapped { map, length }
            }
            // Also if the operating system has no further mapping for this process.
            None => {
                let mut bytes = Vec::with_capacity(capacity);
                bytes.extend_from_slice(held);
                Self::Heap(bytes)
            }
        };
    }

    /// Appends bytes, for which there has to be room.
    pub fn append(&mut self, data: &[u8]) {
        match self {
            Self::Heap(bytes) => bytes.extend_from_slice(data),
            Self::Mapped { map, length } => {
                let end = *length + data.len();
                map[*length..end].copy_from_slice(data);
                *length = end;
            }
        }
    }
}

impl Default for Buffer {
    fn default() -> Self {
        Self::Heap(Vec::new())
    }
}

impl From<Vec<u8>> for Buffer {
    fn from(bytes: Vec<u8>) -> Self {
        Self::Heap(bytes)
    }
}

impl AsRef<[u8]> for Buffer {
    fn as_ref(&self) -> &[u8] {
        match self {
            Self::Heap(bytes) => bytes,
            Self::Mapped { map, length } => &map[..*length],
        }
    }
}
