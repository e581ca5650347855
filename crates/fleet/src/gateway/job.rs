//! One request on its way.

use std::sync::Arc;

use bytes::Bytes;
use chestnutnotch_core::id::Fingerprint;
use chestnutnotch_core::id::Service;
use chestnutnotch_core::id::Upstream;
use chestnutnotch_core::id::Workspace;
use chestnutnotch_core::route::Route;
use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::upstream::Criteria;
use chestnutnotch_core::upstream::Kind;
use http::request::Parts;

use crate::controllers::lifecycle::Flight;
use crate::dialect::RequestMetadata;
use crate::gateway::charge::Charge;
use crate::gateway::front::Gateway;

/// One request with all that its way depends on.
pub struct Job {
    /// The router.
    pub gateway: Arc<Gateway>,
    /// Counts it among the requests in flight.
    pub inflight: Flight,
    /// Its route.
    pub route: Arc<Route>,
    /// The service that was drawn.
    pub service: Service,
    /// Most tokens in one event of its stream.
    pub stride: u64,
    /// What it asks for.
    pub metadata: RequestMetadata,
    /// Its head as it came.
    pub head: Parts,
    /// Its body.
    pub body: Bytes,
    /// Whose it is.
    pub workspace: Option<Workspace>,
    /// Precedence at the upstream.
    pub priority: u8,
    /// When it arrived, by the timer's clock.
    pub start: Millis,
    /// When its answer has to be whole.
    pub deadline: Millis,
    /// Tokens set aside for it.
    pub charge: Option<Charge>,
    /// Same for all requests with this workspace, path and body.
    pub fingerprint: Fingerprint,
    /// Upstreams that were tried.
    pub tried: Vec<Upstream>,
    /// Attempts that may have run.
    pub runs: u32,
    /// Attempts that reached an upstream.
    pub sends: u32,
    /// Why the last attempt ended.
    pub reason: &'static str,
}

impl Job {
    /// Time left, in milliseconds.
    pub fn time_left(&self) -> Millis {
        self.deadline.saturating_sub(self.gateway.timer.now())
    }

    /// Time since it arrived.
    pub fn elapsed(&self) -> Millis {
        self.gateway.timer.now().saturating_sub(self.start)
    }

    /// What it needs from an upstream.
    pub fn criteria(&self) -> Criteria {
        let prompt = self.metadata.prompt.as_ref();
        let prefixes = prompt.map(|prompt| prompt.prefixes.clone());
        let prefixes = prefixes.unwrap_or_default();
        let sizes = match prompt {
            Some(prompt) if !prompt.part_sizes.is_empty() => prompt.part_sizes.clone(),
            Some(prompt) => vec![prompt.tokens.0],
            None => vec![0],
        };
        // The last part is the request's own; the one before is shared by its session.
        let session_prefix = prefixes.len().checked_sub(2);
        Criteria {
            kind: Kind::Service(self.service.clone()),
            priority: self.priority,
            prefixes,
            sizes,
            session_prefix,
            body: self.fingerprint,
            avoid: self.tried.clone(),
        }
    }

    /// Whether the request may run once more after an attempt that may have run.
    pub fn may_rerun(&self) -> bool {
        self.route.kind.is_retryable() && self.runs < self.route.max_attempts
    }
}
