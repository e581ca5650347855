//! Demand for the tokens of one budget at one holder.
//!
//! Load: all requests of a tenant reach one holder, more than it has tokens for. A holder that refuses
//! for lack of tokens spends little, so spending alone would leave it with little.

use crate::unit::Millis;
use crate::unit::Tokens;

/// Least span between two samples of a rate.
const MIN_RATE_SPAN_MILLIS: Millis = Millis(1_000);

/// Tokens asked for by requests, served or not. The counts except `waiting` are cumulative.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub(super) struct Demand {
    /// Worst cases of the requests that wait for tokens.
    waiting: Tokens,
    /// Worst cases of the requests that were refused for lack of tokens.
    refused: Tokens,
    /// Spent out of borrowed tokens.
    borrowed: Tokens,
    /// Lent to other holders.
    lent: Tokens,
    rate: Rate,
}

impl Demand {
    /// Counts a request that waits for tokens.
    pub fn begin_wait(&mut self, worst_case: Tokens) {
        self.waiting += worst_case;
    }

    /// Ends the wait of a request.
    pub fn end_wait(&mut self, worst_case: Tokens, served: bool) {
        self.waiting = self.waiting.saturating_sub(worst_case);
        if !served {
            self.refused += worst_case;
        }
    }

    /// Counts tokens spent out of borrowed ones.
    pub fn record_borrowed(&mut self, spent: Tokens) {
        self.borrowed += spent;
    }

    /// Counts tokens lent to another holder. They are spent here and are no demand.
    pub fn record_lent(&mut self, amount: Tokens) {
        self.lent += amount;
    }

    /// Returns the worst cases of the requests that wait.
    pub fn waiting(&self) -> Tokens {
        self.waiting
    }

    /// Returns the tokens for the waiting requests and for the demand of so many seconds.
    pub fn expected(&self, seconds: u64) -> Tokens {
        self.waiting + self.rate.projected(seconds)
    }

    /// Returns the rate of demand.
    pub fn rate(&self) -> &Rate {
        &self.rate
    }

    /// Updates the rate. `spent` is the count of own tokens spent or lent.
    pub fn update(&mut self, now: Millis, spent: Tokens, window: Millis) {
        let served = spent.saturating_sub(self.lent) + self.borrowed;
        self.rate.update(now, served + self.refused, window);
    }
}

/// Average rate of a cumulative count of tokens.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub(super) struct Rate {
    /// Time from which it is averaged; none before the first.
    start: Option<Millis>,
    /// Time of the last sample.
    sampled_at: Millis,
    /// Count at the last sample.
    count: Tokens,
    /// Thousandths of a token per second.
    milli_tokens: u64,
}

impl Rate {
    /// Adds a sample to the average. It covers the whole past at first, and is an exponentially
    /// weighted average once the past is longer than `window`.
    pub fn update(&mut self, now: Millis, count: Tokens, window: Millis) {
        if self.start.is_none() && count == Tokens::ZERO {
            // Idle time before the first token doesn't count.
            self.sampled_at = now;
            return;
        }
        let start = *self.start.get_or_insert(self.sampled_at);
        let span = now.saturating_sub(self.sampled_at).0;
        if span < MIN_RATE_SPAN_MILLIS.0 {
            return;
        }
        let more = count.saturating_sub(self.count).0;
        let recent = more.saturating_mul(1_000_000) / span;
        let past = now.saturating_sub(start).0.min(window.0);
        let past = past.saturating_sub(span).saturating_add(1);
        let (old, new) = (u128::from(self.milli_tokens), u128::from(recent));
        let (past, span) = (u128::from(past), u128::from(span));
        let mean = (old * past + new * span) / (past + span);
        self.milli_tokens = u64::try_from(mean).unwrap_or(u64::MAX);
        self.sampled_at = now;
        self.count = count;
    }

    /// Whether the count has been averaged for less than twice the window.
    pub fn is_warming_up(&self, now: Millis, window: Millis) -> bool {
        let start = self.start.unwrap_or(now);
        now < start + window + window
    }

    /// Returns the rate in whole tokens per second.
    pub fn per_second(&self) -> Tokens {
        Tokens(self.milli_tokens / 1_000)
    }

    /// Returns the tokens of so many seconds at this rate.
    pub fn projected(&self, seconds: u64) -> Tokens {
        Tokens(self.milli_tokens.saturating_mul(seconds) / 1_000)
    }
}
