//! Elections: pre-vote, vote, and the leader's check that a quorum still answers it.

use std::collections::BTreeSet;

use super::change::SILENT_CHECKS;
use super::input::Campaign;
use super::input::Output;
use super::log::Payload;
use super::log::Position;
use super::message::Appended;
use super::message::Ballot;
use super::message::Message;
use super::message::Outcome;
use super::node::Leader;
use super::node::Node;
use super::node::Role;
use super::peer::Peer;
use crate::id::ReplicaId;
use crate::unit::Index;
use crate::unit::Term;

impl Node {
    pub(super) fn campaign(&mut self, campaign: Campaign, out: &mut Vec<Output>) {
        if self.leads() || !self.members().votes(self.id) {
            return;
        }
        self.heard = false;
        self.leader = None;
        let agreed = BTreeSet::from([self.id]);
        let alone = self.members().quorum(|id| id == self.id);
        match campaign {
            Campaign::Asking if alone => self.campaign(Campaign::Outright, out),
            Campaign::Asking => {
                self.role = Role::Candidate(campaign, agreed);
                let ballot = self.ballot(self.term.next());
                self.ask_voters(&Message::PreVote(ballot), out);
            }
            Campaign::Outright => {
                self.role = Role::Candidate(campaign, agreed);
                self.term = self.term.next();
                self.vote = Some(self.id);
                self.save_vote(out);
                let ballot = self.ballot(self.term);
                self.ask_voters(&Message::Vote(ballot), out);
                if alone {
                    self.vote_for_self(out);
                }
            }
        }
    }

    /// The only voter's vote counts when it returns to it, that is once the vote is durable.
    fn vote_for_self(&self, out: &mut Vec<Output>) {
        let message = Message::Voted {
            term: self.term,
            granted: true,
        };
        self.answer(self.id, message, out);
    }

    fn ballot(&self, term: Term) -> Ballot {
        Ballot {
            term,
            last: self.log.last(),
        }
    }

    fn ask_voters(&self, message: &Message, out: &mut Vec<Output>) {
        for voter in self.members().voters().filter(|id| *id != self.id) {
            self.answer(voter, message.clone(), out);
        }
    }

    /// Whether a candidate's log holds all that this node's log may have helped to commit.
    fn reaches(&self, last: Position) -> bool {
        self.rules.blind || last >= self.log.last()
    }

    pub(super) fn on_pre_vote(&mut self, from: ReplicaId, ballot: Ballot, out: &mut Vec<Output>) {
        let granted =
            ballot.term > self.term && !self.heard && !self.leads() && self.reaches(ballot.last);
        let message = Message::PreVoted {
            term: self.term,
            ballot: ballot.term,
            granted,
        };
        self.answer(from, message, out);
    }

    pub(super) fn on_pre_voted(&mut self, from: ReplicaId, ballot: Term, out: &mut Vec<Output>) {
        let next = self.term.next();
        let Role::Candidate(Campaign::Asking, agreed) = &mut self.role else {
            return;
        };
        if ballot != next {
            return;
        }
        agreed.insert(from);
        if self.log.members().quorum(|id| agreed.contains(&id)) {
            self.campaign(Campaign::Outright, out);
        }
    }

    pub(super) fn on_vote(&mut self, from: ReplicaId, ballot: Ballot, out: &mut Vec<Output>) {
        let free = self.rules.twice || self.vote.is_none() || self.vote == Some(from);
        let granted = free && !self.leads() && self.reaches(ballot.last);
        if granted {
            if self.vote != Some(from) {
                self.vote = Some(from);
                self.save_vote(out);
            }
            out.push(Output::Rest);
        }
        let message = Message::Voted {
            term: self.term,
            granted,
        };
        self.answer(from, message, out);
    }

    pub(super) fn on_voted(&mut self, from: ReplicaId, granted: bool, out: &mut Vec<Output>) {
        let Role::Candidate(Campaign::Outright, agreed) = &mut self.role else {
            return;
        };
        if !granted {
            return;
        }
        agreed.insert(from);
        if self.log.members().quorum(|id| agreed.contains(&id)) {
            self.lead(out);
        }
    }

    fn lead(&mut self, out: &mut Vec<Output>) {
        let next = self.log.last().index.next();
        let others = self.members().0.keys().filter(|id| **id != self.id);
        let peers = others.map(|id| (*id, Peer::new(next))).collect();
        self.role = Role::Leader(Leader {
            peers,
            first: next,
            round: 0,
            reads: Vec::new(),
        });
        self.leader = Some(self.id);
        // Founders other than the first learn the members from the first entry of the log.
        let payload = if self.log.changed() == Index::ZERO {
            Payload::Members(self.members().clone())
        } else {
            Payload::Blank
        };
        self.append_own(vec![payload], out);
    }

    /// Steps down unless a quorum answered since the last check.
    pub(super) fn check(&mut self, out: &mut Vec<Output>) {
        let id = self.id;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let active =
            |member| member == id || leader.peers.get(&member).is_some_and(|peer| peer.active);
        let backed = self.log.members().quorum(active);
        let counts = self.seats.is_some();
        for peer in leader.peers.values_mut() {
            peer.missed = match peer.active {
                false if counts => (peer.missed + 1).min(SILENT_CHECKS),
                _ => 0,
            };
            peer.active = false;
        }
        if !backed {
            self.follow(self.term, out);
        }
    }

    /// Answers a message of an older term, so that its sender learns the current one.
    pub(super) fn rebuff(&self, from: ReplicaId, message: &Message, out: &mut Vec<Output>) {
        let term = self.term;
        let answer = match message {
            Message::Vote(_) => Message::Voted {
                term,
                granted: false,
            },
            Message::Append(_) | Message::Chunk(_) => Message::Appended(Appended {
                term,
                round: 0,
                outcome: Outcome::Matched(Index::ZERO),
            }),
            _ => return,
        };
        self.answer(from, answer, out);
    }

    pub(super) fn resign(&mut self, out: &mut Vec<Output>) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let last = self.log.last().index;
        let heir = leader
            .peers
            .iter()
            .filter(|(id, _)| self.log.members().votes(**id))
            .max_by_key(|(_, peer)| (peer.matched == last, peer.active))
            .map(|(id, _)| *id);
        if let Some(heir) = heir {
            self.answer(heir, Message::Stand { term: self.term }, out);
        }
    }

    pub(super) fn on_stand(&mut self, from: ReplicaId, out: &mut Vec<Output>) {
        if self.leader == Some(from) {
            self.campaign(Campaign::Outright, out);
        }
    }
}
