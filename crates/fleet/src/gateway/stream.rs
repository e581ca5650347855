//! Forwards a stream of events as it arrives, and resumes a broken one where the route allows it.

use std::time::Duration;

use bytes::Bytes;
use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::unit::Tokens;
use chestnutnotch_core::upstream::AttemptOutcome;
use http::HeaderMap;
use http::Response;
use http::StatusCode;
use http::header;
use http::response;
use thiserror::Error;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::edges::http::AnswerFault;
use crate::edges::http::Framing;
use crate::edges::http::Part;
use crate::edges::http::ReplyBody;
use crate::edges::http::events;
use crate::gateway::exchange;
use crate::gateway::exchange::AttemptResponse;
use crate::gateway::exchange::OpenResponse;
use crate::gateway::job::Job;

/// Maximum number of chunks queued for a slow caller. Reading from the upstream pauses while the
/// queue is full.
const MAX_QUEUED_CHUNKS: usize = 16;

/// Maximum number of attempts to resume a stream after one failure, including those that find no
/// upstream. Each takes a retry from the budget of all requests for the service.
const MAX_RESUME_ATTEMPTS: u32 = 4;

/// Hop-by-hop headers, which apply to a single connection.
const HOP_BY_HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Why a stream ended early.
#[derive(Debug, Error)]
enum StreamFault {
    /// The stream is not complete.
    #[error(transparent)]
    Answer(#[from] AnswerFault),
    /// An event is missing or was sent twice.
    #[error("event {found} came after event {last}")]
    Order {
        /// Number of the last event that was forwarded.
        last: u64,
        /// Number of the event that arrived.
        found: u64,
    },
    /// The answer to a resume has an event without a number, or text that is no event.
    #[error("the answer to a resume has an event without a number")]
    Unnumbered,
    /// The answer to a resume has no event. There is no end marker, so that this does not prove
    /// that the stream was complete.
    #[error("the answer to a resume has no event")]
    NoRest,
}

impl StreamFault {
    /// Returns the name of the fault in metrics.
    fn label(&self) -> &'static str {
        match self {
            Self::Answer(fault) => fault.label(),
            Self::Order { .. } => "order",
            Self::Unnumbered => "unnumbered",
            Self::NoRest => "no_rest",
        }
    }
}

/// The caller has disconnected.
struct CallerGone;

/// How forwarding a stream ended.
enum StreamEnd {
    Whole,
    CallerGone,
    DeadlinePassed,
    Faulty(StreamFault),
}

/// Removes the hop-by-hop headers, including those that the `Connection` header names.
pub fn strip_hop_headers(headers: &mut HeaderMap) {
    let connection_options: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in connection_options {
        headers.remove(name.as_str());
    }
    for name in HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
}

/// Returns the head of an upstream's answer as it is forwarded to the caller.
pub fn strip_head(mut head: response::Parts) -> response::Parts {
    strip_hop_headers(&mut head.headers);
    head.version = http::Version::HTTP_11;
    head.extensions.clear();
    head
}

/// Returns an answer whose body is forwarded from the upstream by a task of its own.
pub fn relay(job: Job, mut opened: OpenResponse) -> Response<ReplyBody> {
    let (tx, rx) = mpsc::channel(MAX_QUEUED_CHUNKS);
    let mut parts = strip_head(opened.head);
    if job.route.kind.is_retryable() {
        // The total length can differ after a resume at another upstream.
        parts.headers.remove(header::CONTENT_LENGTH);
    }
    opened.head = parts.clone();
    let relay = Relay {
        last_event: job.metadata.resume_after,
        job,
        tx,
        has_unnumbered: false,
        event_count: 0,
        rest_count: None,
        status: parts.status,
    };
    tokio::spawn(relay.run(opened));
    Response::from_parts(parts, ReplyBody::Stream(rx))
}

/// Returns whether an answer to a resume may continue the stream, by its head: events as such,
/// which [`exchange::attempt`] has tied to the request. Its events are checked as they arrive.
fn may_continue(opened: &OpenResponse) -> bool {
    let is_encoded = opened.head.headers.contains_key(header::CONTENT_ENCODING);
    opened.head.status == StatusCode::OK && opened.body.is_events() && !is_encoded
}

/// Checks that the event with number `found` comes next after `last`, if there was one.
fn check_order(last: Option<u64>, found: u64) -> Result<(), StreamFault> {
    match last {
        Some(last) if last.checked_add(1) != Some(found) => Err(StreamFault::Order { last, found }),
        _ => Ok(()),
    }
}

