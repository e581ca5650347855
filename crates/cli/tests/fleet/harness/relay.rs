//! A TCP relay that simulates a network partition: while it is cut, it keeps connections open and
//! delivers nothing.

use std::net::SocketAddr;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;

/// Forwards connections to a target except while it is cut.
#[derive(Debug)]
pub struct Relay {
    cut: watch::Sender<bool>,
}

impl Relay {
    /// Listens on an address and forwards its connections to the target.
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> Self {
        let listener = TcpListener::bind(listen).await.unwrap();
        let (cut, partition) = watch::channel(false);
        tokio::spawn(accept(listener, target, partition));
        Self { cut }
    }

    /// Stops forwarding without closing connections.
    pub fn cut(&self) {
        self.cut.send_replace(true);
    }

    /// Resumes forwarding; data held back is delivered.
    pub fn restore(&self) {
        self.cut.send_replace(false);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, partition: watch::Receiver<bool>) {
    while let Ok((client, _)) = listener.accept().await {
        tokio::spawn(forward(client, target, partition.clone()));
    }
}

async fn forward(client: TcpStream, target: SocketAddr, mut partition: watch::Receiver<bool>) {
    if partition.wait_for(|cut| !cut).await.is_err() {
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    tokio::join!(
        copy(client_read, server_write, partition.clone()),
        copy(server_read, client_write, partition),
    );
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut partition: watch::Receiver<bool>,
) {
    let mut buffer = vec![0; 16 << 10];
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        if partition.wait_for(|cut| !cut).await.is_err() {
            return;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
