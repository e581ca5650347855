//! Admission control: which request runs, which waits in a queue, and which is refused.
//!
//! A refusal is final and is given early: a request that cannot be answered by its deadline is
//! refused on arrival, or as soon as this becomes clear, rather than when the deadline passes.

use crate::id::Workspace;
use crate::map::Map;
use crate::unit::Millis;
use crate::unit::Tokens;
use crate::upstream::Headroom;
use crate::upstream::Kind;
use crate::upstream::Pool;

use super::fair::FairQueue;
use super::fair::FlowSpec;
use super::fair::QueuePosition;
use super::fair::QueuedRequest;
use super::hold;
use super::hold::Forecast;
use super::hold::Hold;
use super::pace::ServiceTime;

/// A request that asks for admission.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Number of the request, unique at this router.
    pub ticket: u64,
    /// Workspace that sent the request.
    pub workspace: Workspace,
    /// Share of that workspace relative to the others; zero counts as one.
    pub share: u32,
    /// Priority class; a higher class receives a larger part of the slots under load.
    pub priority: u8,
    /// Kind of work, which determines the pool of upstreams.
    pub kind: Kind,
    /// Worst-case cost.
    pub cost: Tokens,
    /// Time by which the whole answer is due, by the router's monotonic clock.
    pub deadline: Millis,
    /// How long it may be held, if that is bounded besides its deadline.
    pub hold: Option<Hold>,
}

/// Decision on an arrival.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ArrivalDecision {
    /// The request runs now, until [`AdmissionController::finish`] or
    /// [`AdmissionController::cancel`].
    Run,
    /// The request is queued; [`AdmissionController::poll`] decides on it later.
    Wait,
    /// The request is refused.
    Shed(Shed),
}

/// A refusal under load. It is final, and the request has not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{reason}")]
pub struct Shed {
    /// Reason for the refusal.
    pub reason: ShedReason,
    /// Time after which the caller should retry, in milliseconds from now.
    pub retry_after: Millis,
}

/// Reason for a refusal under load.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ShedReason {
    /// The queue of the pool is full.
    #[error("the queue is full")]
    QueueFull,
    /// The queued requests of the pool take all the memory that they may.
    #[error("queued requests take all the memory that they may")]
    Memory,
    /// The wait is longer than the request may be held.
    #[error("the wait is longer than the request may be held")]
    LongWait,
    /// The request cannot be answered by its deadline.
    #[error("the request cannot be answered by its deadline")]
    Deadline,
    /// No upstream has a slot for this kind of work.
    #[error("no upstream serves this kind of work")]
    NoUpstream,
}

/// Decision on a queued request, by its ticket.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueDecision {
    /// The request runs now, until [`AdmissionController::finish`] or
    /// [`AdmissionController::cancel`].
    Run(u64),
    /// The request is refused.
    Shed(u64, Shed),
}

/// Settings of an [`AdmissionController`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmissionRules {
    /// Most requests that are queued for one pool of upstreams.
    pub max_queue: usize,
    /// Most memory that the queued requests of one pool take, in bytes.
    pub max_bytes: u64,
    /// Bounds of the time after which a refused caller should retry, in milliseconds.
    pub retry_after: (Millis, Millis),
    /// How long requests stay queued for a pool without any slot, in milliseconds.
    pub grace: Millis,
    /// Whether workspaces receive fair shares; otherwise each pool has one queue in order of
    /// arrival.
    pub fair: bool,
    /// Whether requests are refused before their deadline once it is clear that they will miss it.
    pub shed_early: bool,
}

impl Default for AdmissionRules {
    fn default() -> Self {
        Self {
            max_queue: 1_024,
            max_bytes: u64::MAX,
            retry_after: (Millis(1_000), Millis(60_000)),
            grace: Millis(1_000),
            fair: true,
            shed_early: true,
        }
    }
}

/// Admission control of one router.
#[derive(Clone, Debug, Default)]
pub struct AdmissionController {
    rules: AdmissionRules,
    pools: Vec<PoolQueue>,
    /// Position in `pools` of the pool that serves a kind.
    pool_index: Map<Kind, usize>,
    /// Queued and running requests by ticket.
    requests: Map<u64, Request>,
    /// Requests displaced from a full queue since the last poll.
    displaced: Vec<(u64, Shed)>,
}

