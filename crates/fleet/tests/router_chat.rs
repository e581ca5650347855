//! Chats through a router, with injected faults of engines and of the control process.
#![allow(clippy::panic, clippy::unwrap_used)]

mod support;

use std::time::Duration;

use bytes::Bytes;
use chestnutnotch_standin::Faults;
use http::Method;
use http::StatusCode;
use serde_json::json;

use support::RouterFixture;
use support::chat_body;
use support::expected_text;
use support::wait_until;

const PREPAID: u64 = 1_000_000;

/// Defines a test that gets a running router with a budget of so many tokens.
macro_rules! router_test {
    ($name:ident, $prepaid:expr, $body:expr) => {
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let fixture = RouterFixture::new($prepaid).await;
            let run: fn(RouterFixture) -> _ = $body;
            run(fixture).await;
        }
    };
}

router_test!(
    json_answer_is_whole_and_billed_once,
    PREPAID,
    |mut fixture| async move {
        fixture.add_engine(0, Faults::default()).await;
        let answer = fixture.send_chat(&[], &chat_body("boots", 12, false)).await;
        assert_eq!(answer.status, StatusCode::OK);
        assert_eq!(answer.text(), expected_text("boots", 12));
        let usage = answer.json()["usage"].clone();
        assert_eq!(usage["completion_tokens"], 12);
        let state = fixture.control.state();
        assert_eq!(state.bills.len(), 1);
        let bill = state.bills.values().next().unwrap();
        assert_eq!(bill.generated.0, 12);
        assert_eq!(json!(bill.prompt.0), usage["prompt_tokens"]);
        assert_eq!(bill.id.key.as_str(), answer.idempotency_key());
    }
);

router_test!(
    streamed_answer_is_whole_and_billed_once,
    PREPAID,
    |mut fixture| async move {
        fixture.add_engine(1, Faults::default()).await;
        let answer = fixture.send_chat(&[], &chat_body("boots", 30, true)).await;
        assert_eq!(answer.status, StatusCode::OK);
        assert!(answer.is_complete());
        assert_eq!(answer.streamed_text(), expected_text("boots", 30));
        assert_eq!(fixture.control.state().bills.len(), 1);
    }
);

router_test!(cut_stream_is_resumed, PREPAID, |mut fixture| async move {
    let faults = Faults {
        cut: Some(7),
        ..Faults::default()
    };
    fixture.add_engine(1, faults).await;
    let answer = fixture.send_chat(&[], &chat_body("boots", 30, true)).await;
    assert!(answer.is_complete());
    assert_eq!(answer.streamed_text(), expected_text("boots", 30));
    assert_eq!(fixture.counter("resumes", "resumed").await, 1);
    assert_eq!(fixture.stats(0).await.produced, 30);
});

router_test!(
    truncated_answer_is_resumed,
    PREPAID,
    |mut fixture| async move {
        let faults = Faults {
            truncate: true,
            ..Faults::default()
        };
        fixture.add_engine(0, faults).await;
        let answer = fixture.send_chat(&[], &chat_body("boots", 30, false)).await;
        assert_eq!(answer.status, StatusCode::OK);
        assert_eq!(answer.text(), expected_text("boots", 30));
    }
);

router_test!(
    swapped_answer_is_not_passed_on,
    PREPAID,
    |mut fixture| async move {
        let faults = Faults {
            swap: true,
            ..Faults::default()
        };
        fixture.add_engine(0, faults).await;
        let answer = fixture.send_chat(&[], &chat_body("boots", 8, true)).await;
        assert_eq!(
            (answer.status, answer.code()),
            (StatusCode::BAD_GATEWAY, "upstream_failed".into())
        );
        assert_eq!(answer.ran(), "unknown");
        assert!(fixture.control.state().bills.is_empty());
    }
);

router_test!(
    swapped_answer_is_run_on_another_upstream,
    PREPAID,
    |mut fixture| async move {
        let faults = Faults {
            swap: true,
            ..Faults::default()
        };
        fixture.add_engine(0, faults).await;
        fixture.add_engine(0, Faults::default()).await;
        for number in 0..6 {
            let word = format!("boots{number}");
            let answer = fixture.send_chat(&[], &chat_body(&word, 8, true)).await;
            assert_eq!(answer.streamed_text(), expected_text(&word, 8));
        }
        assert_eq!(fixture.control.state().bills.len(), 6);
    }
);

