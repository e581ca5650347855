//! One call and its tries.

use serde::Deserialize;
use serde::Serialize;

use crate::command::CallEnd;
use crate::command::Recorded;
use crate::id::Fingerprint;
use crate::id::RouterId;
use crate::unit::Millis;

/// Most ended tries remembered for one call; a resent claim of an older one is refused like theirs.
const MAX_TRIES: usize = 32;

/// One try of a call at one router.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct Try {
    pub router: RouterId,
    pub nonce: u64,
}

/// Where a call is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) enum Phase {
    /// Nobody holds the claim.
    Released,
    /// This try may be on its way.
    Running(Try),
    /// It ran.
    Answered(Recorded),
    /// It was sent; whether it ran is not known.
    Unknown,
}

/// A call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct Entry {
    /// Body of the first claim; none if only a conclusion came so far.
    pub body: Option<Fingerprint>,
    pub phase: Phase,
    /// Time of the last change.
    pub at: Millis,
    /// Tries that ended without a byte sent.
    pub ended: Vec<Try>,
}

impl Entry {
    pub fn new(body: Option<Fingerprint>, at: Millis, phase: Phase) -> Self {
        Self {
            body,
            phase,
            at,
            ended: Vec::new(),
        }
    }

    /// Notes the end of a try that holds the claim.
    pub fn conclude(&mut self, this: Try, end: CallEnd) {
        self.phase = match end {
            CallEnd::NotRun => {
                self.end(this);
                Phase::Released
            }
            CallEnd::Answered(answer) => Phase::Answered(answer),
            CallEnd::Unknown => Phase::Unknown,
        };
    }

    /// Remembers that a try has ended.
    pub fn end(&mut self, this: Try) {
        if self.ended.contains(&this) {
            return;
        }
        if self.ended.len() >= MAX_TRIES {
            self.ended.remove(0);
        }
        self.ended.push(this);
    }

    /// Bytes of the recorded answer.
    pub fn bytes(&self) -> usize {
        match &self.phase {
            Phase::Answered(answer) => answer.body.len() + answer.kind.len(),
            _ => 0,
        }
    }
}
