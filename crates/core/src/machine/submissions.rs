//! Replies to operators' submissions, kept so that a resent submission gets the first reply.

use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::command::Publish;
use crate::command::Refusal;
use crate::command::Reply;
use crate::command::Resolve;
use crate::command::TopUp;
use crate::config::Digester;
use crate::id::Fingerprint;
use crate::id::SubmissionId;
use crate::map::Map;

/// Most submissions remembered; beyond it the oldest is dropped, and a resend of that is applied
/// like a new one.
pub const MAX_SUBMISSIONS: usize = 20_000;

/// The replies by submission id.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct Submissions {
    answers: Map<SubmissionId, Answer>,
    /// Submissions, oldest first.
    order: VecDeque<SubmissionId>,
}

/// A reply with a digest of the submission that it answers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Answer {
    content: Fingerprint,
    reply: Reply,
}

impl Submissions {
    /// Returns the reply to an earlier submission with this id: the first reply, or a refusal if
    /// the content was another.
    pub fn find(&self, id: &SubmissionId, content: Fingerprint) -> Option<Reply> {
        let answer = self.answers.get(id)?;
        if answer.content == content {
            return Some(answer.reply.clone());
        }
        Some(Reply::Refused(Refusal::Reused(id.clone())))
    }

    /// Remembers the reply to a submission.
    pub fn insert(&mut self, id: &SubmissionId, content: Fingerprint, reply: &Reply) {
        let answer = Answer {
            content,
            reply: reply.clone(),
        };
        self.answers.insert(id.clone(), answer);
        self.order.push_back(id.clone());
        if self.order.len() <= MAX_SUBMISSIONS {
            return;
        }
        if let Some(oldest) = self.order.pop_front() {
            self.answers.remove(&oldest);
        }
    }
}

/// Returns a digest of what a publish submits.
pub(super) fn publish_digest(publish: &Publish) -> Fingerprint {
    Digester::new("publish")
        .number(publish.base.0)
        .bytes(&publish.document.digest().0)
        .finish()
}

/// Returns a digest of what a top-up submits.
pub(super) fn top_up_digest(top_up: &TopUp) -> Fingerprint {
    Digester::new("top-up")
        .text(top_up.budget.as_str())
        .number(top_up.amount.0)
        .finish()
}

/// Returns a digest of what evidence on a closed holder submits.
pub(super) fn resolve_digest(resolve: &Resolve) -> Fingerprint {
    Digester::new("resolve")
        .text(&resolve.holder.to_string())
        .text(resolve.budget.as_str())
        .number(resolve.produced.0)
        .finish()
}
