//! Simulation of routers and engines, driven by one queue of events in order of time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use chestnutnotch_core::id::DataCentre;
use chestnutnotch_core::id::Fingerprint;
use chestnutnotch_core::id::Model;
use chestnutnotch_core::id::Upstream;
use chestnutnotch_core::id::Workspace;
use chestnutnotch_core::limit::AdmissionController;
use chestnutnotch_core::limit::Arrival;
use chestnutnotch_core::limit::ArrivalDecision;
use chestnutnotch_core::limit::QueueDecision;
use chestnutnotch_core::limit::RetryBudget;
use chestnutnotch_core::map::Map;
use chestnutnotch_core::unit::Incarnation;
use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::unit::Tokens;
use chestnutnotch_core::upstream::Announcement;
use chestnutnotch_core::upstream::AttemptOutcome;
use chestnutnotch_core::upstream::Availability;
use chestnutnotch_core::upstream::ChoiceError;
use chestnutnotch_core::upstream::Criteria;
use chestnutnotch_core::upstream::Kind;
use chestnutnotch_core::upstream::Load;
use chestnutnotch_core::upstream::Offer;
use chestnutnotch_core::upstream::Phase;
use chestnutnotch_core::upstream::Pick;
use chestnutnotch_core::upstream::Table;
use chestnutnotch_core::upstream::announce::Loaded;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::engine::Engine;
use crate::engine::SLOTS;
use crate::plan::Disruption;
use crate::plan::Outcome;
use crate::plan::Policy;
use crate::plan::Site;
use crate::plan::Status;
use crate::work::Request;

/// Event of the simulation. Numbers are indices of routers, engines and requests, and numbers of
/// attempts.
enum Event {
    /// A request arrives at its router.
    Arrive(usize),
    /// The deadline of a request has come.
    Deadline(usize),
    /// An attempt (engine, pick, request) arrives at its engine.
    ReachEngine(usize, Pick, usize),
    /// A refusal (router, attempt, request) arrives at the router.
    Refused(usize, u64, usize),
    /// A step of an engine ends.
    StepEnd(usize),
    /// The first token (router, attempt, request) arrives at the router.
    FirstToken(usize, u64, usize),
    /// The last token (router, attempt, request) arrives at the router.
    Completed(usize, u64, usize),
    /// The time to wait for the first token (router, attempt, request) is over.
    TimedOut(usize, u64, usize),
    /// A cancellation (engine, (router, attempt)) arrives at the engine.
    Cancel(usize, (usize, u64)),
    /// A router tries a request (router, request) again.
    Retry(usize, usize),
    /// An engine announces itself.
    Announce(usize),
    /// An announcement arrives at a router.
    ReceiveAnnouncement(usize, Box<Announcement>),
    /// A probe that the attempt (router, pick, request) waits for is answered.
    PickProbed(usize, Pick, usize, Box<Announcement>),
    /// Another probe of a router is answered.
    Probed(usize, Box<Announcement>),
    /// A router does its periodic work.
    Tick(usize),
    /// All engines are slowed down by this factor.
    SetSlowdown(u64),
    /// The first engine leaves.
    Leave,
}

/// One simulated router.
struct Router {
    table: Table,
    gate: AdmissionController,
    budget: RetryBudget,
    /// Requests by their attempts in flight.
    in_flight: Map<u64, usize>,
    /// Upstreams tried, by request.
    tried: Map<usize, Vec<Upstream>>,
    /// Position of the round robin.
    turn: usize,
    /// Whether it receives no announcements.
    cut_off: bool,
}

