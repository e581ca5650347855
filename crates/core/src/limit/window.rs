//! A bound on retries that holds over all routers together, within any span of a given length.

use std::collections::VecDeque;

use crate::unit::Millis;

/// Settings of a [`RetryWindow`]. In any window, all routers together may send `share` times their
/// first attempts, plus `allowance`, as retries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WindowRules {
    /// Retries for each first attempt, in thousandths.
    pub share: u32,
    /// Retries besides.
    pub allowance: u32,
    /// Length of the window.
    pub window: Millis,
}

/// The part of one router.
#[derive(Clone, Debug)]
pub struct RetryWindow {
    rules: WindowRules,
    slots: VecDeque<Slot>,
}

#[derive(Clone, Copy, Debug)]
struct Slot {
    start: Millis,
    firsts: u64,
    retries: u64,
}

/// Slots in a window; the oldest is dropped only when it lies outside as a whole.
const SLOTS: u64 = 20;

/// Part of the bound that is used: the number of routers lags behind what is true.
const USED_PERCENT: u64 = 75;

impl RetryWindow {
    /// A window without any attempts.
    pub fn new(rules: WindowRules) -> Self {
        Self {
            rules,
            slots: VecDeque::new(),
        }
    }

    /// Counts a first attempt.
    pub fn first(&mut self, now: Millis) {
        self.slot(now).firsts += 1;
    }

    /// Takes a retry, if this router's part among `routers` allows one. Returns whether it does.
    pub fn take(&mut self, now: Millis, routers: usize) -> bool {
        if self.left(now, routers) == 0 {
            return false;
        }
        self.slot(now).retries += 1;
        true
    }

    /// Retries left now.
    pub fn left(&mut self, now: Millis, routers: usize) -> u64 {
        self.expire(now);
        let firsts: u64 = self.slots.iter().map(|slot| slot.firsts).sum();
        let retries: u64 = self.slots.iter().map(|slot| slot.retries).sum();
        let earned = firsts * u64::from(self.rules.share) / 1_000;
        let even = u64::from(self.rules.allowance) / routers.max(1) as u64;
        let bound = (earned + even) * USED_PERCENT / 100;
        bound.saturating_sub(retries)
    }

    fn expire(&mut self, now: Millis) {
        let window = self.rules.window;
        let span = self.span();
        while let Some(slot) = self.slots.front() {
            if now < slot.start + window + span {
                return;
            }
            self.slots.pop_front();
        }
    }

    fn slot(&mut self, now: Millis) -> &mut Slot {
        let span = self.span();
        let is_open = self
            .slots
            .back()
            .is_some_and(|slot| now < slot.start + span);
        if !is_open {
            self.slots.push_back(Slot {
                start: now,
                firsts: 0,
                retries: 0,
            });
        }
        let last = self.slots.len() - 1;
        &mut self.slots[last]
    }

    fn span(&self) -> Millis {
        Millis((self.rules.window.0 / SLOTS).max(1))
    }
}
