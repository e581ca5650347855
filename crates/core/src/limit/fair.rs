//! Two-level weighted fair queue: priority classes, and within a class one flow per workspace.
//!
//! Both levels use start-time fair queueing: each backlogged flow has a start tag in virtual time.
//! The flow with the least tag is served first, and each request it is charged for advances its tag
//! by cost over share. A flow that was idle starts at the current virtual time, so idle time earns
//! it no credit and no debt. A higher class has a larger weight: it is served ahead of a backlog of
//! lower classes, which still receive their share.

use std::collections::VecDeque;

use crate::id::Workspace;
use crate::map::Map;
use crate::unit::Millis;

use super::hold::Hold;

/// A request in the queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueuedRequest {
    /// Number of the request at this router.
    pub ticket: u64,
    /// Worst-case cost in tokens, at least one.
    pub cost: u64,
    /// Time by which the whole answer is due.
    pub deadline: Millis,
    /// How long it may be held, if that is bounded besides its deadline.
    pub hold: Option<Hold>,
}

impl QueuedRequest {
    /// Memory that the request takes while it is queued, in bytes.
    pub fn bytes(&self) -> u64 {
        self.hold.map_or(0, |hold| hold.bytes)
    }
}

/// The flow that a request belongs to, with its share.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FlowSpec {
    /// Priority class; a higher class has a larger weight.
    pub priority: u8,
    /// Workspace whose requests form the flow.
    pub workspace: Workspace,
    /// Share of the flow relative to others of its class; zero counts as one.
    pub share: u32,
}

/// A queued request and the work that is served before it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueuePosition {
    /// The queued request.
    pub request: QueuedRequest,
    /// Tokens that are served before the request if all flows stay backlogged.
    pub work_ahead: u64,
}

/// The fair queue of one pool of upstreams.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    /// Classes in order of priority.
    classes: Vec<Class>,
    /// Virtual time among the classes: the greatest start tag served so far.
    virtual_time: u64,
    /// Number of queued requests.
    count: usize,
    /// Cost of all queued requests, in tokens.
    work: u64,
    /// Memory that all queued requests take, in bytes.
    bytes: u64,
}

/// The flows of one priority.
#[derive(Clone, Debug)]
struct Class {
    priority: u8,
    /// Start tag of the class among all classes.
    start_tag: u64,
    /// Virtual time among the flows of this class.
    virtual_time: u64,
    flows: Map<Workspace, Flow>,
}

/// The requests of one workspace in one class.
#[derive(Clone, Debug, Default)]
struct Flow {
    share: u64,
    /// Start tag of the flow within its class.
    start_tag: u64,
    /// Cost of the queued requests, in tokens.
    work: u64,
    queue: VecDeque<QueuedRequest>,
}

/// Factor of virtual times and relative loads, which keeps fractions in integer divisions.
const VIRTUAL_TIME_SCALE: u64 = 1_000;

/// Number of flows in a class above which idle ones are removed.
const FLOWS_BEFORE_TRIM: usize = 64;

impl FairQueue {
    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Cost of all queued requests, in tokens.
    pub fn work(&self) -> u64 {
        self.work
    }

    /// Memory that all queued requests take, in bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Appends a request to its flow.
    pub fn push(&mut self, spec: &FlowSpec, request: QueuedRequest) {
        let now = self.virtual_time;
        let class = self.class_mut(spec.priority);
        if class.is_idle() {
            class.start_tag = class.start_tag.max(now);
        }
        let now = class.virtual_time;
        let flow = class.flow_mut(spec);
        if flow.queue.is_empty() {
            flow.start_tag = flow.start_tag.max(now);
        }
        flow.work += request.cost;
        flow.queue.push_back(request);
        self.count += 1;
        self.work += request.cost;
        self.bytes += request.bytes();
    }

