//! gRPC between routers: client and server of the `Router` service.

use std::net::SocketAddr;
use std::time::Duration;

use chestnutnotch_core::id::Host;
use chestnutnotch_core::unit::Incarnation;
use chestnutnotch_core::upstream::Announcement;
use chestnutnotch_core::upstream::Crash;
use chestnutnotch_wire::WireError;
use chestnutnotch_wire::fingerprint;
use chestnutnotch_wire::proto;
use chestnutnotch_wire::proto::router_server::Router;
use chestnutnotch_wire::proto::router_server::RouterServer;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tonic::Request;
use tonic::Response;
use tonic::Status;
use tonic::transport::Channel;
use tonic::transport::Endpoint;
use tonic::transport::Server;

use crate::controllers::spread::Spread;
use crate::controllers::upstreams::AnnouncementChange;
use crate::edges::http::RequestMemory;
use crate::edges::rpc::Bounded;
use crate::edges::rpc::accept_nodes;
use crate::shares::Shares;

/// Bound on the time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Bound on one call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Bound on the announcements in one call.
const MAX_ANNOUNCEMENTS: usize = 20_000;
/// Bound on the rows of crash evidence in one call.
const MAX_CRASHES: usize = 4_096;

/// Error of a call to another router.
#[derive(Debug, Error)]
pub enum SpreadError {
    /// The call failed.
    #[error("no answer: {0}")]
    Status(#[from] Status),
    /// The address is not a valid endpoint.
    #[error("bad address: {0}")]
    Address(#[from] tonic::transport::Error),
    /// The reply could not be decoded.
    #[error("malformed answer: {0}")]
    Malformed(#[from] WireError),
}

/// Client of one other router. Connects on first use. Cheap to clone.
#[derive(Clone, Debug)]
pub struct RouterClient {
    address: SocketAddr,
    /// `None` if the address is not a valid endpoint; every call then fails.
    channel: Option<Channel>,
}

impl RouterClient {
    /// Creates a client of the router at this address.
    pub fn new(address: SocketAddr) -> Self {
        let endpoint = Endpoint::from_shared(format!("http://{address}"));
        let channel = endpoint.ok().map(|endpoint| {
            endpoint
                .connect_timeout(CONNECT_TIMEOUT)
                .timeout(CALL_TIMEOUT)
                .tcp_nodelay(true)
                .connect_lazy()
        });
        Self { address, channel }
    }

    /// Sends announcements and crash evidence. Returns the newer announcements that the other
    /// router has of the same upstreams. If nothing is sent, returns all that it has.
    ///
    /// # Errors
    ///
    /// See [`SpreadError`].
    pub async fn spread(
        &self,
        host: &Host,
        announcements: Vec<Announcement>,
        crashes: Vec<Crash>,
    ) -> Result<Vec<Announcement>, SpreadError> {
        let Some(channel) = self.channel.clone() else {
            return Err(Status::unavailable(self.address.to_string()).into());
        };
        let request = proto::SpreadRequest {
            host: host.to_string(),
            announcements: announcements.into_iter().map(Into::into).collect(),
            crashes: crashes.into_iter().map(crash_to_wire).collect(),
        };
        let mut client = proto::router_client::RouterClient::new(channel);
        let reply = client.spread(request).await?.into_inner();
        let newer = reply.announcements.into_iter();
        Ok(newer
            .map(Announcement::try_from)
            .collect::<Result<_, _>>()?)
    }
}

/// Serves the other routers until `stop` fires, within the shares of the process.
///
/// # Errors
///
/// The error of the transport if it fails.
pub async fn serve(
    listener: TcpListener,
    shares: Shares,
    spread: Spread,
    stop: oneshot::Receiver<()>,
) -> Result<(), tonic::transport::Error> {
    let stopped = async {
        // A dropped sender stops the server as well.
        let _ = stop.await;
    };
    let service = RouterServer::new(RouterService { spread });
    Server::builder()
        .add_service(Bounded::new(service, RequestMemory::new(shares.messages())))
        .serve_with_incoming_shutdown(accept_nodes(listener, shares.node_connections()), stopped)
        .await
}

/// Implementation of the `Router` service.
struct RouterService {
    spread: Spread,
}

#[tonic::async_trait]
impl Router for RouterService {
    async fn spread(
        &self,
        request: Request<proto::SpreadRequest>,
    ) -> Result<Response<proto::SpreadReply>, Status> {
        let request = request.into_inner();
        let sent = request.announcements.len();
        if sent > MAX_ANNOUNCEMENTS || request.crashes.len() > MAX_CRASHES {
            return Err(Status::resource_exhausted("too many rows"));
        }
        if sent == 0 && request.crashes.is_empty() {
            return Ok(Response::new(spread_reply(self.spread.announcements())));
        }
        for crash in request.crashes {
            self.spread
                .observe_crash(crash_from_wire(crash).map_err(invalid_argument)?);
        }
        let mut outdated = Vec::new();
        for announcement in request.announcements {
            let announcement = Announcement::try_from(announcement).map_err(invalid_argument)?;
            let version = (
                announcement.upstream.clone(),
                announcement.incarnation,
                announcement.seq,
            );
            if self.spread.observe_relayed(announcement) == AnnouncementChange::Stale {
                outdated.push(version);
            }
        }
        let newer = select_newer(self.spread.announcements(), &outdated);
        Ok(Response::new(spread_reply(newer)))
    }
}

/// Upstream, incarnation and sequence number of an announcement.
type Version = (chestnutnotch_core::id::Upstream, Incarnation, u64);

/// Keeps the announcements that are newer than an outdated one of the same upstream.
fn select_newer(mut all: Vec<Announcement>, outdated: &[Version]) -> Vec<Announcement> {
    all.retain(|known| {
        outdated.iter().any(|(upstream, incarnation, seq)| {
            known.upstream == *upstream && (known.incarnation, known.seq) > (*incarnation, *seq)
        })
    });
    all
}

fn spread_reply(announcements: Vec<Announcement>) -> proto::SpreadReply {
    proto::SpreadReply {
        announcements: announcements.into_iter().map(Into::into).collect(),
    }
}

fn invalid_argument(error: WireError) -> Status {
    Status::invalid_argument(error.to_string())
}

fn crash_to_wire(crash: Crash) -> proto::Crash {
    proto::Crash {
        body: crash.body.0.to_vec(),
        upstream: crash.upstream.to_string(),
        incarnation: crash.incarnation.0,
    }
}

fn crash_from_wire(crash: proto::Crash) -> Result<Crash, WireError> {
    Ok(Crash {
        body: fingerprint(&crash.body, "Crash")?,
        upstream: crash.upstream.into(),
        incarnation: Incarnation(crash.incarnation),
    })
}
