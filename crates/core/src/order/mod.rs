//! Orders to upstreams: the lease and fencing number under which they are sent, the placement of
//! models on engines, and the rate limit of the weight store.

pub mod giver;
pub mod lease;
pub mod placement;
pub mod rate;

pub use giver::LeaseRules;
pub use giver::NoPermit;
pub use giver::OrderIssuer;
pub use giver::OrderPermit;
pub use placement::Demand;
pub use placement::Engine;
pub use placement::Order;
pub use placement::PlacementPlanner;
pub use placement::PlacementRules;
pub use rate::RateShare;
