//! Queue of new facts that a node passes on.

use std::collections::VecDeque;

use super::fact::Fact;

/// How often and how soon a new fact is passed on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Urgency {
    /// The fact has to be known everywhere within a stated time: it is passed on like an urgent one,
    /// before all others.
    Deadline,
    /// The fact changes decisions of other nodes: it is passed on over several ticks, before
    /// others.
    Urgent,
    /// The fact renews known state, like a heartbeat: it is passed on over few ticks.
    Refresh,
}

/// Facts to pass on, each with the number of ticks left. A newer fact replaces an older one with
/// the same subject.
#[derive(Clone, Debug, Default)]
pub(super) struct GossipQueue {
    deadline: VecDeque<(Fact, u8)>,
    urgent: VecDeque<(Fact, u8)>,
    refresh: VecDeque<(Fact, u8)>,
}

/// Ticks over which an urgent fact is passed on. With two receivers a tick, it reaches all of a
/// thousand nodes but for about one in a hundred thousand; anti-entropy reaches those.
const URGENT_TICKS: u8 = 6;

/// Ticks over which a refresh is passed on.
const REFRESH_TICKS: u8 = 2;

/// Most facts in each of the queues.
const MAX_QUEUED_FACTS: usize = 4_096;

/// One fact in this many is reserved for a refresh if any waits, so that many urgent facts do not
/// hold up heartbeats.
const REFRESH_DIVISOR: usize = 2;

impl GossipQueue {
    /// Adds a fact and drops older ones with the same subject. A full queue drops a fact;
    /// anti-entropy still delivers it.
    pub fn push(&mut self, fact: Fact, urgency: Urgency) {
        for queue in [&mut self.deadline, &mut self.urgent, &mut self.refresh] {
            queue.retain(|(known, _)| !known.has_same_subject(&fact));
        }
        match urgency {
            Urgency::Deadline => {
                self.deadline.truncate(MAX_QUEUED_FACTS - 1);
                self.deadline.push_front((fact, URGENT_TICKS));
            }
            Urgency::Urgent => {
                self.urgent.truncate(MAX_QUEUED_FACTS - 1);
                self.urgent.push_front((fact, URGENT_TICKS));
            }
            Urgency::Refresh => {
                self.refresh.truncate(MAX_QUEUED_FACTS - 1);
                self.refresh.push_back((fact, REFRESH_TICKS));
            }
        }
    }

    /// Takes at most `limit` facts for one tick: those with a deadline first, then urgent ones. Facts
    /// with ticks left stay queued.
    pub fn take(&mut self, limit: usize) -> Vec<Fact> {
        let reserved = self.refresh.len().min(limit / REFRESH_DIVISOR);
        let mut taken = take_front(&mut self.deadline, limit - reserved);
        let room = limit - reserved - taken.len();
        taken.extend(take_front(&mut self.urgent, room));
        taken.extend(take_front(&mut self.refresh, limit - taken.len()));
        taken
    }
}

/// Takes facts from the front. Those with ticks left go to the back, behind facts not yet sent.
fn take_front(queue: &mut VecDeque<(Fact, u8)>, limit: usize) -> Vec<Fact> {
    let count = limit.min(queue.len());
    let taken: Vec<(Fact, u8)> = queue.drain(..count).collect();
    let requeued = taken.iter().filter(|(_, ticks)| *ticks > 1);
    queue.extend(requeued.map(|(fact, ticks)| (fact.clone(), ticks - 1)));
    taken.into_iter().map(|(fact, _)| fact).collect()
}
