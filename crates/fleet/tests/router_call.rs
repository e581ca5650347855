//! Calls to plain services through a router: repeated ones, and those that run at most once.

mod support;

use bytes::Bytes;
use chestnutnotch_standin::Faults;
use http::Method;
use http::StatusCode;
use serde_json::Value;
use serde_json::json;

use support::Bench;

const PREPAID: u64 = 100_000;
const RESERVE: &str = "/services/desk/reserve";

macro_rules! case {
    ($name:ident, $body:expr) => {
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let bench = Bench::new(PREPAID).await;
            let run: fn(Bench) -> _ = $body;
            run(bench).await;
        }
    };
}

fn jacket() -> Value {
    json!({"garment": "jacket-12"})
}

case!(
    reservation_runs_once_and_is_repeated_from_the_record,
    |mut bench| async move {
        bench.desk(Faults::default()).await;
        let key = [("idempotency-key", "r-1")];
        let first = bench.ask(RESERVE, &key, &jacket()).await;
        assert_eq!(first.status, StatusCode::OK);
        let again = bench.ask(RESERVE, &key, &jacket()).await;
        assert_eq!((again.status, &again.body), (first.status, &first.body));
        assert_eq!(bench.stats(0).await.keys["r-1"], 1);
        let other = bench.ask(RESERVE, &key, &json!({"garment": "glove"})).await;
        assert_eq!(other.code(), "key_reused");
    }
);

case!(
    recorded_answer_is_given_without_a_worker,
    |mut bench| async move {
        bench.desk(Faults::default()).await;
        let key = [("idempotency-key", "r-6")];
        let first = bench.ask(RESERVE, &key, &jacket()).await;
        assert_eq!(first.status, StatusCode::OK);
        bench.leave(0);
        support::until(async || bench.ask(RESERVE, &[], &jacket()).await.status != 200).await;
        let again = bench.ask(RESERVE, &key, &jacket()).await;
        assert_eq!((again.status, &again.body), (first.status, &first.body));
    }
);

case!(
    cut_answer_is_unknown_and_never_sent_again,
    |mut bench| async move {
        let faults = Faults {
            cut: Some(0),
            ..Faults::default()
        };
        bench.desk(faults).await;
        let key = [("idempotency-key", "r-2")];
        for _ in 0..3 {
            let answer = bench.ask(RESERVE, &key, &jacket()).await;
            assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
            assert_eq!(
                (answer.code(), answer.ran()),
                ("outcome_unknown".into(), "unknown".into())
            );
        }
        assert_eq!(bench.stats(0).await.keys["r-2"], 1);
    }
);

case!(
    without_a_quorum_a_reservation_is_not_run,
    |mut bench| async move {
        bench.desk(Faults::default()).await;
        bench.control.state().no_quorum = true;
        let key = [("idempotency-key", "r-3")];
        let answer = bench.ask(RESERVE, &key, &jacket()).await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        // An earlier submission under a key of the caller's may have run.
        assert_eq!(
            (answer.code(), answer.ran()),
            ("no_quorum".into(), "unknown".into())
        );
        assert!(answer.headers.contains_key("retry-after"));
        let fresh = bench.ask(RESERVE, &[], &jacket()).await;
        assert_eq!(
            (fresh.code(), fresh.ran()),
            ("no_quorum".into(), "not_run".into())
        );
        assert_eq!(bench.stats(0).await.requests, 0);
        let stock = bench
            .send(Method::GET, "/services/desk/stock", &bearer(), Bytes::new())
            .await;
        assert_eq!(stock.status, StatusCode::OK);
    }
);

case!(
    unreachable_worker_is_not_run_and_may_be_sent_again,
    |mut bench| async move {
        let faults = Faults {
            silent: true,
            ..Faults::default()
        };
        bench.desk(Faults::default()).await;
        bench.faults(0, &faults).await;
        bench.leave(0);
        support::until(async || {
            let address = bench.upstreams[0].address;
            tokio::net::TcpStream::connect(address).await.is_err()
        })
        .await;
        let key = [("idempotency-key", "r-4")];
        let answer = bench.ask(RESERVE, &key, &jacket()).await;
        assert!(answer.status.is_server_error());
        assert_eq!(answer.ran(), "not_run");
        bench.desk(Faults::default()).await;
        let answer = bench.ask(RESERVE, &key, &jacket()).await;
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
        assert_eq!(bench.stats(1).await.keys["r-4"], 1);
    }
);

case!(concurrent_resends_run_once, |mut bench| async move {
    let faults = Faults {
        slow: 200,
        ..Faults::default()
    };
    bench.desk(faults).await;
    let bench = &bench;
    let key = [("idempotency-key", "r-5")];
    let body = jacket();
    let ask = |_| bench.ask(RESERVE, &key, &body);
    let answers = futures_util::future::join_all((0..8).map(ask)).await;
    let whole = answers
        .iter()
        .filter(|a| a.status == StatusCode::OK)
        .count();
    assert_eq!(whole, 1);
    for answer in answers.iter().filter(|a| a.status != StatusCode::OK) {
        assert_eq!(answer.status, StatusCode::CONFLICT);
        assert_eq!(answer.code(), "call_running");
    }
    assert_eq!(bench.stats(0).await.keys["r-5"], 1);
});

case!(unknown_service_is_refused, |bench| async move {
    let answer = bench.ask("/services/furnace/reserve", &[], &jacket()).await;
    assert_eq!(answer.status, StatusCode::NOT_FOUND);
    assert_eq!(
        (answer.code(), answer.ran()),
        ("unknown_service".into(), "not_run".into())
    );
    let answer = bench.ask("/elsewhere", &[], &jacket()).await;
    assert_eq!(answer.code(), "unknown_path");
});

fn bearer() -> [(&'static str, &'static str); 1] {
    [("authorization", "Bearer desk-key")]
}
