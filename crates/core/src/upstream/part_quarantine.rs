//! Quarantine of prompt parts that crash the upstreams that begin to answer on them.
//!
//! A crash ends all attempts at an upstream, and no router sees which of them caused it. So the crash
//! counts against the shared prompt parts of each attempt that may have: fully if its answer had
//! begun without a whole event, half if it was waiting or its first event had just arrived. An answer
//! that goes on for a while proves the parts of its prompt sound, and dismisses the crashes from
//! before it began. Parts that many requests share are proved sound again and again; a part that
//! crashes upstreams never is.
//!
//! Of the parts with enough crashes against them, those that were never proved sound are blamed
//! first, then those with most crashes. Crashes that a blamed part explains do not count against the
//! others. Parts that came together at all crashes can't be told apart, so only requests with all of
//! them are refused, until one that lacks some of them is answered or crashes an upstream as well.
//!
//! Evidence and proofs are exchanged between routers.

use std::cmp::Reverse;
use std::hash::Hash;
use std::hash::Hasher;

use rustc_hash::FxHasher;

use crate::id::PromptPart;
use crate::id::Upstream;
use crate::map::Map;
use crate::unit::Incarnation;
use crate::unit::Millis;

use super::evidence::Evidence;
use super::evidence::Finding;
use super::evidence::Proof;
use super::evidence::Stage;
use super::evidence::Subject;

/// Evidence against prompt parts at one router.
#[derive(Clone, Debug)]
pub(super) struct PartQuarantine {
    /// How long crashes are kept.
    ttl: Millis,
    /// Random number of this router, by which its releases differ from those of others.
    seed: u64,
    /// Crashes by part.
    crashes: Map<PromptPart, Vec<PartCrash>>,
    /// When the last answer began that proved a part sound.
    proofs: Map<PromptPart, Millis>,
    /// Parts that are quarantined, apart or together.
    quarantined: Vec<BlamedParts>,
    /// What the other routers have yet to be told.
    outbox: Vec<Finding>,
    /// Changes of `quarantined`.
    changes: Vec<QuarantineChange>,
    /// Number of crashes that were dismissed.
    dismissed: u64,
}

/// A crash that counts against a part.
#[derive(Clone, Debug)]
struct PartCrash {
    upstream: Upstream,
    incarnation: Incarnation,
    at: Millis,
    stage: Stage,
    /// Whether an attempt of this router broke off.
    is_own: bool,
    /// Whether other routers know of it, or are to be told.
    is_known: bool,
    /// Whether a proof or a heartbeat spoke against it. It is kept for a while, so that evidence on
    /// its way does not bring it back.
    is_dismissed: bool,
}

impl PartCrash {
    fn is_at(&self, upstream: &Upstream, incarnation: Incarnation) -> bool {
        self.upstream == *upstream && self.incarnation == incarnation
    }

    fn evidence(&self, now: Millis, part: PromptPart) -> Evidence {
        Evidence {
            subject: Subject::Part(part),
            upstream: self.upstream.clone(),
            incarnation: self.incarnation,
            stage: self.stage,
            age: now.saturating_sub(self.at),
        }
    }
}

/// Parts of which at least one crashes upstreams. Requests with all of them are refused.
#[derive(Clone, Debug, Eq, PartialEq)]
struct BlamedParts {
    parts: Vec<PromptPart>,
    /// When they are released.
    until: Millis,
}

/// Prompt parts that were quarantined or released.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QuarantineChange {
    /// The parts. Requests with all of them are concerned.
    pub parts: Vec<PromptPart>,
    /// Whether they are quarantined now.
    pub quarantined: bool,
}

/// A part with enough crashes to be quarantined, unless other parts explain them.
struct Suspect<'a> {
    part: PromptPart,
    /// Whether it was proved sound lately.
    is_proved: bool,
    crashes: Vec<&'a PartCrash>,
}

