//! Errors of the programs and their exit codes.

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

/// Error that ends a program.
#[derive(Debug, Error)]
pub enum CliError {
    /// A settings file is unreadable or invalid.
    #[error(transparent)]
    Settings(#[from] FileError),
    /// The configuration files are unreadable or invalid.
    #[error(transparent)]
    Publish(#[from] PublishError),
    /// A change needs the name of an operator, and none was given.
    #[error("no operator: give --operator, CHESTNUTNOTCH_OPERATOR or `operator` in --settings")]
    NoOperator,
    /// No addresses of control replicas were given.
    #[error(
        "no control addresses: give --control, CHESTNUTNOTCH_CONTROL or `control` in --settings"
    )]
    NoControl,
    /// The fleet refused a change; nothing was changed.
    #[error("refused: {0}")]
    Refused(Refusal),
    /// No answer to a change arrived. It may have taken effect; a resend with the same id is safe.
    #[error("{source}; resend with --id {id}")]
    OutcomeUnknown {
        /// Submission id of the change.
        id: SubmissionId,
        /// Error of the request.
        source: ControlError,
    },
    /// A query to the control replicas failed.
    #[error(transparent)]
    Control(#[from] ControlError),
    /// The reply does not match the request.
    #[error("unexpected reply from the control replicas")]
    UnexpectedReply,
    /// The named budget does not exist.
    #[error("no budget named {0}")]
    NoBudget(Budget),
    /// The revision does not exist or is no longer retained.
    #[error("no configuration of revision {0} is kept")]
    NoRevision(u64),
    /// None of the control replicas at these addresses answered.
    #[error("none of the control replicas answers: {0:?}")]
    NoReplicaAnswered(Vec<SocketAddr>),
    /// An operation of the operating system failed.
    #[error("{what}: {source}")]
    Io {
        /// What the operation was for.
        what: &'static str,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The operating system returned no random numbers.
    #[error("no random numbers: {0}")]
    Random(#[from] getrandom::Error),
    /// A result can't be written as JSON.
    #[error("can't show the answer: {0}")]
    Serialize(#[from] serde_json::Error),
    /// The embedded fleet did not become ready in time.
    #[error("the embedded fleet did not become ready in time")]
    NotReady,
    /// A component of the embedded fleet ended without an error or panicked.
    #[error("a part of the embedded fleet has ended")]
    ComponentEnded,
    /// A stand-in could not start.
    #[error(transparent)]
    Standin(#[from] StandinError),
    /// A daemon could not start, or crashed because of an injected fault.
    #[error(transparent)]
    Serve(#[from] ServeError),
    /// A control replica could not start or failed.
    #[error(transparent)]
    Replica(#[from] control::ServeError),
    /// A router could not start or failed.
    #[error(transparent)]
    Router(#[from] RouterError),
}

/// Exit code of all errors without a code of their own.
const EXIT_FAILED: u8 = 1;
/// Exit code for wrong arguments or settings; clap uses the same for arguments.
const EXIT_USAGE: u8 = 2;
/// Exit code for invalid configuration files.
const EXIT_INVALID: u8 = 3;
/// Exit code for a change that the fleet refused.
const EXIT_REFUSED: u8 = 4;
/// Exit code if no control quorum answered.
const EXIT_NO_QUORUM: u8 = 5;
/// Exit code if the requested object does not exist.
const EXIT_NOT_FOUND: u8 = 6;

impl CliError {
    /// Returns the exit code. The help text of the program and the guide list all codes.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Settings(_) | Self::NoOperator | Self::NoControl => EXIT_USAGE,
            Self::Publish(_) => EXIT_INVALID,
            Self::Refused(_) => EXIT_REFUSED,
            Self::OutcomeUnknown { .. } | Self::Control(_) | Self::NoReplicaAnswered(_) => {
                EXIT_NO_QUORUM
            }
            Self::NoBudget(_) | Self::NoRevision(_) => EXIT_NOT_FOUND,
            _ => EXIT_FAILED,
        })
    }
}
