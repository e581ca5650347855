//! Software versions of upstreams: what is known of a start, and which upstreams a stream that is tied
//! to a version may go on at.
#![allow(clippy::panic, clippy::unwrap_used)]

use std::net::SocketAddr;

use chestnutnotch_core::id::DataCentre;
use chestnutnotch_core::id::Fingerprint;
use chestnutnotch_core::id::Release;
use chestnutnotch_core::id::Service;
use chestnutnotch_core::id::Upstream;
use chestnutnotch_core::roster::Fact;
use chestnutnotch_core::roster::MAX_PACKET_BYTES;
use chestnutnotch_core::roster::Packet;
use chestnutnotch_core::unit::Incarnation;
use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::upstream::Announcement;
use chestnutnotch_core::upstream::AttemptOutcome;
use chestnutnotch_core::upstream::ChoiceError;
use chestnutnotch_core::upstream::Criteria;
use chestnutnotch_core::upstream::Kind;
use chestnutnotch_core::upstream::Load;
use chestnutnotch_core::upstream::Offer;
use chestnutnotch_core::upstream::Phase;
use chestnutnotch_core::upstream::Pick;
use chestnutnotch_core::upstream::ReleaseNotice;
use chestnutnotch_core::upstream::Table;
use chestnutnotch_core::upstream::TableConfig;
use chestnutnotch_core::upstream::announce::MAX_NAME_BYTES;
use chestnutnotch_core::upstream::origin::MAX_ORIGINS;
use chestnutnotch_core::upstream::origin::ORIGIN_TTL;
use chestnutnotch_core::upstream::origin::Origin;
use chestnutnotch_core::upstream::origin::OriginAnswer;
use chestnutnotch_core::upstream::origin::OriginBook;
use chestnutnotch_core::upstream::origin::OriginNotice;
use chestnutnotch_core::upstream::origin::Software;
use chestnutnotch_core::upstream::release::MAX_NOTICES;
use chestnutnotch_core::upstream::release::MAX_RELEASE_BYTES;

const V1: Option<&str> = Some("v1");
const V2: Option<&str> = Some("v2");
const NONE: Option<&str> = None;

fn notice(start: u64, release: Option<&str>) -> ReleaseNotice {
    ReleaseNotice {
        upstream: Upstream::from("w0"),
        incarnation: Incarnation(start),
        release: release.map(Release::from),
    }
}

/// Returns the version of start 2 of an upstream after these notices.
fn known(notices: &[ReleaseNotice]) -> Option<String> {
    let mut table = Table::default();
    for notice in notices {
        table.observe_release(Millis(1), notice);
    }
    let release = table.release(&Upstream::from("w0"), Incarnation(2));
    release.map(Release::to_string)
}

/// Defines a test for each named case: notices of one upstream, each with its start, and the version of
/// its second start that is known after them in any order and any number of times.
macro_rules! merges {
    ($($name:ident: [$(($start:expr, $release:expr)),* $(,)?] => $known:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let notices = vec![$(notice($start, $release)),*];
                let expected = $known.map(str::to_owned);
                let reversed: Vec<_> = notices.iter().rev().cloned().collect();
                let twice = [notices.clone(), reversed.clone()].concat();
                for order in [&notices, &reversed, &twice] {
                    assert_eq!(known(order), expected, "{order:?}");
                }
            }
        )*
    };
}

merges! {
    nothing_is_known_at_first: [] => NONE;
    a_version_is_known: [(2, V1)] => V1;
    an_earlier_start_changes_nothing: [(1, V2), (2, V1)] => V1;
    a_later_start_takes_its_place: [(2, V1), (3, V2)] => NONE;
    a_start_with_two_versions_has_none: [(2, V1), (2, V2)] => NONE;
    a_start_with_two_versions_stays_without: [(2, V1), (2, V2), (2, V1)] => NONE;
    another_node_saw_two_versions: [(2, V1), (2, NONE)] => NONE;
    versions_of_an_earlier_start_do_not_count: [(1, V1), (1, V2), (2, V1)] => V1;
}

#[test]
fn odd_versions_are_not_kept() {
    let long = "v".repeat(MAX_RELEASE_BYTES + 1);
    for odd in ["", "v\n1", "\u{7f}", &long] {
        assert_eq!(known(&[notice(2, Some(odd))]), None);
    }
    let longest = "v".repeat(MAX_RELEASE_BYTES);
    assert_eq!(known(&[notice(2, Some(&longest))]), Some(longest));
}

