//! RPC between routers: client and server of the `Router` service.

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
use tokio_stream::wrappers::TcpListenerStream;
use tonic::Request;
use tonic::Response;
use tonic::Status;
use tonic::transport::Channel;
use tonic::transport::Endpoint;
use tonic::transport::Server;

use crate::controllers::spread::Spread;
use crate::controllers::upstreams::AnnouncementChange;

const CONNECT_WITHIN: Duration = Duration::from_millis(500);
const ANSWER_WITHIN: Duration = Duration::from_millis(1_000);
const ANNOUNCEMENTS: usize = 20_000;
const CRASHES: usize = 4_096;

/// Why another router gave no answer.
#[derive(Debug, Error)]
pub enum SpreadError {
    /// No answer.
    #[error("no answer: {0}")]
    Status(#[from] Status),
    /// Its address makes no endpoint.
    #[error("bad address: {0}")]
    Address(#[from] tonic::transport::Error),
    /// Its answer could not be read.
    #[error("malformed answer: {0}")]
    Malformed(#[from] WireError),
}

/// Client of one other router. Connects when first used. Cheap to clone.
#[derive(Clone, Debug)]
pub struct RouterClient {
    address: SocketAddr,
    channel: Option<Channel>,
}

impl RouterClient {
    /// A client of the router at this address.
    pub fn new(address: SocketAddr) -> Self {
        let endpoint = Endpoint::from_shared(format!("http://{address}"));
        let channel = endpoint.ok().map(|endpoint| {
            endpoint
                .connect_timeout(CONNECT_WITHIN)
                .timeout(ANSWER_WITHIN)
                .tcp_nodelay(true)
                .connect_lazy()
        });
        Self { address, channel }
    }

    /// Sends announcements and crash evidence. Returns what the other router knew better; with
    /// nothing sent, all that it knows.
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

/// Serves the other routers until `stop` is told.
///
/// # Errors
///
/// If the transport fails.
pub async fn serve(
    listener: TcpListener,
    spread: Spread,
    stop: oneshot::Receiver<()>,
) -> Result<(), tonic::transport::Error> {
    let ended = async {
        // A dropped sender ends the server as well.
        let _ = stop.await;
    };
    Server::builder()
        .add_service(RouterServer::new(RouterService { spread }))
        .serve_with_incoming_shutdown(TcpListenerStream::new(listener), ended)
        .await
}

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
        if sent > ANNOUNCEMENTS || request.crashes.len() > CRASHES {
            return Err(Status::resource_exhausted("too many rows"));
        }
        if sent == 0 && request.crashes.is_empty() {
            return Ok(Response::new(reply(self.spread.announcements())));
        }
        for crash in request.crashes {
            self.spread
                .observe_crash(crash_from_wire(crash).map_err(bad)?);
        }
        let mut outdated = Vec::new();
        for said in request.announcements {
            let said = Announcement::try_from(said).map_err(bad)?;
            let version = (said.upstream.clone(), said.incarnation, said.seq);
            if self.spread.observe_relayed(said) == AnnouncementChange::Stale {
                outdated.push(version);
            }
        }
        let newer = newer(self.spread.announcements(), &outdated);
        Ok(Response::new(reply(newer)))
    }
}

type Version = (chestnutnotch_core::id::Upstream, Incarnation, u64);

fn newer(mut all: Vec<Announcement>, outdated: &[Version]) -> Vec<Announcement> {
    all.retain(|known| {
        outdated.iter().any(|(upstream, incarnation, seq)| {
            known.upstream == *upstream && (known.incarnation, known.seq) > (*incarnation, *seq)
        })
    });
    all
}

fn reply(announcements: Vec<Announcement>) -> proto::SpreadReply {
    proto::SpreadReply {
        announcements: announcements.into_iter().map(Into::into).collect(),
    }
}

fn bad(error: WireError) -> Status {
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
