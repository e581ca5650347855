//! Admission of this router: which waiting request runs next.
//!
//! The pure gate stands behind a short lock, as every request passes it twice; the actor only lets
//! time pass and keeps the pools current.

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

const PERIOD: Duration = Duration::from_millis(50);

/// A request that asks to run.
#[derive(Clone, Debug)]
pub struct Asking {
    /// Whose request.
    pub workspace: Workspace,
    /// Share of that workspace.
    pub share: u32,
    /// Precedence; higher goes first.
    pub priority: u8,
    /// What it needs.
    pub kind: Kind,
    /// Its worst case.
    pub cost: Tokens,
    /// When its answer has to be whole, by the timer's clock.
    pub deadline: Millis,
}

/// A handle on the gate. Cheap to clone.
#[derive(Clone, Debug)]
pub struct Gate {
    inner: Arc<Mutex<Inner>>,
    upstreams: Upstreams,
    timer: Timer,
    metrics: Arc<Metrics>,
}

#[derive(Debug)]
struct Inner {
    gate: limit::AdmissionController,
    waiting: Map<u64, oneshot::Sender<Result<(), Shed>>>,
    last: u64,
}

/// Leave to run. Dropping it makes room for the next request.
#[derive(Debug)]
pub struct Pass {
    gate: Gate,
    ticket: u64,
    whole: bool,
}

impl Pass {
    /// The request ended with a whole answer, so that its time tells how fast the upstreams are.
    pub fn finish(mut self) {
        self.whole = true;
    }
}

impl Drop for Pass {
    fn drop(&mut self) {
        let now = self.gate.timer.now();
        let mut inner = self.gate.inner();
        if self.whole {
            inner.gate.finish(now, self.ticket);
        } else {
            inner.gate.cancel(now, self.ticket);
        }
        inner.waiting.remove(&self.ticket);
        inner.release(now);
    }
}

impl Gate {
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
        let inner = Inner {
            gate: limit::AdmissionController::new(AdmissionRules::default()),
            waiting: Map::default(),
            last: 0,
        };
        let gate = Self {
            inner: Arc::new(Mutex::new(inner)),
            upstreams,
            timer,
            metrics,
        };
        let (actor, _) = Actor::spawn(None, GateActor, gate.clone()).await?;
        ticks::forward(&gate.timer, PERIOD, actor, || Tick);
        Ok(gate)
    }

    /// Waits until the request may run. Dropping the future gives up the place in the queue.
    ///
    /// # Errors
    ///
    /// [`Shed`] if it is refused under load.
    pub async fn enter(&self, asking: Asking) -> Result<Pass, Shed> {
        let arrived = match self.arrive(asking.clone()) {
            // The upstream may have been heard of since the last period.
            Err(shed) if shed.reason == ShedReason::NoUpstream => {
                self.refresh();
                self.arrive(asking)
            }
            arrived => arrived,
        };
        let (told, pass) = arrived.inspect_err(|shed| {
            self.metrics.admissions.add(word(shed.reason));
        })?;
        let Some(told) = told else {
            self.metrics.admissions.add("at_once");
            return Ok(pass);
        };
        // The sender goes only with its ticket, which the pass holds.
        let verdict = told.await.unwrap_or(Ok(()));
        self.metrics.admissions.add(match &verdict {
            Ok(()) => "after_wait",
            Err(shed) => word(shed.reason),
        });
        verdict.map(|()| pass)
    }

    /// Takes in which upstreams there are. Also done regularly.
    pub fn refresh(&self) {
        let pools = self.upstreams.pools();
        let now = self.timer.now();
        let mut inner = self.inner();
        inner.gate.set_pools(now, &pools);
        inner.release(now);
    }

    fn arrive(&self, asking: Asking) -> Result<(Option<Told>, Pass), Shed> {
        let now = self.timer.now();
        let mut inner = self.inner();
        inner.last += 1;
        let ticket = inner.last;
        let verdict = inner.gate.arrive(now, arrival(ticket, asking));
        let told = match verdict {
            ArrivalDecision::Run => None,
            ArrivalDecision::Wait => {
                let (tx, rx) = oneshot::channel();
                inner.waiting.insert(ticket, tx);
                Some(rx)
            }
            ArrivalDecision::Shed(shed) => return Err(shed),
        };
        inner.release(now);
        let pass = Pass {
            gate: self.clone(),
            ticket,
            whole: false,
        };
        Ok((told, pass))
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

type Told = oneshot::Receiver<Result<(), Shed>>;

impl Inner {
    fn release(&mut self, now: Millis) {
        let mut out = Vec::new();
        self.gate.poll(now, &mut out);
        for release in out {
            let (ticket, verdict) = match release {
                QueueDecision::Run(ticket) => (ticket, Ok(())),
                QueueDecision::Shed(ticket, shed) => (ticket, Err(shed)),
            };
            if let Some(told) = self.waiting.remove(&ticket) {
                // A request that stopped waiting gives its ticket back when its pass is dropped.
                let _ = told.send(verdict);
            }
        }
    }
}

fn arrival(ticket: u64, asking: Asking) -> Arrival {
    Arrival {
        ticket,
        workspace: asking.workspace,
        share: asking.share,
        priority: asking.priority,
        kind: asking.kind,
        cost: asking.cost,
        deadline: asking.deadline,
    }
}

fn word(reason: ShedReason) -> &'static str {
    match reason {
        ShedReason::QueueFull => "queue_full",
        ShedReason::Deadline => "deadline",
        ShedReason::NoUpstream => "no_upstream",
    }
}

struct GateActor;

struct Tick;

impl Actor for GateActor {
    type Msg = Tick;
    type State = Gate;
    type Arguments = Gate;

    async fn pre_start(
        &self,
        _myself: ActorRef<Tick>,
        gate: Gate,
    ) -> Result<Gate, ActorProcessingErr> {
        Ok(gate)
    }

    async fn handle(
        &self,
        _myself: ActorRef<Tick>,
        _tick: Tick,
        gate: &mut Gate,
    ) -> Result<(), ActorProcessingErr> {
        gate.refresh();
        Ok(())
    }
}
