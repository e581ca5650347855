//! Greetings between replicas: they tell a replica the identities of its peers, create a new group,
//! and ask to join an existing one.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use chestnutnotch_core::id::ReplicaId;
use chestnutnotch_core::replica::Hello;
use chestnutnotch_core::replica::HelloRound;
use chestnutnotch_core::replica::Input;
use chestnutnotch_core::replica::Members;
use chestnutnotch_core::unit::Millis;

use super::actor::ReplicaMessage;
use super::actor::ReplicaState;
use super::handle::FoundPeer;

/// Pause between two rounds of greetings while all peers answer.
pub(super) const GREETING_MIN_PAUSE_MILLIS: u64 = 50;

/// Upper limit of that pause, which doubles after each round that a peer did not answer.
const GREETING_MAX_PAUSE_MILLIS: u64 = 2_000;

impl ReplicaState {
    /// Returns this replica's greeting.
    pub(super) fn hello(&self) -> Hello {
        Hello {
            id: self.replica.node().id(),
            blank: self.replica.node().is_blank(),
            joins: self.wants_join(),
            founds: self.discovery.is_some_and(|own| own.founds),
            address: self.address,
        }
    }

    /// Whether this replica asks to join the group. With discovery, a member that hears from no
    /// leader asks too: it may have been removed from the group without having learned of it.
    fn wants_join(&self) -> bool {
        let node = self.replica.node();
        node.must_join() || (self.discovery.is_some() && !node.hears_leader())
    }

    /// Creates a group of one at once if no other replica is configured.
    pub(super) fn bootstrap_alone(&mut self) {
        let own = self.replica.node().id();
        if self.peers.len() <= 1 && self.replica.node().is_blank() && self.may_bootstrap() {
            self.step(Input::Bootstrap(Members::initial([(own, self.address)])));
        }
    }

    /// Sets the addresses found by discovery, with their data centres. The configured ones stay, since
    /// the creation of a group needs all of them. `found` may have the own address.
    pub(super) fn set_peers(&mut self, found: Vec<FoundPeer>) {
        self.peers = self.configured.clone();
        for peer in &found {
            if peer.address != self.address && !self.peers.contains(&peer.address) {
                self.peers.push(peer.address);
            }
        }
        self.set_centres(found);
    }

    /// Tells the protocol the data centres of the replicas found. Those of members that are no longer
    /// found stay known.
    fn set_centres(&mut self, found: Vec<FoundPeer>) {
        let node = self.replica.node();
        let is_member = |at: &SocketAddr| {
            node.members()
                .0
                .values()
                .any(|member| member.address == *at)
        };
        let mut centres = BTreeMap::clone(&self.centres);
        centres.retain(|address, _| is_member(address));
        centres.extend(found.into_iter().map(|peer| (peer.address, peer.centre)));
        if centres != *self.centres {
            self.centres = Arc::new(centres);
            self.step(Input::Centres(Arc::clone(&self.centres)));
        }
    }

    /// Whether this replica may create a group. With discovery, only a configured address may, and
    /// only if the settings allow it: they do so at the first start of the system alone, because
    /// later an empty disk is one that was lost.
    fn may_bootstrap(&self) -> bool {
        let is_configured = self.configured.contains(&self.address);
        self.discovery.is_none_or(|own| own.founds && is_configured)
    }

    /// Starts a round of greetings if one is due and this replica wants to join the group or does
    /// not know the address of a member.
    pub(super) fn greet(&mut self) {
        let node = self.replica.node();
        let own = node.id();
        let unreachable = |id: &ReplicaId| *id != own && self.address_of(*id).is_none();
        let needed = self.wants_join() || node.members().0.keys().any(unreachable);
        let now = self.timer.now();
        if !needed || self.greeting.running || now < self.greeting.next {
            return;
        }
        self.greeting.running = true;
        let hello = self.hello();
        let calls: Vec<_> = self
            .peers
            .iter()
            .map(|peer| (*peer, self.links.greet(*peer, hello)))
            .collect();
        let myself = self.myself.clone();
        tokio::spawn(async move {
            let calls = calls
                .into_iter()
                .map(async |(peer, call)| (peer, call.await));
            let round = futures_util::future::join_all(calls).await;
            let _ = myself.send_message(ReplicaMessage::Greeted(round));
        });
    }

    /// Evaluates a finished round, schedules the next one, and creates the group if that falls to
    /// this replica.
    pub(super) fn on_greeted(&mut self, round: &HelloRound) {
        let own = self.replica.node().id();
        let configured = round.iter().filter(|(at, _)| self.configured.contains(at));
        let configured: HelloRound = configured.copied().collect();
        let members = self.bootstrap.observe(own, &configured);
        self.bootstrap.record_addresses(round);
        let complete = round.iter().all(|(_, hello)| hello.is_some());
        self.greeting.running = false;
        self.greeting.pause = if complete {
            GREETING_MIN_PAUSE_MILLIS
        } else {
            (self.greeting.pause * 2).min(GREETING_MAX_PAUSE_MILLIS)
        };
        let pause = std::time::Duration::from_millis(self.greeting.pause);
        let jitter = crate::timer::jitter(pause).as_millis() as u64;
        self.greeting.next = self.timer.now() + Millis(self.greeting.pause / 2 + jitter);
        if let Some(members) = members
            && self.may_bootstrap()
            && self.replica.node().is_blank()
        {
            log::info!("replica {own} creates a group of {}", members.0.len());
            self.step(Input::Bootstrap(members));
        }
    }
}
