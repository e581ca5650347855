//! Calls that must not be repeated: claimed in the replicated ledger, sent once, and concluded.
//!
//! A quorum grants the claim before the first byte is sent. A call of which provably no byte was
//! sent is concluded as not run. Any other call without an answer is concluded as unknown and never
//! sent again.

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
use crate::edges::http::NotRun;
use crate::edges::http::SendError;
use crate::edges::http::counted;
use crate::edges::rpc::ControlClient;
use crate::filters::Chain;
use crate::filters::call::Answer;
use crate::filters::call::CheckedCall;
use crate::filters::call::attempt_outcome;
use crate::filters::call::log_not_run;
use crate::filters::call::upstream_request;
use crate::filters::refusal::Execution;
use crate::filters::refusal::Refusal;
use crate::timer::jitter;

/// Timeout for a quorum to grant a claim.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Timeout of one submission of a command, and longest time that a caller waits for a conclusion.
const CONCLUDE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// First delay of the backoff between submissions, before jitter; doubles each time.
const FIRST_RESEND_DELAY: Duration = Duration::from_millis(50);
/// Upper bound of that delay, before jitter.
const MAX_RESEND_DELAY: Duration = Duration::from_secs(2);
/// Submissions of a command before the router gives up.
const MAX_SUBMISSIONS: u32 = 600;
/// Most workers that one call is tried at, while no byte of it was sent.
const MAX_WORKERS: usize = 3;
/// Recorded in place of an answer that is too large.
const ANSWER_NOT_RECORDED: &[u8] =
    br#"{"error":{"code":"answer_not_recorded","message":"the call ran; its answer was too large to record","ran":"ran"}}"#;

