//! Two-level fair queue: classes by priority, and within a class the workspaces.
//!
//! Both levels use start-time fair queueing: each backlogged flow has a virtual start time, the
//! least goes first, and what it is charged moves it back by cost over share. A flow that was idle
//! starts at the present virtual time, so it neither saves up nor owes. A higher class has a larger
//! share and goes ahead of a backlog of lower ones, which still get theirs.

use std::collections::VecDeque;

use crate::id::Workspace;
use crate::map::Map;
use crate::unit::Millis;

/// A waiting request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Waiting {
    /// Number of the request.
    pub ticket: u64,
    /// Its worst case in tokens, at least one.
    pub cost: u64,
    /// When its answer has to be whole.
    pub deadline: Millis,
}

/// Where a request waits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Place {
    /// Class.
    pub priority: u8,
    /// Flow.
    pub workspace: Workspace,
    /// Share of the flow.
    pub share: u32,
}

/// What lies ahead of a request, in tokens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ahead {
    /// The request.
    pub waiting: Waiting,
    /// Tokens that run before it if all flows stay backlogged.
    pub work: u64,
}

/// The queue of one pool.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    classes: Vec<Class>,
    time: u64,
    count: usize,
    work: u64,
}

#[derive(Clone, Debug)]
struct Class {
    priority: u8,
    start: u64,
    time: u64,
    flows: Map<Workspace, Flow>,
}

#[derive(Clone, Debug, Default)]
struct Flow {
    share: u64,
    start: u64,
    work: u64,
    queue: VecDeque<Waiting>,
}

const SCALE: u64 = 1_000;
const IDLE_FLOWS: usize = 64;

impl FairQueue {
    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Tokens of all waiting requests.
    pub fn work(&self) -> u64 {
        self.work
    }

    /// Appends a request to its flow.
    pub fn push(&mut self, place: &Place, waiting: Waiting) {
        let time = self.time;
        let class = self.class(place.priority);
        if class.idle() {
            class.start = class.start.max(time);
        }
        let time = class.time;
        let flow = class.flow(place);
        if flow.queue.is_empty() {
            flow.start = flow.start.max(time);
        }
        flow.work += waiting.cost;
        flow.queue.push_back(waiting);
        self.count += 1;
        self.work += waiting.cost;
    }

    /// Takes the next request and charges its flow.
    pub fn pop(&mut self) -> Option<Waiting> {
        let class = self
            .classes
            .iter_mut()
            .filter(|class| !class.idle())
            .min_by_key(|class| (class.start, u8::MAX - class.priority))?;
        let (_, flow) = class
            .flows
            .iter_mut()
            .filter(|(_, flow)| !flow.queue.is_empty())
            .min_by_key(|(workspace, flow)| (flow.start, (*workspace).clone()))?;
        let waiting = flow.queue.pop_front()?;
        flow.work = flow.work.saturating_sub(waiting.cost);
        class.time = class.time.max(flow.start);
        flow.charge(waiting.cost);
        self.time = self.time.max(class.start);
        class.charge(waiting.cost);
        class.trim();
        self.count -= 1;
        self.work = self.work.saturating_sub(waiting.cost);
        Some(waiting)
    }

    /// Charges a request that runs without waiting.
    pub fn charge(&mut self, place: &Place, cost: u64) {
        let time = self.time;
        let class = self.class(place.priority);
        class.start = class.start.max(time);
        let start = class.start;
        class.charge(cost);
        let now = class.time;
        let flow = class.flow(place);
        flow.start = flow.start.max(now);
        let begun = flow.start;
        flow.charge(cost);
        class.time = class.time.max(begun);
        class.trim();
        self.time = self.time.max(start);
    }

    /// Removes a request. Returns whether it waited.
    pub fn remove(&mut self, place: &Place, ticket: u64) -> bool {
        let class = self.class(place.priority);
        let Some(flow) = class.flows.get_mut(&place.workspace) else {
            return false;
        };
        let Some(index) = flow.queue.iter().position(|one| one.ticket == ticket) else {
            return false;
        };
        let Some(waiting) = flow.queue.remove(index) else {
            return false;
        };
        flow.work = flow.work.saturating_sub(waiting.cost);
        self.count -= 1;
        self.work = self.work.saturating_sub(waiting.cost);
        true
    }

    /// Takes the newest request of the flow with most work for its share, if that is more than an
    /// arrival of `cost` would bring its own flow to.
    pub fn displace(&mut self, place: &Place, cost: u64) -> Option<Waiting> {
        let own = self.backlog(place) + cost;
        let own = own * SCALE / (weight(place.priority) * u64::from(place.share.max(1)));
        let (load, priority, workspace) = self.longest()?;
        if load <= own {
            return None;
        }
        let class = self.class(priority);
        let flow = class.flows.get_mut(&workspace)?;
        let waiting = flow.queue.pop_back()?;
        flow.work = flow.work.saturating_sub(waiting.cost);
        self.count -= 1;
        self.work = self.work.saturating_sub(waiting.cost);
        Some(waiting)
    }