fn announcement(number: u16, start: u64) -> Announcement {
    Announcement {
        upstream: Upstream::from(format!("w{number}")),
        incarnation: Incarnation(start),
        seq: 1,
        address: SocketAddr::from(([10, 0, 0, 1], 8_000 + number)),
        centre: DataCentre::from("a"),
        phase: Phase::Ready,
        offer: Offer::Service(Service::from("s")),
        slots: 4,
        load: Load::default(),
        fences: false,
        cached: Vec::new(),
        evicted: Vec::new(),
    }
}

/// Returns a table of upstreams with these versions, numbered from 0.
fn table(versions: &[Option<&str>]) -> Table {
    let config = TableConfig {
        heartbeat_only: true,
        ..TableConfig::default()
    };
    let mut table = Table::with_config(DataCentre::from("a"), config, 7);
    for (number, release) in (0..).zip(versions) {
        start(&mut table, number, 2, *release);
    }
    table
}

/// Announces a start of an upstream with its version, if it has one.
fn start(table: &mut Table, number: u16, start: u64, release: Option<&str>) {
    let announcement = announcement(number, start);
    let upstream = announcement.upstream.clone();
    table.observe(Millis(1), announcement);
    if release.is_some() {
        let notice = ReleaseNotice {
            upstream,
            ..notice(start, release)
        };
        table.observe_release(Millis(1), &notice);
    }
}

fn criteria(release: Option<&str>, avoid: &[u16]) -> Criteria {
    Criteria {
        kind: Kind::Service(Service::from("s")),
        priority: 1,
        prefixes: Vec::new(),
        sizes: vec![10],
        session_prefix: None,
        body: Fingerprint::default(),
        parts: Vec::new(),
        avoid: avoid
            .iter()
            .map(|number| announcement(*number, 1).upstream)
            .collect(),
        release: release.map(Release::from),
    }
}

fn choose(table: &mut Table, criteria: &Criteria) -> Result<Pick, ChoiceError> {
    table.choose(Millis(2), criteria)
}

/// Returns the ids of the upstreams at which many requests at a time begin.
fn chosen(table: &mut Table, criteria: &Criteria) -> Vec<String> {
    let mut all: Vec<String> = (0..24)
        .filter_map(|_| choose(table, criteria).ok())
        .map(|pick| pick.upstream.to_string())
        .collect();
    all.sort();
    all.dedup();
    all
}

#[test]
fn tied_stream_goes_to_its_version_alone_also_if_it_is_full() {
    let versions = [V1, V2, V1, None];
    let mut tied = table(&versions);
    assert_eq!(chosen(&mut tied, &criteria(V1, &[])), ["w0", "w2"]);
    assert_eq!(chosen(&mut tied, &criteria(V1, &[0])), ["w2"]);
    let mut untied = table(&versions);
    assert_eq!(chosen(&mut untied, &criteria(NONE, &[])).len(), 4);
}

#[test]
fn tied_stream_goes_to_an_ejected_upstream_if_no_other_is_left() {
    let mut table = table(&[V1, V2, V1]);
    for _ in 0..3 {
        let pick = choose(&mut table, &criteria(V1, &[2])).unwrap();
        table.end(Millis(2), pick.attempt, AttemptOutcome::TimedOut);
        let pick = choose(&mut table, &criteria(V1, &[2])).unwrap();
        table.end(Millis(2), pick.attempt, AttemptOutcome::Unmatched);
    }
    assert_eq!(
        choose(&mut table, &criteria(NONE, &[1, 2])).unwrap_err(),
        ChoiceError::NoneUsable
    );
    let pick = choose(&mut table, &criteria(V1, &[2])).unwrap();
    assert_eq!(pick.upstream, Upstream::from("w0"));
}

#[test]
fn without_its_version_a_tied_stream_finds_none() {
    let mut table = table(&[V2, None]);
    assert!(!table.has_candidate(&criteria(V1, &[])));
    assert_eq!(
        choose(&mut table, &criteria(V1, &[])).unwrap_err(),
        ChoiceError::NoneKnown
    );
}

#[test]
fn leaving_upstream_is_not_left_for_a_tied_stream() {
    let mut table = table(&[V1, V2]);
    assert!(table.has_candidate(&criteria(V1, &[])));
    let leave = Announcement {
        phase: Phase::Leaving,
        seq: 2,
        ..announcement(0, 2)
    };
    table.observe(Millis(2), leave);
    assert!(!table.has_candidate(&criteria(V1, &[])));
    assert_eq!(
        choose(&mut table, &criteria(V1, &[])).unwrap_err(),
        ChoiceError::NoneKnown
    );
}

#[test]
fn start_in_place_withdraws_a_choice() {
    let mut table = table(&[V1]);
    let pick = choose(&mut table, &criteria(V1, &[])).unwrap();
    assert!(table.may_send(Millis(3), &pick));
    start(&mut table, 0, 3, V2);
    assert!(!table.may_send(Millis(3), &pick));
    assert_eq!(
        choose(&mut table, &criteria(V1, &[])).unwrap_err(),
        ChoiceError::NoneKnown
    );
}

