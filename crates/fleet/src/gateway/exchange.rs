//! Sends a request to upstreams until one answers.
//!
//! An attempt that did not run is followed by another one while time and the retry budget allow it.
//! One that may have run is followed only where the route's requests may be repeated, and then by as
//! many as the route allows.

use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::upstream::AttemptOutcome;
use chestnutnotch_core::upstream::ChoiceError;
use chestnutnotch_core::upstream::Pick;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Uri;
use http::header;
use http::response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Incoming;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::dialect::Answer;
use crate::dialect::Hop;
use crate::edges::http::ReplyBody;
use crate::edges::http::pool::Connection;
use crate::edges::http::pool::ExchangeError;
use crate::edges::http::pool::PoolKey;
use crate::gateway::front::Front;
use crate::gateway::front::kind;
use crate::gateway::job::Job;
use crate::gateway::refusal::Refusal;
use crate::gateway::stream;

/// Most attempts of one request that reach an upstream, those included that were refused.
const SENDS: u32 = 3;

/// Most upstreams in a row that can't be connected to.
const CONNECTS: u32 = 4;

/// Patience with an upstream that does not begin to answer, in targets, while another may be tried.
const PATIENCE_TARGETS: u64 = 2;

/// Time past the deadline that the upstream's own last word may take: a round trip within a region
/// and its delay of noticing.
const LAST_WORD: Millis = Millis(80);

/// Largest answer of a plain service that is held back until it is whole, in bytes.
const WHOLE_BYTES: usize = 1 << 20;

/// Longest wait for the rest of a refusal's body, so that its connection can be kept.
const DRAIN_WITHIN: Duration = Duration::from_millis(200);

/// An attempt in flight. Dropped without a word, it ends as one that says nothing of the upstream.
pub struct Flying {
    front: std::sync::Arc<Front>,
    /// Where it went.
    pub pick: Pick,
    open: bool,
}

impl Flying {
    /// Counts how the attempt ended, and tells other routers what it means for its request.
    pub fn end(mut self, ended: AttemptOutcome) {
        self.open = false;
        self.front.upstreams.end(self.pick.attempt, ended);
        if ended == AttemptOutcome::Broken {
            self.front
                .nodes
                .share_crashes(self.front.upstreams.drain_crashes());
        }
    }
}

impl Drop for Flying {
    fn drop(&mut self) {
        if self.open {
            self.front
                .upstreams
                .end(self.pick.attempt, AttemptOutcome::Neutral);
        }
    }
}

/// An answer that has begun.
pub struct Opened {
    /// The attempt.
    pub flying: Flying,
    /// Its connection.
    pub connection: Connection,
    /// Head of the answer.
    pub head: response::Parts,
    /// Rest of the answer.
    pub body: Incoming,
    /// What was read of it so far.
    pub read: Bytes,
}

/// What an attempt gave.
pub enum Got {
    /// A whole answer.
    Whole(Response<ReplyBody>),
    /// A stream of events, with the first bytes.
    Stream(Box<Opened>),
}

/// Why an attempt gave no answer to pass on.
pub struct Miss {
    /// What the caller is told if it was the last.
    pub refusal: Refusal,
    /// Whether the request may have run.
    pub ran: bool,
    /// The upstream's own answer, to be passed on if it was the last.
    pub answer: Option<Box<Response<ReplyBody>>>,
}

impl Miss {
    fn not_run(refusal: Refusal) -> Self {
        Self {
            refusal,
            ran: false,
            answer: None,
        }
    }

    fn ran(refusal: Refusal) -> Self {
        Self {
            refusal,
            ran: true,
            answer: None,
        }
    }
}

/// Runs a request to the head of its answer; a stream goes on by itself.
pub async fn run(mut job: Job) -> Response<ReplyBody> {
    let mut connects = 0;
    loop {
        let sends = job.sends;
        let miss = match attempt(&mut job, None).await {
            Ok(Got::Whole(response)) => {
                job.log(response.status(), "served");
                return response;
            }
            Ok(Got::Stream(opened)) => return stream::relay(job, *opened),
            Err(miss) => miss,
        };
        job.runs += u32::from(miss.ran);
        connects += u32::from(sends == job.sends);
        let again = match miss.ran {
            true => job.may_rerun(),
            false => is_passing(&miss.refusal) && connects < CONNECTS,
        };
        if !again || job.sends >= SENDS || job.left() == Millis::ZERO || !job.may_retry() {
            return finish(&job, miss);
        }
        job.log_retry(&miss);
    }
}