/// Queue and slots of one pool of upstreams.
#[derive(Clone, Debug, Default)]
struct PoolQueue {
    /// Requests that may run at once.
    slots: u32,
    /// Requests that run.
    running: u32,
    /// Those of them for which no upstream was chosen yet, as far as that is told.
    unplaced: u32,
    queue: FairQueue,
    service_time: ServiceTime,
    /// Headroom of the upstreams; `None` if the slots are set as a number.
    headroom: Option<Headroom>,
    /// Since when the pool has had no slots, if it has none.
    empty_since: Option<Millis>,
    /// When the queue was last swept for requests to refuse.
    last_sweep: Millis,
}

/// A request that is queued or runs.
#[derive(Clone, Debug)]
struct Request {
    flow: FlowSpec,
    kind: Kind,
    queued: QueuedRequest,
    /// When the request began to run; `None` while it is queued.
    started: Option<Millis>,
    /// Whether an upstream was chosen for it, so that the headroom counts it.
    placed: bool,
}

/// Without a forecast, a caller is asked to wait for the time in which it has to begin divided by
/// this.
const UNKNOWN_WAIT_DIVISOR: u64 = 2;

/// Least time between two sweeps of a queue.
const SWEEP_INTERVAL_MILLIS: Millis = Millis(20);

impl AdmissionController {
    /// Creates a controller without pools or requests.
    pub fn new(rules: AdmissionRules) -> Self {
        Self {
            rules,
            ..Self::default()
        }
    }

    /// Decides on a new request.
    pub fn arrive(&mut self, now: Millis, arrival: Arrival) -> ArrivalDecision {
        let Some(&index) = self.pool_index.get(&arrival.kind) else {
            return ArrivalDecision::Shed(no_upstream(self.rules));
        };
        let request = self.request(arrival);
        let pool = &mut self.pools[index];
        if let Some(shed) = pool.refuse(now, &request, self.rules) {
            return ArrivalDecision::Shed(shed);
        }
        if pool.queue.is_empty() && pool.running < pool.slots {
            pool.start();
            pool.queue.charge(&request.flow, request.queued.cost);
            self.insert(Some(now), request);
            return ArrivalDecision::Run;
        }
        while let Some(reason) = self.pools[index].overflow(&request, self.rules) {
            let pool = &mut self.pools[index];
            let shed = pool.shed(now, reason, &request, self.rules);
            match pool.queue.displace(&request.flow, request.queued.cost) {
                None => return ArrivalDecision::Shed(shed),
                Some(other) => self.shed_displaced(other.ticket, shed),
            }
        }
        self.pools[index].queue.push(&request.flow, request.queued);
        self.insert(None, request);
        ArrivalDecision::Wait
    }

    /// Ends a request whose whole answer arrived. The time for which it ran updates the estimates
    /// of the pool.
    pub fn finish(&mut self, now: Millis, ticket: u64) {
        let Some((index, request)) = self.remove(ticket) else {
            return;
        };
        let pool = &mut self.pools[index];
        match request.started {
            None => pool.dequeue(&request),
            Some(started) => {
                pool.stop(&request);
                let cost = Tokens(request.queued.cost);
                pool.service_time.record(cost, now.saturating_sub(started));
            }
        }
    }

    /// Ends a queued or running request whose caller went away or whose attempt failed. The
    /// estimates of the pool stay as they are.
    pub fn cancel(&mut self, _now: Millis, ticket: u64) {
        let Some((index, request)) = self.remove(ticket) else {
            return;
        };
        let pool = &mut self.pools[index];
        match request.started {
            None => pool.dequeue(&request),
            Some(_) => pool.stop(&request),
        }
    }

    /// Sets how many requests of a kind this router may run at once, together with those of other
    /// kinds in the same pool.
    pub fn set_slots(&mut self, now: Millis, kind: &Kind, slots: u32) {
        let index = self.pool_or_new(kind);
        self.pools[index].set_slots(now, slots);
    }

    /// Sets how many more requests of a kind the upstreams take now. With none, queued requests are
    /// refused at once.
    pub fn set_headroom(&mut self, now: Millis, kind: &Kind, headroom: Headroom) {
        let index = self.pool_or_new(kind);
        let pool = &mut self.pools[index];
        pool.headroom = Some(headroom);
        pool.set_slots(now, hold::slots(headroom, pool.running, pool.unplaced));
    }

