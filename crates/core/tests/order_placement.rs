//! Placement of models by demand, and the weight store's rate.

use bolero::check;
use chestnutnotch_core::id::Model;
use chestnutnotch_core::id::Upstream;
use chestnutnotch_core::order::Demand;
use chestnutnotch_core::order::Engine;
use chestnutnotch_core::order::Order;
use chestnutnotch_core::order::Placement;
use chestnutnotch_core::order::PlacementRules;
use chestnutnotch_core::order::RateShare;
use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::upstream::announce::Loaded;

fn loaded(model: &str) -> Loaded {
    Loaded {
        model: Model::from(model),
        adapter: None,
        version: 1,
    }
}

fn engine(name: &str, models: &[&str]) -> Engine {
    Engine {
        upstream: Upstream::from(name),
        loaded: models.iter().map(|model| loaded(model)).collect(),
        room: 2,
        slots: 8,
    }
}

fn demand(model: &str, busy: u64) -> Demand {
    Demand {
        model: Model::from(model),
        adapter: None,
        version: 1,
        busy: busy * 1_000,
    }
}

fn carry_out(engines: &mut [Engine], order: &Order) {
    let engine = engines
        .iter_mut()
        .find(|one| one.upstream == *order.upstream())
        .expect("known");
    match order {
        Order::Load(_, loaded) => engine.loaded.push(loaded.clone()),
        Order::Unload(_, loaded) => engine.loaded.retain(|one| one != loaded),
    }
    assert!(engine.loaded.len() <= engine.room as usize);
}

/// Plans every ten seconds for a number of rounds. Returns how many orders were given.
fn settle(
    engines: &mut [Engine],
    rules: PlacementRules,
    rounds: u64,
    demand: impl Fn(u64) -> Vec<Demand>,
) -> usize {
    let mut placement = Placement::new(rules);
    let mut orders = 0;
    for round in 0..rounds {
        if let Some(order) = placement.plan(Millis(round * 10_000), engines, &demand(round)) {
            carry_out(engines, &order);
            orders += 1;
        }
    }
    orders
}

fn copies(engines: &[Engine], model: &str) -> usize {
    engines
        .iter()
        .filter(|engine| engine.loaded.contains(&loaded(model)))
        .count()
}

macro_rules! case {
    ($($name:ident => $body:block)*) => {$(
        #[test]
        fn $name() $body
    )*};
}

case! {
    a_missing_model_is_placed => {
        let mut engines = [engine("w1", &["chat"]), engine("w2", &["chat"])];
        settle(&mut engines, PlacementRules::default(), 10, |_| vec![demand("chat", 2), demand("draft", 1)]);
        assert!(copies(&engines, "draft") >= 1);
    }

    a_crowded_model_takes_the_place_of_an_idle_one => {
        let mut engines = [engine("w1", &["chat", "draft"]), engine("w2", &["draft", "letter"]), engine("w3", &["draft", "letter"])];
        settle(&mut engines, PlacementRules::default(), 200, |_| vec![demand("chat", 9), demand("draft", 1), demand("letter", 1)]);
        assert!(copies(&engines, "chat") >= 2, "{engines:?}");
        assert!(copies(&engines, "draft") >= 1 && copies(&engines, "letter") >= 1);
    }

    a_steady_demand_ends_in_rest => {
        let mut engines = [engine("w1", &["chat", "draft"]), engine("w2", &["chat"]), engine("w3", &["draft"])];
        let steady = |_| vec![demand("chat", 8), demand("draft", 4)];
        settle(&mut engines, PlacementRules::default(), 200, steady);
        assert_eq!(settle(&mut engines, PlacementRules::default(), 200, steady), 0);
    }

    a_swinging_demand_moves_little => {
        let swing = |round: u64| {
            let names = ["chat", "draft", "letter"].into_iter().enumerate();
            let busy = |n: usize| if round % 3 == n as u64 { 14 } else { 3 };
            names.map(|(n, name)| demand(name, busy(n))).collect()
        };
        let start = || [engine("w1", &["chat", "draft"]), engine("w2", &["chat", "letter"]), engine("w3", &["draft", "letter"])];
        let calm = settle(&mut start(), PlacementRules::default(), 360, swing);
        let hasty = PlacementRules { dwell: Millis(0), high: 800, low: 800 };
        let hasty = settle(&mut start(), hasty, 360, swing);
        println!("{calm} orders with hysteresis, {hasty} without");
        assert!(calm <= 4, "{calm}");
        assert!(hasty > 50, "{hasty}");
    }

    the_rate_is_earned_with_time => {
        let mut share = RateShare::new(Millis(0), 4_000, 4, 10_000);
        assert!(!share.take(Millis(0), 1));
        assert!(share.take(Millis(1_000), 1_000));
        assert_eq!(share.wait(500), Some(Millis(500)));
        assert_eq!(share.wait(20_000), None);
        assert!(share.take(Millis(1_500), 500));
    }
}

#[test]
fn the_last_copy_stays_and_no_engine_overflows() {
    check!()
        .with_type::<(Vec<(u8, u8)>, Vec<[u8; 3]>)>()
        .with_iterations(2_000)
        .with_max_len(256)
        .for_each(|(start, rounds)| {
            let names = ["chat", "draft", "letter"];
            let mut engines: Vec<Engine> = start
                .iter()
                .take(6)
                .enumerate()
                .map(|(n, (a, b))| {
                    let (a, b) = (usize::from(a % 3), usize::from(b % 3));
                    let models = if a == b {
                        vec![names[a]]
                    } else {
                        vec![names[a], names[b]]
                    };
                    engine(&format!("w{n}"), &models)
                })
                .collect();
            let mut placement = Placement::new(PlacementRules {
                dwell: Millis(0),
                ..PlacementRules::default()
            });
            for (now, busy) in rounds.iter().enumerate() {
                let wants: Vec<Demand> = names
                    .iter()
                    .zip(busy)
                    .map(|(name, busy)| demand(name, u64::from(*busy % 16)))
                    .collect();
                let before: Vec<usize> = names.iter().map(|name| copies(&engines, name)).collect();
                if let Some(order) = placement.plan(Millis(now as u64), &engines, &wants) {
                    carry_out(&mut engines, &order);
                }
                for (name, before) in names.iter().zip(before) {
                    assert!(before == 0 || copies(&engines, name) > 0);
                }
            }
        });
}

/// The sum of what givers take one after the other never passes the rate and one burst.
#[test]
fn a_handover_adds_nothing_to_the_rate() {
    check!()
        .with_type::<Vec<(u8, u16, bool)>>()
        .with_iterations(2_000)
        .with_max_len(512)
        .for_each(|steps| {
            let (rate, burst) = (1_000, 5_000);
            let mut share = RateShare::new(Millis(0), rate, 1, burst);
            let mut now = 0;
            let mut taken = 0;
            for (pass, bytes, handover) in steps {
                now += u64::from(*pass) * 10;
                if *handover {
                    share = RateShare::new(Millis(now), rate, 1, burst);
                }
                if share.take(Millis(now), u64::from(*bytes)) {
                    taken += u64::from(*bytes);
                }
                assert!(taken <= now * rate / 1_000);
            }
        });
}
