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
use crate::unit::Index;

/// Maximum number of members, including learners.
const MAX_MEMBERS: usize = 16;

impl Node {
    /// Adds a replica as a learner, as a successor unless it belongs to the first start. Removes any
    /// learner with the same address, and an unresponsive one if there is no room.
    pub(super) fn add_learner(
        &mut self,
        id: ReplicaId,
        address: SocketAddr,
        founds: bool,
        out: &mut Vec<Output>,
    ) {
        if !self.can_change() || self.members().0.contains_key(&id) {
            return;
        }
        let mut members = self.members().clone();
        let own = members.0.get(&self.id).map(|member| member.address);
        let has_address =
            |id: &ReplicaId| members.0.get(id).map(|member| member.address) == Some(address);
        let former = members.learners().find(has_address);
        if let Some(former) = former {
            members.remove(former);
        }
        if let Some(silent) = self
            .most_silent_learner()
            .filter(|_| members.0.len() >= MAX_MEMBERS)
        {
            members.remove(silent);
        }
        if own == Some(address) || members.0.len() >= MAX_MEMBERS {
            return;
        }
        // One that comes back at the address of a voter has to be newer than that one, to replace it.
        let comes_back = members.0.values().any(|member| member.address == address);
        let member = Member {
            address,
            voter: false,
            since: match founds && !comes_back {
                true => Index::ZERO,
                false => self.log.last().index.next(),
            },
        };
        members.0.insert(id, member);
        self.append_members(members, MemberChange::Joined(id), out);
    }

    /// Makes the next membership change that is due, if any.
    pub(super) fn repair_members(&mut self, out: &mut Vec<Output>) {
        if !self.can_change() {
            return;
        }
        let Some(change) = self.next_change() else {
            return;
        };
        let mut members = self.members().clone();
        match change {
            MemberChange::Joined(_) => return,
            MemberChange::Promoted(learner) => self.promote(learner, &mut members),
            MemberChange::Replaced(voter) => members.retire(voter, None),
            MemberChange::Succeeded { voter, successor } => members.retire(voter, Some(successor)),
            MemberChange::Superseded(id) | MemberChange::Removed(id) => members.remove(id),
        }
        self.append_members(members, change, out);
    }

    /// Returns the membership change that is due: promotes a learner that has caught up and may become
    /// a voter, or else removes a voter whose address a newer voter has taken over, or else retires a
    /// voter in excess of the target number, or else removes a lost learner.
    fn next_change(&self) -> Option<MemberChange> {
        let promoted = self.next_voter().map(MemberChange::Promoted);
        let superseded = || {
            let voter = superseded_voter(self.members()).filter(|id| *id != self.id);
            voter.map(MemberChange::Superseded)
        };
        // Only another leader may retire this one.
        let retired = || {
            self.surplus_voter()
                .filter(|change| change.member() != self.id)
        };
        let removed = || self.lost_learner().map(MemberChange::Removed);
        promoted
            .or_else(superseded)
            .or_else(retired)
            .or_else(removed)
    }

    /// Makes a learner a voter. Tests of broken variants retire its predecessor in the same change, or
    /// before.
    fn promote(&self, learner: ReplicaId, members: &mut Members) {
        let mutations = self.mutations;
        let succeeds = !self.has_vacancy(learner);
        let predecessor = self.predecessor_of(learner).filter(|_| succeeds);
        if let (true, Some(voter)) = (mutations.early_retirements, predecessor) {
            return members.retire(voter, Some(learner));
        }
        members.promote(learner);
        if let (true, Some(voter)) = (mutations.direct_swaps, predecessor) {
            members.retire(voter, Some(learner));
        }
    }

    /// Appends a new membership and reports the change.
    fn append_members(&mut self, members: Members, change: MemberChange, out: &mut Vec<Output>) {
        out.push(Output::Changed(change));
        self.append_payloads(vec![Payload::Members(members)], out);
    }

    /// Whether a membership change may start: the previous one is committed, and so is an entry of
    /// the current term.
    pub(super) fn can_change(&self) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let committed =
            self.mutations.overlapping_changes || self.log.members_index() <= self.commit;
        let own_term = self.mutations.premature_changes || leader.first_index <= self.commit;
        committed && own_term
    }
}

/// Returns a voter whose address also belongs to a voter that was added later.
fn superseded_voter(members: &Members) -> Option<ReplicaId> {
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
