//! Accepts, proposes and answers commands and reads.

use std::net::SocketAddr;
use std::sync::Arc;

use chestnutnotch_core::command::Command;
use chestnutnotch_core::command::Stamped;
use chestnutnotch_core::id::Operator;
use chestnutnotch_core::replica::Input;
use chestnutnotch_core::route::Adopt;
use chestnutnotch_core::unit::Millis;
use tokio::sync::OwnedSemaphorePermit;

use super::actor::Proposal;
use super::actor::Proposed;
use super::actor::Query;
use super::actor::QueuedCommand;
use super::actor::ReplicaState;
use super::error::ReplicaError;
use super::handle::LogStatus;
use super::handle::ReplicaStatus;

/// Largest number of commands proposed together.
const MAX_BATCH_COMMANDS: usize = 1_024;

/// Size of the commands proposed together after which no further one is added, in bytes.
const MAX_BATCH_BYTES: usize = 1 << 20;

/// Largest size of an encoded command, and of all commands that wait to be proposed.
const MAX_COMMAND_BYTES: usize = 16 << 20;

/// The log of a leader holds at most this many times the bytes after which a snapshot is due. Beyond
/// that, commands wait for a snapshot, or for the quorum without which there is none.
const MAX_LOG_FACTOR: u64 = 4;

impl ReplicaState {
    /// Queues a command for the next batch, or refuses it.
    pub(super) fn submit(&mut self, proposal: Proposal, permit: OwnedSemaphorePermit) {
        if let Some(error) = self.refusal() {
            let _ = proposal.reply.send(Err(error));
            return;
        }
        let command = self.without_stale_source(proposal.command);
        let encoded = self.encode(proposal.operator, command);
        let bytes = encoded.and_then(|bytes| match self.queue.size + bytes.len() {
            size if size > MAX_COMMAND_BYTES && !self.queue.commands.is_empty() => {
                Err(ReplicaError::Busy)
            }
            _ => Ok(bytes),
        });
        match bytes {
            Ok(bytes) => self.queue.push(QueuedCommand {
                bytes,
                reply: proposal.reply,
                permit,
            }),
            Err(error) => {
                let _ = proposal.reply.send(Err(error));
            }
        }
    }

    /// Starts a linearizable read, or refuses it.
    pub(super) fn read(&mut self, query: Query, permit: OwnedSemaphorePermit) {
        if let Some(error) = self.refusal() {
            return query(Err(error));
        }
        self.last_read += 1;
        self.reads.insert(self.last_read, (query, permit));
        self.step(Input::Read(self.last_read));
    }

    /// Returns why this replica refuses commands and linearizable reads, or `None` if it accepts
    /// them.
    pub(super) fn refusal(&self) -> Option<ReplicaError> {
        if self.stop_deadline.is_some() {
            return Some(ReplicaError::Stopped);
        }
        let leads = self.replica.node().leads();
        match (leads, self.disk_full) {
            (true, false) => None,
            (true, true) => Some(ReplicaError::NotLeader { leader: None }),
            (false, _) => Some(ReplicaError::NotLeader {
                leader: self.leader(),
            }),
        }
    }

    /// Refuses the queued commands of a leader whose disk is full. Those in the log are answered once
    /// another replica leads.
    pub(super) fn on_disk_full(&mut self) {
        self.disk_full = true;
        self.refuse_queued(None);
    }

    /// Returns the address of the leader, if known: the one in the membership, or else the one at
    /// which it answered a greeting.
    pub(super) fn leader(&self) -> Option<SocketAddr> {
        let node = self.replica.node();
        let leader = node.leader()?;
        let member = node.members().0.get(&leader);
        member
            .map(|member| member.address)
            .or_else(|| self.bootstrap.address(leader))
    }

