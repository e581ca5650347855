//! Founding a group, and the replicas' addresses.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::members::Members;
use crate::id::ReplicaId;
use crate::map::Map;

/// What a replica says of itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Hello {
    /// Its identity.
    pub id: ReplicaId,
    /// Whether it knows of no group.
    pub blank: bool,
    /// Whether it asks to be taken into the group.
    pub joins: bool,
    /// Address it serves on.
    pub address: SocketAddr,
}

/// Answers of all peers to one round of greetings; none from a peer that did not answer.
pub type HelloRound = Vec<(SocketAddr, Option<Hello>)>;

/// What greetings have told.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Bootstrap {
    addresses: Map<ReplicaId, SocketAddr>,
    blanks: Option<BTreeMap<SocketAddr, ReplicaId>>,
}

impl Bootstrap {
    /// Address that a replica answered at, as the settings give it.
    pub fn address(&self, id: ReplicaId) -> Option<SocketAddr> {
        self.addresses.get(&id).copied()
    }

    /// Takes in where the replicas of a finished round answered.
    pub fn record_addresses(&mut self, round: &HelloRound) {
        self.addresses.clear();
        let answers = round
            .iter()
            .filter_map(|(at, hello)| Some((*at, (*hello)?)));
        self.addresses
            .extend(answers.map(|(at, hello)| (hello.id, at)));
    }

    /// Takes in a finished round; returns the members if this replica now founds the group.
    ///
    /// Two rounds in a row have to find the same replicas, all blank. A replica found in the first
    /// round was there before the second one asked the others, so a group that had been founded with
    /// a lost predecessor of it shows in the second.
    pub fn observe(&mut self, own: ReplicaId, round: &HelloRound) -> Option<Members> {
        self.record_addresses(round);
        let blanks = all_blank(round);
        let repeated = blanks.is_some() && blanks == self.blanks;
        self.blanks = blanks;
        let lowest = self.blanks.as_ref()?.values().min() == Some(&own);
        let founders = round.iter().filter_map(|(_, hello)| *hello);
        let members = Members::initial(founders.map(|hello| (hello.id, hello.address)));
        let distinct = members.0.len() == round.len();
        (repeated && lowest && distinct).then_some(members)
    }
}

fn all_blank(round: &HelloRound) -> Option<BTreeMap<SocketAddr, ReplicaId>> {
    round
        .iter()
        .map(|(at, hello)| Some((*at, hello.filter(|hello| hello.blank)?.id)))
        .collect()
}
