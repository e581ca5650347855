//! Crash evidence and proofs that one node found: what it sends to which nodes until they confirm it,
//! and how much it sends at most.
#![allow(clippy::panic, clippy::unwrap_used)]

use std::net::SocketAddr;

use chestnutnotch_core::id::Fingerprint;
use chestnutnotch_core::id::PromptPart;
use chestnutnotch_core::id::Upstream;
use chestnutnotch_core::map::Map;
use chestnutnotch_core::map::Set;
use chestnutnotch_core::roster::Fact;
use chestnutnotch_core::roster::NodeFact;
use chestnutnotch_core::roster::Packet;
use chestnutnotch_core::roster::Receipt;
use chestnutnotch_core::roster::Role;
use chestnutnotch_core::roster::Roster;
use chestnutnotch_core::roster::RosterSettings;
use chestnutnotch_core::unit::Incarnation;
use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::upstream::Attribution;
use chestnutnotch_core::upstream::Evidence;
use chestnutnotch_core::upstream::LeaveNotice;
use chestnutnotch_core::upstream::Stage;
use chestnutnotch_core::upstream::Subject;

/// Time between two ticks.
const TICK: Millis = Millis(150);

/// Most packets a second, and at once, as `docs/platform.md` states.
const PACKET_RATE: usize = 400;
const PACKET_BURST: usize = 128;

/// Largest packet with findings, in bytes.
const PACKET_BYTES: usize = 600;

/// Ticks in which findings are sent: six seconds.
const FINDING_TICKS: usize = 40;

fn address(number: usize) -> SocketAddr {
    SocketAddr::from((
        [10, 0, (number / 200) as u8, (number % 200) as u8 + 1],
        7_000,
    ))
}

fn node(number: usize, start: u64) -> NodeFact {
    NodeFact {
        host: format!("host-{number}").into(),
        role: Role::Router,
        centre: "centre".into(),
        address: address(number),
        rpc: address(number),
        start,
        beat: 0,
        leaving: false,
        plan: 0,
    }
}

fn crash(number: usize) -> Fact {
    Fact::Crash {
        body: Fingerprint((number as u128).to_be_bytes()),
        upstream: Upstream::from("i-51ee05ef"),
        incarnation: Incarnation(1_796_000_000_000),
    }
}

fn evidence(part: u64, name: &str) -> Fact {
    Fact::Evidence(Box::new(Evidence {
        subject: Subject::Part(PromptPart(part)),
        upstream: Upstream::from(name),
        incarnation: Incarnation(1),
        stage: Stage::Begun,
        age: Millis(1),
    }))
}

fn leave(number: usize) -> Fact {
    Fact::Leaves(vec![LeaveNotice {
        upstream: Upstream::from(format!("i-{number}").as_str()),
        starts: Attribution::stated(Incarnation(1)),
        age: Millis::ZERO,
    }])
}

/// A delivered packet.
struct Delivered {
    to: SocketAddr,
    packet: Packet,
}

impl Delivered {
    fn receipt(&self) -> &Receipt {
        match self.packet.facts.last() {
            Some(Fact::Delivery(receipt)) => receipt,
            other => panic!("no receipt: {other:?}"),
        }
    }

    fn is_leave(&self) -> bool {
        matches!(self.packet.facts.first(), Some(Fact::Leaves(_)))
    }

    fn bytes(&self) -> usize {
        postcard::to_stdvec(&self.packet).unwrap().len()
    }
}

/// A router that knows others, and what it sends to them.
struct Sender {
    roster: Roster,
    now: Millis,
    others: usize,
    crashes: usize,
}

impl Sender {
    fn new(others: usize) -> Self {
        let settings = RosterSettings::default();
        let mut sender = Self {
            roster: Roster::new(node(0, 7), Vec::new(), settings, 1),
            now: Millis(1_000),
            others,
            crashes: 0,
        };
        (1..=others).for_each(|number| sender.hear(number, 1, 0));
        sender
    }

    /// Hears of a state of a node.
    fn hear(&mut self, number: usize, start: u64, beat: u64) {
        let fact = NodeFact {
            beat,
            ..node(number, start)
        };
        self.roster.merge(self.now, fact);
    }

    /// Finds crashes that it has not found before.
    fn find(&mut self, count: usize) {
        for _ in 0..count {
            self.crashes += 1;
            assert!(self.roster.announce(crash(self.crashes)));
        }
    }

