//! Forwards a stream of events as it arrives, and resumes a broken one where the route allows it.

use std::time::Duration;

use bytes::Bytes;
use chestnutnotch_core::unit::Tokens;
use chestnutnotch_core::upstream::AttemptOutcome;
use http::HeaderMap;
use http::Response;
use http::header;
use http::response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use thiserror::Error;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::edges::http::Framing;
use crate::edges::http::Part;
use crate::edges::http::ReplyBody;
use crate::filters::sse;
use crate::filters::sse::Splitter;
use crate::filters::sse::StreamError;
use crate::gateway::exchange;
use crate::gateway::exchange::AttemptResponse;
use crate::gateway::exchange::OpenResponse;
use crate::gateway::job::Job;

/// Maximum number of chunks queued for a slow caller. Reading from the upstream pauses while the
/// queue is full.
const MAX_QUEUED_CHUNKS: usize = 16;

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
    /// The connection to the upstream broke.
    #[error("the stream broke off: {0}")]
    Broken(#[from] hyper::Error),
    /// The events are malformed.
    #[error(transparent)]
    Events(#[from] StreamError),
    /// An event is missing or was sent twice.
    #[error("event {found} came where {expected} was due")]
    Order {
        /// Number of the event that was due.
        expected: u64,
        /// Number of the event that arrived.
        found: u64,
    },
}

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

/// Returns the next bytes of a body, or `None` at its end. Trailers are skipped.
pub async fn next_data(body: &mut Incoming) -> Option<Result<Bytes, hyper::Error>> {
    loop {
        match body.frame().await? {
            Ok(frame) => {
                if let Ok(data) = frame.into_data() {
                    return Some(Ok(data));
                }
            }
            Err(error) => return Some(Err(error)),
        }
    }
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
        event_count: 0,
        partial_bytes: 0,
        framing: opened.framing,
        status: parts.status,
    };
    tokio::spawn(relay.run(opened));
    Response::from_parts(parts, ReplyBody::Relayed(rx))
}

/// Forwards the streamed answer of one request, over several upstreams if it is resumed.
struct Relay {
    job: Job,
    tx: mpsc::Sender<Part>,
    /// Number of the last event that was forwarded, or that the caller resumes after.
    last_event: Option<u64>,
    /// Number of events forwarded.
    event_count: u64,
    /// Size of the incomplete event at the end of the body, for the log.
    partial_bytes: usize,
    /// Framing of the last upstream's answer, for the log.
    framing: Framing,
    /// Status of the answer, for the log.
    status: http::StatusCode,
}

impl Relay {
    async fn run(mut self, mut opened: OpenResponse) {
        let first = self.job.elapsed().0;
        let kind = crate::gateway::front::kind_label(self.job.route.kind);
        self.job.gateway.metrics.observe_latency(kind, first);
        loop {
            let end = self.forward_events(&mut opened).await;
            let outcome = match end {
                StreamEnd::Whole => {
                    opened.attempt.end(AttemptOutcome::Completed);
                    let pool = &self.job.gateway.pool;
                    pool.keep(opened.connection, &opened.head.headers);
                    // Fails only if the caller has disconnected, which needs no end.
                    let _ = self.tx.send(Part::End).await;
                    "served"
                }
                StreamEnd::CallerGone => "caller_gone",
                StreamEnd::DeadlinePassed => "overdue",
                StreamEnd::Faulty(fault) => {
                    let upstream = opened.attempt.pick.upstream.clone();
                    log::info!(target: "upstream", id = &*self.job.metadata.attempt_id, upstream:% = upstream, error:% = fault, events = self.event_count; "stream broke off");
                    opened.attempt.end(AttemptOutcome::Broken);
                    self.job.runs += 1;
                    self.job.reason = "stream_broke";
                    match self.resume().await {
                        Some(next) => {
                            self.framing = next.framing;
                            opened = next;
                            continue;
                        }
                        None => "cut_short",
                    }
                }
            };
            self.log(outcome, first);
            return;
        }
    }

