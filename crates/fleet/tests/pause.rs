//! The pause that an answer asks for, from its head.
#![allow(clippy::panic, clippy::unwrap_used)]

use chestnutnotch::edges::http::RequestedPause;
use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::upstream::MAX_PAUSE;
use http::HeaderMap;
use http::HeaderValue;
use http::StatusCode;
use http::header::RETRY_AFTER;

/// Defines a test for each named case: the status, the bytes of the header if there is one, and what
/// is read.
macro_rules! heads {
    ($($name:ident: $status:expr, $value:expr => $pause:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut headers = HeaderMap::new();
                let value: Option<&[u8]> = $value;
                if let Some(value) = value {
                    headers.insert(RETRY_AFTER, HeaderValue::from_bytes(value).unwrap());
                }
                let status = StatusCode::from_u16($status).unwrap();
                assert_eq!(RequestedPause::read(status, &headers), $pause);
            }
        )*
    };
}

const fn lasts(millis: u64) -> RequestedPause {
    RequestedPause::Lasts(Millis(millis))
}

heads! {
    no_header: 503, None => RequestedPause::Absent;
    whole_seconds: 503, Some(b"3") => lasts(3_000);
    a_fraction: 503, Some(b"0.25") => lasts(250);
    a_fraction_is_rounded_up: 503, Some(b"0.0001") => lasts(1);
    spaces_around: 503, Some(b" 2 ") => lasts(2_000);
    a_point_at_the_end: 503, Some(b"2.") => lasts(2_000);
    zero: 503, Some(b"0") => RequestedPause::Absent;
    zero_with_fraction: 503, Some(b"0.000") => RequestedPause::Absent;
    more_than_is_kept: 503, Some(b"86400") => RequestedPause::Lasts(MAX_PAUSE);
    more_than_a_number_holds: 503, Some(&[b'9'; 400]) => RequestedPause::Lasts(MAX_PAUSE);
    negative: 503, Some(b"-3") => RequestedPause::Invalid;
    a_sign: 503, Some(b"+3") => RequestedPause::Invalid;
    an_exponent: 503, Some(b"1e3") => RequestedPause::Invalid;
    a_word: 503, Some(b"soon") => RequestedPause::Invalid;
    infinity: 503, Some(b"inf") => RequestedPause::Invalid;
    not_a_number: 503, Some(b"nan") => RequestedPause::Invalid;
    a_date: 503, Some(b"Wed, 21 Oct 2026 07:28:00 GMT") => RequestedPause::Invalid;
    a_list: 503, Some(b"3, 4") => RequestedPause::Invalid;
    two_points: 503, Some(b"1.2.3") => RequestedPause::Invalid;
    a_point_alone: 503, Some(b".") => RequestedPause::Invalid;
    empty: 503, Some(b"") => RequestedPause::Invalid;
    bytes_that_are_no_text: 503, Some(&[0xff, 0x33]) => RequestedPause::Invalid;
    another_refusal: 429, Some(b"3") => RequestedPause::Absent;
    a_success: 200, Some(b"3") => RequestedPause::Absent;
    another_error: 500, Some(b"3") => RequestedPause::Absent;
}
