//! The actor around a replica.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use chestnutnotch_core::command::Command;
use chestnutnotch_core::command::Reply;
use chestnutnotch_core::config::Accepted;
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
use super::handle::ReplicaStatus;
use super::meet::GREET_MIN_MILLIS;
use super::writer::Writer;
use super::writer::Written;
use crate::edges::disk::DiskError;
use crate::edges::disk::Folder;
use crate::edges::rpc::peer::Inbound;
use crate::edges::rpc::peer::LinkFaults;
use crate::edges::rpc::peer::Links;
use crate::settings::DiscoverySettings;
use crate::timer::Timer;

/// Longest time that a stopping leader waits for its successor.
const RESIGN_MILLIS: u64 = 500;

/// A look at the machine, or why there is none.
pub type View = Box<dyn FnOnce(Result<&Machine, ReplicaError>) + Send>;

/// A command that waits.
#[derive(Debug)]
pub struct Proposal {
    /// Who asks.
    pub operator: Operator,
    /// What for.
    pub command: Command,
    /// Where the outcome goes.
    pub reply: oneshot::Sender<Result<Reply, ReplicaError>>,
}

/// What the actor is told. Permits bound what waits.
pub enum ReplicaMessage {
    /// A command.
    Submit(Proposal, OwnedSemaphorePermit),
    /// A read to be confirmed by a quorum.
    Read(View, OwnedSemaphorePermit),
    /// A look at the own state.
    Peek(View, OwnedSemaphorePermit),
    /// A question after the status.
    Status(oneshot::Sender<ReplicaStatus>),
    /// Something arrived from a peer.
    Inbound(Inbound, OwnedSemaphorePermit),
    /// Time passed; the flag is cleared when the tick is taken.
    Tick(Arc<AtomicBool>),
    /// A batch was written, or not.
    Wrote(Result<Written, DiskError>),
    /// A snapshot was encoded, or not.
    Encoded(Index, Result<Arc<[u8]>, ApplyError>),
    /// Peers answered a round of greetings.
    Greeted(HelloRound),
    /// Other replicas were found at these addresses.
    Peers(Vec<SocketAddr>),
    /// The process stops.
    Stop,
}

/// What the actor starts from.
pub struct Arguments {
    /// The protocol.
    pub replica: Replica,
    /// The open data folder.
    pub folder: Folder,
    /// The machine as of the snapshot.
    pub applied: Applied,
    /// Where accepted configurations go.
    pub publish: watch::Sender<Arc<Accepted>>,
    /// Where the pass-through routes go.
    pub plans: watch::Sender<PublishedPlan>,
    /// Whether replicas find each other.
    pub discovery: Option<DiscoverySettings>,
    /// Addresses of all replicas, or of the founders where replicas find each other.
    pub peers: Vec<SocketAddr>,
    /// Own address.
    pub address: SocketAddr,
    /// Entries between snapshots.
    pub compact: u64,
    /// The timer.
    pub timer: Timer,
    /// Cuts links.
    pub switch: LinkFaults,
}

/// The actor.
pub struct ReplicaActor;

/// State of the actor.
pub struct ReplicaState {
    pub(super) myself: ActorRef<ReplicaMessage>,
    pub(super) replica: Replica,
    pub(super) writer: Writer,
    pub(super) applied: Applied,
    pub(super) publish: watch::Sender<Arc<Accepted>>,
    pub(super) plans: watch::Sender<PublishedPlan>,
    pub(super) queue: Vec<(Proposal, OwnedSemaphorePermit)>,
    pub(super) proposed: BTreeMap<Index, Proposed>,
    pub(super) reads: Map<u64, (View, OwnedSemaphorePermit)>,
    pub(super) confirmed: BTreeMap<(Index, u64), View>,
    pub(super) number: u64,
    pub(super) stamp: Millis,
    pub(super) links: Links,
    pub(super) founding: Bootstrap,
    pub(super) greeting: Greeting,
    pub(super) discovery: Option<DiscoverySettings>,
    pub(super) founders: Vec<SocketAddr>,
    pub(super) peers: Vec<SocketAddr>,
    pub(super) address: SocketAddr,
    pub(super) compact: u64,
    pub(super) encoding: bool,
    pub(super) stopping: Option<Millis>,
    pub(super) failed: bool,
    pub(super) timer: Timer,
}

