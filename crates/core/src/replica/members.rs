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
    /// Index of the entry that added it; zero for an initial member.
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

    fn select(&self, voter: bool) -> impl Iterator<Item = ReplicaId> + '_ {
        self.0
            .iter()
            .filter(move |(_, member)| member.voter == voter)
            .map(|(id, _)| *id)
    }
}
