//! Races a second attempt against a first one whose answer takes long.
//!
//! [`Hedge`] decides when and whether; the first good answer is forwarded and the other attempt is
//! dropped, which closes its connection.

use std::pin::pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use chestnutnotch_core::id::Service;
use chestnutnotch_core::id::Upstream;
use chestnutnotch_core::limit::Hedge;
use chestnutnotch_core::limit::HedgeDenied;
use chestnutnotch_core::limit::HedgeRequest;
use chestnutnotch_core::limit::HedgeRules;
use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::unit::Tokens;
use tokio::time::timeout;

use crate::controllers::lifecycle::Stage;
use crate::edges::http::NotRun;
use crate::gateway::attempt;
use crate::gateway::attempt::AttemptGuard;
use crate::gateway::attempt::PreparedAttempt;
use crate::gateway::exchange;
use crate::gateway::exchange::AttemptFailure;
use crate::gateway::exchange::AttemptResponse;
use crate::gateway::job::Job;
use crate::timer::Timer;

/// Result of an attempt.
type AttemptResult = Result<AttemptResponse, AttemptFailure>;

/// Second attempts of a router's requests.
#[derive(Debug)]
pub struct Hedging {
    /// `None` if they are switched off.
    state: Option<Mutex<Hedge>>,
    timer: Timer,
}

impl Hedging {
    /// Creates the state of a router; a share of zero switches second attempts off.
    pub fn new(rules: HedgeRules, timer: Timer) -> Self {
        let state = (rules.share > 0).then(|| Mutex::new(Hedge::new(rules)));
        Self { state, timer }
    }

    /// See [`Hedge::record_first`].
    pub fn record_first(&self, prompt: Tokens) {
        if let Some(mut hedge) = self.lock() {
            hedge.record_first(prompt);
        }
    }

    /// Records the time from the first attempt of a request to its answer.
    pub fn record_answer(&self, job: &Job, elapsed: Millis) {
        if let Some(mut hedge) = self.lock() {
            hedge.record_answer(self.timer.now(), &job.route.name, elapsed);
        }
    }

    /// See [`Hedge::record_overload`].
    pub fn record_overload(&self, service: &Service) {
        if let Some(mut hedge) = self.lock() {
            hedge.record_overload(self.timer.now(), service);
        }
    }

    /// Returns the time after which a second attempt is due, or `None` if none will be.
    pub fn delay(&self, job: &Job) -> Option<Millis> {
        if job.runs + 1 >= job.route.max_attempts {
            return None;
        }
        self.lock()?.delay(self.timer.now(), &job.route).ok()
    }

