//! State machine of a process that gives orders in one data centre while it holds the lease.
//!
//! An upstream that checks fencing numbers refuses what a former giver sends late. One that ignores
//! them is protected by bounds alone: a giver stops a margin before its lease ends by its own
//! monotonic clock, counted from before it asked, and the next one waits until an order that was
//! checked before then has taken effect or never will, and then reads the state back. A process
//! that is frozen between check and sending for longer than that bound can still disturb such an
//! upstream; the next reading shows it.

use std::collections::BTreeSet;

use crate::command::Lead;
use crate::id::DataCentre;
use crate::id::RouterId;
use crate::id::Upstream;
use crate::unit::Fence;
use crate::unit::Incarnation;
use crate::unit::Millis;

/// Spans of the lease, in milliseconds.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct GiverRules {
    /// How long the lease runs.
    pub span: Millis,
    /// Part of the lease at its end in which no order is sent; covers the clocks of the quorum and
    /// of this process drifting apart.
    pub margin: Millis,
    /// Longest time from the check of the lease until an order has taken effect or never will.
    pub flight: Millis,
    /// Whether the state of an upstream that ignores fencing numbers is read before orders to it;
    /// without it only in tests that show what it is for.
    pub reading: bool,
}

impl Default for GiverRules {
    fn default() -> Self {
        Self {
            span: Millis(10_000),
            margin: Millis(2_000),
            flight: Millis(5_000),
            reading: true,
        }
    }
}

/// Leave to send one order to one upstream now.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Leave {
    /// Fencing number to send along.
    pub fence: Fence,
    /// After this time, by the process's monotonic clock, it is void.
    pub until: Millis,
}

/// Why no order may be sent now.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum NoLeave {
    /// Another process gives the orders, or none does.
    #[error("this process does not hold the lease")]
    NotLeading,
    /// An order of the last giver may still take effect at an upstream that ignores fencing numbers.
    #[error("an order of the last giver may still be under way")]
    Wait {
        /// Until when, by the process's monotonic clock.
        until: Millis,
    },
    /// The state of the upstream has to be read first.
    #[error("the state of the upstream has to be read first")]
    Read,
}

/// The order giver of one data centre, or a candidate.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Giver {
    rules: GiverRules,
    centre: DataCentre,
    router: RouterId,
    held: Option<Held>,
    asked: Option<Millis>,
    read: BTreeSet<(Upstream, Incarnation)>,
}

/// The lease as this process knows it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Held {
    fence: Fence,
    until: Millis,
    quiet: Millis,
}

const RENEWALS: u64 = 3;
const MOST_READ: usize = 4_096;

impl Giver {
    /// A candidate. Times are those of the process's monotonic clock.
    pub fn new(rules: GiverRules, centre: DataCentre, router: RouterId) -> Self {
        Self {
            rules,
            centre,
            router,
            held: None,
            asked: None,
            read: BTreeSet::new(),
        }
    }

    /// The request to send to the control quorum, if one is due.
    pub fn lead(&mut self, now: Millis) -> Option<Lead> {
        let gap = Millis(self.rules.span.0 / RENEWALS);
        if self.asked.is_some_and(|at| now < at + gap) {
            return None;
        }
        self.asked = Some(now);
        Some(Lead {
            centre: self.centre.clone(),
            router: self.router.clone(),
            span: self.rules.span,
        })
    }

    /// The quorum granted the request that was sent at `sent`. Replies may come late or out of order.
    pub fn granted(&mut self, now: Millis, sent: Millis, fence: Fence) {
        let until = sent + self.rules.span;
        match &mut self.held {
            Some(held) if fence < held.fence => {}
            // The same number means that nobody else gave orders in between.
            Some(held) if fence == held.fence => held.until = held.until.max(until),
            _ => {
                self.read.clear();
                self.held = Some(Held {
                    fence,
                    until,
                    quiet: now + self.rules.margin + self.rules.flight,
                });
            }
        }
    }

    /// The quorum refused a request: another process holds the lease.
    pub fn refused(&mut self) {
        self.held = None;
        self.read.clear();
    }

    /// The fencing number, while orders may be given.
    pub fn leading(&self, now: Millis) -> Option<Fence> {
        self.current(now).ok().map(|leave| leave.fence)
    }

    /// Asks for leave to send an order. `fences` says whether the upstream checks fencing numbers.
    ///
    /// # Errors
    ///
    /// Says what has to happen first.
    pub fn leave(
        &self,
        now: Millis,
        upstream: &Upstream,
        incarnation: Incarnation,
        fences: bool,
    ) -> Result<Leave, NoLeave> {
        let leave = self.current(now)?;
        if fences {
            return Ok(leave);
        }
        let until = self.held.map(|held| held.quiet).unwrap_or_default();
        if now < until {
            return Err(NoLeave::Wait { until });
        }
        let read = self.read.contains(&(upstream.clone(), incarnation));
        match read || !self.rules.reading {
            true => Ok(leave),
            false => Err(NoLeave::Read),
        }
    }

    /// The state of an upstream was asked for at `sent` and read. A reading from before the wait
    /// ended does not count.
    pub fn read(&mut self, sent: Millis, upstream: &Upstream, incarnation: Incarnation) {
        let counts = self.held.is_some_and(|held| sent >= held.quiet);
        if counts && self.read.len() < MOST_READ {
            self.read.insert((upstream.clone(), incarnation));
        }
    }

    fn current(&self, now: Millis) -> Result<Leave, NoLeave> {
        let held = self.held.ok_or(NoLeave::NotLeading)?;
        let until = held.until.saturating_sub(self.rules.margin);
        if now >= until {
            return Err(NoLeave::NotLeading);
        }
        Ok(Leave {
            fence: held.fence,
            until,
        })
    }
}