    /// Records that an upstream was chosen for a running request, so that the next headroom counts
    /// it.
    pub fn place(&mut self, ticket: u64) {
        let Some(request) = self.requests.get_mut(&ticket) else {
            return;
        };
        let is_new = request.started.is_some() && !std::mem::replace(&mut request.placed, true);
        let index = self.pool_index.get(&request.kind);
        if let Some(&index) = index.filter(|_| is_new) {
            let pool = &mut self.pools[index];
            pool.unplaced = pool.unplaced.saturating_sub(1);
        }
    }

    /// Returns the kinds of the queued requests, each once.
    pub fn queued_kinds(&self) -> Vec<Kind> {
        let kinds = self.pool_index.iter();
        let queued = kinds.filter(|(_, index)| !self.pools[**index].queue.is_empty());
        queued.map(|(kind, _)| kind.clone()).collect()
    }

    /// Returns whether requests of this kind are queued.
    pub fn is_queued(&self, kind: &Kind) -> bool {
        let index = self.pool_index.get(kind);
        index.is_some_and(|&index| !self.pools[index].queue.is_empty())
    }

    /// Returns the position of the pool that serves a kind, added if it is new.
    fn pool_or_new(&mut self, kind: &Kind) -> usize {
        if let Some(&index) = self.pool_index.get(kind) {
            return index;
        }
        self.pools.push(PoolQueue::default());
        self.pool_index.insert(kind.clone(), self.pools.len() - 1);
        self.pools.len() - 1
    }

    /// Sets all pools. Kinds that no pool contains have no slots any more.
    pub fn set_pools(&mut self, now: Millis, pools: &[Pool]) {
        if !self.is_grouped(pools) {
            self.regroup(pools);
        }
        let mut slots = vec![0; self.pools.len()];
        for pool in pools {
            let known = pool
                .kinds
                .first()
                .and_then(|kind| self.pool_index.get(kind));
            if let Some(&index) = known {
                slots[index] = pool.slots;
            }
        }
        for (pool, slots) in self.pools.iter_mut().zip(slots) {
            pool.set_slots(now, slots);
        }
    }

    /// Appends the decisions on queued requests to `out`. To be called after each other call and
    /// about every 50 ms.
    pub fn poll(&mut self, now: Millis, out: &mut Vec<QueueDecision>) {
        out.extend(
            self.displaced
                .drain(..)
                .map(|(ticket, shed)| QueueDecision::Shed(ticket, shed)),
        );
        for index in 0..self.pools.len() {
            self.sweep(now, index, out);
            self.start_queued(now, index, out);
        }
    }

    /// Number of queued requests over all pools.
    pub fn waiting(&self) -> usize {
        self.pools.iter().map(|pool| pool.queue.len()).sum()
    }

    /// Number of running requests over all pools.
    pub fn running(&self) -> u32 {
        self.pools.iter().map(|pool| pool.running).sum()
    }

    /// Converts an arrival. Without fair shares, all requests belong to the same flow.
    fn request(&self, arrival: Arrival) -> Request {
        let flow = match self.rules.fair {
            true => FlowSpec {
                priority: arrival.priority,
                workspace: arrival.workspace,
                share: arrival.share,
            },
            false => FlowSpec {
                priority: 0,
                workspace: Workspace::from(""),
                share: 1,
            },
        };
        Request {
            flow,
            kind: arrival.kind,
            queued: QueuedRequest {
                ticket: arrival.ticket,
                cost: arrival.cost.0.max(1),
                deadline: arrival.deadline,
                hold: arrival.hold,
            },
            started: None,
            placed: false,
        }
    }

    fn insert(&mut self, started: Option<Millis>, request: Request) {
        let ticket = request.queued.ticket;
        self.requests.insert(ticket, Request { started, ..request });
    }

    /// Removes a request. Returns it with the position of its pool.
    fn remove(&mut self, ticket: u64) -> Option<(usize, Request)> {
        let request = self.requests.remove(&ticket)?;
        let index = *self.pool_index.get(&request.kind)?;
        Some((index, request))
    }

    fn shed_displaced(&mut self, ticket: u64, shed: Shed) {
        self.requests.remove(&ticket);
        self.displaced.push((ticket, shed));
    }

