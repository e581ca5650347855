//! News that this node answers for: it sends them to each other node until that one confirms them.
//!
//! Gossip reaches every node in a time that has no bound. An acknowledged leave or version has to be
//! known everywhere within a stated time, so the node that took it delivers it directly: one hop,
//! and one more packet for each that is lost. Gossip carries the news to nodes that this one can't
//! reach.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use super::fact::Fact;
use super::fact::NodeFact;
use super::findings::Findings;
use crate::map::Map;
use crate::unit::Millis;
use crate::upstream::leave::MAX_LEAVES;

/// Time after which news are sent again to a node that has not confirmed them: a little less than a
/// gossip round, so that they are sent in every round.
const RESEND_PERIOD: Millis = Millis(100);

/// Time in which news are sent in every round. After it, or to a node that is silent, they are sent
/// once in [`SLOW_PERIOD`].
const FAST_TIME: Millis = Millis(3_000);

/// Period of sending to nodes that are silent or late to confirm.
const SLOW_PERIOD: Millis = Millis(1_200);

/// How long news are delivered. Nodes that are cut off for longer get them by anti-entropy.
const DELIVERY_TIME: Millis = Millis(60_000);

/// Most news under way; the oldest are left to gossip.
const MAX_DELIVERIES: usize = 1_024;

/// Numbers of news in one packet, and of the process that sent it. The receiver confirms them by
/// sending the same numbers back.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Receipt {
    /// Generation of the sender.
    pub start: u64,
    /// Numbers within the generation.
    pub numbers: Vec<u64>,
}

/// News that some nodes have not confirmed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Unconfirmed {
    /// The news.
    pub fact: Fact,
    /// Time since they were first sent.
    pub age: Millis,
    /// Gossip addresses of the nodes.
    pub nodes: Vec<SocketAddr>,
}

/// What this node knows of a receiver.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Receiver {
    /// Its heartbeats arrive.
    Live,
    /// Its heartbeats do not arrive.
    Silent,
    /// It is not a member any more.
    Removed,
}

/// The news under way, by number.
#[derive(Clone, Debug, Default)]
pub(super) struct Deliveries {
    next: u64,
    news: BTreeMap<u64, Delivery>,
    findings: Findings,
}

#[derive(Clone, Debug)]
struct Delivery {
    fact: Fact,
    /// When the news were first sent.
    begun: Option<Millis>,
    /// Nodes that have not confirmed, with the time of the last packet.
    pending: Map<SocketAddr, Option<Millis>>,
}

impl Deliveries {
    /// Begins to deliver news to these nodes. They replace older ones with the same subject. Returns
    /// whether they are not under way already.
    pub fn begin(&mut self, fact: Fact, nodes: impl Iterator<Item = SocketAddr>) -> bool {
        if fact.is_finding() {
            let number = self.next;
            self.next += 1;
            return self.findings.begin(number, fact);
        }
        let older = self
            .news
            .iter()
            .find(|(_, delivery)| delivery.fact.has_same_subject(&fact));
        if let Some((number, older)) = older {
            if older.fact.states_same(&fact) {
                return false;
            }
            let number = *number;
            self.news.remove(&number);
        }
        if self.news.len() >= MAX_DELIVERIES {
            self.news.pop_first();
        }
        let delivery = Delivery {
            fact,
            begun: None,
            pending: nodes.map(|address| (address, None)).collect(),
        };
        self.news.insert(self.next, delivery);
        self.next += 1;
        true
    }

    /// Adds a node that has joined or started again: it may have missed the news that others know.
    pub fn add_node(&mut self, address: SocketAddr) {
        for delivery in self.news.values_mut() {
            delivery.pending.insert(address, None);
        }
        self.findings.add_node(address);
    }

    /// Removes a node that is not a member any more.
    pub fn remove_node(&mut self, address: &SocketAddr) {
        self.findings.remove_node(address);
    }

    /// Records that a node has the news with these numbers.
    pub fn confirm(&mut self, from: SocketAddr, numbers: &[u64]) {
        for number in numbers {
            if let Some(delivery) = self.news.get_mut(number) {
                delivery.pending.remove(&from);
            }
        }
        self.findings.confirm(from, numbers);
    }

