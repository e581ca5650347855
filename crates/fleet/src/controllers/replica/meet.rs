//! Greetings between replicas.

use std::net::SocketAddr;

use chestnutnotch_core::id::ReplicaId;
use chestnutnotch_core::replica::Hello;
use chestnutnotch_core::replica::HelloRound;
use chestnutnotch_core::replica::Input;
use chestnutnotch_core::replica::Members;
use chestnutnotch_core::unit::Millis;

use super::actor::ReplicaMessage;
use super::actor::ReplicaState;

pub(super) const GREET_MIN_MILLIS: u64 = 50;

const GREET_MAX_MILLIS: u64 = 2_000;

impl ReplicaState {
    pub(super) fn hello(&self) -> Hello {
        Hello {
            id: self.replica.node().id(),
            blank: self.replica.node().is_blank(),
            joins: self.seeks(),
            address: self.address,
        }
    }

    /// Whether this replica asks to be taken into the group. Where replicas find each other, one
    /// that hears no leader may have been replaced without knowing.
    fn seeks(&self) -> bool {
        let node = self.replica.node();
        node.must_join() || (self.discovery.is_some() && !node.hears_leader())
    }

    /// A group of one is founded at once.
    pub(super) fn found_alone(&mut self) {
        let own = self.replica.node().id();
        if self.peers.len() <= 1 && self.replica.node().is_blank() && self.may_found() {
            self.step(Input::Bootstrap(Members::initial([(own, self.address)])));
        }
    }

    /// Takes in where other replicas were found. The founders stay: founding needs all of them.
    pub(super) fn meet(&mut self, found: Vec<SocketAddr>) {
        self.peers = self.founders.clone();
        for peer in found {
            if !self.peers.contains(&peer) {
                self.peers.push(peer);
            }
        }
    }

    fn may_found(&self) -> bool {
        let founder = self.founders.contains(&self.address);
        self.discovery.is_none_or(|own| own.founds && founder)
    }

    /// Greets the peers while this replica is outside the group, or cannot reach a member.
    pub(super) fn greet(&mut self) {
        let node = self.replica.node();
        let own = node.id();
        let lost = |id: &ReplicaId| *id != own && self.address_of(*id).is_none();
        let needed = self.seeks() || node.members().0.keys().any(lost);
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

    pub(super) fn greeted(&mut self, round: &HelloRound) {
        let own = self.replica.node().id();
        let founders = round.iter().filter(|(at, _)| self.founders.contains(at));
        let founders: HelloRound = founders.copied().collect();
        let members = self.founding.observe(own, &founders);
        self.founding.record_addresses(round);
        let complete = round.iter().all(|(_, hello)| hello.is_some());
        self.greeting.running = false;
        self.greeting.pause = if complete {
            GREET_MIN_MILLIS
        } else {
            (self.greeting.pause * 2).min(GREET_MAX_MILLIS)
        };
        let pause = std::time::Duration::from_millis(self.greeting.pause);
        let jitter = crate::timer::jitter(pause).as_millis() as u64;
        self.greeting.next = self.timer.now() + Millis(self.greeting.pause / 2 + jitter);
        if let Some(members) = members
            && self.may_found()
            && self.replica.node().is_blank()
        {
            log::info!("replica {own} founds a group of {}", members.0.len());
            self.step(Input::Bootstrap(members));
        }
    }
}
