//! The upstreams that a router knows, and the choice among them.

use std::net::SocketAddr;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::id::DataCentre;
use crate::id::Fingerprint;
use crate::id::Host;
use crate::id::Upstream;
use crate::map::Map;
use crate::unit::Incarnation;
use crate::unit::Millis;

use super::announce::Announcement;
use super::announce::Kind;
use super::announce::Load;
use super::announce::Phase;
use super::candidate::usable;
use super::choice::View;
use super::pool;
use super::quarantine::Crash;
use super::quarantine::Quarantine;
use super::quarantine::Suspicion;
use super::row::Row;
use super::rules::Rules;
use super::spread::Keepers;
use super::status::Pool;
use super::status::Probe;
use super::status::RowStatus;

/// Number of one attempt at one router.
pub type Attempt = u64;

/// What a request needs from an upstream.
#[derive(Clone, Debug)]
pub struct Wanted {
    /// The kind of upstream.
    pub kind: Kind,
    /// Precedence; higher goes first.
    pub priority: u8,
    /// Hashes of the prompt's prefixes, shortest first; empty for plain services.
    pub prefixes: Vec<u64>,
    /// Tokens by which each prefix is longer than the one before. With it, the choice is by the
    /// expected wait; without, by load and cached share.
    pub sizes: Vec<u64>,
    /// Number of the prefix, from zero, by which all routers agree on an upstream without a word.
    pub home: Option<usize>,
    /// Body, for the crash quarantine.
    pub body: Fingerprint,
    /// Upstreams already tried.
    pub avoid: Vec<Upstream>,
}

/// A chosen upstream. The attempt is counted until [`Table::end`].
#[derive(Clone, Debug)]
pub struct Pick {
    /// Number of the attempt.
    pub attempt: Attempt,
    /// Which upstream.
    pub upstream: Upstream,
    /// Which start of it.
    pub incarnation: Incarnation,
    /// Where to connect.
    pub address: SocketAddr,
    /// Whether it has to be asked for its phase before this use.
    pub ask: bool,
}

/// Why no upstream was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Absent {
    /// None offers what is wanted.
    #[error("no upstream offers it")]
    NoneKnown,
    /// All that offer it are leaving, stale, ejected or were tried.
    #[error("no upstream that offers it is usable")]
    NoneUsable,
    /// All usable ones are full.
    #[error("every upstream that offers it is full")]
    Full,
    /// The request crashed upstreams before and is not run again.
    #[error("the request is in quarantine")]
    Quarantined {
        /// When the quarantine ends, by the router's clock.
        until: Millis,
    },
    /// The request broke off at two upstreams, and whether they crashed is being asked.
    #[error("the request broke off twice and its upstreams are being asked")]
    Suspect {
        /// When to try again, by the router's clock; the answer to the caller is final.
        until: Millis,
    },
}

/// How an attempt ended, as far as the upstream's standing is concerned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ended {
    /// A whole answer.
    Whole,
    /// Refused for overload.
    Overload,
    /// The connection was not made.
    Unreachable,
    /// The connection broke, or the answer made no sense, after it was sent.
    Broken,
    /// No answer in time.
    Late,
    /// The caller went away, or another end that says nothing of the upstream.
    Neutral,
}

/// The upstreams that one router knows.
#[derive(Clone, Debug)]
pub struct Table {
    centre: DataCentre,
    rules: Rules,
    prefixes: usize,
    rng: ChaCha8Rng,
    rows: Map<Upstream, Row>,
    flights: Map<Attempt, Flight>,
    last: Attempt,
    quarantine: Quarantine,
    keepers: Keepers,
    routers: u32,
    change: u64,
    /// When any upstream was last heard of.
    latest: Millis,
}

#[derive(Clone, Debug)]
struct Flight {
    upstream: Upstream,
    incarnation: Incarnation,
    body: Fingerprint,
    marked: bool,
    /// Prompt tokens to be read before the answer begins.
    unread: u64,
}

const MOST_PROBES: usize = 32;

/// How late a heartbeat arrives at most, as a rule: a later one shows that its sender did not crash
/// before.
const LATE_MILLIS: Millis = Millis(2_000);
const MOST_EVENTS: usize = 256;

impl Default for Table {
    fn default() -> Self {
        Self::new(DataCentre::from(""))
    }
}

impl Table {
    /// An empty table of a router in a data centre.
    pub fn new(centre: DataCentre) -> Self {
        Self::with(centre, Rules::default(), 0)
    }

