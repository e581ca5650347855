//! Routers, requests and the ledger in simulated time.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use chestnutnotch_core::command::Bill;
use chestnutnotch_core::command::Command;
use chestnutnotch_core::command::Draw;
use chestnutnotch_core::command::Grant;
use chestnutnotch_core::command::Join;
use chestnutnotch_core::command::Publish;
use chestnutnotch_core::command::Reply;
use chestnutnotch_core::command::Stamped;
use chestnutnotch_core::command::TopUp;
use chestnutnotch_core::config::BudgetSpec;
use chestnutnotch_core::config::Document;
use chestnutnotch_core::id::Budget;
use chestnutnotch_core::id::Fingerprint;
use chestnutnotch_core::id::Holder;
use chestnutnotch_core::id::RequestId;
use chestnutnotch_core::id::RouterId;
use chestnutnotch_core::ledger::HolderLedger;
use chestnutnotch_core::ledger::Reservation;
use chestnutnotch_core::ledger::ReserveError;
use chestnutnotch_core::machine::Machine;
use chestnutnotch_core::unit::Incarnation;
use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::unit::Revision;
use chestnutnotch_core::unit::Tokens;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const SEED: u64 = 20_261_204;
const TICK_MICROS: u64 = 500;
const LOAD_SECONDS: u64 = 1_200;
pub const IDLE_SECONDS: u64 = 120;
const CUT_SECONDS: std::ops::Range<u64> = 300..900;
const TOP_UP_SECOND: u64 = 600;
const DEADLINE_MILLIS: u64 = 2_000;
const SYNC_MICROS: u64 = 1_000;
const REQUESTS_PER_SECOND: f64 = 24.0;
const BUDGETS: usize = 10;
const MOST_TOKENS: u64 = 4_096;
const MANY: u64 = 50 * MOST_TOKENS;

#[derive(Clone, Copy)]
pub struct Deployment {
    pub name: &'static str,
    pub routers: usize,
    pub centres: usize,
    /// Between data centres, one way.
    pub way_micros: u64,
}

pub const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        name: "Kar Yolu",
        routers: 12,
        centres: 4,
        way_micros: 500,
    },
    Deployment {
        name: "Verband",
        routers: 10,
        centres: 3,
        way_micros: 1_500,
    },
];

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Way {
    Adaptive,
    Even,
    Central,
}

/// A request on its way through a router.
#[derive(Clone)]
struct Request {
    budget: usize,
    worst: u64,
    used: u64,
    came: u64,
    runs: u64,
}

enum Event {
    Draw(Draw),
    Grants(usize, Vec<Grant>),
    Checked(usize, Request),
    Finish(usize, Request, Option<Reservation>),
    Bill(Bill),
}

#[derive(Default)]
pub struct Tally {
    pub requests: u64,
    pub refused: u64,
    /// Refused while the budget as a whole could pay.
    pub untrue: u64,
    /// The same while it could pay for many worst cases.
    pub untrue_many: u64,
    /// The same, of budgets that do not run out.
    pub untrue_ample: u64,
    pub over: u64,
    pub waits: Vec<u64>,
    pub messages: u64,
    pub bytes: u64,
    pub idle_bytes: u64,
}

/// What is true of a budget, known to nobody.
#[derive(Clone, Copy, Default)]
struct Truth {
    prepaid: u64,
    spent: u64,
    reserved: u64,
}

impl Truth {
    fn left(self) -> u64 {
        self.prepaid.saturating_sub(self.spent + self.reserved)
    }
}

pub struct World {
    deployment: Deployment,
    way: Way,
    has_cut: bool,
    rng: ChaCha8Rng,
    now: u64,
    machine: Machine,
    purses: Vec<HolderLedger>,
    /// Even split: tokens left at each router.
    shares: Vec<Vec<u64>>,
    truths: Vec<Truth>,
    waiting: Vec<VecDeque<Request>>,
    events: BTreeMap<(u64, Reverse<u64>), Event>,
    count: u64,
    topped_up: Vec<bool>,
    tally: Tally,
}

fn budget(index: usize) -> Budget {
    format!("budget-{index}").into()
}

/// Share of the requests: the first two budgets have over half.
fn weight(index: usize) -> f64 {
    1.0 / (index as f64 + 1.0).powf(1.2)
}

fn mean_rate(index: usize) -> f64 {
    let all: f64 = (0..BUDGETS).map(weight).sum();
    REQUESTS_PER_SECOND * weight(index) / all * 1_000.0
}

/// Every third budget runs out after two thirds of the load.
fn first_deposit(index: usize) -> u64 {
    let part = if index % 3 == 1 { 0.65 } else { 2.0 };
    (mean_rate(index) * LOAD_SECONDS as f64 * part) as u64
}

fn encoded(value: &impl serde::Serialize) -> u64 {
    postcard::to_stdvec(value).map_or(0, |bytes| bytes.len() as u64)
}

