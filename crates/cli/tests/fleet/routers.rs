//! Routers that are killed while streams are open.

use tokio::sync::mpsc;

use crate::harness::Fleet;
use crate::harness::FleetOptions;
use crate::harness::TokenTotals;
use crate::harness::wait_until;

/// Number of streams that are open when the router is killed.
const STREAMS: usize = 10;

cases! {
    killed_with_open_streams: FleetOptions::slow(15) => kill_router;
}

/// A router is killed with open streams, and the callers retry with the same idempotency keys at
/// the other router. Each chat has to be billed once.
async fn kill_router(mut fleet: Fleet) {
    let before = fleet.budget("renters").await["bills"].as_u64().unwrap();
    let (progress, mut events) = mpsc::unbounded_channel();
    let prompt = |n: usize| format!("stream {n} tokens=80");
    let requests: Vec<_> = (0..STREAMS)
        .map(|n| {
            let key = format!("stream-{n}");
            fleet
                .chat_request(0, "renter-chat", &prompt(n))
                .stream()
                .key(&key)
        })
        .collect();
    let streams: Vec<_> = requests
        .iter()
        .map(|request| {
            let request = request.clone().progress(progress.clone());
            let client = fleet.client.clone();
            tokio::spawn(async move { client.chat(&request).await })
        })
        .collect();
    for _ in 0..STREAMS {
        events.recv().await.unwrap();
    }
    fleet.routers[0].kill();
    for stream in streams {
        let broken = stream.await.unwrap();
        assert!(!broken.complete, "{broken:?}");
    }
    for (n, request) in requests.iter().enumerate() {
        let request = request.clone().router(fleet.router_address(1));
        wait_until("a retry to be answered", || async {
            let answer = fleet.client.chat(&request).await;
            assert!(
                answer.status != 200 || answer.is_answer_to(&prompt(n), 200),
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
    fleet.wait_until_serving(0).await;
    let again = fleet.client.chat(&requests[0]).await;
    assert!(again.is_answer_to(&prompt(0), 200), "{again:?}");
    let row = fleet.budget("renters").await;
    assert_eq!(
        row["bills"],
        before + STREAMS as u64,
        "still one for each: {row}"
    );
    TokenTotals::of(&fleet).await.assert_consistent();
}
