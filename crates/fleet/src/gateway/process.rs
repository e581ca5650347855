//! Processes of a fleet whose nodes find each other by gossip: a router with pass-through routes,
//! and a control host.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chestnutnotch_core::evacuation::Evacuations;
use chestnutnotch_core::id::Holder;
use chestnutnotch_core::id::Operator;
use chestnutnotch_core::ledger::DrawPolicy;
use chestnutnotch_core::ledger::HolderLedger;
use chestnutnotch_core::limit::WindowRules;
use chestnutnotch_core::roster::NodeFact;
use chestnutnotch_core::roster::Role;
use chestnutnotch_core::route::PublishedPlan;
use chestnutnotch_core::unit::Incarnation;
use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::unit::Tokens;
use chestnutnotch_core::upstream::TableConfig;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task::JoinHandle;
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
use crate::controllers::replica::FoundPeer;
use crate::controllers::replica::ReplicaHandle;
use crate::controllers::replica_status;
use crate::controllers::room::RoomHandle;
use crate::controllers::run_delay;
use crate::controllers::upstreams::Upstreams;
use crate::dialect::Dialect;
use crate::edges::gossip::GossipError;
use crate::edges::gossip::GossipSocket;
use crate::edges::http::AnswerMemory;
use crate::edges::http::HttpClient;
use crate::edges::http::RequestMemory;
use crate::edges::http::pool::Pool;
use crate::edges::http::server;
use crate::edges::http::server::Handler;
use crate::edges::rpc::Bounded;
use crate::edges::rpc::ControlClient;
use crate::edges::rpc::Referral;
use crate::edges::rpc::accept_nodes;
use crate::edges::rpc::node::NoLender;
use crate::edges::rpc::node::NodeService;
use crate::gateway::admission;
use crate::gateway::charge::AllotmentHandle;
use crate::gateway::front::Gateway;
use crate::gateway::front::RetryBudgets;
use crate::gateway::hedge::Hedging;
use crate::gateway::outage::Outage;
use crate::gateway::read::RoutesReader;
use crate::gateway::registry::Registry;
use crate::gateway::route_times::RouteTimes;
use crate::gateway::status::StatusHandler;
use crate::metrics::Metrics;
use crate::runtime::ThreadRuntime;
use crate::settings::GatewaySettings;
use crate::settings::NodeSettings;
use crate::settings::RegistrySettings;
use crate::settings::ReplicaSettings;
use crate::settings::Settings;
use crate::shares::Shares;
use crate::timer::Timer;

/// How many tokens a router draws ahead of need, and how many it may spend without a report to the
/// ledger. It serves from its allotments through a partition, at the full rate for about eight
/// seconds.
const DRAW_POLICY: DrawPolicy = DrawPolicy {
    min_ahead: Tokens(20_000),
    ahead_seconds: 60,
    exposure_seconds: 8,
    interval: Millis(400),
    scarce_interval: Millis(200),
    rate_window: Millis(5_000),
};

/// Time between reports to the ledger.
const DRAW_PERIOD: Duration = Duration::from_millis(200);

/// Time between runs of periodic maintenance, and longest time between updates of the known peers.
const MAINTENANCE_PERIOD: Duration = Duration::from_millis(250);

/// Longest wait for allotments before a router with routes takes callers. Callers without a prepaid
/// budget need no allotments.
const JOIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Time between log entries for the balances of the budgets, at the leader.
const BALANCE_LOG_PERIOD: Duration = Duration::from_secs(5);

/// Maximum number of budgets logged each time, largest first.
const MAX_LOGGED_BALANCES: usize = 24;

/// Part of the grace time reserved for returning the allotments, in milliseconds.
const ALLOTMENT_RETURN_MILLIS: u64 = 600;

/// Part of the grace time reserved for sending the last answers.
const ANSWER_MARGIN: Millis = Millis(200);

/// Time without a heartbeat after which an upstream counts as lost, while heartbeats of others
/// still arrive. It spans several heartbeats, so that a single late one does no harm.
const STALE_AFTER: Millis = Millis(5_000);