    /// Returns the status. Its membership is the committed one.
    pub(super) fn status(&self) -> ReplicaStatus {
        let node = self.replica.node();
        let log = node.log();
        let members = log.members_at(node.committed());
        let lacking = |(id, matched)| {
            let count = log.last().index.saturating_sub(matched).0;
            (count > 0).then_some((id, count))
        };
        ReplicaStatus {
            id: node.id(),
            term: node.term(),
            leads: node.leads(),
            leader: self.leader(),
            applied: self.applied.index,
            voters: members.voters().collect(),
            learners: members.learners().collect(),
            log: LogStatus {
                last: log.last().index,
                bytes: log.size(),
                snapshot: log.snapshot().at.index,
                snapshot_bytes: log.snapshot().data.len(),
                disk_full: self.disk_full,
                held: self.held,
            },
            leaderless: match self.leaderless {
                Some(since) => self.timer.now().saturating_sub(since),
                None => Millis::ZERO,
            },
            behind: node.progress().into_iter().filter_map(lacking).collect(),
        }
    }

    /// Answers the confirmed reads whose entry has been applied.
    pub(super) fn answer_reads(&mut self) {
        while let Some(entry) = self.confirmed.first_entry() {
            if entry.key().0 > self.applied.index {
                return;
            }
            let query = entry.remove();
            query(Ok(&self.applied.machine));
        }
    }

    /// Fails all pending commands after leadership was lost. Those in the log may still take
    /// effect; those in the queue do not.
    pub(super) fn fail_pending(&mut self) {
        for (_, proposed) in std::mem::take(&mut self.proposed) {
            let _ = proposed.reply.send(Err(ReplicaError::NoQuorum));
        }
        self.refuse_queued(self.leader());
        self.held = false;
    }

    /// Refuses the queued commands and names the leader, if it is known.
    fn refuse_queued(&mut self, leader: Option<SocketAddr>) {
        while let Some(queued) = self.queue.pop() {
            let _ = queued.reply.send(Err(ReplicaError::NotLeader { leader }));
        }
    }

    /// Proposes the commands that were queued while the last batch was written to disk.
    pub(super) fn propose(&mut self) {
        let node = self.replica.node();
        if self.queue.commands.is_empty() || self.writer.busy() || !node.leads() {
            return;
        }
        let is_held =
            node.log().size() as u64 >= self.snapshot_due.bytes.saturating_mul(MAX_LOG_FACTOR);
        if is_held != self.held {
            self.held = is_held;
            let size = node.log().size();
            match is_held {
                true => log::warn!("commands wait until the log of {size} bytes is compacted"),
                false => log::info!("commands go on with a log of {size} bytes"),
            }
        }
        if is_held {
            return;
        }
        let term = node.term();
        let mut index = node.log().last().index;
        let mut commands = Vec::new();
        let mut size = 0;
        while commands.len() < MAX_BATCH_COMMANDS
            && size < MAX_BATCH_BYTES
            && let Some(queued) = self.queue.pop()
        {
            if queued.reply.is_closed() {
                // The caller has given up, and sends the command again if it needs it.
                continue;
            }
            size += queued.bytes.len();
            index = index.next();
            let proposed = Proposed {
                term,
                reply: queued.reply,
                _permit: queued.permit,
            };
            self.proposed.insert(index, proposed);
            commands.push(queued.bytes);
        }
        self.step(Input::Propose(commands));
    }

    /// Drops the document of routes that cannot come into force any more, since a version that is not
    /// lower has been applied. Resent documents would fill the log otherwise.
    fn without_stale_source(&self, command: Command) -> Command {
        match command {
            Command::Adopt(adopt) if adopt.version <= self.applied.machine.plan().version => {
                Command::Adopt(Adopt {
                    version: adopt.version,
                    source: Arc::default(),
                    prepaid: Vec::new(),
                })
            }
            command => command,
        }
    }

    /// Encodes a command with its operator and timestamp.
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
            Ok(bytes) if bytes.len() <= MAX_COMMAND_BYTES => Ok(bytes.into()),
            Ok(bytes) => Err(ReplicaError::Oversized(bytes.len())),
            Err(_) => Err(ReplicaError::Oversized(usize::MAX)),
        }
    }
}
