//! Bootstraps a new group: decides which replica creates it, and tracks the replicas' addresses.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::members::Members;
use crate::id::ReplicaId;
use crate::map::Map;

/// What a replica reports about itself in a greeting.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Hello {
    /// Identity of the replica.
    pub id: ReplicaId,
    /// Whether it belongs to no group yet: it has no log entries and knows no members.
    pub blank: bool,
    /// Whether it asks to join the group.
    pub joins: bool,
    /// Whether it belongs to the first start of the system.
    pub founds: bool,
    /// Address that it serves on.
    pub address: SocketAddr,
}

/// Responses of all peers to one round of greetings, each with the address that was greeted; `None`
/// for a peer that did not respond.
pub type HelloRound = Vec<(SocketAddr, Option<Hello>)>;

/// Results of earlier rounds of greetings.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Bootstrap {
    /// Address at which each replica responded in the last round.
    addresses: Map<ReplicaId, SocketAddr>,
    /// Replica at each address in the last round, if all of them were blank.
    blank_replicas: Option<BTreeMap<SocketAddr, ReplicaId>>,
}

impl Bootstrap {
    /// Returns the address at which a replica responded in the last round.
    pub fn address(&self, id: ReplicaId) -> Option<SocketAddr> {
        self.addresses.get(&id).copied()
    }

    /// Records the addresses at which replicas responded in a finished round.
    pub fn record_addresses(&mut self, round: &HelloRound) {
        self.addresses.clear();
        let answers = round
            .iter()
            .filter_map(|(at, hello)| Some((*at, (*hello)?)));
        self.addresses
            .extend(answers.map(|(at, hello)| (hello.id, at)));
    }

    /// Evaluates a finished round and returns the initial members if this replica, which has the
    /// identity `own`, has to create the group.
    ///
    /// Two consecutive rounds have to find the same replicas, all of them blank; the one with the
    /// lowest identity creates the group. One round is not enough: a replica may have lost its disk
    /// after it helped to create a group. Its blank successor, found in the first round, was there
    /// before the second round asked the other members, so they report the group in the second.
    pub fn observe(&mut self, own: ReplicaId, round: &HelloRound) -> Option<Members> {
        self.record_addresses(round);
        let blank_replicas = all_blank(round);
        let repeated = blank_replicas.is_some() && blank_replicas == self.blank_replicas;
        self.blank_replicas = blank_replicas;
        let lowest = self.blank_replicas.as_ref()?.values().min() == Some(&own);
        let hellos = round.iter().filter_map(|(_, hello)| *hello);
        let members = Members::initial(hellos.map(|hello| (hello.id, hello.address)));
        let distinct = members.0.len() == round.len();
        (repeated && lowest && distinct).then_some(members)
    }
}

/// Returns the replica at each address if all of them responded and are blank.
fn all_blank(round: &HelloRound) -> Option<BTreeMap<SocketAddr, ReplicaId>> {
    round
        .iter()
        .map(|(at, hello)| Some((*at, hello.filter(|hello| hello.blank)?.id)))
        .collect()
}
