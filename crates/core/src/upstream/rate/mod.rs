//! Rates that upstreams name: the requests a second that they take from all routers together.
//!
//! A router knows only what it sends itself, so one router owns the rate of each upstream and grants
//! the others requests as they need them. [`RateBook`] is the entry point.

mod book;
mod bucket;
mod grantor;
mod known;
mod share;

pub use book::RateBook;
pub use book::RateNotice;
pub use book::Reach;
pub use book::ShareGrant;
pub use book::ShareRequest;
pub use known::KnownRate;
pub use known::NoticeEffect;
pub use share::ShareStatus;