    /// What lies ahead of a request that would be appended now.
    pub fn ahead(&self, place: &Place) -> u64 {
        let own = self.backlog(place);
        let share = u64::from(place.share.max(1));
        let shares = self.shares(place.priority) + self.absent(place, share);
        let weights = self.weights(place.priority);
        scale(own, shares * weights, share * weight(place.priority)).min(self.work)
    }

    /// All waiting requests with what lies ahead of each.
    pub fn each(&self) -> impl Iterator<Item = Ahead> {
        self.classes.iter().flat_map(move |class| {
            let shares = self.shares(class.priority);
            let weights = self.weights(class.priority);
            class.flows.values().flat_map(move |flow| {
                let part = flow.share * weight(class.priority);
                let mut own = 0;
                flow.queue.iter().map(move |&waiting| {
                    let work = scale(own, shares * weights, part).min(self.work);
                    own += waiting.cost;
                    Ahead { waiting, work }
                })
            })
        })
    }

    fn longest(&self) -> Option<(u64, u8, Workspace)> {
        self.classes
            .iter()
            .flat_map(|class| {
                class.flows.iter().map(move |(workspace, flow)| {
                    let part = weight(class.priority) * flow.share;
                    (flow.work * SCALE / part.max(1), class.priority, workspace)
                })
            })
            .max_by_key(|(load, priority, workspace)| {
                (*load, u8::MAX - *priority, (*workspace).clone())
            })
            .map(|(load, priority, workspace)| (load, priority, workspace.clone()))
    }

    fn backlog(&self, place: &Place) -> u64 {
        self.find(place).map_or(0, |flow| flow.work)
    }

    /// The share of a flow that is not backlogged yet.
    fn absent(&self, place: &Place, share: u64) -> u64 {
        match self.find(place) {
            Some(flow) if !flow.queue.is_empty() => 0,
            _ => share,
        }
    }

    fn find(&self, place: &Place) -> Option<&Flow> {
        self.classes
            .iter()
            .find(|class| class.priority == place.priority)
            .and_then(|class| class.flows.get(&place.workspace))
    }

    fn shares(&self, priority: u8) -> u64 {
        self.classes
            .iter()
            .filter(|class| class.priority == priority)
            .flat_map(|class| class.flows.values())
            .filter(|flow| !flow.queue.is_empty())
            .map(|flow| flow.share)
            .sum()
    }

    /// Weights of the backlogged classes and of this one.
    fn weights(&self, priority: u8) -> u64 {
        let others: u64 = self
            .classes
            .iter()
            .filter(|class| class.priority != priority && !class.idle())
            .map(|class| weight(class.priority))
            .sum();
        others + weight(priority)
    }

    fn class(&mut self, priority: u8) -> &mut Class {
        let found = self
            .classes
            .binary_search_by_key(&priority, |class| class.priority);
        let index = found.unwrap_or_else(|index| {
            self.classes.insert(index, Class::new(priority, self.time));
            index
        });
        &mut self.classes[index]
    }
}

impl Class {
    fn new(priority: u8, start: u64) -> Self {
        Self {
            priority,
            start,
            time: 0,
            flows: Map::default(),
        }
    }

    fn idle(&self) -> bool {
        self.flows.values().all(|flow| flow.queue.is_empty())
    }

    fn flow(&mut self, place: &Place) -> &mut Flow {
        let flow = self.flows.entry(place.workspace.clone()).or_default();
        flow.share = u64::from(place.share.max(1));
        flow
    }

    fn charge(&mut self, cost: u64) {
        let step = cost.saturating_mul(SCALE) / weight(self.priority);
        self.start = self.start.saturating_add(step);
    }

    /// Forgets idle flows that owe nothing, once there are many.
    fn trim(&mut self) {
        if self.flows.len() <= IDLE_FLOWS {
            return;
        }
        let time = self.time;
        self.flows
            .retain(|_, flow| !flow.queue.is_empty() || flow.start > time);
    }
}

impl Flow {
    fn charge(&mut self, cost: u64) {
        let step = cost.saturating_mul(SCALE) / self.share.max(1);
        self.start = self.start.saturating_add(step);
    }
}

/// Share of a class.
fn weight(priority: u8) -> u64 {
    u64::from(priority) + 1
}

fn scale(work: u64, by: u64, part: u64) -> u64 {
    work.saturating_mul(by) / part.max(1)
}
