//! Sends a request to upstreams until one answers.
//!
//! After an attempt that did not run, the request is retried while its deadline and the retry
//! budget allow it. After one that may have run, it is retried only if the route's requests are
//! idempotent or resumable, up to the route's maximum number of attempts.

use std::time::Duration;

use bytes::Bytes;
use chestnutnotch_core::id::Release;
use chestnutnotch_core::route::RequestKind;
use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::upstream::AttemptOutcome;
use chestnutnotch_core::upstream::ChoiceError;
use chestnutnotch_core::upstream::Kind;
use chestnutnotch_core::upstream::Pick;
use chestnutnotch_core::upstream::origin::Software;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Uri;
use http::header;
use http::response;
use http_body_util::Full;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::dialect::HopMetadata;
use crate::edges::http::AnswerBody;
use crate::edges::http::NotRun;
use crate::edges::http::ReplyBody;
use crate::edges::http::pool::Connection;
use crate::edges::http::pool::PoolKey;
use crate::gateway::front::Gateway;
use crate::gateway::front::kind_label;
use crate::gateway::front::stream_id;
use crate::gateway::job::Job;
use crate::gateway::refusal::Refusal;
use crate::gateway::stream;
use crate::gateway::verdict;

/// Maximum number of attempts of one request that reach an upstream, including refused ones.
const MAX_SENDS: u32 = 3;

/// Maximum number of attempts of one request that are never sent, because no upstream was available
/// or its connection failed.
const MAX_UNSENT_ATTEMPTS: u32 = 4;

/// Timeout of an attempt while another one may still run, in multiples of the route's target
/// latency.
const ATTEMPT_TIMEOUT_TARGETS: u64 = 2;

/// Retry delay for a caller that takes up a stream while every upstream of its version may have
/// started again. Heartbeats show it after some seconds.
const DOUBT_RETRY_AFTER: Millis = Millis(1_000);

/// Extra wait after the deadline for an upstream's own timeout answer: a round trip within a region
/// and the upstream's delay in detecting the timeout.
const DEADLINE_SLACK: Millis = Millis(80);

/// Largest answer that is buffered until it is complete, in bytes. A larger one is streamed.
const MAX_BUFFERED_BYTES: usize = 1 << 20;

/// An attempt in flight. If dropped before [`AttemptGuard::end`], it is recorded as
/// [`AttemptOutcome::Neutral`], which says nothing about the upstream.
pub struct AttemptGuard {
    gateway: std::sync::Arc<Gateway>,
    /// The chosen upstream and the id of the attempt.
    pub pick: Pick,
    /// Whether the outcome is still to be recorded.
    pending: bool,
}

impl AttemptGuard {
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

/// An upstream's answer whose head has arrived.
pub struct OpenResponse {
    /// The attempt that it answers.
    pub attempt: AttemptGuard,
    /// Connection that the answer arrives on.
    pub connection: Connection,
    /// Status and headers.
    pub head: response::Parts,
    /// The part of the body that was not read yet.
    pub body: AnswerBody,
    /// The part of the body that was read but not forwarded.
    pub received: Bytes,
}

/// Successful result of an attempt.
pub enum AttemptResponse {
    /// A complete answer.
    Complete(Response<ReplyBody>),
    /// An answer to be streamed: events whose first bytes have arrived, or a body too large to
    /// buffer.
    Stream(Box<OpenResponse>),
}

/// Why an attempt gave no usable answer.
pub struct AttemptFailure {
    /// Refusal for the caller if no further attempt is made.
    pub refusal: Refusal,
    /// Evidence that this attempt did not run. Without it, the request may have run.
    pub not_run: Option<NotRun>,
    /// The upstream's error answer, forwarded to the caller if no further attempt is made.
    pub response: Option<Box<Response<ReplyBody>>>,
}

impl AttemptFailure {
    /// Returns the failure of an attempt that did not run.
    pub fn not_run(refusal: Refusal, evidence: NotRun) -> Self {
        Self {
            refusal,
            not_run: Some(evidence),
            response: None,
        }
    }

