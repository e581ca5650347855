//! Runs one chat: reserves tokens, chooses an upstream, forwards, retries and bills.
//!
//! Chats are retried here and nowhere else. The task outlives the connection of the caller, so that
//! every attempt ends with a bill, a release of its reservation or a cancel.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chestnutnotch_core::command::Bill;
use chestnutnotch_core::config::ModelSpec;
use chestnutnotch_core::id::Holder;
use chestnutnotch_core::id::Upstream;
use chestnutnotch_core::ledger::Reservation;
use chestnutnotch_core::limit::Progress;
use chestnutnotch_core::limit::Timeouts;
use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::unit::Tokens;
use chestnutnotch_core::upstream::AttemptOutcome;
use chestnutnotch_core::upstream::Criteria;
use chestnutnotch_core::upstream::Kind;
use chestnutnotch_core::upstream::Pick;
use http::StatusCode;

use crate::controllers::abandoned::AbandonedAttempt;
use crate::controllers::admission::AdmissionPermit;
use crate::controllers::admission::AdmissionRequest;
use crate::controllers::bills::PendingBill;
use crate::edges::http::NoRoom;
use crate::edges::http::NotRun;
use crate::edges::http::SendError;
use crate::filters::Chain;
use crate::filters::attempt::DeliveredText;
use crate::filters::attempt::EventStream;
use crate::filters::attempt::FinishedAnswer;
use crate::filters::attempt::OpenError;
use crate::filters::choose::shed_refusal;
use crate::filters::idempotency::RunGuard;
use crate::filters::identify::Caller;
use crate::filters::identify::Identity;
use crate::filters::output::AnswerFormat;
use crate::filters::output::AnswerSink;
use crate::filters::output::CallerGone;
use crate::filters::parse::ChatRequest;
use crate::filters::refusal::Execution;
use crate::filters::refusal::Refusal;
use crate::filters::render;

/// Most attempts at one chat.
const MAX_ATTEMPTS: u32 = 3;
/// Timeout for sending a refusal to a slow caller.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of the lookup of an earlier bill; the chat runs without its result.
const BILL_LOOKUP_TIMEOUT: Duration = Duration::from_millis(50);

/// One running chat.
pub struct ChatRun {
    pub(super) chain: Arc<Chain>,
    caller: Caller,
    identity: Identity,
    chat: ChatRequest,
    pub(super) spec: ModelSpec,
    pub(super) deadline: Millis,
    pub(super) output: AnswerSink,
    pub(super) guard: RunGuard,
    /// Text of the answer so far.
    pub(super) delivered: DeliveredText,
    /// Upstreams of earlier attempts, which are avoided.
    tried: Vec<Upstream>,
    /// Whether an attempt ran so far.
    pub(super) execution: Execution,
}

/// Why a chat ends without a complete answer.
pub(super) enum Abort {
    /// The caller has gone, and no resend waits.
    CallerGone,
    /// The caller gets this refusal.
    Refused(Refusal),
}

impl From<Refusal> for Abort {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

impl From<CallerGone> for Abort {
    fn from(_: CallerGone) -> Self {
        Self::CallerGone
    }
}

/// Why an attempt gave no complete answer.
pub(super) enum AttemptError {
    /// Another upstream may be tried; without a retry the caller gets this refusal.
    Retry(Refusal),
    /// The chat ends without a retry.
    Abort(Abort),
}

/// An attempt that may be running at an upstream.
pub(super) struct OpenAttempt {
    pub(super) pick: Pick,
    pub(super) reservation: Reservation,
    /// Id of the attempt towards the upstream.
    pub(super) request_id: Arc<str>,
}

/// Arguments of [`ChatRun::new`].
pub struct ChatParts {
    /// The workspace that sent the chat.
    pub caller: Caller,
    /// Workspace and idempotency key of the chat.
    pub identity: Identity,
    /// The request as parsed.
    pub chat: ChatRequest,
    /// Configuration of its model.
    pub spec: ModelSpec,
    /// Deadline of the complete answer, by the clock of the timer.
    pub deadline: Millis,
    /// Where the answer goes.
    pub output: AnswerSink,
    /// Registration of the chat as running.
    pub guard: RunGuard,
}

impl ChatRun {
    /// Returns a chat that has not begun.
    pub fn new(chain: Arc<Chain>, parts: ChatParts) -> Self {
        Self {
            chain,
            caller: parts.caller,
            identity: parts.identity,
            chat: parts.chat,
            spec: parts.spec,
            deadline: parts.deadline,
            output: parts.output,
            guard: parts.guard,
            delivered: DeliveredText::default(),
            tried: Vec::new(),
            execution: Execution::NotRun,
        }
    }

