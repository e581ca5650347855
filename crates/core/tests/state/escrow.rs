//! A small model of budgets over the real machine and the holders' ledgers.
//!
//! It has two routers and one budget. Router `a` runs attempts of given sizes and may crash, leave
//! or be retired while it still runs. Router `b` asks once for all tokens that no holder has and
//! spends them, so that each token that was freed wrongly is spent twice. Messages are lost,
//! duplicated, delayed and reordered. Two control replicas store bills on their own disks; a
//! replica that doesn't know yet that a holder was closed accepts more of its bills.
//!
//! Not modelled: agreement among the replicas (a command takes effect at one instant), the loss of
//! a control disk, several budgets, and time (each report comes 310 s after the last one).

use std::hash::Hash;
use std::hash::Hasher;
use std::rc::Rc;

use chestnutnotch_core::command::Bill;
use chestnutnotch_core::command::Billed;
use chestnutnotch_core::command::Command;
use chestnutnotch_core::command::Grant;
use chestnutnotch_core::command::Reply;
use chestnutnotch_core::command::Resolve;
use chestnutnotch_core::id::Holder;
use chestnutnotch_core::ledger::HolderLedger;
use chestnutnotch_core::ledger::Reservation;
use chestnutnotch_core::machine::Fault;
use chestnutnotch_core::machine::Machine;
use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::unit::Tokens;

use super::*;

const REPORT_PERIOD_MILLIS: u64 = 310_000;

/// Bounds of a search.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// First deposit.
    pub prepaid: u64,
    /// Sizes of router `a`'s attempts, in tokens.
    pub sizes: &'static [u64],
    /// Sizes of router `b`'s attempts before the one that takes all tokens left. Its first attempt
    /// is at the same request as the first of `a`.
    pub b_sizes: &'static [u64],
    /// Number of reports that each router makes.
    pub reports: u64,
    /// Most deliveries of each message.
    pub deliveries: u8,
    /// Tokens added by a top-up, none if zero.
    pub top_up: u64,
    /// Ways in which router `a` may end.
    pub ends: &'static [End],
    /// Outcomes that an attempt may have.
    pub outcomes: &'static [Outcome],
    /// Whether the first report of each router was answered before the search starts.
    pub pre_granted: bool,
    /// Whether router `b` reports, is answered and spends in one event.
    pub probe: bool,
}

/// How router `a` ends.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum End {
    /// Its memory is lost, and a new process joins.
    Crash,
    /// It is retired and keeps running.
    Retire,
    /// It stops in order, with a final report.
    Leave,
}

