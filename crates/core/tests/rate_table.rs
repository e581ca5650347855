//! Choice among upstreams of which some are at the rates that they name.
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
use chestnutnotch_core::upstream::ChoiceError;
use chestnutnotch_core::upstream::Criteria;
use chestnutnotch_core::upstream::Kind;
use chestnutnotch_core::upstream::Load;
use chestnutnotch_core::upstream::Offer;
use chestnutnotch_core::upstream::Phase;
use chestnutnotch_core::upstream::Table;
use chestnutnotch_core::upstream::TableConfig;
use chestnutnotch_core::upstream::rate::RateNotice;
use chestnutnotch_core::upstream::rate::Reach;

/// One router, which owns all rates.
const REACH: Reach = Reach { live: 1, known: 1 };

/// Returns a table with ready upstreams `u0`, `u1` and so on.
fn table(count: u16) -> Table {
    let config = TableConfig {
        heartbeat_only: true,
        ..TableConfig::default()
    };
    let mut table = Table::with_config(DataCentre::from("a"), config, 1);
    for number in 0..count {
        table.observe(Millis(1), announcement(number, 1));
    }
    table
}

fn announcement(number: u16, incarnation: u64) -> Announcement {
    Announcement {
        upstream: Upstream::from(&*format!("u{number}")),
        incarnation: Incarnation(incarnation),
        seq: 1,
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

/// Sends a request that is answered with a rate, in thousandths; returns the upstream.
fn send(table: &mut Table, now: u64, rate: Option<u64>) -> Result<Upstream, ChoiceError> {
    let pick = table.choose(Millis(now), &criteria(now, &[]))?;
    table.observe_rate(Millis(now + 1), pick.attempt, rate.map(RequestRate));
    table.end(Millis(now + 1), pick.attempt, AttemptOutcome::Completed);
    Ok(pick.upstream)
}

/// Asks the owner, which is this router, for a share of the rate of the upstream that a request would
/// go to.
fn acquire(table: &mut Table, now: u64) -> Option<u64> {
    let limited = table.find_limited(Millis(now), &criteria(now, &[]), 1)?;
    let request = table.ask_share(Millis(now), &limited.upstream)?;
    let own = SocketAddr::from(([127, 0, 0, 1], 1));
    let grant = table.answer_share(Millis(now), own, &request, REACH);
    table.observe_grant(Millis(now), &grant);
    Some(grant.tokens)
}

#[test]
fn session_goes_elsewhere_while_its_upstream_is_at_its_rate() {
    let mut table = table(3);
    let home = send(&mut table, 10, Some(1_000)).unwrap();
    assert_eq!(acquire(&mut table, 20), Some(0));
    // A second later the rate allows one request.
    assert_eq!(acquire(&mut table, 1_100), Some(1));
    assert_eq!(send(&mut table, 1_101, Some(1_000)), Ok(home.clone()));
    let other = send(&mut table, 1_110, None).unwrap();
    assert_ne!(other, home);
}

#[test]
fn retry_counts_against_the_rate() {
    let mut table = table(2);
    let home = send(&mut table, 10, Some(1_000)).unwrap();
    assert_eq!(acquire(&mut table, 20), Some(0));
    assert_eq!(acquire(&mut table, 1_100), Some(1));
    // The first attempt went to the other upstream, and the retry takes what was granted.
    let avoid: Vec<Upstream> = ["u0", "u1"]
        .map(Upstream::from)
        .into_iter()
        .filter(|upstream| *upstream != home)
        .collect();
    let retry = table.choose(Millis(1_101), &criteria(1, &avoid)).unwrap();
    assert_eq!(retry.upstream, home);
    let second = table.choose(Millis(1_102), &criteria(1, &avoid));
    assert!(matches!(second, Err(ChoiceError::RateLimited { .. })));
}

#[test]
fn request_is_refused_with_a_time_when_all_are_at_their_rates() {
    let mut table = table(2);
    send(&mut table, 10, Some(1_000)).unwrap();
    send(&mut table, 20, Some(1_000)).unwrap();
    let refused = send(&mut table, 30, None);
    let Err(ChoiceError::RateLimited { until }) = refused else {
        panic!("{refused:?}");
    };
    assert!(until > Millis(30));
}

#[test]
fn new_start_of_an_upstream_is_not_limited() {
    let mut table = table(1);
    send(&mut table, 10, Some(1_000)).unwrap();
    assert!(send(&mut table, 20, None).is_err());
    table.observe(Millis(30), announcement(0, 2));
    assert!(send(&mut table, 40, None).is_ok());
    assert!(send(&mut table, 50, None).is_ok());
}

#[test]
fn late_answer_of_an_earlier_start_does_not_limit_the_new_one() {
    let mut table = table(1);
    let pick = table.choose(Millis(10), &criteria(1, &[])).unwrap();
    table.observe(Millis(30), announcement(0, 2));
    table.observe_rate(Millis(40), pick.attempt, Some(RequestRate(1_000)));
    assert!(send(&mut table, 50, None).is_ok());
}

/// Another router states a rate with numbers that no router can have. A later answer still counts.
macro_rules! odd_notice {
    ($($name:ident: $incarnation:expr, $version:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut table = table(1);
            let notice = RateNotice {
                upstream: Upstream::from("u0"),
                incarnation: Incarnation($incarnation),
                version: $version,
                rate: Some(RequestRate(5_000)),
            };
            assert_eq!(table.observe_rate_notice(Millis(5), &notice), None);
            send(&mut table, 2_000, Some(1_000)).unwrap();
            let known: Vec<RateNotice> = table.rate_notices().collect();
            assert_eq!(known.len(), 1);
            assert_eq!(known[0].incarnation, Incarnation(1));
            assert_eq!(known[0].rate, Some(RequestRate(1_000)));
        }
    )*};
}

odd_notice! {
    version_u64_max: 1, u64::MAX;
    version_u64_max_half: 1, u64::MAX / 2;
    start_u64_max: u64::MAX, 1;
}