    /// An empty table with settings and a seed. Routers need different seeds.
    pub fn with(centre: DataCentre, rules: Rules, seed: u64) -> Self {
        Self {
            centre,
            rules,
            prefixes: rules.prefixes,
            rng: ChaCha8Rng::seed_from_u64(seed),
            rows: Map::default(),
            flights: Map::default(),
            last: 0,
            quarantine: Quarantine::default(),
            keepers: Keepers::default(),
            routers: 0,
            change: 0,
            latest: Millis::ZERO,
        }
    }

    /// Names the routers of this data centre, this one included.
    pub fn peers(&mut self, hosts: impl IntoIterator<Item = Host>) {
        self.keepers = Keepers::new(hosts);
    }

    /// Takes in an announcement. Returns whether it was news, and so has to be spread.
    pub fn observe(&mut self, now: Millis, mut said: Announcement) -> bool {
        said.cached.truncate(MOST_EVENTS);
        said.evicted.truncate(MOST_EVENTS);
        let upstream = said.upstream.clone();
        let incarnation = said.incarnation;
        let known = self.rows.get(&upstream).map(|row| row.said.incarnation);
        let is_leaving = said.phase == Phase::Leaving;
        let address = said.address;
        if !self.store(now, said) {
            return false;
        }
        self.latest = self.latest.max(now);
        self.take_over(address);
        self.change += 1;
        if let Some(row) = self.rows.get_mut(&upstream) {
            row.change = self.change;
        }
        if self.rules.passive && known == Some(incarnation) && !is_leaving {
            let sent = now.saturating_sub(LATE_MILLIS);
            self.quarantine.alive(&upstream, incarnation, sent);
        }
        if known != Some(incarnation)
            && let Some(last) = incarnation.0.checked_sub(1)
        {
            self.quarantine.died(&upstream, Incarnation(last));
        }
        true
    }

    /// Where an address has changed hands, only the latest start at it is still there.
    fn take_over(&mut self, address: SocketAddr) {
        if !self.rules.passive {
            return;
        }
        let here = |row: &&mut Row| row.said.address == address;
        let latest = self.rows.values().filter(|row| row.said.address == address);
        let Some(latest) = latest.map(|row| row.said.incarnation).max() else {
            return;
        };
        for row in self.rows.values_mut().filter(here) {
            if row.said.incarnation < latest {
                row.said.phase = Phase::Leaving;
            }
        }
    }

    /// Takes in the load that an upstream gave with an answer.
    pub fn load(&mut self, now: Millis, upstream: &Upstream, incarnation: Incarnation, load: Load) {
        if let Some(row) = self.rows.get_mut(upstream)
            && row.said.incarnation == incarnation
        {
            row.said.load = load;
            row.report(now, &self.rules);
        }
    }

    /// The answer to an attempt has begun: its prompt is read.
    pub fn begun(&mut self, attempt: Attempt) {
        let Some(flight) = self.flights.get_mut(&attempt) else {
            return;
        };
        let read = std::mem::take(&mut flight.unread);
        if let Some(row) = self.rows.get_mut(&flight.upstream)
            && row.said.incarnation == flight.incarnation
        {
            row.unread = row.unread.saturating_sub(read);
        }
    }

    fn store(&mut self, now: Millis, said: Announcement) -> bool {
        if let Some(row) = self.rows.get_mut(&said.upstream) {
            return row.observe(now, said, &self.rules);
        }
        if self.rows.len() >= self.rules.rows && !self.evict(now) {
            return false;
        }
        let row = Row::new(now, said, &self.rules);
        self.rows.insert(row.said.upstream.clone(), row);
        self.rules.prefixes = self.prefixes.min(self.rules.room / self.rows.len());
        true
    }

    /// Drops the row that was not heard of for longest, if it is stale.
    fn evict(&mut self, now: Millis) -> bool {
        let oldest = self
            .rows
            .values()
            .filter(|row| row.stale(now, &self.rules) && row.flying == 0)
            .min_by_key(|row| (row.heard, &row.said.upstream))
            .map(|row| row.said.upstream.clone());
        oldest.is_some_and(|upstream| self.rows.remove(&upstream).is_some())
    }

    /// Chooses an upstream and counts the attempt.
    ///
    /// # Errors
    ///
    /// Says why there is none.
    pub fn choose(&mut self, now: Millis, wanted: &Wanted) -> Result<Pick, Absent> {
        let marked = self.admit(now, &wanted.body)?;
        let view = View {
            now,
            rules: &self.rules,
            centre: &self.centre,
            wanted,
            routers: self.routers,
            marked,
            latest: self.latest,
        };
        let (rows, ask) = usable(&self.rows, &view)?;
        let index = view
            .choose(&rows, &mut self.rng)
            .ok_or(Absent::NoneUsable)?;
        let upstream = rows[index].said.upstream.clone();
        let unread = view.unread(rows[index]);
        self.take(now, upstream, wanted, marked, ask, unread)
            .ok_or(Absent::NoneUsable)
    }

