//! Long random schedules over real nodes: lost, duplicated and reordered messages, crashes, lost
//! disks, snapshots, reads and membership changes. After the faults end, the group has to recover.
#![allow(clippy::unwrap_used)]

mod replica_world;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bolero::check;
use chestnutnotch_core::id::ReplicaId;
use chestnutnotch_core::replica::Campaign;
use chestnutnotch_core::replica::Chunk;
use chestnutnotch_core::replica::Input;
use chestnutnotch_core::replica::Message;
use chestnutnotch_core::replica::Mutations;
use chestnutnotch_core::replica::Output;
use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use replica_world::Bounds;
use replica_world::Violation;
use replica_world::World;
use replica_world::address;
use replica_world::last_durable;
use replica_world::snapshot_data;

/// Maximum number of packets in flight. Random ones are lost beyond it.
const MAX_PACKETS: usize = 60;

/// Maximum number of rounds in which a group without faults has to recover.
const MAX_RECOVERY_ROUNDS: usize = 200;

/// A random schedule in progress.
struct Schedule {
    world: World,
    /// Address of each replica. A replica that replaces another takes over its address.
    addresses: BTreeMap<ReplicaId, SocketAddr>,
    /// Identity of the next replica that is added.
    next_id: u64,
    /// Number of the latest read.
    last_read: u64,
}

impl Schedule {
    fn new(count: u64, mutations: Mutations) -> Self {
        let bounds = Bounds {
            delayed_sync: true,
            ..Bounds::default()
        };
        let addresses = (0..count).map(|id| (ReplicaId(id), address(id as u16)));
        Self {
            world: World::new(count, mutations, bounds),
            addresses: addresses.collect(),
            next_id: count,
            last_read: 0,
        }
    }

    fn pick_replica(&self, rng: &mut impl Rng) -> ReplicaId {
        let at = rng.random_range(0..self.world.hosts.len());
        *self.world.hosts.keys().nth(at).unwrap()
    }

    /// Performs one random event.
    fn random_step(&mut self, rng: &mut impl Rng) {
        let id = self.pick_replica(rng);
        match rng.random_range(0..100) {
            0..55 => self.deliver_random(rng),
            55..70 => self.world.sync(id),
            70..74 => {
                self.world.step(id, Input::LeaderTimeout);
                self.world.step(id, Input::Campaign(Campaign::PreVote));
            }
            74 => self.world.step(id, Input::Campaign(Campaign::Election)),
            75..80 => self.world.step(id, Input::Heartbeat),
            80 => self.world.step(id, Input::CheckQuorum),
            81..88 => self.propose(id, rng),
            88..92 => self.read(id),
            92..94 => self.compact(id, rng),
            94..96 => self.world.crash(id),
            96..98 => self.join(),
            98 => self.world.step(id, Input::TransferLeadership),
            _ => self.lose_disk(id),
        }
        while self.world.packets.len() > MAX_PACKETS {
            let at = rng.random_range(0..self.world.packets.len());
            let packet = self.world.packets.iter().nth(at).unwrap().clone();
            Arc::make_mut(&mut self.world.packets).remove(&packet);
        }
    }

    /// Delivers, duplicates or loses a random packet.
    fn deliver_random(&mut self, rng: &mut impl Rng) {
        if self.world.packets.is_empty() {
            return;
        }
        let at = rng.random_range(0..self.world.packets.len());
        let packet = self.world.packets.iter().nth(at).unwrap().clone();
        match rng.random_range(0..10) {
            0 => {
                Arc::make_mut(&mut self.world.packets).remove(&packet);
            }
            1 => {
                self.world.deliver(&packet);
                Arc::make_mut(&mut self.world.packets).insert(packet);
            }
            _ => self.world.deliver(&packet),
        }
    }

    fn propose(&mut self, id: ReplicaId, rng: &mut impl Rng) {
        let count = rng.random_range(1..4);
        let commands = (0..count).map(|_| rng.random::<[u8; 4]>().into());
        self.world.step(id, Input::Propose(commands.collect()));
    }

    fn read(&mut self, id: ReplicaId) {
        self.last_read += 1;
        let history = Arc::make_mut(&mut self.world.history);
        let last_committed = history.committed.keys().last().copied().unwrap_or_default();
        history.read_floors.insert(self.last_read, last_committed);
        self.world.step(id, Input::Read(self.last_read));
    }

    fn compact(&mut self, id: ReplicaId, rng: &mut impl Rng) {
        let index = self.world.hosts[&id].node.committed();
        let data = snapshot_data(index);
        let keep = rng.random_range(0..4);
        self.world.step(id, Input::Compact { index, data, keep });
    }

