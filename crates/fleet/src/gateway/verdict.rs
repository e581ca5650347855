//! Decides what an upstream's answer, or the lack of one, says of an attempt.
//!
//! What proves that an attempt did not run is [`NotRun`]; everything else may have run.

use std::time::Duration;

use chestnutnotch_core::upstream::AttemptOutcome;
use chestnutnotch_core::upstream::Pick;
use http::StatusCode;
use http::response;

use crate::dialect::NamedRate;
use crate::dialect::ResponseMetadata;
use crate::edges::http::AnswerBody;
use crate::edges::http::AnswerFault;
use crate::edges::http::NotRun;
use crate::edges::http::RequestedPause;
use crate::edges::http::Tie;
use crate::edges::http::not_run::promises_not_run;
use crate::edges::http::pool::Connection;
use crate::edges::http::pool::ExchangeError;
use crate::gateway::attempt::AttemptGuard;
use crate::gateway::exchange::AttemptFailure;
use crate::gateway::exchange::OpenResponse;
use crate::gateway::job::Job;
use crate::gateway::refusal::Refusal;

/// Longest wait for the rest of an upstream's refusal, so that its connection can be reused.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(200);

/// Decides by the head of an answer whether it is one to the request, from an upstream, and not a
/// refusal. Returns the answer if so.
///
/// # Errors
///
/// See [`AttemptFailure`].
pub(super) fn check_head(
    job: &mut Job,
    metadata: &ResponseMetadata,
    mut opened: OpenResponse,
) -> Result<OpenResponse, AttemptFailure> {
    count_answer_id(job, metadata, &opened.connection);
    let sent_id = &job.metadata.attempt_id;
    let answered_id = metadata.attempt_id.as_deref();
    let status = opened.head.status;
    let Some(tie) = Tie::of(sent_id, answered_id, opened.connection.exchanges) else {
        return Err(on_unmatched(job, metadata, opened));
    };
    opened.connection.has_ids = tie == Tie::Id;
    if let Some(load) = metadata.load {
        let upstreams = &job.gateway.upstreams;
        upstreams.update_load(&opened.attempt.pick, load);
    }
    if metadata.not_run {
        // Another upstream at the address speaks for itself.
        if status != StatusCode::MISDIRECTED_REQUEST {
            record_wishes(job, metadata, &opened);
        }
        return Err(on_refused(job, opened, tie));
    }
    if !is_genuine(metadata, status) {
        return Err(on_foreign(job, opened));
    }
    record_wishes(job, metadata, &opened);
    match promises_not_run(status) {
        true => Err(on_unstated(job, opened)),
        false => Ok(opened),
    }
}

/// Counts whether an answer repeats the id of the request for which it arrived.
fn count_answer_id(job: &Job, metadata: &ResponseMetadata, connection: &Connection) {
    job.gateway
        .metrics
        .answer_ids
        .add(match &metadata.attempt_id {
            Some(id) if *id == job.metadata.attempt_id => "own",
            Some(_) => "other",
            None if connection.exchanges > 0 => "absent_kept",
            None => "absent_new",
        });
}

/// Records what an answer of the chosen upstream says of the requests that it wants.
fn record_wishes(job: &Job, metadata: &ResponseMetadata, opened: &OpenResponse) {
    let pick = &opened.attempt.pick;
    record_rate(job, pick, metadata);
    if metadata.leaving {
        job.gateway.metrics.announcements.add("leaving_by_answer");
        log::info!(target: "upstream", id = &*job.metadata.attempt_id, upstream:% = pick.upstream, start = pick.incarnation.0; "upstream leaves by its answer");
        let nodes = &job.gateway.nodes;
        nodes.announce_leave_by_answer(pick);
    }
    let pause = RequestedPause::read(opened.head.status, &opened.head.headers);
    let upstreams = &job.gateway.upstreams;
    upstreams.observe_pause(pick, &job.metadata.attempt_id, pause);
}

/// Records the rate of requests that an answer names. A refusal that names none says nothing of it,
/// nor does an answer without a signature.
fn record_rate(job: &Job, pick: &Pick, metadata: &ResponseMetadata) {
    let rate = match metadata.rate {
        NamedRate::Limit(rate) => Some(rate),
        NamedRate::Absent if metadata.not_run || !metadata.signed => return,
        NamedRate::Absent => None,
        NamedRate::Invalid => {
            job.gateway.metrics.rates.add("invalid");
            log::warn!(target: "upstream", id = &*job.metadata.attempt_id, upstream:% = pick.upstream; "invalid rate limit ignored");
            None
        }
    };
    job.gateway.nodes.observe_rate(pick, rate);
}

/// Returns whether an answer that is tied to the request comes from an upstream: a successful one has
/// to be signed. An interim answer is none, nor is one whose status is of no class.
fn is_genuine(metadata: &ResponseMetadata, status: StatusCode) -> bool {
    let is_final = (200..600).contains(&status.as_u16());
    is_final && (metadata.signed || !status.is_success())
}

/// Handles a connection that failed before the answer was complete.
pub(super) fn on_broken(
    job: &mut Job,
    attempt: AttemptGuard,
    error: &ExchangeError,
) -> AttemptFailure {
    log::info!(target: "upstream", id = &*job.metadata.attempt_id, upstream:% = attempt.pick.upstream, parts = job.log_parts().as_str(), error:% = error; "attempt broke off");
    let Some(evidence) = NotRun::from_exchange(error) else {
        job.reason = "broken";
        attempt.end(AttemptOutcome::Broken);
        return AttemptFailure::maybe_ran(Refusal::AnswerLost);
    };
    job.reason = "closed_before";
    attempt.check_start();
    // The same upstream may be tried again.
    job.tried.pop();
    job.sends -= 1;
    if let Some(charge) = &mut job.charge {
        charge.mark_not_run(evidence);
    }
    drop(attempt);
    AttemptFailure::not_run(Refusal::NoUpstream, evidence)
}

