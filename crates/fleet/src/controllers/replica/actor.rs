//! The actor that owns a replica. It processes messages one at a time; disk writes and snapshot
//! encoding run on other threads, which report back with a message.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use chestnutnotch_core::command::Command;
use chestnutnotch_core::command::Reply;
use chestnutnotch_core::config::Accepted;
use chestnutnotch_core::evacuation::Evacuations;
use chestnutnotch_core::id::DataCentre;
use chestnutnotch_core::id::Operator;
use chestnutnotch_core::machine::Machine;
use chestnutnotch_core::map::Map;
use chestnutnotch_core::replica::Bootstrap;
use chestnutnotch_core::replica::HelloRound;
use chestnutnotch_core::replica::Input;
use chestnutnotch_core::replica::Replica;
use chestnutnotch_core::route::PublishedPlan;
use chestnutnotch_core::unit::Index;
use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::unit::Term;
use ractor::Actor;
use ractor::ActorProcessingErr;
use ractor::ActorRef;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::oneshot;
use tokio::sync::watch;

use super::apply::Applied;
use super::apply::ApplyError;
use super::error::ReplicaError;
use super::handle::FoundPeer;
use super::handle::ReplicaStatus;
use super::meet::GREETING_MIN_PAUSE_MILLIS;
use super::writer::Writer;
use super::writer::WrittenBatch;
use crate::edges::disk::DiskError;
use crate::edges::disk::Folder;
use crate::edges::rpc::peer::Inbound;
use crate::edges::rpc::peer::LinkFaults;
use crate::edges::rpc::peer::Links;
use crate::settings::DiscoverySettings;
use crate::timer::Timer;

/// Longest time that a stopping replica waits for the leadership transfer and for the outcome of
/// its pending commands.
const STOP_TIMEOUT_MILLIS: u64 = 500;

/// Reads the state machine and sends the result to the caller. Called with the error instead if the
/// read fails.
pub type Query = Box<dyn FnOnce(Result<&Machine, ReplicaError>) + Send>;

/// A command to be replicated.
#[derive(Debug)]
pub struct Proposal {
    /// Operator on whose behalf the command is submitted.
    pub operator: Operator,
    /// The command.
    pub command: Command,
    /// Receives the result once the command is applied or has failed.
    pub reply: oneshot::Sender<Result<Reply, ReplicaError>>,
}

/// Messages to the actor. Each permit counts against a limit on pending messages and is released
/// when it is dropped.
pub enum ReplicaMessage {
    /// Replicate and apply a command.
    Submit(Proposal, OwnedSemaphorePermit),
    /// Run a linearizable read, which a quorum has to confirm.
    Read(Query, OwnedSemaphorePermit),
    /// Read this replica's own state, which may be stale.
    ReadLocal(Query, OwnedSemaphorePermit),
    /// Report the status.
    Status(oneshot::Sender<ReplicaStatus>),
    /// Protocol messages or a greeting from another replica.
    Inbound(Inbound, OwnedSemaphorePermit),
    /// Run the timers. The flag is set while a tick is pending and cleared when it is processed.
    Tick(Arc<AtomicBool>),
    /// A batch of disk writes waits for room on the disk.
    DiskFull,
    /// A batch of disk writes has finished or failed.
    BatchWritten(Result<WrittenBatch, DiskError>),
    /// Encoding a snapshot of the state up to this entry has finished or failed.
    SnapshotEncoded(Index, Result<Arc<[u8]>, ApplyError>),
    /// A round of greetings has finished.
    Greeted(HelloRound),
    /// Discovery found these replicas.
    PeersFound(Vec<FoundPeer>),
    /// Transfer leadership, finish pending work and stop the actor.
    Stop,
}