router_test!(
    crashed_engine_is_replaced_mid_stream,
    PREPAID,
    |mut fixture| async move {
        let faults = Faults {
            crash: Some("ember".into()),
            ..Faults::default()
        };
        fixture.add_engine(20, faults.clone()).await;
        fixture.add_engine(20, faults).await;
        let body = chat_body("boots", 40, true);
        let request = async {
            let answer = fixture.send_chat(&[], &body).await;
            assert!(answer.is_complete(), "{answer:?}");
            assert_eq!(answer.streamed_text(), expected_text("boots", 40));
            let ids: Vec<_> = answer
                .events()
                .iter()
                .map(|event| event["id"].clone())
                .collect();
            assert!(ids.iter().all(|id| *id == ids[0]));
        };
        let crash = async {
            tokio::time::sleep(Duration::from_millis(300)).await;
            let first = fixture.stats(0).await.running == 1;
            fixture
                .crash_upstream(if first { 0 } else { 1 }, "ember")
                .await;
        };
        tokio::join!(request, crash);
        assert_eq!(fixture.control.state().bills.len(), 1);
        assert_eq!(fixture.counter("resumes", "refused").await, 1);
        assert_eq!(fixture.counter("retries", "granted").await, 1);
    }
);

router_test!(
    last_event_waits_for_the_bill,
    PREPAID,
    |mut fixture| async move {
        fixture.add_engine(0, Faults::default()).await;
        // The first chat gives the router an allotment, so that the second needs no quorum to run.
        assert!(
            fixture
                .send_chat(&[], &chat_body("boots", 4, true))
                .await
                .is_complete()
        );
        {
            let mut state = fixture.control.state();
            state.no_quorum = true;
            state.disk_full = true;
        }
        let answer = fixture.send_chat(&[], &chat_body("gloves", 4, true)).await;
        assert!(!answer.is_complete());
        assert_eq!(answer.streamed_text(), expected_text("gloves", 4));
        let last = answer.events().pop().unwrap();
        assert_eq!(last["error"]["code"], "bill_unsafe");
        assert_eq!(fixture.control.state().bills.len(), 1);
        // With room on its disk, the replica might spool the bill before the quorum is asked again.
        fixture.control.state().no_quorum = false;
        wait_until(async || fixture.control.state().bills.len() == 2).await;
    }
);

router_test!(
    bill_is_spooled_without_a_quorum,
    PREPAID,
    |mut fixture| async move {
        fixture.add_engine(0, Faults::default()).await;
        assert!(
            fixture
                .send_chat(&[], &chat_body("boots", 4, true))
                .await
                .is_complete()
        );
        fixture.control.state().no_quorum = true;
        let answer = fixture.send_chat(&[], &chat_body("gloves", 4, true)).await;
        assert!(answer.is_complete());
        let state = fixture.control.state();
        assert_eq!((state.bills.len(), state.spooled.len()), (1, 1));
    }
);

router_test!(
    resend_gets_the_recorded_answer,
    PREPAID,
    |mut fixture| async move {
        fixture.add_engine(0, Faults::default()).await;
        let key = [("idempotency-key", "desk-7")];
        let body = chat_body("boots", 12, true);
        let first = fixture.send_chat(&key, &body).await;
        let again = fixture.send_chat(&key, &body).await;
        assert_eq!(first.body, again.body);
        assert_eq!(again.idempotency_key(), "desk-7");
        assert_eq!(fixture.stats(0).await.requests, 1);
        let other = fixture
            .send_chat(&key, &chat_body("gloves", 12, true))
            .await;
        assert_eq!(other.status, StatusCode::UNPROCESSABLE_ENTITY);
        assert_eq!(other.code(), "key_reused");
        assert_eq!(fixture.control.state().bills.len(), 1);
    }
);

router_test!(
    resend_joins_the_running_attempt,
    PREPAID,
    |mut fixture| async move {
        fixture.add_engine(10, Faults::default()).await;
        let key = [("idempotency-key", "desk-8")];
        let body = chat_body("boots", 30, true);
        let (first, again) = tokio::join!(
            fixture.send_chat(&key, &body),
            fixture.send_chat(&key, &body)
        );
        assert_eq!(first.streamed_text(), expected_text("boots", 30));
        assert_eq!(again.streamed_text(), expected_text("boots", 30));
        assert_eq!(fixture.stats(0).await.requests, 1);
        assert_eq!(fixture.control.state().bills.len(), 1);
    }
);

router_test!(
    answers_do_not_mix_under_concurrency,
    PREPAID,
    |mut fixture| async move {
        fixture.add_engine(1, Faults::default()).await;
        fixture.add_engine(1, Faults::default()).await;
        let fixture = &fixture;
        let ask = async |number: usize| {
            let word = format!("garment{number}");
            let answer = fixture
                .send_chat(&[], &chat_body(&word, 20, number.is_multiple_of(2)))
                .await;
            let text = if number.is_multiple_of(2) {
                answer.streamed_text()
            } else {
                answer.text()
            };
            assert_eq!(text, expected_text(&word, 20));
        };
        let requests = futures_util::future::join_all((0..60).map(ask));
        requests.await;
        assert_eq!(fixture.control.state().bills.len(), 60);
    }
);

