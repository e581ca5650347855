//! Announcements that no upstream can have sent are refused with a typed error, and harm no others in a
//! table that gets them all the same.
#![allow(clippy::unwrap_used)]

use chestnutnotch_core::id::DataCentre;
use chestnutnotch_core::id::Fingerprint;
use chestnutnotch_core::id::Model;
use chestnutnotch_core::unit::Incarnation;
use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::upstream::Announcement;
use chestnutnotch_core::upstream::AnnouncementError;
use chestnutnotch_core::upstream::Criteria;
use chestnutnotch_core::upstream::Kind;
use chestnutnotch_core::upstream::Load;
use chestnutnotch_core::upstream::Offer;
use chestnutnotch_core::upstream::Phase;
use chestnutnotch_core::upstream::Table;
use chestnutnotch_core::upstream::TableConfig;
use chestnutnotch_core::upstream::announce::Loaded;
use chestnutnotch_core::upstream::announce::MAX_INCARNATION;
use chestnutnotch_core::upstream::announce::MAX_NAME_BYTES;
use chestnutnotch_core::upstream::announce::MAX_SEQUENCE;
use chestnutnotch_core::upstream::announce::MAX_SLOTS;

fn announcement(name: &str, seq: u64) -> Announcement {
    Announcement {
        upstream: name.into(),
        incarnation: Incarnation(1_000),
        seq,
        address: ([10, 1, 0, 1], 9_000).into(),
        centre: "a".into(),
        phase: Phase::Ready,
        offer: Offer::Service("app".into()),
        slots: 8,
        load: Load::default(),
        fences: false,
        cached: Vec::new(),
        evicted: Vec::new(),
    }
}

fn criteria() -> Criteria {
    Criteria {
        kind: Kind::Service("app".into()),
        priority: 0,
        prefixes: Vec::new(),
        sizes: Vec::new(),
        session_prefix: None,
        body: Fingerprint::default(),
        parts: Vec::new(),
        avoid: Vec::new(),
        release: None,
    }
}

/// Checks that an odd entry is refused with an error, and that a table that gets it beside sound
/// ones chooses these alone.
macro_rules! odd {
    ($($name:ident: $change:expr => $error:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut odd = announcement("odd", 1);
            let change: fn(&mut Announcement) = $change;
            change(&mut odd);
            assert_eq!(odd.check(), Err($error));
            let config = TableConfig {
                heartbeat_only: true,
                ..TableConfig::default()
            };
            let mut table = Table::with_config("a".into(), config, 1);
            for entry in [announcement("w1", 1), odd, announcement("w2", 1)] {
                table.observe(Millis(1), entry);
            }
            assert_eq!(table.announcements().count(), 2);
            let slots: u32 = table.pools(Millis(1), 2).iter().map(|pool| pool.slots).sum();
            assert_eq!(slots, 8);
            for _ in 0..16 {
                let pick = table.choose(Millis(1), &criteria()).unwrap();
                assert!(["w1", "w2"].contains(&pick.upstream.as_str()));
            }
        }
    )*};
}

fn long_name() -> String {
    "n".repeat(MAX_NAME_BYTES + 1)
}

fn loaded(model: &str, adapter: Option<&str>) -> Offer {
    Offer::Models(vec![Loaded {
        model: Model::from(model),
        adapter: adapter.map(Into::into),
        version: 1,
    }])
}

odd! {
    name_empty: |odd| odd.upstream = "".into() => AnnouncementError::Upstream;
    name_long: |odd| odd.upstream = long_name().into() => AnnouncementError::Upstream;
    name_with_a_space: |odd| odd.upstream = "a b".into() => AnnouncementError::Upstream;
    name_with_a_line_break: |odd| odd.upstream = "a\r\nb".into() => AnnouncementError::Upstream;
    name_not_ascii: |odd| odd.upstream = "caf\u{e9}".into() => AnnouncementError::Upstream;
    centre_empty: |odd| odd.centre = "".into() => AnnouncementError::Name("the data centre");
    centre_long: |odd| odd.centre = long_name().into() => AnnouncementError::Name("the data centre");
    service_empty: |odd| odd.offer = Offer::Service("".into()) => AnnouncementError::Name("the service");
    service_long: |odd| odd.offer = Offer::Service(long_name().into()) => AnnouncementError::Name("the service");
    service_with_a_nul: |odd| odd.offer = Offer::Service("a\0b".into()) => AnnouncementError::Name("the service");
    model_empty: |odd| odd.offer = loaded("", None) => AnnouncementError::Name("a model");
    adapter_long: |odd| odd.offer = loaded("m", Some(&long_name())) => AnnouncementError::Name("an adapter");
    port_zero: |odd| odd.address.set_port(0) => AnnouncementError::Address(([10, 1, 0, 1], 0).into());
    unspecified: |odd| odd.address = ([0, 0, 0, 0], 9).into() => AnnouncementError::Address(([0, 0, 0, 0], 9).into());
    unspecified_v6: |odd| odd.address = ([0_u16; 8], 9).into() => AnnouncementError::Address(([0_u16; 8], 9).into());
    unspecified_mapped: |odd| odd.address = "[::ffff:0.0.0.0]:9".parse().unwrap()
        => AnnouncementError::Address("[::ffff:0.0.0.0]:9".parse().unwrap());
    multicast: |odd| odd.address = ([224, 0, 0, 1], 9).into() => AnnouncementError::Address(([224, 0, 0, 1], 9).into());
    multicast_v6: |odd| odd.address = "[ff02::1]:9".parse().unwrap()
        => AnnouncementError::Address("[ff02::1]:9".parse().unwrap());
    broadcast: |odd| odd.address = ([255; 4], 9).into() => AnnouncementError::Address(([255; 4], 9).into());
    slots_zero: |odd| odd.slots = 0 => AnnouncementError::Slots(0);
    slots_above_the_limit: |odd| odd.slots = MAX_SLOTS + 1 => AnnouncementError::Slots(MAX_SLOTS + 1);
    slots_u32_max: |odd| odd.slots = u32::MAX => AnnouncementError::Slots(u32::MAX);
    sequence_u64_max: |odd| odd.seq = u64::MAX
        => AnnouncementError::Number { name: "sequence number", value: u64::MAX };
    start_u64_max: |odd| odd.incarnation = Incarnation(u64::MAX)
        => AnnouncementError::Number { name: "incarnation", value: u64::MAX };
}

#[test]
fn leave_without_slots_is_taken() {
    let mut entry = announcement("w1", 2);
    entry.slots = 0;
    entry.phase = Phase::Leaving;
    assert_eq!(entry.check(), Ok(()));
}

#[test]
fn entry_at_the_limits_is_taken() {
    let mut entry = announcement(&"n".repeat(MAX_NAME_BYTES), MAX_SEQUENCE);
    entry.incarnation = Incarnation(MAX_INCARNATION);
    entry.slots = MAX_SLOTS;
    entry.centre = DataCentre::from("z\u{fc}rich".to_owned());
    assert_eq!(entry.check(), Ok(()));
}

/// A router would send requests to itself, again and again.
#[test]
fn own_address_is_ignored() {
    let entry = announcement("w1", 1);
    let config = TableConfig {
        own_address: Some(entry.address),
        ..TableConfig::default()
    };
    let mut table = Table::with_config("a".into(), config, 1);
    assert!(!table.observe(Millis(1), entry));
    assert_eq!(table.announcements().count(), 0);
}