    /// Removes the next request in fair order and charges its flow and class.
    pub fn pop(&mut self) -> Option<QueuedRequest> {
        let class = self
            .classes
            .iter_mut()
            .filter(|class| !class.is_idle())
            .min_by_key(|class| (class.start_tag, u8::MAX - class.priority))?;
        let (_, flow) = class
            .flows
            .iter_mut()
            .filter(|(_, flow)| !flow.queue.is_empty())
            .min_by_key(|(workspace, flow)| (flow.start_tag, (*workspace).clone()))?;
        let request = flow.queue.pop_front()?;
        flow.work = flow.work.saturating_sub(request.cost);
        class.virtual_time = class.virtual_time.max(flow.start_tag);
        flow.charge(request.cost);
        self.virtual_time = self.virtual_time.max(class.start_tag);
        class.charge(request.cost);
        class.trim();
        self.count -= 1;
        self.work = self.work.saturating_sub(request.cost);
        self.bytes = self.bytes.saturating_sub(request.bytes());
        Some(request)
    }

    /// Charges the flow and class of a request that runs without being queued.
    pub fn charge(&mut self, spec: &FlowSpec, cost: u64) {
        let now = self.virtual_time;
        let class = self.class_mut(spec.priority);
        class.start_tag = class.start_tag.max(now);
        let class_tag = class.start_tag;
        class.charge(cost);
        let now = class.virtual_time;
        let flow = class.flow_mut(spec);
        flow.start_tag = flow.start_tag.max(now);
        let flow_tag = flow.start_tag;
        flow.charge(cost);
        class.virtual_time = class.virtual_time.max(flow_tag);
        class.trim();
        self.virtual_time = self.virtual_time.max(class_tag);
    }

    /// Removes a request without charging its flow. Returns whether it was queued.
    pub fn remove(&mut self, spec: &FlowSpec, ticket: u64) -> bool {
        let class = self.class_mut(spec.priority);
        let Some(flow) = class.flows.get_mut(&spec.workspace) else {
            return false;
        };
        let Some(index) = flow.queue.iter().position(|one| one.ticket == ticket) else {
            return false;
        };
        let Some(request) = flow.queue.remove(index) else {
            return false;
        };
        flow.work = flow.work.saturating_sub(request.cost);
        self.count -= 1;
        self.work = self.work.saturating_sub(request.cost);
        self.bytes = self.bytes.saturating_sub(request.bytes());
        true
    }

    /// Removes the newest request of the flow with the most work relative to its share. Returns
    /// `None` if an arrival of `cost` would bring its own flow to at least as much.
    pub fn displace(&mut self, spec: &FlowSpec, cost: u64) -> Option<QueuedRequest> {
        let own = self.backlog(spec) + cost;
        let own =
            own * VIRTUAL_TIME_SCALE / (class_weight(spec.priority) * u64::from(spec.share.max(1)));
        let (load, priority, workspace) = self.most_loaded()?;
        if load <= own {
            return None;
        }
        let class = self.class_mut(priority);
        let flow = class.flows.get_mut(&workspace)?;
        let request = flow.queue.pop_back()?;
        flow.work = flow.work.saturating_sub(request.cost);
        self.count -= 1;
        self.work = self.work.saturating_sub(request.cost);
        self.bytes = self.bytes.saturating_sub(request.bytes());
        Some(request)
    }

    /// Returns the tokens that would be served before a request appended now.
    pub fn work_ahead(&self, spec: &FlowSpec) -> u64 {
        let own = self.backlog(spec);
        let share = u64::from(spec.share.max(1));
        let shares = self.backlogged_shares(spec.priority) + self.idle_share(spec, share);
        let weights = self.backlogged_weights(spec.priority);
        scale(own, shares * weights, share * class_weight(spec.priority)).min(self.work)
    }

    /// Returns all queued requests, each with the work that is served before it.
    pub fn positions(&self) -> impl Iterator<Item = QueuePosition> {
        self.classes.iter().flat_map(move |class| {
            let shares = self.backlogged_shares(class.priority);
            let weights = self.backlogged_weights(class.priority);
            class.flows.values().flat_map(move |flow| {
                let weight = flow.share * class_weight(class.priority);
                let mut own = 0;
                flow.queue.iter().map(move |&request| {
                    let work_ahead = scale(own, shares * weights, weight).min(self.work);
                    own += request.cost;
                    QueuePosition {
                        request,
                        work_ahead,
                    }
                })
            })
        })
    }

