//! Spreads announcements and crash evidence to the other routers, and asks silent upstreams.
//!
//! A change of standing goes out at once and is passed on by each router that it was news to. Load
//! goes out once a period, and only from the router that the upstream told. Regularly each router
//! fetches all that one other router knows, which repairs what was lost.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chestnutnotch_core::id::Host;
use chestnutnotch_core::id::Upstream;
use chestnutnotch_core::map::Set;
use chestnutnotch_core::upstream::Announcement;
use chestnutnotch_core::upstream::Crash;
use ractor::Actor;
use ractor::ActorProcessingErr;
use ractor::ActorRef;
use ractor::SpawnErr;
use rand::RngExt;

use crate::controllers::ticks;
use crate::controllers::upstreams::AnnouncementChange;
use crate::controllers::upstreams::Upstreams;
use crate::edges::rpc::RouterClient;
use crate::metrics::Metrics;
use crate::timer::Timer;

const PERIOD: Duration = Duration::from_millis(1_000);
const PROBE_PERIOD: Duration = Duration::from_millis(250);
const FETCH_PERIODS: u64 = 10;
const FIRST_FETCHES: u64 = 3;
const CRASHES: usize = 1_024;

/// A handle on the spreading. Cheap to clone.
#[derive(Clone, Debug)]
pub struct Spread {
    actor: ActorRef<Message>,
    upstreams: Upstreams,
}

impl Spread {
    /// Starts the actor.
    ///
    /// # Errors
    ///
    /// If the actor does not start.
    pub async fn start(
        host: &Host,
        peers: &[SocketAddr],
        upstreams: Upstreams,
        timer: &Timer,
        metrics: Arc<Metrics>,
    ) -> Result<Self, SpawnErr> {
        let peers = peers.iter().map(|address| Peer::new(*address)).collect();
        let state = State {
            host: host.clone(),
            peers,
            periods: 0,
            broken_attempts: 0,
            upstreams: upstreams.clone(),
            metrics,
        };
        let (actor, _) = Actor::spawn(None, SpreadActor, state).await?;
        ticks::forward(timer, PERIOD, actor.clone(), || Message::Tick);
        ticks::forward(timer, PROBE_PERIOD, actor.clone(), || Message::Probe);
        tokio::spawn(probe_broken(upstreams.clone(), actor.clone()));
        Ok(Self { actor, upstreams })
    }

    /// Takes in what an upstream said to this router itself.
    pub fn observe_direct(&self, said: Announcement) -> AnnouncementChange {
        let upstream = said.upstream.clone();
        let news = self.upstreams.observe(said);
        if news != AnnouncementChange::Stale {
            self.tell(upstream, news == AnnouncementChange::Availability);
        }
        news
    }

    /// Takes in what another router sent.
    pub fn observe_relayed(&self, said: Announcement) -> AnnouncementChange {
        let upstream = said.upstream.clone();
        let news = self.upstreams.observe(said);
        if news == AnnouncementChange::Availability {
            self.tell(upstream, true);
        }
        news
    }

    /// Takes in crash evidence that another router sent.
    pub fn observe_crash(&self, crash: Crash) {
        if self.upstreams.observe_crash(&crash) {
            self.upstreams.metrics().crashes.add("heard");
            // Without the actor the process is ending.
            let _ = self.actor.cast(Message::Crashed(crash));
        }
    }

    /// Announcements for another router that asked for all.
    pub fn announcements(&self) -> Vec<Announcement> {
        self.upstreams.announcements()
    }

    /// Stops spreading.
    pub fn stop(&self) {
        self.actor.stop(None);
    }

    fn tell(&self, upstream: Upstream, urgent: bool) {
        // See `crash`.
        let _ = self.actor.cast(Message::Heard { upstream, urgent });
    }
}

/// Has an upstream asked at once when an attempt at it broke off: it may have crashed.
async fn probe_broken(upstreams: Upstreams, actor: ActorRef<Message>) {
    loop {
        upstreams.attempt_broken().await;
        if actor.cast(Message::Probe).is_err() {
            return;
        }
    }
}

enum Message {
    Heard { upstream: Upstream, urgent: bool },
    Crashed(Crash),
    Tick,
    Probe,
    Collect,
    Sent { peer: usize, failed: Option<Outbox> },
}

/// What a peer has not been sent yet.
#[derive(Default)]
struct Outbox {
    upstreams: Set<Upstream>,
    crashes: Vec<Crash>,
}

struct Peer {
    client: RouterClient,
    outbox: Outbox,
    busy: bool,
}

impl Peer {
    fn new(address: SocketAddr) -> Self {
        Self {
            client: RouterClient::new(address),
            outbox: Outbox::default(),
            busy: false,
        }
    }
}

struct State {
    host: Host,
    peers: Vec<Peer>,
    periods: u64,
    /// Attempts that had broken off when evidence was collected last.
    broken_attempts: u64,
    upstreams: Upstreams,
    metrics: Arc<Metrics>,
}

struct SpreadActor;

impl Actor for SpreadActor {
    type Msg = Message;
    type State = State;
    type Arguments = State;

    async fn pre_start(
        &self,
        _myself: ActorRef<Message>,
        state: State,
    ) -> Result<State, ActorProcessingErr> {
        Ok(state)
    }