impl World {
    pub fn new(deployment: Deployment, way: Way, has_cut: bool) -> Self {
        let mut world = Self {
            deployment,
            way,
            has_cut,
            rng: ChaCha8Rng::seed_from_u64(SEED),
            now: 0,
            machine: Machine::default(),
            purses: Vec::new(),
            shares: Vec::new(),
            truths: (0..BUDGETS)
                .map(|index| Truth {
                    prepaid: first_deposit(index),
                    ..Truth::default()
                })
                .collect(),
            waiting: vec![VecDeque::new(); deployment.routers],
            events: BTreeMap::new(),
            count: 0,
            topped_up: vec![false; deployment.routers],
            tally: Tally::default(),
        };
        world.found();
        world
    }

    fn found(&mut self) {
        let budgets = (0..BUDGETS).map(|index| BudgetSpec {
            name: budget(index),
            prepaid: Tokens(first_deposit(index)),
        });
        let document = Document {
            budgets: budgets.collect(),
            ..Document::default()
        };
        self.apply(Command::Publish(Publish {
            id: "first".into(),
            base: Revision(0),
            document: Arc::new(document),
        }));
        let routers = self.deployment.routers;
        for router in 0..routers {
            let host = format!("host-{router}");
            self.apply(Command::Join(Join {
                host: host.as_str().into(),
                centre: "centre".into(),
                nonce: 1,
            }));
            self.purses.push(HolderLedger::new(Holder::Router(RouterId {
                host: host.as_str().into(),
                incarnation: Incarnation(1),
            })));
            let shares = (0..BUDGETS).map(|index| first_deposit(index) / routers as u64);
            self.shares.push(shares.collect());
        }
    }

    fn apply(&mut self, command: Command) -> Reply {
        self.machine.apply(&Stamped {
            at: self.millis(),
            operator: "bench".into(),
            command,
        })
    }

    fn millis(&self) -> Millis {
        Millis(self.now / 1_000)
    }

    /// To the leader, and through its quorum.
    fn half_trip(&self) -> u64 {
        self.deployment.way_micros * 2 + SYNC_MICROS
    }

    /// Whether a router is cut from the control quorum: those of the last data centre are.
    fn is_cut(&self, router: usize) -> bool {
        let centre = router % self.deployment.centres;
        let second = self.now / 1_000_000;
        self.has_cut && centre + 1 == self.deployment.centres && CUT_SECONDS.contains(&second)
    }

    fn at(&mut self, delay: u64, event: Event) {
        self.count += 1;
        self.events
            .insert((self.now + delay, Reverse(self.count)), event);
    }

    pub fn run(mut self) -> Tally {
        let load = LOAD_SECONDS * 1_000_000;
        let end = load + IDLE_SECONDS * 1_000_000;
        let each = REQUESTS_PER_SECOND * TICK_MICROS as f64 / 1e6;
        while self.now < end {
            if self.now < load && self.rng.random::<f64>() < each {
                self.arrive();
            }
            self.top_up();
            self.due();
            for router in 0..self.deployment.routers {
                self.serve(router);
                self.report(router);
            }
            self.now += TICK_MICROS;
        }
        self.tally
    }

    fn arrive(&mut self) {
        let all: f64 = (0..BUDGETS).map(weight).sum();
        let mut pick = self.rng.random::<f64>() * all;
        let mut index = 0;
        while index + 1 < BUDGETS && pick > weight(index) {
            pick -= weight(index);
            index += 1;
        }
        let worst = self.rng.random_range(1_000..=MOST_TOKENS);
        let part = self.rng.random_range(0.2..0.6);
        let request = Request {
            budget: index,
            worst,
            used: (worst as f64 * part) as u64,
            came: self.now,
            runs: self.rng.random_range(1_000_000..5_000_000),
        };
        self.tally.requests += 1;
        let router = self.rng.random_range(0..self.deployment.routers);
        if self.way != Way::Central {
            self.waiting[router].push_back(request);
            return;
        }
        if self.is_cut(router) {
            self.refuse(&request);
            return;
        }
        self.note(2, 120);
        self.at(self.half_trip(), Event::Checked(router, request));
    }

    /// Deposits on the budgets that run out; with an even split a router that is cut gets its part
    /// after the cut.
    fn top_up(&mut self) {
        if !self.has_cut || self.now < TOP_UP_SECOND * 1_000_000 {
            return;
        }
        let amount = |index: usize| first_deposit(index) / 2;
        let runs_out = (0..BUDGETS).filter(|index| index % 3 == 1);
        if self.now == TOP_UP_SECOND * 1_000_000 {
            for index in runs_out.clone() {
                self.truths[index].prepaid += amount(index);
                self.apply(Command::TopUp(TopUp {
                    id: budget(index).as_str().into(),
                    budget: budget(index),
                    amount: Tokens(amount(index)),
                }));
            }
        }
        for router in 0..self.deployment.routers {
            if self.topped_up[router] || self.is_cut(router) {
                continue;
            }
            self.topped_up[router] = true;
            for index in runs_out.clone() {
                self.shares[router][index] += amount(index) / self.deployment.routers as u64;
            }
        }
    }

