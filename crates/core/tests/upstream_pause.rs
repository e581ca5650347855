//! Pauses that upstreams ask a router for: which end holds, and which requests reach an upstream
//! before and after it.
#![allow(clippy::panic, clippy::unwrap_used)]

use std::net::SocketAddr;

use chestnutnotch_core::id::DataCentre;
use chestnutnotch_core::id::Fingerprint;
use chestnutnotch_core::id::Service;
use chestnutnotch_core::id::Upstream;
use chestnutnotch_core::unit::Incarnation;
use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::unit::RequestRate;
use chestnutnotch_core::upstream::Announcement;
use chestnutnotch_core::upstream::AttemptOutcome;
use chestnutnotch_core::upstream::Availability;
use chestnutnotch_core::upstream::ChoiceError;
use chestnutnotch_core::upstream::Criteria;
use chestnutnotch_core::upstream::Kind;
use chestnutnotch_core::upstream::Load;
use chestnutnotch_core::upstream::MAX_PAUSE;
use chestnutnotch_core::upstream::Offer;
use chestnutnotch_core::upstream::Pause;
use chestnutnotch_core::upstream::Phase;
use chestnutnotch_core::upstream::Pick;
use chestnutnotch_core::upstream::Table;
use chestnutnotch_core::upstream::TableConfig;

/// Defines a test for each named case: the steps, and the end of the pause after them, if one is in
/// force at 1,000 ms.
macro_rules! pauses {
    ($($name:ident: [$($step:expr),* $(,)?] => $end:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut pause = Pause::default();
                let steps: &[&dyn Fn(&mut Pause)] = &[$(&$step),*];
                steps.iter().for_each(|step| step(&mut pause));
                assert_eq!(pause.active_until(Millis(1_000)), $end.map(Millis));
            }
        )*
    };
}

/// An answer that arrives at `at` to a request that was sent at `sent`, and asks for a pause.
fn ask(sent: u64, at: u64, length: u64) -> impl Fn(&mut Pause) {
    move |pause| pause.ask(Millis(at), Millis(sent), Millis(length))
}

const NONE: Option<u64> = None;

pauses! {
    no_answer_asks_for_a_pause: [] => NONE;
    a_pause_lasts_from_the_answer: [ask(100, 900, 300)] => Some(1_200);
    a_pause_ends: [ask(100, 900, 100)] => NONE;
    a_later_request_shortens_it: [ask(100, 500, 5_000), ask(600, 700, 800)] => Some(1_500);
    a_later_request_prolongs_it: [ask(100, 500, 800), ask(600, 700, 5_000)] => Some(5_700);
    a_request_sent_before_does_not_shorten_it: [ask(100, 500, 5_000), ask(400, 700, 800)] => Some(5_500);
    a_request_sent_before_prolongs_it: [ask(100, 500, 800), ask(400, 700, 5_000)] => Some(5_700);
    an_old_answer_does_not_start_it_again: [ask(100, 200, 100), ask(150, 300, 100)] => NONE;
    a_pause_without_bounds_is_kept_for_a_while: [ask(100, 500, u64::MAX)] => Some(500 + MAX_PAUSE.0);
}

fn announcement(number: u16, incarnation: u64, seq: u64) -> Announcement {
    Announcement {
        upstream: Upstream::from(&*format!("u{number}")),
        incarnation: Incarnation(incarnation),
        seq,
        phase: Phase::Ready,
        centre: DataCentre::from("a"),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000 + number)),
        offer: Offer::Service(Service::from("s")),
        slots: 8,
        load: Load::default(),
        cached: Vec::new(),
        evicted: Vec::new(),
        fences: false,
    }
}

