//! The actor around a replica.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use chestnutnotch_core::command::Command;
use chestnutnotch_core::command::Reply;
use chestnutnotch_core::command::Stamped;
use chestnutnotch_core::config::Accepted;
use chestnutnotch_core::id::Operator;
use chestnutnotch_core::id::ReplicaId;
use chestnutnotch_core::machine::Machine;
use chestnutnotch_core::map::Map;
use chestnutnotch_core::replica::Founding;
use chestnutnotch_core::replica::Hello;
use chestnutnotch_core::replica::Input;
use chestnutnotch_core::replica::Members;
use chestnutnotch_core::replica::Message;
use chestnutnotch_core::replica::Output;
use chestnutnotch_core::replica::Replica;
use chestnutnotch_core::replica::Round;
use chestnutnotch_core::replica::Snapshot;
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
use super::writer::Writer;
use super::writer::Written;
use crate::edges::disk::DiskError;
use crate::edges::disk::Folder;
use crate::edges::rpc::peer::Envelope;
use crate::edges::rpc::peer::Inbound;
use crate::edges::rpc::peer::Links;
use crate::edges::rpc::peer::Switch;
use crate::timer::Timer;

/// Largest encoded command.
const COMMAND_BYTES: usize = 16 << 20;

/// Commands proposed together.
const BATCH_COMMANDS: usize = 1_024;

/// Part of the snapshot period that stays in memory for followers that are a little behind.
const KEPT_PART: u64 = 4;

/// Longest time that a stopping leader waits for its successor.
const RESIGN_MILLIS: u64 = 500;

const GREET_MIN_MILLIS: u64 = 50;
const GREET_MAX_MILLIS: u64 = 2_000;

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
    Greeted(Round),
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
    /// Addresses of all replicas.
    pub peers: Vec<SocketAddr>,
    /// Own address.
    pub address: SocketAddr,
    /// Entries between snapshots.
    pub compact: u64,
    /// The timer.
    pub timer: Timer,
    /// Cuts links.
    pub switch: Switch,
}

/// The actor.
pub struct ReplicaActor;

/// State of the actor.
pub struct ReplicaState {
    myself: ActorRef<ReplicaMessage>,
    replica: Replica,
    writer: Writer,
    applied: Applied,
    publish: watch::Sender<Arc<Accepted>>,
    queue: Vec<(Proposal, OwnedSemaphorePermit)>,
    proposed: BTreeMap<Index, Proposed>,
    reads: Map<u64, (View, OwnedSemaphorePermit)>,
    confirmed: BTreeMap<(Index, u64), View>,
    number: u64,
    stamp: Millis,
    links: Links,
    founding: Founding,
    greeting: Greeting,
    peers: Vec<SocketAddr>,
    address: SocketAddr,
    compact: u64,
    encoding: bool,
    stopping: Option<Millis>,
    failed: bool,
    timer: Timer,
}

/// A command in the log whose outcome somebody waits for.
struct Proposed {
    term: Term,
    reply: oneshot::Sender<Result<Reply, ReplicaError>>,
    _permit: OwnedSemaphorePermit,
}

/// Rounds of greetings.
struct Greeting {
    running: bool,
    next: Millis,
    pause: u64,
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
            queue: Vec::new(),
            proposed: BTreeMap::new(),
            reads: Map::default(),
            confirmed: BTreeMap::new(),
            number: 0,
            links: Links::new(arguments.address, arguments.switch),
            founding: Founding::default(),
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

    fn submit(&mut self, proposal: Proposal, permit: OwnedSemaphorePermit) {
        match self.refusal() {
            Some(error) => {
                let _ = proposal.reply.send(Err(error));
            }
            None => self.queue.push((proposal, permit)),
        }
    }

    fn read(&mut self, view: View, permit: OwnedSemaphorePermit) {
        if let Some(error) = self.refusal() {
            return view(Err(error));
        }
        self.number += 1;
        self.reads.insert(self.number, (view, permit));
        self.step(Input::Read(self.number));
    }

    /// Why this replica takes no commands and confirmed reads; none if it does.
    fn refusal(&self) -> Option<ReplicaError> {
        if self.stopping.is_some() {
            return Some(ReplicaError::Stopped);
        }
        let leads = self.replica.node().leads();
        (!leads).then(|| ReplicaError::NotLeader {
            leader: self.leader(),
        })
    }

    fn leader(&self) -> Option<SocketAddr> {
        let node = self.replica.node();
        let leader = node.leader()?;
        let member = node.members().0.get(&leader);
        member
            .map(|member| member.address)
            .or_else(|| self.founding.address(leader))
    }