    /// Lets every replica outside the group ask all others to join.
    fn join(&mut self) {
        let ids: Vec<_> = self.world.hosts.keys().copied().collect();
        for id in &ids {
            if self.world.hosts[id].node.must_join() {
                let address = self.addresses[id];
                for other in &ids {
                    let join = Input::Join {
                        id: *id,
                        address,
                        founds: false,
                    };
                    self.world.step(*other, join);
                }
            }
        }
    }

    /// Replaces a replica by one with an empty disk, if the previous loss has been repaired.
    fn lose_disk(&mut self, id: ReplicaId) {
        if !self.is_repaired() {
            return;
        }
        let address = self.addresses.remove(&id).unwrap();
        self.world.hosts.remove(&id);
        let new_id = ReplicaId(self.next_id);
        self.next_id += 1;
        self.addresses.insert(new_id, address);
        self.world.add_blank(new_id);
    }

    /// Whether there is a leader of the newest term whose membership is committed and whose voters
    /// are exactly the existing replicas.
    fn is_repaired(&self) -> bool {
        let leaders = self.world.hosts.values().filter(|host| host.node.leads());
        let Some(leader) = leaders.max_by_key(|host| host.node.term()) else {
            return false;
        };
        let is_newest = self.world.history.leaders.keys().last() == Some(&leader.node.term());
        let committed = leader.node.log().members_index() <= leader.node.committed();
        let voters = leader.node.members().voters();
        is_newest && committed && voters.eq(self.world.hosts.keys().copied())
    }

    /// Runs the group without faults. Returns whether within the maximum number of rounds its
    /// membership is repaired and every replica has all committed entries, durable and known to be
    /// committed.
    fn recovers(&mut self) -> bool {
        for round in 0..MAX_RECOVERY_ROUNDS {
            for id in self.world.hosts.keys().copied().collect::<Vec<_>>() {
                self.world.sync(id);
                self.world.step(id, Input::Heartbeat);
            }
            for packet in self.world.packets.iter().cloned().collect::<Vec<_>>() {
                self.world.deliver(&packet);
            }
            self.join();
            if self.is_repaired() && self.is_caught_up() {
                return true;
            }
            if round % 10 == 0 {
                self.elect(round / 10);
            }
        }
        false
    }

    /// Checks all leaders, starts an election if none remains, and proposes a command.
    fn elect(&mut self, turn: usize) {
        let ids: Vec<_> = self.world.hosts.keys().copied().collect();
        for id in &ids {
            self.world.step(*id, Input::CheckQuorum);
            self.world.step(*id, Input::LeaderTimeout);
        }
        if !self.world.hosts.values().any(|host| host.node.leads()) {
            let id = ids[turn % ids.len()];
            self.world.step(id, Input::Campaign(Campaign::PreVote));
        }
        for id in ids {
            self.world.step(id, Input::Propose(vec![[9; 4].into()]));
        }
    }

    /// Whether every replica has all committed entries, durable and known to be committed.
    fn is_caught_up(&self) -> bool {
        let last_committed = self.world.history.committed.keys().last().copied().unwrap();
        let mut hosts = self.world.hosts.values();
        hosts.all(|host| {
            last_durable(&host.disk) >= last_committed && host.node.committed() >= last_committed
        })
    }
}

/// Runs a schedule and returns the first violation.
fn run(count: u64, mutations: Mutations, steps: usize, rng: &mut impl Rng) -> Option<Violation> {
    let mut schedule = Schedule::new(count, mutations);
    for _ in 0..steps {
        schedule.random_step(rng);
        if schedule.world.history.violation.is_some() {
            return schedule.world.history.violation;
        }
    }
    let recovered = schedule.recovers();
    let violation = schedule.world.history.violation;
    if !(violation.is_some() || recovered) {
        for (id, host) in &schedule.world.hosts {
            println!(
                "{id} term {} leads {} leader {:?} last {:?} base {:?} commit {} synced {} members {:?} disk {} blank {} pending {}",
                host.node.term(),
                host.node.leads(),
                host.node.leader(),
                host.node.log().last(),
                host.node.log().base(),
                host.node.committed(),
                host.node.synced(),
                host.node.members(),
                last_durable(&host.disk),
                host.node.is_blank(),
                host.pending.len()
            );
        }
        println!("packets {:?}", schedule.world.packets);
    }
    assert!(violation.is_some() || recovered, "no recovery");
    violation
}

/// Declares tests that run a schedule for each seed and must find no violation.
macro_rules! seeded {
    ($($name:ident: $count:literal replicas, $steps:literal steps, seeds $seeds:expr;)*) => {
        $(
            #[test]
            fn $name() {
                for seed in $seeds {
                    let mut rng = ChaCha8Rng::seed_from_u64(seed);
                    let violation = run($count, Mutations::default(), $steps, &mut rng);
                    assert_eq!(violation, None, "seed {seed}");
                }
            }
        )*
    };
}

