//! Calls to plain services through a router: recorded answers, and calls that run at most once.

mod support;

use bytes::Bytes;
use chestnutnotch_standin::Faults;
use http::Method;
use http::StatusCode;
use serde_json::Value;
use serde_json::json;

use support::RouterFixture;

const PREPAID: u64 = 100_000;
const RESERVE_PATH: &str = "/services/desk/reserve";

/// Defines a test that gets a running router.
macro_rules! router_test {
    ($name:ident, $body:expr) => {
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let fixture = RouterFixture::new(PREPAID).await;
            let run: fn(RouterFixture) -> _ = $body;
            run(fixture).await;
        }
    };
}

fn jacket_body() -> Value {
    json!({"garment": "jacket-12"})
}

router_test!(
    reservation_runs_once_and_is_repeated_from_the_record,
    |mut fixture| async move {
        fixture.add_worker(Faults::default()).await;
        let key = [("idempotency-key", "r-1")];
        let first = fixture.post(RESERVE_PATH, &key, &jacket_body()).await;
        assert_eq!(first.status, StatusCode::OK);
        let again = fixture.post(RESERVE_PATH, &key, &jacket_body()).await;
        assert_eq!((again.status, &again.body), (first.status, &first.body));
        assert_eq!(fixture.stats(0).await.keys["r-1"], 1);
        let other = fixture
            .post(RESERVE_PATH, &key, &json!({"garment": "glove"}))
            .await;
        assert_eq!(other.code(), "key_reused");
    }
);

router_test!(
    recorded_answer_is_given_without_a_worker,
    |mut fixture| async move {
        fixture.add_worker(Faults::default()).await;
        let key = [("idempotency-key", "r-6")];
        let first = fixture.post(RESERVE_PATH, &key, &jacket_body()).await;
        assert_eq!(first.status, StatusCode::OK);
        fixture.stop_upstream(0);
        support::wait_until(async || {
            fixture.post(RESERVE_PATH, &[], &jacket_body()).await.status != 200
        })
        .await;
        let again = fixture.post(RESERVE_PATH, &key, &jacket_body()).await;
        assert_eq!((again.status, &again.body), (first.status, &first.body));
    }
);

router_test!(
    cut_answer_is_unknown_and_never_sent_again,
    |mut fixture| async move {
        let faults = Faults {
            cut: Some(0),
            ..Faults::default()
        };
        fixture.add_worker(faults).await;
        let key = [("idempotency-key", "r-2")];
        for _ in 0..3 {
            let answer = fixture.post(RESERVE_PATH, &key, &jacket_body()).await;
            assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
            assert_eq!(
                (answer.code(), answer.ran()),
                ("outcome_unknown".into(), "unknown".into())
            );
        }
        assert_eq!(fixture.stats(0).await.keys["r-2"], 1);
    }
);

router_test!(
    without_a_quorum_a_reservation_is_not_run,
    |mut fixture| async move {
        fixture.add_worker(Faults::default()).await;
        fixture.control.state().no_quorum = true;
        let key = [("idempotency-key", "r-3")];
        let answer = fixture.post(RESERVE_PATH, &key, &jacket_body()).await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        // An earlier submission under the key that the caller sent may have run.
        assert_eq!(
            (answer.code(), answer.ran()),
            ("no_quorum".into(), "unknown".into())
        );
        assert!(answer.headers.contains_key("retry-after"));
        let fresh = fixture.post(RESERVE_PATH, &[], &jacket_body()).await;
        assert_eq!(
            (fresh.code(), fresh.ran()),
            ("no_quorum".into(), "not_run".into())
        );
        assert_eq!(fixture.stats(0).await.requests, 0);
        let stock = fixture
            .send(
                Method::GET,
                "/services/desk/stock",
                &bearer_header(),
                Bytes::new(),
            )
            .await;
        assert_eq!(stock.status, StatusCode::OK);
    }
);

router_test!(
    unreachable_worker_is_not_run_and_may_be_sent_again,
    |mut fixture| async move {
        let faults = Faults {
            silent: true,
            ..Faults::default()
        };
        fixture.add_worker(Faults::default()).await;
        fixture.set_faults(0, &faults).await;
        fixture.stop_upstream(0);
        support::wait_until(async || {
            let address = fixture.upstreams[0].address;
            tokio::net::TcpStream::connect(address).await.is_err()
        })
        .await;
        let key = [("idempotency-key", "r-4")];
        let answer = fixture.post(RESERVE_PATH, &key, &jacket_body()).await;
        assert!(answer.status.is_server_error());
        assert_eq!(answer.ran(), "not_run");
        fixture.add_worker(Faults::default()).await;
        let answer = fixture.post(RESERVE_PATH, &key, &jacket_body()).await;
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
        assert_eq!(fixture.stats(1).await.keys["r-4"], 1);
    }
);

router_test!(concurrent_resends_run_once, |mut fixture| async move {
    let faults = Faults {
        slow: 200,
        ..Faults::default()
    };
    fixture.add_worker(faults).await;
    let fixture = &fixture;
    let key = [("idempotency-key", "r-5")];
    let body = jacket_body();
    let send = |_| fixture.post(RESERVE_PATH, &key, &body);
    let answers = futures_util::future::join_all((0..8).map(send)).await;
    let served = answers
        .iter()
        .filter(|answer| answer.status == StatusCode::OK)
        .count();
    assert_eq!(served, 1);
    for answer in answers
        .iter()
        .filter(|answer| answer.status != StatusCode::OK)
    {
        assert_eq!(answer.status, StatusCode::CONFLICT);
        assert_eq!(answer.code(), "call_running");
    }
    assert_eq!(fixture.stats(0).await.keys["r-5"], 1);
});

router_test!(unknown_service_is_refused, |fixture| async move {
    let answer = fixture
        .post("/services/furnace/reserve", &[], &jacket_body())
        .await;
    assert_eq!(answer.status, StatusCode::NOT_FOUND);
    assert_eq!(
        (answer.code(), answer.ran()),
        ("unknown_service".into(), "not_run".into())
    );
    let answer = fixture.post("/elsewhere", &[], &jacket_body()).await;
    assert_eq!(answer.code(), "unknown_path");
});

fn bearer_header() -> [(&'static str, &'static str); 1] {
    [("authorization", "Bearer desk-key")]
}