    fn status(&self) -> ReplicaStatus {
        let node = self.replica.node();
        let members = node.log().members_at(node.committed());
        ReplicaStatus {
            id: node.id(),
            term: node.term(),
            leads: node.leads(),
            leader: self.leader(),
            applied: self.applied.index,
            voters: members.voters().collect(),
            learners: members.learners().collect(),
        }
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
                    self.step(Input::Greet {
                        id: hello.id,
                        address: hello.address,
                    });
                }
            }
        }
    }

    fn hello(&self) -> Hello {
        Hello {
            id: self.replica.node().id(),
            blank: self.replica.node().blank(),
            joins: self.replica.node().outside(),
            address: self.address,
        }
    }

    fn tick(&mut self) {
        let led = self.replica.node().leads();
        let mut outputs = Vec::new();
        self.replica.tick(self.timer.now(), &mut outputs);
        self.carry_out(led, outputs);
        self.greet();
    }

    fn step(&mut self, input: Input) {
        let led = self.replica.node().leads();
        let mut outputs = Vec::new();
        self.replica.step(self.timer.now(), input, &mut outputs);
        self.carry_out(led, outputs);
    }

    fn carry_out(&mut self, led: bool, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Save(save) => self.writer.save(save),
                Output::Send {
                    to,
                    message,
                    synced: false,
                } => self.send(to, message),
                Output::Send { to, message, .. } => {
                    if let Some((to, message)) = self.writer.hold(to, message) {
                        self.send(to, message);
                    }
                }
                Output::Commit(index) => self.apply_to(index),
                Output::Restore(snapshot) => self.restore(&snapshot),
                Output::Confirmed { read, index } => {
                    if let Some((view, _)) = self.reads.remove(&read) {
                        self.confirmed.insert((index, read), view);
                    }
                }
                Output::Dropped { read } => {
                    if let Some((view, _)) = self.reads.remove(&read) {
                        view(Err(ReplicaError::NoQuorum));
                    }
                }
                Output::Rest => {}
            }
        }
        self.answer_reads();
        let leads = self.replica.node().leads();
        if led && !leads {
            self.drop_proposed();
        }
        if led != leads {
            let node = self.replica.node();
            let change = if leads { "leads" } else { "no longer leads" };
            log::info!("replica {} {change} in term {}", node.id(), node.term());
        }
    }

    fn send(&mut self, to: ReplicaId, message: Message) {
        let from = self.replica.node().id();
        if to == from {
            return self.step(Input::Receive { from, message });
        }
        let Some(address) = self.address_of(to) else {
            return;
        };
        let envelope = Envelope { from, to, message };
        if let Ok(frame) = envelope.encode() {
            self.links.send(address, frame);
        }
    }

    /// Where a replica is reached: where it answered a greeting, or else the address it gave, if the
    /// settings have it.
    fn address_of(&self, id: ReplicaId) -> Option<SocketAddr> {
        let member = self.replica.node().members().0.get(&id);
        let given = member.map(|member| member.address);
        self.founding
            .address(id)
            .or_else(|| given.filter(|address| self.peers.contains(address)))
    }

    fn apply_to(&mut self, index: Index) {
        while self.applied.index < index {
            let next = self.applied.index.next();
            let Some(entry) = self.replica.node().log().get(next) else {
                return;
            };
            let term = entry.at.term;
            let reply = match self.applied.apply(entry) {
                Ok(reply) => reply,
                Err(error) => return self.fail(&error),
            };
            if let Some(proposed) = self.proposed.remove(&next) {
                let result = match reply {
                    Some(reply) if proposed.term == term => Ok(reply),
                    _ => Err(ReplicaError::NoQuorum),
                };
                let _ = proposed.reply.send(result);
            }
        }
        self.announce();
    }

    fn restore(&mut self, snapshot: &Snapshot) {
        match Applied::restore(snapshot) {
            Ok(applied) => self.applied = applied,
            Err(error) => return self.fail(&error),
        }
        self.announce();
    }

    fn announce(&mut self) {
        let accepted = self.applied.machine.accepted();
        self.publish.send_if_modified(|published| {
            let newer = accepted.revision > published.revision;
            if newer {
                *published = Arc::new(accepted.clone());
            }
            newer
        });
    }

    fn answer_reads(&mut self) {
        while let Some(entry) = self.confirmed.first_entry() {
            if entry.key().0 > self.applied.index {
                return;
            }
            let view = entry.remove();
            view(Ok(&self.applied.machine));
        }
    }

    fn drop_proposed(&mut self) {
        for (_, proposed) in std::mem::take(&mut self.proposed) {
            let _ = proposed.reply.send(Err(ReplicaError::NoQuorum));
        }
        let leader = self.leader();
        for (proposal, _) in std::mem::take(&mut self.queue) {
            let _ = proposal.reply.send(Err(ReplicaError::NotLeader { leader }));
        }
    }

    /// Proposes what has gathered while the last batch was written.
    fn propose(&mut self) {
        if self.queue.is_empty() || self.writer.busy() || !self.replica.node().leads() {
            return;
        }
        let count = self.queue.len().min(BATCH_COMMANDS);
        let batch: Vec<_> = self.queue.drain(..count).collect();
        let mut commands = Vec::with_capacity(batch.len());
        let term = self.replica.node().term();
        let mut index = self.replica.node().log().last().index;
        for (proposal, permit) in batch {
            match self.encode(proposal.operator, proposal.command) {
                Ok(bytes) => {
                    index = index.next();
                    let proposed = Proposed {
                        term,
                        reply: proposal.reply,
                        _permit: permit,
                    };
                    self.proposed.insert(index, proposed);
                    commands.push(bytes);
                }
                Err(error) => {
                    let _ = proposal.reply.send(Err(error));
                }
            }
        }
        self.step(Input::Propose(commands));
    }

    fn encode(&mut self, operator: Operator, command: Command) -> Result<Arc<[u8]>, ReplicaError> {
        self.stamp = self.stamp.max(self.applied.stamp).max(self.timer.unix());
        let stamped = Stamped {
            at: self.stamp,
            operator,
            command,
        };
        match postcard::to_stdvec(&stamped) {
            Ok(bytes) if bytes.len() <= COMMAND_BYTES => Ok(bytes.into()),
            Ok(bytes) => Err(ReplicaError::Oversized(bytes.len())),
            Err(_) => Err(ReplicaError::Oversized(usize::MAX)),
        }
    }

    fn write(&mut self) {
        let Some(write) = self.writer.start() else {
            return;
        };
        let myself = self.myself.clone();
        tokio::task::spawn_blocking(move || {
            let _ = myself.send_message(ReplicaMessage::Wrote(write()));
        });
    }

    fn wrote(&mut self, result: Result<Written, DiskError>) {
        let finished = match result {
            Ok(written) => self.writer.finish(written),
            Err(error) => return self.fail(&error),
        };
        for (to, message) in finished.released {
            self.send(to, message);
        }
        if let Some(last) = finished.last {
            self.step(Input::Synced(last));
        }
    }

    /// Encodes a snapshot when enough entries were applied since the last one.
    fn snapshot(&mut self) {
        let last = self.replica.node().log().snapshot().at.index;
        let index = self.applied.index;
        if self.encoding || index.saturating_sub(last).0 < self.compact {
            return;
        }
        self.encoding = true;
        let applied = self.applied.clone();
        let myself = self.myself.clone();
        tokio::task::spawn_blocking(move || {
            let _ = myself.send_message(ReplicaMessage::Encoded(index, applied.encode()));
        });
    }

    fn encoded(&mut self, index: Index, result: Result<Arc<[u8]>, ApplyError>) {
        self.encoding = false;
        match result {
            Ok(data) => self.step(Input::Compact {
                index,
                data,
                keep: self.compact / KEPT_PART,
            }),
            Err(error) => self.fail(&error),
        }
    }

    /// A group of one is founded at once.
    fn found_alone(&mut self) {
        let own = self.replica.node().id();
        if self.peers.len() <= 1 && self.replica.node().blank() {
            self.step(Input::Found(Members::founders([(own, self.address)])));
        }
    }

    /// Greets the peers while this replica is outside the group, or cannot reach a member.
    fn greet(&mut self) {
        let node = self.replica.node();
        let own = node.id();
        let lost = |id: &ReplicaId| *id != own && self.address_of(*id).is_none();
        let needed = node.outside() || node.members().0.keys().any(lost);
        let now = self.timer.now();
        if !needed || self.greeting.running || now < self.greeting.next {
            return;
        }
        self.greeting.running = true;
        let hello = self.hello();
        let calls: Vec<_> = self
            .peers
            .iter()
            .map(|peer| (*peer, self.links.greet(*peer, hello)))
            .collect();
        let myself = self.myself.clone();
        tokio::spawn(async move {
            let calls = calls
                .into_iter()
                .map(async |(peer, call)| (peer, call.await));
            let round = futures_util::future::join_all(calls).await;
            let _ = myself.send_message(ReplicaMessage::Greeted(round));
        });
    }

    fn greeted(&mut self, round: &Round) {
        let own = self.replica.node().id();
        let members = self.founding.observe(own, round);
        let complete = round.iter().all(|(_, hello)| hello.is_some());
        self.greeting.running = false;
        self.greeting.pause = if complete {
            GREET_MIN_MILLIS
        } else {
            (self.greeting.pause * 2).min(GREET_MAX_MILLIS)
        };
        let pause = std::time::Duration::from_millis(self.greeting.pause);
        let jitter = crate::timer::jitter(pause, &mut rand::rng()).as_millis() as u64;
        self.greeting.next = self.timer.now() + Millis(self.greeting.pause / 2 + jitter);
        if let Some(members) = members
            && self.replica.node().blank()
        {
            log::info!("replica {own} founds a group of {}", members.0.len());
            self.step(Input::Found(members));
        }
    }

    fn stop(&mut self) {
        if self.stopping.is_none() {
            self.stopping = Some(self.timer.now() + Millis(RESIGN_MILLIS));
            self.step(Input::Resign);
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

    /// Stops serving for good: what the disk holds is no longer known, or cannot be read.
    fn fail(&mut self, error: &dyn std::error::Error) {
        if !self.failed {
            log::error!("replica {} stops: {error}", self.replica.node().id());
            self.failed = true;
            self.myself.stop(None);
        }
    }
}
