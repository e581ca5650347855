//! Commands and reads: taken in, proposed, answered.

use std::net::SocketAddr;
use std::sync::Arc;

use chestnutnotch_core::command::Command;
use chestnutnotch_core::command::Stamped;
use chestnutnotch_core::id::Operator;
use chestnutnotch_core::replica::Input;
use tokio::sync::OwnedSemaphorePermit;

use super::actor::Proposal;
use super::actor::Proposed;
use super::actor::ReplicaState;
use super::actor::View;
use super::error::ReplicaError;
use super::handle::ReplicaStatus;

/// Commands proposed together.
const BATCH_COMMANDS: usize = 1_024;

/// Largest encoded command.
const COMMAND_BYTES: usize = 16 << 20;

impl ReplicaState {
    pub(super) fn submit(&mut self, proposal: Proposal, permit: OwnedSemaphorePermit) {
        match self.refusal() {
            Some(error) => {
                let _ = proposal.reply.send(Err(error));
            }
            None => self.queue.push((proposal, permit)),
        }
    }

    pub(super) fn read(&mut self, view: View, permit: OwnedSemaphorePermit) {
        if let Some(error) = self.refusal() {
            return view(Err(error));
        }
        self.number += 1;
        self.reads.insert(self.number, (view, permit));
        self.step(Input::Read(self.number));
    }

    /// Why this replica takes no commands and confirmed reads; none if it does.
    pub(super) fn refusal(&self) -> Option<ReplicaError> {
        if self.stopping.is_some() {
            return Some(ReplicaError::Stopped);
        }
        let leads = self.replica.node().leads();
        (!leads).then(|| ReplicaError::NotLeader {
            leader: self.leader(),
        })
    }

    pub(super) fn leader(&self) -> Option<SocketAddr> {
        let node = self.replica.node();
        let leader = node.leader()?;
        let member = node.members().0.get(&leader);
        member
            .map(|member| member.address)
            .or_else(|| self.founding.address(leader))
    }

    pub(super) fn status(&self) -> ReplicaStatus {
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

    pub(super) fn answer_reads(&mut self) {
        while let Some(entry) = self.confirmed.first_entry() {
            if entry.key().0 > self.applied.index {
                return;
            }
            let view = entry.remove();
            view(Ok(&self.applied.machine));
        }
    }

    pub(super) fn drop_proposed(&mut self) {
        for (_, proposed) in std::mem::take(&mut self.proposed) {
            let _ = proposed.reply.send(Err(ReplicaError::NoQuorum));
        }
        let leader = self.leader();
        for (proposal, _) in std::mem::take(&mut self.queue) {
            let _ = proposal.reply.send(Err(ReplicaError::NotLeader { leader }));
        }
    }

    /// Proposes what has gathered while the last batch was written.
    pub(super) fn propose(&mut self) {
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

    pub(super) fn encode(
        &mut self,
        operator: Operator,
        command: Command,
    ) -> Result<Arc<[u8]>, ReplicaError> {
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
}
