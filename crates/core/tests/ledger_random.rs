//! Long random schedules of budgets over the real machine and purses, and decoding of snapshots.
#![allow(clippy::panic, clippy::unwrap_used)]

mod state;

use bolero::check;
use chestnutnotch_core::command::Bill;
use chestnutnotch_core::command::Billed;
use chestnutnotch_core::command::Command;
use chestnutnotch_core::command::Draw;
use chestnutnotch_core::command::Grant;
use chestnutnotch_core::command::Reply;
use chestnutnotch_core::id::Holder;
use chestnutnotch_core::ledger::HolderLedger;
use chestnutnotch_core::ledger::Reservation;
use chestnutnotch_core::machine::Fault;
use chestnutnotch_core::machine::Machine;
use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::unit::Tokens;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use state::*;

const PREPAID: u64 = 150_000;
const SCHEDULES: usize = 300;
const FAULT_SCHEDULES: u64 = 1_000;
const STEPS: usize = 600;

/// One step: what, who, how much.
type Step = (u8, u8, u8);

/// A router process, current or replaced; a replaced one may still act.
struct Process {
    purse: HolderLedger,
    held: Vec<Reservation>,
}

struct World {
    machine: Machine,
    fault: Option<Fault>,
    processes: Vec<Process>,
    net: Vec<Command>,
    mail: Vec<(usize, Vec<Grant>)>,
    spools: [Vec<Bill>; 3],
    /// Closed holders that each replica has heard of.
    heard: [Vec<Holder>; 3],
    produced: u64,
    bills: u64,
    now: u64,
}

impl World {
    fn new(fault: Option<Fault>) -> Self {
        let mut machine = fault.map_or_else(Machine::default, Machine::with_fault);
        found(&mut machine, PREPAID);
        let mut world = Self {
            machine,
            fault,
            processes: Vec::new(),
            net: Vec::new(),
            mail: Vec::new(),
            spools: [const { Vec::new() }; 3],
            heard: [const { Vec::new() }; 3],
            produced: 0,
            bills: 0,
            now: 0,
        };
        for host in 0..3 {
            world.join(host);
        }
        world
    }

    fn join(&mut self, host: u8) {
        let nonce = self.processes.len() as u64;
        let purse = purse(&mut self.machine, &host.to_string(), nonce);
        let purse = match self.fault {
            Some(fault) => HolderLedger::with_fault(purse.holder().clone(), fault),
            None => purse,
        };
        let held = Vec::new();
        self.processes.push(Process { purse, held });
    }

    fn step(&mut self, (what, who, much): Step) {
        let index = usize::from(who) % self.processes.len();
        let replica = usize::from(who) % 3;
        match what % 24 {
            0..=4 => self.start(index, 1_000 * (1 + u64::from(much) % 30)),
            5 => self.finish(index, much, true, true),
            6 => self.finish(index, much, true, false),
            7 => self.finish(index, much, false, true),
            8 => self.spool(index, replica, much),
            9..=13 => self.ask(index),
            14 | 15 => self.deliver(much),
            16 | 17 => self.answer(much),
            18 if much < 24 => self.join(who % 3),
            19 if much < 16 => self.leave(index),
            20 => (0..6).for_each(|step| self.hear((replica + step) % 3, much)),
            21 => self.submit(replica),
            22 if much < 32 => self.top_up(who),
            _ => self.now += u64::from(much) * 300,
        }
    }

    fn start(&mut self, index: usize, worst: u64) {
        let process = &mut self.processes[index];
        let now = Millis(self.now);
        if let Ok(held) = process.purse.reserve(now, &budget(), Tokens(worst)) {
            process.held.push(held);
            self.produced += worst;
        }
    }

    fn take(&mut self, index: usize, which: u8) -> Option<Reservation> {
        let held = &mut self.processes[index].held;
        let count = held.len();
        (count > 0).then(|| held.remove(usize::from(which) % count))
    }

