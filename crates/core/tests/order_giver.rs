//! Exhaustive search over two order issuers that compete for one upstream, with the real state
//! machine.
//!
//! Time passes in ticks. The quorum's clock may run a tick ahead, so that a lease may end early
//! there. A lease request, its reply and an order may each be delayed. A process may be frozen
//! between the check of its lease and the moment its order takes effect, up to a bound. In the
//! initial state the first issuer holds the lease and has read the upstream's state.

use chestnutnotch_core::id::DataCentre;
use chestnutnotch_core::id::Host;
use chestnutnotch_core::id::RouterId;
use chestnutnotch_core::id::Upstream;
use chestnutnotch_core::order::LeaseRules;
use chestnutnotch_core::order::OrderIssuer;
use chestnutnotch_core::order::OrderPermit;
use chestnutnotch_core::unit::Fence;
use chestnutnotch_core::unit::Incarnation;
use chestnutnotch_core::unit::Millis;
use pathfinding::directed::bfs::bfs;
use pathfinding::directed::bfs::bfs_reach;

/// Ticks at which the search starts and ends.
const START_TICK: u64 = 8;
const END_TICK: u64 = 15;

/// Ticks by which the quorum's clock may run ahead.
const DRIFT_TICKS: u64 = 1;

/// Most ticks from the check of the lease until an order has taken effect, by the rules.
const FLIGHT_TICKS: u64 = 2;

/// Incarnation of the upstream.
const INCARNATION: Incarnation = Incarnation(1);

const RULES: LeaseRules = LeaseRules {
    duration: Millis(4),
    margin: Millis(DRIFT_TICKS),
    max_flight: Millis(FLIGHT_TICKS),
    require_read: true,
};

/// Parameters of one search.
#[derive(Clone, Copy)]
struct Scenario {
    rules: LeaseRules,
    /// Whether the upstream checks fencing numbers.
    checks_fences: bool,
    /// Most ticks for which a process is frozen with a permitted order.
    max_freeze: u64,
}

/// State of the issuers, the quorum, the upstream and the messages between them.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct State {
    now: u64,
    issuers: [OrderIssuer; 2],
    /// When the lease request that is under way was sent.
    requests: [Option<u64>; 2],
    /// When the request was sent and the fencing number that was granted.
    replies: [Option<(u64, Fence)>; 2],
    /// When the order was permitted, with its permit.
    orders: [Option<(u64, OrderPermit)>; 2],
    /// Holder, fencing number and end of the lease at the quorum.
    lease: Option<(usize, Fence, u64)>,
    /// Fencing number of the last issuer that read the upstream's state.
    last_read: Option<Fence>,
    /// Highest fencing number of the orders that took effect.
    last_order: Fence,
    /// Whether an order took effect after one with a higher fencing number.
    overwritten: bool,
    /// Whether an order took effect after an issuer with a higher fencing number read the state.
    stale_read: bool,
}

impl State {
    fn new(rules: LeaseRules) -> Self {
        let issuer = |name: &str| {
            let router = RouterId {
                host: Host::from(name),
                incarnation: Incarnation(1),
            };
            OrderIssuer::new(rules, DataCentre::from("a"), router)
        };
        let mut first = issuer("r1");
        let upstream = Upstream::from("w1");
        first.lease_granted(Millis(0), Millis(0), Fence(1));
        first.request_lease(Millis(START_TICK));
        first.lease_granted(Millis(START_TICK), Millis(START_TICK), Fence(1));
        first.state_read(Millis(START_TICK), &upstream, INCARNATION);
        Self {
            now: START_TICK,
            issuers: [first, issuer("r2")],
            requests: [None; 2],
            replies: [None; 2],
            orders: [None; 2],
            lease: Some((0, Fence(1), START_TICK + RULES.duration.0)),
            last_read: Some(Fence(1)),
            last_order: Fence::ZERO,
            overwritten: false,
            stale_read: false,
        }
    }

    fn successors(&self, scenario: Scenario) -> Vec<Self> {
        let mut next = Vec::new();
        next.extend(self.tick(scenario));
        for who in 0..2 {
            next.extend(self.request_lease(who));
            next.extend(self.grant(who));
            next.extend(self.reply(who));
            next.extend(self.permit(who, scenario));
            next.extend(self.take_effect(who, scenario));
            next.extend(self.read(who, scenario));
        }
        next
    }

    /// Advances time, unless an order would stay under way for longer than the bound.
    fn tick(&self, scenario: Scenario) -> Option<Self> {
        let overdue = self
            .orders
            .iter()
            .flatten()
            .any(|(at, _)| self.now >= at + scenario.max_freeze);
        (self.now < END_TICK && !overdue).then(|| Self {
            now: self.now + 1,
            ..self.clone()
        })
    }

    /// Sends a lease request.
    fn request_lease(&self, who: usize) -> Option<Self> {
        let mut next = self.clone();
        if next.requests[who].is_some() || next.replies[who].is_some() {
            return None;
        }
        next.issuers[who].request_lease(Millis(self.now))?;
        next.requests[who] = Some(self.now);
        Some(next)
    }

    /// Lets the quorum decide, by its clock, on a request that may have been delayed.
    fn grant(&self, who: usize) -> Option<Self> {
        let sent = self.requests[who]?;
        let mut next = self.clone();
        next.requests[who] = None;
        let end = self.now + RULES.duration.0;
        let fence = match self.lease {
            None => Fence(1),
            Some((holder, fence, _)) if holder == who => fence,
            Some((_, fence, until)) if self.now + DRIFT_TICKS >= until => fence.next(),
            Some(_) => return Some(next),
        };
        next.lease = Some((who, fence, end));
        next.replies[who] = Some((sent, fence));
        Some(next)
    }

