//! The filter chain that each caller's request passes through.
//!
//! In order: [`route`], [`identify`], body size limit, [`parse`], lookup of the idempotency key
//! ([`idempotency`]), reservation of tokens, admission control, choice of an upstream, [`forward`]
//! and billing. Calls to plain services go through [`call`] instead of the last five.

pub mod attempt;
pub mod call;
pub mod chat;
pub mod choose;
pub mod claim;
pub mod forward;
pub mod idempotency;
pub mod identify;
pub mod output;
pub mod parse;
pub mod refusal;
pub mod relay;
pub mod render;
pub mod route;
pub mod sse;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use chestnutnotch_core::id::RouterId;
use chestnutnotch_core::limit::RetryBudget;

use crate::controllers::abandoned::Abandoned;
use crate::controllers::admission::Admission;
use crate::controllers::allotment::Allotment;
use crate::controllers::bills::Bills;
use crate::controllers::upstreams::Upstreams;
use crate::edges::http::HttpClient;
use crate::edges::http::RequestMemory;
use crate::edges::rpc::ControlClient;
use crate::filters::idempotency::IdempotencyCache;
use crate::metrics::Metrics;
use crate::settings::RouterSettings;
use crate::timer::Timer;

/// State that the filters share, once the router has joined the ledger.
#[derive(Debug)]
pub struct Chain {
    /// Settings of this router.
    pub settings: RouterSettings,
    /// Identifier of this run of the router process on its host.
    pub router: RouterId,
    /// Monotonic clock of the router.
    pub timer: Timer,
    /// Client of the control replicas.
    pub control: ControlClient,
    /// HTTP client for requests to upstreams.
    pub client: HttpClient,
    /// Tokens of each budget that the ledger allotted to this router.
    pub allotment: Allotment,
    /// Bills that are not yet stored durably.
    pub bills: Bills,
    /// Attempts with an unknown outcome, to be cancelled and settled.
    pub abandoned: Abandoned,
    /// Known upstreams: state, load and choice.
    pub upstreams: Upstreams,
    /// Admission control.
    pub gate: Admission,
    /// Memory for the bodies of requests.
    pub bodies: RequestMemory,
    /// Running and recently finished chats by idempotency key.
    pub idempotency: IdempotencyCache,
    /// Metrics of the router.
    pub metrics: Arc<Metrics>,
    /// Bounds retries to a fraction of the first attempts.
    retries: Mutex<RetryBudget>,
    /// Nonce of the last claim.
    last_nonce: AtomicU64,
}

/// Arguments of [`Chain::new`].
#[derive(Debug)]
pub struct ChainParts {
    /// Settings of this router.
    pub settings: RouterSettings,
    /// Identifier of this run of the router process on its host.
    pub router: RouterId,
    /// Monotonic clock of the router.
    pub timer: Timer,
    /// Client of the control replicas.
    pub control: ControlClient,
    /// HTTP client for requests to upstreams.
    pub client: HttpClient,
    /// Tokens of each budget that the ledger allotted to this router.
    pub allotment: Allotment,
    /// Bills that are not yet stored durably.
    pub bills: Bills,
    /// Attempts with an unknown outcome, to be cancelled and settled.
    pub abandoned: Abandoned,
    /// Known upstreams: state, load and choice.
    pub upstreams: Upstreams,
    /// Admission control.
    pub gate: Admission,
    /// Memory for the bodies of requests.
    pub bodies: RequestMemory,
    /// Metrics of the router.
    pub metrics: Arc<Metrics>,
}

impl Chain {
    /// Returns a chain without requests in flight.
    pub fn new(parts: ChainParts) -> Self {
        Self {
            settings: parts.settings,
            router: parts.router,
            timer: parts.timer,
            control: parts.control,
            client: parts.client,
            allotment: parts.allotment,
            bills: parts.bills,
            abandoned: parts.abandoned,
            upstreams: parts.upstreams,
            gate: parts.gate,
            bodies: parts.bodies,
            idempotency: IdempotencyCache::default(),
            metrics: parts.metrics,
            retries: Mutex::new(RetryBudget::default()),
            last_nonce: AtomicU64::new(0),
        }
    }

    /// Locks the retry budget of this router.
    pub fn retries(&self) -> MutexGuard<'_, RetryBudget> {
        self.retries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a nonce for a claim, unique within this router process.
    pub fn next_nonce(&self) -> u64 {
        self.last_nonce.fetch_add(1, Ordering::Relaxed) + 1
    }
}
