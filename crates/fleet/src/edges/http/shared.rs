//! A TCP stream that can be examined while the HTTP library owns it.

use std::io;
use std::io::IoSlice;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Weak;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::edges::http::progress::Progress;
use crate::edges::http::traffic::Traffic;

/// A TCP stream with a [`StreamProbe`], of which each read is counted.
#[derive(Debug)]
pub struct SharedStream {
    stream: Arc<TcpStream>,
    progress: Progress,
    traffic: Traffic,
}

/// Examines a [`SharedStream`] without keeping it open.
#[derive(Clone, Debug)]
pub struct StreamProbe(Weak<TcpStream>);

impl SharedStream {
    /// Wraps a stream. `progress` bounds what is read, `traffic` counts it.
    pub(super) fn new(
        stream: TcpStream,
        progress: Progress,
        traffic: Traffic,
    ) -> (Self, StreamProbe) {
        let stream = Arc::new(stream);
        let probe = StreamProbe(Arc::downgrade(&stream));
        let shared = Self {
            stream,
            progress,
            traffic,
        };
        (shared, probe)
    }
}

impl StreamProbe {
    /// Returns whether the stream is open and nothing has arrived that was not read yet, neither
    /// bytes nor the end.
    pub fn is_quiet(&self) -> bool {
        let Some(stream) = self.0.upgrade() else {
            return false;
        };
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&*stream).peek(&mut byte);
        peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }
}

impl AsyncRead for SharedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.stream.poll_read_ready(context))?;
            match self.stream.try_read_buf(buffer) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
                Ok(bytes) => {
                    self.traffic.add_received(bytes);
                    return Poll::Ready(self.progress.count(bytes));
                }
            }
        }
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(context, &[IoSlice::new(bytes)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let offered: usize = slices.iter().map(|slice| slice.len()).sum();
        self.progress.record_write(offered > 0);
        loop {
            ready!(self.stream.poll_write_ready(context))?;
            match self.stream.try_write_vectored(slices) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
                Ok(written) => {
                    self.traffic.add_sent(written);
                    self.progress.record_write(written < offered);
                    return Poll::Ready(Ok(written));
                }
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.stream).shutdown(Shutdown::Write))
    }
}
