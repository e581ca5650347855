//! The chain that each caller's request passes through.
//!
//! In order: [`route`], [`identify`], body bound, [`parse`], idempotency key, [`known`] outcome,
//! reservation, admission, choice, [`forward`], bill. Plain services go through [`call`] instead of
//! the last five.

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
use crate::controllers::allotment::Allotment;
use crate::controllers::bills::Bills;
use crate::controllers::gate::Gate;
use crate::controllers::upstreams::Upstreams;
use crate::edges::http::HttpClient;
use crate::edges::rpc::ControlClient;
use crate::filters::idempotency::IdempotencyCache;
use crate::metrics::Metrics;
use crate::settings::RouterSettings;
use crate::timer::Timer;

/// What the filters of a router that has joined share.
#[derive(Debug)]
pub struct Chain {
    /// Settings of the router.
    pub settings: RouterSettings,
    /// This start of the router.
    pub router: RouterId,
    /// Source of time.
    pub timer: Timer,
    /// The control replicas.
    pub control: ControlClient,
    /// Client towards upstreams.
    pub client: HttpClient,
    /// The purse.
    pub allotment: Allotment,
    /// Bills that are not safe yet.
    pub bills: Bills,
    /// Attempts with an unknown end.
    pub abandoned: Abandoned,
    /// The upstreams.
    pub upstreams: Upstreams,
    /// Admission.
    pub gate: Gate,
    /// Requests by their key.
    pub idempotency: IdempotencyCache,
    /// Counters.
    pub metrics: Arc<Metrics>,
    retries: Mutex<RetryBudget>,
    last_nonce: AtomicU64,
}

/// What a [`Chain`] is built from.
#[derive(Debug)]
pub struct ChainParts {
    /// Settings of the router.
    pub settings: RouterSettings,
    /// This start of the router.
    pub router: RouterId,
    /// Source of time.
    pub timer: Timer,
    /// The control replicas.
    pub control: ControlClient,
    /// Client towards upstreams.
    pub client: HttpClient,
    /// The purse.
    pub allotment: Allotment,
    /// Bills that are not safe yet.
    pub bills: Bills,
    /// Attempts with an unknown end.
    pub abandoned: Abandoned,
    /// The upstreams.
    pub upstreams: Upstreams,
    /// Admission.
    pub gate: Gate,
    /// Counters.
    pub metrics: Arc<Metrics>,
}

impl Chain {
    /// A chain with nothing in flight.
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
            idempotency: IdempotencyCache::default(),
            metrics: parts.metrics,
            retries: Mutex::new(RetryBudget::default()),
            last_nonce: AtomicU64::new(0),
        }
    }

    /// The retry budget of this router.
    pub fn retries(&self) -> MutexGuard<'_, RetryBudget> {
        self.retries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of the next try at a claim.
    pub fn next_nonce(&self) -> u64 {
        self.last_nonce.fetch_add(1, Ordering::Relaxed) + 1
    }
}