/// Whether another attempt may end otherwise than one that did not run.
fn is_passing(refusal: &Refusal) -> bool {
    matches!(refusal, Refusal::Full | Refusal::NoUpstream)
}

/// The last answer to a request that no upstream served.
fn finish(job: &Job, miss: Miss) -> Response<ReplyBody> {
    if let Some(answer) = miss.answer {
        job.log(answer.status(), "passed_on");
        return *answer;
    }
    let refusal = match (job.runs, miss.refusal) {
        (0, refusal) => refusal,
        // An earlier attempt may have run, so nothing may say that the request did not.
        (_, refusal @ (Refusal::Lost | Refusal::Late)) => refusal,
        (_, _) => Refusal::Lost,
    };
    job.log(refusal.status(), refusal.code());
    refusal.response(job.route.target_latency)
}

/// One attempt. With `resume`, the rest of a stream after that event is asked for.
///
/// # Errors
///
/// See [`Miss`].
pub async fn attempt(job: &mut Job, resume: Option<u64>) -> Result<Got, Miss> {
    if job.left() == Millis::ZERO {
        return Err(Miss::not_run(Refusal::Overdue));
    }
    let flying = choose(job)?;
    let mut connection = connect(job, &flying).await?;
    let now = job.front.timer.now();
    if job.sends == 0 {
        job.front.retries.first(now, &job.service);
    }
    job.sends += 1;
    if let Some(charge) = &mut job.charge {
        charge.sent();
    }
    let until = patience(job);
    let request = request(job, &flying.pick, resume);
    let sending = timeout_at(until, connection.send(request)).await;
    let response = match sending {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => return Err(broke(job, flying, &error)),
        Err(_) => return Err(late(job, flying)),
    };
    let (head, body) = response.into_parts();
    let answer = job.front.dialect.answer(head.status, &head.headers);
    if let Some(load) = answer.load {
        job.front.upstreams.update_load(&flying.pick, load);
    }
    let opened = Opened {
        flying,
        connection,
        head,
        body,
        read: Bytes::new(),
    };
    if answer.refused {
        return Err(refused(job, opened));
    }
    if !is_genuine(job, &answer, opened.head.status) {
        job.reason = "foreign_answer";
        opened.flying.end(AttemptOutcome::Broken);
        return Err(Miss::ran(Refusal::Lost));
    }
    match job.route.kind.is_stream() && opened.head.status == StatusCode::OK {
        true => first_events(job, opened, until).await,
        false => whole(job, opened, until).await,
    }
}

fn choose(job: &mut Job) -> Result<Flying, Miss> {
    let front = &job.front;
    let pick = front.upstreams.choose(&job.wanted()).map_err(|absent| {
        Miss::not_run(match absent {
            ChoiceError::Quarantined { .. } | ChoiceError::Unconfirmed { .. } => {
                Refusal::Quarantined
            }
            ChoiceError::Full => Refusal::Full,
            ChoiceError::NoneKnown | ChoiceError::NoneUsable => Refusal::NoUpstream,
        })
    })?;
    job.tried.push(pick.upstream.clone());
    Ok(Flying {
        front: std::sync::Arc::clone(front),
        pick,
        open: true,
    })
}

async fn connect(job: &mut Job, flying: &Flying) -> Result<Connection, Miss> {
    let place = PoolKey {
        address: flying.pick.address,
        incarnation: flying.pick.incarnation.0,
    };
    let front = std::sync::Arc::clone(&job.front);
    match front.pool.connect(place).await {
        Ok(connection) => {
            let word = if connection.reused { "kept" } else { "new" };
            front.metrics.connections.add(word);
            Ok(connection)
        }
        Err(error) => {
            job.reason = "unreachable";
            log::info!(target: "upstream", id = &*job.ask.id, upstream:% = flying.pick.upstream, error:% = error; "not connected");
            front.metrics.connections.add("failed");
            front
                .upstreams
                .end(flying.pick.attempt, AttemptOutcome::Unreachable);
            Err(Miss::not_run(Refusal::NoUpstream))
        }
    }
}

