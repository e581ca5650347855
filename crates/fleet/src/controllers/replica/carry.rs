//! Carries out what the protocol asks for: writes, messages, applied entries, snapshots.

use std::net::SocketAddr;
use std::sync::Arc;

use chestnutnotch_core::id::ReplicaId;
use chestnutnotch_core::replica::Input;
use chestnutnotch_core::replica::Message;
use chestnutnotch_core::replica::Output;
use chestnutnotch_core::replica::Snapshot;
use chestnutnotch_core::unit::Index;

use super::actor::ReplicaMessage;
use super::actor::ReplicaState;
use super::apply::Applied;
use super::apply::ApplyError;
use super::error::ReplicaError;
use super::writer::Written;
use crate::edges::disk::DiskError;
use crate::edges::rpc::peer::Envelope;

/// Part of the snapshot period that stays in memory for followers that are a little behind.
const KEPT_PART: u64 = 4;

impl ReplicaState {
    pub(super) fn step(&mut self, input: Input) {
        let led = self.replica.node().leads();
        let mut outputs = Vec::new();
        self.replica.step(self.timer.now(), input, &mut outputs);
        self.carry_out(led, outputs);
    }

    pub(super) fn carry_out(&mut self, led: bool, outputs: Vec<Output>) {
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
                Output::Commit(index) => self.apply_to(index),
                Output::Restore(snapshot) => self.restore(&snapshot),
                Output::ReadConfirmed { read, index } => {
                    if let Some((view, _)) = self.reads.remove(&read) {
                        self.confirmed.insert((index, read), view);
                    }
                }
                Output::ReadDropped { read } => {
                    if let Some((view, _)) = self.reads.remove(&read) {
                        view(Err(ReplicaError::NoQuorum));
                    }
                }
                Output::ResetTimer => {}
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

    pub(super) fn send(&mut self, to: ReplicaId, message: Message) {
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
    pub(super) fn address_of(&self, id: ReplicaId) -> Option<SocketAddr> {
        let member = self.replica.node().members().0.get(&id);
        let given = member.map(|member| member.address);
        self.founding
            .address(id)
            .or_else(|| given.filter(|at| self.discovery.is_some() || self.peers.contains(at)))
    }

    pub(super) fn apply_to(&mut self, index: Index) {
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

    pub(super) fn restore(&mut self, snapshot: &Snapshot) {
        match Applied::restore(snapshot) {
            Ok(applied) => self.applied = applied,
            Err(error) => return self.fail(&error),
        }
        self.announce();
    }

    pub(super) fn announce(&mut self) {
        let accepted = self.applied.machine.accepted();
        self.publish.send_if_modified(|published| {
            let newer = accepted.revision > published.revision;
            if newer {
                *published = Arc::new(accepted.clone());
            }
            newer
        });
        let plan = self.applied.machine.plan();
        self.plans.send_if_modified(|held| {
            let newer = plan.version > held.version;
            if newer {
                *held = plan.clone();
            }
            newer
        });
    }

    pub(super) fn write(&mut self) {
        let Some(write) = self.writer.start() else {
            return;
        };
        let myself = self.myself.clone();
        tokio::task::spawn_blocking(move || {
            let _ = myself.send_message(ReplicaMessage::Wrote(write()));
        });
    }

    pub(super) fn wrote(&mut self, result: Result<Written, DiskError>) {
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
    pub(super) fn snapshot(&mut self) {
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

    pub(super) fn encoded(&mut self, index: Index, result: Result<Arc<[u8]>, ApplyError>) {
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

    /// Stops serving for good: what the disk holds is no longer known, or cannot be read.
    pub(super) fn fail(&mut self, error: &dyn std::error::Error) {
        if !self.failed {
            log::error!("replica {} stops: {error}", self.replica.node().id());
            self.failed = true;
            self.myself.stop(None);
        }
    }
}
