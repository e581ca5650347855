//! Snapshots: log compaction, and transfer to members whose next entry was compacted away.

use std::sync::Arc;

use super::input::Output;
use super::input::Save;
use super::log::Position;
use super::log::Snapshot;
use super::message::AppendOutcome;
use super::message::Appended;
use super::message::Chunk;
use super::message::Message;
use super::node::Node;
use super::node::Role;
use super::peer::SendMode;
use crate::id::ReplicaId;
use crate::unit::Index;

/// Maximum size of the data in one chunk.
const SNAPSHOT_CHUNK_BYTES: u64 = 256 << 10;

/// Maximum size of a snapshot that a follower accepts.
const MAX_SNAPSHOT_BYTES: u64 = 1 << 30;

/// A snapshot that a follower is receiving.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct IncomingSnapshot {
    /// Position of the last entry contained in the snapshot.
    at: Position,
    /// Data received so far.
    data: Vec<u8>,
}

impl Node {
    /// Stores a snapshot of this node's own state and compacts the log, except for the last `keep`
    /// entries up to it. Ignored if the entry is not committed or not newer than the last snapshot.
    pub(super) fn compact(
        &mut self,
        index: Index,
        data: Arc<[u8]>,
        keep: u64,
        out: &mut Vec<Output>,
    ) {
        let Some(term) = self.log.term(index) else {
            return;
        };
        if index > self.commit || index <= self.log.snapshot().at.index {
            return;
        }
        let snapshot = Arc::new(Snapshot {
            at: Position { term, index },
            members: self.log.members_at(index).clone(),
            data,
        });
        self.log.compact(Arc::clone(&snapshot), keep);
        out.push(Output::Save(Save::Compact(snapshot)));
    }

    /// Starts to send the latest snapshot to a member.
    pub(super) fn start_snapshot(&mut self, to: ReplicaId, out: &mut Vec<Output>) {
        let snapshot = Arc::clone(self.log.snapshot());
        if let Role::Leader(leader) = &mut self.role
            && let Some(peer) = leader.peers.get_mut(&to)
        {
            peer.mode = SendMode::Snapshot {
                snapshot,
                offset: 0,
                sent_round: leader.round,
            };
        }
        self.send_chunk(to, out);
    }

    /// Sends the next chunk of the snapshot that a member is receiving.
    fn send_chunk(&mut self, to: ReplicaId, out: &mut Vec<Output>) {
        if let Role::Leader(leader) = &mut self.role
            && let Some(peer) = leader.peers.get_mut(&to)
            && let SendMode::Snapshot { sent_round, .. } = &mut peer.mode
        {
            *sent_round = leader.round;
        }
        self.send_chunk_data(to, SNAPSHOT_CHUNK_BYTES, out);
    }

    /// Sends a chunk without data to a member that is receiving a snapshot. The response tells
    /// whether the last chunk was lost.
    pub(super) fn send_chunk_heartbeat(&self, to: ReplicaId, out: &mut Vec<Output>) {
        self.send_chunk_data(to, 0, out);
    }

    /// Sends a member up to `max_bytes` of the snapshot that it is receiving.
    fn send_chunk_data(&self, to: ReplicaId, max_bytes: u64, out: &mut Vec<Output>) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let Some(peer) = leader.peers.get(&to) else {
            return;
        };
        let SendMode::Snapshot {
            snapshot, offset, ..
        } = &peer.mode
        else {
            return;
        };
        let size = snapshot.data.len() as u64;
        let end = offset.saturating_add(max_bytes).min(size);
        let bytes = snapshot
            .data
            .get(*offset as usize..end as usize)
            .unwrap_or(&[]);
        let message = Message::Chunk(Chunk {
            term: self.term,
            round: leader.round,
            at: snapshot.at,
            members: snapshot.members.clone(),
            size,
            offset: *offset,
            bytes: bytes.into(),
        });
        out.push(Output::Send {
            to,
            message,
            after_sync: false,
        });
    }

    pub(super) fn on_chunk(&mut self, from: ReplicaId, chunk: Chunk, out: &mut Vec<Output>) {
        if self.leads() {
            return;
        }
        self.accept_leader(from, out);
        let round = chunk.round;
        let at = chunk.at;
        if at.index <= self.commit {
            return self.send_matched(from, round, self.commit, out);
        }
        if chunk.size > MAX_SNAPSHOT_BYTES {
            return;
        }
        let Role::Follower(partial) = &mut self.role else {
            return;
        };
        let mut incoming = partial
            .take()
            .filter(|incoming| incoming.at == at)
            .unwrap_or(IncomingSnapshot {
                at,
                data: Vec::new(),
            });
        let remaining = chunk.size.saturating_sub(chunk.offset);
        if chunk.offset == incoming.data.len() as u64 && chunk.bytes.len() as u64 <= remaining {
            incoming.data.extend_from_slice(&chunk.bytes);
        }
        let offset = incoming.data.len() as u64;
        if offset < chunk.size {
            *partial = Some(incoming);
            let term = self.term;
            let message = Message::Chunked {
                term,
                round,
                at,
                offset,
            };
            return self.send_after_sync(from, message, out);
        }
        self.install(
            Snapshot {
                at,
                members: chunk.members,
                data: incoming.data.into(),
            },
            out,
        );
        self.send_matched(from, round, at.index, out);
    }

    /// Replaces log and state by a snapshot that was received completely.
    fn install(&mut self, snapshot: Snapshot, out: &mut Vec<Output>) {
        let snapshot = Arc::new(snapshot);
        let at = snapshot.at;
        self.log.install(Arc::clone(&snapshot));
        self.commit = at.index;
        self.synced = self.synced.min(self.log.last().index).max(at.index);
        out.push(Output::Save(Save::Install(Arc::clone(&snapshot))));
        let kept = self.log.slice(at.index.next(), usize::MAX, usize::MAX);
        if !kept.is_empty() {
            out.push(Output::Save(Save::Entries(kept.to_vec())));
        }
        out.push(Output::Restore(snapshot));
    }

    /// Tells the leader that this node's log is durable and equal to the leader's up to an index.
    fn send_matched(&self, to: ReplicaId, round: u64, index: Index, out: &mut Vec<Output>) {
        let message = Message::Appended(Appended {
            term: self.term,
            round,
            outcome: AppendOutcome::Matched(index),
        });
        self.send_after_sync(to, message, out);
    }

    pub(super) fn on_chunked(
        &mut self,
        from: ReplicaId,
        round: u64,
        at: Position,
        offset: u64,
        out: &mut Vec<Output>,
    ) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(peer) = leader.peers.get_mut(&from) else {
            return;
        };
        peer.active = true;
        peer.durable = true;
        peer.acked_round = peer.acked_round.max(round.min(leader.round));
        let due = match &mut peer.mode {
            SendMode::Snapshot {
                snapshot,
                offset: sent,
                sent_round,
            } if snapshot.at == at => {
                // A response to a later round at the same offset shows that the chunk was lost.
                let due = *sent != offset || round > *sent_round;
                *sent = offset.min(snapshot.data.len() as u64);
                due
            }
            _ => false,
        };
        self.confirm_reads(out);
        if due {
            self.send_chunk(from, out);
        }
    }
}
