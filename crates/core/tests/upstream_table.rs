//! Discovery, drain, ejection and choice of upstreams in one router's table.

use chestnutnotch_core::id::DataCentre;
use chestnutnotch_core::id::Fingerprint;
use chestnutnotch_core::id::Host;
use chestnutnotch_core::id::Model;
use chestnutnotch_core::id::Upstream;
use chestnutnotch_core::unit::Incarnation;
use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::upstream::Announcement;
use chestnutnotch_core::upstream::Assignment;
use chestnutnotch_core::upstream::AttemptOutcome;
use chestnutnotch_core::upstream::Availability;
use chestnutnotch_core::upstream::ChoiceError;
use chestnutnotch_core::upstream::Criteria;
use chestnutnotch_core::upstream::Kind;
use chestnutnotch_core::upstream::Load;
use chestnutnotch_core::upstream::Offer;
use chestnutnotch_core::upstream::Phase;
use chestnutnotch_core::upstream::Pick;
use chestnutnotch_core::upstream::Table;
use chestnutnotch_core::upstream::TableConfig;
use chestnutnotch_core::upstream::announce::Loaded;

const SLOTS: u32 = 4;

fn announcement(name: &str, incarnation: u64, seq: u64) -> Announcement {
    let loaded = Loaded {
        model: Model::from("chat"),
        adapter: None,
        version: 1,
    };
    Announcement {
        upstream: Upstream::from(name),
        incarnation: Incarnation(incarnation),
        seq,
        address: ([127, 0, 0, 1], 9000).into(),
        centre: DataCentre::from("a"),
        phase: Phase::Ready,
        offer: Offer::Models(vec![loaded]),
        slots: SLOTS,
        load: Load::default(),
        fences: false,
        cached: Vec::new(),
        evicted: Vec::new(),
    }
}

fn leaving(name: &str, incarnation: u64, seq: u64) -> Announcement {
    Announcement {
        phase: Phase::Leaving,
        ..announcement(name, incarnation, seq)
    }
}

