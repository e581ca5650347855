//! Findings about requests that crash upstreams, as routers exchange them.

use serde::Deserialize;
use serde::Serialize;

use crate::id::Fingerprint;
use crate::id::PromptPart;
use crate::id::Upstream;
use crate::unit::Incarnation;
use crate::unit::Millis;

/// What an upstream may have crashed under.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Subject {
    /// A request, by the fingerprint of its body.
    Request(Fingerprint),
    /// A part of a prompt.
    Part(PromptPart),
}

/// How far the answer to an attempt had come when its upstream broke it off.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Stage {
    /// It had not begun, or its events had only just begun to arrive.
    Waiting,
    /// It had begun, and no event was complete.
    Begun,
}

/// Evidence that an upstream crashed under a request or a part of a prompt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Evidence {
    /// What it may have crashed under.
    pub subject: Subject,
    /// Upstream that crashed.
    pub upstream: Upstream,
    /// Start of the upstream that ended with the crash.
    pub incarnation: Incarnation,
    /// How far the answer had come.
    pub stage: Stage,
    /// Time since the crash. The clocks of two routers can't be compared.
    pub age: Millis,
}

/// Proof that a part of a prompt does not crash upstreams: an answer that went on.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Proof {
    /// The part that is sound.
    pub part: PromptPart,
    /// Time since the answer began.
    pub age: Millis,
}

/// What a router found out about a request or a part of a prompt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Finding {
    /// Evidence against it.
    Evidence(Evidence),
    /// Proof that a part is sound.
    Proof(Proof),
}