    async fn handle(
        &self,
        myself: ActorRef<Message>,
        message: Message,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            Message::Heard { upstream, urgent } => {
                state.heard(&upstream);
                if urgent {
                    state.flush(&myself);
                }
            }
            Message::Crashed(crash) => {
                state.crashed(&crash);
                state.flush(&myself);
            }
            Message::Tick => state.tick(&myself),
            Message::Probe => state.probe(&myself),
            Message::Collect => state.collect(&myself),
            Message::Sent { peer, failed } => {
                let again = failed.is_none();
                state.sent(peer, failed);
                if again && state.has_evidence(peer) {
                    state.flush(&myself);
                }
                state.note_told();
            }
        }
        Ok(())
    }
}

impl State {
    fn heard(&mut self, upstream: &Upstream) {
        for peer in &mut self.peers {
            peer.outbox.upstreams.insert(upstream.clone());
        }
    }

    fn crashed(&mut self, crash: &Crash) {
        for peer in &mut self.peers {
            if peer.outbox.crashes.len() < CRASHES {
                peer.outbox.crashes.push(crash.clone());
            }
        }
    }

    fn probe(&mut self, myself: &ActorRef<Message>) {
        for probe in self.upstreams.tick() {
            let upstreams = self.upstreams.clone();
            let actor = myself.clone();
            tokio::spawn(async move {
                upstreams.probe(&probe).await;
                // Without the actor the process is ending.
                let _ = actor.cast(Message::Collect);
            });
        }
        self.collect(myself);
    }

    /// Spreads the crash evidence that the answers of upstreams, or their silence, gave.
    fn collect(&mut self, myself: &ActorRef<Message>) {
        self.broken_attempts = self.upstreams.broken_attempts();
        let found = self.upstreams.drain_crashes();
        self.metrics.crashes.add_many("found", found.len() as u64);
        for crash in &found {
            self.crashed(crash);
        }
        if !found.is_empty() {
            self.flush(myself);
        }
        self.note_told();
    }

    /// Notes that no evidence is on its way any more, so that marked requests can be run once more.
    fn note_told(&self) {
        let is_told = |peer: &Peer| !peer.busy && peer.outbox.crashes.is_empty();
        if self.peers.iter().all(is_told) {
            self.upstreams.set_shared(self.broken_attempts);
        }
    }

    fn tick(&mut self, myself: &ActorRef<Message>) {
        self.periods += 1;
        self.flush(myself);
        if self.periods <= FIRST_FETCHES || self.periods.is_multiple_of(FETCH_PERIODS) {
            self.fetch();
        }
    }

    /// Fetches all that one other router knows.
    fn fetch(&self) {
        if self.peers.is_empty() {
            return;
        }
        let index = rand::rng().random_range(0..self.peers.len());
        let client = self.peers[index].client.clone();
        let upstreams = self.upstreams.clone();
        let metrics = Arc::clone(&self.metrics);
        let host = self.host.clone();
        tokio::spawn(async move {
            let reply = client.spread(&host, Vec::new(), Vec::new()).await;
            metrics
                .spreads
                .add(if reply.is_ok() { "fetched" } else { "failed" });
            for said in reply.unwrap_or_default() {
                upstreams.observe(said);
            }
        });
    }

    fn flush(&mut self, myself: &ActorRef<Message>) {
        if self.peers.iter().all(Peer::is_clear) {
            return;
        }
        let all = self.upstreams.announcements();
        for (index, peer) in self.peers.iter_mut().enumerate() {
            if peer.busy || peer.is_clear() {
                continue;
            }
            peer.busy = true;
            let outbox = std::mem::take(&mut peer.outbox);
            let wanted = |said: &&Announcement| outbox.upstreams.contains(&said.upstream);
            let chosen: Vec<Announcement> = all.iter().filter(wanted).cloned().collect();
            let send = Send {
                peer: index,
                client: peer.client.clone(),
                host: self.host.clone(),
                upstreams: self.upstreams.clone(),
                metrics: Arc::clone(&self.metrics),
            };
            tokio::spawn(send.run(chosen, outbox, myself.clone()));
        }
    }

    /// Whether evidence came up for a peer while it was being told other things.
    fn has_evidence(&self, index: usize) -> bool {
        let peer = self.peers.get(index);
        peer.is_some_and(|peer| !peer.outbox.crashes.is_empty())
    }

    fn sent(&mut self, index: usize, failed: Option<Outbox>) {
        let Some(peer) = self.peers.get_mut(index) else {
            return;
        };
        peer.busy = false;
        if let Some(outbox) = failed {
            peer.outbox.upstreams.extend(outbox.upstreams);
            let room = CRASHES.saturating_sub(peer.outbox.crashes.len());
            let crashes = outbox.crashes.into_iter().take(room);
            peer.outbox.crashes.extend(crashes);
        }
    }
}

impl Peer {
    fn is_clear(&self) -> bool {
        self.outbox.upstreams.is_empty() && self.outbox.crashes.is_empty()
    }
}

struct Send {
    peer: usize,
    client: RouterClient,
    host: Host,
    upstreams: Upstreams,
    metrics: Arc<Metrics>,
}

impl Send {
    async fn run(self, said: Vec<Announcement>, outbox: Outbox, actor: ActorRef<Message>) {
        let crashes = outbox.crashes.clone();
        let reply = self.client.spread(&self.host, said, crashes).await;
        let failed = match reply {
            Ok(newer) => {
                self.metrics.spreads.add("sent");
                for said in newer {
                    self.upstreams.observe(said);
                }
                None
            }
            Err(_) => {
                self.metrics.spreads.add("failed");
                Some(outbox)
            }
        };
        // Without the actor the process is ending.
        let _ = actor.cast(Message::Sent {
            peer: self.peer,
            failed,
        });
    }
}
