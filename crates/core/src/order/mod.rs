//! Orders to upstreams: who gives them, and under which fencing number.

pub mod giver;
pub mod lease;
pub mod placement;
pub mod rate;

pub use giver::Giver;
pub use giver::GiverRules;
pub use giver::Leave;
pub use giver::NoLeave;
pub use placement::Demand;
pub use placement::Engine;
pub use placement::Order;
pub use placement::Placement;
pub use placement::PlacementRules;
pub use rate::RateShare;
