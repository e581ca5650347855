//! Attempts with an unknown end: cancels them, and keeps their reservations until evidence.
//!
//! Evidence is the upstream's acknowledgement of the cancel, which says what was produced, or a
//! newer start of the upstream, after which the old one produces nothing more. In the second case,
//! and after the last try, the whole reservation counts as wasted: that is never too little.

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
use crate::edges::http::read_bounded;
use crate::metrics::Metrics;
use crate::timer::Timer;

const CANCEL_WITHIN: Duration = Duration::from_secs(1);
const PERIOD: Duration = Duration::from_secs(1);
const TRIES: u32 = 120;
const KEPT: usize = 10_000;
const AT_ONCE: usize = 64;
const REPLY_BYTES: usize = 4 << 10;

/// An attempt whose end is not known.
#[derive(Debug)]
pub struct Orphan {
    /// What it may still spend.
    pub held: Reservation,
    /// Where it runs.
    pub upstream: Upstream,
    /// Which start of it.
    pub incarnation: Incarnation,
    /// Where to send the cancel.
    pub address: SocketAddr,
    /// Request id that the upstream knows it by.
    pub id: Arc<str>,
    /// Cancels sent so far.
    pub tries: u32,
}

/// A handle on the attempts with unknown ends. Cheap to clone.
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
        ticks::forward(timer, PERIOD, actor.clone(), || Message::Tick);
        Ok(Self { actor })
    }

    /// Cancels an attempt and keeps its reservation until evidence.
    pub fn add(&self, orphan: Orphan) {
        // After the actor has ended the reservation is lost with the process, and so stays reserved.
        let _ = self.actor.cast(Message::Add(Box::new(orphan)));
    }
}

enum Message {
    Add(Box<Orphan>),
    Retry(Box<Orphan>),
    Tick,
}

struct AbandonedActor;

struct State {
    waiting: VecDeque<Orphan>,
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
            Message::Add(orphan) => {
                state.canceller.metrics.unknown.inc();
                state.canceller.spawn(*orphan, myself);
            }
            Message::Retry(orphan) => state.keep(*orphan),
            Message::Tick => state.tick(myself),
        }
        Ok(())
    }
}

impl State {
    fn keep(&mut self, orphan: Orphan) {
        let newest = self.upstreams.incarnation(&orphan.upstream);
        if newest.is_some_and(|newest| newest > orphan.incarnation) {
            self.canceller.write_off(orphan, "restarted");
        } else if orphan.tries >= TRIES || self.waiting.len() >= KEPT {
            self.canceller.write_off(orphan, "given_up");
        } else {
            self.waiting.push_back(orphan);
        }
    }

    fn tick(&mut self, myself: ActorRef<Message>) {
        let most = self.waiting.len().min(AT_ONCE);
        for orphan in self.waiting.drain(..most) {
            self.canceller.spawn(orphan, myself.clone());
        }
    }
}

#[derive(Clone)]
struct Canceller {
    client: HttpClient,
    allotment: Allotment,
    metrics: Arc<Metrics>,
}

impl Canceller {
    fn spawn(&self, mut orphan: Orphan, actor: ActorRef<Message>) {
        let this = self.clone();
        tokio::spawn(async move {
            orphan.tries += 1;
            match this.cancel(&orphan).await {
                Some(produced) => {
                    this.metrics.unknown.dec();
                    this.metrics.cancels.add("acknowledged");
                    this.allotment.release(orphan.held, produced);
                }
                None => {
                    this.metrics.cancels.add("unanswered");
                    // See `Abandoned::add`.
                    let _ = actor.cast(Message::Retry(Box::new(orphan)));
                }
            }
        });
    }

    fn write_off(&self, orphan: Orphan, reason: &'static str) {
        self.metrics.unknown.dec();
        self.metrics.cancels.add(reason);
        let worst = orphan.held.amount();
        self.allotment.release(orphan.held, worst);
    }

    /// Tokens produced, prompt included, if the upstream acknowledges.
    async fn cancel(&self, orphan: &Orphan) -> Option<Tokens> {
        let body = serde_json::to_vec(&CancelRequest {
            request_id: &orphan.id,
        });
        let call = Call {
            address: orphan.address,
            method: Method::POST,
            path: "/v1/cancel".to_owned(),
            headers: json_headers(),
            body: Bytes::from(body.ok()?),
        };
        let response = self.client.send(call, CANCEL_WITHIN).await.ok()?;
        if response.status() != StatusCode::OK {
            return None;
        }
        let body = read_bounded(response.into_body(), REPLY_BYTES, CANCEL_WITHIN).await;
        let reply: CancelReply = serde_json::from_slice(&body.ok()?).ok()?;
        Some(reply.produced + reply.prompt)
    }
}

fn json_headers() -> HeaderMap {
    let mut headers = HeaderMap::new();
    let json = HeaderValue::from_static("application/json");
    headers.insert(header::CONTENT_TYPE, json);
    headers
}

#[derive(Serialize)]
struct CancelRequest<'a> {
    request_id: &'a str,
}

#[derive(Deserialize)]
struct CancelReply {
    produced: Tokens,
    #[serde(default)]
    prompt: Tokens,
}
