//! Exhaustive search over the deliveries of one upstream's announcements to two routers.
//!
//! Announcements of two incarnations reach the routers in any order, any number of times, or never,
//! and each router passes on the latest one that it knows. The search runs the production `Version`
//! order; the weaker orders show which fault each of its parts prevents.

use chestnutnotch_core::unit::Incarnation;
use chestnutnotch_core::upstream::Order;
use chestnutnotch_core::upstream::Phase;
use chestnutnotch_core::upstream::Version;
use pathfinding::directed::bfs::bfs;
use pathfinding::directed::bfs::bfs_reach;

const ROUTERS: usize = 2;

/// All announcements of the upstream: two incarnations, each of which leaves. The second one leaves
/// with a repeated sequence number, as if it had lost its counter.
const ANNOUNCED: [Version; 6] = [
    version(1, Phase::Ready, 1),
    version(1, Phase::Ready, 4),
    version(1, Phase::Leaving, 3),
    version(2, Phase::Ready, 1),
    version(2, Phase::Ready, 2),
    version(2, Phase::Leaving, 2),
];

const fn version(incarnation: u64, phase: Phase, seq: u64) -> Version {
    Version {
        incarnation: Incarnation(incarnation),
        phase,
        seq,
    }
}

/// The version that each router knows, and a bit set of the announcements that it has received.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
struct State {
    known: [Option<Version>; ROUTERS],
    received: [u8; ROUTERS],
}

impl State {
    /// Returns the state after a router received an announcement.
    fn deliver(&self, router: usize, index: usize, order: Order) -> Self {
        let mut next = self.clone();
        next.received[router] |= 1 << index;
        let new = ANNOUNCED[index];
        match next.known[router] {
            Some(known) if !new.supersedes(known, order) => {}
            _ => next.known[router] = Some(new),
        }
        next
    }

    /// Returns the states after one more delivery, from the upstream or from the other router.
    fn successors(&self, order: Order) -> Vec<Self> {
        let mut states = Vec::new();
        for router in 0..ROUTERS {
            states.extend((0..ANNOUNCED.len()).map(|index| self.deliver(router, index, order)));
            let forwarded = self.known[1 - router].and_then(index_of);
            states.extend(forwarded.map(|index| self.deliver(router, index, order)));
        }
        states
    }

    /// Announcements that a router has received.
    fn received(&self, router: usize) -> impl Iterator<Item = Version> {
        let received = self.received[router];
        ANNOUNCED
            .into_iter()
            .enumerate()
            .filter(move |(index, _)| received & (1 << index) != 0)
            .map(|(_, version)| version)
    }

    /// A router considers the upstream ready though it received that this incarnation, or a later
    /// one, leaves.
    fn reopened(&self) -> bool {
        (0..ROUTERS).any(|router| {
            let Some(known) = self.known[router] else {
                return false;
            };
            known.phase == Phase::Ready
                && self.received(router).any(|version| {
                    version.phase == Phase::Leaving && version.incarnation >= known.incarnation
                })
        })
    }

    /// A router knows an older incarnation than one that it received.
    fn reverted(&self) -> bool {
        (0..ROUTERS).any(|router| {
            self.known[router].is_some_and(|known| {
                self.received(router)
                    .any(|version| version.incarnation > known.incarnation)
            })
        })
    }

    /// The routers received the same announcements and know different versions.
    fn diverged(&self) -> bool {
        self.received[0] == self.received[1] && self.known[0] != self.known[1]
    }
}

fn index_of(known: Version) -> Option<usize> {
    ANNOUNCED.iter().position(|version| *version == known)
}

/// Returns a shortest path to a bad state, if there is one.
fn search(order: Order, is_bad: impl Fn(&State) -> bool) -> Option<Vec<State>> {
    bfs(
        &State::default(),
        |state| state.successors(order),
        |state| is_bad(state),
    )
}

/// The production order never reaches the bad state.
macro_rules! holds {
    ($($name:ident: $bad:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(search(Order::Total, $bad), None);
        }
    )*};
}

/// A weaker order reaches the bad state in this number of deliveries.
macro_rules! broken {
    ($($name:ident: $order:expr, $bad:expr, $steps:expr;)*) => {$(
        #[test]
        fn $name() {
            let path = search($order, $bad).expect("a counterexample");
            assert_eq!(path.len() - 1, $steps, "{path:#?}");
        }
    )*};
}

holds! {
    a_leave_is_final: State::reopened;
    a_later_start_is_kept: State::reverted;
    same_messages_same_state: State::diverged;
}

broken! {
    by_arrival_a_leave_is_undone: Order::Arrival, State::reopened, 2;
    by_arrival_a_start_is_undone: Order::Arrival, State::reverted, 2;
    by_arrival_routers_part: Order::Arrival, State::diverged, 4;
    by_sequence_a_start_is_undone: Order::Sequence, State::reverted, 2;
    by_sequence_a_leave_is_undone: Order::Sequence, State::reopened, 2;
    without_phase_a_leave_is_undone: Order::WithoutPhase, State::reopened, 2;
    without_phase_routers_part: Order::WithoutPhase, State::diverged, 4;
}

#[test]
fn the_search_is_not_vacuous() {
    let states = bfs_reach(State::default(), |state| state.successors(Order::Total)).count();
    println!("{states} states");
    assert!(states > 1_000);
}
