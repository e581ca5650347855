//! Settings of a process: one TOML file, with defaults for all but names and addresses.

use std::net::SocketAddr;
use std::path::PathBuf;

use chestnutnotch_core::id::DataCentre;
use chestnutnotch_core::id::Host;
use chestnutnotch_core::limit::HedgeRules;
use chestnutnotch_core::unit::Tokens;
use serde::Deserialize;
use serde::Serialize;

use crate::shares::Shares;

/// Settings of one process.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Host slot and data centre of the process.
    pub host: HostSettings,
    /// Addresses of the control replicas, this process included if it is one.
    pub control: Vec<SocketAddr>,
    /// Settings of the replica; required in a control process.
    #[serde(default)]
    pub replica: Option<ReplicaSettings>,
    /// Settings of the router; required in a router process.
    #[serde(default)]
    pub router: Option<RouterSettings>,
}

/// Host slot and data centre of a process.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct HostSettings {
    /// Name of the host slot, unique among the processes of one kind.
    pub name: Host,
    /// Data centre of the host.
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
    /// Election timeout in milliseconds: the time without a leader before an election. Each timeout
    /// is drawn at random between once and twice this value.
    #[serde(default = "election")]
    pub election: u64,
    /// Time between two heartbeats of a leader, in milliseconds.
    #[serde(default = "heartbeat")]
    pub heartbeat: u64,
    /// Number of log entries between two snapshots.
    #[serde(default = "snapshot")]
    pub snapshot: u64,
    /// Size of the log entries between two snapshots, in bytes, if these come first.
    #[serde(default = "snapshot_bytes")]
    pub snapshot_bytes: u64,
    /// Automatic membership: replicas find each other by gossip and replace lost voters. Without
    /// it, the group has just the addresses in the settings.
    #[serde(default)]
    pub discovery: Option<DiscoverySettings>,
    /// Bound on the connections of other processes.
    #[serde(default = "node_connections")]
    pub connections: usize,
    /// Memory for messages of other processes on their way, in bytes.
    #[serde(default = "messages")]
    pub messages: usize,
}

/// Automatic membership of a control group whose replicas find each other by gossip.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DiscoverySettings {
    /// Number of voters. Further replicas are learners, which replace voters that are lost.
    pub seats: usize,
    /// Whether this replica may bootstrap a new group together with all addresses in the settings.
    /// Set only at the first start of the system: later, an empty disk means that its data was
    /// lost.
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
    /// Largest answer of a plain service that is recorded for repeated requests, in bytes.
    #[serde(default = "record")]
    pub record: usize,
    /// Time between two reports to the ledger, in milliseconds.
    #[serde(default = "draw")]
    pub draw: u64,
    /// Longest time that a graceful stop waits for requests in flight, in milliseconds.
    #[serde(default = "drain")]
    pub drain: u64,
    /// Memory that the process may use, in bytes.
    #[serde(default = "memory")]
    pub memory: usize,
    /// Descriptors that the process may have open.
    #[serde(default = "descriptors")]
    pub descriptors: usize,
}

/// Identity and addresses of a node that finds the other nodes by gossip.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Name of the node's host slot.
    pub name: Host,
    /// Data centre of the host.
    pub centre: DataCentre,
    /// Address for gossip packets of other nodes (UDP).
    pub gossip: SocketAddr,
    /// Address for RPC calls of other nodes (TCP).
    pub rpc: SocketAddr,
    /// Gossip addresses of a few control hosts.
    pub seeds: Vec<SocketAddr>,
    /// RPC addresses of the same control hosts.
    pub control: Vec<SocketAddr>,
    /// Address where metrics are served; none disables them.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
}

/// Settings of a router of pass-through routes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// Identity and addresses of the node.
    pub node: NodeSettings,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address where a load balancer checks whether the router accepts new connections.
    pub ready: SocketAddr,
    /// Retry budget of each service, shared by all routers.
    pub retries: RetrySettings,
    /// Time that a stopping router still accepts connections, in milliseconds, until the load
    /// balancer has noticed that it stops.
    #[serde(default = "linger")]
    pub linger: u64,
    /// Time from the signal to stop to the end of the process, in milliseconds.
    pub grace: u64,
    /// Memory that the process may use, in bytes.
    #[serde(default = "memory")]
    pub memory: usize,
    /// Descriptors that the process may have open.
    #[serde(default = "descriptors")]
    pub descriptors: usize,
    /// Limit on the work of second attempts against the slowest answers; none by default.
    #[serde(default)]
    pub extra_work: ExtraWorkSettings,
    /// Rate of the network link in each direction, in bytes a second. Without it, requests are not
    /// refused for lack of room on the link.
    #[serde(default)]
    pub link: Option<u64>,
}

