//! Prepares an attempt: chooses an upstream, connects to it and builds the request.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chestnutnotch_core::id::Release;
use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::upstream::AttemptOutcome;
use chestnutnotch_core::upstream::ChoiceError;
use chestnutnotch_core::upstream::Kind;
use chestnutnotch_core::upstream::Pick;
use http::Request;
use http::Uri;
use http::header;
use http_body_util::Full;
use tokio::time::Instant;

use crate::controllers::admission::AdmissionPermit;
use crate::dialect::HopMetadata;
use crate::edges::http::NotRun;
use crate::edges::http::pool::Connection;
use crate::edges::http::pool::PoolKey;
use crate::gateway::admission;
use crate::gateway::exchange::AttemptFailure;
use crate::gateway::front::Gateway;
use crate::gateway::job::Job;
use crate::gateway::refusal::Refusal;

/// Timeout of an attempt while another one may still run, in multiples of the route's target
/// latency.
const ATTEMPT_TIMEOUT_TARGETS: u64 = 2;

/// Retry delay for a caller that takes up a stream while every upstream of its version may have
/// started again. Heartbeats show it after some seconds.
const DOUBT_RETRY_AFTER: Millis = Millis(1_000);

/// Extra wait after the deadline for an upstream's own timeout answer: a round trip within a region
/// and the upstream's delay in detecting the timeout.
const DEADLINE_SLACK: Millis = Millis(80);

/// An attempt in flight. If dropped before [`AttemptGuard::end`], it is recorded as
/// [`AttemptOutcome::Neutral`], which says nothing about the upstream.
pub struct AttemptGuard {
    gateway: Arc<Gateway>,
    /// The chosen upstream and the id of the attempt.
    pub pick: Pick,
    /// Whether the outcome is still to be recorded.
    pending: bool,
    /// Place among the requests of the service, if admission control gave one. Dropped after the
    /// outcome is recorded.
    permit: Option<AdmissionPermit>,
}

impl AttemptGuard {
    /// Creates the guard of an attempt at a chosen upstream.
    pub fn new(gateway: Arc<Gateway>, pick: Pick) -> Self {
        Self {
            gateway,
            pick,
            pending: true,
            permit: None,
        }
    }

    /// Keeps the place that admission control gave until the attempt ends.
    fn place(&mut self, permit: Option<AdmissionPermit>) {
        if let Some(permit) = &permit {
            permit.place();
        }
        self.permit = permit;
    }

    /// Returns the software version of the upstream for the log; empty if it is not known.
    pub fn version(&self) -> &str {
        self.pick.release.as_ref().map_or("", Release::as_str)
    }

    /// Returns the start of the chosen upstream, for its connections.
    fn pool_key(&self) -> PoolKey {
        PoolKey {
            address: self.pick.address,
            incarnation: self.pick.incarnation.0,
        }
    }

    /// Checks in the background whether the upstream has ended, since a connection broke.
    pub fn check_start(&self) {
        self.gateway.pool.ended.check(self.pool_key());
    }

    /// Records the outcome of the attempt, and tells other routers what it shows, so that a request
    /// or a prompt part that crashes upstreams is quarantined everywhere.
    pub fn end(mut self, outcome: AttemptOutcome) {
        self.pending = false;
        if outcome == AttemptOutcome::Broken {
            self.check_start();
        }
        self.gateway.upstreams.end(self.pick.attempt, outcome);
        let permit = self.permit.take();
        if let Some(permit) = permit.filter(|_| outcome == AttemptOutcome::Completed) {
            permit.finish();
        }
        self.gateway.nodes.share_evidence();
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if self.pending {
            self.gateway
                .upstreams
                .end(self.pick.attempt, AttemptOutcome::Neutral);
        }
    }
}

/// An attempt whose request is ready to be sent over its connection.
pub struct PreparedAttempt {
    /// The attempt.
    pub attempt: AttemptGuard,
    /// Connection to its upstream.
    pub connection: Connection,
    /// Request for the upstream.
    pub request: Request<Full<Bytes>>,
    /// Time by which the upstream has to answer.
    pub deadline: Instant,
}