/// Until when an upstream may take to begin its answer.
fn patience(job: &Job) -> Instant {
    let left = job.left() + LAST_WORD;
    let another = job.route.kind.is_retryable() && job.runs + 1 < job.route.max_attempts;
    let patience = match another {
        true => left.min(Millis(job.route.target_latency.0 * PATIENCE_TARGETS)),
        false => left,
    };
    Instant::now() + Duration::from_millis(patience.0)
}

fn request(job: &Job, pick: &Pick, resume: Option<u64>) -> Request<Full<Bytes>> {
    let mut headers = job.head.headers.clone();
    let hop = Hop {
        within: job.left(),
        upstream: &pick.upstream,
        workspace: job.workspace.as_ref(),
        rank: job.rank,
        resume,
    };
    job.front.dialect.forward(&mut headers, &hop);
    let mut request = Request::new(Full::new(job.body.clone()));
    *request.method_mut() = job.head.method.clone();
    *request.uri_mut() = origin(&job.head.uri);
    if job.body.is_empty() && !job.head.headers.contains_key(header::CONTENT_LENGTH) {
        headers.remove(header::CONTENT_LENGTH);
    } else {
        headers.insert(header::CONTENT_LENGTH, job.body.len().into());
    }
    *request.headers_mut() = headers;
    request
}

/// Path and query alone: an upstream is no proxy.
fn origin(uri: &Uri) -> Uri {
    match uri.path_and_query() {
        Some(path) => Uri::from(path.clone()),
        None => Uri::from_static("/"),
    }
}

fn is_genuine(job: &Job, answer: &Answer, status: StatusCode) -> bool {
    let is_own = answer.id.as_ref().is_none_or(|id| *id == job.ask.id);
    is_own && (answer.signed || !status.is_success())
}

fn broke(job: &mut Job, flying: Flying, error: &ExchangeError) -> Miss {
    log::info!(target: "upstream", id = &*job.ask.id, upstream:% = flying.pick.upstream, error:% = error; "attempt broke off");
    match error {
        ExchangeError::Closed | ExchangeError::Unreachable { .. } => {
            job.reason = "closed_before";
            // Nothing was sent; the same upstream may be tried again.
            job.tried.pop();
            job.sends -= 1;
            if let Some(charge) = &mut job.charge {
                charge.unsent();
            }
            drop(flying);
            Miss::not_run(Refusal::NoUpstream)
        }
        ExchangeError::Broken(_) => {
            job.reason = "broken";
            flying.end(AttemptOutcome::Broken);
            Miss::ran(Refusal::Lost)
        }
    }
}

fn late(job: &mut Job, flying: Flying) -> Miss {
    job.reason = "late";
    log::info!(target: "upstream", id = &*job.ask.id, upstream:% = flying.pick.upstream, ms = job.age().0; "no answer in time");
    flying.end(AttemptOutcome::TimedOut);
    Miss::ran(Refusal::Late)
}

/// The upstream says that it did not run the request.
fn refused(job: &mut Job, opened: Opened) -> Miss {
    let status = opened.head.status;
    job.reason = "refused";
    log::info!(target: "upstream", id = &*job.ask.id, upstream:% = opened.flying.pick.upstream, status = status.as_u16(); "attempt refused");
    if let Some(charge) = &mut job.charge {
        charge.unsent();
    }
    let ended = match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => AttemptOutcome::Overload,
        // Another one has taken over the address.
        StatusCode::MISDIRECTED_REQUEST => AttemptOutcome::Unreachable,
        _ => AttemptOutcome::Neutral,
    };
    opened.flying.end(ended);
    drain(job, opened.connection, opened.head, opened.body);
    match ended {
        AttemptOutcome::Neutral => Miss::not_run(Refusal::NoUpstream),
        _ => Miss::not_run(Refusal::Full),
    }
}

