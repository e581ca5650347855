//! State machine of a process that gives orders in one data centre while it holds the lease.

use crate::command::Lead;
use crate::id::DataCentre;
use crate::id::RouterId;
use crate::id::Upstream;
use crate::unit::Fence;
use crate::unit::Incarnation;
use crate::unit::Millis;

/// Spans of the lease, in milliseconds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GiverRules {
    /// How long the lease runs.
    pub span: Millis,
    /// Part of the lease at its end in which no order is sent; covers clock drift.
    pub margin: Millis,
    /// Longest time from the check of the lease until an order has taken effect or never will.
    pub flight: Millis,
}

impl Default for GiverRules {
    fn default() -> Self {
        Self {
            span: Millis(10_000),
            margin: Millis(2_000),
            flight: Millis(5_000),
        }
    }
}

/// Leave to send one order to one upstream now.
#[derive(Clone, Debug, Eq, PartialEq)]
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
#[derive(Debug)]
pub struct Giver {
    rules: GiverRules,
    centre: DataCentre,
    router: RouterId,
    fence: Option<Fence>,
    until: Millis,
}

impl Giver {
    /// A candidate. Times are those of the process's monotonic clock.
    pub fn new(rules: GiverRules, centre: DataCentre, router: RouterId) -> Self {
        Self {
            rules,
            centre,
            router,
            fence: None,
            until: Millis::ZERO,
        }
    }

    /// The request to send to the control quorum, if one is due.
    pub fn lead(&mut self, now: Millis) -> Option<Lead> {
        (now + self.rules.margin >= self.until).then(|| Lead {
            centre: self.centre.clone(),
            router: self.router.clone(),
            span: self.rules.span,
        })
    }

    /// The quorum granted the request that was sent at `sent`.
    pub fn granted(&mut self, _now: Millis, sent: Millis, fence: Fence) {
        self.fence = Some(fence);
        self.until = sent + self.rules.span;
    }

    /// The quorum refused the request.
    pub fn refused(&mut self, _now: Millis) {
        self.fence = None;
    }

    /// Asks for leave to send an order.
    ///
    /// # Errors
    ///
    /// Says what has to happen first.
    pub fn leave(
        &self,
        now: Millis,
        _upstream: &Upstream,
        _incarnation: Incarnation,
        _fences: bool,
    ) -> Result<Leave, NoLeave> {
        let fence = self.fence.ok_or(NoLeave::NotLeading)?;
        let until = self.until.saturating_sub(self.rules.margin);
        if now >= until {
            return Err(NoLeave::NotLeading);
        }
        Ok(Leave { fence, until })
    }

    /// The state of an upstream was asked for at `sent` and read.
    pub fn read(&mut self, _sent: Millis, _upstream: &Upstream, _incarnation: Incarnation) {}
}
