//! Chats through a router, with faults of the engine and of the control replicas.
#![allow(clippy::panic, clippy::unwrap_used)]

mod support;

use std::time::Duration;

use bytes::Bytes;
use chestnutnotch_standin::Faults;
use http::Method;
use http::StatusCode;
use serde_json::json;

use support::Bench;
use support::chat;
use support::expected;
use support::until;

const PREPAID: u64 = 1_000_000;

macro_rules! case {
    ($name:ident, $prepaid:expr, $body:expr) => {
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let bench = Bench::new($prepaid).await;
            let run: fn(Bench) -> _ = $body;
            run(bench).await;
        }
    };
}

case!(
    json_answer_is_whole_and_billed_once,
    PREPAID,
    |mut bench| async move {
        bench.engine(0, Faults::default()).await;
        let answer = bench.chat(&[], &chat("boots", 12, false)).await;
        assert_eq!(answer.status, StatusCode::OK);
        assert_eq!(answer.text(), expected("boots", 12));
        let usage = answer.json()["usage"].clone();
        assert_eq!(usage["completion_tokens"], 12);
        let state = bench.control.state();
        assert_eq!(state.bills.len(), 1);
        let bill = state.bills.values().next().unwrap();
        assert_eq!(bill.generated.0, 12);
        assert_eq!(json!(bill.prompt.0), usage["prompt_tokens"]);
        assert_eq!(bill.id.key.as_str(), answer.key());
    }
);

case!(
    streamed_answer_is_whole_and_billed_once,
    PREPAID,
    |mut bench| async move {
        bench.engine(1, Faults::default()).await;
        let answer = bench.chat(&[], &chat("boots", 30, true)).await;
        assert_eq!(answer.status, StatusCode::OK);
        assert!(answer.is_whole());
        assert_eq!(answer.streamed(), expected("boots", 30));
        assert_eq!(bench.control.state().bills.len(), 1);
    }
);

case!(cut_stream_is_resumed, PREPAID, |mut bench| async move {
    let faults = Faults {
        cut: Some(7),
        ..Faults::default()
    };
    bench.engine(1, faults).await;
    let answer = bench.chat(&[], &chat("boots", 30, true)).await;
    assert!(answer.is_whole());
    assert_eq!(answer.streamed(), expected("boots", 30));
    assert_eq!(bench.count("resumes", "resumed").await, 1);
    assert_eq!(bench.stats(0).await.produced, 30);
});

case!(
    truncated_answer_is_resumed,
    PREPAID,
    |mut bench| async move {
        let faults = Faults {
            truncate: true,
            ..Faults::default()
        };
        bench.engine(0, faults).await;
        let answer = bench.chat(&[], &chat("boots", 30, false)).await;
        assert_eq!(answer.status, StatusCode::OK);
        assert_eq!(answer.text(), expected("boots", 30));
    }
);

case!(
    swapped_answer_is_not_passed_on,
    PREPAID,
    |mut bench| async move {
        let faults = Faults {
            swap: true,
            ..Faults::default()
        };
        bench.engine(0, faults).await;
        let answer = bench.chat(&[], &chat("boots", 8, true)).await;
        assert_eq!(
            (answer.status, answer.code()),
            (StatusCode::BAD_GATEWAY, "upstream_failed".into())
        );
        assert_eq!(answer.ran(), "unknown");
        assert!(bench.control.state().bills.is_empty());
    }
);

case!(
    swapped_answer_is_run_on_another_upstream,
    PREPAID,
    |mut bench| async move {
        let faults = Faults {
            swap: true,
            ..Faults::default()
        };
        bench.engine(0, faults).await;
        bench.engine(0, Faults::default()).await;
        for number in 0..6 {
            let word = format!("boots{number}");
            let answer = bench.chat(&[], &chat(&word, 8, true)).await;
            assert_eq!(answer.streamed(), expected(&word, 8));
        }
        assert_eq!(bench.control.state().bills.len(), 6);
    }
);