/// Forwards the streamed answer of one request, over several upstreams if it is resumed.
struct Relay {
    job: Job,
    tx: mpsc::Sender<Part>,
    /// Number of the last event that was forwarded, or that the caller resumes after.
    last_event: Option<u64>,
    /// Whether an event with data had no number, so that a resumed stream could repeat it.
    has_unnumbered: bool,
    /// Number of events forwarded.
    event_count: u64,
    /// Number of events forwarded from the answer to the last resume; `None` before the first one.
    rest_count: Option<u64>,
    /// Status of the answer, for the log.
    status: StatusCode,
}

impl Relay {
    async fn run(mut self, mut opened: OpenResponse) {
        let first = self.job.elapsed().0;
        let kind = crate::gateway::front::kind_label(self.job.route.kind);
        self.job.gateway.metrics.observe_latency(kind, first);
        loop {
            let end = self.forward_events(&mut opened).await;
            let framing = opened.body.framing();
            let outcome = match end {
                StreamEnd::Whole => {
                    opened.attempt.end(AttemptOutcome::Completed);
                    let pool = &self.job.gateway.pool;
                    pool.keep(opened.connection, &opened.head.headers);
                    // Fails only if the caller has disconnected, which needs no end.
                    let _ = self.tx.send(Part::End).await;
                    let times = &self.job.gateway.route_times;
                    times.record(&self.job.route.name, self.job.elapsed());
                    "served"
                }
                StreamEnd::CallerGone => "caller_gone",
                StreamEnd::DeadlinePassed => "overdue",
                StreamEnd::Faulty(fault) => {
                    let upstream = opened.attempt.pick.upstream.clone();
                    log::info!(target: "upstream", id = &*self.job.metadata.attempt_id, upstream:% = upstream, version = opened.attempt.version(), parts = self.job.log_parts().as_str(), error:% = fault, framing = framing.label(), events = self.event_count; "stream broke off");
                    self.job.gateway.metrics.faults.add(fault.label());
                    opened.attempt.end(AttemptOutcome::Broken);
                    self.job.runs += 1;
                    self.job.reason = "stream_broke";
                    let may_resume = opened.body.is_events() && !self.has_unnumbered;
                    // Closing the connection cancels the run at this upstream, which may go on
                    // with it otherwise while another one takes it up.
                    drop((opened.body, opened.connection));
                    let next = match may_resume {
                        true => self.resume().await,
                        false => None,
                    };
                    match next {
                        Some(next) => {
                            opened = next;
                            continue;
                        }
                        None => "cut_short",
                    }
                }
            };
            self.log(outcome, first, framing);
            return;
        }
    }

    /// Forwards events until the stream ends, fails, times out or is abandoned by the caller.
    async fn forward_events(&mut self, opened: &mut OpenResponse) -> StreamEnd {
        let deadline = Instant::now() + Duration::from_millis(self.job.time_left().0);
        let mut part = std::mem::take(&mut opened.received);
        loop {
            if opened.body.is_events() {
                part = match self.check_events(part) {
                    Ok(part) => part,
                    Err(fault) => return StreamEnd::Faulty(fault),
                };
            }
            if !part.is_empty() {
                match timeout_at(deadline, self.send(part)).await {
                    Ok(Ok(())) => {}
                    Ok(Err(CallerGone)) => return StreamEnd::CallerGone,
                    Err(_) => return StreamEnd::DeadlinePassed,
                }
            }
            let next = tokio::select! {
                biased;
                () = self.tx.closed() => return StreamEnd::CallerGone,
                next = timeout_at(deadline, opened.body.next()) => next,
            };
            part = match next {
                Ok(Ok(Some(next))) => next,
                Ok(Ok(None)) if self.rest_count == Some(0) => {
                    return StreamEnd::Faulty(StreamFault::NoRest);
                }
                Ok(Ok(None)) => return StreamEnd::Whole,
                Ok(Err(fault)) => return StreamEnd::Faulty(fault.into()),
                Err(_) => return StreamEnd::DeadlinePassed,
            };
        }
    }

    /// Queues a part for the caller. If there is no memory for it, it waits until the caller has
    /// taken all parts before, so that a slow caller holds one part.
    async fn send(&self, part: Bytes) -> Result<(), CallerGone> {
        let gateway = &self.job.gateway;
        match gateway.memory.try_hold(part) {
            Ok(held) => self.tx.send(Part::Data(held)).await.map_err(|_| CallerGone),
            Err(part) => {
                gateway.metrics.answer_memory.add("not_queued");
                let reserved = self.tx.reserve_many(MAX_QUEUED_CHUNKS).await;
                let mut reserved = reserved.map_err(|_| CallerGone)?;
                if let Some(permit) = reserved.next() {
                    permit.send(Part::Data(part));
                }
                Ok(())
            }
        }
    }

