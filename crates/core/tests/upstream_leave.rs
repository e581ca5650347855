//! Leaves of upstreams: which starts they count for, whatever arrives before and after them.

use std::net::SocketAddr;

use chestnutnotch_core::id::DataCentre;
use chestnutnotch_core::id::Fingerprint;
use chestnutnotch_core::id::Service;
use chestnutnotch_core::id::Upstream;
use chestnutnotch_core::roster::Fact;
use chestnutnotch_core::roster::MAX_PACKET_BYTES;
use chestnutnotch_core::roster::Packet;
use chestnutnotch_core::unit::Incarnation;
use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::upstream::Announcement;
use chestnutnotch_core::upstream::Attribution;
use chestnutnotch_core::upstream::Availability;
use chestnutnotch_core::upstream::Criteria;
use chestnutnotch_core::upstream::Kind;
use chestnutnotch_core::upstream::LeaveNotice;
use chestnutnotch_core::upstream::Load;
use chestnutnotch_core::upstream::Offer;
use chestnutnotch_core::upstream::Phase;
use chestnutnotch_core::upstream::Table;
use chestnutnotch_core::upstream::TableConfig;
use chestnutnotch_core::upstream::announce::MAX_INCARNATION;
use chestnutnotch_core::upstream::announce::MAX_NAME_BYTES;
use chestnutnotch_core::upstream::leave::HOLD_TIME;
use chestnutnotch_core::upstream::leave::LEAVE_TTL;
use chestnutnotch_core::upstream::leave::MAX_LEAVES;

/// Time at which the events of a case happen, by the node's clock.
const NOW: Millis = Millis(1_000);

/// An event at a node, each about the upstream `w0`.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A heartbeat of this start says ready.
    Ready(u64),
    /// A heartbeat of this start says that it drains.
    Draining(u64),
    /// A leave that names this start.
    Leave(u64),
    /// A leave at this Unix time that names no start, while this start was known.
    Unnamed(u64, u64),
}

use Event::Draining;
use Event::Leave;
use Event::Ready;
use Event::Unnamed;

fn announcement(start: u64, phase: Phase) -> Announcement {
    Announcement {
        upstream: Upstream::from("w0"),
        incarnation: Incarnation(start),
        seq: 7,
        address: SocketAddr::from(([10, 0, 0, 1], 8_000)),
        centre: DataCentre::from("a"),
        phase,
        offer: Offer::Service(Service::from("s")),
        slots: 4,
        load: Load::default(),
        fences: false,
        cached: Vec::new(),
        evicted: Vec::new(),
    }
}

fn notice(starts: Attribution, age: Millis) -> LeaveNotice {
    LeaveNotice {
        upstream: Upstream::from("w0"),
        starts,
        age,
    }
}

fn empty_table() -> Table {
    let config = TableConfig {
        heartbeat_only: true,
        ..TableConfig::default()
    };
    Table::with_config(DataCentre::from("a"), config, 7)
}

fn apply(table: &mut Table, now: Millis, event: Event) {
    match event {
        Ready(start) => {
            table.observe(now, announcement(start, Phase::Ready));
        }
        Draining(start) => {
            table.observe(now, announcement(start, Phase::Leaving));
        }
        Leave(start) => {
            let starts = Attribution::stated(Incarnation(start));
            table.observe_leave(now, &notice(starts, Millis::ZERO));
        }
        Unnamed(unix, known) => {
            let starts = Attribution::heard_at(Millis(unix), Some(Incarnation(known)));
            table.observe_leave(now, &notice(starts, Millis::ZERO));
        }
    }
}

/// Returns whether the table would send a request to the upstream.
fn is_used(table: &Table, now: Millis) -> bool {
    let mut trial = table.clone();
    let criteria = Criteria {
        kind: Kind::Service(Service::from("s")),
        priority: 5,
        prefixes: Vec::new(),
        sizes: Vec::new(),
        session_prefix: None,
        body: Fingerprint([0; 16]),
        parts: Vec::new(),
        avoid: Vec::new(),
        release: None,
    };
    trial.choose(now, &criteria).is_ok()
}

/// Returns all orders of the events.
fn orders(events: &[Event]) -> Vec<Vec<Event>> {
    if events.is_empty() {
        return vec![Vec::new()];
    }
    let mut all = Vec::new();
    for at in 0..events.len() {
        let mut rest = events.to_vec();
        let first = rest.remove(at);
        all.extend(
            orders(&rest)
                .into_iter()
                .map(|rest| [vec![first], rest].concat()),
        );
    }
    all
}

