//! Exhaustive search: two order givers race for one upstream, with the real state machine.
//!
//! Time goes in ticks. The quorum's clock may run a tick ahead, so a lease may end early there. A
//! request, its reply and an order may each be delayed; a process may be frozen between the check of
//! its lease and the moment its order takes effect, up to a bound. The search begins while the first
//! giver holds the lease and has read the upstream's state.

use chestnutnotch_core::id::DataCentre;
use chestnutnotch_core::id::Host;
use chestnutnotch_core::id::RouterId;
use chestnutnotch_core::id::Upstream;
use chestnutnotch_core::order::Giver;
use chestnutnotch_core::order::GiverRules;
use chestnutnotch_core::order::Leave;
use chestnutnotch_core::unit::Fence;
use chestnutnotch_core::unit::Incarnation;
use chestnutnotch_core::unit::Millis;
use pathfinding::directed::bfs::bfs;
use pathfinding::directed::bfs::bfs_reach;

const BEGIN: u64 = 8;
const END: u64 = 15;
const DRIFT: u64 = 1;
const FLIGHT: u64 = 2;
const START: Incarnation = Incarnation(1);

const RULES: GiverRules = GiverRules {
    span: Millis(4),
    margin: Millis(DRIFT),
    flight: Millis(FLIGHT),
    reading: true,
};

/// What is searched: the rules of the givers, and what the world does.
#[derive(Clone, Copy)]
struct Trial {
    rules: GiverRules,
    fences: bool,
    freeze: u64,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct State {
    now: u64,
    givers: [Giver; 2],
    asked: [Option<u64>; 2],
    replies: [Option<(u64, Fence)>; 2],
    orders: [Option<(u64, Leave)>; 2],
    lease: Option<(usize, Fence, u64)>,
    read: Option<Fence>,
    last: Fence,
    undone: bool,
    surprised: bool,
}

impl State {
    fn new(rules: GiverRules) -> Self {
        let giver = |name: &str| {
            let router = RouterId {
                host: Host::from(name),
                incarnation: Incarnation(1),
            };
            Giver::new(rules, DataCentre::from("a"), router)
        };
        let mut first = giver("r1");
        let upstream = Upstream::from("w1");
        first.granted(Millis(0), Millis(0), Fence(1));
        first.lead(Millis(BEGIN));
        first.granted(Millis(BEGIN), Millis(BEGIN), Fence(1));
        first.read(Millis(BEGIN), &upstream, START);
        Self {
            now: BEGIN,
            givers: [first, giver("r2")],
            asked: [None; 2],
            replies: [None; 2],
            orders: [None; 2],
            lease: Some((0, Fence(1), BEGIN + RULES.span.0)),
            read: Some(Fence(1)),
            last: Fence::ZERO,
            undone: false,
            surprised: false,
        }
    }

    fn successors(&self, trial: Trial) -> Vec<Self> {
        let mut all = Vec::new();
        all.extend(self.tick(trial));
        for who in 0..2 {
            all.extend(self.ask(who));
            all.extend(self.grant(who));
            all.extend(self.reply(who));
            all.extend(self.check(who, trial));
            all.extend(self.act(who, trial));
            all.extend(self.read(who, trial));
        }
        all
    }

    /// Time passes, unless an order would stay under way for longer than the world's bound.
    fn tick(&self, trial: Trial) -> Option<Self> {
        let held = self
            .orders
            .iter()
            .flatten()
            .any(|(at, _)| self.now >= at + trial.freeze);
        (self.now < END && !held).then(|| Self {
            now: self.now + 1,
            ..self.clone()
        })
    }

    fn ask(&self, who: usize) -> Option<Self> {
        let mut next = self.clone();
        if next.asked[who].is_some() || next.replies[who].is_some() {
            return None;
        }
        next.givers[who].lead(Millis(self.now))?;
        next.asked[who] = Some(self.now);
        Some(next)
    }

    /// The quorum decides, by its clock, on a request that may have been delayed.
    fn grant(&self, who: usize) -> Option<Self> {
        let sent = self.asked[who]?;
        let mut next = self.clone();
        next.asked[who] = None;
        let end = self.now + RULES.span.0;
        let fence = match self.lease {
            None => Fence(1),
            Some((holder, fence, _)) if holder == who => fence,
            Some((_, fence, until)) if self.now + DRIFT >= until => fence.next(),
            Some(_) => return Some(next),
        };
        next.lease = Some((who, fence, end));
        next.replies[who] = Some((sent, fence));
        Some(next)
    }

