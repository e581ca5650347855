//! Authenticates the caller and reads the idempotency key.

use chestnutnotch_core::id::Budget;
use chestnutnotch_core::id::RequestId;
use chestnutnotch_core::id::RequestKey;
use chestnutnotch_core::id::Workspace;
use http::HeaderMap;
use http::header;
use rand::RngExt;

use crate::controllers::config::ActiveConfig;
use crate::filters::refusal::Malformed;
use crate::filters::refusal::Refusal;

/// Header that carries the idempotency key in requests and answers.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 128;

/// The workspace that sent a request, as configured.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Name of the workspace.
    pub workspace: Workspace,
    /// The budget that its requests are billed to.
    pub budget: Budget,
    /// Relative share of the upstreams that admission control gives it under load.
    pub share: u32,
}

/// The identity of a request, the same for every resend of it.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Workspace and idempotency key.
    pub id: RequestId,
    /// Whether the caller sent the key; otherwise the router generated it.
    pub key_supplied: bool,
}

/// Returns the workspace that the bearer key of the request belongs to.
///
/// # Errors
///
/// [`Refusal::UnknownKey`] if the key is missing or not configured.
pub fn authenticate(headers: &HeaderMap, config: &ActiveConfig) -> Result<Caller, Refusal> {
    let value = headers.get(header::AUTHORIZATION);
    let text = value.and_then(|value| value.to_str().ok());
    let key = text.and_then(bearer_key).ok_or(Refusal::UnknownKey)?;
    let spec = config.workspace(key).ok_or(Refusal::UnknownKey)?;
    Ok(Caller {
        workspace: spec.name.clone(),
        budget: spec.budget.clone(),
        share: spec.share,
    })
}

/// Returns the key of an `Authorization` header with the scheme `Bearer`.
fn bearer_key(text: &str) -> Option<&str> {
    let (scheme, key) = text.split_once(' ')?;
    scheme
        .eq_ignore_ascii_case("bearer")
        .then_some(key.trim())
        .filter(|key| !key.is_empty())
}

/// Returns the identity of a request: its idempotency key, or a new random one.
///
/// # Errors
///
/// [`Malformed::Key`] if the key is empty, too long or not visible ASCII.
pub fn request_identity(headers: &HeaderMap, workspace: &Workspace) -> Result<Identity, Refusal> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY_HEADER) else {
        let key = format!("{:032x}", rand::rng().random::<u128>());
        return Ok(Identity {
            id: request_id(workspace, key.into()),
            key_supplied: false,
        });
    };
    let text = value.to_str().map_err(|_| Malformed::Key)?;
    let is_visible = text.bytes().all(|byte| byte.is_ascii_graphic());
    if text.is_empty() || text.len() > MAX_KEY_BYTES || !is_visible {
        return Err(Malformed::Key.into());
    }
    Ok(Identity {
        id: request_id(workspace, text.into()),
        key_supplied: true,
    })
}

fn request_id(workspace: &Workspace, key: RequestKey) -> RequestId {
    RequestId {
        workspace: workspace.clone(),
        key,
    }
}