    /// Runs the chat to its end and sends the end of the answer, or a refusal.
    pub async fn run(mut self) {
        let outcome = self.serve().await;
        let requests = &self.chain.metrics.requests;
        match outcome {
            Ok(last_part) => {
                requests.add("served");
                let left = self.time_left();
                let finished = self.output.finish(last_part);
                if let Ok(Some(body)) = tokio::time::timeout(left, finished).await {
                    self.guard.finish(body);
                }
            }
            Err(Abort::CallerGone) => requests.add("caller_gone"),
            Err(Abort::Refused(refusal)) => {
                requests.add(refusal.code());
                // On a timeout the refusal is dropped: the caller does not read.
                let _ = tokio::time::timeout(REFUSAL_TIMEOUT, self.output.fail(&refusal)).await;
            }
        }
    }

    /// Returns the last part of a complete answer, once its bill is stored.
    async fn serve(&mut self) -> Result<Bytes, Abort> {
        self.check_bill().await?;
        let first = self.reserve().await?;
        let pass = match self.admit().await {
            Ok(pass) => pass,
            Err(abort) => {
                self.chain.allotment.release(first, Tokens::ZERO);
                return Err(abort);
            }
        };
        let mut reservation = Some(first);
        self.chain.retries().record_first(self.chain.timer.now());
        for number in 1.. {
            let reservation = match reservation.take() {
                Some(reservation) => reservation,
                None => self.reserve().await?,
            };
            let refusal = match self.attempt(reservation).await {
                Ok((answer, open)) => {
                    pass.finish();
                    return self.save_bill(answer, open).await;
                }
                Err(AttemptError::Abort(abort)) => return Err(abort),
                Err(AttemptError::Retry(refusal)) => refusal,
            };
            if number >= MAX_ATTEMPTS || !self.may_retry() {
                return Err(refusal.into());
            }
        }
        Err(Refusal::Failed(self.execution).into())
    }

    /// Looks for an earlier bill under a key that the caller sent. With another body, the key was
    /// reused. With the same body, the chat runs again and adds no second bill.
    async fn check_bill(&self) -> Result<(), Refusal> {
        if !self.identity.key_supplied {
            return Ok(());
        }
        let found = self
            .chain
            .control
            .bill(&self.identity.id, BILL_LOOKUP_TIMEOUT)
            .await;
        match found {
            Ok(Some(bill)) if bill.body != self.chat.body_hash => Err(Refusal::KeyReused),
            Ok(Some(_)) => {
                self.chain.metrics.known.add("billed_before");
                Ok(())
            }
            Ok(None) | Err(_) => Ok(()),
        }
    }

    /// Reserves the tokens of the worst case.
    async fn reserve(&mut self) -> Result<Reservation, Abort> {
        let chain = Arc::clone(&self.chain);
        let worst_case = self.chat.prompt_bound + self.output_limit();
        let budget = self.caller.budget.clone();
        let reservation = chain.allotment.reserve(&budget, worst_case, self.deadline);
        let reserved = self.while_caller_waits(reservation).await?;
        Ok(reserved.map_err(|refusal| self.refusal_after_attempts(refusal))?)
    }

