//! Random schedules against the gate, and the budgets of retries and time.

use bolero::TypeGenerator;
use bolero::check;
use chestnutnotch_core::id::Model;
use chestnutnotch_core::id::Workspace;
use chestnutnotch_core::limit::Arrival;
use chestnutnotch_core::limit::Gate;
use chestnutnotch_core::limit::Late;
use chestnutnotch_core::limit::Patience;
use chestnutnotch_core::limit::Progress;
use chestnutnotch_core::limit::Release;
use chestnutnotch_core::limit::RetryBudget;
use chestnutnotch_core::limit::Verdict;
use chestnutnotch_core::map::Map;
use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::unit::Tokens;
use chestnutnotch_core::upstream::Kind;
use chestnutnotch_core::upstream::Pool;

#[derive(Clone, Debug, TypeGenerator)]
enum Step {
    Arrive {
        who: u8,
        kind: u8,
        share: u8,
        priority: u8,
        cost: u8,
        patience: u16,
    },
    Finish {
        which: u8,
    },
    Cancel {
        which: u8,
    },
    Slots {
        kind: u8,
        slots: u8,
    },
    Join {
        slots: u8,
    },
    Pass {
        millis: u8,
    },
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Waits,
    Runs,
}

struct World {
    now: Millis,
    gate: Gate,
    next: u64,
    live: Map<u64, State>,
    slots: u32,
}

fn kind(which: u8) -> Kind {
    Kind::Model(Model::from(format!("m{}", which % 2)), None)
}

impl World {
    fn new() -> Self {
        Self {
            now: Millis(0),
            gate: Gate::default(),
            next: 0,
            live: Map::default(),
            slots: 0,
        }
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Arrive {
                who,
                kind: which,
                share,
                priority,
                cost,
                patience,
            } => {
                self.next += 1;
                let arrival = Arrival {
                    ticket: self.next,
                    workspace: Workspace::from(format!("k{}", who % 4)),
                    share: u32::from(share),
                    priority,
                    kind: kind(which),
                    cost: Tokens(u64::from(cost)),
                    deadline: self.now + Millis(u64::from(patience)),
                };
                match self.gate.arrive(self.now, arrival) {
                    Verdict::Run => assert_eq!(self.live.insert(self.next, State::Runs), None),
                    Verdict::Wait => assert_eq!(self.live.insert(self.next, State::Waits), None),
                    Verdict::Shed(_) => {}
                }
            }
            Step::Finish { which } => {
                if let Some(ticket) = self.some(which, State::Runs) {
                    self.gate.finish(self.now, ticket);
                    self.live.remove(&ticket);
                }
            }
            Step::Cancel { which } => {
                let ticket = self
                    .some(which, State::Waits)
                    .or(self.some(which, State::Runs));
                if let Some(ticket) = ticket {
                    self.gate.cancel(self.now, ticket);
                    self.live.remove(&ticket);
                }
            }
            Step::Slots { kind: which, slots } => {
                self.slots = self.slots.max(u32::from(slots % 8));
                self.gate
                    .capacity(self.now, &kind(which), u32::from(slots % 8));
            }
            Step::Join { slots } => {
                self.slots = self.slots.max(u32::from(slots % 8));
                let pool = Pool {
                    kinds: vec![kind(0), kind(1)],
                    slots: u32::from(slots % 8),
                };
                self.gate.arrange(self.now, &[pool]);
            }
            Step::Pass { millis } => self.now += Millis(u64::from(millis)),
        }
        self.poll();
    }

    fn some(&self, which: u8, state: State) -> Option<u64> {
        let mut all: Vec<u64> = self
            .live
            .iter()
            .filter(|one| *one.1 == state)
            .map(|one| *one.0)
            .collect();
        all.sort_unstable();
        all.get(usize::from(which) % all.len().max(1)).copied()
    }

    /// Each request is decided on once, and the gate's counts are those of the schedule.
    fn poll(&mut self) {
        let mut out = Vec::new();
        self.gate.poll(self.now, &mut out);
        for release in out {
            match release {
                Release::Run(ticket) => {
                    assert_eq!(self.live.insert(ticket, State::Runs), Some(State::Waits));
                }
                Release::Shed(ticket, shed) => {
                    assert!(shed.after >= Millis(1_000));
                    assert_eq!(self.live.remove(&ticket), Some(State::Waits));
                }
            }
        }
        let runs = self
            .live
            .values()
            .filter(|state| **state == State::Runs)
            .count();
        assert_eq!(self.gate.running() as usize, runs);
        assert_eq!(self.gate.waiting(), self.live.len() - runs);
        assert!(runs <= 2 * self.slots as usize);
    }
}