/// Handles an answer that is not tied to the request, so that it says nothing of it or of the
/// upstream. The rest of the connection can't be trusted, and it is closed.
fn on_unmatched(
    job: &mut Job,
    metadata: &ResponseMetadata,
    opened: OpenResponse,
) -> AttemptFailure {
    job.reason = "unmatched_answer";
    log::info!(
        target: "upstream",
        id = &*job.metadata.attempt_id, upstream:% = opened.attempt.pick.upstream,
        status = opened.head.status.as_u16(),
        answer_id = metadata.attempt_id.as_deref().unwrap_or(""),
        exchanges = opened.connection.exchanges, states_not_run = metadata.not_run;
        "answer is not tied to the request"
    );
    opened.attempt.end(AttemptOutcome::Unmatched);
    AttemptFailure::maybe_ran(Refusal::AnswerLost)
}

/// Handles a success without the signature of an upstream, or an answer with a status that is not
/// final or of no class.
fn on_foreign(job: &mut Job, opened: OpenResponse) -> AttemptFailure {
    job.reason = "foreign_answer";
    log::info!(
        target: "upstream",
        id = &*job.metadata.attempt_id, upstream:% = opened.attempt.pick.upstream,
        status = opened.head.status.as_u16();
        "answer is not genuine"
    );
    opened.attempt.end(AttemptOutcome::Broken);
    AttemptFailure::maybe_ran(Refusal::AnswerLost)
}

/// Handles an answer whose status would promise the caller that the request was not run, which the
/// upstream did not state.
fn on_unstated(job: &mut Job, opened: OpenResponse) -> AttemptFailure {
    job.reason = "unstated";
    log::info!(
        target: "upstream",
        id = &*job.metadata.attempt_id, upstream:% = opened.attempt.pick.upstream,
        status = opened.head.status.as_u16();
        "answer does not state that the request was not run"
    );
    opened.attempt.end(outcome_of(opened.head.status));
    drain(job, opened.connection, opened.head, opened.body);
    AttemptFailure::maybe_ran(Refusal::AnswerLost)
}

/// Returns what the status of an answer without a result says of the upstream.
fn outcome_of(status: StatusCode) -> AttemptOutcome {
    match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => AttemptOutcome::Overload,
        // Another upstream has taken over the address.
        StatusCode::MISDIRECTED_REQUEST => AttemptOutcome::Unreachable,
        _ => AttemptOutcome::Neutral,
    }
}

/// Handles an answer that is not complete.
pub(super) fn on_fault(
    job: &mut Job,
    attempt: AttemptGuard,
    fault: &AnswerFault,
) -> AttemptFailure {
    log::info!(target: "upstream", id = &*job.metadata.attempt_id, upstream:% = attempt.pick.upstream, parts = job.log_parts().as_str(), error:% = fault; "answer is not complete");
    job.gateway.metrics.faults.add(fault.label());
    job.reason = fault.label();
    attempt.end(AttemptOutcome::Broken);
    AttemptFailure::maybe_ran(Refusal::AnswerLost)
}

/// Handles an upstream that did not answer in time.
pub(super) fn on_timeout(job: &mut Job, attempt: AttemptGuard) -> AttemptFailure {
    job.reason = "late";
    log::info!(target: "upstream", id = &*job.metadata.attempt_id, upstream:% = attempt.pick.upstream, ms = job.elapsed().0; "no answer in time");
    attempt.end(AttemptOutcome::TimedOut);
    AttemptFailure::maybe_ran(Refusal::AnswerLate)
}

/// Handles an answer that would go on with a stream at another software version than the one that began
/// it.
pub(super) fn on_other_release(job: &mut Job, attempt: AttemptGuard) -> AttemptFailure {
    job.reason = "other_version";
    let version = attempt.version();
    log::info!(target: "upstream", id = &*job.metadata.attempt_id, upstream:% = attempt.pick.upstream, version; "upstream started again before its answer");
    attempt.end(AttemptOutcome::Neutral);
    AttemptFailure::maybe_ran(Refusal::AnswerLost)
}

/// Handles an answer by which the upstream states that it did not run the request.
fn on_refused(job: &mut Job, opened: OpenResponse, tie: Tie) -> AttemptFailure {
    let status = opened.head.status;
    let evidence = NotRun::from_answer(tie);
    job.reason = "refused";
    log::info!(
        target: "upstream",
        id = &*job.metadata.attempt_id, upstream:% = opened.attempt.pick.upstream,
        status = status.as_u16(), tie = tie.label(), exchanges = opened.connection.exchanges;
        "attempt refused"
    );
    if let Some(charge) = &mut job.charge {
        charge.mark_not_run(evidence);
    }
    let outcome = outcome_of(status);
    opened.attempt.end(outcome);
    drain(job, opened.connection, opened.head, opened.body);
    let refusal = match outcome {
        AttemptOutcome::Neutral => Refusal::NoUpstream,
        _ => Refusal::Full,
    };
    AttemptFailure::not_run(refusal, evidence)
}

/// Reads the rest of an answer in the background, so that its connection can be reused.
fn drain(job: &Job, connection: Connection, head: response::Parts, body: AnswerBody) {
    let pool = job.gateway.pool.clone();
    tokio::spawn(async move {
        if body.drain(DRAIN_TIMEOUT).await {
            pool.keep(connection, &head.headers);
        }
    });
}