case!(
    crashed_engine_is_replaced_mid_stream,
    PREPAID,
    |mut bench| async move {
        let faults = Faults {
            crash: Some("ember".into()),
            ..Faults::default()
        };
        bench.engine(20, faults.clone()).await;
        bench.engine(20, faults).await;
        let body = chat("boots", 40, true);
        let asked = async {
            let answer = bench.chat(&[], &body).await;
            assert!(answer.is_whole(), "{answer:?}");
            assert_eq!(answer.streamed(), expected("boots", 40));
            let ids: Vec<_> = answer.events().iter().map(|e| e["id"].clone()).collect();
            assert!(ids.iter().all(|id| *id == ids[0]));
        };
        let crash = async {
            tokio::time::sleep(Duration::from_millis(300)).await;
            let first = bench.stats(0).await.running == 1;
            bench.crash(if first { 0 } else { 1 }, "ember").await;
        };
        tokio::join!(asked, crash);
        assert_eq!(bench.control.state().bills.len(), 1);
        assert_eq!(bench.count("resumes", "refused").await, 1);
        assert_eq!(bench.count("retries", "granted").await, 1);
    }
);

case!(
    last_event_waits_for_the_bill,
    PREPAID,
    |mut bench| async move {
        bench.engine(0, Faults::default()).await;
        // The first chat makes the router hold an allotment.
        assert!(bench.chat(&[], &chat("boots", 4, true)).await.is_whole());
        {
            let mut state = bench.control.state();
            state.no_quorum = true;
            state.disk_full = true;
        }
        let answer = bench.chat(&[], &chat("gloves", 4, true)).await;
        assert!(!answer.is_whole());
        assert_eq!(answer.streamed(), expected("gloves", 4));
        let last = answer.events().pop().unwrap();
        assert_eq!(last["error"]["code"], "bill_unsafe");
        assert_eq!(bench.control.state().bills.len(), 1);
        {
            let mut state = bench.control.state();
            state.no_quorum = false;
            state.disk_full = false;
        }
        until(async || bench.control.state().bills.len() == 2).await;
    }
);

case!(
    bill_is_spooled_without_a_quorum,
    PREPAID,
    |mut bench| async move {
        bench.engine(0, Faults::default()).await;
        assert!(bench.chat(&[], &chat("boots", 4, true)).await.is_whole());
        bench.control.state().no_quorum = true;
        let answer = bench.chat(&[], &chat("gloves", 4, true)).await;
        assert!(answer.is_whole());
        let state = bench.control.state();
        assert_eq!((state.bills.len(), state.spooled.len()), (1, 1));
    }
);

case!(
    resend_gets_the_recorded_answer,
    PREPAID,
    |mut bench| async move {
        bench.engine(0, Faults::default()).await;
        let key = [("idempotency-key", "desk-7")];
        let body = chat("boots", 12, true);
        let first = bench.chat(&key, &body).await;
        let again = bench.chat(&key, &body).await;
        assert_eq!(first.body, again.body);
        assert_eq!(again.key(), "desk-7");
        assert_eq!(bench.stats(0).await.requests, 1);
        let other = bench.chat(&key, &chat("gloves", 12, true)).await;
        assert_eq!(other.status, StatusCode::UNPROCESSABLE_ENTITY);
        assert_eq!(other.code(), "key_reused");
        assert_eq!(bench.control.state().bills.len(), 1);
    }
);

case!(
    resend_joins_the_running_attempt,
    PREPAID,
    |mut bench| async move {
        bench.engine(10, Faults::default()).await;
        let key = [("idempotency-key", "desk-8")];
        let body = chat("boots", 30, true);
        let (first, again) = tokio::join!(bench.chat(&key, &body), bench.chat(&key, &body));
        assert_eq!(first.streamed(), expected("boots", 30));
        assert_eq!(again.streamed(), expected("boots", 30));
        assert_eq!(bench.stats(0).await.requests, 1);
        assert_eq!(bench.control.state().bills.len(), 1);
    }
);

