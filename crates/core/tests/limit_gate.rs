//! Admission: slots, shares, classes, refusals.

use chestnutnotch_core::id::Model;
use chestnutnotch_core::id::Workspace;
use chestnutnotch_core::limit::Arrival;
use chestnutnotch_core::limit::Gate;
use chestnutnotch_core::limit::GateRules;
use chestnutnotch_core::limit::Release;
use chestnutnotch_core::limit::Shed;
use chestnutnotch_core::limit::ShedReason;
use chestnutnotch_core::limit::Verdict;
use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::unit::Tokens;
use chestnutnotch_core::upstream::Kind;
use chestnutnotch_core::upstream::Pool;

const FAR: Millis = Millis(10_000_000);

fn kind(name: &str) -> Kind {
    Kind::Model(Model::from(name), None)
}

fn arrival(ticket: u64, workspace: &str) -> Arrival {
    Arrival {
        ticket,
        workspace: Workspace::from(workspace),
        share: 1,
        priority: 0,
        kind: kind("chat"),
        cost: Tokens(100),
        deadline: FAR,
    }
}

fn gate(slots: u32) -> Gate {
    ruled(slots, GateRules::default())
}

fn ruled(slots: u32, rules: GateRules) -> Gate {
    let mut gate = Gate::new(rules);
    gate.capacity(Millis(0), &kind("chat"), slots);
    gate
}

fn poll(gate: &mut Gate, now: u64) -> Vec<Release> {
    let mut out = Vec::new();
    gate.poll(Millis(now), &mut out);
    out
}

/// Ends the running request and returns the next one, over and over.
fn order(gate: &mut Gate, first: u64, count: usize) -> Vec<u64> {
    let mut running = first;
    let mut all = Vec::new();
    for now in 0..count as u64 {
        gate.finish(Millis(now), running);
        let next = poll(gate, now);
        assert!(matches!(next[..], [Release::Run(_)]), "{next:?}");
        running = next.iter().map(number).sum();
        all.push(running);
    }
    all
}

fn number(release: &Release) -> u64 {
    match *release {
        Release::Run(ticket) | Release::Shed(ticket, _) => ticket,
    }
}

/// A gate of one slot that has finished 40 requests of 1,000 ms each.
fn seasoned(rules: GateRules) -> Gate {
    let mut gate = ruled(1, rules);
    for n in 0..40 {
        let ticket = 1_000_000 + n;
        assert_eq!(
            gate.arrive(Millis(n * 1_000), arrival(ticket, "a")),
            Verdict::Run
        );
        gate.finish(Millis((n + 1) * 1_000), ticket);
    }
    gate
}

fn from_small(tickets: &[u64]) -> usize {
    tickets.iter().filter(|ticket| **ticket >= 500).count()
}

macro_rules! case {
    ($($name:ident => $body:block)*) => {$(
        #[test]
        fn $name() $body
    )*};
}

