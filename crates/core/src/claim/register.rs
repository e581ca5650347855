//! The register of all calls within the retention time.

use std::collections::BTreeSet;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::claim::entry::Attempt;
use crate::claim::entry::Entry;
use crate::claim::entry::Phase;
use crate::command::CallEnd;
use crate::command::Claim;
use crate::command::ClaimReply;
use crate::command::Conclude;
use crate::command::Refusal;
use crate::command::Reply;
use crate::id::RequestId;
use crate::id::RouterId;
use crate::machine::Fault;
use crate::map::Map;
use crate::unit::Millis;

/// Retention of a call after its last change, by the leaders' timestamps.
pub const CLAIM_RETENTION_MILLIS: Millis = Millis(24 * 60 * 60 * 1_000);

/// Most calls kept; beyond it new claims are refused.
pub const MAX_CLAIMS: usize = 200_000;

/// Most bytes of recorded answers; beyond it the oldest answers are dropped, and their calls stay
/// with an unknown outcome.
pub const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Most entries that one command checks for expiry, which bounds the time that it takes.
const MAX_PRUNED_ENTRIES: usize = 64;

/// All calls that were claimed or concluded within the retention time.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claims {
    entries: Map<RequestId, Entry>,
    /// Calls by the time of their first entry or of their last check for expiry.
    order: BTreeSet<(Millis, RequestId)>,
    /// Answered calls, oldest first.
    answers: VecDeque<RequestId>,
    /// Bytes of all recorded answers.
    bytes: usize,
    #[serde(skip)]
    fault: Option<Fault>,
}

impl Claims {
    pub(crate) fn set_fault(&mut self, fault: Fault) {
        self.fault = Some(fault);
    }

    /// Returns the number of calls kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no call is kept.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Decides on a claim. The caller has checked that its router is open.
    pub(crate) fn claim(&mut self, at: Millis, claim: &Claim) -> Reply {
        self.prune(at);
        let attempt = Attempt {
            router: claim.router.clone(),
            nonce: claim.nonce,
        };
        let Some(entry) = self.entries.get_mut(&claim.id) else {
            return self.grant_first(at, claim, attempt);
        };
        if *entry.body.get_or_insert(claim.body) != claim.body {
            return Reply::Claim(ClaimReply::Mismatch);
        }
        let is_ended = entry.ended.contains(&attempt) && self.fault != Some(Fault::ClaimConcluded);
        if is_ended {
            return Reply::Refused(Refusal::NoClaim);
        }
        let reply = match &entry.phase {
            Phase::Running(running) if *running == attempt => ClaimReply::Granted,
            Phase::Running(_) if self.fault == Some(Fault::ClaimRunning) => ClaimReply::Granted,
            Phase::Running(_) => ClaimReply::Running,
            Phase::Answered(answer) => ClaimReply::Answered(answer.clone()),
            Phase::Unknown => ClaimReply::Unknown,
            Phase::Released => ClaimReply::Granted,
        };
        if reply == ClaimReply::Granted {
            entry.phase = Phase::Running(attempt);
            entry.at = at;
        }
        Reply::Claim(reply)
    }

    /// Grants the claim of a call that is not in the register.
    fn grant_first(&mut self, at: Millis, claim: &Claim, attempt: Attempt) -> Reply {
        if self.entries.len() >= MAX_CLAIMS {
            return Reply::Refused(Refusal::Full);
        }
        let entry = Entry::new(Some(claim.body), at, Phase::Running(attempt));
        self.insert(claim.id.clone(), entry);
        Reply::Claim(ClaimReply::Granted)
    }

    fn insert(&mut self, id: RequestId, entry: Entry) {
        self.order.insert((entry.at, id.clone()));
        self.entries.insert(id, entry);
    }

