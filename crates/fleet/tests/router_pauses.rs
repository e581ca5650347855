//! Upstreams of chats and calls that refuse and ask the router for a pause.
#![allow(clippy::panic, clippy::unwrap_used)]

mod support;

use std::time::Duration;

use chestnutnotch_standin::Faults;
use http::StatusCode;
use serde_json::json;

use support::Answer;
use support::RouterFixture;
use support::chat_body;

const PREPAID: u64 = 1_000_000;
const CHAT_PATH: &str = "/v1/chat/completions";
const LOOKUP_PATH: &str = "/services/desk/lookup";
const RESERVE_PATH: &str = "/services/desk/reserve";
/// Pause that the upstreams ask for, in seconds; longer than a test.
const PAUSE: u64 = 60;

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

/// Returns the faults of an upstream that refuses, and asks for a pause of this length.
fn refusing(pause: u64) -> Faults {
    Faults {
        refuse: true,
        pause: Some(pause),
        ..Faults::default()
    }
}

/// Sends a chat or a call.
async fn send(fixture: &RouterFixture, path: &str) -> Answer {
    let body = match path {
        CHAT_PATH => chat_body("boots", 8, false),
        _ => json!({"garment": "jacket-12"}),
    };
    fixture.post(path, &[], &body).await
}

/// Sends requests to the only upstream, which asks for a pause at the first one, and checks that
/// callers are refused at once and that no other request reaches it.
async fn check_only_upstream(fixture: &RouterFixture, path: &str) {
    let first = send(fixture, path).await;
    assert_eq!(first.status, StatusCode::SERVICE_UNAVAILABLE, "{first:?}");
    for _ in 0..5 {
        let answer = send(fixture, path).await;
        assert_eq!(
            (answer.status, answer.code(), answer.ran()),
            (
                StatusCode::SERVICE_UNAVAILABLE,
                "upstreams_paused".into(),
                "not_run".into()
            ),
            "{answer:?}"
        );
        let wait = answer.json()["error"]["retry_after"].as_u64();
        assert!(wait > Some(PAUSE / 2) && wait < Some(2 * PAUSE), "{wait:?}");
    }
    assert_eq!(fixture.counter("attempts", "overload").await, 1);
}

router_test!(
    chats_wait_for_the_end_of_a_pause,
    |mut fixture| async move {
        fixture.add_engine(0, refusing(PAUSE)).await;
        check_only_upstream(&fixture, CHAT_PATH).await;
    }
);

router_test!(
    calls_wait_for_the_end_of_a_pause,
    |mut fixture| async move {
        fixture.add_worker(refusing(PAUSE)).await;
        check_only_upstream(&fixture, LOOKUP_PATH).await;
    }
);

router_test!(
    claimed_calls_wait_for_the_end_of_a_pause,
    |mut fixture| async move {
        fixture.add_worker(refusing(PAUSE)).await;
        check_only_upstream(&fixture, RESERVE_PATH).await;
    }
);

router_test!(
    chats_go_to_another_engine_during_a_pause,
    |mut fixture| async move {
        fixture.add_engine(0, refusing(PAUSE)).await;
        fixture.add_engine(0, Faults::default()).await;
        for _ in 0..20 {
            let answer = send(&fixture, CHAT_PATH).await;
            assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
        }
        assert!(fixture.counter("attempts", "overload").await <= 1);
    }
);

router_test!(chats_are_served_after_a_pause, |mut fixture| async move {
    fixture.add_engine(0, refusing(1)).await;
    let refused = send(&fixture, CHAT_PATH).await;
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    fixture.set_faults(0, &Faults::default()).await;
    support::wait_until(async || {
        tokio::time::sleep(Duration::from_millis(50)).await;
        send(&fixture, CHAT_PATH).await.status == StatusCode::OK
    })
    .await;
});
