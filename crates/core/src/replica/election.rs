//! Elections: pre-vote, vote, leadership transfer, and the leader's check that a quorum responds.

use std::collections::BTreeSet;

use super::input::Campaign;
use super::input::Output;
use super::log::Payload;
use super::log::Position;
use super::message::AppendOutcome;
use super::message::Appended;
use super::message::Ballot;
use super::message::Message;
use super::node::Leader;
use super::node::Node;
use super::node::Role;
use super::peer::Peer;
use crate::id::ReplicaId;
use crate::unit::Index;
use crate::unit::Term;

impl Node {
    /// Starts the given phase of an election, unless the node leads or has no vote.
    pub(super) fn campaign(&mut self, campaign: Campaign, out: &mut Vec<Output>) {
        if self.leads() || !self.members().is_voter(self.id) {
            return;
        }
        self.heard_leader = false;
        self.leader = None;
        let granted_by = BTreeSet::from([self.id]);
        let sole_voter = self.members().has_quorum(|id| id == self.id);
        match campaign {
            Campaign::PreVote if sole_voter => self.campaign(Campaign::Election, out),
            Campaign::PreVote => {
                self.role = Role::Candidate(campaign, granted_by);
                let ballot = self.ballot(self.term.next());
                self.broadcast_to_voters(&Message::PreVote(ballot), out);
            }
            Campaign::Election => {
                self.role = Role::Candidate(campaign, granted_by);
                self.term = self.term.next();
                self.vote = Some(self.id);
                self.save_vote(out);
                let ballot = self.ballot(self.term);
                self.broadcast_to_voters(&Message::Vote(ballot), out);
                if sole_voter {
                    self.vote_for_self(out);
                }
            }
        }
    }

    /// Sends the only voter's vote to itself, so that it counts once it is durable.
    fn vote_for_self(&self, out: &mut Vec<Output>) {
        let message = Message::Voted {
            term: self.term,
            granted: true,
        };
        self.send_after_sync(self.id, message, out);
    }

    /// Returns this node's ballot for an election in a term.
    fn ballot(&self, term: Term) -> Ballot {
        Ballot {
            term,
            last: self.log.last(),
        }
    }

    /// Sends a message to all other voters, once earlier saves are durable.
    fn broadcast_to_voters(&self, message: &Message, out: &mut Vec<Output>) {
        for voter in self.members().voters().filter(|id| *id != self.id) {
            self.send_after_sync(voter, message.clone(), out);
        }
    }

    /// Whether a candidate's log, with this last entry, is at least as up to date as this node's,
    /// and therefore contains every entry that this node may have helped to commit.
    fn is_up_to_date(&self, last: Position) -> bool {
        self.mutations.stale_candidates || last >= self.log.last()
    }

    pub(super) fn on_pre_vote(&mut self, from: ReplicaId, ballot: Ballot, out: &mut Vec<Output>) {
        let granted = ballot.term > self.term
            && !self.heard_leader
            && !self.leads()
            && self.is_up_to_date(ballot.last);
        let message = Message::PreVoted {
            term: self.term,
            ballot: ballot.term,
            granted,
        };
        self.send_after_sync(from, message, out);
    }

    pub(super) fn on_pre_voted(&mut self, from: ReplicaId, ballot: Term, out: &mut Vec<Output>) {
        let next = self.term.next();
        let Role::Candidate(Campaign::PreVote, granted_by) = &mut self.role else {
            return;
        };
        if ballot != next {
            return;
        }
        granted_by.insert(from);
        if self.log.members().has_quorum(|id| granted_by.contains(&id)) {
            self.campaign(Campaign::Election, out);
        }
    }

    pub(super) fn on_vote(&mut self, from: ReplicaId, ballot: Ballot, out: &mut Vec<Output>) {
        let can_vote =
            self.mutations.double_votes || self.vote.is_none() || self.vote == Some(from);
        let granted = can_vote && !self.leads() && self.is_up_to_date(ballot.last);
        if granted {
            if self.vote != Some(from) {
                self.vote = Some(from);
                self.save_vote(out);
            }
            out.push(Output::ResetTimer);
        }
        let message = Message::Voted {
            term: self.term,
            granted,
        };
        self.send_after_sync(from, message, out);
    }

    pub(super) fn on_voted(&mut self, from: ReplicaId, granted: bool, out: &mut Vec<Output>) {
        let Role::Candidate(Campaign::Election, granted_by) = &mut self.role else {
            return;
        };
        if !granted {
            return;
        }
        granted_by.insert(from);
        if self.log.members().has_quorum(|id| granted_by.contains(&id)) {
            self.become_leader(out);
        }
    }

    /// Becomes leader and appends the first entry of the term.
    fn become_leader(&mut self, out: &mut Vec<Output>) {
        let next = self.log.last().index.next();
        let others = self.members().0.keys().filter(|id| **id != self.id);
        let peers = others.map(|id| (*id, Peer::new(next))).collect();
        self.role = Role::Leader(Leader {
            peers,
            first_index: next,
            round: 0,
            reads: Vec::new(),
        });
        self.leader = Some(self.id);
        // After bootstrap only the replica that created the group knows the members. The others
        // learn them from the first entry of the log.
        let payload = if self.log.members_index() == Index::ZERO {
            Payload::Members(self.members().clone())
        } else {
            Payload::Blank
        };
        self.append_payloads(vec![payload], out);
    }

    /// Steps down unless a quorum responded since the last check. If the number of voters is
    /// maintained, also counts the checks that each member answered or missed, and hands over leadership
    /// if this leader is the voter to retire.
    pub(super) fn check_quorum(&mut self, out: &mut Vec<Output>) {
        if self.must_transfer_leadership() {
            self.transfer_leadership(out);
        }
        let id = self.id;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let active =
            |member| member == id || leader.peers.get(&member).is_some_and(|peer| peer.active);
        let has_quorum = self.log.members().has_quorum(active);
        let counts = self.target_voters.is_some();
        for peer in leader.peers.values_mut() {
            peer.finish_check(counts);
        }
        if !has_quorum {
            self.become_follower(self.term, out);
        }
    }

    /// Responds to a message of an older term, so that its sender learns the current term.
    pub(super) fn reject_stale(&self, from: ReplicaId, message: &Message, out: &mut Vec<Output>) {
        let term = self.term;
        let response = match message {
            Message::Vote(_) => Message::Voted {
                term,
                granted: false,
            },
            Message::Append(_) | Message::Chunk(_) => Message::Appended(Appended {
                term,
                round: 0,
                outcome: AppendOutcome::Matched(Index::ZERO),
            }),
            _ => return,
        };
        self.send_after_sync(from, response, out);
    }

    /// Asks a voter to start an election at once, preferably one that has the whole log and
    /// responded since the last check. Of these the newest member is chosen, as an older one may soon
    /// have to transfer leadership to its own successor.
    pub(super) fn transfer_leadership(&mut self, out: &mut Vec<Output>) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let last = self.log.last().index;
        let members = self.log.members();
        let successor = leader
            .peers
            .iter()
            .filter(|(id, _)| members.is_voter(**id))
            .max_by_key(|(id, peer)| (peer.matched == last, peer.active, members.joined(**id)))
            .map(|(id, _)| *id);
        if let Some(successor) = successor {
            self.send_after_sync(successor, Message::Stand { term: self.term }, out);
        }
    }

    /// Starts an election at the request of the current leader.
    pub(super) fn on_stand(&mut self, from: ReplicaId, out: &mut Vec<Output>) {
        if self.leader == Some(from) {
            self.campaign(Campaign::Election, out);
        }
    }
}
