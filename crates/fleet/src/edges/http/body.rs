//! Bodies of responses to callers.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use thiserror::Error;
use tokio::sync::mpsc;

/// Body of a response: complete, or streamed from a bounded channel.
#[derive(Debug)]
pub enum ReplyBody {
    /// A complete body; `None` once it was sent.
    Whole(Option<Bytes>),
    /// A streamed body with an explicit end. If the channel ends without [`Part::End`], the
    /// connection is closed, so that the caller sees a truncated body.
    Stream(mpsc::Receiver<Part>),
    /// A truncated body whose last bytes may still be in the write buffer.
    Truncated,
}

/// Item of a [`ReplyBody::Stream`] channel.
#[derive(Debug)]
pub enum Part {
    /// The next bytes of the body.
    Data(Bytes),
    /// Marks the body as complete.
    End,
}

/// Error that ends a streamed body whose channel closed before [`Part::End`].
#[derive(Clone, Copy, Debug, Error)]
#[error("the body ended early")]
pub struct TruncatedBody;

impl ReplyBody {
    /// Creates a complete body.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()))
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = TruncatedBody;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedBody>>> {
        let body = self.get_mut();
        match body {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Stream(parts) => match ready!(parts.poll_recv(context)) {
                Some(Part::Data(bytes)) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
                Some(Part::End) => Poll::Ready(None),
                None => {
                    // An error makes the server drop its write buffer, which it flushes when the
                    // body is pending.
                    *body = Self::Truncated;
                    context.waker().wake_by_ref();
                    Poll::Pending
                }
            },
            Self::Truncated => Poll::Ready(Some(Err(TruncatedBody))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.is_none(),
            Self::Stream(_) | Self::Truncated => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            Self::Stream(_) | Self::Truncated => SizeHint::default(),
        }
    }
}