    /// Returns the failure of an attempt that may have run.
    pub fn maybe_ran(refusal: Refusal) -> Self {
        Self {
            refusal,
            not_run: None,
            response: None,
        }
    }
}

/// Sends a request to upstreams until one answers or no further attempt is allowed. A streamed
/// answer continues in a task of its own after this returns.
pub async fn run(mut job: Job) -> Response<ReplyBody> {
    let mut unsent = 0;
    loop {
        let sends_before = job.sends;
        let failure = match attempt(&mut job, None).await {
            Ok(AttemptResponse::Complete(response)) => {
                let times = &job.gateway.route_times;
                times.record(&job.route.name, job.elapsed());
                job.log_end(response.status(), "served", None);
                return response;
            }
            Ok(AttemptResponse::Stream(opened)) => return stream::relay(job, *opened),
            Err(failure) => failure,
        };
        job.record_failure(&failure);
        unsent += u32::from(sends_before == job.sends);
        let again = match failure.not_run {
            None => job.may_rerun(),
            Some(_) => is_temporary(&failure.refusal) && unsent < MAX_UNSENT_ATTEMPTS,
        };
        if !again || job.sends >= MAX_SENDS || job.time_left() == Millis::ZERO || !job.take_retry()
        {
            return final_response(&job, failure);
        }
        job.log_retry(&failure);
    }
}

/// Returns whether another attempt may succeed after one that did not run.
fn is_temporary(refusal: &Refusal) -> bool {
    matches!(refusal, Refusal::Full | Refusal::NoUpstream)
}

/// Returns the answer to a request after its last failed attempt.
fn final_response(job: &Job, failure: AttemptFailure) -> Response<ReplyBody> {
    if let Some(response) = failure.response {
        job.log_end(response.status(), "passed_on", None);
        return *response;
    }
    // The evidence is about the last attempt and does not cover an earlier one that may have run.
    let evidence = failure.not_run.filter(|_| job.runs == 0);
    let refusal = failure.refusal.supported_by(evidence);
    job.log_end(refusal.status(), refusal.code(), evidence);
    refusal.response(job.route.target_latency, evidence)
}

/// Sends the request to one upstream. With `resume_after`, asks for the rest of a stream after the
/// event of that number.
///
/// # Errors
///
/// See [`AttemptFailure`].
pub async fn attempt(
    job: &mut Job,
    resume_after: Option<u64>,
) -> Result<AttemptResponse, AttemptFailure> {
    if job.time_left() == Millis::ZERO {
        let evidence = NotRun::not_begun();
        return Err(AttemptFailure::not_run(Refusal::DeadlinePassed, evidence));
    }
    acquire_share(job).await;
    let attempt = choose(job)?;
    let mut connection = connect(job, &attempt).await?;
    check_choice(job, &attempt)?;
    let now = job.gateway.timer.now();
    if job.sends == 0 {
        job.gateway.retry_budgets.record_first(now, &job.service);
    }
    job.sends += 1;
    if let Some(charge) = &mut job.charge {
        charge.mark_sent();
    }
    let deadline = attempt_deadline(job);
    let request = build_request(job, &attempt.pick, resume_after);
    let sending = timeout_at(deadline, connection.send(request)).await;
    let response = match sending {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => return Err(verdict::on_broken(job, attempt, &error)),
        Err(_) => return Err(verdict::on_timeout(job, attempt)),
    };
    let (head, incoming) = response.into_parts();
    let body = match job.route.kind.is_stream() && head.status == StatusCode::OK {
        true => AnswerBody::events(&head, incoming),
        false => AnswerBody::opaque(&head, incoming),
    };
    job.gateway.metrics.framings.add(body.framing().label());
    let metadata = job.gateway.dialect.read_answer(head.status, &head.headers);
    let opened = OpenResponse {
        attempt,
        connection,
        head,
        body,
        received: Bytes::new(),
    };
    let opened = verdict::check_head(job, &metadata, opened)?;
    if opened.head.status.is_success() {
        let upstreams = &job.gateway.upstreams;
        upstreams.record_answer_head(opened.attempt.pick.attempt);
    }
    match opened.body.is_events() {
        true => await_first_events(job, opened, deadline).await,
        false => read_whole(job, opened, deadline).await,
    }
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
            ChoiceError::Full => Refusal::Full,
            ChoiceError::NoneKnown | ChoiceError::NoneUsable => Refusal::NoUpstream,
        };
        AttemptFailure::not_run(refusal, evidence)
    })?;
    job.tried.push(pick.upstream.clone());
    job.paused = pick.paused;
    Ok(AttemptGuard {
        gateway: std::sync::Arc::clone(gateway),
        pick,
        pending: true,
    })
}

