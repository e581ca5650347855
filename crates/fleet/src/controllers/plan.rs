//! The active pass-through routes of this router: the highest version received.
//!
//! The first version comes from a quorum of the control replicas, or from a router that already
//! serves: a single replica may be isolated and have an old version. Later versions are fetched
//! from any node that has a newer one. A lower version never replaces a higher one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chestnutnotch_core::roster::NodeFact;
use chestnutnotch_core::roster::Role;
use chestnutnotch_core::route::FetchTimeout;
use chestnutnotch_core::route::Plan;
use chestnutnotch_core::route::PublishedPlan;
use chestnutnotch_core::route::RouteIndex;
use chestnutnotch_core::route::WorkspaceSpec;
use chestnutnotch_core::unit::Millis;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::sync::watch;

use crate::controllers::nodes::Nodes;
use crate::dialect::Dialect;
use crate::edges::rpc::ControlClient;
use crate::edges::rpc::document::Held;
use crate::edges::rpc::node::NodeConnection;
use crate::edges::rpc::node::NodeError;
use crate::keys;
use crate::keys::KeyIndex;
use crate::metrics::Metrics;
use crate::timer::Timer;

/// Timeout of asking the control replicas for confirmed routes.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(500);

/// First timeout of fetching another node's routes; allows for a large set over a slow link.
const MIN_FETCH_TIMEOUT: Millis = Millis(800);

/// Bound on the timeout of fetching another node's routes after other fetches expired; allows for a
/// large set that several nodes fetch over the same link.
const MAX_FETCH_TIMEOUT: Millis = Millis(3_200);

/// Time after which another connection is opened beside those that are in progress: many round
/// trips within a region.
const CONNECT_STAGGER: Duration = Duration::from_millis(250);

/// Time between two checks for newer routes, if no change of the membership comes earlier.
const POLL_PERIOD: Duration = Duration::from_millis(200);

/// Opens a connection to a node, and returns the node with it.
async fn open(holder: NodeFact) -> (NodeFact, Result<NodeConnection, NodeError>) {
    let opened = NodeConnection::open(holder.rpc).await;
    (holder, opened)
}

/// A version of the routes with indexes by host, path and key.
#[derive(Debug)]
pub struct ActiveRoutes {
    /// The routes, indexed by host and path.
    pub index: RouteIndex,
    /// When this router activated them, by the timer's clock.
    pub activated_at: Millis,
    keys: KeyIndex,
}

impl ActiveRoutes {
    /// Indexes the routes and keys of a plan.
    pub fn new(plan: Plan, activated_at: Millis) -> Self {
        let mut index = KeyIndex::default();
        for (owner, spec) in plan.workspaces.iter().flatten().enumerate() {
            for key in &spec.keys {
                index.insert(keys::hash(key), owner);
            }
        }
        Self {
            index: RouteIndex::new(Arc::new(plan)),
            activated_at,
            keys: index,
        }
    }

    /// Returns the version of the routes.
    pub fn version(&self) -> u64 {
        self.index.plan().version
    }

    /// Returns whether callers need a key.
    pub fn is_keyed(&self) -> bool {
        self.index.plan().workspaces.is_some()
    }

    /// Returns the workspace that a key belongs to.
    pub fn workspace(&self, key: &str) -> Option<&WorkspaceSpec> {
        let owner = self.keys.find(key)?;
        self.index.plan().workspaces.as_ref()?.get(owner)
    }
}

/// Parameters of [`Routes::start`].
#[derive(Clone, Debug)]
pub struct Parts {
    /// Parses the published documents.
    pub dialect: Arc<dyn Dialect>,
    /// Client of the control replicas.
    pub control: ControlClient,
    /// Gossip membership, which tells who has newer routes.
    pub nodes: Nodes,
    /// Clock for the activation time.
    pub timer: Timer,
    /// Shows the active version.
    pub metrics: Arc<Metrics>,
}