/// Limit on the work of second attempts, in proportion to that of first ones.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ExtraWorkSettings {
    /// Requests and prompt tokens in proportion to those of first attempts, in thousandths; zero
    /// switches second attempts off.
    #[serde(default)]
    pub share: u32,
    /// Second attempts that may start at once after a time without any.
    #[serde(default = "extra_burst")]
    pub burst: u32,
    /// Prompt tokens of these. A larger prompt is never sent twice.
    #[serde(default = "extra_burst_tokens")]
    pub burst_tokens: u64,
}

impl Default for ExtraWorkSettings {
    fn default() -> Self {
        Self {
            share: 0,
            burst: extra_burst(),
            burst_tokens: extra_burst_tokens(),
        }
    }
}

impl ExtraWorkSettings {
    /// Returns the rules for second attempts.
    pub fn rules(self) -> HedgeRules {
        HedgeRules {
            share: self.share,
            burst: self.burst,
            burst_tokens: Tokens(self.burst_tokens),
        }
    }
}

/// Descriptors that a process may have open if its settings name no number.
pub const DEFAULT_DESCRIPTORS: usize = 16_384;

fn descriptors() -> usize {
    DEFAULT_DESCRIPTORS
}

/// Memory that a process may use if its settings name none, in bytes.
pub const DEFAULT_MEMORY_BYTES: usize = 256 << 20;

fn memory() -> usize {
    DEFAULT_MEMORY_BYTES
}

/// Shares of a process whose settings name no memory and no descriptors.
const DEFAULT_SHARES: Shares = Shares {
    memory: DEFAULT_MEMORY_BYTES,
    descriptors: DEFAULT_DESCRIPTORS,
};

fn node_connections() -> usize {
    DEFAULT_SHARES.node_connections()
}

fn messages() -> usize {
    DEFAULT_SHARES.messages()
}

/// A retry budget: in any window, retries are limited to a share of the first attempts plus a fixed
/// allowance.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RetrySettings {
    /// Retries in proportion to first attempts, in thousandths.
    pub share: u32,
    /// Number of retries that are allowed in any case.
    pub allowance: u32,
    /// Length of the window, in milliseconds.
    pub window: u64,
}

/// Settings of a control host that upstreams and operators call.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RegistrySettings {
    /// Identity and addresses of the node.
    pub node: NodeSettings,
    /// Address for upstreams and operators.
    pub listen: SocketAddr,
    /// Data centres that operators may evacuate, besides those in which a node or an upstream is known.
    #[serde(default)]
    pub centres: Vec<DataCentre>,
    /// Settings of its replica. A host without one forwards calls to hosts that have one.
    #[serde(default)]
    pub replica: Option<ReplicaSettings>,
    /// Memory that the process may use, in bytes.
    #[serde(default = "memory")]
    pub memory: usize,
    /// Descriptors that the process may have open.
    #[serde(default = "descriptors")]
    pub descriptors: usize,
}

impl GatewaySettings {
    /// Returns how the memory and the descriptors of the process are divided.
    pub fn shares(&self) -> Shares {
        Shares {
            memory: self.memory,
            descriptors: self.descriptors,
        }
    }
}

impl RegistrySettings {
    /// Returns how the memory and the descriptors of the process are divided.
    pub fn shares(&self) -> Shares {
        Shares {
            memory: self.memory,
            descriptors: self.descriptors,
        }
    }
}

impl NodeSettings {
    /// Returns the host slot and data centre of the node.
    pub fn host(&self) -> HostSettings {
        HostSettings {
            name: self.name.clone(),
            centre: self.centre.clone(),
        }
    }
}

