//! Datagrams between nodes.

use std::net::SocketAddr;

use chestnutnotch_core::roster::Packet;
use thiserror::Error;
use tokio::net::UdpSocket;

/// Largest datagram that is read, in bytes. Those that are sent are smaller.
const DATAGRAM_BYTES: usize = 16 << 10;

/// Why a packet was not sent or read.
#[derive(Debug, Error)]
pub enum GossipError {
    /// The socket failed.
    #[error("socket: {0}")]
    Socket(#[from] std::io::Error),
    /// A datagram is not a packet.
    #[error("not a packet: {0}")]
    Malformed(#[from] postcard::Error),
}

/// A socket for packets.
#[derive(Debug)]
pub struct Gossip {
    socket: UdpSocket,
}

impl Gossip {
    /// Listens on an address.
    ///
    /// # Errors
    ///
    /// [`GossipError::Socket`].
    pub async fn bind(address: SocketAddr) -> Result<Self, GossipError> {
        let socket = UdpSocket::bind(address).await?;
        Ok(Self { socket })
    }

    /// Own address.
    ///
    /// # Errors
    ///
    /// [`GossipError::Socket`].
    pub fn address(&self) -> Result<SocketAddr, GossipError> {
        Ok(self.socket.local_addr()?)
    }

    /// Sends a packet; it may be lost.
    ///
    /// # Errors
    ///
    /// See [`GossipError`].
    pub async fn send(&self, to: SocketAddr, packet: &Packet) -> Result<(), GossipError> {
        let bytes = postcard::to_stdvec(packet)?;
        self.socket.send_to(&bytes, to).await?;
        Ok(())
    }

    /// Waits for a packet.
    ///
    /// # Errors
    ///
    /// See [`GossipError`].
    pub async fn receive(&self) -> Result<(SocketAddr, Packet), GossipError> {
        let mut bytes = vec![0; DATAGRAM_BYTES];
        let (count, from) = self.socket.recv_from(&mut bytes).await?;
        Ok((from, postcard::from_bytes(&bytes[..count])?))
    }
}
