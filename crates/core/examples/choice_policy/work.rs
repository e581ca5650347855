//! Generated load: ten workspaces, a few of them large, whose prompts share prefixes.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Share of each workspace in the ordinary load, in percent; the first three are large.
pub const SHARES: [u64; 10] = [24, 18, 12, 8, 8, 7, 7, 6, 5, 5];
/// Workspace that sends too much in the flood scenario.
pub const LARGEST: usize = 0;
/// Workspace whose service is reported apart.
pub const SMALLEST: usize = 9;
/// Number of prompt templates of a workspace.
const TEMPLATES: u64 = 8;
/// Number of chats that continue a template.
const CHATS: u64 = 12;

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// Time of sending, in microseconds from the start of the load.
    pub sent_at: u64,
    pub workspace: usize,
    /// Router that receives it.
    pub router: usize,
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Tokens of the answer.
    pub output: u64,
    /// Maximum number of tokens of the answer, as the caller states it.
    pub limit: u64,
    /// Hashes of the prompt's prefixes, shortest first.
    pub prefixes: Vec<u64>,
}

/// Rate and kind of the requests of one scenario.
pub struct Load {
    /// Requests per second, by workspace.
    pub rates: [f64; 10],
    /// Duration in microseconds.
    pub micros: u64,
    /// Whether the requests are short calls of a service without prompts.
    pub desk: bool,
}

impl Load {
    /// Returns the ordinary mix of workspaces at this many requests per second.
    pub fn ordinary(total: f64, micros: u64) -> Self {
        let sum: u64 = SHARES.iter().sum();
        let rates = SHARES.map(|share| total * share as f64 / sum as f64);
        Self {
            rates,
            micros,
            desk: false,
        }
    }

    /// Generates all requests in order of time. The same seed gives the same requests.
    pub fn requests(&self, seed: u64, routers: usize) -> Vec<Request> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut requests = Vec::new();
        for (workspace, rate) in self.rates.iter().enumerate() {
            let mut at = 0.0;
            loop {
                at += exponential(&mut rng) * 1_000_000.0 / rate;
                if at >= self.micros as f64 {
                    break;
                }
                let mut request = generate(&mut rng, at as u64, workspace, routers);
                if self.desk {
                    request.prompt = 0;
                    request.output = 1;
                    request.limit = 1;
                    request.prefixes.clear();
                }
                requests.push(request);
            }
        }
        requests.sort_by_key(|request| request.sent_at);
        requests
    }
}

/// Generates a request of a workspace.
fn generate(rng: &mut ChaCha8Rng, sent_at: u64, workspace: usize, routers: usize) -> Request {
    // The smaller of two random numbers, so that some templates and chats are more frequent.
    let template = (rng.next_u64() % TEMPLATES).min(rng.next_u64() % TEMPLATES);
    let chat = (rng.next_u64() % CHATS).min(rng.next_u64() % CHATS);
    let system = workspace as u64 + 1;
    let template = system * 1_000 + template + 1;
    let chat = template * 1_000 + chat + 1;
    Request {
        sent_at,
        workspace,
        router: (rng.next_u64() % routers as u64) as usize,
        prompt: 1_000 + rng.next_u64() % 1_500,
        output: 1 + (80.0 * exponential(rng)).min(400.0) as u64,
        limit: 400,
        prefixes: vec![system, template, chat],
    }
}

/// Returns an exponentially distributed number of mean 1.
fn exponential(rng: &mut ChaCha8Rng) -> f64 {
    let unit = (rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64;
    -(1.0 - unit).ln()
}