/// Returns a table with ready upstreams `u0`, `u1` and so on, which are known by heartbeats or by
/// announcements with load.
fn table_of(count: u16, heartbeat_only: bool) -> Table {
    let config = TableConfig {
        heartbeat_only,
        stale_after: Millis(1_000_000),
        ..TableConfig::default()
    };
    let mut table = Table::with_config(DataCentre::from("a"), config, 1);
    for number in 0..count {
        table.observe(Millis(1), announcement(number, 1, 1));
        table.observe(Millis(1), announcement(number, 1, 2));
    }
    table
}

fn table(count: u16) -> Table {
    table_of(count, true)
}

fn upstream(number: u16) -> Upstream {
    announcement(number, 1, 1).upstream
}

/// Returns the criteria of a request of a session, whose prompt ends with a part of its own.
fn criteria(own: u64, avoid: &[Upstream]) -> Criteria {
    Criteria {
        kind: Kind::Service(Service::from("s")),
        priority: 1,
        prefixes: vec![7, 1_000 + own],
        sizes: vec![5_000, 10],
        session_prefix: Some(0),
        body: Fingerprint::default(),
        parts: Vec::new(),
        avoid: avoid.to_vec(),
        release: None,
    }
}

fn choose(table: &mut Table, now: u64) -> Result<Pick, ChoiceError> {
    table.choose(Millis(now), &criteria(now, &[]))
}

/// Chooses one upstream, as all others were tried already.
fn choose_only(table: &mut Table, now: u64, only: u16, count: u16) -> Result<Pick, ChoiceError> {
    let avoid: Vec<Upstream> = (0..count).filter(|n| *n != only).map(upstream).collect();
    table.choose(Millis(now), &criteria(now, &avoid))
}

/// Ends an attempt with a refusal that asks for a pause.
fn refuse(table: &mut Table, now: u64, pick: &Pick, length: u64) {
    table.observe_pause(Millis(now), pick.attempt, Millis(length));
    table.end(Millis(now), pick.attempt, AttemptOutcome::Overload);
}

/// Has each of the upstreams ask for a pause of this length at the time 20.
fn pause_all(table: &mut Table, lengths: &[u64]) {
    let count = lengths.len() as u16;
    for (number, length) in (0..count).zip(lengths) {
        let pick = choose_only(table, 10, number, count).unwrap();
        refuse(table, 20, &pick, *length);
    }
}

fn availability(table: &Table, now: u64, number: u16) -> Availability {
    let name = upstream(number);
    let mut rows = table.statuses(Millis(now));
    rows.find(|row| row.upstream == name).unwrap().availability
}

#[test]
fn session_goes_elsewhere_while_its_upstream_is_paused() {
    let mut table = table(3);
    let home = choose(&mut table, 10).unwrap();
    refuse(&mut table, 20, &home, 3_000);
    for now in (30..3_020).step_by(10) {
        let pick = choose(&mut table, now).unwrap();
        assert_ne!(pick.upstream, home.upstream, "at {now} ms");
        assert_eq!(pick.paused, 1);
        table.end(Millis(now + 1), pick.attempt, AttemptOutcome::Completed);
    }
    assert_eq!(choose(&mut table, 3_020).unwrap().paused, 0);
}

#[test]
fn paused_upstream_is_no_last_resort() {
    let mut table = table(1);
    pause_all(&mut table, &[3_000]);
    for now in (30..3_020).step_by(10) {
        let error = choose(&mut table, now).unwrap_err();
        assert!(
            matches!(error, ChoiceError::Paused { .. }),
            "{error} at {now} ms"
        );
    }
}

#[test]
fn paused_upstream_is_not_used_though_all_others_are_ejected() {
    let mut table = table(2);
    pause_all(&mut table, &[60_000, 10]);
    // More faults than the breaker allows.
    for now in 100..104 {
        let Ok(pick) = choose_only(&mut table, now, 1, 2) else {
            break;
        };
        table.end(Millis(now), pick.attempt, AttemptOutcome::Broken);
    }
    for now in (110..30_000).step_by(100) {
        if let Ok(pick) = choose(&mut table, now) {
            assert_eq!(pick.upstream, upstream(1));
            table.end(Millis(now), pick.attempt, AttemptOutcome::Broken);
        }
    }
}

