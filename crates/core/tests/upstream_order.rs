//! Exhaustive search over the deliveries of one upstream's announcements to two routers.
//!
//! Announcements of two starts reach the routers in any order, any number of times, or never, and
//! the routers pass on what they know. The states are those of the real order of announcements.

use chestnutnotch_core::unit::Incarnation;
use chestnutnotch_core::upstream::Order;
use chestnutnotch_core::upstream::Phase;
use chestnutnotch_core::upstream::Version;
use pathfinding::directed::bfs::bfs;
use pathfinding::directed::bfs::bfs_reach;

const ROUTERS: usize = 2;

/// All that the upstream ever says: two starts, each of which leaves; the second one says so with a
/// repeated number, as after a lost counter.
const SAID: [Version; 6] = [
    said(1, Phase::Ready, 1),
    said(1, Phase::Ready, 4),
    said(1, Phase::Leaving, 3),
    said(2, Phase::Ready, 1),
    said(2, Phase::Ready, 2),
    said(2, Phase::Leaving, 2),
];

const fn said(incarnation: u64, phase: Phase, seq: u64) -> Version {
    Version {
        incarnation: Incarnation(incarnation),
        phase,
        seq,
    }
}

/// What each router knows, and which announcements it has heard.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
struct State {
    known: [Option<Version>; ROUTERS],
    heard: [u8; ROUTERS],
}

impl State {
    fn deliver(&self, router: usize, index: usize, order: Order) -> Self {
        let mut next = self.clone();
        next.heard[router] |= 1 << index;
        let news = SAID[index];
        match next.known[router] {
            Some(known) if !news.supersedes(known, order) => {}
            _ => next.known[router] = Some(news),
        }
        next
    }

    fn successors(&self, order: Order) -> Vec<Self> {
        let mut all = Vec::new();
        for router in 0..ROUTERS {
            all.extend((0..SAID.len()).map(|index| self.deliver(router, index, order)));
            let passed = self.known[1 - router].and_then(index_of);
            all.extend(passed.map(|index| self.deliver(router, index, order)));
        }
        all
    }

    fn heard(&self, router: usize) -> impl Iterator<Item = Version> {
        let heard = self.heard[router];
        SAID.into_iter()
            .enumerate()
            .filter(move |(index, _)| heard & (1 << index) != 0)
            .map(|(_, said)| said)
    }

    /// A router takes an upstream for ready after it heard that this start, or a later one, leaves.
    fn reopened(&self) -> bool {
        (0..ROUTERS).any(|router| {
            let Some(known) = self.known[router] else {
                return false;
            };
            known.phase == Phase::Ready
                && self.heard(router).any(|said| {
                    said.phase == Phase::Leaving && said.incarnation >= known.incarnation
                })
        })
    }

    /// A router holds an older start than one it heard of.
    fn reverted(&self) -> bool {
        (0..ROUTERS).any(|router| {
            self.known[router].is_some_and(|known| {
                self.heard(router)
                    .any(|said| said.incarnation > known.incarnation)
            })
        })
    }

    /// Both routers heard the same and know something else.
    fn parted(&self) -> bool {
        self.heard[0] == self.heard[1] && self.known[0] != self.known[1]
    }
}

fn index_of(known: Version) -> Option<usize> {
    SAID.iter().position(|said| *said == known)
}

fn search(order: Order, bad: impl Fn(&State) -> bool) -> Option<Vec<State>> {
    bfs(
        &State::default(),
        |state| state.successors(order),
        |state| bad(state),
    )
}

macro_rules! holds {
    ($($name:ident: $bad:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(search(Order::Total, $bad), None);
        }
    )*};
}

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
    same_messages_same_state: State::parted;
}

broken! {
    by_arrival_a_leave_is_undone: Order::Arrival, State::reopened, 2;
    by_arrival_a_start_is_undone: Order::Arrival, State::reverted, 2;
    by_arrival_routers_part: Order::Arrival, State::parted, 4;
    by_sequence_a_start_is_undone: Order::Sequence, State::reverted, 2;
    by_sequence_a_leave_is_undone: Order::Sequence, State::reopened, 2;
    without_phase_a_leave_is_undone: Order::WithoutPhase, State::reopened, 2;
    without_phase_routers_part: Order::WithoutPhase, State::parted, 4;
}

#[test]
fn the_search_is_not_vacuous() {
    let states = bfs_reach(State::default(), |state| state.successors(Order::Total)).count();
    println!("{states} states");
    assert!(states > 1_000);
}
