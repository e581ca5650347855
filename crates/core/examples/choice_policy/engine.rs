//! A model engine: continuous batching, a prefix cache of limited memory, lagging reports.

use std::collections::VecDeque;

use chestnutnotch_core::map::Map;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::work::Request;

/// Requests in one batch.
pub const SLOTS: u32 = 16;
const WAITING: usize = 16;
const CACHED_BLOCKS: usize = 96;
const PREFILL_MICROS_PER_TOKEN: u64 = 80;
const STEP_BASE_MICROS: u64 = 12_000;
const STEP_EACH_MICROS: u64 = 1_500;
const EVENT_LOSS: u64 = 20;

/// One attempt in the engine.
#[derive(Clone, Debug)]
pub struct Job {
    pub attempt: (usize, u64),
    pub request: usize,
    pub started: bool,
    pub left: u64,
    pub prefill: u64,
}

/// What one step brought about.
#[derive(Default)]
pub struct Step {
    pub firsts: Vec<Job>,
    pub wholes: Vec<Job>,
}

#[derive(Clone, Default)]
pub struct Engine {
    pub running: Vec<Job>,
    pub waiting: VecDeque<Job>,
    pub slow: u64,
    pub leaving: bool,
    pub busy: bool,
    pub seq: u64,
    pub cached: Vec<u64>,
    pub evicted: Vec<u64>,
    blocks: Map<u64, u64>,
    used: u64,
}

impl Engine {
    pub fn new() -> Self {
        Self {
            slow: 1,
            ..Self::default()
        }
    }

    /// Takes a job. Returns whether there was room, and how many prompt tokens were cached.
    pub fn accept(
        &mut self,
        attempt: (usize, u64),
        index: usize,
        request: &Request,
    ) -> Option<u64> {
        if self.waiting.len() >= WAITING {
            return None;
        }
        let hit = request
            .prefixes
            .iter()
            .rposition(|block| self.blocks.contains_key(block));
        let parts = request.prefixes.len() as u64 + 1;
        let cached = hit.map_or(0, |at| request.prompt * (at as u64 + 1) / parts);
        self.waiting.push_back(Job {
            attempt,
            request: index,
            started: false,
            left: request.output,
            prefill: (request.prompt - cached) * PREFILL_MICROS_PER_TOKEN,
        });
        Some(cached)
    }

    pub fn cancel(&mut self, attempt: (usize, u64)) {
        self.running.retain(|job| job.attempt != attempt);
        self.waiting.retain(|job| job.attempt != attempt);
    }

    /// Length of the next step in microseconds, if there is work.
    pub fn begin(&mut self) -> Option<u64> {
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
        let decode = STEP_BASE_MICROS + STEP_EACH_MICROS * self.running.len() as u64;
        Some((prefill + decode) * self.slow)
    }

    /// Ends a step: one token for each running job.
    pub fn end(&mut self, requests: &[Request], rng: &mut ChaCha8Rng) -> Step {
        let mut step = Step::default();
        for job in &mut self.running {
            if !job.started {
                job.started = true;
                step.firsts.push(job.clone());
            }
            job.left = job.left.saturating_sub(1);
            if job.left == 0 {
                step.wholes.push(job.clone());
            }
        }
        self.running.retain(|job| job.left > 0);
        for job in &step.firsts {
            for &block in &requests[job.request].prefixes {
                self.keep(block, rng);
            }
        }
        step
    }

    fn keep(&mut self, block: u64, rng: &mut ChaCha8Rng) {
        self.used += 1;
        if self.blocks.insert(block, self.used).is_none() && !lost(rng) {
            self.cached.push(block);
        }
        if self.blocks.len() <= CACHED_BLOCKS {
            return;
        }
        let oldest = self
            .blocks
            .iter()
            .min_by_key(|one| *one.1)
            .map(|one| *one.0);
        if let Some(oldest) = oldest {
            self.blocks.remove(&oldest);
            if !lost(rng) {
                self.evicted.push(oldest);
            }
        }
    }
}

fn lost(rng: &mut ChaCha8Rng) -> bool {
    rng.next_u64() % 100 < EVENT_LOSS
}