    /// Forwards events until the stream ends, fails, times out or is abandoned by the caller.
    async fn forward_events(&mut self, opened: &mut OpenResponse) -> StreamEnd {
        let deadline = Instant::now() + Duration::from_millis(self.job.time_left().0);
        let mut splitter = Splitter::default();
        let mut next = Some(Ok(std::mem::take(&mut opened.received)));
        loop {
            match next {
                Some(Ok(bytes)) => match splitter.push(bytes) {
                    Ok(whole) if whole.is_empty() => {}
                    Ok(whole) => {
                        if let Err(fault) = self.check_events(&whole) {
                            return StreamEnd::Faulty(fault);
                        }
                        let sending = self.tx.send(Part::Data(whole));
                        match timeout_at(deadline, sending).await {
                            Ok(Ok(())) => {}
                            Ok(Err(_)) => return StreamEnd::CallerGone,
                            Err(_) => return StreamEnd::DeadlinePassed,
                        }
                    }
                    Err(error) => return StreamEnd::Faulty(error.into()),
                },
                Some(Err(error)) => return StreamEnd::Faulty(StreamFault::Broken(error)),
                None => return self.finish(&mut splitter).await,
            }
            next = tokio::select! {
                biased;
                () = self.tx.closed() => return StreamEnd::CallerGone,
                read = timeout_at(deadline, next_data(&mut opened.body)) => match read {
                    Ok(read) => read,
                    Err(_) => return StreamEnd::DeadlinePassed,
                },
            };
        }
    }

    /// Forwards the bytes after the last complete event, with which a complete stream may end.
    async fn finish(&mut self, splitter: &mut Splitter) -> StreamEnd {
        let rest = splitter.take_partial();
        self.partial_bytes = rest.len();
        if !rest.is_empty() && self.tx.send(Part::Data(rest)).await.is_err() {
            return StreamEnd::CallerGone;
        }
        StreamEnd::Whole
    }

    /// Checks that the events have consecutive numbers, then counts and charges them.
    fn check_events(&mut self, whole: &Bytes) -> Result<(), StreamFault> {
        let mut last = self.last_event;
        let mut count = 0;
        for event in sse::split_events(whole.clone()) {
            let Some(found) = sse::event_id(&event) else {
                continue;
            };
            let expected = last.map(|last| last + 1);
            if let Some(expected) = expected.filter(|expected| *expected != found) {
                return Err(StreamFault::Order { expected, found });
            }
            last = Some(found);
            count += 1;
        }
        self.last_event = last;
        self.event_count += count;
        if let Some(charge) = &mut self.job.charge {
            charge.add_delivered(Tokens(count * self.job.stride));
        }
        Ok(())
    }

    /// Resumes the stream at another upstream, if the route, the deadline and the retry budget
    /// allow it. Returns `None` if they don't, or if the caller disconnects.
    async fn resume(&mut self) -> Option<OpenResponse> {
        while self.job.may_rerun() && self.job.take_retry() {
            let attempt = exchange::attempt(&mut self.job, self.last_event);
            let response = tokio::select! {
                biased;
                () = self.tx.closed() => return None,
                response = attempt => response,
            };
            match response {
                Ok(AttemptResponse::Stream(opened)) => {
                    self.job.gateway.metrics.resumes.add("resumed");
                    log::info!(target: "request", id = &*self.job.metadata.attempt_id, upstream:% = opened.attempt.pick.upstream, after = self.last_event.unwrap_or(0); "stream resumed");
                    return Some(*opened);
                }
                Ok(AttemptResponse::Complete(_)) => break,
                Err(failure) => self.job.runs += u32::from(failure.maybe_ran),
            }
        }
        self.job.gateway.metrics.resumes.add("given_up");
        None
    }

    /// Logs the end of the stream and counts it in the metrics. `first` is the time until the first
    /// events, in milliseconds.
    fn log(&self, outcome: &'static str, first: u64) {
        let job = &self.job;
        let kind = crate::gateway::front::kind_label(job.route.kind);
        job.gateway.metrics.count_pass_through(kind, outcome);
        job.gateway.metrics.requests.add(outcome);
        log::info!(
            target: "request",
            id = &*job.metadata.attempt_id, route = &*job.route.name, kind, outcome,
            status = self.status.as_u16(), first, ms = job.elapsed().0, events = self.event_count,
            framing = self.framing.label(), partial = self.partial_bytes,
            sends = job.sends, reason = job.reason,
            upstream = job.tried.last().map_or("", |upstream| upstream.as_str()),
            charged = job.charge.as_ref().map_or(0, |charge| charge.due().0);
            "answered"
        );
    }
}
