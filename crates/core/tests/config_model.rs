//! Model check of publishing over all states of a small system: no submission takes effect twice,
//! each resent submission gets its first answer, and no router goes back to an older revision.
//!
//! Two operators publish on the same revision; the loser retries on the revision that it is told.
//! Submissions are duplicated, delayed and reordered. Three routers follow the configuration: one
//! from the leader, one from a lagging replica, and one from that replica that restarts. Consensus
//! among the replicas and budgets are left out.
#![allow(clippy::panic, clippy::unwrap_used)]

mod state;

use std::hash::Hash;
use std::hash::Hasher;
use std::rc::Rc;
use std::sync::Arc;

use chestnutnotch_core::command::Command;
use chestnutnotch_core::command::Refusal;
use chestnutnotch_core::command::Reply;
use chestnutnotch_core::config::Accepted;
use chestnutnotch_core::config::ConfigFollower;
use chestnutnotch_core::config::Document;
use chestnutnotch_core::config::ModelSpec;
use chestnutnotch_core::config::Source;
use chestnutnotch_core::machine::Fault;
use chestnutnotch_core::machine::Machine;
use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::unit::Revision;
use chestnutnotch_core::unit::Tokens;

use state::search::Found;
use state::search::search;
use state::*;

/// Times that each submission is delivered.
const DELIVERIES: u8 = 2;

/// One submission of each operator, and one retry each after a conflict.
const MAX_SUBMISSIONS: usize = 4;

/// A submission in the network.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Submission {
    base: Revision,
    /// Deliveries left.
    deliveries: u8,
    /// Text of the first answer; a reply itself is not hashable.
    answer: Option<String>,
}

/// A state of the system.
#[derive(Clone, Debug)]
struct World {
    machine: Rc<Machine>,
    submissions: Vec<Option<Submission>>,
    /// Configuration that the lagging replica has applied.
    lagging: Arc<Accepted>,
    followers: Vec<ConfigFollower>,
    /// State of a follower that has just started.
    initial: ConfigFollower,
    /// Highest revision that was in force at each router in any of its runs.
    highest: [Revision; 3],
    restarts: u8,
    /// Whether a checked property was violated.
    is_broken: bool,
    /// Step that led to this state; not part of its identity.
    step: String,
}

impl PartialEq for World {
    fn eq(&self, other: &Self) -> bool {
        self.submissions == other.submissions
            && self.lagging == other.lagging
            && self.followers == other.followers
            && self.highest == other.highest
            && self.restarts == other.restarts
            && self.is_broken == other.is_broken
            && self.machine.config() == other.machine.config()
    }
}

impl Eq for World {}

impl Hash for World {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.submissions.hash(state);
        (self.lagging.revision, self.restarts).hash(state);
        for follower in &self.followers {
            follower.revision().hash(state);
        }
        self.highest.hash(state);
    }
}

/// Returns the configuration of a submission, which differs from that of all others.
fn distinct_document(index: usize) -> Document {
    let mut document = Document::default();
    document.models.push(ModelSpec {
        name: "fit".into(),
        limit: Tokens(index as u64 + 1),
        priority: 0,
        first: Millis(1_000),
        between: Millis(1_000),
        whole: Millis(1_000),
    });
    document
}

fn submit(index: usize, base: Revision) -> Command {
    publish(&index.to_string(), base.0, distinct_document(index))
}

impl World {
    fn new(fault: Option<Fault>) -> Self {
        let machine = fault.map_or_else(Machine::default, Machine::with_fault);
        let follower = fault.map_or_else(ConfigFollower::default, ConfigFollower::with_fault);
        let mut submissions = vec![None; MAX_SUBMISSIONS];
        for first in &mut submissions[..2] {
            *first = Some(Submission::new(Revision(0)));
        }
        Self {
            lagging: Arc::new(machine.accepted().clone()),
            machine: Rc::new(machine),
            submissions,
            initial: follower.clone(),
            followers: vec![follower; 3],
            highest: [Revision(0); 3],
            restarts: 0,
            is_broken: false,
            step: "start".into(),
        }
    }