    fn lock(&self) -> Option<MutexGuard<'_, Hedge>> {
        let state = self.state.as_ref()?;
        Some(state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// How a race ended.
enum RaceEnd {
    /// The first attempt ended, and no second one had started.
    Alone(AttemptResult),
    /// The first attempt answered first; the second may have failed before.
    First(AttemptResponse, Option<AttemptFailure>),
    /// The second attempt answered first; the first may have failed before.
    Second(AttemptResponse, Option<AttemptFailure>),
    /// Both failed.
    Neither(AttemptFailure, AttemptFailure),
}

impl RaceEnd {
    /// Returns the result for logs and metrics, unless no second attempt had started.
    fn label(&self) -> Option<&'static str> {
        match self {
            Self::Alone(_) => None,
            Self::First(..) => Some("lost"),
            Self::Second(..) => Some("won"),
            Self::Neither(..) => Some("failed"),
        }
    }
}

/// Sends a prepared attempt. If it has no answer after `delay`, starts a second one if that is
/// allowed then, and returns the first good answer.
///
/// # Errors
///
/// See [`AttemptFailure`]. Fails only if each attempt that started did.
pub async fn race(job: &mut Job, first: PreparedAttempt, delay: Millis) -> AttemptResult {
    let mut other = job.fork();
    // If the caller leaves during the race, either attempt may have run.
    if let Some(charge) = &mut job.charge {
        charge.mark_sent();
    }
    let sends = other.sends;
    let end = run_both(job, &mut other, first, delay).await;
    if let Some(label) = end.label() {
        job.gateway.metrics.second_attempts.add(label);
        log::info!(
            target: "request",
            id = &*job.metadata.attempt_id, route = &*job.route.name, result = label,
            upstream = other.tried.last().map_or("", |upstream| upstream.as_str()), ms = job.elapsed().0;
            "second attempt ended"
        );
    }
    let was_sent = other.sends > sends;
    if !was_sent {
        job.mark_second_not_run(NotRun::not_begun());
    }
    job.sends += other.sends.saturating_sub(sends);
    settle(job, &other, end, was_sent)
}

/// Runs the first attempt, and a second one if it is due and allowed. Returning drops the attempt
/// that has not ended.
async fn run_both(
    job: &mut Job,
    other: &mut Job,
    prepared: PreparedAttempt,
    delay: Millis,
) -> RaceEnd {
    let mut first = pin!(exchange::receive(job, prepared));
    let delay = Duration::from_millis(delay.0);
    if let Ok(result) = timeout(delay, &mut first).await {
        return RaceEnd::Alone(result);
    }
    let Some(attempt) = start_second(other) else {
        return RaceEnd::Alone(first.await);
    };
    let mut second = pin!(send_second(other, attempt));
    tokio::select! {
        biased;
        result = &mut first => match result {
            Ok(response) => RaceEnd::First(response, None),
            Err(failure) => match second.await {
                Ok(response) => RaceEnd::Second(response, Some(failure)),
                Err(other) => RaceEnd::Neither(failure, other),
            },
        },
        result = &mut second => match result {
            Ok(response) => RaceEnd::Second(response, None),
            Err(failure) => match first.await {
                Ok(response) => RaceEnd::First(response, Some(failure)),
                Err(first) => RaceEnd::Neither(first, failure),
            },
        },
    }
}

/// Connects to the upstream of a second attempt and sends the request.
async fn send_second(other: &mut Job, attempt: AttemptGuard) -> AttemptResult {
    let prepared = attempt::connect_and_count(other, attempt, None).await?;
    exchange::receive(other, prepared).await
}

/// Chooses an upstream for a second attempt that is due now, if it is allowed.
fn start_second(other: &mut Job) -> Option<AttemptGuard> {
    let metrics = &other.gateway.metrics;
    match try_start(other) {
        Ok(attempt) => {
            metrics.second_attempts.add("started");
            log::info!(
                target: "request",
                id = &*other.metadata.attempt_id, route = &*other.route.name, upstream:% = attempt.pick.upstream,
                slow = other.tried.last().map_or("", |upstream| upstream.as_str()), ms = other.elapsed().0;
                "second attempt started"
            );
            other.tried.push(attempt.pick.upstream.clone());
            Some(attempt)
        }
        Err(denied) => {
            metrics.second_attempts.add(denied.label());
            log::info!(
                target: "request",
                id = &*other.metadata.attempt_id, route = &*other.route.name, reason = denied.label(), ms = other.elapsed().0;
                "no second attempt"
            );
            None
        }
    }
}

fn try_start(other: &Job) -> Result<AttemptGuard, HedgeDenied> {
    let gateway = &other.gateway;
    let now = gateway.timer.now();
    let routers = gateway.router_count();
    let is_stopping = gateway.lifecycle.stage() != Stage::Serving;
    let request = HedgeRequest {
        route: &other.route,
        service: &other.service,
        prompt: other.prompt_tokens(),
        time_left: other.time_left(),
        retries_left: gateway
            .retry_budgets
            .remaining(now, &other.service, routers),
        is_withheld: is_stopping || gateway.upstreams.is_suspected(&other.fingerprint),
    };
    let mut hedge = gateway.hedging.lock().ok_or(HedgeDenied::NotAllowed)?;
    hedge.take(now, &request)?;
    let chosen = choose_second(other);
    if chosen.is_err() {
        hedge.give_back(request.prompt);
    }
    chosen
}

/// Chooses an upstream that has room as far as the router knows, and takes a retry.
fn choose_second(other: &Job) -> Result<AttemptGuard, HedgeDenied> {
    let gateway = &other.gateway;
    let criteria = other.criteria();
    if gateway.admission.is_queued(&criteria.kind) {
        return Err(HedgeDenied::NoRoom);
    }
    let pick = gateway.upstreams.choose(&criteria);
    let pick = pick.map_err(|_| HedgeDenied::NoRoom)?;
    let attempt = AttemptGuard::new(Arc::clone(gateway), pick);
    if attempt.pick.needs_probe {
        return Err(HedgeDenied::NoRoom);
    }
    match other.take_retry() {
        true => Ok(attempt),
        false => Err(HedgeDenied::RetryBudget),
    }
}

/// Adds what the second attempt did to the state of the request. Both attempts count as runs unless
/// they are proved not to have run.
fn settle(job: &mut Job, other: &Job, end: RaceEnd, was_sent: bool) -> AttemptResult {
    match end {
        RaceEnd::Alone(result) => result,
        RaceEnd::First(response, failure) => {
            let last = job.tried.len().saturating_sub(1);
            if let Some(upstream) = job.untried(other) {
                job.tried.insert(last, upstream);
            }
            match failure {
                Some(failure) => job.record_second_failure(&failure, was_sent),
                None => job.runs += u32::from(was_sent),
            }
            Ok(response)
        }
        RaceEnd::Second(response, failure) => {
            job.tried.extend(job.untried(other));
            match failure {
                Some(failure) => job.record_failure(&failure),
                None => job.runs += 1,
            }
            Ok(response)
        }
        RaceEnd::Neither(first, second) => {
            job.tried.extend(job.untried(other));
            if first.not_run.is_none() {
                job.record_second_failure(&second, was_sent);
                return Err(first);
            }
            job.record_failure(&first);
            if was_sent && let Some(evidence) = second.not_run {
                job.mark_second_not_run(evidence);
            }
            job.reason = other.reason;
            Err(second)
        }
    }
}

impl Job {
    /// Returns a copy for a second attempt while the first one runs. It holds no tokens: the request
    /// is charged once.
    fn fork(&self) -> Self {
        Self {
            gateway: Arc::clone(&self.gateway),
            inflight: Arc::clone(&self.inflight),
            route: Arc::clone(&self.route),
            service: self.service.clone(),
            stride: self.stride,
            metadata: self.metadata.clone(),
            head: self.head.clone(),
            body: self.body.clone(),
            workspace: self.workspace.clone(),
            priority: self.priority,
            start: self.start,
            deadline: self.deadline,
            charge: None,
            fingerprint: self.fingerprint,
            tried: self.tried.clone(),
            release: self.release.clone(),
            runs: self.runs + 1,
            sends: self.sends,
            paused: self.paused,
            reason: "",
        }
    }

    /// Returns the upstream that only the second attempt tried.
    fn untried(&self, other: &Self) -> Option<Upstream> {
        let last = other.tried.last()?;
        (!self.tried.contains(last)).then(|| last.clone())
    }

    /// Records the failure of a second attempt, whose run was charged in advance.
    fn record_second_failure(&mut self, failure: &AttemptFailure, was_sent: bool) {
        if was_sent && let Some(evidence) = failure.not_run {
            self.mark_second_not_run(evidence);
        }
        self.record_failure(failure);
    }

    fn mark_second_not_run(&mut self, evidence: NotRun) {
        if let Some(charge) = &mut self.charge {
            charge.mark_not_run(evidence);
        }
    }
}
