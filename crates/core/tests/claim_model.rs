//! All states of a small specification of non-idempotent calls: none runs twice, and "not run" is
//! true.
//!
//! One call, which its caller sends up to three times, to two routers. Router `a` may be replaced
//! by a new incarnation at any time, while the old process acts on or is gone (it does nothing
//! more). Its claims and its conclusions that nothing was sent are lost, doubled, late and out of
//! order, other messages lost and late; a call that was sent may run at any later time. Left out:
//! agreement among the replicas, the horizon, other bodies, and two calls at once.
#![allow(clippy::panic, clippy::unwrap_used)]

mod state;

use std::hash::Hash;
use std::hash::Hasher;
use std::rc::Rc;

use chestnutnotch_core::command::CallEnd;
use chestnutnotch_core::command::Claim;
use chestnutnotch_core::command::ClaimReply;
use chestnutnotch_core::command::Command;
use chestnutnotch_core::command::Conclude;
use chestnutnotch_core::command::Recorded;
use chestnutnotch_core::command::Reply;
use chestnutnotch_core::id::Fingerprint;
use chestnutnotch_core::id::RouterId;
use chestnutnotch_core::machine::Fault;
use chestnutnotch_core::machine::Machine;

use state::search::Found;
use state::search::search;
use state::*;

/// Router and number of each try.
const TRIES: [(&str, u64); 3] = [("a", 1), ("a", 2), ("b", 1)];
const DELIVERIES: u8 = 2;

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Phase {
    New,
    Asked,
    Holds,
    Sent,
    /// The caller was told that it did not run.
    NotRun,
    /// The caller was told something else.
    Told,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Try {
    phase: Phase,
    /// The call is on its way and may run.
    in_flight: bool,
    ran: bool,
}

#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum Kind {
    Claim,
    NotRun,
    Answered,
    Unknown,
}

#[derive(Clone, Debug)]
struct World {
    machine: Rc<Machine>,
    tries: Vec<Try>,
    net: Vec<(usize, Kind, u8)>,
    mail: Vec<(usize, bool)>,
    via: String,
}

impl PartialEq for World {
    fn eq(&self, other: &Self) -> bool {
        self.tries == other.tries
            && self.net == other.net
            && self.mail == other.mail
            && self.machine.claims() == other.machine.claims()
            && self.machine.routers() == other.machine.routers()
    }
}

impl Eq for World {}

impl Hash for World {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.tries.hash(state);
        self.net.hash(state);
        self.mail.hash(state);
        self.machine.routers().hash(state);
    }
}

fn id(index: usize) -> RouterId {
    router(TRIES[index].0, 1)
}

fn command(index: usize, kind: Kind) -> Command {
    let end = match kind {
        Kind::Claim => {
            return Command::Claim(Claim {
                id: request("k"),
                body: Fingerprint::of("one pair of skis"),
                service: "desk".into(),
                router: id(index),
                nonce: TRIES[index].1,
            });
        }
        Kind::NotRun => CallEnd::NotRun,
        Kind::Unknown => CallEnd::Unknown,
        Kind::Answered => CallEnd::Answered(Recorded {
            status: 201,
            kind: "text/plain".into(),
            body: b"done".as_slice().into(),
        }),
    };
    Command::Conclude(Conclude {
        id: request("k"),
        router: id(index),
        nonce: TRIES[index].1,
        end,
    })
}

impl World {
    fn new(fault: Option<Fault>) -> Self {
        let mut machine = fault.map_or_else(Machine::default, Machine::with_fault);
        apply(&mut machine, join("a", 1));
        apply(&mut machine, join("b", 1));
        let this = Try {
            phase: Phase::New,
            in_flight: false,
            ran: false,
        };
        Self {
            machine: Rc::new(machine),
            tries: vec![this; TRIES.len()],
            net: Vec::new(),
            mail: Vec::new(),
            via: "start".into(),
        }
    }

    fn is_broken(&self) -> bool {
        let runs = self.tries.iter().filter(|this| this.ran).count();
        let lied = |this: &Try| this.phase == Phase::NotRun && (this.ran || this.in_flight);
        runs > 1 || self.tries.iter().any(lied) || self.is_stuck()
    }

    /// Whether a claim is held for a try that has ended, with no message left to end it.
    fn is_stuck(&self) -> bool {
        let has_ended = |this: &Try| this.phase == Phase::NotRun || this.phase == Phase::New;
        if !self.net.is_empty() || !self.tries.iter().all(has_ended) {
            return false;
        }
        let mut machine = (*self.machine).clone();
        let Command::Claim(mut claim) = command(2, Kind::Claim) else {
            return false;
        };
        claim.nonce = 9;
        apply(&mut machine, Command::Claim(claim)) == Reply::Claim(ClaimReply::Running)
    }

