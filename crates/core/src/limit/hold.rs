//! Holding of requests of which each waits for a short time only, and the forecast of their start.
//!
//! Load pattern: bursts of urgent and bulk requests at the same upstreams, beyond what they take. A
//! held request keeps its body in memory, and its caller could have gone elsewhere meanwhile.

use crate::unit::Millis;
use crate::upstream::Headroom;

use super::fair::QueuedRequest;
use super::gate::ShedReason;
use super::pace::ServiceTime;

/// How long a request may be held.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Hold {
    /// Time until which it may be held without a forecast that it will begin by `start_by`.
    pub until: Millis,
    /// Time by which it has to begin for an answer that is on time.
    pub start_by: Millis,
    /// Memory that it takes while it is held, in bytes.
    pub bytes: u64,
}

/// What is known of the places for the requests of one service.
#[derive(Clone, Copy, Debug)]
pub(super) struct Forecast {
    pub now: Millis,
    /// Places, taken or not.
    pub slots: u32,
    /// Whether a place is free.
    pub is_free: bool,
    /// When further places open.
    pub opens_at: Option<Millis>,
    /// Number of places that open then.
    pub closed: u32,
    pub service_time: ServiceTime,
}

impl Forecast {
    /// Returns the earliest start of a request with no work ahead of it.
    fn earliest(&self) -> Millis {
        match (self.slots, self.opens_at) {
            (0, Some(at)) => at.max(self.now),
            _ => self.now,
        }
    }

    /// Returns the expected start of a request with this work ahead of it, in tokens; `None` if the
    /// service time is not known.
    pub fn start(&self, work_ahead: u64) -> Option<Millis> {
        let slots = match self.slots {
            0 => self.closed.max(1),
            slots => slots,
        };
        let time = &self.service_time;
        let work = time.is_known().then(|| time.drain_time(work_ahead, slots));
        // Until the first of the places in use is free.
        let first = match self.is_free || self.slots == 0 {
            true => Millis::ZERO,
            false => time.turnover(slots),
        };
        work.map(|work| self.earliest() + work + first)
    }

    /// Returns why a new request is refused at once, if it is. Requests that come after it may go
    /// first, so that it is held for long only if three times the forecast wait is bearable.
    pub fn refuse_new(&self, request: &QueuedRequest, work_ahead: u64) -> Option<ShedReason> {
        let start = self.start(work_ahead);
        let wait = start.map(|start| start.saturating_sub(self.now).0 * ARRIVAL_FACTOR);
        self.judge(request, wait.map(|wait| self.now + Millis(wait)))
    }

    /// Returns why a held request is refused now, if it is.
    pub fn refuse_held(&self, request: &QueuedRequest, work_ahead: u64) -> Option<ShedReason> {
        self.judge(request, self.start(work_ahead))
    }

    fn judge(&self, request: &QueuedRequest, start: Option<Millis>) -> Option<ShedReason> {
        let hold = request.hold?;
        let begin = start.unwrap_or_else(|| self.earliest());
        if begin + self.service_time.short_request() >= request.deadline {
            return Some(ShedReason::Deadline);
        }
        let is_late = match start {
            Some(start) => start > hold.until && start > hold.start_by,
            None => self.now >= hold.until || begin > hold.until,
        };
        is_late.then_some(ShedReason::LongWait)
    }
}

/// Factor of the forecast wait of a new request.
const ARRIVAL_FACTOR: u64 = 3;

/// Returns the slots of a controller with this many running requests, as headroom allows. The headroom
/// does not count the `unplaced` ones of them.
pub(super) fn slots(headroom: Headroom, running: u32, unplaced: u32) -> u32 {
    match headroom {
        Headroom::Open => u32::MAX,
        Headroom::Limited { free, .. } => running.saturating_add(free.saturating_sub(unplaced)),
        Headroom::None => 0,
    }
}