/// The simulated fleet; times are in microseconds.
pub struct Fleet<'a> {
    site: Site,
    policy: Policy,
    disruption: Disruption,
    requests: &'a [Request],
    routers: Vec<Router>,
    engines: Vec<Engine>,
    /// Outcome of each request.
    pub outcomes: Vec<Outcome>,
    /// When a request was last sent to the first engine, which leaves in some scenarios.
    pub last_sent: u64,
    /// Number of first attempts.
    pub firsts: u64,
    /// Number of all attempts.
    pub attempts: u64,
    /// Time and number of each event to come.
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    /// Events to come, by number.
    events: Map<u64, Event>,
    /// Number of the last event.
    number: u64,
    now: u64,
    rng: ChaCha8Rng,
    /// Request that admission control must not shed.
    exempt: Option<usize>,
}

/// Microseconds in a millisecond.
const MILLI: u64 = 1_000;
/// Time from the arrival of a request to its deadline.
pub const DEADLINE_MICROS: u64 = 20_000 * MILLI;
/// Time after which an attempt without a first token is given up.
const FIRST_TOKEN_MICROS: u64 = 6_000 * MILLI;
/// Interval of announcements.
const ANNOUNCE_MICROS: u64 = 1_000 * MILLI;
/// Interval of a router's periodic work.
const TICK_MICROS: u64 = 50 * MILLI;
/// Time after which a router tries again if all upstreams are full.
const RETRY_MICROS: u64 = 20 * MILLI;
/// Maximum delay of an announcement.
const MAX_LAG_MICROS: u64 = 400 * MILLI;

impl<'a> Fleet<'a> {
    /// Returns a fleet that is idle at time 0.
    pub fn new(
        site: Site,
        policy: Policy,
        disruption: Disruption,
        requests: &'a [Request],
    ) -> Self {
        let mut fleet = Self {
            site,
            policy,
            disruption,
            requests,
            routers: (0..site.routers).map(|n| router(n, site, policy)).collect(),
            engines: (0..site.engines).map(|_| Engine::new()).collect(),
            outcomes: vec![Outcome::default(); requests.len()],
            last_sent: 0,
            firsts: 0,
            attempts: 0,
            queue: BinaryHeap::new(),
            events: Map::default(),
            number: 0,
            now: 0,
            rng: ChaCha8Rng::seed_from_u64(7),
            exempt: None,
        };
        fleet.schedule_start();
        fleet
    }

    /// Exempts a request from load shedding, to find out whether it would have met its deadline.
    pub fn exempting(mut self, request: usize) -> Self {
        self.exempt = Some(request);
        self
    }

    /// Schedules the first events.
    fn schedule_start(&mut self) {
        for engine in 0..self.engines.len() {
            let offset = self.rng.next_u64() % ANNOUNCE_MICROS;
            self.at(offset, Event::Announce(engine));
        }
        for router in 0..self.routers.len() {
            self.at(2_500 * MILLI, Event::Tick(router));
        }
        for (index, request) in self.requests.iter().enumerate() {
            self.at(request.sent_at + 3_000 * MILLI, Event::Arrive(index));
        }
        if let Some((from, to)) = self.disruption.slow {
            self.at(from, Event::SetSlowdown(4));
            self.at(to, Event::SetSlowdown(1));
        }
        if let Some(when) = self.disruption.leave {
            self.at(when, Event::Leave);
        }
    }

    /// Schedules an event at a time.
    fn at(&mut self, when: u64, event: Event) {
        self.number += 1;
        self.events.insert(self.number, event);
        self.queue.push(Reverse((when, self.number)));
    }

    /// Schedules an event after a delay.
    fn after(&mut self, delay: u64, event: Event) {
        self.at(self.now + delay, event);
    }

    /// Current time for the state machines.
    fn millis(&self) -> Millis {
        Millis(self.now / MILLI)
    }

    /// Runs until all requests are finished, or the exempt one.
    pub fn run(mut self) -> Self {
        let mut open = self.requests.len();
        while open > 0 {
            let Some(Reverse((now, number))) = self.queue.pop() else {
                break;
            };
            self.now = now;
            let Some(event) = self.events.remove(&number) else {
                continue;
            };
            open -= self.handle(event);
            if self
                .exempt
                .is_some_and(|index| self.outcomes[index].status != Status::Open)
            {
                break;
            }
        }
        self
    }

