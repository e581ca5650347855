//! Admission: which waiting request runs next, and which is refused.

use std::collections::VecDeque;

use crate::id::Workspace;
use crate::map::Map;
use crate::unit::Millis;
use crate::unit::Tokens;
use crate::upstream::Kind;

/// A request that asks to run.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Number of the request at this router.
    pub ticket: u64,
    /// Whose request.
    pub workspace: Workspace,
    /// Share of that workspace, relative to the others; zero counts as one.
    pub share: u32,
    /// Precedence; a higher class gets a larger part under load.
    pub priority: u8,
    /// What it needs.
    pub kind: Kind,
    /// Its worst case.
    pub cost: Tokens,
    /// When its answer has to be whole, by the router's monotonic clock.
    pub deadline: Millis,
}

/// What becomes of an arrival.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It runs now; [`Gate::finish`] ends it.
    Run,
    /// It waits; [`Gate::poll`] says when it runs or is refused.
    Wait,
    /// It is refused now.
    Shed(Shed),
}

/// A refusal under load. It is final: the request has not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{reason}")]
pub struct Shed {
    /// Why.
    pub reason: ShedReason,
    /// When to come back, in milliseconds from now.
    pub after: Millis,
}

/// Why a request was refused under load.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ShedReason {
    /// The queue is full.
    #[error("the queue is full")]
    Full,
    /// It can't be served by its deadline.
    #[error("it can't be served by its deadline")]
    Deadline,
}

/// What [`Gate::poll`] decided for a waiting request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Release {
    /// It runs now; [`Gate::finish`] ends it.
    Run(u64),
    /// It is refused now.
    Shed(u64, Shed),
}

/// Settings of a [`Gate`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GateRules {
    /// Most requests that wait for one kind of upstream.
    pub queue: usize,
}

impl Default for GateRules {
    fn default() -> Self {
        Self { queue: 1_024 }
    }
}

/// Admission of one router.
#[derive(Debug, Default)]
pub struct Gate {
    rules: GateRules,
    slots: Map<Kind, u32>,
    running: Map<u64, Kind>,
    queue: VecDeque<Arrival>,
}

const RETRY_MILLIS: Millis = Millis(1_000);

impl Gate {
    /// A gate with nothing running.
    pub fn new(rules: GateRules) -> Self {
        Self {
            rules,
            ..Self::default()
        }
    }

    /// Decides on a new request.
    pub fn arrive(&mut self, now: Millis, arrival: Arrival) -> Verdict {
        if arrival.deadline <= now {
            return Verdict::Shed(shed(ShedReason::Deadline));
        }
        if self.free(&arrival.kind) {
            self.running.insert(arrival.ticket, arrival.kind);
            return Verdict::Run;
        }
        if self.queue.len() >= self.rules.queue {
            return Verdict::Shed(shed(ShedReason::Full));
        }
        self.queue.push_back(arrival);
        Verdict::Wait
    }

    /// A running request ended.
    pub fn finish(&mut self, _now: Millis, ticket: u64) {
        self.running.remove(&ticket);
    }

    /// The caller of a waiting or running request went away.
    pub fn cancel(&mut self, _now: Millis, ticket: u64) {
        self.running.remove(&ticket);
        self.queue.retain(|one| one.ticket != ticket);
    }

    /// Sets how many requests of a kind this router may run at once.
    pub fn capacity(&mut self, _now: Millis, kind: &Kind, slots: u32) {
        self.slots.insert(kind.clone(), slots);
    }

    /// Appends what became of waiting requests. Due after each other call and about every 50 ms.
    pub fn poll(&mut self, now: Millis, out: &mut Vec<Release>) {
        for one in std::mem::take(&mut self.queue) {
            if one.deadline <= now {
                out.push(Release::Shed(one.ticket, shed(ShedReason::Deadline)));
            } else if self.free(&one.kind) {
                out.push(Release::Run(one.ticket));
                self.running.insert(one.ticket, one.kind);
            } else {
                self.queue.push_back(one);
            }
        }
    }

    fn free(&self, kind: &Kind) -> bool {
        let used = self.running.values().filter(|one| *one == kind).count();
        let slots = self.slots.get(kind).copied().unwrap_or(0);
        used < slots as usize
    }
}

fn shed(reason: ShedReason) -> Shed {
    Shed {
        reason,
        after: RETRY_MILLIS,
    }
}
