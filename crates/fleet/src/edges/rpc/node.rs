//! gRPC between nodes found through gossip: pass-through routes and lending of tokens.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use chestnutnotch_core::evacuation::Evacuations;
use chestnutnotch_core::id::Budget;
use chestnutnotch_core::ledger::Loan;
use chestnutnotch_core::map::Map;
use chestnutnotch_core::route::PublishedPlan;
use chestnutnotch_core::unit::Tokens;
use chestnutnotch_wire::proto;
use chestnutnotch_wire::proto::node_client::NodeClient;
use chestnutnotch_wire::proto::node_server::Node;
use chestnutnotch_wire::proto::node_server::NodeServer;
use thiserror::Error;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::timeout_at;
use tonic::Request;
use tonic::Response;
use tonic::Status;
use tonic::transport::Channel;
use tonic::transport::Endpoint;

use super::MAX_MESSAGE_BYTES;
use super::document;
use super::document::DocumentCache;
use super::document::DocumentError;
use super::document::Held;

/// Bound on the time to open a connection to another node. At a full link, packets wait for up to
/// half a second in each direction, and an opening packet that is lost is sent again after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Error of a call to another node.
#[derive(Debug, Error)]
pub enum NodeError {
    /// The node accepted the connection and did not answer in time.
    #[error("{0} did not answer in time")]
    TimedOut(SocketAddr),
    /// The time was up before the connection was open.
    #[error("no connection to {0} in time")]
    ConnectTimedOut(SocketAddr),
    /// The connection failed.
    #[error("no connection to {address}: {source}")]
    Unreachable {
        /// Address of the node.
        address: SocketAddr,
        /// Transport error.
        source: tonic::transport::Error,
    },
    /// The node answered with an error status.
    #[error("{address}: {source}")]
    Refused {
        /// Address of the node.
        address: SocketAddr,
        /// Status that it answered with.
        source: Box<Status>,
    },
    /// The answer can't be read.
    #[error("{address}: {source}")]
    Unreadable {
        /// Address of the node.
        address: SocketAddr,
        /// What is wrong with it.
        source: DocumentError,
    },
}

impl NodeError {
    /// Returns the name of the error in metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Self::TimedOut(_) => "timed_out",
            Self::ConnectTimedOut(_) => "connect_timed_out",
            Self::Unreachable { .. } => "unreachable",
            Self::Refused { .. } => "refused",
            Self::Unreadable { .. } => "unreadable",
        }
    }
}

/// Lends tokens out of this router's allotment.
pub trait Lender: Send + Sync + 'static {
    /// Takes at least `min` and at most `max` tokens out of the allotment. Returns how many, or
    /// none if it can't spare `min`.
    fn lend(&self, budget: &Budget, min: Tokens, max: Tokens) -> Loan;
}

/// A lender without an allotment. It lends nothing.
#[derive(Clone, Copy, Debug)]
pub struct NoLender;

impl Lender for NoLender {
    fn lend(&self, _budget: &Budget, _least: Tokens, _most: Tokens) -> Loan {
        Loan::default()
    }
}

/// Implementation of the `Node` service.
pub struct NodeService {
    /// Latest pass-through routes of this node.
    plan: watch::Receiver<PublishedPlan>,
    /// Evacuations that this node knows of.
    evacuations: watch::Receiver<Evacuations>,
    documents: DocumentCache,
    lender: Arc<dyn Lender>,
}

impl NodeService {
    /// Creates a service that serves the latest routes and evacuations of channels, and lends tokens
    /// from a lender.
    pub fn new(
        plan: watch::Receiver<PublishedPlan>,
        evacuations: watch::Receiver<Evacuations>,
        lender: Arc<dyn Lender>,
    ) -> Self {
        Self {
            plan,
            evacuations,
            documents: DocumentCache::default(),
            lender,
        }
    }

    /// Returns the service for a server, with its limit on message sizes.
    pub fn into_server(self) -> NodeServer<Self> {
        NodeServer::new(self).max_encoding_message_size(MAX_MESSAGE_BYTES)
    }
}

#[tonic::async_trait]
impl Node for NodeService {
    async fn held(
        &self,
        request: Request<proto::PlanRequest>,
    ) -> Result<Response<proto::PlanReply>, Status> {
        let plan = self.plan.borrow().clone();
        let evacuations = self.evacuations.borrow().clone();
        let reply = self.documents.reply(&plan, &evacuations, request.get_ref());
        Ok(Response::new(reply))
    }

    async fn lend(
        &self,
        request: Request<proto::LendRequest>,
    ) -> Result<Response<proto::LendReply>, Status> {
        let request = request.into_inner();
        let (min, max) = (Tokens(request.least), Tokens(request.most));
        let loan = self.lender.lend(&request.budget.into(), min, max);
        Ok(Response::new(proto::LendReply {
            amount: loan.amount.0,
            spare: loan.spare.0,
        }))
    }
}

