//! Admission: which waiting request runs next, and which is refused.
//!
//! A refusal is given as soon as it is clear, and it is final. A request that can't be whole by its
//! deadline is refused on arrival or when that becomes clear, not when the deadline comes.

use crate::id::Workspace;
use crate::map::Map;
use crate::unit::Millis;
use crate::unit::Tokens;
use crate::upstream::Kind;
use crate::upstream::Pool;

use super::fair::FairQueue;
use super::fair::Place;
use super::fair::Waiting;
use super::pace::Pace;

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
    /// No upstream takes such work.
    #[error("no upstream takes such work")]
    Closed,
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
    /// Most requests that wait for one pool of upstreams.
    pub queue: usize,
    /// How long requests wait for a pool that has no slot at all, in milliseconds.
    pub grace: Millis,
    /// Whether workspaces have shares; without them all stand in one line.
    pub fair: bool,
    /// Whether requests are refused before their deadline when it is clear that they miss it.
    pub foresight: bool,
}

impl Default for GateRules {
    fn default() -> Self {
        Self {
            queue: 1_024,
            grace: Millis(1_000),
            fair: true,
            foresight: true,
        }
    }
}

/// Admission of one router.
#[derive(Clone, Debug, Default)]
pub struct Gate {
    rules: GateRules,
    pools: Vec<Line>,
    index: Map<Kind, usize>,
    tickets: Map<u64, Ticket>,
    shed: Vec<(u64, Shed)>,
}

/// Queue and slots of one pool.
#[derive(Clone, Debug, Default)]
struct Line {
    slots: u32,
    running: u32,
    queue: FairQueue,
    pace: Pace,
    empty: Option<Millis>,
    swept: Millis,
}

#[derive(Clone, Debug)]
struct Ticket {
    place: Place,
    kind: Kind,
    waiting: Waiting,
    begun: Option<Millis>,
}