    /// Finds the flow with the most work relative to its weight. Among equals it prefers the lower
    /// class.
    fn most_loaded(&self) -> Option<(u64, u8, Workspace)> {
        self.classes
            .iter()
            .flat_map(|class| {
                class.flows.iter().map(move |(workspace, flow)| {
                    let weight = class_weight(class.priority) * flow.share;
                    (
                        flow.work * VIRTUAL_TIME_SCALE / weight.max(1),
                        class.priority,
                        workspace,
                    )
                })
            })
            .max_by_key(|(load, priority, workspace)| {
                (*load, u8::MAX - *priority, (*workspace).clone())
            })
            .map(|(load, priority, workspace)| (load, priority, workspace.clone()))
    }

    /// Cost of the queued requests of a flow, in tokens.
    fn backlog(&self, spec: &FlowSpec) -> u64 {
        self.flow(spec).map_or(0, |flow| flow.work)
    }

    /// Returns `share` if the flow is not backlogged, so that [`Self::backlogged_shares`] leaves it
    /// out, and zero otherwise.
    fn idle_share(&self, spec: &FlowSpec, share: u64) -> u64 {
        match self.flow(spec) {
            Some(flow) if !flow.queue.is_empty() => 0,
            _ => share,
        }
    }

    fn flow(&self, spec: &FlowSpec) -> Option<&Flow> {
        self.classes
            .iter()
            .find(|class| class.priority == spec.priority)
            .and_then(|class| class.flows.get(&spec.workspace))
    }

    /// Sum of the shares of the backlogged flows in a class.
    fn backlogged_shares(&self, priority: u8) -> u64 {
        self.classes
            .iter()
            .filter(|class| class.priority == priority)
            .flat_map(|class| class.flows.values())
            .filter(|flow| !flow.queue.is_empty())
            .map(|flow| flow.share)
            .sum()
    }

    /// Sum of the weights of the backlogged classes and of the given class.
    fn backlogged_weights(&self, priority: u8) -> u64 {
        let others: u64 = self
            .classes
            .iter()
            .filter(|class| class.priority != priority && !class.is_idle())
            .map(|class| class_weight(class.priority))
            .sum();
        others + class_weight(priority)
    }

    /// Returns the class of a priority, added if it is new.
    fn class_mut(&mut self, priority: u8) -> &mut Class {
        let found = self
            .classes
            .binary_search_by_key(&priority, |class| class.priority);
        let index = found.unwrap_or_else(|index| {
            self.classes
                .insert(index, Class::new(priority, self.virtual_time));
            index
        });
        &mut self.classes[index]
    }
}

impl Class {
    fn new(priority: u8, start_tag: u64) -> Self {
        Self {
            priority,
            start_tag,
            virtual_time: 0,
            flows: Map::default(),
        }
    }

    fn is_idle(&self) -> bool {
        self.flows.values().all(|flow| flow.queue.is_empty())
    }

    /// Returns the flow of a workspace, added if it is new, with its share updated.
    fn flow_mut(&mut self, spec: &FlowSpec) -> &mut Flow {
        let flow = self.flows.entry(spec.workspace.clone()).or_default();
        flow.share = u64::from(spec.share.max(1));
        flow
    }

    /// Advances the start tag by cost over weight.
    fn charge(&mut self, cost: u64) {
        let step = cost.saturating_mul(VIRTUAL_TIME_SCALE) / class_weight(self.priority);
        self.start_tag = self.start_tag.saturating_add(step);
    }

    /// Removes idle flows whose start tag is not ahead of virtual time, once there are many flows.
    fn trim(&mut self) {
        if self.flows.len() <= FLOWS_BEFORE_TRIM {
            return;
        }
        let now = self.virtual_time;
        self.flows
            .retain(|_, flow| !flow.queue.is_empty() || flow.start_tag > now);
    }
}

impl Flow {
    /// Advances the start tag by cost over share.
    fn charge(&mut self, cost: u64) {
        let step = cost.saturating_mul(VIRTUAL_TIME_SCALE) / self.share.max(1);
        self.start_tag = self.start_tag.saturating_add(step);
    }
}

/// Weight of a class among all classes.
fn class_weight(priority: u8) -> u64 {
    u64::from(priority) + 1
}

/// Returns `work * numerator / denominator`, saturating.
fn scale(work: u64, numerator: u64, denominator: u64) -> u64 {
    work.saturating_mul(numerator) / denominator.max(1)
}