/// Defines a test for each named case: events that arrive in any order, and whether the upstream is
/// used after them.
macro_rules! any_order {
    ($($name:ident: [$($event:expr),*] => $used:expr;)*) => {$(
        #[test]
        fn $name() {
            for order in orders(&[$($event),*]) {
                let mut table = empty_table();
                for event in &order {
                    apply(&mut table, NOW, *event);
                }
                assert_eq!(is_used(&table, NOW), $used, "{order:?}");
            }
        }
    )*};
}

any_order! {
    // A leave of a start that this node has not heard of yet.
    leave_of_a_later_start_than_the_known_one: [Ready(100), Leave(200), Ready(200)] => false;
    leave_of_an_upstream_that_is_not_known: [Leave(200), Ready(200)] => false;
    unnamed_leave_after_an_unknown_start: [Ready(100), Unnamed(300, 100), Ready(200)] => false;
    unnamed_leave_of_an_upstream_that_is_not_known: [Unnamed(300, 0), Ready(200)] => false;
    leave_of_the_known_start: [Ready(100), Leave(100)] => false;
    leave_ends_earlier_starts: [Ready(100), Leave(200)] => false;
    // A start after the leave serves, whatever else arrives late.
    start_after_a_leave: [Ready(100), Leave(100), Ready(200)] => true;
    start_after_a_leave_of_an_unknown_one: [Ready(100), Leave(200), Ready(200), Ready(300)] => true;
    start_after_an_unnamed_leave: [Ready(100), Unnamed(150, 100), Ready(200)] => true;
    start_after_an_unnamed_leave_of_an_unknown_one: [Unnamed(250, 0), Ready(200), Ready(300)] => true;
    late_leave_of_an_earlier_start: [Ready(300), Leave(200), Leave(100)] => true;
    leave_beside_a_heartbeat_that_drains: [Draining(100), Leave(100), Ready(200)] => true;
    two_leaves_and_two_starts: [Ready(100), Leave(100), Ready(200), Leave(200)] => false;
    named_and_unnamed: [Ready(100), Leave(200), Unnamed(250, 100), Ready(200)] => false;
}

/// Returns the table after an unnamed leave and a heartbeat of a start that may have left.
fn held() -> Table {
    let mut table = empty_table();
    apply(&mut table, NOW, Unnamed(300, 0));
    apply(&mut table, NOW, Ready(200));
    table
}

// The clock of an upstream that started after the leave may be behind.
#[test]
fn start_whose_heartbeats_go_on_is_used_after_the_hold() {
    let mut table = held();
    let end = NOW + HOLD_TIME;
    assert!(!is_used(&table, end.saturating_sub(Millis(1))));
    let mut next = announcement(200, Phase::Ready);
    next.seq += 1;
    table.observe(end, next);
    assert!(is_used(&table, end));
}

/// Returns a heartbeat of another upstream, `w1`, at the same address.
fn successor(start: u64, seq: u64, service: &str) -> Announcement {
    Announcement {
        upstream: Upstream::from("w1"),
        seq,
        offer: Offer::Service(Service::from(service)),
        ..announcement(start, Phase::Ready)
    }
}

/// Returns a heartbeat of `w0` with this sequence number.
fn later(seq: u64) -> Announcement {
    Announcement {
        seq,
        ..announcement(100, Phase::Ready)
    }
}

#[test]
fn later_start_takes_over_the_address() {
    let mut table = empty_table();
    table.observe(NOW, announcement(100, Phase::Ready));
    table.observe(NOW, successor(200, 1, "t"));
    assert!(!is_used(&table, NOW));
    // A heartbeat that was on its way.
    let late = NOW + Millis(5_000);
    table.observe(late, later(8));
    assert!(!is_used(&table, late));
}

#[test]
fn upstream_that_is_heard_on_at_its_address_is_used_again() {
    let mut table = empty_table();
    table.observe(NOW, announcement(100, Phase::Ready));
    table.observe(NOW, successor(200, 1, "t"));
    let end = NOW + HOLD_TIME;
    table.observe(end, later(8));
    assert!(is_used(&table, end));
}

#[test]
fn upstream_is_not_used_while_its_successor_is_heard() {
    let mut table = empty_table();
    table.observe(NOW, announcement(100, Phase::Ready));
    for seq in 1..20 {
        table.observe(NOW + Millis(1_200 * seq), successor(200, seq, "t"));
    }
    let end = NOW + Millis(1_200 * 19);
    table.observe(end, later(8));
    assert!(!is_used(&table, end));
}

