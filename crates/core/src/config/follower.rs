//! The configuration in force at a router.

use std::sync::Arc;

use crate::config::Accepted;
use crate::machine::Fault;
use crate::unit::Revision;

/// Origin of an offered configuration, which tells whether it may be stale.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// A quorum confirmed that it was the latest one.
    Confirmed,
    /// State of a single replica, which may be stale.
    Replica,
}

/// Keeps the highest revision offered to a router. The first one has to be confirmed by a quorum,
/// as a stale replica could otherwise take a restarted router back to an older revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ConfigFollower {
    accepted: Option<Arc<Accepted>>,
    fault: Option<Fault>,
}

impl ConfigFollower {
    /// Creates a follower with a deliberate fault, for tests that check that the fault is found.
    pub fn with_fault(fault: Fault) -> Self {
        Self {
            accepted: None,
            fault: Some(fault),
        }
    }

    /// Returns the configuration in force at this router, if any.
    pub fn accepted(&self) -> Option<&Arc<Accepted>> {
        self.accepted.as_ref()
    }

    /// Returns the revision in force at this router; zero if none is.
    pub fn revision(&self) -> Revision {
        self.accepted
            .as_ref()
            .map_or(Revision::ZERO, |accepted| accepted.revision)
    }

    /// Puts a configuration in force if it is newer. Returns whether it did.
    pub fn offer(&mut self, accepted: &Arc<Accepted>, source: Source) -> bool {
        let is_first = self.accepted.is_none();
        let is_newer = is_first || accepted.revision > self.revision();
        let is_trusted = !is_first || source == Source::Confirmed;
        let is_accepted = (is_newer || self.fault == Some(Fault::OlderRevision))
            && (is_trusted || self.fault == Some(Fault::UnconfirmedStart));
        if is_accepted {
            self.accepted = Some(accepted.clone());
        }
        is_accepted
    }
}