    /// Delivers the quorum's reply.
    fn reply(&self, who: usize) -> Option<Self> {
        let (sent, fence) = self.replies[who]?;
        let mut next = self.clone();
        next.replies[who] = None;
        next.issuers[who].lease_granted(Millis(self.now), Millis(sent), fence);
        Some(next)
    }

    /// Checks the lease for an order, which takes effect later.
    fn permit(&self, who: usize, scenario: Scenario) -> Option<Self> {
        if self.orders[who].is_some() {
            return None;
        }
        let upstream = Upstream::from("w1");
        let permit = self.issuers[who]
            .permit(
                Millis(self.now),
                &upstream,
                INCARNATION,
                scenario.checks_fences,
            )
            .ok()?;
        let mut next = self.clone();
        next.orders[who] = Some((self.now, permit));
        Some(next)
    }

    /// Delivers the order to the upstream, which refuses it or carries it out.
    fn take_effect(&self, who: usize, scenario: Scenario) -> Option<Self> {
        let (_, permit) = self.orders[who]?;
        let mut next = self.clone();
        next.orders[who] = None;
        let stale = permit.fence < self.last_order;
        if stale && scenario.checks_fences {
            return Some(next);
        }
        next.overwritten |= stale;
        next.stale_read |= self.last_read.is_some_and(|fence| permit.fence < fence);
        next.last_order = permit.fence.max(self.last_order);
        Some(next)
    }

    /// Reads the upstream's state.
    fn read(&self, who: usize, scenario: Scenario) -> Option<Self> {
        let upstream = Upstream::from("w1");
        let fence = self.issuers[who].valid_fence(Millis(self.now))?;
        let mut next = self.clone();
        next.issuers[who].state_read(Millis(self.now), &upstream, INCARNATION);
        let permit = next.issuers[who].permit(
            Millis(self.now),
            &upstream,
            INCARNATION,
            scenario.checks_fences,
        );
        if permit.is_ok() && next.issuers[who] != self.issuers[who] {
            next.last_read = Some(fence);
        }
        (next != *self).then_some(next)
    }
}

/// Returns the number of steps to the nearest bad state, if one can be reached.
fn search(scenario: Scenario, bad: impl Fn(&State) -> bool) -> Option<usize> {
    let start = State::new(scenario.rules);
    let path = bfs(
        &start,
        |state| state.successors(scenario),
        |state| bad(state),
    )?;
    Some(path.len() - 1)
}

fn overwritten(state: &State) -> bool {
    state.overwritten
}

fn stale_read(state: &State) -> bool {
    state.stale_read
}

fn disturbed(state: &State) -> bool {
    state.overwritten || state.stale_read
}

/// Whether the second issuer's order took effect while only the first one had read the state.
fn ordered_unread(state: &State) -> bool {
    second_ordered(state) && state.last_read == Some(Fence(1))
}

/// Whether an order of the second issuer took effect.
fn second_ordered(state: &State) -> bool {
    state.last_order > Fence(1)
}

/// The upstream ignores fencing numbers, and freezes stay within the bound of the rules.
const UNFENCED: Scenario = Scenario {
    rules: RULES,
    checks_fences: false,
    max_freeze: FLIGHT_TICKS,
};

/// The upstream checks fencing numbers, and freezes exceed the bound of the rules.
const FENCED: Scenario = Scenario {
    rules: RULES,
    checks_fences: true,
    max_freeze: FLIGHT_TICKS + 3,
};

/// Tests that no bad state can be reached.
macro_rules! holds {
    ($($name:ident: $scenario:expr, $bad:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(search($scenario, $bad), None);
        }
    )*};
}

/// Tests that a state can be reached.
macro_rules! found {
    ($($name:ident: $scenario:expr, $bad:expr;)*) => {$(
        #[test]
        fn $name() {
            let steps = search($scenario, $bad);
            println!("{steps:?} steps");
            assert!(steps.is_some());
        }
    )*};
}

holds! {
    an_old_order_neither_follows_a_new_one_nor_changes_what_was_read: UNFENCED, disturbed;
    no_order_is_given_without_a_reading: UNFENCED, ordered_unread;
    a_fencing_upstream_is_safe_under_the_same_freeze: FENCED, overwritten;
}

found! {
    a_second_issuer_does_send_orders: UNFENCED, second_ordered;
    without_the_wait_an_old_order_follows:
        Scenario { rules: LeaseRules { max_flight: Millis(0), margin: Millis(0), ..RULES }, ..UNFENCED }, overwritten;
    with_a_wait_too_short_an_old_order_changes_what_was_read:
        Scenario { rules: LeaseRules { max_flight: Millis(0), ..RULES }, ..UNFENCED }, stale_read;
    without_the_rule_an_order_is_given_without_a_reading:
        Scenario { rules: LeaseRules { require_read: false, ..RULES }, ..UNFENCED }, ordered_unread;
    a_freeze_past_the_bound_harms_an_upstream_that_ignores_fences:
        Scenario { max_freeze: FLIGHT_TICKS + 3, ..UNFENCED }, overwritten;
}

#[test]
fn the_search_is_not_vacuous() {
    let states = bfs_reach(State::new(RULES), |state| state.successors(UNFENCED)).count();
    println!("{states} states");
    assert!(states > 10_000);
}
