//! Executes the outputs of the protocol: disk writes, messages, committed entries and snapshots.

use std::net::SocketAddr;
use std::sync::Arc;

use chestnutnotch_core::id::ReplicaId;
use chestnutnotch_core::replica::Input;
use chestnutnotch_core::replica::MemberChange;
use chestnutnotch_core::replica::Message;
use chestnutnotch_core::replica::Output;
use chestnutnotch_core::replica::Snapshot;
use chestnutnotch_core::unit::Index;

use super::actor::ReplicaMessage;
use super::actor::ReplicaState;
use super::apply::Applied;
use super::apply::ApplyError;
use super::error::ReplicaError;
use super::writer::WrittenBatch;
use crate::edges::disk::DiskError;
use crate::edges::rpc::peer::Envelope;

/// The log keeps entries before a snapshot for followers that lag slightly: the limits after which a
/// snapshot is due, divided by this.
const KEPT_ENTRIES_DIVISOR: u64 = 4;

/// Replicas take snapshots after one of this many sizes of the log, which differ by this part.
const STAGGERED_SIZES: u64 = 4;
const STAGGER_DIVISOR: u64 = 16;

impl ReplicaState {
    /// Passes an input to the protocol and executes the outputs.
    pub(super) fn step(&mut self, input: Input) {
        let was_leader = self.replica.node().leads();
        let mut outputs = Vec::new();
        self.replica.step(self.timer.now(), input, &mut outputs);
        self.execute(was_leader, outputs);
    }

