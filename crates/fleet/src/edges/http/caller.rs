//! Connection of a caller, which can be made to show a broken answer by a reset.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::edges::http::traffic::Traffic;

/// Bytes that one read takes at most. The HTTP library doubles its read buffer when a read fills it, up
/// to the limit on heads, and keeps a second buffer of that size while a part of a body is handed on.
pub const MAX_READ_BYTES: usize = 8 << 10;

/// TCP stream of a caller. Once [`ResetSwitch::turn_on`] was called, it is reset unless it is shut
/// down first, also when the process is killed.
///
/// A caller that speaks HTTP/1.0 takes the end of the connection for the end of a streamed answer.
#[derive(Debug)]
pub struct CallerStream {
    stream: TcpStream,
    switch: ResetSwitch,
    traffic: Traffic,
    /// Whether the socket is set to be reset when it is closed.
    is_set: bool,
}

/// Makes a [`CallerStream`] end with a reset.
#[derive(Clone, Debug, Default)]
pub struct ResetSwitch(Arc<AtomicBool>);

impl ResetSwitch {
    /// Takes effect before the next bytes are written.
    pub fn turn_on(&self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

impl CallerStream {
    /// Returns the stream, whose bytes `traffic` counts, and the switch that makes it end with a
    /// reset.
    pub fn new(stream: TcpStream, traffic: Traffic) -> (Self, ResetSwitch) {
        let switch = ResetSwitch::default();
        let caller = Self {
            stream,
            switch: switch.clone(),
            traffic,
            is_set: false,
        };
        (caller, switch)
    }

    /// Counts the bytes of a write that was done.
    fn count_sent(&self, write: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = write {
            self.traffic.add_sent(bytes);
        }
        write
    }

    /// Sets the socket to be reset when it is closed, or to send what is left.
    fn set_reset(&mut self, reset: bool) -> io::Result<()> {
        if self.is_set != reset {
            let linger = reset.then_some(Duration::ZERO);
            SockRef::from(&self.stream).set_linger(linger)?;
            self.is_set = reset;
        }
        Ok(())
    }

    fn before_write(&mut self) -> io::Result<()> {
        match self.switch.0.load(Ordering::Relaxed) {
            true => self.set_reset(true),
            false => Ok(()),
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let most = buffer.remaining().min(MAX_READ_BYTES);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(most));
        let read = Pin::new(&mut self.stream).poll_read(context, &mut part);
        let received = part.filled().len();
        buffer.advance(received);
        self.traffic.add_received(received);
        read
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.before_write()?;
        let write = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.count_sent(write)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.before_write()?;
        let write = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.count_sent(write)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.set_reset(false)?;
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
