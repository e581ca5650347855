//! Upstreams that crash on a request, leave, or answer wrongly.

use chestnutnotch_standin::Faults;
use futures_util::future::join_all;
use tokio::sync::mpsc;

use crate::harness::Fleet;
use crate::harness::FleetOptions;
use crate::harness::TokenTotals;
use crate::harness::wait_until;

/// Number of engines in the test of a crashing request.
const ENGINES: usize = 4;

cases! {
    poisoned_request_stops_at_two: engines(4) => crash_engines;
    leaving_upstream_cuts_nothing: FleetOptions::slow(20) => stop_engine;
    swapped_answers_are_not_passed_on: FleetOptions::default() => swap_answers;
    cut_streams_end_whole: FleetOptions::slow(5) => cut_streams;
    call_that_dies_after_running: FleetOptions::default() => lose_answers;
    refused_call_did_not_run: FleetOptions::default() => refuse_call;
}

/// Returns a fleet with a number of engines.
fn engines(engines: u16) -> FleetOptions {
    FleetOptions {
        engines,
        ..FleetOptions::default()
    }
}

/// A request crashes each engine that runs it, and its caller resends it through both routers. It
/// has to be quarantined after two crashes.
async fn crash_engines(mut fleet: Fleet) {
    let faults = Faults {
        crash: Some("poison".into()),
        ..Faults::default()
    };
    for engine in 0..ENGINES {
        fleet.set_engine_faults(engine, faults.clone()).await;
    }
    for n in 0..6 {
        let request = fleet
            .chat_request(n % 2, "renter-chat", "poison in here")
            .key("poison");
        let answer = fleet.client.chat(&request).await;
        assert_ne!(answer.status, 200, "{answer:?}");
    }
    let last = fleet
        .chat_request(1, "renter-chat", "poison in here")
        .key("poison");
    let last = fleet.client.chat(&last).await;
    assert_eq!(
        (last.status, last.code.as_str()),
        (422, "quarantined"),
        "{last:?}"
    );
    let exited = fleet.engines.iter_mut().map(|engine| engine.has_exited());
    assert_eq!(exited.filter(|exited| *exited).count(), 2);
    for n in 0..10 {
        let request = fleet.chat_request(n % 2, "renter-chat", "harmless");
        let answer = fleet.client.chat(&request).await;
        assert!(answer.is_answer_to("harmless", 200), "{answer:?}");
    }
}

/// An engine leaves while streams run. No stream may be cut, and the engine gets no new requests
/// once the routers know that it is leaving.
async fn stop_engine(mut fleet: Fleet) {
    let (progress, mut events) = mpsc::unbounded_channel();
    let prompt = |n: usize| format!("stream {n} tokens=150");
    let streams: Vec<_> = (0..12)
        .map(|n| {
            let request = fleet
                .chat_request(n % 2, "renter-chat", &prompt(n))
                .stream();
            let request = request.progress(progress.clone());
            let client = fleet.client.clone();
            tokio::spawn(async move { client.chat(&request).await })
        })
        .collect();
    for _ in 0..12 {
        events.recv().await.unwrap();
    }
    let running = fleet.engine_stats(0).await.running;
    assert!(running > 0, "both engines run requests");
    fleet.engines[0].terminate();
    tokio::time::sleep(std::time::Duration::from_millis(1_000)).await;
    let before = fleet.engine_stats(0).await;
    // The prompts differ, because requests with the same prefix go to the same engine.
    let other = |n: usize| format!("{n} goes elsewhere");
    let chats = (0..20).map(|n| {
        let request = fleet
            .chat_request(n % 2, "renter-chat", &other(n))
            .max_tokens(20);
        let client = fleet.client.clone();
        async move { client.chat(&request).await }
    });
    for (n, answer) in join_all(chats).await.into_iter().enumerate() {
        assert!(answer.is_answer_to(&other(n), 20), "{answer:?}");
    }
    let after = fleet.engine_stats(0).await;
    assert_eq!(
        (after.requests, after.overdue),
        (before.requests, before.overdue)
    );
    for (n, stream) in streams.into_iter().enumerate() {
        let answer = stream.await.unwrap();
        assert!(answer.is_answer_to(&prompt(n), 200), "{n}: {answer:?}");
    }
    assert!(fleet.engines[0].wait_for_exit().await.success());
}

