//! Quarantine of requests that crash upstreams: cases at one router, and seeded simulations of
//! several routers through which a caller resends a crashing request.

use chestnutnotch_core::id::DataCentre;
use chestnutnotch_core::id::Fingerprint;
use chestnutnotch_core::id::Service;
use chestnutnotch_core::id::Upstream;
use chestnutnotch_core::unit::Incarnation;
use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::upstream::Announcement;
use chestnutnotch_core::upstream::AttemptOutcome;
use chestnutnotch_core::upstream::ChoiceError;
use chestnutnotch_core::upstream::Crash;
use chestnutnotch_core::upstream::Criteria;
use chestnutnotch_core::upstream::Kind;
use chestnutnotch_core::upstream::Load;
use chestnutnotch_core::upstream::Offer;
use chestnutnotch_core::upstream::Phase;
use chestnutnotch_core::upstream::Pick;
use chestnutnotch_core::upstream::Table;
use chestnutnotch_core::upstream::TableConfig;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn announcement(name: &str, incarnation: u64, seq: u64) -> Announcement {
    Announcement {
        upstream: Upstream::from(name),
        incarnation: Incarnation(incarnation),
        seq,
        address: ([127, 0, 0, 1], 9000).into(),
        centre: DataCentre::from("a"),
        phase: Phase::Ready,
        offer: Offer::Service(Service::from("desk")),
        slots: 8,
        load: Load::default(),
        fences: false,
        cached: Vec::new(),
        evicted: Vec::new(),
    }
}

fn criteria(body: &str) -> Criteria {
    Criteria {
        sizes: Vec::new(),
        session_prefix: None,
        kind: Kind::Service(Service::from("desk")),
        priority: 0,
        prefixes: Vec::new(),
        body: Fingerprint::of(body),
        parts: Vec::new(),
        avoid: Vec::new(),
        release: None,
    }
}

/// Returns a table in which these upstreams are confirmed and fresh at time 0.
fn table(names: &[&str]) -> Table {
    let mut table = Table::new(DataCentre::from("a"));
    for name in names {
        table.observe(Millis(0), announcement(name, 1, 1));
        table.observe(Millis(0), announcement(name, 1, 2));
    }
    table
}

/// Chooses an upstream for a request and ends the attempt with this outcome.
fn run(table: &mut Table, now: u64, body: &str, outcome: AttemptOutcome) -> Pick {
    let pick = table.choose(Millis(now), &criteria(body)).expect("one");
    table.end(Millis(now), pick.attempt, outcome);
    pick
}

/// Records an answer of this incarnation to a probe of the picked upstream.
fn answer_probe(table: &mut Table, now: u64, pick: &Pick, incarnation: u64) {
    let answer = announcement(pick.upstream.as_str(), incarnation, 50 + now);
    table.record_probe(Millis(now), &pick.upstream, pick.incarnation, Some(answer));
}

/// Returns why a request is refused.
fn refusal(table: &mut Table, now: u64, body: &str) -> ChoiceError {
    table
        .choose(Millis(now), &criteria(body))
        .expect_err("a refusal")
}

macro_rules! case {
    ($($name:ident => $body:block)*) => {$(
        #[test]
        fn $name() $body
    )*};
}

