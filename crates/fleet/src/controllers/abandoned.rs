//! Cancels attempts whose outcome is unknown, and releases their reservations once it is known.
//!
//! The outcome is known when the upstream acknowledges the cancel and reports the tokens that it
//! produced, or when a newer incarnation of the upstream announces itself: the old one produces
//! nothing more. In the second case, and after the last cancel, the whole reservation counts as
//! wasted, which is never too little.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chestnutnotch_core::id::Upstream;
use chestnutnotch_core::ledger::Reservation;
use chestnutnotch_core::unit::Incarnation;
use chestnutnotch_core::unit::Tokens;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http::header;
use ractor::Actor;
use ractor::ActorProcessingErr;
use ractor::ActorRef;
use ractor::SpawnErr;
use serde::Deserialize;
use serde::Serialize;

use crate::controllers::allotment::Allotment;
use crate::controllers::ticks;
use crate::controllers::upstreams::Upstreams;
use crate::edges::http::HttpClient;
use crate::edges::http::client::Call;
use crate::edges::http::counted;
use crate::edges::http::counted::REQUEST_ID_HEADER;
use crate::edges::http::read_answer;
use crate::metrics::Metrics;
use crate::timer::Timer;

/// Timeout of one cancel, applied to the response head and to its body.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two rounds of cancels.
const RETRY_PERIOD: Duration = Duration::from_secs(1);
/// Cancels of one attempt, after which its reservation is written off.
const MAX_CANCELS: u32 = 120;
/// Attempts that wait for the next cancel; above that, reservations are written off.
const MAX_WAITING: usize = 10_000;
/// Cancels that are started in one round.
const CANCELS_PER_PERIOD: usize = 64;
/// Largest response to a cancel.
const MAX_REPLY_BYTES: usize = 4 << 10;

/// An attempt whose outcome is not known.
#[derive(Debug)]
pub struct AbandonedAttempt {
    /// Tokens that it may still use.
    pub reservation: Reservation,
    /// Upstream that runs it.
    pub upstream: Upstream,
    /// Incarnation of the upstream that runs it.
    pub incarnation: Incarnation,
    /// Address that cancels are sent to.
    pub address: SocketAddr,
    /// Request id that the upstream got with the attempt.
    pub id: Arc<str>,
    /// Cancels sent so far.
    pub tries: u32,
}

/// A handle on the actor that cancels abandoned attempts. Cheap to clone.
#[derive(Clone, Debug)]
pub struct Abandoned {
    actor: ActorRef<Message>,
}

impl Abandoned {
    /// Starts the actor.
    ///
    /// # Errors
    ///
    /// If the actor does not start.
    pub async fn start(
        client: HttpClient,
        allotment: Allotment,
        upstreams: Upstreams,
        timer: &Timer,
        metrics: Arc<Metrics>,
    ) -> Result<Self, SpawnErr> {
        let state = State {
            waiting: VecDeque::new(),
            canceller: Canceller {
                client,
                allotment,
                metrics,
            },
            upstreams,
        };
        let (actor, _) = Actor::spawn(None, AbandonedActor, state).await?;
        ticks::forward(timer, RETRY_PERIOD, actor.clone(), || Message::Tick);
        Ok(Self { actor })
    }

    /// Cancels an attempt. Its reservation is released when the outcome is known.
    pub fn add(&self, attempt: AbandonedAttempt) {
        // The actor ends only with the process; the tokens then stay reserved in the ledger.
        let _ = self.actor.cast(Message::Add(Box::new(attempt)));
    }
}

enum Message {
    /// Send the first cancel of an attempt.
    Add(Box<AbandonedAttempt>),
    /// A cancel of this attempt was not acknowledged.
    Retry(Box<AbandonedAttempt>),
    /// Start the next round of cancels.
    Tick,
}

struct AbandonedActor;

struct State {
    /// Attempts whose last cancel was not acknowledged.
    waiting: VecDeque<AbandonedAttempt>,
    canceller: Canceller,
    upstreams: Upstreams,
}

impl Actor for AbandonedActor {
    type Msg = Message;
    type State = State;
    type Arguments = State;

    async fn pre_start(
        &self,
        _myself: ActorRef<Message>,
        state: State,
    ) -> Result<State, ActorProcessingErr> {
        Ok(state)
    }

