//! Random schedules against one table: announcements in any order, choices, ends and questions.

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

#[derive(Clone, Debug, TypeGenerator)]
enum Step {
    Say {
        who: u8,
        start: u8,
        seq: u8,
        leaving: bool,
        running: u8,
    },
    Choose {
        body: u8,
    },
    End {
        which: u8,
        how: u8,
    },
    Ask {
        who: u8,
        answers: bool,
    },
    Pass {
        millis: u16,
    },
}

struct World {
    now: Millis,
    table: Table,
    open: Vec<Pick>,
    left: Map<Upstream, Incarnation>,
}

fn name(who: u8) -> Upstream {
    Upstream::from(format!("w{}", who % UPSTREAMS))
}

fn says(who: u8, start: u8, seq: u8, leaving: bool, running: u8) -> Announcement {
    Announcement {
        upstream: name(who),
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

    /// Runs a step. Returns whether the promises hold.
    fn step(&mut self, step: &Step) -> bool {
        match *step {
            Step::Say {
                who,
                start,
                seq,
                leaving,
                running,
            } => {
                let said = says(who, start, seq, leaving, running);
                if leaving {
                    let last = self.left.entry(said.upstream.clone()).or_default();
                    *last = said.incarnation.max(*last);
                }
                self.table.observe(self.now, said);
                true
            }
            Step::Choose { body } => self.choose(body),
            Step::End { which, how } => {
                self.end(which, how);
                true
            }
            Step::Ask { who, answers } => {
                let known = self
                    .table
                    .announcements()
                    .find(|said| said.upstream == name(who))
                    .cloned();
                if let Some(said) = known {
                    let answer = answers.then(|| Announcement {
                        seq: said.seq + 1,
                        ..said.clone()
                    });
                    self.table
                        .record_probe(self.now, &said.upstream, said.incarnation, answer);
                }
                true
            }
            Step::Pass { millis } => {
                self.now += Millis(u64::from(millis));
                self.table.due_probes(self.now);
                true
            }
        }
    }

    fn choose(&mut self, body: u8) -> bool {
        let wanted = Criteria {
            sizes: Vec::new(),
            session_prefix: None,
            kind: Kind::Service(Service::from("desk")),
            priority: 0,
            prefixes: vec![u64::from(body)],
            body: Fingerprint::of([body]),
            avoid: Vec::new(),
        };
        let Ok(pick) = self.table.choose(self.now, &wanted) else {
            return true;
        };
        let left = self
            .left
            .get(&pick.upstream)
            .is_some_and(|last| pick.incarnation <= *last);
        self.open.push(pick.clone());
        let flying = self
            .open
            .iter()
            .filter(|one| one.upstream == pick.upstream && one.incarnation == pick.incarnation)
            .count();
        !left && flying <= SLOTS as usize
    }

    fn end(&mut self, which: u8, how: u8) {
        if self.open.is_empty() {
            return;
        }
        let pick = self.open.swap_remove(usize::from(which) % self.open.len());
        let ended = match how % 6 {
            0 => AttemptOutcome::Completed,
            1 => AttemptOutcome::Overload,
            2 => AttemptOutcome::Unreachable,
            3 => AttemptOutcome::Broken,
            4 => AttemptOutcome::TimedOut,
            _ => AttemptOutcome::Neutral,
        };
        self.table.end(self.now, pick.attempt, ended);
    }

    /// The table's counts are those of the open attempts at the present starts.
    fn counted(&self) -> bool {
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

fn promises(order: Order, steps: &[Step]) -> bool {
    let mut world = World::new(order);
    steps.iter().all(|step| world.step(step) && world.counted())
}

macro_rules! schedule {
    ($($name:ident: $order:expr, $seen:expr;)*) => {$(
        #[test]
        fn $name() {
            let broken = AtomicU32::new(0);
            check!()
                .with_type::<Vec<Step>>()
                .with_iterations(3_000)
                .with_max_len(512)
                .for_each(|steps| {
                    if !promises($order, steps) {
                        broken.fetch_add(1, Ordering::Relaxed);
                        assert!($seen, "{steps:?}");
                    }
                });
            assert_eq!(broken.load(Ordering::Relaxed) > 0, $seen);
        }
    )*};
}

schedule! {
    no_work_after_a_leave_and_no_slot_twice: Order::Total, false;
    by_arrival_the_same_schedules_break_it: Order::Arrival, true;
    without_phase_the_same_schedules_break_it: Order::WithoutPhase, true;
}