    fn reply(&self, who: usize) -> Option<Self> {
        let (sent, fence) = self.replies[who]?;
        let mut next = self.clone();
        next.replies[who] = None;
        next.givers[who].granted(Millis(self.now), Millis(sent), fence);
        Some(next)
    }

    fn check(&self, who: usize, trial: Trial) -> Option<Self> {
        if self.orders[who].is_some() {
            return None;
        }
        let upstream = Upstream::from("w1");
        let leave = self.givers[who]
            .leave(Millis(self.now), &upstream, START, trial.fences)
            .ok()?;
        let mut next = self.clone();
        next.orders[who] = Some((self.now, leave));
        Some(next)
    }

    /// The order takes effect at the upstream.
    fn act(&self, who: usize, trial: Trial) -> Option<Self> {
        let (_, leave) = self.orders[who]?;
        let mut next = self.clone();
        next.orders[who] = None;
        let old = leave.fence < self.last;
        if old && trial.fences {
            return Some(next);
        }
        next.undone |= old;
        next.surprised |= self.read.is_some_and(|fence| leave.fence < fence);
        next.last = leave.fence.max(self.last);
        Some(next)
    }

    fn read(&self, who: usize, trial: Trial) -> Option<Self> {
        let upstream = Upstream::from("w1");
        let fence = self.givers[who].leading(Millis(self.now))?;
        let mut next = self.clone();
        next.givers[who].read(Millis(self.now), &upstream, START);
        let leave = next.givers[who].leave(Millis(self.now), &upstream, START, trial.fences);
        if leave.is_ok() && next.givers[who] != self.givers[who] {
            next.read = Some(fence);
        }
        (next != *self).then_some(next)
    }
}

fn search(trial: Trial, bad: impl Fn(&State) -> bool) -> Option<usize> {
    let start = State::new(trial.rules);
    let path = bfs(&start, |state| state.successors(trial), |state| bad(state))?;
    Some(path.len() - 1)
}

fn undone(state: &State) -> bool {
    state.undone
}

fn surprised(state: &State) -> bool {
    state.surprised
}

fn harmed(state: &State) -> bool {
    state.undone || state.surprised
}

/// The second giver's order took effect, and only the first giver had read the state.
fn blind(state: &State) -> bool {
    both_ordered(state) && state.read == Some(Fence(1))
}

fn both_ordered(state: &State) -> bool {
    state.last > Fence(1)
}

const IGNORING: Trial = Trial {
    rules: RULES,
    fences: false,
    freeze: FLIGHT,
};

const FENCING: Trial = Trial {
    rules: RULES,
    fences: true,
    freeze: FLIGHT + 3,
};

macro_rules! holds {
    ($($name:ident: $trial:expr, $bad:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(search($trial, $bad), None);
        }
    )*};
}

macro_rules! found {
    ($($name:ident: $trial:expr, $bad:expr;)*) => {$(
        #[test]
        fn $name() {
            let steps = search($trial, $bad);
            println!("{steps:?} steps");
            assert!(steps.is_some());
        }
    )*};
}

holds! {
    an_old_order_neither_follows_a_new_one_nor_changes_what_was_read: IGNORING, harmed;
    no_order_is_given_without_a_reading: IGNORING, blind;
    a_fencing_upstream_is_safe_under_the_same_freeze: FENCING, undone;
}

found! {
    a_second_giver_does_give_orders: IGNORING, both_ordered;
    without_the_wait_an_old_order_follows:
        Trial { rules: GiverRules { flight: Millis(0), margin: Millis(0), ..RULES }, ..IGNORING }, undone;
    with_a_wait_too_short_an_old_order_changes_what_was_read:
        Trial { rules: GiverRules { flight: Millis(0), ..RULES }, ..IGNORING }, surprised;
    without_the_rule_an_order_is_given_without_a_reading:
        Trial { rules: GiverRules { reading: false, ..RULES }, ..IGNORING }, blind;
    a_freeze_past_the_bound_harms_an_upstream_that_ignores_fences:
        Trial { freeze: FLIGHT + 3, ..IGNORING }, undone;
}

#[test]
fn the_search_is_not_vacuous() {
    let states = bfs_reach(State::new(RULES), |state| state.successors(IGNORING)).count();
    println!("{states} states");
    assert!(states > 10_000);
}
