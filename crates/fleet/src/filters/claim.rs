//! Calls that may not be repeated: claimed by the quorum, sent once, and concluded.
//!
//! The claim is agreed on before the first byte leaves. A call that provably never left is
//! concluded as not run. After that, an end that is not clear stays unknown and is never sent again.

use std::time::Duration;

use bytes::Bytes;
use chestnutnotch_core::command::CallEnd;
use chestnutnotch_core::command::Claim;
use chestnutnotch_core::command::ClaimReply;
use chestnutnotch_core::command::Command;
use chestnutnotch_core::command::Conclude;
use chestnutnotch_core::command::Recorded;
use chestnutnotch_core::command::Reply;
use chestnutnotch_core::upstream::Pick;
use http::HeaderMap;
use http::HeaderValue;
use http::StatusCode;
use http::header;
use tokio::sync::oneshot;

use crate::controllers::admission::AdmissionPermit;
use crate::edges::http::SendError;
use crate::edges::rpc::ControlClient;
use crate::filters::Chain;
use crate::filters::call::Answer;
use crate::filters::call::Checked;
use crate::filters::call::ended;
use crate::filters::call::message;
use crate::filters::refusal::Ran;
use crate::filters::refusal::Refusal;
use crate::timer::jitter;

const CLAIM_WITHIN: Duration = Duration::from_millis(2_000);
const CONCLUDE_WITHIN: Duration = Duration::from_millis(1_000);
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const MOST_PAUSE: Duration = Duration::from_secs(2);
const RESENDS: u32 = 600;
const WORKERS: usize = 3;
const NOT_KEPT: &[u8] =
    br#"{"error":{"code":"answer_not_recorded","message":"the call ran; its answer was too large to record","ran":"ran"}}"#;

/// Sends a call that may not be repeated, once over the whole fleet.
///
/// # Errors
///
/// See [`Refusal`]. One that says "not run" is true.
pub async fn once(chain: &Chain, call: &Checked) -> Result<Answer, Refusal> {
    let claim = claim(chain, call);
    // The register goes first: it knows what an earlier submission under the key did.
    if let Err(earlier) = obtain(chain, call, &claim).await {
        return earlier;
    }
    let (pass, pick) = match place(chain, call).await {
        Ok(placed) => placed,
        Err(refusal) => {
            conclude(chain, claim, CallEnd::NotRun).await;
            return Err(refusal);
        }
    };
    let outcome = send(chain, call, pick).await;
    let (end, outcome) = match outcome {
        Ok(answer) => (CallEnd::Answered(record(chain, &answer)), Ok(answer)),
        Err(SendError::Unreachable | SendError::Malformed(_)) => {
            (CallEnd::NotRun, Err(Refusal::Failed(Ran::NotRun)))
        }
        Err(SendError::Broken | SendError::TimedOut) => {
            (CallEnd::Unknown, Err(Refusal::OutcomeUnknown))
        }
    };
    chain.metrics.claims.add(match &end {
        CallEnd::NotRun => "not_run",
        CallEnd::Answered(_) => "answered",
        CallEnd::Unknown => "unknown",
    });
    conclude(chain, claim, end).await;
    if outcome.is_ok() {
        pass.finish();
    }
    outcome
}

/// Admission and a worker.
async fn place(chain: &Chain, call: &Checked) -> Result<(AdmissionPermit, Pick), Refusal> {
    let pass = chain.admit(call).await?;
    let pick = chain.worker(call, &[], Ran::NotRun).await?;
    Ok((pass, pick))
}

fn claim(chain: &Chain, call: &Checked) -> Claim {
    Claim {
        id: call.identity.id.clone(),
        body: call.print,
        service: call.spec.name.clone(),
        router: chain.router.clone(),
        nonce: chain.next_try(),
    }
}

