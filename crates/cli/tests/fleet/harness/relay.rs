//! A TCP relay that can be cut: what is sent into a cut is held, and nobody is told.

use std::net::SocketAddr;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;

/// Forwards connections to a target while it is not cut.
#[derive(Debug)]
pub struct Relay {
    cut: watch::Sender<bool>,
}

impl Relay {
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> Self {
        let listener = TcpListener::bind(listen).await.unwrap();
        let (cut, state) = watch::channel(false);
        tokio::spawn(accept(listener, target, state));
        Self { cut }
    }

    pub fn cut(&self) {
        self.cut.send_replace(true);
    }

    pub fn heal(&self) {
        self.cut.send_replace(false);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, state: watch::Receiver<bool>) {
    while let Ok((near, _)) = listener.accept().await {
        tokio::spawn(forward(near, target, state.clone()));
    }
}

async fn forward(near: TcpStream, target: SocketAddr, mut state: watch::Receiver<bool>) {
    if state.wait_for(|cut| !cut).await.is_err() {
        return;
    }
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let (near_in, near_out) = near.into_split();
    let (far_in, far_out) = far.into_split();
    tokio::join!(
        copy(near_in, far_out, state.clone()),
        copy(far_in, near_out, state),
    );
}

async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mut state: watch::Receiver<bool>) {
    let mut buffer = vec![0; 16 << 10];
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        if state.wait_for(|cut| !cut).await.is_err() {
            return;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