case! {
    two_breaks_hold_a_request_until_both_upstreams_answered => {
        let mut table = table(&["w1", "w2", "w3"]);
        let first = run(&mut table, 1, "p", AttemptOutcome::Broken);
        let second = run(&mut table, 2, "p", AttemptOutcome::Broken);
        assert!(matches!(refusal(&mut table, 3, "p"), ChoiceError::Unconfirmed { .. }));
        assert_eq!(table.due_probes(Millis(3)).len(), 2);
        answer_probe(&mut table, 4, &first, 1);
        answer_probe(&mut table, 4, &second, 1);
        assert!(table.choose(Millis(5), &criteria("p")).is_ok());
    }

    answers_to_other_requests_are_no_evidence_of_a_crash => {
        let mut table = table(&["w1", "w2", "w3"]);
        run(&mut table, 1, "p", AttemptOutcome::Unmatched);
        run(&mut table, 2, "p", AttemptOutcome::Unmatched);
        assert!(table.choose(Millis(3), &criteria("p")).is_ok());
        let mut out = Vec::new();
        table.drain_crashes(&mut out);
        assert!(out.is_empty());
    }

    two_crashes_are_final => {
        let mut table = table(&["w1", "w2", "w3"]);
        let first = run(&mut table, 1, "p", AttemptOutcome::Broken);
        let second = run(&mut table, 2, "p", AttemptOutcome::Broken);
        table.due_probes(Millis(3));
        answer_probe(&mut table, 4, &first, 2);
        table.record_probe(Millis(4), &second.upstream, second.incarnation, None);
        let until = Millis(2) + TableConfig::default().evidence_ttl;
        assert_eq!(refusal(&mut table, 5, "p"), ChoiceError::Quarantined { until });
        assert!(table.choose(Millis(5), &criteria("other")).is_ok());
        let mut out = Vec::new();
        table.drain_crashes(&mut out);
        assert_eq!(out.len(), 2);
    }

    a_whole_answer_acquits => {
        let mut table = table(&["w1", "w2", "w3"]);
        let first = run(&mut table, 1, "p", AttemptOutcome::Broken);
        table.due_probes(Millis(1));
        answer_probe(&mut table, 2, &first, 2);
        run(&mut table, 3, "p", AttemptOutcome::Completed);
        run(&mut table, 4, "p", AttemptOutcome::Broken);
        assert!(table.choose(Millis(5), &criteria("p")).is_ok());
    }

    an_answer_to_a_question_from_before_the_break_refutes_nothing => {
        let mut table = table(&["w1", "w2"]);
        let now = 5_000;
        let first = table.choose(Millis(now), &criteria("p")).expect("one");
        assert!(first.needs_probe);
        table.end(Millis(now + 1), first.attempt, AttemptOutcome::Broken);
        answer_probe(&mut table, now + 2, &first, 1);
        let second = table.choose(Millis(now + 3), &Criteria { avoid: vec![first.upstream.clone()], ..criteria("p") }).expect("one");
        table.end(Millis(now + 4), second.attempt, AttemptOutcome::Broken);
        assert!(matches!(refusal(&mut table, now + 5, "p"), ChoiceError::Unconfirmed { .. }));
    }

    heard_evidence_counts_and_a_direct_answer_refutes_it => {
        let mut table = table(&["w1", "w2", "w3"]);
        let body = Fingerprint::of("p");
        assert!(table.observe_crash(Millis(1), body, &Upstream::from("w1"), Incarnation(1)));
        assert!(!table.observe_crash(Millis(1), body, &Upstream::from("w1"), Incarnation(1)));
        assert!(table.observe_crash(Millis(1), body, &Upstream::from("w2"), Incarnation(1)));
        assert!(matches!(refusal(&mut table, 2, "p"), ChoiceError::Quarantined { .. }));
        let probes = table.due_probes(Millis(2));
        assert_eq!(probes.len(), 2);
        let answer = announcement(probes[0].upstream.as_str(), 1, 9);
        table.record_probe(Millis(3), &probes[0].upstream, probes[0].incarnation, Some(answer));
        assert!(table.choose(Millis(4), &criteria("p")).is_ok());
    }

    connections_that_were_not_made_are_no_evidence => {
        let mut table = table(&["w1", "w2", "w3"]);
        run(&mut table, 1, "p", AttemptOutcome::Unreachable);
        run(&mut table, 1, "p", AttemptOutcome::Unreachable);
        assert!(table.choose(Millis(2), &criteria("p")).is_ok());
    }

    marked_requests_are_kept_apart => {
        let mut table = table(&["w1", "w2", "w3"]);
        for body in ["p", "q"] {
            table.observe_crash(Millis(0), Fingerprint::of(body), &Upstream::from("w9"), Incarnation(1));
        }
        let first = table.choose(Millis(1), &criteria("p")).expect("one");
        let second = table.choose(Millis(1), &criteria("q")).expect("one");
        assert_ne!(first.upstream, second.upstream);
    }

    evidence_expires => {
        let mut table = table(&["w1"]);
        let body = Fingerprint::of("p");
        table.observe_crash(Millis(1), body, &Upstream::from("w8"), Incarnation(1));
        table.observe_crash(Millis(1), body, &Upstream::from("w9"), Incarnation(1));
        assert!(matches!(refusal(&mut table, 600_000, "p"), ChoiceError::Quarantined { .. }));
        table.observe(Millis(600_000), announcement("w1", 1, 3));
        table.tick(Millis(600_001));
        assert!(table.choose(Millis(600_001), &criteria("p")).is_ok());
    }

    evidence_is_bounded_and_crashes_outlast_marks => {
        let mut table = table(&["w1", "w2"]);
        let crashing = Fingerprint::of("p");
        table.observe_crash(Millis(0), crashing, &Upstream::from("w8"), Incarnation(1));
        table.observe_crash(Millis(0), crashing, &Upstream::from("w9"), Incarnation(1));
        for n in 0_u32..10_000 {
            let body = Fingerprint::of(n.to_le_bytes());
            table.observe_crash(Millis(1), body, &Upstream::from("w9"), Incarnation(1));
        }
        assert!(matches!(refusal(&mut table, 2, "p"), ChoiceError::Quarantined { .. }));
    }
}

