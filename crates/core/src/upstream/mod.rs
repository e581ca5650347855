//! A router's view of its upstreams: discovery by heartbeats, load balancing, circuit breaking,
//! drain, and quarantine of requests that crash upstreams.
//!
//! [`Table`] is the entry point; the other modules are its parts and the types it exchanges.

pub mod announce;
pub mod assignment;
pub mod attribution;
pub mod breaker;
mod candidate;
mod choice;
pub mod config;
mod cost;
pub mod evidence;
pub mod headroom;
pub mod leave;
pub mod origin;
mod part_quarantine;
mod pause;
mod pool;
pub mod prefix;
pub mod quarantine;
pub mod rate;
pub mod release;
mod row;
mod speed;
pub mod status;
pub mod table;
pub mod version;

pub use announce::Announcement;
pub use announce::AnnouncementError;
pub use announce::Kind;
pub use announce::Load;
pub use announce::LoadReport;
pub use announce::Offer;
pub use announce::Phase;
pub use assignment::Assignment;
pub use attribution::Attribution;
pub use choice::SessionPlace;
pub use config::Order;
pub use config::TableConfig;
pub use evidence::Evidence;
pub use evidence::Finding;
pub use evidence::Proof;
pub use evidence::Stage;
pub use evidence::Subject;
pub use headroom::Headroom;
pub use leave::LeaveNotice;
pub use part_quarantine::QuarantineChange;
pub use pause::MAX_PAUSE;
pub use pause::Pause;
pub use quarantine::Crash;
pub use release::ReleaseNotice;
pub use status::Availability;
pub use status::Pool;
pub use status::Probe;
pub use status::UpstreamStatus;
pub use table::AttemptId;
pub use table::AttemptOutcome;
pub use table::ChoiceError;
pub use table::Criteria;
pub use table::LimitedUpstream;
pub use table::Pick;
pub use table::Table;
pub use version::Version;
