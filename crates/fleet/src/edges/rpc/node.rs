//! RPC between nodes that find each other: the pass-through routes, and parts of allotments.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chestnutnotch_core::id::Budget;
use chestnutnotch_core::route::PublishedPlan;
use chestnutnotch_core::unit::Tokens;
use chestnutnotch_wire::proto;
use chestnutnotch_wire::proto::node_client::NodeClient;
use chestnutnotch_wire::proto::node_server::Node;
use chestnutnotch_wire::proto::node_server::NodeServer;
use thiserror::Error;
use tokio::sync::watch;
use tonic::Request;
use tonic::Response;
use tonic::Status;
use tonic::transport::Endpoint;

use super::MESSAGE_BYTES;

/// Longest wait for a connection to another node: many times a round trip within a region.
const CONNECT_TIME: Duration = Duration::from_millis(250);

/// Why another node gave no answer.
#[derive(Debug, Error)]
pub enum NodeError {
    /// No answer in time.
    #[error("{0} did not answer in time")]
    Late(SocketAddr),
    /// No connection.
    #[error("no connection to {address}: {source}")]
    Unreachable {
        /// The node.
        address: SocketAddr,
        /// Why.
        source: tonic::transport::Error,
    },
    /// The node refused.
    #[error("{address}: {source}")]
    Refused {
        /// The node.
        address: SocketAddr,
        /// Why.
        source: Box<Status>,
    },
}

/// Gives up parts of an allotment.
pub trait Lender: Send + Sync + 'static {
    /// Takes at least `least` and at most `most` out of the own allotment, or nothing.
    fn lend(&self, budget: &Budget, least: Tokens, most: Tokens) -> Tokens;
}

/// Lends nothing.
#[derive(Clone, Copy, Debug)]
pub struct NoLender;

impl Lender for NoLender {
    fn lend(&self, _budget: &Budget, _least: Tokens, _most: Tokens) -> Tokens {
        Tokens::ZERO
    }
}

/// What a node offers to the others.
pub struct NodeService {
    plan: watch::Receiver<PublishedPlan>,
    lender: Arc<dyn Lender>,
}

impl NodeService {
    /// Offers the newest routes of a channel, and what a lender spares.
    pub fn new(plan: watch::Receiver<PublishedPlan>, lender: Arc<dyn Lender>) -> Self {
        Self { plan, lender }
    }

    /// The service, to be mounted in a server.
    pub fn into_server(self) -> NodeServer<Self> {
        NodeServer::new(self).max_encoding_message_size(MESSAGE_BYTES)
    }
}

#[tonic::async_trait]
impl Node for NodeService {
    async fn held(
        &self,
        request: Request<proto::PlanRequest>,
    ) -> Result<Response<proto::PlanReply>, Status> {
        let version = request.into_inner().version;
        Ok(Response::new(reply(&self.plan.borrow(), version)))
    }

    async fn lend(
        &self,
        request: Request<proto::LendRequest>,
    ) -> Result<Response<proto::LendReply>, Status> {
        let request = request.into_inner();
        let (least, most) = (Tokens(request.least), Tokens(request.most));
        let lent = self.lender.lend(&request.budget.into(), least, most);
        Ok(Response::new(proto::LendReply { amount: lent.0 }))
    }
}

/// A reply with the routes, without their document unless they are newer than what is held.
pub(super) fn reply(plan: &PublishedPlan, held: u64) -> proto::PlanReply {
    let source = match plan.version > held {
        true => plan.source.to_vec(),
        false => Vec::new(),
    };
    proto::PlanReply {
        version: plan.version,
        source,
    }
}

/// Asks a node for its routes, if they are newer than `held`. Each call has a connection of its own:
/// calls are rare, and an old connection may have gone silent.
///
/// # Errors
///
/// See [`NodeError`].
pub async fn held(to: SocketAddr, held: u64, within: Duration) -> Result<PublishedPlan, NodeError> {
    let request = proto::PlanRequest { version: held };
    let reply = call(to, within, async |mut node| node.held(request).await).await?;
    Ok(PublishedPlan {
        version: reply.version,
        source: reply.source.into(),
    })
}

/// Asks a node for a part of its allotment. An answer that is lost is lost tokens, never tokens
/// spent twice.
///
/// # Errors
///
/// See [`NodeError`].
pub async fn lend(
    to: SocketAddr,
    budget: &Budget,
    least: Tokens,
    most: Tokens,
    within: Duration,
) -> Result<Tokens, NodeError> {
    let request = proto::LendRequest {
        budget: budget.to_string(),
        least: least.0,
        most: most.0,
    };
    let reply = call(to, within, async |mut node| node.lend(request).await).await?;
    Ok(Tokens(reply.amount.min(most.0)))
}

type Client = NodeClient<tonic::transport::Channel>;

async fn call<T>(
    address: SocketAddr,
    within: Duration,
    ask: impl AsyncFnOnce(Client) -> Result<Response<T>, Status>,
) -> Result<T, NodeError> {
    let work = async {
        let unreachable = |source| NodeError::Unreachable { address, source };
        let endpoint = Endpoint::from_shared(format!("http://{address}")).map_err(unreachable)?;
        let connecting = endpoint.connect_timeout(CONNECT_TIME).tcp_nodelay(true);
        let channel = connecting.connect().await.map_err(unreachable)?;
        let client = NodeClient::new(channel).max_decoding_message_size(MESSAGE_BYTES);
        let refused = |source| NodeError::Refused {
            address,
            source: Box::new(source),
        };
        Ok(ask(client).await.map_err(refused)?.into_inner())
    };
    let outcome = tokio::time::timeout(within, work).await;
    outcome.unwrap_or(Err(NodeError::Late(address)))
}
