//! Admission control of this router: decides which waiting request runs next.
//!
//! Every request calls the [`limit::AdmissionController`] twice, so a briefly held mutex guards it
//! instead of an actor. The actor only refreshes the pools and sheds requests that waited too long.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use chestnutnotch_core::id::Workspace;
use chestnutnotch_core::limit;
use chestnutnotch_core::limit::AdmissionRules;
use chestnutnotch_core::limit::Arrival;
use chestnutnotch_core::limit::ArrivalDecision;
use chestnutnotch_core::limit::Hold;
use chestnutnotch_core::limit::QueueDecision;
use chestnutnotch_core::limit::Shed;
use chestnutnotch_core::limit::ShedReason;
use chestnutnotch_core::map::Map;
use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::unit::Tokens;
use chestnutnotch_core::upstream::Kind;
use ractor::Actor;
use ractor::ActorProcessingErr;
use ractor::ActorRef;
use ractor::SpawnErr;
use tokio::sync::oneshot;

use crate::controllers::ticks;
use crate::controllers::upstreams::Upstreams;
use crate::metrics::Metrics;
use crate::timer::Timer;

/// Time between two refreshes of the pools.
const REFRESH_PERIOD: Duration = Duration::from_millis(50);

/// Time between two looks at the headroom of upstreams, while requests wait.
const HEADROOM_PERIOD: Duration = Duration::from_millis(25);

/// Bounds of the time after which a refused caller should retry, with [`Capacity::Headroom`].
const HELD_RETRY_AFTER: (Millis, Millis) = (Millis(25), Millis(2_000));

/// A request to be admitted.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Workspace that sent the request.
    pub workspace: Workspace,
    /// Share of that workspace in the upstreams, relative to other workspaces.
    pub share: u32,
    /// Priority; requests with a higher one run first.
    pub priority: u8,
    /// What an upstream has to offer to serve it.
    pub kind: Kind,
    /// Largest number of tokens that it can use.
    pub cost: Tokens,
    /// When its answer has to be complete, by the timer's clock.
    pub deadline: Millis,
    /// How long it may be held, if that is bounded besides its deadline.
    pub hold: Option<Hold>,
}

/// A handle on admission control. Cheap to clone.
#[derive(Clone, Debug)]
pub struct Admission {
    inner: Arc<Mutex<Inner>>,
    upstreams: Upstreams,
    timer: Timer,
    metrics: Arc<Metrics>,
    capacity: Capacity,
}

/// What tells how many requests run at once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Capacity {
    /// The slots of pools of upstreams, of which this router has a share.
    Pools,
    /// The headroom that upstreams left when they refused.
    Headroom,
}

/// State behind the mutex.
#[derive(Debug)]
struct Inner {
    controller: limit::AdmissionController,
    /// Waiting requests by ticket.
    waiting: Map<u64, oneshot::Sender<Result<(), Shed>>>,
    /// Ticket of the newest request.
    last_ticket: u64,
}

/// Permission to run one request. Dropping it makes room for the next request.
#[derive(Debug)]
pub struct AdmissionPermit {
    admission: Admission,
    ticket: u64,
    /// Whether the request ended with a complete answer.
    completed: bool,
    /// Whether the request had to wait.
    pub waited: bool,
}

impl AdmissionPermit {
    /// Records that an upstream was chosen for the request.
    pub fn place(&self) {
        self.admission.inner().controller.place(self.ticket);
    }

    /// Ends a request that got a complete answer. Its duration counts in the estimate of how fast
    /// the upstreams are; that of a permit that is merely dropped does not.
    pub fn finish(mut self) {
        self.completed = true;
    }
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        let now = self.admission.timer.now();
        let mut inner = self.admission.inner();
        if self.completed {
            inner.controller.finish(now, self.ticket);
        } else {
            inner.controller.cancel(now, self.ticket);
        }
        inner.waiting.remove(&self.ticket);
        let is_queued = inner.controller.waiting() > 0;
        inner.deliver_decisions(now);
        drop(inner);
        if is_queued && self.admission.capacity == Capacity::Headroom {
            self.admission.refresh();
        }
    }
}

impl Admission {
    /// Starts the actor.
    ///
    /// # Errors
    ///
    /// If the actor does not start.
    pub async fn start(
        upstreams: Upstreams,
        timer: Timer,
        metrics: Arc<Metrics>,
    ) -> Result<Self, SpawnErr> {
        let rules = AdmissionRules::default();
        let admission = Self::new(rules, Capacity::Pools, upstreams, timer, metrics);
        let (actor, _) = Actor::spawn(None, AdmissionActor, admission.clone()).await?;
        ticks::forward(&admission.timer, REFRESH_PERIOD, actor, || Tick);
        Ok(admission)
    }

    /// Starts admission control by the headroom of upstreams, for requests of which each pool may
    /// hold `max_bytes` in memory.
    pub fn by_headroom(
        upstreams: Upstreams,
        max_bytes: usize,
        timer: Timer,
        metrics: Arc<Metrics>,
    ) -> Self {
        let rules = AdmissionRules {
            max_bytes: max_bytes as u64,
            retry_after: HELD_RETRY_AFTER,
            ..AdmissionRules::default()
        };
        let admission = Self::new(rules, Capacity::Headroom, upstreams, timer, metrics);
        let mut ticks = admission.timer.every(HEADROOM_PERIOD);
        let refreshed = admission.clone();
        tokio::spawn(async move {
            while ticks.recv().await.is_some() {
                refreshed.refresh();
            }
        });
        admission
    }