    /// Handles an event. Returns how many requests it finished.
    fn handle(&mut self, event: Event) -> usize {
        match event {
            Event::Arrive(index) => return self.arrive(index),
            Event::Deadline(index) => return self.deadline(index),
            Event::ReachEngine(engine, pick, index) => self.reach(engine, pick, index),
            Event::Refused(router, attempt, index) => return self.refused(router, attempt, index),
            Event::StepEnd(engine) => self.end_step(engine),
            Event::FirstToken(router, attempt, index) => self.first_token(router, attempt, index),
            Event::Completed(router, attempt, index) => return self.finish(router, attempt, index),
            Event::TimedOut(router, attempt, index) => return self.timeout(router, attempt, index),
            Event::Cancel(engine, attempt) => self.engines[engine].cancel(attempt),
            Event::Retry(router, index) => return self.send(router, index),
            Event::Announce(engine) => self.announce(engine),
            Event::ReceiveAnnouncement(router, announcement) => {
                let now = self.millis();
                self.routers[router].table.observe(now, *announcement);
            }
            Event::PickProbed(router, pick, index, announcement) => {
                return self.pick_probed(router, pick, index, *announcement);
            }
            Event::Probed(router, announcement) => {
                let now = self.millis();
                let (upstream, incarnation) =
                    (announcement.upstream.clone(), announcement.incarnation);
                self.routers[router].table.record_probe(
                    now,
                    &upstream,
                    incarnation,
                    Some(*announcement),
                );
            }
            Event::Tick(router) => return self.tick(router),
            Event::SetSlowdown(factor) => self
                .engines
                .iter_mut()
                .for_each(|engine| engine.slowdown = factor),
            Event::Leave => self.leave(),
        }
        0
    }

    /// One-way latency between a router and an engine, in microseconds.
    fn latency(&self, router: usize, engine: usize) -> u64 {
        match router % self.site.centres == engine % self.site.centres {
            true => 100,
            false => self.site.latency_micros,
        }
    }

    /// Passes an arrived request to admission control.
    fn arrive(&mut self, index: usize) -> usize {
        let request = &self.requests[index];
        let router = request.router;
        let exempt = self.exempt == Some(index);
        let deadline = Millis((self.now + DEADLINE_MICROS) / MILLI);
        let arrival = Arrival {
            ticket: index as u64,
            workspace: Workspace::from(format!("k{}", request.workspace)),
            share: 1,
            priority: 0,
            kind: kind(),
            cost: Tokens(request.prompt + request.limit),
            deadline: if exempt { Millis(u64::MAX) } else { deadline },
            hold: None,
        };
        let now = self.millis();
        self.after(DEADLINE_MICROS, Event::Deadline(index));
        let state = &mut self.routers[router];
        state.budget.record_first(now);
        match state.gate.arrive(now, arrival) {
            ArrivalDecision::Run => self.send_first(router, index),
            ArrivalDecision::Wait => self.poll(router),
            ArrivalDecision::Shed(_) => self.close(index, Status::Shed),
        }
    }

    /// Sends an admitted request for the first time.
    fn send_first(&mut self, router: usize, index: usize) -> usize {
        self.firsts += 1;
        self.send(router, index)
    }

    /// Chooses an upstream and sends the request there, or probes the upstream first.
    fn send(&mut self, router: usize, index: usize) -> usize {
        if self.outcomes[index].status != Status::Open {
            return 0;
        }
        let now = self.millis();
        match self.choose(router, index) {
            Ok(pick) if pick.needs_probe => {
                let engine = engine_of(&pick.upstream);
                let announcement = Box::new(self.report(engine, self.now));
                let round_trip = 2 * self.latency(router, engine);
                self.after(
                    round_trip,
                    Event::PickProbed(router, pick, index, announcement),
                );
                0
            }
            Ok(pick) => {
                self.forward(router, pick, index);
                0
            }
            Err(ChoiceError::Full) => {
                self.after(RETRY_MICROS, Event::Retry(router, index));
                0
            }
            Err(_) => {
                self.routers[router].gate.cancel(now, index as u64);
                self.close(index, Status::Refused) + self.poll(router)
            }
        }
    }