/// One engine answers with the text of other requests. No caller may receive such an answer.
async fn swap_answers(fleet: Fleet) {
    let faults = Faults {
        swap: true,
        ..Faults::default()
    };
    fleet.set_engine_faults(0, faults).await;
    for n in 0..20 {
        let prompt = format!("mine {n}");
        let request = fleet.chat_request(n % 2, "renter-chat", &prompt);
        let request = if n % 4 < 2 { request } else { request.stream() };
        let answer = fleet.client.chat(&request).await;
        assert!(!answer.text.contains("another"), "{answer:?}");
        assert!(answer.status != 200 || !answer.complete || answer.is_answer_to(&prompt, 200));
    }
    TokenTotals::of(&fleet).await.assert_consistent();
}

/// Every stream breaks after some tokens. The caller still has to receive one complete answer.
async fn cut_streams(fleet: Fleet) {
    for engine in 0..2 {
        let faults = Faults {
            cut: Some(7),
            ..Faults::default()
        };
        fleet.set_engine_faults(engine, faults).await;
    }
    let before = fleet.budget("renters").await["bills"].as_u64().unwrap();
    for n in 0..8 {
        let prompt = format!("mine {n} tokens=40");
        let request = fleet.chat_request(n % 2, "renter-chat", &prompt).stream();
        let answer = fleet.client.chat(&request).await;
        assert!(answer.is_answer_to(&prompt, 200), "{answer:?}");
    }
    let row = fleet.budget("renters").await;
    assert_eq!(row["bills"], before + 8, "{row}");
    TokenTotals::of(&fleet).await.assert_consistent();
}

/// The plain service runs a call and fails before it answers. The call must neither be reported as
/// "not run" nor run again.
async fn lose_answers(mut fleet: Fleet) {
    let faults = Faults {
        cut: Some(0),
        ..Faults::default()
    };
    fleet.set_desk_faults(faults).await;
    for n in 0..4 {
        let answer = fleet.desk_call(n % 2, "reserve", "once", "jacket").await;
        assert_ne!(answer.status, 200, "{answer:?}");
        assert_ne!(answer.ran(), "not_run", "{answer:?}");
    }
    fleet.set_desk_faults(Faults::default()).await;
    let answer = fleet.desk_call(0, "reserve", "once", "jacket").await;
    assert_eq!(answer.code(), "outcome_unknown", "{answer:?}");
    assert_eq!(fleet.desk_stats().await.keys["once"], 1);
    let faults = Faults {
        die: true,
        ..Faults::default()
    };
    fleet.set_desk_faults(faults).await;
    let answer = fleet.desk_call(0, "reserve", "twice", "jacket").await;
    assert_ne!(answer.ran(), "not_run", "{answer:?}");
    wait_until("the desk to exit", || async {
        fleet.stock(0).await.status != 200
    })
    .await;
    assert!(!fleet.desk.wait_for_exit().await.success());
    fleet.desk.start();
    fleet.wait_until_serving(0).await;
    fleet.wait_until_serving(1).await;
    let answer = fleet.desk_call(1, "reserve", "twice", "jacket").await;
    assert_eq!(answer.code(), "outcome_unknown", "{answer:?}");
    assert!(!fleet.desk_stats().await.keys.contains_key("twice"));
}

/// The only instance of the plain service is down. The call is refused as "not run", and a resend
/// runs it once.
async fn refuse_call(mut fleet: Fleet) {
    fleet.desk.kill();
    let answer = fleet.desk_call(0, "reserve", "later", "jacket").await;
    assert_eq!(
        (answer.status, answer.ran()),
        (503, "not_run"),
        "{answer:?}"
    );
    assert!(answer.retry_after, "{answer:?}");
    fleet.desk.start();
    wait_until("the resent call to run", || async {
        fleet
            .desk_call(1, "reserve", "later", "jacket")
            .await
            .status
            == 200
    })
    .await;
    assert_eq!(fleet.desk_stats().await.keys["later"], 1);
}
