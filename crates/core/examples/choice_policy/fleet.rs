//! Routers and engines in simulated time, driven by one agenda of events.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use chestnutnotch_core::id::DataCentre;
use chestnutnotch_core::id::Fingerprint;
use chestnutnotch_core::id::Model;
use chestnutnotch_core::id::Upstream;
use chestnutnotch_core::id::Workspace;
use chestnutnotch_core::limit::Arrival;
use chestnutnotch_core::limit::Gate;
use chestnutnotch_core::limit::Release;
use chestnutnotch_core::limit::RetryBudget;
use chestnutnotch_core::limit::Verdict;
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
use crate::plan::Fate;
use crate::plan::Outcome;
use crate::plan::Policy;
use crate::plan::Site;
use crate::plan::Trouble;
use crate::work::Request;

enum Event {
    Arrive(usize),
    Deadline(usize),
    Reach(usize, Pick, usize),
    Refuse(usize, u64, usize),
    Step(usize),
    First(usize, u64, usize),
    Whole(usize, u64, usize),
    Late(usize, u64, usize),
    Cancel(usize, (usize, u64)),
    Again(usize, usize),
    Announce(usize),
    Hear(usize, Box<Announcement>),
    Answer(usize, Pick, usize, Box<Announcement>),
    Probed(usize, Box<Announcement>),
    Tick(usize),
    Slow(u64),
    Leave,
}

struct Router {
    table: Table,
    gate: Gate,
    budget: RetryBudget,
    live: Map<u64, usize>,
    tried: Map<usize, Vec<Upstream>>,
    turn: usize,
    cut: bool,
}

pub struct Fleet<'a> {
    site: Site,
    policy: Policy,
    trouble: Trouble,
    requests: &'a [Request],
    routers: Vec<Router>,
    engines: Vec<Engine>,
    pub outcomes: Vec<Outcome>,
    pub last_sent: u64,
    pub firsts: u64,
    pub attempts: u64,
    agenda: BinaryHeap<Reverse<(u64, u64)>>,
    events: Map<u64, Event>,
    number: u64,
    now: u64,
    rng: ChaCha8Rng,
    spared: Option<usize>,
}

const MILLI: u64 = 1_000;
/// Until when a whole answer is wanted.
pub const PATIENCE_MICROS: u64 = 20_000 * MILLI;
const FIRST_MICROS: u64 = 6_000 * MILLI;
const ANNOUNCE_MICROS: u64 = 1_000 * MILLI;
const TICK_MICROS: u64 = 50 * MILLI;
const AGAIN_MICROS: u64 = 20 * MILLI;
const REPORT_LAG_MICROS: u64 = 400 * MILLI;

impl<'a> Fleet<'a> {
    pub fn new(site: Site, policy: Policy, trouble: Trouble, requests: &'a [Request]) -> Self {
        let mut fleet = Self {
            site,
            policy,
            trouble,
            requests,
            routers: (0..site.routers).map(|n| router(n, site, policy)).collect(),
            engines: (0..site.engines).map(|_| Engine::new()).collect(),
            outcomes: vec![Outcome::default(); requests.len()],
            last_sent: 0,
            firsts: 0,
            attempts: 0,
            agenda: BinaryHeap::new(),
            events: Map::default(),
            number: 0,
            now: 0,
            rng: ChaCha8Rng::seed_from_u64(7),
            spared: None,
        };
        fleet.prepare();
        fleet
    }

    /// One request is never refused by the gate, to see whether a refusal was true.
    pub fn sparing(mut self, request: usize) -> Self {
        self.spared = Some(request);
        self
    }

    fn prepare(&mut self) {
        for engine in 0..self.engines.len() {
            let offset = self.rng.next_u64() % ANNOUNCE_MICROS;
            self.at(offset, Event::Announce(engine));
        }
        for router in 0..self.routers.len() {
            self.at(2_500 * MILLI, Event::Tick(router));
        }
        for (index, request) in self.requests.iter().enumerate() {
            self.at(request.at + 3_000 * MILLI, Event::Arrive(index));
        }
        if let Some((from, to)) = self.trouble.slow {
            self.at(from, Event::Slow(4));
            self.at(to, Event::Slow(1));
        }
        if let Some(when) = self.trouble.leave {
            self.at(when, Event::Leave);
        }
    }

    fn at(&mut self, when: u64, event: Event) {
        self.number += 1;
        self.events.insert(self.number, event);
        self.agenda.push(Reverse((when, self.number)));
    }

    fn after(&mut self, delay: u64, event: Event) {
        self.at(self.now + delay, event);
    }

