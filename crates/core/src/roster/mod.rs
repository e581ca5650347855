//! Gossip membership: how routers and control hosts find each other and exchange soft state.
//!
//! Every node starts from a few seed addresses. At each tick it sends small packets of facts to a
//! few random nodes. A new fact goes out at once and each node passes it on a bounded number of
//! times. Anti-entropy resends all known facts a few at a time, which repairs lost packets. Facts
//! about one subject are ordered by version, so the order in which they arrive does not matter.
//!
//! Gossip alone reaches all nodes in a time that has no bound. News that have to be known within a
//! stated time are also delivered: the node that took them sends them to each other node until that
//! one confirms them. Crash evidence goes the same way, at a bounded rate and behind all others.
//!
//! The state is a hint about where to send requests. It never grants a permission.

mod delivery;
mod fact;
mod findings;
mod spread;
mod table;

pub use delivery::Receipt;
pub use delivery::Unconfirmed;
pub use fact::Fact;
pub use fact::NodeFact;
pub use fact::Packet;
pub use fact::Role;
pub use spread::Urgency;
pub use table::MAX_PACKET_BYTES;
pub use table::Roster;
pub use table::RosterSettings;
