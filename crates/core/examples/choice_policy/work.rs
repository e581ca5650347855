//! The load: ten workspaces, a few of them large, whose prompts share prefixes.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Workspaces, by their part of the ordinary load; the first three are large.
pub const PARTS: [u64; 10] = [24, 18, 12, 8, 8, 7, 7, 6, 5, 5];
/// The workspace that floods in the flood scenario.
pub const LARGE: usize = 0;
/// The workspace whose share is looked at.
pub const SMALL: usize = 9;
const TEMPLATES: u64 = 8;
const CHATS: u64 = 12;

#[derive(Clone, Debug)]
pub struct Request {
    pub at: u64,
    pub workspace: usize,
    pub router: usize,
    pub prompt: u64,
    pub output: u64,
    pub limit: u64,
    pub prefixes: Vec<u64>,
}

/// Requests a second, by workspace, and how long they come.
pub struct Load {
    pub rates: [f64; 10],
    pub micros: u64,
    /// Short calls of a plain service.
    pub desk: bool,
}

impl Load {
    /// The ordinary mix at this many requests a second.
    pub fn ordinary(total: f64, micros: u64) -> Self {
        let sum: u64 = PARTS.iter().sum();
        let rates = PARTS.map(|part| total * part as f64 / sum as f64);
        Self {
            rates,
            micros,
            desk: false,
        }
    }

    /// All requests in order of time; the same for each policy.
    pub fn requests(&self, seed: u64, routers: usize) -> Vec<Request> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut all = Vec::new();
        for (workspace, rate) in self.rates.iter().enumerate() {
            let mut at = 0.0;
            loop {
                at += exponential(&mut rng) * 1_000_000.0 / rate;
                if at >= self.micros as f64 {
                    break;
                }
                let mut one = request(&mut rng, at as u64, workspace, routers);
                if self.desk {
                    one.prompt = 0;
                    one.output = 1;
                    one.limit = 1;
                    one.prefixes.clear();
                }
                all.push(one);
            }
        }
        all.sort_by_key(|one| one.at);
        all
    }
}

fn request(rng: &mut ChaCha8Rng, at: u64, workspace: usize, routers: usize) -> Request {
    // The smaller of two draws: some templates and chats are more frequent.
    let template = (rng.next_u64() % TEMPLATES).min(rng.next_u64() % TEMPLATES);
    let chat = (rng.next_u64() % CHATS).min(rng.next_u64() % CHATS);
    let system = workspace as u64 + 1;
    let template = system * 1_000 + template + 1;
    let chat = template * 1_000 + chat + 1;
    Request {
        at,
        workspace,
        router: (rng.next_u64() % routers as u64) as usize,
        prompt: 1_000 + rng.next_u64() % 1_500,
        output: 1 + (80.0 * exponential(rng)).min(400.0) as u64,
        limit: 400,
        prefixes: vec![system, template, chat],
    }
}

fn exponential(rng: &mut ChaCha8Rng) -> f64 {
    let unit = (rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64;
    -(1.0 - unit).ln()
}
