//! The nodes of the system as this one knows them: takes packets in, sends packets at each tick.
//!
//! The roster stands behind a short lock, not in an actor: requests ask it for counts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use chestnutnotch_core::id::DataCentre;
use chestnutnotch_core::map::Set;
use chestnutnotch_core::roster::Fact;
use chestnutnotch_core::roster::NodeFact;
use chestnutnotch_core::roster::Packet;
use chestnutnotch_core::roster::Role;
use chestnutnotch_core::roster::Roster;
use chestnutnotch_core::roster::RosterSettings;
use chestnutnotch_core::roster::Urgency;
use chestnutnotch_core::upstream::Announcement;
use chestnutnotch_core::upstream::Crash;
use chestnutnotch_core::upstream::Phase;
use tokio::sync::Notify;

use crate::controllers::upstreams::News;
use crate::controllers::upstreams::Upstreams;
use crate::edges::gossip::GossipError;
use crate::edges::gossip::GossipSocket;
use crate::timer::Timer;

/// Time between two rounds of packets: an urgent fact reaches a hundred nodes in about five.
const TICK: Duration = Duration::from_millis(150);

/// Pause after the socket failed, so that a lasting failure does not spin.
const SOCKET_PAUSE: Duration = Duration::from_millis(50);

/// A handle on the roster. Cheap to clone.
#[derive(Clone, Debug)]
pub struct Nodes {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    roster: Mutex<Roster>,
    live: Mutex<Set<SocketAddr>>,
    upstreams: Upstreams,
    gossip: GossipSocket,
    wake: Notify,
    changed: Notify,
    timer: Timer,
}

impl Nodes {
    /// Starts to exchange packets with the nodes at `seeds`, and with those that they name.
    pub fn start(
        own: NodeFact,
        seeds: Vec<SocketAddr>,
        gossip: GossipSocket,
        upstreams: Upstreams,
        timer: Timer,
    ) -> Self {
        let roster = Roster::new(own, seeds, RosterSettings::default(), rand::random());
        let nodes = Self {
            inner: Arc::new(Inner {
                roster: Mutex::new(roster),
                live: Mutex::default(),
                upstreams,
                gossip,
                wake: Notify::new(),
                changed: Notify::new(),
                timer,
            }),
        };
        tokio::spawn(nodes.clone().listen());
        tokio::spawn(nodes.clone().speak());
        nodes
    }

    /// Replaces the seeds.
    pub fn reseed(&self, seeds: Vec<SocketAddr>) {
        self.roster().set_seeds(seeds);
    }

    /// Data centre of this node.
    pub fn centre(&self) -> DataCentre {
        self.roster().own().centre.clone()
    }

    /// Number of live nodes with a role, this one included.
    pub fn count(&self, role: Role) -> usize {
        self.roster().count_live(self.now(), role)
    }

    /// Where the nodes with a role answer calls, live ones first.
    pub fn rpc(&self, role: Role) -> Vec<SocketAddr> {
        self.roster().rpc_addresses(self.now(), role)
    }

    /// The other nodes that were heard of lately.
    pub fn live(&self) -> Vec<NodeFact> {
        self.roster().live(self.now()).cloned().collect()
    }

    /// A live node with newer routes than this one.
    pub fn ahead(&self) -> Option<NodeFact> {
        self.roster().newest_plan_holder(self.now())
    }

    /// Waits until another node has become known, left, or has newer routes.
    pub async fn changed(&self) {
        self.inner.changed.notified().await;
    }

    /// Says which routes this node has.
    pub fn hold(&self, plan: u64) {
        self.roster().update_own(|own| own.plan = plan);
        self.inner.wake.notify_one();
    }

    /// Says that this node is about to stop.
    pub fn leave(&self) {
        self.roster().update_own(|own| own.leaving = true);
        self.inner.wake.notify_one();
    }

    /// Takes in what an upstream said to this node.
    pub fn announce(&self, said: Announcement) -> News {
        let news = self.observe(said);
        if news == News::Standing {
            self.inner.wake.notify_one();
        }
        news
    }

    /// Tells the others which requests broke off at upstreams.
    pub fn warn(&self, crashes: Vec<Crash>) {
        if crashes.is_empty() {
            return;
        }
        let mut roster = self.roster();
        for crash in crashes {
            let fact = Fact::Crash {
                body: crash.body,
                upstream: crash.upstream,
                incarnation: crash.incarnation,
            };
            roster.enqueue(fact, Urgency::Urgent);
        }
        drop(roster);
        self.inner.wake.notify_one();
    }