impl Suspect<'_> {
    fn has(&self, crash: &PartCrash) -> bool {
        let mut crashes = self.crashes.iter();
        crashes.any(|own| own.is_at(&crash.upstream, crash.incarnation))
    }

    /// Returns whether another part came with this one at all crashes but [`MAX_UNLIKE`].
    fn is_alike(&self, other: &Self) -> bool {
        let apart = self.crashes.iter().filter(|crash| !other.has(crash));
        self.is_proved == other.is_proved && apart.count() <= MAX_UNLIKE
    }
}

/// Number of crashes of a part from which on it is told apart from another one that was at the others.
/// Evidence of a single one may have been lost.
const MAX_UNLIKE: usize = 1;
/// Points from which on a part is quarantined: three crashes as answers began, or five in all.
const POINT_LIMIT: u32 = 5;
/// The same for a part that was proved sound within [`PROOF_TTL`]; it takes more to outweigh that.
const PROVED_POINT_LIMIT: u32 = 10;
/// How long a proof raises the limit.
const PROOF_TTL: Millis = Millis(60_000);
/// Time in which another proof of a sound part that many requests share arrives. A part with a proof is
/// not quarantined before it has passed.
const PROOF_WAIT: Millis = Millis(3_000);
/// Number of crashes from which on a part is quarantined for as long as evidence is kept. A sound part
/// is unlikely to see so many without a proof in between.
const CERTAIN_CRASHES: usize = 4;
/// Shortest quarantine of a part with fewer crashes, which may be a sound part that was in the wrong
/// place.
const SHORT_QUARANTINE: Millis = Millis(15_000);
/// Time over which the routers release such a part one after the other, so that the first ones prove it
/// sound or find that it still crashes upstreams, before all of them send requests with it.
const RELEASE_SPREAD: Millis = Millis(30_000);
/// Attempts of one router that are in flight at the same time and break off at several upstreams within
/// this time had a common cause, such as a reset of its connections. Only the first of them counts.
const COINCIDENCE: Millis = Millis(20);
/// How long a dismissed crash is kept. Evidence is on its way for a few seconds.
const DISMISSED_TTL: Millis = Millis(60_000);
/// Time from which on evidence of a dismissed crash tells of another break at the same incarnation. The
/// age of evidence is off by up to a second at each router that passes it on.
const REPEAT_INTERVAL: Millis = Millis(5_000);
/// Maximum number of crashes kept for one part.
const MAX_CRASHES: usize = 64;
/// Maximum number of crashes of one part that anti-entropy resends.
const MAX_RESENT_CRASHES: usize = 8;
/// Maximum number of parts with crashes.
const MAX_PARTS: usize = 2_048;
/// Maximum number of parts with proofs; further ones are not recorded.
const MAX_PROOFS: usize = 8_192;
/// Maximum number of findings that wait to be sent; further ones are dropped.
const MAX_OUTBOX: usize = 4_096;

impl PartQuarantine {
    /// Returns a quarantine without evidence. `ttl` is how long crashes are kept; `seed` has to differ
    /// between routers.
    pub fn new(ttl: Millis, seed: u64) -> Self {
        Self {
            ttl,
            seed,
            crashes: Map::default(),
            proofs: Map::default(),
            quarantined: Vec::new(),
            outbox: Vec::new(),
            changes: Vec::new(),
            dismissed: 0,
        }
    }

    /// Returns when a request with these parts is released, if it is quarantined.
    pub fn until(&self, now: Millis, parts: &[PromptPart]) -> Option<Millis> {
        let matching = self
            .quarantined
            .iter()
            .filter(|blamed| now < blamed.until)
            .filter(|blamed| blamed.parts.iter().all(|part| parts.contains(part)));
        matching.map(|blamed| blamed.until).max()
    }

    /// Records that an upstream broke off an attempt with these parts that began at `sent`.
    pub fn record_break(
        &mut self,
        now: Millis,
        parts: &[PromptPart],
        (upstream, incarnation): (&Upstream, Incarnation),
        sent: Millis,
        stage: Stage,
    ) {
        for part in parts {
            let known = self.crashes.get(part).into_iter().flatten();
            let mut others =
                known.filter(|crash| crash.is_own && !crash.is_at(upstream, incarnation));
            if others.any(|crash| now < crash.at + COINCIDENCE && sent < crash.at) {
                continue;
            }
            let crash = PartCrash {
                upstream: upstream.clone(),
                incarnation,
                at: now,
                stage,
                is_own: true,
                is_known: false,
                is_dismissed: false,
            };
            self.add(*part, crash);
            self.report(now, *part);
        }
        self.assign_blame(now);
    }

