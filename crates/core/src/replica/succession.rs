//! Which members vote in a group that maintains a target number of voters.
//!
//! A replica that joins after the first start is the successor of a member that is about to be
//! removed. Once it has caught up it votes in place of that member, its predecessor, which becomes a
//! learner and so may go at any moment. Nothing names the predecessor, so it is guessed.
//! See `docs/agreement.md`, 'What must hold of the voters'.

use super::input::MemberChange;
use super::node::Node;
use super::node::Role;
use super::peer::Peer;
use crate::id::ReplicaId;

/// Consecutive quorum checks, one per election timeout, without a durable response after which a
/// voter may be replaced. Together they last longer than a restart.
pub(super) const MAX_MISSED_CHECKS: u32 = 5;

/// Consecutive missed quorum checks, about a minute, after which a learner is removed.
pub(super) const MAX_LEARNER_MISSED_CHECKS: u32 = 120;

/// Consecutive quorum checks with a durable response before a successor becomes a voter. By then
/// it is known which members are gone.
pub(super) const MIN_ANSWERED_CHECKS: u32 = 2;

impl Node {
    /// Returns the learner to promote next: one that has caught up and fills a vacancy or, as a
    /// successor, replaces another member.
    pub(super) fn next_voter(&self) -> Option<ReplicaId> {
        let members = self.members();
        let ready: Vec<ReplicaId> = self.caught_up_learners().collect();
        let (successors, others): (Vec<ReplicaId>, Vec<ReplicaId>) =
            ready.into_iter().partition(|id| members.is_successor(*id));
        let ready = || successors.iter().chain(&others).copied();
        let fills_vacancy = |id: &ReplicaId| self.has_vacancy(*id);
        ready().find(fills_vacancy).or_else(|| {
            let succeeding = successors
                .iter()
                .copied()
                .filter(|id| self.may_succeed(*id));
            succeeding.min_by_key(|id| members.joined(*id))
        })
    }

    /// Returns the retirement of a voter if there are more voters than the target number: that of an
    /// unresponsive one, or else of the predecessor of a successor that votes, or else of the oldest.
    pub(super) fn surplus_voter(&self) -> Option<MemberChange> {
        let members = self.members();
        if members.voters().count() <= self.target_voters? {
            return None;
        }
        let silent = members
            .voters()
            .max_by_key(|id| self.missed_checks(*id))
            .filter(|id| self.missed_checks(*id) > 0);
        if let Some(silent) = silent {
            return Some(MemberChange::Replaced(silent));
        }
        let unpaired = members
            .voters()
            .filter(|id| members.predecessor(*id).is_none());
        let successor = unpaired.max_by_key(|id| members.joined(*id));
        let succeeded = successor.and_then(|successor| {
            let voter = self.predecessor_of(successor)?;
            Some(MemberChange::Succeeded { voter, successor })
        });
        succeeded.or_else(|| {
            let others = members.voters().filter(|id| *id != self.id);
            let oldest = others.min_by_key(|id| members.joined(*id));
            oldest.map(MemberChange::Replaced)
        })
    }

    /// Whether this leader has to hand over leadership, since it is the voter to retire.
    pub(super) fn must_transfer_leadership(&self) -> bool {
        let surplus = self.surplus_voter();
        self.can_change() && surplus.is_some_and(|change| change.member() == self.id)
    }

    /// Returns the learners that have missed so many quorum checks that they are removed.
    pub(super) fn lost_learner(&self) -> Option<ReplicaId> {
        let mut learners = self.members().learners();
        learners.find(|id| self.missed_checks(*id) >= MAX_LEARNER_MISSED_CHECKS)
    }

    /// Returns the learner that has missed the most quorum checks, if it counts as unresponsive.
    pub(super) fn most_silent_learner(&self) -> Option<ReplicaId> {
        let learners = self.members().learners();
        learners
            .max_by_key(|id| self.missed_checks(*id))
            .filter(|id| self.missed_checks(*id) >= MAX_MISSED_CHECKS)
    }

    /// Whether a learner may become a voter in addition to the present ones: there are fewer than the
    /// target number, not counting those that are unresponsive or have the learner's address.
    pub(super) fn has_vacancy(&self, learner: ReplicaId) -> bool {
        let Some(target_voters) = self.target_voters else {
            return true;
        };
        let members = &self.members().0;
        let address = members.get(&learner).map(|member| member.address);
        let others = members.iter().filter(|(id, member)| {
            member.voter
                && self.missed_checks(**id) < MAX_MISSED_CHECKS
                && Some(member.address) != address
        });
        others.count() < target_voters
    }

    /// Whether a successor may replace another voter now: it has answered for a while, its data centre
    /// is known, and no other voter is being replaced.
    fn may_succeed(&self, successor: ReplicaId) -> bool {
        let answered = |peer: &Peer| peer.answered_checks >= MIN_ANSWERED_CHECKS;
        let voters = self.members().voters().count();
        self.peer(successor).is_some_and(answered)
            && self.target_voters.is_some_and(|target| voters <= target)
            && self.centre_of(successor).is_some()
            && self.predecessor_of(successor).is_some()
    }

    /// Returns the voter that a successor replaces: the oldest one in the successor's data centre, or
    /// else the oldest one. A voter whose own predecessor still runs stays, as that member is the one
    /// to be removed. Of voters of the same age the leader comes last.
    pub(super) fn predecessor_of(&self, successor: ReplicaId) -> Option<ReplicaId> {
        let members = self.members();
        let awaits_removal = |voter| {
            let predecessor = members.predecessor(voter);
            predecessor.is_some_and(|id| self.missed_checks(id) == 0)
        };
        let older = members
            .voters()
            .filter(|id| members.joined(*id) < members.joined(successor) && !awaits_removal(*id));
        older.min_by_key(|id| {
            let elsewhere = self.centre_of(*id) != self.centre_of(successor);
            (elsewhere, members.joined(*id), *id == self.id)
        })
    }

    /// Returns the learners whose log contains all committed entries.
    fn caught_up_learners(&self) -> impl Iterator<Item = ReplicaId> {
        self.members().learners().filter(move |id| {
            self.peer(*id).is_some_and(|peer| {
                self.mutations.lagging_promotions || (peer.active && peer.matched >= self.commit)
            })
        })
    }

    /// Returns the number of quorum checks in a row that a member has missed.
    fn missed_checks(&self, id: ReplicaId) -> u32 {
        self.peer(id).map_or(0, |peer| peer.missed_checks)
    }

    /// Returns this leader's view of another member.
    fn peer(&self, id: ReplicaId) -> Option<&Peer> {
        match &self.role {
            Role::Leader(leader) => leader.peers.get(&id),
            Role::Follower(_) | Role::Candidate(..) => None,
        }
    }
}