    /// Waits for admission.
    async fn admit(&mut self) -> Result<AdmissionPermit, Abort> {
        let chain = Arc::clone(&self.chain);
        chain.check_pauses(&self.kind())?;
        let asking = AdmissionRequest {
            workspace: self.caller.workspace.clone(),
            share: self.caller.share,
            priority: self.spec.priority,
            kind: self.kind(),
            cost: self.chat.prompt_bound + self.output_limit(),
            deadline: self.deadline,
            hold: None,
        };
        let admission = chain.gate.admit(asking);
        let admitted = self.while_caller_waits(admission).await?;
        Ok(admitted.map_err(shed_refusal)?)
    }

    /// Waits for a future, unless the caller goes away and no resend waits for the answer.
    async fn while_caller_waits<T>(
        &mut self,
        work: impl Future<Output = T>,
    ) -> Result<T, CallerGone> {
        tokio::pin!(work);
        loop {
            tokio::select! {
                biased;
                done = &mut work => return Ok(done),
                () = self.output.caller_gone() => {}
            }
            if !self.guard.joined() {
                return Err(CallerGone);
            }
            self.output.detach();
        }
    }

    /// Returns the kind of upstream that the chat needs.
    fn kind(&self) -> Kind {
        Kind::Model(self.chat.model.clone(), self.chat.adapter.clone())
    }

    /// Most tokens to generate.
    fn output_limit(&self) -> Tokens {
        let limit_of_model = self.spec.limit;
        self.chat
            .output_limit
            .map_or(limit_of_model, |limit| limit.min(limit_of_model))
    }

    /// Returns the refusal that is true after the attempts so far: once an attempt may have run, a
    /// refusal must not say "not run".
    fn refusal_after_attempts(&self, refusal: Refusal) -> Refusal {
        match (self.execution, refusal) {
            (Execution::NotRun, refusal) | (_, refusal @ Refusal::Quarantined { .. }) => refusal,
            (execution, _) => Refusal::Failed(execution),
        }
    }

    /// Returns whether to retry, and takes a retry from the budget for it.
    fn may_retry(&mut self) -> bool {
        if self.time_left().is_zero() || self.delivered.overflow {
            return false;
        }
        let granted = self.chain.retries().take(self.chain.timer.now());
        let result = if granted { "granted" } else { "no_budget" };
        self.chain.metrics.retries.add(result);
        granted
    }

    /// Makes one attempt at an upstream.
    async fn attempt(
        &mut self,
        reservation: Reservation,
    ) -> Result<(FinishedAnswer, OpenAttempt), AttemptError> {
        let criteria = Criteria {
            sizes: Vec::new(),
            session_prefix: None,
            kind: self.kind(),
            priority: self.spec.priority,
            prefixes: self.chat.prefix_hashes.clone(),
            body: self.chat.body_hash,
            parts: Vec::new(),
            avoid: self.tried.clone(),
            release: None,
        };
        let pick = match self.chain.pick(&criteria, self.execution).await {
            Ok(pick) => pick,
            Err(refusal) => {
                self.chain.allotment.release(reservation, Tokens::ZERO);
                return Err(AttemptError::Abort(
                    self.refusal_after_attempts(refusal).into(),
                ));
            }
        };
        self.tried.push(pick.upstream.clone());
        let request_id = format!("{}-{}", self.chain.router, pick.attempt).into();
        let open = OpenAttempt {
            pick,
            reservation,
            request_id,
        };
        if self.output.format() == AnswerFormat::Json {
            self.delivered = DeliveredText::default();
        }
        let progress = Progress::new(self.chain.timer.now(), self.timeouts());
        let (source, open) = self.open(open).await?;
        self.execution = Execution::Unknown;
        self.read_answer(source, open, progress).await
    }

    /// Returns the timeouts that the model is configured with.
    fn timeouts(&self) -> Timeouts {
        Timeouts {
            first_token: self.spec.first,
            token_gap: self.spec.between,
            whole_answer: self.spec.whole,
        }
    }

