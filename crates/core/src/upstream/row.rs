//! One upstream as a router knows it.

use crate::unit::Millis;

use super::announce::Announcement;
use super::announce::Kind;
use super::announce::Offer;
use super::announce::Phase;
use super::breaker::Breaker;
use super::breaker::Gateway;
use super::prefix::PrefixView;
use super::rules::Rules;
use super::standing::Standing;
use super::status::Usage;

/// One upstream as a router knows it.
#[derive(Clone, Debug)]
pub(super) struct Row {
    /// Greatest announcement heard.
    pub said: Announcement,
    /// When that, or a direct answer, was heard.
    pub heard: Millis,
    /// Whether a second announcement or a direct answer showed that the first was not an old one.
    pub proven: bool,
    /// When the first question without an answer yet was sent.
    pub asked: Option<Millis>,
    /// When the last question was sent.
    pub last: Option<Millis>,
    /// Whether an attempt or a peer gave reason to ask it.
    pub doubt: bool,
    /// Whether it did not answer when it was last asked. Announcements that others passed on do
    /// not end the silence: this router may be cut off from it alone.
    pub silent: bool,
    /// Attempts of this router.
    pub flying: u32,
    /// Reported requests that were not this router's.
    pub others: u32,
    /// When that was reported.
    pub reported: Millis,
    /// Prompt tokens of this router's attempts that have not begun to be answered.
    pub unread: u64,
    /// Attempts of this router whose request is marked by an earlier crash.
    pub marked: u32,
    /// Faults.
    pub breaker: Breaker,
    /// Likely cached prefixes.
    pub prefixes: PrefixView,
    /// Number of its last change at this router.
    pub change: u64,
}

/// How long a load that came with an answer counts: about the time that a request waits in a queue.
const LOAD_MILLIS: Millis = Millis(1_000);
const ASK_LOST_MILLIS: Millis = Millis(30_000);
const ASK_GAP_MILLIS: Millis = Millis(1_000);
const SILENT_GAP_MILLIS: Millis = Millis(2_000);

impl Row {
    pub fn new(now: Millis, said: Announcement, rules: &Rules) -> Self {
        let mut row = Self {
            said,
            heard: now,
            proven: false,
            asked: None,
            last: None,
            doubt: false,
            silent: false,
            flying: 0,
            others: 0,
            reported: now,
            unread: 0,
            marked: 0,
            breaker: Breaker::default(),
            prefixes: PrefixView::default(),
            change: 0,
        };
        row.report(now, rules);
        row
    }

    /// Takes in an announcement. Returns whether it replaces the known one.
    pub fn observe(&mut self, now: Millis, said: Announcement, rules: &Rules) -> bool {
        let news = Standing::of(&said);
        let known = Standing::of(&self.said);
        if !news.replaces(known, rules.order) {
            return false;
        }
        if news.incarnation == known.incarnation {
            self.proven = true;
        } else {
            self.restart();
        }
        let load = self.said.load;
        self.said = said;
        self.heard = now;
        if rules.passive {
            // Heartbeats carry no load: the last one that came with an answer stays.
            self.said.load = load;
            self.silent = false;
            return true;
        }
        self.report(now, rules);
        true
    }

    fn restart(&mut self) {
        self.proven = false;
        self.silent = false;
        self.doubt = false;
        self.flying = 0;
        self.unread = 0;
        self.marked = 0;
        self.breaker = Breaker::default();
        self.prefixes.clear();
    }

    /// Forgets a reported load that is old.
    pub fn age(&mut self, now: Millis) {
        if now >= self.reported + LOAD_MILLIS {
            self.others = 0;
        }
    }

    pub fn report(&mut self, now: Millis, rules: &Rules) {
        self.reported = now;
        let load = self.said.load;
        let reported = load.running.saturating_add(load.waiting);
        self.others = match rules.own {
            true => reported.saturating_sub(self.flying),
            false => reported,
        };
        for &hash in &self.said.cached {
            self.prefixes.cached(now, hash, rules);
        }
        for &hash in &self.said.evicted {
            self.prefixes.evicted(now, hash, rules);
        }
    }