#[test]
fn half_open_breaker_does_not_try_a_paused_upstream() {
    let mut table = table(1);
    let first = choose(&mut table, 10).unwrap();
    for now in 11..14 {
        let pick = choose(&mut table, now).unwrap();
        table.end(Millis(now), pick.attempt, AttemptOutcome::Broken);
    }
    refuse(&mut table, 20, &first, 60_000);
    for now in (30..60_000).step_by(100) {
        assert!(choose(&mut table, now).is_err(), "at {now} ms");
    }
}

#[test]
fn paused_upstream_is_not_probed() {
    let mut table = table_of(1, false);
    let pick = choose(&mut table, 10).unwrap();
    let other = choose(&mut table, 10).unwrap();
    refuse(&mut table, 20, &pick, 5_000);
    table.end(Millis(21), other.attempt, AttemptOutcome::Broken);
    assert_eq!(table.due_probes(Millis(22)).len(), 0);
    assert_eq!(table.due_probes(Millis(5_020)).len(), 1);
}

#[test]
fn callers_are_told_when_the_first_pause_ends() {
    let mut table = table(3);
    pause_all(&mut table, &[9_000, 4_000, 6_000]);
    for now in (30..4_000).step_by(50) {
        let Err(ChoiceError::Paused { until }) = choose(&mut table, now) else {
            panic!("not paused at {now} ms");
        };
        let latest = 4_020 + (4_020 - now) / 4 + 100;
        assert!((4_020..latest).contains(&until.0), "{until:?} at {now} ms");
    }
}

#[test]
fn callers_do_not_return_together() {
    let mut table = table(1);
    pause_all(&mut table, &[4_000]);
    let mut ends: Vec<u64> = (0..100)
        .filter_map(|_| match choose(&mut table, 20) {
            Err(ChoiceError::Paused { until }) => Some(until.0),
            _ => None,
        })
        .collect();
    ends.sort_unstable();
    let most = ends
        .iter()
        .map(|start| {
            ends.iter()
                .filter(|end| (*start..*start + 100).contains(end))
                .count()
        })
        .max();
    assert!(most < Some(25), "{most:?} of 100 return within 100 ms");
}

#[test]
fn caller_may_retry_soon_if_another_upstream_was_only_tried() {
    let mut table = table(2);
    pause_all(&mut table, &[60_000, 10]);
    let error = table
        .choose(Millis(400), &criteria(400, &[upstream(1)]))
        .unwrap_err();
    assert_eq!(error, ChoiceError::NoneUsable);
}

#[test]
fn restart_ends_a_pause() {
    let mut table = table(1);
    pause_all(&mut table, &[60_000]);
    table.observe(Millis(30), announcement(0, 2, 1));
    assert!(choose(&mut table, 31).is_ok());
}

#[test]
fn answer_of_an_earlier_start_asks_for_nothing() {
    let mut table = table(1);
    let pick = choose(&mut table, 10).unwrap();
    table.observe(Millis(20), announcement(0, 2, 1));
    refuse(&mut table, 30, &pick, 60_000);
    assert!(choose(&mut table, 31).is_ok());
}

#[test]
fn late_heartbeat_does_not_end_a_pause() {
    let mut table = table(1);
    pause_all(&mut table, &[60_000]);
    table.observe(Millis(30), announcement(0, 1, 9));
    assert!(choose(&mut table, 31).is_err());
}

#[test]
fn answer_to_a_request_sent_before_does_not_end_a_pause() {
    let mut table = table(1);
    let first = choose(&mut table, 10).unwrap();
    let second = choose(&mut table, 10).unwrap();
    refuse(&mut table, 20, &first, 60_000);
    table.record_answer_head(Millis(30), second.attempt);
    table.end(Millis(40), second.attempt, AttemptOutcome::Completed);
    assert!(choose(&mut table, 50).is_err());
}

