//! What a router believes of refusals: only one that answers the request proves that it has not
//! run.
#![allow(clippy::panic, clippy::unwrap_used)]

mod support;

use std::time::Duration;

use chestnutnotch_standin::Faults;
use http::StatusCode;
use serde_json::Value;
use serde_json::json;

use support::Answer;
use support::RouterFixture;
use support::chat_body;
use support::expected_text;
use support::wait_until;

const PREPAID: u64 = 1_000_000;
const LOOKUP_PATH: &str = "/services/desk/lookup";
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

fn refusing() -> Faults {
    Faults {
        refuse: true,
        ..Faults::default()
    }
}

fn repeating() -> Faults {
    Faults {
        repeat_refusal: true,
        ..Faults::default()
    }
}

fn jacket_body() -> Value {
    json!({"garment": "jacket-12"})
}

/// Sends requests until one has run at the only upstream. Returns the answer to that one.
async fn send_until_run(fixture: &RouterFixture, path: &str, body: &Value) -> Answer {
    for _ in 0..100 {
        let answer = fixture.post(path, &[], body).await;
        if fixture.stats(0).await.requests > 0 {
            return answer;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("no request has run");
}

/// Waits until the cancels of abandoned attempts are acknowledged and checks that what these
/// attempts used counts as wasted.
async fn check_wasted(fixture: &RouterFixture, cancels: u64) {
    wait_until(async || fixture.counter("cancels", "acknowledged").await == cancels).await;
    let stats = fixture.stats(0).await;
    let wasted = fixture.counter("tokens", "wasted").await;
    assert_eq!(wasted, stats.prompt + stats.produced);
}

router_test!(
    chat_is_not_refused_by_an_earlier_refusal,
    |mut fixture| async move {
        fixture.add_engine(0, refusing()).await;
        let body = chat_body("boots", 8, false);
        let refused = fixture.send_chat(&[], &body).await;
        assert_eq!(refused.ran(), "not_run");
        fixture.set_faults(0, &repeating()).await;
        let answer = send_until_run(&fixture, "/v1/chat/completions", &body).await;
        assert_eq!(
            (answer.status, answer.ran()),
            (StatusCode::BAD_GATEWAY, "unknown".into()),
            "{answer:?}"
        );
        check_wasted(&fixture, 1).await;
    }
);

router_test!(
    chat_is_not_refused_by_an_earlier_refusal_without_an_id,
    |mut fixture| async move {
        let unnamed = |faults: Faults| Faults {
            unnamed: true,
            ..faults
        };
        fixture.add_engine(0, unnamed(refusing())).await;
        let body = chat_body("boots", 8, false);
        let refused = fixture.send_chat(&[], &body).await;
        assert_eq!(refused.ran(), "not_run");
        fixture.set_faults(0, &unnamed(repeating())).await;
        let answer = send_until_run(&fixture, "/v1/chat/completions", &body).await;
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
        assert_eq!(answer.text(), expected_text("boots", 8));
    }
);

router_test!(
    refusals_that_repeat_the_id_are_believed,
    |mut fixture| async move {
        fixture.add_engine(0, refusing()).await;
        let body = chat_body("boots", 8, false);
        for _ in 0..5 {
            let refused = fixture.send_chat(&[], &body).await;
            assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
            assert_eq!(refused.ran(), "not_run");
        }
        assert_eq!(fixture.counter("cancels", "unanswered").await, 0);
        assert_eq!(fixture.stats(0).await.requests, 0);
    }
);

router_test!(
    call_is_not_refused_by_an_earlier_refusal,
    |mut fixture| async move {
        fixture.add_worker(refusing()).await;
        let refused = fixture.post(LOOKUP_PATH, &[], &jacket_body()).await;
        assert_eq!(refused.ran(), "not_run");
        fixture.set_faults(0, &repeating()).await;
        let answer = send_until_run(&fixture, LOOKUP_PATH, &jacket_body()).await;
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    }
);

router_test!(
    refusal_of_a_call_is_the_first_answer_of_its_connection,
    |mut fixture| async move {
        fixture.add_worker(Faults::default()).await;
        let answer = fixture.post(LOOKUP_PATH, &[], &jacket_body()).await;
        assert_eq!(answer.status, StatusCode::OK);
        let runs = fixture.stats(0).await.requests;
        fixture.set_faults(0, &refusing()).await;
        for _ in 0..2 {
            let answer = fixture.post(LOOKUP_PATH, &[], &jacket_body()).await;
            assert_eq!(answer.ran(), "not_run");
        }
        assert_eq!(fixture.stats(0).await.requests, runs);
    }
);

router_test!(
    last_refusal_does_not_cover_an_earlier_attempt,
    |mut fixture| async move {
        let cut = Faults {
            cut: Some(0),
            ..Faults::default()
        };
        fixture.add_worker(cut).await;
        fixture.add_worker(refusing()).await;
        fixture.add_worker(refusing()).await;
        let mut runs = 0;
        for _ in 0..12 {
            let answer = fixture.post(LOOKUP_PATH, &[], &jacket_body()).await;
            let now = fixture.stats(0).await.requests;
            if now > runs {
                assert_eq!(
                    (answer.status, answer.ran()),
                    (StatusCode::BAD_GATEWAY, "unknown".into()),
                    "{answer:?}"
                );
            }
            runs = now;
        }
        assert!(runs > 0);
    }
);

router_test!(
    repeatable_call_does_not_get_an_earlier_answer,
    |mut fixture| async move {
        let faults = Faults {
            repeat_answer: true,
            ..Faults::default()
        };
        fixture.add_worker(faults).await;
        for garment in ["jacket-12", "boots-30"] {
            let body = json!({"garment": garment});
            let answer = fixture.post(LOOKUP_PATH, &[], &body).await;
            assert_eq!(answer.json()["garment"], garment, "{answer:?}");
        }
    }
);

router_test!(
    claimed_call_has_a_connection_of_its_own,
    |mut fixture| async move {
        fixture.add_worker(refusing()).await;
        let lookup = fixture.post(LOOKUP_PATH, &[], &jacket_body()).await;
        assert_eq!(lookup.ran(), "not_run");
        let refused = fixture.post(RESERVE_PATH, &[], &jacket_body()).await;
        assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
        fixture.set_faults(0, &repeating()).await;
        let answer = send_until_run(&fixture, RESERVE_PATH, &jacket_body()).await;
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    }
);

router_test!(
    cancel_is_not_acknowledged_by_an_earlier_acknowledgement,
    |mut fixture| async move {
        let faults = Faults {
            repeat_cancel: true,
            ..Faults::default()
        };
        fixture.add_engine(20, faults).await;
        let body = chat_body("boots", 300, true);
        // The timeout drops the request in the middle of the answer, as if the caller went away.
        let abandon = async |millis| {
            let sending = fixture.send_chat(&[], &body);
            let ended = tokio::time::timeout(Duration::from_millis(millis), sending).await;
            assert!(ended.is_err());
        };
        // The later cancels may use the connection of an earlier one.
        tokio::join!(abandon(200), abandon(300), abandon(400));
        check_wasted(&fixture, 3).await;
    }
);

router_test!(
    resumed_stream_is_not_an_earlier_stream,
    |mut fixture| async move {
        let faults = Faults {
            truncate: true,
            repeat_stream: true,
            ..Faults::default()
        };
        fixture.add_engine(0, faults).await;
        let answer = fixture.send_chat(&[], &chat_body("boots", 30, true)).await;
        assert!(answer.is_complete(), "{answer:?}");
        assert_eq!(answer.streamed_text(), expected_text("boots", 30));
    }
);

router_test!(
    status_of_a_chat_that_ran_is_no_refusal,
    |mut fixture| async move {
        let faults = Faults {
            status: Some(409),
            ..Faults::default()
        };
        fixture.add_engine(0, faults).await;
        let answer = fixture.send_chat(&[], &chat_body("boots", 8, false)).await;
        assert_eq!(
            (answer.status, answer.ran()),
            (StatusCode::BAD_GATEWAY, "unknown".into()),
            "{answer:?}"
        );
        check_wasted(&fixture, 1).await;
    }
);