#[test]
fn every_request_is_decided_on_once() {
    check!()
        .with_type::<Vec<Step>>()
        .with_iterations(3_000)
        .with_max_len(1_024)
        .for_each(|steps| {
            let mut world = World::new();
            steps.iter().for_each(|step| world.step(step));
        });
}

/// Two backlogged workspaces: what each was given, per share, differs by no more than the two
/// largest requests.
#[test]
fn backlogged_workspaces_are_given_their_shares() {
    check!()
        .with_type::<(u8, u8, Vec<(u8, u8)>)>()
        .with_iterations(1_000)
        .with_max_len(256)
        .for_each(|(a, b, costs)| {
            let shares = [u64::from(a % 8) + 1, u64::from(b % 8) + 1];
            let mut gate = Gate::default();
            gate.capacity(Millis(0), &kind(0), 1);
            let mut cost = Map::default();
            for (n, (one, two)) in costs.iter().enumerate() {
                for (who, tokens) in [(0, *one), (1, *two)] {
                    let ticket = (n * 2 + who) as u64;
                    let tokens = u64::from(tokens) + 1;
                    cost.insert(ticket, tokens);
                    gate.arrive(
                        Millis(0),
                        Arrival {
                            ticket,
                            workspace: Workspace::from(format!("k{who}")),
                            share: shares[who] as u32,
                            priority: 0,
                            kind: kind(0),
                            cost: Tokens(tokens),
                            deadline: Millis(u64::MAX),
                        },
                    );
                }
            }
            let mut given = [0_u64; 2];
            let mut left = [costs.len(); 2];
            let mut running = 0;
            while left[0] > 0 && left[1] > 0 {
                let who = (running % 2) as usize;
                given[who] += cost[&running] * 1_000 / shares[who];
                left[who] -= 1;
                let bound = 256 * 1_000 / shares[0] + 256 * 1_000 / shares[1];
                assert!(given[0].abs_diff(given[1]) <= bound + 2 * costs.len() as u64);
                gate.finish(Millis(0), running);
                let mut out = Vec::new();
                gate.poll(Millis(0), &mut out);
                match out[..] {
                    [Release::Run(next)] => running = next,
                    _ => break,
                }
            }
        });
}

macro_rules! case {
    ($($name:ident => $body:block)*) => {$(
        #[test]
        fn $name() $body
    )*};
}

case! {
    retries_stay_within_their_share => {
        let mut budget = RetryBudget::default();
        let mut retries = 0;
        for now in 0..10_000 {
            budget.first(Millis(now));
            retries += u64::from(budget.take(Millis(now)));
        }
        assert!(retries <= 10 + 10_000 / 10 + 10 / 10, "{retries}");
        assert!(retries >= 1_000);
    }

    a_quiet_router_still_has_retries => {
        let mut budget = RetryBudget::default();
        while budget.take(Millis(0)) {}
        assert!(!budget.take(Millis(9_000)));
        assert!(budget.take(Millis(10_000)));
    }

    a_clock_that_steps_back_earns_nothing => {
        let mut budget = RetryBudget::default();
        while budget.take(Millis(50_000)) {}
        assert!(!budget.take(Millis(0)));
        assert!(!budget.take(Millis(50_000)));
    }

    timeouts_of_an_answer => {
        let patience = Patience { first: Millis(100), between: Millis(10), whole: Millis(150) };
        let mut progress = Progress::started(Millis(1_000), patience);
        assert_eq!(progress.late(Millis(1_099)), None);
        assert_eq!(progress.late(Millis(1_100)), Some(Late::First));
        progress.token(Millis(1_099));
        assert_eq!(progress.late(Millis(1_108)), None);
        assert_eq!(progress.late(Millis(1_109)), Some(Late::Between));
        progress.token(Millis(1_148));
        assert_eq!(progress.due(), Millis(1_150));
        assert_eq!(progress.late(Millis(1_150)), Some(Late::Whole));
    }
}