    /// Executes outputs of the protocol. `was_leader` tells whether this replica was the leader
    /// before the step that produced them.
    pub(super) fn execute(&mut self, was_leader: bool, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Save(save) => self.writer.save(save),
                Output::Send {
                    to,
                    message,
                    after_sync: false,
                } => self.send(to, message),
                Output::Send { to, message, .. } => {
                    if let Some((to, message)) = self.writer.hold(to, message) {
                        self.send(to, message);
                    }
                }
                Output::Commit(index) => self.apply_up_to(index),
                Output::Restore(snapshot) => self.restore(&snapshot),
                Output::ReadConfirmed { read, index } => {
                    if let Some((query, _)) = self.reads.remove(&read) {
                        self.confirmed.insert((index, read), query);
                    }
                }
                Output::ReadDropped { read } => {
                    if let Some((query, _)) = self.reads.remove(&read) {
                        query(Err(ReplicaError::NoQuorum));
                    }
                }
                Output::ResetTimer => {}
                Output::Changed(change) => self.log_change(change),
            }
        }
        self.answer_reads();
        let leads = self.replica.node().leads();
        if was_leader && !leads {
            self.fail_pending();
        }
        if was_leader != leads {
            let node = self.replica.node();
            let change = if leads { "leads" } else { "no longer leads" };
            log::info!("replica {} {change} in term {}", node.id(), node.term());
        }
        self.log_leader();
        self.log_vote();
    }

    /// Logs a membership change of this leader.
    fn log_change(&self, change: MemberChange) {
        let node = self.replica.node();
        let members = node.members();
        let id = change.member();
        // A removed member is still in the committed membership.
        let committed = node.log().members_at(node.committed());
        let member = members.0.get(&id).or_else(|| committed.0.get(&id));
        let address = member.map(|member| member.address.to_string());
        let successor = match change {
            MemberChange::Succeeded { successor, .. } => successor.to_string(),
            _ => String::new(),
        };
        let (voters, learners) = (members.voters().count(), members.learners().count());
        log::info!(
            member:% = id, address = address.unwrap_or_default(), successor = successor,
            voters = voters, learners = learners;
            "member {}", change.name()
        );
    }

    /// Logs when this replica gets or loses its vote, as far as its log says.
    fn log_vote(&mut self) {
        let node = self.replica.node();
        let votes = node.members().is_voter(node.id());
        if votes != self.votes {
            let change = if votes { "votes" } else { "has no vote" };
            log::info!(
                "replica {} {change} from entry {}",
                node.id(),
                node.log().members_index()
            );
            self.votes = votes;
        }
    }

    /// Logs when the leader is lost, and when one is known again.
    fn log_leader(&mut self) {
        let node = self.replica.node();
        match (node.leader(), self.leaderless) {
            (None, None) => {
                log::warn!(
                    "replica {} knows no leader in term {}",
                    node.id(),
                    node.term()
                );
                self.leaderless = Some(self.timer.now());
            }
            (Some(leader), Some(since)) => {
                let elapsed = self.timer.now().saturating_sub(since);
                let term = node.term();
                log::info!(ms = elapsed.0; "replica {leader} leads in term {term}, after a time without a leader");
                self.leaderless = None;
            }
            (None, Some(_)) | (Some(_), None) => {}
        }
    }

    /// Sends a message. It is lost if the replica's address is not known or the connection is
    /// overloaded; the protocol sends again.
    pub(super) fn send(&mut self, to: ReplicaId, message: Message) {
        let from = self.replica.node().id();
        if to == from {
            return self.step(Input::Receive { from, message });
        }
        // A leader without room falls silent, so that another one is elected.
        if self.disk_full && self.replica.node().leads() {
            return;
        }
        let Some(address) = self.address_of(to) else {
            return;
        };
        let envelope = Envelope { from, to, message };
        if let Ok(frame) = envelope.encode() {
            self.links.send(address, frame);
        }
    }

    /// Returns the address of a replica: the one at which it answered a greeting, or else the one
    /// in the membership. Without discovery the latter has to be a configured address.
    pub(super) fn address_of(&self, id: ReplicaId) -> Option<SocketAddr> {
        let member = self.replica.node().members().0.get(&id);
        let given = member.map(|member| member.address);
        self.bootstrap
            .address(id)
            .or_else(|| given.filter(|at| self.discovery.is_some() || self.peers.contains(at)))
    }

    /// Applies all committed entries up to an index and answers their callers.
    pub(super) fn apply_up_to(&mut self, index: Index) {
        while self.applied.index < index {
            let next = self.applied.index.next();
            let Some(entry) = self.replica.node().log().get(next) else {
                return;
            };
            let term = entry.at.term;
            self.applied_bytes += entry.payload.size() as u64;
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
        self.publish_changes();
    }

    /// Replaces the state machine with the one in a snapshot.
    pub(super) fn restore(&mut self, snapshot: &Snapshot) {
        match Applied::restore(snapshot) {
            Ok(applied) => {
                self.applied = applied;
                self.applied_bytes = 0;
            }
            Err(error) => return self.fail(&error),
        }
        self.publish_changes();
    }

    /// Publishes the configuration, the pass-through routes and the evacuations if they changed.
    pub(super) fn publish_changes(&mut self) {
        let accepted = self.applied.machine.accepted();
        self.accepted_tx.send_if_modified(|published| {
            let newer = accepted.revision > published.revision;
            if newer {
                *published = Arc::new(accepted.clone());
            }
            newer
        });
        let plan = self.applied.machine.plan();
        self.plan_tx.send_if_modified(|held| {
            let newer = plan.version > held.version;
            if newer {
                *held = plan.clone();
            }
            newer
        });
        let evacuations = self.applied.machine.evacuations();
        self.evacuations_tx
            .send_if_modified(|held| held.merge(evacuations));
    }

    /// Starts the next batch of disk writes, unless there is none or one is in progress.
    pub(super) fn write(&mut self) {
        let myself = self.myself.clone();
        let on_full = move || {
            // Fails only if the actor has stopped.
            let _ = myself.send_message(ReplicaMessage::DiskFull);
        };
        let Some(write) = self.writer.start(on_full) else {
            return;
        };
        let myself = self.myself.clone();
        tokio::task::spawn_blocking(move || {
            let _ = myself.send_message(ReplicaMessage::BatchWritten(write()));
        });
    }

    /// Sends the messages that waited for a batch, and tells the protocol which entries are
    /// durable.
    pub(super) fn on_batch_written(&mut self, result: Result<WrittenBatch, DiskError>) {
        self.disk_full = false;
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

    /// Returns the size of applied commands after which a snapshot is due, in bytes. With a large state
    /// it is up to twice the setting, so that less is written. It differs between replicas, so that not
    /// all of them write a snapshot at the same entry.
    pub(super) fn due_bytes(&self) -> u64 {
        let state = self.replica.node().log().snapshot().data.len() as u64;
        let due = self.snapshot_due.bytes;
        let due = state.clamp(due, due.saturating_mul(2));
        due - due / STAGGER_DIVISOR * (self.replica.node().id().0 % STAGGERED_SIZES)
    }

    /// Starts to encode a snapshot when enough was applied since the last one.
    pub(super) fn snapshot(&mut self) {
        let last = self.replica.node().log().snapshot().at.index;
        let index = self.applied.index;
        let entries = index.saturating_sub(last).0;
        let is_due = entries >= self.snapshot_due.entries || self.applied_bytes >= self.due_bytes();
        if self.encoding || !is_due || entries == 0 {
            return;
        }
        self.applied_bytes = 0;
        self.encoding = true;
        let applied = self.applied.clone();
        let myself = self.myself.clone();
        tokio::task::spawn_blocking(move || {
            let _ = myself.send_message(ReplicaMessage::SnapshotEncoded(index, applied.encode()));
        });
    }

    /// Compacts the log with an encoded snapshot.
    pub(super) fn on_snapshot_encoded(
        &mut self,
        index: Index,
        result: Result<Arc<[u8]>, ApplyError>,
    ) {
        self.encoding = false;
        match result {
            Ok(data) => {
                let due = self.snapshot_due;
                let kept_bytes = (due.bytes / KEPT_ENTRIES_DIVISOR) as usize;
                let kept = self.replica.node().log().count_back(index, kept_bytes);
                let keep = kept.min(due.entries / KEPT_ENTRIES_DIVISOR);
                self.step(Input::Compact { index, data, keep });
            }
            Err(error) => self.fail(&error),
        }
    }

    /// Stops the actor after an error: the content of the disk is unknown, or an entry or snapshot
    /// cannot be decoded.
    pub(super) fn fail(&mut self, error: &dyn std::error::Error) {
        if !self.stopped {
            log::error!("replica {} stops: {error}", self.replica.node().id());
            self.stopped = true;
            self.myself.stop(None);
        }
    }
}