/// Chooses an upstream, connects to it and counts the attempt as sent. With `resume_after`, the
/// request asks for the rest of a stream after the event of that number.
///
/// # Errors
///
/// See [`AttemptFailure`].
pub async fn prepare(
    job: &mut Job,
    resume_after: Option<u64>,
) -> Result<PreparedAttempt, AttemptFailure> {
    if job.time_left() == Millis::ZERO {
        let evidence = NotRun::not_begun();
        return Err(AttemptFailure::not_run(Refusal::DeadlinePassed, evidence));
    }
    acquire_share(job).await;
    let permit = admission::admit(job, resume_after).await?;
    let mut attempt = choose(job)?;
    attempt.place(permit);
    connect_and_count(job, attempt, resume_after).await
}

/// Connects to the chosen upstream and counts the attempt as sent.
///
/// # Errors
///
/// See [`AttemptFailure`].
pub async fn connect_and_count(
    job: &mut Job,
    attempt: AttemptGuard,
    resume_after: Option<u64>,
) -> Result<PreparedAttempt, AttemptFailure> {
    let connection = connect(job, &attempt).await?;
    check_choice(job, &attempt)?;
    if job.sends == 0 {
        let now = job.gateway.timer.now();
        job.gateway.retry_budgets.record_first(now, &job.service);
        job.gateway.hedging.record_first(job.prompt_tokens());
    }
    job.sends += 1;
    if let Some(charge) = &mut job.charge {
        charge.mark_sent();
    }
    Ok(PreparedAttempt {
        deadline: attempt_deadline(job),
        request: build_request(job, &attempt.pick, resume_after),
        attempt,
        connection,
    })
}

/// Obtains a share of the rate of the upstream that suits the request best, if that is at its rate
/// and the owner may grant one soon.
async fn acquire_share(job: &Job) {
    let gateway = &job.gateway;
    if !gateway.upstreams.has_rates() {
        return;
    }
    let routers = gateway.nodes.reach().known;
    let found = gateway.upstreams.find_limited(&job.criteria(), routers);
    let Some(limited) = found else {
        return;
    };
    let owner = match limited.may_wait {
        true => Some(gateway.nodes.acquire_share(&limited.upstream).await),
        false => None,
    };
    let now = gateway.timer.now();
    gateway.metrics.rates.add(match owner {
        Some(_) => "asked",
        None => "passed_over",
    });
    log::info!(
        target: "request",
        id = &*job.metadata.attempt_id, upstream:% = limited.upstream,
        rate = limited.known.rate.map_or(0, |rate| rate.0), version = limited.known.version,
        age = now.saturating_sub(limited.known.heard_at).0, granted = limited.share.granted,
        wait = limited.share.wait.0, silent = limited.share.silent,
        owner = owner.map_or(String::new(), |owner| owner.to_string());
        "upstream is at its rate"
    );
}

/// Chooses an upstream that was not tried yet and starts an attempt at it.
fn choose(job: &mut Job) -> Result<AttemptGuard, AttemptFailure> {
    let gateway = &job.gateway;
    let pick = gateway.upstreams.choose(&job.criteria()).map_err(|error| {
        let evidence = NotRun::from_choice(&error);
        let refusal = match error {
            ChoiceError::Quarantined { until } | ChoiceError::Unconfirmed { until } => {
                let wait = until.saturating_sub(gateway.timer.now());
                log::info!(target: "upstream", id = &*job.metadata.attempt_id, parts = job.log_parts().as_str(), wait = wait.0; "request quarantined");
                Refusal::Quarantined { wait }
            }
            ChoiceError::RateLimited { until } => {
                gateway.metrics.rates.add("turned_away");
                let wait = until.saturating_sub(gateway.timer.now());
                Refusal::RateLimited { wait }
            }
            ChoiceError::Paused { until } => {
                let kind = Kind::Service(job.service.clone());
                let id = &job.metadata.attempt_id;
                let wait = gateway.upstreams.turn_away_paused(id, &kind, until);
                Refusal::Paused { wait }
            }
            ChoiceError::NoneKnown if gateway.upstreams.has_doubted_candidate(&job.criteria()) => {
                Refusal::VersionUnknown {
                    wait: Some(DOUBT_RETRY_AFTER),
                }
            }
            ChoiceError::NoneKnown if job.release.is_some() => Refusal::VersionGone,
            ChoiceError::Evacuated => Refusal::Evacuated,
            ChoiceError::Full => Refusal::Full,
            ChoiceError::NoneKnown | ChoiceError::NoneUsable => Refusal::NoUpstream,
        };
        AttemptFailure::not_run(refusal, evidence)
    })?;
    job.tried.push(pick.upstream.clone());
    job.paused = pick.paused;
    Ok(AttemptGuard::new(Arc::clone(gateway), pick))
}

