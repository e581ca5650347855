//! What a router admits: bounded queues, fair shares, deadlines, the retry budget.

pub mod fair;
pub mod gate;
pub mod pace;
pub mod progress;
pub mod retry;
pub mod window;

pub use gate::Arrival;
pub use gate::Gate;
pub use gate::GateRules;
pub use gate::Release;
pub use gate::Shed;
pub use gate::ShedReason;
pub use gate::Verdict;
pub use progress::Late;
pub use progress::Patience;
pub use progress::Progress;
pub use retry::RetryBudget;
pub use retry::RetryRules;
pub use window::RetryWindow;
pub use window::WindowRules;
