//! The replicated state machine, which applies the commands of the agreed log in order.

mod apply;
mod audit;
mod fault;
mod hosts;
mod state;
mod submissions;

pub use audit::Action;
pub use audit::AuditFilter;
pub use audit::AuditRow;
pub use audit::MAX_AUDIT_ROWS;
pub use fault::Fault;
pub use state::Machine;
pub use submissions::MAX_SUBMISSIONS;