    /// Whether the request broke an upstream off once, so that it may run once more.
    pub fn is_marked(&self, body: &Fingerprint) -> bool {
        let suspicion = self.quarantine.suspicion(body, self.rules.quarantine);
        suspicion == Suspicion::Marked
    }

    /// Whether the request is marked by an earlier crash.
    fn admit(&self, now: Millis, body: &Fingerprint) -> Result<bool, Absent> {
        if self.rules.passive {
            let (breaks, last) = self.quarantine.breaks(body);
            let until = last + self.rules.quarantine;
            return match breaks >= self.rules.breaks && now < until {
                true => Err(Absent::Quarantined { until }),
                false => Ok(breaks > 0),
            };
        }
        match self.quarantine.suspicion(body, self.rules.quarantine) {
            Suspicion::Clear => Ok(false),
            Suspicion::Marked => Ok(true),
            Suspicion::Suspect => Err(Absent::Suspect {
                until: now + self.rules.settle,
            }),
            Suspicion::Guilty { until } => Err(Absent::Quarantined { until }),
        }
    }

    fn take(
        &mut self,
        now: Millis,
        upstream: Upstream,
        wanted: &Wanted,
        marked: bool,
        ask: bool,
        unread: u64,
    ) -> Option<Pick> {
        let row = self.rows.get_mut(&upstream)?;
        row.flying += 1;
        row.unread += unread;
        row.marked += u32::from(marked);
        row.prefixes.routed(now, &wanted.prefixes, &self.rules);
        if ask {
            row.ask(now);
        }
        self.last += 1;
        let flight = Flight {
            upstream: upstream.clone(),
            incarnation: row.said.incarnation,
            body: wanted.body,
            marked,
            unread,
        };
        self.flights.insert(self.last, flight);
        Some(Pick {
            attempt: self.last,
            upstream,
            incarnation: row.said.incarnation,
            address: row.said.address,
            ask,
        })
    }

    /// Counts the end of an attempt.
    pub fn end(&mut self, now: Millis, attempt: Attempt, ended: Ended) {
        let Some(flight) = self.flights.remove(&attempt) else {
            return;
        };
        self.judge(now, &flight, ended);
        let Some(row) = self.rows.get_mut(&flight.upstream) else {
            return;
        };
        if row.said.incarnation != flight.incarnation {
            return;
        }
        row.flying = row.flying.saturating_sub(1);
        row.unread = row.unread.saturating_sub(flight.unread);
        row.marked = row.marked.saturating_sub(u32::from(flight.marked));
        match ended {
            Ended::Whole => row.worked(now),
            Ended::Overload => row.breaker.overload(now, &self.rules),
            Ended::Unreachable | Ended::Broken => {
                row.doubt = true;
                row.breaker.fault(now, &self.rules);
                if ended == Ended::Unreachable && self.rules.passive {
                    row.silent = true;
                    row.last = Some(now);
                }
            }
            Ended::Late => {
                row.breaker.late(now, &self.rules);
            }
            Ended::Neutral => {}
        }
    }

    /// What the end of an attempt says of its request.
    fn judge(&mut self, now: Millis, flight: &Flight, ended: Ended) {
        let crash = Crash {
            body: flight.body,
            upstream: flight.upstream.clone(),
            incarnation: flight.incarnation,
        };
        match ended {
            Ended::Whole => self.quarantine.acquit(&flight.body),
            Ended::Broken if self.rules.passive => self.quarantine.find(now, crash),
            Ended::Broken => {
                self.quarantine.broke(now, crash);
                if self.replaced(&flight.upstream, flight.incarnation) {
                    self.quarantine.died(&flight.upstream, flight.incarnation);
                }
            }
            Ended::Unreachable => self.quarantine.died(&flight.upstream, flight.incarnation),
            Ended::Overload | Ended::Late | Ended::Neutral => {}
        }
    }

    fn replaced(&self, upstream: &Upstream, incarnation: Incarnation) -> bool {
        self.rows
            .get(upstream)
            .is_some_and(|row| row.said.incarnation > incarnation)
    }