    /// Sends the request to the probed upstream, or chooses another one if it is leaving.
    fn pick_probed(
        &mut self,
        router: usize,
        pick: Pick,
        index: usize,
        announcement: Announcement,
    ) -> usize {
        let now = self.millis();
        let ready = announcement.phase == Phase::Ready;
        let state = &mut self.routers[router];
        state
            .table
            .record_probe(now, &pick.upstream, pick.incarnation, Some(announcement));
        if ready {
            self.forward(router, pick, index);
            return 0;
        }
        state.table.end(now, pick.attempt, AttemptOutcome::Neutral);
        self.send(router, index)
    }

    /// Chooses an upstream by the policy that is simulated.
    fn choose(&mut self, router: usize, index: usize) -> Result<Pick, ChoiceError> {
        let now = self.millis();
        let state = &mut self.routers[router];
        let mut avoid = state.tried.get(&index).cloned().unwrap_or_default();
        if self.policy.round_robin {
            let mut names: Vec<Upstream> = state
                .table
                .statuses(now)
                .filter(|row| {
                    row.availability == Availability::Available && !avoid.contains(&row.upstream)
                })
                .map(|row| row.upstream)
                .collect();
            names.sort_unstable();
            state.turn += 1;
            if !names.is_empty() {
                let turn = state.turn % names.len();
                avoid.extend(
                    names
                        .iter()
                        .enumerate()
                        .filter(|(n, _)| *n != turn)
                        .map(|(_, name)| name.clone()),
                );
            }
        }
        let request = &self.requests[index];
        let criteria = Criteria {
            sizes: Vec::new(),
            session_prefix: None,
            kind: kind(),
            priority: 0,
            prefixes: request.prefixes.clone(),
            body: Fingerprint::of(index.to_le_bytes()),
            parts: Vec::new(),
            avoid,
            release: None,
        };
        state.table.choose(now, &criteria)
    }

    /// Sends an attempt to its engine.
    fn forward(&mut self, router: usize, pick: Pick, index: usize) {
        let engine = engine_of(&pick.upstream);
        self.attempts += 1;
        self.outcomes[index].attempts += 1;
        if engine == 0 {
            self.last_sent = self.now;
        }
        let attempt = pick.attempt;
        let state = &mut self.routers[router];
        state.in_flight.insert(attempt, index);
        state
            .tried
            .entry(index)
            .or_default()
            .push(pick.upstream.clone());
        let latency = self.latency(router, engine);
        self.after(FIRST_TOKEN_MICROS, Event::TimedOut(router, attempt, index));
        self.after(latency, Event::ReachEngine(engine, pick, index));
    }

    /// Queues an attempt at its engine, or sends a refusal if the queue is full.
    fn reach(&mut self, engine: usize, pick: Pick, index: usize) {
        let router = self.requests[index].router;
        let accepted =
            self.engines[engine].accept((router, pick.attempt), index, &self.requests[index]);
        let Some(cached) = accepted else {
            let latency = self.latency(router, engine);
            self.after(latency, Event::Refused(router, pick.attempt, index));
            return;
        };
        self.outcomes[index].cached = cached;
        if !self.engines[engine].busy {
            self.start_step(engine);
        }
    }

    /// Starts the next step of an engine, if it has work.
    fn start_step(&mut self, engine: usize) {
        let next = self.engines[engine].start_step();
        self.engines[engine].busy = next.is_some();
        if let Some(duration) = next {
            self.after(duration, Event::StepEnd(engine));
        }
    }

