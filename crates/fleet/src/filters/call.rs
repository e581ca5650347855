//! Calls to plain services: `/services/<name>/...`.
//!
//! `GET` and the paths that the configuration lists as idempotent are retried like chats. All other
//! calls go through [`claim`].

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
use crate::edges::http::ReplyBody;
use crate::edges::http::SendError;
use crate::edges::http::client;
use crate::edges::http::read_bounded;
use crate::filters::Chain;
use crate::filters::chat::body_of;
use crate::filters::chat::refused;
use crate::filters::chat::tag;
use crate::filters::choose::shed;
use crate::filters::claim;
use crate::filters::identify;
use crate::filters::identify::Caller;
use crate::filters::identify::Identity;
use crate::filters::identify::KEY_HEADER;
use crate::filters::refusal::Ran;
use crate::filters::refusal::Refusal;

/// Header that tells a service whose call it is.
pub const WORKSPACE_HEADER: &str = "chestnutnotch-workspace";

/// Path under which plain services are served.
pub const PREFIX: &str = "/services/";

const ATTEMPTS: u32 = 3;
const COST: Tokens = Tokens(1);

/// A call that has passed the checks.
#[derive(Debug)]
pub struct Checked {
    /// Whose call.
    pub caller: Caller,
    /// Which call.
    pub identity: Identity,
    /// Its service.
    pub spec: ServiceSpec,
    /// Method.
    pub method: Method,
    /// Path below the service, with query.
    pub path: String,
    /// Headers for the service.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Hash of method, path and body.
    pub print: Fingerprint,
    /// When it has to be answered, by the timer's clock.
    pub deadline: Millis,
}

/// A service's answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Headers, without those of the connection.
    pub headers: HeaderMap,
    /// Body.
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

/// Answers a call to a plain service.
///
/// # Errors
///
/// [`Refusal`] of the checks before the key is known; later ones come as an answer.
pub async fn serve(
    chain: Arc<Chain>,
    config: Arc<ActiveConfig>,
    flight: InFlightGuard,
    request: Request<Incoming>,
) -> Result<Response<ReplyBody>, Refusal> {
    let (head, body) = request.into_parts();
    let caller = identify::caller(&head.headers, &config)?;
    let identity = identify::identity(&head.headers, &caller.workspace)?;
    let key = identity.id.key.to_string();
    let outcome = match check(&chain, &config, caller, identity, head, body).await {
        Ok(checked) => run(Arc::clone(&chain), checked, flight).await,
        Err(refusal) => Err(refusal),
    };
    let mut response = match outcome {
        Ok(answer) => {
            chain.metrics.requests.add("served");
            answer.response()
        }
        Err(refusal) => refused(&chain, &refusal),
    };
    tag(response.headers_mut(), &key);
    Ok(response)
}

/// The call runs in a task of its own, so that it ends properly also when its caller goes away.
async fn run(
    chain: Arc<Chain>,
    checked: Checked,
    flight: InFlightGuard,
) -> Result<Answer, Refusal> {
    let task = tokio::spawn(async move {
        let outcome = match is_repeatable(&checked) {
            true => repeat(&chain, &checked).await,
            false => claim::once(&chain, &checked).await,
        };
        drop(flight);
        outcome
    });
    task.await.unwrap_or(Err(Refusal::OutcomeUnknown))
}

async fn check(
    chain: &Chain,
    config: &ActiveConfig,
    caller: Caller,
    identity: Identity,
    head: request::Parts,
    body: Incoming,
) -> Result<Checked, Refusal> {
    let target = head.uri.path_and_query().map_or("", |path| path.as_str());
    let target = target.strip_prefix(PREFIX).unwrap_or_default();
    let split = target.find(['/', '?']).unwrap_or(target.len());
    let (name, rest) = target.split_at(split);
    let spec = config.service(&caller.workspace, name);
    let spec = spec.ok_or_else(|| Refusal::UnknownService(name.into()))?;
    let body = body_of(chain, body).await?;
    let path = match rest.starts_with('/') {
        true => rest.to_owned(),
        false => format!("/{rest}"),
    };
    let deadline = chain.timer.now() + spec.whole;
    let checked = Checked {
        headers: service_headers(&head.headers, &identity, &caller),
        print: print(&head.method, &path, &body),
        spec: spec.clone(),
        method: head.method,
        caller,
        identity,
        path,
        body,
        deadline,
    };
    if spec.keyed && !checked.identity.chosen && !is_repeatable(&checked) {
        return Err(Refusal::KeyRequired);
    }
    Ok(checked)
}

/// Whether a request may have run under an earlier submission, as far as can be told without asking
/// the register of claims.
pub fn earlier<B>(request: &Request<B>) -> Ran {
    let claimed = request.uri().path().starts_with(PREFIX) && !is_safe(request.method());
    if claimed && request.headers().contains_key(KEY_HEADER) {
        Ran::Unknown
    } else {
        Ran::NotRun
    }
}

fn is_safe(method: &Method) -> bool {
    matches!(*method, Method::GET | Method::HEAD | Method::OPTIONS)
}

fn is_repeatable(call: &Checked) -> bool {
    if is_safe(&call.method) {
        return true;
    }
    let path = call.path.split('?').next().unwrap_or_default();
    let path = path.trim_matches('/');
    let listed = &call.spec.idempotent;
    listed.iter().any(|one| one.trim_matches('/') == path)
}

fn print(method: &Method, path: &str, body: &Bytes) -> Fingerprint {
    let mut all = format!("{method} {path}\n").into_bytes();
    all.extend_from_slice(body);
    Fingerprint::of(all)
}

