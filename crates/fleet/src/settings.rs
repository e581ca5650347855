//! Settings of a process: one TOML file, with defaults for all but names and addresses.

use std::net::SocketAddr;
use std::path::PathBuf;

use chestnutnotch_core::id::DataCentre;
use chestnutnotch_core::id::Host;
use serde::Deserialize;
use serde::Serialize;

/// Settings of one process.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Where the process runs.
    pub host: HostSettings,
    /// Addresses of the control replicas, this process included if it is one.
    pub control: Vec<SocketAddr>,
    /// A control process has this table.
    #[serde(default)]
    pub replica: Option<ReplicaSettings>,
    /// A router process has this table.
    #[serde(default)]
    pub router: Option<RouterSettings>,
}

/// Where a process runs.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct HostSettings {
    /// Name of the host slot, unique among the processes of one kind.
    pub name: Host,
    /// Its data centre.
    pub centre: DataCentre,
}

/// Settings of a control replica.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ReplicaSettings {
    /// Address for routers, operators and other replicas.
    pub listen: SocketAddr,
    /// Folder for the replica's durable state.
    pub data: PathBuf,
    /// Time without a leader before an election, in milliseconds; drawn between once and twice this.
    #[serde(default = "election")]
    pub election: u64,
    /// Time between a leader's heartbeats, in milliseconds.
    #[serde(default = "heartbeat")]
    pub heartbeat: u64,
    /// Log entries between two snapshots.
    #[serde(default = "snapshot")]
    pub snapshot: u64,
    /// How the group keeps itself whole where its replicas find each other by themselves. Without
    /// it, the addresses in the settings are all there are.
    #[serde(default)]
    pub discovery: Option<DiscoverySettings>,
}

/// How a control group whose replicas find each other keeps itself whole.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DiscoverySettings {
    /// Number of voters; further replicas follow, and replace voters that fall silent.
    pub seats: usize,
    /// Whether this replica may found a group, together with all addresses in the settings. True
    /// only at the first start of the system: later, an empty disk is one that was lost.
    pub founds: bool,
}

/// Settings of a router.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RouterSettings {
    /// Address for callers and upstreams.
    pub listen: SocketAddr,
    /// Address for other routers.
    pub rpc: SocketAddr,
    /// RPC addresses of the routers, this one included or not.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Largest request body, in bytes.
    #[serde(default = "body")]
    pub body: usize,
    /// Largest answer of a plain service that is recorded, in bytes.
    #[serde(default = "record")]
    pub record: usize,
    /// Time between two reports to the ledger, in milliseconds.
    #[serde(default = "draw")]
    pub draw: u64,
    /// Longest time that a planned stop waits for requests in flight, in milliseconds.
    #[serde(default = "drain")]
    pub drain: u64,
}

/// Where a node of a system whose nodes find each other stands, and where it listens for others.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Name of its host.
    pub name: Host,
    /// Its data centre.
    pub centre: DataCentre,
    /// Address for packets of other nodes (UDP).
    pub gossip: SocketAddr,
    /// Address for calls of other nodes (TCP).
    pub rpc: SocketAddr,
    /// Packet addresses of a few control hosts.
    pub seeds: Vec<SocketAddr>,
    /// Call addresses of the same.
    pub control: Vec<SocketAddr>,
    /// Address for metrics.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
}

/// Settings of a router of pass-through routes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// The node.
    pub node: NodeSettings,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address where the balancer asks whether new connections are taken.
    pub ready: SocketAddr,
    /// The retry budget of each service over all routers.
    pub retries: RetrySettings,
    /// How long a router that stops still takes connections, in milliseconds: until the balancer has
    /// noticed.
    #[serde(default = "linger")]
    pub linger: u64,
    /// Time from the order to stop to the end of the process, in milliseconds.
    pub grace: u64,
}

/// A retry budget: in any window, a share of the first attempts, and some besides.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RetrySettings {
    /// Retries for each first attempt, in thousandths.
    pub share: u32,
    /// Retries besides.
    pub allowance: u32,
    /// Length of the window, in milliseconds.
    pub window: u64,
}

/// Settings of a control host that upstreams and operators call.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RegistrySettings {
    /// The node.
    pub node: NodeSettings,
    /// Address for upstreams and operators.
    pub listen: SocketAddr,
    /// Its replica; without one, the host passes calls on to those that have one.
    #[serde(default)]
    pub replica: Option<ReplicaSettings>,
}

impl NodeSettings {
    /// Where the node stands.
    pub fn host(&self) -> HostSettings {
        HostSettings {
            name: self.name.clone(),
            centre: self.centre.clone(),
        }
    }
}

impl ReplicaSettings {
    /// Defaults for all but the address and the folder.
    pub fn new(listen: SocketAddr, data: PathBuf) -> Self {
        Self {
            listen,
            data,
            election: election(),
            heartbeat: heartbeat(),
            snapshot: snapshot(),
            discovery: None,
        }
    }
}

impl DiscoverySettings {
    /// Settings of a replica in a group that keeps itself whole. Its timers are short, as nobody else
    /// watches the group, and its replicas are a few milliseconds apart.
    pub fn replica(self, listen: SocketAddr, data: PathBuf) -> ReplicaSettings {
        ReplicaSettings {
            election: QUICK_ELECTION_MILLIS,
            heartbeat: QUICK_HEARTBEAT_MILLIS,
            discovery: Some(self),
            ..ReplicaSettings::new(listen, data)
        }
    }
}

impl RouterSettings {
    /// Defaults for all but the addresses.
    pub fn new(listen: SocketAddr, rpc: SocketAddr) -> Self {
        Self {
            listen,
            rpc,
            peers: Vec::new(),
            body: body(),
            record: record(),
            draw: draw(),
            drain: drain(),
        }
    }
}

const ELECTION_MILLIS: u64 = 800;
const HEARTBEAT_MILLIS: u64 = 200;
/// Four heartbeats, each of which may be late by a slow disk's sync.
const QUICK_ELECTION_MILLIS: u64 = 500;
const QUICK_HEARTBEAT_MILLIS: u64 = 125;
const SNAPSHOT_ENTRIES: u64 = 10_000;
const BODY_BYTES: usize = 4 << 20;
const RECORD_BYTES: usize = 64 << 10;
const DRAW_MILLIS: u64 = 200;
const DRAIN_MILLIS: u64 = 180_000;
/// Two questions of a balancer that asks each second, and the answers.
pub const LINGER_MILLIS: u64 = 2_500;

fn election() -> u64 {
    ELECTION_MILLIS
}

fn heartbeat() -> u64 {
    HEARTBEAT_MILLIS
}

fn snapshot() -> u64 {
    SNAPSHOT_ENTRIES
}

fn body() -> usize {
    BODY_BYTES
}

fn record() -> usize {
    RECORD_BYTES
}

fn draw() -> u64 {
    DRAW_MILLIS
}

fn drain() -> u64 {
    DRAIN_MILLIS
}

fn linger() -> u64 {
    LINGER_MILLIS
}
