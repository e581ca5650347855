//! A small specification of budgets over the real machine and purses.
//!
//! Two routers and one budget. Router `a` runs attempts of given sizes, may crash, leave or be
//! replaced while it still acts. Router `b` once asks for all that nobody holds and spends it, so
//! that each token that was freed wrongly is spent twice. Messages are lost, doubled, late and out
//! of order. Two control replicas keep bills on their own disks; one that has not heard that a
//! holder was closed goes on keeping its bills.
//!
//! Left out: agreement among the replicas (a command takes effect at one instant), the loss of a
//! control disk, several budgets, and time (each report comes 310 s after the last one).

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

const STEP_MILLIS: u64 = 310_000;

/// What a search covers.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub prepaid: u64,
    /// Attempts of router `a`.
    pub sizes: &'static [u64],
    /// Attempts of router `b` before the one that takes all; its first is of the same request as
    /// the first of `a`.
    pub others: &'static [u64],
    /// Reports of each router.
    pub asks: u64,
    /// Deliveries of each message.
    pub deliveries: u8,
    /// Tokens added, by a message of its own.
    pub top_up: u64,
    /// How router `a` may end.
    pub ends: &'static [End],
    /// What may become of an attempt.
    pub fates: &'static [Fate],
    /// Whether the first report of each router has been answered at the start.
    pub primed: bool,
    /// Whether router `b` asks, is answered and spends in one event.
    pub probe: bool,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum End {
    /// Its memory is lost; a new process joins.
    Crash,
    /// It is retired, and goes on.
    Retire,
    /// It stops in order.
    Leave,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Fate {
    Billed,
    Spooled,
    Wasted,
    NotRun,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Phase {
    Waiting,
    Running(Reservation),
    /// A bill is on its way to the quorum.
    Sent(Reservation),
    /// The bill is safe, and the router may hear of it.
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
    purse: Rc<HolderLedger>,
    attempts: Vec<Attempt>,
    asks: u64,
    is_alive: bool,
}

#[derive(Clone, Debug, Eq, PartialEq)]
struct Message {
    label: (usize, u64),
    command: Rc<Command>,
    left: u8,
}

#[derive(Clone, Debug)]
pub struct World {
    machine: Rc<Machine>,
    routers: Vec<Router>,
    net: Vec<Message>,
    mail: Vec<(usize, u64, Rc<Vec<Grant>>)>,
    spools: [Vec<Bill>; 2],
    /// Whether each replica has heard that `a` was closed.
    heard: [bool; 2],
    /// Tokens that upstreams produced or may still produce.
    produced: u64,
    is_resolved: bool,
    /// The event that led here.
    pub via: String,
}

impl PartialEq for World {
    fn eq(&self, other: &Self) -> bool {
        self.produced == other.produced
            && self.heard == other.heard
            && self.is_resolved == other.is_resolved
            && self.routers == other.routers
            && self.net == other.net
            && self.mail == other.mail
            && self.spools == other.spools
            && self.machine.ledger() == other.machine.ledger()
            && self.machine.routers() == other.machine.routers()
    }
}

impl Eq for World {}

impl Hash for World {
    fn hash<H: Hasher>(&self, state: &mut H) {
        let held = self.machine.ledger().balance(&budget()).unwrap();
        [held.prepaid, held.unallotted, held.billed].hash(state);
        [held.wasted, held.unknown].hash(state);
        self.produced.hash(state);
        self.heard.hash(state);
        for router in &self.routers {
            router.attempts.hash(state);
            (router.asks, router.is_alive).hash(state);
            router.purse.free(&budget()).hash(state);
        }
        for message in &self.net {
            (message.label, message.left).hash(state);
        }
        for (to, seq, _) in &self.mail {
            (to, seq).hash(state);
        }
        self.spools.iter().for_each(|bills| bills.len().hash(state));
    }
}

const A: usize = 0;
const B: usize = 1;
const VOTERS: [ReplicaId; 2] = [REPLICAS[0], REPLICAS[1]];

impl World {
    pub fn new(bounds: Bounds, fault: Option<Fault>) -> Self {
        let mut machine = fault.map_or_else(Machine::default, Machine::with_fault);
        found(&mut machine, bounds.prepaid);
        let routers = [("a", bounds.sizes), ("b", bounds.others)]
            .map(|(host, sizes)| Router::new(purse(&mut machine, host, 1), sizes, fault))
            .to_vec();
        let mut world = Self {
            machine: Rc::new(machine),
            routers,
            net: Vec::new(),
            mail: Vec::new(),
            spools: [Vec::new(), Vec::new()],
            heard: [false; 2],
            produced: 0,
            is_resolved: false,
            via: String::from("start"),
        };
        world.routers[B].attempts.push(Attempt {
            size: 0,
            phase: Phase::Waiting,
        });
        if bounds.top_up > 0 {
            world.send(bounds, (9, 0), top_up("may", bounds.top_up));
        }
        if bounds.primed {
            world = world.prime(bounds);
        }
        world
    }

    fn prime(self, bounds: Bounds) -> Self {
        let routers: &[usize] = if bounds.probe { &[A] } else { &[A, B] };
        routers.iter().fold(self, |world, router| {
            let asked = world.start(*router, 0);
            let asked = asked.and_then(|world| world.ask(bounds, *router));
            asked.unwrap().answered(*router)
        })
    }

    /// The same with the last report of a router delivered and answered; it may come again.
    fn answered(mut self, router: usize) -> Self {
        let label = (router, self.routers[router].asks);
        let at = self.net.iter().position(|message| message.label == label);
        let message = self.net[at.unwrap()].clone();
        self.net[at.unwrap()].left -= 1;
        self.net.retain(|message| message.left > 0);
        self.take(&message);
        let at = self.mail.iter().rposition(|(to, ..)| *to == router);
        let (_, _, grants) = self.mail.remove(at.unwrap());
        let now = Millis(self.routers[router].asks * STEP_MILLIS);
        self.purse(router).apply_grants(now, grants.iter().cloned());
        self
    }

    /// Router `b` takes all that nobody holds and spends it.
    fn probe(&self, bounds: Bounds) -> Option<Self> {
        if self.routers[B].attempts[0].phase != Phase::Waiting {
            return None;
        }
        let asked = self.start(B, 0)?.ask(bounds, B)?;
        let mut world = asked.answered(B).start(B, 0)?;
        world.net.retain(|message| message.label.0 != B);
        world.via = "probe".into();
        Some(world)
    }

    /// Number of requests that have a bill or may have one.
    fn requests(&self) -> u64 {
        let mut keys = Vec::new();
        for (router, this) in self.routers.iter().enumerate() {
            for (index, attempt) in this.attempts.iter().enumerate() {
                if !matches!(attempt.phase, Phase::Waiting | Phase::Running(_)) {
                    keys.push(self.bill(router, index).id);
                }
            }
        }
        keys.sort();
        keys.dedup();
        keys.len() as u64
    }

    /// Whether all that was produced has been reported; only where each attempt is billed.
    fn is_quiet(&self, bounds: Bounds) -> bool {
        let mut attempts = self.routers.iter().flat_map(|router| &router.attempts);
        let is_settled = |phase: &Phase| matches!(phase, Phase::Waiting | Phase::Done);
        bounds.fates == [Fate::Billed]
            && bounds.ends.is_empty()
            && attempts.all(|attempt| is_settled(&attempt.phase))
    }

    /// Whether a promise is broken here.
    pub fn is_broken(&self, bounds: Bounds) -> bool {
        let held = self.machine.ledger().balance(&budget()).unwrap();
        let deposits = bounds.prepaid + bounds.top_up;
        let accounted = (held.billed + held.wasted).0;
        (self.is_quiet(bounds) && accounted != self.produced)
            || self.produced > held.prepaid.0
            || held.prepaid.0 > deposits
            || held.billed + held.wasted > held.prepaid
            || held.bills > self.requests()
            || !self.machine.ledger().is_conserved()
            || (held.over > Tokens(0) && !self.is_resolved)
    }

    pub fn next(&self, bounds: Bounds) -> Vec<Self> {
        let mut next = Vec::new();
        if self.routers[A].is_alive {
            self.act(bounds, A, &mut next);
        }
        match bounds.probe {
            true => next.extend(self.probe(bounds)),
            false => self.act(bounds, B, &mut next),
        }
        self.end(bounds, &mut next);
        self.deliver(&mut next);
        for replica in 0..2 {
            self.keep(replica, &mut next);
        }
        self.resolve(&mut next);
        next
    }

    fn with(&self, via: impl Into<String>, change: impl FnOnce(&mut Self)) -> Self {
        let mut world = self.clone();
        world.via = via.into();
        change(&mut world);
        world
    }

    fn apply(&mut self, command: Command) -> Reply {
        apply(Rc::make_mut(&mut self.machine), command)
    }

    fn purse(&mut self, router: usize) -> &mut HolderLedger {
        Rc::make_mut(&mut self.routers[router].purse)
    }

    fn send(&mut self, bounds: Bounds, label: (usize, u64), command: Command) {
        self.net.push(Message {
            label,
            command: Rc::new(command),
            left: bounds.deliveries,
        });
        self.net.sort_by_key(|message| message.label);
    }

    fn holder(&self, router: usize) -> Holder {
        self.routers[router].purse.holder().clone()
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

    fn act(&self, bounds: Bounds, router: usize, next: &mut Vec<Self>) {
        let this = &self.routers[router];
        let waiting = |attempt: &Attempt| attempt.phase == Phase::Waiting;
        if let Some(first) = this.attempts.iter().position(waiting) {
            next.extend(self.start(router, first));
        }
        if this.asks < bounds.asks {
            next.extend(self.ask(bounds, router));
        }
        for (index, attempt) in this.attempts.iter().enumerate() {
            match &attempt.phase {
                Phase::Running(held) => self.finish(bounds, router, index, held, next),
                Phase::Sent(held) if bounds.fates.contains(&Fate::Spooled) => {
                    self.spool(router, index, held, next);
                }
                Phase::Safe(held) => next.push(self.with(format!("settle {router}"), |world| {
                    let size = Tokens(attempt.size);
                    world.purse(router).settle(held.clone(), size, Tokens(0));
                    world.routers[router].attempts[index].phase = Phase::Done;
                })),
                _ => {}
            }
        }
    }

    fn start(&self, router: usize, index: usize) -> Option<Self> {
        let now = Millis(self.routers[router].asks * STEP_MILLIS);
        let mut world = self.with(format!("start {router}"), |_| {});
        if self.routers[router].attempts[index].size == 0 {
            let free = self.routers[router].purse.free(&budget());
            let held = self.machine.ledger().balance(&budget())?;
            world.routers[router].attempts[index].size = (held.unallotted + free).0;
        }
        let size = world.routers[router].attempts[index].size;
        if size == 0 {
            return None;
        }
        if let Ok(held) = world.purse(router).reserve(now, &budget(), Tokens(size)) {
            world.routers[router].attempts[index].phase = Phase::Running(held);
            world.produced += size;
        }
        Some(world)
    }

    fn ask(&self, bounds: Bounds, router: usize) -> Option<Self> {
        let mut world = self.with(format!("ask {router}"), |_| {});
        let asks = world.routers[router].asks + 1;
        let draw = world.purse(router).draw(Millis(asks * STEP_MILLIS))?;
        world.routers[router].asks = asks;
        world.send(bounds, (router, asks), Command::Draw(draw));
        Some(world)
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
        for fate in bounds.fates {
            match fate {
                Fate::Billed => next.push(self.with(format!("bill {router}"), |world| {
                    let label = (router + 2, index as u64);
                    world.send(bounds, label, Command::Bill(vec![self.bill(router, index)]));
                    world.routers[router].attempts[index].phase = Phase::Sent(held.clone());
                })),
                Fate::Spooled => self.spool(router, index, held, next),
                Fate::Wasted => next.push(self.with(format!("waste {router}"), |world| {
                    world.purse(router).release(held.clone(), size);
                    world.routers[router].attempts[index].phase = Phase::Done;
                })),
                Fate::NotRun => next.push(self.with(format!("not run {router}"), |world| {
                    world.purse(router).release(held.clone(), Tokens(0));
                    world.produced -= size.0;
                    world.routers[router].attempts[index].phase = Phase::Done;
                })),
            }
        }
    }

    fn spool(&self, router: usize, index: usize, held: &Reservation, next: &mut Vec<Self>) {
        for replica in 0..2 {
            if router == A && self.heard[replica] {
                continue;
            }
            next.push(self.with(format!("spool {router} at {replica}"), |world| {
                world.spools[replica].push(self.bill(router, index));
                world.routers[router].attempts[index].phase = Phase::Safe(held.clone());
            }));
        }
    }

    fn end(&self, bounds: Bounds, next: &mut Vec<Self>) {
        let is_open = self.machine.ledger().is_open(&self.holder(A));
        if !is_open || !self.routers[A].is_alive {
            return;
        }
        for end in bounds.ends {
            next.push(self.with(format!("{end:?}"), |world| match end {
                End::Crash => {
                    world.routers[A].is_alive = false;
                    world.apply(join("a", 2));
                }
                End::Retire => {
                    world.apply(retire("a"));
                }
                End::Leave => {
                    world.routers[A].is_alive = false;
                    let leave = Command::Leave(world.purse(A).leave());
                    world.send(bounds, (4, 0), leave);
                }
            }));
        }
    }

    fn deliver(&self, next: &mut Vec<Self>) {
        for (index, message) in self.net.iter().enumerate() {
            next.push(self.with(format!("deliver {:?}", message.label), |world| {
                world.net[index].left -= 1;
                if world.net[index].left == 0 {
                    world.net.remove(index);
                }
                world.take(message);
            }));
        }
        for (index, (router, _, grants)) in self.mail.iter().enumerate() {
            if !self.routers[*router].is_alive {
                continue;
            }
            next.push(self.with(format!("answer to {router}"), |world| {
                world.mail.remove(index);
                let now = Millis(world.routers[*router].asks * STEP_MILLIS);
                world
                    .purse(*router)
                    .apply_grants(now, grants.iter().cloned());
            }));
        }
    }

    fn take(&mut self, message: &Message) {
        let (from, number) = message.label;
        match self.apply((*message.command).clone()) {
            Reply::Grants(grants) => {
                self.mail.push((from, number, Rc::new(grants)));
                self.mail.sort_by_key(|(to, seq, _)| (*to, *seq));
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

    fn keep(&self, replica: usize, next: &mut Vec<Self>) {
        let holder = self.holder(A);
        let id = REPLICAS[replica];
        if !self.spools[replica].is_empty() {
            next.push(self.with(format!("submit {replica}"), |world| {
                let bill = world.spools[replica].remove(0);
                world.apply(Command::Bill(vec![bill]));
            }));
        }
        if !self.machine.unsealed(id).contains(&holder) {
            return;
        }
        if !self.heard[replica] {
            next.push(self.with(format!("hear {replica}"), |world| {
                world.heard[replica] = true;
            }));
            return;
        }
        let is_held = self.spools[replica]
            .iter()
            .any(|bill| bill.holder == holder);
        if !is_held {
            next.push(self.with(format!("seal {replica}"), |world| {
                let Command::Seal(mut seal) = seal(id, &holder) else {
                    return;
                };
                seal.voters = VOTERS.to_vec();
                world.apply(Command::Seal(seal));
            }));
        }
    }

    /// True evidence on a crashed router whose bills are all in, before `b` acts.
    fn resolve(&self, next: &mut Vec<Self>) {
        let holder = self.holder(A);
        let is_sealed = VOTERS
            .iter()
            .all(|id| !self.machine.unsealed(*id).contains(&holder));
        let is_closed = !self.machine.ledger().is_open(&holder);
        let is_quiet = self.routers[B].asks == 0 && !self.routers[A].is_alive;
        if !is_sealed || !is_closed || !is_quiet || self.is_resolved {
            return;
        }
        next.push(self.with("resolve", |world| {
            let held = world.machine.ledger().balance(&budget()).unwrap();
            let produced = Tokens(world.produced).saturating_sub(held.billed + held.wasted);
            world.is_resolved = true;
            world.apply(Command::Resolve(Resolve {
                id: "found".into(),
                holder,
                budget: budget(),
                produced,
            }));
        }));
    }
}

impl Router {
    fn new(purse: HolderLedger, sizes: &[u64], fault: Option<Fault>) -> Self {
        let holder = purse.holder().clone();
        let purse = match fault {
            Some(fault) => HolderLedger::with_fault(holder, fault),
            None => purse,
        };
        let attempts = sizes.iter().map(|size| Attempt {
            size: *size,
            phase: Phase::Waiting,
        });
        Self {
            purse: Rc::new(purse),
            attempts: attempts.collect(),
            asks: 0,
            is_alive: true,
        }
    }
}
