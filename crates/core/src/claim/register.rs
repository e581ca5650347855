//! All calls within the horizon.

use std::collections::BTreeSet;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::claim::entry::Entry;
use crate::claim::entry::Phase;
use crate::claim::entry::Try;
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

/// How long a call is known after its last change, by the leaders' stamps.
pub const CLAIM_HORIZON_MILLIS: Millis = Millis(24 * 60 * 60 * 1_000);

/// Most calls known at once; beyond it new claims are refused.
pub const MAX_CLAIMS: usize = 200_000;

/// Most bytes of recorded answers; beyond it the oldest are kept as of unknown outcome.
pub const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Most entries that one command drops.
const PRUNE_BATCH: usize = 64;

/// The register.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claims {
    entries: Map<RequestId, Entry>,
    /// Calls by the time at which they were last looked at.
    order: BTreeSet<(Millis, RequestId)>,
    /// Answered calls, oldest first.
    answers: VecDeque<RequestId>,
    bytes: usize,
    #[serde(skip)]
    fault: Option<Fault>,
}

impl Claims {
    pub(crate) fn set_fault(&mut self, fault: Fault) {
        self.fault = Some(fault);
    }

    /// Number of calls known.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no call is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Decides on a claim of an open router.
    pub(crate) fn claim(&mut self, at: Millis, claim: &Claim) -> Reply {
        self.prune(at);
        let this = Try {
            router: claim.router.clone(),
            nonce: claim.nonce,
        };
        let Some(entry) = self.entries.get_mut(&claim.id) else {
            return self.first(at, claim, this);
        };
        if *entry.body.get_or_insert(claim.body) != claim.body {
            return Reply::Claim(ClaimReply::Mismatch);
        }
        let is_ended = entry.ended.contains(&this) && self.fault != Some(Fault::ClaimConcluded);
        if is_ended {
            return Reply::Refused(Refusal::NoClaim);
        }
        let reply = match &entry.phase {
            Phase::Running(running) if *running == this => ClaimReply::Granted,
            Phase::Running(_) if self.fault == Some(Fault::ClaimRunning) => ClaimReply::Granted,
            Phase::Running(_) => ClaimReply::Running,
            Phase::Answered(answer) => ClaimReply::Answered(answer.clone()),
            Phase::Unknown => ClaimReply::Unknown,
            Phase::Released => ClaimReply::Granted,
        };
        if reply == ClaimReply::Granted {
            entry.phase = Phase::Running(this);
            entry.at = at;
        }
        Reply::Claim(reply)
    }

    fn first(&mut self, at: Millis, claim: &Claim, this: Try) -> Reply {
        if self.entries.len() >= MAX_CLAIMS {
            return Reply::Refused(Refusal::Full);
        }
        let entry = Entry::new(Some(claim.body), at, Phase::Running(this));
        self.insert(claim.id.clone(), entry);
        Reply::Claim(ClaimReply::Granted)
    }

    fn insert(&mut self, id: RequestId, entry: Entry) {
        self.order.insert((entry.at, id.clone()));
        self.entries.insert(id, entry);
    }

    /// Notes how a try ended.
    ///
    /// A try that ends without a byte sent may be concluded before its claim arrives; the claim is
    /// refused then.
    pub(crate) fn conclude(&mut self, at: Millis, conclude: &Conclude) -> Reply {
        let this = Try {
            router: conclude.router.clone(),
            nonce: conclude.nonce,
        };
        let is_unsent = conclude.end == CallEnd::NotRun;
        let Some(entry) = self.entries.get_mut(&conclude.id) else {
            return match is_unsent {
                true => self.ahead(at, conclude, this),
                false => Reply::Refused(Refusal::NoClaim),
            };
        };
        let holds = match &entry.phase {
            Phase::Running(running) if self.fault == Some(Fault::ConcludeAny) => {
                running.router == this.router
            }
            Phase::Running(running) => *running == this,
            _ => false,
        };
        if !holds && is_unsent {
            entry.end(this);
            return Reply::Concluded;
        }
        if !holds {
            return resent(entry, &conclude.end);
        }
        entry.conclude(this, conclude.end.clone());
        entry.at = at;
        self.bytes = self.bytes.saturating_add(entry.bytes());
        if entry.bytes() > 0 {
            self.answers.push_back(conclude.id.clone());
        }
        self.shed();
        Reply::Concluded
    }

    fn ahead(&mut self, at: Millis, conclude: &Conclude, this: Try) -> Reply {
        if self.entries.len() >= MAX_CLAIMS {
            return Reply::Refused(Refusal::Full);
        }
        let mut entry = Entry::new(None, at, Phase::Released);
        entry.end(this);
        self.insert(conclude.id.clone(), entry);
        Reply::Concluded
    }

    /// Ends the claims of a router that is closed: whether they ran is not known.
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

    /// Drops old answers beyond the bound on bytes; that they ran stays known.
    fn shed(&mut self) {
        while self.bytes > MAX_ANSWER_BYTES {
            let Some(id) = self.answers.pop_front() else {
                return;
            };
            if let Some(entry) = self.entries.get_mut(&id) {
                self.bytes = self.bytes.saturating_sub(entry.bytes());
                entry.phase = Phase::Unknown;
            }
        }
    }

    /// Drops calls that are past the horizon. A running one becomes unknown first.
    fn prune(&mut self, now: Millis) {
        for _ in 0..PRUNE_BATCH {
            let Some((seen, _)) = self.order.first() else {
                return;
            };
            if *seen + CLAIM_HORIZON_MILLIS >= now {
                return;
            }
            let Some((_, id)) = self.order.pop_first() else {
                return;
            };
            self.expire(now, id);
        }
    }

    fn expire(&mut self, now: Millis, id: RequestId) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        let is_running = matches!(entry.phase, Phase::Running(_));
        let is_recent = entry.at + CLAIM_HORIZON_MILLIS >= now;
        if is_running || is_recent {
            let at = if is_running { now } else { entry.at };
            if is_running {
                entry.phase = Phase::Unknown;
                entry.at = now;
            }
            self.order.insert((at, id));
            return;
        }
        self.bytes = self.bytes.saturating_sub(entry.bytes());
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

/// Answer to a conclusion that changes nothing.
fn resent(entry: &Entry, end: &CallEnd) -> Reply {
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
