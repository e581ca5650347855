//! State machine of a process that sends orders in one data centre while it holds the lease.
//!
//! An upstream that checks fencing numbers refuses late orders of a former lease holder. One that
//! ignores them is protected only by time limits. A holder stops a margin before its lease ends by
//! its own monotonic clock, counted from before it sent the request. The next holder waits until
//! any order that was permitted before then has taken effect or never will, and then reads the
//! upstream's state again. A process that is frozen between the check of the lease and the sending
//! of an order for longer than that limit can still disturb such an upstream; the next read of its
//! state shows it.

use std::collections::BTreeSet;

use crate::command::Lead;
use crate::id::DataCentre;
use crate::id::RouterId;
use crate::id::Upstream;
use crate::unit::Fence;
use crate::unit::Incarnation;
use crate::unit::Millis;

/// Durations that bound the lease and the orders sent under it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct LeaseRules {
    /// Duration of the lease, in milliseconds.
    pub duration: Millis,
    /// Last part of the lease, in milliseconds, in which no order is sent; covers clock drift
    /// between the quorum and this process.
    pub margin: Millis,
    /// Longest time, in milliseconds, from the check of the lease until an order has taken effect
    /// or never will.
    pub max_flight: Millis,
    /// Whether the state of an upstream that ignores fencing numbers must be read before an order
    /// is sent to it. Only tests turn this off, to show the failure that it prevents.
    pub require_read: bool,
}

impl Default for LeaseRules {
    fn default() -> Self {
        Self {
            duration: Millis(10_000),
            margin: Millis(2_000),
            max_flight: Millis(5_000),
            require_read: true,
        }
    }
}

/// Permission to send one order to one upstream.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct OrderPermit {
    /// Fencing number to send with the order.
    pub fence: Fence,
    /// Time from which the permit is void, by the process's monotonic clock.
    pub expires: Millis,
}

/// Reason why no order may be sent now.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum NoPermit {
    /// This process does not hold the lease, or the lease is within its margin.
    #[error("this process does not hold the lease")]
    NoLease,
    /// An order of the previous lease holder may still take effect at an upstream that ignores
    /// fencing numbers.
    #[error("an order of the previous lease holder may still take effect")]
    Wait {
        /// End of the wait, by the process's monotonic clock.
        until: Millis,
    },
    /// The state of the upstream has not been read under this lease.
    #[error("the state of the upstream has to be read first")]
    ReadRequired,
}

/// Holder of the order lease of one data centre, or a candidate for it.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct OrderIssuer {
    rules: LeaseRules,
    centre: DataCentre,
    router: RouterId,
    /// The last lease granted, unless it was refused since; it may have expired.
    lease: Option<HeldLease>,
    /// When the lease was last requested.
    last_request: Option<Millis>,
    /// Upstreams whose state was read under this lease.
    states_read: BTreeSet<(Upstream, Incarnation)>,
}

/// The lease as this process knows it, by its monotonic clock.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct HeldLease {
    fence: Fence,
    /// End of the lease, counted from the sending of its request; at the quorum it ends no earlier,
    /// apart from clock drift.
    expires: Millis,
    /// Time from which no order of the previous holder can take effect any more.
    settled: Millis,
}

/// Lease requests per lease duration, so that a lost one does not end the lease.
const REQUESTS_PER_LEASE: u64 = 3;

/// Most upstreams whose read state is remembered.
const MAX_STATES_READ: usize = 4_096;

impl OrderIssuer {
    /// Creates a candidate. All times are those of the process's monotonic clock.
    pub fn new(rules: LeaseRules, centre: DataCentre, router: RouterId) -> Self {
        Self {
            rules,
            centre,
            router,
            lease: None,
            last_request: None,
            states_read: BTreeSet::new(),
        }
    }

    /// Returns the lease request to send to the control quorum, if one is due.
    pub fn request_lease(&mut self, now: Millis) -> Option<Lead> {
        let interval = Millis(self.rules.duration.0 / REQUESTS_PER_LEASE);
        if self.last_request.is_some_and(|sent| now < sent + interval) {
            return None;
        }
        self.last_request = Some(now);
        Some(Lead {
            centre: self.centre.clone(),
            router: self.router.clone(),
            span: self.rules.duration,
        })
    }

    /// Records that the quorum granted the request sent at `sent`. Replies may arrive late or out
    /// of order.
    pub fn lease_granted(&mut self, now: Millis, sent: Millis, fence: Fence) {
        let expires = sent + self.rules.duration;
        match &mut self.lease {
            Some(lease) if fence < lease.fence => {}
            // With the same fencing number, no other process has held the lease in between.
            Some(lease) if fence == lease.fence => lease.expires = lease.expires.max(expires),
            _ => {
                self.states_read.clear();
                self.lease = Some(HeldLease {
                    fence,
                    expires,
                    settled: now + self.rules.margin + self.rules.max_flight,
                });
            }
        }
    }

    /// Records that the quorum refused a request, as another process holds the lease.
    pub fn lease_refused(&mut self) {
        self.lease = None;
        self.states_read.clear();
    }

    /// Returns the fencing number while the lease permits orders.
    pub fn valid_fence(&self, now: Millis) -> Option<Fence> {
        self.current(now).ok().map(|permit| permit.fence)
    }

    /// Returns a permit for one order to an upstream. `checks_fences` tells whether the upstream
    /// refuses lower fencing numbers.
    ///
    /// # Errors
    ///
    /// [`NoPermit`] tells what has to happen first.
    pub fn permit(
        &self,
        now: Millis,
        upstream: &Upstream,
        incarnation: Incarnation,
        checks_fences: bool,
    ) -> Result<OrderPermit, NoPermit> {
        let permit = self.current(now)?;
        if checks_fences {
            return Ok(permit);
        }
        let until = self.lease.map(|lease| lease.settled).unwrap_or_default();
        if now < until {
            return Err(NoPermit::Wait { until });
        }
        let was_read = self.states_read.contains(&(upstream.clone(), incarnation));
        match was_read || !self.rules.require_read {
            true => Ok(permit),
            false => Err(NoPermit::ReadRequired),
        }
    }

    /// Records that the state of an upstream was requested at `sent` and read. A read that was
    /// requested while orders of the previous holder could still take effect does not count.
    pub fn state_read(&mut self, sent: Millis, upstream: &Upstream, incarnation: Incarnation) {
        let counts = self.lease.is_some_and(|lease| sent >= lease.settled);
        if counts && self.states_read.len() < MAX_STATES_READ {
            self.states_read.insert((upstream.clone(), incarnation));
        }
    }

    /// Returns a permit for an upstream that checks fencing numbers.
    fn current(&self, now: Millis) -> Result<OrderPermit, NoPermit> {
        let lease = self.lease.ok_or(NoPermit::NoLease)?;
        let expires = lease.expires.saturating_sub(self.rules.margin);
        if now >= expires {
            return Err(NoPermit::NoLease);
        }
        Ok(OrderPermit {
            fence: lease.fence,
            expires,
        })
    }
}
