//! Model check of non-idempotent calls: no call runs twice, and a call that was reported as not run
//! didn't run, in any reachable state of a small model.
//!
//! The model has one call, which its caller sends up to three times, to two routers. Router `a` may
//! be replaced by a new incarnation at any time, while the old process keeps running or is gone.
//! Its claims and its conclusions that nothing was sent are lost, duplicated, delayed and
//! reordered; other messages are lost and delayed. A call that was sent may run at any later time.
//! Not modelled: agreement among the replicas, retention, other bodies, and two calls at once.
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

/// Router and number of each attempt.
const ATTEMPTS: [(&str, u64); 3] = [("a", 1), ("a", 2), ("b", 1)];
const DELIVERIES: u8 = 2;

/// State of an attempt at its router.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Phase {
    New,
    Claimed,
    Holds,
    Sent,
    /// The router told the caller that the call did not run.
    NotRun,
    /// The router told the caller something else.
    Reported,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Attempt {
    phase: Phase,
    /// The call was sent and may still run.
    in_flight: bool,
    ran: bool,
}

/// Kind of a message to the machine.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum Kind {
    Claim,
    NotRun,
    Answered,
    Unknown,
}

#[derive(Clone, Debug)]
struct Model {
    machine: Rc<Machine>,
    attempts: Vec<Attempt>,
    /// Messages on their way to the machine, by attempt, with the deliveries left.
    requests: Vec<(usize, Kind, u8)>,
    /// Replies on their way to a router, by attempt: whether the claim was granted.
    replies: Vec<(usize, bool)>,
    /// The event that led to this state.
    event: String,
}

impl PartialEq for Model {
    fn eq(&self, other: &Self) -> bool {
        self.attempts == other.attempts
            && self.requests == other.requests
            && self.replies == other.replies
            && self.machine.claims() == other.machine.claims()
            && self.machine.routers() == other.machine.routers()
    }
}

impl Eq for Model {}

impl Hash for Model {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.attempts.hash(state);
        self.requests.hash(state);
        self.replies.hash(state);
        self.machine.routers().hash(state);
    }
}

fn router_id(index: usize) -> RouterId {
    router(ATTEMPTS[index].0, 1)
}

