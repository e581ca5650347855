//! Log replication and commitment.

use super::input::Output;
use super::input::Save;
use super::log::Entry;
use super::log::Payload;
use super::log::Position;
use super::message::Append;
use super::message::AppendOutcome;
use super::message::Appended;
use super::message::Message;
use super::node::Node;
use super::node::Role;
use super::peer::Peer;
use super::peer::SendMode;
use crate::id::ReplicaId;
use crate::unit::Index;

/// Maximum number of entries in one append.
const MAX_APPEND_ENTRIES: usize = 1024;

/// Maximum total size of the commands in one append, unless a single command is larger.
const MAX_APPEND_BYTES: usize = 256 << 10;

impl Node {
    /// Appends entries of the current term to the leader's log and sends them to the members.
    pub(super) fn append_payloads(&mut self, payloads: Vec<Payload>, out: &mut Vec<Output>) {
        let mut entries = Vec::with_capacity(payloads.len());
        for payload in payloads {
            let at = Position {
                term: self.term,
                index: self.log.last().index.next(),
            };
            let entry = Entry { at, payload };
            self.log.push(entry.clone());
            entries.push(entry);
        }
        out.push(Output::Save(Save::Entries(entries)));
        self.update_peers();
        self.broadcast_append(false, out);
    }

    /// Tracks the progress of exactly the current members, after the membership may have changed.
    fn update_peers(&mut self) {
        let next = self.log.last().index;
        let id = self.id;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let members = self.log.members();
        leader.peers.retain(|peer, _| members.0.contains_key(peer));
        for member in members.0.keys().filter(|member| **member != id) {
            leader
                .peers
                .entry(*member)
                .or_insert_with(|| Peer::new(next));
        }
    }