/// Part of the protocol that a simulation leaves out, to show which fault it prevents.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Disabled {
    Nothing,
    Gossip,
}

/// Step of a simulation. A number is the index of a router, but in `Restart` that of an upstream.
#[derive(Debug)]
enum Event {
    /// The connection of an attempt breaks.
    BreakOff(usize, Pick),
    /// A probe of the router arrives at the upstream; the incarnation is the one that it knows.
    Probe(usize, Upstream, Incarnation),
    /// The probe is answered, or given up with `None`.
    Answer(usize, Upstream, Incarnation, Option<Announcement>),
    /// Crash evidence of another router arrives.
    ReceiveCrash(usize, Crash),
    /// A crashed upstream is up again.
    Restart(usize),
    /// The request arrives at the router.
    Send(usize),
}

/// Simulated routers and upstreams. The caller of the crashing request resends it through the next
/// router a second after each final answer.
struct Fleet {
    rng: ChaCha8Rng,
    disabled: Disabled,
    /// Table of each router.
    tables: Vec<Table>,
    /// Incarnation of each upstream, and whether it is up.
    incarnations: Vec<(u64, bool)>,
    /// Events by time and number.
    queue: std::collections::BTreeMap<(u64, u64), Event>,
    /// Number of the last event; orders events of the same time.
    number: u64,
    /// Number of upstreams that the request crashed.
    crashes: u32,
    /// Number of times that the caller resent the request.
    sent: u32,
    /// Sequence number of the last announcement.
    seq: u64,
}

const ROUTERS: usize = 3;
const UPSTREAMS: usize = 6;
const MAX_RESENDS: u32 = 12;

