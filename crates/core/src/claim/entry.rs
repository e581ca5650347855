//! One call and the attempts at it.

use serde::Deserialize;
use serde::Serialize;

use crate::command::CallEnd;
use crate::command::Recorded;
use crate::id::Fingerprint;
use crate::id::RouterId;
use crate::unit::Millis;

/// Most ended attempts remembered for one call. A late claim of an older one is not recognised as
/// ended.
const MAX_ENDED_ATTEMPTS: usize = 32;

/// One attempt at a call by one router.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct Attempt {
    pub router: RouterId,
    /// Number of the attempt at that router.
    pub nonce: u64,
}

/// State of a call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) enum Phase {
    /// No attempt holds the claim.
    Released,
    /// This attempt holds the claim and may have been sent.
    Running(Attempt),
    /// The call ran and was answered.
    Answered(Recorded),
    /// The call may have been sent; whether it ran is not known.
    Unknown,
}

/// The register's entry for a call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct Entry {
    /// Fingerprint of the first claim; none if only a conclusion has arrived.
    pub body: Option<Fingerprint>,
    pub phase: Phase,
    /// Time of the last change, by the leaders' timestamps.
    pub at: Millis,
    /// Attempts that ended without a byte sent, oldest first.
    pub ended: Vec<Attempt>,
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

    /// Records how the attempt that holds the claim ended.
    pub fn conclude(&mut self, attempt: Attempt, end: CallEnd) {
        self.phase = match end {
            CallEnd::NotRun => {
                self.end(attempt);
                Phase::Released
            }
            CallEnd::Answered(answer) => Phase::Answered(answer),
            CallEnd::Unknown => Phase::Unknown,
        };
    }

    /// Remembers that an attempt has ended without a byte sent.
    pub fn end(&mut self, attempt: Attempt) {
        if self.ended.contains(&attempt) {
            return;
        }
        if self.ended.len() >= MAX_ENDED_ATTEMPTS {
            self.ended.remove(0);
        }
        self.ended.push(attempt);
    }

    /// Returns the size of the recorded answer, zero if there is none.
    pub fn answer_bytes(&self) -> usize {
        match &self.phase {
            Phase::Answered(answer) => answer.body.len() + answer.kind.len(),
            _ => 0,
        }
    }
}
