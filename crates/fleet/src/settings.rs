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

impl ReplicaSettings {
    /// Defaults for all but the address and the folder.
    pub fn new(listen: SocketAddr, data: PathBuf) -> Self {
        Self {
            listen,
            data,
            election: election(),
            heartbeat: heartbeat(),
            snapshot: snapshot(),
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
const SNAPSHOT_ENTRIES: u64 = 10_000;
const BODY_BYTES: usize = 4 << 20;
const RECORD_BYTES: usize = 64 << 10;
const DRAW_MILLIS: u64 = 200;
const DRAIN_MILLIS: u64 = 180_000;

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
