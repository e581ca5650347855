//! Rates that upstreams name: the requests a second that they take from all routers together.
//!
//! [`RateBook`] is the entry point.

mod book;
mod known;

pub use book::RateBook;
pub use book::RateNotice;
pub use known::KnownRate;
pub use known::NoticeEffect;
