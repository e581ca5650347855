//! Crash evidence and proofs that this node found: it sends them to each other node until that one
//! confirms them, at a bounded rate.
//!
//! Any router finds them, and a fault can bring any number in a second. So packets are limited in
//! number and length, all nodes get them in turn, and the newest findings go first. What does not fit
//! is left to gossip and anti-entropy.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::ops::Bound;

use postcard::ser_flavors::Size;
use postcard::serialize_with_flavor;
use serde::Serialize;

use super::delivery::Receipt;
use super::delivery::Receiver;
use super::fact::Fact;
use super::fact::NodeFact;
use crate::unit::Millis;

/// Most packets per second. Each other node then gets as many on average if all nodes send them.
const PACKET_RATE: u64 = 400;

/// Most packets at once after a time without any. Their receipts, which come back together, take up less
/// than half of a socket buffer of the usual size.
const PACKET_BURST: u64 = 128;

/// Largest packet, in bytes.
const FINDING_PACKET_BYTES: usize = 600;

/// Bytes of a packet besides the findings and their numbers.
const RECEIPT_BYTES: usize = 24;

/// Time after which findings are sent again to a node that has not confirmed them: a little less than
/// three gossip rounds.
const RESEND_PERIOD: Millis = Millis(400);

/// The same for a node whose heartbeats do not arrive.
const SILENT_PERIOD: Millis = Millis(1_200);

/// How long findings are sent: twice the shortest time that users state.
const FINDING_TIME: Millis = Millis(6_000);

/// Most findings under way, one for each bit of [`Progress`].
const MAX_FINDINGS: u64 = u128::BITS as u64;

/// Credit for one packet: a thousandth of a packet accrues [`PACKET_RATE`] times per millisecond.
const PACKET_CREDIT: u64 = 1_000;

/// Findings under way.
#[derive(Clone, Debug, Default)]
pub(super) struct Findings {
    /// Number of findings so far; its remainder gives the bit of the next one.
    count: u64,
    /// Findings from the oldest to the newest.
    items: VecDeque<Item>,
    receivers: BTreeMap<SocketAddr, Progress>,
    /// Node that got the last packet.
    last: Option<SocketAddr>,
    allowance: Allowance,
}

#[derive(Clone, Debug)]
struct Item {
    /// Position among all findings of this node.
    position: u64,
    /// Number in receipts.
    number: u64,
    fact: Fact,
    /// Encoded length with the number.
    size: usize,
    /// When it was first due.
    begun: Option<Millis>,
}

/// What a node has been sent and has confirmed, one bit for each finding.
#[derive(Clone, Copy, Debug, Default)]
struct Progress {
    unsent: u128,
    /// Includes those that are unsent.
    unconfirmed: u128,
    /// When unconfirmed findings are sent again.
    resend: Millis,
}

/// Packets that may be sent, as a token bucket.
#[derive(Clone, Debug)]
struct Allowance {
    credit: u64,
    updated: Millis,
}

impl Default for Allowance {
    fn default() -> Self {
        Self {
            credit: PACKET_BURST * PACKET_CREDIT,
            updated: Millis::ZERO,
        }
    }
}

impl Allowance {
    fn refill(&mut self, now: Millis) {
        let elapsed = now.saturating_sub(self.updated).0;
        let credit = elapsed
            .saturating_mul(PACKET_RATE)
            .saturating_add(self.credit);
        self.credit = credit.min(PACKET_BURST * PACKET_CREDIT);
        self.updated = now;
    }

    fn is_spent(&self) -> bool {
        self.credit < PACKET_CREDIT
    }
}

impl Item {
    fn bit(&self) -> u128 {
        1 << (self.position % MAX_FINDINGS)
    }

    /// Returns the finding with its age at `now`.
    fn aged(&self, now: Millis) -> Fact {
        let delay = now.saturating_sub(self.begun.unwrap_or(now));
        let mut fact = self.fact.clone();
        match &mut fact {
            Fact::Evidence(evidence) => evidence.age += delay,
            Fact::Proof(proof) => proof.age += delay,
            _ => {}
        }
        fact
    }
}

impl Findings {
    /// Begins to send a finding to all nodes. It replaces an older one with the same subject. Returns
    /// whether it is not under way already.
    pub fn begin(&mut self, number: u64, fact: Fact) -> bool {
        let mut items = self.items.iter();
        if let Some(older) = items.position(|item| item.fact.has_same_subject(&fact)) {
            if self.items[older].fact.states_same(&fact) {
                return false;
            }
            self.items.remove(older);
        }
        let size = encoded_size(&fact).saturating_add(encoded_size(&number));
        // Gossip has room for it.
        if size > FINDING_PACKET_BYTES - RECEIPT_BYTES {
            return true;
        }
        let position = self.count;
        self.count += 1;
        let is_current = |item: &Item| position < item.position + MAX_FINDINGS;
        while self.items.front().is_some_and(|item| !is_current(item)) {
            self.items.pop_front();
        }
        let item = Item {
            position,
            number,
            fact,
            size,
            begun: None,
        };
        for progress in self.receivers.values_mut() {
            progress.unsent |= item.bit();
            progress.unconfirmed |= item.bit();
        }
        self.items.push_back(item);
        true
    }

