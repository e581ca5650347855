//! Sends and receives gossip packets as UDP datagrams.

use std::net::SocketAddr;

use chestnutnotch_core::roster::MAX_PACKET_BYTES;
use chestnutnotch_core::roster::Packet;
use thiserror::Error;
use tokio::net::UdpSocket;

/// Error of sending or receiving a packet.
#[derive(Debug, Error)]
pub enum GossipError {
    /// The socket failed.
    #[error("socket: {0}")]
    Socket(#[from] std::io::Error),
    /// The packet could not be encoded, or the received datagram is not a packet.
    #[error("not a packet: {0}")]
    Malformed(#[from] postcard::Error),
}

/// UDP socket that carries gossip packets.
#[derive(Debug)]
pub struct GossipSocket {
    socket: UdpSocket,
}

impl GossipSocket {
    /// Binds a socket to an address.
    ///
    /// # Errors
    ///
    /// [`GossipError::Socket`] if the address cannot be bound.
    pub async fn bind(address: SocketAddr) -> Result<Self, GossipError> {
        let socket = UdpSocket::bind(address).await?;
        Ok(Self { socket })
    }

    /// Returns the address that the socket is bound to.
    ///
    /// # Errors
    ///
    /// [`GossipError::Socket`] if the system does not report it.
    pub fn address(&self) -> Result<SocketAddr, GossipError> {
        Ok(self.socket.local_addr()?)
    }

    /// Sends a packet. Delivery is not guaranteed.
    ///
    /// # Errors
    ///
    /// [`GossipError`] if the packet cannot be encoded or the socket fails.
    pub async fn send(&self, to: SocketAddr, packet: &Packet) -> Result<(), GossipError> {
        let bytes = postcard::to_stdvec(packet)?;
        self.socket.send_to(&bytes, to).await?;
        Ok(())
    }

    /// Waits for a packet. Returns it with the address of its sender.
    ///
    /// # Errors
    ///
    /// [`GossipError`] if the socket fails or the datagram is not a packet.
    pub async fn receive(&self) -> Result<(SocketAddr, Packet), GossipError> {
        let mut bytes = vec![0; MAX_PACKET_BYTES];
        let (count, from) = self.socket.recv_from(&mut bytes).await?;
        Ok((from, postcard::from_bytes(&bytes[..count])?))
    }
}
