//! Whole processes of a system whose nodes find each other: a router of pass-through routes, and a
//! control host.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chestnutnotch_core::id::Holder;
use chestnutnotch_core::id::Operator;
use chestnutnotch_core::ledger::DrawPolicy;
use chestnutnotch_core::ledger::HolderLedger;
use chestnutnotch_core::limit::WindowRules;
use chestnutnotch_core::roster::NodeFact;
use chestnutnotch_core::roster::Role;
use chestnutnotch_core::route::PublishedPlan;
use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::unit::Tokens;
use chestnutnotch_core::upstream::TableConfig;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::transport::Server;

use crate::control::Control;
use crate::control::ServeError;
use crate::controllers::allotment;
use crate::controllers::allotment::Allotment;
use crate::controllers::join::join;
use crate::controllers::lifecycle::Lifecycle;
use crate::controllers::lifecycle::Stage;
use crate::controllers::nodes::Nodes;
use crate::controllers::plan;
use crate::controllers::plan::Routes;
use crate::controllers::replica::ReplicaHandle;
use crate::controllers::upstreams::Upstreams;
use crate::dialect::Dialect;
use crate::edges::gossip::Gossip;
use crate::edges::gossip::GossipError;
use crate::edges::http::HttpClient;
use crate::edges::http::pool::Pool;
use crate::edges::http::server;
use crate::edges::http::server::Handler;
use crate::edges::rpc::ControlClient;
use crate::edges::rpc::node::NoLender;
use crate::edges::rpc::node::NodeService;
use crate::gateway::charge::Wallet;
use crate::gateway::front::Front;
use crate::gateway::front::Retries;
use crate::gateway::registry::Registry;
use crate::gateway::status::Status;
use crate::metrics::Metrics;
use crate::settings::GatewaySettings;
use crate::settings::NodeSettings;
use crate::settings::RegistrySettings;
use crate::settings::ReplicaSettings;
use crate::settings::Settings;
use crate::timer::Timer;

/// How far ahead a router draws, and what it may spend without a report: it serves from its
/// allotments through a partition, in full for about eight seconds.
const PACE: DrawPolicy = DrawPolicy {
    min_ahead: Tokens(20_000),
    ahead_seconds: 60,
    exposure_seconds: 8,
    interval: Millis(400),
    scarce_interval: Millis(200),
    rate_window: Millis(5_000),
};

/// Time between two reports to the ledger.
const DRAW_PERIOD: Duration = Duration::from_millis(200);

/// Time between two looks at what has expired.
const CHORE_PERIOD: Duration = Duration::from_millis(250);

/// Longest wait for allotments before a router with routes takes callers: those of plain services
/// need none.
const JOIN_WITHIN: Duration = Duration::from_secs(2);

/// Time between two accounts of the budgets in the leader's log.
const ACCOUNT_PERIOD: Duration = Duration::from_secs(5);

/// Most budgets in one account, the largest first.
const ACCOUNT_LINES: usize = 24;

/// Part of the grace time that is kept for the return of the allotments.
const LEAVE_MILLIS: u64 = 600;

/// Time without a heartbeat after which an upstream counts as lost while others are heard: several
/// heartbeats, one of which may be late.
const STALE_MILLIS: Millis = Millis(5_000);