    /// The answer to asking an upstream directly; `None` if it did not answer.
    pub fn asked(
        &mut self,
        now: Millis,
        upstream: &Upstream,
        incarnation: Incarnation,
        said: Option<Announcement>,
    ) {
        let sent = self.rows.get_mut(upstream).and_then(|row| row.asked.take());
        // Another upstream may have taken over the address.
        let own = said.as_ref().filter(|said| said.upstream == *upstream);
        let found = own.map(|said| said.incarnation);
        if let Some(said) = said {
            self.observe(now, said);
        }
        let Some(found) = found else {
            self.silent(upstream, incarnation);
            return;
        };
        if let Some(row) = self.rows.get_mut(upstream)
            && row.said.incarnation == found
        {
            row.answered(now);
        }
        if let Some(sent) = sent {
            self.quarantine.alive(upstream, found, sent);
        }
    }

    fn silent(&mut self, upstream: &Upstream, incarnation: Incarnation) {
        if let Some(row) = self.rows.get_mut(upstream)
            && row.said.incarnation == incarnation
        {
            row.silent = true;
            row.doubt = false;
        }
        self.quarantine.died(upstream, incarnation);
    }

    /// Takes in evidence that a request crashed an upstream. Returns whether it has to be spread.
    pub fn crash(
        &mut self,
        now: Millis,
        body: Fingerprint,
        upstream: &Upstream,
        incarnation: Incarnation,
    ) -> bool {
        let crash = Crash {
            body,
            upstream: upstream.clone(),
            incarnation,
        };
        let news = self.quarantine.crashed(now, crash);
        if let Some(row) = self.rows.get_mut(upstream) {
            // An answer of the same incarnation would refute the evidence.
            row.doubt |= news && row.said.incarnation == incarnation;
        }
        news
    }

    /// Moves the crash evidence that this router found by itself since the last call to `out`.
    pub fn crashes(&mut self, out: &mut Vec<Crash>) {
        self.quarantine.drain(out);
    }

    /// Upstreams to ask now: their answers go to [`Table::asked`].
    pub fn probes(&mut self, now: Millis) -> Vec<Probe> {
        let rules = &self.rules;
        self.rows
            .values_mut()
            .filter(|row| row.due(now, rules))
            .take(MOST_PROBES)
            .map(|row| {
                row.ask(now);
                Probe {
                    upstream: row.said.upstream.clone(),
                    incarnation: row.said.incarnation,
                    address: row.said.address,
                }
            })
            .collect()
    }

    /// Lets time pass: drops what has expired. Due about every second.
    pub fn tick(&mut self, now: Millis) {
        let forget = self.rules.forget;
        if self.rules.passive {
            self.rows.values_mut().for_each(|row| row.age(now));
        }
        self.rows
            .retain(|_, row| now < row.heard + forget || row.flying > 0);
        self.quarantine.expire(now, self.rules.quarantine);
    }

    /// State of each known upstream, for `status` and metrics.
    pub fn rows(&self, now: Millis) -> impl Iterator<Item = RowStatus> {
        self.rows.values().map(move |row| RowStatus {
            upstream: row.said.upstream.clone(),
            incarnation: row.said.incarnation,
            centre: row.said.centre.clone(),
            usage: row.usage(now, self.latest, &self.rules, self.routers),
            flying: row.flying,
            load: row.said.load,
            slots: row.said.slots,
        })
    }

    /// How many requests this router may run at once, by the kinds that share upstreams.
    ///
    /// `routers` is the number of routers that send work to the same upstreams; each keeps its even
    /// part of the slots, in later choices as well.
    pub fn pools(&mut self, now: Millis, routers: u32) -> Vec<Pool> {
        self.routers = routers;
        pool::pools(self.rows.values(), now, &self.rules, routers)
    }

    /// Announcements that changed after `cursor` and that `peer` keeps in full, and the next cursor.
    ///
    /// A leave goes to every peer.
    pub fn announcements_for(&self, peer: &Host, cursor: u64) -> (u64, Vec<&Announcement>) {
        let all = self.rows.len() <= self.rules.full;
        let news = self
            .rows
            .values()
            .filter(|row| row.change > cursor)
            .filter(|row| {
                all || row.said.phase == Phase::Leaving
                    || self
                        .keepers
                        .keeps(peer, &row.said.upstream, self.rules.copies)
            })
            .map(|row| &row.said)
            .collect();
        (self.change, news)
    }

    /// Announcements that another router should hear: the newest of each upstream.
    pub fn announcements(&self) -> impl Iterator<Item = &Announcement> {
        self.rows.values().map(|row| &row.said)
    }
}