#[test]
fn second_version_of_a_start_withdraws_a_choice() {
    let mut table = table(&[V1]);
    let pick = choose(&mut table, &criteria(V1, &[])).unwrap();
    let notice = notice(2, V2);
    assert!(table.observe_release(Millis(3), &notice));
    assert!(!table.may_send(Millis(3), &pick));
}

#[test]
fn versions_of_forgotten_upstreams_are_removed() {
    let mut table = table(&[V1]);
    let forget = TableConfig::default().forget_after;
    table.tick(Millis(2 + forget.0));
    table.tick(Millis(3 + 2 * forget.0));
    assert_eq!(table.release(&Upstream::from("w0"), Incarnation(2)), None);
    assert_eq!(table.release_notices(Millis(3)).count(), 0);
}

/// What a router learns of an upstream.
enum Event {
    /// The address of this start refused a connection.
    Refused(u64),
    /// A heartbeat of this start arrived.
    Heard(u64),
    /// Another node resent the version of this start.
    Resent(u64),
}

use Event::Heard;
use Event::Refused;
use Event::Resent;

/// Returns the version of start 2 of an upstream, which stated v1, after these events.
fn known_after(events: &[(u64, Event)]) -> Option<String> {
    let mut table = table(&[V1]);
    for (seq, (at, event)) in (2..).zip(events) {
        match event {
            Refused(start) => {
                let Announcement { address, .. } = announcement(0, *start);
                table.doubt_start(Millis(*at), address, Incarnation(*start));
            }
            Heard(start) => {
                let heartbeat = Announcement {
                    seq,
                    ..announcement(0, *start)
                };
                table.observe(Millis(*at), heartbeat);
            }
            Resent(start) => {
                table.observe_release(Millis(*at), &notice(*start, V1));
            }
        }
    }
    let release = table.release(&Upstream::from("w0"), Incarnation(2));
    release.map(Release::to_string)
}

/// Defines a test for each named case: what a router learns of an upstream that runs v1, each with its
/// time, and the version that is known after it.
macro_rules! doubts {
    ($($name:ident: [$($event:expr),* $(,)?] => $known:expr;)*) => {
        $(
            #[test]
            fn $name() {
                assert_eq!(known_after(&[$($event),*]), $known.map(str::to_owned));
            }
        )*
    };
}

doubts! {
    refused_connection_puts_a_start_in_doubt: [(10, Refused(2))] => NONE;
    refusal_of_another_start_does_not: [(10, Refused(1))] => V1;
    resent_version_does_not_end_a_doubt: [(10, Refused(2)), (3_000, Resent(2)), (4_000, Resent(2))] => NONE;
    heartbeats_sent_before_do_not_end_a_doubt: [(10, Refused(2)), (1_000, Heard(2)), (2_009, Heard(2))] => NONE;
    one_late_heartbeat_does_not_end_a_doubt: [(10, Refused(2)), (9_000, Heard(2))] => NONE;
    two_late_heartbeats_at_once_do_not_end_a_doubt: [(10, Refused(2)), (9_000, Heard(2)), (9_499, Heard(2))] => NONE;
    two_heartbeats_end_a_doubt: [(10, Refused(2)), (2_010, Heard(2)), (2_510, Heard(2))] => V1;
    next_refusal_begins_a_doubt_anew: [(10, Refused(2)), (2_010, Heard(2)), (2_100, Refused(2)), (2_600, Heard(2))] => NONE;
    doubt_ended_by_heartbeats_begins_anew: [(10, Refused(2)), (2_010, Heard(2)), (2_510, Heard(2)), (2_600, Refused(2))] => NONE;
}

#[test]
fn start_in_doubt_takes_no_tied_stream_and_other_requests() {
    let mut table = table(&[V1, V1, V2]);
    let tied = criteria(V1, &[]);
    let pick = choose(&mut table, &criteria(V1, &[1])).unwrap();
    let Announcement { address, .. } = announcement(0, 2);
    let doubted = table.doubt_start(Millis(3), address, Incarnation(2));
    assert_eq!(doubted, [Upstream::from("w0")]);
    assert!(!table.may_send(Millis(3), &pick));
    assert_eq!(chosen(&mut table, &tied), ["w1"]);
    assert!(!table.has_doubted_candidate(&criteria(V2, &[2])));
    assert!(!table.has_candidate(&criteria(V1, &[1])));
    assert!(table.has_doubted_candidate(&criteria(V1, &[1])));
    // The other one serves the version and was tried.
    assert_eq!(
        choose(&mut table, &criteria(V1, &[1])).unwrap_err(),
        ChoiceError::NoneUsable
    );
    let Announcement { address, .. } = announcement(1, 2);
    table.doubt_start(Millis(3), address, Incarnation(2));
    assert_eq!(
        choose(&mut table, &tied).unwrap_err(),
        ChoiceError::NoneKnown
    );
    let pick = choose(&mut table, &criteria(NONE, &[1, 2])).unwrap();
    assert_eq!((pick.upstream.as_str(), pick.release), ("w0", None));
}