    fn next(&self) -> Vec<Self> {
        let mut next = Vec::new();
        for index in 0..TRIES.len() {
            self.act(index, &mut next);
        }
        for (at, (index, kind, _)) in self.net.iter().enumerate() {
            next.push(self.with(format!("deliver {index} {kind:?}"), |world| {
                world.deliver(at);
            }));
        }
        for (at, (index, granted)) in self.mail.iter().enumerate() {
            next.push(self.with(format!("answer {index} {granted}"), |world| {
                world.mail.remove(at);
                world.hear(*index, *granted);
            }));
        }
        if self.tries.iter().any(|this| this.phase != Phase::New) && self.is_open() {
            next.push(self.with("replace a", |world| {
                apply(Rc::make_mut(&mut world.machine), join("a", 2));
            }));
        }
        next
    }

    fn is_open(&self) -> bool {
        let routers = self.machine.routers();
        routers.iter().any(|(router, _)| *router == id(0))
    }

    fn with(&self, via: impl Into<String>, change: impl FnOnce(&mut Self)) -> Self {
        let mut world = self.clone();
        world.via = via.into();
        change(&mut world);
        world
    }

    fn act(&self, index: usize, next: &mut Vec<Self>) {
        let this = &self.tries[index];
        let mut to = |phase: Phase, kind: Option<Kind>, in_flight: bool| {
            next.push(self.with(format!("{index} {phase:?}"), |world| {
                world.tries[index].phase = phase;
                world.tries[index].in_flight = in_flight;
                world.send(index, kind);
            }));
        };
        let flies = this.in_flight;
        match this.phase {
            Phase::New => to(Phase::Asked, Some(Kind::Claim), false),
            Phase::Asked => to(Phase::NotRun, Some(Kind::NotRun), false),
            Phase::Holds => {
                to(Phase::NotRun, Some(Kind::NotRun), false);
                to(Phase::Sent, None, true);
            }
            Phase::Sent if this.ran => {
                to(Phase::Told, Some(Kind::Answered), false);
                to(Phase::Told, Some(Kind::Unknown), false);
            }
            Phase::Sent => to(Phase::Told, Some(Kind::Unknown), flies),
            _ => {}
        }
        if flies {
            next.push(self.with(format!("{index} runs"), |world| {
                world.tries[index].in_flight = false;
                world.tries[index].ran = true;
            }));
        }
    }

    fn send(&mut self, index: usize, kind: Option<Kind>) {
        if let Some(kind) = kind {
            let deliveries = match kind {
                Kind::Claim | Kind::NotRun if TRIES[index].0 == "a" => DELIVERIES,
                _ => 1,
            };
            self.net.push((index, kind, deliveries));
            self.net.sort();
        }
    }

    fn deliver(&mut self, at: usize) {
        let (index, kind, left) = &mut self.net[at];
        let (index, kind) = (*index, *kind);
        *left -= 1;
        self.net.retain(|(_, _, left)| *left > 0);
        let reply = apply(Rc::make_mut(&mut self.machine), command(index, kind));
        if kind == Kind::Claim {
            let granted = reply == Reply::Claim(ClaimReply::Granted);
            self.mail.push((index, granted));
            self.mail.sort();
        }
    }

    fn hear(&mut self, index: usize, granted: bool) {
        let this = &mut self.tries[index];
        if this.phase != Phase::Asked {
            return;
        }
        this.phase = if granted { Phase::Holds } else { Phase::Told };
    }
}

fn run(fault: Option<Fault>) -> Found<World> {
    let found = search(&World::new(fault), World::next, World::is_broken);
    let length = found.path.as_ref().map(Vec::len);
    println!(
        "{fault:?}: {} states, broken after {length:?}",
        found.states
    );
    for world in found.path.iter().flatten() {
        println!("  {}", world.via);
    }
    found
}

fn breaks(fault: Fault) {
    assert!(run(Some(fault)).path.is_some());
}

cases! {
    no_call_runs_twice: assert!(run(None).path.is_none());
    granting_a_running_claim_is_found: breaks(Fault::ClaimRunning);
    granting_a_concluded_claim_is_found: breaks(Fault::ClaimConcluded);
    concluding_another_try_is_found: breaks(Fault::ConcludeAny);
    releasing_a_closed_claim_is_found: breaks(Fault::ReleaseClosed);
}
