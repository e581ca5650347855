//! gRPC between control replicas: frames of the consensus protocol, and greetings.
//!
//! Frames are sent without waiting for a response of the protocol. Frames lost with a broken
//! connection are not resent here; the protocol sends anew.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use chestnutnotch_core::id::ReplicaId;
use chestnutnotch_core::map::Map;
use chestnutnotch_core::map::Set;
use chestnutnotch_core::replica::Hello;
use chestnutnotch_core::replica::Message;
use chestnutnotch_wire::proto;
use chestnutnotch_wire::proto::peer_client::PeerClient;
use chestnutnotch_wire::proto::peer_server::Peer;
use chestnutnotch_wire::proto::peer_server::PeerServer;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tonic::Request;
use tonic::Response;
use tonic::Status;
use tonic::transport::Channel;
use tonic::transport::Endpoint;

use super::frames::FrameReceiver;
use super::frames::FrameSender;
use super::frames::frame_queue;
use crate::timer::jitter;

/// Bound on an encoded message between replicas, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// Bound on the addresses that frames are sent to.
const MAX_LINKS: usize = 32;

/// Bound on the time to open a connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 500;
/// Bound on one call, in milliseconds, beside the time that its bytes take.
const CALL_TIMEOUT_MS: u64 = 1_000;
/// Rate of the slowest connection that calls are given time for, in bytes per millisecond.
const MIN_BYTES_PER_MS: u64 = 256;
/// Backoff after the first failure, in milliseconds.
const MIN_BACKOFF_MS: u64 = 20;
/// Bound on the backoff, in milliseconds.
const MAX_BACKOFF_MS: u64 = 500;

/// A protocol message with its sender and receiver, encoded as one frame.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Envelope {
    /// Replica that sends the message.
    pub from: ReplicaId,
    /// Replica that the message is for. Another replica at the same address drops it.
    pub to: ReplicaId,
    /// Message of the consensus protocol.
    pub message: Message,
}

/// An encoded [`Envelope`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Frame {
    /// The encoded envelope.
    pub bytes: Vec<u8>,
    /// Whether the frame may overtake earlier ones.
    pub unordered: bool,
}

/// Error of encoding or decoding a frame.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("malformed frame")]
pub struct FrameError;

impl Envelope {
    /// Encodes the envelope as a frame.
    ///
    /// # Errors
    ///
    /// [`FrameError`] if the message cannot be encoded.
    pub fn encode(&self) -> Result<Frame, FrameError> {
        let bytes = postcard::to_stdvec(self).map_err(|_| FrameError)?;
        let unordered = self.message.is_unordered();
        Ok(Frame { bytes, unordered })
    }

    /// Decodes a frame.
    ///
    /// # Errors
    ///
    /// [`FrameError`] unless the bytes are exactly one frame.
    pub fn decode(bytes: &[u8]) -> Result<Self, FrameError> {
        match postcard::take_from_bytes(bytes) {
            Ok((envelope, [])) => Ok(envelope),
            _ => Err(FrameError),
        }
    }
}

/// Input from other replicas.
#[derive(Debug)]
pub enum Inbound {
    /// Messages of the consensus protocol.
    Frames(Vec<Envelope>),
    /// A greeting, and the channel for the response to it.
    Greet(Hello, oneshot::Sender<Hello>),
}

/// Server side of the connections: puts all input into a bounded inbox. A full inbox drops it.
#[derive(Clone, Debug)]
pub struct PeerService {
    inbox: mpsc::Sender<Inbound>,
}

impl PeerService {
    /// Creates a service that fills this inbox.
    pub fn new(inbox: mpsc::Sender<Inbound>) -> Self {
        Self { inbox }
    }

    /// Returns the service for a server, with its limit on message sizes.
    pub fn into_server(self) -> PeerServer<Self> {
        PeerServer::new(self).max_decoding_message_size(MAX_MESSAGE_BYTES)
    }
}

#[tonic::async_trait]
impl Peer for PeerService {
    async fn exchange(
        &self,
        request: Request<proto::PeerFrames>,
    ) -> Result<Response<proto::PeerReply>, Status> {
        let frames = request.into_inner().frames;
        let decoded: Result<Vec<_>, _> =
            frames.iter().map(|bytes| Envelope::decode(bytes)).collect();
        let envelopes = decoded.map_err(|e| Status::invalid_argument(e.to_string()))?;
        match self.inbox.try_send(Inbound::Frames(envelopes)) {
            Ok(()) => Ok(Response::new(proto::PeerReply {})),
            Err(_) => Err(Status::resource_exhausted("inbox full")),
        }
    }

    async fn greet(
        &self,
        request: Request<proto::Greeting>,
    ) -> Result<Response<proto::Greeting>, Status> {
        let hello = read_greeting(&request.into_inner())
            .ok_or_else(|| Status::invalid_argument("malformed address"))?;
        let (tx, rx) = oneshot::channel();
        self.inbox
            .try_send(Inbound::Greet(hello, tx))
            .map_err(|_| Status::resource_exhausted("inbox full"))?;
        let answer = rx.await.map_err(|_| Status::unavailable("stopped"))?;
        Ok(Response::new(write_greeting(answer)))
    }
}

fn read_greeting(greeting: &proto::Greeting) -> Option<Hello> {
    Some(Hello {
        id: ReplicaId(greeting.replica),
        blank: greeting.blank,
        joins: greeting.joins,
        founds: greeting.founds,
        address: greeting.address.parse().ok()?,
    })
}

