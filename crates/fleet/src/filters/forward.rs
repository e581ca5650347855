//! Runs one chat: reserves, chooses, forwards, retries, bills.
//!
//! This is the one owner of retries. The task outlives the caller's connection, so that every
//! attempt ends in a bill, a release or a cancel.

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
use crate::edges::http::SendError;
use crate::filters::Chain;
use crate::filters::attempt::Finish;
use crate::filters::attempt::OpenError;
use crate::filters::attempt::Passed;
use crate::filters::attempt::Source;
use crate::filters::choose::shed;
use crate::filters::identify::Caller;
use crate::filters::identify::Identity;
use crate::filters::known::Lease;
use crate::filters::output::Form;
use crate::filters::output::Gone;
use crate::filters::output::Output;
use crate::filters::parse::Chat;
use crate::filters::refusal::Ran;
use crate::filters::refusal::Refusal;
use crate::filters::render;

const ATTEMPTS: u32 = 3;
const FAIL_WITHIN: Duration = Duration::from_secs(2);
const FIND_WITHIN: Duration = Duration::from_millis(50);

/// One chat on its way.
pub struct Run {
    pub(super) chain: Arc<Chain>,
    caller: Caller,
    identity: Identity,
    chat: Chat,
    pub(super) spec: ModelSpec,
    pub(super) deadline: Millis,
    pub(super) output: Output,
    pub(super) lease: Lease,
    pub(super) passed: Passed,
    tried: Vec<Upstream>,
    pub(super) ran: Ran,
}

/// Why a chat ends without a whole answer.
pub(super) enum Stop {
    Gone,
    Refused(Refusal),
}

impl From<Refusal> for Stop {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

impl From<Gone> for Stop {
    fn from(_: Gone) -> Self {
        Self::Gone
    }
}

/// Why an attempt did not give a whole answer.
pub(super) enum Miss {
    /// Another upstream may be tried.
    Again(Refusal),
    /// The end of the chat.
    Stop(Stop),
}

/// An attempt that an upstream may be working on.
pub(super) struct Open {
    pub(super) pick: Pick,
    pub(super) held: Reservation,
    pub(super) id: Arc<str>,
}

/// What [`Run`] is built from.
pub struct Parts {
    /// Whose chat.
    pub caller: Caller,
    /// Which chat.
    pub identity: Identity,
    /// The chat.
    pub chat: Chat,
    /// Its model.
    pub spec: ModelSpec,
    /// When the answer has to be whole, by the timer's clock.
    pub deadline: Millis,
    /// The caller's side.
    pub output: Output,
    /// The right to run it.
    pub lease: Lease,
}

impl Run {
    /// A chat that has not begun.
    pub fn new(chain: Arc<Chain>, parts: Parts) -> Self {
        Self {
            chain,
            caller: parts.caller,
            identity: parts.identity,
            chat: parts.chat,
            spec: parts.spec,
            deadline: parts.deadline,
            output: parts.output,
            lease: parts.lease,
            passed: Passed::default(),
            tried: Vec::new(),
            ran: Ran::NotRun,
        }
    }

    /// Runs it to its end.
    pub async fn run(mut self) {
        let outcome = self.serve().await;
        let requests = &self.chain.metrics.requests;
        match outcome {
            Ok(last) => {
                requests.add("served");
                let left = self.left();
                let finish = self.output.finish(last);
                if let Ok(Some(answer)) = tokio::time::timeout(left, finish).await {
                    self.lease.finish(answer);
                }
            }
            Err(Stop::Gone) => requests.add("caller_gone"),
            Err(Stop::Refused(refusal)) => {
                requests.add(refusal.code());
                // A caller that does not read is not waited for.
                let _ = tokio::time::timeout(FAIL_WITHIN, self.output.fail(&refusal)).await;
            }
        }
    }

    /// Gives the end of a whole answer whose bill is safe.
    async fn serve(&mut self) -> Result<Bytes, Stop> {
        self.check_bill().await?;
        let first = self.reserve().await?;
        let pass = match self.enter().await {
            Ok(pass) => pass,
            Err(stop) => {
                self.chain.allotment.release(first, Tokens::ZERO);
                return Err(stop);
            }
        };
        let mut held = Some(first);
        self.chain.retries().record_first(self.chain.timer.now());
        for number in 1.. {
            let reservation = match held.take() {
                Some(reservation) => reservation,
                None => self.reserve().await?,
            };
            let refusal = match self.attempt(reservation).await {
                Ok((finish, open)) => {
                    pass.finish();
                    return self.conclude(finish, open).await;
                }
                Err(Miss::Stop(stop)) => return Err(stop),
                Err(Miss::Again(refusal)) => refusal,
            };
            if number >= ATTEMPTS || !self.may_retry() {
                return Err(refusal.into());
            }
        }
        Err(Refusal::Failed(self.ran).into())
    }

