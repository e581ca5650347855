//! What a router knows of the rate that an upstream names, and how routers agree on it.

use crate::unit::Millis;
use crate::unit::RequestRate;

/// Time for which an answer may be on its way. An older answer that arrives within it does not
/// undo a newer one.
const ANSWER_LAG: Millis = Millis(1_000);

/// Versions that other routers state are below this, so that a later answer can have a higher one.
const VERSION_LIMIT: u64 = u64::MAX / 2;

/// The rate that one start of an upstream named last, as far as this router knows.
///
/// Answers of different connections overtake each other, and routers hear of a change one after the
/// other. The time at which a request was sent orders the answers that one router gets; `version`
/// orders what routers tell each other. When neither decides, the lower rate is kept.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct KnownRate {
    /// Highest rate of requests of all routers together; none if no limit is in force.
    pub rate: Option<RequestRate>,
    /// Number of changes so far, over all routers.
    pub version: u64,
    /// When an answer or another router last stated `rate`.
    pub heard_at: Millis,
    /// When an answer to this router last stated `rate`.
    answered_at: Option<Millis>,
    /// When the request was sent whose answer last raised or removed the rate, and when that answer
    /// arrived.
    relaxed: Option<(Millis, Millis)>,
}

/// What became of a rate that another router stated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoticeEffect {
    /// It is not newer than what is known, or has a version that no router can have.
    Stale,
    /// It is in force now and has to be passed on.
    Adopted,
    /// An answer to this router has just stated a lower rate, which stays in force with a higher
    /// version and has to be passed on.
    Disputed,
}

impl KnownRate {
    /// Applies the rate that an answer stated, none if it stated none. `sent` is when the request was
    /// sent. Returns whether the rate in force has changed.
    pub fn observe_answer(&mut self, now: Millis, sent: Millis, rate: Option<RequestRate>) -> bool {
        if rate == self.rate {
            self.heard_at = now;
            self.answered_at = Some(now);
            return false;
        }
        if is_lower(rate, self.rate) {
            let late = |(after, at): (Millis, Millis)| sent < after && now < at + ANSWER_LAG;
            if self.relaxed.is_some_and(late) {
                return false;
            }
        } else {
            // The upstream may have written the answer before the lower rate was heard.
            if sent < self.heard_at {
                return false;
            }
            self.relaxed = Some((sent, now));
        }
        self.version += 1;
        self.rate = rate;
        self.heard_at = now;
        self.answered_at = Some(now);
        true
    }

    /// Applies the rate and version that another router stated.
    pub fn observe_notice(
        &mut self,
        now: Millis,
        version: u64,
        rate: Option<RequestRate>,
    ) -> NoticeEffect {
        if version >= VERSION_LIMIT {
            return NoticeEffect::Stale;
        }
        let is_newer = version > self.version;
        if !is_newer && (version < self.version || !is_lower(rate, self.rate)) {
            return NoticeEffect::Stale;
        }
        let is_recent = self.answered_at.is_some_and(|at| now < at + ANSWER_LAG);
        if is_newer && is_recent && is_lower(self.rate, rate) {
            self.version = version + 1;
            return NoticeEffect::Disputed;
        }
        *self = Self {
            rate,
            version,
            heard_at: now,
            ..Self::default()
        };
        NoticeEffect::Adopted
    }
}

/// Returns whether a rate allows less than another one; none allows everything.
fn is_lower(rate: Option<RequestRate>, other: Option<RequestRate>) -> bool {
    match (rate, other) {
        (Some(rate), Some(other)) => rate < other,
        (Some(_), None) => true,
        (None, _) => false,
    }
}