    /// Records that an answer which began at `begun` proved these parts sound.
    pub fn record_sound(&mut self, now: Millis, parts: &[PromptPart], begun: Millis) {
        let mut any_dismissed = false;
        for part in parts {
            let dismissed = self.prove(*part, begun);
            any_dismissed |= !dismissed.is_empty();
            if dismissed.iter().any(|crash| crash.is_known) {
                let age = now.saturating_sub(begun);
                self.send(Finding::Proof(Proof { part: *part, age }));
            }
        }
        if any_dismissed {
            self.assign_blame(now);
        }
    }

    /// Applies evidence of another router against a part. Returns whether it was new.
    pub fn observe(&mut self, now: Millis, part: PromptPart, evidence: &Evidence) -> bool {
        let crash = PartCrash {
            upstream: evidence.upstream.clone(),
            incarnation: evidence.incarnation,
            at: now.saturating_sub(evidence.age),
            stage: evidence.stage,
            is_own: false,
            is_known: true,
            is_dismissed: false,
        };
        let is_new = self.add(part, crash);
        if is_new {
            self.assign_blame(now);
        }
        is_new
    }

    /// Applies another router's proof that a part is sound. Returns whether it dismissed crashes.
    pub fn observe_sound(&mut self, now: Millis, proof: &Proof) -> bool {
        let was_proved = self.is_proved(now, proof.part);
        let begun = now.saturating_sub(proof.age);
        let any_dismissed = !self.prove(proof.part, begun).is_empty();
        if any_dismissed || !was_proved && self.crashes.contains_key(&proof.part) {
            self.assign_blame(now);
        }
        any_dismissed
    }

    /// Dismisses the crashes of an incarnation recorded until `sent`, when it was running.
    pub fn refute(
        &mut self,
        now: Millis,
        upstream: &Upstream,
        incarnation: Incarnation,
        sent: Millis,
    ) {
        let mut count = 0;
        for crash in self.crashes.values_mut().flatten() {
            let is_refuted = crash.is_at(upstream, incarnation) && crash.at <= sent;
            if is_refuted && !crash.is_dismissed {
                crash.is_dismissed = true;
                count += 1;
            }
        }
        if count > 0 {
            self.dismissed += count;
            self.assign_blame(now);
        }
    }

    /// Removes expired crashes and proofs, and releases parts.
    pub fn expire(&mut self, now: Millis) {
        for crashes in self.crashes.values_mut() {
            crashes.retain(|crash| match crash.is_dismissed {
                true => now < crash.at + DISMISSED_TTL,
                false => now < crash.at + self.ttl,
            });
        }
        self.crashes.retain(|_, crashes| !crashes.is_empty());
        self.proofs.retain(|_, at| now < *at + PROOF_TTL);
        self.assign_blame(now);
    }

    /// Returns what a router that missed it has to know: evidence against the parts with enough
    /// crashes, and proofs.
    pub fn known_findings(&self, now: Millis) -> Vec<Finding> {
        let mut found = Vec::new();
        for (part, crashes) in &self.crashes {
            if total_points(counting(crashes)) < POINT_LIMIT {
                continue;
            }
            let proof = self
                .proofs
                .get(part)
                .filter(|begun| now < **begun + PROOF_TTL);
            let is_blamed = |blamed: &BlamedParts| blamed.parts.contains(part);
            if let Some(begun) = proof {
                let age = now.saturating_sub(*begun);
                found.push(Finding::Proof(Proof { part: *part, age }));
            }
            if proof.is_none() || self.quarantined.iter().any(is_blamed) {
                let crashes = counting(crashes).take(MAX_RESENT_CRASHES);
                found.extend(crashes.map(|crash| Finding::Evidence(crash.evidence(now, *part))));
            }
        }
        found
    }