    /// Runs one tick, in which all nodes are heard of. Returns the delivered packets.
    fn tick(&mut self) -> Vec<Delivered> {
        self.now += TICK;
        let beat = self.now.0;
        (1..=self.others).for_each(|number| self.hear(number, 1, beat));
        let packets = self.roster.tick(self.now, &[]).into_iter();
        let is_delivered = |packet: &Packet| matches!(packet.facts.last(), Some(Fact::Delivery(_)));
        let delivered = packets.filter(|(_, packet)| is_delivered(packet));
        delivered
            .map(|(to, packet)| Delivered { to, packet })
            .collect()
    }

    fn confirm(&mut self, delivered: &[Delivered]) {
        for delivered in delivered {
            self.roster.confirm(delivered.to, delivered.receipt());
        }
    }
}

fn receivers(delivered: &[Delivered]) -> Vec<SocketAddr> {
    delivered.iter().map(|delivered| delivered.to).collect()
}

/// Defines a test for each number of other nodes: five crashes cost one packet to each, in as many
/// ticks as the rate allows, and nothing once they are confirmed.
macro_rules! packets {
    ($($name:ident: $others:literal;)*) => {$(
        #[test]
        fn $name() {
            let mut sender = Sender::new($others);
            sender.find(5);
            let mut told: Set<SocketAddr> = Set::default();
            let rest = ($others * 1_000_usize).saturating_sub(PACKET_BURST * 1_000);
            let ticks = 1 + rest.div_ceil(PACKET_RATE * TICK.0 as usize);
            for _ in 0..ticks {
                let delivered = sender.tick();
                assert!(delivered.iter().all(|packet| packet.receipt().numbers.len() == 5));
                assert!(receivers(&delivered).into_iter().all(|to| told.insert(to)));
                sender.confirm(&delivered);
            }
            assert_eq!(told.len(), $others, "in {ticks} ticks");
            assert!(sender.tick().is_empty());
        }
    )*};
}

packets! {
    one_packet_to_each_of_82_hosts: 81;
    one_packet_to_each_of_200_hosts: 199;
    one_packet_to_each_of_1000_hosts: 999;
}

/// Defines a test for each number of other nodes: many crashes in each tick, and wakes between ticks,
/// cost no more than is stated, whether the others confirm them or not.
macro_rules! flood {
    ($($name:ident: $others:literal, $confirms:literal;)*) => {$(
        #[test]
        fn $name() {
            let mut sender = Sender::new($others);
            let begun = sender.now;
            let mut packets = 0;
            let mut turns: Map<SocketAddr, usize> = Map::default();
            for _ in 0..40 {
                sender.find(50);
                let mut delivered = sender.tick();
                sender.find(5);
                let woken = sender.roster.tick(sender.now, &[]).into_iter();
                let woken = woken.map(|(to, packet)| Delivered { to, packet });
                delivered.extend(woken.filter(|woken| {
                    matches!(woken.packet.facts.last(), Some(Fact::Delivery(_)))
                }));
                for delivered in &delivered {
                    assert!(delivered.bytes() <= PACKET_BYTES, "{}", delivered.bytes());
                    packets += 1;
                    *turns.entry(delivered.to).or_default() += 1;
                }
                if $confirms {
                    sender.confirm(&delivered);
                }
            }
            let elapsed = (sender.now.0 - begun.0) as usize;
            let most = PACKET_BURST + elapsed * PACKET_RATE / 1_000;
            assert!(packets <= most, "{packets} of at most {most} packets");
            let (least, most) = (turns.values().min().unwrap(), turns.values().max().unwrap());
            assert!(turns.len() == $others && most - least <= 1, "turns: {least} to {most}");
        }
    )*};
}

flood! {
    many_crashes_at_82_hosts: 81, true;
    many_crashes_at_200_hosts: 199, true;
    many_crashes_at_1000_hosts: 999, true;
    many_crashes_at_82_hosts_that_do_not_confirm: 81, false;
    many_crashes_at_200_hosts_that_do_not_confirm: 199, false;
}

