//! Prepaid budgets: the ledger that the control replicas agree on, and the purse of each holder.
//!
//! The ledger splits a budget into allotments; a holder reserves the worst case of a request out of
//! its own allotment and needs nobody's leave for it, in a partition neither.

mod account;
mod bills;
mod book;
mod closing;
mod pace;
mod policy;
mod purse;
mod row;

pub use bills::BILL_HORIZON_MILLIS;
pub use bills::MAX_BILLS;
pub use book::Balance;
pub use book::Ledger;
pub use pace::Pace;
pub use purse::Purse;
pub use purse::Reservation;
pub use purse::Short;
