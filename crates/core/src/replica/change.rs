//! Membership changes, which add, promote or remove one member at a time.

use std::net::SocketAddr;

use super::input::MemberChange;
use super::input::Output;
use super::log::Payload;
use super::members::Member;
use super::members::Members;
use super::node::Node;
use super::node::Role;
use crate::id::ReplicaId;

/// Maximum number of members, including learners.
const MAX_MEMBERS: usize = 16;

/// Consecutive quorum checks, one per election timeout, without a response after which a voter may
/// be replaced. Together they last longer than a restart.
pub(super) const MAX_MISSED_CHECKS: u32 = 5;

impl Node {
    /// Adds a replica as a learner. Removes any learner with the same address.
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
        self.append_members(members, MemberChange::Joined(id), out);
    }

    /// Makes the next membership change that is due, if any: promotes a learner that has caught up
    /// and may become a voter, or else removes a voter whose address a newer voter has taken over,
    /// or else removes an unresponsive voter in excess of the target number.
    pub(super) fn repair_members(&mut self, out: &mut Vec<Output>) {
        if !self.can_change() {
            return;
        }
        let mut members = self.members().clone();
        let learner = self.caught_up_learner().filter(|id| self.may_promote(*id));
        let change = if let Some(learner) = learner {
            if let Some(member) = members.0.get_mut(&learner) {
                member.voter = true;
            }
            MemberChange::Promoted(learner)
        } else if let Some(voter) = superseded(&members).filter(|id| *id != self.id) {
            members.0.remove(&voter);
            MemberChange::Superseded(voter)
        } else if let Some(voter) = self.surplus_voter() {
            members.0.remove(&voter);
            MemberChange::Replaced(voter)
        } else {
            return;
        };
        self.append_members(members, change, out);
    }

    /// Appends a new membership and reports the change.
    fn append_members(&mut self, members: Members, change: MemberChange, out: &mut Vec<Output>) {
        out.push(Output::Changed(change));
        self.append_payloads(vec![Payload::Members(members)], out);
    }

    /// Whether a learner may become a voter: there are fewer voters than the target number, not
    /// counting those that are unresponsive or have the learner's address.
    fn may_promote(&self, learner: ReplicaId) -> bool {
        let Some(target_voters) = self.target_voters else {
            return true;
        };
        let members = &self.members().0;
        let address = members.get(&learner).map(|member| member.address);
        let others = members.iter().filter(|(id, member)| {
            member.voter && !self.is_unresponsive(**id) && Some(member.address) != address
        });
        others.count() < target_voters
    }

    /// Returns an unresponsive voter if there are more voters than the target number.
    fn surplus_voter(&self) -> Option<ReplicaId> {
        let target_voters = self.target_voters?;
        let voters = self.members().voters();
        if voters.count() <= target_voters {
            return None;
        }
        self.members().voters().find(|id| self.is_unresponsive(*id))
    }

    /// Whether a member has missed so many quorum checks in a row that it may be replaced.
    fn is_unresponsive(&self, id: ReplicaId) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let peer = leader.peers.get(&id);
        peer.is_some_and(|peer| peer.missed_checks >= MAX_MISSED_CHECKS)
    }

    /// Whether a membership change may start: the previous one is committed, and so is an entry of
    /// the current term.
    fn can_change(&self) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let committed =
            self.mutations.overlapping_changes || self.log.members_index() <= self.commit;
        let own_term = self.mutations.premature_changes || leader.first_index <= self.commit;
        committed && own_term
    }

    /// Returns a learner whose log contains all committed entries.
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

/// Returns a voter whose address also belongs to a voter that was added later.
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