    /// Ends an attempt after a part of its worst case, with or without a bill.
    fn finish(&mut self, index: usize, which: u8, is_billed: bool, has_run: bool) {
        let Some(held) = self.take(index, which) else {
            return;
        };
        let worst = held.amount().0;
        let used = Tokens(if has_run { worst / 2 } else { 0 });
        self.produced -= worst - used.0;
        if !is_billed || !has_run {
            self.processes[index].purse.release(held, used);
            return;
        }
        let bill = Command::Bill(vec![self.bill(index, used.0)]);
        self.net.push(bill.clone());
        let reply = apply(&mut self.machine, bill);
        // A refused bill keeps its reservation for good.
        if reply != Reply::Billed(vec![Billed::Closed]) {
            let purse = &mut self.processes[index].purse;
            purse.settle(held, used, Tokens(0));
        }
    }

    /// A bill; each third one is of a request that had one.
    fn bill(&mut self, index: usize, used: u64) -> Bill {
        self.bills += 1;
        let holder = self.processes[index].purse.holder().clone();
        let request = self.bills - self.bills / 3;
        bill(&holder, &request.to_string(), self.bills, used)
    }

    fn spool(&mut self, index: usize, replica: usize, which: u8) {
        let holder = self.processes[index].purse.holder().clone();
        if self.heard[replica].contains(&holder) {
            return;
        }
        let Some(held) = self.take(index, which) else {
            return;
        };
        let used = held.amount();
        let bill = self.bill(index, used.0);
        self.spools[replica].push(bill);
        self.processes[index].purse.settle(held, used, Tokens(0));
    }

    fn ask(&mut self, index: usize) {
        if let Some(draw) = self.processes[index].purse.draw(Millis(self.now)) {
            self.net.push(Command::Draw(draw));
        }
    }

    /// Delivers a message; half of them stay on the way and come again, and again.
    fn deliver(&mut self, which: u8) {
        let Some(at) = pick(self.net.len(), which) else {
            return;
        };
        let command = self.net[at].clone();
        if which.is_multiple_of(2) || self.net.len() > 40 {
            self.net.remove(at);
        }
        let reply = apply(&mut self.machine, command.clone());
        let (Command::Draw(draw), Reply::Grants(grants)) = (command, reply) else {
            return;
        };
        let to = self.process(&draw);
        self.mail.push((to, grants));
    }

    fn process(&self, draw: &Draw) -> usize {
        let mut holders = self.processes.iter();
        holders
            .position(|this| *this.purse.holder() == draw.holder)
            .unwrap()
    }

    fn answer(&mut self, which: u8) {
        let Some(at) = pick(self.mail.len(), which) else {
            return;
        };
        let (to, grants) = self.mail[at].clone();
        if which.is_multiple_of(2) || self.mail.len() > 40 {
            self.mail.remove(at);
        }
        self.processes[to]
            .purse
            .apply_grants(Millis(self.now), grants);
    }

    fn leave(&mut self, index: usize) {
        let leave = self.processes[index].purse.leave();
        self.net.push(Command::Leave(leave));
    }

    /// A replica hears of a closed holder and seals it once its bills are in.
    fn hear(&mut self, replica: usize, which: u8) {
        let id = REPLICAS[replica];
        let holders = self.machine.unsealed(id);
        let Some(at) = pick(holders.len(), which) else {
            return;
        };
        let holder = holders[at].clone();
        if !self.heard[replica].contains(&holder) {
            self.heard[replica].push(holder);
            return;
        }
        let is_held = self.spools[replica]
            .iter()
            .any(|bill| bill.holder == holder);
        if !is_held {
            apply(&mut self.machine, seal(id, &holder));
        }
    }

    fn submit(&mut self, replica: usize) {
        let bills = std::mem::take(&mut self.spools[replica]);
        apply(&mut self.machine, Command::Bill(bills));
    }