/// Reads the rest of an answer in the background, so that its connection can be kept.
fn drain(job: &Job, connection: Connection, head: response::Parts, mut body: Incoming) {
    let pool = job.front.pool.clone();
    tokio::spawn(async move {
        let end = async { while let Some(Ok(_)) = body.frame().await {} };
        if tokio::time::timeout(DRAIN_WITHIN, end).await.is_ok() && body.is_end_stream() {
            pool.keep(connection, &head.headers);
        }
    });
}

/// Reads the answer of a plain service to its end before any of it is passed on, so that one that
/// breaks off can be tried again or told as a failure.
async fn whole(job: &mut Job, opened: Opened, until: Instant) -> Result<Got, Miss> {
    let Opened {
        flying,
        connection,
        head,
        mut body,
        ..
    } = opened;
    let mut all = BytesMut::new();
    loop {
        match timeout_at(until, body.frame()).await {
            Ok(None) => break,
            Ok(Some(Ok(frame))) => {
                if let Some(data) = frame.data_ref() {
                    all.extend_from_slice(data);
                }
            }
            Ok(Some(Err(error))) => {
                return Err(broke(job, flying, &ExchangeError::Broken(error)));
            }
            Err(_) => return Err(late(job, flying)),
        }
        if all.len() > WHOLE_BYTES {
            let opened = Opened {
                flying,
                connection,
                head,
                body,
                read: all.freeze(),
            };
            return Ok(Got::Stream(Box::new(opened)));
        }
    }
    flying.end(AttemptOutcome::Completed);
    job.front.pool.keep(connection, &head.headers);
    let status = head.status;
    let response = Response::from_parts(stream::head(head), ReplyBody::whole(all.freeze()));
    if status.is_server_error() {
        job.reason = "upstream_error";
        return Err(Miss {
            refusal: Refusal::Lost,
            ran: true,
            answer: Some(Box::new(response)),
        });
    }
    Ok(Got::Whole(response))
}

/// Waits for the first events, so that a stream that breaks off before them can be tried again or
/// told as a failure.
async fn first_events(job: &mut Job, mut opened: Opened, until: Instant) -> Result<Got, Miss> {
    match timeout_at(until, stream::data(&mut opened.body)).await {
        Ok(Some(Ok(data))) => {
            opened.read = data;
            job.front
                .upstreams
                .record_answer_start(opened.flying.pick.attempt);
            Ok(Got::Stream(Box::new(opened)))
        }
        Ok(None) => Ok(Got::Stream(Box::new(opened))),
        Ok(Some(Err(error))) => Err(broke(job, opened.flying, &ExchangeError::Broken(error))),
        Err(_) => Err(late(job, opened.flying)),
    }
}

impl Job {
    /// Takes another attempt from the retry budget of the service, if one reached an upstream.
    pub fn may_retry(&self) -> bool {
        if self.sends == 0 {
            return true;
        }
        let now = self.front.timer.now();
        let routers = self.front.routers();
        let granted = self.front.retries.take(now, &self.service, routers);
        let word = if granted { "granted" } else { "no_budget" };
        self.front.metrics.retries.add(word);
        granted
    }

    /// Logs and counts the end of the request.
    pub fn log(&self, status: StatusCode, outcome: &'static str) {
        let ms = self.age().0;
        let kind = kind(self.route.kind);
        self.front.metrics.count_pass_through(kind, outcome);
        self.front.metrics.requests.add(outcome);
        if !self.route.kind.is_stream() {
            self.front.metrics.observe_latency(kind, ms);
        }
        log::info!(
            target: "request",
            id = &*self.ask.id, route = &*self.route.name, kind, outcome,
            status = status.as_u16(), ms, sends = self.sends, reason = self.reason,
            upstream = self.tried.last().map_or("", |upstream| upstream.as_str()),
            charged = self.charge.as_ref().map_or(0, |charge| charge.due().0);
            "answered"
        );
    }

    fn log_retry(&self, miss: &Miss) {
        log::info!(
            target: "request",
            id = &*self.ask.id, route = &*self.route.name, code = miss.refusal.code(),
            ran = miss.ran, reason = self.reason, left = self.left().0, sends = self.sends;
            "sent again"
        );
    }
}
