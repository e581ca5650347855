//! What proves that a request was not run.

use chestnutnotch::edges::http::NotRun;
use chestnutnotch::edges::http::SendError;
use chestnutnotch::edges::http::Tie;
use chestnutnotch::edges::http::not_run::promises_not_run;
use chestnutnotch::edges::http::pool::ExchangeError;
use http::StatusCode;

/// Checks what ties an answer with this id to the request `a`, after so many answers on its
/// connection.
macro_rules! ties {
    ($($name:ident: $sent:literal, $answered:expr, $exchanges:literal => $tie:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(Tie::of($sent, $answered, $exchanges), $tie);
        }
    )*};
}

ties! {
    own_id: "a", Some("a"), 0 => Some(Tie::Id);
    own_id_on_a_kept_connection: "a", Some("a"), 5 => Some(Tie::Id);
    other_id: "a", Some("b"), 0 => None;
    other_id_on_a_kept_connection: "a", Some("b"), 5 => None;
    no_id_on_a_new_connection: "a", None, 0 => Some(Tie::First);
    no_id_on_a_kept_connection: "a", None, 1 => None;
    empty_id_on_a_new_connection: "a", Some(""), 0 => Some(Tie::First);
    empty_id_on_a_kept_connection: "a", Some(""), 1 => None;
    request_without_an_id: "", None, 0 => Some(Tie::First);
    request_without_an_id_on_a_kept_connection: "", Some(""), 1 => None;
    id_that_nobody_sent: "", Some("b"), 0 => None;
    longer_id: "a", Some("ab"), 0 => None;
}

#[test]
fn connection_that_was_never_made_is_evidence() {
    let error = ExchangeError::Unreachable {
        address: ([127, 0, 0, 1], 1).into(),
        error: std::io::ErrorKind::TimedOut.into(),
    };
    let evidence = NotRun::from_exchange(&error).map(NotRun::label);
    assert_eq!(evidence, Some("not_connected"));
    assert!(NotRun::from_exchange(&ExchangeError::Closed).is_some());
    assert!(NotRun::from_exchange(&ExchangeError::NoAnswer).is_none());
}

#[test]
fn broken_connection_and_timeout_are_no_evidence() {
    assert!(NotRun::from_send(&SendError::Unreachable).is_some());
    assert!(NotRun::from_send(&SendError::Broken).is_none());
    assert!(NotRun::from_send(&SendError::TimedOut).is_none());
}

#[test]
fn four_statuses_promise_that_a_request_was_not_run() {
    let all = (100..600).filter(|code| StatusCode::from_u16(*code).is_ok_and(promises_not_run));
    assert_eq!(all.collect::<Vec<_>>(), [408, 421, 429, 503]);
}