    /// It answered a question with this incarnation or an older announcement of it.
    pub fn answered(&mut self, now: Millis) {
        self.heard = now;
        self.proven = true;
        self.silent = false;
        self.doubt = false;
        self.breaker.success(now);
    }

    /// It gave a whole answer. That says nothing of whether it leaves, nor of a break that came
    /// after the last byte was sent, so it stays as stale as it was.
    pub fn worked(&mut self, now: Millis) {
        self.silent = false;
        self.breaker.success(now);
    }

    pub fn offers(&self, kind: &Kind) -> bool {
        match (&self.said.offer, kind) {
            (Offer::Models(all), Kind::Model(model, adapter)) => all
                .iter()
                .any(|one| one.model == *model && one.adapter == *adapter),
            (Offer::Service(one), Kind::Service(service)) => one == service,
            _ => false,
        }
    }

    /// Whether it is asked before use: it was not heard of lately, or there is reason to doubt it.
    pub fn stale(&self, now: Millis, rules: &Rules) -> bool {
        if rules.passive {
            return now >= self.heard + rules.stale;
        }
        !self.proven || self.doubt || now >= self.heard + rules.stale
    }

    /// Requests that run on it, as far as known.
    pub fn taken(&self, rules: &Rules) -> u32 {
        match rules.own {
            true => self.others.saturating_add(self.flying),
            false => self.others,
        }
    }

    /// Whether it takes no more. Each of `routers` routers keeps its even part of the slots, so that
    /// one whose callers come late is not shut out; zero means that none is kept.
    pub fn full(&self, now: Millis, rules: &Rules, routers: u32) -> bool {
        let slots = self.said.slots;
        let taken = self.taken(rules) >= slots && self.flying >= even(slots, routers);
        taken || self.flying >= slots || self.breaker.paused(now)
    }

    /// Whether it takes work. `latest` is when any upstream was last heard of: where upstreams can't
    /// be asked, silence of all of them says nothing of one.
    pub fn usage(&self, now: Millis, latest: Millis, rules: &Rules, routers: u32) -> Usage {
        let fresh = match rules.passive {
            true => latest,
            false => now,
        };
        if self.said.phase == Phase::Leaving {
            return Usage::Leaving;
        }
        let rested = self.last.is_none_or(|at| now >= at + SILENT_GAP_MILLIS);
        if self.silent && !rested {
            return Usage::Silent;
        }
        match self.breaker.gateway(now) {
            Gateway::Ejected(until) => return Usage::Ejected { until },
            Gateway::Trial if self.flying > 0 => return Usage::Ejected { until: now },
            Gateway::Trial | Gateway::Open => {}
        }
        if self.silent || self.stale(fresh, rules) {
            return Usage::Stale;
        }
        match self.full(now, rules, routers) {
            true => Usage::Full,
            false => Usage::Used,
        }
    }

    /// Whether it has to be asked now.
    pub fn due(&self, now: Millis, rules: &Rules) -> bool {
        if self.asked.is_some_and(|at| now < at + ASK_LOST_MILLIS) {
            return false;
        }
        if self.doubt {
            return true;
        }
        let gap = match self.silent {
            true => SILENT_GAP_MILLIS,
            false => ASK_GAP_MILLIS,
        };
        let rested = self.last.is_none_or(|at| now >= at + gap);
        let open = self.breaker.gateway(now) == Gateway::Open;
        let unsure = self.silent || self.stale(now, rules) || !open;
        rested && unsure && self.said.phase == Phase::Ready
    }

    /// Notes that it is being asked.
    pub fn ask(&mut self, now: Millis) {
        self.last = Some(now);
        match self.asked {
            Some(at) if now < at + ASK_LOST_MILLIS => {}
            _ => self.asked = Some(now),
        }
    }
}

/// Even part of the slots, at least one; zero if the number of routers is not known.
pub(super) fn even(slots: u32, routers: u32) -> u32 {
    match routers {
        0 => 0,
        _ => slots.div_ceil(routers),
    }
}
