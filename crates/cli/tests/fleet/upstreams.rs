//! Upstreams that crash on a request, leave, or answer wrongly.

use chestnutnotch_standin::Faults;
use futures_util::future::join_all;
use tokio::sync::mpsc;

use crate::harness::Count;
use crate::harness::Fleet;
use crate::harness::Shape;
use crate::harness::until;

const ENGINES: usize = 4;

cases! {
    poisoned_request_stops_at_two: engines(4) => poisoned;
    leaving_upstream_cuts_nothing: Shape::slow(20) => leaving;
    swapped_answers_are_not_passed_on: Shape::default() => swapped;
    cut_streams_end_whole: Shape::slow(5) => cut;
    call_that_dies_after_running: Shape::default() => died;
    refused_call_did_not_run: Shape::default() => refused;
}

fn engines(engines: u16) -> Shape {
    Shape {
        engines,
        ..Shape::default()
    }
}

/// A request crashes each engine that runs it, and its caller sends it again through both routers.
async fn poisoned(mut fleet: Fleet) {
    let faults = Faults {
        crash: Some("poison".into()),
        ..Faults::default()
    };
    for engine in 0..ENGINES {
        fleet.fault(engine, faults.clone()).await;
    }
    for n in 0..6 {
        let ask = fleet
            .ask(n % 2, "renter-chat", "poison in here")
            .key("poison");
        let answer = fleet.client.chat(&ask).await;
        assert_ne!(answer.status, 200, "{answer:?}");
    }
    let last = fleet.ask(1, "renter-chat", "poison in here").key("poison");
    let last = fleet.client.chat(&last).await;
    assert_eq!(
        (last.status, last.code.as_str()),
        (422, "quarantined"),
        "{last:?}"
    );
    let over = fleet.engines.iter_mut().map(|engine| engine.is_over());
    assert_eq!(over.filter(|over| *over).count(), 2);
    for n in 0..10 {
        let ask = fleet.ask(n % 2, "renter-chat", "harmless");
        let answer = fleet.client.chat(&ask).await;
        assert!(answer.answers("harmless", 200), "{answer:?}");
    }
}

/// An engine leaves while streams run: none is cut, and it gets no new work once that is known.
async fn leaving(mut fleet: Fleet) {
    let (told, mut telling) = mpsc::unbounded_channel();
    let prompt = |n: usize| format!("stream {n} tokens=150");
    let streams: Vec<_> = (0..12)
        .map(|n| {
            let ask = fleet.ask(n % 2, "renter-chat", &prompt(n)).stream();
            let ask = ask.told(told.clone());
            let client = fleet.client.clone();
            tokio::spawn(async move { client.chat(&ask).await })
        })
        .collect();
    for _ in 0..12 {
        telling.recv().await.unwrap();
    }
    let mine = fleet.engine_stats(0).await.running;
    assert!(mine > 0, "both engines have work");
    fleet.engines[0].terminate();
    tokio::time::sleep(std::time::Duration::from_millis(1_000)).await;
    let before = fleet.engine_stats(0).await;
    // Prompts of their own: equal ones would follow the first one's prefix to one engine.
    let other = |n: usize| format!("{n} goes elsewhere");
    let chats = (0..20).map(|n| {
        let ask = fleet.ask(n % 2, "renter-chat", &other(n)).most(20);
        let client = fleet.client.clone();
        async move { client.chat(&ask).await }
    });
    for (n, answer) in join_all(chats).await.into_iter().enumerate() {
        assert!(answer.answers(&other(n), 20), "{answer:?}");
    }
    let after = fleet.engine_stats(0).await;
    assert_eq!(
        (after.requests, after.overdue),
        (before.requests, before.overdue)
    );
    for (n, stream) in streams.into_iter().enumerate() {
        let answer = stream.await.unwrap();
        assert!(answer.answers(&prompt(n), 200), "{n}: {answer:?}");
    }
    assert!(fleet.engines[0].ended().await.success());
}

/// One engine sends other callers' answers: no caller ever sees one.
async fn swapped(fleet: Fleet) {
    let faults = Faults {
        swap: true,
        ..Faults::default()
    };
    fleet.fault(0, faults).await;
    for n in 0..20 {
        let prompt = format!("mine {n}");
        let ask = fleet.ask(n % 2, "renter-chat", &prompt);
        let ask = if n % 4 < 2 { ask } else { ask.stream() };
        let answer = fleet.client.chat(&ask).await;
        assert!(!answer.text.contains("another"), "{answer:?}");
        assert!(answer.status != 200 || !answer.whole || answer.answers(&prompt, 200));
    }
    Count::of(&fleet).await.check();
}

/// Every stream breaks after some tokens; the caller still sees one whole answer.
async fn cut(fleet: Fleet) {
    for engine in 0..2 {
        let faults = Faults {
            cut: Some(7),
            ..Faults::default()
        };
        fleet.fault(engine, faults).await;
    }
    let before = fleet.budget("renters").await["bills"].as_u64().unwrap();
    for n in 0..8 {
        let prompt = format!("mine {n} tokens=40");
        let ask = fleet.ask(n % 2, "renter-chat", &prompt).stream();
        let answer = fleet.client.chat(&ask).await;
        assert!(answer.answers(&prompt, 200), "{answer:?}");
    }
    let row = fleet.budget("renters").await;
    assert_eq!(row["bills"], before + 8, "{row}");
    Count::of(&fleet).await.check();
}

/// The desk runs a call and dies before it answers: never "not run", and never run again.
async fn died(mut fleet: Fleet) {
    let faults = Faults {
        cut: Some(0),
        ..Faults::default()
    };
    fleet.desk_fault(faults).await;
    for n in 0..4 {
        let answer = fleet.desk_call(n % 2, "reserve", "once", "jacket").await;
        assert_ne!(answer.status, 200, "{answer:?}");
        assert_ne!(answer.ran(), "not_run", "{answer:?}");
    }
    fleet.desk_fault(Faults::default()).await;
    let answer = fleet.desk_call(0, "reserve", "once", "jacket").await;
    assert_eq!(answer.code(), "outcome_unknown", "{answer:?}");
    assert_eq!(fleet.desk_stats().await.keys["once"], 1);
    let faults = Faults {
        die: true,
        ..Faults::default()
    };
    fleet.desk_fault(faults).await;
    let answer = fleet.desk_call(0, "reserve", "twice", "jacket").await;
    assert_ne!(answer.ran(), "not_run", "{answer:?}");
    until("the desk to end", || async {
        fleet.stock(0).await.status != 200
    })
    .await;
    assert!(!fleet.desk.ended().await.success());
    fleet.desk.start();
    fleet.serving(0).await;
    fleet.serving(1).await;
    let answer = fleet.desk_call(1, "reserve", "twice", "jacket").await;
    assert_eq!(answer.code(), "outcome_unknown", "{answer:?}");
    assert!(!fleet.desk_stats().await.keys.contains_key("twice"));
}

/// No worker is left: the call is refused as "not run", and it did not run.
async fn refused(mut fleet: Fleet) {
    fleet.desk.kill();
    let answer = fleet.desk_call(0, "reserve", "later", "jacket").await;
    assert_eq!(
        (answer.status, answer.ran()),
        (503, "not_run"),
        "{answer:?}"
    );
    assert!(answer.wait, "{answer:?}");
    fleet.desk.start();
    until("the resent call to run", || async {
        fleet
            .desk_call(1, "reserve", "later", "jacket")
            .await
            .status
            == 200
    })
    .await;
    assert_eq!(fleet.desk_stats().await.keys["later"], 1);
}