    /// Ends a step of an engine and sends the tokens to the routers.
    fn end_step(&mut self, engine: usize) {
        let step = self.engines[engine].end_step(self.requests, &mut self.rng);
        for job in step.started {
            let (router, attempt) = job.attempt;
            let latency = self.latency(router, engine);
            self.after(latency, Event::FirstToken(router, attempt, job.request));
        }
        for job in step.finished {
            let (router, attempt) = job.attempt;
            let latency = self.latency(router, engine);
            self.after(latency, Event::Completed(router, attempt, job.request));
        }
        self.start_step(engine);
    }

    /// Records the first token of an attempt.
    fn first_token(&mut self, router: usize, attempt: u64, index: usize) {
        if self.routers[router].in_flight.contains_key(&attempt) {
            self.outcomes[index].first_token = Some(self.now);
        }
    }

    /// Ends an attempt with a complete answer.
    fn finish(&mut self, router: usize, attempt: u64, index: usize) -> usize {
        let now = self.millis();
        let state = &mut self.routers[router];
        if state.in_flight.remove(&attempt).is_none() {
            return 0;
        }
        state.table.end(now, attempt, AttemptOutcome::Completed);
        state.gate.finish(now, index as u64);
        self.close(index, Status::Completed) + self.poll(router)
    }

    /// Ends an attempt that its engine refused.
    fn refused(&mut self, router: usize, attempt: u64, index: usize) -> usize {
        let now = self.millis();
        let state = &mut self.routers[router];
        if state.in_flight.remove(&attempt).is_none() {
            return 0;
        }
        state.table.end(now, attempt, AttemptOutcome::Overload);
        state.gate.cancel(now, index as u64);
        self.close(index, Status::Refused) + self.poll(router)
    }

    /// Ends an attempt whose first token is late; tries another engine if the retry budget allows.
    fn timeout(&mut self, router: usize, attempt: u64, index: usize) -> usize {
        let is_running = self.routers[router].in_flight.contains_key(&attempt);
        if !is_running || self.outcomes[index].first_token.is_some() {
            return 0;
        }
        self.abandon(router, attempt, AttemptOutcome::TimedOut);
        let now = self.millis();
        if self.routers[router].budget.take(now) {
            return self.send(router, index);
        }
        self.routers[router].gate.cancel(now, index as u64);
        self.close(index, Status::Missed) + self.poll(router)
    }

    /// Ends an attempt at the router and cancels it at its engine.
    fn abandon(&mut self, router: usize, attempt: u64, outcome: AttemptOutcome) {
        let now = self.millis();
        let state = &mut self.routers[router];
        let index = state.in_flight.remove(&attempt);
        state.table.end(now, attempt, outcome);
        let tried = index.and_then(|index| state.tried.get(&index));
        let engine = tried.and_then(|upstreams| upstreams.last()).map(engine_of);
        if let Some(engine) = engine {
            let latency = self.latency(router, engine);
            self.after(latency, Event::Cancel(engine, (router, attempt)));
        }
    }

    /// Ends a request that is not finished by its deadline.
    fn deadline(&mut self, index: usize) -> usize {
        if self.outcomes[index].status != Status::Open {
            return 0;
        }
        let router = self.requests[index].router;
        let attempt = self.routers[router]
            .in_flight
            .iter()
            .find(|entry| *entry.1 == index)
            .map(|entry| *entry.0);
        if let Some(attempt) = attempt {
            self.abandon(router, attempt, AttemptOutcome::Neutral);
        }
        let now = self.millis();
        self.routers[router].gate.cancel(now, index as u64);
        self.close(index, Status::Missed) + self.poll(router)
    }

    /// Finishes a request. Returns 1, or 0 if it was finished before.
    fn close(&mut self, index: usize, status: Status) -> usize {
        let outcome = &mut self.outcomes[index];
        let open = outcome.status == Status::Open;
        if open {
            outcome.status = status;
            outcome.end = self.now;
        }
        usize::from(open)
    }