/// Arguments with which the actor is started.
pub struct Arguments {
    /// The consensus protocol with its timers.
    pub replica: Replica,
    /// The open data folder.
    pub folder: Folder,
    /// State machine as of the latest snapshot on disk.
    pub applied: Applied,
    /// Publishes each new revision of the configuration.
    pub accepted_tx: watch::Sender<Arc<Accepted>>,
    /// Publishes each new version of the pass-through routes.
    pub plan_tx: watch::Sender<PublishedPlan>,
    /// Publishes the applied evacuations.
    pub evacuations_tx: watch::Sender<Evacuations>,
    /// Settings of discovery, or `None` if the addresses of all replicas are configured.
    pub discovery: Option<DiscoverySettings>,
    /// Configured addresses: those of all replicas or, with discovery, of the replicas that create
    /// the group.
    pub peers: Vec<SocketAddr>,
    /// Address of this replica.
    pub address: SocketAddr,
    /// When the next snapshot is due.
    pub snapshot_due: SnapshotDue,
    /// Clock.
    pub timer: Timer,
    /// Cuts connections between replicas in tests.
    pub switch: LinkFaults,
}

/// Limits of the log. A snapshot is due when the entries since the last one reach either of them.
#[derive(Clone, Copy, Debug)]
pub struct SnapshotDue {
    /// Number of entries.
    pub entries: u64,
    /// Size of the commands, in bytes.
    pub bytes: u64,
}

/// The replica's actor. Its state is in [`ReplicaState`].
pub struct ReplicaActor;

/// State of the actor.
pub struct ReplicaState {
    /// Reference to this actor, for tasks that report back.
    pub(super) myself: ActorRef<ReplicaMessage>,
    /// The consensus protocol with its timers.
    pub(super) replica: Replica,
    /// Pending disk writes.
    pub(super) writer: Writer,
    /// Whether a batch of disk writes waits for room on the disk.
    pub(super) disk_full: bool,
    /// Since when no leader is known, on the monotonic clock; `None` if one is known.
    pub(super) leaderless: Option<Millis>,
    /// Whether this replica is a voter, as last logged.
    pub(super) votes: bool,
    /// State machine, with the last entry applied to it.
    pub(super) applied: Applied,
    /// Publishes each new revision of the configuration.
    pub(super) accepted_tx: watch::Sender<Arc<Accepted>>,
    /// Publishes each new version of the pass-through routes.
    pub(super) plan_tx: watch::Sender<PublishedPlan>,
    pub(super) evacuations_tx: watch::Sender<Evacuations>,
    /// Commands to propose in the next batch.
    pub(super) queue: Queue,
    /// Whether queued commands wait until the log is compacted.
    pub(super) held: bool,
    /// Commands in the log, by index, whose callers wait for the outcome.
    pub(super) proposed: BTreeMap<Index, Proposed>,
    /// Reads that await confirmation by a quorum, by read number.
    pub(super) reads: Map<u64, (Query, OwnedSemaphorePermit)>,
    /// Confirmed reads, by the entry that has to be applied first and the read number.
    pub(super) confirmed: BTreeMap<(Index, u64), Query>,
    /// Number of the latest read.
    pub(super) last_read: u64,
    /// Highest timestamp given to a command so far, in Unix milliseconds. Timestamps never
    /// decrease.
    pub(super) stamp: Millis,
    /// Connections to the other replicas.
    pub(super) links: Links,
    /// Results of earlier greetings: addresses of replicas, and whether to create a group.
    pub(super) bootstrap: Bootstrap,
    /// Schedule of the greetings.
    pub(super) greeting: Greeting,
    /// Settings of discovery, or `None` if the addresses of all replicas are configured.
    pub(super) discovery: Option<DiscoverySettings>,
    /// Configured addresses: those of all replicas or, with discovery, of the replicas that create
    /// the group.
    pub(super) configured: Vec<SocketAddr>,
    /// Addresses to greet: the configured ones and those found by discovery.
    pub(super) peers: Vec<SocketAddr>,
    /// Data centres of replicas, by address, as far as they are known.
    pub(super) centres: Arc<BTreeMap<SocketAddr, DataCentre>>,
    /// Address of this replica.
    pub(super) address: SocketAddr,
    /// When the next snapshot is due.
    pub(super) snapshot_due: SnapshotDue,
    /// Size of the commands applied since the last snapshot was begun, in bytes.
    pub(super) applied_bytes: u64,
    /// Whether a snapshot is being encoded.
    pub(super) encoding: bool,
    /// Set by a planned stop: when to stop waiting for a successor and for pending commands, on the
    /// monotonic clock.
    pub(super) stop_deadline: Option<Millis>,
    /// Whether the actor has been told to stop, after a planned stop or a failure.
    pub(super) stopped: bool,
    /// Clock.
    pub(super) timer: Timer,
}

