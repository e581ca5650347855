//! Bodies of responses to callers.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

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
    /// A streamed body. The end of the channel is the end of the body.
    Stream(mpsc::Receiver<Bytes>),
    /// A streamed body with an explicit end. If the channel ends without [`Part::End`], the
    /// connection is closed, so that the caller sees a truncated body.
    Relayed(mpsc::Receiver<Part>),
}

/// Item of a [`ReplyBody::Relayed`] channel.
#[derive(Debug)]
pub enum Part {
    /// The next bytes of the body.
    Data(Bytes),
    /// Marks the body as complete.
    End,
}

/// Error that ends a relayed body whose channel closed before [`Part::End`].
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
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Stream(parts) => parts
                .poll_recv(context)
                .map(|part| part.map(|b| Ok(Frame::data(b)))),
            Self::Relayed(parts) => parts.poll_recv(context).map(|part| match part {
                Some(Part::Data(bytes)) => Some(Ok(Frame::data(bytes))),
                Some(Part::End) => None,
                None => Some(Err(TruncatedBody)),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.is_none(),
            Self::Stream(_) | Self::Relayed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            Self::Stream(_) | Self::Relayed(_) => SizeHint::default(),
        }
    }
}