    fn top_up(&mut self, who: u8) {
        apply(&mut self.machine, top_up(&(who % 4).to_string(), 5_000));
    }

    /// Tokens that open holders may still spend, with those that nobody holds.
    fn spendable(&self, unallotted: Tokens) -> u64 {
        let purses = self.processes.iter().map(|process| &process.purse);
        let open = purses.filter(|purse| self.machine.ledger().is_open(purse.holder()));
        let free: Tokens = open.map(|purse| purse.free(&budget())).sum();
        (free + unallotted).0
    }

    fn is_broken(&self) -> bool {
        let held = self.machine.ledger().balance(&budget()).unwrap();
        self.produced + self.spendable(held.unallotted) > held.prepaid.0
            || held.over > Tokens(0)
            || !self.machine.ledger().is_conserved()
            || held.bills > self.bills
            || held.prepaid > Tokens(PREPAID + 4 * 5_000)
    }
}

fn pick(count: usize, which: u8) -> Option<usize> {
    (count > 0).then(|| usize::from(which) / 2 % count)
}

fn breaks_within(steps: impl IntoIterator<Item = Step>, fault: Option<Fault>) -> bool {
    let mut world = World::new(fault);
    steps.into_iter().any(|step| {
        world.step(step);
        world.is_broken()
    })
}

fn keeps_budget() {
    let steps = bolero::generator::produce::<Vec<Step>>()
        .with()
        .len(0..STEPS);
    check!()
        .with_iterations(SCHEDULES)
        .with_max_len(8 * STEPS)
        .with_generator(steps)
        .for_each(|steps| assert!(!breaks_within(steps.iter().copied(), None)));
}

/// A schedule of its own seed breaks the promise under the fault.
fn finds(fault: Fault) {
    let broken = (0..FAULT_SCHEDULES).find(|seed| {
        let mut rng = ChaCha8Rng::seed_from_u64(*seed);
        let steps = (0..STEPS).map(|_| rng.random::<Step>());
        breaks_within(steps.collect::<Vec<_>>(), Some(fault))
    });
    println!("{fault:?}: found with seed {broken:?}");
    assert!(broken.is_some());
}

fn holds_seeds() {
    for seed in 0..FAULT_SCHEDULES {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let steps = (0..STEPS).map(|_| rng.random::<Step>());
        assert!(
            !breaks_within(steps.collect::<Vec<_>>(), None),
            "seed {seed}"
        );
    }
}

fn decodes_any_bytes() {
    check!().for_each(|bytes: &[u8]| {
        let _ = postcard::from_bytes::<Machine>(bytes);
    });
}

fn decodes_damaged_snapshots() {
    let mut machine = machine(PREPAID);
    let mut purse = purse(&mut machine, "0", 1);
    assert!(purse.reserve(Millis(0), &budget(), Tokens(10)).is_err());
    exchange(&mut machine, &mut purse, 0);
    apply(
        &mut machine,
        Command::Bill(vec![bill(purse.holder(), "a", 1, 5)]),
    );
    let whole = postcard::to_stdvec(&machine).unwrap();
    check!().with_type::<(u16, u8)>().for_each(|(at, byte)| {
        let mut bytes = whole.clone();
        let at = usize::from(*at) % bytes.len();
        bytes[at] = *byte;
        let _ = postcard::from_bytes::<Machine>(&bytes);
        let _ = postcard::from_bytes::<Machine>(&bytes[..at]);
    });
}

cases! {
    random_schedules_keep_the_budget: keeps_budget();
    seeded_schedules_keep_the_budget: holds_seeds();
    an_old_report_is_found: finds(Fault::OldReport);
    an_early_release_is_found: finds(Fault::FreeUnsealed);
    any_bytes_are_decoded_or_refused: decodes_any_bytes();
    damaged_snapshots_are_decoded_or_refused: decodes_damaged_snapshots();
}
