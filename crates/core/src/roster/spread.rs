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

/// Facts to be passed on, with how often they still are.
#[derive(Clone, Debug, Default)]
pub(super) struct Hot {
    queue: VecDeque<(Fact, u8)>,
}

/// Ticks over which an urgent fact is passed on. With two receivers a tick, all of a thousand nodes
/// have heard it by then but for one in some hundred thousand; the slow round reaches those.
const URGENT_TICKS: u8 = 6;
const REFRESH_TICKS: u8 = 1;
const MOST: usize = 4_096;

impl Hot {
    pub fn push(&mut self, fact: Fact, news: News) {
        let ticks = match news {
            News::Urgent => URGENT_TICKS,
            News::Refresh => REFRESH_TICKS,
        };
        if self.queue.len() >= MOST {
            // The slow round makes up for what is dropped here.
            self.queue.pop_back();
        }
        match news {
            News::Urgent => self.queue.push_front((fact, ticks)),
            News::Refresh => self.queue.push_back((fact, ticks)),
        }
    }

    /// Takes at most `most` facts, urgent ones first, and keeps those to be passed on again.
    pub fn take(&mut self, most: usize) -> Vec<Fact> {
        let count = most.min(self.queue.len());
        let taken: Vec<(Fact, u8)> = self.queue.drain(..count).collect();
        let again = taken.iter().filter(|(_, left)| *left > 1);
        for (fact, left) in again.rev() {
            self.queue.push_front((fact.clone(), left - 1));
        }
        taken.into_iter().map(|(fact, _)| fact).collect()
    }
}
