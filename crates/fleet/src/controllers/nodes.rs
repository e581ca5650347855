//! Gossip membership of this node: applies packets of other nodes and sends packets at each tick.
//!
//! A briefly held mutex guards the roster instead of an actor, as requests read counts from it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use chestnutnotch_core::id::DataCentre;
use chestnutnotch_core::id::Service;
use chestnutnotch_core::id::Upstream;
use chestnutnotch_core::map::Set;
use chestnutnotch_core::roster::Fact;
use chestnutnotch_core::roster::NodeFact;
use chestnutnotch_core::roster::Packet;
use chestnutnotch_core::roster::Role;
use chestnutnotch_core::roster::Roster;
use chestnutnotch_core::roster::RosterSettings;
use chestnutnotch_core::roster::Urgency;
use chestnutnotch_core::unit::Incarnation;
use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::unit::RequestRate;
use chestnutnotch_core::upstream::Announcement;
use chestnutnotch_core::upstream::Attribution;
use chestnutnotch_core::upstream::Crash;
use chestnutnotch_core::upstream::LeaveNotice;
use chestnutnotch_core::upstream::Phase;
use chestnutnotch_core::upstream::Pick;
use chestnutnotch_core::upstream::ReleaseNotice;
use chestnutnotch_core::upstream::announce::MAX_SEQUENCE;
use chestnutnotch_core::upstream::leave::MAX_LEAVES;
use chestnutnotch_core::upstream::rate::Reach;
use chestnutnotch_core::upstream::rate::ShareRequest;
use chestnutnotch_core::upstream::release::MAX_NOTICES;
use tokio::sync::Notify;
use tokio::time::timeout_at;

use crate::controllers::upstreams::AnnouncementChange;
use crate::controllers::upstreams::Upstreams;
use crate::edges::gossip::GossipError;
use crate::edges::gossip::GossipSocket;
use crate::timer::Timer;

mod evacuations;
mod origins;

pub use origins::FoundOrigin;
use origins::Origins;

/// Time between two gossip rounds. An urgent fact reaches a hundred nodes in about five rounds.
const ROUND_PERIOD: Duration = Duration::from_millis(150);

/// Longest wait for a share of an upstream's rate: many round trips within a region, and a small
/// part of the time that a caller has.
const SHARE_TIMEOUT: Duration = Duration::from_millis(50);

/// Time in which one leave that answers of an upstream state stands for all.
const RESTATE_PERIOD: Millis = Millis(1_000);

/// Time in which live nodes confirm news that this node delivers. Users state two seconds and more
/// for leaves and versions.
const UNCONFIRMED_AGE: Millis = Millis(1_000);

/// Most lines about unconfirmed news at a time.
const MAX_LOGGED_NEWS: usize = 4;

/// Pause after a socket error, so that a lasting failure does not cause a busy loop.
const SOCKET_BACKOFF: Duration = Duration::from_millis(50);

/// Where this node heard something about an upstream.
#[derive(Clone, Copy, Debug)]
enum Source {
    /// In a call or an answer of the upstream itself.
    Upstream,
    /// From another node.
    Gossip,
}

impl Source {
    /// Returns the word for logs.
    fn name(self) -> &'static str {
        match self {
            Self::Upstream => "upstream",
            Self::Gossip => "gossip",
        }
    }
}

/// A handle on the gossip membership. Cheap to clone; clones share the roster.
#[derive(Clone, Debug)]
pub struct Nodes {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    roster: Mutex<Roster>,
    /// Nodes that were live in the last round, to log changes.
    live: Mutex<Set<SocketAddr>>,
    /// When unconfirmed news were logged last.
    logged: Mutex<Millis>,
    upstreams: Upstreams,
    gossip: GossipSocket,
    /// Starts a round before the next tick.
    wake: Notify,
    /// Notifies those who wait for a change of the membership.
    changed: Notify,
    /// Notifies those who wait for a share of an upstream's rate.
    granted: Notify,
    /// Beginnings of streams that this node keeps.
    origins: Origins,
    timer: Timer,
}

