//! Calls to plain services: `/services/<name>/...`.
//!
//! Calls with a safe method (`GET`, `HEAD`, `OPTIONS`) and to paths that the configuration lists as
//! idempotent may be repeated and are retried here. All other calls go through [`claim`].

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chestnutnotch_core::config::ServiceSpec;
use chestnutnotch_core::id::Fingerprint;
use chestnutnotch_core::id::Upstream;
use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::unit::Tokens;
use chestnutnotch_core::upstream::AttemptOutcome;
use chestnutnotch_core::upstream::Criteria;
use chestnutnotch_core::upstream::Kind;
use chestnutnotch_core::upstream::Pick;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http::request;
use hyper::body::Incoming;

use crate::controllers::admission::AdmissionPermit;
use crate::controllers::admission::AdmissionRequest;
use crate::controllers::config::ActiveConfig;
use crate::controllers::lifecycle::InFlightGuard;
use crate::edges::http::NotRun;
use crate::edges::http::ReplyBody;
use crate::edges::http::RequestedPause;
use crate::edges::http::SendError;
use crate::edges::http::client;
use crate::edges::http::counted;
use crate::edges::http::read_answer;
use crate::filters::Chain;
use crate::filters::chat::read_body;
use crate::filters::chat::refusal_response;
use crate::filters::chat::set_key_header;
use crate::filters::choose::shed_refusal;
use crate::filters::claim;
use crate::filters::identify;
use crate::filters::identify::Caller;
use crate::filters::identify::IDEMPOTENCY_KEY_HEADER;
use crate::filters::identify::Identity;
use crate::filters::refusal::Execution;
use crate::filters::refusal::Refusal;

/// Header that tells a service which workspace calls it.
pub const WORKSPACE_HEADER: &str = "chestnutnotch-workspace";

/// Path under which plain services are served.
pub const SERVICES_PREFIX: &str = "/services/";

/// Most attempts at a repeatable call.
const MAX_ATTEMPTS: u32 = 3;
/// Cost of any call in admission control: calls use no tokens, so all count the same.
const CALL_COST: Tokens = Tokens(1);

/// A call that has passed all checks.
#[derive(Debug)]
pub struct CheckedCall {
    /// The workspace that calls.
    pub caller: Caller,
    /// Workspace and idempotency key of the call.
    pub identity: Identity,
    /// Configuration of the service.
    pub spec: ServiceSpec,
    /// HTTP method.
    pub method: Method,
    /// Path below the prefix of the service, with query.
    pub path: String,
    /// Headers that are sent to the service.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Hash of method, path and body.
    pub fingerprint: Fingerprint,
    /// Deadline of the answer, by the clock of the timer.
    pub deadline: Millis,
}

/// The answer of a service.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers, without those that concern one connection only.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

impl Answer {
    fn response(self) -> Response<ReplyBody> {
        let mut response = Response::new(ReplyBody::whole(self.body));
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        response
    }
}

/// Serves a call to a plain service.
///
/// # Errors
///
/// [`Refusal`] if the bearer key or the idempotency key is not accepted. Later refusals are
/// returned as answers that carry the idempotency key.
pub async fn serve(
    chain: Arc<Chain>,
    config: Arc<ActiveConfig>,
    flight: InFlightGuard,
    request: Request<Incoming>,
) -> Result<Response<ReplyBody>, Refusal> {
    let (head, body) = request.into_parts();
    let caller = identify::authenticate(&head.headers, &config)?;
    let identity = identify::request_identity(&head.headers, &caller.workspace)?;
    let key = identity.id.key.to_string();
    let outcome = match check(&chain, &config, caller, identity, head, body).await {
        Ok(checked) => run_in_task(Arc::clone(&chain), checked, flight).await,
        Err(refusal) => Err(refusal),
    };
    let mut response = match outcome {
        Ok(answer) => {
            chain.metrics.requests.add("served");
            answer.response()
        }
        Err(refusal) => refusal_response(&chain, &refusal),
    };
    set_key_header(response.headers_mut(), &key);
    Ok(response)
}

