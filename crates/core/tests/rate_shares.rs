//! Routers share the rate that an upstream names: the sum is kept and most of it is used.
#![allow(clippy::panic, clippy::unwrap_used)]

mod rate_world;

use chestnutnotch_core::unit::Incarnation;
use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::upstream::rate::Reach;

use self::rate_world::Load;
use self::rate_world::WINDOW;
use self::rate_world::World;
use self::rate_world::notice;
use self::rate_world::upstream;

/// Length of a run, in milliseconds.
const RUN: u64 = 60_000;
/// Time after which a router that is gone no longer counts as live, in milliseconds.
const FAILURE_TIMEOUT: u64 = 3_700;
/// Part of the rate that has to be used, in hundredths.
const LEAST_USED: f64 = 60.0;

/// Checks the users' rule from a time on: half more than the rate and five requests in four seconds.
fn assert_kept(world: &World, rate: u64, from: u64) {
    let allowed = 1.5 * rate as f64 * WINDOW as f64 / 1_000_000.0 + 5.0;
    let most = world.most_in_window(from);
    assert!(most as f64 <= allowed, "{most} in 4 s, {allowed} allowed");
}

/// Checks that most of the rate is used between two times, in milliseconds.
fn assert_used(world: &World, rate: u64, from: u64, to: u64) {
    let count = world
        .sent
        .iter()
        .filter(|at| (from..to).contains(at))
        .count();
    let used = count as f64 * 1e8 / (rate as f64 * (to - from) as f64);
    assert!(used >= LEAST_USED, "{used:.0}% used");
}

/// Defines a test for each named case: number of routers, rate in thousandths, and load.
macro_rules! steady {
    ($($name:ident: $routers:expr, $rate:expr, $load:expr;)*) => {
        $(
            #[test]
            fn $name() {
                for seed in 0..3 {
                    let mut world = World::new($routers, $rate, seed);
                    world.run(RUN, $load, $rate * 3);
                    assert_kept(&world, $rate, 0);
                    assert_used(&world, $rate, 10_000, RUN);
                }
            }
        )*
    };
}

steady! {
    one_router_uses_the_rate: 12, 1_200, Load::One;
    all_routers_use_the_rate: 12, 1_200, Load::All;
    load_that_moves_uses_the_rate: 12, 1_200, Load::Moving;
    many_routers_share_a_low_rate: 200, 1_200, Load::All;
    one_of_many_routers_uses_a_low_rate: 200, 1_200, Load::One;
    high_rate_at_one_router: 12, 300_000, Load::One;
    high_rate_at_all_routers: 12, 300_000, Load::All;
    high_rate_moves_between_many_routers: 200, 300_000, Load::Moving;
    some_requests_a_second: 12, 8_000, Load::All;
}

#[test]
fn rate_below_one_a_second_is_kept_and_used() {
    let mut world = World::new(12, 250, 1);
    world.run(8 * RUN, Load::All, 2_000);
    assert_kept(&world, 250, 0);
    assert_used(&world, 250, 10_000, 8 * RUN);
}

#[test]
fn lost_messages_waste_little_and_exceed_nothing() {
    let mut world = World::new(12, 8_000, 1);
    world.loss = 0.05;
    world.run(RUN, Load::All, 24_000);
    assert_kept(&world, 8_000, 0);
    assert_used(&world, 8_000, 10_000, RUN);
}

#[test]
fn lost_owner_is_replaced() {
    for rate in [1_200, 8_000, 300_000] {
        let mut world = World::new(12, rate, 1);
        world.run(20_000, Load::All, rate * 3);
        world.cut[11] = true;
        // Requests still arrive at the owner, which grants itself what it needs.
        world.run(FAILURE_TIMEOUT, Load::All, rate * 3);
        world.owners[..11].fill(10);
        world.live.fill(11);
        world.live[11] = 1;
        world.run(20_000, Load::All, rate * 3);
        assert_kept(&world, rate, 0);
        assert_used(&world, rate, 30_000, world.now);
    }
}

#[test]
fn all_routers_cut_off_from_the_owner_exceed_nothing() {
    for rate in [1_200, 8_000, 300_000] {
        let mut world = World::new(12, rate, 1);
        world.run(20_000, Load::All, rate * 3);
        world.cut.fill(true);
        world.run(20_000, Load::All, rate * 3);
        assert_kept(&world, rate, 0);
    }
}

#[test]
fn router_that_is_cut_off_keeps_to_its_part() {
    for rate in [1_200, 8_000, 300_000] {
        let mut world = World::new(12, rate, 1);
        world.run(20_000, Load::All, rate * 3);
        world.cut[0] = true;
        world.run(FAILURE_TIMEOUT, Load::All, rate * 3);
        // It takes itself for the only live router.
        world.owners[0] = 0;
        world.live.fill(11);
        world.live[0] = 1;
        world.run(20_000, Load::All, rate * 36);
        assert_kept(&world, rate, 0);
        assert_used(&world, rate, 30_000, world.now);
    }
}

#[test]
fn halves_of_a_partition_share_the_rate() {
    for rate in [1_200, 8_000, 300_000] {
        let mut world = World::new(12, rate, 1);
        world.run(20_000, Load::All, rate * 3);
        world.owners[..6].fill(0);
        world.live.fill(6);
        world.run(20_000, Load::All, rate * 6);
        assert_kept(&world, rate, 0);
        assert_used(&world, rate, 25_000, world.now);
    }
}

