//! RPC between control replicas: frames of the agreement protocol and greetings.
//!
//! Frames are sent without waiting for an answer of the protocol; those that a broken connection
//! loses are lost, and the protocol sends anew.

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

use crate::timer::jitter;

/// Largest message between replicas, in bytes.
pub const MESSAGE_BYTES: usize = 64 << 20;

/// Frames that wait for one connection.
const LINK_FRAMES: usize = 256;

/// Most frames in one RPC.
const BATCH_FRAMES: usize = 64;

/// Most addresses that frames are sent to.
const LINKS: usize = 32;

const CONNECT_MILLIS: u64 = 500;
const EXCHANGE_MILLIS: u64 = 1_000;
const BACKOFF_MIN_MILLIS: u64 = 20;
const BACKOFF_MAX_MILLIS: u64 = 500;

/// One message with its sender and receiver.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Envelope {
    /// The sending replica.
    pub from: ReplicaId,
    /// The replica it is for; another one at the same address drops it.
    pub to: ReplicaId,
    /// The message.
    pub message: Message,
}

/// Why a frame could not be read.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("malformed frame")]
pub struct FrameError;

impl Envelope {
    /// Encodes a frame.
    ///
    /// # Errors
    ///
    /// [`FrameError`] if the message cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, FrameError> {
        postcard::to_stdvec(self).map_err(|_| FrameError)
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

/// What arrives from other replicas.
#[derive(Debug)]
pub enum Inbound {
    /// Messages of the protocol.
    Frames(Vec<Envelope>),
    /// A greeting, and where to answer it.
    Greet(Hello, oneshot::Sender<Hello>),
}

/// Server side: hands on what arrives. A full inbox loses frames.
#[derive(Clone, Debug)]
pub struct PeerService {
    inbox: mpsc::Sender<Inbound>,
}

impl PeerService {
    /// A service with the inbox it fills.
    pub fn new(inbox: mpsc::Sender<Inbound>) -> Self {
        Self { inbox }
    }

    /// The service with its limit on message sizes, to be mounted in a server.
    pub fn into_server(self) -> PeerServer<Self> {
        PeerServer::new(self).max_decoding_message_size(MESSAGE_BYTES)
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
        address: greeting.address.parse().ok()?,
    })
}

fn write_greeting(hello: Hello) -> proto::Greeting {
    proto::Greeting {
        replica: hello.id.0,
        blank: hello.blank,
        joins: hello.joins,
        address: hello.address.to_string(),
    }
}

/// Cuts links between replicas in tests. Clones share the cuts.
#[derive(Clone, Debug, Default)]
pub struct Switch {
    cuts: Arc<Mutex<Set<(SocketAddr, SocketAddr)>>>,
}

impl Switch {
    /// Loses all that is sent from one address to another.
    pub fn cut(&self, from: SocketAddr, to: SocketAddr) {
        self.lock().insert((from, to));
    }

    /// Carries again what is sent from one address to another.
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

/// Client side: one connection for each address. Dropping it closes them.
#[derive(Debug)]
pub struct Links {
    own: SocketAddr,
    switch: Switch,
    links: Map<SocketAddr, mpsc::Sender<Vec<u8>>>,
}

impl Links {
    /// No connections yet; `own` is the address that the switch knows this replica by.
    pub fn new(own: SocketAddr, switch: Switch) -> Self {
        Self {
            own,
            switch,
            links: Map::default(),
        }
    }

    /// Sends a frame. Returns whether it was taken; a full or surplus link loses it.
    pub fn send(&mut self, to: SocketAddr, frame: Vec<u8>) -> bool {
        if !self.links.contains_key(&to) {
            if self.links.len() >= LINKS {
                return false;
            }
            self.links.insert(to, self.connect(to));
        }
        let link = self.links.get(&to);
        link.is_some_and(|link| link.try_send(frame).is_ok())
    }

    /// Greets an address; none if it does not answer.
    pub fn greet(
        &self,
        to: SocketAddr,
        hello: Hello,
    ) -> impl Future<Output = Option<Hello>> + Send + 'static {
        let cut = self.switch.is_cut(self.own, to) || self.switch.is_cut(to, self.own);
        async move {
            if cut {
                return None;
            }
            let mut client = PeerClient::new(channel(to)?);
            let call = client.greet(write_greeting(hello));
            let span = Duration::from_millis(EXCHANGE_MILLIS);
            let answer = tokio::time::timeout(span, call).await.ok()?.ok()?;
            read_greeting(&answer.into_inner())
        }
    }

    fn connect(&self, to: SocketAddr) -> mpsc::Sender<Vec<u8>> {
        let (tx, rx) = mpsc::channel(LINK_FRAMES);
        let own = self.own;
        let switch = self.switch.clone();
        if let Some(channel) = channel(to) {
            tokio::spawn(async move {
                let client = PeerClient::new(channel).max_encoding_message_size(MESSAGE_BYTES);
                carry(client, to, rx, || switch.is_cut(own, to)).await;
            });
        }
        tx
    }
}

fn channel(to: SocketAddr) -> Option<Channel> {
    let endpoint = Endpoint::from_shared(format!("http://{to}")).ok()?;
    let span = Duration::from_millis(CONNECT_MILLIS);
    Some(
        endpoint
            .connect_timeout(span)
            .tcp_nodelay(true)
            .connect_lazy(),
    )
}

/// Sends frames in batches until the queue closes. After a failure it backs off with jitter and
/// loses what waits.
async fn carry(
    mut client: PeerClient<Channel>,
    to: SocketAddr,
    mut queue: mpsc::Receiver<Vec<u8>>,
    is_cut: impl Fn() -> bool,
) {
    let span = Duration::from_millis(EXCHANGE_MILLIS);
    let mut backoff = BACKOFF_MIN_MILLIS;
    let mut frames = Vec::new();
    while queue.recv_many(&mut frames, BATCH_FRAMES).await > 0 {
        let frames = std::mem::take(&mut frames);
        if is_cut() {
            continue;
        }
        let call = client.exchange(proto::PeerFrames { frames });
        if matches!(tokio::time::timeout(span, call).await, Ok(Ok(_))) {
            backoff = BACKOFF_MIN_MILLIS;
            continue;
        }
        // The connection may have gone silent for good: the next call makes a new one.
        if let Some(fresh) = channel(to) {
            client = PeerClient::new(fresh).max_encoding_message_size(MESSAGE_BYTES);
        }
        let half = Duration::from_millis(backoff) / 2;
        let pause = half + jitter(half);
        tokio::time::sleep(pause).await;
        backoff = (backoff * 2).min(BACKOFF_MAX_MILLIS);
        while queue.try_recv().is_ok() {}
    }
}
