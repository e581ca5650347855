//! Prepaid budgets: the replicated [`Ledger`] and each holder's side of it, [`HolderLedger`].
//!
//! This is an escrow scheme: the ledger splits a budget into allotments, and a holder reserves the
//! worst case of a request out of its own allotment without a message, so it also serves during a
//! partition.

mod account;
mod allotment;
mod bills;
mod book;
mod borrower;
mod closing;
mod demand;
mod draw_policy;
mod holder;
mod policy;
mod shortage;

pub use bills::BILL_RETENTION_MILLIS;
pub use bills::MAX_BILLS;
pub use book::Balance;
pub use book::Ledger;
pub use borrower::BorrowPolicy;
pub use borrower::Borrower;
pub use borrower::LedgerLink;
pub use borrower::LoanRequest;
pub use draw_policy::DrawPolicy;
pub use holder::HolderLedger;
pub use holder::Loan;
pub use holder::Reservation;
pub use holder::ReserveError;
pub use shortage::LoanAnswers;
pub use shortage::Shortage;