fn service_headers(from: &HeaderMap, identity: &Identity, caller: &Caller) -> HeaderMap {
    let mut headers = end_to_end(from);
    headers.remove(header::AUTHORIZATION);
    headers.remove(header::HOST);
    headers.remove(header::EXPECT);
    tag(&mut headers, identity.id.key.as_str());
    // A workspace whose name is no header value is known to the service by its key alone.
    if let Ok(value) = HeaderValue::from_str(caller.workspace.as_str()) {
        headers.insert(WORKSPACE_HEADER, value);
    }
    headers
}

/// Headers without those that concern one connection only.
fn end_to_end(from: &HeaderMap) -> HeaderMap {
    const HOP: [HeaderName; 8] = [
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::PROXY_AUTHENTICATE,
        header::PROXY_AUTHORIZATION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
    ];
    let named: Vec<String> = from
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut headers = HeaderMap::with_capacity(from.len());
    for (name, value) in from {
        let hop = HOP.contains(name) || name == "keep-alive";
        if !hop && !named.iter().any(|one| one == name.as_str()) {
            headers.append(name.clone(), value.clone());
        }
    }
    headers
}

impl Chain {
    /// Waits for admission of a call.
    ///
    /// # Errors
    ///
    /// [`Refusal::NoUpstream`] or [`Refusal::Shed`].
    pub async fn admit(&self, call: &Checked) -> Result<AdmissionPermit, Refusal> {
        let asking = AdmissionRequest {
            workspace: call.caller.workspace.clone(),
            share: call.caller.share,
            priority: call.spec.priority,
            kind: Kind::Service(call.spec.name.clone()),
            cost: COST,
            deadline: call.deadline,
        };
        self.gate.admit(asking).await.map_err(shed)
    }

    /// Chooses a worker for a call.
    ///
    /// # Errors
    ///
    /// See [`Chain::pick`].
    pub async fn worker(
        &self,
        call: &Checked,
        tried: &[Upstream],
        ran: Ran,
    ) -> Result<Pick, Refusal> {
        let wanted = Criteria {
            sizes: Vec::new(),
            session_prefix: None,
            kind: Kind::Service(call.spec.name.clone()),
            priority: call.spec.priority,
            prefixes: Vec::new(),
            body: call.print,
            avoid: tried.to_vec(),
        };
        self.pick(&wanted, ran).await
    }

    /// Time left for a call.
    pub fn left(&self, call: &Checked) -> Duration {
        Duration::from_millis(call.deadline.saturating_sub(self.timer.now()).0)
    }

    /// Reads a service's answer within the router's bounds.
    ///
    /// # Errors
    ///
    /// [`SendError::Broken`].
    pub async fn answer_of(
        &self,
        response: Response<Incoming>,
        within: Duration,
    ) -> Result<Answer, SendError> {
        let (head, body) = response.into_parts();
        let body = read_bounded(body, self.settings.body, within).await;
        let mut headers = end_to_end(&head.headers);
        headers.remove(KEY_HEADER);
        Ok(Answer {
            status: head.status,
            headers,
            body: body.map_err(|_| SendError::Broken)?,
        })
    }
}

/// What is sent to a worker.
pub fn message(call: &Checked, pick: &Pick) -> client::Call {
    client::Call {
        address: pick.address,
        method: call.method.clone(),
        path: call.path.clone(),
        headers: call.headers.clone(),
        body: call.body.clone(),
    }
}

async fn repeat(chain: &Chain, call: &Checked) -> Result<Answer, Refusal> {
    let pass = chain.admit(call).await?;
    let mut tried = Vec::new();
    let mut ran = Ran::NotRun;
    chain.retries().record_first(chain.timer.now());
    for number in 1.. {
        let pick = match chain.worker(call, &tried, ran).await {
            Ok(pick) => pick,
            Err(_) if number > 1 => break,
            Err(refusal) => return Err(refusal),
        };
        tried.push(pick.upstream.clone());
        let within = chain.left(call);
        let sent = chain.client.send(message(call, &pick), within).await;
        let answer = match sent {
            Ok(response) => chain.answer_of(response, chain.left(call)).await,
            Err(error) => Err(error),
        };
        chain.upstreams.end(pick.attempt, ended(&answer));
        match answer {
            Ok(answer) if !is_overload(answer.status) => {
                pass.finish();
                return Ok(answer);
            }
            Ok(answer) if number >= ATTEMPTS => return Ok(answer),
            Ok(_) | Err(SendError::Unreachable | SendError::Malformed(_)) => {}
            Err(SendError::Broken | SendError::TimedOut) => ran = Ran::Unknown,
        }
        if chain.left(call).is_zero() {
            return Err(Refusal::Deadline(ran));
        }
        if number >= ATTEMPTS || !chain.retries().take(chain.timer.now()) {
            break;
        }
        chain.metrics.retries.add("granted");
    }
    Err(Refusal::Failed(ran))
}

fn is_overload(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// What the outcome of a call says of the worker.
pub fn ended(outcome: &Result<Answer, SendError>) -> AttemptOutcome {
    match outcome {
        Ok(answer) if is_overload(answer.status) => AttemptOutcome::Overload,
        Ok(_) => AttemptOutcome::Completed,
        Err(SendError::Unreachable) => AttemptOutcome::Unreachable,
        Err(SendError::Broken) => AttemptOutcome::Broken,
        Err(SendError::TimedOut) => AttemptOutcome::TimedOut,
        Err(SendError::Malformed(_)) => AttemptOutcome::Neutral,
    }
}
