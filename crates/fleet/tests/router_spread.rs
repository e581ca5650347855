//! Two routers: announcements, leaves and crash evidence that one router gets reach the other one.

mod support;

use chestnutnotch_standin::Faults;
use http::StatusCode;

use support::RouterFixture;
use support::chat_body;
use support::expected_text;
use support::wait_until;

const PREPAID: u64 = 1_000_000;

/// Returns the usage of an upstream in the status of a router, or none if it is not known there.
async fn upstream_usage(fixture: &RouterFixture, name: &str) -> Option<String> {
    let status = fixture.get("/status").await.json();
    let upstreams = status["upstreams"].as_array()?.clone();
    let upstream = upstreams
        .into_iter()
        .find(|upstream| upstream["upstream"] == name)?;
    upstream["usage"].as_str().map(str::to_owned)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn announcement_and_leave_reach_the_other_router() {
    let (mut informed, other) = RouterFixture::pair(PREPAID).await;
    informed.add_engine(0, Faults::default()).await;
    wait_until(async || upstream_usage(&other, "upstream-0").await.as_deref() == Some("used"))
        .await;
    let answer = other.send_chat(&[], &chat_body("boots", 6, false)).await;
    assert_eq!(answer.text(), expected_text("boots", 6));
    informed.stop_upstream(0);
    wait_until(async || upstream_usage(&other, "upstream-0").await.as_deref() == Some("leaving"))
        .await;
    let answer = other.send_chat(&[], &chat_body("boots", 6, false)).await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(
        (answer.code(), answer.ran()),
        ("no_upstream".into(), "not_run".into())
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_that_crashed_two_upstreams_is_not_run_by_the_other_router() {
    let (mut informed, other) = RouterFixture::pair(PREPAID).await;
    let faults = Faults {
        crash: Some("ember".into()),
        ..Faults::default()
    };
    for _ in 0..4 {
        informed.add_engine(0, faults.clone()).await;
    }
    wait_until(async || upstream_usage(&other, "upstream-3").await.is_some()).await;
    let body = chat_body("ember", 4, true);
    let first = informed.send_chat(&[], &body).await;
    assert_eq!(first.code(), "quarantined", "{first:?}");
    wait_until(async || other.counter("crashes", "heard").await == 2).await;
    let repeated = other.send_chat(&[], &body).await;
    assert_eq!(
        (repeated.code(), repeated.ran()),
        ("quarantined".into(), "not_run".into())
    );
    let mut alive = 0;
    for index in 0..4 {
        let address = informed.upstreams[index].address;
        alive += usize::from(tokio::net::TcpStream::connect(address).await.is_ok());
    }
    assert_eq!(alive, 2);
}