    fn millis(&self) -> Millis {
        Millis(self.now / MILLI)
    }

    /// Runs until all requests have their fate, or the spared one.
    pub fn run(mut self) -> Self {
        let mut open = self.requests.len();
        while open > 0 {
            let Some(Reverse((now, number))) = self.agenda.pop() else {
                break;
            };
            self.now = now;
            let Some(event) = self.events.remove(&number) else {
                continue;
            };
            open -= self.handle(event);
            if self
                .spared
                .is_some_and(|one| self.outcomes[one].fate != Fate::Open)
            {
                break;
            }
        }
        self
    }

    /// Returns how many requests met their fate.
    fn handle(&mut self, event: Event) -> usize {
        match event {
            Event::Arrive(index) => return self.arrive(index),
            Event::Deadline(index) => return self.deadline(index),
            Event::Reach(engine, pick, index) => self.reach(engine, pick, index),
            Event::Refuse(router, attempt, index) => return self.refused(router, attempt, index),
            Event::Step(engine) => self.step(engine),
            Event::First(router, attempt, index) => self.first(router, attempt, index),
            Event::Whole(router, attempt, index) => return self.whole(router, attempt, index),
            Event::Late(router, attempt, index) => return self.late(router, attempt, index),
            Event::Cancel(engine, attempt) => self.engines[engine].cancel(attempt),
            Event::Again(router, index) => return self.send(router, index),
            Event::Announce(engine) => self.announce(engine),
            Event::Hear(router, said) => {
                let now = self.millis();
                self.routers[router].table.observe(now, *said);
            }
            Event::Answer(router, pick, index, said) => {
                return self.answer(router, pick, index, *said);
            }
            Event::Probed(router, said) => {
                let now = self.millis();
                let (upstream, incarnation) = (said.upstream.clone(), said.incarnation);
                self.routers[router]
                    .table
                    .record_probe(now, &upstream, incarnation, Some(*said));
            }
            Event::Tick(router) => return self.tick(router),
            Event::Slow(factor) => self.engines.iter_mut().for_each(|one| one.slow = factor),
            Event::Leave => self.leave(),
        }
        0
    }

    fn way(&self, router: usize, engine: usize) -> u64 {
        match router % self.site.centres == engine % self.site.centres {
            true => 100,
            false => self.site.way_micros,
        }
    }

    fn arrive(&mut self, index: usize) -> usize {
        let request = &self.requests[index];
        let router = request.router;
        let spared = self.spared == Some(index);
        let deadline = Millis((self.now + PATIENCE_MICROS) / MILLI);
        let arrival = Arrival {
            ticket: index as u64,
            workspace: Workspace::from(format!("k{}", request.workspace)),
            share: 1,
            priority: 0,
            kind: kind(),
            cost: Tokens(request.prompt + request.limit),
            deadline: if spared { Millis(u64::MAX) } else { deadline },
        };
        let now = self.millis();
        self.after(PATIENCE_MICROS, Event::Deadline(index));
        let one = &mut self.routers[router];
        one.budget.first(now);
        match one.gate.arrive(now, arrival) {
            Verdict::Run => self.send_first(router, index),
            Verdict::Wait => self.poll(router),
            Verdict::Shed(_) => self.close(index, Fate::Shed),
        }
    }

    fn send_first(&mut self, router: usize, index: usize) -> usize {
        self.firsts += 1;
        self.send(router, index)
    }

    fn send(&mut self, router: usize, index: usize) -> usize {
        if self.outcomes[index].fate != Fate::Open {
            return 0;
        }
        let now = self.millis();
        match self.choose(router, index) {
            Ok(pick) if pick.ask => {
                let engine = engine_of(&pick.upstream);
                let said = Box::new(self.report(engine, self.now));
                let trip = 2 * self.way(router, engine);
                self.after(trip, Event::Answer(router, pick, index, said));
                0
            }
            Ok(pick) => {
                self.forward(router, pick, index);
                0
            }
            Err(ChoiceError::Full) => {
                self.after(AGAIN_MICROS, Event::Again(router, index));
                0
            }
            Err(_) => {
                self.routers[router].gate.cancel(now, index as u64);
                self.close(index, Fate::Refused) + self.poll(router)
            }
        }
    }

    fn answer(&mut self, router: usize, pick: Pick, index: usize, said: Announcement) -> usize {
        let now = self.millis();
        let ready = said.phase == Phase::Ready;
        let one = &mut self.routers[router];
        one.table
            .record_probe(now, &pick.upstream, pick.incarnation, Some(said));
        if ready {
            self.forward(router, pick, index);
            return 0;
        }
        one.table.end(now, pick.attempt, AttemptOutcome::Neutral);
        self.send(router, index)
    }

