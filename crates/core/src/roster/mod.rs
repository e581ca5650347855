//! The nodes of the system, found from a few seed addresses, and how news spreads between them.
//!
//! Each node sends small packets of facts to a few others at every tick: what is new goes out at
//! once and is passed on a bounded number of times, everything else goes round slowly, which repairs
//! what was lost. Facts are ordered, so their order of arrival does not matter. All of it is soft
//! state: it says where to look, never what is allowed.

mod fact;
mod spread;
mod table;

pub use fact::Fact;
pub use fact::NodeFact;
pub use fact::Packet;
pub use fact::Role;
pub use spread::News;
pub use table::Roster;
pub use table::RosterRules;