    fn observe(&self, said: Announcement) -> News {
        let news = self.inner.upstreams.observe(said.clone());
        match news {
            News::Old => {}
            News::Load => {
                let fact = Fact::Upstream(Box::new(said));
                self.roster().enqueue(fact, Urgency::Refresh);
            }
            News::Standing => {
                log_standing(&said);
                let fact = Fact::Upstream(Box::new(said));
                self.roster().enqueue(fact, Urgency::Urgent);
            }
        }
        news
    }

    async fn listen(self) {
        loop {
            match self.inner.gossip.receive().await {
                Ok((from, packet)) => self.take(from, packet).await,
                Err(GossipError::Malformed(error)) => {
                    log::warn!(error:% = error; "unreadable packet ignored");
                }
                Err(GossipError::Socket(error)) => {
                    log::warn!(error:% = error; "packets can't be received");
                    tokio::time::sleep(SOCKET_PAUSE).await;
                }
            }
        }
    }

    async fn take(&self, from: SocketAddr, packet: Packet) {
        let now = self.now();
        self.roster().record_packet(now);
        let mut changed = false;
        for fact in packet.facts {
            match fact {
                Fact::Node(node) => changed |= self.roster().merge(now, node),
                Fact::Upstream(said) => {
                    self.observe(*said);
                }
                Fact::Crash {
                    body,
                    upstream,
                    incarnation,
                } => self.hear_crash(Crash {
                    body,
                    upstream,
                    incarnation,
                }),
            }
        }
        if changed {
            self.inner.changed.notify_waiters();
        }
        if packet.asks {
            let cold = self.cold();
            let packets = self.roster().full_state(from, &cold);
            self.send(packets).await;
        }
    }

    fn hear_crash(&self, crash: Crash) {
        if !self.inner.upstreams.crash(&crash) {
            return;
        }
        let fact = Fact::Crash {
            body: crash.body,
            upstream: crash.upstream,
            incarnation: crash.incarnation,
        };
        self.roster().enqueue(fact, Urgency::Urgent);
    }

    async fn speak(self) {
        let mut ticks = self.inner.timer.every(TICK);
        loop {
            tokio::select! {
                tick = ticks.recv() => if tick.is_none() { return },
                () = self.inner.wake.notified() => {}
            }
            let cold = self.cold();
            let packets = self.roster().tick(self.now(), &cold);
            self.send(packets).await;
            self.compare();
        }
    }

    async fn send(&self, packets: Vec<(SocketAddr, Packet)>) {
        for (to, packet) in packets {
            if let Err(error) = self.inner.gossip.send(to, &packet).await {
                // Packets may be lost anyway; the next round makes up for it.
                log::debug!(to:% = to, error:% = error; "packet not sent");
            }
        }
    }

    /// What is known of upstreams, for the slow round.
    fn cold(&self) -> Vec<Fact> {
        let known = self.inner.upstreams.announcements().into_iter();
        known.map(|said| Fact::Upstream(Box::new(said))).collect()
    }

    /// Logs which nodes joined and which were lost.
    fn compare(&self) {
        let live = self.live();
        let now: Set<SocketAddr> = live.iter().map(|fact| fact.address).collect();
        let mut before = self
            .inner
            .live
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        for fact in live.iter().filter(|fact| !before.contains(&fact.address)) {
            log::info!(node:% = fact.host, role:? = fact.role, address:% = fact.address; "node joined");
        }
        for address in before.iter().filter(|address| !now.contains(address)) {
            log::info!(address:% = address; "node lost");
        }
        *before = now;
    }

    fn now(&self) -> chestnutnotch_core::unit::Millis {
        self.inner.timer.now()
    }

    fn roster(&self) -> MutexGuard<'_, Roster> {
        self.inner
            .roster
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn log_standing(said: &Announcement) {
    let phase = match said.phase {
        Phase::Ready => "ready",
        Phase::Leaving => "leaving",
    };
    log::info!(
        upstream:% = said.upstream,
        start = said.incarnation.0,
        seq = said.seq,
        address:% = said.address;
        "upstream {phase}"
    );
}