/// Encoded commands that wait to be proposed.
#[derive(Default)]
pub(super) struct Queue {
    /// The commands, oldest first.
    pub(super) commands: VecDeque<QueuedCommand>,
    /// Total size of the commands, in bytes.
    pub(super) size: usize,
}

/// An encoded command that waits to be proposed.
pub(super) struct QueuedCommand {
    pub(super) bytes: Arc<[u8]>,
    /// Receives the outcome.
    pub(super) reply: oneshot::Sender<Result<Reply, ReplicaError>>,
    /// Held until the command is answered, to limit pending commands.
    pub(super) permit: OwnedSemaphorePermit,
}

impl Queue {
    /// Adds a command.
    pub(super) fn push(&mut self, command: QueuedCommand) {
        self.size += command.bytes.len();
        self.commands.push_back(command);
    }

    /// Takes the oldest command.
    pub(super) fn pop(&mut self) -> Option<QueuedCommand> {
        let command = self.commands.pop_front()?;
        self.size -= command.bytes.len();
        Some(command)
    }
}

/// A command in the log whose caller waits for the outcome.
pub(super) struct Proposed {
    /// Term in which it was proposed. If the entry applied at its index has another term, the
    /// command was replaced by another leader's entry.
    pub(super) term: Term,
    /// Receives the outcome.
    pub(super) reply: oneshot::Sender<Result<Reply, ReplicaError>>,
    /// Held until the command is answered, to limit pending commands.
    pub(super) _permit: OwnedSemaphorePermit,
}

/// Schedule of the rounds of greetings.
pub(super) struct Greeting {
    /// Whether a round is in progress.
    pub(super) running: bool,
    /// Earliest start of the next round, on the monotonic clock.
    pub(super) next: Millis,
    /// Pause between two rounds before jitter, in milliseconds. Doubles after each round that a
    /// peer did not answer.
    pub(super) pause: u64,
}

impl Actor for ReplicaActor {
    type Msg = ReplicaMessage;
    type State = ReplicaState;
    type Arguments = Arguments;

    async fn pre_start(
        &self,
        myself: ActorRef<Self::Msg>,
        arguments: Arguments,
    ) -> Result<Self::State, ActorProcessingErr> {
        let mut state = ReplicaState::new(myself, arguments);
        state.bootstrap_alone();
        state.run_pending();
        Ok(state)
    }

    async fn handle(
        &self,
        _myself: ActorRef<Self::Msg>,
        message: Self::Msg,
        state: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        state.handle(message);
        state.run_pending();
        Ok(())
    }
}

impl ReplicaState {
    fn new(myself: ActorRef<ReplicaMessage>, arguments: Arguments) -> Self {
        Self {
            myself,
            replica: arguments.replica,
            writer: Writer::new(arguments.folder),
            disk_full: false,
            leaderless: Some(arguments.timer.now()),
            votes: false,
            stamp: arguments.applied.stamp,
            applied: arguments.applied,
            accepted_tx: arguments.accepted_tx,
            plan_tx: arguments.plan_tx,
            evacuations_tx: arguments.evacuations_tx,
            discovery: arguments.discovery,
            configured: arguments.peers.clone(),
            queue: Queue::default(),
            held: false,
            proposed: BTreeMap::new(),
            reads: Map::default(),
            confirmed: BTreeMap::new(),
            last_read: 0,
            links: Links::new(arguments.address, arguments.switch),
            bootstrap: Bootstrap::default(),
            greeting: Greeting {
                running: false,
                next: Millis::ZERO,
                pause: GREETING_MIN_PAUSE_MILLIS,
            },
            peers: arguments.peers,
            centres: Arc::default(),
            address: arguments.address,
            snapshot_due: arguments.snapshot_due,
            applied_bytes: 0,
            encoding: false,
            stop_deadline: None,
            stopped: false,
            timer: arguments.timer,
        }
    }

