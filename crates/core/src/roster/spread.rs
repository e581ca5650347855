//! Facts that are passed on while they are new.

use std::collections::VecDeque;

use super::fact::Fact;

/// How urgent a new fact is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum News {
    /// It changes what others do: it is passed on several times.
    Urgent,
    /// It refreshes what others know: it is passed on once.
    Refresh,
}

/// Facts to be passed on, with how often they still are. A newer fact takes the place of an older one
/// about the same subject.
#[derive(Clone, Debug, Default)]
pub(super) struct Hot {
    urgent: VecDeque<(Fact, u8)>,
    refresh: VecDeque<(Fact, u8)>,
}

/// Ticks over which an urgent fact is passed on. With two receivers a tick, all of a thousand nodes
/// have heard it by then but for one in some hundred thousand; the slow round reaches those.
const URGENT_TICKS: u8 = 6;
const REFRESH_TICKS: u8 = 2;
const MOST: usize = 4_096;

/// One fact in so many is no urgent one while others wait: many changes must not hold up heartbeats.
const REFRESH_PART: usize = 2;

impl Hot {
    pub fn push(&mut self, fact: Fact, news: News) {
        for queue in [&mut self.urgent, &mut self.refresh] {
            queue.retain(|(known, _)| !known.is_about(&fact));
        }
        // The slow round makes up for what is dropped here.
        match news {
            News::Urgent => {
                self.urgent.truncate(MOST - 1);
                self.urgent.push_front((fact, URGENT_TICKS));
            }
            News::Refresh => {
                self.refresh.truncate(MOST - 1);
                self.refresh.push_back((fact, REFRESH_TICKS));
            }
        }
    }

    /// Takes at most `most` facts, urgent ones first, and keeps those to be passed on again.
    pub fn take(&mut self, most: usize) -> Vec<Fact> {
        let kept = self.refresh.len().min(most / REFRESH_PART);
        let mut taken = draw(&mut self.urgent, most - kept);
        taken.extend(draw(&mut self.refresh, most - taken.len()));
        taken
    }
}

/// Takes from the front; what is to be passed on again goes to the back, behind what was never sent.
fn draw(queue: &mut VecDeque<(Fact, u8)>, most: usize) -> Vec<Fact> {
    let count = most.min(queue.len());
    let taken: Vec<(Fact, u8)> = queue.drain(..count).collect();
    let again = taken.iter().filter(|(_, left)| *left > 1);
    queue.extend(again.map(|(fact, left)| (fact.clone(), left - 1)));
    taken.into_iter().map(|(fact, _)| fact).collect()
}
