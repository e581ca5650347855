//! The configuration as a router follows it.

use std::sync::Arc;

use crate::config::Accepted;
use crate::machine::Fault;
use crate::unit::Revision;

/// How far an offered configuration can be relied on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// A quorum has confirmed that it was the latest.
    Confirmed,
    /// One replica's own state, which may be old.
    Replica,
}

/// Holds the highest revision heard of. Holds none until a first one is confirmed, so that a
/// restarted router can't be fed an old one.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Follower {
    accepted: Option<Arc<Accepted>>,
    fault: Option<Fault>,
}

impl Follower {
    /// A follower that breaks a rule, for checks that have to fail.
    pub fn with_fault(fault: Fault) -> Self {
        Self {
            accepted: None,
            fault: Some(fault),
        }
    }

    /// The configuration in force here, if any.
    pub fn accepted(&self) -> Option<&Arc<Accepted>> {
        self.accepted.as_ref()
    }

    /// Its revision; zero if none.
    pub fn revision(&self) -> Revision {
        self.accepted
            .as_ref()
            .map_or(Revision::ZERO, |accepted| accepted.revision)
    }

    /// Takes a configuration if it is newer; says whether it did.
    pub fn offer(&mut self, accepted: &Arc<Accepted>, source: Source) -> bool {
        let is_first = self.accepted.is_none();
        let is_newer = is_first || accepted.revision > self.revision();
        let is_sure = !is_first || source == Source::Confirmed;
        let takes = (is_newer || self.fault == Some(Fault::OlderRevision))
            && (is_sure || self.fault == Some(Fault::UnconfirmedStart));
        if takes {
            self.accepted = Some(accepted.clone());
        }
        takes
    }
}