fn command(index: usize, kind: Kind) -> Command {
    let end = match kind {
        Kind::Claim => {
            return Command::Claim(Claim {
                id: request("k"),
                body: Fingerprint::of("one pair of skis"),
                service: "desk".into(),
                router: router_id(index),
                nonce: ATTEMPTS[index].1,
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
        router: router_id(index),
        nonce: ATTEMPTS[index].1,
        end,
    })
}

impl Model {
    fn new(fault: Option<Fault>) -> Self {
        let mut machine = fault.map_or_else(Machine::default, Machine::with_fault);
        apply(&mut machine, join("a", 1));
        apply(&mut machine, join("b", 1));
        let attempt = Attempt {
            phase: Phase::New,
            in_flight: false,
            ran: false,
        };
        Self {
            machine: Rc::new(machine),
            attempts: vec![attempt; ATTEMPTS.len()],
            requests: Vec::new(),
            replies: Vec::new(),
            event: "start".into(),
        }
    }

    fn violates_invariant(&self) -> bool {
        let runs = self.attempts.iter().filter(|attempt| attempt.ran).count();
        let is_false = |attempt: &Attempt| {
            attempt.phase == Phase::NotRun && (attempt.ran || attempt.in_flight)
        };
        runs > 1 || self.attempts.iter().any(is_false) || self.is_stuck()
    }

    /// Whether a claim is still held although all attempts have ended or not begun and no message
    /// that could release it is in flight.
    fn is_stuck(&self) -> bool {
        let has_ended =
            |attempt: &Attempt| attempt.phase == Phase::NotRun || attempt.phase == Phase::New;
        if !self.requests.is_empty() || !self.attempts.iter().all(has_ended) {
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
        for index in 0..ATTEMPTS.len() {
            self.attempt_steps(index, &mut next);
        }
        for (at, (index, kind, _)) in self.requests.iter().enumerate() {
            next.push(self.with(format!("deliver {index} {kind:?}"), |model| {
                model.deliver(at);
            }));
        }
        for (at, (index, granted)) in self.replies.iter().enumerate() {
            next.push(self.with(format!("answer {index} {granted}"), |model| {
                model.replies.remove(at);
                model.apply_reply(*index, *granted);
            }));
        }
        if self
            .attempts
            .iter()
            .any(|attempt| attempt.phase != Phase::New)
            && self.is_open()
        {
            next.push(self.with("replace a", |model| {
                apply(Rc::make_mut(&mut model.machine), join("a", 2));
            }));
        }
        next
    }

    fn is_open(&self) -> bool {
        let routers = self.machine.routers();
        routers.iter().any(|(router, _)| *router == router_id(0))
    }

    fn with(&self, event: impl Into<String>, change: impl FnOnce(&mut Self)) -> Self {
        let mut model = self.clone();
        model.event = event.into();
        change(&mut model);
        model
    }

    fn attempt_steps(&self, index: usize, next: &mut Vec<Self>) {
        let attempt = &self.attempts[index];
        let mut advance = |phase: Phase, kind: Option<Kind>, in_flight: bool| {
            next.push(self.with(format!("{index} {phase:?}"), |model| {
                model.attempts[index].phase = phase;
                model.attempts[index].in_flight = in_flight;
                model.send(index, kind);
            }));
        };
        let in_flight = attempt.in_flight;
        match attempt.phase {
            Phase::New => advance(Phase::Claimed, Some(Kind::Claim), false),
            Phase::Claimed => advance(Phase::NotRun, Some(Kind::NotRun), false),
            Phase::Holds => {
                advance(Phase::NotRun, Some(Kind::NotRun), false);
                advance(Phase::Sent, None, true);
            }
            Phase::Sent if attempt.ran => {
                advance(Phase::Reported, Some(Kind::Answered), false);
                advance(Phase::Reported, Some(Kind::Unknown), false);
            }
            Phase::Sent => advance(Phase::Reported, Some(Kind::Unknown), in_flight),
            _ => {}
        }
        if in_flight {
            next.push(self.with(format!("{index} runs"), |model| {
                model.attempts[index].in_flight = false;
                model.attempts[index].ran = true;
            }));
        }
    }

    fn send(&mut self, index: usize, kind: Option<Kind>) {
        if let Some(kind) = kind {
            let deliveries = match kind {
                Kind::Claim | Kind::NotRun if ATTEMPTS[index].0 == "a" => DELIVERIES,
                _ => 1,
            };
            self.requests.push((index, kind, deliveries));
            self.requests.sort();
        }
    }

    fn deliver(&mut self, at: usize) {
        let (index, kind, deliveries_left) = &mut self.requests[at];
        let (index, kind) = (*index, *kind);
        *deliveries_left -= 1;
        self.requests
            .retain(|(_, _, deliveries_left)| *deliveries_left > 0);
        let reply = apply(Rc::make_mut(&mut self.machine), command(index, kind));
        if kind == Kind::Claim {
            let granted = reply == Reply::Claim(ClaimReply::Granted);
            self.replies.push((index, granted));
            self.replies.sort();
        }
    }

    fn apply_reply(&mut self, index: usize, granted: bool) {
        let attempt = &mut self.attempts[index];
        if attempt.phase != Phase::Claimed {
            return;
        }
        attempt.phase = if granted {
            Phase::Holds
        } else {
            Phase::Reported
        };
    }
}

fn run(fault: Option<Fault>) -> Found<Model> {
    let result = search(&Model::new(fault), Model::next, Model::violates_invariant);
    let length = result.path.as_ref().map(Vec::len);
    println!(
        "{fault:?}: {} states, broken after {length:?}",
        result.states
    );
    for model in result.path.iter().flatten() {
        println!("  {}", model.event);
    }
    result
}

fn detects(fault: Fault) {
    assert!(run(Some(fault)).path.is_some());
}

cases! {
    no_call_runs_twice: assert!(run(None).path.is_none());
    granting_a_running_claim_is_found: detects(Fault::ClaimRunning);
    granting_a_concluded_claim_is_found: detects(Fault::ClaimConcluded);
    concluding_another_try_is_found: detects(Fault::ConcludeAny);
    releasing_a_closed_claim_is_found: detects(Fault::ReleaseClosed);
}