case!(
    answers_do_not_mix_under_concurrency,
    PREPAID,
    |mut bench| async move {
        bench.engine(1, Faults::default()).await;
        bench.engine(1, Faults::default()).await;
        let bench = &bench;
        let ask = async |number: usize| {
            let word = format!("garment{number}");
            let answer = bench
                .chat(&[], &chat(&word, 20, number.is_multiple_of(2)))
                .await;
            let text = if number.is_multiple_of(2) {
                answer.streamed()
            } else {
                answer.text()
            };
            assert_eq!(text, expected(&word, 20));
        };
        let all = futures_util::future::join_all((0..60).map(ask));
        all.await;
        assert_eq!(bench.control.state().bills.len(), 60);
    }
);

case!(
    spend_stays_within_the_budget,
    3_000,
    |mut bench| async move {
        bench.engine(0, Faults::default()).await;
        let mut body = chat("boots", 50, false);
        body["max_tokens"] = json!(100);
        let mut refused = None;
        for _ in 0..200 {
            let answer = bench.chat(&[], &body).await;
            if answer.status != StatusCode::OK {
                refused = Some(answer);
                break;
            }
        }
        let refused = refused.unwrap();
        assert_eq!(refused.status, StatusCode::TOO_MANY_REQUESTS);
        assert_eq!(refused.ran(), "not_run");
        assert!(refused.headers.contains_key("retry-after"));
        assert!(bench.control.billed() <= 3_000);
        let stats = bench.stats(0).await;
        assert!(stats.prompt + stats.produced <= 3_000);
    }
);

case!(
    chat_waits_for_tokens_that_others_hand_back,
    PREPAID,
    |mut bench| async move {
        bench.engine(0, Faults::default()).await;
        bench.control.state().withheld_draws = 3;
        let answer = bench.chat(&[], &chat("boots", 8, false)).await;
        assert_eq!(answer.text(), expected("boots", 8));
        assert_eq!(bench.control.state().withheld_draws, 0);
        assert_eq!(bench.count("reservations", "after_wait").await, 1);
    }
);

case!(
    short_allotment_is_refused_as_not_run,
    PREPAID,
    |mut bench| async move {
        bench.engine(0, Faults::default()).await;
        bench.control.state().withheld_draws = u32::MAX;
        let answer = bench.chat(&[], &chat("boots", 8, false)).await;
        assert_eq!(
            (answer.status, answer.code()),
            (StatusCode::TOO_MANY_REQUESTS, "allotment_short".into())
        );
        assert_eq!(answer.ran(), "not_run");
        assert_eq!(bench.stats(0).await.requests, 0);
    }
);

case!(
    late_engine_is_left_for_another,
    PREPAID,
    |mut bench| async move {
        let faults = Faults {
            slow: 3_000,
            ..Faults::default()
        };
        bench.engine(0, faults).await;
        bench.engine(0, Faults::default()).await;
        for number in 0..4 {
            let word = format!("boots{number}");
            let answer = bench.chat(&[], &chat(&word, 4, number % 2 == 0)).await;
            assert_eq!(answer.status, StatusCode::OK);
        }
        assert_eq!(bench.control.state().bills.len(), 4);
        until(async || {
            bench.count("cancels", "acknowledged").await == bench.count("attempts", "late").await
        })
        .await;
    }
);

case!(
    abandoned_chat_is_cancelled_and_its_tokens_wasted,
    PREPAID,
    |mut bench| async move {
        bench.engine(20, Faults::default()).await;
        let body = chat("boots", 300, true);
        let asked = bench.chat(&[], &body);
        // The caller goes away in the middle of the answer.
        assert!(
            tokio::time::timeout(Duration::from_millis(300), asked)
                .await
                .is_err()
        );
        until(async || bench.count("cancels", "acknowledged").await == 1).await;
        let stats = bench.stats(0).await;
        assert!(stats.produced < 300);
        let wasted = bench.count("tokens", "wasted").await;
        assert_eq!(wasted, stats.prompt + stats.produced);
        assert!(bench.control.state().bills.is_empty());
    }
);