    fn choose(&mut self, router: usize, index: usize) -> Result<Pick, ChoiceError> {
        let now = self.millis();
        let one = &mut self.routers[router];
        let mut avoid = one.tried.get(&index).cloned().unwrap_or_default();
        if self.policy.round_robin {
            let mut names: Vec<Upstream> = one
                .table
                .statuses(now)
                .filter(|row| {
                    row.availability == Availability::Available && !avoid.contains(&row.upstream)
                })
                .map(|row| row.upstream)
                .collect();
            names.sort_unstable();
            one.turn += 1;
            if !names.is_empty() {
                let turn = one.turn % names.len();
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
        let wanted = Criteria {
            sizes: Vec::new(),
            session_prefix: None,
            kind: kind(),
            priority: 0,
            prefixes: request.prefixes.clone(),
            body: Fingerprint::of(index.to_le_bytes()),
            avoid,
        };
        one.table.choose(now, &wanted)
    }

    fn forward(&mut self, router: usize, pick: Pick, index: usize) {
        let engine = engine_of(&pick.upstream);
        self.attempts += 1;
        self.outcomes[index].attempts += 1;
        if engine == 0 {
            self.last_sent = self.now;
        }
        let attempt = pick.attempt;
        let one = &mut self.routers[router];
        one.live.insert(attempt, index);
        one.tried
            .entry(index)
            .or_default()
            .push(pick.upstream.clone());
        let way = self.way(router, engine);
        self.after(FIRST_MICROS, Event::Late(router, attempt, index));
        self.after(way, Event::Reach(engine, pick, index));
    }

    fn reach(&mut self, engine: usize, pick: Pick, index: usize) {
        let router = self.requests[index].router;
        let taken =
            self.engines[engine].accept((router, pick.attempt), index, &self.requests[index]);
        let Some(cached) = taken else {
            let way = self.way(router, engine);
            self.after(way, Event::Refuse(router, pick.attempt, index));
            return;
        };
        self.outcomes[index].cached = cached;
        if !self.engines[engine].busy {
            self.begin(engine);
        }
    }

    fn begin(&mut self, engine: usize) {
        let next = self.engines[engine].begin();
        self.engines[engine].busy = next.is_some();
        if let Some(span) = next {
            self.after(span, Event::Step(engine));
        }
    }

    fn step(&mut self, engine: usize) {
        let step = self.engines[engine].end(self.requests, &mut self.rng);
        for job in step.firsts {
            let (router, attempt) = job.attempt;
            let way = self.way(router, engine);
            self.after(way, Event::First(router, attempt, job.request));
        }
        for job in step.wholes {
            let (router, attempt) = job.attempt;
            let way = self.way(router, engine);
            self.after(way, Event::Whole(router, attempt, job.request));
        }
        self.begin(engine);
    }

    fn first(&mut self, router: usize, attempt: u64, index: usize) {
        if self.routers[router].live.contains_key(&attempt) {
            self.outcomes[index].first = Some(self.now);
        }
    }

    fn whole(&mut self, router: usize, attempt: u64, index: usize) -> usize {
        let now = self.millis();
        let one = &mut self.routers[router];
        if one.live.remove(&attempt).is_none() {
            return 0;
        }
        one.table.end(now, attempt, AttemptOutcome::Completed);
        one.gate.finish(now, index as u64);
        self.close(index, Fate::Whole) + self.poll(router)
    }

    fn refused(&mut self, router: usize, attempt: u64, index: usize) -> usize {
        let now = self.millis();
        let one = &mut self.routers[router];
        if one.live.remove(&attempt).is_none() {
            return 0;
        }
        one.table.end(now, attempt, AttemptOutcome::Overload);
        one.gate.cancel(now, index as u64);
        self.close(index, Fate::Refused) + self.poll(router)
    }

    /// No first token in time: try another engine if the budget allows.
    fn late(&mut self, router: usize, attempt: u64, index: usize) -> usize {
        let live = self.routers[router].live.contains_key(&attempt);
        if !live || self.outcomes[index].first.is_some() {
            return 0;
        }
        self.abandon(router, attempt, AttemptOutcome::TimedOut);
        let now = self.millis();
        if self.routers[router].budget.take(now) {
            return self.send(router, index);
        }
        self.routers[router].gate.cancel(now, index as u64);
        self.close(index, Fate::Missed) + self.poll(router)
    }

    fn abandon(&mut self, router: usize, attempt: u64, ended: AttemptOutcome) {
        let now = self.millis();
        let one = &mut self.routers[router];
        let index = one.live.remove(&attempt);
        one.table.end(now, attempt, ended);
        let tried = index.and_then(|index| one.tried.get(&index));
        let engine = tried.and_then(|all| all.last()).map(engine_of);
        if let Some(engine) = engine {
            let way = self.way(router, engine);
            self.after(way, Event::Cancel(engine, (router, attempt)));
        }
    }

    fn deadline(&mut self, index: usize) -> usize {
        if self.outcomes[index].fate != Fate::Open {
            return 0;
        }
        let router = self.requests[index].router;
        let live = self.routers[router]
            .live
            .iter()
            .find(|one| *one.1 == index)
            .map(|one| *one.0);
        if let Some(attempt) = live {
            self.abandon(router, attempt, AttemptOutcome::Neutral);
        }
        let now = self.millis();
        self.routers[router].gate.cancel(now, index as u64);
        self.close(index, Fate::Missed) + self.poll(router)
    }

    fn close(&mut self, index: usize, fate: Fate) -> usize {
        let outcome = &mut self.outcomes[index];
        let open = outcome.fate == Fate::Open;
        if open {
            outcome.fate = fate;
            outcome.end = self.now;
        }
        usize::from(open)
    }

    fn poll(&mut self, router: usize) -> usize {
        let mut out = Vec::new();
        let now = self.millis();
        self.routers[router].gate.poll(now, &mut out);
        let mut closed = 0;
        for release in out {
            closed += match release {
                Release::Run(ticket) => self.send_first(router, ticket as usize),
                Release::Shed(ticket, _) => self.close(ticket as usize, Fate::Shed),
            };
        }
        closed
    }

    fn tick(&mut self, router: usize) -> usize {
        let now = self.millis();
        let one = &mut self.routers[router];
        one.table.tick(now);
        let pools = one.table.pools(now, self.site.routers as u32);
        one.gate.arrange(now, &pools);
        for probe in one.table.due_probes(now) {
            let engine = engine_of(&probe.upstream);
            let said = Box::new(self.report(engine, self.now));
            let trip = 2 * self.way(router, engine);
            self.after(trip, Event::Probed(router, said));
        }
        self.after(TICK_MICROS, Event::Tick(router));
        self.poll(router)
    }

    fn announce(&mut self, engine: usize) {
        let mut said = self.report(engine, self.now);
        said.cached = std::mem::take(&mut self.engines[engine].cached);
        said.evicted = std::mem::take(&mut self.engines[engine].evicted);
        for router in 0..self.routers.len() {
            if self.routers[router].cut {
                continue;
            }
            let lag = MILLI + self.rng.next_u64() % REPORT_LAG_MICROS;
            self.after(lag, Event::Hear(router, Box::new(said.clone())));
        }
        self.after(ANNOUNCE_MICROS, Event::Announce(engine));
    }

    fn report(&mut self, engine: usize, _at: u64) -> Announcement {
        let one = &mut self.engines[engine];
        one.seq += 1;
        let loaded = Loaded {
            model: Model::from("chat"),
            adapter: None,
            version: 1,
        };
        Announcement {
            upstream: Upstream::from(format!("w{engine}")),
            incarnation: Incarnation(1),
            seq: one.seq,
            address: ([127, 0, 0, 1], 9000).into(),
            centre: centre(engine, self.site),
            phase: if one.leaving {
                Phase::Leaving
            } else {
                Phase::Ready
            },
            offer: Offer::Models(vec![loaded]),
            slots: SLOTS,
            load: Load {
                running: one.running.len() as u32,
                waiting: one.waiting.len() as u32,
                cache: 0,
            },
            fences: true,
            cached: Vec::new(),
            evicted: Vec::new(),
        }
    }

    /// The engine says that it leaves; half of the routers are cut off and hear nothing.
    fn leave(&mut self) {
        for router in self.routers.iter_mut().step_by(2) {
            router.cut = true;
        }
        self.engines[0].leaving = true;
        self.announce(0);
    }
}

fn router(n: usize, site: Site, policy: Policy) -> Router {
    Router {
        table: Table::with_config(centre(n, site), policy.rules, n as u64),
        gate: Gate::new(policy.gate),
        budget: RetryBudget::default(),
        live: Map::default(),
        tried: Map::default(),
        turn: n,
        cut: false,
    }
}

fn centre(n: usize, site: Site) -> DataCentre {
    DataCentre::from(format!("c{}", n % site.centres))
}

fn kind() -> Kind {
    Kind::Model(Model::from("chat"), None)
}

fn engine_of(upstream: &Upstream) -> usize {
    upstream.as_str()[1..].parse().unwrap_or(0)
}
