//! Bounds the interim answers (status 1xx) that may come before the answer to a request.
//!
//! The HTTP library skips them, so they could come without end.

use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use http::Request;
use tokio::sync::Notify;

/// Most interim answers to one request. Upstreams send one or two, if any.
const MAX_INTERIM_ANSWERS: u32 = 16;

/// Counts the interim answers to a request that is not sent yet. The returned future completes when
/// there are too many.
pub fn limit_interim<B>(request: &mut Request<B>) -> impl Future<Output = ()> + Send + use<B> {
    let exceeded = Arc::new(Notify::new());
    let notify = Arc::clone(&exceeded);
    let count = AtomicU32::new(0);
    hyper::ext::on_informational(request, move |_| {
        if count.fetch_add(1, Ordering::Relaxed) >= MAX_INTERIM_ANSWERS {
            notify.notify_one();
        }
    });
    async move { exceeded.notified().await }
}
