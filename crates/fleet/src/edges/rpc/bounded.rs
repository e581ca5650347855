//! Messages to an RPC server, bounded in sum while they are on their way.
//!
//! Answers callers that send many large messages at once, or stop just short of their end and stay.

use std::future::Future;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use http::Request;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use tokio::sync::futures::OwnedNotified;
use tonic::Status;
use tonic::server::NamedService;
use tower_service::Service;

use crate::edges::http::NoRoom;
use crate::edges::http::RequestMemory;
use crate::edges::http::memory::HeldBody;

/// An RPC service whose messages count in a memory until they are decoded. If there is no room, the
/// largest one gives way.
#[derive(Clone, Debug)]
pub struct Bounded<S> {
    service: S,
    memory: RequestMemory,
}

impl<S> Bounded<S> {
    /// Bounds the messages to a service. Services with the same memory share it.
    pub fn new(service: S, memory: RequestMemory) -> Self {
        Self { service, memory }
    }
}

impl<S: NamedService> NamedService for Bounded<S> {
    const NAME: &'static str = S::NAME;
}

impl<S> Service<Request<tonic::body::Body>> for Bounded<S>
where
    S: Service<Request<tonic::body::Body>>,
{
    type Response = S::Response;
    type Error = S::Error;
    type Future = S::Future;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), S::Error>> {
        self.service.poll_ready(context)
    }

    fn call(&mut self, request: Request<tonic::body::Body>) -> S::Future {
        let memory = &self.memory;
        let request = request.map(|body| tonic::body::Body::new(CountedBody::new(body, memory)));
        self.service.call(request)
    }
}

/// Body of a request, which counts until it is dropped.
struct CountedBody {
    body: tonic::body::Body,
    received: usize,
    held: HeldBody,
    /// Resolves once the body has given way to others.
    ended: Pin<Box<OwnedNotified>>,
}

impl CountedBody {
    fn new(body: tonic::body::Body, memory: &RequestMemory) -> Self {
        let held = memory.begin();
        let ended = Box::pin(held.ended_owned());
        Self {
            body,
            received: 0,
            held,
            ended,
        }
    }

    /// Counts a frame.
    fn count(&mut self, frame: &Frame<Bytes>) -> Result<(), NoRoom> {
        let Some(data) = frame.data_ref() else {
            return Ok(());
        };
        self.received += data.len();
        self.held.count(self.received)
    }
}

impl Body for CountedBody {
    type Data = Bytes;
    type Error = Status;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Status>>> {
        let body = self.get_mut();
        if body.ended.as_mut().poll(context).is_ready() {
            return Poll::Ready(Some(Err(no_memory())));
        }
        let frame = ready!(Pin::new(&mut body.body).poll_frame(context));
        if let Some(Ok(data)) = &frame
            && body.count(data).is_err()
        {
            return Poll::Ready(Some(Err(no_memory())));
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

fn no_memory() -> Status {
    Status::resource_exhausted("no memory for the message")
}
