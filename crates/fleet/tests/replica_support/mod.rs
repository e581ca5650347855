//! Runs groups of replicas in one process, connected over loopback, for tests.
#![allow(dead_code, clippy::unwrap_used)]

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chestnutnotch::controllers::replica::ReplicaError;
use chestnutnotch::controllers::replica::ReplicaHandle;
use chestnutnotch::controllers::replica::start_with;
use chestnutnotch::edges::disk::DiskFaults;
use chestnutnotch::edges::rpc::peer::LinkFaults;
use chestnutnotch::settings::ReplicaSettings;
use chestnutnotch::timer::Timer;
use chestnutnotch_core::command::Command;
use chestnutnotch_core::command::Publish;
use chestnutnotch_core::command::Reply;
use chestnutnotch_core::config::Document;
use chestnutnotch_core::id::Operator;
use chestnutnotch_core::id::SubmissionId;
use chestnutnotch_core::unit::Revision;
use tempfile::TempDir;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::transport::Server;

/// How long a test waits before it fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// A running replica with its server.
pub struct RunningReplica {
    pub handle: ReplicaHandle,
    /// The server's task.
    server: JoinHandle<()>,
    /// Stops the server.
    close: oneshot::Sender<()>,
}

/// A group of replicas. Methods name a replica by its position in `replicas`.
pub struct Group {
    /// Contains the data folders of the replicas.
    pub folder: TempDir,
    /// Addresses that the replicas listen on.
    pub addresses: Vec<SocketAddr>,
    /// Cuts connections between replicas.
    pub switch: LinkFaults,
    /// Room on the disks of the replicas.
    pub disks: Vec<DiskFaults>,
    /// The replicas; `None` for one that is stopped.
    pub replicas: Vec<Option<RunningReplica>>,
    /// Number of log entries between two snapshots.
    pub snapshot: u64,
    /// Size of the log entries between two snapshots, in bytes.
    pub snapshot_bytes: u64,
    /// Minimum election timeout, in milliseconds.
    pub election: u64,
    /// Relays between the replicas, by the position of the sender and that of the receiver; empty
    /// if they connect directly.
    pub relays: Vec<Vec<Relay>>,
}

/// Maximum number of bytes that a slow uplink forwards at once.
const UPLINK_PIECE_BYTES: usize = 8 << 10;

/// The link on which a replica sends. The relays of one sender share it.
#[derive(Default)]
pub struct Uplink {
    /// Bytes per second; zero if there is no limit.
    rate: AtomicU64,
    /// When it is free again.
    free_at: Mutex<Option<Instant>>,
}

impl Uplink {
    /// Limits the bytes per second. Zero removes the limit.
    pub fn set_rate(&self, rate: u64) {
        self.rate.store(rate, Ordering::Relaxed);
    }

    /// Returns the maximum number of bytes to forward at once.
    fn piece(&self, buffer: usize) -> usize {
        match self.rate.load(Ordering::Relaxed) {
            0 => buffer,
            _ => buffer.min(UPLINK_PIECE_BYTES),
        }
    }

    /// Waits until this many bytes have passed.
    async fn pass(&self, count: usize) {
        let rate = self.rate.load(Ordering::Relaxed);
        if rate == 0 {
            return;
        }
        let time = Duration::from_secs_f64(count as f64 / rate as f64);
        let passed = {
            let mut free_at = self.free_at.lock().unwrap();
            let now = Instant::now();
            let passed = free_at.map_or(now, |at| at.max(now)) + time;
            *free_at = Some(passed);
            passed
        };
        tokio::time::sleep_until(passed).await;
    }
}

/// Forwards TCP connections to an address and counts their bytes in both directions.
pub struct Relay {
    pub address: SocketAddr,
    pub bytes: Arc<AtomicU64>,
    /// Carries what is sent to the address.
    pub uplink: Arc<Uplink>,
}