#[test]
fn owner_that_changes_each_second_exceeds_nothing() {
    for rate in [1_200, 8_000, 300_000] {
        let mut world = World::new(12, rate, 1);
        for turn in 0..30 {
            world.owners.fill(turn % 3);
            world.run(1_000, Load::All, rate * 3);
        }
        assert_kept(&world, rate, 0);
    }
}

#[test]
fn two_owners_for_a_second_exceed_nothing() {
    for rate in [1_200, 8_000, 300_000] {
        let mut world = World::new(12, rate, 1);
        world.run(20_000, Load::All, rate * 3);
        world.owners[..6].fill(0);
        world.run(1_000, Load::All, rate * 3);
        world.owners.fill(0);
        world.run(20_000, Load::All, rate * 3);
        assert_kept(&world, rate, 0);
    }
}

#[test]
fn rate_that_falls_is_kept_soon() {
    let mut world = World::new(12, 100_000, 1);
    world.run(20_000, Load::All, 300_000);
    world.set_rate(2, Some(1_200));
    world.run(20_000, Load::All, 300_000);
    // Grants at the higher rate are used up or void half a second later.
    assert_kept(&world, 1_200, 20_600);
}

#[test]
fn rate_that_rises_is_used_soon() {
    let mut world = World::new(12, 1_200, 1);
    world.run(20_000, Load::All, 300_000);
    world.set_rate(2, Some(100_000));
    world.run(20_000, Load::All, 300_000);
    assert_used(&world, 100_000, 23_000, 40_000);
}

#[test]
fn rate_that_is_removed_limits_nothing() {
    let mut world = World::new(12, 1_200, 1);
    world.run(20_000, Load::All, 100_000);
    world.set_rate(2, None);
    world.run(10_000, Load::All, 100_000);
    assert_used(&world, 100_000, 20_100, 30_000);
}

#[test]
fn later_start_has_no_rate() {
    let mut world = World::new(2, 1_200, 1);
    let book = &mut world.books[0];
    assert!(!book.has_room(Millis(1), &upstream(), Incarnation(1), 0));
    assert!(book.has_room(Millis(1), &upstream(), Incarnation(2), 0));
    // A late notice of the earlier start does not limit the later one.
    let mut later = notice(1, None);
    later.incarnation = Incarnation(2);
    book.observe_notice(Millis(2), &later);
    book.observe_notice(Millis(3), &notice(9, Some(1_200)));
    assert!(book.has_room(Millis(4), &upstream(), Incarnation(2), 0));
}

#[test]
fn owner_learns_of_the_rate_from_a_request() {
    let mut world = World::new(2, 1_200, 1);
    world.books[1] = Default::default();
    world.run(20_000, Load::One, 3_600);
    assert_kept(&world, 1_200, 0);
    assert_used(&world, 1_200, 5_000, 20_000);
}

/// Sends requests of two priorities, each 50 ms one of each. Returns how many
/// of each are sent.
fn send_two_priorities(low_router: usize, high_router: usize) -> [u64; 2] {
    let mut world = World::new(3, 1_000, 1);
    let mut sent = [0, 0];
    for now in (0..20_000).step_by(50) {
        for (router, priority) in [(low_router, 1), (high_router, 5)] {
            let at = Millis(now);
            let (up, start) = (upstream(), Incarnation(1));
            world.books[router].refill(at, 3);
            if !world.books[router].has_room(at, &up, start, priority) {
                world.books[router].want(at, &up, start, priority);
                if let Some(request) = world.books[router].ask(at, &up) {
                    let address = ([127, 0, 0, 1], router as u16).into();
                    let reach = Reach { live: 3, known: 3 };
                    let grant = world.books[2].answer(at, address, &request, reach);
                    world.books[router].observe_grant(at, &grant);
                }
            }
            if world.books[router].has_room(at, &up, start, priority) {
                world.books[router].take(at, &up, start, priority);
                sent[usize::from(priority == 5)] += 1;
            }
        }
    }
    sent
}

#[test]
fn requests_of_higher_priority_go_first_at_one_router() {
    let [low, high] = send_two_priorities(0, 0);
    assert!(
        high >= 12 && low <= 2,
        "{low} of low, {high} of high priority"
    );
}

#[test]
fn requests_of_higher_priority_go_first_over_all_routers() {
    let [low, high] = send_two_priorities(0, 1);
    assert!(
        high >= 12 && low <= 2,
        "{low} of low, {high} of high priority"
    );
}

#[test]
fn callers_that_are_turned_away_return_one_after_the_other() {
    let mut world = World::new(2, 1_000, 1);
    world.run(10_000, Load::One, 5_000);
    let book = &mut world.books[0];
    let now = Millis(world.now);
    let mut returns: Vec<u64> = Vec::new();
    for _ in 0..4 {
        let at = book.turn_away(now, &upstream(), Incarnation(1), 0);
        returns.push(at.0);
    }
    assert!(returns.is_sorted(), "{returns:?}");
    assert!(returns[0] > now.0);
    assert!(returns[3] - returns[0] >= 1_000, "{returns:?}");
}
