//! Routers that die while streams are open.

use tokio::sync::mpsc;

use crate::harness::Count;
use crate::harness::Fleet;
use crate::harness::Shape;
use crate::harness::until;

const STREAMS: usize = 10;

cases! {
    killed_with_open_streams: Shape::slow(15) => killed;
}

/// A router is killed with streams open; the callers retry with their keys through the other.
async fn killed(mut fleet: Fleet) {
    let before = fleet.budget("renters").await["bills"].as_u64().unwrap();
    let (told, mut telling) = mpsc::unbounded_channel();
    let prompt = |n: usize| format!("stream {n} tokens=80");
    let asks: Vec<_> = (0..STREAMS)
        .map(|n| {
            let key = format!("stream-{n}");
            fleet.ask(0, "renter-chat", &prompt(n)).stream().key(&key)
        })
        .collect();
    let streams: Vec<_> = asks
        .iter()
        .map(|ask| {
            let ask = ask.clone().told(told.clone());
            let client = fleet.client.clone();
            tokio::spawn(async move { client.chat(&ask).await })
        })
        .collect();
    for _ in 0..STREAMS {
        telling.recv().await.unwrap();
    }
    fleet.routers[0].kill();
    for stream in streams {
        let broken = stream.await.unwrap();
        assert!(!broken.whole, "{broken:?}");
    }
    for (n, ask) in asks.iter().enumerate() {
        let ask = ask.clone().router(fleet.http(1));
        until("a retry to be answered", || async {
            let answer = fleet.client.chat(&ask).await;
            assert!(
                answer.status != 200 || answer.answers(&prompt(n), 200),
                "{answer:?}"
            );
            answer.status == 200
        })
        .await;
    }
    let row = fleet.budget("renters").await;
    assert_eq!(
        row["bills"],
        before + STREAMS as u64,
        "one bill for each: {row}"
    );
    fleet.routers[0].start();
    fleet.serving(0).await;
    let again = fleet.client.chat(&asks[0]).await;
    assert!(again.answers(&prompt(0), 200), "{again:?}");
    let row = fleet.budget("renters").await;
    assert_eq!(
        row["bills"],
        before + STREAMS as u64,
        "still one for each: {row}"
    );
    Count::of(&fleet).await.check();
}
