//! The control process: a replica of the ledger, the bill spool and their RPC services.

use std::future::Future;
use std::net::SocketAddr;

use chestnutnotch_core::id::Host;
use chestnutnotch_core::id::Operator;
use chestnutnotch_wire::proto::control_server::ControlServer as ControlRpc;
use ractor::ActorRef;
use thiserror::Error;
use tokio::net::TcpListener;
use tonic::transport::Server;

use crate::controllers::replica;
use crate::controllers::replica::ReplicaHandle;
use crate::controllers::spool::SpoolActor;
use crate::controllers::spool::SpoolArgs;
use crate::controllers::spool::SpoolMessage;
use crate::edges::http::RequestMemory;
use crate::edges::rpc::Bounded;
use crate::edges::rpc::ControlClient;
use crate::edges::rpc::ControlServer;
use crate::edges::rpc::MAX_MESSAGE_BYTES;
use crate::edges::rpc::accept_nodes;
use crate::edges::rpc::node::NodeService;
use crate::edges::rpc::peer::PeerService;
use crate::settings::ReplicaSettings;
use crate::settings::Settings;
use crate::timer::Timer;

/// Why a control process can't start or had to end.
#[derive(Debug, Error)]
pub enum ServeError {
    /// The settings have no `[replica]` table.
    #[error("the settings of a control process need a [replica] table")]
    NoReplica,
    /// The system refused to listen on the address.
    #[error("can't listen on {address}: {source}")]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the system.
        source: std::io::Error,
    },
    /// The replica can't start.
    #[error(transparent)]
    Replica(#[from] replica::StartError),
    /// The bill spool can't be opened.
    #[error("bill spool: {0}")]
    Spool(#[from] ractor::SpawnErr),
    /// The RPC server failed.
    #[error("RPC server: {0}")]
    Rpc(#[from] tonic::transport::Error),
}

/// Runs a control process on the address of its settings until `stop` resolves.
///
/// # Errors
///
/// See [`ServeError`].
pub async fn run(
    settings: Settings,
    timer: Timer,
    stop: impl Future<Output = ()> + Send,
) -> Result<(), ServeError> {
    let address = settings
        .replica
        .as_ref()
        .ok_or(ServeError::NoReplica)?
        .listen;
    let listener = TcpListener::bind(address)
        .await
        .map_err(|source| ServeError::Listen { address, source })?;
    serve(settings, listener, timer, stop).await
}

/// Runs a control process on a bound listener until `stop` resolves.
///
/// # Errors
///
/// See [`ServeError`].
pub async fn serve(
    settings: Settings,
    listener: TcpListener,
    timer: Timer,
    stop: impl Future<Output = ()> + Send,
) -> Result<(), ServeError> {
    Control::start(settings, listener, timer)
        .await?
        .run(None, stop)
        .await
}

/// A control process that has opened its data folder.
pub struct Control {
    host: Host,
    replica: ReplicaHandle,
    /// RPC service for the other replicas.
    peers: PeerService,
    spool: ActorRef<SpoolMessage>,
    /// Client of all control replicas, this one included.
    client: ControlClient,
    listener: TcpListener,
    /// Bound on the connections of other processes.
    connections: usize,
    /// Memory for their messages on their way.
    messages: RequestMemory,
    timer: Timer,
}

impl Control {
    /// Starts the replica and the spool.
    ///
    /// # Errors
    ///
    /// See [`ServeError`].
    pub async fn start(
        settings: Settings,
        listener: TcpListener,
        timer: Timer,
    ) -> Result<Self, ServeError> {
        let own: ReplicaSettings = settings.replica.clone().ok_or(ServeError::NoReplica)?;
        let (replica, peers) = replica::start(&own, &settings.control, &timer).await?;
        let name = format!("control {}", settings.host.name);
        let client = ControlClient::new(settings.control, Operator::from(name));
        let args = SpoolArgs {
            folder: own.data,
            replica: replica.clone(),
            client: client.clone(),
            timer: timer.clone(),
        };
        log::info!(
            "control process {} listens on {}",
            settings.host.name,
            own.listen
        );
        Ok(Self {
            host: settings.host.name,
            replica,
            peers,
            spool: SpoolActor::start(args).await?,
            client,
            listener,
            connections: own.connections,
            messages: RequestMemory::new(own.messages),
            timer,
        })
    }

    /// Returns the handle on the replica.
    pub fn replica(&self) -> &ReplicaHandle {
        &self.replica
    }

    /// Returns the client that this process calls all control replicas with.
    pub fn client(&self) -> &ControlClient {
        &self.client
    }

    /// Serves until `stop` resolves or the replica stops. `node`, if given, is served on the same
    /// address.
    ///
    /// # Errors
    ///
    /// See [`ServeError`].
    pub async fn run(
        self,
        node: Option<NodeService>,
        stop: impl Future<Output = ()> + Send,
    ) -> Result<(), ServeError> {
        let (replica, messages) = (self.replica, self.messages);
        let control = ControlServer::new(replica.clone(), self.spool.clone(), self.timer);
        let control = ControlRpc::new(control)
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES);
        // The replica stops first: that ends the streams that follow the configuration. The server
        // would otherwise wait for them.
        let ended = async {
            tokio::select! {
                () = stop => {}
                () = replica.stopped() => log::error!("the replica stopped unexpectedly"),
                _ = self.spool.wait(None) => log::error!("the bill spool stopped unexpectedly"),
            }
            replica.stop().await;
        };
        Server::builder()
            .tcp_nodelay(true)
            .add_service(Bounded::new(control, messages.clone()))
            .add_service(Bounded::new(self.peers.into_server(), messages.clone()))
            .add_optional_service(node.map(|node| Bounded::new(node.into_server(), messages)))
            .serve_with_incoming_shutdown(accept_nodes(self.listener, self.connections), ended)
            .await?;
        self.spool.stop(None);
        log::info!("control process {} has stopped", self.host);
        Ok(())
    }
}