/// gRPC client of the `Node` service.
type Client = NodeClient<Channel>;

/// An open connection to a node, for one call.
#[derive(Debug)]
pub struct NodeConnection {
    address: SocketAddr,
    client: Client,
    /// How long it took to open.
    pub delay: Duration,
}

impl NodeConnection {
    /// Opens a connection to a node.
    ///
    /// # Errors
    ///
    /// [`NodeError::ConnectTimedOut`] and [`NodeError::Unreachable`].
    pub async fn open(address: SocketAddr) -> Result<Self, NodeError> {
        let start = Instant::now();
        let connecting = timeout_at(start + CONNECT_TIMEOUT, connect(address)).await;
        let channel = connecting.unwrap_or(Err(NodeError::ConnectTimedOut(address)))?;
        Ok(Self {
            address,
            client: NodeClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES),
            delay: start.elapsed(),
        })
    }

    /// Fetches the pass-through routes and the evacuations of the node. The document is empty unless
    /// its version is higher than `known`.
    ///
    /// # Errors
    ///
    /// See [`NodeError`].
    pub async fn fetch_plan(self, known: u64, timeout: Duration) -> Result<Held, NodeError> {
        let address = self.address;
        let request = proto::PlanRequest {
            version: known,
            deflate: true,
        };
        let deadline = Instant::now() + timeout;
        let reply = self.call(deadline, async |mut node| node.held(request).await);
        document::read_reply(reply.await?)
            .map_err(|source| NodeError::Unreadable { address, source })
    }

    /// Makes one call.
    async fn call<T>(
        self,
        deadline: Instant,
        send: impl AsyncFnOnce(Client) -> Result<Response<T>, Status>,
    ) -> Result<T, NodeError> {
        let address = self.address;
        let answer = timeout_at(deadline, send(self.client)).await;
        let answer = answer.map_err(|_| NodeError::TimedOut(address))?;
        let refused = |source| NodeError::Refused {
            address,
            source: Box::new(source),
        };
        Ok(answer.map_err(refused)?.into_inner())
    }
}

/// Most connections to lenders that are kept.
const MAX_LENDER_CONNECTIONS: usize = 24;

/// Kept connections to nodes that lend tokens. A connection is dropped when a call on it fails, as
/// it may have broken without notice.
#[derive(Debug, Default)]
pub struct LenderPool {
    clients: Mutex<Map<SocketAddr, Client>>,
}

impl LenderPool {
    /// Borrows tokens from the allotment of a node. If the answer is lost, the tokens are lost as
    /// well, but never spent twice. `timeout` bounds the connection and the call together.
    ///
    /// # Errors
    ///
    /// See [`NodeError`].
    pub async fn borrow(
        &self,
        from: SocketAddr,
        budget: &Budget,
        min: Tokens,
        max: Tokens,
        timeout: Duration,
    ) -> Result<Loan, NodeError> {
        let request = proto::LendRequest {
            budget: budget.to_string(),
            least: min.0,
            most: max.0,
        };
        let deadline = Instant::now() + timeout;
        let connection = self.connection(from).await?;
        let reply = connection.call(deadline, async |mut node| node.lend(request).await);
        match reply.await {
            Ok(reply) => Ok(Loan {
                amount: Tokens(reply.amount.min(max.0)),
                spare: Tokens(reply.spare),
            }),
            Err(error) => {
                self.clients().remove(&from);
                Err(error)
            }
        }
    }

    /// Returns the kept connection to a node, or opens one.
    async fn connection(&self, address: SocketAddr) -> Result<NodeConnection, NodeError> {
        let kept = self.clients().get(&address).cloned();
        if let Some(client) = kept {
            return Ok(NodeConnection {
                address,
                client,
                delay: Duration::ZERO,
            });
        }
        let connection = NodeConnection::open(address).await?;
        let mut clients = self.clients();
        if clients.len() >= MAX_LENDER_CONNECTIONS {
            let dropped = clients.keys().next().copied();
            dropped.and_then(|other| clients.remove(&other));
        }
        clients.insert(address, connection.client.clone());
        Ok(connection)
    }

    fn clients(&self) -> MutexGuard<'_, Map<SocketAddr, Client>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Opens a channel to a node.
async fn connect(address: SocketAddr) -> Result<Channel, NodeError> {
    let unreachable = |source| NodeError::Unreachable { address, source };
    let endpoint = Endpoint::from_shared(format!("http://{address}")).map_err(unreachable)?;
    endpoint
        .tcp_nodelay(true)
        .connect()
        .await
        .map_err(unreachable)
}