case! {
    what_nothing_serves_is_refused_at_once => {
        let mut gate = Gate::default();
        let Verdict::Shed(shed) = gate.arrive(Millis(0), arrival(1, "a")) else { panic!() };
        assert_eq!(shed.reason, ShedReason::Closed);
    }

    slots_bound_what_runs => {
        let mut gate = gate(2);
        assert_eq!(gate.arrive(Millis(0), arrival(1, "a")), Verdict::Run);
        assert_eq!(gate.arrive(Millis(0), arrival(2, "a")), Verdict::Run);
        assert_eq!(gate.arrive(Millis(0), arrival(3, "a")), Verdict::Wait);
        assert!(poll(&mut gate, 1).is_empty());
        gate.finish(Millis(2), 1);
        assert_eq!(poll(&mut gate, 2), vec![Release::Run(3)]);
    }

    more_slots_release_what_waits => {
        let mut gate = gate(0);
        gate.arrive(Millis(0), arrival(1, "a"));
        gate.capacity(Millis(5), &kind("chat"), 1);
        assert_eq!(poll(&mut gate, 5), vec![Release::Run(1)]);
    }

    a_small_workspace_keeps_its_half_under_a_flood => {
        let mut gate = gate(1);
        gate.arrive(Millis(0), arrival(0, "large"));
        for ticket in 1..=400 {
            gate.arrive(Millis(0), arrival(ticket, "large"));
        }
        for ticket in 500..=539 {
            gate.arrive(Millis(0), arrival(ticket, "small"));
        }
        let first = order(&mut gate, 0, 80);
        assert_eq!(from_small(&first), 40);
        assert!(from_small(&first[..10]) >= 4);
    }

    without_shares_the_small_one_waits_for_all => {
        let mut gate = ruled(1, GateRules { fair: false, ..GateRules::default() });
        gate.arrive(Millis(0), arrival(0, "large"));
        for ticket in 1..=400 {
            gate.arrive(Millis(0), arrival(ticket, "large"));
        }
        gate.arrive(Millis(0), arrival(500, "small"));
        assert_eq!(from_small(&order(&mut gate, 0, 400)), 0);
    }

    shares_weigh => {
        let mut gate = gate(1);
        gate.arrive(Millis(0), arrival(0, "large"));
        for ticket in 1..=100 {
            gate.arrive(Millis(0), arrival(ticket, "large"));
            gate.arrive(Millis(0), Arrival { share: 3, ..arrival(500 + ticket, "small") });
        }
        // With the one that ran first: 76 of 101.
        assert_eq!(from_small(&order(&mut gate, 0, 100)), 76);
    }

    tokens_weigh_not_requests => {
        let mut gate = gate(1);
        gate.arrive(Millis(0), arrival(0, "large"));
        for ticket in 1..=100 {
            gate.arrive(Millis(0), Arrival { cost: Tokens(400), ..arrival(ticket, "large") });
            gate.arrive(Millis(0), arrival(500 + ticket, "small"));
        }
        assert_eq!(from_small(&order(&mut gate, 0, 100)), 80);
    }

    an_idle_workspace_saves_nothing_up => {
        let mut gate = gate(1);
        gate.arrive(Millis(0), arrival(0, "large"));
        for ticket in 1..=300 {
            gate.arrive(Millis(0), arrival(ticket, "large"));
        }
        let last = *order(&mut gate, 0, 100).last().expect("one");
        for ticket in 500..=600 {
            gate.arrive(Millis(0), arrival(ticket, "small"));
        }
        assert_eq!(from_small(&order(&mut gate, last, 100)), 50);
    }

    desk_calls_go_before_drafts_and_drafts_still_run => {
        let mut gate = gate(1);
        gate.arrive(Millis(0), arrival(0, "a"));
        for ticket in 1..=200 {
            gate.arrive(Millis(0), arrival(ticket, "a"));
        }
        for ticket in 500..=699 {
            gate.arrive(Millis(0), Arrival { priority: 10, ..arrival(ticket, "a") });
        }
        let first = order(&mut gate, 0, 120);
        // With the one that ran first: 111 of 121 for the class with 11 of 12 parts.
        assert_eq!(from_small(&first), 111);
        assert_eq!(from_small(&first[..1]), 1);
    }

    a_full_queue_drops_the_newest_of_the_longest => {
        let mut gate = ruled(1, GateRules { queue: 3, ..GateRules::default() });
        gate.arrive(Millis(0), arrival(0, "large"));
        for ticket in 1..=3 {
            gate.arrive(Millis(0), arrival(ticket, "large"));
        }
        assert!(matches!(gate.arrive(Millis(0), arrival(4, "large")), Verdict::Shed(Shed { reason: ShedReason::Full, .. })));
        assert_eq!(gate.arrive(Millis(0), arrival(500, "small")), Verdict::Wait);
        assert!(matches!(poll(&mut gate, 0)[..], [Release::Shed(3, Shed { reason: ShedReason::Full, .. })]));
        assert_eq!(gate.waiting(), 3);
    }

    a_hopeless_arrival_is_refused_at_once => {
        let mut gate = seasoned(GateRules::default());
        let now = Millis(40_000);
        for ticket in 0..10 {
            gate.arrive(now, arrival(ticket, "a"));
        }
        let late = Arrival { deadline: now + Millis(5_000), ..arrival(20, "a") };
        let Verdict::Shed(shed) = gate.arrive(now, late) else { panic!("held back") };
        assert_eq!(shed.reason, ShedReason::Deadline);
        assert!((9_000..=12_000).contains(&shed.after.0), "{shed:?}");
        let soon = Arrival { deadline: now + Millis(15_000), ..arrival(21, "a") };
        assert_eq!(gate.arrive(now, soon), Verdict::Wait);
    }

    without_foresight_it_is_held_back => {
        let mut gate = seasoned(GateRules { foresight: false, ..GateRules::default() });
        let now = Millis(40_000);
        for ticket in 0..10 {
            gate.arrive(now, arrival(ticket, "a"));
        }
        let late = Arrival { deadline: now + Millis(5_000), ..arrival(20, "a") };
        assert_eq!(gate.arrive(now, late), Verdict::Wait);
    }

    a_small_workspace_is_not_refused_for_the_queue_of_a_large_one => {
        let mut gate = seasoned(GateRules::default());
        let now = Millis(40_000);
        for ticket in 0..50 {
            gate.arrive(now, arrival(ticket, "large"));
        }
        let small = Arrival { deadline: now + Millis(5_000), ..arrival(500, "small") };
        assert_eq!(gate.arrive(now, small), Verdict::Wait);
    }

    what_became_hopeless_is_refused_when_that_is_clear => {
        let mut gate = seasoned(GateRules::default());
        gate.capacity(Millis(40_000), &kind("chat"), 10);
        let now = Millis(40_000);
        for ticket in 0..30 {
            let one = Arrival { deadline: now + Millis(10_000), ..arrival(ticket, "a") };
            assert!(!matches!(gate.arrive(now, one), Verdict::Shed(_)));
        }
        assert!(poll(&mut gate, 40_050).is_empty());
        gate.capacity(Millis(40_100), &kind("chat"), 1);
        let shed = poll(&mut gate, 40_100);
        assert!(shed.len() > 5 && shed.iter().all(|one| matches!(one, Release::Shed(..))), "{shed:?}");
    }

    without_any_slot_what_waits_is_refused_after_the_grace => {
        let mut gate = gate(1);
        gate.arrive(Millis(0), arrival(1, "a"));
        gate.arrive(Millis(0), arrival(2, "a"));
        gate.capacity(Millis(10), &kind("chat"), 0);
        assert!(poll(&mut gate, 1_000).is_empty());
        assert!(matches!(poll(&mut gate, 1_050)[..], [Release::Shed(2, Shed { reason: ShedReason::Closed, .. })]));
        assert!(matches!(gate.arrive(Millis(1_060), arrival(3, "a")), Verdict::Shed(_)));
    }

    a_cancelled_request_gives_its_place_up => {
        let mut gate = gate(1);
        gate.arrive(Millis(0), arrival(1, "a"));
        gate.arrive(Millis(0), arrival(2, "a"));
        gate.arrive(Millis(0), arrival(3, "a"));
        gate.cancel(Millis(1), 2);
        gate.cancel(Millis(1), 1);
        gate.cancel(Millis(1), 99);
        assert_eq!(poll(&mut gate, 1), vec![Release::Run(3)]);
        assert_eq!((gate.running(), gate.waiting()), (1, 0));
    }

    kinds_that_come_to_share_upstreams_share_a_line => {
        let mut gate = gate(1);
        gate.capacity(Millis(0), &kind("draft"), 1);
        for (ticket, name) in [(1, "chat"), (2, "draft"), (3, "chat"), (4, "draft")] {
            gate.arrive(Millis(0), Arrival { kind: kind(name), ..arrival(ticket, "a") });
        }
        let pool = Pool { kinds: vec![kind("chat"), kind("draft")], slots: 2 };
        gate.arrange(Millis(1), std::slice::from_ref(&pool));
        assert!(poll(&mut gate, 1).is_empty());
        assert_eq!((gate.running(), gate.waiting()), (2, 2));
        gate.finish(Millis(2), 1);
        gate.finish(Millis(2), 2);
        assert_eq!(poll(&mut gate, 2).len(), 2);
        gate.arrange(Millis(3), &[]);
        assert!(matches!(gate.arrive(Millis(5_000), arrival(5, "a")), Verdict::Shed(_)));
        gate.arrange(Millis(5_000), &[pool]);
        gate.finish(Millis(5_001), 3);
        assert_eq!(gate.arrive(Millis(5_002), arrival(6, "a")), Verdict::Run);
    }
}
