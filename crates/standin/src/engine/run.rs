//! The requests of an engine: each runs on whether or not somebody reads it.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chestnutnotch_core::map::Map;
use tokio::sync::Semaphore;
use tokio::sync::watch;

use crate::stats::RunStats;
use crate::stats::Stats;

/// Runs that are kept after their end, to be resumed and counted.
const KEPT_RUNS: usize = 200_000;

/// How far a run is.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Progress {
    /// Tokens produced.
    pub produced: u64,
    /// Whether it has ended, by itself or by a cancel.
    pub ended: bool,
    /// Whether it was cancelled.
    pub cancelled: bool,
}

/// One request in the engine.
#[derive(Debug)]
pub(crate) struct Run {
    /// The id it was sent with.
    pub id: Arc<str>,
    /// All tokens it will produce.
    pub tokens: Vec<String>,
    /// Whether the output limit cuts it short.
    pub short: bool,
    /// Prompt tokens.
    pub prompt: u64,
    progress: watch::Sender<Progress>,
}

impl Run {
    /// A run that has not begun.
    pub fn new(id: Arc<str>, tokens: Vec<String>, short: bool, prompt: u64) -> Self {
        Self {
            id,
            tokens,
            short,
            prompt,
            progress: watch::Sender::default(),
        }
    }

    /// Follows the progress.
    pub fn follow(&self) -> watch::Receiver<Progress> {
        self.progress.subscribe()
    }

    /// Progress now.
    pub fn progress(&self) -> Progress {
        *self.progress.borrow()
    }

    /// Stops it. Returns the tokens produced, which no longer rise.
    pub fn cancel(&self) -> u64 {
        self.progress.send_modify(|at| {
            at.cancelled |= !at.ended;
            at.ended = true;
        });
        self.progress().produced
    }

    /// Produces one more token, or all that are left. Returns whether it goes on.
    fn step(&self, all: bool) -> bool {
        let most = self.tokens.len() as u64;
        self.progress.send_modify(|at| {
            if at.ended {
                return;
            }
            at.produced = if all { most } else { most.min(at.produced + 1) };
            at.ended = at.produced == most;
        });
        !self.progress().ended
    }
}

/// All runs of an engine.
#[derive(Debug)]
pub(crate) struct Runs {
    slots: Semaphore,
    waiting: AtomicU64,
    running: AtomicU64,
    kept: Mutex<Kept>,
}

#[derive(Debug, Default)]
struct Kept {
    runs: Map<Arc<str>, Vec<Arc<Run>>>,
    ages: VecDeque<Arc<str>>,
}

impl Runs {
    /// No runs yet; `slots` of them may run at once.
    pub fn new(slots: u32) -> Self {
        Self {
            slots: Semaphore::new(slots as usize),
            waiting: AtomicU64::new(0),
            running: AtomicU64::new(0),
            kept: Mutex::default(),
        }
    }

    /// Requests that wait for a slot.
    pub fn waiting(&self) -> u64 {
        self.waiting.load(Ordering::Relaxed)
    }

    /// Requests in the running batch.
    pub fn running(&self) -> u64 {
        self.running.load(Ordering::Relaxed)
    }

    /// Keeps a run, forgetting the oldest beyond the bound.
    pub fn keep(&self, run: Arc<Run>) {
        let mut kept = self.lock();
        kept.ages.push_back(run.id.clone());
        kept.runs.entry(run.id.clone()).or_default().push(run);
        if kept.ages.len() > KEPT_RUNS
            && let Some(oldest) = kept.ages.pop_front()
        {
            kept.runs.remove(&oldest);
        }
    }

    /// The latest run with this id.
    pub fn find(&self, id: &str) -> Option<Arc<Run>> {
        self.lock()
            .runs
            .get(id)
            .and_then(|runs| runs.last().cloned())
    }

    /// Runs it to its end, in a slot.
    pub async fn drive(&self, run: Arc<Run>, delay: impl Fn() -> Duration) {
        self.waiting.fetch_add(1, Ordering::Relaxed);
        let permit = self.slots.acquire().await;
        self.waiting.fetch_sub(1, Ordering::Relaxed);
        self.running.fetch_add(1, Ordering::Relaxed);
        loop {
            let pause = delay();
            if !pause.is_zero() {
                tokio::time::sleep(pause).await;
            }
            if !run.step(pause.is_zero()) {
                break;
            }
        }
        self.running.fetch_sub(1, Ordering::Relaxed);
        drop(permit);
    }

    /// Adds the counts to the statistics.
    pub fn count(&self, stats: &mut Stats) {
        stats.running = self.waiting() + self.running();
        for (id, runs) in &self.lock().runs {
            let row: &mut RunStats = stats.runs.entry(id.to_string()).or_default();
            for run in runs {
                row.starts += 1;
                row.prompt += run.prompt;
                row.produced += run.progress().produced;
            }
            stats.requests += row.starts;
            stats.prompt += row.prompt;
            stats.produced += row.produced;
        }
    }

    fn lock(&self) -> MutexGuard<'_, Kept> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