    fn new(
        rules: AdmissionRules,
        capacity: Capacity,
        upstreams: Upstreams,
        timer: Timer,
        metrics: Arc<Metrics>,
    ) -> Self {
        let inner = Inner {
            controller: limit::AdmissionController::new(rules),
            waiting: Map::default(),
            last_ticket: 0,
        };
        Self {
            inner: Arc::new(Mutex::new(inner)),
            upstreams,
            timer,
            metrics,
            capacity,
        }
    }

    /// Returns whether requests of this kind wait.
    pub fn is_queued(&self, kind: &Kind) -> bool {
        self.inner().controller.is_queued(kind)
    }

    /// Waits until the request may run. Dropping the future removes the request from the queue.
    ///
    /// # Errors
    ///
    /// [`Shed`] if the request is shed: the queue is full, the deadline can't be met, or no
    /// upstream serves it.
    pub async fn admit(&self, request: AdmissionRequest) -> Result<AdmissionPermit, Shed> {
        let arrival = match self.arrive(request.clone()) {
            // The upstream may have announced itself after the last refresh.
            Err(shed)
                if shed.reason == ShedReason::NoUpstream && self.capacity == Capacity::Pools =>
            {
                self.refresh();
                self.arrive(request)
            }
            arrival => arrival,
        };
        let (receiver, permit) = arrival.inspect_err(|shed| {
            self.metrics.admissions.add(label(shed.reason));
        })?;
        let Some(receiver) = receiver else {
            self.metrics.admissions.add("at_once");
            return Ok(permit);
        };
        self.metrics.admissions.add("held");
        // The sender is dropped only with its ticket, which the permit holds.
        let decision = receiver.await.unwrap_or(Ok(()));
        self.metrics.admissions.add(match &decision {
            Ok(()) => "after_wait",
            Err(shed) => label(shed.reason),
        });
        decision.map(|()| permit)
    }

    /// Updates the pools, or the headroom of those with waiting requests, from the known upstreams.
    /// Also done periodically.
    pub fn refresh(&self) {
        let now = self.timer.now();
        match self.capacity {
            Capacity::Pools => {
                let pools = self.upstreams.pools();
                let mut inner = self.inner();
                inner.controller.set_pools(now, &pools);
                inner.deliver_decisions(now);
            }
            Capacity::Headroom => {
                let mut inner = self.inner();
                for kind in inner.controller.queued_kinds() {
                    let headroom = self.upstreams.headroom(&kind);
                    inner.controller.set_headroom(now, &kind, headroom);
                }
                inner.deliver_decisions(now);
            }
        }
    }

    /// Submits a request to the controller. Returns a receiver if it has to wait.
    fn arrive(
        &self,
        request: AdmissionRequest,
    ) -> Result<(Option<DecisionReceiver>, AdmissionPermit), Shed> {
        let now = self.timer.now();
        let mut inner = self.inner();
        inner.last_ticket += 1;
        let ticket = inner.last_ticket;
        if self.capacity == Capacity::Headroom {
            let headroom = self.upstreams.headroom(&request.kind);
            inner.controller.set_headroom(now, &request.kind, headroom);
        }
        let decision = inner.controller.arrive(now, arrival(ticket, request));
        let receiver = match decision {
            ArrivalDecision::Run => None,
            ArrivalDecision::Wait => {
                let (tx, rx) = oneshot::channel();
                inner.waiting.insert(ticket, tx);
                Some(rx)
            }
            ArrivalDecision::Shed(shed) => return Err(shed),
        };
        inner.deliver_decisions(now);
        let permit = AdmissionPermit {
            admission: self.clone(),
            ticket,
            completed: false,
            waited: receiver.is_some(),
        };
        Ok((receiver, permit))
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Receives the decision on a waiting request.
type DecisionReceiver = oneshot::Receiver<Result<(), Shed>>;

impl Inner {
    /// Tells waiting requests what the controller decided on them.
    fn deliver_decisions(&mut self, now: Millis) {
        let mut decisions = Vec::new();
        self.controller.poll(now, &mut decisions);
        for queued in decisions {
            let (ticket, decision) = match queued {
                QueueDecision::Run(ticket) => (ticket, Ok(())),
                QueueDecision::Shed(ticket, shed) => (ticket, Err(shed)),
            };
            if let Some(sender) = self.waiting.remove(&ticket) {
                // A request that stopped waiting returns its ticket when its permit is dropped.
                let _ = sender.send(decision);
            }
        }
    }
}

fn arrival(ticket: u64, request: AdmissionRequest) -> Arrival {
    Arrival {
        ticket,
        workspace: request.workspace,
        share: request.share,
        priority: request.priority,
        kind: request.kind,
        cost: request.cost,
        deadline: request.deadline,
        hold: request.hold,
    }
}

/// Returns the metric label of a reason.
fn label(reason: ShedReason) -> &'static str {
    match reason {
        ShedReason::QueueFull => "queue_full",
        ShedReason::Memory => "memory",
        ShedReason::LongWait => "long_wait",
        ShedReason::Deadline => "deadline",
        ShedReason::NoUpstream => "no_upstream",
    }
}

struct AdmissionActor;

/// Message that asks for a refresh of the pools.
struct Tick;

impl Actor for AdmissionActor {
    type Msg = Tick;
    type State = Admission;
    type Arguments = Admission;

    async fn pre_start(
        &self,
        _myself: ActorRef<Tick>,
        admission: Admission,
    ) -> Result<Admission, ActorProcessingErr> {
        Ok(admission)
    }

    async fn handle(
        &self,
        _myself: ActorRef<Tick>,
        _tick: Tick,
        admission: &mut Admission,
    ) -> Result<(), ActorProcessingErr> {
        admission.refresh();
        Ok(())
    }
}
