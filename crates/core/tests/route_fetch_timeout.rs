//! Timeouts of fetching routes, replayed on links of different speed.

use chestnutnotch_core::route::FetchTimeout;
use chestnutnotch_core::unit::Millis;

/// Fetches after which a node has to have the document.
const MAX_FETCHES: usize = 5;

/// Fetches a document that needs `transfer` in all until one fetch is long enough. Returns the
/// number of fetches and their time in all, or `None` if [`MAX_FETCHES`] are not enough.
fn replay(transfer: Millis) -> Option<(usize, Millis)> {
    let mut timeout = FetchTimeout::new(Millis(800), Millis(3_200));
    let mut spent = Millis::ZERO;
    for fetch in 1..=MAX_FETCHES {
        let current = timeout.current(Millis::ZERO);
        if transfer <= current {
            return Some((fetch, spent + transfer));
        }
        spent += current;
        timeout.record_expired();
    }
    None
}

macro_rules! cases {
    ($($name:ident: $transfer:expr => $expected:expr;)*) => {
        $(
            #[test]
            fn $name() {
                assert_eq!(replay(Millis($transfer)), $expected);
            }
        )*
    };
}

cases! {
    fast_link_needs_one_fetch: 500 => Some((1, Millis(500)));
    link_that_needs_a_second: 1_000 => Some((3, Millis(2_600)));
    link_shared_by_many: 2_000 => Some((5, Millis(6_800)));
    link_that_is_too_slow: 5_000 => None;
}

#[test]
fn success_resets_the_timeout() {
    let mut timeout = FetchTimeout::new(Millis(800), Millis(3_200));
    for _ in 0..100 {
        timeout.record_expired();
    }
    assert_eq!(timeout.current(Millis::ZERO), Millis(3_200));
    timeout.record_success();
    assert_eq!(timeout.current(Millis::ZERO), Millis(800));
}

/// Returns the timeout of a fetch after this many expired ones, over a connection that took this
/// long to open.
fn timeout_after(expired: usize, connecting: Millis) -> Millis {
    let mut timeout = FetchTimeout::new(Millis(800), Millis(3_200));
    for _ in 0..expired {
        timeout.record_expired();
    }
    timeout.current(connecting)
}

macro_rules! slow_connections {
    ($($name:ident: $expired:expr, $connecting:expr => $expected:expr;)*) => {
        $(
            #[test]
            fn $name() {
                assert_eq!(timeout_after($expired, Millis($connecting)), Millis($expected));
            }
        )*
    };
}

slow_connections! {
    fast_connection_keeps_the_shortest: 0, 20 => 800;
    slow_connection_gets_as_long_as_its_round_trips_take: 0, 700 => 2_100;
    expired_fetches_count_if_they_ask_for_more: 2, 500 => 1_600;
    slowest_connection_gets_the_longest: 0, 2_000 => 3_200;
    time_without_bound_gets_the_longest: 0, u64::MAX => 3_200;
}