/// A handle on the active routes. Cheap to clone.
#[derive(Clone, Debug)]
pub struct Routes {
    current: watch::Receiver<Option<Arc<ActiveRoutes>>>,
    published: watch::Receiver<PublishedPlan>,
}

impl Routes {
    /// Starts the task that follows the published routes.
    pub fn start(parts: Parts) -> Self {
        let (tx, current) = watch::channel(None);
        let (publish, published) = watch::channel(PublishedPlan::default());
        let follower = Follower {
            parts,
            tx,
            publish,
            failed: Vec::new(),
            timeout: FetchTimeout::new(MIN_FETCH_TIMEOUT, MAX_FETCH_TIMEOUT),
        };
        tokio::spawn(follower.run());
        Self { current, published }
    }

    /// Returns the active routes, or none before the first version.
    pub fn current(&self) -> Option<Arc<ActiveRoutes>> {
        self.current.borrow().clone()
    }

    /// Returns a receiver of the active document, which is served to other nodes.
    pub fn published(&self) -> watch::Receiver<PublishedPlan> {
        self.published.clone()
    }

    /// Waits for the first routes.
    pub async fn ready(&self) {
        let mut current = self.current.clone();
        // This can't fail: the follower runs as long as the process.
        let _ = current.wait_for(Option::is_some).await;
    }
}

/// Task that keeps the routes of this router up to date.
struct Follower {
    parts: Parts,
    tx: watch::Sender<Option<Arc<ActiveRoutes>>>,
    /// Sends the active document; its version is 0 before the first one.
    publish: watch::Sender<PublishedPlan>,
    /// Nodes that a fetch from has failed since the last one that succeeded.
    failed: Vec<SocketAddr>,
    /// Timeout of the next fetch.
    timeout: FetchTimeout,
}

impl Follower {
    /// Waits for the first routes, and then follows newer ones for as long as the process runs.
    async fn run(mut self) {
        while self.tx.borrow().is_none() {
            if let Some(held) = self.fetch_initial().await {
                self.activate(held);
            } else {
                tokio::time::sleep(POLL_PERIOD).await;
            }
        }
        let mut heard = 0;
        loop {
            let holder = self.parts.nodes.newest_plan_holder(None, &self.failed);
            if let Some(peer) = holder {
                if peer.plan > heard {
                    heard = peer.plan;
                    log::info!(version = peer.plan, holder:% = peer.host; "newer routes known");
                }
                self.fetch_newer(peer).await;
                continue;
            }
            // After the timeout, the next check is due anyway.
            let _ = tokio::time::timeout(POLL_PERIOD, self.parts.nodes.changed()).await;
        }
    }

    /// Fetches newer routes from this node or another one, and activates them.
    async fn fetch_newer(&mut self, holder: NodeFact) {
        match self.fetch(holder, None).await {
            Some(held) => self.activate(held),
            None => tokio::time::sleep(POLL_PERIOD / 4).await,
        }
    }

    /// Fetches newer routes over the connection that opens first: to `first`, or to another node
    /// with this role. Returns `None` if all connections fail.
    ///
    /// A connection that takes long stays in progress while others are opened: either its node has
    /// stopped answering, or packets to and from all nodes take long.
    async fn fetch(&mut self, first: NodeFact, role: Option<Role>) -> Option<Held> {
        let mut connecting = FuturesUnordered::new();
        let mut tried = self.failed.clone();
        let mut next = Some(first);
        loop {
            if let Some(holder) = next.take() {
                tried.push(holder.rpc);
                connecting.push(open(holder));
            }
            let opened = tokio::time::timeout(CONNECT_STAGGER, connecting.next()).await;
            let is_late = opened.is_err();
            match opened {
                Ok(Some((holder, Ok(connection)))) => {
                    if let Some(held) = self.fetch_over(&holder, connection).await {
                        return Some(held);
                    }
                }
                Ok(Some((holder, Err(error)))) => self.record_failure(&holder, &error),
                Ok(None) => return None,
                Err(_) => {}
            }
            // A node is tried again only if all connections are late, not if it has just failed.
            let holder = self.parts.nodes.newest_plan_holder(role, &tried);
            next = holder.filter(|holder| is_late || !tried.contains(&holder.rpc));
        }
    }