    /// Sends or sheds the requests that a router's admission control releases.
    fn poll(&mut self, router: usize) -> usize {
        let mut out = Vec::new();
        let now = self.millis();
        self.routers[router].gate.poll(now, &mut out);
        let mut closed = 0;
        for release in out {
            closed += match release {
                QueueDecision::Run(ticket) => self.send_first(router, ticket as usize),
                QueueDecision::Shed(ticket, _) => self.close(ticket as usize, Status::Shed),
            };
        }
        closed
    }

    /// Does a router's periodic work.
    fn tick(&mut self, router: usize) -> usize {
        let now = self.millis();
        let state = &mut self.routers[router];
        state.table.tick(now);
        let pools = state.table.pools(now, self.site.routers as u32);
        state.gate.set_pools(now, &pools);
        for probe in state.table.due_probes(now) {
            let engine = engine_of(&probe.upstream);
            let announcement = Box::new(self.report(engine, self.now));
            let round_trip = 2 * self.latency(router, engine);
            self.after(round_trip, Event::Probed(router, announcement));
        }
        self.after(TICK_MICROS, Event::Tick(router));
        self.poll(router)
    }

    /// Sends an announcement of an engine to the routers.
    fn announce(&mut self, engine: usize) {
        let mut announcement = self.report(engine, self.now);
        announcement.cached = std::mem::take(&mut self.engines[engine].cached);
        announcement.evicted = std::mem::take(&mut self.engines[engine].evicted);
        for router in 0..self.routers.len() {
            if self.routers[router].cut_off {
                continue;
            }
            let lag = MILLI + self.rng.next_u64() % MAX_LAG_MICROS;
            self.after(
                lag,
                Event::ReceiveAnnouncement(router, Box::new(announcement.clone())),
            );
        }
        self.after(ANNOUNCE_MICROS, Event::Announce(engine));
    }

    /// Returns an engine's current announcement, without cache events.
    fn report(&mut self, engine: usize, _at: u64) -> Announcement {
        let state = &mut self.engines[engine];
        state.seq += 1;
        let loaded = Loaded {
            model: Model::from("chat"),
            adapter: None,
            version: 1,
        };
        Announcement {
            upstream: Upstream::from(format!("w{engine}")),
            incarnation: Incarnation(1),
            seq: state.seq,
            address: ([127, 0, 0, 1], 9000).into(),
            centre: centre(engine, self.site),
            phase: if state.leaving {
                Phase::Leaving
            } else {
                Phase::Ready
            },
            offer: Offer::Models(vec![loaded]),
            slots: SLOTS,
            load: Load {
                running: state.running.len() as u32,
                waiting: state.waiting.len() as u32,
                cache: 0,
            },
            fences: true,
            cached: Vec::new(),
            evicted: Vec::new(),
        }
    }

    /// Makes the first engine leave, after half of the routers were cut off from announcements.
    fn leave(&mut self) {
        for router in self.routers.iter_mut().step_by(2) {
            router.cut_off = true;
        }
        self.engines[0].leaving = true;
        self.announce(0);
    }
}

/// Returns a router that knows no upstreams.
fn router(n: usize, site: Site, policy: Policy) -> Router {
    Router {
        table: Table::with_config(centre(n, site), policy.config, n as u64),
        gate: AdmissionController::new(policy.gate),
        budget: RetryBudget::default(),
        in_flight: Map::default(),
        tried: Map::default(),
        turn: n,
        cut_off: false,
    }
}

/// Data centre of the router or engine of this index.
fn centre(n: usize, site: Site) -> DataCentre {
    DataCentre::from(format!("c{}", n % site.centres))
}

/// Kind of all simulated requests.
fn kind() -> Kind {
    Kind::Model(Model::from("chat"), None)
}

/// Index of the engine with this name.
fn engine_of(upstream: &Upstream) -> usize {
    upstream.as_str()[1..].parse().unwrap_or(0)
}