/// Outcome of an attempt.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Outcome {
    /// Its bill is sent to the quorum.
    Billed,
    /// Its bill is stored by one control replica.
    Spooled,
    /// It produced its tokens and has no bill.
    Wasted,
    /// It produced nothing.
    NotRun,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Phase {
    Waiting,
    Running(Reservation),
    /// A bill is on its way to the quorum.
    Sent(Reservation),
    /// The bill is safe, and the router may learn so.
    Safe(Reservation),
    Done,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Attempt {
    size: u64,
    phase: Phase,
}

#[derive(Clone, Debug, Eq, PartialEq)]
struct Router {
    holder_ledger: Rc<HolderLedger>,
    attempts: Vec<Attempt>,
    reports: u64,
    is_alive: bool,
}

#[derive(Clone, Debug, Eq, PartialEq)]
struct Message {
    /// Sender and number. Bills have the router plus 2, the leave 4 and the top-up 9 as sender.
    label: (usize, u64),
    command: Rc<Command>,
    deliveries_left: u8,
}

/// State of the model.
#[derive(Clone, Debug)]
pub struct Model {
    machine: Rc<Machine>,
    routers: Vec<Router>,
    /// Messages on their way to the machine.
    requests: Vec<Message>,
    /// Answers on their way to a router, with the number of the report.
    answers: Vec<(usize, u64, Rc<Vec<Grant>>)>,
    /// Bills that each replica has stored and not submitted.
    spools: [Vec<Bill>; 2],
    /// Whether each replica knows that `a` was closed.
    knows_closed: [bool; 2],
    /// Tokens that upstreams produced or may still produce.
    produced: u64,
    is_resolved: bool,
    /// The event that led to this state.
    pub event: String,
}

impl PartialEq for Model {
    fn eq(&self, other: &Self) -> bool {
        self.produced == other.produced
            && self.knows_closed == other.knows_closed
            && self.is_resolved == other.is_resolved
            && self.routers == other.routers
            && self.requests == other.requests
            && self.answers == other.answers
            && self.spools == other.spools
            && self.machine.ledger() == other.machine.ledger()
            && self.machine.routers() == other.machine.routers()
    }
}

impl Eq for Model {}

impl Hash for Model {
    fn hash<H: Hasher>(&self, state: &mut H) {
        let balance = self.machine.ledger().balance(&budget()).unwrap();
        [balance.prepaid, balance.unallotted, balance.billed].hash(state);
        [balance.wasted, balance.unknown].hash(state);
        self.produced.hash(state);
        self.knows_closed.hash(state);
        for router in &self.routers {
            router.attempts.hash(state);
            (router.reports, router.is_alive).hash(state);
            router.holder_ledger.free(&budget()).hash(state);
        }
        for message in &self.requests {
            (message.label, message.deliveries_left).hash(state);
        }
        for (to, seq, _) in &self.answers {
            (to, seq).hash(state);
        }
        self.spools.iter().for_each(|bills| bills.len().hash(state));
    }
}

const A: usize = 0;
const B: usize = 1;
const VOTERS: [ReplicaId; 2] = [REPLICAS[0], REPLICAS[1]];

impl Model {
    pub fn new(bounds: Bounds, fault: Option<Fault>) -> Self {
        let mut machine = fault.map_or_else(Machine::default, Machine::with_fault);
        publish_first(&mut machine, bounds.prepaid);
        let routers = [("a", bounds.sizes), ("b", bounds.b_sizes)]
            .map(|(host, sizes)| Router::new(join_holder(&mut machine, host, 1), sizes, fault))
            .to_vec();
        let mut model = Self {
            machine: Rc::new(machine),
            routers,
            requests: Vec::new(),
            answers: Vec::new(),
            spools: [Vec::new(), Vec::new()],
            knows_closed: [false; 2],
            produced: 0,
            is_resolved: false,
            event: String::from("start"),
        };
        model.routers[B].attempts.push(Attempt {
            size: 0,
            phase: Phase::Waiting,
        });
        if bounds.top_up > 0 {
            model.send(bounds, (9, 0), top_up("may", bounds.top_up));
        }
        if bounds.pre_granted {
            model = model.grant_first(bounds);
        }
        model
    }

    fn grant_first(self, bounds: Bounds) -> Self {
        let routers: &[usize] = if bounds.probe { &[A] } else { &[A, B] };
        routers.iter().fold(self, |model, router| {
            let reported = model.start(*router, 0);
            let reported = reported.and_then(|model| model.report(bounds, *router));
            reported.unwrap().with_answer(*router)
        })
    }

    /// Returns the state after the last report of a router was delivered and answered. Further
    /// deliveries of it stay in flight.
    fn with_answer(mut self, router: usize) -> Self {
        let label = (router, self.routers[router].reports);
        let at = self
            .requests
            .iter()
            .position(|message| message.label == label);
        let message = self.requests[at.unwrap()].clone();
        self.requests[at.unwrap()].deliveries_left -= 1;
        self.requests.retain(|message| message.deliveries_left > 0);
        self.apply_message(&message);
        let at = self.answers.iter().rposition(|(to, ..)| *to == router);
        let (_, _, grants) = self.answers.remove(at.unwrap());
        let now = Millis(self.routers[router].reports * REPORT_PERIOD_MILLIS);
        self.holder_ledger(router)
            .apply_grants(now, grants.iter().cloned());
        self
    }

    /// Lets router `b` draw all tokens that no holder has and spend them.
    fn probe(&self, bounds: Bounds) -> Option<Self> {
        if self.routers[B].attempts[0].phase != Phase::Waiting {
            return None;
        }
        let reported = self.start(B, 0)?.report(bounds, B)?;
        let mut model = reported.with_answer(B).start(B, 0)?;
        model.requests.retain(|message| message.label.0 != B);
        model.event = "probe".into();
        Some(model)
    }

    /// Returns the number of requests that have a bill or may have one.
    fn billed_requests(&self) -> u64 {
        let mut keys = Vec::new();
        for (router, state) in self.routers.iter().enumerate() {
            for (index, attempt) in state.attempts.iter().enumerate() {
                if !matches!(attempt.phase, Phase::Waiting | Phase::Running(_)) {
                    keys.push(self.bill(router, index).id);
                }
            }
        }
        keys.sort();
        keys.dedup();
        keys.len() as u64
    }

    /// Whether all tokens that were produced must have been billed; false unless all attempts are.
    fn is_quiet(&self, bounds: Bounds) -> bool {
        let mut attempts = self.routers.iter().flat_map(|router| &router.attempts);
        let is_settled = |phase: &Phase| matches!(phase, Phase::Waiting | Phase::Done);
        bounds.outcomes == [Outcome::Billed]
            && bounds.ends.is_empty()
            && attempts.all(|attempt| is_settled(&attempt.phase))
    }

    /// Whether a token is spent twice or missing, or a request is billed twice.
    pub fn violates_invariant(&self, bounds: Bounds) -> bool {
        let balance = self.machine.ledger().balance(&budget()).unwrap();
        let deposits = bounds.prepaid + bounds.top_up;
        let accounted = (balance.billed + balance.wasted).0;
        (self.is_quiet(bounds) && accounted != self.produced)
            || self.produced > balance.prepaid.0
            || balance.prepaid.0 > deposits
            || balance.billed + balance.wasted > balance.prepaid
            || balance.bills > self.billed_requests()
            || !self.machine.ledger().is_conserved()
            || (balance.over > Tokens(0) && !self.is_resolved)
    }

    pub fn next(&self, bounds: Bounds) -> Vec<Self> {
        let mut next = Vec::new();
        if self.routers[A].is_alive {
            self.router_steps(bounds, A, &mut next);
        }
        match bounds.probe {
            true => next.extend(self.probe(bounds)),
            false => self.router_steps(bounds, B, &mut next),
        }
        self.end_router(bounds, &mut next);
        self.deliver(&mut next);
        for replica in 0..2 {
            self.replica_steps(replica, &mut next);
        }
        self.resolve(&mut next);
        next
    }

    fn with(&self, event: impl Into<String>, change: impl FnOnce(&mut Self)) -> Self {
        let mut model = self.clone();
        model.event = event.into();
        change(&mut model);
        model
    }

    fn apply(&mut self, command: Command) -> Reply {
        apply(Rc::make_mut(&mut self.machine), command)
    }

    fn holder_ledger(&mut self, router: usize) -> &mut HolderLedger {
        Rc::make_mut(&mut self.routers[router].holder_ledger)
    }

    fn send(&mut self, bounds: Bounds, label: (usize, u64), command: Command) {
        self.requests.push(Message {
            label,
            command: Rc::new(command),
            deliveries_left: bounds.deliveries,
        });
        self.requests.sort_by_key(|message| message.label);
    }

    fn holder(&self, router: usize) -> Holder {
        self.routers[router].holder_ledger.holder().clone()
    }

    fn bill(&self, router: usize, attempt: usize) -> Bill {
        let size = self.routers[router].attempts[attempt].size;
        let key = match (router, attempt) {
            (B, 0) => "a0".into(),
            (A, _) => format!("a{attempt}"),
            _ => format!("b{attempt}"),
        };
        bill(&self.holder(router), &key, attempt as u64, size)
    }

    fn router_steps(&self, bounds: Bounds, router: usize, next: &mut Vec<Self>) {
        let state = &self.routers[router];
        let is_waiting = |attempt: &Attempt| attempt.phase == Phase::Waiting;
        if let Some(first) = state.attempts.iter().position(is_waiting) {
            next.extend(self.start(router, first));
        }
        if state.reports < bounds.reports {
            next.extend(self.report(bounds, router));
        }
        for (index, attempt) in state.attempts.iter().enumerate() {
            match &attempt.phase {
                Phase::Running(held) => self.finish(bounds, router, index, held, next),
                Phase::Sent(held) if bounds.outcomes.contains(&Outcome::Spooled) => {
                    self.spool(router, index, held, next);
                }
                Phase::Safe(held) => next.push(self.with(format!("settle {router}"), |model| {
                    let size = Tokens(attempt.size);
                    model
                        .holder_ledger(router)
                        .settle(held.clone(), size, Tokens(0));
                    model.routers[router].attempts[index].phase = Phase::Done;
                })),
                _ => {}
            }
        }
    }

    fn start(&self, router: usize, index: usize) -> Option<Self> {
        let now = Millis(self.routers[router].reports * REPORT_PERIOD_MILLIS);
        let mut model = self.with(format!("start {router}"), |_| {});
        if self.routers[router].attempts[index].size == 0 {
            let free = self.routers[router].holder_ledger.free(&budget());
            let balance = self.machine.ledger().balance(&budget())?;
            model.routers[router].attempts[index].size = (balance.unallotted + free).0;
        }
        let size = model.routers[router].attempts[index].size;
        if size == 0 {
            return None;
        }
        if let Ok(held) = model
            .holder_ledger(router)
            .reserve(now, &budget(), Tokens(size))
        {
            model.routers[router].attempts[index].phase = Phase::Running(held);
            model.produced += size;
        }
        Some(model)
    }

    fn report(&self, bounds: Bounds, router: usize) -> Option<Self> {
        let mut model = self.with(format!("ask {router}"), |_| {});
        let reports = model.routers[router].reports + 1;
        let draw = model
            .holder_ledger(router)
            .draw(Millis(reports * REPORT_PERIOD_MILLIS))?;
        model.routers[router].reports = reports;
        model.send(bounds, (router, reports), Command::Draw(draw));
        Some(model)
    }

    fn finish(
        &self,
        bounds: Bounds,
        router: usize,
        index: usize,
        held: &Reservation,
        next: &mut Vec<Self>,
    ) {
        let size = held.amount();
        for outcome in bounds.outcomes {
            match outcome {
                Outcome::Billed => next.push(self.with(format!("bill {router}"), |model| {
                    let label = (router + 2, index as u64);
                    model.send(bounds, label, Command::Bill(vec![self.bill(router, index)]));
                    model.routers[router].attempts[index].phase = Phase::Sent(held.clone());
                })),
                Outcome::Spooled => self.spool(router, index, held, next),
                Outcome::Wasted => next.push(self.with(format!("waste {router}"), |model| {
                    model.holder_ledger(router).release(held.clone(), size);
                    model.routers[router].attempts[index].phase = Phase::Done;
                })),
                Outcome::NotRun => next.push(self.with(format!("not run {router}"), |model| {
                    model.holder_ledger(router).release(held.clone(), Tokens(0));
                    model.produced -= size.0;
                    model.routers[router].attempts[index].phase = Phase::Done;
                })),
            }
        }
    }

    fn spool(&self, router: usize, index: usize, held: &Reservation, next: &mut Vec<Self>) {
        for replica in 0..2 {
            if router == A && self.knows_closed[replica] {
                continue;
            }
            next.push(self.with(format!("spool {router} at {replica}"), |model| {
                model.spools[replica].push(self.bill(router, index));
                model.routers[router].attempts[index].phase = Phase::Safe(held.clone());
            }));
        }
    }

    fn end_router(&self, bounds: Bounds, next: &mut Vec<Self>) {
        let is_open = self.machine.ledger().is_open(&self.holder(A));
        if !is_open || !self.routers[A].is_alive {
            return;
        }
        for end in bounds.ends {
            next.push(self.with(format!("{end:?}"), |model| match end {
                End::Crash => {
                    model.routers[A].is_alive = false;
                    model.apply(join("a", 2));
                }
                End::Retire => {
                    model.apply(retire("a"));
                }
                End::Leave => {
                    model.routers[A].is_alive = false;
                    let leave = Command::Leave(model.holder_ledger(A).leave());
                    model.send(bounds, (4, 0), leave);
                }
            }));
        }
    }

    fn deliver(&self, next: &mut Vec<Self>) {
        for (index, message) in self.requests.iter().enumerate() {
            next.push(self.with(format!("deliver {:?}", message.label), |model| {
                model.requests[index].deliveries_left -= 1;
                if model.requests[index].deliveries_left == 0 {
                    model.requests.remove(index);
                }
                model.apply_message(message);
            }));
        }
        for (index, (router, _, grants)) in self.answers.iter().enumerate() {
            if !self.routers[*router].is_alive {
                continue;
            }
            next.push(self.with(format!("answer to {router}"), |model| {
                model.answers.remove(index);
                let now = Millis(model.routers[*router].reports * REPORT_PERIOD_MILLIS);
                model
                    .holder_ledger(*router)
                    .apply_grants(now, grants.iter().cloned());
            }));
        }
    }

    fn apply_message(&mut self, message: &Message) {
        let (from, number) = message.label;
        match self.apply((*message.command).clone()) {
            Reply::Grants(grants) => {
                self.answers.push((from, number, Rc::new(grants)));
                self.answers.sort_by_key(|(to, seq, _)| (*to, *seq));
            }
            Reply::Billed(billed) if billed != [Billed::Closed] => {
                let attempt = &mut self.routers[from - 2].attempts[number as usize];
                if let Phase::Sent(held) = &attempt.phase {
                    attempt.phase = Phase::Safe(held.clone());
                }
            }
            _ => {}
        }
    }

    fn replica_steps(&self, replica: usize, next: &mut Vec<Self>) {
        let holder = self.holder(A);
        let id = REPLICAS[replica];
        if !self.spools[replica].is_empty() {
            next.push(self.with(format!("submit {replica}"), |model| {
                let bill = model.spools[replica].remove(0);
                model.apply(Command::Bill(vec![bill]));
            }));
        }
        if !self.machine.unsealed(id).contains(&holder) {
            return;
        }
        if !self.knows_closed[replica] {
            next.push(self.with(format!("hear {replica}"), |model| {
                model.knows_closed[replica] = true;
            }));
            return;
        }
        let has_bills = self.spools[replica]
            .iter()
            .any(|bill| bill.holder == holder);
        if !has_bills {
            next.push(self.with(format!("seal {replica}"), |model| {
                let Command::Seal(mut seal) = seal(id, &holder) else {
                    return;
                };
                seal.voters = VOTERS.to_vec();
                model.apply(Command::Seal(seal));
            }));
        }
    }

    /// Submits true evidence on a crashed router whose bills are all submitted, before `b` acts.
    fn resolve(&self, next: &mut Vec<Self>) {
        let holder = self.holder(A);
        let is_sealed = VOTERS
            .iter()
            .all(|id| !self.machine.unsealed(*id).contains(&holder));
        let is_closed = !self.machine.ledger().is_open(&holder);
        let is_quiet = self.routers[B].reports == 0 && !self.routers[A].is_alive;
        if !is_sealed || !is_closed || !is_quiet || self.is_resolved {
            return;
        }
        next.push(self.with("resolve", |model| {
            let balance = model.machine.ledger().balance(&budget()).unwrap();
            let produced = Tokens(model.produced).saturating_sub(balance.billed + balance.wasted);
            model.is_resolved = true;
            model.apply(Command::Resolve(Resolve {
                id: "found".into(),
                holder,
                budget: budget(),
                produced,
            }));
        }));
    }
}

impl Router {
    fn new(holder_ledger: HolderLedger, sizes: &[u64], fault: Option<Fault>) -> Self {
        let holder = holder_ledger.holder().clone();
        let holder_ledger = match fault {
            Some(fault) => HolderLedger::with_fault(holder, fault),
            None => holder_ledger,
        };
        let attempts = sizes.iter().map(|size| Attempt {
            size: *size,
            phase: Phase::Waiting,
        });
        Self {
            holder_ledger: Rc::new(holder_ledger),
            attempts: attempts.collect(),
            reports: 0,
            is_alive: true,
        }
    }
}
