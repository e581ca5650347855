//! Random schedules on one router's table: announcements in any order, choices, ends and probes.
//!
//! No request may go to an incarnation that announced its leave, and no upstream may run more
//! requests than it has slots. The weaker orders of announcements have to break this.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use bolero::TypeGenerator;
use bolero::check;
use chestnutnotch_core::id::DataCentre;
use chestnutnotch_core::id::Fingerprint;
use chestnutnotch_core::id::Service;
use chestnutnotch_core::id::Upstream;
use chestnutnotch_core::map::Map;
use chestnutnotch_core::unit::Incarnation;
use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::upstream::Announcement;
use chestnutnotch_core::upstream::AttemptOutcome;
use chestnutnotch_core::upstream::Criteria;
use chestnutnotch_core::upstream::Kind;
use chestnutnotch_core::upstream::Load;
use chestnutnotch_core::upstream::Offer;
use chestnutnotch_core::upstream::Order;
use chestnutnotch_core::upstream::Phase;
use chestnutnotch_core::upstream::Pick;
use chestnutnotch_core::upstream::Table;
use chestnutnotch_core::upstream::TableConfig;

const UPSTREAMS: u8 = 4;
const SLOTS: u32 = 3;

/// Step of a schedule; numbers are reduced to the range of what they select.
#[derive(Clone, Debug, TypeGenerator)]
enum Step {
    /// An announcement arrives.
    Announce {
        upstream: u8,
        start: u8,
        seq: u8,
        leaving: bool,
        running: u8,
    },
    /// A request is sent if an upstream is found.
    Choose { body: u8 },
    /// An open attempt ends.
    End { attempt: u8, outcome: u8 },
    /// The result of a probe arrives.
    Probe { upstream: u8, answers: bool },
    /// Time passes.
    Advance { millis: u16 },
}

/// A table, and what the schedule did to it.
struct World {
    now: Millis,
    table: Table,
    /// Attempts that have not ended.
    open: Vec<Pick>,
    /// Latest incarnation of each upstream that announced its leave.
    left: Map<Upstream, Incarnation>,
}

fn name(upstream: u8) -> Upstream {
    Upstream::from(format!("w{}", upstream % UPSTREAMS))
}

fn announcement(upstream: u8, start: u8, seq: u8, leaving: bool, running: u8) -> Announcement {
    Announcement {
        upstream: name(upstream),
        incarnation: Incarnation(u64::from(start % 4)),
        seq: u64::from(seq),
        address: ([127, 0, 0, 1], 9000).into(),
        centre: DataCentre::from("a"),
        phase: if leaving {
            Phase::Leaving
        } else {
            Phase::Ready
        },
        offer: Offer::Service(Service::from("desk")),
        slots: SLOTS,
        load: Load {
            running: u32::from(running % 4),
            waiting: 0,
            cache: 0,
        },
        fences: false,
        cached: vec![u64::from(seq)],
        evicted: Vec::new(),
    }
}

impl World {
    fn new(order: Order) -> Self {
        let rules = TableConfig {
            order,
            ..TableConfig::default()
        };
        Self {
            now: Millis(0),
            table: Table::with_config(DataCentre::from("a"), rules, 1),
            open: Vec::new(),
            left: Map::default(),
        }
    }

    /// Runs a step. Returns whether the invariants hold.
    fn step(&mut self, step: &Step) -> bool {
        match *step {
            Step::Announce {
                upstream,
                start,
                seq,
                leaving,
                running,
            } => {
                let announced = announcement(upstream, start, seq, leaving, running);
                if leaving {
                    let last = self.left.entry(announced.upstream.clone()).or_default();
                    *last = announced.incarnation.max(*last);
                }
                self.table.observe(self.now, announced);
                true
            }
            Step::Choose { body } => self.choose(body),
            Step::End { attempt, outcome } => {
                self.end(attempt, outcome);
                true
            }
            Step::Probe { upstream, answers } => {
                let known = self
                    .table
                    .announcements()
                    .find(|announced| announced.upstream == name(upstream))
                    .cloned();
                if let Some(announced) = known {
                    let answer = answers.then(|| Announcement {
                        seq: announced.seq + 1,
                        ..announced.clone()
                    });
                    self.table.record_probe(
                        self.now,
                        &announced.upstream,
                        announced.incarnation,
                        answer,
                    );
                }
                true
            }
            Step::Advance { millis } => {
                self.now += Millis(u64::from(millis));
                self.table.due_probes(self.now);
                true
            }
        }
    }

    /// Chooses an upstream. Returns whether it had not left and had a slot free.
    fn choose(&mut self, body: u8) -> bool {
        let criteria = Criteria {
            sizes: Vec::new(),
            session_prefix: None,
            kind: Kind::Service(Service::from("desk")),
            priority: 0,
            prefixes: vec![u64::from(body)],
            body: Fingerprint::of([body]),
            parts: Vec::new(),
            avoid: Vec::new(),
            release: None,
        };
        let Ok(pick) = self.table.choose(self.now, &criteria) else {
            return true;
        };
        let left = self
            .left
            .get(&pick.upstream)
            .is_some_and(|last| pick.incarnation <= *last);
        self.open.push(pick.clone());
        let in_flight = self
            .open
            .iter()
            .filter(|one| one.upstream == pick.upstream && one.incarnation == pick.incarnation)
            .count();
        !left && in_flight <= SLOTS as usize
    }

    fn end(&mut self, attempt: u8, outcome: u8) {
        if self.open.is_empty() {
            return;
        }
        let pick = self
            .open
            .swap_remove(usize::from(attempt) % self.open.len());
        let outcome = match outcome % 6 {
            0 => AttemptOutcome::Completed,
            1 => AttemptOutcome::Overload,
            2 => AttemptOutcome::Unreachable,
            3 => AttemptOutcome::Broken,
            4 => AttemptOutcome::TimedOut,
            _ => AttemptOutcome::Neutral,
        };
        self.table.end(self.now, pick.attempt, outcome);
    }

    /// Returns whether the table counts, for each upstream, the open attempts at its known
    /// incarnation.
    fn counts_match(&self) -> bool {
        self.table.statuses(self.now).all(|row| {
            let open = self
                .open
                .iter()
                .filter(|pick| pick.upstream == row.upstream && pick.incarnation == row.incarnation)
                .count();
            row.in_flight as usize == open
        })
    }
}

fn invariants_hold(order: Order, steps: &[Step]) -> bool {
    let mut world = World::new(order);
    steps
        .iter()
        .all(|step| world.step(step) && world.counts_match())
}

/// Checks whether random schedules violate the invariants with an order of announcements.
macro_rules! schedule {
    ($($name:ident: $order:expr, $violated:expr;)*) => {$(
        #[test]
        fn $name() {
            let violations = AtomicU32::new(0);
            check!()
                .with_type::<Vec<Step>>()
                .with_iterations(3_000)
                .with_max_len(512)
                .for_each(|steps| {
                    if !invariants_hold($order, steps) {
                        violations.fetch_add(1, Ordering::Relaxed);
                        assert!($violated, "{steps:?}");
                    }
                });
            assert_eq!(violations.load(Ordering::Relaxed) > 0, $violated);
        }
    )*};
}

schedule! {
    no_work_after_a_leave_and_no_slot_twice: Order::Total, false;
    by_arrival_the_same_schedules_break_it: Order::Arrival, true;
    without_phase_the_same_schedules_break_it: Order::WithoutPhase, true;
}
