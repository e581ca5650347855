//! State of one pass-through request.

use std::sync::Arc;

use bytes::Bytes;
use chestnutnotch_core::id::Fingerprint;
use chestnutnotch_core::id::PromptPart;
use chestnutnotch_core::id::Release;
use chestnutnotch_core::id::Service;
use chestnutnotch_core::id::Upstream;
use chestnutnotch_core::id::Workspace;
use chestnutnotch_core::route::Route;
use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::unit::Tokens;
use chestnutnotch_core::upstream::Criteria;
use chestnutnotch_core::upstream::Kind;
use http::request::Parts;

use crate::controllers::lifecycle::InFlightGuard;
use crate::controllers::upstreams::join_parts;
use crate::dialect::RequestMetadata;
use crate::gateway::charge::Charge;
use crate::gateway::front::Gateway;

/// A pass-through request and the state of its attempts, kept until its answer is complete.
pub struct Job {
    /// Gateway that serves the request.
    pub gateway: Arc<Gateway>,
    /// Counts the request as in flight until dropped.
    pub inflight: Arc<InFlightGuard>,
    /// Route of the request.
    pub route: Arc<Route>,
    /// Service drawn from the route's split.
    pub service: Service,
    /// Maximum number of tokens in one event of the streamed answer; at least one.
    pub stride: u64,
    /// Decoded headers.
    pub metadata: RequestMetadata,
    /// Head of the request as received.
    pub head: Parts,
    /// Body of the request.
    pub body: Bytes,
    /// Workspace of the caller, if its key is known.
    pub workspace: Option<Workspace>,
    /// Priority in the upstream's queue; zero is served first.
    pub priority: u8,
    /// Time of arrival, by the gateway's timer.
    pub start: Millis,
    /// Time by which the answer has to be complete, by the gateway's timer.
    pub deadline: Millis,
    /// Tokens reserved for it, if it is paid from a prepaid budget.
    pub charge: Option<Charge>,
    /// Hash of its workspace, path and body. Identifies a request that crashes upstreams.
    pub fingerprint: Fingerprint,
    /// Upstreams that were tried, oldest first.
    pub tried: Vec<Upstream>,
    /// Software version of the upstream that began the stream. From then on the request goes only to
    /// upstreams of that version. `None` before, and if it is not known.
    pub release: Option<Release>,
    /// Number of attempts that may have run.
    pub runs: u32,
    /// Number of attempts that were sent to an upstream.
    pub sends: u32,
    /// Number of upstreams that the last choice passed over because they asked for a pause.
    pub paused: u32,
    /// Why the last failed attempt ended, as written to the log; empty if none failed.
    pub reason: &'static str,
}

impl Job {
    /// Returns the time left until the deadline.
    pub fn time_left(&self) -> Millis {
        self.deadline.saturating_sub(self.gateway.timer.now())
    }

    /// Returns the time since the request arrived.
    pub fn elapsed(&self) -> Millis {
        self.gateway.timer.now().saturating_sub(self.start)
    }

    /// Returns the size of the prompt; zero if there is none.
    pub fn prompt_tokens(&self) -> Tokens {
        let prompt = self.metadata.prompt.as_ref();
        prompt.map_or(Tokens::ZERO, |prompt| prompt.tokens)
    }

    /// Returns the criteria for choosing an upstream.
    pub fn criteria(&self) -> Criteria {
        let prompt = self.metadata.prompt.as_ref();
        let prefixes = prompt.map(|prompt| prompt.prefixes.clone());
        let prefixes = prefixes.unwrap_or_default();
        let sizes = match prompt {
            Some(prompt) if !prompt.part_sizes.is_empty() => prompt.part_sizes.clone(),
            Some(prompt) => vec![prompt.tokens.0],
            None => vec![0],
        };
        // The last part belongs to this request alone. The prefix before it is shared by its
        // session.
        let session_prefix = prefixes.len().checked_sub(2);
        Criteria {
            kind: Kind::Service(self.service.clone()),
            priority: u8::MAX - self.priority,
            prefixes,
            sizes,
            session_prefix,
            body: self.fingerprint,
            parts: self.shared_parts().to_vec(),
            avoid: self.tried.clone(),
            release: self.release.clone(),
        }
    }

    /// Returns the parts of the prompt that other requests may share: all but the last one, which
    /// belongs to this request alone.
    pub fn shared_parts(&self) -> &[PromptPart] {
        let parts = self.metadata.prompt.as_ref().map(|prompt| &prompt.parts);
        let parts = parts.map_or(&[][..], Vec::as_slice);
        parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the shared parts of the prompt for the log.
    pub fn log_parts(&self) -> String {
        join_parts(self.shared_parts())
    }

    /// Returns the software version that the request is tied to for the log; empty if there is none.
    pub fn version(&self) -> &str {
        self.release.as_ref().map_or("", Release::as_str)
    }

    /// Returns whether the request may run again after an attempt that may have run.
    pub fn may_rerun(&self) -> bool {
        self.route.kind.is_retryable() && self.runs < self.route.max_attempts
    }
}