impl Relay {
    async fn start(target: SocketAddr, uplink: Arc<Uplink>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let bytes = Arc::new(AtomicU64::new(0));
        let total = Arc::clone(&bytes);
        let shared = Arc::clone(&uplink);
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let total = Arc::clone(&total);
                let uplink = Arc::clone(&shared);
                tokio::spawn(async move {
                    let Ok(server) = TcpStream::connect(target).await else {
                        return;
                    };
                    let _ = (client.set_nodelay(true), server.set_nodelay(true));
                    let (client_read, client_write) = client.into_split();
                    let (server_read, server_write) = server.into_split();
                    let outbound = copy_and_count(client_read, server_write, &total, &uplink);
                    let unlimited = Uplink::default();
                    let inbound = copy_and_count(server_read, client_write, &total, &unlimited);
                    tokio::join!(outbound, inbound);
                });
            }
        });
        Self {
            address,
            bytes,
            uplink,
        }
    }
}

/// Copies bytes until the connection ends, and adds their number to `total`.
async fn copy_and_count(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    total: &AtomicU64,
    uplink: &Uplink,
) {
    let mut buffer = vec![0; 64 << 10];
    loop {
        let piece = uplink.piece(buffer.len());
        let Ok(count @ 1..) = from.read(&mut buffer[..piece]).await else {
            return;
        };
        uplink.pass(count).await;
        total.fetch_add(count as u64, Ordering::Relaxed);
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}

impl Group {
    /// Starts a group of `count` replicas that connect directly.
    pub async fn start(count: usize, snapshot: u64) -> Self {
        Self::start_with_relays(count, snapshot, false).await
    }

    /// Returns the number of bytes that all relays have forwarded.
    pub fn relayed_bytes(&self) -> u64 {
        let relays = self.relays.iter().flatten();
        relays
            .map(|relay| relay.bytes.load(Ordering::Relaxed))
            .sum()
    }

    /// Starts a group of `count` replicas, with a relay for each direction between two of them if
    /// `relayed` is set.
    pub async fn start_with_relays(count: usize, snapshot: u64, relayed: bool) -> Self {
        let mut listeners = Vec::new();
        for _ in 0..count {
            listeners.push(TcpListener::bind("127.0.0.1:0").await.unwrap());
        }
        let addresses = listeners.iter().map(|l| l.local_addr().unwrap()).collect();
        let mut group = Self {
            folder: tempfile::tempdir().unwrap(),
            addresses,
            switch: LinkFaults::default(),
            disks: Vec::new(),
            replicas: Vec::new(),
            snapshot,
            snapshot_bytes: 8 << 20,
            election: 300,
            relays: Vec::new(),
        };
        group.disks = (0..count).map(|_| DiskFaults::default()).collect();
        for _ in 0..if relayed { count } else { 0 } {
            let mut relays = Vec::new();
            let uplink = Arc::new(Uplink::default());
            for target in &group.addresses {
                relays.push(Relay::start(*target, Arc::clone(&uplink)).await);
            }
            group.relays.push(relays);
        }
        for (at, listener) in listeners.into_iter().enumerate() {
            let running = group.run(at, listener).await;
            group.replicas.push(Some(running));
        }
        group
    }

    /// Returns the data folder of a replica.
    pub fn data(&self, at: usize) -> PathBuf {
        self.folder.path().join(at.to_string())
    }

    /// Starts a replica and its server.
    async fn run(&self, at: usize, listener: TcpListener) -> RunningReplica {
        let settings = ReplicaSettings {
            listen: self.addresses[at],
            data: self.data(at),
            election: self.election,
            heartbeat: 50,
            discovery: None,
            snapshot: self.snapshot,
            snapshot_bytes: self.snapshot_bytes,
            connections: 64,
            messages: 32 << 20,
        };
        let timer = Timer::new();
        let mut peers = self.addresses.clone();
        for (other, relay) in self.relays.get(at).into_iter().flatten().enumerate() {
            if other != at {
                peers[other] = relay.address;
            }
        }
        let (switch, disk) = (self.switch.clone(), self.disks[at].clone());
        let started = start_with(&settings, &peers, &timer, switch, disk).await;
        let (handle, service) = started.unwrap();
        let server = Server::builder().add_service(service.into_server());
        let incoming = TcpListenerStream::new(listener);
        let (close, closed) = oneshot::channel();
        let server = tokio::spawn(async move {
            let closed = async {
                let _ = closed.await;
            };
            let served = server.serve_with_incoming_shutdown(incoming, closed).await;
            served.unwrap();
        });
        RunningReplica {
            handle,
            server,
            close,
        }
    }

    /// Stops a replica and its server, and closes its connections.
    pub async fn stop(&mut self, at: usize) {
        let running = self.replicas[at].take().unwrap();
        running.handle.stop().await;
        // Connections would outlive an aborted server; a graceful shutdown closes them.
        running.close.send(()).unwrap();
        running.server.await.unwrap();
    }

    /// Starts a stopped replica again, with the same address and data folder.
    pub async fn restart(&mut self, at: usize) {
        let listener = loop {
            match TcpListener::bind(self.addresses[at]).await {
                Ok(listener) => break listener,
                Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
            }
        };
        self.replicas[at] = Some(self.run(at, listener).await);
    }

    /// Returns the handle to a running replica.
    pub fn handle(&self, at: usize) -> &ReplicaHandle {
        &self.replicas[at].as_ref().unwrap().handle
    }

    /// Returns the positions of the running replicas.
    pub fn running(&self) -> Vec<usize> {
        (0..self.replicas.len())
            .filter(|at| self.replicas[*at].is_some())
            .collect()
    }

    /// Limits what each replica sends, in bytes per second.
    pub fn set_rate(&self, rate: u64) {
        for relay in self.relays.iter().flatten() {
            relay.uplink.set_rate(rate);
        }
    }

    /// Disconnects a replica from all others, or connects it again.
    pub fn isolate(&self, at: usize, cut: bool) {
        for other in (0..self.addresses.len()).filter(|other| *other != at) {
            for (from, to) in [(at, other), (other, at)] {
                let (from, to) = (self.addresses[from], self.route(from, to));
                if cut {
                    self.switch.cut(from, to);
                } else {
                    self.switch.heal(from, to);
                }
            }
        }
    }

    /// Returns the address at which one replica reaches another.
    fn route(&self, from: usize, to: usize) -> SocketAddr {
        let relay = self.relays.get(from).map(|relays| relays[to].address);
        relay.unwrap_or(self.addresses[to])
    }

    /// Submits a command to the given replicas in turn until one of them, the leader, accepts it.
    pub async fn submit(&self, among: &[usize], command: &Command) -> Reply {
        let work = async {
            loop {
                for at in among {
                    let handle = self.handle(*at);
                    let operator = Operator::from("test");
                    if let Ok(reply) = handle.submit(operator, command.clone()).await {
                        return reply;
                    }
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        tokio::time::timeout(WAIT_TIMEOUT, work).await.unwrap()
    }

    /// Waits for a leader among the given replicas that a quorum confirms.
    pub async fn leader(&self, among: &[usize]) -> usize {
        let work = async {
            loop {
                for at in among {
                    if self.handle(*at).read(|_| ()).await.is_ok() {
                        return *at;
                    }
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        tokio::time::timeout(WAIT_TIMEOUT, work).await.unwrap()
    }

    /// Waits until a condition holds. `what` names it in the failure message.
    pub async fn wait_until(&self, what: &str, mut condition: impl AsyncFnMut(&Self) -> bool) {
        let work = async {
            while !condition(self).await {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        let done = tokio::time::timeout(WAIT_TIMEOUT, work).await;
        assert!(done.is_ok(), "timed out waiting until: {what}");
    }

    /// Returns the index of the last entry that a replica has applied.
    pub async fn applied(&self, at: usize) -> u64 {
        self.handle(at).status().await.unwrap().applied.0
    }
}

/// Returns a command that is distinct for each number and follows the one before it.
pub fn publish(number: u64) -> Command {
    Command::Publish(Publish {
        id: SubmissionId::from(format!("s{number}")),
        base: Revision(number),
        document: Arc::new(Document::default()),
    })
}

/// Whether an error says that nothing was done.
pub fn is_refusal(error: &ReplicaError) -> bool {
    matches!(error, ReplicaError::NotLeader { .. } | ReplicaError::Busy)
}