#[test]
fn later_start_is_not_in_doubt() {
    let mut table = table(&[V1]);
    let Announcement { address, .. } = announcement(0, 2);
    table.doubt_start(Millis(3), address, Incarnation(2));
    start(&mut table, 0, 3, V1);
    assert_eq!(chosen(&mut table, &criteria(V1, &[])), ["w0"]);
}

/// Returns the bytes of a packet with one fact.
fn packet_size(fact: Fact) -> usize {
    let packet = Packet {
        asks: false,
        facts: vec![fact],
    };
    postcard::to_stdvec(&packet).unwrap().len()
}

fn notices_of(name_bytes: usize, release_bytes: usize) -> Fact {
    let name = "i".repeat(name_bytes);
    let release = "v".repeat(release_bytes);
    let notice = ReleaseNotice {
        upstream: Upstream::from(name),
        ..notice(1_800_000_000_000, Some(&release))
    };
    Fact::Releases(vec![notice; MAX_NOTICES])
}

#[test]
fn notices_of_long_names_fit_in_a_packet() {
    assert!(packet_size(notices_of(MAX_NAME_BYTES, MAX_RELEASE_BYTES)) <= MAX_PACKET_BYTES);
}

#[test]
fn messages_about_a_stream_fit_in_a_small_datagram() {
    let software = software(&"v".repeat(MAX_RELEASE_BYTES));
    let notice = OriginNotice {
        stream: stream(1),
        software: software.clone(),
    };
    let answer = OriginAnswer {
        stream: stream(1),
        origin: Some(Origin::Software(software)),
    };
    for fact in [
        Fact::Origin(Box::new(notice)),
        Fact::OriginRequest(stream(1)),
        Fact::OriginAnswer(Box::new(answer)),
    ] {
        assert!(packet_size(fact) <= 128);
    }
}

fn stream(number: usize) -> Fingerprint {
    let mut stream = Fingerprint::default();
    stream.0[..8].copy_from_slice(&number.to_le_bytes());
    stream
}

fn software(version: &str) -> Software {
    Software {
        service: Service::from("s"),
        release: Release::from(version),
    }
}

fn origin(version: &str) -> Origin {
    Origin::Software(software(version))
}

#[test]
fn beginning_of_a_stream_is_kept_until_it_expires() {
    let mut book = OriginBook::default();
    book.record(Millis(5), stream(1), origin("v1"));
    let last = Millis(4) + ORIGIN_TTL;
    assert_eq!(book.get(last, &stream(1)), Some(&origin("v1")));
    assert_eq!(book.get(Millis(5) + ORIGIN_TTL, &stream(1)), None);
    book.record(Millis(5) + ORIGIN_TTL, stream(2), origin("v1"));
    assert_eq!(book.len(), 1);
}

#[test]
fn repeated_identifier_with_two_versions_is_ambiguous() {
    let mut book = OriginBook::default();
    for version in ["v1", "v2", "v1"] {
        book.record(Millis(5), stream(1), origin(version));
    }
    assert_eq!(book.get(Millis(5), &stream(1)), Some(&Origin::Ambiguous));
}

#[test]
fn repeated_identifier_with_two_services_is_ambiguous() {
    let mut book = OriginBook::default();
    book.record(Millis(5), stream(1), origin("v1"));
    let other = Software {
        service: Service::from("t"),
        ..software("v1")
    };
    book.record(Millis(5), stream(1), Origin::Software(other));
    assert_eq!(book.get(Millis(5), &stream(1)), Some(&Origin::Ambiguous));
}

#[test]
fn oldest_beginnings_are_dropped_first() {
    let mut book = OriginBook::default();
    for number in 0..=MAX_ORIGINS {
        book.record(Millis(5), stream(number), origin("v1"));
    }
    assert_eq!(book.len(), MAX_ORIGINS);
    assert_eq!(book.get(Millis(5), &stream(0)), None);
    assert!(book.get(Millis(5), &stream(1)).is_some());
}

#[test]
fn odd_version_of_a_beginning_is_ignored() {
    let mut book = OriginBook::default();
    book.record(Millis(5), stream(1), origin(""));
    assert!(book.is_empty());
}