    /// Fetches the routes of a node. Returns `None` if that fails or they are not newer.
    async fn fetch_over(&mut self, holder: &NodeFact, connection: NodeConnection) -> Option<Held> {
        let own = self.publish.borrow().version;
        let connecting = Millis(connection.delay.as_millis() as u64);
        let timeout = Duration::from_millis(self.timeout.current(connecting).0);
        let start = self.parts.timer.now();
        let fetched = connection.fetch_plan(own, timeout).await;
        match fetched {
            Ok(held) if held.plan.version > own => {
                let ms = self.parts.timer.now().saturating_sub(start).0;
                log::info!(version = held.plan.version, holder:% = holder.host, connecting_ms = connecting.0, ms; "newer routes fetched");
                self.parts.metrics.plan_fetches.add("fetched");
                self.failed.clear();
                self.timeout.record_success();
                return Some(held);
            }
            Ok(held) => {
                // The node has restarted since it announced its version.
                self.parts.metrics.plan_fetches.add("stale");
                log::warn!(version = holder.plan, held = held.plan.version, holder:% = holder.host; "node has no newer routes");
                self.record_failed(holder.rpc);
            }
            Err(error) => {
                if matches!(error, NodeError::TimedOut(_)) {
                    self.timeout.record_expired();
                }
                self.record_failure(holder, &error);
            }
        }
        None
    }

    /// Records a connection or a call that has failed.
    fn record_failure(&mut self, holder: &NodeFact, error: &NodeError) {
        self.parts.metrics.plan_fetches.add(error.label());
        log::warn!(error:% = error, version = holder.plan, holder:% = holder.host; "fetching newer routes failed");
        self.record_failed(holder.rpc);
    }

    /// Prefers other nodes to this one until a fetch succeeds.
    fn record_failed(&mut self, address: SocketAddr) {
        if self.failed.contains(&address) {
            // All holders have failed, so each of them is due again.
            self.failed.clear();
        }
        self.failed.push(address);
    }

    /// Returns routes that a quorum confirms, or else those of a router that already serves.
    async fn fetch_initial(&mut self) -> Option<Held> {
        match self.parts.control.plan(0, CONFIRM_TIMEOUT).await {
            Ok(held) if held.plan.version > 0 => return Some(held),
            Ok(_) => return None,
            Err(error) => log::debug!(error:% = error; "no quorum confirmed the routes yet"),
        }
        let nodes = &self.parts.nodes;
        let peer = nodes.newest_plan_holder(Some(Role::Router), &self.failed)?;
        self.fetch(peer, Some(Role::Router)).await
    }

    /// Activates routes if they are newer. The evacuations that came with them are in force before.
    fn activate(&self, held: Held) {
        self.parts.nodes.observe_evacuations(held.evacuations);
        let held = held.plan;
        if held.version <= self.publish.borrow().version {
            return;
        }
        let plan = match self.parts.dialect.decode_plan(&held.source) {
            Ok(plan) => plan,
            Err(error) => {
                // Control hosts check documents before they accept them, so this node runs another
                // version of the software.
                log::error!(error:% = error, version = held.version; "published routes can't be parsed");
                return;
            }
        };
        let version = held.version;
        let routes = plan.routes.len();
        let services = plan.services.iter().map(|spec| spec.name.clone());
        self.parts.nodes.set_services(services);
        let active = ActiveRoutes::new(plan, self.parts.timer.now());
        self.tx.send_replace(Some(Arc::new(active)));
        self.publish.send_replace(held);
        self.parts.metrics.revision.set(version as i64);
        self.parts.nodes.set_plan_version(version);
        log::info!(version, routes; "routes in force");
    }
}