impl Fleet {
    fn new(seed: u64, disabled: Disabled) -> Self {
        let names: Vec<String> = (0..UPSTREAMS).map(|n| format!("w{n}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let mut fleet = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            disabled,
            tables: (0..ROUTERS).map(|_| table(&names)).collect(),
            incarnations: vec![(1, true); UPSTREAMS],
            queue: std::collections::BTreeMap::new(),
            number: 0,
            crashes: 0,
            sent: 0,
            seq: 100,
        };
        fleet.at(10, Event::Send(0));
        fleet
    }

    /// Schedules an event.
    fn at(&mut self, when: u64, event: Event) {
        self.number += 1;
        self.queue.insert((when, self.number), event);
    }

    /// Schedules an event after a random delay of 1 to `max_delay` milliseconds.
    fn at_random_delay(&mut self, now: u64, max_delay: u64, event: Event) {
        let delay = 1 + self.rng.next_u64() % max_delay;
        self.at(now + delay, event);
    }

    /// Runs all events. Returns how many upstreams the request crashed.
    fn run(mut self) -> u32 {
        while let Some(((now, _), event)) = self.queue.pop_first() {
            self.handle(now, event);
            self.probe(now);
            self.gossip(now);
        }
        self.crashes
    }

    fn handle(&mut self, now: u64, event: Event) {
        match event {
            Event::Send(router) => self.send(now, router),
            Event::BreakOff(router, pick) => {
                self.tables[router].end(Millis(now), pick.attempt, AttemptOutcome::Broken);
                self.send(now, router);
            }
            Event::Probe(router, upstream, known) => {
                let (incarnation, up) = self.incarnations[index(&upstream)];
                self.seq += 1;
                let answer = up.then(|| announcement(upstream.as_str(), incarnation, self.seq));
                let max_delay = if up { 50 } else { 3_000 };
                self.at_random_delay(
                    now,
                    max_delay,
                    Event::Answer(router, upstream, known, answer),
                );
            }
            Event::Answer(router, upstream, known, answer) => {
                self.tables[router].record_probe(Millis(now), &upstream, known, answer);
            }
            Event::ReceiveCrash(router, crash) => {
                self.tables[router].observe_crash(
                    Millis(now),
                    crash.body,
                    &crash.upstream,
                    crash.incarnation,
                );
            }
            Event::Restart(which) => {
                self.incarnations[which] = (self.incarnations[which].0 + 1, true)
            }
        }
    }

    /// Sends the crashing request through a router: the first attempt or the router's own retry.
    fn send(&mut self, now: u64, router: usize) {
        match self.tables[router].choose(Millis(now), &criteria("p")) {
            Ok(pick) => self.crash(now, router, pick),
            Err(_) if self.sent < MAX_RESENDS => {
                self.sent += 1;
                self.at(now + 1_000, Event::Send((router + 1) % ROUTERS));
            }
            Err(_) => {}
        }
    }

    /// Crashes the chosen upstream, or ends the attempt if it is down or has restarted.
    fn crash(&mut self, now: u64, router: usize, pick: Pick) {
        let which = index(&pick.upstream);
        if self.incarnations[which] != (pick.incarnation.0, true) {
            self.tables[router].end(Millis(now), pick.attempt, AttemptOutcome::Unreachable);
            self.at_random_delay(now, 10, Event::Send(router));
            return;
        }
        self.crashes += 1;
        self.incarnations[which].1 = false;
        self.at_random_delay(now, 3_000, Event::Restart(which));
        self.at_random_delay(now, 20, Event::BreakOff(router, pick));
    }

    /// Sends the probes that are due.
    fn probe(&mut self, now: u64) {
        for router in 0..ROUTERS {
            for probe in self.tables[router].due_probes(Millis(now)) {
                self.at_random_delay(
                    now,
                    20,
                    Event::Probe(router, probe.upstream, probe.incarnation),
                );
            }
        }
    }

    /// Sends the new crash evidence of each router to the others.
    fn gossip(&mut self, now: u64) {
        for router in 0..ROUTERS {
            let mut crashes = Vec::new();
            self.tables[router].drain_crashes(&mut crashes);
            if self.disabled == Disabled::Gossip {
                continue;
            }
            for crash in crashes {
                for peer in (0..ROUTERS).filter(|peer| *peer != router) {
                    self.at_random_delay(now, 900, Event::ReceiveCrash(peer, crash.clone()));
                }
            }
        }
    }
}

fn index(upstream: &Upstream) -> usize {
    upstream.as_str()[1..].parse().expect("a number")
}

/// Returns the highest number of crashes over 500 seeds.
fn max_crashes(disabled: Disabled) -> u32 {
    (0..500)
        .map(|seed| Fleet::new(seed, disabled).run())
        .max()
        .unwrap_or(0)
}

case! {
    a_crashing_request_runs_twice_in_the_whole_fleet => {
        assert_eq!(max_crashes(Disabled::Nothing), 2);
    }
    without_spread_it_runs_more_often => {
        assert!(max_crashes(Disabled::Gossip) > 2);
    }
}