/// Runs a call that must not be repeated, at most once in the whole fleet.
///
/// # Errors
///
/// See [`Refusal`]. One that says "not run" guarantees that the call did not run.
pub async fn run_once(chain: &Chain, call: &CheckedCall) -> Result<Answer, Refusal> {
    let claim = new_claim(chain, call);
    // The claim comes before admission: it tells what became of an earlier submission of the key.
    if let Err(outcome) = obtain_claim(chain, call, &claim).await {
        return outcome;
    }
    let (pass, pick) = match admit_and_pick(chain, call).await {
        Ok(admitted) => admitted,
        Err(refusal) => {
            conclude(chain, claim, CallEnd::NotRun).await;
            return Err(refusal);
        }
    };
    let outcome = send(chain, call, pick).await;
    let (end, outcome) = match outcome {
        Ok(answer) => (CallEnd::Answered(to_record(chain, &answer)), Ok(answer)),
        Err(error) => match NotRun::from_send(&error) {
            Some(_) => (CallEnd::NotRun, Err(Refusal::Failed(Execution::NotRun))),
            None => (CallEnd::Unknown, Err(Refusal::OutcomeUnknown)),
        },
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

/// Waits for admission and chooses a worker.
async fn admit_and_pick(
    chain: &Chain,
    call: &CheckedCall,
) -> Result<(AdmissionPermit, Pick), Refusal> {
    let pass = chain.admit(call).await?;
    let pick = chain.pick_worker(call, &[], Execution::NotRun).await?;
    Ok((pass, pick))
}

fn new_claim(chain: &Chain, call: &CheckedCall) -> Claim {
    Claim {
        id: call.identity.id.clone(),
        body: call.fingerprint,
        service: call.spec.name.clone(),
        router: chain.router.clone(),
        nonce: chain.next_nonce(),
    }
}

/// Obtains the claim. If it is not granted, the error is the answer or refusal for the caller.
async fn obtain_claim(
    chain: &Chain,
    call: &CheckedCall,
    claim: &Claim,
) -> Result<(), Result<Answer, Refusal>> {
    let timeout = chain.time_left(call).min(CLAIM_TIMEOUT);
    let execution = match call.identity.key_supplied {
        true => Execution::Unknown,
        false => Execution::NotRun,
    };
    let command = Command::Claim(claim.clone());
    let reply = chain.control.submit(command, timeout).await;
    let (label, outcome) = match reply {
        Ok(Reply::Claim(ClaimReply::Granted)) => {
            chain.metrics.claims.add("granted");
            return Ok(());
        }
        Ok(Reply::Claim(ClaimReply::Running)) => ("running", Err(Refusal::CallRunning)),
        Ok(Reply::Claim(ClaimReply::Answered(record))) => ("repeated", Ok(from_record(record))),
        Ok(Reply::Claim(ClaimReply::Unknown)) => ("known_unknown", Err(Refusal::OutcomeUnknown)),
        Ok(Reply::Claim(ClaimReply::Mismatch)) => ("mismatch", Err(Refusal::KeyReused)),
        Ok(_) => ("refused", Err(Refusal::NoQuorum(execution))),
        Err(_) => {
            withdraw(chain.control.clone(), claim.clone());
            ("no_quorum", Err(Refusal::NoQuorum(execution)))
        }
    };
    chain.metrics.claims.add(label);
    Err(outcome)
}

/// Sends the call to a worker, and to another one only if no byte was sent.
async fn send(chain: &Chain, call: &CheckedCall, first: Pick) -> Result<Answer, SendError> {
    let mut tried = vec![first.upstream.clone()];
    let mut pick = first;
    loop {
        let timeout = chain.time_left(call);
        let sent = chain
            .client
            .send_once(upstream_request(call, &pick), timeout)
            .await;
        let outcome = match sent {
            Ok(response) => {
                if counted::tie(&response, None).is_some() {
                    chain.observe_pause(call, &pick, &response);
                }
                chain.read_answer(response, chain.time_left(call)).await
            }
            Err(error) => Err(error),
        };
        chain.upstreams.end(pick.attempt, attempt_outcome(&outcome));
        let proof = outcome.as_ref().err().and_then(NotRun::from_send);
        let Some(proof) = proof else {
            return outcome;
        };
        log_not_run(call, proof);
        if tried.len() >= MAX_WORKERS || chain.time_left(call).is_zero() {
            return outcome;
        }
        match chain.pick_worker(call, &tried, Execution::NotRun).await {
            Ok(next) => pick = next,
            Err(_) => return outcome,
        }
        tried.push(pick.upstream.clone());
    }
}

/// Records the end of a call. Waits for up to [`CONCLUDE_TIMEOUT`]; the submissions continue in the
/// background.
async fn conclude(chain: &Chain, claim: Claim, end: CallEnd) {
    let (done, concluded) = oneshot::channel();
    let control = chain.control.clone();
    let command = conclusion(claim, end);
    tokio::spawn(async move {
        submit_until_reply(&control, command).await;
        // Fails only if the waiting side has timed out.
        let _ = done.send(());
    });
    if tokio::time::timeout(CONCLUDE_TIMEOUT, concluded)
        .await
        .is_err()
    {
        chain.metrics.claims.add("conclusion_late");
    }
}

/// Gives back a claim whose reply was lost, as nothing was sent under it. Submitting the claim
/// again tells whether it was granted.
fn withdraw(control: ControlClient, claim: Claim) {
    tokio::spawn(async move {
        let reply = submit_until_reply(&control, Command::Claim(claim.clone())).await;
        if let Some(Reply::Claim(ClaimReply::Granted)) = reply {
            submit_until_reply(&control, conclusion(claim, CallEnd::NotRun)).await;
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

/// Submits a command with backoff until a control replica replies. Returns `None` after the last
/// submission.
async fn submit_until_reply(control: &ControlClient, command: Command) -> Option<Reply> {
    let mut delay = FIRST_RESEND_DELAY;
    for _ in 0..MAX_SUBMISSIONS {
        if let Ok(reply) = control.submit(command.clone(), CONCLUDE_TIMEOUT).await {
            return Some(reply);
        }
        tokio::time::sleep(delay / 2 + jitter(delay)).await;
        delay = (delay * 2).min(MAX_RESEND_DELAY);
    }
    log::warn!("gave up submitting a claim or its conclusion");
    None
}

/// Returns the record of an answer, or of its absence if it is larger than the setting allows.
fn to_record(chain: &Chain, answer: &Answer) -> Recorded {
    let fits = answer.body.len() <= chain.settings.record;
    let content_type = answer.headers.get(header::CONTENT_TYPE);
    let content_type = content_type
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    Recorded {
        status: answer.status.as_u16(),
        kind: if fits {
            content_type
        } else {
            "application/json"
        }
        .into(),
        body: if fits {
            &answer.body[..]
        } else {
            ANSWER_NOT_RECORDED
        }
        .into(),
    }
}

/// Returns the answer of a record.
fn from_record(record: Recorded) -> Answer {
    let mut headers = HeaderMap::new();
    if !record.kind.is_empty()
        && let Ok(content_type) = HeaderValue::from_str(&record.kind)
    {
        headers.insert(header::CONTENT_TYPE, content_type);
    }
    Answer {
        status: StatusCode::from_u16(record.status).unwrap_or(StatusCode::OK),
        headers,
        body: Bytes::copy_from_slice(&record.body),
    }
}