/// A command in the log whose outcome somebody waits for.
pub(super) struct Proposed {
    pub(super) term: Term,
    pub(super) reply: oneshot::Sender<Result<Reply, ReplicaError>>,
    pub(super) _permit: OwnedSemaphorePermit,
}

/// Rounds of greetings.
pub(super) struct Greeting {
    pub(super) running: bool,
    pub(super) next: Millis,
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
        state.found_alone();
        state.settle();
        Ok(state)
    }

    async fn handle(
        &self,
        _myself: ActorRef<Self::Msg>,
        message: Self::Msg,
        state: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        state.handle(message);
        state.settle();
        Ok(())
    }
}

impl ReplicaState {
    fn new(myself: ActorRef<ReplicaMessage>, arguments: Arguments) -> Self {
        Self {
            myself,
            replica: arguments.replica,
            writer: Writer::new(arguments.folder),
            stamp: arguments.applied.stamp,
            applied: arguments.applied,
            publish: arguments.publish,
            plans: arguments.plans,
            discovery: arguments.discovery,
            founders: arguments.peers.clone(),
            queue: Vec::new(),
            proposed: BTreeMap::new(),
            reads: Map::default(),
            confirmed: BTreeMap::new(),
            number: 0,
            links: Links::new(arguments.address, arguments.switch),
            founding: Bootstrap::default(),
            greeting: Greeting {
                running: false,
                next: Millis::ZERO,
                pause: GREET_MIN_MILLIS,
            },
            peers: arguments.peers,
            address: arguments.address,
            compact: arguments.compact.max(1),
            encoding: false,
            stopping: None,
            failed: false,
            timer: arguments.timer,
        }
    }

    fn handle(&mut self, message: ReplicaMessage) {
        match message {
            ReplicaMessage::Submit(proposal, permit) => self.submit(proposal, permit),
            ReplicaMessage::Read(view, permit) => self.read(view, permit),
            ReplicaMessage::Peek(view, _permit) => view(Ok(&self.applied.machine)),
            ReplicaMessage::Status(reply) => {
                let _ = reply.send(self.status());
            }
            ReplicaMessage::Inbound(inbound, _permit) => self.receive(inbound),
            ReplicaMessage::Tick(pending) => {
                pending.store(false, Ordering::Release);
                self.tick();
            }
            ReplicaMessage::Wrote(result) => self.wrote(result),
            ReplicaMessage::Encoded(index, result) => self.encoded(index, result),
            ReplicaMessage::Greeted(round) => self.greeted(&round),
            ReplicaMessage::Peers(peers) => self.meet(peers),
            ReplicaMessage::Stop => self.stop(),
        }
    }

    /// Brings what the last message left to its end: proposals, writes, snapshots.
    fn settle(&mut self) {
        self.propose();
        self.write();
        self.snapshot();
        self.finish();
    }

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
                    });
                }
            }
        }
    }

    fn tick(&mut self) {
        let led = self.replica.node().leads();
        let mut outputs = Vec::new();
        self.replica.tick(self.timer.now(), &mut outputs);
        self.carry_out(led, outputs);
        self.greet();
    }

    fn stop(&mut self) {
        if self.stopping.is_none() {
            self.stopping = Some(self.timer.now() + Millis(RESIGN_MILLIS));
            self.step(Input::TransferLeadership);
        }
    }

    /// Ends the actor when it stops and nothing is under way any more.
    fn finish(&mut self) {
        let Some(until) = self.stopping else {
            return;
        };
        let alone = self.replica.node().members().voters().count() <= 1;
        let leads = self.replica.node().leads() && !alone && self.timer.now() < until;
        let busy = self.writer.busy() || !self.proposed.is_empty() && self.timer.now() < until;
        if !leads && !busy && !self.failed {
            self.failed = true;
            self.myself.stop(None);
        }
    }
}