    async fn handle(
        &self,
        myself: ActorRef<Message>,
        message: Message,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            Message::Add(attempt) => {
                state.canceller.metrics.unresolved.inc();
                state.canceller.spawn(*attempt, myself);
            }
            Message::Retry(attempt) => state.requeue(*attempt),
            Message::Tick => state.tick(myself),
        }
        Ok(())
    }
}

impl State {
    /// Queues an attempt for another cancel, or writes its reservation off.
    fn requeue(&mut self, attempt: AbandonedAttempt) {
        let newest = self.upstreams.incarnation(&attempt.upstream);
        if newest.is_some_and(|newest| newest > attempt.incarnation) {
            self.canceller.write_off(attempt, "restarted");
        } else if attempt.tries >= MAX_CANCELS || self.waiting.len() >= MAX_WAITING {
            self.canceller.write_off(attempt, "given_up");
        } else {
            self.waiting.push_back(attempt);
        }
    }

    /// Starts the next round of cancels.
    fn tick(&mut self, myself: ActorRef<Message>) {
        let count = self.waiting.len().min(CANCELS_PER_PERIOD);
        for attempt in self.waiting.drain(..count) {
            self.canceller.spawn(attempt, myself.clone());
        }
    }
}

/// Sends cancels and releases reservations.
#[derive(Clone)]
struct Canceller {
    client: HttpClient,
    allotment: Allotment,
    metrics: Arc<Metrics>,
}

impl Canceller {
    /// Sends a cancel in a task of its own.
    fn spawn(&self, mut attempt: AbandonedAttempt, actor: ActorRef<Message>) {
        let this = self.clone();
        tokio::spawn(async move {
            attempt.tries += 1;
            match this.cancel(&attempt).await {
                Some(produced) => {
                    this.metrics.unresolved.dec();
                    this.metrics.cancels.add("acknowledged");
                    this.allotment.release(attempt.reservation, produced);
                }
                None => {
                    this.metrics.cancels.add("unanswered");
                    // See `Abandoned::add`.
                    let _ = actor.cast(Message::Retry(Box::new(attempt)));
                }
            }
        });
    }

    /// Counts the whole reservation as wasted. `reason` is a label of the `cancels` metric.
    fn write_off(&self, attempt: AbandonedAttempt, reason: &'static str) {
        self.metrics.unresolved.dec();
        self.metrics.cancels.add(reason);
        let amount = attempt.reservation.amount();
        self.allotment.release(attempt.reservation, amount);
    }

    /// Sends a cancel. Returns the tokens used, prompt included, if the upstream acknowledges it.
    async fn cancel(&self, attempt: &AbandonedAttempt) -> Option<Tokens> {
        let body = serde_json::to_vec(&CancelRequest {
            request_id: &attempt.id,
        });
        let call = Call {
            address: attempt.address,
            method: Method::POST,
            path: "/v1/cancel".to_owned(),
            headers: headers(&attempt.id)?,
            body: Bytes::from(body.ok()?),
        };
        // Over a kept connection, the answer could be that to another cancel.
        let response = self.client.send_once(call, CANCEL_TIMEOUT).await.ok()?;
        counted::tie(&response, Some(&attempt.id))?;
        if response.status() != StatusCode::OK {
            return None;
        }
        let read = read_answer(response, MAX_REPLY_BYTES, CANCEL_TIMEOUT).await;
        let (_, body) = read.ok()?;
        let reply: CancelReply = serde_json::from_slice(&body).ok()?;
        Some(reply.produced + reply.prompt)
    }
}

fn headers(id: &str) -> Option<HeaderMap> {
    let mut headers = HeaderMap::new();
    let json = HeaderValue::from_static("application/json");
    headers.insert(header::CONTENT_TYPE, json);
    headers.insert(REQUEST_ID_HEADER, HeaderValue::from_str(id).ok()?);
    Some(headers)
}

/// Body of a cancel.
#[derive(Serialize)]
struct CancelRequest<'a> {
    request_id: &'a str,
}

/// Body of an acknowledgement.
#[derive(Deserialize)]
struct CancelReply {
    /// Tokens that the upstream generated.
    produced: Tokens,
    /// Tokens of the prompt that it processed.
    #[serde(default)]
    prompt: Tokens,
}
