//! Why a request gets no tokens at a holder although the budget may have some.

use crate::unit::Tokens;

/// Answers to the calls for loans that a request waited for.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoanAnswers {
    /// Holders asked.
    pub asked: usize,
    /// Holders that lent tokens.
    pub lent: usize,
    /// Holders that had nothing to lend.
    pub empty: usize,
}

/// The cause of a refusal for lack of tokens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shortage {
    /// The holder has the tokens, and may not spend them before the ledger answers a report.
    Exposure,
    /// The ledger answers and has the tokens; the grant did not arrive in time.
    GrantAwaited,
    /// No holder was asked: each had nothing to lend a moment ago, or did not answer.
    NobodyAsked,
    /// No holder answered in time.
    LendersSilent,
    /// The holders that answered had nothing to lend.
    LendersEmpty,
    /// Holders lent tokens, too few for all requests that wait.
    LentTooLittle,
}

impl Shortage {
    /// Returns the cause by the answers of other holders alone.
    pub fn of_loans(answers: &LoanAnswers) -> Self {
        match answers {
            LoanAnswers { asked: 0, .. } => Self::NobodyAsked,
            LoanAnswers { lent: 1.., .. } => Self::LentTooLittle,
            LoanAnswers { empty: 0, .. } => Self::LendersSilent,
            LoanAnswers { .. } => Self::LendersEmpty,
        }
    }

    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Exposure => "exposure",
            Self::GrantAwaited => "grant_awaited",
            Self::NobodyAsked => "nobody_asked",
            Self::LendersSilent => "lenders_silent",
            Self::LendersEmpty => "lenders_empty",
            Self::LentTooLittle => "lent_too_little",
        }
    }
}

/// What a holder has of a budget when it refuses a request, in tokens.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Holding {
    /// Free tokens, its own and borrowed ones, whether or not they may be spent.
    pub free: Tokens,
    /// Unallotted tokens in the ledger's last answer, or zero if it doesn't answer.
    pub unallotted: Tokens,
}

impl Holding {
    /// Returns why a request of this size is refused.
    pub fn shortage(&self, worst_case: Tokens, answers: &LoanAnswers) -> Shortage {
        if self.free >= worst_case {
            return Shortage::Exposure;
        }
        if self.free + self.unallotted >= worst_case {
            return Shortage::GrantAwaited;
        }
        Shortage::of_loans(answers)
    }
}