    /// Refuses the queued requests of a pool that can no longer be answered in time.
    fn sweep(&mut self, now: Millis, index: usize, out: &mut Vec<QueueDecision>) {
        let pool = &mut self.pools[index];
        let is_due = now >= pool.last_sweep + SWEEP_INTERVAL_MILLIS;
        if pool.queue.is_empty() || !(is_due || pool.headroom == Some(Headroom::None)) {
            return;
        }
        pool.last_sweep = now;
        for (ticket, reason) in pool.unservable(now, self.rules) {
            let Some(request) = self.requests.remove(&ticket) else {
                continue;
            };
            let shed = pool.shed(now, reason, &request, self.rules);
            pool.dequeue(&request);
            out.push(QueueDecision::Shed(ticket, shed));
        }
    }

    /// Runs queued requests of a pool while it has free slots.
    fn start_queued(&mut self, now: Millis, index: usize, out: &mut Vec<QueueDecision>) {
        let pool = &mut self.pools[index];
        while pool.running < pool.slots {
            let Some(next) = pool.queue.pop() else {
                return;
            };
            pool.start();
            if let Some(request) = self.requests.get_mut(&next.ticket) {
                request.started = Some(now);
            }
            out.push(QueueDecision::Run(next.ticket));
        }
    }

    /// Whether the kinds of each given pool already form one pool, and no two pools share one.
    fn is_grouped(&self, pools: &[Pool]) -> bool {
        let mut used = vec![false; self.pools.len()];
        for pool in pools {
            let mut own = None;
            for kind in &pool.kinds {
                let Some(&index) = self.pool_index.get(kind) else {
                    return false;
                };
                if *own.get_or_insert(index) != index {
                    return false;
                }
            }
            match own {
                Some(index) if used[index] => return false,
                Some(index) => used[index] = true,
                None => {}
            }
        }
        true
    }

    /// Groups the kinds into new pools. Queued requests keep their order within their workspace.
    fn regroup(&mut self, pools: &[Pool]) {
        let old_pools = std::mem::take(&mut self.pools);
        let old_index = std::mem::take(&mut self.pool_index);
        for pool in pools {
            let known = pool.kinds.iter().find_map(|kind| old_index.get(kind));
            let service_time = known
                .map(|&index| old_pools[index].service_time)
                .unwrap_or_default();
            self.add_pool(pool.kinds.iter().cloned(), service_time);
        }
        for (kind, index) in old_index {
            if !self.pool_index.contains_key(&kind) {
                self.add_pool([kind], old_pools[index].service_time);
            }
        }
        for pool in old_pools {
            self.move_queue(pool);
        }
        for request in self.requests.values().filter(|one| one.started.is_some()) {
            if let Some(&index) = self.pool_index.get(&request.kind) {
                self.pools[index].running += 1;
                self.pools[index].unplaced += u32::from(!request.placed);
            }
        }
    }

    fn add_pool(&mut self, kinds: impl IntoIterator<Item = Kind>, service_time: ServiceTime) {
        let index = self.pools.len();
        self.pool_index
            .extend(kinds.into_iter().map(|kind| (kind, index)));
        self.pools.push(PoolQueue {
            service_time,
            ..PoolQueue::default()
        });
    }

    /// Queues the waiting requests of a former pool in the pools that now serve their kinds.
    fn move_queue(&mut self, mut old: PoolQueue) {
        while let Some(queued) = old.queue.pop() {
            let Some(request) = self.requests.get(&queued.ticket) else {
                continue;
            };
            if let Some(&index) = self.pool_index.get(&request.kind) {
                self.pools[index].queue.push(&request.flow, queued);
            }
        }
    }
}

impl PoolQueue {
    /// Counts a request that begins to run.
    fn start(&mut self) {
        self.running += 1;
        self.unplaced += 1;
    }

    /// Counts the end of a request that ran.
    fn stop(&mut self, request: &Request) {
        self.running = self.running.saturating_sub(1);
        self.unplaced = self.unplaced.saturating_sub(u32::from(!request.placed));
    }

    fn set_slots(&mut self, now: Millis, slots: u32) {
        self.slots = slots;
        self.empty_since = match slots {
            0 => Some(self.empty_since.unwrap_or(now)),
            _ => None,
        };
    }