/// Opens a connection to the chosen upstream or reuses an idle one.
async fn connect(job: &mut Job, attempt: &AttemptGuard) -> Result<Connection, AttemptFailure> {
    let gateway = std::sync::Arc::clone(&job.gateway);
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

/// Buffers a whole answer before any of it is forwarded, so that a broken one can be retried or
/// reported as an error. Answers larger than [`MAX_BUFFERED_BYTES`], or than there is memory for, are
/// returned as streams.
async fn read_whole(
    job: &mut Job,
    mut opened: OpenResponse,
    deadline: Instant,
) -> Result<AttemptResponse, AttemptFailure> {
    let memory = job.gateway.memory.clone();
    let reading = opened.body.read_within(MAX_BUFFERED_BYTES, &memory);
    let (buffer, is_complete) = match timeout_at(deadline, reading).await {
        Ok(Ok(read)) => read,
        Ok(Err(fault)) => return Err(verdict::on_fault(job, opened.attempt, &fault)),
        Err(_) => return Err(verdict::on_timeout(job, opened.attempt)),
    };
    if !is_complete {
        if buffer.len() <= MAX_BUFFERED_BYTES {
            job.gateway.metrics.answer_memory.add("not_held");
            log::info!(target: "upstream", id = &*job.metadata.attempt_id, upstream:% = opened.attempt.pick.upstream, bytes = buffer.len(); "no memory to hold the whole answer");
        }
        opened.received = buffer;
        return Ok(AttemptResponse::Stream(Box::new(opened)));
    }
    let OpenResponse {
        attempt,
        connection,
        head,
        ..
    } = opened;
    if head.status.is_success() {
        let upstreams = &job.gateway.upstreams;
        upstreams.record_answer_start(attempt.pick.attempt);
    }
    attempt.end(AttemptOutcome::Completed);
    job.gateway.pool.keep(connection, &head.headers);
    let status = head.status;
    let response = Response::from_parts(stream::strip_head(head), ReplyBody::whole(buffer));
    if status.is_server_error() {
        job.reason = "upstream_error";
        return Err(AttemptFailure {
            refusal: Refusal::AnswerLost,
            not_run: None,
            response: Some(Box::new(response)),
        });
    }
    Ok(AttemptResponse::Complete(response))
}

/// Waits for the first events of a stream, so that one that breaks before them can be retried or
/// reported as an error.
async fn await_first_events(
    job: &mut Job,
    mut opened: OpenResponse,
    deadline: Instant,
) -> Result<AttemptResponse, AttemptFailure> {
    match timeout_at(deadline, opened.body.next()).await {
        Ok(Ok(Some(events))) => {
            opened.received = events;
            job.gateway
                .upstreams
                .record_answer_start(opened.attempt.pick.attempt);
            check_release(job, opened).await
        }
        Ok(Ok(None)) => Ok(AttemptResponse::Stream(Box::new(opened))),
        Ok(Err(fault)) => Err(verdict::on_fault(job, opened.attempt, &fault)),
        Err(_) => Err(verdict::on_timeout(job, opened.attempt)),
    }
}

/// Ties the request to the software version of the upstream that began its stream. A stream that is
/// tied to one already goes on only there: the upstream may have started again with another version
/// since it was chosen.
async fn check_release(
    job: &mut Job,
    opened: OpenResponse,
) -> Result<AttemptResponse, AttemptFailure> {
    let served = job.gateway.upstreams.release(&opened.attempt.pick);
    match &job.release {
        None => {
            job.release = served;
            record_origin(job).await;
        }
        Some(wanted) if served.as_ref() == Some(wanted) => {}
        Some(_) => return Err(verdict::on_other_release(job, opened.attempt)),
    }
    Ok(AttemptResponse::Stream(Box::new(opened)))
}

/// Keeps the software that began the stream, if its caller may take it up again. An attempt
/// without an id can't be named then.
async fn record_origin(job: &Job) {
    if let Some(release) = &job.release
        && job.route.kind == RequestKind::Resumable
        && !job.metadata.attempt_id.is_empty()
    {
        let stream = stream_id(job.workspace.as_ref(), &job.metadata.attempt_id);
        let software = Software {
            service: job.service.clone(),
            release: release.clone(),
        };
        job.gateway.nodes.record_origin(stream, software).await;
    }
}

impl Job {
    /// Takes one retry from the service's retry budget and returns whether there was one. Free as
    /// long as no attempt has reached an upstream.
    pub fn take_retry(&self) -> bool {
        if self.sends == 0 {
            return true;
        }
        let now = self.gateway.timer.now();
        let routers = self.gateway.router_count();
        let granted = self.gateway.retry_budgets.take(now, &self.service, routers);
        let label = if granted { "granted" } else { "no_budget" };
        self.gateway.metrics.retries.add(label);
        granted
    }

    /// Counts the attempt as run unless it is proved that it did not run.
    pub fn record_failure(&mut self, failure: &AttemptFailure) {
        match failure.not_run {
            Some(evidence) => self.gateway.metrics.not_run.add(evidence.label()),
            None => self.runs += 1,
        }
    }

    /// Logs the end of the request and counts it in the metrics. `evidence` is that the request did
    /// not run, if the answer says so.
    pub fn log_end(&self, status: StatusCode, outcome: &'static str, evidence: Option<NotRun>) {
        let ms = self.elapsed().0;
        let kind = kind_label(self.route.kind);
        self.gateway.metrics.count_pass_through(kind, outcome);
        self.gateway.metrics.requests.add(outcome);
        if !self.route.kind.is_stream() {
            self.gateway.metrics.observe_latency(kind, ms);
        }
        log::info!(
            target: "request",
            id = &*self.metadata.attempt_id, route = &*self.route.name, kind, outcome,
            status = status.as_u16(), ms, sends = self.sends, reason = self.reason, paused = self.paused,
            not_run = evidence.map_or("", NotRun::label),
            upstream = self.tried.last().map_or("", |upstream| upstream.as_str()),
            charged = self.charge.as_ref().map_or(0, |charge| charge.due().0);
            "answered"
        );
    }

    fn log_retry(&self, failure: &AttemptFailure) {
        log::info!(
            target: "request",
            id = &*self.metadata.attempt_id, route = &*self.route.name, code = failure.refusal.code(),
            not_run = failure.not_run.map_or("", NotRun::label), reason = self.reason, left = self.time_left().0, sends = self.sends;
            "sent again"
        );
    }
}