/// Runs the call in a task of its own, so that it is completed also when its caller goes away.
async fn run_in_task(
    chain: Arc<Chain>,
    checked: CheckedCall,
    flight: InFlightGuard,
) -> Result<Answer, Refusal> {
    let task = tokio::spawn(async move {
        let outcome = match is_repeatable(&checked) {
            true => run_repeatable(&chain, &checked).await,
            false => claim::run_once(&chain, &checked).await,
        };
        drop(flight);
        outcome
    });
    task.await.unwrap_or(Err(Refusal::OutcomeUnknown))
}

/// Finds the service of the path, reads the body and builds the headers for the service.
async fn check(
    chain: &Chain,
    config: &ActiveConfig,
    caller: Caller,
    identity: Identity,
    head: request::Parts,
    body: Incoming,
) -> Result<CheckedCall, Refusal> {
    let target = head.uri.path_and_query().map_or("", |path| path.as_str());
    let target = target.strip_prefix(SERVICES_PREFIX).unwrap_or_default();
    let split = target.find(['/', '?']).unwrap_or(target.len());
    let (name, rest) = target.split_at(split);
    let spec = config.service(&caller.workspace, name);
    let spec = spec.ok_or_else(|| Refusal::UnknownService(name.into()))?;
    let body = read_body(chain, body).await?;
    let path = match rest.starts_with('/') {
        true => rest.to_owned(),
        false => format!("/{rest}"),
    };
    let deadline = chain.timer.now() + spec.whole;
    let checked = CheckedCall {
        headers: service_headers(&head.headers, &identity, &caller),
        fingerprint: fingerprint(&head.method, &path, &body),
        spec: spec.clone(),
        method: head.method,
        caller,
        identity,
        path,
        body,
        deadline,
    };
    if spec.keyed && !checked.identity.key_supplied && !is_repeatable(&checked) {
        return Err(Refusal::KeyRequired);
    }
    Ok(checked)
}

/// Returns whether a request may have run under an earlier submission, as far as can be told
/// without asking the control replicas for its claim.
pub fn earlier_execution<B>(request: &Request<B>) -> Execution {
    let needs_claim =
        request.uri().path().starts_with(SERVICES_PREFIX) && !is_safe(request.method());
    if needs_claim && request.headers().contains_key(IDEMPOTENCY_KEY_HEADER) {
        Execution::Unknown
    } else {
        Execution::NotRun
    }
}

fn is_safe(method: &Method) -> bool {
    matches!(*method, Method::GET | Method::HEAD | Method::OPTIONS)
}

/// Returns whether the call may run more than once.
fn is_repeatable(call: &CheckedCall) -> bool {
    if is_safe(&call.method) {
        return true;
    }
    let path = call.path.split('?').next().unwrap_or_default();
    let path = path.trim_matches('/');
    let listed = &call.spec.idempotent;
    listed
        .iter()
        .any(|listed_path| listed_path.trim_matches('/') == path)
}

/// Returns a hash of method, path and body.
fn fingerprint(method: &Method, path: &str, body: &Bytes) -> Fingerprint {
    let mut input = format!("{method} {path}\n").into_bytes();
    input.extend_from_slice(body);
    Fingerprint::of(input)
}

fn service_headers(from: &HeaderMap, identity: &Identity, caller: &Caller) -> HeaderMap {
    let mut headers = end_to_end(from);
    headers.remove(header::AUTHORIZATION);
    headers.remove(header::HOST);
    headers.remove(header::EXPECT);
    set_key_header(&mut headers, identity.id.key.as_str());
    // A name that is not a valid header value is left out.
    if let Ok(value) = HeaderValue::from_str(caller.workspace.as_str()) {
        headers.insert(WORKSPACE_HEADER, value);
    }
    headers
}

