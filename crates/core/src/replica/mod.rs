//! Raft consensus on a log of opaque commands, with pre-vote, check-quorum, linearizable reads,
//! snapshots, learners, leadership transfer and single-server membership changes.
//!
//! [`Node`] is the protocol as a state machine without timers: expired timers, messages and
//! completed disk writes are [`Input`]s. [`Replica`] adds the timers. Neither reads a clock or does
//! I/O; the caller executes the [`Output`]s in order. The protocol follows Ongaro, "Consensus:
//! Bridging Theory and Practice" (2014).

mod append;
mod bootstrap;
mod change;
mod election;
mod input;
mod log;
mod members;
mod message;
mod mutations;
mod node;
mod peer;
mod succession;
mod timers;
mod transfer;

pub use bootstrap::Bootstrap;
pub use bootstrap::Hello;
pub use bootstrap::HelloRound;
pub use input::Campaign;
pub use input::Input;
pub use input::MemberChange;
pub use input::Output;
pub use input::Save;
pub use log::Entry;
pub use log::Log;
pub use log::Payload;
pub use log::Position;
pub use log::Snapshot;
pub use members::Member;
pub use members::Members;
pub use message::Append;
pub use message::AppendOutcome;
pub use message::Appended;
pub use message::Ballot;
pub use message::Chunk;
pub use message::Message;
pub use mutations::Mutations;
pub use node::DurableState;
pub use node::Node;
pub use timers::Replica;
pub use timers::Timing;
