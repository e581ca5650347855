//! The upstreams that a router knows, and the choice among them.

use std::net::SocketAddr;

use crate::id::DataCentre;
use crate::id::Fingerprint;
use crate::id::Host;
use crate::id::Upstream;
use crate::map::Map;
use crate::unit::Incarnation;
use crate::unit::Millis;

use super::announce::Announcement;
use super::announce::Kind;
use super::announce::Offer;
use super::announce::Phase;
use super::quarantine::Crash;
use super::status::Pool;
use super::status::Probe;
use super::status::RowStatus;
use super::status::Usage;

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
#[derive(Debug, Default)]
pub struct Table {
    _centre: Option<DataCentre>,
    rows: Map<Upstream, Row>,
    flying: Map<Attempt, Upstream>,
    last: Attempt,
}

#[derive(Debug)]
struct Row {
    said: Announcement,
    flying: u32,
}

impl Table {
    /// An empty table of a router in a data centre.
    pub fn new(centre: DataCentre) -> Self {
        Self {
            _centre: Some(centre),
            ..Self::default()
        }
    }

    /// Takes in an announcement. Returns whether it was news, and so has to be spread.
    pub fn observe(&mut self, _now: Millis, said: Announcement) -> bool {
        let Some(row) = self.rows.get_mut(&said.upstream) else {
            let row = Row { flying: 0, said };
            self.rows.insert(row.said.upstream.clone(), row);
            return true;
        };
        let newer = (said.incarnation, said.seq) > (row.said.incarnation, row.said.seq);
        if newer {
            row.said = said;
        }
        newer
    }

    /// Chooses an upstream and counts the attempt.
    ///
    /// # Errors
    ///
    /// Says why there is none.
    pub fn choose(&mut self, _now: Millis, wanted: &Wanted) -> Result<Pick, Absent> {
        let row = self
            .rows
            .values_mut()
            .filter(|row| offers(&row.said.offer, &wanted.kind))
            .filter(|row| row.said.phase == Phase::Ready)
            .filter(|row| !wanted.avoid.contains(&row.said.upstream))
            .min_by_key(|row| row.flying + row.said.load.waiting)
            .ok_or(Absent::NoneKnown)?;
        row.flying += 1;
        self.last += 1;
        self.flying.insert(self.last, row.said.upstream.clone());
        Ok(Pick {
            attempt: self.last,
            upstream: row.said.upstream.clone(),
            incarnation: row.said.incarnation,
            address: row.said.address,
            ask: false,
        })
    }

    /// Counts the end of an attempt.
    pub fn end(&mut self, _now: Millis, attempt: Attempt, _ended: Ended) {
        let Some(upstream) = self.flying.remove(&attempt) else {
            return;
        };
        if let Some(row) = self.rows.get_mut(&upstream) {
            row.flying = row.flying.saturating_sub(1);
        }
    }

    /// The answer to asking an upstream directly; `None` if it did not answer.
    pub fn asked(
        &mut self,
        now: Millis,
        _upstream: &Upstream,
        _incarnation: Incarnation,
        said: Option<Announcement>,
    ) {
        if let Some(said) = said {
            self.observe(now, said);
        }
    }

    /// Takes in evidence that a request crashed an upstream. Returns whether it has to be spread.
    pub fn crash(
        &mut self,
        _now: Millis,
        _body: Fingerprint,
        _upstream: &Upstream,
        _incarnation: Incarnation,
    ) -> bool {
        false
    }

    /// Moves the crash evidence that this router found by itself since the last call to `out`.
    pub fn crashes(&mut self, _out: &mut Vec<Crash>) {}

    /// Upstreams to ask now: their answers go to [`Table::asked`].
    pub fn probes(&mut self, _now: Millis) -> Vec<Probe> {
        Vec::new()
    }

    /// Lets time pass: drops what has expired. Due about every second.
    pub fn tick(&mut self, _now: Millis) {}

    /// State of each known upstream, for `status` and metrics.
    pub fn rows(&self, _now: Millis) -> impl Iterator<Item = RowStatus> {
        self.rows.values().map(|row| RowStatus {
            upstream: row.said.upstream.clone(),
            incarnation: row.said.incarnation,
            centre: row.said.centre.clone(),
            usage: Usage::Used,
            flying: row.flying,
            load: row.said.load,
            slots: row.said.slots,
        })
    }

    /// How many requests this router may run at once, by the kinds that share upstreams.
    ///
    /// `routers` is the number of routers that send work to the same upstreams.
    pub fn pools(&self, _now: Millis, _routers: u32) -> Vec<Pool> {
        self.rows
            .values()
            .map(|row| Pool {
                kinds: kinds(&row.said.offer),
                slots: row.said.slots,
            })
            .collect()
    }

    /// Announcements that changed after `cursor` and that `peer` keeps in full, and the next cursor.
    pub fn announcements_for(&self, _peer: &Host, _cursor: u64) -> (u64, Vec<&Announcement>) {
        (0, self.announcements().collect())
    }

    /// Announcements that another router should hear: the newest of each upstream.
    pub fn announcements(&self) -> impl Iterator<Item = &Announcement> {
        self.rows.values().map(|row| &row.said)
    }
}

fn kinds(offer: &Offer) -> Vec<Kind> {
    match offer {
        Offer::Models(all) => all
            .iter()
            .map(|one| Kind::Model(one.model.clone(), one.adapter.clone()))
            .collect(),
        Offer::Service(one) => vec![Kind::Service(one.clone())],
    }
}

fn offers(offer: &Offer, kind: &Kind) -> bool {
    match (offer, kind) {
        (Offer::Models(all), Kind::Model(model, adapter)) => all
            .iter()
            .any(|one| one.model == *model && one.adapter == *adapter),
        (Offer::Service(one), Kind::Service(service)) => one == service,
        _ => false,
    }
}