/// Declares tests in which a mutation has to lead to a violation under one of 2000 seeds.
macro_rules! detects {
    ($($name:ident: $mutation:ident, $count:literal replicas;)*) => {
        $(
            #[test]
            fn $name() {
                let found = (0..2_000).find_map(|seed| {
                    let mut rng = ChaCha8Rng::seed_from_u64(seed);
                    let mutations = Mutations { $mutation: true, ..Mutations::default() };
                    let mut schedule = Schedule::new($count, mutations);
                    for _ in 0..600 {
                        schedule.random_step(&mut rng);
                    }
                    schedule.world.history.violation.map(|violation| (seed, violation))
                });
                println!("{}: {found:?}", stringify!($name));
                assert!(found.is_some());
            }
        )*
    };
}

seeded! {
    three_replicas: 3 replicas, 2_000 steps, seeds 0..600;
    five_replicas: 5 replicas, 3_000 steps, seeds 0..200;
}

detects! {
    three_replicas_voting_blindly: stale_candidates, 3 replicas;
    three_replicas_voting_twice: double_votes, 3 replicas;
    three_replicas_acknowledging_unsynced: unsynced_acks, 3 replicas;
    three_replicas_reading_unconfirmed: unconfirmed_reads, 3 replicas;
    three_replicas_promoting_early: lagging_promotions, 3 replicas;
}

#[test]
fn any_schedule() {
    check!()
        .with_type::<(bool, u64)>()
        .with_iterations(60)
        .for_each(|(five, seed)| {
            let count = if *five { 5 } else { 3 };
            let mut rng = ChaCha8Rng::seed_from_u64(*seed);
            assert_eq!(run(count, Mutations::default(), 1_500, &mut rng), None);
        });
}

#[test]
fn large_snapshot_goes_in_chunks() {
    let bounds = Bounds::default();
    let mut world = World::new(3, Mutations::default(), bounds);
    world.elect(0, &[0, 1]);
    let leader = ReplicaId(0);
    let index = world.hosts[&leader].node.committed();
    let data: Arc<[u8]> = (0..1_000_000_u32).map(|number| number as u8).collect();
    let input = Input::Compact {
        index,
        data: Arc::clone(&data),
        keep: 0,
    };
    world.step(leader, input);
    world.step(leader, Input::Heartbeat);
    let mut chunks = 0;
    while let Some(packet) = world.packets.first().cloned() {
        let is_chunk =
            matches!(&packet.message, Message::Chunk(Chunk { bytes, .. }) if !bytes.is_empty());
        chunks += usize::from(is_chunk);
        world.deliver(&packet);
    }
    let snapshot = world.hosts[&ReplicaId(2)].node.log().snapshot();
    assert_eq!(snapshot.at.index, index);
    assert_eq!(snapshot.data, data);
    assert!(chunks > 3);
}

/// A node handles any message of any term without a panic and without lowering its commit index.
/// The messages are real ones with up to three bytes changed.
#[test]
fn any_message() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut schedule = Schedule::new(3, Mutations::default());
    let mut samples = BTreeSet::new();
    for _ in 0..3_000 {
        schedule.random_step(&mut rng);
        let messages = schedule.world.packets.iter().map(|packet| &packet.message);
        samples.extend(messages.filter_map(|message| postcard::to_stdvec(message).ok()));
    }
    let samples: Vec<_> = samples.into_iter().collect();
    let hosts: Vec<_> = schedule.world.hosts.values().cloned().collect();
    let decoded = AtomicUsize::new(0);
    check!()
        .with_type::<(u16, Vec<(u16, u8)>)>()
        .with_iterations(50_000)
        .for_each(|(sample, changes)| {
            let mut bytes = samples[usize::from(*sample) % samples.len()].clone();
            for (at, value) in changes.iter().take(3) {
                let at = usize::from(*at) % bytes.len();
                bytes[at] = *value;
            }
            let Ok(message) = postcard::from_bytes::<Message>(&bytes) else {
                return;
            };
            decoded.fetch_add(1, Ordering::Relaxed);
            for host in &hosts {
                let mut node = host.node.clone();
                let committed = node.committed();
                let mut outputs: Vec<Output> = Vec::new();
                let message = message.clone();
                let from = ReplicaId(2);
                node.step(Input::Receive { from, message }, &mut outputs);
                node.step(Input::Heartbeat, &mut outputs);
                assert!(node.committed() >= committed);
            }
        });
    let decoded = decoded.into_inner();
    println!("{decoded} messages decoded, {} samples", samples.len());
    assert!(decoded > 1_000);
}