/// Returns the headers without those that concern one connection only.
fn end_to_end(from: &HeaderMap) -> HeaderMap {
    const HOP_HEADERS: [HeaderName; 8] = [
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::PROXY_AUTHENTICATE,
        header::PROXY_AUTHORIZATION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
    ];
    let connection_headers: Vec<String> = from
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut headers = HeaderMap::with_capacity(from.len());
    for (name, value) in from {
        let is_hop = HOP_HEADERS.contains(name) || name == "keep-alive";
        if !is_hop
            && !connection_headers
                .iter()
                .any(|listed| listed == name.as_str())
        {
            headers.append(name.clone(), value.clone());
        }
    }
    headers
}

impl Chain {
    /// Waits until admission control admits a call.
    ///
    /// # Errors
    ///
    /// [`Refusal::NoUpstream`], [`Refusal::Paused`] or [`Refusal::Shed`].
    pub async fn admit(&self, call: &CheckedCall) -> Result<AdmissionPermit, Refusal> {
        let kind = Kind::Service(call.spec.name.clone());
        self.check_pauses(&kind)?;
        let asking = AdmissionRequest {
            workspace: call.caller.workspace.clone(),
            share: call.caller.share,
            priority: call.spec.priority,
            kind,
            cost: CALL_COST,
            deadline: call.deadline,
            hold: None,
        };
        self.gate.admit(asking).await.map_err(shed_refusal)
    }

    /// Chooses a worker (an upstream of the service) for a call, and avoids those in `tried`.
    ///
    /// # Errors
    ///
    /// See [`Chain::pick`].
    pub async fn pick_worker(
        &self,
        call: &CheckedCall,
        tried: &[Upstream],
        execution: Execution,
    ) -> Result<Pick, Refusal> {
        let criteria = Criteria {
            sizes: Vec::new(),
            session_prefix: None,
            kind: Kind::Service(call.spec.name.clone()),
            priority: call.spec.priority,
            prefixes: Vec::new(),
            body: call.fingerprint,
            parts: Vec::new(),
            avoid: tried.to_vec(),
            release: None,
        };
        self.pick(&criteria, execution).await
    }

    /// Returns the time until the deadline of a call.
    pub fn time_left(&self, call: &CheckedCall) -> Duration {
        Duration::from_millis(call.deadline.saturating_sub(self.timer.now()).0)
    }

    /// Reads the answer of a service within the size limit of the router.
    ///
    /// # Errors
    ///
    /// [`SendError::Broken`] if the body is too large, late or cut short.
    pub async fn read_answer(
        &self,
        response: Response<Incoming>,
        timeout: Duration,
    ) -> Result<Answer, SendError> {
        let read = read_answer(response, self.settings.body, timeout).await;
        let (head, body) = read.map_err(|fault| {
            log::info!(target: "upstream", error:% = fault; "answer of a service is not complete");
            SendError::Broken
        })?;
        let mut headers = end_to_end(&head.headers);
        headers.remove(IDEMPOTENCY_KEY_HEADER);
        Ok(Answer {
            status: head.status,
            headers,
            body,
        })
    }
}

impl Chain {
    /// Applies the pause that the answer to a call asks for, if it does. The answer has to be tied to
    /// the call.
    pub fn observe_pause<B>(&self, call: &CheckedCall, pick: &Pick, response: &Response<B>) {
        let pause = RequestedPause::read(response.status(), response.headers());
        let id = call.identity.id.key.as_str();
        self.upstreams.observe_pause(pick, id, pause);
    }
}

/// Returns the request for the chosen worker.
pub fn upstream_request(call: &CheckedCall, pick: &Pick) -> client::Call {
    client::Call {
        address: pick.address,
        method: call.method.clone(),
        path: call.path.clone(),
        headers: call.headers.clone(),
        body: call.body.clone(),
    }
}

/// How an attempt at a repeatable call ended.
enum CallAttempt {
    /// The worker answered.
    Answered(Answer),
    /// It did not run. There is an answer if the worker refused it for overload.
    NotRun(NotRun, Option<Answer>),
    /// Whether it ran is not known.
    Unknown,
}