case!(
    abandoned_chat_without_a_stream_is_cancelled,
    PREPAID,
    |mut bench| async move {
        bench.engine(20, Faults::default()).await;
        let body = chat("boots", 300, false);
        let asked = bench.chat(&[], &body);
        assert!(
            tokio::time::timeout(Duration::from_millis(300), asked)
                .await
                .is_err()
        );
        until(async || bench.count("cancels", "acknowledged").await == 1).await;
        let stats = bench.stats(0).await;
        assert!(stats.produced < 300);
        assert!(bench.control.state().bills.is_empty());
    }
);

case!(
    full_engine_is_passed_over,
    PREPAID,
    |mut bench| async move {
        let faults = Faults {
            refuse: true,
            ..Faults::default()
        };
        bench.engine(0, faults).await;
        let answer = bench.chat(&[], &chat("boots", 4, false)).await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(answer.ran(), "not_run");
        assert!(answer.headers.contains_key("retry-after"));
        bench.engine(0, Faults::default()).await;
        let answer = bench.chat(&[], &chat("boots", 4, false)).await;
        assert_eq!(answer.text(), expected("boots", 4));
    }
);

case!(
    request_that_crashes_upstreams_is_not_run_a_third_time,
    PREPAID,
    |mut bench| async move {
        let faults = Faults {
            crash: Some("ember".into()),
            ..Faults::default()
        };
        for _ in 0..4 {
            bench.engine(0, faults.clone()).await;
        }
        let key = [("idempotency-key", "ember-1")];
        let body = chat("ember", 4, true);
        let answer = bench.chat(&key, &body).await;
        assert_eq!(
            answer.status,
            StatusCode::UNPROCESSABLE_ENTITY,
            "{answer:?}"
        );
        assert_eq!(answer.code(), "quarantined");
        assert_eq!(answer.ran(), "unknown");
        let again = bench.chat(&key, &body).await;
        assert_eq!(again.code(), "quarantined");
        let other = bench.chat(&[], &chat("boots", 4, true)).await;
        assert_eq!(other.streamed(), expected("boots", 4));
    }
);

case!(
    planned_stop_cuts_no_stream,
    PREPAID,
    |mut bench| async move {
        bench.engine(20, Faults::default()).await;
        let router = bench.router.take().unwrap();
        let body = chat("boots", 60, true);
        let asked = bench.chat(&[], &body);
        let stop = async {
            tokio::time::sleep(Duration::from_millis(200)).await;
            router.stop().await;
        };
        let refused = async {
            tokio::time::sleep(Duration::from_millis(500)).await;
            assert_eq!(
                bench.get("/readyz").await.status,
                StatusCode::SERVICE_UNAVAILABLE
            );
            bench.chat(&[], &chat("gloves", 4, true)).await
        };
        let (answer, (), refused) = tokio::join!(asked, stop, refused);
        assert!(answer.is_whole());
        assert_eq!(answer.streamed(), expected("boots", 60));
        assert_eq!(
            (refused.code(), refused.ran()),
            ("stopping".into(), "not_run".into())
        );
        assert_eq!(refused.headers["connection"], "close");
        let state = bench.control.state();
        assert!(state.left);
        assert_eq!(state.bills.len(), 1);
    }
);

case!(
    bad_requests_are_refused_with_their_codes,
    PREPAID,
    |mut bench| async move {
        bench.engine(0, Faults::default()).await;
        let path = "/v1/chat/completions";
        let none = Bytes::from_static(b"{}");
        let answer = bench.send(Method::POST, path, &[], none.clone()).await;
        assert_eq!(
            (answer.status, answer.code()),
            (StatusCode::UNAUTHORIZED, "unknown_key".into())
        );
        let bad = [("authorization", "Bearer nobody")];
        let answer = bench.send(Method::POST, path, &bad, none).await;
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
            let answer = bench.chat(&[], &body).await;
            assert_eq!((answer.status, answer.code().as_str()), (status, code));
            assert_eq!(answer.ran(), "not_run");
        }
        let answer = bench
            .chat(&[("idempotency-key", "a b")], &chat("boots", 4, false))
            .await;
        assert_eq!(
            (answer.status, answer.code()),
            (StatusCode::BAD_REQUEST, "bad_header".into())
        );
        assert_eq!(bench.stats(0).await.requests, 0);
    }
);
