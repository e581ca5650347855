//! Lookup and validation of pass-through routes, and the bound on the retries of all routers.
#![allow(clippy::unwrap_used)]

use std::sync::Arc;

use chestnutnotch_core::limit::RetryWindow;
use chestnutnotch_core::limit::WindowRules;
use chestnutnotch_core::route::Plan;
use chestnutnotch_core::route::PlanError;
use chestnutnotch_core::route::RequestKind;
use chestnutnotch_core::route::Route;
use chestnutnotch_core::route::RouteIndex;
use chestnutnotch_core::route::ServiceSpec;
use chestnutnotch_core::route::WeightedService;
use chestnutnotch_core::unit::Millis;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn route(host: &str, prefix: &str) -> Route {
    Route {
        name: format!("{host}{prefix}").into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: RequestKind::NonIdempotent,
        timeout: Millis(1_000),
        target_latency: Millis(100),
        rank: 0,
        split: vec![WeightedService {
            service: "app".into(),
            weight: 1,
        }],
        max_attempts: 1,
        public: false,
    }
}

fn plan(routes: Vec<Route>) -> Plan {
    Plan {
        version: 1,
        routes,
        services: vec![ServiceSpec {
            name: "app".into(),
            max_connections: 10,
            stride: 0,
        }],
        ..Plan::default()
    }
}

/// Checks which route serves a host and a path.
macro_rules! lookup {
    ($($name:ident: $host:literal $path:literal => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let routes = vec![route("a.example", "/"), route("a.example", "/x/"), route("a.example", "/x/y/"), route("b.example", "/x/")];
            let index = RouteIndex::new(Arc::new(plan(routes)));
            let found = index.find($host, $path).map(|route| route.name.to_string());
            let expected: Option<&str> = $expected;
            assert_eq!(found.as_deref(), expected);
        }
    )*};
}

lookup! {
    longest: "a.example" "/x/y/z" => Some("a.example/x/y/");
    shorter: "a.example" "/x/z" => Some("a.example/x/");
    no_slash_no_prefix: "a.example" "/xy" => Some("a.example/");
    port_is_ignored: "a.example:8080" "/x/" => Some("a.example/x/");
    case_is_ignored: "A.Example" "/x/" => Some("a.example/x/");
    other_host: "b.example" "/x/q" => Some("b.example/x/");
    no_route: "b.example" "/q" => None;
    no_host: "c.example" "/x/" => None;
}

#[test]
fn same_place_is_refused() {
    let twice = plan(vec![route("a.example", "/x/"), route("a.example", "/x/")]);
    assert!(matches!(
        twice.check(),
        Err(PlanError::DuplicateRoute { .. })
    ));
    assert_eq!(plan(vec![route("a.example", "/x/")]).check(), Ok(()));
}

#[test]
fn split_follows_the_weights() {
    let mut split = route("a.example", "/");
    split.split = vec![
        WeightedService {
            service: "one".into(),
            weight: 90,
        },
        WeightedService {
            service: "two".into(),
            weight: 10,
        },
        WeightedService {
            service: "none".into(),
            weight: 0,
        },
    ];
    let draws = (0..1_000).map(|step| {
        split
            .pick_service(f64::from(step) / 1_000.0)
            .unwrap()
            .to_string()
    });
    let count = |name: &str, all: &[String]| all.iter().filter(|one| *one == name).count();
    let all: Vec<String> = draws.collect();
    assert_eq!((count("one", &all), count("two", &all)), (900, 100));
}

/// In any window of 10 seconds, all routers together retry at most 20 % of the first attempts plus
/// the fixed allowance, however many routers share it.
#[test]
fn retries_of_all_routers_stay_within_the_window() {
    let rules = WindowRules {
        per_attempt: 200,
        allowance: 60,
        window: Millis(10_000),
    };
    let mut rng = ChaCha8Rng::seed_from_u64(20_261_204);
    for routers in [1, 3, 12] {
        let mut windows: Vec<RetryWindow> = (0..routers).map(|_| RetryWindow::new(rules)).collect();
        let (mut firsts, mut retries) = (Vec::new(), Vec::new());
        for step in 0..40_000 {
            let now = Millis(step);
            let window = &mut windows[rng.random_range(0..routers)];
            if rng.random_range(0..10) == 0 {
                window.record_first(now);
                firsts.push(step);
            }
            if window.take(now, routers) {
                retries.push(step);
            }
        }
        for end in (10_000..40_000).step_by(250) {
            let within = |all: &[u64], span: u64| {
                all.iter()
                    .filter(|at| **at > end - span && **at <= end)
                    .count()
            };
            let bound = within(&firsts, 10_000) as f64 * 0.2 + 60.0;
            assert!(
                within(&retries, 10_000) as f64 <= bound,
                "at {end} with {routers} routers"
            );
        }
    }
}
