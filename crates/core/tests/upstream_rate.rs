//! Rates that upstreams name: which answer or notice is in force.
#![allow(clippy::panic, clippy::unwrap_used)]

use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::unit::RequestRate;
use chestnutnotch_core::upstream::rate::KnownRate;
use chestnutnotch_core::upstream::rate::NoticeEffect;

/// Defines a test for each named case: the steps and the rate in force after them, in thousandths of
/// a request per second.
macro_rules! known {
    ($($name:ident: [$($step:expr),* $(,)?] => $rate:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut known = KnownRate::default();
                $($step(&mut known);)*
                assert_eq!(known.rate, $rate.map(RequestRate));
            }
        )*
    };
}

/// An answer that arrives at `at` to a request that was sent at `sent`.
fn answer(sent: u64, at: u64, rate: impl Into<Option<u64>>) -> impl Fn(&mut KnownRate) {
    let rate = rate.into().map(RequestRate);
    move |known| {
        known.observe_answer(Millis(at), Millis(sent), rate);
    }
}

/// A notice of another router.
fn notice(at: u64, version: u64, rate: impl Into<Option<u64>>) -> impl Fn(&mut KnownRate) {
    let rate = rate.into().map(RequestRate);
    move |known| {
        known.observe_notice(Millis(at), version, rate);
    }
}

const NONE: Option<u64> = None;

known! {
    an_answer_sets_the_rate: [answer(0, 10, 1_200)] => Some(1_200);
    a_later_request_raises_it: [answer(0, 10, 1_200), answer(20, 30, 5_000)] => Some(5_000);
    a_later_request_lowers_it: [answer(0, 10, 5_000), answer(20, 30, 1_200)] => Some(1_200);
    a_later_request_removes_it: [answer(0, 10, 1_200), answer(20, 30, NONE)] => NONE;
    an_old_answer_does_not_remove_it: [answer(0, 10, 1_200), answer(5, 30, NONE)] => Some(1_200);
    an_old_answer_does_not_raise_it: [answer(0, 10, 1_200), answer(5, 30, 5_000)] => Some(1_200);
    a_long_request_sets_it: [answer(50, 60, NONE), answer(0, 90, 1_200)] => Some(1_200);
    an_old_answer_does_not_set_it_again:
        [answer(0, 10, 1_200), answer(20, 30, NONE), answer(15, 40, 1_200)] => NONE;
    a_much_later_answer_sets_it_again:
        [answer(0, 10, 1_200), answer(20, 30, NONE), answer(15, 1_500, 1_200)] => Some(1_200);
    a_notice_sets_it: [notice(10, 1, 1_200)] => Some(1_200);
    a_newer_notice_removes_it: [notice(10, 1, 1_200), notice(20, 2, NONE)] => NONE;
    an_older_notice_changes_nothing: [notice(10, 2, NONE), notice(20, 1, 1_200)] => NONE;
    of_equal_versions_the_lower_rate_holds:
        [notice(10, 1, 1_200), notice(20, 1, 5_000)] => Some(1_200);
    an_answer_in_transit_does_not_undo_a_notice:
        [notice(10, 1, 1_200), answer(5, 20, NONE)] => Some(1_200);
    a_newer_notice_does_not_remove_what_was_just_answered:
        [answer(0, 10, 1_200), notice(20, 9, NONE)] => Some(1_200);
    a_newer_notice_removes_what_was_answered_long_ago:
        [answer(0, 10, 1_200), notice(2_000, 9, NONE)] => NONE;
}

#[test]
fn a_disputed_notice_is_outbid() {
    let mut known = KnownRate::default();
    answer(0, 10, 1_200)(&mut known);
    let effect = known.observe_notice(Millis(20), 9, None);
    assert_eq!((effect, known.version), (NoticeEffect::Disputed, 10));
}