/// Why a process does not start, or ends.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// An address can't be listened on.
    #[error("can't listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// The socket for packets can't be opened.
    #[error("packets on {address}: {source}")]
    Gossip {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: GossipError,
    },
    /// No random number was to be had.
    #[error("no random number: {0}")]
    Random(#[from] getrandom::Error),
    /// The control process failed.
    #[error(transparent)]
    Control(#[from] ServeError),
    /// The ledger has closed this start of the router; a new start is needed.
    #[error("the ledger has closed this router: another start took its place")]
    Closed,
}

/// Runs a router until `stop`, then stops it gracefully. Changed settings are taken from `reload`.
///
/// # Errors
///
/// See [`ProcessError`].
pub async fn route(
    reload: watch::Receiver<GatewaySettings>,
    dialect: Arc<dyn Dialect>,
    timer: Timer,
    stop: impl Future<Output = ()>,
) -> Result<(), ProcessError> {
    let settings = reload.borrow().clone();
    let router = Router::start(&settings, dialect, timer).await?;
    router.follow(reload);
    let mut stage = router.front.lifecycle.follow();
    let outcome = tokio::select! {
        () = stop => Ok(()),
        // The sender lives as long as the router.
        _ = stage.wait_for(|stage| *stage == Stage::Closed) => Err(ProcessError::Closed),
    };
    router.stop(&settings).await;
    outcome
}

/// A running router.
struct Router {
    front: Arc<Front>,
    servers: Vec<(oneshot::Sender<()>, JoinHandle<()>)>,
    status: Vec<oneshot::Sender<()>>,
}

impl Router {
    async fn start(
        settings: &GatewaySettings,
        dialect: Arc<dyn Dialect>,
        timer: Timer,
    ) -> Result<Self, ProcessError> {
        let own = &settings.node;
        let listener = bind(settings.listen).await?;
        let ready = bind(settings.ready).await?;
        let rpc = bind(own.rpc).await?;
        let metrics = Arc::new(Metrics::new());
        let base = Base::start(own, Role::Router, &timer, &metrics).await?;
        let control = base.control.clone();
        let front = Arc::new(front(settings, base, dialect, timer, metrics));
        let status = Arc::new(Status {
            lifecycle: front.lifecycle.clone(),
            ready: front.dialect.ready_path(),
            metrics: Arc::clone(&front.metrics),
        });
        let mut answering = vec![spawn(ready, Arc::clone(&status)).0];
        if let Some(address) = own.metrics {
            answering.push(spawn(bind(address).await?, status).0);
        }
        let node = NodeService::new(front.routes.held(), Arc::new(front.wallet.clone()));
        tokio::spawn(serve_nodes(rpc, node));
        tokio::spawn(chores(Arc::clone(&front)));
        let nonce = getrandom::u64()?;
        tokio::spawn(open(Arc::clone(&front), control, own.clone(), nonce));
        Ok(Self {
            servers: vec![spawn(listener, Arc::clone(&front))],
            front,
            status: answering,
        })
    }

    /// Takes changed settings in.
    fn follow(&self, mut reload: watch::Receiver<GatewaySettings>) {
        let nodes = self.front.nodes.clone();
        tokio::spawn(async move {
            while reload.changed().await.is_ok() {
                let seeds = reload.borrow().node.seeds.clone();
                nodes.reseed(seeds);
            }
        });
    }

    /// Stops: no new connections, then no new requests, then the end of those in flight.
    async fn stop(self, settings: &GatewaySettings) {
        self.front.lifecycle.advance(Stage::Stopping);
        self.front.nodes.leave();
        tokio::time::sleep(Duration::from_millis(settings.linger)).await;
        for (stop, server) in self.servers {
            // A server that has ended needs no word.
            let _ = stop.send(());
            let _ = server.await;
        }
        if let Some(allotment) = self.front.wallet.allotment()
            && !allotment.leave().await
        {
            log::warn!("allotments not returned; the next start on this host frees them");
        }
        drop(self.status);
        log::info!("router has stopped");
    }
}

/// What serves callers, before it has routes or allotments.
fn front(
    settings: &GatewaySettings,
    base: Base,
    dialect: Arc<dyn Dialect>,
    timer: Timer,
    metrics: Arc<Metrics>,
) -> Front {
    let rules = WindowRules {
        per_attempt: settings.retries.share,
        allowance: settings.retries.allowance,
        window: Millis(settings.retries.window),
    };
    let spent = settings.linger + LEAVE_MILLIS;
    Front {
        routes: Routes::start(plan::Parts {
            dialect: Arc::clone(&dialect),
            control: base.control,
            nodes: base.nodes.clone(),
            timer: timer.clone(),
            metrics: Arc::clone(&metrics),
        }),
        dialect,
        lifecycle: Lifecycle::new(Arc::clone(&metrics)),
        wallet: Wallet::new(base.nodes.clone(), timer.clone()),
        upstreams: base.upstreams,
        pool: Pool::default(),
        nodes: base.nodes,
        retries: Retries::new(rules),
        close: Duration::from_millis(settings.grace.saturating_sub(spent)),
        timer,
        metrics,
    }
}

/// Answers calls of other nodes.
async fn serve_nodes(listener: TcpListener, node: NodeService) {
    let server = Server::builder().add_service(node.into_server());
    let served = server.serve_with_incoming(TcpListenerStream::new(listener));
    if let Err(error) = served.await {
        log::error!(error:% = error; "calls of other nodes are no longer answered");
    }
}

/// Opens the router for callers: routes first, then allotments, for which plain services don't wait.
async fn open(front: Arc<Front>, control: ControlClient, own: NodeSettings, nonce: u64) {
    let joining = tokio::spawn(fund(Arc::clone(&front), control, own, nonce));
    front.routes.ready().await;
    // Without allotments in time the router serves what needs none.
    let _ = tokio::time::timeout(JOIN_WITHIN, joining).await;
    front.lifecycle.advance(Stage::Serving);
}

/// Joins the ledger and fills the wallet.
async fn fund(front: Arc<Front>, control: ControlClient, own: NodeSettings, nonce: u64) {
    let router = join(&control, &own.host(), nonce).await;
    log::info!(router:% = router; "joined the ledger");
    let parts = allotment::Parts {
        purse: HolderLedger::with_policy(Holder::Router(router), PACE),
        control,
        period: DRAW_PERIOD,
        timer: front.timer.clone(),
        metrics: Arc::clone(&front.metrics),
        lifecycle: front.lifecycle.clone(),
    };
    match Allotment::start(parts).await {
        Ok(allotment) => front.wallet.fill(allotment),
        Err(error) => log::error!(error:% = error; "no allotments"),
    }
}

/// What both kinds of nodes are built on.
struct Base {
    nodes: Nodes,
    upstreams: Upstreams,
    control: ControlClient,
}

impl Base {
    async fn start(
        own: &NodeSettings,
        role: Role,
        timer: &Timer,
        metrics: &Arc<Metrics>,
    ) -> Result<Self, ProcessError> {
        let address = own.gossip;
        let gossip = Gossip::bind(address).await;
        let gossip = gossip.map_err(|source| ProcessError::Gossip { address, source })?;
        let rules = TableConfig {
            heartbeat_only: true,
            stale_after: STALE_MILLIS,
            ..TableConfig::default()
        };
        let upstreams = Upstreams::with(
            own.centre.clone(),
            rules,
            0,
            HttpClient::new(),
            timer.clone(),
            Arc::clone(metrics),
        );
        let fact = NodeFact {
            host: own.name.clone(),
            role,
            centre: own.centre.clone(),
            address,
            rpc: own.rpc,
            start: timer.unix().0,
            beat: 0,
            leaving: false,
            plan: 0,
        };
        let nodes = Nodes::start(
            fact,
            own.seeds.clone(),
            gossip,
            upstreams.clone(),
            timer.clone(),
        );
        let operator = Operator::from(own.name.as_str());
        let control = ControlClient::new(own.control.clone(), operator);
        let mut always = own.control.clone();
        if role == Role::Control && !always.contains(&own.rpc) {
            always.push(own.rpc);
        }
        tokio::spawn(meet(nodes.clone(), control.clone(), always));
        Ok(Self {
            nodes,
            upstreams,
            control,
        })
    }
}

/// Keeps a client's view of the control replicas up to date: those heard of, and `always`.
async fn meet(nodes: Nodes, control: ControlClient, always: Vec<SocketAddr>) {
    let mut known = Vec::new();
    loop {
        let found = with_all(nodes.rpc(Role::Control), &always);
        if found != known {
            control.meet(&found);
            known = found;
        }
        // The next look comes anyway.
        let _ = tokio::time::timeout(CHORE_PERIOD, nodes.changed()).await;
    }
}

fn with_all(mut found: Vec<SocketAddr>, always: &[SocketAddr]) -> Vec<SocketAddr> {
    for address in always {
        if !found.contains(address) {
            found.push(*address);
        }
    }
    found
}

/// What is due regularly at a router.
async fn chores(front: Arc<Front>) {
    let mut ticks = front.timer.every(CHORE_PERIOD);
    while ticks.recv().await.is_some() {
        front.expect_budgets();
        // Upstreams that can't be asked give no probes.
        front.upstreams.tick();
        front.pool.expire();
        front.nodes.warn(front.upstreams.crashes());
    }
}

/// Runs a control host until `stop`.
///
/// # Errors
///
/// See [`ProcessError`].
pub async fn register(
    reload: watch::Receiver<RegistrySettings>,
    dialect: Arc<dyn Dialect>,
    timer: Timer,
    stop: impl Future<Output = ()> + Send,
) -> Result<(), ProcessError> {
    let settings = reload.borrow().clone();
    let own = &settings.node;
    let listener = bind(settings.listen).await?;
    let rpc = bind(own.rpc).await?;
    let metrics = Arc::new(Metrics::new());
    let role = match settings.replica {
        Some(_) => Role::Control,
        // Nobody asks it for the ledger.
        None => Role::Registry,
    };
    let base = Base::start(own, role, &timer, &metrics).await?;
    let registry = Arc::new(Registry {
        dialect: Arc::clone(&dialect),
        nodes: base.nodes.clone(),
        upstreams: base.upstreams.clone(),
        control: base.control.clone(),
    });
    let mut servers = vec![spawn(listener, registry).0];
    if let Some(address) = own.metrics {
        let lifecycle = Lifecycle::new(Arc::clone(&metrics));
        lifecycle.advance(Stage::Serving);
        let status = Arc::new(Status {
            lifecycle,
            ready: dialect.ready_path(),
            metrics,
        });
        servers.push(spawn(bind(address).await?, status).0);
    }
    tokio::spawn(reseed(reload, base.nodes.clone()));
    let outcome = match settings.replica.clone() {
        Some(replica) => replicate(own, replica, rpc, &base.nodes, timer, stop).await,
        None => {
            stop.await;
            Ok(())
        }
    };
    base.nodes.leave();
    drop(servers);
    Ok(outcome?)
}

/// Runs the replica of a control host until `stop`.
async fn replicate(
    own: &NodeSettings,
    replica: ReplicaSettings,
    rpc: TcpListener,
    nodes: &Nodes,
    timer: Timer,
    stop: impl Future<Output = ()> + Send,
) -> Result<(), ServeError> {
    let whole = Settings {
        host: own.host(),
        control: own.control.clone(),
        replica: Some(replica),
        router: None,
    };
    let control = Control::start(whole, rpc, timer.clone()).await?;
    let replica = control.replica();
    tokio::spawn(introduce(nodes.clone(), replica.clone()));
    tokio::spawn(account(replica.clone(), timer));
    let client = control.client().clone();
    tokio::spawn(meet(nodes.clone(), client, own.control.clone()));
    let plan = replica.plan();
    tokio::spawn(hold(plan.clone(), nodes.clone()));
    let node = NodeService::new(plan, Arc::new(NoLender));
    control.run(Some(node), stop).await
}

async fn reseed(mut reload: watch::Receiver<RegistrySettings>, nodes: Nodes) {
    while reload.changed().await.is_ok() {
        let seeds = reload.borrow().node.seeds.clone();
        nodes.reseed(seeds);
    }
}

/// Tells a replica where the others are.
async fn introduce(nodes: Nodes, replica: ReplicaHandle) {
    loop {
        replica.set_peers(nodes.rpc(Role::Control));
        // The next look comes anyway.
        let _ = tokio::time::timeout(CHORE_PERIOD, nodes.changed()).await;
    }
}

/// Logs where the tokens of each budget are, at the leader.
async fn account(replica: ReplicaHandle, timer: Timer) {
    let mut ticks = timer.every(ACCOUNT_PERIOD);
    while ticks.recv().await.is_some() {
        let Ok(mut balances) = replica.read(|machine| machine.ledger().balances()).await else {
            continue;
        };
        balances.sort_by_key(|balance| std::cmp::Reverse(balance.prepaid));
        for balance in balances.into_iter().take(ACCOUNT_LINES) {
            log::info!(
                budget:% = balance.budget, prepaid = balance.prepaid.0,
                unallotted = balance.unallotted.0, allotted = balance.allotted.0,
                spent = (balance.wasted + balance.billed).0, unknown = balance.unknown.0;
                "budget"
            );
        }
    }
}

/// Tells the others which routes this replica has applied.
async fn hold(mut plan: watch::Receiver<PublishedPlan>, nodes: Nodes) {
    loop {
        let version = plan.borrow_and_update().version;
        if version > 0 {
            log::info!(version; "routes applied");
            nodes.hold(version);
        }
        if plan.changed().await.is_err() {
            return;
        }
    }
}

fn spawn(
    listener: TcpListener,
    handler: Arc<impl Handler>,
) -> (oneshot::Sender<()>, JoinHandle<()>) {
    let (stop, stopped) = oneshot::channel();
    let server = tokio::spawn(server::serve(listener, handler, stopped));
    (stop, server)
}

async fn bind(address: SocketAddr) -> Result<TcpListener, ProcessError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| ProcessError::Listen { address, source })
}