    /// Starts a new heartbeat round and sends a message of it to each member.
    pub(super) fn start_round(&mut self, out: &mut Vec<Output>) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        leader.round += 1;
        self.broadcast_append(true, out);
        self.confirm_reads(out);
    }

    /// Sends each member the entries that it lacks, and a message in any case if `heartbeat` is
    /// set.
    fn broadcast_append(&mut self, heartbeat: bool, out: &mut Vec<Output>) {
        let members: Vec<ReplicaId> = self.members().0.keys().copied().collect();
        for member in members {
            self.send_append(member, heartbeat, out);
        }
    }

    /// Sends the entries that a member lacks, as far as its mode allows. If `heartbeat` is set, at
    /// least one message is sent, without entries if need be: a heartbeat does not repeat entries
    /// that may still be on their way.
    pub(super) fn send_append(&mut self, to: ReplicaId, heartbeat: bool, out: &mut Vec<Output>) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(peer) = leader.peers.get_mut(&to) else {
            return;
        };
        if heartbeat && peer.awaits_response() {
            out.push(Output::Send {
                to,
                message: Message::Append(Append::unordered(self.term, leader.round)),
                after_sync: false,
            });
        }
        if matches!(peer.mode, SendMode::Snapshot { .. }) {
            if heartbeat {
                self.send_chunk_heartbeat(to, out);
            }
            return;
        }
        let mut heartbeat = heartbeat;
        while heartbeat || (peer.can_send(&self.log) && peer.next <= self.log.last().index) {
            let index = peer.next.saturating_sub(Index(1));
            let Some(term) = self.log.term(index) else {
                return self.start_snapshot(to, out);
            };
            let max_entries = if self.mutations.single_entry {
                1
            } else {
                MAX_APPEND_ENTRIES
            };
            let entries = match peer.can_send(&self.log) {
                true => self.log.slice(peer.next, max_entries, MAX_APPEND_BYTES),
                false => &[],
            };
            match &mut peer.mode {
                SendMode::Probe { unanswered } => *unanswered = true,
                SendMode::Pipeline(inflight) if !entries.is_empty() => *inflight += 1,
                SendMode::Pipeline(_) | SendMode::Snapshot { .. } => {}
            }
            if let (SendMode::Pipeline(_), Some(entry)) = (&peer.mode, entries.last()) {
                peer.next = entry.at.index.next();
            }
            heartbeat = false;
            let message = Message::Append(Append {
                term: self.term,
                round: leader.round,
                prev: Position { term, index },
                entries: entries.to_vec(),
                commit: self.commit,
            });
            out.push(Output::Send {
                to,
                message,
                after_sync: false,
            });
        }
    }

    pub(super) fn on_append(&mut self, from: ReplicaId, append: Append, out: &mut Vec<Output>) {
        if self.leads() {
            return;
        }
        self.accept_leader(from, out);
        if append.is_unordered() {
            return self.answer_unordered(from, append.round, out);
        }
        let round = append.round;
        let prev = append.prev;
        let outcome = if prev.index < self.log.base().index {
            // Compacted entries are committed, and a leader's log contains all committed entries.
            AppendOutcome::Matched(self.commit)
        } else if self.log.contains(prev) {
            match self.merge(append, out) {
                Some(index) => AppendOutcome::Matched(index),
                None => return,
            }
        } else {
            // Compacted entries are committed, so the leader's log contains them as well.
            let hint = self.log.last_at_most(prev.index, prev.term);
            AppendOutcome::Conflict {
                prev: prev.index,
                hint: hint.unwrap_or(self.log.base()),
            }
        };
        let message = Message::Appended(Appended {
            term: self.term,
            round,
            outcome,
        });
        self.send_after_sync(from, message, out);
    }

    /// Responds to a heartbeat that tells nothing about the log. The response does not wait for the
    /// disk, as it promises nothing about entries or votes to come.
    fn answer_unordered(&self, from: ReplicaId, round: u64, out: &mut Vec<Output>) {
        out.push(Output::Send {
            to: from,
            message: Message::Appended(Appended {
                term: self.term,
                round,
                outcome: AppendOutcome::Matched(Index::ZERO),
            }),
            after_sync: false,
        });
    }

    /// Merges entries that follow an entry of this log, replaces those that conflict, and returns
    /// the last index at which both logs are now equal. Returns `None` and changes nothing if the
    /// indexes have gaps or a committed entry would be replaced.
    fn merge(&mut self, append: Append, out: &mut Vec<Output>) -> Option<Index> {
        let end = Index(
            append
                .prev
                .index
                .0
                .saturating_add(append.entries.len() as u64),
        );
        let mut expected = append.prev.index;
        for entry in &append.entries {
            expected = expected.next();
            if entry.at.index != expected {
                return None;
            }
        }
        let known = append
            .entries
            .iter()
            .take_while(|entry| self.log.contains(entry.at))
            .count();
        let missing: Vec<Entry> = append.entries.into_iter().skip(known).collect();
        if let Some(first) = missing.first().map(|entry| entry.at.index) {
            if first <= self.commit {
                return None;
            }
            self.log.truncate(first);
            self.synced = self.synced.min(first.saturating_sub(Index(1)));
            for entry in &missing {
                self.log.push(entry.clone());
            }
            out.push(Output::Save(Save::Entries(missing)));
        }
        self.commit_to(append.commit.min(end), out);
        Some(end)
    }

    pub(super) fn on_appended(
        &mut self,
        from: ReplicaId,
        appended: Appended,
        out: &mut Vec<Output>,
    ) {
        let last = self.log.last().index;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(peer) = leader.peers.get_mut(&from) else {
            return;
        };
        peer.active = true;
        peer.durable |= appended.outcome != AppendOutcome::Matched(Index::ZERO);
        peer.acked_round = peer.acked_round.max(appended.round.min(leader.round));
        match appended.outcome {
            AppendOutcome::Matched(index) => peer.record_match(index.min(last)),
            AppendOutcome::Conflict { prev, hint } => {
                // While probing, a response to an earlier append is ignored.
                let expected =
                    prev.next() == peer.next || matches!(peer.mode, SendMode::Pipeline(_));
                if expected && prev > peer.matched {
                    // If the shared entry was compacted away here, probing starts at a compacted
                    // entry, so that a snapshot is sent.
                    let compacted = self.log.base().index.saturating_sub(Index(1));
                    let shared = self.log.last_at_most(hint.index, hint.term);
                    peer.record_conflict(shared.map_or(compacted, |at| at.index));
                }
            }
        }
        self.advance_commit(out);
        self.confirm_reads(out);
        self.repair_members(out);
        self.send_append(from, false, out);
    }

    /// Commits the entries that are durable on a quorum, if the last of them is of the current
    /// term.
    pub(super) fn advance_commit(&mut self, out: &mut Vec<Output>) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let own_synced = if self.mutations.unsynced_acks {
            self.log.last().index
        } else {
            self.synced
        };
        let matched = |member| match leader.peers.get(&member) {
            Some(peer) => peer.matched,
            None if member == self.id => own_synced,
            None => Index::ZERO,
        };
        let quorum_index = self.log.members().quorum_index(matched);
        let own_term = self.log.term(quorum_index) == Some(self.term);
        if quorum_index > self.commit && (own_term || self.mutations.older_commits) {
            self.commit_to(quorum_index, out);
            self.repair_members(out);
        }
    }

    /// Raises the commit index to `index` if that is higher.
    fn commit_to(&mut self, index: Index, out: &mut Vec<Output>) {
        if index > self.commit {
            self.commit = index;
            out.push(Output::Commit(index));
        }
    }
}
