//! Membership of a group of replicas.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::id::ReplicaId;
use crate::unit::Index;

/// A member's address and role.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Member {
    /// Address that the replica serves on, as it advertised when it joined.
    pub address: SocketAddr,
    /// Whether it votes. A member without a vote is a learner, which only replicates the log.
    pub voter: bool,
    /// Index of the entry that added it; zero for a member of the first start. A voter that a
    /// successor replaces gets the index of that one, so that the two remain known as a pair.
    pub since: Index,
}

/// The members of a group, by replica. Empty on a replica that belongs to no group yet.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Members(pub BTreeMap<ReplicaId, Member>);

impl Members {
    /// Returns the members of a new group, all of them voters.
    pub fn initial(replicas: impl IntoIterator<Item = (ReplicaId, SocketAddr)>) -> Self {
        let member = |address| Member {
            address,
            voter: true,
            since: Index::ZERO,
        };
        Self(
            replicas
                .into_iter()
                .map(|(id, address)| (id, member(address)))
                .collect(),
        )
    }

    /// Whether the replica is a voting member.
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.0.get(&id).is_some_and(|member| member.voter)
    }

    /// Returns the voting members.
    pub fn voters(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        self.select(true)
    }

    /// Returns the members without a vote.
    pub fn learners(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        self.select(false)
    }

    /// Whether a majority of the voters satisfies the predicate.
    pub fn has_quorum(&self, predicate: impl Fn(ReplicaId) -> bool) -> bool {
        let voters = self.voters().count();
        let positive = self.voters().filter(|id| predicate(*id)).count();
        positive * 2 > voters
    }

    /// Returns the highest index that a majority of the voters has reached, where `position` gives
    /// the index of each voter.
    pub fn quorum_index(&self, position: impl Fn(ReplicaId) -> Index) -> Index {
        let mut positions: Vec<Index> = self.voters().map(position).collect();
        positions.sort_unstable();
        let lower_median = positions.len().saturating_sub(1) / 2;
        positions.get(lower_median).copied().unwrap_or_default()
    }

    /// Returns the index by which members are ordered by age: that of the entry that added the member,
    /// or zero for those of the first start.
    pub fn joined(&self, id: ReplicaId) -> Index {
        let member = self.0.get(&id);
        member.map_or(Index::ZERO, |member| member.since)
    }

    /// Whether the member was added after the first start and has not voted yet.
    pub fn is_successor(&self, id: ReplicaId) -> bool {
        let member = self.0.get(&id);
        member.is_some_and(|member| !member.voter && member.since > Index::ZERO)
            && self.partner(id).is_none()
    }

    /// Returns the member that a voter replaced, unless that member votes again.
    pub fn predecessor(&self, voter: ReplicaId) -> Option<ReplicaId> {
        let partner = self.partner(voter)?;
        (self.is_voter(voter) && !self.is_voter(partner)).then_some(partner)
    }

    /// Makes a learner a voter. One that was replaced before counts as a member of the first start
    /// from then on.
    pub(super) fn promote(&mut self, learner: ReplicaId) {
        let is_successor = self.is_successor(learner);
        if let Some(member) = self.0.get_mut(&learner) {
            member.voter = true;
            if !is_successor {
                member.since = Index::ZERO;
            }
        }
    }

    /// Makes a voter a learner that may vote again, but is nobody's successor. `successor` is the one
    /// that replaces it, if any.
    pub(super) fn retire(&mut self, voter: ReplicaId, successor: Option<ReplicaId>) {
        self.separate(voter);
        let since = successor
            .and_then(|id| self.0.get(&id))
            .map(|member| member.since);
        if let Some(member) = self.0.get_mut(&voter) {
            member.voter = false;
            member.since = since.unwrap_or_default();
        }
    }

    /// Removes a member.
    pub(super) fn remove(&mut self, id: ReplicaId) {
        self.separate(id);
        self.0.remove(&id);
    }

    /// Ends the pair that a member belongs to. The one without a vote counts as a member of the first
    /// start from then on, so it does not become a successor.
    fn separate(&mut self, id: ReplicaId) {
        let Some(partner) = self.partner(id) else {
            return;
        };
        for member in [id, partner] {
            if let Some(member) = self.0.get_mut(&member).filter(|member| !member.voter) {
                member.since = Index::ZERO;
            }
        }
    }

    /// Returns the other member of a pair of successor and predecessor.
    fn partner(&self, id: ReplicaId) -> Option<ReplicaId> {
        let since = self.0.get(&id)?.since;
        let others = self.0.iter().filter(|(other, _)| **other != id);
        let mut partners = others.filter(|(_, member)| member.since == since);
        let (partner, _) = partners.next()?;
        (since > Index::ZERO).then_some(*partner)
    }

    fn select(&self, voter: bool) -> impl Iterator<Item = ReplicaId> + '_ {
        self.0
            .iter()
            .filter(move |(_, member)| member.voter == voter)
            .map(|(id, _)| *id)
    }
}
