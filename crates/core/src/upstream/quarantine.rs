//! Requests that crash the upstreams that run them.
//!
//! A broken connection alone is no evidence: the upstream is asked. If it answers with the same
//! incarnation, it did not crash, and the mark goes. If it does not answer, or another incarnation
//! does, the mark is evidence of a crash. A request with two marks is not run a third time: while
//! one of them is not settled it is a suspect, with two crashes it is in quarantine. A whole answer
//! acquits a request, so one that only stood beside the culprit is freed by its retry.
//!
//! The second mark is told to the other routers before it is settled, since the caller may resend
//! through one of them sooner than a dead host is given up on. They ask for themselves, and an
//! answer refutes the mark there as well.

use crate::id::Fingerprint;
use crate::id::Upstream;
use crate::map::Map;
use crate::unit::Incarnation;
use crate::unit::Millis;

/// Evidence that an upstream crashed while it ran a request.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Crash {
    /// Body of the request.
    pub body: Fingerprint,
    /// Where it ran.
    pub upstream: Upstream,
    /// Which start of the upstream ended.
    pub incarnation: Incarnation,
}

/// Standing of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Suspicion {
    /// Nothing is known against it.
    Clear,
    /// One upstream broke off, perhaps because of it.
    Marked,
    /// Two broke off, and at least one is still being asked.
    Suspect,
    /// Two crashed.
    Guilty {
        /// When the evidence expires.
        until: Millis,
    },
}

/// Crash evidence at one router.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    marks: Map<Fingerprint, Vec<Mark>>,
    found: Vec<Crash>,
}

#[derive(Clone, Debug, Eq, PartialEq)]
struct Mark {
    upstream: Upstream,
    incarnation: Incarnation,
    at: Millis,
    crashed: bool,
    told: bool,
}

impl Mark {
    fn crash(&self, body: Fingerprint) -> Crash {
        Crash {
            body,
            upstream: self.upstream.clone(),
            incarnation: self.incarnation,
        }
    }
}

/// Upstream crashes from which on a request is not run again.
pub const MOST_CRASHES: usize = 2;
const OPEN_MILLIS: Millis = Millis(60_000);
const MOST_BODIES: usize = 4_096;
const MOST_MARKS: usize = 8;
const MOST_FOUND: usize = 4_096;

impl Quarantine {
    /// Standing of a request.
    pub fn suspicion(&self, body: &Fingerprint, term: Millis) -> Suspicion {
        let Some(marks) = self.marks.get(body) else {
            return Suspicion::Clear;
        };
        let crashes = marks.iter().filter(|mark| mark.crashed);
        if crashes.clone().count() >= MOST_CRASHES {
            let last = crashes.map(|mark| mark.at).max().unwrap_or_default();
            return Suspicion::Guilty { until: last + term };
        }
        match marks.len() {
            0 => Suspicion::Clear,
            count if count < MOST_CRASHES => Suspicion::Marked,
            _ => Suspicion::Suspect,
        }
    }

    /// How many upstreams broke the request off, and when the last one did.
    pub fn breaks(&self, body: &Fingerprint) -> (usize, Millis) {
        let marks = self.marks.get(body);
        let last = marks.into_iter().flatten().map(|mark| mark.at).max();
        (marks.map_or(0, Vec::len), last.unwrap_or_default())
    }

    /// The connection broke while the upstream ran the request; whether it crashed is open.
    pub fn broke(&mut self, now: Millis, crash: Crash) {
        let body = crash.body;
        self.mark(now, crash, false);
        if self
            .marks
            .get(&body)
            .is_some_and(|marks| marks.len() >= MOST_CRASHES)
        {
            self.tell(body);
        }
    }

    fn tell(&mut self, body: Fingerprint) {
        let marks = self.marks.get_mut(&body).into_iter().flatten();
        for mark in marks.filter(|mark| !mark.told) {
            mark.told = true;
            self.found.push(mark.crash(body));
        }
        self.found.truncate(MOST_FOUND);
    }

    /// The connection broke, and the upstream can't be asked: the others are told at once.
    pub fn find(&mut self, now: Millis, crash: Crash) {
        self.mark(now, crash.clone(), true);
        self.found.push(crash);
        self.found.truncate(MOST_FOUND);
    }

    /// The upstream crashed while it ran the request. Returns whether that is news.
    pub fn crashed(&mut self, now: Millis, crash: Crash) -> bool {
        self.mark(now, crash, true)
    }

    /// All incarnations of the upstream up to `last` have ended: open marks become evidence.
    pub fn died(&mut self, upstream: &Upstream, last: Incarnation) {
        for (body, marks) in &mut self.marks {
            let open = marks
                .iter_mut()
                .filter(|mark| !mark.crashed && mark.upstream == *upstream)
                .filter(|mark| mark.incarnation <= last);
            for mark in open {
                mark.crashed = true;
                if !mark.told {
                    mark.told = true;
                    self.found.push(mark.crash(*body));
                }
            }
        }
        self.found.truncate(MOST_FOUND);
    }

    /// The upstream answered with this incarnation to a question sent at `sent`: marks made until
    /// then are void.
    pub fn alive(&mut self, upstream: &Upstream, incarnation: Incarnation, sent: Millis) {
        self.marks.retain(|_, marks| {
            marks.retain(|mark| {
                let refuted = mark.upstream == *upstream
                    && mark.incarnation == incarnation
                    && mark.at <= sent;
                !refuted
            });
            !marks.is_empty()
        });
    }

    /// The request had a whole answer.
    pub fn acquit(&mut self, body: &Fingerprint) {
        self.marks.remove(body);
    }

    /// Drops evidence older than `term`, and marks that nobody settled.
    pub fn expire(&mut self, now: Millis, term: Millis) {
        self.marks.retain(|_, marks| {
            marks.retain(|mark| match mark.crashed {
                true => now < mark.at + term,
                false => now < mark.at + OPEN_MILLIS,
            });
            !marks.is_empty()
        });
    }

    /// Moves the evidence found by this router since the last call to `out`.
    pub fn drain(&mut self, out: &mut Vec<Crash>) {
        out.append(&mut self.found);
    }

    fn mark(&mut self, now: Millis, crash: Crash, crashed: bool) -> bool {
        if self.marks.len() >= MOST_BODIES && !self.marks.contains_key(&crash.body) {
            self.evict();
        }
        let marks = self.marks.entry(crash.body).or_default();
        let known = marks
            .iter_mut()
            .find(|mark| mark.upstream == crash.upstream && mark.incarnation == crash.incarnation);
        if let Some(mark) = known {
            let news = crashed && !mark.crashed;
            mark.crashed |= crashed;
            mark.told |= crashed;
            mark.at = now;
            return news;
        }
        if marks.len() >= MOST_MARKS {
            return false;
        }
        marks.push(Mark {
            upstream: crash.upstream,
            incarnation: crash.incarnation,
            at: now,
            crashed,
            told: crashed,
        });
        crashed
    }

    /// Drops the request with the fewest crashes, and among these the oldest.
    fn evict(&mut self) {
        let least = self
            .marks
            .iter()
            .min_by_key(|(body, marks)| {
                let crashes = marks.iter().filter(|mark| mark.crashed).count();
                let last = marks.iter().map(|mark| mark.at).max();
                (crashes, last, **body)
            })
            .map(|(body, _)| *body);
        if let Some(body) = least {
            self.marks.remove(&body);
        }
    }
}