impl Nodes {
    /// Starts to gossip with the nodes at `seeds` and with all nodes learned from them.
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
                logged: Mutex::default(),
                upstreams,
                gossip,
                wake: Notify::new(),
                changed: Notify::new(),
                granted: Notify::new(),
                origins: Origins::default(),
                timer,
            }),
        };
        tokio::spawn(nodes.clone().run_receiver());
        tokio::spawn(nodes.clone().run_rounds());
        nodes
    }

    /// Replaces the seed addresses.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.roster().set_seeds(seeds);
    }

    /// Returns the data centre of this node.
    pub fn centre(&self) -> DataCentre {
        self.roster().own().centre.clone()
    }

    /// Returns the number of live nodes with a role, this one included.
    pub fn count(&self, role: Role) -> usize {
        self.roster().count_live(self.now(), role)
    }

    /// Returns how many of the routers this router can reach.
    pub fn reach(&self) -> Reach {
        self.roster().reach(self.now())
    }

    /// Returns the RPC addresses of the nodes with a role, live ones first.
    pub fn rpc_addresses(&self, role: Role) -> Vec<SocketAddr> {
        self.roster().rpc_addresses(self.now(), role)
    }

    /// Returns all known nodes with a role, this one included.
    pub fn with_role(&self, role: Role) -> Vec<NodeFact> {
        self.roster().with_role(role).cloned().collect()
    }

    /// Returns the other live nodes: heard of within the failure timeout and not leaving.
    pub fn live(&self) -> Vec<NodeFact> {
        self.roster().live(self.now()).cloned().collect()
    }

    /// See [`Roster::newest_plan_holder`].
    pub fn newest_plan_holder(
        &self,
        role: Option<Role>,
        failed: &[SocketAddr],
    ) -> Option<NodeFact> {
        self.roster().newest_plan_holder(self.now(), role, failed)
    }

    /// Waits until a fact about another node changes: it joins, leaves or gets newer routes.
    pub async fn changed(&self) {
        self.inner.changed.notified().await;
    }

    /// Sets the services that the routes in force name.
    pub fn set_services(&self, services: impl IntoIterator<Item = Service>) {
        self.inner.upstreams.set_services(services);
    }

    /// Announces the version of the routes that this node has.
    pub fn set_plan_version(&self, plan: u64) {
        self.roster().update_own(|own| own.plan = plan);
        self.inner.wake.notify_one();
    }

    /// Announces that this node is about to stop.
    pub fn leave(&self) {
        self.roster().update_own(|own| own.leaving = true);
        self.inner.wake.notify_one();
    }

    /// Applies an announcement that an upstream sent to this node, and gossips it if it is new. This
    /// node answers for a leave: it delivers it to all others. So does each node that the upstream
    /// tells, as one of them may be cut off.
    pub fn announce(&self, announcement: Announcement) -> AnnouncementChange {
        let upstream = announcement.upstream.clone();
        let phase = announcement.phase;
        let starts = Attribution::stated(announcement.incarnation);
        let change = self.observe(announcement, Source::Upstream);
        if phase == Phase::Leaving {
            self.deliver_leave(&upstream, starts, "heartbeat");
        }
        if change == AnnouncementChange::Availability {
            self.inner.wake.notify_one();
        }
        change
    }

    /// Applies the software version that an upstream stated to this node, and gossips it if it is new.
    pub fn announce_release(&self, notice: ReleaseNotice) {
        if self.observe_releases(&[notice]) {
            self.inner.wake.notify_one();
        }
    }

    /// Applies software versions of upstreams, and queues the new ones for gossip. Returns whether
    /// there were any.
    fn observe_releases(&self, notices: &[ReleaseNotice]) -> bool {
        let upstreams = &self.inner.upstreams;
        let is_new = |notice: &&ReleaseNotice| upstreams.observe_release(notice);
        let new: Vec<&ReleaseNotice> = notices.iter().filter(is_new).collect();
        for notice in &new {
            let fact = Fact::Releases(vec![(*notice).clone()]);
            self.roster().enqueue(fact, Urgency::Urgent);
        }
        !new.is_empty()
    }

    /// Announces that an upstream leaves, as it stated in a call: the start `stated` and all before
    /// it, or all starts until now if it stated none.
    pub fn announce_leave(&self, upstream: &Upstream, stated: Option<Incarnation>) {
        let known = self.inner.upstreams.incarnation(upstream);
        let starts = match stated {
            Some(start) => Attribution::stated(start),
            None => Attribution::heard_at(self.inner.timer.unix(), known),
        };
        self.apply_leave(upstream, starts);
        self.deliver_leave(upstream, starts, "call");
    }

    /// Delivers a leave to all other nodes, unless this node does so already. `statement` is what the
    /// upstream stated it in, for the log.
    fn deliver_leave(&self, upstream: &Upstream, starts: Attribution, statement: &'static str) {
        let notice = LeaveNotice {
            upstream: upstream.clone(),
            starts,
            age: Millis::ZERO,
        };
        self.observe_leaves(&[notice], Source::Upstream);
        let upstreams = &self.inner.upstreams;
        // With the starts of earlier leaves, so that an old statement does not replace a newer one.
        let Some(notice) = upstreams.leave_notice(upstream) else {
            return;
        };
        let starts = notice.starts;
        if self.roster().announce(Fact::Leaves(vec![notice])) {
            let known = upstreams.incarnation(upstream);
            log::info!(
                upstream:% = upstream, start = starts.known.0, latest = starts.latest.0,
                known:? = known.map(|start| start.0), statement;
                "leave acknowledged"
            );
            self.inner.wake.notify_one();
        }
    }

    /// Announces that the upstream of an attempt leaves, as it stated in its answer. An upstream that
    /// leaves states it in each of its answers, so that most of them are passed over.
    pub fn announce_leave_by_answer(&self, pick: &Pick) {
        let age = self.inner.upstreams.leave_age(pick);
        if age.is_some_and(|age| age < RESTATE_PERIOD) {
            return;
        }
        let starts = self.inner.upstreams.attribute_answer(pick);
        self.apply_leave(&pick.upstream, starts);
    }

    /// Announces that these starts of an upstream have left.
    fn apply_leave(&self, upstream: &Upstream, starts: Attribution) {
        let known = self.inner.upstreams.announcement(upstream);
        // Nodes of earlier versions know leaves by the announcement alone.
        if let Some(known) = known.filter(|known| known.incarnation <= starts.known) {
            let leaving = Announcement {
                phase: Phase::Leaving,
                seq: known.seq.saturating_add(1).min(MAX_SEQUENCE),
                ..known
            };
            self.observe(leaving, Source::Upstream);
            self.inner.wake.notify_one();
        }
        let notice = LeaveNotice {
            upstream: upstream.clone(),
            starts,
            age: Millis::ZERO,
        };
        if self.observe_leaves(&[notice], Source::Upstream) {
            self.inner.wake.notify_one();
        }
    }

    /// Applies leaves of upstreams, and queues the new ones for gossip. Returns whether there were
    /// any.
    fn observe_leaves(&self, notices: &[LeaveNotice], source: Source) -> bool {
        let upstreams = &self.inner.upstreams;
        let is_new = |notice: &&LeaveNotice| upstreams.observe_leave(notice, source.name());
        let new: Vec<&LeaveNotice> = notices.iter().filter(is_new).collect();
        for notice in &new {
            let fact = Fact::Leaves(vec![(*notice).clone()]);
            self.roster().enqueue(fact, Urgency::Deadline);
        }
        !new.is_empty()
    }

    /// Announces the crash evidence that this node found since the last call: requests that broke off
    /// at upstreams, and parts of their prompts that may have crashed these or have proved sound. This
    /// node delivers it to all others.
    pub fn share_evidence(&self) {
        let (crashes, findings) = self.inner.upstreams.drain_evidence();
        if crashes.is_empty() && findings.is_empty() {
            return;
        }
        let counter = &self.inner.upstreams.metrics().crashes;
        counter.add_many("found", crashes.len() as u64);
        let mut roster = self.roster();
        for crash in crashes {
            log_evidence(&crash, "found");
            let fact = Fact::Crash {
                body: crash.body,
                upstream: crash.upstream,
                incarnation: crash.incarnation,
            };
            roster.announce(fact);
        }
        for finding in findings {
            roster.announce(Fact::from(finding));
        }
        drop(roster);
        self.inner.wake.notify_one();
    }

    /// Applies the rate that the answer to an attempt stated, none if it stated none, and gossips it
    /// if it is news.
    pub fn observe_rate(&self, pick: &Pick, rate: Option<RequestRate>) {
        if let Some(notice) = self.inner.upstreams.observe_rate(pick, rate) {
            self.roster().enqueue(Fact::Rate(notice), Urgency::Urgent);
            self.inner.wake.notify_one();
        }
    }

    /// Asks the owner of an upstream's rate for a share, if it is due, and waits for the answer or
    /// [`SHARE_TIMEOUT`]. Returns the owner's gossip address.
    pub async fn acquire_share(&self, upstream: &Upstream) -> SocketAddr {
        let upstreams = &self.inner.upstreams;
        let owner = self.roster().rate_owner(self.now(), upstream);
        let granted = self.inner.granted.notified();
        tokio::pin!(granted);
        // Registered before the request, so that its answer is not missed.
        granted.as_mut().enable();
        if let Some(request) = upstreams.ask_share(upstream) {
            if owner == self.own_address() {
                upstreams.observe_grant(&upstreams.answer_share(owner, &request, self.reach()));
                self.inner.granted.notify_waiters();
                return owner;
            }
            let fact = Fact::ShareRequest(Box::new(request));
            self.send_direct(owner, fact).await;
        }
        let deadline = tokio::time::Instant::now() + SHARE_TIMEOUT;
        while upstreams.is_share_pending(upstream) {
            if timeout_at(deadline, granted.as_mut()).await.is_err() {
                upstreams.metrics().rates.add("owner_silent");
                log::info!(upstream:% = upstream, owner:% = owner; "no answer of the owner of a rate");
                break;
            }
            granted.set(self.inner.granted.notified());
            granted.as_mut().enable();
        }
        owner
    }

    /// Answers a router that asks for a share of a rate, if this node owns it. A router that gets no
    /// answer keeps to a small part of the rate.
    async fn answer_share(&self, from: SocketAddr, request: &ShareRequest) {
        let owner = self
            .roster()
            .rate_owner(self.now(), &request.notice.upstream);
        if owner != self.own_address() {
            return;
        }
        let reach = self.reach();
        let grant = self.inner.upstreams.answer_share(from, request, reach);
        self.send_direct(from, Fact::ShareGrant(Box::new(grant)))
            .await;
    }

    /// Sends a fact to one node alone.
    async fn send_direct(&self, to: SocketAddr, fact: Fact) {
        let packet = Packet {
            asks: false,
            facts: vec![fact],
        };
        self.send(vec![(to, packet)]).await;
    }

    fn own_address(&self) -> SocketAddr {
        self.roster().own().address
    }

    /// Applies an announcement, and queues it for gossip if it is new.
    fn observe(&self, announcement: Announcement, source: Source) -> AnnouncementChange {
        let announcement = self.inner.upstreams.apply_leave(announcement);
        let change = self.inner.upstreams.observe(announcement.clone());
        match change {
            AnnouncementChange::Stale => {}
            AnnouncementChange::Load => {
                let fact = Fact::Upstream(Box::new(announcement));
                self.roster().enqueue(fact, Urgency::Refresh);
            }
            AnnouncementChange::Availability => {
                log_phase(&announcement, source);
                let urgency = match announcement.phase {
                    Phase::Ready => Urgency::Urgent,
                    Phase::Leaving => Urgency::Deadline,
                };
                let fact = Fact::Upstream(Box::new(announcement));
                self.roster().enqueue(fact, urgency);
            }
        }
        change
    }

    /// Applies the packets of other nodes.
    async fn run_receiver(self) {
        loop {
            match self.inner.gossip.receive().await {
                Ok((from, packet)) => self.handle_packet(from, packet).await,
                Err(GossipError::Malformed(error)) => {
                    log::warn!(error:% = error; "malformed gossip packet ignored");
                }
                Err(GossipError::Socket(error)) => {
                    log::warn!(error:% = error; "gossip socket can't receive");
                    tokio::time::sleep(SOCKET_BACKOFF).await;
                }
            }
        }
    }

    /// Applies the facts of a packet, and answers with all known facts if the sender asks.
    async fn handle_packet(&self, from: SocketAddr, packet: Packet) {
        let now = self.now();
        self.roster().record_packet(now);
        let mut changed = false;
        for fact in packet.facts {
            match fact {
                Fact::Node(node) => changed |= self.roster().merge(now, node),
                Fact::Upstream(announcement) => {
                    self.observe(*announcement, Source::Gossip);
                }
                Fact::Crash {
                    body,
                    upstream,
                    incarnation,
                } => self.observe_crash(Crash {
                    body,
                    upstream,
                    incarnation,
                }),
                Fact::Evidence(evidence) => {
                    if self.inner.upstreams.observe_evidence(&evidence) {
                        self.inner.upstreams.metrics().crashes.add("heard");
                        let fact = Fact::Evidence(evidence);
                        self.roster().enqueue(fact, Urgency::Urgent);
                    }
                }
                Fact::Proof(proof) => {
                    if self.inner.upstreams.observe_proof(&proof) {
                        let fact = Fact::Proof(proof);
                        self.roster().enqueue(fact, Urgency::Urgent);
                    }
                }
                Fact::Rate(notice) => {
                    if let Some(notice) = self.inner.upstreams.observe_rate_notice(&notice) {
                        self.roster().enqueue(Fact::Rate(notice), Urgency::Urgent);
                    }
                }
                Fact::Releases(notices) => {
                    self.observe_releases(&notices);
                }
                Fact::Leaves(notices) => {
                    self.observe_leaves(&notices, Source::Gossip);
                }
                Fact::Evacuations(evacuations) => self.observe_evacuations(evacuations),
                // The last fact of its packet, so that the others are in force.
                Fact::Delivery(receipt) => self.send_direct(from, Fact::Receipt(receipt)).await,
                Fact::Receipt(receipt) => self.roster().confirm(from, &receipt),
                Fact::Origin(notice) => self.keep_origin(*notice),
                Fact::OriginRequest(stream) => self.answer_origin(from, stream).await,
                Fact::OriginAnswer(answer) => self.observe_origin(from, *answer),
                Fact::ShareRequest(request) => self.answer_share(from, &request).await,
                Fact::ShareGrant(grant) => {
                    self.inner.upstreams.observe_grant(&grant);
                    self.inner.granted.notify_waiters();
                }
            }
        }
        if changed {
            self.inner.changed.notify_waiters();
        }
        if packet.asks {
            let background = self.background_facts();
            let packets = self.roster().full_state(now, from, &background);
            self.send(packets).await;
        }
    }

    /// Applies another node's crash evidence, and passes it on if it is new.
    fn observe_crash(&self, crash: Crash) {
        if !self.inner.upstreams.observe_crash(&crash) {
            return;
        }
        self.inner.upstreams.metrics().crashes.add("heard");
        log_evidence(&crash, "heard");
        let fact = Fact::Crash {
            body: crash.body,
            upstream: crash.upstream,
            incarnation: crash.incarnation,
        };
        self.roster().enqueue(fact, Urgency::Urgent);
    }

    /// Sends packets at every tick, and at once if woken for an urgent fact.
    async fn run_rounds(self) {
        let mut ticks = self.inner.timer.every(ROUND_PERIOD);
        loop {
            tokio::select! {
                tick = ticks.recv() => if tick.is_none() { return },
                () = self.inner.wake.notified() => {}
            }
            let background = self.background_facts();
            let packets = self.roster().tick(self.now(), &background);
            self.send(packets).await;
            self.log_membership();
            self.log_unconfirmed();
        }
    }

    async fn send(&self, packets: Vec<(SocketAddr, Packet)>) {
        for (to, packet) in packets {
            if let Err(error) = self.inner.gossip.send(to, &packet).await {
                // Packets may be lost anyway; a later round resends their facts.
                log::debug!(to:% = to, error:% = error; "gossip packet not sent");
            }
        }
    }

    /// Returns the announcements to resend, and what is known of requests that crash upstreams, for
    /// anti-entropy.
    fn background_facts(&self) -> Vec<Fact> {
        let upstreams = &self.inner.upstreams;
        let announcements = upstreams.resent_announcements().into_iter();
        let announcements =
            announcements.map(|announcement| Fact::Upstream(Box::new(announcement)));
        let findings = upstreams.known_findings().into_iter();
        let rates = upstreams.rate_notices().into_iter().map(Fact::Rate);
        let releases = upstreams.release_notices();
        let releases = releases.chunks(MAX_NOTICES);
        let leaves = upstreams.leave_notices();
        let leaves = leaves.chunks(MAX_LEAVES);
        let evacuations = upstreams.evacuations().borrow().clone();
        let evacuations = (evacuations.version > 0).then_some(evacuations).into_iter();
        announcements
            .chain(findings.map(Fact::from))
            .chain(rates)
            .chain(releases.map(|notices| Fact::Releases(notices.to_vec())))
            .chain(leaves.map(|notices| Fact::Leaves(notices.to_vec())))
            .chain(evacuations.map(Fact::Evacuations))
            .collect()
    }

    /// Shows in the metrics how many confirmations live nodes owe this one for longer than
    /// [`UNCONFIRMED_AGE`], and logs for which news, at most once in that time.
    fn log_unconfirmed(&self) {
        let now = self.now();
        let late = self.roster().unconfirmed(now, UNCONFIRMED_AGE);
        let nodes: usize = late.iter().map(|news| news.nodes.len()).sum();
        let metrics = self.inner.upstreams.metrics();
        metrics.unconfirmed.set(nodes as i64);
        let mut logged = self
            .inner
            .logged
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if late.is_empty() || now < *logged + UNCONFIRMED_AGE {
            return;
        }
        *logged = now;
        for news in late.iter().take(MAX_LOGGED_NEWS) {
            log::warn!(
                subject:% = subject(&news.fact), age = news.age.0, nodes = news.nodes.len(),
                first:? = news.nodes.first();
                "news not confirmed"
            );
        }
    }

    /// Logs the nodes that joined or were lost since the last round.
    fn log_membership(&self) {
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

    fn now(&self) -> Millis {
        self.inner.timer.now()
    }

    fn roster(&self) -> MutexGuard<'_, Roster> {
        self.inner
            .roster
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn log_evidence(crash: &Crash, source: &'static str) {
    log::info!(
        request:% = crash.body,
        upstream:% = crash.upstream,
        start = crash.incarnation.0;
        "crash evidence {source}"
    );
}

/// Returns what delivered news are about, for the log.
fn subject(fact: &Fact) -> String {
    match fact {
        Fact::Leaves(notices) => {
            let names = notices.iter().map(|notice| notice.upstream.as_str());
            names.collect::<Vec<&str>>().join(" ")
        }
        Fact::Node(node) => format!("version {}", node.plan),
        Fact::Evacuations(evacuations) => format!("evacuations {}", evacuations.version),
        _ => String::new(),
    }
}

fn log_phase(announcement: &Announcement, source: Source) {
    let phase = match announcement.phase {
        Phase::Ready => "ready",
        Phase::Leaving => "leaving",
    };
    log::info!(
        upstream:% = announcement.upstream,
        start = announcement.incarnation.0,
        seq = announcement.seq,
        address:% = announcement.address,
        source = source.name();
        "upstream {phase}"
    );
}