#[test]
fn service_that_no_route_names_takes_over_nothing() {
    let mut table = empty_table();
    table.set_services([Service::from("s")]);
    table.observe(NOW, announcement(100, Phase::Ready));
    table.observe(NOW, successor(200, 1, "t"));
    assert!(is_used(&table, NOW));
    // The routes name it now.
    table.set_services([Service::from("s"), Service::from("t")]);
    table.observe(NOW, successor(200, 2, "t"));
    assert!(!is_used(&table, NOW));
}

#[test]
fn start_that_may_have_left_shows_as_leaving() {
    let table = held();
    let shown: Vec<Availability> = table
        .statuses(NOW)
        .map(|status| status.availability)
        .collect();
    assert_eq!(shown, [Availability::Leaving]);
}

#[test]
fn repeated_notices_are_no_news_and_do_not_last_longer() {
    let mut table = empty_table();
    let starts = Attribution::stated(Incarnation(200));
    assert!(table.observe_leave(NOW, &notice(starts, Millis::ZERO)));
    let later = NOW + Millis(1_000);
    assert!(!table.observe_leave(later, &notice(starts, Millis::ZERO)));
    let ages: Vec<Millis> = table
        .leave_notices(later)
        .map(|notice| notice.age)
        .collect();
    assert_eq!(ages, [Millis(1_000)]);
    table.tick(NOW + LEAVE_TTL);
    assert_eq!(table.leave_notices(NOW + LEAVE_TTL).count(), 0);
}

#[test]
fn age_is_that_of_the_last_statement() {
    let mut table = empty_table();
    let upstream = Upstream::from("w0");
    let age = |table: &Table, now| table.leave_age(now, &upstream, Incarnation(100));
    assert_eq!(age(&table, NOW), None);
    apply(&mut table, NOW, Unnamed(300, 100));
    let later = NOW + Millis(2_000);
    assert_eq!(age(&table, later), Some(Millis(2_000)));
    apply(&mut table, later, Unnamed(2_300, 100));
    assert_eq!(age(&table, later), Some(Millis::ZERO));
    assert_eq!(table.leave_age(later, &upstream, Incarnation(101)), None);
}

#[test]
fn node_that_just_started_does_not_hold_for_longer() {
    let mut table = empty_table();
    let starts = Attribution::heard_at(Millis(300), None);
    table.observe_leave(Millis::ZERO, &notice(starts, HOLD_TIME));
    table.observe(Millis::ZERO, announcement(200, Phase::Ready));
    assert!(is_used(&table, Millis::ZERO));
}

/// Defines a test for each notice that no node can have sent; it has to be ignored.
macro_rules! odd {
    ($($name:ident: $change:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut table = empty_table();
            let mut odd = notice(Attribution::stated(Incarnation(200)), Millis::ZERO);
            let change: fn(&mut LeaveNotice) = $change;
            change(&mut odd);
            assert!(!table.observe_leave(NOW, &odd));
            assert_eq!(table.leave_notices(NOW).count(), 0);
        }
    )*};
}

odd! {
    no_name: |odd| odd.upstream = Upstream::from("");
    long_name: |odd| odd.upstream = Upstream::from("w".repeat(MAX_NAME_BYTES + 1));
    start_too_high: |odd| odd.starts.latest = Incarnation(MAX_INCARNATION + 1);
    known_after_latest: |odd| odd.starts.known = Incarnation(201);
    expired: |odd| odd.age = LEAVE_TTL;
}

#[test]
fn memory_is_bounded_and_the_oldest_leave_is_dropped() {
    let config = TableConfig {
        heartbeat_only: true,
        max_upstreams: 3,
        ..TableConfig::default()
    };
    let mut table = Table::with_config(DataCentre::from("a"), config, 7);
    for number in 0..5 {
        let mut notice = notice(Attribution::stated(Incarnation(200)), Millis::ZERO);
        notice.upstream = Upstream::from(format!("w{number}"));
        assert!(table.observe_leave(NOW + Millis(number), &notice));
    }
    let mut names: Vec<String> = table
        .leave_notices(NOW)
        .map(|notice| notice.upstream.to_string())
        .collect();
    names.sort();
    assert_eq!(names, ["w2", "w3", "w4"]);
}

#[test]
fn notices_of_an_item_fit_in_a_packet() {
    let mut longest = notice(Attribution::stated(Incarnation(MAX_INCARNATION)), LEAVE_TTL);
    longest.upstream = Upstream::from("w".repeat(MAX_NAME_BYTES));
    let packet = Packet {
        asks: false,
        facts: vec![Fact::Leaves(vec![longest; MAX_LEAVES])],
    };
    let bytes = postcard::to_stdvec(&packet).map(|bytes| bytes.len());
    assert!(bytes.is_ok_and(|bytes| bytes <= MAX_PACKET_BYTES));
}