/// Asks for the claim. Without it, what the caller is told in place of a send.
async fn obtain(
    chain: &Chain,
    call: &Checked,
    claim: &Claim,
) -> Result<(), Result<Answer, Refusal>> {
    let within = chain.left(call).min(CLAIM_WITHIN);
    let unknown = match call.identity.chosen {
        true => Ran::Unknown,
        false => Ran::NotRun,
    };
    let command = Command::Claim(claim.clone());
    let reply = chain.control.submit(command, within).await;
    let (word, told) = match reply {
        Ok(Reply::Claim(ClaimReply::Granted)) => {
            chain.metrics.claims.add("granted");
            return Ok(());
        }
        Ok(Reply::Claim(ClaimReply::Running)) => ("running", Err(Refusal::CallRunning)),
        Ok(Reply::Claim(ClaimReply::Answered(known))) => ("repeated", Ok(recorded(known))),
        Ok(Reply::Claim(ClaimReply::Unknown)) => ("known_unknown", Err(Refusal::OutcomeUnknown)),
        Ok(Reply::Claim(ClaimReply::Mismatch)) => ("mismatch", Err(Refusal::KeyReused)),
        Ok(_) => ("refused", Err(Refusal::NoQuorum(unknown))),
        Err(_) => {
            withdraw(chain.control.clone(), claim.clone());
            ("no_quorum", Err(Refusal::NoQuorum(unknown)))
        }
    };
    chain.metrics.claims.add(word);
    Err(told)
}

/// Sends to one worker; to another only while no byte has left.
async fn send(chain: &Chain, call: &Checked, first: Pick) -> Result<Answer, SendError> {
    let mut tried = vec![first.upstream.clone()];
    let mut pick = first;
    loop {
        let within = chain.left(call);
        let sent = chain.client.send_once(message(call, &pick), within).await;
        let outcome = match sent {
            Ok(response) => chain.answer_of(response, chain.left(call)).await,
            Err(error) => Err(error),
        };
        chain.upstreams.end(pick.attempt, ended(&outcome));
        let unsent = matches!(outcome, Err(SendError::Unreachable));
        if !unsent || tried.len() >= WORKERS || chain.left(call).is_zero() {
            return outcome;
        }
        match chain.worker(call, &tried, Ran::NotRun).await {
            Ok(next) => pick = next,
            Err(_) => return outcome,
        }
        tried.push(pick.upstream.clone());
    }
}

/// Records the end of a call. Waits shortly; then the resends go on by themselves.
async fn conclude(chain: &Chain, claim: Claim, end: CallEnd) {
    let (done, told) = oneshot::channel();
    let control = chain.control.clone();
    let command = conclusion(claim, end);
    tokio::spawn(async move {
        resend(&control, command).await;
        // The asker may have stopped waiting.
        let _ = done.send(());
    });
    if tokio::time::timeout(CONCLUDE_WITHIN, told).await.is_err() {
        chain.metrics.claims.add("conclusion_late");
    }
}

/// Gives back a claim whose reply was lost: nothing was sent under it.
fn withdraw(control: ControlClient, claim: Claim) {
    tokio::spawn(async move {
        let reply = resend(&control, Command::Claim(claim.clone())).await;
        if let Some(Reply::Claim(ClaimReply::Granted)) = reply {
            resend(&control, conclusion(claim, CallEnd::NotRun)).await;
        }
    });
}

fn conclusion(claim: Claim, end: CallEnd) -> Command {
    Command::Conclude(Conclude {
        id: claim.id,
        router: claim.router,
        nonce: claim.nonce,
        end,
    })
}

async fn resend(control: &ControlClient, command: Command) -> Option<Reply> {
    let mut pause = FIRST_PAUSE;
    for _ in 0..RESENDS {
        if let Ok(reply) = control.submit(command.clone(), CONCLUDE_WITHIN).await {
            return Some(reply);
        }
        tokio::time::sleep(pause / 2 + jitter(pause)).await;
        pause = (pause * 2).min(MOST_PAUSE);
    }
    log::warn!("gave up resending a claim or its end");
    None
}

fn record(chain: &Chain, answer: &Answer) -> Recorded {
    let kept = answer.body.len() <= chain.settings.record;
    let kind = answer.headers.get(header::CONTENT_TYPE);
    let kind = kind.and_then(|kind| kind.to_str().ok()).unwrap_or_default();
    Recorded {
        status: answer.status.as_u16(),
        kind: if kept { kind } else { "application/json" }.into(),
        body: if kept { &answer.body[..] } else { NOT_KEPT }.into(),
    }
}

fn recorded(known: Recorded) -> Answer {
    let mut headers = HeaderMap::new();
    if !known.kind.is_empty()
        && let Ok(kind) = HeaderValue::from_str(&known.kind)
    {
        headers.insert(header::CONTENT_TYPE, kind);
    }
    Answer {
        status: StatusCode::from_u16(known.status).unwrap_or(StatusCode::OK),
        headers,
        body: Bytes::copy_from_slice(&known.body),
    }
}
