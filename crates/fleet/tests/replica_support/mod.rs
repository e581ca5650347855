//! Replicas in one process on loopback, for tests.
#![allow(dead_code, clippy::unwrap_used)]

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chestnutnotch::controllers::replica::ReplicaError;
use chestnutnotch::controllers::replica::ReplicaHandle;
use chestnutnotch::controllers::replica::start_with;
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
use tokio_stream::wrappers::TcpListenerStream;
use tonic::transport::Server;

/// How long a test waits before it fails.
const PATIENCE: Duration = Duration::from_secs(30);

/// One replica with its server.
pub struct Running {
    pub handle: ReplicaHandle,
    server: JoinHandle<()>,
    close: oneshot::Sender<()>,
}

/// A group of replicas.
pub struct Group {
    pub folder: TempDir,
    pub addresses: Vec<SocketAddr>,
    pub switch: LinkFaults,
    pub replicas: Vec<Option<Running>>,
    pub snapshot: u64,
    pub election: u64,
    /// Relays between the replicas, which count bytes; none if they connect directly.
    pub relays: Vec<Vec<Relay>>,
}

/// Carries TCP connections to an address and counts their bytes in both directions.
pub struct Relay {
    pub address: SocketAddr,
    pub bytes: Arc<AtomicU64>,
}

impl Relay {
    async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let bytes = Arc::new(AtomicU64::new(0));
        let total = Arc::clone(&bytes);
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let total = Arc::clone(&total);
                tokio::spawn(async move {
                    let far = TcpStream::connect(target).await.unwrap();
                    let _ = (near.set_nodelay(true), far.set_nodelay(true));
                    let (near_in, near_out) = near.into_split();
                    let (far_in, far_out) = far.into_split();
                    let there = pump(near_in, far_out, &total);
                    let back = pump(far_in, near_out, &total);
                    tokio::join!(there, back);
                });
            }
        });
        Self { address, bytes }
    }
}

async fn pump(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, total: &AtomicU64) {
    let mut buffer = vec![0; 64 << 10];
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        total.fetch_add(count as u64, Ordering::Relaxed);
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}

impl Group {
    /// Starts a group of this many replicas.
    pub async fn start(count: usize, snapshot: u64) -> Self {
        Self::start_through(count, snapshot, false).await
    }

    /// Bytes that the relays have carried.
    pub fn carried(&self) -> u64 {
        let relays = self.relays.iter().flatten();
        relays
            .map(|relay| relay.bytes.load(Ordering::Relaxed))
            .sum()
    }

    /// Starts a group, with a relay for each direction between two replicas if asked for.
    pub async fn start_through(count: usize, snapshot: u64, relayed: bool) -> Self {
        let mut listeners = Vec::new();
        for _ in 0..count {
            listeners.push(TcpListener::bind("127.0.0.1:0").await.unwrap());
        }
        let addresses = listeners.iter().map(|l| l.local_addr().unwrap()).collect();
        let mut group = Self {
            folder: tempfile::tempdir().unwrap(),
            addresses,
            switch: LinkFaults::default(),
            replicas: Vec::new(),
            snapshot,
            election: 300,
            relays: Vec::new(),
        };
        for _ in 0..if relayed { count } else { 0 } {
            let mut relays = Vec::new();
            for target in &group.addresses {
                relays.push(Relay::start(*target).await);
            }
            group.relays.push(relays);
        }
        for (at, listener) in listeners.into_iter().enumerate() {
            let running = group.run(at, listener).await;
            group.replicas.push(Some(running));
        }
        group
    }

    pub fn data(&self, at: usize) -> PathBuf {
        self.folder.path().join(at.to_string())
    }

    async fn run(&self, at: usize, listener: TcpListener) -> Running {
        let settings = ReplicaSettings {
            listen: self.addresses[at],
            data: self.data(at),
            election: self.election,
            heartbeat: 50,
            discovery: None,
            snapshot: self.snapshot,
        };
        let timer = Timer::new();
        let mut peers = self.addresses.clone();
        for (other, relay) in self.relays.get(at).into_iter().flatten().enumerate() {
            if other != at {
                peers[other] = relay.address;
            }
        }
        let started = start_with(&settings, &peers, &timer, self.switch.clone()).await;
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
        Running {
            handle,
            server,
            close,
        }
    }

    /// Stops a replica and its server; its connections break.
    pub async fn stop(&mut self, at: usize) {
        let running = self.replicas[at].take().unwrap();
        running.handle.stop().await;
        // Connections outlive an aborted server; a planned end closes them.
        running.close.send(()).unwrap();
        running.server.await.unwrap();
    }

    /// Starts a stopped replica again.
    pub async fn restart(&mut self, at: usize) {
        let listener = loop {
            match TcpListener::bind(self.addresses[at]).await {
                Ok(listener) => break listener,
                Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
            }
        };
        self.replicas[at] = Some(self.run(at, listener).await);
    }

    pub fn handle(&self, at: usize) -> &ReplicaHandle {
        &self.replicas[at].as_ref().unwrap().handle
    }

    /// Positions of the running replicas.
    pub fn running(&self) -> Vec<usize> {
        (0..self.replicas.len())
            .filter(|at| self.replicas[*at].is_some())
            .collect()
    }

    /// Cuts a replica off from all others, or joins it to them again.
    pub fn isolate(&self, at: usize, cut: bool) {
        let own = self.addresses[at];
        for other in self.addresses.iter().filter(|other| **other != own) {
            if cut {
                self.switch.cut(own, *other);
                self.switch.cut(*other, own);
            } else {
                self.switch.heal(own, *other);
                self.switch.heal(*other, own);
            }
        }
    }

    /// Submits to whoever leads, among the given replicas, until it is accepted.
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
        tokio::time::timeout(PATIENCE, work).await.unwrap()
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
        tokio::time::timeout(PATIENCE, work).await.unwrap()
    }

    /// Waits until a condition holds.
    pub async fn until(&self, what: &str, mut test: impl AsyncFnMut(&Self) -> bool) {
        let work = async {
            while !test(self).await {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        let done = tokio::time::timeout(PATIENCE, work).await;
        assert!(done.is_ok(), "waited in vain: {what}");
    }

    /// Highest entry that a replica has applied.
    pub async fn applied(&self, at: usize) -> u64 {
        self.handle(at).status().await.unwrap().applied.0
    }
}

/// A submission that is distinct for each number.
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