    /// Moves what the other routers have yet to be told to `out`.
    pub fn drain_outbox(&mut self, out: &mut Vec<Finding>) {
        out.append(&mut self.outbox);
    }

    /// Returns the parts that were quarantined or released since the last call.
    pub fn take_changes(&mut self) -> Vec<QuarantineChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the number of crashes that proofs and heartbeats dismissed since the last call.
    pub fn take_dismissed(&mut self) -> u64 {
        std::mem::take(&mut self.dismissed)
    }

    /// Tells the other routers of a part's crashes. A single one with the part waiting is kept back:
    /// each crash has many of these, most of them of sound parts.
    fn report(&mut self, now: Millis, part: PromptPart) {
        let crashes = self.crashes.get_mut(&part).into_iter().flatten();
        let mut crashes: Vec<&mut PartCrash> =
            crashes.filter(|crash| !crash.is_dismissed).collect();
        let is_single = crashes.len() == 1;
        let mut found = Vec::new();
        for crash in &mut crashes {
            if crash.is_known || is_single && crash.stage == Stage::Waiting {
                continue;
            }
            crash.is_known = true;
            found.push(crash.evidence(now, part));
        }
        for evidence in found {
            self.send(Finding::Evidence(evidence));
        }
    }

    fn send(&mut self, finding: Finding) {
        if self.outbox.len() < MAX_OUTBOX {
            self.outbox.push(finding);
        }
    }

    /// Adds a crash to a part unless a later proof speaks against it. Returns whether it is new, or
    /// counts for more than before.
    fn add(&mut self, part: PromptPart, crash: PartCrash) -> bool {
        if self
            .proofs
            .get(&part)
            .is_some_and(|begun| crash.at < *begun)
        {
            return false;
        }
        if self.crashes.len() >= MAX_PARTS && !self.crashes.contains_key(&part) {
            self.evict();
        }
        let crashes = self.crashes.entry(part).or_default();
        let known = crashes
            .iter_mut()
            .find(|known| known.is_at(&crash.upstream, crash.incarnation));
        if let Some(known) = known {
            let counts_more = match known.is_dismissed {
                true => crash.at > known.at + REPEAT_INTERVAL,
                false => points(known.stage) < points(crash.stage),
            };
            if counts_more {
                *known = crash;
            }
            return counts_more;
        }
        if crashes.len() >= MAX_CRASHES {
            let dismissed = crashes.iter().position(|crash| crash.is_dismissed);
            let Some(dismissed) = dismissed else {
                return false;
            };
            crashes.remove(dismissed);
        }
        crashes.push(crash);
        true
    }

    /// Removes the part with the fewest points; of equals the one whose last crash is oldest.
    fn evict(&mut self) {
        let least = self.crashes.iter().min_by_key(|(part, crashes)| {
            let last = crashes.iter().map(|crash| crash.at).max();
            (total_points(counting(*crashes)), last, **part)
        });
        if let Some(part) = least.map(|(part, _)| *part) {
            self.crashes.remove(&part);
        }
    }

    /// Records a proof. Dismisses and returns the crashes from before the answer began.
    fn prove(&mut self, part: PromptPart, begun: Millis) -> Vec<&PartCrash> {
        if let Some(last) = self.proofs.get_mut(&part) {
            *last = begun.max(*last);
        } else if self.proofs.len() < MAX_PROOFS {
            self.proofs.insert(part, begun);
        }
        let crashes = self.crashes.get_mut(&part).into_iter().flatten();
        let mut dismissed = Vec::new();
        for crash in crashes.filter(|crash| !crash.is_dismissed && crash.at < begun) {
            crash.is_dismissed = true;
            self.dismissed += 1;
            dismissed.push(&*crash);
        }
        dismissed
    }

