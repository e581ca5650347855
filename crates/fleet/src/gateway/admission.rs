//! Asks admission control before an attempt of a pass-through request.

use std::sync::Arc;

use chestnutnotch_core::limit::Hold;
use chestnutnotch_core::limit::Shed;
use chestnutnotch_core::limit::ShedReason;
use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::unit::Tokens;
use chestnutnotch_core::upstream::Kind;

use crate::controllers::admission::Admission;
use crate::controllers::admission::AdmissionPermit;
use crate::controllers::admission::AdmissionRequest;
use crate::controllers::upstreams::Upstreams;
use crate::edges::http::NotRun;
use crate::gateway::exchange::AttemptFailure;
use crate::gateway::job::Job;
use crate::gateway::refusal::Refusal;
use crate::metrics::Metrics;
use crate::timer::Timer;

/// A request without a forecast is held no longer than the target latency divided by this.
const HOLD_DIVISOR: u64 = 8;

/// An answer is taken to be on time if the attempt begins within the target latency divided by this.
const START_DIVISOR: u64 = 2;

/// Tokens that an upstream processes in the time that each request takes besides its tokens.
const REQUEST_TOKENS: u64 = 800;

/// Rank from which on all have the same, lowest class.
const LAST_RANK: u8 = 4;

/// Most memory that the held requests of a service take, as part of that of the router.
const MEMORY_DIVISOR: usize = 16;

/// Starts admission control of a router with this much memory, in bytes.
pub fn start(
    upstreams: &Upstreams,
    memory: usize,
    timer: &Timer,
    metrics: &Arc<Metrics>,
) -> Admission {
    let max_bytes = memory / MEMORY_DIVISOR;
    let metrics = Arc::clone(metrics);
    Admission::by_headroom(upstreams.clone(), max_bytes, timer.clone(), metrics)
}

/// Waits until an attempt of the request may begin. Returns no permit if the choice of an upstream
/// decides alone: for the rest of a stream, or if no upstream is usable.
///
/// # Errors
///
/// If the request is refused, or the router has to end.
pub async fn admit(
    job: &mut Job,
    resume_after: Option<u64>,
) -> Result<Option<AdmissionPermit>, AttemptFailure> {
    if resume_after.is_some() || job.release.is_some() {
        return Ok(None);
    }
    let gateway = &job.gateway;
    let begin = gateway.timer.now();
    let admitted = tokio::select! {
        biased;
        admitted = gateway.admission.admit(request(job)) => admitted,
        () = gateway.lifecycle.drained(&gateway.timer) => {
            let evidence = NotRun::not_begun();
            return Err(AttemptFailure::not_run(Refusal::Stopping, evidence));
        }
    };
    let held = gateway.timer.now().saturating_sub(begin);
    match admitted {
        Ok(permit) => {
            if permit.waited {
                log_decision(job, "sent", held, Millis::ZERO);
            }
            Ok(Some(permit))
        }
        Err(shed) if shed.reason == ShedReason::NoUpstream => Ok(None),
        Err(shed) => {
            log_decision(job, code(&shed), held, shed.retry_after);
            job.reason = "not_admitted";
            let evidence = NotRun::not_begun();
            Err(AttemptFailure::not_run(Refusal::Shed(shed), evidence))
        }
    }
}

fn request(job: &Job) -> AdmissionRequest {
    let target = job.route.target_latency.0;
    let prompt = job.metadata.prompt.as_ref();
    let tokens = prompt.map_or(0, |prompt| (prompt.tokens + prompt.max_output).0);
    AdmissionRequest {
        workspace: job.workspace.clone().unwrap_or_else(|| "".into()),
        share: 1,
        priority: class(job.priority),
        kind: Kind::Service(job.service.clone()),
        cost: Tokens(tokens.saturating_add(REQUEST_TOKENS)),
        deadline: job.deadline,
        hold: Some(Hold {
            until: job.start + Millis(target / HOLD_DIVISOR),
            start_by: job.start + Millis(target / START_DIVISOR),
            bytes: job.body.len() as u64,
        }),
    }
}

/// Returns the class of a rank: each has a quarter of the weight of the one before it.
fn class(rank: u8) -> u8 {
    u8::MAX >> (2 * rank.min(LAST_RANK))
}

/// Returns the code of a refusal in answers, logs and metrics.
pub fn code(shed: &Shed) -> &'static str {
    match shed.reason {
        ShedReason::QueueFull => "queue_full",
        ShedReason::Memory => "queue_memory",
        ShedReason::LongWait => "long_wait",
        ShedReason::Deadline => "no_time",
        ShedReason::NoUpstream => "no_upstream",
    }
}

fn log_decision(job: &Job, decision: &str, held: Millis, wait: Millis) {
    log::info!(
        target: "request",
        id = &*job.metadata.attempt_id, route = &*job.route.name, service:% = job.service, decision,
        rank = job.priority, held = held.0, wait = wait.0, left = job.time_left().0, sends = job.sends;
        "admission decided"
    );
}