router_test!(
    spend_stays_within_the_budget,
    3_000,
    |mut fixture| async move {
        fixture.add_engine(0, Faults::default()).await;
        let mut body = chat_body("boots", 50, false);
        body["max_tokens"] = json!(100);
        let mut refused = None;
        for _ in 0..200 {
            let answer = fixture.send_chat(&[], &body).await;
            if answer.status != StatusCode::OK {
                refused = Some(answer);
                break;
            }
        }
        let refused = refused.unwrap();
        assert_eq!(refused.status, StatusCode::TOO_MANY_REQUESTS);
        assert_eq!(refused.ran(), "not_run");
        assert!(refused.headers.contains_key("retry-after"));
        assert!(fixture.control.billed() <= 3_000);
        let stats = fixture.stats(0).await;
        assert!(stats.prompt + stats.produced <= 3_000);
    }
);

router_test!(
    chat_waits_for_tokens_that_others_hand_back,
    PREPAID,
    |mut fixture| async move {
        fixture.add_engine(0, Faults::default()).await;
        fixture.control.state().withheld_draws = 3;
        let answer = fixture.send_chat(&[], &chat_body("boots", 8, false)).await;
        assert_eq!(answer.text(), expected_text("boots", 8));
        assert_eq!(fixture.control.state().withheld_draws, 0);
        assert_eq!(fixture.counter("reservations", "after_wait").await, 1);
    }
);

router_test!(
    short_allotment_is_refused_as_not_run,
    PREPAID,
    |mut fixture| async move {
        fixture.add_engine(0, Faults::default()).await;
        fixture.control.state().withheld_draws = u32::MAX;
        let answer = fixture.send_chat(&[], &chat_body("boots", 8, false)).await;
        assert_eq!(
            (answer.status, answer.code()),
            (StatusCode::TOO_MANY_REQUESTS, "allotment_short".into())
        );
        assert_eq!(answer.ran(), "not_run");
        assert_eq!(fixture.stats(0).await.requests, 0);
    }
);

router_test!(
    late_engine_is_left_for_another,
    PREPAID,
    |mut fixture| async move {
        let faults = Faults {
            slow: 3_000,
            ..Faults::default()
        };
        fixture.add_engine(0, faults).await;
        fixture.add_engine(0, Faults::default()).await;
        for number in 0..4 {
            let word = format!("boots{number}");
            let answer = fixture
                .send_chat(&[], &chat_body(&word, 4, number % 2 == 0))
                .await;
            assert_eq!(answer.status, StatusCode::OK);
        }
        assert_eq!(fixture.control.state().bills.len(), 4);
        wait_until(async || {
            fixture.counter("cancels", "acknowledged").await
                == fixture.counter("attempts", "late").await
        })
        .await;
    }
);

router_test!(
    abandoned_chat_is_cancelled_and_its_tokens_wasted,
    PREPAID,
    |mut fixture| async move {
        fixture.add_engine(20, Faults::default()).await;
        let body = chat_body("boots", 300, true);
        let request = fixture.send_chat(&[], &body);
        // The timeout drops the request in the middle of the answer, as if the caller went away.
        assert!(
            tokio::time::timeout(Duration::from_millis(300), request)
                .await
                .is_err()
        );
        wait_until(async || fixture.counter("cancels", "acknowledged").await == 1).await;
        let stats = fixture.stats(0).await;
        assert!(stats.produced < 300);
        let wasted = fixture.counter("tokens", "wasted").await;
        assert_eq!(wasted, stats.prompt + stats.produced);
        assert!(fixture.control.state().bills.is_empty());
    }
);

router_test!(
    abandoned_chat_without_a_stream_is_cancelled,
    PREPAID,
    |mut fixture| async move {
        fixture.add_engine(20, Faults::default()).await;
        let body = chat_body("boots", 300, false);
        let request = fixture.send_chat(&[], &body);
        assert!(
            tokio::time::timeout(Duration::from_millis(300), request)
                .await
                .is_err()
        );
        wait_until(async || fixture.counter("cancels", "acknowledged").await == 1).await;
        let stats = fixture.stats(0).await;
        assert!(stats.produced < 300);
        assert!(fixture.control.state().bills.is_empty());
    }
);

router_test!(
    full_engine_is_passed_over,
    PREPAID,
    |mut fixture| async move {
        let faults = Faults {
            refuse: true,
            ..Faults::default()
        };
        fixture.add_engine(0, faults).await;
        let answer = fixture.send_chat(&[], &chat_body("boots", 4, false)).await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(answer.ran(), "not_run");
        assert!(answer.headers.contains_key("retry-after"));
        fixture.add_engine(0, Faults::default()).await;
        let answer = fixture.send_chat(&[], &chat_body("boots", 4, false)).await;
        assert_eq!(answer.text(), expected_text("boots", 4));
    }
);

