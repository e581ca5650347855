//! Passes a stream of events on as it arrives, and resumes it where the route allows it.

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

use crate::edges::http::Part;
use crate::edges::http::ReplyBody;
use crate::filters::sse;
use crate::filters::sse::Splitter;
use crate::filters::sse::StreamError;
use crate::gateway::exchange;
use crate::gateway::exchange::Got;
use crate::gateway::exchange::Opened;
use crate::gateway::job::Job;

/// Pieces that wait for a caller that reads slowly; beyond them the upstream is not read.
const WAITING: usize = 16;

/// Headers that concern one connection only.
const CONNECTION_HEADERS: [&str; 9] = [
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
enum Fault {
    /// The upstream's connection broke.
    #[error("the stream broke off: {0}")]
    Broken(#[from] hyper::Error),
    /// Its events make no sense.
    #[error(transparent)]
    Events(#[from] StreamError),
    /// An event is missing or came twice.
    #[error("event {found} came where {expected} was due")]
    Order {
        /// Number that was due.
        expected: u64,
        /// Number that came.
        found: u64,
    },
}

/// How passing a stream on ended.
enum End {
    Whole,
    CallerGone,
    Overdue,
    Fault(Fault),
}

/// Drops the headers that concern one connection only, those included that it names itself.
pub fn strip(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named {
        headers.remove(name.as_str());
    }
    for name in CONNECTION_HEADERS {
        headers.remove(name);
    }
}

/// The head of an upstream's answer as the caller gets it.
pub fn head(mut head: response::Parts) -> response::Parts {
    strip(&mut head.headers);
    head.version = http::Version::HTTP_11;
    head.extensions.clear();
    head
}

/// The next bytes of a body.
pub async fn data(body: &mut Incoming) -> Option<Result<Bytes, hyper::Error>> {
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

/// Answers with a stream that goes on by itself.
pub fn relay(job: Job, mut opened: Opened) -> Response<ReplyBody> {
    let (tx, rx) = mpsc::channel(WAITING);
    let mut parts = head(opened.head);
    if job.route.kind.is_retryable() {
        // A resumed stream may come in other pieces.
        parts.headers.remove(header::CONTENT_LENGTH);
    }
    opened.head = parts.clone();
    let relay = Relay {
        last: job.ask.resume,
        job,
        tx,
        events: 0,
        status: parts.status,
    };
    tokio::spawn(relay.run(opened));
    Response::from_parts(parts, ReplyBody::Relayed(rx))
}

struct Relay {
    job: Job,
    tx: mpsc::Sender<Part>,
    /// Number of the last event that was passed on.
    last: Option<u64>,
    events: u64,
    status: http::StatusCode,
}

impl Relay {
    async fn run(mut self, mut opened: Opened) {
        let first = self.job.age().0;
        let kind = crate::gateway::front::kind(self.job.route.kind);
        self.job.front.metrics.answered(kind, first);
        loop {
            let end = self.pass(&mut opened).await;
            let outcome = match end {
                End::Whole => {
                    opened.flying.end(AttemptOutcome::Completed);
                    let pool = &self.job.front.pool;
                    pool.keep(opened.connection, &opened.head.headers);
                    // A caller that has gone needs no end.
                    let _ = self.tx.send(Part::End).await;
                    "served"
                }
                End::CallerGone => "caller_gone",
                End::Overdue => "overdue",
                End::Fault(fault) => {
                    let upstream = opened.flying.pick.upstream.clone();
                    log::info!(target: "upstream", id = &*self.job.ask.id, upstream:% = upstream, error:% = fault, events = self.events; "stream broke off");
                    opened.flying.end(AttemptOutcome::Broken);
                    self.job.runs += 1;
                    self.job.reason = "stream_broke";
                    match self.resume().await {
                        Some(next) => {
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

    /// Passes events on until the stream ends one way or another.
    async fn pass(&mut self, opened: &mut Opened) -> End {
        let until = Instant::now() + Duration::from_millis(self.job.left().0);
        let mut splitter = Splitter::default();
        let mut next = Some(Ok(std::mem::take(&mut opened.read)));
        loop {
            match next {
                Some(Ok(bytes)) => match splitter.push(bytes) {
                    Ok(whole) if whole.is_empty() => {}
                    Ok(whole) => {
                        if let Err(fault) = self.check(&whole) {
                            return End::Fault(fault);
                        }
                        let sending = self.tx.send(Part::Data(whole));
                        match timeout_at(until, sending).await {
                            Ok(Ok(())) => {}
                            Ok(Err(_)) => return End::CallerGone,
                            Err(_) => return End::Overdue,
                        }
                    }
                    Err(error) => return End::Fault(error.into()),
                },
                Some(Err(error)) => return End::Fault(Fault::Broken(error)),
                None => return self.finish(&mut splitter).await,
            }
            next = tokio::select! {
                biased;
                () = self.tx.closed() => return End::CallerGone,
                read = timeout_at(until, data(&mut opened.body)) => match read {
                    Ok(read) => read,
                    Err(_) => return End::Overdue,
                },
            };
        }
    }

    /// A stream that ended whole may end with bytes that are no event.
    async fn finish(&mut self, splitter: &mut Splitter) -> End {
        let rest = splitter.take_partial();
        if !rest.is_empty() && self.tx.send(Part::Data(rest)).await.is_err() {
            return End::CallerGone;
        }
        End::Whole
    }

    /// Counts events and checks their numbers.
    fn check(&mut self, whole: &Bytes) -> Result<(), Fault> {
        let mut last = self.last;
        let mut count = 0;
        for event in sse::split_events(whole.clone()) {
            let Some(found) = sse::event_id(&event) else {
                continue;
            };
            let expected = last.map(|last| last + 1);
            if let Some(expected) = expected.filter(|expected| *expected != found) {
                return Err(Fault::Order { expected, found });
            }
            last = Some(found);
            count += 1;
        }
        self.last = last;
        self.events += count;
        if let Some(charge) = &mut self.job.charge {
            charge.deliver(Tokens(count * self.job.stride));
        }
        Ok(())
    }

    /// Goes on at another upstream, if the route, the time and the retry budget allow it.
    async fn resume(&mut self) -> Option<Opened> {
        while self.job.may_rerun() && self.job.may_retry() {
            let attempt = exchange::attempt(&mut self.job, self.last);
            let got = tokio::select! {
                biased;
                () = self.tx.closed() => return None,
                got = attempt => got,
            };
            match got {
                Ok(Got::Stream(opened)) => {
                    self.job.front.metrics.resumes.add("resumed");
                    log::info!(target: "request", id = &*self.job.ask.id, upstream:% = opened.flying.pick.upstream, after = self.last.unwrap_or(0); "stream resumed");
                    return Some(*opened);
                }
                Ok(Got::Whole(_)) => break,
                Err(miss) => self.job.runs += u32::from(miss.ran),
            }
        }
        self.job.front.metrics.resumes.add("given_up");
        None
    }

    fn log(&self, outcome: &'static str, first: u64) {
        let job = &self.job;
        let kind = crate::gateway::front::kind(job.route.kind);
        job.front.metrics.passed(kind, outcome);
        job.front.metrics.requests.add(outcome);
        log::info!(
            target: "request",
            id = &*job.ask.id, route = &*job.route.name, kind, outcome,
            status = self.status.as_u16(), first, ms = job.age().0, events = self.events,
            sends = job.sends, reason = job.reason,
            upstream = job.tried.last().map_or("", |upstream| upstream.as_str()),
            charged = job.charge.as_ref().map_or(0, |charge| charge.due().0);
            "answered"
        );
    }
}