/// Makes one attempt at a repeatable call.
async fn attempt(chain: &Chain, call: &CheckedCall, pick: Pick) -> CallAttempt {
    let request = upstream_request(call, &pick);
    // Services repeat no id, so an answer over a kept connection could be that to another call.
    let left = chain.time_left(call);
    let sent = chain.client.send_once(request, left).await;
    let (proof, answer) = match sent {
        Ok(response) if is_overload(response.status()) => {
            let Some(tie) = counted::tie(&response, None) else {
                let status = response.status().as_u16();
                log::warn!(
                    target: "upstream",
                    id = call.identity.id.key.as_str(), address:% = pick.address, status;
                    "answer is not tied to the request"
                );
                chain.upstreams.end(pick.attempt, AttemptOutcome::Unmatched);
                return CallAttempt::Unknown;
            };
            chain.observe_pause(call, &pick, &response);
            let answer = chain.read_answer(response, chain.time_left(call)).await;
            (Some(NotRun::from_answer(tie)), answer)
        }
        Ok(response) => {
            let answer = chain.read_answer(response, chain.time_left(call)).await;
            (None, answer)
        }
        Err(error) => (NotRun::from_send(&error), Err(error)),
    };
    chain.upstreams.end(pick.attempt, attempt_outcome(&answer));
    match (answer, proof) {
        (Ok(answer), None) => CallAttempt::Answered(answer),
        (Ok(answer), Some(proof)) => CallAttempt::NotRun(proof, Some(answer)),
        (Err(SendError::Unreachable | SendError::Malformed(_)), Some(proof)) => {
            CallAttempt::NotRun(proof, None)
        }
        (Err(_), _) => CallAttempt::Unknown,
    }
}

/// Logs what proves that an attempt did not run.
pub fn log_not_run(call: &CheckedCall, proof: NotRun) {
    let id = call.identity.id.key.as_str();
    log::info!(target: "upstream", id, evidence = proof.label(); "attempt did not run");
}

/// Runs a call that may be repeated, with retries on other workers.
async fn run_repeatable(chain: &Chain, call: &CheckedCall) -> Result<Answer, Refusal> {
    let pass = chain.admit(call).await?;
    let mut tried = Vec::new();
    let mut execution = Execution::NotRun;
    chain.retries().record_first(chain.timer.now());
    for number in 1.. {
        let pick = match chain.pick_worker(call, &tried, execution).await {
            Ok(pick) => pick,
            Err(_) if number > 1 => break,
            Err(refusal) => return Err(refusal),
        };
        tried.push(pick.upstream.clone());
        match attempt(chain, call, pick).await {
            CallAttempt::Answered(answer) => {
                pass.finish();
                return Ok(answer);
            }
            CallAttempt::NotRun(proof, refused) => {
                log_not_run(call, proof);
                // The refusal says nothing of an earlier attempt.
                let is_last = number >= MAX_ATTEMPTS && execution == Execution::NotRun;
                if let Some(refused) = refused.filter(|_| is_last) {
                    return Ok(refused);
                }
            }
            CallAttempt::Unknown => execution = Execution::Unknown,
        }
        if chain.time_left(call).is_zero() {
            return Err(Refusal::Deadline(execution));
        }
        if number >= MAX_ATTEMPTS || !chain.retries().take(chain.timer.now()) {
            break;
        }
        chain.metrics.retries.add("granted");
    }
    Err(Refusal::Failed(execution))
}

fn is_overload(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Returns the outcome to record for the worker.
pub fn attempt_outcome(outcome: &Result<Answer, SendError>) -> AttemptOutcome {
    match outcome {
        Ok(answer) if is_overload(answer.status) => AttemptOutcome::Overload,
        Ok(_) => AttemptOutcome::Completed,
        Err(SendError::Unreachable) => AttemptOutcome::Unreachable,
        Err(SendError::Broken) => AttemptOutcome::Broken,
        Err(SendError::TimedOut) => AttemptOutcome::TimedOut,
        Err(SendError::Malformed(_)) => AttemptOutcome::Neutral,
    }
}
