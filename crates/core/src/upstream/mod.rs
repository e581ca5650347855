//! Upstreams as a router knows them: announcements, choice, drain, ejection, quarantine.

pub mod announce;
pub mod breaker;
mod candidate;
mod choice;
mod pool;
pub mod prefix;
pub mod quarantine;
mod row;
pub mod rules;
pub mod spread;
pub mod standing;
pub mod status;
pub mod table;

pub use announce::Announcement;
pub use announce::Kind;
pub use announce::Load;
pub use announce::Offer;
pub use announce::Phase;
pub use quarantine::Crash;
pub use rules::Order;
pub use rules::Rules;
pub use spread::Keepers;
pub use standing::Standing;
pub use status::Pool;
pub use status::Probe;
pub use status::RowStatus;
pub use status::Usage;
pub use table::Absent;
pub use table::Attempt;
pub use table::Ended;
pub use table::Pick;
pub use table::Table;
pub use table::Wanted;
