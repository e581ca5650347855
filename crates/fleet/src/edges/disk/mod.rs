//! The data folder of a control replica.
//!
//! | file | content |
//! |---|---|
//! | `lock` | empty; locked while a process uses the folder |
//! | `identity` | the replica's random identity, created with the folder |
//! | `snapshot` | the latest snapshot |
//! | `bills.spool` | bills accepted while no quorum responds, see [`spool`] |
//! | `log-N` | segment N of the log, in hexadecimal: votes and entries, one frame for each sync |
//!
//! `identity`, `snapshot` and `log-N` consist of checksummed [`frame`]s; `bills.spool` has a format
//! of its own. An incomplete last frame of the last segment was never acknowledged and is cut off;
//! any other damage to these files is a [`DiskError`].

mod error;
mod faults;
mod file;
mod folder;
pub mod frame;
mod history;
pub mod identity;
pub mod segment;
pub mod snapshot;
pub mod spool;

pub use error::DiskError;
pub use faults::DiskFaults;
pub use folder::Folder;