    /// Records how an attempt ended.
    ///
    /// The conclusion that no byte was sent may arrive before the claim; the claim is refused then.
    pub(crate) fn conclude(&mut self, at: Millis, conclude: &Conclude) -> Reply {
        let attempt = Attempt {
            router: conclude.router.clone(),
            nonce: conclude.nonce,
        };
        let is_unsent = conclude.end == CallEnd::NotRun;
        let Some(entry) = self.entries.get_mut(&conclude.id) else {
            return match is_unsent {
                true => self.conclude_unclaimed(at, conclude, attempt),
                false => Reply::Refused(Refusal::NoClaim),
            };
        };
        let holds_claim = match &entry.phase {
            Phase::Running(running) if self.fault == Some(Fault::ConcludeAny) => {
                running.router == attempt.router
            }
            Phase::Running(running) => *running == attempt,
            _ => false,
        };
        if !holds_claim && is_unsent {
            entry.end(attempt);
            return Reply::Concluded;
        }
        if !holds_claim {
            return reply_to_resend(entry, &conclude.end);
        }
        entry.conclude(attempt, conclude.end.clone());
        entry.at = at;
        self.bytes = self.bytes.saturating_add(entry.answer_bytes());
        if entry.answer_bytes() > 0 {
            self.answers.push_back(conclude.id.clone());
        }
        self.evict_answers();
        Reply::Concluded
    }

    /// Records that an attempt ended whose claim has not arrived.
    fn conclude_unclaimed(&mut self, at: Millis, conclude: &Conclude, attempt: Attempt) -> Reply {
        if self.entries.len() >= MAX_CLAIMS {
            return Reply::Refused(Refusal::Full);
        }
        let mut entry = Entry::new(None, at, Phase::Released);
        entry.end(attempt);
        self.insert(conclude.id.clone(), entry);
        Reply::Concluded
    }

    /// Ends the claims of a router that is closed. Whether their calls ran is not known.
    pub(crate) fn close(&mut self, at: Millis, router: &RouterId) {
        for entry in self.entries.values_mut() {
            let Phase::Running(running) = &entry.phase else {
                continue;
            };
            if running.router != *router {
                continue;
            }
            entry.phase = match self.fault {
                Some(Fault::ReleaseClosed) => Phase::Released,
                _ => Phase::Unknown,
            };
            entry.at = at;
        }
    }

    /// Drops the oldest answers beyond [`MAX_ANSWER_BYTES`]. Their calls can't be claimed again.
    fn evict_answers(&mut self) {
        while self.bytes > MAX_ANSWER_BYTES {
            let Some(id) = self.answers.pop_front() else {
                return;
            };
            if let Some(entry) = self.entries.get_mut(&id) {
                self.bytes = self.bytes.saturating_sub(entry.answer_bytes());
                entry.phase = Phase::Unknown;
            }
        }
    }

    /// Drops calls that are past their retention. A running one becomes unknown first and is kept
    /// for another retention time.
    fn prune(&mut self, now: Millis) {
        for _ in 0..MAX_PRUNED_ENTRIES {
            let Some((checked, _)) = self.order.first() else {
                return;
            };
            if *checked + CLAIM_RETENTION_MILLIS >= now {
                return;
            }
            let Some((_, id)) = self.order.pop_first() else {
                return;
            };
            self.expire(now, id);
        }
    }

    /// Drops a call that is past its retention, or sets its next check.
    fn expire(&mut self, now: Millis, id: RequestId) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        let is_running = matches!(entry.phase, Phase::Running(_));
        let is_recent = entry.at + CLAIM_RETENTION_MILLIS >= now;
        if is_running || is_recent {
            let at = if is_running { now } else { entry.at };
            if is_running {
                entry.phase = Phase::Unknown;
                entry.at = now;
            }
            self.order.insert((at, id));
            return;
        }
        self.bytes = self.bytes.saturating_sub(entry.answer_bytes());
        self.entries.remove(&id);
        while self
            .answers
            .front()
            .is_some_and(|id| !self.entries.contains_key(id))
        {
            self.answers.pop_front();
        }
    }
}

/// Returns the reply to a conclusion of an attempt that doesn't hold the claim: success for a
/// resend, else a refusal.
fn reply_to_resend(entry: &Entry, end: &CallEnd) -> Reply {
    let is_same = match (&entry.phase, end) {
        (Phase::Answered(recorded), CallEnd::Answered(answer)) => recorded == answer,
        (Phase::Unknown, CallEnd::Unknown) => true,
        _ => false,
    };
    match is_same {
        true => Reply::Concluded,
        false => Reply::Refused(Refusal::NoClaim),
    }
}