/// Why a process failed to start or ended.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// A listening socket can't be bound.
    #[error("can't listen on {address}: {source}")]
    Listen {
        /// Address of the socket.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The gossip socket can't be opened.
    #[error("can't open the gossip socket on {address}: {source}")]
    Gossip {
        /// Address of the socket.
        address: SocketAddr,
        /// Cause.
        source: GossipError,
    },
    /// The thread for requests can't be started.
    #[error("can't start the thread for requests: {0}")]
    Thread(std::io::Error),
    /// The operating system gave no random number.
    #[error("no random number: {0}")]
    Random(#[from] getrandom::Error),
    /// The control process failed.
    #[error(transparent)]
    Control(#[from] ServeError),
    /// The ledger has closed this start of the router. Only a restart can serve again.
    #[error("the ledger has closed this router: another start took its place")]
    Closed,
}

/// Runs a router until `stop` resolves, then stops it gracefully. Of the settings in `reload`, only
/// the seeds can change while it runs.
///
/// # Errors
///
/// See [`ProcessError`].
pub async fn run_router(
    reload: watch::Receiver<GatewaySettings>,
    dialect: Arc<dyn Dialect>,
    timer: Timer,
    stop: impl Future<Output = ()>,
) -> Result<(), ProcessError> {
    let settings = reload.borrow().clone();
    let router = Router::start(&settings, dialect, timer).await?;
    router.watch_settings(reload);
    let mut stage = router.gateway.lifecycle.subscribe();
    let outcome = tokio::select! {
        () = stop => Ok(()),
        // The wait can't fail, since the router owns the sender.
        _ = stage.wait_for(|stage| *stage == Stage::Closed) => Err(ProcessError::Closed),
    };
    router.stop(&settings).await;
    outcome
}

/// A running router with its HTTP servers.
///
/// Requests have a runtime of their own. Gossip, routes, reports to the ledger and readiness go on
/// in the main one however many requests there are.
struct Router {
    gateway: Arc<Gateway>,
    /// Runtime of the server for callers and of all work on their requests.
    callers: ThreadRuntime,
    /// Server for callers.
    server: JoinHandle<()>,
    /// Stops the server for callers.
    stop: oneshot::Sender<()>,
    /// Senders that keep the servers for readiness and metrics running until dropped.
    status_servers: Vec<oneshot::Sender<()>>,
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
        let base =
            NodeBase::start(own, Role::Router, Some(settings.listen), &timer, &metrics).await?;
        let control = base.control.clone();
        let gateway = Arc::new(build_gateway(settings, base, dialect, timer, metrics));
        let status = Arc::new(StatusHandler {
            lifecycle: gateway.lifecycle.clone(),
            room: Some(gateway.room.clone()),
            ready_path: gateway.dialect.ready_path(),
            metrics: Arc::clone(&gateway.metrics),
        });
        let mut stops = vec![spawn_server(ready, Arc::clone(&status)).0];
        if let Some(address) = own.metrics {
            stops.push(spawn_server(bind(address).await?, status).0);
        }
        let callers = start_callers(&gateway)?;
        let address = settings.listen;
        let listener = callers.adopt(listener);
        let listener = listener.map_err(|source| ProcessError::Listen { address, source })?;
        let (stop, stopped) = oneshot::channel();
        let server = callers.spawn(server::serve(listener, Arc::clone(&gateway), stopped));
        let node = NodeService::new(
            gateway.routes.published(),
            gateway.upstreams.evacuations(),
            Arc::new(gateway.allotments.clone()),
        );
        tokio::spawn(serve_nodes(rpc, settings.shares(), node));
        tokio::spawn(run_maintenance(Arc::clone(&gateway)));
        tokio::spawn(observe_ended_starts(Arc::clone(&gateway)));
        tokio::spawn(gateway.room.clone().report());
        let nonce = getrandom::u64()?;
        tokio::spawn(open_to_callers(
            Arc::clone(&gateway),
            control,
            own.clone(),
            nonce,
        ));
        Ok(Self {
            gateway,
            callers,
            server,
            stop,
            status_servers: stops,
        })
    }

    /// Applies changed seeds from reloaded settings.
    fn watch_settings(&self, mut reload: watch::Receiver<GatewaySettings>) {
        let nodes = self.gateway.nodes.clone();
        tokio::spawn(async move {
            while reload.changed().await.is_ok() {
                nodes.set_seeds(reload.borrow().node.seeds.clone());
            }
        });
    }

    /// Stops gracefully. The readiness check fails first, so that load balancers send no new
    /// connections. Then the servers finish the requests in flight, and unused allotments return to
    /// the ledger.
    async fn stop(self, settings: &GatewaySettings) {
        let drain = Millis(settings.linger + self.gateway.drain_timeout.as_millis() as u64);
        let end = (self.gateway.timer.now() + drain).saturating_sub(ANSWER_MARGIN);
        self.gateway.lifecycle.stop_by(end);
        self.gateway.nodes.leave();
        tokio::time::sleep(Duration::from_millis(settings.linger)).await;
        // Both fail only if the server has already ended.
        let _ = self.stop.send(());
        let _ = self.server.await;
        if let Some(allotment) = self.gateway.allotments.allotment()
            && !allotment.leave().await
        {
            log::warn!(
                "allotments were not returned to the ledger; the next start on this host frees them"
            );
        }
        drop(self.callers);
        drop(self.status_servers);
        log::info!("router has stopped");
    }
}

/// Starts the runtime for requests, and measures its delay.
fn start_callers(gateway: &Gateway) -> Result<ThreadRuntime, ProcessError> {
    let callers = ThreadRuntime::start("callers").map_err(ProcessError::Thread)?;
    let (timer, metrics) = (gateway.timer.clone(), Arc::clone(&gateway.metrics));
    callers.spawn(run_delay::measure("callers", timer, metrics));
    Ok(callers)
}

/// Builds the gateway, which has no routes or allotments yet.
fn build_gateway(
    settings: &GatewaySettings,
    base: NodeBase,
    dialect: Arc<dyn Dialect>,
    timer: Timer,
    metrics: Arc<Metrics>,
) -> Gateway {
    let rules = WindowRules {
        per_attempt: settings.retries.share,
        allowance: settings.retries.allowance,
        window: Millis(settings.retries.window),
    };
    let reserved = settings.linger + ALLOTMENT_RETURN_MILLIS;
    let shares = settings.shares();
    let room = RoomHandle::new(settings.link, timer.clone(), Arc::clone(&metrics));
    Gateway {
        routes: Routes::start(plan::Parts {
            dialect: Arc::clone(&dialect),
            control: base.control,
            nodes: base.nodes.clone(),
            timer: timer.clone(),
            metrics: Arc::clone(&metrics),
        }),
        dialect,
        lifecycle: Lifecycle::new(Arc::clone(&metrics)),
        allotments: AllotmentHandle::new(base.nodes.clone(), timer.clone(), Arc::clone(&metrics)),
        admission: admission::start(&base.upstreams, settings.memory, &timer, &metrics),
        upstreams: base.upstreams,
        pool: Pool::new(room.upstreams.clone()),
        room,
        memory: AnswerMemory::new(shares.answers()),
        bodies: RequestMemory::new(shares.requests()),
        connections: shares.connections(),
        nodes: base.nodes,
        retry_budgets: RetryBudgets::new(rules),
        hedging: Hedging::new(settings.extra_work.rules(), timer.clone()),
        route_times: RouteTimes::default(),
        drain_timeout: Duration::from_millis(settings.grace.saturating_sub(reserved)),
        timer,
        metrics,
    }
}

/// Serves the RPCs of other nodes, within the shares of the process.
async fn serve_nodes(listener: TcpListener, shares: Shares, node: NodeService) {
    let messages = RequestMemory::new(shares.messages());
    let server = Server::builder().add_service(Bounded::new(node.into_server(), messages));
    let incoming = accept_nodes(listener, shares.node_connections());
    let served = server.serve_with_incoming(incoming);
    if let Err(error) = served.await {
        log::error!(error:% = error; "the RPC server for other nodes has failed");
    }
}

/// Opens the router to callers once it has routes, and either allotments or no more time to wait
/// for them.
async fn open_to_callers(
    gateway: Arc<Gateway>,
    control: ControlClient,
    own: NodeSettings,
    nonce: u64,
) {
    let join_task = tokio::spawn(join_ledger(Arc::clone(&gateway), control, own, nonce));
    gateway.routes.ready().await;
    // Without allotments in time, the router serves the requests that need none.
    let _ = tokio::time::timeout(JOIN_TIMEOUT, join_task).await;
    gateway.lifecycle.advance(Stage::Serving);
}

/// Joins the ledger and sets the gateway's allotments.
async fn join_ledger(gateway: Arc<Gateway>, control: ControlClient, own: NodeSettings, nonce: u64) {
    let router = join(&control, &own.host(), nonce).await;
    log::info!(router:% = router; "joined the ledger");
    let parts = allotment::Parts {
        ledger: HolderLedger::with_policy(Holder::Router(router), DRAW_POLICY),
        control,
        period: DRAW_PERIOD,
        timer: gateway.timer.clone(),
        metrics: Arc::clone(&gateway.metrics),
        lifecycle: gateway.lifecycle.clone(),
    };
    match Allotment::start(parts).await {
        Ok(allotment) => gateway.allotments.set(allotment),
        Err(error) => log::error!(error:% = error; "the router has no allotments"),
    }
}

/// Parts that routers and control hosts share.
struct NodeBase {
    nodes: Nodes,
    upstreams: Upstreams,
    control: ControlClient,
}

impl NodeBase {
    /// Starts gossip and the tracking of upstreams and control replicas. `own_address` is where a
    /// router takes requests.
    async fn start(
        own: &NodeSettings,
        role: Role,
        own_address: Option<SocketAddr>,
        timer: &Timer,
        metrics: &Arc<Metrics>,
    ) -> Result<Self, ProcessError> {
        let measure = run_delay::measure("main", timer.clone(), Arc::clone(metrics));
        tokio::spawn(measure);
        let address = own.gossip;
        let gossip = GossipSocket::bind(address).await;
        let gossip = gossip.map_err(|source| ProcessError::Gossip { address, source })?;
        let rules = TableConfig {
            heartbeat_only: true,
            own_address,
            stale_after: STALE_AFTER,
            ..TableConfig::default()
        };
        let upstreams = Upstreams::with_config(
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
        control.set_referral(Referral::Any);
        let mut fixed = own.control.clone();
        if role == Role::Control && !fixed.contains(&own.rpc) {
            fixed.push(own.rpc);
        }
        tokio::spawn(track_control(nodes.clone(), control.clone(), fixed));
        Ok(Self {
            nodes,
            upstreams,
            control,
        })
    }
}

/// Keeps the client's addresses of control replicas up to date: those known by gossip, and `fixed`.
async fn track_control(nodes: Nodes, control: ControlClient, fixed: Vec<SocketAddr>) {
    let mut known = Vec::new();
    loop {
        let found = with_fixed(nodes.rpc_addresses(Role::Control), &fixed);
        if found != known {
            control.set_replicas(&found);
            known = found;
        }
        // On a timeout the addresses are checked all the same.
        let _ = tokio::time::timeout(MAINTENANCE_PERIOD, nodes.changed()).await;
    }
}

/// Returns `found` with the addresses of `fixed` that it lacks.
fn with_fixed(mut found: Vec<SocketAddr>, fixed: &[SocketAddr]) -> Vec<SocketAddr> {
    for address in fixed {
        if !found.contains(address) {
            found.push(*address);
        }
    }
    found
}

/// Runs the periodic maintenance of a router.
async fn run_maintenance(gateway: Arc<Gateway>) {
    let mut ticks = gateway.timer.every(MAINTENANCE_PERIOD);
    while ticks.recv().await.is_some() {
        gateway.prefetch_allotments();
        // No probes result, since upstreams are known by their heartbeats alone.
        gateway.upstreams.tick();
        gateway.pool.expire();
        gateway.nodes.share_evidence();
    }
}

/// Tells the table of upstreams which starts refused connections.
async fn observe_ended_starts(gateway: Arc<Gateway>) {
    loop {
        for key in gateway.pool.ended.next().await {
            let start = Incarnation(key.incarnation);
            gateway.upstreams.doubt_start(key.address, start);
        }
    }
}

/// Runs a control host until `stop` resolves. Of the settings in `reload`, only the seeds can
/// change while it runs.
///
/// # Errors
///
/// See [`ProcessError`].
pub async fn run_control(
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
        // Without a replica, it serves heartbeats and routes but no ledger.
        None => Role::Registry,
    };
    let base = NodeBase::start(own, role, None, &timer, &metrics).await?;
    let shares = settings.shares();
    let registry = Arc::new(Registry {
        dialect: Arc::clone(&dialect),
        nodes: base.nodes.clone(),
        control: base.control.clone(),
        reader: RoutesReader::default(),
        bodies: RequestMemory::new(shares.documents()),
        connections: shares.connections(),
        centres: settings.centres.clone(),
        outage: Outage::new(timer.clone()),
    });
    let mut servers = vec![spawn_server(listener, registry).0];
    if let Some(address) = own.metrics {
        let lifecycle = Lifecycle::new(Arc::clone(&metrics));
        lifecycle.advance(Stage::Serving);
        let status = Arc::new(StatusHandler {
            lifecycle,
            room: None,
            ready_path: dialect.ready_path(),
            metrics: Arc::clone(&metrics),
        });
        servers.push(spawn_server(bind(address).await?, status).0);
    }
    tokio::spawn(watch_seeds(reload, base.nodes.clone()));
    let outcome = match settings.replica.clone() {
        Some(mut replica) => {
            replica.connections = shares.node_connections();
            replica.messages = shares.messages();
            run_replica(own, replica, rpc, &base.nodes, metrics, timer, stop).await
        }
        None => {
            stop.await;
            Ok(())
        }
    };
    base.nodes.leave();
    drop(servers);
    Ok(outcome?)
}

/// Runs the replica of a control host until `stop` resolves.
async fn run_replica(
    own: &NodeSettings,
    replica: ReplicaSettings,
    rpc: TcpListener,
    nodes: &Nodes,
    metrics: Arc<Metrics>,
    timer: Timer,
    stop: impl Future<Output = ()> + Send,
) -> Result<(), ServeError> {
    let control_settings = Settings {
        host: own.host(),
        control: own.control.clone(),
        replica: Some(replica),
        router: None,
    };
    let control = Control::start(control_settings, rpc, timer.clone()).await?;
    let replica = control.replica();
    tokio::spawn(track_peers(nodes.clone(), replica.clone()));
    tokio::spawn(log_balances(replica.clone(), timer.clone()));
    tokio::spawn(replica_status::report(replica.clone(), metrics, timer));
    let client = control.client().clone();
    client.set_referral(Referral::Any);
    tokio::spawn(track_control(nodes.clone(), client, own.control.clone()));
    let plan = replica.plan();
    tokio::spawn(announce_plan(plan.clone(), nodes.clone()));
    let evacuations = replica.evacuations();
    tokio::spawn(announce_evacuations(evacuations.clone(), nodes.clone()));
    let node = NodeService::new(plan, evacuations, Arc::new(NoLender));
    control.run(Some(node), stop).await
}

/// Applies changed seeds from reloaded settings.
async fn watch_seeds(mut reload: watch::Receiver<RegistrySettings>, nodes: Nodes) {
    while reload.changed().await.is_ok() {
        let seeds = reload.borrow().node.seeds.clone();
        nodes.set_seeds(seeds);
    }
}

/// Keeps a replica's addresses of the other replicas up to date.
async fn track_peers(nodes: Nodes, replica: ReplicaHandle) {
    loop {
        let found = nodes
            .with_role(Role::Control)
            .into_iter()
            .map(|node| FoundPeer {
                address: node.rpc,
                centre: node.centre,
            });
        replica.set_peers(found.collect());
        // On a timeout the addresses are updated all the same.
        let _ = tokio::time::timeout(MAINTENANCE_PERIOD, nodes.changed()).await;
    }
}

/// Logs the balances of the largest budgets periodically. Only the leader can read them.
async fn log_balances(replica: ReplicaHandle, timer: Timer) {
    let mut ticks = timer.every(BALANCE_LOG_PERIOD);
    while ticks.recv().await.is_some() {
        let Ok(mut balances) = replica.read(|machine| machine.ledger().balances()).await else {
            continue;
        };
        balances.sort_by_key(|balance| std::cmp::Reverse(balance.prepaid));
        for balance in balances.into_iter().take(MAX_LOGGED_BALANCES) {
            log::info!(
                budget:% = balance.budget, prepaid = balance.prepaid.0,
                unallotted = balance.unallotted.0, allotted = balance.allotted.0,
                spent = (balance.wasted + balance.billed).0, unknown = balance.unknown.0;
                "budget"
            );
        }
    }
}

/// Announces to the other nodes which version of the routes this replica has applied.
async fn announce_plan(mut plan: watch::Receiver<PublishedPlan>, nodes: Nodes) {
    loop {
        let version = plan.borrow_and_update().version;
        if version > 0 {
            log::info!(version; "routes applied");
            nodes.set_plan_version(version);
        }
        if plan.changed().await.is_err() {
            return;
        }
    }
}

/// Announces to the other nodes the evacuations that this replica has applied.
async fn announce_evacuations(mut applied: watch::Receiver<Evacuations>, nodes: Nodes) {
    loop {
        let evacuations = applied.borrow_and_update().clone();
        nodes.apply_evacuations(&evacuations);
        if applied.changed().await.is_err() {
            return;
        }
    }
}

/// Spawns an HTTP server. Returns the sender that stops it, also when dropped, and its task.
fn spawn_server(
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
