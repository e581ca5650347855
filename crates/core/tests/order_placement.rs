//! Placement of models by demand, and the rate limit of the weight store.

use bolero::check;
use chestnutnotch_core::id::Model;
use chestnutnotch_core::id::Upstream;
use chestnutnotch_core::order::Demand;
use chestnutnotch_core::order::Engine;
use chestnutnotch_core::order::Order;
use chestnutnotch_core::order::PlacementPlanner;
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
        max_loaded: 2,
        slots: 8,
    }
}

/// Demand for a model of `requests` running or waiting requests on average.
fn demand(model: &str, requests: u64) -> Demand {
    Demand {
        model: Model::from(model),
        adapter: None,
        version: 1,
        concurrency: requests * 1_000,
    }
}

/// Applies an order to the engine that it names.
fn apply(engines: &mut [Engine], order: &Order) {
    let engine = engines
        .iter_mut()
        .find(|one| one.upstream == *order.upstream())
        .expect("known");
    match order {
        Order::Load(_, loaded) => engine.loaded.push(loaded.clone()),
        Order::Unload(_, loaded) => engine.loaded.retain(|one| one != loaded),
    }
    assert!(engine.loaded.len() <= engine.max_loaded as usize);
}

/// Plans every ten seconds for a number of rounds and applies the orders. Returns their number.
fn run(
    engines: &mut [Engine],
    rules: PlacementRules,
    rounds: u64,
    demand: impl Fn(u64) -> Vec<Demand>,
) -> usize {
    let mut planner = PlacementPlanner::new(rules);
    let mut orders = 0;
    for round in 0..rounds {
        if let Some(order) = planner.plan(Millis(round * 10_000), engines, &demand(round)) {
            apply(engines, &order);
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
        run(&mut engines, PlacementRules::default(), 10, |_| vec![demand("chat", 2), demand("draft", 1)]);
        assert!(copies(&engines, "draft") >= 1);
    }

    a_crowded_model_takes_the_place_of_an_idle_one => {
        let mut engines = [engine("w1", &["chat", "draft"]), engine("w2", &["draft", "letter"]), engine("w3", &["draft", "letter"])];
        run(&mut engines, PlacementRules::default(), 200, |_| vec![demand("chat", 9), demand("draft", 1), demand("letter", 1)]);
        assert!(copies(&engines, "chat") >= 2, "{engines:?}");
        assert!(copies(&engines, "draft") >= 1 && copies(&engines, "letter") >= 1);
    }

    a_steady_demand_ends_without_further_orders => {
        let mut engines = [engine("w1", &["chat", "draft"]), engine("w2", &["chat"]), engine("w3", &["draft"])];
        let steady = |_| vec![demand("chat", 8), demand("draft", 4)];
        run(&mut engines, PlacementRules::default(), 200, steady);
        assert_eq!(run(&mut engines, PlacementRules::default(), 200, steady), 0);
    }

    a_swinging_demand_moves_little => {
        let swing = |round: u64| {
            let names = ["chat", "draft", "letter"].into_iter().enumerate();
            let requests = |n: usize| if round % 3 == n as u64 { 14 } else { 3 };
            names.map(|(n, name)| demand(name, requests(n))).collect()
        };
        let start = || [engine("w1", &["chat", "draft"]), engine("w2", &["chat", "letter"]), engine("w3", &["draft", "letter"])];
        let damped = run(&mut start(), PlacementRules::default(), 360, swing);
        let rules = PlacementRules { cooldown: Millis(0), high_load: 800, low_load: 800 };
        let undamped = run(&mut start(), rules, 360, swing);
        println!("{damped} orders with hysteresis, {undamped} without");
        assert!(damped <= 4, "{damped}");
        assert!(undamped > 50, "{undamped}");
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
            let mut planner = PlacementPlanner::new(PlacementRules {
                cooldown: Millis(0),
                ..PlacementRules::default()
            });
            for (now, requests) in rounds.iter().enumerate() {
                let demands: Vec<Demand> = names
                    .iter()
                    .zip(requests)
                    .map(|(name, requests)| demand(name, u64::from(*requests % 16)))
                    .collect();
                let before: Vec<usize> = names.iter().map(|name| copies(&engines, name)).collect();
                if let Some(order) = planner.plan(Millis(now as u64), &engines, &demands) {
                    apply(&mut engines, &order);
                }
                for (name, before) in names.iter().zip(before) {
                    assert!(before == 0 || copies(&engines, name) > 0);
                }
            }
        });
}

/// Checks that successive lease holders together never take more than the rate allows.
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
            for (elapsed, bytes, handover) in steps {
                now += u64::from(*elapsed) * 10;
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
