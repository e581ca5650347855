//! Simulation of routers, their requests and the ledger. Times are in microseconds.

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
/// Time during which the last data centre is partitioned from the control quorum.
const PARTITION_SECONDS: std::ops::Range<u64> = 300..900;
const TOP_UP_SECOND: u64 = 600;
const DEADLINE_MILLIS: u64 = 2_000;
const DISK_SYNC_MICROS: u64 = 1_000;
const REQUESTS_PER_SECOND: f64 = 24.0;
const BUDGETS: usize = 10;
const MAX_REQUEST_TOKENS: u64 = 4_096;
/// A budget with this much left can pay for fifty more requests.
const MANY_TOKENS: u64 = 50 * MAX_REQUEST_TOKENS;

/// Size of a deployment.
#[derive(Clone, Copy)]
pub struct Deployment {
    pub name: &'static str,
    pub routers: usize,
    pub centres: usize,
    /// One-way network delay between data centres.
    pub delay_micros: u64,
}

pub const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        name: "Kar Yolu",
        routers: 12,
        centres: 4,
        delay_micros: 500,
    },
    Deployment {
        name: "Verband",
        routers: 10,
        centres: 3,
        delay_micros: 1_500,
    },
];

/// How budgets are spent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// Allotments that follow demand.
    Adaptive,
    /// An even split of each deposit among the routers.
    Even,
    /// A check at the control quorum for each request.
    Central,
}

/// A request that waits or runs at a router. Its costs are in tokens.
#[derive(Clone)]
struct Request {
    budget: usize,
    worst: u64,
    used: u64,
    arrived: u64,
    run_time: u64,
}

enum Event {
    Draw(Draw),
    Grants(usize, Vec<Grant>),
    Checked(usize, Request),
    Finish(usize, Request, Option<Reservation>),
    Bill(Bill),
}

/// Totals of a run.
#[derive(Default)]
pub struct Tally {
    pub requests: u64,
    pub refused: u64,
    /// Requests refused although the budget as a whole could pay.
    pub false_refusals: u64,
    /// The same where the budget could pay for fifty requests.
    pub false_refusals_many: u64,
    /// The same, only of budgets that do not run out.
    pub false_refusals_ample: u64,
    /// Most tokens spent or reserved beyond a budget.
    pub overspend: u64,
    /// Time from the arrival to the start of each request.
    pub waits: Vec<u64>,
    pub messages: u64,
    pub bytes: u64,
    pub idle_bytes: u64,
}

/// Actual state of a budget, which no router knows.
#[derive(Clone, Copy, Default)]
struct TrueBalance {
    prepaid: u64,
    spent: u64,
    reserved: u64,
}

impl TrueBalance {
    fn available(self) -> u64 {
        self.prepaid.saturating_sub(self.spent + self.reserved)
    }
}

pub struct Simulation {
    deployment: Deployment,
    policy: Policy,
    has_partition: bool,
    rng: ChaCha8Rng,
    now: u64,
    machine: Machine,
    holder_ledgers: Vec<HolderLedger>,
    /// Tokens left at each router, by budget; used by the even split.
    shares: Vec<Vec<u64>>,
    true_balances: Vec<TrueBalance>,
    waiting: Vec<VecDeque<Request>>,
    events: BTreeMap<(u64, Reverse<u64>), Event>,
    events_scheduled: u64,
    /// Whether each router has its part of the top-up; used by the even split.
    topped_up: Vec<bool>,
    tally: Tally,
}

fn budget(index: usize) -> Budget {
    format!("budget-{index}").into()
}

/// Returns the relative demand for a budget. The first two budgets have over half of it.
fn weight(index: usize) -> f64 {
    1.0 / (index as f64 + 1.0).powf(1.2)
}

/// Returns the mean spending of a budget, in tokens per second.
fn mean_rate(index: usize) -> f64 {
    let total: f64 = (0..BUDGETS).map(weight).sum();
    REQUESTS_PER_SECOND * weight(index) / total * 1_000.0
}

/// Returns the first deposit of a budget. Every third budget runs out after two thirds of the load.
fn first_deposit(index: usize) -> u64 {
    let fraction = if index % 3 == 1 { 0.65 } else { 2.0 };
    (mean_rate(index) * LOAD_SECONDS as f64 * fraction) as u64
}

fn encoded_len(value: &impl serde::Serialize) -> u64 {
    postcard::to_stdvec(value).map_or(0, |bytes| bytes.len() as u64)
}