/// Defines a test for each number of other nodes: leaves go out at once and first, however many crashes
/// wait.
macro_rules! leaves_first {
    ($($name:ident: $others:literal;)*) => {$(
        #[test]
        fn $name() {
            let mut sender = Sender::new($others);
            for _ in 0..5 {
                sender.find(50);
                let delivered = sender.tick();
                sender.confirm(&delivered);
            }
            sender.find(50);
            for number in 0..10 {
                assert!(sender.roster.announce(leave(number)));
            }
            let delivered = sender.tick();
            let leaves: Vec<bool> = delivered.iter().map(Delivered::is_leave).collect();
            let count = leaves.iter().filter(|is_leave| **is_leave).count();
            assert_eq!(count, $others);
            assert!(leaves.len() > count, "evidence goes on");
            assert!(leaves[..count].iter().all(|is_leave| *is_leave), "leaves go first");
            let told: Set<SocketAddr> = delivered[..count].iter().map(|packet| packet.to).collect();
            assert_eq!(told.len(), $others);
            assert!(delivered[..count].iter().all(|packet| packet.receipt().numbers.len() == 10));
        }
    )*};
}

leaves_first! {
    leaves_go_before_crashes_at_82_hosts: 81;
    leaves_go_before_crashes_at_200_hosts: 199;
    leaves_go_before_crashes_at_1000_hosts: 999;
}

#[test]
fn node_that_does_not_confirm_is_told_every_third_tick() {
    let mut sender = Sender::new(3);
    sender.find(1);
    let delivered = sender.tick();
    sender.confirm(&delivered[1..]);
    let silent = delivered[0].to;
    let told: Vec<usize> = (1..FINDING_TICKS)
        .filter(|_| {
            let delivered = sender.tick();
            assert!(receivers(&delivered).iter().all(|to| *to == silent));
            !delivered.is_empty()
        })
        .collect();
    let expected: Vec<usize> = (1..FINDING_TICKS).filter(|tick| tick % 3 == 0).collect();
    assert_eq!(told, expected);
    assert!((0..20).all(|_| sender.tick().is_empty()), "not for ever");
}

#[test]
fn newest_findings_go_first() {
    let mut sender = Sender::new(1);
    sender.find(100);
    let delivered = sender.tick();
    let first = delivered[0].packet.facts.first();
    assert_eq!(first, Some(&crash(100)));
    let second = sender.tick();
    let count = delivered[0].packet.facts.len() - 1;
    assert_eq!(second[0].packet.facts.first(), Some(&crash(100 - count)));
}

#[test]
fn node_that_joins_or_starts_again_is_told() {
    let mut sender = Sender::new(2);
    sender.find(2);
    let delivered = sender.tick();
    sender.confirm(&delivered);
    sender.hear(3, 1, 0);
    let delivered = sender.tick();
    assert_eq!(receivers(&delivered), [address(3)]);
    sender.confirm(&delivered);
    sender.hear(2, 2, 0);
    let delivered = sender.tick();
    assert_eq!(receivers(&delivered), [address(2)]);
    assert_eq!(delivered[0].receipt().numbers.len(), 2);
}

#[test]
fn same_crash_again_is_not_delivered_again() {
    let mut sender = Sender::new(1);
    sender.find(1);
    let delivered = sender.tick();
    sender.confirm(&delivered);
    assert!(!sender.roster.announce(crash(1)));
    assert!(sender.tick().is_empty());
}

/// The clocks of two nodes can't be compared, so evidence that is sent again says how old it is then.
#[test]
fn evidence_sent_again_is_older() {
    let mut sender = Sender::new(1);
    assert!(sender.roster.announce(evidence(1, "w")));
    let mut ages = Vec::new();
    for _ in 0..4 {
        for delivered in sender.tick() {
            match delivered.packet.facts.first() {
                Some(Fact::Evidence(evidence)) => ages.push(evidence.age),
                other => panic!("no evidence: {other:?}"),
            }
        }
    }
    assert_eq!(ages, [Millis(1), Millis(451)]);
}

#[test]
fn evidence_that_fits_in_no_packet_is_left_to_gossip() {
    let mut sender = Sender::new(1);
    assert!(sender.roster.announce(evidence(1, &"w".repeat(700))));
    let packets = sender.roster.tick(sender.now, &[]);
    let facts: Vec<&Fact> = packets
        .iter()
        .flat_map(|(_, packet)| &packet.facts)
        .collect();
    assert!(facts.iter().any(|fact| matches!(fact, Fact::Evidence(_))));
    assert!(!facts.iter().any(|fact| matches!(fact, Fact::Delivery(_))));
}
