//! All states of small specifications of budgets: no token is spent twice.
#![allow(clippy::panic, clippy::unwrap_used)]

mod state;

use chestnutnotch_core::machine::Fault;

use state::escrow::Bounds;
use state::escrow::End;
use state::escrow::Fate;
use state::escrow::World;
use state::search::Found;
use state::search::search;

/// A crash, a replacement or an orderly stop with attempts under way.
const ENDS: Bounds = Bounds {
    prepaid: 100_000,
    sizes: &[8_000],
    others: &[],
    asks: 1,
    deliveries: 1,
    top_up: 0,
    ends: &[End::Crash, End::Retire, End::Leave],
    fates: &[Fate::Billed, Fate::Spooled, Fate::Wasted, Fate::NotRun],
    primed: false,
    probe: false,
};

/// Doubled messages, and a top-up while the routers run.
const DOUBLED: Bounds = Bounds {
    deliveries: 2,
    top_up: 10_000,
    ends: &[],
    fates: &[Fate::Billed],
    ..ENDS
};

/// One request run at both routers, with doubled bills.
const TWICE: Bounds = Bounds {
    others: &[6_000],
    deliveries: 2,
    ends: &[],
    fates: &[Fate::Billed],
    primed: true,
    ..ENDS
};

/// A crash after the exposure was raised, with reports doubled and late.
const RAISED: Bounds = Bounds {
    sizes: &[8_000, 8_000, 8_000],
    asks: 2,
    deliveries: 2,
    ends: &[End::Crash],
    fates: &[],
    primed: true,
    probe: true,
    ..ENDS
};

/// A retired router goes on: it runs attempts one after the other and bills each.
const ZOMBIE: Bounds = Bounds {
    sizes: &[8_000, 12_000],
    ends: &[End::Retire],
    fates: &[Fate::Billed, Fate::Spooled],
    primed: true,
    probe: true,
    ..ENDS
};

/// Returns, with answers lost and late.
const RETURNS: Bounds = Bounds {
    sizes: &[8_000, 12_000],
    asks: 3,
    ends: &[End::Leave],
    fates: &[Fate::NotRun],
    probe: true,
    ..ENDS
};

fn run(bounds: Bounds, fault: Option<Fault>) -> Found<World> {
    let start = World::new(bounds, fault);
    let found = search(
        &start,
        |world| world.next(bounds),
        |world| world.is_broken(bounds),
    );
    let length = found.path.as_ref().map(Vec::len);
    println!(
        "{fault:?}: {} states, broken after {length:?}",
        found.states
    );
    for world in found.path.iter().flatten() {
        println!("  {}", world.via);
    }
    found
}

fn holds(bounds: Bounds) {
    assert!(run(bounds, None).path.is_none());
}

fn breaks(bounds: Bounds, fault: Fault) {
    assert!(run(bounds, Some(fault)).path.is_some());
}

cases! {
    ends_keep_the_budget: holds(ENDS);
    doubled_messages_keep_the_budget: holds(DOUBLED);
    two_runs_of_one_request_keep_the_budget: holds(TWICE);
    a_raised_exposure_keeps_the_budget: holds(RAISED);
    returns_keep_the_budget: holds(RETURNS);
    a_retired_router_keeps_the_budget: holds(ZOMBIE);
    billing_after_the_seals_is_found: breaks(ZOMBIE, Fault::BillSealed);
    freeing_before_the_seals_is_found: breaks(ENDS, Fault::FreeUnsealed);
    freeing_the_exposure_is_found: breaks(ENDS, Fault::FreeExposure);
    a_doubled_top_up_is_found: breaks(DOUBLED, Fault::TopUpTwice);
    a_doubled_bill_is_found: breaks(TWICE, Fault::BillTwice);
    a_free_merge_is_found: breaks(TWICE, Fault::MergeFree);
    an_old_report_is_found: breaks(RAISED, Fault::OldReport);
    spending_what_was_returned_is_found: breaks(RETURNS, Fault::KeepReturned);
}
