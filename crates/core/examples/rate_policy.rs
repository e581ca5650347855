//! Compares ways to share the rate that an upstream names among routers, in simulated time:
//! `cargo run --release -p chestnutnotch-core --example rate_policy`.
//!
//! Requests arrive at random at the routers of a load. Each is sent or placed elsewhere. A row shows
//! the most requests sent in any four seconds, the requests that the rate allows in them, the part
//! of what the upstream takes that is used, and the requests that the owner gets for shares.

use self::rate_world::Load;
use self::rate_world::WINDOW;
use self::rate_world::World;
use self::rate_world::most_in_window;

#[path = "../tests/rate_world/mod.rs"]
#[allow(dead_code)]
mod rate_world;

/// Seed of all runs.
const SEED: u64 = 20_261_204;
/// Length of a run, in milliseconds.
const RUN: u64 = 120_000;
/// Time until a router has heard by gossip what another one sent, in milliseconds.
const GOSSIP_LAG: u64 = 450;

/// How the routers share the rate.
#[derive(Clone, Copy, Debug)]
enum Policy {
    /// Each keeps to the whole rate.
    Whole,
    /// Each keeps to the rate divided by the number of routers.
    Even,
    /// Each tells the others what it sent.
    Counts,
    /// One owner grants requests to those that need them.
    Owner,
}

/// What a router does by itself, for all policies but [`Policy::Owner`].
#[derive(Clone, Debug, Default)]
struct Sender {
    level: f64,
    updated: u64,
}

fn main() {
    println!(
        "| rate | routers | load | way | most in 4 s | allowed in 4 s | used | asked a second |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for (rate, routers) in [
        (1.2, 12),
        (1.2, 200),
        (0.4, 12),
        (8.0, 12),
        (200.0, 12),
        (200.0, 200),
    ] {
        for load in [Load::One, Load::All, Load::Moving] {
            for policy in [Policy::Whole, Policy::Even, Policy::Counts, Policy::Owner] {
                let (sent, asked) = simulate(rate, routers, load, policy);
                let most = most_in_window(&sent, 0);
                let used = sent.len() as f64 / (rate * RUN as f64 / 1_000.0);
                println!(
                    "| {rate} | {routers} | {load:?} | {policy:?} | {most} | {:.1} | {:.0}% | {:.1} |",
                    rate * 4.0,
                    used * 100.0,
                    asked as f64 * 1_000.0 / RUN as f64
                );
            }
        }
    }
}

/// Returns the times at which requests were sent to the upstream and the number of requests for
/// shares. The upstream takes `rate` requests a
/// second. Three times as many arrive, two a second at least.
fn simulate(rate: f64, routers: usize, load: Load, policy: Policy) -> (Vec<u64>, u64) {
    let arrivals = ((rate * 3_000.0) as u64).max(2_000);
    let mut world = World::new(routers, (rate * 1_000.0) as u64, SEED);
    if let Policy::Owner = policy {
        world.run(RUN, load, arrivals);
        return (world.sent, world.asked);
    }
    let mut senders = vec![Sender::default(); routers];
    let mut sent: Vec<u64> = Vec::new();
    // The same requests as above: without a rate, all of them are sent.
    world.set_rate(2, None);
    world.run(RUN, load, arrivals);
    for (now, router) in world.sent.iter().zip(&world.senders) {
        let sender = &mut senders[*router];
        let admitted = match policy {
            Policy::Even => sender.take(*now, rate / routers as f64),
            Policy::Counts => {
                let recent = sent.iter().rev().take_while(|at| **at + WINDOW > *now);
                let heard = recent.filter(|at| **at + GOSSIP_LAG <= *now).count();
                (heard as f64) < rate * 4.0
            }
            Policy::Whole | Policy::Owner => sender.take(*now, rate),
        };
        if admitted {
            sent.push(*now);
        }
    }
    (sent, 0)
}

impl Sender {
    fn take(&mut self, now: u64, rate: f64) -> bool {
        let added = (now - self.updated) as f64 * rate / 1_000.0;
        self.level = (self.level + added).min((rate / 4.0).max(1.0));
        self.updated = now;
        let admitted = self.level >= 1.0;
        self.level -= f64::from(u8::from(admitted));
        admitted
    }
}
