//! Entry of `POST /v1/chat/completions`.

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
use crate::filters::forward::Parts;
use crate::filters::forward::Run;
use crate::filters::identify;
use crate::filters::identify::Caller;
use crate::filters::identify::Identity;
use crate::filters::identify::KEY_HEADER;
use crate::filters::known::Entry;
use crate::filters::known::Lease;
use crate::filters::output::Form;
use crate::filters::output::Output;
use crate::filters::output::answer;
use crate::filters::parse::Chat;
use crate::filters::refusal::Malformed;
use crate::filters::refusal::Ran;
use crate::filters::refusal::Refusal;

/// Longest time for a request's body to arrive.
pub const BODY_WITHIN: Duration = Duration::from_secs(30);

/// A chat that has passed the checks.
struct Checked {
    caller: Caller,
    identity: Identity,
    chat: Chat,
    spec: ModelSpec,
    deadline: Millis,
}

/// Answers a chat.
///
/// # Errors
///
/// See [`Refusal`]; those of a chat that was begun come as an answer.
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
    let body = body_of(&chain, body).await;
    let checked = body.and_then(|body| check(&chain, &config, caller, identity, &body));
    let mut response = match checked {
        Ok(checked) => begin(&chain, checked, flight).await,
        Err(refusal) => refused(&chain, &refusal),
    };
    tag(response.headers_mut(), &key);
    Ok(response)
}

/// Reads a request's body within the router's bounds.
///
/// # Errors
///
/// [`Refusal::TooLarge`] or [`Malformed::Body`].
pub async fn body_of(chain: &Chain, body: Incoming) -> Result<Bytes, Refusal> {
    let read = read_bounded(body, chain.settings.body, BODY_WITHIN).await;
    read.map_err(|error| match error {
        ReadError::TooLarge(most) => Refusal::TooLarge(most),
        ReadError::TimedOut(_) | ReadError::Broken(_) => Malformed::Body.into(),
    })
}

/// Counts a refusal and makes it an answer.
pub fn refused(chain: &Chain, refusal: &Refusal) -> Response<ReplyBody> {
    chain.metrics.requests.add(refusal.code());
    refusal.response()
}

/// Returns the idempotency key to the caller.
pub fn tag(headers: &mut HeaderMap, key: &str) {
    // Keys are visible ASCII, so this can't fail.
    if let Ok(value) = HeaderValue::from_str(key) {
        headers.insert(KEY_HEADER, value);
    }
}

fn check(
    chain: &Chain,
    config: &ActiveConfig,
    caller: Caller,
    identity: Identity,
    body: &Bytes,
) -> Result<Checked, Refusal> {
    let chat = Chat::parse(body)?;
    let spec = config.model(&caller.workspace, &chat.model);
    let spec = spec.ok_or_else(|| Refusal::UnknownModel(chat.model.clone()))?;
    let deadline = chain.timer.now() + spec.whole;
    Ok(Checked {
        caller,
        identity,
        spec: spec.clone(),
        chat,
        deadline,
    })
}

/// Runs the chat, joins the attempt that runs it, or repeats the recorded answer.
async fn begin(chain: &Arc<Chain>, checked: Checked, flight: InFlightGuard) -> Response<ReplyBody> {
    let form = match checked.chat.stream {
        true => Form::Stream,
        false => Form::Json,
    };
    loop {
        match chain.known.enter(&checked.identity.id, checked.chat.body) {
            Entry::First(lease) => return run(chain, checked, form, lease, flight).await,
            Entry::Mismatch => return refused(chain, &Refusal::KeyReused),
            Entry::Done(body) => {
                chain.metrics.known.add("repeated");
                chain.metrics.requests.add("served");
                return answer(form, ReplyBody::whole(body));
            }
            Entry::Running(mut ended) => {
                chain.metrics.known.add("joined");
                let left = checked.deadline.saturating_sub(chain.timer.now());
                let left = Duration::from_millis(left.0);
                // The sender is dropped at the end, whatever it is.
                if tokio::time::timeout(left, ended.changed()).await.is_err() {
                    return refused(chain, &Refusal::Deadline(Ran::Unknown));
                }
            }
        }
    }
}

async fn run(
    chain: &Arc<Chain>,
    checked: Checked,
    form: Form,
    lease: Lease,
    flight: InFlightGuard,
) -> Response<ReplyBody> {
    let (output, response) = Output::new(form);
    let run = Run::new(
        Arc::clone(chain),
        Parts {
            caller: checked.caller,
            identity: checked.identity,
            chat: checked.chat,
            spec: checked.spec,
            deadline: checked.deadline,
            output,
            lease,
        },
    );
    tokio::spawn(async move {
        run.run().await;
        drop(flight);
    });
    match response.await {
        Ok(response) => response,
        // Only a task that was torn down gives no answer.
        Err(_) => Refusal::Failed(Ran::Unknown).response(),
    }
}