    /// Looks for an earlier bill under a key that the caller chose: with another body, the key was
    /// reused. With the same body the chat runs again and adds no second bill.
    async fn check_bill(&self) -> Result<(), Refusal> {
        if !self.identity.chosen {
            return Ok(());
        }
        let found = self
            .chain
            .control
            .bill(&self.identity.id, FIND_WITHIN)
            .await;
        match found {
            Ok(Some(bill)) if bill.body != self.chat.body => Err(Refusal::KeyReused),
            Ok(Some(_)) => {
                self.chain.metrics.known.add("billed_before");
                Ok(())
            }
            Ok(None) | Err(_) => Ok(()),
        }
    }

    async fn reserve(&mut self) -> Result<Reservation, Stop> {
        let chain = Arc::clone(&self.chain);
        let worst = self.chat.prompt + self.limit();
        let budget = self.caller.budget.clone();
        let reserving = chain.allotment.reserve(&budget, worst, self.deadline);
        let held = self.unless_gone(reserving).await?;
        Ok(held.map_err(|refusal| self.truthful(refusal))?)
    }

    async fn enter(&mut self) -> Result<AdmissionPermit, Stop> {
        let chain = Arc::clone(&self.chain);
        let asking = AdmissionRequest {
            workspace: self.caller.workspace.clone(),
            share: self.caller.share,
            priority: self.spec.priority,
            kind: self.kind(),
            cost: self.chat.prompt + self.limit(),
            deadline: self.deadline,
        };
        let entering = chain.gate.admit(asking);
        let entered = self.unless_gone(entering).await?;
        Ok(entered.map_err(shed)?)
    }

    /// Waits for something unless the caller goes away and no resend waits in its place.
    async fn unless_gone<T>(&mut self, work: impl Future<Output = T>) -> Result<T, Gone> {
        tokio::pin!(work);
        loop {
            tokio::select! {
                biased;
                done = &mut work => return Ok(done),
                () = self.output.gone() => {}
            }
            if !self.lease.joined() {
                return Err(Gone);
            }
            self.output.detach();
        }
    }

    fn kind(&self) -> Kind {
        Kind::Model(self.chat.model.clone(), self.chat.adapter.clone())
    }

    fn limit(&self) -> Tokens {
        let most = self.spec.limit;
        self.chat.limit.map_or(most, |limit| limit.min(most))
    }

    /// A refusal before any attempt stands; after one that may have run it must not say "not run".
    fn truthful(&self, refusal: Refusal) -> Refusal {
        match (self.ran, refusal) {
            (Ran::NotRun, refusal) | (_, refusal @ Refusal::Quarantined { .. }) => refusal,
            (ran, _) => Refusal::Failed(ran),
        }
    }

    fn may_retry(&mut self) -> bool {
        if self.left().is_zero() || self.passed.overflow {
            return false;
        }
        let granted = self.chain.retries().take(self.chain.timer.now());
        let result = if granted { "granted" } else { "no_budget" };
        self.chain.metrics.retries.add(result);
        granted
    }

    async fn attempt(&mut self, held: Reservation) -> Result<(Finish, Open), Miss> {
        let wanted = Criteria {
            sizes: Vec::new(),
            session_prefix: None,
            kind: self.kind(),
            priority: self.spec.priority,
            prefixes: self.chat.prefixes.clone(),
            body: self.chat.body,
            avoid: self.tried.clone(),
        };
        let pick = match self.chain.pick(&wanted, self.ran).await {
            Ok(pick) => pick,
            Err(refusal) => {
                self.chain.allotment.release(held, Tokens::ZERO);
                return Err(Miss::Stop(self.truthful(refusal).into()));
            }
        };
        self.tried.push(pick.upstream.clone());
        let id = format!("{}-{}", self.chain.router, pick.attempt).into();
        let open = Open { pick, held, id };
        if self.output.form() == Form::Json {
            self.passed = Passed::default();
        }
        let progress = Progress::new(self.chain.timer.now(), self.patience());
        let (source, open) = self.open(open).await?;
        self.ran = Ran::Unknown;
        self.read(source, open, progress).await
    }

    fn patience(&self) -> Timeouts {
        Timeouts {
            first_token: self.spec.first,
            token_gap: self.spec.between,
            whole_answer: self.spec.whole,
        }
    }