    /// Opens the event stream of an attempt.
    async fn open(
        &mut self,
        open: OpenAttempt,
    ) -> Result<(EventStream, OpenAttempt), AttemptError> {
        let chain = Arc::clone(&self.chain);
        let body = self
            .chat
            .upstream_body(self.output_limit(), self.spec.priority);
        let body = match chain.bodies.hold(body) {
            Ok(body) => body,
            Err(NoRoom) => return Err(self.no_memory(open)),
        };
        let timeout = self
            .time_left()
            .min(Duration::from_millis(self.spec.first.0));
        let id = Arc::clone(&open.request_id);
        let opening = EventStream::open(&chain.client, open.pick.address, &id, body, timeout);
        match self.while_caller_waits(opening).await {
            Ok(Ok(source)) => {
                self.chain.upstreams.record_answer_head(open.pick.attempt);
                Ok((source, open))
            }
            Ok(Err(error)) => Err(self.open_failed(open, &error)),
            Err(CallerGone) => {
                self.abandon(open, AttemptOutcome::Neutral);
                Err(AttemptError::Abort(Abort::CallerGone))
            }
        }
    }

    /// Settles an attempt whose stream did not open.
    fn open_failed(&mut self, open: OpenAttempt, error: &OpenError) -> AttemptError {
        match error {
            OpenError::Send(error) => self.send_failed(open, error),
            OpenError::Refused(status, proof, pause) => {
                let upstreams = &self.chain.upstreams;
                upstreams.observe_pause(&open.pick, &open.request_id, *pause);
                self.status_refused(open, *status, *proof)
            }
            OpenError::Untied(_) => self.end_unknown(open, AttemptOutcome::Unmatched),
            OpenError::ContentType => self.end_unknown(open, AttemptOutcome::Broken),
        }
    }

    /// Settles an attempt for whose request there is no memory.
    fn no_memory(&self, open: OpenAttempt) -> AttemptError {
        self.end_not_run(open, AttemptOutcome::Neutral, NotRun::not_begun());
        AttemptError::Abort(self.refusal_after_attempts(Refusal::NoMemory).into())
    }

    /// Settles an attempt without an answer.
    fn send_failed(&mut self, open: OpenAttempt, error: &SendError) -> AttemptError {
        let outcome = match error {
            SendError::Unreachable => AttemptOutcome::Unreachable,
            SendError::Broken => AttemptOutcome::Broken,
            SendError::TimedOut => AttemptOutcome::TimedOut,
            SendError::Malformed(_) => AttemptOutcome::Neutral,
        };
        let Some(proof) = NotRun::from_send(error) else {
            return self.end_unknown(open, outcome);
        };
        self.end_not_run(open, outcome, proof);
        let refusal = Refusal::Failed(self.execution);
        match error {
            SendError::Malformed(_) => AttemptError::Abort(refusal.into()),
            _ => AttemptError::Retry(refusal),
        }
    }

    /// Settles an attempt that the upstream answered with another status than 200.
    fn status_refused(
        &mut self,
        open: OpenAttempt,
        status: StatusCode,
        proof: NotRun,
    ) -> AttemptError {
        match status {
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                self.end_not_run(open, AttemptOutcome::Overload, proof);
                AttemptError::Retry(self.refusal_after_attempts(Refusal::Overloaded))
            }
            StatusCode::NOT_FOUND => {
                self.end_not_run(open, AttemptOutcome::Neutral, proof);
                AttemptError::Retry(self.refusal_after_attempts(Refusal::NoUpstream))
            }
            status if is_rejection(status) => {
                self.end_not_run(open, AttemptOutcome::Neutral, proof);
                AttemptError::Abort(
                    self.refusal_after_attempts(Refusal::Rejected(status.as_u16()))
                        .into(),
                )
            }
            status if status.is_client_error() => self.end_unknown(open, AttemptOutcome::Neutral),
            _ => self.end_unknown(open, AttemptOutcome::Broken),
        }
    }

    /// Ends an attempt that did not run, and releases its reservation.
    fn end_not_run(&self, open: OpenAttempt, outcome: AttemptOutcome, proof: NotRun) {
        let id = &*open.request_id;
        log::info!(target: "upstream", id, evidence = proof.label(); "attempt did not run");
        self.chain.upstreams.end(open.pick.attempt, outcome);
        self.chain.allotment.release(open.reservation, Tokens::ZERO);
    }

