//! Answers to operators' submissions, so that a resend gets the first answer.

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

/// Most submissions remembered; beyond it the oldest is forgotten.
pub const MAX_SUBMISSIONS: usize = 20_000;

/// The answers.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct Submissions {
    answers: Map<SubmissionId, Answer>,
    order: VecDeque<SubmissionId>,
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Answer {
    content: Fingerprint,
    reply: Reply,
}

impl Submissions {
    /// The answer to an earlier submission with this id.
    pub fn find(&self, id: &SubmissionId, content: Fingerprint) -> Option<Reply> {
        let answer = self.answers.get(id)?;
        if answer.content == content {
            return Some(answer.reply.clone());
        }
        Some(Reply::Refused(Refusal::Reused(id.clone())))
    }

    /// Remembers the answer to a submission.
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

/// Content of a publish.
pub(super) fn of_publish(publish: &Publish) -> Fingerprint {
    Digester::new("publish")
        .number(publish.base.0)
        .bytes(&publish.document.digest().0)
        .finish()
}

/// Content of a top-up.
pub(super) fn of_top_up(top_up: &TopUp) -> Fingerprint {
    Digester::new("top-up")
        .text(top_up.budget.as_str())
        .number(top_up.amount.0)
        .finish()
}

/// Content of evidence on a closed holder.
pub(super) fn of_resolve(resolve: &Resolve) -> Fingerprint {
    Digester::new("resolve")
        .text(&resolve.holder.to_string())
        .text(resolve.budget.as_str())
        .number(resolve.produced.0)
        .finish()
}