    fn handle(&mut self, message: ReplicaMessage) {
        match message {
            ReplicaMessage::Submit(proposal, permit) => self.submit(proposal, permit),
            ReplicaMessage::Read(query, permit) => self.read(query, permit),
            ReplicaMessage::ReadLocal(query, _permit) => query(Ok(&self.applied.machine)),
            ReplicaMessage::Status(reply) => {
                let _ = reply.send(self.status());
            }
            ReplicaMessage::Inbound(inbound, _permit) => self.receive(inbound),
            ReplicaMessage::Tick(pending) => {
                pending.store(false, Ordering::Release);
                self.tick();
            }
            ReplicaMessage::DiskFull => self.on_disk_full(),
            ReplicaMessage::BatchWritten(result) => self.on_batch_written(result),
            ReplicaMessage::SnapshotEncoded(index, result) => {
                self.on_snapshot_encoded(index, result)
            }
            ReplicaMessage::Greeted(round) => self.on_greeted(&round),
            ReplicaMessage::PeersFound(peers) => self.set_peers(peers),
            ReplicaMessage::Stop => self.stop(),
        }
    }

    /// Starts the work that the last message made possible: proposals, disk writes, a snapshot, or
    /// the end of a planned stop.
    fn run_pending(&mut self) {
        self.propose();
        self.write();
        self.snapshot();
        self.finish_stop();
    }

    /// Processes messages from another replica, or answers its greeting and lets it join.
    fn receive(&mut self, inbound: Inbound) {
        match inbound {
            Inbound::Frames(envelopes) => {
                for envelope in envelopes {
                    if envelope.to == self.replica.node().id() {
                        self.step(Input::Receive {
                            from: envelope.from,
                            message: envelope.message,
                        });
                    }
                }
            }
            Inbound::Greet(hello, reply) => {
                let _ = reply.send(self.hello());
                if hello.joins && hello.id != self.replica.node().id() {
                    self.step(Input::Join {
                        id: hello.id,
                        address: hello.address,
                        founds: hello.founds,
                    });
                }
            }
        }
    }

    /// Runs the timers of the protocol, and greets the peers if that is due.
    fn tick(&mut self) {
        let was_leader = self.replica.node().leads();
        let mut outputs = Vec::new();
        self.replica.tick(self.timer.now(), &mut outputs);
        self.execute(was_leader, outputs);
        self.greet();
    }

    /// Starts a planned stop.
    fn stop(&mut self) {
        self.writer.give_up();
        if self.stop_deadline.is_none() {
            self.stop_deadline = Some(self.timer.now() + Millis(STOP_TIMEOUT_MILLIS));
            self.step(Input::TransferLeadership);
        }
    }

    /// During a planned stop, ends the actor once it no longer leads and no write or command is
    /// pending. After the deadline only disk writes are still awaited. A leader without other
    /// voters has no successor to wait for.
    fn finish_stop(&mut self) {
        let Some(deadline) = self.stop_deadline else {
            return;
        };
        let alone = self.replica.node().members().voters().count() <= 1;
        let leads = self.replica.node().leads() && !alone && self.timer.now() < deadline;
        let busy = self.writer.busy() || !self.proposed.is_empty() && self.timer.now() < deadline;
        if !leads && !busy && !self.stopped {
            self.stopped = true;
            self.myself.stop(None);
        }
    }
}