const LEAST_RETRY_MILLIS: u64 = 1_000;
const MOST_RETRY_MILLIS: u64 = 60_000;
const SWEEP_MILLIS: Millis = Millis(20);

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
        let Some(&index) = self.index.get(&arrival.kind) else {
            return Verdict::Shed(closed());
        };
        let ticket = self.ticket(arrival);
        let line = &mut self.pools[index];
        if let Some(shed) = line.refuse(now, &ticket, self.rules) {
            return Verdict::Shed(shed);
        }
        if line.queue.is_empty() && line.running < line.slots {
            line.running += 1;
            line.queue.charge(&ticket.place, ticket.waiting.cost);
            self.admit(Some(now), ticket);
            return Verdict::Run;
        }
        if line.queue.len() >= self.rules.queue {
            let shed = line.shed(ShedReason::Full, ticket.waiting.ticket);
            match line.queue.displace(&ticket.place, ticket.waiting.cost) {
                None => return Verdict::Shed(shed),
                Some(other) => self.drop_waiting(other.ticket, shed),
            }
        }
        self.pools[index].queue.push(&ticket.place, ticket.waiting);
        self.admit(None, ticket);
        Verdict::Wait
    }

    /// A running request ended by itself.
    pub fn finish(&mut self, now: Millis, ticket: u64) {
        let Some((index, ticket)) = self.remove(ticket) else {
            return;
        };
        let line = &mut self.pools[index];
        match ticket.begun {
            None => line.drop_ticket(&ticket),
            Some(begun) => {
                line.running = line.running.saturating_sub(1);
                let cost = Tokens(ticket.waiting.cost);
                line.pace.finished(cost, now.saturating_sub(begun));
            }
        }
    }

    /// The caller of a waiting or running request went away, or its attempt failed.
    pub fn cancel(&mut self, _now: Millis, ticket: u64) {
        let Some((index, ticket)) = self.remove(ticket) else {
            return;
        };
        let line = &mut self.pools[index];
        match ticket.begun {
            None => line.drop_ticket(&ticket),
            Some(_) => line.running = line.running.saturating_sub(1),
        }
    }

    /// Sets how many requests of a kind, and of those that share its upstreams, this router may run
    /// at once.
    pub fn capacity(&mut self, now: Millis, kind: &Kind, slots: u32) {
        let index = match self.index.get(kind) {
            Some(&index) => index,
            None => {
                self.pools.push(Line::default());
                self.index.insert(kind.clone(), self.pools.len() - 1);
                self.pools.len() - 1
            }
        };
        self.pools[index].resize(now, slots);
    }

    /// Sets all pools. Kinds that none of them names have no slots any more.
    pub fn arrange(&mut self, now: Millis, pools: &[Pool]) {
        if !self.arranged(pools) {
            self.rearrange(pools);
        }
        let mut slots = vec![0; self.pools.len()];
        for pool in pools {
            let known = pool.kinds.first().and_then(|kind| self.index.get(kind));
            if let Some(&index) = known {
                slots[index] = pool.slots;
            }
        }
        for (line, slots) in self.pools.iter_mut().zip(slots) {
            line.resize(now, slots);
        }
    }

    /// Appends what became of waiting requests. Due after each other call and about every 50 ms.
    pub fn poll(&mut self, now: Millis, out: &mut Vec<Release>) {
        out.extend(
            self.shed
                .drain(..)
                .map(|(ticket, shed)| Release::Shed(ticket, shed)),
        );
        for index in 0..self.pools.len() {
            self.sweep(now, index, out);
            self.release(now, index, out);
        }
    }

    /// Requests that wait, over all pools.
    pub fn waiting(&self) -> usize {
        self.pools.iter().map(|line| line.queue.len()).sum()
    }

    /// Requests that run, over all pools.
    pub fn running(&self) -> u32 {
        self.pools.iter().map(|line| line.running).sum()
    }

    fn ticket(&self, arrival: Arrival) -> Ticket {
        let place = match self.rules.fair {
            true => Place {
                priority: arrival.priority,
                workspace: arrival.workspace,
                share: arrival.share,
            },
            false => Place {
                priority: 0,
                workspace: Workspace::from(""),
                share: 1,
            },
        };
        Ticket {
            place,
            kind: arrival.kind,
            waiting: Waiting {
                ticket: arrival.ticket,
                cost: arrival.cost.0.max(1),
                deadline: arrival.deadline,
            },
            begun: None,
        }
    }

    fn admit(&mut self, begun: Option<Millis>, ticket: Ticket) {
        let number = ticket.waiting.ticket;
        self.tickets.insert(number, Ticket { begun, ..ticket });
    }

    fn remove(&mut self, ticket: u64) -> Option<(usize, Ticket)> {
        let ticket = self.tickets.remove(&ticket)?;
        let index = *self.index.get(&ticket.kind)?;
        Some((index, ticket))
    }

    fn drop_waiting(&mut self, ticket: u64, shed: Shed) {
        self.tickets.remove(&ticket);
        self.shed.push((ticket, shed));
    }

    /// Refuses what waits in vain.
    fn sweep(&mut self, now: Millis, index: usize, out: &mut Vec<Release>) {
        let line = &mut self.pools[index];
        if line.queue.is_empty() || now < line.swept + SWEEP_MILLIS {
            return;
        }
        line.swept = now;
        for (ticket, reason) in line.hopeless(now, self.rules) {
            let Some(gone) = self.tickets.remove(&ticket) else {
                continue;
            };
            let shed = line.shed(reason, ticket);
            line.drop_ticket(&gone);
            out.push(Release::Shed(ticket, shed));
        }
    }

    fn release(&mut self, now: Millis, index: usize, out: &mut Vec<Release>) {
        let line = &mut self.pools[index];
        while line.running < line.slots {
            let Some(next) = line.queue.pop() else {
                return;
            };
            line.running += 1;
            if let Some(ticket) = self.tickets.get_mut(&next.ticket) {
                ticket.begun = Some(now);
            }
            out.push(Release::Run(next.ticket));
        }
    }

    /// Whether the pools group the kinds as before.
    fn arranged(&self, pools: &[Pool]) -> bool {
        let mut used = vec![false; self.pools.len()];
        for pool in pools {
            let mut own = None;
            for kind in &pool.kinds {
                let Some(&index) = self.index.get(kind) else {
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

    /// Groups the kinds anew; waiting requests keep their order within their workspace.
    fn rearrange(&mut self, pools: &[Pool]) {
        let old = std::mem::take(&mut self.pools);
        let index = std::mem::take(&mut self.index);
        for pool in pools {
            let kept = pool.kinds.iter().find_map(|kind| index.get(kind));
            let pace = kept.map(|&at| old[at].pace).unwrap_or_default();
            self.add_line(pool.kinds.iter().cloned(), pace);
        }
        for (kind, at) in index {
            if !self.index.contains_key(&kind) {
                self.add_line([kind], old[at].pace);
            }
        }
        for line in old {
            self.move_line(line);
        }
        for ticket in self.tickets.values().filter(|one| one.begun.is_some()) {
            if let Some(&at) = self.index.get(&ticket.kind) {
                self.pools[at].running += 1;
            }
        }
    }

    fn add_line(&mut self, kinds: impl IntoIterator<Item = Kind>, pace: Pace) {
        let at = self.pools.len();
        self.index.extend(kinds.into_iter().map(|kind| (kind, at)));
        self.pools.push(Line {
            pace,
            ..Line::default()
        });
    }

    fn move_line(&mut self, mut line: Line) {
        while let Some(waiting) = line.queue.pop() {
            let Some(ticket) = self.tickets.get(&waiting.ticket) else {
                continue;
            };
            if let Some(&at) = self.index.get(&ticket.kind) {
                self.pools[at].queue.push(&ticket.place, waiting);
            }
        }
    }
}

impl Line {
    fn resize(&mut self, now: Millis, slots: u32) {
        self.slots = slots;
        self.empty = match slots {
            0 => Some(self.empty.unwrap_or(now)),
            _ => None,
        };
    }

    /// Why a new request can't be served, if that is clear.
    fn refuse(&self, now: Millis, ticket: &Ticket, rules: GateRules) -> Option<Shed> {
        if self.closed(now, rules) {
            return Some(closed());
        }
        let free = self.queue.is_empty() && self.running < self.slots;
        let work = match free {
            true => 0,
            false => self.queue.ahead(&ticket.place),
        };
        self.misses(now, ticket.waiting.deadline, work, rules)
            .then(|| self.shed(ShedReason::Deadline, ticket.waiting.ticket))
    }

    fn hopeless(&self, now: Millis, rules: GateRules) -> Vec<(u64, ShedReason)> {
        let closed = self.closed(now, rules);
        self.queue
            .each()
            .filter_map(|ahead| {
                let waiting = ahead.waiting;
                let late = self.misses(now, waiting.deadline, ahead.work, rules);
                match (closed, late) {
                    (true, _) => Some((waiting.ticket, ShedReason::Closed)),
                    (false, true) => Some((waiting.ticket, ShedReason::Deadline)),
                    (false, false) => None,
                }
            })
            .collect()
    }

    /// Whether a request with this work ahead of it misses its deadline even if it is a quick one.
    fn misses(&self, now: Millis, deadline: Millis, work: u64, rules: GateRules) -> bool {
        if !rules.foresight {
            return deadline <= now;
        }
        let start = now + self.pace.time(work, self.slots);
        deadline <= start + self.pace.quick()
    }

    fn closed(&self, now: Millis, rules: GateRules) -> bool {
        self.empty.is_some_and(|since| now >= since + rules.grace)
    }

    /// A refusal that sends the caller back when the present queue is worked off, spread a little
    /// so that callers do not return together.
    fn shed(&self, reason: ShedReason, ticket: u64) -> Shed {
        let drain = self.pace.time(self.queue.work(), self.slots).0;
        let base = drain.clamp(LEAST_RETRY_MILLIS, MOST_RETRY_MILLIS);
        let spread = base / 4 * (ticket % 16) / 16;
        Shed {
            reason,
            after: Millis(base + spread),
        }
    }

    fn drop_ticket(&mut self, ticket: &Ticket) {
        self.queue.remove(&ticket.place, ticket.waiting.ticket);
    }
}

fn closed() -> Shed {
    Shed {
        reason: ShedReason::Closed,
        after: Millis(LEAST_RETRY_MILLIS),
    }
}