    fn due(&mut self) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            match entry.remove() {
                Event::Draw(draw) => self.draw(draw),
                Event::Grants(router, grants) if !self.is_cut(router) => {
                    self.purses[router].apply_grants(Millis(self.now / 1_000), grants);
                }
                Event::Grants(..) => {}
                Event::Checked(router, request) => self.check(router, request),
                Event::Finish(router, request, held) => self.finish(router, &request, held),
                Event::Bill(bill) => {
                    self.apply(Command::Bill(vec![bill]));
                }
            }
        }
    }

    fn draw(&mut self, draw: Draw) {
        let holder = draw.holder.clone();
        let router = self.purses.iter().position(|this| *this.holder() == holder);
        let reply = self.apply(Command::Draw(draw));
        self.note(1, encoded(&reply));
        if let (Reply::Grants(grants), Some(router)) = (reply, router) {
            self.at(self.half_trip(), Event::Grants(router, grants));
        }
    }

    fn check(&mut self, router: usize, request: Request) {
        if self.truths[request.budget].left() < request.worst {
            self.refuse(&request);
            return;
        }
        let back = self.half_trip();
        self.start(router, request, None, back);
    }

    fn serve(&mut self, router: usize) {
        for _ in 0..self.waiting[router].len() {
            let Some(request) = self.waiting[router].pop_front() else {
                return;
            };
            match self.reserve(router, &request) {
                Ok(held) => self.start(router, request, held, 0),
                Err(ReserveError::Spent) => self.refuse(&request),
                Err(_) if self.now >= request.came + DEADLINE_MILLIS * 1_000 => {
                    self.refuse(&request);
                }
                Err(_) => self.waiting[router].push_back(request),
            }
        }
    }

    fn reserve(
        &mut self,
        router: usize,
        request: &Request,
    ) -> Result<Option<Reservation>, ReserveError> {
        if self.way == Way::Adaptive {
            let now = self.millis();
            let budget = budget(request.budget);
            let held = self.purses[router].reserve(now, &budget, Tokens(request.worst));
            return held.map(Some);
        }
        let share = &mut self.shares[router][request.budget];
        if *share < request.worst {
            return Err(ReserveError::Spent);
        }
        *share -= request.worst;
        Ok(None)
    }

    fn start(&mut self, router: usize, request: Request, held: Option<Reservation>, back: u64) {
        let truth = &mut self.truths[request.budget];
        truth.reserved += request.worst;
        let excess = (truth.spent + truth.reserved).saturating_sub(truth.prepaid);
        self.tally.over = self.tally.over.max(excess);
        self.tally.waits.push(self.now + back - request.came);
        let runs = request.runs;
        self.at(runs, Event::Finish(router, request, held));
    }

    fn finish(&mut self, router: usize, request: &Request, held: Option<Reservation>) {
        let truth = &mut self.truths[request.budget];
        truth.reserved -= request.worst;
        truth.spent += request.used;
        match self.way {
            Way::Even => {
                self.shares[router][request.budget] += request.worst - request.used;
            }
            Way::Central => {}
            Way::Adaptive => {
                if let Some(held) = held {
                    self.purses[router].settle(held, Tokens(request.used), Tokens(0));
                }
                self.bill(router, request);
            }
        }
    }

    /// A bill reaches the ledger at once, or after the cut.
    fn bill(&mut self, router: usize, request: &Request) {
        let after_cut = (CUT_SECONDS.end * 1_000_000).saturating_sub(self.now);
        let delay = match self.is_cut(router) {
            true => after_cut,
            false => self.half_trip(),
        };
        let bill = Bill {
            id: RequestId {
                workspace: "bench".into(),
                key: self.count.to_string().into(),
            },
            body: Fingerprint::default(),
            budget: budget(request.budget),
            holder: self.purses[router].holder().clone(),
            attempt: self.count,
            prompt: Tokens(0),
            generated: Tokens(request.used),
        };
        self.at(delay, Event::Bill(bill));
    }

    fn refuse(&mut self, request: &Request) {
        let left = self.truths[request.budget].left();
        self.tally.refused += 1;
        self.tally.untrue += u64::from(left >= request.worst);
        let is_ample = request.budget % 3 != 1;
        self.tally.untrue_many += u64::from(left >= MANY);
        self.tally.untrue_ample += u64::from(left >= MANY && is_ample);
    }

    fn report(&mut self, router: usize) {
        if self.way != Way::Adaptive {
            return;
        }
        let now = self.millis();
        let Some(draw) = self.purses[router].draw(now) else {
            return;
        };
        self.note(1, encoded(&draw));
        if !self.is_cut(router) {
            self.at(self.half_trip(), Event::Draw(draw));
        }
    }

    fn note(&mut self, messages: u64, bytes: u64) {
        if self.now >= LOAD_SECONDS * 1_000_000 {
            self.tally.idle_bytes += bytes;
            return;
        }
        self.tally.messages += messages;
        self.tally.bytes += bytes;
    }
}
