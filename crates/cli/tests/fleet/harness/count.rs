//! The sums that have to agree at the end of every test.

use chestnutnotch_standin::Stats;
use serde_json::Value;

use super::fleet::Fleet;

/// Tokens of all budgets and of all engines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Count {
    pub prepaid: u64,
    pub unallotted: u64,
    pub allotted: u64,
    pub billed: u64,
    pub wasted: u64,
    pub unknown: u64,
    /// Bills of all budgets.
    pub bills: u64,
    /// Tokens that the engines read and produced.
    pub produced: u64,
}

impl Count {
    /// Counts now. Engines that crashed or left are not counted.
    pub async fn of(fleet: &Fleet) -> Self {
        let mut count = Self::ledger(fleet).await;
        for engine in 0..fleet.engines.len() {
            count.produced += tokens(&fleet.engine_stats(engine).await);
        }
        count
    }

    /// Counts the budgets only.
    pub async fn ledger(fleet: &Fleet) -> Self {
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

    /// No token is lost or made, and the engines did no more than is paid or accounted for.
    pub fn check(&self) {
        let parts = self.unallotted + self.allotted + self.billed + self.wasted + self.unknown;
        assert_eq!(parts, self.prepaid, "{self:?}");
        assert!(self.billed <= self.prepaid, "{self:?}");
        assert!(self.produced <= self.prepaid, "{self:?}");
        let spent = self.billed + self.wasted + self.unknown + self.allotted;
        assert!(self.produced <= spent, "{self:?}");
    }
}

/// Tokens that an engine read and produced.
pub fn tokens(stats: &Stats) -> u64 {
    stats.prompt + stats.produced
}