    /// Decides which parts are quarantined.
    fn assign_blame(&mut self, now: Millis) {
        let mut quarantined = Vec::new();
        let mut suspects = self.suspects(now);
        while !suspects.is_empty() {
            let blamed = suspects.remove(0);
            let is_alike = |suspect: &Suspect<'_>| blamed.is_alike(suspect);
            let mut parts = vec![blamed.part];
            parts.extend(
                suspects
                    .iter()
                    .filter(|other| is_alike(other))
                    .map(|other| other.part),
            );
            parts.sort_unstable();
            for suspect in &mut suspects {
                suspect.crashes.retain(|crash| !blamed.has(crash));
            }
            suspects.retain(|suspect| is_enough(now, suspect.is_proved, &suspect.crashes));
            let until = self.release_time(&blamed);
            if now < until {
                quarantined.push(BlamedParts { parts, until });
            }
        }
        let before = std::mem::take(&mut self.quarantined);
        self.record_changes(&before, &quarantined, true);
        self.record_changes(&quarantined, &before, false);
        self.quarantined = quarantined;
    }

    /// Records the parts that are in `after` and not in `before`.
    fn record_changes(&mut self, before: &[BlamedParts], after: &[BlamedParts], quarantined: bool) {
        let is_same = |blamed: &BlamedParts| before.iter().any(|old| old.parts == blamed.parts);
        let changed = after.iter().filter(|blamed| !is_same(blamed));
        self.changes.extend(changed.map(|blamed| QuarantineChange {
            parts: blamed.parts.clone(),
            quarantined,
        }));
    }

    /// Returns the parts with enough crashes, in the order in which they are blamed.
    fn suspects(&self, now: Millis) -> Vec<Suspect<'_>> {
        let mut suspects = Vec::new();
        for (part, crashes) in &self.crashes {
            let suspect = Suspect {
                part: *part,
                is_proved: self.is_proved(now, *part),
                crashes: counting(crashes).collect(),
            };
            if is_enough(now, suspect.is_proved, &suspect.crashes) {
                suspects.push(suspect);
            }
        }
        suspects.sort_by_key(|suspect| {
            let points = total_points(suspect.crashes.iter().copied());
            (suspect.is_proved, Reverse(points), suspect.part)
        });
        suspects
    }

    /// Returns when a quarantined part is released.
    fn release_time(&self, suspect: &Suspect<'_>) -> Millis {
        let last = suspect.crashes.iter().map(|crash| crash.at).max();
        let span = match suspect.crashes.len() >= CERTAIN_CRASHES {
            true => self.ttl,
            false => SHORT_QUARANTINE + self.release_delay(suspect.part),
        };
        last.unwrap_or_default() + span
    }

    /// Returns this router's share of [`RELEASE_SPREAD`] for a part.
    fn release_delay(&self, part: PromptPart) -> Millis {
        let mut hasher = FxHasher::default();
        (self.seed, part).hash(&mut hasher);
        Millis(hasher.finish() % RELEASE_SPREAD.0)
    }

    /// Returns whether a part was proved sound within [`PROOF_TTL`].
    fn is_proved(&self, now: Millis, part: PromptPart) -> bool {
        let proof = self.proofs.get(&part);
        proof.is_some_and(|begun| now < *begun + PROOF_TTL)
    }
}

/// Returns the crashes that were not dismissed.
fn counting<'a>(
    crashes: impl IntoIterator<Item = &'a PartCrash>,
) -> impl Iterator<Item = &'a PartCrash> {
    crashes.into_iter().filter(|crash| !crash.is_dismissed)
}

/// Points of a crash against a part that may have caused it.
fn points(stage: Stage) -> u32 {
    match stage {
        Stage::Begun => 2,
        Stage::Waiting => 1,
    }
}

fn total_points<'a>(crashes: impl IntoIterator<Item = &'a PartCrash>) -> u32 {
    crashes.into_iter().map(|crash| points(crash.stage)).sum()
}

/// Returns whether these crashes suffice to quarantine a part.
fn is_enough(now: Millis, is_proved: bool, crashes: &[&PartCrash]) -> bool {
    let points = total_points(crashes.iter().copied());
    if !is_proved {
        return points >= POINT_LIMIT;
    }
    let oldest = crashes.iter().map(|crash| crash.at).min();
    points >= PROVED_POINT_LIMIT && oldest.is_some_and(|at| now >= at + PROOF_WAIT)
}
