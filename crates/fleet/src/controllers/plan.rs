//! The pass-through routes in force at this router: the highest version heard.
//!
//! The first version comes from a quorum of the control replicas, or from a router that is in
//! service: a replica alone may be isolated and hold an old one. Later versions are fetched from any
//! node that has a newer one; a lower one never replaces a higher one.

use std::sync::Arc;
use std::time::Duration;

use chestnutnotch_core::roster::Role;
use chestnutnotch_core::route::Plan;
use chestnutnotch_core::route::PublishedPlan;
use chestnutnotch_core::route::RouteIndex;
use chestnutnotch_core::route::WorkspaceSpec;
use chestnutnotch_core::unit::Millis;
use tokio::sync::watch;

use crate::controllers::nodes::Nodes;
use crate::dialect::Dialect;
use crate::edges::rpc::ControlClient;
use crate::edges::rpc::node;
use crate::keys;
use crate::keys::KeyIndex;
use crate::metrics::Metrics;
use crate::timer::Timer;

/// Longest wait for one answer of the control replicas.
const CONFIRM_WITHIN: Duration = Duration::from_millis(500);

/// Longest wait for another node's routes: a large set over a slow link.
const FETCH_WITHIN: Duration = Duration::from_millis(800);

/// Pause between two looks for newer routes, if nothing says that there are any.
const PAUSE: Duration = Duration::from_millis(200);

/// Routes in force, with indexes over them.
#[derive(Debug)]
pub struct InForce {
    /// The routes.
    pub index: RouteIndex,
    /// When they came into force, by the timer's clock.
    pub since: Millis,
    keys: KeyIndex,
}

impl InForce {
    /// Indexes a plan.
    pub fn new(plan: Plan, since: Millis) -> Self {
        let mut index = KeyIndex::default();
        for (owner, spec) in plan.workspaces.iter().flatten().enumerate() {
            for key in &spec.keys {
                index.insert(keys::hash(key), owner);
            }
        }
        Self {
            index: RouteIndex::new(Arc::new(plan)),
            since,
            keys: index,
        }
    }

    /// Its version.
    pub fn version(&self) -> u64 {
        self.index.plan().version
    }

    /// Whether callers need a key.
    pub fn is_keyed(&self) -> bool {
        self.index.plan().workspaces.is_some()
    }

    /// The workspace that a key belongs to.
    pub fn workspace(&self, key: &str) -> Option<&WorkspaceSpec> {
        let owner = self.keys.find(key)?;
        self.index.plan().workspaces.as_ref()?.get(owner)
    }
}

/// What the follower is built from.
#[derive(Clone, Debug)]
pub struct Parts {
    /// Reads documents.
    pub dialect: Arc<dyn Dialect>,
    /// The control replicas.
    pub control: ControlClient,
    /// The other nodes.
    pub nodes: Nodes,
    /// Source of time.
    pub timer: Timer,
    /// Counters.
    pub metrics: Arc<Metrics>,
}

/// A handle on the routes in force. Cheap to clone.
#[derive(Clone, Debug)]
pub struct Routes {
    current: watch::Receiver<Option<Arc<InForce>>>,
    held: watch::Receiver<PublishedPlan>,
}

impl Routes {
    /// Starts to follow.
    pub fn start(parts: Parts) -> Self {
        let (tx, current) = watch::channel(None);
        let (keep, held) = watch::channel(PublishedPlan::default());
        let follower = Follower { parts, tx, keep };
        tokio::spawn(follower.run());
        Self { current, held }
    }

    /// The routes in force; none before the first.
    pub fn current(&self) -> Option<Arc<InForce>> {
        self.current.borrow().clone()
    }

    /// The document in force, to be passed on to other nodes.
    pub fn held(&self) -> watch::Receiver<PublishedPlan> {
        self.held.clone()
    }

    /// Waits for the first routes.
    pub async fn ready(&self) {
        let mut current = self.current.clone();
        // The follower runs as long as the process.
        let _ = current.wait_for(Option::is_some).await;
    }
}

struct Follower {
    parts: Parts,
    tx: watch::Sender<Option<Arc<InForce>>>,
    keep: watch::Sender<PublishedPlan>,
}

impl Follower {
    async fn run(self) {
        while self.tx.borrow().is_none() {
            if let Some(held) = self.first().await {
                self.adopt(held);
            } else {
                tokio::time::sleep(PAUSE).await;
            }
        }
        loop {
            let changed = self.parts.nodes.changed();
            if let Some(ahead) = self.parts.nodes.ahead() {
                let own = self.keep.borrow().version;
                match node::held(ahead.rpc, own, FETCH_WITHIN).await {
                    Ok(held) => self.adopt(held),
                    Err(error) => {
                        log::warn!(error:% = error, version = ahead.plan; "newer routes not fetched");
                        tokio::time::sleep(PAUSE / 4).await;
                    }
                }
                continue;
            }
            // Without a word of others, the next look comes anyway.
            let _ = tokio::time::timeout(PAUSE, changed).await;
        }
    }

    /// Routes that a quorum confirms, or those of a router in service.
    async fn first(&self) -> Option<PublishedPlan> {
        match self.parts.control.plan(0, CONFIRM_WITHIN).await {
            Ok(held) if held.version > 0 => return Some(held),
            Ok(_) => return None,
            Err(error) => log::debug!(error:% = error; "no confirmed routes yet"),
        }
        let live = self.parts.nodes.live().into_iter();
        let serving = live.filter(|fact| fact.role == Role::Router && fact.plan > 0);
        let best = serving.max_by_key(|fact| fact.plan)?;
        match node::held(best.rpc, 0, FETCH_WITHIN).await {
            Ok(held) => Some(held).filter(|held| held.version > 0),
            Err(error) => {
                log::warn!(error:% = error; "routes of another router not fetched");
                None
            }
        }
    }

    /// Puts routes in force if they are newer.
    fn adopt(&self, held: PublishedPlan) {
        if held.version <= self.keep.borrow().version {
            return;
        }
        let plan = match self.parts.dialect.decode_plan(&held.source) {
            Ok(plan) => plan,
            Err(error) => {
                // Control hosts check before they accept, so this node is of another version.
                log::error!(error:% = error, version = held.version; "routes not understood");
                return;
            }
        };
        let version = held.version;
        let routes = plan.routes.len();
        let in_force = InForce::new(plan, self.parts.timer.now());
        self.tx.send_replace(Some(Arc::new(in_force)));
        self.keep.send_replace(held);
        self.parts.metrics.revision.set(version as i64);
        self.parts.nodes.hold(version);
        log::info!(version, routes; "routes in force");
    }
}
