//! Routers that share the rate of one upstream, in simulated time.

use std::collections::VecDeque;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use chestnutnotch_core::id::Upstream;
use chestnutnotch_core::unit::Incarnation;
use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::unit::RequestRate;
use chestnutnotch_core::upstream::rate::RateBook;
use chestnutnotch_core::upstream::rate::RateNotice;
use chestnutnotch_core::upstream::rate::Reach;
use chestnutnotch_core::upstream::rate::ShareGrant;
use chestnutnotch_core::upstream::rate::ShareRequest;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Length of the window in which requests are counted, in milliseconds.
pub const WINDOW: u64 = 4_000;
/// Time that a message to another router takes, in milliseconds.
const LATENCY: u64 = 2;
/// Time after which the load moves to another router, in milliseconds.
const MOVE_PERIOD: u64 = 3_000;

/// Which routers get the requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Load {
    One,
    All,
    Moving,
}

/// A message on its way, with the time of its arrival and the router that it goes to.
struct Envelope<T> {
    due: u64,
    to: usize,
    message: T,
}

/// Routers with their books, and the requests that they sent to the upstream.
pub struct World {
    pub now: u64,
    pub books: Vec<RateBook>,
    /// For each router the one that it takes for the owner of the rate.
    pub owners: Vec<usize>,
    /// For each router the number that it takes for live, itself included.
    pub live: Vec<usize>,
    /// Requests to owners so far.
    pub asked: u64,
    /// Routers that no message reaches or leaves.
    pub cut: Vec<bool>,
    /// Share of the messages that is lost.
    pub loss: f64,
    /// Times at which requests were sent.
    pub sent: Vec<u64>,
    /// Routers that sent them.
    pub senders: Vec<usize>,
    pub rng: ChaCha8Rng,
    /// Router that gets all requests of a load that moves.
    hot: usize,
    /// Requests to owners, with the routers that sent them.
    requests: VecDeque<Envelope<(usize, ShareRequest)>>,
    grants: VecDeque<Envelope<ShareGrant>>,
    /// Number of requests at each router that wait for a grant.
    waiting: Vec<u32>,
}

impl World {
    /// Returns routers that know a rate, in thousandths, of which the last one owns it.
    pub fn new(routers: usize, rate: u64, seed: u64) -> Self {
        let mut world = Self {
            now: 0,
            books: vec![RateBook::default(); routers],
            owners: vec![routers - 1; routers],
            live: vec![routers; routers],
            asked: 0,
            cut: vec![false; routers],
            loss: 0.0,
            sent: Vec::new(),
            senders: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            hot: 0,
            requests: VecDeque::new(),
            grants: VecDeque::new(),
            waiting: vec![0; routers],
        };
        world.set_rate(1, Some(rate));
        world
    }

    /// Tells all routers of a change of the rate.
    pub fn set_rate(&mut self, version: u64, rate: Option<u64>) {
        let notice = notice(version, rate);
        for book in &mut self.books {
            book.observe_notice(Millis(self.now), &notice);
        }
    }

    /// Runs for a time, in which requests arrive at this rate, in thousandths.
    pub fn run(&mut self, millis: u64, load: Load, arrivals: u64) {
        for _ in 0..millis {
            if self.now.is_multiple_of(MOVE_PERIOD) {
                self.hot = self.rng.random_range(0..self.books.len());
            }
            self.deliver();
            let mut chance = arrivals as f64 / 1_000_000.0;
            while self.rng.random::<f64>() < chance {
                chance -= 1.0;
                let router = match load {
                    Load::One => 0,
                    Load::All => self.rng.random_range(0..self.books.len()),
                    Load::Moving => self.hot,
                };
                self.arrive(router);
            }
            self.now += 1;
        }
    }

    /// A request arrives at a router, which sends it, waits for a grant, or places it elsewhere.
    fn arrive(&mut self, router: usize) {
        let at = Millis(self.now);
        let routers = self.books.len();
        let book = &mut self.books[router];
        book.refill(at, routers);
        if book.has_room(at, &upstream(), Incarnation(1), 0) {
            book.take(at, &upstream(), Incarnation(1), 0);
            self.sent.push(self.now);
            self.senders.push(router);
        } else if book.want(at, &upstream(), Incarnation(1), 0) {
            self.waiting[router] += 1;
            if let Some(request) = book.ask(at, &upstream()) {
                let to = self.owners[router];
                self.asked += 1;
                if self.is_delivered(router, to) {
                    self.requests.push_back(Envelope {
                        due: self.now + LATENCY,
                        to,
                        message: (router, request),
                    });
                }
            }
        }
    }

    /// Delivers the messages that have arrived, and sends the requests that waited for a grant. A
    /// router that does not take itself for the owner gives no answer.
    fn deliver(&mut self) {
        let now = self.now;
        while let Some(envelope) = self.requests.pop_front_if(|envelope| envelope.due <= now) {
            let (router, request) = envelope.message;
            if self.owners[envelope.to] != envelope.to {
                continue;
            }
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, router as u16));
            let reach = Reach {
                live: self.live[envelope.to],
                known: self.books.len(),
            };
            let grant = self.books[envelope.to].answer(Millis(now), address, &request, reach);
            if self.is_delivered(envelope.to, router) {
                self.grants.push_back(Envelope {
                    due: now + LATENCY,
                    to: router,
                    message: grant,
                });
            }
        }
        while let Some(envelope) = self.grants.pop_front_if(|envelope| envelope.due <= now) {
            let router = envelope.to;
            let book = &mut self.books[router];
            book.observe_grant(Millis(now), &envelope.message);
            for _ in 0..std::mem::take(&mut self.waiting[router]) {
                if book.has_room(Millis(now), &upstream(), Incarnation(1), 0) {
                    book.take(Millis(now), &upstream(), Incarnation(1), 0);
                    self.sent.push(now);
                    self.senders.push(router);
                }
            }
        }
    }

    fn is_delivered(&mut self, from: usize, to: usize) -> bool {
        let is_cut = from != to && (self.cut[from] || self.cut[to]);
        !is_cut && self.rng.random::<f64>() >= self.loss
    }

    /// Returns the most requests sent in any window that begins at this time or later.
    pub fn most_in_window(&self, from: u64) -> usize {
        most_in_window(&self.sent, from)
    }
}

/// Returns the most of these times in any window that begins at `from` or later.
pub fn most_in_window(times: &[u64], from: u64) -> usize {
    let times: Vec<u64> = times.iter().copied().filter(|at| *at >= from).collect();
    let mut first = 0;
    let counts = times.iter().enumerate().map(|(last, at)| {
        while times[first] + WINDOW <= *at {
            first += 1;
        }
        last + 1 - first
    });
    counts.max().unwrap_or(0)
}

/// Returns the notice of a change of the rate, in thousandths.
pub fn notice(version: u64, rate: Option<u64>) -> RateNotice {
    RateNotice {
        upstream: upstream(),
        incarnation: Incarnation(1),
        version,
        rate: rate.map(RequestRate),
    }
}

pub fn upstream() -> Upstream {
    Upstream::from("u")
}