    /// Ends an attempt with an unknown outcome. Returns whether to retry.
    pub(super) fn end_unknown(
        &mut self,
        open: OpenAttempt,
        outcome: AttemptOutcome,
    ) -> AttemptError {
        self.execution = if self.delivered.tokens > 0 {
            Execution::Ran
        } else {
            Execution::Unknown
        };
        self.abandon(open, outcome);
        if self.time_left().is_zero() {
            return AttemptError::Abort(Refusal::Deadline(self.execution).into());
        }
        AttemptError::Retry(Refusal::Failed(self.execution))
    }

    /// Ends an attempt and has it cancelled; its reservation is held until that is settled.
    pub(super) fn abandon(&self, open: OpenAttempt, outcome: AttemptOutcome) {
        self.chain.upstreams.end(open.pick.attempt, outcome);
        self.chain.abandoned.add(AbandonedAttempt {
            reservation: open.reservation,
            upstream: open.pick.upstream,
            incarnation: open.pick.incarnation,
            address: open.pick.address,
            id: open.request_id,
            tries: 0,
        });
    }

    /// Has the bill stored, and then returns the last part of the answer.
    async fn save_bill(
        &mut self,
        answer: FinishedAnswer,
        open: OpenAttempt,
    ) -> Result<Bytes, Abort> {
        let bill = self.bill(&answer, open.pick.attempt);
        let saved = self.chain.bills.save(PendingBill {
            bill,
            reservation: open.reservation,
        });
        let timeout = self.time_left();
        match tokio::time::timeout(timeout, saved).await {
            Ok(Ok(_)) => Ok(self.final_part(answer, &open.request_id)),
            Ok(Err(_)) | Err(_) => Err(Refusal::BillUnsafe.into()),
        }
    }

    /// Returns the bill of an answer. Usage above the reserved bounds is counted and not billed.
    fn bill(&self, answer: &FinishedAnswer, attempt: u64) -> Bill {
        let usage = answer.usage;
        if usage.prompt > self.chat.prompt_bound || usage.generated > self.output_limit() {
            self.chain.metrics.tokens.add("over_bound");
        }
        Bill {
            id: self.identity.id.clone(),
            body: self.chat.body_hash,
            budget: self.caller.budget.clone(),
            holder: Holder::Router(self.chain.router.clone()),
            attempt,
            prompt: usage.prompt.min(self.chat.prompt_bound),
            generated: usage.generated.min(self.output_limit()),
        }
    }

    /// Returns the held events of a stream, or the JSON answer.
    fn final_part(&mut self, answer: FinishedAnswer, id: &str) -> Bytes {
        match self.output.format() {
            AnswerFormat::Stream => answer.held_events,
            AnswerFormat::Json => {
                self.delivered.text.push_str(&answer.final_text);
                render::completion(id, &self.chat.model, &self.delivered.text, &answer)
            }
        }
    }

    /// Returns the time until the deadline.
    pub(super) fn time_left(&self) -> Duration {
        let left = self.deadline.saturating_sub(self.chain.timer.now());
        Duration::from_millis(left.0)
    }
}

/// Returns whether an upstream answers a request with this status only before it runs it. Others,
/// such as 408 and 409, also end a run.
fn is_rejection(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::BAD_REQUEST
            | StatusCode::UNAUTHORIZED
            | StatusCode::PAYMENT_REQUIRED
            | StatusCode::FORBIDDEN
            | StatusCode::METHOD_NOT_ALLOWED
            | StatusCode::NOT_ACCEPTABLE
            | StatusCode::LENGTH_REQUIRED
            | StatusCode::PAYLOAD_TOO_LARGE
            | StatusCode::URI_TOO_LONG
            | StatusCode::UNSUPPORTED_MEDIA_TYPE
            | StatusCode::EXPECTATION_FAILED
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::UNPROCESSABLE_ENTITY
            | StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE
    )
}
