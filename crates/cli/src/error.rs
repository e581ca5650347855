//! Errors of the programs, and the exit codes that they lead to.

use std::net::SocketAddr;
use std::process::ExitCode;

use chestnutnotch::control;
use chestnutnotch::edges::rpc::ControlError;
use chestnutnotch::file::FileError;
use chestnutnotch::publish::PublishError;
use chestnutnotch::router::RouterError;
use chestnutnotch_core::command::Refusal;
use chestnutnotch_core::id::Budget;
use chestnutnotch_core::id::SubmissionId;
use chestnutnotch_standin::StandinError;
use thiserror::Error;

use crate::daemon::ServeError;

/// Why a program ends without having done what it was asked.
#[derive(Debug, Error)]
pub enum CliError {
    /// A settings file is wrong.
    #[error(transparent)]
    Settings(#[from] FileError),
    /// The files of the configuration are wrong.
    #[error(transparent)]
    Publish(#[from] PublishError),
    /// No operator's name was given.
    #[error("no operator: give --operator, CHESTNUTNOTCH_OPERATOR or `operator` in --settings")]
    NoOperator,
    /// No control addresses were given.
    #[error(
        "no control addresses: give --control, CHESTNUTNOTCH_CONTROL or `control` in --settings"
    )]
    NoControl,
    /// The fleet refused a change; nothing was changed.
    #[error("refused: {0}")]
    Refused(Refusal),
    /// No answer; the change may have taken effect, and a resend with the id is safe.
    #[error("{source}; resend with --id {id}")]
    Unclear {
        /// The submission.
        id: SubmissionId,
        /// What went wrong.
        source: ControlError,
    },
    /// No answer to a question.
    #[error(transparent)]
    Control(#[from] ControlError),
    /// The reply was to another question.
    #[error("unexpected reply from the control replicas")]
    Unexpected,
    /// There is no such budget.
    #[error("no budget named {0}")]
    NoBudget(Budget),
    /// There is no such revision.
    #[error("no configuration of revision {0} is kept")]
    NoRevision(u64),
    /// No control replica answered.
    #[error("none of the control replicas answers: {0:?}")]
    Silent(Vec<SocketAddr>),
    /// The system refused something.
    #[error("{what}: {source}")]
    System {
        /// What was tried.
        what: &'static str,
        /// The system's answer.
        source: std::io::Error,
    },
    /// The system gave no random numbers.
    #[error("no random numbers: {0}")]
    Random(#[from] getrandom::Error),
    /// A value can't be shown.
    #[error("can't show the answer: {0}")]
    Show(#[from] serde_json::Error),
    /// The embedded fleet did not become ready.
    #[error("the embedded fleet did not become ready in time")]
    NotReady,
    /// A part of the embedded fleet ended by itself.
    #[error("a part of the embedded fleet has ended")]
    Ended,
    /// A stand-in could not start.
    #[error(transparent)]
    Standin(#[from] StandinError),
    /// A daemon could not start or go on.
    #[error(transparent)]
    Serve(#[from] ServeError),
    /// A control process could not start or go on.
    #[error(transparent)]
    Replica(#[from] control::ServeError),
    /// A router could not start or go on.
    #[error(transparent)]
    Router(#[from] RouterError),
}

/// Anything that has no code of its own.
const FAILED: u8 = 1;
/// Wrong arguments or settings.
const USAGE: u8 = 2;
/// The configuration's files are wrong.
const INVALID: u8 = 3;
/// The fleet refused the change.
const REFUSED: u8 = 4;
/// No control quorum answered.
const NO_QUORUM: u8 = 5;
/// What was asked for does not exist.
const ABSENT: u8 = 6;

impl CliError {
    /// Exit code; the guide lists them.
    pub fn code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Settings(_) | Self::NoOperator | Self::NoControl => USAGE,
            Self::Publish(_) => INVALID,
            Self::Refused(_) => REFUSED,
            Self::Unclear { .. } | Self::Control(_) | Self::Silent(_) => NO_QUORUM,
            Self::NoBudget(_) | Self::NoRevision(_) => ABSENT,
            _ => FAILED,
        })
    }
}
