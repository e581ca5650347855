//! The requests of an engine. Each one runs to its end even if its connection is closed.

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

/// Largest number of runs, running or ended, that are kept to be resumed and counted.
const MAX_RETAINED_RUNS: usize = 200_000;

/// Progress of a run.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Progress {
    /// Number of tokens produced.
    pub produced: u64,
    /// Whether it has ended, normally or by a cancel.
    pub ended: bool,
    /// Whether a cancel ended it.
    pub cancelled: bool,
}

/// One attempt at a request.
#[derive(Debug)]
pub(crate) struct Run {
    /// Request id; attempts may share it.
    pub id: Arc<str>,
    /// All tokens of the answer, including those not produced yet.
    pub tokens: Vec<String>,
    /// Whether the output limit cuts the answer short.
    pub hit_limit: bool,
    /// Number of prompt tokens.
    pub prompt: u64,
    /// Publishes the progress.
    progress: watch::Sender<Progress>,
}

impl Run {
    /// Creates a run that has not started.
    pub fn new(id: Arc<str>, tokens: Vec<String>, hit_limit: bool, prompt: u64) -> Self {
        Self {
            id,
            tokens,
            hit_limit,
            prompt,
            progress: watch::Sender::default(),
        }
    }

    /// Returns a receiver of the progress.
    pub fn subscribe(&self) -> watch::Receiver<Progress> {
        self.progress.subscribe()
    }

    /// Returns the current progress.
    pub fn progress(&self) -> Progress {
        *self.progress.borrow()
    }

    /// Cancels the run unless it has ended. Returns the final number of tokens produced.
    pub fn cancel(&self) -> u64 {
        self.progress.send_modify(|at| {
            at.cancelled |= !at.ended;
            at.ended = true;
        });
        self.progress().produced
    }

    /// Produces one more token, or all remaining ones if `all` is set. Returns whether the run goes
    /// on.
    fn step(&self, all: bool) -> bool {
        let total = self.tokens.len() as u64;
        self.progress.send_modify(|at| {
            if at.ended {
                return;
            }
            at.produced = if all {
                total
            } else {
                total.min(at.produced + 1)
            };
            at.ended = at.produced == total;
        });
        !self.progress().ended
    }
}

/// All runs of an engine.
#[derive(Debug)]
pub(crate) struct Runs {
    /// Limits how many requests run at the same time.
    slots: Semaphore,
    /// Number of requests that wait for a slot.
    waiting: AtomicU64,
    /// Number of requests that have a slot.
    running: AtomicU64,
    /// Runs that can be resumed and are counted.
    retained: Mutex<RetainedRuns>,
}

/// The latest runs.
#[derive(Debug, Default)]
struct RetainedRuns {
    /// Runs by request id, oldest first.
    runs: Map<Arc<str>, Vec<Arc<Run>>>,
    /// Request ids of all runs, oldest first.
    ids_by_age: VecDeque<Arc<str>>,
}

impl Runs {
    /// Creates an empty set of runs, of which `slots` may run at the same time.
    pub fn new(slots: u32) -> Self {
        Self {
            slots: Semaphore::new(slots as usize),
            waiting: AtomicU64::new(0),
            running: AtomicU64::new(0),
            retained: Mutex::default(),
        }
    }

    /// Returns the number of requests that wait for a slot.
    pub fn waiting(&self) -> u64 {
        self.waiting.load(Ordering::Relaxed)
    }

    /// Returns the number of requests that have a slot.
    pub fn running(&self) -> u64 {
        self.running.load(Ordering::Relaxed)
    }

    /// Stores a run. Beyond the limit, removes all runs with the oldest run's id.
    pub fn retain(&self, run: Arc<Run>) {
        let mut retained = self.lock();
        retained.ids_by_age.push_back(run.id.clone());
        retained.runs.entry(run.id.clone()).or_default().push(run);
        if retained.ids_by_age.len() > MAX_RETAINED_RUNS
            && let Some(oldest) = retained.ids_by_age.pop_front()
        {
            retained.runs.remove(&oldest);
        }
    }

    /// Returns the latest run with this id.
    pub fn find(&self, id: &str) -> Option<Arc<Run>> {
        self.lock()
            .runs
            .get(id)
            .and_then(|runs| runs.last().cloned())
    }

    /// Waits for a slot and runs a request to its end. `delay` returns the time for the next token;
    /// zero produces all remaining tokens at once.
    pub async fn run_to_end(&self, run: Arc<Run>, delay: impl Fn() -> Duration) {
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

    /// Writes the counts to the statistics.
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

    fn lock(&self) -> MutexGuard<'_, RetainedRuns> {
        self.retained.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
