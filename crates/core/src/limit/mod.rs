//! Limits of a router: admission control, weighted fair queueing, stream timeouts, retry budgets,
//! second attempts.

pub mod bodies;
pub mod fair;
pub mod gate;
pub mod hedge;
pub mod hold;
pub mod pace;
pub mod progress;
pub mod retry;
pub mod window;

pub use bodies::BodyId;
pub use bodies::BodyShares;
pub use bodies::Growth;
pub use gate::AdmissionController;
pub use gate::AdmissionRules;
pub use gate::Arrival;
pub use gate::ArrivalDecision;
pub use gate::QueueDecision;
pub use gate::Shed;
pub use gate::ShedReason;
pub use hedge::Hedge;
pub use hedge::HedgeDenied;
pub use hedge::HedgeRequest;
pub use hedge::HedgeRules;
pub use hold::Hold;
pub use pace::ServiceTime;
pub use progress::Progress;
pub use progress::TimeoutKind;
pub use progress::Timeouts;
pub use retry::RetryBudget;
pub use retry::RetryRules;
pub use window::RetryWindow;
pub use window::WindowRules;