    async fn open(&mut self, open: Open) -> Result<(Source, Open), Miss> {
        let chain = Arc::clone(&self.chain);
        let body = self.chat.upstream_body(self.limit(), self.spec.priority);
        let within = self.left().min(Duration::from_millis(self.spec.first.0));
        let id = Arc::clone(&open.id);
        let opening = Source::open(&chain.client, open.pick.address, &id, body, within);
        match self.unless_gone(opening).await {
            Ok(Ok(source)) => Ok((source, open)),
            Ok(Err(error)) => Err(self.not_opened(open, &error)),
            Err(Gone) => {
                self.abandon(open, AttemptOutcome::Neutral);
                Err(Miss::Stop(Stop::Gone))
            }
        }
    }

    fn not_opened(&mut self, open: Open, error: &OpenError) -> Miss {
        match error {
            OpenError::Send(SendError::Unreachable) => {
                self.unsent(open, AttemptOutcome::Unreachable);
                Miss::Again(Refusal::Failed(self.ran))
            }
            OpenError::Send(SendError::Malformed(_)) => {
                self.unsent(open, AttemptOutcome::Neutral);
                Miss::Stop(Refusal::Failed(self.ran).into())
            }
            OpenError::Send(SendError::Broken) => self.lost(open, AttemptOutcome::Broken),
            OpenError::Send(SendError::TimedOut) => self.lost(open, AttemptOutcome::TimedOut),
            OpenError::Status(status) => self.refused(open, *status),
        }
    }

    fn refused(&mut self, open: Open, status: StatusCode) -> Miss {
        match status {
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                self.unsent(open, AttemptOutcome::Overload);
                Miss::Again(self.truthful(Refusal::Overloaded))
            }
            StatusCode::NOT_FOUND => {
                self.unsent(open, AttemptOutcome::Neutral);
                Miss::Again(self.truthful(Refusal::NoUpstream))
            }
            status if status.is_client_error() => {
                self.unsent(open, AttemptOutcome::Neutral);
                Miss::Stop(self.truthful(Refusal::Rejected(status.as_u16())).into())
            }
            _ => self.lost(open, AttemptOutcome::Broken),
        }
    }

    /// Ends an attempt that no upstream works on.
    fn unsent(&self, open: Open, ended: AttemptOutcome) {
        self.chain.upstreams.end(open.pick.attempt, ended);
        self.chain.allotment.release(open.held, Tokens::ZERO);
    }

    /// Ends an attempt with an unknown end.
    pub(super) fn lost(&mut self, open: Open, ended: AttemptOutcome) -> Miss {
        self.ran = if self.passed.tokens > 0 {
            Ran::Ran
        } else {
            Ran::Unknown
        };
        self.abandon(open, ended);
        if self.left().is_zero() {
            return Miss::Stop(Refusal::Deadline(self.ran).into());
        }
        Miss::Again(Refusal::Failed(self.ran))
    }

    pub(super) fn abandon(&self, open: Open, ended: AttemptOutcome) {
        self.chain.upstreams.end(open.pick.attempt, ended);
        self.chain.abandoned.add(AbandonedAttempt {
            reservation: open.held,
            upstream: open.pick.upstream,
            incarnation: open.pick.incarnation,
            address: open.pick.address,
            id: open.id,
            tries: 0,
        });
    }

    /// Has the bill made safe, and gives the end of the answer then.
    async fn conclude(&mut self, finish: Finish, open: Open) -> Result<Bytes, Stop> {
        let bill = self.bill(&finish, open.pick.attempt);
        let saved = self.chain.bills.save(PendingBill {
            bill,
            reservation: open.held,
        });
        let within = self.left();
        match tokio::time::timeout(within, saved).await {
            Ok(Ok(_)) => Ok(self.last(finish, &open.id)),
            Ok(Err(_)) | Err(_) => Err(Refusal::BillUnsafe.into()),
        }
    }

    fn bill(&self, finish: &Finish, attempt: u64) -> Bill {
        let usage = finish.usage;
        if usage.prompt > self.chat.prompt || usage.generated > self.limit() {
            self.chain.metrics.tokens.add("over_bound");
        }
        Bill {
            id: self.identity.id.clone(),
            body: self.chat.body,
            budget: self.caller.budget.clone(),
            holder: Holder::Router(self.chain.router.clone()),
            attempt,
            prompt: usage.prompt.min(self.chat.prompt),
            generated: usage.generated.min(self.limit()),
        }
    }

    fn last(&mut self, finish: Finish, id: &str) -> Bytes {
        match self.output.form() {
            Form::Stream => finish.last,
            Form::Json => {
                self.passed.text.push_str(&finish.tail);
                render::completion(id, &self.chat.model, &self.passed.text, &finish)
            }
        }
    }

    pub(super) fn left(&self) -> Duration {
        let left = self.deadline.saturating_sub(self.chain.timer.now());
        Duration::from_millis(left.0)
    }
}
