//! Members of a group of replicas.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::id::ReplicaId;
use crate::unit::Index;

/// One member.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Member {
    /// Address that the replica serves on, as it says itself.
    pub address: SocketAddr,
    /// Whether it votes; a learner only follows.
    pub voter: bool,
    /// Log position of the entry that added it; zero for a founder.
    pub since: Index,
}

/// The members of a group. Empty before a replica has joined one.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Members(pub BTreeMap<ReplicaId, Member>);

impl Members {
    /// A new group, all of whose members vote.
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

    /// Whether the replica votes.
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.0.get(&id).is_some_and(|member| member.voter)
    }

    /// The voting members.
    pub fn voters(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        self.select(true)
    }

    /// The members that only follow.
    pub fn learners(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        self.select(false)
    }

    /// Whether more than half of the voters satisfy the test.
    pub fn has_quorum(&self, test: impl Fn(ReplicaId) -> bool) -> bool {
        let voters = self.voters().count();
        let positive = self.voters().filter(|id| test(*id)).count();
        positive * 2 > voters
    }

    /// Highest position that more than half of the voters have reached.
    pub fn quorum_index(&self, position: impl Fn(ReplicaId) -> Index) -> Index {
        let mut positions: Vec<Index> = self.voters().map(position).collect();
        positions.sort_unstable();
        let below = positions.len().saturating_sub(1) / 2;
        positions.get(below).copied().unwrap_or_default()
    }

    fn select(&self, voter: bool) -> impl Iterator<Item = ReplicaId> + '_ {
        self.0
            .iter()
            .filter(move |(_, member)| member.voter == voter)
            .map(|(id, _)| *id)
    }
}