fn write_greeting(hello: Hello) -> proto::Greeting {
    proto::Greeting {
        replica: hello.id.0,
        blank: hello.blank,
        joins: hello.joins,
        founds: hello.founds,
        address: hello.address.to_string(),
    }
}

/// Simulated network partitions between replicas, for tests. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct LinkFaults {
    /// Pairs of sender and receiver whose messages are dropped.
    cuts: Arc<Mutex<Set<(SocketAddr, SocketAddr)>>>,
}

impl LinkFaults {
    /// Drops everything that is sent from one address to another.
    pub fn cut(&self, from: SocketAddr, to: SocketAddr) {
        self.lock().insert((from, to));
    }

    /// Delivers again what is sent from one address to another.
    pub fn heal(&self, from: SocketAddr, to: SocketAddr) {
        self.lock().remove(&(from, to));
    }

    fn is_cut(&self, from: SocketAddr, to: SocketAddr) -> bool {
        self.lock().contains(&(from, to))
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Set<(SocketAddr, SocketAddr)>> {
        self.cuts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Client side of the connections, two for each address. Dropping it closes them.
#[derive(Debug)]
pub struct Links {
    own_address: SocketAddr,
    faults: LinkFaults,
    /// Queues of frames for each address.
    links: Map<SocketAddr, Link>,
}

/// Queues of frames for one address. Each has a connection of its own, so that heartbeats and votes do
/// not wait for entries.
#[derive(Debug)]
struct Link {
    ordered: FrameSender,
    unordered: FrameSender,
}

impl Links {
    /// Creates a client without connections. `own_address` identifies this replica in `faults`.
    pub fn new(own_address: SocketAddr, faults: LinkFaults) -> Self {
        Self {
            own_address,
            faults,
            links: Map::default(),
        }
    }

    /// Queues a frame. Returns false if it was dropped because the queue is full or there are too
    /// many addresses.
    pub fn send(&mut self, to: SocketAddr, frame: Frame) -> bool {
        if !self.links.contains_key(&to) {
            if self.links.len() >= MAX_LINKS {
                return false;
            }
            let link = Link {
                ordered: self.connect(to),
                unordered: self.connect(to),
            };
            self.links.insert(to, link);
        }
        let Some(link) = self.links.get(&to) else {
            return false;
        };
        match frame.unordered {
            true => link.unordered.send(frame.bytes),
            false => link.ordered.send(frame.bytes),
        }
    }

    /// Greets the replica at an address. Returns `None` if it does not answer in time.
    pub fn greet(
        &self,
        to: SocketAddr,
        hello: Hello,
    ) -> impl Future<Output = Option<Hello>> + Send + 'static {
        let cut =
            self.faults.is_cut(self.own_address, to) || self.faults.is_cut(to, self.own_address);
        async move {
            if cut {
                return None;
            }
            let mut client = PeerClient::new(channel(to)?);
            let call = client.greet(write_greeting(hello));
            let timeout = Duration::from_millis(CALL_TIMEOUT_MS);
            let answer = tokio::time::timeout(timeout, call).await.ok()?.ok()?;
            read_greeting(&answer.into_inner())
        }
    }

    /// Starts a task that sends to an address. Returns its queue.
    fn connect(&self, to: SocketAddr) -> FrameSender {
        let (tx, queue) = frame_queue();
        let own_address = self.own_address;
        let faults = self.faults.clone();
        if let Some(channel) = channel(to) {
            tokio::spawn(async move {
                let client = PeerClient::new(channel).max_encoding_message_size(MAX_MESSAGE_BYTES);
                send_frames(client, to, queue, || faults.is_cut(own_address, to)).await;
            });
        }
        tx
    }
}

/// Returns a channel that connects on first use.
fn channel(to: SocketAddr) -> Option<Channel> {
    let endpoint = Endpoint::from_shared(format!("http://{to}")).ok()?;
    let timeout = Duration::from_millis(CONNECT_TIMEOUT_MS);
    Some(
        endpoint
            .connect_timeout(timeout)
            .tcp_nodelay(true)
            .connect_lazy(),
    )
}

/// Sends queued frames in batches until the queue closes. After a failure it backs off with jitter
/// and drops the frames queued meanwhile.
async fn send_frames(
    mut client: PeerClient<Channel>,
    to: SocketAddr,
    mut queue: FrameReceiver,
    is_cut: impl Fn() -> bool,
) {
    let mut backoff = MIN_BACKOFF_MS;
    while let Some(frames) = queue.batch().await {
        if is_cut() {
            continue;
        }
        let timeout = call_timeout(&frames);
        let call = client.exchange(proto::PeerFrames { frames });
        if matches!(tokio::time::timeout(timeout, call).await, Ok(Ok(_))) {
            backoff = MIN_BACKOFF_MS;
            continue;
        }
        // The connection may never answer again, so the next call opens a new one.
        if let Some(channel) = channel(to) {
            client = PeerClient::new(channel).max_encoding_message_size(MAX_MESSAGE_BYTES);
        }
        let half = Duration::from_millis(backoff) / 2;
        let delay = half + jitter(half);
        tokio::time::sleep(delay).await;
        backoff = (backoff * 2).min(MAX_BACKOFF_MS);
        queue.clear();
    }
}

/// Returns how long a call with these frames may take.
fn call_timeout(frames: &[Vec<u8>]) -> Duration {
    let size: u64 = frames.iter().map(|frame| frame.len() as u64).sum();
    Duration::from_millis(CALL_TIMEOUT_MS + size / MIN_BYTES_PER_MS)
}
