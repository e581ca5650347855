//! Keeps and finds the software that began streams, so that callers can take these up at any
//! router.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use chestnutnotch_core::id::Fingerprint;
use chestnutnotch_core::map::Map;
use chestnutnotch_core::map::Set;
use chestnutnotch_core::roster::Fact;
use chestnutnotch_core::upstream::origin::Origin;
use chestnutnotch_core::upstream::origin::OriginAnswer;
use chestnutnotch_core::upstream::origin::OriginBook;
use chestnutnotch_core::upstream::origin::OriginNotice;
use chestnutnotch_core::upstream::origin::Software;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::timeout_at;

use super::Nodes;

/// Number of routers that are told the beginning of a stream, besides the one that began it.
const KEEPERS: usize = 2;

/// Most routers that are asked for it. In a small fleet these are all; in a large one the keepers and
/// those that were keepers before others joined.
const MAX_ASKED: usize = 16;

/// Number of times that a router is asked, as datagrams may be lost.
const MAX_QUESTIONS: usize = 3;

/// Longest wait for the answers to a question: many round trips within a region.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(60);

/// Beginnings of streams that this node keeps, and its questions to others.
#[derive(Debug, Default)]
pub(super) struct Origins {
    state: Mutex<State>,
    /// Notified at each answer.
    answered: Notify,
}

#[derive(Debug, Default)]
struct State {
    book: OriginBook,
    questions: Map<Fingerprint, Question>,
}

/// A question to other routers that waits for answers.
#[derive(Debug, Default)]
struct Question {
    /// Number of requests that wait.
    waiting: usize,
    /// Routers that do not know the stream.
    ignorant: Set<SocketAddr>,
}

/// What this router could find out of the beginning of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FoundOrigin {
    /// It began at this software.
    Software(Software),
    /// Two streams of this identifier began at different software.
    Ambiguous,
    /// All routers that may know it answered, and none does.
    Unknown,
    /// No router that answered knows it; others did not answer.
    Unanswered,
}

impl FoundOrigin {
    /// Returns the name of the outcome in logs and metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Software(_) => "found",
            Self::Ambiguous => "ambiguous",
            Self::Unknown => "unknown",
            Self::Unanswered => "unanswered",
        }
    }
}

impl From<Origin> for FoundOrigin {
    fn from(origin: Origin) -> Self {
        match origin {
            Origin::Software(software) => Self::Software(software),
            Origin::Ambiguous => Self::Ambiguous,
        }
    }
}

impl Origins {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts a request as waiting for a question until dropped.
struct Waiting<'a> {
    origins: &'a Origins,
    stream: Fingerprint,
}

impl<'a> Waiting<'a> {
    fn new(origins: &'a Origins, stream: Fingerprint) -> Self {
        let mut state = origins.state();
        state.questions.entry(stream).or_default().waiting += 1;
        drop(state);
        Self { origins, stream }
    }

    /// Returns whether all of these routers answered that they do not know the stream.
    fn is_answered(&self, asked: &[SocketAddr]) -> bool {
        let state = self.origins.state();
        let question = state.questions.get(&self.stream);
        question.is_some_and(|question| asked.iter().all(|at| question.ignorant.contains(at)))
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let mut state = self.origins.state();
        if let Some(question) = state.questions.get_mut(&self.stream) {
            question.waiting -= 1;
            if question.waiting == 0 {
                state.questions.remove(&self.stream);
            }
        }
    }
}

impl Nodes {
    /// Records the software that began a stream, and tells the keepers of it. Does not wait for their
    /// answers.
    pub async fn record_origin(&self, stream: Fingerprint, software: Software) {
        let now = self.now();
        let notice = OriginNotice { stream, software };
        self.keep_origin(notice.clone());
        let keepers = self.roster().origin_keepers(now, &stream, KEEPERS);
        for keeper in keepers {
            let fact = Fact::Origin(Box::new(notice.clone()));
            self.send_direct(keeper, fact).await;
        }
    }

    /// Finds the software that began a stream: from what this router keeps, or by asking
    /// others.
    pub async fn find_origin(&self, stream: Fingerprint) -> FoundOrigin {
        if let Some(origin) = self.kept_origin(&stream) {
            return origin.into();
        }
        let waiting = Waiting::new(&self.inner.origins, stream);
        for _ in 0..MAX_QUESTIONS {
            let now = self.now();
            let asked = self.roster().origin_keepers(now, &stream, MAX_ASKED);
            for router in &asked {
                self.send_direct(*router, Fact::OriginRequest(stream)).await;
            }
            if let Some(found) = self.await_origin(&waiting, &asked).await {
                return found;
            }
        }
        FoundOrigin::Unanswered
    }

    /// Waits until a router answers with the beginning of a stream, or all that were asked do not
    /// know it. Returns `None` after [`QUESTION_TIMEOUT`].
    async fn await_origin(
        &self,
        waiting: &Waiting<'_>,
        asked: &[SocketAddr],
    ) -> Option<FoundOrigin> {
        let deadline = Instant::now() + QUESTION_TIMEOUT;
        let answered = &self.inner.origins.answered;
        loop {
            let notified = answered.notified();
            tokio::pin!(notified);
            // Registered before the check, so that no answer is missed.
            notified.as_mut().enable();
            if let Some(origin) = self.kept_origin(&waiting.stream) {
                return Some(origin.into());
            }
            if waiting.is_answered(asked) {
                return Some(FoundOrigin::Unknown);
            }
            timeout_at(deadline, notified).await.ok()?;
        }
    }

    /// Returns what this router keeps of the beginning of a stream.
    fn kept_origin(&self, stream: &Fingerprint) -> Option<Origin> {
        let now = self.now();
        self.inner.origins.state().book.get(now, stream).cloned()
    }

    /// Keeps the beginning of a stream.
    pub(super) fn keep_origin(&self, notice: OriginNotice) {
        let now = self.now();
        let origin = Origin::Software(notice.software);
        let mut state = self.inner.origins.state();
        state.book.record(now, notice.stream, origin);
    }

    /// Answers another router that asks for the beginning of a stream.
    pub(super) async fn answer_origin(&self, from: SocketAddr, stream: Fingerprint) {
        let origin = self.kept_origin(&stream);
        let answer = OriginAnswer { stream, origin };
        self.send_direct(from, Fact::OriginAnswer(Box::new(answer)))
            .await;
    }

    /// Applies the answer of another router, if a request waits for it.
    pub(super) fn observe_origin(&self, from: SocketAddr, answer: OriginAnswer) {
        let now = self.now();
        let mut state = self.inner.origins.state();
        let Some(question) = state.questions.get_mut(&answer.stream) else {
            return;
        };
        match answer.origin {
            Some(origin) => state.book.record(now, answer.stream, origin),
            None => {
                question.ignorant.insert(from);
            }
        }
        drop(state);
        self.inner.origins.answered.notify_waiters();
    }
}