    /// Returns the refusal of a new request if it is clear that it cannot be answered in time.
    fn refuse(&self, now: Millis, request: &Request, rules: AdmissionRules) -> Option<Shed> {
        if self.is_unserved(now, rules) {
            return Some(no_upstream(rules));
        }
        let is_free = self.queue.is_empty() && self.running < self.slots;
        let work_ahead = match is_free {
            true => 0,
            false => self.queue.work_ahead(&request.flow),
        };
        let queued = &request.queued;
        let reason = match queued.hold {
            // What need not wait is sent in any case.
            Some(_) if is_free => None,
            Some(_) => self.forecast(now).refuse_new(queued, work_ahead),
            None => self.refusal(now, queued, work_ahead, rules),
        };
        let reason = reason?;
        Some(self.shed(now, reason, request, rules))
    }

    /// Returns why a new request does not fit into the queue, if it does not.
    fn overflow(&self, request: &Request, rules: AdmissionRules) -> Option<ShedReason> {
        let bytes = self.queue.bytes().saturating_add(request.queued.bytes());
        match self.queue.len() >= rules.max_queue {
            true => Some(ShedReason::QueueFull),
            false => (bytes > rules.max_bytes).then_some(ShedReason::Memory),
        }
    }

    /// Returns the tickets of the queued requests that cannot be answered in time, with the reason.
    fn unservable(&self, now: Millis, rules: AdmissionRules) -> Vec<(u64, ShedReason)> {
        let unserved = self.is_unserved(now, rules);
        let reason = |position: &QueuePosition| match unserved {
            true => Some(ShedReason::NoUpstream),
            false => self.refusal(now, &position.request, position.work_ahead, rules),
        };
        self.queue
            .positions()
            .filter_map(|position| Some((position.request.ticket, reason(&position)?)))
            .collect()
    }

    /// Returns why a queued request with this work ahead of it is refused, if it is.
    fn refusal(
        &self,
        now: Millis,
        request: &QueuedRequest,
        work_ahead: u64,
        rules: AdmissionRules,
    ) -> Option<ShedReason> {
        match request.hold {
            Some(_) if rules.shed_early => self.forecast(now).refuse_held(request, work_ahead),
            _ => self
                .misses(now, request.deadline, work_ahead, rules)
                .then_some(ShedReason::Deadline),
        }
    }

    /// Whether a request with this work ahead of it misses its deadline even if it is a short one.
    fn misses(
        &self,
        now: Millis,
        deadline: Millis,
        work_ahead: u64,
        rules: AdmissionRules,
    ) -> bool {
        if !rules.shed_early {
            return deadline <= now;
        }
        let start = now + self.service_time.drain_time(work_ahead, self.slots);
        deadline <= start + self.service_time.short_request()
    }

    fn forecast(&self, now: Millis) -> Forecast {
        let (closed, opens_at) = match self.headroom {
            Some(Headroom::Limited {
                closed, opens_at, ..
            }) => (closed, opens_at),
            _ => (0, None),
        };
        Forecast {
            now,
            slots: self.slots,
            is_free: self.running < self.slots,
            opens_at,
            closed,
            service_time: self.service_time,
        }
    }

    /// Whether the pool has had no slots for longer than the grace, or is known to have none.
    fn is_unserved(&self, now: Millis, rules: AdmissionRules) -> bool {
        match self.headroom {
            Some(headroom) => headroom == Headroom::None,
            None => self
                .empty_since
                .is_some_and(|since| now >= since + rules.grace),
        }
    }

    /// Returns a refusal that asks the caller to retry when a request that comes now would start, or
    /// when the present queue is drained. Jitter from the ticket keeps callers from returning
    /// together.
    fn shed(
        &self,
        now: Millis,
        reason: ShedReason,
        request: &Request,
        rules: AdmissionRules,
    ) -> Shed {
        let wait = match request.queued.hold {
            None => self.service_time.drain_time(self.queue.work(), self.slots),
            Some(hold) => match self.forecast(now).start(self.queue.work()) {
                Some(start) => start.saturating_sub(now),
                None => Millis(hold.start_by.saturating_sub(now).0 / UNKNOWN_WAIT_DIVISOR),
            },
        };
        let (least, most) = rules.retry_after;
        let base = wait.clamp(least, most).0;
        let jitter = base * (request.queued.ticket % 16) / 64;
        Shed {
            reason,
            retry_after: Millis(base + jitter),
        }
    }

    fn dequeue(&mut self, request: &Request) {
        self.queue.remove(&request.flow, request.queued.ticket);
    }
}

fn no_upstream(rules: AdmissionRules) -> Shed {
    Shed {
        reason: ShedReason::NoUpstream,
        retry_after: rules.retry_after.0,
    }
}
