//! Model check of budgets: no token is spent twice in any reachable state of small models, and each
//! injected fault is detected.
#![allow(clippy::panic, clippy::unwrap_used)]

mod state;

use chestnutnotch_core::machine::Fault;

use state::escrow::Bounds;
use state::escrow::End;
use state::escrow::Model;
use state::escrow::Outcome;
use state::search::Found;
use state::search::search;

/// A crash, a retirement or an orderly stop of a router while attempts run.
const ENDS: Bounds = Bounds {
    prepaid: 100_000,
    sizes: &[8_000],
    b_sizes: &[],
    reports: 1,
    deliveries: 1,
    top_up: 0,
    ends: &[End::Crash, End::Retire, End::Leave],
    outcomes: &[
        Outcome::Billed,
        Outcome::Spooled,
        Outcome::Wasted,
        Outcome::NotRun,
    ],
    pre_granted: false,
    probe: false,
};

/// Messages delivered twice, and a top-up while the routers run.
const DUPLICATES: Bounds = Bounds {
    deliveries: 2,
    top_up: 10_000,
    ends: &[],
    outcomes: &[Outcome::Billed],
    ..ENDS
};

/// One request that runs at both routers, with bills delivered twice.
const SAME_REQUEST: Bounds = Bounds {
    b_sizes: &[6_000],
    deliveries: 2,
    ends: &[],
    outcomes: &[Outcome::Billed],
    pre_granted: true,
    ..ENDS
};

/// A crash after the exposure was raised, with reports delivered twice and late.
const RAISED_EXPOSURE: Bounds = Bounds {
    sizes: &[8_000, 8_000, 8_000],
    reports: 2,
    deliveries: 2,
    ends: &[End::Crash],
    outcomes: &[],
    pre_granted: true,
    probe: true,
    ..ENDS
};

/// A retired router that is still running: it runs attempts one after the other and bills each.
const STILL_RUNNING: Bounds = Bounds {
    sizes: &[8_000, 12_000],
    ends: &[End::Retire],
    outcomes: &[Outcome::Billed, Outcome::Spooled],
    pre_granted: true,
    probe: true,
    ..ENDS
};

/// Returns of tokens, with lost and late answers.
const RETURNS: Bounds = Bounds {
    sizes: &[8_000, 12_000],
    reports: 3,
    ends: &[End::Leave],
    outcomes: &[Outcome::NotRun],
    probe: true,
    ..ENDS
};

fn run(bounds: Bounds, fault: Option<Fault>) -> Found<Model> {
    let initial = Model::new(bounds, fault);
    let result = search(
        &initial,
        |model| model.next(bounds),
        |model| model.violates_invariant(bounds),
    );
    let length = result.path.as_ref().map(Vec::len);
    println!(
        "{fault:?}: {} states, broken after {length:?}",
        result.states
    );
    for model in result.path.iter().flatten() {
        println!("  {}", model.event);
    }
    result
}

fn keeps_invariants(bounds: Bounds) {
    assert!(run(bounds, None).path.is_none());
}

fn detects(bounds: Bounds, fault: Fault) {
    assert!(run(bounds, Some(fault)).path.is_some());
}

cases! {
    ends_keep_the_budget: keeps_invariants(ENDS);
    doubled_messages_keep_the_budget: keeps_invariants(DUPLICATES);
    two_runs_of_one_request_keep_the_budget: keeps_invariants(SAME_REQUEST);
    a_raised_exposure_keeps_the_budget: keeps_invariants(RAISED_EXPOSURE);
    returns_keep_the_budget: keeps_invariants(RETURNS);
    a_retired_router_keeps_the_budget: keeps_invariants(STILL_RUNNING);
    billing_after_the_seals_is_found: detects(STILL_RUNNING, Fault::BillSealed);
    freeing_before_the_seals_is_found: detects(ENDS, Fault::FreeUnsealed);
    freeing_the_exposure_is_found: detects(ENDS, Fault::FreeExposure);
    a_doubled_top_up_is_found: detects(DUPLICATES, Fault::TopUpTwice);
    a_doubled_bill_is_found: detects(SAME_REQUEST, Fault::BillTwice);
    a_free_merge_is_found: detects(SAME_REQUEST, Fault::MergeFree);
    an_old_report_is_found: detects(RAISED_EXPOSURE, Fault::OldReport);
    spending_what_was_returned_is_found: detects(RETURNS, Fault::KeepReturned);
}
