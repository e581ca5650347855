//! Sends announcements and crash evidence to the other routers, and probes silent upstreams.
//!
//! A change of availability is sent at once, and every router that did not know it passes it on.
//! Load is sent once a period, and only by the router that got the announcement from the upstream.
//! For anti-entropy, each router periodically fetches all announcements that one other router
//! knows.

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

/// Time between two rounds of messages to the other routers.
const ROUND_PERIOD: Duration = Duration::from_millis(1_000);
/// Time between two checks for upstreams that have to be probed.
const PROBE_PERIOD: Duration = Duration::from_millis(250);
/// Rounds between two fetches of all announcements of another router.
const FETCH_ROUNDS: u64 = 10;
/// First rounds, each of which fetches, so that a new router learns of all upstreams soon.
const INITIAL_FETCH_ROUNDS: u64 = 3;
/// Most crash evidence that is queued for one router; more is dropped.
const MAX_QUEUED_CRASHES: usize = 1_024;

/// A handle on the exchange with the other routers. Cheap to clone.
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
            rounds: 0,
            broken_attempts: 0,
            upstreams: upstreams.clone(),
            metrics,
        };
        let (actor, _) = Actor::spawn(None, SpreadActor, state).await?;
        ticks::forward(timer, ROUND_PERIOD, actor.clone(), || Message::Tick);
        ticks::forward(timer, PROBE_PERIOD, actor.clone(), || Message::Probe);
        tokio::spawn(probe_broken(upstreams.clone(), actor.clone()));
        Ok(Self { actor, upstreams })
    }

    /// Applies an announcement that an upstream sent to this router.
    pub fn observe_direct(&self, announcement: Announcement) -> AnnouncementChange {
        let upstream = announcement.upstream.clone();
        let change = self.upstreams.observe(announcement);
        if change != AnnouncementChange::Stale {
            self.enqueue(upstream, change == AnnouncementChange::Availability);
        }
        change
    }

    /// Applies an announcement that another router sent.
    pub fn observe_relayed(&self, announcement: Announcement) -> AnnouncementChange {
        let upstream = announcement.upstream.clone();
        let change = self.upstreams.observe(announcement);
        if change == AnnouncementChange::Availability {
            self.enqueue(upstream, true);
        }
        change
    }

    /// Applies crash evidence that another router sent.
    pub fn observe_crash(&self, crash: Crash) {
        if self.upstreams.observe_crash(&crash) {
            self.upstreams.metrics().crashes.add("heard");
            // Without the actor the process is ending.
            let _ = self.actor.cast(Message::Crashed(crash));
        }
    }

    /// Returns all known announcements, for another router that fetches them.
    pub fn announcements(&self) -> Vec<Announcement> {
        self.upstreams.announcements()
    }

    /// Stops the actor.
    pub fn stop(&self) {
        self.actor.stop(None);
    }

    /// Queues an announcement for the other routers. An urgent one is sent at once.
    fn enqueue(&self, upstream: Upstream, urgent: bool) {
        // See `observe_crash`.
        let _ = self.actor.cast(Message::Announced { upstream, urgent });
    }
}

/// Starts the due probes as soon as an attempt breaks off, as its upstream may have crashed.
async fn probe_broken(upstreams: Upstreams, actor: ActorRef<Message>) {
    loop {
        upstreams.attempt_broken().await;
        if actor.cast(Message::Probe).is_err() {
            return;
        }
    }
}

enum Message {
    /// Queue the newest announcement of an upstream.
    Announced { upstream: Upstream, urgent: bool },
    /// Queue crash evidence.
    Crashed(Crash),
    /// Start a round of messages to the other routers.
    Tick,
    /// Start the due probes.
    Probe,
    /// Queue the crash evidence that this router has found.
    Collect,
    /// A message to a peer was answered, or failed and its contents have to be sent again.
    Sent { peer: usize, failed: Option<Outbox> },
}

/// Announcements and crash evidence that have yet to be sent to a peer.
#[derive(Default)]
struct Outbox {
    upstreams: Set<Upstream>,
    crashes: Vec<Crash>,
}

struct Peer {
    client: RouterClient,
    outbox: Outbox,
    /// Whether a message to it is in flight; there is one at a time.
    in_flight: bool,
}

impl Peer {
    fn new(address: SocketAddr) -> Self {
        Self {
            client: RouterClient::new(address),
            outbox: Outbox::default(),
            in_flight: false,
        }
    }
}

struct State {
    host: Host,
    peers: Vec<Peer>,
    /// Rounds so far.
    rounds: u64,
    /// Number of broken attempts when crash evidence was last collected.
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
            Message::Announced { upstream, urgent } => {
                state.enqueue_announcement(&upstream);
                if urgent {
                    state.flush(&myself);
                }
            }
            Message::Crashed(crash) => {
                state.enqueue_crash(&crash);
                state.flush(&myself);
            }
            Message::Tick => state.tick(&myself),
            Message::Probe => state.probe(&myself),
            Message::Collect => state.collect(&myself),
            Message::Sent { peer, failed } => {
                let delivered = failed.is_none();
                state.sent(peer, failed);
                if delivered && state.has_evidence(peer) {
                    state.flush(&myself);
                }
                state.update_shared();
            }
        }
        Ok(())
    }
}

