//! Connections of the HTTP client that count their answers.
//!
//! The client hides which connection a request uses and whether it was used before.

use std::future::Future;
use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use http::Extensions;
use http::Request;
use http::Response;
use http::Uri;
use hyper::rt::Read;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;
use hyper_util::client::legacy::connect::CaptureConnection;
use hyper_util::client::legacy::connect::Connected;
use hyper_util::client::legacy::connect::Connection;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::connect::capture_connection;
use hyper_util::rt::TokioIo;
use tower_service::Service;

use crate::edges::http::not_run::Tie;
use crate::edges::http::progress::Progress;
use crate::edges::http::shared::SharedStream;
use crate::edges::http::traffic::Traffic;

/// Header with the id of a request. Upstreams may repeat it in the answer.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Number of answers that have come over a connection.
#[derive(Clone, Debug, Default)]
struct AnswerCount(Arc<AtomicU32>);

/// Opens TCP connections that count their answers.
#[derive(Clone, Debug)]
pub struct CountingConnector(pub HttpConnector);

impl Service<Uri> for CountingConnector {
    type Response = CountedStream;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = Pin<Box<dyn Future<Output = Result<CountedStream, Self::Error>> + Send>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.0.poll_ready(context)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let connecting = self.0.call(uri);
        Box::pin(async move {
            let progress = Progress::default();
            let stream = connecting.await?.into_inner();
            let (stream, _probe) = SharedStream::new(stream, progress.clone(), Traffic::default());
            Ok(CountedStream {
                stream: TokioIo::new(stream),
                count: AnswerCount::default(),
                progress,
            })
        })
    }
}

/// A TCP connection that counts its answers.
#[derive(Debug)]
pub struct CountedStream {
    stream: TokioIo<SharedStream>,
    count: AnswerCount,
    progress: Progress,
}

impl Connection for CountedStream {
    fn connected(&self) -> Connected {
        Connected::new()
            .extra(self.count.clone())
            .extra(self.progress.clone())
    }
}

impl Read for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl Write for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }
}

/// A request without an answer yet. Dropped before the answer, it closes the connection, as the
/// answer may still come.
#[derive(Debug)]
pub(super) struct PendingAnswer {
    /// The connection; none once the answer has come.
    connection: Option<CaptureConnection>,
}

impl PendingAnswer {
    /// Finds out over which connection a request is sent.
    pub(super) fn of<B>(request: &mut Request<B>) -> Self {
        Self {
            connection: Some(capture_connection(request)),
        }
    }

    /// Counts the answer and notes its connection in its extensions.
    pub(super) fn complete<B>(mut self, response: &mut Response<B>) {
        if let Some(progress) = response.extensions().get::<Progress>() {
            progress.record();
        }
        let count = response.extensions().get::<AnswerCount>().cloned();
        if let (Some(count), Some(connection)) = (count, self.connection.take()) {
            let origin = Origin {
                earlier: count.0.fetch_add(1, Ordering::Relaxed),
                connection,
            };
            response.extensions_mut().insert(origin);
        }
    }
}

impl Drop for PendingAnswer {
    fn drop(&mut self) {
        let Some(connection) = &self.connection else {
            return;
        };
        if let Some(connected) = &*connection.connection_metadata() {
            connected.poison();
            // A request that already waits for this connection is not its first.
            let mut extras = Extensions::new();
            connected.get_extras(&mut extras);
            if let Some(count) = extras.get::<AnswerCount>() {
                count.0.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}

/// Connection that an answer came over.
#[derive(Clone, Debug)]
struct Origin {
    /// Number of answers that came before over the connection.
    earlier: u32,
    connection: CaptureConnection,
}

/// Returns what ties an answer to the request that it arrived for. `id` is the id that the request
/// was sent with in [`REQUEST_ID_HEADER`], if any. Engines may set ids of their own there, which count as
/// none.
pub fn tie<B>(response: &Response<B>, id: Option<&str>) -> Option<Tie> {
    let origin = response.extensions().get::<Origin>()?;
    let Some(id) = id else {
        return Tie::of("", None, origin.earlier);
    };
    let answered = response.headers().get(REQUEST_ID_HEADER);
    let own = answered.is_some_and(|answered| answered.as_bytes() == id.as_bytes());
    Tie::of(id, own.then_some(id), origin.earlier)
}

/// Closes the connection of an answer once its body is read or dropped.
pub fn retire<B>(response: &Response<B>) {
    if let Some(origin) = response.extensions().get::<Origin>()
        && let Some(connected) = &*origin.connection.connection_metadata()
    {
        connected.poison();
    }
}