    /// Returns the state after a named step.
    fn with(&self, step: impl Into<String>, change: impl FnOnce(&mut Self)) -> Self {
        let mut world = self.clone();
        world.step = step.into();
        change(&mut world);
        world
    }

    /// Returns all states that one step leads to.
    fn next(&self) -> Vec<Self> {
        let mut next = Vec::new();
        for (index, submission) in self.submissions.iter().enumerate() {
            if submission.as_ref().is_some_and(|this| this.deliveries > 0) {
                next.push(self.with(format!("deliver {index}"), |world| world.deliver(index)));
            }
        }
        let accepted = Arc::new(self.machine.accepted().clone());
        if self.lagging != accepted {
            next.push(self.with("catch up", |world| world.lagging = accepted.clone()));
        }
        let lagging = &self.lagging;
        next.push(self.with("leader tells 0", |world| {
            world.offer(0, &accepted, Source::Confirmed);
        }));
        for router in [1, 2] {
            next.push(self.with(format!("replica tells {router}"), |world| {
                world.offer(router, lagging, Source::Replica);
            }));
            next.push(self.with(format!("quorum tells {router}"), |world| {
                world.offer(router, &accepted, Source::Confirmed);
            }));
        }
        if self.restarts < 2 {
            next.push(self.with("restart 2", |world| {
                world.restarts += 1;
                world.followers[2] = world.initial.clone();
            }));
        }
        next
    }

    fn deliver(&mut self, index: usize) {
        let Some(submission) = &mut self.submissions[index] else {
            return;
        };
        submission.deliveries -= 1;
        let base = submission.base;
        let reply = apply(Rc::make_mut(&mut self.machine), submit(index, base));
        let text = format!("{reply:?}");
        let first = submission.answer.get_or_insert_with(|| text.clone());
        self.is_broken |= *first != text;
        if let Reply::Accepted(revision) = reply {
            self.is_broken |= revision != base.next();
        }
        if let Reply::Refused(Refusal::Conflict { current, .. }) = reply {
            let retry = self.submissions.get_mut(index + 2);
            if let Some(retry @ None) = retry {
                *retry = Some(Submission::new(current));
            }
        }
        self.is_broken |= self.has_repeats();
    }

    /// Returns whether a submission took effect more than once.
    fn has_repeats(&self) -> bool {
        let config = self.machine.config();
        let mut seen = Vec::new();
        for entry in config.history() {
            let document = config.document(entry.revision);
            if seen.contains(&document) {
                return true;
            }
            seen.push(document);
        }
        false
    }

    fn offer(&mut self, router: usize, accepted: &Arc<Accepted>, source: Source) {
        let follower = &mut self.followers[router];
        if !follower.offer(accepted, source) {
            return;
        }
        let revision = follower.revision();
        self.is_broken |= revision < self.highest[router];
        self.highest[router] = self.highest[router].max(revision);
    }
}

impl Submission {
    fn new(base: Revision) -> Self {
        Self {
            base,
            deliveries: DELIVERIES,
            answer: None,
        }
    }
}

/// Searches all states for a violation and prints the steps to the first one.
fn explore(fault: Option<Fault>) -> Found<World> {
    let found = search(&World::new(fault), World::next, |world| world.is_broken);
    let length = found.path.as_ref().map(Vec::len);
    println!(
        "{fault:?}: {} states, broken after {length:?}",
        found.states
    );
    for world in found.path.iter().flatten() {
        println!("  {}", world.step);
    }
    found
}

/// Checks that the search finds a deliberate fault.
fn finds_violation(fault: Fault) {
    assert!(explore(Some(fault)).path.is_some());
}

cases! {
    no_router_goes_back: assert!(explore(None).path.is_none());
    publishing_on_any_base_is_found: finds_violation(Fault::AnyBase);
    forgetting_submissions_is_found: finds_violation(Fault::ForgetSubmission);
    taking_an_older_revision_is_found: finds_violation(Fault::OlderRevision);
    starting_unconfirmed_is_found: finds_violation(Fault::UnconfirmedStart);
}