impl State {
    fn enqueue_announcement(&mut self, upstream: &Upstream) {
        for peer in &mut self.peers {
            peer.outbox.upstreams.insert(upstream.clone());
        }
    }

    fn enqueue_crash(&mut self, crash: &Crash) {
        for peer in &mut self.peers {
            if peer.outbox.crashes.len() < MAX_QUEUED_CRASHES {
                peer.outbox.crashes.push(crash.clone());
            }
        }
    }

    fn probe(&mut self, myself: &ActorRef<Message>) {
        for probe in self.upstreams.tick() {
            let upstreams = self.upstreams.clone();
            let actor = myself.clone();
            tokio::spawn(async move {
                upstreams.send_probe(&probe).await;
                // Without the actor the process is ending.
                let _ = actor.cast(Message::Collect);
            });
        }
        self.collect(myself);
    }

    /// Sends the crash evidence that probes have found since the last call.
    fn collect(&mut self, myself: &ActorRef<Message>) {
        self.broken_attempts = self.upstreams.broken_attempts();
        let found = self.upstreams.drain_crashes();
        self.metrics.crashes.add_many("found", found.len() as u64);
        for crash in &found {
            self.enqueue_crash(crash);
        }
        if !found.is_empty() {
            self.flush(myself);
        }
        self.update_shared();
    }

    /// If every peer has all crash evidence, records it, so that suspected requests can be retried.
    fn update_shared(&self) {
        let is_up_to_date = |peer: &Peer| !peer.in_flight && peer.outbox.crashes.is_empty();
        if self.peers.iter().all(is_up_to_date) {
            self.upstreams.set_shared(self.broken_attempts);
        }
    }

    fn tick(&mut self, myself: &ActorRef<Message>) {
        self.rounds += 1;
        self.flush(myself);
        if self.rounds <= INITIAL_FETCH_ROUNDS || self.rounds.is_multiple_of(FETCH_ROUNDS) {
            self.fetch();
        }
    }

    /// Fetches all announcements that a random other router knows.
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
            for announcement in reply.unwrap_or_default() {
                upstreams.observe(announcement);
            }
        });
    }

    /// Sends the queued contents to every peer that has no message in flight.
    fn flush(&mut self, myself: &ActorRef<Message>) {
        if self.peers.iter().all(Peer::is_empty) {
            return;
        }
        let all = self.upstreams.announcements();
        for (index, peer) in self.peers.iter_mut().enumerate() {
            if peer.in_flight || peer.is_empty() {
                continue;
            }
            peer.in_flight = true;
            let outbox = std::mem::take(&mut peer.outbox);
            let is_queued =
                |announcement: &&Announcement| outbox.upstreams.contains(&announcement.upstream);
            let announcements: Vec<Announcement> = all.iter().filter(is_queued).cloned().collect();
            let delivery = Delivery {
                peer: index,
                client: peer.client.clone(),
                host: self.host.clone(),
                upstreams: self.upstreams.clone(),
                metrics: Arc::clone(&self.metrics),
            };
            tokio::spawn(delivery.run(announcements, outbox, myself.clone()));
        }
    }

    /// Returns whether crash evidence was queued for a peer while a message to it was in flight.
    fn has_evidence(&self, index: usize) -> bool {
        let peer = self.peers.get(index);
        peer.is_some_and(|peer| !peer.outbox.crashes.is_empty())
    }

    /// Ends a message to a peer. Contents that were not delivered are queued again.
    fn sent(&mut self, index: usize, failed: Option<Outbox>) {
        let Some(peer) = self.peers.get_mut(index) else {
            return;
        };
        peer.in_flight = false;
        if let Some(outbox) = failed {
            peer.outbox.upstreams.extend(outbox.upstreams);
            let capacity = MAX_QUEUED_CRASHES.saturating_sub(peer.outbox.crashes.len());
            let crashes = outbox.crashes.into_iter().take(capacity);
            peer.outbox.crashes.extend(crashes);
        }
    }
}

impl Peer {
    fn is_empty(&self) -> bool {
        self.outbox.upstreams.is_empty() && self.outbox.crashes.is_empty()
    }
}

/// One message to a peer.
struct Delivery {
    peer: usize,
    client: RouterClient,
    host: Host,
    upstreams: Upstreams,
    metrics: Arc<Metrics>,
}

impl Delivery {
    /// Sends the message, and applies the newer announcements that the peer answers with.
    async fn run(self, announcements: Vec<Announcement>, outbox: Outbox, actor: ActorRef<Message>) {
        let crashes = outbox.crashes.clone();
        let reply = self.client.spread(&self.host, announcements, crashes).await;
        let failed = match reply {
            Ok(newer) => {
                self.metrics.spreads.add("sent");
                for announcement in newer {
                    self.upstreams.observe(announcement);
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
