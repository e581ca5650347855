//! How the memory and the descriptors of a process are divided. What no share has is for the process
//! itself, and for freed memory that the allocator keeps.

/// Part of the memory that the bodies of answers may take.
const ANSWER_DIVISOR: usize = 6;

/// Part of the memory of a router that the bodies of requests may take.
const REQUEST_DIVISOR: usize = 6;

/// Part of the memory of a control host that the bodies of calls may take. Documents are decoded and
/// copied while they are agreed on.
const DOCUMENT_DIVISOR: usize = 8;

/// Part of the memory that the connections of callers may take.
const CONNECTION_DIVISOR: usize = 4;

/// Memory that a connection takes, in bytes: two read buffers of 16 KiB, and its request in progress
/// without the body.
const CONNECTION_BYTES: usize = 48 << 10;

/// Part of the memory that messages of other processes may take on their way.
const MESSAGE_DIVISOR: usize = 8;

/// Part of the memory that the connections of other processes may take.
const NODE_CONNECTION_DIVISOR: usize = 8;

/// Memory that a connection of another process takes with its buffers, in bytes.
const NODE_CONNECTION_BYTES: usize = 16 << 10;

/// Descriptors that are not for connections.
const RESERVED_DESCRIPTORS: usize = 200;

/// Part of the other descriptors that is for connections of other processes.
const NODE_DESCRIPTOR_DIVISOR: usize = 4;

/// What a process may use, in bytes and in descriptors.
#[derive(Clone, Copy, Debug)]
pub struct Shares {
    /// Memory of the process.
    pub memory: usize,
    /// Descriptors that it may have open.
    pub descriptors: usize,
}

impl Shares {
    /// Returns the memory for the bodies of answers.
    pub fn answers(self) -> usize {
        self.memory / ANSWER_DIVISOR
    }

    /// Returns the memory for the bodies of requests at a router.
    pub fn requests(self) -> usize {
        self.memory / REQUEST_DIVISOR
    }

    /// Returns the memory for the bodies of calls at a control host.
    pub fn documents(self) -> usize {
        self.memory / DOCUMENT_DIVISOR
    }

    /// Returns the bound on the connections of callers. Each may need one to an upstream.
    pub fn connections(self) -> usize {
        let by_memory = self.memory / CONNECTION_DIVISOR / CONNECTION_BYTES;
        let by_descriptors = (self.free_descriptors() - self.node_descriptors()) / 2;
        by_memory.min(by_descriptors).max(1)
    }

    /// Returns the memory for messages of other processes on their way.
    pub fn messages(self) -> usize {
        self.memory / MESSAGE_DIVISOR
    }

    /// Returns the bound on the connections of other processes to the RPC server.
    pub fn node_connections(self) -> usize {
        let by_memory = self.memory / NODE_CONNECTION_DIVISOR / NODE_CONNECTION_BYTES;
        by_memory.min(self.node_descriptors()).max(1)
    }

    fn free_descriptors(self) -> usize {
        self.descriptors.saturating_sub(RESERVED_DESCRIPTORS)
    }

    fn node_descriptors(self) -> usize {
        self.free_descriptors() / NODE_DESCRIPTOR_DIVISOR
    }
}