    /// Adds a node that has joined or started again.
    pub fn add_node(&mut self, address: SocketAddr) {
        let all = self.current();
        let progress = Progress {
            unsent: all,
            unconfirmed: all,
            resend: Millis::ZERO,
        };
        self.receivers.insert(address, progress);
    }

    /// Removes a node that is not a member any more.
    pub fn remove_node(&mut self, address: &SocketAddr) {
        self.receivers.remove(address);
    }

    /// Records that a node has the findings with these numbers.
    pub fn confirm(&mut self, from: SocketAddr, numbers: &[u64]) {
        let Some(progress) = self.receivers.get_mut(&from) else {
            return;
        };
        for number in numbers {
            let item = self
                .items
                .binary_search_by_key(number, |item| item.number)
                .ok();
            if let Some(item) = item.and_then(|index| self.items.get(index)) {
                progress.unsent &= !item.bit();
                progress.unconfirmed &= !item.bit();
            }
        }
    }

    /// Returns the findings to send now, at most one packet for each node, with the receipt that it
    /// sends back as the last fact. `own` is this node's own state.
    pub fn due(
        &mut self,
        now: Millis,
        own: &NodeFact,
        receiver: impl Fn(&SocketAddr) -> Receiver,
    ) -> Vec<(SocketAddr, Vec<Fact>)> {
        self.allowance.refill(now);
        self.items
            .retain(|item| item.begun.is_none_or(|begun| now < begun + FINDING_TIME));
        if self.items.is_empty() {
            return Vec::new();
        }
        for item in &mut self.items {
            item.begun.get_or_insert(now);
        }
        let current = self.current();
        let mut packets = Vec::new();
        for address in self.turns(own.address) {
            if self.allowance.is_spent() {
                break;
            }
            let Some(progress) = self.receivers.get_mut(&address) else {
                continue;
            };
            if progress.unconfirmed & current == 0 {
                continue;
            }
            let is_resend = now >= progress.resend;
            let (wanted, period) = match receiver(&address) {
                Receiver::Live if is_resend => (progress.unconfirmed, RESEND_PERIOD),
                Receiver::Live => (progress.unsent, RESEND_PERIOD),
                Receiver::Silent if is_resend => (progress.unconfirmed, SILENT_PERIOD),
                Receiver::Silent | Receiver::Removed => continue,
            };
            let items = newest(&self.items, wanted);
            if items.is_empty() {
                continue;
            }
            if is_resend {
                progress.resend = now + period;
            }
            for item in &items {
                progress.unsent &= !item.bit();
            }
            self.allowance.credit -= PACKET_CREDIT;
            self.last = Some(address);
            let mut facts: Vec<Fact> = items.iter().map(|item| item.aged(now)).collect();
            facts.push(Fact::Delivery(Receipt {
                start: own.start,
                numbers: items.iter().map(|item| item.number).collect(),
            }));
            packets.push((address, facts));
        }
        packets
    }

    /// Returns the bits of the findings under way.
    fn current(&self) -> u128 {
        let bits = self.items.iter().map(Item::bit);
        bits.fold(0, |all, bit| all | bit)
    }

    /// Returns the nodes in the order of their turns: from the one after the last that got a packet, at
    /// first from this node's own address, so that nodes that send at the same time begin at different
    /// ones.
    fn turns(&self, own: SocketAddr) -> Vec<SocketAddr> {
        let last = self.last.unwrap_or(own);
        let after = self
            .receivers
            .range((Bound::Excluded(last), Bound::Unbounded));
        let before = self.receivers.range(..=last);
        after.chain(before).map(|(address, _)| *address).collect()
    }
}

/// Returns the newest of the wanted findings that fit in a packet.
fn newest(items: &VecDeque<Item>, wanted: u128) -> Vec<&Item> {
    let mut room = FINDING_PACKET_BYTES - RECEIPT_BYTES;
    let mut taken = Vec::new();
    for item in items.iter().rev().filter(|item| item.bit() & wanted != 0) {
        if item.size > room {
            break;
        }
        room -= item.size;
        taken.push(item);
    }
    taken
}

/// Returns the length of an encoded value in bytes.
fn encoded_size(value: &impl Serialize) -> usize {
    // A fact of the core's own types can always be encoded.
    serialize_with_flavor(value, Size::default()).unwrap_or(usize::MAX)
}
