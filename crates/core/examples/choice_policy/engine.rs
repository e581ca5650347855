//! Simulated model engine: continuous batching, a prefix cache of limited memory, and cache events
//! of which some are lost.

use std::collections::VecDeque;

use chestnutnotch_core::map::Map;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::work::Request;

/// Maximum number of requests in a batch.
pub const SLOTS: u32 = 16;
/// Maximum number of queued requests.
const MAX_WAITING: usize = 16;
/// Maximum number of cached prefixes.
const MAX_CACHED_BLOCKS: usize = 96;
/// Time to process an uncached token of the prompt.
const PREFILL_MICROS_PER_TOKEN: u64 = 80;
/// Duration of a decoding step without its requests.
const STEP_BASE_MICROS: u64 = 12_000;
/// Time that each running request adds to a decoding step.
const STEP_PER_REQUEST_MICROS: u64 = 1_500;
/// Share of the cache events that are lost, in percent.
const EVENT_LOSS_PERCENT: u64 = 20;

/// One attempt that is queued or running in the engine.
#[derive(Clone, Debug)]
pub struct Job {
    /// Router, and number of the attempt at it.
    pub attempt: (usize, u64),
    /// Index of the request.
    pub request: usize,
    /// Whether its first token was produced.
    pub started: bool,
    /// Tokens still to be produced.
    pub tokens_left: u64,
    /// Time to process the uncached part of the prompt, in microseconds.
    pub prefill: u64,
}

/// Result of one decoding step.
#[derive(Default)]
pub struct Step {
    /// Jobs that produced their first token.
    pub started: Vec<Job>,
    /// Jobs that produced their last token.
    pub finished: Vec<Job>,
}

/// State of one engine.
#[derive(Clone, Default)]
pub struct Engine {
    pub running: Vec<Job>,
    pub waiting: VecDeque<Job>,
    /// Factor by which steps are slowed down; 1 is full speed.
    pub slowdown: u64,
    pub leaving: bool,
    /// Whether a step is running.
    pub busy: bool,
    /// Sequence number of the last announcement.
    pub seq: u64,
    /// Prefixes cached since the last announcement.
    pub cached: Vec<u64>,
    /// Prefixes evicted since the last announcement.
    pub evicted: Vec<u64>,
    /// Cached prefixes, with the value of `clock` at their last use.
    blocks: Map<u64, u64>,
    /// Logical clock of the cache; counts its uses.
    clock: u64,
}

impl Engine {
    /// Returns an idle engine with an empty cache.
    pub fn new() -> Self {
        Self {
            slowdown: 1,
            ..Self::default()
        }
    }

    /// Queues an attempt. Returns how many prompt tokens were cached, or `None` if the queue is
    /// full.
    pub fn accept(
        &mut self,
        attempt: (usize, u64),
        index: usize,
        request: &Request,
    ) -> Option<u64> {
        if self.waiting.len() >= MAX_WAITING {
            return None;
        }
        let longest = request
            .prefixes
            .iter()
            .rposition(|block| self.blocks.contains_key(block));
        let segments = request.prefixes.len() as u64 + 1;
        let cached = longest.map_or(0, |index| request.prompt * (index as u64 + 1) / segments);
        self.waiting.push_back(Job {
            attempt,
            request: index,
            started: false,
            tokens_left: request.output,
            prefill: (request.prompt - cached) * PREFILL_MICROS_PER_TOKEN,
        });
        Some(cached)
    }

    /// Removes an attempt, whether queued or running.
    pub fn cancel(&mut self, attempt: (usize, u64)) {
        self.running.retain(|job| job.attempt != attempt);
        self.waiting.retain(|job| job.attempt != attempt);
    }

    /// Starts the next step. Returns its duration in microseconds, or `None` if there is no work.
    pub fn start_step(&mut self) -> Option<u64> {
        let mut prefill = 0;
        if self.running.len() < SLOTS as usize
            && let Some(job) = self.waiting.pop_front()
        {
            prefill = job.prefill;
            self.running.push(job);
        }
        if self.running.is_empty() {
            return None;
        }
        let decode = STEP_BASE_MICROS + STEP_PER_REQUEST_MICROS * self.running.len() as u64;
        Some((prefill + decode) * self.slowdown)
    }

    /// Ends a step, which produces one token for each running job.
    pub fn end_step(&mut self, requests: &[Request], rng: &mut ChaCha8Rng) -> Step {
        let mut step = Step::default();
        for job in &mut self.running {
            if !job.started {
                job.started = true;
                step.started.push(job.clone());
            }
            job.tokens_left = job.tokens_left.saturating_sub(1);
            if job.tokens_left == 0 {
                step.finished.push(job.clone());
            }
        }
        self.running.retain(|job| job.tokens_left > 0);
        for job in &step.started {
            for &block in &requests[job.request].prefixes {
                self.cache(block, rng);
            }
        }
        step
    }

    /// Caches a prefix, and evicts the least recently used one if the cache is full.
    fn cache(&mut self, block: u64, rng: &mut ChaCha8Rng) {
        self.clock += 1;
        if self.blocks.insert(block, self.clock).is_none() && !is_lost(rng) {
            self.cached.push(block);
        }
        if self.blocks.len() <= MAX_CACHED_BLOCKS {
            return;
        }
        let oldest = self
            .blocks
            .iter()
            .min_by_key(|block| *block.1)
            .map(|block| *block.0);
        if let Some(oldest) = oldest {
            self.blocks.remove(&oldest);
            if !is_lost(rng) {
                self.evicted.push(oldest);
            }
        }
    }
}

/// Draws whether a cache event is lost.
fn is_lost(rng: &mut ChaCha8Rng) -> bool {
    rng.next_u64() % 100 < EVENT_LOSS_PERCENT
}