    /// Checks that the events have consecutive numbers, then counts and charges them. Returns those
    /// to forward: from the answer to a resume, nothing before its first event.
    fn check_events(&mut self, part: Bytes) -> Result<Bytes, StreamFault> {
        let mut last = self.last_event;
        let mut count = 0;
        let mut skipped = 0;
        for event in events::split_events(part.clone()) {
            match (events::event_id(&event), self.rest_count) {
                (Some(found), _) => {
                    check_order(last, found)?;
                    last = Some(found);
                    count += 1;
                }
                (None, None) => self.has_unnumbered |= events::has_data(&event),
                (None, Some(_)) if !events::is_comment(&event) => {
                    return Err(StreamFault::Unnumbered);
                }
                (None, Some(before)) if before + count == 0 => skipped += event.len(),
                (None, Some(_)) => {}
            }
        }
        self.last_event = last;
        self.event_count += count;
        self.rest_count = self.rest_count.map(|before| before + count);
        if let Some(charge) = &mut self.job.charge {
            charge.add_delivered(Tokens(count * self.job.stride));
        }
        Ok(part.slice(skipped..))
    }

    /// Returns whether the route, the deadline and the retry budget allow an attempt to resume.
    fn may_resume(&self) -> bool {
        self.job.may_rerun() && self.job.time_left() > Millis::ZERO && self.job.take_retry()
    }

    /// Returns why no upstream can go on with the stream, whatever the retry budget: it has to run the
    /// software version that began it.
    fn find_obstacle(&self) -> Option<&'static str> {
        let upstreams = &self.job.gateway.upstreams;
        match self.job.release {
            None => Some("version_unknown"),
            Some(_) if upstreams.has_candidate(&self.job.criteria()) => None,
            Some(_) if upstreams.has_doubted_candidate(&self.job.criteria()) => {
                Some("version_doubted")
            }
            Some(_) => Some("version_gone"),
        }
    }

    /// Resumes the stream at another upstream, if the route, the deadline, the versions of the
    /// upstreams and the retry budget allow it. Returns `None` if they don't, or if the caller
    /// disconnects.
    async fn resume(&mut self) -> Option<OpenResponse> {
        for _ in 0..MAX_RESUME_ATTEMPTS {
            if !self.job.may_rerun() {
                break;
            }
            if let Some(obstacle) = self.find_obstacle() {
                self.job.gateway.metrics.resumes.add(obstacle);
                log::info!(target: "request", id = &*self.job.metadata.attempt_id, version = self.job.version(), obstacle; "stream not resumed");
                return None;
            }
            if !self.may_resume() {
                break;
            }
            let attempt = exchange::attempt(&mut self.job, self.last_event);
            let response = tokio::select! {
                biased;
                () = self.tx.closed() => return None,
                response = attempt => response,
            };
            let status = match response {
                Ok(AttemptResponse::Stream(opened)) if may_continue(&opened) => {
                    self.rest_count = Some(0);
                    self.job.gateway.metrics.resumes.add("resumed");
                    log::info!(target: "request", id = &*self.job.metadata.attempt_id, upstream:% = opened.attempt.pick.upstream, version = opened.attempt.version(), after = self.last_event.unwrap_or(0); "stream resumed");
                    return Some(*opened);
                }
                Ok(AttemptResponse::Stream(opened)) => opened.head.status,
                Ok(AttemptResponse::Complete(response)) => response.status(),
                Err(failure) => {
                    self.job.record_failure(&failure);
                    continue;
                }
            };
            self.job.runs += 1;
            self.job.gateway.metrics.resumes.add("unfit");
            let upstream = self
                .job
                .tried
                .last()
                .map_or("", |upstream| upstream.as_str());
            log::info!(target: "upstream", id = &*self.job.metadata.attempt_id, upstream, status = status.as_u16(), after = self.last_event.unwrap_or(0); "answer does not continue the stream");
        }
        self.job.gateway.metrics.resumes.add("given_up");
        None
    }

    /// Logs the end of the stream and counts it in the metrics. `first` is the time until the first
    /// events, in milliseconds.
    fn log(&self, outcome: &'static str, first: u64, framing: Framing) {
        let job = &self.job;
        let kind = crate::gateway::front::kind_label(job.route.kind);
        job.gateway.metrics.count_pass_through(kind, outcome);
        job.gateway.metrics.requests.add(outcome);
        log::info!(
            target: "request",
            id = &*job.metadata.attempt_id, route = &*job.route.name, kind, outcome,
            status = self.status.as_u16(), first, ms = job.elapsed().0, events = self.event_count,
            framing = framing.label(),
            sends = job.sends, reason = job.reason, paused = job.paused,
            upstream = job.tried.last().map_or("", |upstream| upstream.as_str()),
            charged = job.charge.as_ref().map_or(0, |charge| charge.due().0);
            "answered"
        );
    }
}
