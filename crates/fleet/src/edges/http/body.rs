//! Body of an answer to a caller.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use thiserror::Error;
use tokio::sync::mpsc;

/// Body of an answer: whole, or streamed out of a bounded channel.
#[derive(Debug)]
pub enum ReplyBody {
    /// All of it.
    Whole(Option<Bytes>),
    /// Parts as they come; the end of the channel is the end of the body.
    Stream(mpsc::Receiver<Bytes>),
    /// Parts as they come, and whether the body is whole: if the channel ends without
    /// [`Part::End`], the connection is closed, so that the caller sees a body cut short.
    Relayed(mpsc::Receiver<Part>),
}

/// A piece of a relayed body.
#[derive(Debug)]
pub enum Part {
    /// Bytes.
    Data(Bytes),
    /// The end of a whole body.
    End,
}

/// A body that ended early.
#[derive(Clone, Copy, Debug, Error)]
#[error("the body ended early")]
pub struct CutShort;

impl ReplyBody {
    /// A whole body.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()))
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = CutShort;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CutShort>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Stream(parts) => parts
                .poll_recv(context)
                .map(|part| part.map(|b| Ok(Frame::data(b)))),
            Self::Relayed(parts) => parts.poll_recv(context).map(|part| match part {
                Some(Part::Data(bytes)) => Some(Ok(Frame::data(bytes))),
                Some(Part::End) => None,
                None => Some(Err(CutShort)),
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