fn criteria() -> Criteria {
    Criteria {
        sizes: Vec::new(),
        session_prefix: None,
        kind: Kind::Model(Model::from("chat"), None),
        priority: 0,
        prefixes: Vec::new(),
        body: Fingerprint::of("body"),
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

fn availability(table: &Table, now: u64, name: &str) -> Availability {
    table
        .statuses(Millis(now))
        .find(|row| row.upstream.as_str() == name)
        .expect("a row")
        .availability
}

fn pick(table: &mut Table, now: u64) -> Pick {
    table.choose(Millis(now), &criteria()).expect("an upstream")
}

fn choice_error(table: &mut Table, now: u64) -> ChoiceError {
    table.choose(Millis(now), &criteria()).expect_err("none")
}

macro_rules! case {
    ($($name:ident => $body:block)*) => {$(
        #[test]
        fn $name() $body
    )*};
}

case! {
    nothing_known => {
        assert_eq!(choice_error(&mut table(&[]), 0), ChoiceError::NoneKnown);
    }

    a_first_sighting_is_asked_before_use => {
        let mut table = Table::new(DataCentre::from("a"));
        table.observe(Millis(0), announcement("w1", 1, 7));
        assert!(pick(&mut table, 0).needs_probe);
        table.observe(Millis(1), announcement("w1", 1, 8));
        assert!(!pick(&mut table, 1).needs_probe);
    }

    a_repeat_is_no_news_and_no_proof => {
        let mut table = Table::new(DataCentre::from("a"));
        assert!(table.observe(Millis(0), announcement("w1", 1, 7)));
        assert!(!table.observe(Millis(1), announcement("w1", 1, 7)));
        assert!(pick(&mut table, 1).needs_probe);
    }

    a_leave_ends_new_work_though_attempts_are_open => {
        let mut table = table(&["w1"]);
        let open = pick(&mut table, 0);
        table.observe(Millis(1), leaving("w1", 1, 3));
        table.observe(Millis(2), announcement("w1", 1, 4));
        assert_eq!(choice_error(&mut table, 2), ChoiceError::NoneUsable);
        table.end(Millis(3), open.attempt, AttemptOutcome::Completed);
        assert_eq!(choice_error(&mut table, 3), ChoiceError::NoneUsable);
        assert_eq!(availability(&table, 3, "w1"), Availability::Leaving);
    }

    a_new_start_after_a_leave_is_used_once_asked => {
        let mut table = table(&["w1"]);
        table.observe(Millis(1), leaving("w1", 1, 3));
        table.observe(Millis(2), announcement("w1", 2, 1));
        let pick = pick(&mut table, 2);
        assert!(pick.needs_probe);
        assert_eq!(pick.incarnation, Incarnation(2));
    }

    a_leave_that_is_forgotten_does_not_come_back_unasked => {
        let mut table = table(&["w1"]);
        table.observe(Millis(1), leaving("w1", 1, 3));
        table.tick(Millis(10_000_000));
        assert_eq!(table.statuses(Millis(10_000_000)).count(), 0);
        table.observe(Millis(10_000_000), announcement("w1", 1, 2));
        assert!(pick(&mut table, 10_000_000).needs_probe);
    }

    an_unheard_upstream_is_asked_and_then_used => {
        let mut table = table(&["w1"]);
        let first = pick(&mut table, 5_000);
        assert!(first.needs_probe);
        table.record_probe(Millis(5_001), &first.upstream, first.incarnation, Some(announcement("w1", 1, 3)));
        assert!(!pick(&mut table, 5_002).needs_probe);
    }

    an_upstream_that_does_not_answer_is_not_used => {
        let mut table = table(&["w1"]);
        let first = pick(&mut table, 5_000);
        table.record_probe(Millis(5_001), &first.upstream, first.incarnation, None);
        assert_eq!(choice_error(&mut table, 5_002), ChoiceError::NoneUsable);
        table.observe(Millis(5_003), announcement("w1", 1, 9));
        assert_eq!(choice_error(&mut table, 5_004), ChoiceError::NoneUsable);
        assert!(pick(&mut table, 8_000).needs_probe);
    }

    an_address_taken_over_by_another_counts_as_silence => {
        let mut table = table(&["w1"]);
        let first = pick(&mut table, 5_000);
        table.record_probe(Millis(5_001), &first.upstream, first.incarnation, Some(announcement("w9", 1, 1)));
        assert_eq!(availability(&table, 5_001, "w1"), Availability::Unresponsive);
    }

    an_answer_that_it_leaves_ends_use => {
        let mut table = table(&["w1"]);
        let first = pick(&mut table, 5_000);
        table.record_probe(Millis(5_001), &first.upstream, first.incarnation, Some(leaving("w1", 1, 3)));
        assert_eq!(choice_error(&mut table, 5_002), ChoiceError::NoneUsable);
    }

    slots_are_respected => {
        let mut table = table(&["w1", "w2"]);
        let picks: Vec<Pick> = (0..2 * SLOTS).map(|_| pick(&mut table, 0)).collect();
        assert_eq!(choice_error(&mut table, 0), ChoiceError::Full);
        table.end(Millis(1), picks[0].attempt, AttemptOutcome::Completed);
        assert_eq!(pick(&mut table, 1).upstream, picks[0].upstream);
    }

    reported_load_of_others_counts => {
        let mut table = table(&["w1"]);
        let load = Load { running: SLOTS, waiting: 0, cache: 0 };
        table.observe(Millis(0), Announcement { load, ..announcement("w1", 1, 3) });
        assert_eq!(choice_error(&mut table, 0), ChoiceError::Full);
    }

    each_router_keeps_its_even_part => {
        let mut table = table(&["w1"]);
        let load = Load { running: SLOTS, waiting: 9, cache: 0 };
        table.observe(Millis(0), Announcement { load, ..announcement("w1", 1, 3) });
        assert_eq!(table.pools(Millis(0), 2)[0].slots, 2);
        pick(&mut table, 0);
        pick(&mut table, 0);
        assert_eq!(choice_error(&mut table, 0), ChoiceError::Full);
    }

    own_attempts_in_a_report_do_not_count_twice => {
        let mut table = table(&["w1"]);
        pick(&mut table, 0);
        pick(&mut table, 0);
        let load = Load { running: 2, waiting: 0, cache: 0 };
        table.observe(Millis(0), Announcement { load, ..announcement("w1", 1, 3) });
        pick(&mut table, 0);
        pick(&mut table, 0);
        assert_eq!(choice_error(&mut table, 0), ChoiceError::Full);
    }

    an_attempt_at_an_old_start_does_not_lower_the_count_of_the_new => {
        let mut table = table(&["w1"]);
        let old = pick(&mut table, 0);
        table.observe(Millis(1), announcement("w1", 2, 1));
        table.observe(Millis(1), announcement("w1", 2, 2));
        pick(&mut table, 1);
        table.end(Millis(2), old.attempt, AttemptOutcome::Neutral);
        let row = table.statuses(Millis(2)).next().expect("a row");
        assert_eq!(row.in_flight, 1);
    }

    overload_pauses_and_does_not_eject => {
        let mut table = table(&["w1"]);
        for now in 0..10 {
            let pick = table.choose(Millis(now * 300), &criteria()).expect("one");
            table.observe(Millis(now * 300), announcement("w1", 1, 10 + now));
            table.end(Millis(now * 300), pick.attempt, AttemptOutcome::Overload);
            assert_eq!(availability(&table, now * 300, "w1"), Availability::Full);
        }
        assert_eq!(availability(&table, 2_950, "w1"), Availability::Available);
    }

    faults_eject_and_a_trial_brings_back => {
        let mut table = table(&["w1", "w2"]);
        let mut now = 0;
        while !matches!(availability(&table, now, "w1"), Availability::Ejected { .. }) {
            let only = Criteria { avoid: vec![Upstream::from("w2")], ..criteria() };
            let pick = table.choose(Millis(now), &only).expect("w1");
            table.end(Millis(now), pick.attempt, AttemptOutcome::Unreachable);
            now += 1;
        }
        assert_eq!(now, 3);
        assert!(matches!(availability(&table, now, "w1"), Availability::Ejected { .. }));
        assert!((0..SLOTS).all(|_| pick(&mut table, now).upstream.as_str() == "w2"));
        table.observe(Millis(1_100), announcement("w1", 1, 3));
        table.observe(Millis(1_100), leaving("w2", 1, 3));
        assert_eq!(availability(&table, 1_100, "w1"), Availability::Stale);
        let trial = pick(&mut table, 1_100);
        assert!(trial.needs_probe);
        assert!(matches!(availability(&table, 1_100, "w1"), Availability::Ejected { .. }));
        assert_eq!(choice_error(&mut table, 1_100), ChoiceError::NoneUsable);
        table.end(Millis(1_200), trial.attempt, AttemptOutcome::Completed);
        assert_eq!(availability(&table, 1_200, "w1"), Availability::Stale);
        table.record_probe(Millis(1_201), &trial.upstream, trial.incarnation, Some(announcement("w1", 1, 4)));
        assert_eq!(availability(&table, 1_201, "w1"), Availability::Available);
    }

    only_an_upstream_without_answers_is_ejected_for_late_ones => {
        let mut stuck = table(&["w1"]);
        let mut slow = table(&["w1"]);
        for now in 0..6 {
            assert_eq!(availability(&stuck, now, "w1"), Availability::Available);
            let attempt = pick(&mut stuck, now);
            stuck.end(Millis(now), attempt.attempt, AttemptOutcome::TimedOut);
        }
        assert!(matches!(availability(&stuck, 6, "w1"), Availability::Ejected { .. }));
        for now in 0..100 {
            for outcome in [AttemptOutcome::TimedOut, AttemptOutcome::Completed] {
                let pick = pick(&mut slow, now);
                slow.end(Millis(now), pick.attempt, outcome);
            }
        }
        assert_eq!(availability(&slow, 100, "w1"), Availability::Available);
    }

    at_most_half_are_taken_out_by_faults => {
        let names = ["w1", "w2", "w3", "w4"];
        let mut table = table(&names);
        for name in names {
            let others: Vec<Upstream> = names.iter().filter(|one| **one != name).map(|one| Upstream::from(*one)).collect();
            let only = Criteria { avoid: others, ..criteria() };
            for _ in 0..3 {
                let pick = table.choose(Millis(0), &only).expect("one");
                table.end(Millis(0), pick.attempt, AttemptOutcome::Unreachable);
            }
        }
        let picks: Vec<Pick> = (0..2 * SLOTS).map(|_| pick(&mut table, 1)).collect();
        assert!(picks.iter().all(|pick| pick.needs_probe));
        assert_eq!(choice_error(&mut table, 1), ChoiceError::Full);
    }

    a_fault_has_the_upstream_asked_at_once => {
        let mut table = table(&["w1", "w2"]);
        let pick = pick(&mut table, 0);
        assert!(table.due_probes(Millis(1)).is_empty());
        table.end(Millis(2), pick.attempt, AttemptOutcome::Unreachable);
        let probes = table.due_probes(Millis(2));
        assert_eq!(probes.len(), 1);
        assert_eq!(probes[0].upstream, pick.upstream);
        assert!(table.due_probes(Millis(3)).is_empty());
        table.record_probe(Millis(4), &pick.upstream, pick.incarnation, None);
        assert_eq!(availability(&table, 4, pick.upstream.as_str()), Availability::Unresponsive);
    }

    a_cached_prefix_draws_and_load_wins => {
        let mut table = table(&["w1", "w2", "w3", "w4", "w5", "w6"]);
        table.observe(Millis(0), Announcement { cached: vec![11, 12], slots: 8, ..announcement("w4", 1, 3) });
        let prompt = Criteria { prefixes: vec![11, 12], ..criteria() };
        assert_eq!(table.choose(Millis(0), &prompt).expect("one").upstream.as_str(), "w4");
        let load = Load { running: 7, waiting: 0, cache: 0 };
        table.observe(Millis(0), Announcement { load, slots: 8, ..announcement("w4", 1, 4) });
        assert_ne!(table.choose(Millis(0), &prompt).expect("one").upstream.as_str(), "w4");
    }

    prompt_sizes_beyond_any_number_are_chosen_for => {
        let mut table = table(&["w1", "w2"]);
        for session_prefix in [None, Some(0)] {
            let odd = Criteria {
                sizes: vec![1, u64::MAX, u64::MAX],
                prefixes: vec![1, 2, 3],
                session_prefix,
                ..criteria()
            };
            assert!(table.choose(Millis(1), &odd).is_ok());
            assert!(table.choose(Millis(1), &odd).is_ok());
        }
    }

    a_late_eviction_does_not_undo_a_newer_routing => {
        let mut table = table(&["w1", "w2", "w3", "w4", "w5", "w6"]);
        let prompt = Criteria { prefixes: vec![11], ..criteria() };
        let first = table.choose(Millis(0), &prompt).expect("one");
        table.end(Millis(1), first.attempt, AttemptOutcome::Completed);
        let name = first.upstream.as_str().to_owned();
        table.observe(Millis(500), Announcement { evicted: vec![11], ..announcement(&name, 1, 3) });
        let second = table.choose(Millis(500), &prompt).expect("one");
        table.end(Millis(501), second.attempt, AttemptOutcome::Completed);
        assert_eq!(second.upstream, first.upstream);
    }

    pools_join_kinds_that_share_an_upstream => {
        let mut table = table(&["w1"]);
        let offer = |names: &[&str]| {
            let models = names.iter().map(|name| Loaded { model: Model::from(*name), adapter: None, version: 1 });
            Offer::Models(models.collect())
        };
        table.observe(Millis(0), Announcement { offer: offer(&["chat", "draft"]), ..announcement("w2", 1, 1) });
        table.observe(Millis(0), Announcement { offer: offer(&["other"]), ..announcement("w3", 1, 1) });
        let mut pools: Vec<(usize, u32)> = table.pools(Millis(0), 1).iter().map(|pool| (pool.kinds.len(), pool.slots)).collect();
        pools.sort_unstable();
        assert_eq!(pools, vec![(1, SLOTS), (2, 2 * SLOTS)]);
    }

    news_go_out_once => {
        let mut table = table(&["w1", "w2"]);
        let peer = Host::from("r2");
        let (cursor, changed) = table.announcements_for(&peer, 0);
        assert_eq!(changed.len(), 2);
        assert_eq!(table.announcements_for(&peer, cursor).1.len(), 0);
        table.observe(Millis(1), announcement("w2", 1, 3));
        let (_, changed) = table.announcements_for(&peer, cursor);
        assert_eq!(changed.len(), 1);
    }

    many_upstreams_are_shared_out_and_a_leave_goes_to_all => {
        let hosts: Vec<Host> = (0..37).map(|n| Host::from(format!("r{n}"))).collect();
        let mut table = Table::new(DataCentre::from("a"));
        table.set_routers(hosts.clone());
        let names: Vec<String> = (0..453).map(|n| format!("w{n}")).collect();
        for name in &names {
            table.observe(Millis(0), announcement(name, 1, 1));
        }
        let counts: Vec<usize> = hosts.iter().map(|host| table.announcements_for(host, 0).1.len()).collect();
        assert_eq!(counts.iter().sum::<usize>(), 453 * TableConfig::default().copies);
        assert!(counts.iter().all(|count| (15..=70).contains(count)), "{counts:?}");
        let (cursor, _) = table.announcements_for(&hosts[0], 0);
        table.observe(Millis(1), leaving("w7", 1, 2));
        assert!(hosts.iter().all(|host| table.announcements_for(host, cursor).1.len() == 1));
    }

    a_lost_router_moves_only_its_upstreams => {
        let hosts: Vec<Host> = (0..37).map(|n| Host::from(format!("r{n}"))).collect();
        let before = Assignment::new(hosts.clone());
        let after = Assignment::new(hosts[1..].iter().cloned());
        for n in 0..453 {
            let upstream = Upstream::from(format!("w{n}"));
            let assigned = hosts[1..].iter().filter(|host| before.assigns(host, &upstream, 3));
            assert!(assigned.into_iter().all(|host| after.assigns(host, &upstream, 3)));
        }
    }
}