impl Simulation {
    pub fn new(deployment: Deployment, policy: Policy, has_partition: bool) -> Self {
        let mut simulation = Self {
            deployment,
            policy,
            has_partition,
            rng: ChaCha8Rng::seed_from_u64(SEED),
            now: 0,
            machine: Machine::default(),
            holder_ledgers: Vec::new(),
            shares: Vec::new(),
            true_balances: (0..BUDGETS)
                .map(|index| TrueBalance {
                    prepaid: first_deposit(index),
                    ..TrueBalance::default()
                })
                .collect(),
            waiting: vec![VecDeque::new(); deployment.routers],
            events: BTreeMap::new(),
            events_scheduled: 0,
            topped_up: vec![false; deployment.routers],
            tally: Tally::default(),
        };
        simulation.set_up();
        simulation
    }

    fn set_up(&mut self) {
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
            self.holder_ledgers
                .push(HolderLedger::new(Holder::Router(RouterId {
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

    /// Returns the delay until a command has reached the leader and is committed by its quorum.
    fn commit_delay(&self) -> u64 {
        self.deployment.delay_micros * 2 + DISK_SYNC_MICROS
    }

    /// Whether a router is partitioned from the control quorum now. This affects those of the last
    /// data centre.
    fn is_partitioned(&self, router: usize) -> bool {
        let centre = router % self.deployment.centres;
        let second = self.now / 1_000_000;
        self.has_partition
            && centre + 1 == self.deployment.centres
            && PARTITION_SECONDS.contains(&second)
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.events_scheduled += 1;
        self.events
            .insert((self.now + delay, Reverse(self.events_scheduled)), event);
    }

    pub fn run(mut self) -> Tally {
        let load_end = LOAD_SECONDS * 1_000_000;
        let end = load_end + IDLE_SECONDS * 1_000_000;
        let arrival_chance = REQUESTS_PER_SECOND * TICK_MICROS as f64 / 1e6;
        while self.now < end {
            if self.now < load_end && self.rng.random::<f64>() < arrival_chance {
                self.arrive();
            }
            self.top_up();
            self.run_due_events();
            for router in 0..self.deployment.routers {
                self.serve(router);
                self.report(router);
            }
            self.now += TICK_MICROS;
        }
        self.tally
    }

    fn arrive(&mut self) {
        let total: f64 = (0..BUDGETS).map(weight).sum();
        let mut point = self.rng.random::<f64>() * total;
        let mut index = 0;
        while index + 1 < BUDGETS && point > weight(index) {
            point -= weight(index);
            index += 1;
        }
        let worst = self.rng.random_range(1_000..=MAX_REQUEST_TOKENS);
        let fraction = self.rng.random_range(0.2..0.6);
        let request = Request {
            budget: index,
            worst,
            used: (worst as f64 * fraction) as u64,
            arrived: self.now,
            run_time: self.rng.random_range(1_000_000..5_000_000),
        };
        self.tally.requests += 1;
        let router = self.rng.random_range(0..self.deployment.routers);
        if self.policy != Policy::Central {
            self.waiting[router].push_back(request);
            return;
        }
        if self.is_partitioned(router) {
            self.refuse(&request);
            return;
        }
        self.count_messages(2, 120);
        self.schedule(self.commit_delay(), Event::Checked(router, request));
    }

    /// Tops up the budgets that run out. With an even split, a partitioned router gets its part
    /// when the partition ends.
    fn top_up(&mut self) {
        if !self.has_partition || self.now < TOP_UP_SECOND * 1_000_000 {
            return;
        }
        let amount = |index: usize| first_deposit(index) / 2;
        let runs_out = (0..BUDGETS).filter(|index| index % 3 == 1);
        if self.now == TOP_UP_SECOND * 1_000_000 {
            for index in runs_out.clone() {
                self.true_balances[index].prepaid += amount(index);
                self.apply(Command::TopUp(TopUp {
                    id: budget(index).as_str().into(),
                    budget: budget(index),
                    amount: Tokens(amount(index)),
                }));
            }
        }
        for router in 0..self.deployment.routers {
            if self.topped_up[router] || self.is_partitioned(router) {
                continue;
            }
            self.topped_up[router] = true;
            for index in runs_out.clone() {
                self.shares[router][index] += amount(index) / self.deployment.routers as u64;
            }
        }
    }

    fn run_due_events(&mut self) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            match entry.remove() {
                Event::Draw(draw) => self.draw(draw),
                Event::Grants(router, grants) if !self.is_partitioned(router) => {
                    self.holder_ledgers[router].apply_grants(Millis(self.now / 1_000), grants);
                }
                Event::Grants(..) => {}
                Event::Checked(router, request) => self.check_centrally(router, request),
                Event::Finish(router, request, held) => self.finish(router, &request, held),
                Event::Bill(bill) => {
                    self.apply(Command::Bill(vec![bill]));
                }
            }
        }
    }

    fn draw(&mut self, draw: Draw) {
        let holder = draw.holder.clone();
        let router = self
            .holder_ledgers
            .iter()
            .position(|ledger| *ledger.holder() == holder);
        let reply = self.apply(Command::Draw(draw));
        self.count_messages(1, encoded_len(&reply));
        if let (Reply::Grants(grants), Some(router)) = (reply, router) {
            self.schedule(self.commit_delay(), Event::Grants(router, grants));
        }
    }

    fn check_centrally(&mut self, router: usize, request: Request) {
        if self.true_balances[request.budget].available() < request.worst {
            self.refuse(&request);
            return;
        }
        let reply_delay = self.commit_delay();
        self.start(router, request, None, reply_delay);
    }

    fn serve(&mut self, router: usize) {
        for _ in 0..self.waiting[router].len() {
            let Some(request) = self.waiting[router].pop_front() else {
                return;
            };
            match self.reserve(router, &request) {
                Ok(held) => self.start(router, request, held, 0),
                Err(ReserveError::Spent) => self.refuse(&request),
                Err(_) if self.now >= request.arrived + DEADLINE_MILLIS * 1_000 => {
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
        if self.policy == Policy::Adaptive {
            let now = self.millis();
            let budget = budget(request.budget);
            let held = self.holder_ledgers[router].reserve(now, &budget, Tokens(request.worst));
            return held.map(Some);
        }
        let share = &mut self.shares[router][request.budget];
        if *share < request.worst {
            return Err(ReserveError::Spent);
        }
        *share -= request.worst;
        Ok(None)
    }

    fn start(
        &mut self,
        router: usize,
        request: Request,
        held: Option<Reservation>,
        reply_delay: u64,
    ) {
        let balance = &mut self.true_balances[request.budget];
        balance.reserved += request.worst;
        let excess = (balance.spent + balance.reserved).saturating_sub(balance.prepaid);
        self.tally.overspend = self.tally.overspend.max(excess);
        self.tally
            .waits
            .push(self.now + reply_delay - request.arrived);
        let run_time = request.run_time;
        self.schedule(run_time, Event::Finish(router, request, held));
    }

    fn finish(&mut self, router: usize, request: &Request, held: Option<Reservation>) {
        let balance = &mut self.true_balances[request.budget];
        balance.reserved -= request.worst;
        balance.spent += request.used;
        match self.policy {
            Policy::Even => {
                self.shares[router][request.budget] += request.worst - request.used;
            }
            Policy::Central => {}
            Policy::Adaptive => {
                if let Some(held) = held {
                    self.holder_ledgers[router].settle(held, Tokens(request.used), Tokens(0));
                }
                self.bill(router, request);
            }
        }
    }

    /// Sends a bill to the ledger, from a partitioned router when the partition ends.
    fn bill(&mut self, router: usize, request: &Request) {
        let after_partition = (PARTITION_SECONDS.end * 1_000_000).saturating_sub(self.now);
        let delay = match self.is_partitioned(router) {
            true => after_partition,
            false => self.commit_delay(),
        };
        let bill = Bill {
            id: RequestId {
                workspace: "bench".into(),
                key: self.events_scheduled.to_string().into(),
            },
            body: Fingerprint::default(),
            budget: budget(request.budget),
            holder: self.holder_ledgers[router].holder().clone(),
            attempt: self.events_scheduled,
            prompt: Tokens(0),
            generated: Tokens(request.used),
        };
        self.schedule(delay, Event::Bill(bill));
    }

    fn refuse(&mut self, request: &Request) {
        let available = self.true_balances[request.budget].available();
        self.tally.refused += 1;
        self.tally.false_refusals += u64::from(available >= request.worst);
        let is_ample = request.budget % 3 != 1;
        self.tally.false_refusals_many += u64::from(available >= MANY_TOKENS);
        self.tally.false_refusals_ample += u64::from(available >= MANY_TOKENS && is_ample);
    }

    fn report(&mut self, router: usize) {
        if self.policy != Policy::Adaptive {
            return;
        }
        let now = self.millis();
        let Some(draw) = self.holder_ledgers[router].draw(now) else {
            return;
        };
        self.count_messages(1, encoded_len(&draw));
        if !self.is_partitioned(router) {
            self.schedule(self.commit_delay(), Event::Draw(draw));
        }
    }

    fn count_messages(&mut self, messages: u64, bytes: u64) {
        if self.now >= LOAD_SECONDS * 1_000_000 {
            self.tally.idle_bytes += bytes;
            return;
        }
        self.tally.messages += messages;
        self.tally.bytes += bytes;
    }
}
