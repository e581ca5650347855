//! Chooses an upstream for an attempt, and probes it first where the choice asks for it.

use std::time::Duration;

use chestnutnotch_core::limit::Shed;
use chestnutnotch_core::limit::ShedReason;
use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::upstream::AttemptOutcome;
use chestnutnotch_core::upstream::ChoiceError;
use chestnutnotch_core::upstream::Criteria;
use chestnutnotch_core::upstream::Kind;
use chestnutnotch_core::upstream::Pick;
use chestnutnotch_core::upstream::Probe;

use crate::filters::Chain;
use crate::filters::refusal::Execution;
use crate::filters::refusal::Refusal;

/// Choices before the request is refused, if the upstreams are full or fail their probes.
const MAX_PICK_ROUNDS: u32 = 8;
/// Delay before the next choice while all upstreams are full.
const FULL_RETRY_DELAY: Duration = Duration::from_millis(25);

impl Chain {
    /// Chooses an upstream and counts the attempt. `execution` tells whether an earlier attempt at
    /// the request ran.
    ///
    /// # Errors
    ///
    /// [`Refusal::NoUpstream`], [`Refusal::Overloaded`], [`Refusal::Paused`], [`Refusal::Shed`] or
    /// [`Refusal::Quarantined`].
    pub async fn pick(&self, criteria: &Criteria, execution: Execution) -> Result<Pick, Refusal> {
        self.upstreams.await_evidence(criteria).await;
        for _ in 0..MAX_PICK_ROUNDS {
            match self.upstreams.choose(criteria) {
                Ok(pick) if !pick.needs_probe => return Ok(pick),
                Ok(pick) => {
                    if self.upstreams.send_probe(&probe(&pick)).await {
                        return Ok(pick);
                    }
                    self.upstreams.end(pick.attempt, AttemptOutcome::Neutral);
                }
                Err(ChoiceError::Full) => tokio::time::sleep(FULL_RETRY_DELAY).await,
                Err(ChoiceError::NoneKnown | ChoiceError::NoneUsable | ChoiceError::Evacuated) => {
                    return Err(Refusal::NoUpstream);
                }
                Err(ChoiceError::Paused { until }) => {
                    return Err(self.turn_away_paused(&criteria.kind, until));
                }
                Err(ChoiceError::RateLimited { until }) => {
                    let retry_after = whole_seconds(until.saturating_sub(self.timer.now()));
                    return Err(Refusal::Shed { retry_after });
                }
                Err(ChoiceError::Quarantined { until } | ChoiceError::Unconfirmed { until }) => {
                    let retry_after = whole_seconds(until.saturating_sub(self.timer.now()));
                    return Err(Refusal::Quarantined {
                        retry_after,
                        execution,
                    });
                }
            }
        }
        Err(Refusal::Overloaded)
    }

    /// Checks that not every upstream of a kind is paused, so that a request does not wait for
    /// admission in vain.
    ///
    /// # Errors
    ///
    /// [`Refusal::Paused`].
    pub fn check_pauses(&self, kind: &Kind) -> Result<(), Refusal> {
        match self.upstreams.find_all_paused(kind) {
            Some(until) => Err(self.turn_away_paused(kind, until)),
            None => Ok(()),
        }
    }

    fn turn_away_paused(&self, kind: &Kind, until: Millis) -> Refusal {
        let wait = self.upstreams.turn_away_paused("", kind, until);
        Refusal::Paused {
            retry_after: whole_seconds(wait),
        }
    }
}

/// Returns the refusal of a request that admission control did not admit.
pub fn shed_refusal(shed: Shed) -> Refusal {
    match shed.reason {
        ShedReason::NoUpstream => Refusal::NoUpstream,
        ShedReason::QueueFull
        | ShedReason::Memory
        | ShedReason::LongWait
        | ShedReason::Deadline => Refusal::Shed {
            retry_after: whole_seconds(shed.retry_after),
        },
    }
}

fn probe(pick: &Pick) -> Probe {
    Probe {
        upstream: pick.upstream.clone(),
        incarnation: pick.incarnation,
        address: pick.address,
    }
}

/// Rounds up to whole seconds, at least one.
fn whole_seconds(duration: Millis) -> u64 {
    duration.0.div_ceil(1_000).max(1)
}