/// Opens a connection to the chosen upstream or reuses an idle one.
async fn connect(job: &mut Job, attempt: &AttemptGuard) -> Result<Connection, AttemptFailure> {
    let gateway = Arc::clone(&job.gateway);
    let id = &job.metadata.attempt_id;
    match gateway.pool.connect(attempt.pool_key(), id).await {
        Ok(connection) => {
            let is_kept = connection.exchanges > 0;
            let label = if is_kept { "kept" } else { "new" };
            gateway.metrics.connections.add(label);
            Ok(connection)
        }
        Err(error) => {
            job.reason = "unreachable";
            log::info!(target: "upstream", id = &*job.metadata.attempt_id, upstream:% = attempt.pick.upstream, error:% = error; "not connected");
            gateway.metrics.connections.add("failed");
            // Packets wait at a full link of this router, which is no fault of the upstream.
            let (outcome, refusal) = match error.is_connect_timeout() && gateway.room.is_full() {
                true => (
                    AttemptOutcome::Neutral,
                    Refusal::NoRoom { wait: Millis::ZERO },
                ),
                false => (AttemptOutcome::Unreachable, Refusal::NoUpstream),
            };
            gateway.upstreams.end(attempt.pick.attempt, outcome);
            Err(AttemptFailure {
                refusal,
                not_run: NotRun::from_exchange(&error),
                response: None,
            })
        }
    }
}

/// Checks that the upstream still takes requests after the wait for a connection.
fn check_choice(job: &mut Job, attempt: &AttemptGuard) -> Result<(), AttemptFailure> {
    if job.gateway.upstreams.may_send(&attempt.pick) {
        return Ok(());
    }
    job.reason = "withdrawn";
    job.gateway.metrics.connections.add("withdrawn");
    let evidence = NotRun::not_begun();
    Err(AttemptFailure::not_run(Refusal::NoUpstream, evidence))
}

/// Returns the time by which an upstream has to answer. For a stream, it only bounds the first
/// events.
fn attempt_deadline(job: &Job) -> Instant {
    let left = job.time_left() + DEADLINE_SLACK;
    let may_rerun = job.route.kind.is_retryable() && job.runs + 1 < job.route.max_attempts;
    let timeout = match may_rerun {
        true => left.min(Millis(job.route.target_latency.0 * ATTEMPT_TIMEOUT_TARGETS)),
        false => left,
    };
    Instant::now() + Duration::from_millis(timeout.0)
}

/// Builds the request for the chosen upstream: the caller's method, path and body with rewritten
/// headers.
fn build_request(job: &Job, pick: &Pick, resume_after: Option<u64>) -> Request<Full<Bytes>> {
    let mut headers = job.head.headers.clone();
    let hop = HopMetadata {
        timeout: job.time_left(),
        upstream: &pick.upstream,
        workspace: job.workspace.as_ref(),
        priority: job.priority,
        resume_after,
    };
    job.gateway.dialect.rewrite_headers(&mut headers, &hop);
    let mut request = Request::new(Full::new(job.body.clone()));
    *request.method_mut() = job.head.method.clone();
    *request.uri_mut() = origin_form(&job.head.uri);
    if job.body.is_empty() && !job.head.headers.contains_key(header::CONTENT_LENGTH) {
        headers.remove(header::CONTENT_LENGTH);
    } else {
        headers.insert(header::CONTENT_LENGTH, job.body.len().into());
    }
    *request.headers_mut() = headers;
    request
}

/// Returns the URI reduced to its path and query, as sent to an origin server rather than to a
/// proxy.
fn origin_form(uri: &Uri) -> Uri {
    match uri.path_and_query() {
        Some(path) => Uri::from(path.clone()),
        None => Uri::from_static("/"),
    }
}
