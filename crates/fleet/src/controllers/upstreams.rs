//! The upstreams that this router knows.
//!
//! The table stands behind a short lock, not in an actor: each request chooses once and ends once,
//! both are pure and take microseconds, and one mailbox would put all requests in a row.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use chestnutnotch_core::id::DataCentre;
use chestnutnotch_core::id::Upstream;
use chestnutnotch_core::unit::Incarnation;
use chestnutnotch_core::upstream::Absent;
use chestnutnotch_core::upstream::Announcement;
use chestnutnotch_core::upstream::Attempt;
use chestnutnotch_core::upstream::Ended;
use chestnutnotch_core::upstream::Pick;
use chestnutnotch_core::upstream::Table;
use chestnutnotch_core::upstream::Wanted;

use crate::metrics::Metrics;
use crate::timer::Timer;

/// A handle on the table of upstreams. Cheap to clone.
#[derive(Clone, Debug)]
pub struct Upstreams {
    table: Arc<Mutex<Table>>,
    timer: Timer,
    metrics: Arc<Metrics>,
}

impl Upstreams {
    /// An empty table.
    pub fn new(centre: DataCentre, timer: Timer, metrics: Arc<Metrics>) -> Self {
        Self {
            table: Arc::new(Mutex::new(Table::new(centre))),
            timer,
            metrics,
        }
    }

    /// Takes in an announcement. Returns whether it was news.
    pub fn observe(&self, said: Announcement) -> bool {
        let news = self.table().observe(self.timer.now(), said);
        self.metrics.announcements.add(if news { "news" } else { "old" });
        news
    }

    /// Chooses an upstream and counts the attempt.
    ///
    /// # Errors
    ///
    /// See [`Absent`].
    pub fn choose(&self, wanted: &Wanted) -> Result<Pick, Absent> {
        self.table().choose(self.timer.now(), wanted)
    }

    /// Counts the end of an attempt.
    pub fn end(&self, attempt: Attempt, ended: Ended) {
        self.metrics.attempts.add(match ended {
            Ended::Whole => "whole",
            Ended::Overload => "overload",
            Ended::Unreachable => "unreachable",
            Ended::Broken => "broken",
            Ended::Late => "late",
            Ended::Neutral => "neutral",
        });
        self.table().end(self.timer.now(), attempt, ended);
    }

    /// The newest announcement of each upstream.
    pub fn announcements(&self) -> Vec<Announcement> {
        self.table().announcements().cloned().collect()
    }

    /// The newest start heard of an upstream.
    pub fn incarnation(&self, upstream: &Upstream) -> Option<Incarnation> {
        let table = self.table();
        let mut all = table.announcements();
        all.find(|said| said.upstream == *upstream)
            .map(|said| said.incarnation)
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
