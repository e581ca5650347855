//! Serves `POST /v1/chat/completions`: checks the request, then runs it or joins a running one.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chestnutnotch_core::config::ModelSpec;
use chestnutnotch_core::unit::Millis;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Response;
use hyper::body::Incoming;

use crate::controllers::config::ActiveConfig;
use crate::controllers::lifecycle::InFlightGuard;
use crate::edges::http::ReadError;
use crate::edges::http::ReplyBody;
use crate::edges::http::read_bounded;
use crate::filters::Chain;
use crate::filters::forward::ChatParts;
use crate::filters::forward::ChatRun;
use crate::filters::idempotency::Lookup;
use crate::filters::idempotency::RunGuard;
use crate::filters::identify;
use crate::filters::identify::Caller;
use crate::filters::identify::IDEMPOTENCY_KEY_HEADER;
use crate::filters::identify::Identity;
use crate::filters::output::AnswerFormat;
use crate::filters::output::AnswerSink;
use crate::filters::output::answer_response;
use crate::filters::parse::ChatRequest;
use crate::filters::refusal::Execution;
use crate::filters::refusal::Malformed;
use crate::filters::refusal::Refusal;

/// Timeout for the body of a request to arrive.
pub const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// A chat that has passed all checks.
struct CheckedChat {
    caller: Caller,
    identity: Identity,
    chat: ChatRequest,
    spec: ModelSpec,
    deadline: Millis,
}

/// Serves a chat.
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
    let body = read_body(&chain, body).await;
    let checked = body.and_then(|body| check(&chain, &config, caller, identity, &body));
    let mut response = match checked {
        Ok(checked) => run_or_join(&chain, checked, flight).await,
        Err(refusal) => refusal_response(&chain, &refusal),
    };
    set_key_header(response.headers_mut(), &key);
    Ok(response)
}

/// Reads the body of a request within the size limit and the timeout of the router.
///
/// # Errors
///
/// [`Refusal::TooLarge`], [`Refusal::NoMemory`] or [`Malformed::Body`].
pub async fn read_body(chain: &Chain, body: Incoming) -> Result<Bytes, Refusal> {
    let read = read_bounded(body, chain.settings.body, BODY_TIMEOUT, &chain.bodies).await;
    read.map_err(|error| match error {
        ReadError::TooLarge(max_bytes) => Refusal::TooLarge(max_bytes),
        ReadError::NoRoom => Refusal::NoMemory,
        ReadError::TimedOut(_) | ReadError::Broken(_) => Malformed::Body.into(),
    })
}

/// Counts a refusal and returns it as an answer.
pub fn refusal_response(chain: &Chain, refusal: &Refusal) -> Response<ReplyBody> {
    chain.metrics.requests.add(refusal.code());
    refusal.response()
}

/// Sets the header with the idempotency key.
pub fn set_key_header(headers: &mut HeaderMap, key: &str) {
    // Keys are visible ASCII, so this can't fail.
    if let Ok(value) = HeaderValue::from_str(key) {
        headers.insert(IDEMPOTENCY_KEY_HEADER, value);
    }
}

/// Parses the body, and looks up the model for the workspace.
fn check(
    chain: &Chain,
    config: &ActiveConfig,
    caller: Caller,
    identity: Identity,
    body: &Bytes,
) -> Result<CheckedChat, Refusal> {
    let chat = ChatRequest::parse(body)?;
    let spec = config.model(&caller.workspace, &chat.model);
    let spec = spec.ok_or_else(|| Refusal::UnknownModel(chat.model.clone()))?;
    let deadline = chain.timer.now() + spec.whole;
    Ok(CheckedChat {
        caller,
        identity,
        spec: spec.clone(),
        chat,
        deadline,
    })
}

/// Runs the chat, waits for a running submission of it, or returns the recorded answer.
async fn run_or_join(
    chain: &Arc<Chain>,
    checked: CheckedChat,
    flight: InFlightGuard,
) -> Response<ReplyBody> {
    let format = match checked.chat.stream {
        true => AnswerFormat::Stream,
        false => AnswerFormat::Json,
    };
    loop {
        match chain
            .idempotency
            .look_up(&checked.identity.id, checked.chat.body_hash)
        {
            Lookup::New(guard) => return run_new(chain, checked, format, guard, flight).await,
            Lookup::Mismatch => return refusal_response(chain, &Refusal::KeyReused),
            Lookup::Done(body) => {
                chain.metrics.known.add("repeated");
                chain.metrics.requests.add("served");
                return answer_response(format, ReplyBody::whole(body));
            }
            Lookup::Running(mut ended) => {
                chain.metrics.known.add("joined");
                let left = checked.deadline.saturating_sub(chain.timer.now());
                let left = Duration::from_millis(left.0);
                // The sender is dropped when the chat ends, with or without an answer.
                if tokio::time::timeout(left, ended.changed()).await.is_err() {
                    return refusal_response(chain, &Refusal::Deadline(Execution::Unknown));
                }
            }
        }
    }
}

/// Runs a new chat in a task of its own, which outlives the connection of the caller.
async fn run_new(
    chain: &Arc<Chain>,
    checked: CheckedChat,
    format: AnswerFormat,
    guard: RunGuard,
    flight: InFlightGuard,
) -> Response<ReplyBody> {
    let (output, response) = AnswerSink::new(format);
    let run = ChatRun::new(
        Arc::clone(chain),
        ChatParts {
            caller: checked.caller,
            identity: checked.identity,
            chat: checked.chat,
            spec: checked.spec,
            deadline: checked.deadline,
            output,
            guard,
        },
    );
    tokio::spawn(async move {
        run.run().await;
        drop(flight);
    });
    match response.await {
        Ok(response) => response,
        // The task sends no answer only if it was aborted or panicked.
        Err(_) => Refusal::Failed(Execution::Unknown).response(),
    }
}
