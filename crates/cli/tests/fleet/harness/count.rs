//! Token totals, which have to be consistent at the end of a test.

use chestnutnotch_standin::Stats;
use serde_json::Value;

use super::fleet::Fleet;

/// Token totals over all budgets and all engines. The fields of the ledger are those that
/// `budget show` prints.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TokenTotals {
    pub prepaid: u64,
    pub unallotted: u64,
    pub allotted: u64,
    pub billed: u64,
    pub wasted: u64,
    pub unknown: u64,
    /// Number of bills of all budgets.
    pub bills: u64,
    /// Prompt and generated tokens of the engines.
    pub produced: u64,
}

impl TokenTotals {
    /// Reads the totals of the ledger and of the engines, all of which have to be running.
    pub async fn of(fleet: &Fleet) -> Self {
        let mut totals = Self::of_ledger(fleet).await;
        for engine in 0..fleet.engines.len() {
            totals.produced += used_tokens(&fleet.engine_stats(engine).await);
        }
        totals
    }

    /// Reads the totals of the ledger only.
    pub async fn of_ledger(fleet: &Fleet) -> Self {
        let rows = fleet.cli("reader", &["budget", "show"]).await;
        let rows = rows.as_array().unwrap();
        let sum = |field: &str| {
            rows.iter()
                .filter_map(|row: &Value| row[field].as_u64())
                .sum()
        };
        Self {
            prepaid: sum("prepaid"),
            unallotted: sum("unallotted"),
            allotted: sum("allotted"),
            billed: sum("billed"),
            wasted: sum("wasted"),
            unknown: sum("unknown"),
            bills: sum("bills"),
            produced: 0,
        }
    }

    /// Asserts that the parts of the budgets add up to the prepaid tokens, and that the engines
    /// used no more tokens than are prepaid or accounted for.
    pub fn assert_consistent(&self) {
        let parts = self.unallotted + self.allotted + self.billed + self.wasted + self.unknown;
        assert_eq!(parts, self.prepaid, "{self:?}");
        assert!(self.billed <= self.prepaid, "{self:?}");
        assert!(self.produced <= self.prepaid, "{self:?}");
        let spent = self.billed + self.wasted + self.unknown + self.allotted;
        assert!(self.produced <= spent, "{self:?}");
    }
}

/// Returns the prompt and generated tokens of an engine.
pub fn used_tokens(stats: &Stats) -> u64 {
    stats.prompt + stats.produced
}
