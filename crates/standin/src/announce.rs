//! Sends a stand-in's announcements to the routers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chestnutnotch_core::upstream::Phase;
use http::Method;
use http::Request;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use crate::server::Shared;

/// Timeout of one announcement to one router.
const POST_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Longest time between two announcements that it is leaving.
const MAX_LEAVING_PERIOD: Duration = Duration::from_millis(100);

/// Sends announcements at regular intervals, and at once when the phase changes. Never returns.
pub(crate) async fn run(shared: Arc<Shared>) {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let period = Duration::from_millis(shared.settings.announce);
    let mut phase = shared.phase.subscribe();
    loop {
        if !shared.faults().silent {
            announce_to_routers(&client, &shared).await;
        }
        let period = match *phase.borrow_and_update() {
            Phase::Ready => period,
            Phase::Leaving => period.min(MAX_LEAVING_PERIOD),
        };
        tokio::select! {
            () = tokio::time::sleep(period) => {}
            _ = phase.changed() => {}
        }
    }
}

/// Sends one announcement to all routers.
async fn announce_to_routers(client: &Client<HttpConnector, Full<Bytes>>, shared: &Shared) {
    let body = serde_json::to_vec(&shared.announcement()).unwrap_or_default();
    let body = Bytes::from(body);
    let posts = shared
        .settings
        .routers
        .iter()
        .map(|router| post(client, *router, body.clone()));
    let accepted = futures_util::future::join_all(posts).await;
    if accepted.contains(&true) {
        shared.announced.send_replace(true);
    }
}

/// Sends an announcement to one router. Returns whether the router accepted it.
async fn post(
    client: &Client<HttpConnector, Full<Bytes>>,
    router: SocketAddr,
    body: Bytes,
) -> bool {
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{router}/v1/announce"))
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(body));
    let Ok(request) = request else {
        return false;
    };
    let sent = async {
        let answer = client.request(request).await.ok()?;
        let accepted = answer.status().is_success();
        // The connection can be used again only after the body is read.
        let _ = answer.into_body().collect().await;
        Some(accepted)
    };
    // A router that does not answer gets the next announcement.
    matches!(
        tokio::time::timeout(POST_TIMEOUT, sent).await,
        Ok(Some(true))
    )
}