#[test]
fn chosen_upstream_that_asks_for_a_pause_meanwhile_gets_nothing() {
    let mut table = table(1);
    let first = choose(&mut table, 10).unwrap();
    let waiting = choose(&mut table, 10).unwrap();
    assert!(table.may_send(Millis(15), &waiting));
    refuse(&mut table, 20, &first, 1_000);
    assert!(!table.may_send(Millis(25), &waiting));
    assert!(table.may_send(Millis(1_020), &waiting));
}

#[test]
fn chosen_upstream_that_leaves_meanwhile_gets_nothing() {
    let mut table = table(1);
    let waiting = choose(&mut table, 10).unwrap();
    let leaving = Announcement {
        phase: Phase::Leaving,
        ..announcement(0, 1, 3)
    };
    table.observe(Millis(20), leaving);
    assert!(!table.may_send(Millis(21), &waiting));
}

#[test]
fn upstream_is_tried_by_one_request_after_a_pause() {
    let mut table = table(2);
    pause_all(&mut table, &[1_000, 10]);
    let other = choose(&mut table, 500).unwrap();
    table.record_answer_head(Millis(501), other.attempt);
    let mut picks = Vec::new();
    for _ in 0..6 {
        picks.push(choose(&mut table, 1_100).unwrap());
    }
    let trials = picks.iter().filter(|pick| pick.upstream == upstream(0));
    assert_eq!(trials.count(), 1);
    let trial = picks.iter().find(|pick| pick.upstream == upstream(0));
    table.record_answer_head(Millis(1_200), trial.unwrap().attempt);
    assert_eq!(availability(&table, 1_200, 0), Availability::Available);
}

#[test]
fn only_upstream_takes_all_requests_after_a_pause() {
    let mut table = table(1);
    pause_all(&mut table, &[1_000]);
    for _ in 0..6 {
        assert!(choose(&mut table, 1_100).is_ok());
    }
}

#[test]
fn failed_trial_is_followed_by_another() {
    let mut table = table(1);
    pause_all(&mut table, &[1_000]);
    let trial = choose(&mut table, 1_100).unwrap();
    assert_eq!(availability(&table, 1_100, 0), Availability::Full);
    table.end(Millis(1_110), trial.attempt, AttemptOutcome::Neutral);
    assert_eq!(availability(&table, 1_110, 0), Availability::Available);
}

#[test]
fn request_rate_and_pause_hold_together() {
    let mut table = table(1);
    let first = choose(&mut table, 10).unwrap();
    let rate = Some(RequestRate(1_000_000));
    table.observe_rate(Millis(20), first.attempt, rate);
    refuse(&mut table, 20, &first, 1_000);
    let error = choose(&mut table, 30).unwrap_err();
    assert!(matches!(error, ChoiceError::Paused { .. }), "{error}");
    // The pause has ended, and the rate still holds.
    let error = choose(&mut table, 1_030).unwrap_err();
    assert!(matches!(error, ChoiceError::RateLimited { .. }), "{error}");
}

#[test]
fn operators_see_a_pause() {
    let mut table = table(1);
    pause_all(&mut table, &[3_000]);
    let until = Millis(3_020);
    assert_eq!(availability(&table, 30, 0), Availability::Paused { until });
    let first = table.first_paused(Millis(30), &Kind::Service(Service::from("s")));
    assert_eq!(first, Some((&upstream(0), Millis(20))));
}

#[test]
fn engine_known_by_announcements_gets_nothing_in_its_pause() {
    let mut table = table_of(2, false);
    let home = choose(&mut table, 10).unwrap();
    refuse(&mut table, 20, &home, 900);
    for now in (30..920).step_by(10) {
        let pick = choose(&mut table, now).unwrap();
        assert_ne!(pick.upstream, home.upstream);
        table.end(Millis(now + 1), pick.attempt, AttemptOutcome::Completed);
    }
}