impl ReplicaSettings {
    /// Returns default settings with an address and a data folder.
    pub fn new(listen: SocketAddr, data: PathBuf) -> Self {
        Self {
            listen,
            data,
            election: election(),
            heartbeat: heartbeat(),
            snapshot: snapshot(),
            snapshot_bytes: snapshot_bytes(),
            discovery: None,
            connections: node_connections(),
            messages: messages(),
        }
    }

    /// Fits the size of the log to the disk and the memory of the process, both in bytes. The log holds up
    /// to four times the size after which a snapshot is due, and two snapshots need room beside it.
    #[must_use]
    pub fn within(mut self, disk: Option<usize>, memory: usize) -> Self {
        let disk = disk.unwrap_or(usize::MAX) / DISK_LOG_DIVISOR;
        let most = disk.min(memory / MEMORY_LOG_DIVISOR) as u64;
        self.snapshot_bytes = self.snapshot_bytes.min(most).max(MIN_SNAPSHOT_BYTES);
        self
    }
}

impl DiscoverySettings {
    /// Returns the settings of a replica with automatic membership. Its timeouts are short: no
    /// operator watches the group, and its replicas are a few milliseconds apart.
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
    /// Returns default settings with the two addresses.
    pub fn new(listen: SocketAddr, rpc: SocketAddr) -> Self {
        Self {
            listen,
            rpc,
            peers: Vec::new(),
            body: body(),
            record: record(),
            draw: draw(),
            drain: drain(),
            memory: memory(),
            descriptors: descriptors(),
        }
    }

    /// Returns how the memory and the descriptors of the process are divided.
    pub fn shares(&self) -> Shares {
        Shares {
            memory: self.memory,
            descriptors: self.descriptors,
        }
    }
}

// Defaults of the settings of the same names. A replica with automatic membership uses the quick
// timeouts.
const DEFAULT_ELECTION_MILLIS: u64 = 800;
const DEFAULT_HEARTBEAT_MILLIS: u64 = 200;
/// Four heartbeats, as each may be delayed by the sync of a slow disk.
const QUICK_ELECTION_MILLIS: u64 = 500;
const QUICK_HEARTBEAT_MILLIS: u64 = 125;
const DEFAULT_SNAPSHOT_ENTRIES: u64 = 10_000;
const DEFAULT_SNAPSHOT_BYTES: u64 = 8 << 20;
/// Parts of the disk and of the memory that the log between two snapshots may take.
const DISK_LOG_DIVISOR: usize = 16;
const MEMORY_LOG_DIVISOR: usize = 32;
/// Least size of the log, however small disk and memory are. A large set of routes is one entry of some
/// hundred kilobytes.
const MIN_SNAPSHOT_BYTES: u64 = 1 << 20;
const DEFAULT_BODY_BYTES: usize = 4 << 20;
const DEFAULT_RECORD_BYTES: usize = 64 << 10;
const DEFAULT_DRAW_MILLIS: u64 = 200;
const DEFAULT_DRAIN_MILLIS: u64 = 180_000;
const DEFAULT_EXTRA_BURST: u32 = 5;
const DEFAULT_EXTRA_BURST_TOKENS: u64 = 20_000;
/// Default of [`GatewaySettings::linger`]: two checks of a load balancer that checks once a second,
/// with their answers.
pub const DEFAULT_LINGER_MILLIS: u64 = 2_500;

fn election() -> u64 {
    DEFAULT_ELECTION_MILLIS
}

fn heartbeat() -> u64 {
    DEFAULT_HEARTBEAT_MILLIS
}

fn snapshot() -> u64 {
    DEFAULT_SNAPSHOT_ENTRIES
}

fn snapshot_bytes() -> u64 {
    DEFAULT_SNAPSHOT_BYTES
}

fn body() -> usize {
    DEFAULT_BODY_BYTES
}

fn record() -> usize {
    DEFAULT_RECORD_BYTES
}

fn draw() -> u64 {
    DEFAULT_DRAW_MILLIS
}

fn drain() -> u64 {
    DEFAULT_DRAIN_MILLIS
}

fn extra_burst() -> u32 {
    DEFAULT_EXTRA_BURST
}

fn extra_burst_tokens() -> u64 {
    DEFAULT_EXTRA_BURST_TOKENS
}

fn linger() -> u64 {
    DEFAULT_LINGER_MILLIS
}
