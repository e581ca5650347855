//! Membership change, one step at a time.

use std::net::SocketAddr;

use super::input::Output;
use super::log::Payload;
use super::members::Member;
use super::members::Members;
use super::node::Node;
use super::node::Role;
use crate::id::ReplicaId;

/// Most members of a group, learners included.
const MAX_MEMBERS: usize = 16;

/// Checks in a row without an answer, each an election timeout, after which a voter may be replaced:
/// longer than a restart takes.
pub(super) const MAX_MISSED_CHECKS: u32 = 5;

impl Node {
    /// Adds a replica from outside as a learner. An older learner at its address goes.
    pub(super) fn add_learner(
        &mut self,
        id: ReplicaId,
        address: SocketAddr,
        out: &mut Vec<Output>,
    ) {
        if !self.can_change() || self.members().0.contains_key(&id) {
            return;
        }
        let mut members = self.members().clone();
        let own = members.0.get(&self.id).map(|member| member.address);
        members
            .0
            .retain(|_, member| member.voter || member.address != address);
        if own == Some(address) || members.0.len() >= MAX_MEMBERS {
            return;
        }
        let member = Member {
            address,
            voter: false,
            since: self.log.last().index.next(),
        };
        members.0.insert(id, member);
        self.append_payloads(vec![Payload::Members(members)], out);
    }

    /// Takes the next step of a repair: promotes a learner that has caught up and has a seat, or
    /// else removes a voter whose address a younger voter has taken over, or else a silent voter
    /// that has been replaced.
    pub(super) fn repair_members(&mut self, out: &mut Vec<Output>) {
        if !self.can_change() {
            return;
        }
        let mut members = self.members().clone();
        let learner = self.caught_up_learner().filter(|id| self.may_promote(*id));
        if let Some(learner) = learner {
            if let Some(member) = members.0.get_mut(&learner) {
                member.voter = true;
            }
        } else if let Some(voter) = superseded(&members).filter(|id| *id != self.id) {
            members.0.remove(&voter);
        } else if let Some(voter) = self.surplus_voter() {
            members.0.remove(&voter);
        } else {
            return;
        }
        self.append_payloads(vec![Payload::Members(members)], out);
    }

    /// Whether a learner would take the place of a voter that is missing, silent, or stands at its
    /// own address.
    fn may_promote(&self, learner: ReplicaId) -> bool {
        let Some(target_voters) = self.target_voters else {
            return true;
        };
        let members = &self.members().0;
        let address = members.get(&learner).map(|member| member.address);
        let others = members.iter().filter(|(id, member)| {
            member.voter && !self.is_silent(**id) && Some(member.address) != address
        });
        others.count() < target_voters
    }

    /// A silent voter beyond the target number.
    fn surplus_voter(&self) -> Option<ReplicaId> {
        let target_voters = self.target_voters?;
        let voters = self.members().voters();
        if voters.count() <= target_voters {
            return None;
        }
        self.members().voters().find(|id| self.is_silent(*id))
    }

    fn is_silent(&self, id: ReplicaId) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let peer = leader.peers.get(&id);
        peer.is_some_and(|peer| peer.missed_checks >= MAX_MISSED_CHECKS)
    }

    /// Whether a change may start: the last one is committed, and so is an entry of the own term.
    fn can_change(&self) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let committed =
            self.mutations.overlapping_changes || self.log.members_index() <= self.commit;
        let own_term = self.mutations.premature_changes || leader.first_index <= self.commit;
        committed && own_term
    }

    fn caught_up_learner(&self) -> Option<ReplicaId> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        self.members().learners().find(|id| {
            leader.peers.get(id).is_some_and(|peer| {
                self.mutations.lagging_promotions || (peer.active && peer.matched >= self.commit)
            })
        })
    }
}

/// A voter whose address a younger voter has.
fn superseded(members: &Members) -> Option<ReplicaId> {
    let replaced = |old: &Member| {
        members
            .0
            .values()
            .any(|new| new.voter && new.address == old.address && new.since > old.since)
    };
    members
        .0
        .iter()
        .find(|(_, member)| member.voter && replaced(member))
        .map(|(id, _)| *id)
}
