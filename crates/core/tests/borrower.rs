//! Which holders are asked for a loan, and which are left out for a while.
#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;

use chestnutnotch_core::id::Budget;
use chestnutnotch_core::ledger::BorrowPolicy;
use chestnutnotch_core::ledger::Borrower;
use chestnutnotch_core::unit::Millis;

const POLICY: BorrowPolicy = BorrowPolicy {
    max_lenders: 2,
    pause: Millis(1_000),
};

fn holders() -> Vec<SocketAddr> {
    let addresses = (1..=4).map(|number| format!("10.0.0.{number}:7000"));
    addresses.map(|text| text.parse().unwrap()).collect()
}

/// Returns the last parts of the addresses of the holders that are asked.
fn asked(borrower: &mut Borrower, now: u64, budget: &str) -> Vec<u8> {
    let lenders = borrower.lenders(Millis(now), &Budget::from(budget), holders());
    let hosts = lenders.iter().map(|lender| match lender {
        SocketAddr::V4(address) => address.ip().octets()[3],
        SocketAddr::V6(_) => 0,
    });
    hosts.collect()
}

/// Returns a borrower to which the first holder did not answer, and to which the second one had
/// nothing to spare of `lodge`, both at time 500.
fn after_two_failures() -> Borrower {
    let mut borrower = Borrower::new(POLICY);
    borrower.record_silent(Millis(500), holders()[0]);
    borrower.record_empty(Millis(500), holders()[1], &Budget::from("lodge"));
    borrower
}

macro_rules! cases {
    ($($name:ident: $borrower:expr, $now:expr, $budget:expr, $asked:expr;)*) => {
        $(#[test]
        fn $name() {
            assert_eq!(asked(&mut $borrower, $now, $budget), $asked);
        })*
    };
}

cases! {
    the_best_candidates_are_asked: Borrower::new(POLICY), 0, "lodge", [1, 2];
    silent_and_empty_holders_are_left_out: after_two_failures(), 1_499, "lodge", [3, 4];
    an_empty_holder_is_asked_for_another_budget: after_two_failures(), 1_499, "desk", [2, 3];
    all_are_asked_again_after_the_pause: after_two_failures(), 1_500, "lodge", [1, 2];
}

#[test]
fn nobody_is_asked_while_all_are_left_out() {
    let mut borrower = Borrower::new(POLICY);
    for holder in holders() {
        borrower.record_silent(Millis(0), holder);
    }
    assert!(asked(&mut borrower, 999, "lodge").is_empty());
}
