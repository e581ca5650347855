//! Files under the data folder of a control replica.
//!
//! | file | content |
//! |---|---|
//! | `lock` | empty; locked while a process uses the folder |
//! | `identity` | the replica's random identity |
//! | `snapshot` | the newest snapshot |
//! | `bills.spool` | bills kept here while no quorum answers, see [`spool`] |
//! | `log-N` | segment N of the log: votes and entries, one frame for each sync |
//!
//! Every file but `lock` consists of checksummed [`frame`]s. An incomplete last frame of the last
//! segment was never acknowledged and is cut off; any other damage is a [`DiskError`].

mod error;
mod file;
mod folder;
pub mod frame;
mod history;
pub mod identity;
pub mod segment;
pub mod snapshot;
pub mod spool;

pub use error::DiskError;
pub use folder::Folder;