router_test!(
    request_that_crashes_upstreams_is_not_run_a_third_time,
    PREPAID,
    |mut fixture| async move {
        let faults = Faults {
            crash: Some("ember".into()),
            ..Faults::default()
        };
        for _ in 0..4 {
            fixture.add_engine(0, faults.clone()).await;
        }
        let key = [("idempotency-key", "ember-1")];
        let body = chat_body("ember", 4, true);
        let answer = fixture.send_chat(&key, &body).await;
        assert_eq!(
            answer.status,
            StatusCode::UNPROCESSABLE_ENTITY,
            "{answer:?}"
        );
        assert_eq!(answer.code(), "quarantined");
        assert_eq!(answer.ran(), "unknown");
        let again = fixture.send_chat(&key, &body).await;
        assert_eq!(again.code(), "quarantined");
        let other = fixture.send_chat(&[], &chat_body("boots", 4, true)).await;
        assert_eq!(other.streamed_text(), expected_text("boots", 4));
    }
);

router_test!(
    planned_stop_cuts_no_stream,
    PREPAID,
    |mut fixture| async move {
        fixture.add_engine(20, Faults::default()).await;
        let router = fixture.router.take().unwrap();
        let body = chat_body("boots", 60, true);
        let request = fixture.send_chat(&[], &body);
        let stop = async {
            tokio::time::sleep(Duration::from_millis(200)).await;
            router.stop().await;
        };
        let refused = async {
            tokio::time::sleep(Duration::from_millis(500)).await;
            assert_eq!(
                fixture.get("/readyz").await.status,
                StatusCode::SERVICE_UNAVAILABLE
            );
            fixture.send_chat(&[], &chat_body("gloves", 4, true)).await
        };
        let (answer, (), refused) = tokio::join!(request, stop, refused);
        assert!(answer.is_complete());
        assert_eq!(answer.streamed_text(), expected_text("boots", 60));
        assert_eq!(
            (refused.code(), refused.ran()),
            ("stopping".into(), "not_run".into())
        );
        assert_eq!(refused.headers["connection"], "close");
        let state = fixture.control.state();
        assert!(state.left);
        assert_eq!(state.bills.len(), 1);
    }
);

router_test!(
    bad_requests_are_refused_with_their_codes,
    PREPAID,
    |mut fixture| async move {
        fixture.add_engine(0, Faults::default()).await;
        let path = "/v1/chat/completions";
        let empty_object = Bytes::from_static(b"{}");
        let answer = fixture
            .send(Method::POST, path, &[], empty_object.clone())
            .await;
        assert_eq!(
            (answer.status, answer.code()),
            (StatusCode::UNAUTHORIZED, "unknown_key".into())
        );
        let bad = [("authorization", "Bearer nobody")];
        let answer = fixture.send(Method::POST, path, &bad, empty_object).await;
        assert_eq!(answer.status, StatusCode::UNAUTHORIZED);
        let rows = [
            (
                json!({"model": "other", "messages": [{"content": "a"}]}),
                StatusCode::NOT_FOUND,
                "unknown_model",
            ),
            (
                json!({"model": "absent", "messages": [{"content": "a"}]}),
                StatusCode::SERVICE_UNAVAILABLE,
                "no_upstream",
            ),
            (
                json!({"model": "fitting", "messages": []}),
                StatusCode::BAD_REQUEST,
                "malformed",
            ),
            (
                json!({"model": "fitting"}),
                StatusCode::BAD_REQUEST,
                "malformed",
            ),
            (json!([1]), StatusCode::BAD_REQUEST, "malformed"),
            (
                json!({"model": "fitting", "n": 2, "messages": [{"content": "a"}]}),
                StatusCode::BAD_REQUEST,
                "malformed",
            ),
            (
                json!({"model": "fitting", "max_tokens": 0, "messages": [{"content": "a"}]}),
                StatusCode::BAD_REQUEST,
                "malformed",
            ),
            (
                json!({"model": "fitting", "messages": [{"content": "a".repeat(70_000)}]}),
                StatusCode::PAYLOAD_TOO_LARGE,
                "too_large",
            ),
        ];
        for (body, status, code) in rows {
            let answer = fixture.send_chat(&[], &body).await;
            assert_eq!((answer.status, answer.code().as_str()), (status, code));
            assert_eq!(answer.ran(), "not_run");
        }
        let answer = fixture
            .send_chat(&[("idempotency-key", "a b")], &chat_body("boots", 4, false))
            .await;
        assert_eq!(
            (answer.status, answer.code()),
            (StatusCode::BAD_REQUEST, "bad_header".into())
        );
        assert_eq!(fixture.stats(0).await.requests, 0);
    }
);