    /// Returns the facts to send now, each list for one packet to that node, with the receipt that it
    /// sends back as the last fact. Findings come after all others. `own` is this node's own state.
    pub fn due(
        &mut self,
        now: Millis,
        own: &NodeFact,
        receiver: impl Fn(&SocketAddr) -> Receiver,
    ) -> Vec<(SocketAddr, Vec<Fact>)> {
        self.news.retain(|_, delivery| delivery.is_current(now));
        let mut due: BTreeMap<SocketAddr, Vec<u64>> = BTreeMap::new();
        for (number, delivery) in &mut self.news {
            let begun = *delivery.begun.get_or_insert(now);
            let is_new = now < begun + FAST_TIME;
            delivery.pending.retain(|address, last| {
                let period = match receiver(address) {
                    Receiver::Removed => return false,
                    Receiver::Live if is_new => RESEND_PERIOD,
                    Receiver::Live | Receiver::Silent => SLOW_PERIOD,
                };
                if last.is_none_or(|last| now >= last + period) {
                    *last = Some(now);
                    due.entry(*address).or_default().push(*number);
                }
                true
            });
        }
        let mut packets = Vec::new();
        for (address, numbers) in due {
            // Nodes of earlier versions drop packets with a fact that they can't decode.
            let (late, early): (Vec<u64>, Vec<u64>) =
                numbers.into_iter().partition(|number| self.is_late(number));
            let chunks = early.chunks(MAX_LEAVES).chain(late.chunks(MAX_LEAVES));
            for numbers in chunks {
                packets.push((address, self.facts(now, own, numbers)));
            }
        }
        packets.extend(self.findings.due(now, own, receiver));
        packets
    }

    /// Returns whether the news with this number are a late extension; see
    /// [`Fact::is_late_extension`].
    fn is_late(&self, number: &u64) -> bool {
        let delivery = self.news.get(number);
        delivery.is_some_and(|delivery| delivery.fact.is_late_extension())
    }

    /// Returns the facts with these numbers, which are at most [`MAX_LEAVES`], and their receipt.
    fn facts(&self, now: Millis, own: &NodeFact, numbers: &[u64]) -> Vec<Fact> {
        let mut facts = Vec::new();
        let mut leaves = Vec::new();
        for delivery in numbers.iter().filter_map(|number| self.news.get(number)) {
            match &delivery.fact {
                // With its newest heartbeat, or receivers that have heard a later one ignore it.
                Fact::Node(_) => facts.push(Fact::Node(own.clone())),
                Fact::Leaves(notices) => {
                    let delay = now.saturating_sub(delivery.begun.unwrap_or(now));
                    leaves.extend(notices.iter().cloned().map(|mut notice| {
                        notice.age += delay;
                        notice
                    }));
                }
                other => facts.push(other.clone()),
            }
        }
        let leaves = leaves.chunks(MAX_LEAVES);
        facts.extend(leaves.map(|notices| Fact::Leaves(notices.to_vec())));
        facts.push(Fact::Delivery(Receipt {
            start: own.start,
            numbers: numbers.to_vec(),
        }));
        facts
    }

    /// Returns the news, other than findings, that live nodes have not confirmed `age` after they were
    /// first sent.
    pub fn unconfirmed(
        &self,
        now: Millis,
        age: Millis,
        receiver: impl Fn(&SocketAddr) -> Receiver,
    ) -> Vec<Unconfirmed> {
        let old = self.news.values().filter_map(|delivery| {
            let elapsed = now.saturating_sub(delivery.begun?);
            let pending = delivery.pending.keys();
            let live = pending.filter(|address| receiver(address) == Receiver::Live);
            let nodes: Vec<SocketAddr> = live.copied().collect();
            (elapsed >= age && !nodes.is_empty()).then(|| Unconfirmed {
                fact: delivery.fact.clone(),
                age: elapsed,
                nodes,
            })
        });
        old.collect()
    }
}

impl Delivery {
    fn is_current(&self, now: Millis) -> bool {
        self.begun.is_none_or(|begun| now < begun + DELIVERY_TIME)
    }
}
