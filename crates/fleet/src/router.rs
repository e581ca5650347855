//! A router process as a library: start, service and graceful stop.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use chestnutnotch_core::id::Holder;
use chestnutnotch_core::id::Operator;
use chestnutnotch_core::ledger::HolderLedger;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

use crate::controllers::abandoned::Abandoned;
use crate::controllers::admission::Admission;
use crate::controllers::allotment;
use crate::controllers::allotment::Allotment;
use crate::controllers::bills::Bills;
use crate::controllers::config::Config;
use crate::controllers::join::join;
use crate::controllers::lifecycle::Lifecycle;
use crate::controllers::lifecycle::Stage;
use crate::controllers::spread::Spread;
use crate::controllers::upstreams::Upstreams;
use crate::edges::http::HttpClient;
use crate::edges::http::RequestMemory;
use crate::edges::http::server;
use crate::edges::rpc::ControlClient;
use crate::edges::rpc::router;
use crate::filters::Chain;
use crate::filters::ChainParts;
use crate::filters::route::HttpHandler;
use crate::metrics::Metrics;
use crate::settings::HostSettings;
use crate::settings::RouterSettings;
use crate::settings::Settings;
use crate::timer::Timer;

/// Longest wait at a stop until all bills are stored.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(10);

/// Why a router can't start or had to end.
#[derive(Debug, Error)]
pub enum RouterError {
    /// The settings have no table for a router.
    #[error("the settings have no [router] table")]
    NoRouter,
    /// The system refused to listen on an address.
    #[error("can't listen on {address}: {source}")]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the system.
        source: std::io::Error,
    },
    /// An actor did not start.
    #[error("an actor did not start: {0}")]
    Spawn(#[from] ractor::SpawnErr),
    /// The system gave no random number.
    #[error("no random number: {0}")]
    Random(#[from] getrandom::Error),
    /// The ledger has closed this incarnation of the router. The process has to be restarted to
    /// join again.
    #[error("the ledger has closed this router: it was retired, or another start took its place")]
    Closed,
}

/// A running router process.
#[derive(Debug)]
pub struct Router {
    /// Answers callers, also while the router starts and stops.
    front: Arc<HttpHandler>,
    /// Bound addresses for callers and for other routers.
    http: SocketAddr,
    rpc: SocketAddr,
    /// Longest time that a stop waits for requests in flight.
    drain: Duration,
    /// Task that joins the ledger; none after it has ended.
    joining: Option<JoinHandle<Result<(), RouterError>>>,
    /// Servers for callers and other routers, each with a sender that stops it.
    servers: Vec<(oneshot::Sender<()>, JoinHandle<()>)>,
}

/// Runs a router until `stop` resolves or the router fails, then stops it gracefully.
///
/// # Errors
///
/// See [`RouterError`].
pub async fn run(
    settings: Settings,
    timer: Timer,
    stop: impl Future<Output = ()>,
) -> Result<(), RouterError> {
    let mut router = Router::start(settings, timer).await?;
    let outcome = tokio::select! {
        () = stop => Ok(()),
        error = router.failed() => Err(error),
    };
    router.stop().await;
    outcome
}

impl Router {
    /// Binds the addresses and starts to join the ledger. Callers are served once the router has an
    /// incarnation and a quorum has confirmed a configuration.
    ///
    /// # Errors
    ///
    /// See [`RouterError`].
    pub async fn start(settings: Settings, timer: Timer) -> Result<Self, RouterError> {
        let own = settings.router.clone().ok_or(RouterError::NoRouter)?;
        let listener = bind(own.listen).await?;
        let peers = bind(own.rpc).await?;
        let http = local_address(&listener, own.listen)?;
        let rpc = local_address(&peers, own.rpc)?;
        let drain = Duration::from_millis(own.drain);
        let shares = own.shares();
        let nonce = getrandom::u64()?;
        let joining = JoiningRouter::new(settings, own, timer).await?;
        let front = Arc::clone(&joining.front);
        let spread = front.spread.clone();
        let (stop_http, http_stopped) = oneshot::channel();
        let (stop_rpc, rpc_stopped) = oneshot::channel();
        let http_server = tokio::spawn(server::serve(listener, Arc::clone(&front), http_stopped));
        let rpc_server = tokio::spawn(async move {
            if let Err(error) = router::serve(peers, shares, spread, rpc_stopped).await {
                log::error!("serving other routers failed: {error}");
            }
        });
        Ok(Self {
            front,
            http,
            rpc,
            drain,
            joining: Some(tokio::spawn(joining.join(nonce))),
            servers: vec![(stop_http, http_server), (stop_rpc, rpc_server)],
        })
    }

    /// Returns the bound address for callers and upstreams.
    pub fn http(&self) -> SocketAddr {
        self.http
    }

    /// Returns the bound address for other routers.
    pub fn rpc(&self) -> SocketAddr {
        self.rpc
    }

    /// Waits until the router serves callers or has left the starting stage for another reason.
    pub async fn ready(&self) {
        let mut stage = self.front.lifecycle.subscribe();
        // The sender lives as long as `self`, so this can't fail.
        let _ = stage.wait_for(|stage| *stage != Stage::Starting).await;
    }

    /// Waits until the router fails. Returns why it can't serve any more.
    pub async fn failed(&mut self) -> RouterError {
        if let Some(joining) = &mut self.joining {
            let outcome = joining.await;
            self.joining = None;
            if let Ok(Err(error)) = outcome {
                return error;
            }
        }
        let mut stage = self.front.lifecycle.subscribe();
        // See `ready`.
        let _ = stage.wait_for(|stage| *stage == Stage::Closed).await;
        RouterError::Closed
    }

    /// Stops gracefully: refuses new requests, finishes those in flight, stores their bills and
    /// gives the allotments back to the ledger.
    pub async fn stop(self) {
        self.front.lifecycle.advance(Stage::Stopping);
        let idle = self.front.lifecycle.idle();
        if tokio::time::timeout(self.drain, idle).await.is_err() {
            log::warn!("requests were still in flight at the end of the drain time");
        }
        if let Some(joining) = &self.joining {
            joining.abort();
        }
        if let Some(chain) = self.front.chain.get() {
            save_and_leave(chain).await;
        }
        self.front.spread.stop();
        for (stop, server) in self.servers {
            // This fails only if the server has already ended.
            let _ = stop.send(());
            let _ = server.await;
        }
    }
}

/// Waits until all bills are stored, and then gives the allotments back to the ledger.
async fn save_and_leave(chain: &Chain) {
    let flushed = tokio::time::timeout(FLUSH_TIMEOUT, chain.bills.idle()).await;
    if flushed.is_err() {
        log::error!(
            "some bills could not be stored; their reservations stay with this router's holder"
        );
        return;
    }
    if !chain.allotment.leave().await {
        log::warn!("the allotments could not be returned; the next start on this host frees them");
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, RouterError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| RouterError::Listen { address, source })
}

/// Returns the bound address, whose port differs from the requested one if that was 0.
fn local_address(listener: &TcpListener, requested: SocketAddr) -> Result<SocketAddr, RouterError> {
    listener.local_addr().map_err(|source| RouterError::Listen {
        address: requested,
        source,
    })
}

/// A router that has not joined the ledger.
struct JoiningRouter {
    front: Arc<HttpHandler>,
    host: HostSettings,
    settings: RouterSettings,
    control: ControlClient,
    client: HttpClient,
    timer: Timer,
}

impl JoiningRouter {
    async fn new(
        settings: Settings,
        own: RouterSettings,
        timer: Timer,
    ) -> Result<Self, RouterError> {
        let host = settings.host;
        let metrics = Arc::new(Metrics::new());
        let operator = Operator::from(host.name.as_str());
        let control = ControlClient::new(settings.control, operator);
        let client = HttpClient::new();
        let other_routers = other_routers(&own);
        let shares = own.shares();
        let upstreams = Upstreams::new(
            host.centre.clone(),
            other_routers.len() as u32 + 1,
            client.clone(),
            timer.clone(),
            Arc::clone(&metrics),
        );
        let spread = Spread::start(
            &host.name,
            &other_routers,
            upstreams.clone(),
            &timer,
            Arc::clone(&metrics),
        );
        let front = HttpHandler {
            chain: OnceLock::new(),
            config: Config::start(&host, control.clone(), &timer, Arc::clone(&metrics)).await?,
            lifecycle: Lifecycle::new(Arc::clone(&metrics)),
            gate: Admission::start(upstreams.clone(), timer.clone(), Arc::clone(&metrics)).await?,
            spread: spread.await?,
            upstreams,
            bodies: RequestMemory::new(shares.requests()),
            connections: shares.connections(),
            metrics,
        };
        Ok(Self {
            front: Arc::new(front),
            settings: own,
            host,
            control,
            client,
            timer,
        })
    }

    /// Gets an incarnation and a confirmed configuration, then serves.
    async fn join(self, nonce: u64) -> Result<(), RouterError> {
        let router = join(&self.control, &self.host, nonce).await;
        log::info!("joined as {router}");
        self.front.config.set_incarnation(router.incarnation);
        let metrics = Arc::clone(&self.front.metrics);
        let allotment = Allotment::start(allotment::Parts {
            ledger: HolderLedger::new(Holder::Router(router.clone())),
            control: self.control.clone(),
            period: Duration::from_millis(self.settings.draw.max(1)),
            timer: self.timer.clone(),
            metrics: Arc::clone(&metrics),
            lifecycle: self.front.lifecycle.clone(),
        })
        .await?;
        let control = self.control.clone();
        let bills = Bills::start(control, allotment.clone(), Arc::clone(&metrics)).await?;
        let abandoned = Abandoned::start(
            self.client.clone(),
            allotment.clone(),
            self.front.upstreams.clone(),
            &self.timer,
            Arc::clone(&metrics),
        )
        .await?;
        let chain = Chain::new(ChainParts {
            settings: self.settings,
            router,
            timer: self.timer,
            control: self.control,
            client: self.client,
            allotment,
            bills,
            abandoned,
            upstreams: self.front.upstreams.clone(),
            gate: self.front.gate.clone(),
            bodies: self.front.bodies.clone(),
            metrics,
        });
        // This can't fail: the cell is set only here.
        let _ = self.front.chain.set(Arc::new(chain));
        self.front.config.ready().await;
        self.front.lifecycle.advance(Stage::Serving);
        Ok(())
    }
}

/// Returns the RPC addresses of the other routers.
fn other_routers(own: &RouterSettings) -> Vec<SocketAddr> {
    let peers = own.peers.iter().copied();
    peers.filter(|peer| *peer != own.rpc).collect()
}
